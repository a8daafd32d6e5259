"""In which order jobs are served."""

from collections.abc import Callable, Iterable

from tideusher.clock import SECOND_US, to_us
from tideusher.core.model.records import Job

#: Beyond its due time and its own run, by so much a job must be late to count as late for good.
LATE_US = 60 * SECOND_US
#: Late jobs sort behind all due times; each task that is left weighs so much waiting.
HOPELESS_US, TASK_US = 1 << 60, 4 * SECOND_US


def order_jobs(
    jobs: Iterable[Job],
    ratio: Callable[[str], float],
    within_guarantee: Callable[[Job], bool],
    margin: float,
    due_us: Callable[[Job], int],
    rebuilt: Callable[[Job], int] = lambda job: 0,
) -> list[Job]:
    """Requests within a guarantee first, then by team ratio, then rank, then urgency, then age.

    After a fall what `rebuilt` puts first goes before all: critical work that lost its places, which may
    stop whatever else would be given the room.

    Ratios are compared in steps of the margin: less than that is not clearly lower, and there the
    rank decides before the exact ratio does.
    """
    step = margin or 1e-9
    ratios: dict[str, float] = {}

    def key(job: Job) -> tuple[int, bool, int, int, float, int, int, str]:
        spec = job.spec
        value = ratios.get(spec.team)
        if value is None:
            value = ratios[spec.team] = ratio(spec.team)
        return (
            rebuilt(job),
            not within_guarantee(job),
            int(min(value, 1e9) / step),
            spec.rank,
            value,
            due_us(job),
            job.submitted_us,
            spec.id,
        )

    return sorted(jobs, key=key)


def urgency_us(job: Job, objective_s: float | None, wall_us: int = 0) -> int:
    """When the job should be served, by its own deadline or by its class's objective.

    One that is late by more than its own run is late whatever is done now. In a flood all of a team's jobs were late
    together because the oldest went first, and few of them were ever whole: so it comes after those that can still be
    in time, and of such the one with the least left first; each task left counts as a few seconds of waiting, so none
    is passed for ever.
    """
    due_us = _due_us(job, objective_s)
    if wall_us - due_us <= to_us(job.spec.estimate_s) + LATE_US or job.is_service:
        return due_us
    return HOPELESS_US + (job.spec.tasks - job.over_count) * TASK_US - (wall_us - job.submitted_us)


def _due_us(job: Job, objective_s: float | None) -> int:
    candidates = []
    if job.spec.deadline_s is not None:
        candidates.append(job.submitted_us + to_us(max(0.0, job.spec.deadline_s - job.spec.estimate_s)))
    if objective_s is not None:
        candidates.append(job.submitted_us + to_us(objective_s))
    return min(candidates, default=job.submitted_us + to_us(3600.0))
