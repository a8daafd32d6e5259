"""In which order jobs are served."""

from collections.abc import Callable, Iterable

from tideusher.clock import to_us
from tideusher.core.picture.records import Job


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


def urgency_us(job: Job, objective_s: float | None) -> int:
    """When the job should be served, by its own deadline or by its class's objective."""
    candidates = []
    if job.spec.deadline_s is not None:
        candidates.append(job.submitted_us + to_us(max(0.0, job.spec.deadline_s - job.spec.estimate_s)))
    if objective_s is not None:
        candidates.append(job.submitted_us + to_us(objective_s))
    return min(candidates, default=job.submitted_us + to_us(3600.0))
