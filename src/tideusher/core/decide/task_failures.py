"""Is it the machine that fails tasks, or the job? Pure.

PROTOCOL: an error is mostly the machine's fault; a job that was submitted with a mistake fails on every machine
until its user cancels it. Told by who else fails: a job that failed on several machines and of which nothing was ever
done is at fault; a machine counts as faulty by jobs that are not. So no healthy machine goes back for such a job, and
a faulty one is still found while such jobs run.
"""

from collections.abc import Mapping

from tideusher.clock import SECOND_US
from tideusher.core.model.records import OPEN, Job, Machine
from tideusher.wire.workers import ACTIVE

#: A job that failed on so many different machines, and never succeeded, is at fault itself.
MACHINES = 3
#: So many honest jobs must have failed on a machine, or one that has succeeded elsewhere so often.
JOBS = 2
#: Pauses between tries of a job at fault double from the first to the last of these.
FIRST_PAUSE_US, LAST_PAUSE_US = 8 * SECOND_US, 60 * SECOND_US
#: For how long two jobs that never succeeded may clear a machine by failing elsewhere too.
SURE_US = 15 * SECOND_US
FAULTY, SUSPECT = "faulty", "suspect"
#: A job that has begun to fail, but may be honest, waits no longer than this: its next try tells.
SHORT_PAUSE_US = 2 * SECOND_US


def succeeded(job: Job) -> bool:
    """Has any task of it been done? A service's are never: one of its replicas runs."""
    return job.done_count > 0 or (job.is_service and any(task.state == ACTIVE for task in job.live.values()))


def at_fault(job: Job) -> bool:
    """Does the job itself seem to be the reason why its tasks fail?"""
    return len(job.error_machines or ()) >= MACHINES and not succeeded(job)


def pause_us(job: Job) -> int:
    """How long after a failure the job waits for its next try. Never given up: only its user knows."""
    if at_fault(job):
        tries = max(0, len(job.error_machines or ()) - MACHINES)
        return min(LAST_PAUSE_US, FIRST_PAUSE_US << min(tries, 10))
    return SHORT_PAUSE_US if job.failures >= MACHINES else 0


def judge(machine: Machine, jobs: Mapping[str, Job], now_us: int) -> str:
    """FAULTY, SUSPECT or neither, by what failed on the machine since a task was last done there.

    A job that nobody knows any more proves nothing: it may have been cancelled for its mistake. One that has
    succeeded elsewhere proves most. Two that have yet to succeed anywhere may both be at fault, which their next
    tries elsewhere tell: until then the machine gets no new work, and after SURE_US it is the one.
    """
    honest = [
        (job, times)
        for name, times in machine.failures_by_job.items()
        if (job := jobs.get(name)) is not None and job.status == OPEN and not at_fault(job)
    ]
    proven = [(job, times) for job, times in honest if job.done_count]
    if any(times >= JOBS for _, times in proven) or (proven and len(honest) >= JOBS):
        return FAULTY
    if len(honest) < JOBS:
        return ""
    return FAULTY if machine.suspect_since_us and now_us - machine.suspect_since_us >= SURE_US else SUSPECT
