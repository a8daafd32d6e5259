"""Decides whether the machine or the job is at fault for failed tasks. Pure.

PROTOCOL: an error is mostly the machine's fault; a job that was submitted with a mistake fails on every machine until
its user cancels it. They are told apart by their other failures: a job that failed on several machines and never
completed a task is at fault; a machine is faulty if jobs that are not at fault fail on it. So no healthy machine is
returned because of a broken job, and a faulty one is still found while such jobs run.
"""

from collections.abc import Mapping

from tideusher.clock import SECOND_US
from tideusher.core.model.records import OPEN, Job, Machine, MachineFailures
from tideusher.wire.workers import ACTIVE

#: A job that failed on this many different machines and never succeeded is itself at fault.
JOB_FAULT_MACHINES = 3
#: The jobs not at fault, or the failures of one job that has succeeded elsewhere, that make a machine faulty.
MACHINE_FAULT_JOBS = 2
#: The pause between attempts of a job at fault doubles from the first to the last of these.
FIRST_PAUSE_US, LAST_PAUSE_US = 8 * SECOND_US, 60 * SECOND_US
#: How long a job avoids a machine after its first failure there; it doubles with each further one up to the last.
FIRST_AVOIDED_US, LAST_AVOIDED_US = 8 * SECOND_US, 60 * SECOND_US
#: How long two jobs that never succeeded have to clear a machine by failing elsewhere too.
SUSPECT_US = 15 * SECOND_US
FAULTY, SUSPECT = "faulty", "suspect"
#: The pause of a job that has begun to fail but may not be at fault: its next attempt tells.
SHORT_PAUSE_US = 2 * SECOND_US


def succeeded(job: Job) -> bool:
    """True if a task of the job completed or, for a service, whose tasks never complete, a replica runs."""
    return job.done_count > 0 or (job.is_service and any(task.state == ACTIVE for task in job.live.values()))


def at_fault(job: Job) -> bool:
    """True if the job itself seems to be the reason why its tasks fail."""
    return len(job.error_machines or ()) >= JOB_FAULT_MACHINES and not succeeded(job)


def pause_us(job: Job) -> int:
    """Returns the pause after a failure. A job is never given up: only its user knows whether it is broken."""
    if at_fault(job):
        attempts = max(0, len(job.error_machines or ()) - JOB_FAULT_MACHINES)
        return min(LAST_PAUSE_US, FIRST_PAUSE_US << min(attempts, 10))
    return SHORT_PAUSE_US if job.failures >= JOB_FAULT_MACHINES else 0


def avoided_until_us(failures: MachineFailures) -> int:
    """Returns until when a job avoids a machine on which it failed: a machine may be faulty for a short time only."""
    return failures.last_us + min(LAST_AVOIDED_US, FIRST_AVOIDED_US << min(failures.times - 1, 10))


def avoided_machines(job: Job, now_us: int) -> set[str]:
    """Returns the machines on which the job is not to be placed now, since it failed there lately."""
    failures = job.error_machines or {}
    return {name for name, on_machine in failures.items() if now_us < avoided_until_us(on_machine)}


def judge(machine: Machine, jobs: Mapping[str, Job], now_us: int) -> str:
    """Returns FAULTY, SUSPECT or an empty string, from the failures on the machine since a task last completed there.

    A job that is no longer known proves nothing: it may have been cancelled for its mistake. A job that has succeeded
    elsewhere is the strongest evidence. Two that have not succeeded anywhere may both be at fault, which their next
    attempts elsewhere tell: until then the machine gets no new work, and after SUSPECT_US it counts as faulty.
    """
    not_at_fault = [
        (job, times)
        for name, times in machine.failures_by_job.items()
        if (job := jobs.get(name)) is not None and job.status == OPEN and not at_fault(job)
    ]
    proven = [(job, times) for job, times in not_at_fault if job.done_count]
    if any(times >= MACHINE_FAULT_JOBS for _, times in proven) or (
        proven and len(not_at_fault) >= MACHINE_FAULT_JOBS
    ):
        return FAULTY
    if len(not_at_fault) < MACHINE_FAULT_JOBS:
        return ""
    return FAULTY if machine.suspect_since_us and now_us - machine.suspect_since_us >= SUSPECT_US else SUSPECT
