"""Submissions by job class, whose rate determines the warm capacity. Every controller tracks them, so that a new
leader knows the rate from its start."""

from collections import deque

from tideusher.wire.jobs import JobSpec

#: Submissions remembered per class.
MAX_SUBMISSIONS_PER_CLASS = 200


class Arrivals:
    """Submissions by class, in this node's steady time."""

    def __init__(self) -> None:
        self.first_us: int | None = None
        self._submissions: dict[str, deque[tuple[int, int]]] = {}
        self._specs: dict[str, JobSpec] = {}

    def record(self, spec: JobSpec, submitted_us: int) -> None:
        """Records a submission."""
        if self.first_us is None or submitted_us < self.first_us:
            self.first_us = submitted_us
        self._specs[spec.job_class] = spec
        self._submissions.setdefault(spec.job_class, deque(maxlen=MAX_SUBMISSIONS_PER_CLASS)).append(
            (submitted_us, spec.tasks)
        )

    def spec_of(self, job_class: str) -> JobSpec | None:
        """Returns the spec of the latest job of the class; None if there was none."""
        return self._specs.get(job_class)

    def sizes(self, job_class: str, since_us: int) -> list[int]:
        """Returns the numbers of tasks of the jobs of the class submitted after this time."""
        return [tasks for at_us, tasks in self._submissions.get(job_class, ()) if at_us > since_us]
