"""Decides the order in which jobs are served."""

from collections.abc import Callable, Iterable

from tideusher.clock import SECOND_US, to_us
from tideusher.core.model.records import Job

#: How late a job must be, beyond its due time and its own run time, to count as hopelessly late.
LATE_US = 60 * SECOND_US
#: Offset that sorts hopelessly late jobs behind all due times; waiting time that one remaining task counts for.
HOPELESS_OFFSET_US, REMAINING_TASK_US = 1 << 60, 4 * SECOND_US


def order_jobs(
    jobs: Iterable[Job],
    ratio: Callable[[str], float],
    within_guarantee: Callable[[Job], bool],
    margin: float,
    due_us: Callable[[Job], int],
    rebuilt: Callable[[Job], int] = lambda job: 0,
) -> list[Job]:
    """Sorts requests within a guarantee first, then by team ratio, then rank, then urgency, then age.

    After a mass failure jobs with precedence by `rebuilt` come before all others: critical work that lost its places
    and may preempt whatever else would be given the capacity.

    Ratios are compared in steps of the margin. A smaller difference is not significant, and there the rank decides
    before the exact ratio does.
    """
    step = margin or 1e-9
    ratios: dict[str, float] = {}

    def sort_key(job: Job) -> tuple[int, bool, int, int, float, int, int, str]:
        spec = job.spec
        team_ratio = ratios.get(spec.team)
        if team_ratio is None:
            team_ratio = ratios[spec.team] = ratio(spec.team)
        return (
            rebuilt(job),
            not within_guarantee(job),
            int(min(team_ratio, 1e9) / step),
            spec.rank,
            team_ratio,
            due_us(job),
            job.submitted_us,
            spec.id,
        )

    return sorted(jobs, key=sort_key)


def urgency_us(job: Job, objective_s: float | None, wall_us: int = 0) -> int:
    """Returns when the job should be served, by its own deadline or by its class's objective.

    A job that is late by more than its own run time stays late whatever is done now. Under heavy load all jobs of a
    team were late together because the oldest went first, and few of them were ever complete. So such a job sorts
    after those that can still be in time, and among such jobs the one with the fewest tasks left comes first. Each
    task left counts as a few seconds of waiting, so that no job is passed over forever.
    """
    due_us = _due_us(job, objective_s)
    if wall_us - due_us <= to_us(job.spec.estimate_s) + LATE_US or job.is_service:
        return due_us
    return HOPELESS_OFFSET_US + (job.spec.tasks - job.over_count) * REMAINING_TASK_US - (wall_us - job.submitted_us)


def _due_us(job: Job, objective_s: float | None) -> int:
    candidates = []
    if job.spec.deadline_s is not None:
        candidates.append(job.submitted_us + to_us(max(0.0, job.spec.deadline_s - job.spec.estimate_s)))
    if objective_s is not None:
        candidates.append(job.submitted_us + to_us(objective_s))
    return min(candidates, default=job.submitted_us + to_us(3600.0))
