"""When work of each class came: the warm room follows its rate. Followed by every controller, so a new
leader does not begin with no rate at all."""

from collections import deque

from tideusher.wire.jobs import JobSpec

#: So many submissions of a class are remembered.
REMEMBERED = 200


class Arrivals:
    """Submissions by class, in this node's steady time."""

    def __init__(self) -> None:
        self.first_us: int | None = None
        self._of: dict[str, deque[tuple[int, int]]] = {}
        self._specs: dict[str, JobSpec] = {}

    def came(self, spec: JobSpec, came_us: int) -> None:
        """A job was submitted."""
        if self.first_us is None or came_us < self.first_us:
            self.first_us = came_us
        self._specs[spec.job_class] = spec
        self._of.setdefault(spec.job_class, deque(maxlen=REMEMBERED)).append((came_us, spec.tasks))

    def spec_of(self, job_class: str) -> JobSpec | None:
        """What a job of the class asks for; None: none ever came."""
        return self._specs.get(job_class)

    def sizes(self, job_class: str, since_us: int) -> list[int]:
        """The numbers of tasks of the jobs that came after this time."""
        return [tasks for at_us, tasks in self._of.get(job_class, ()) if at_us > since_us]
