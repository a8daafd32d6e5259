"""The state that a leader shares with its standbys without persisting it, and its use by the next leader. Pure.

Ages and remaining times are sent, never points in time. State from a leader older than the last one, or state that
is too old, is not used: each part has a safe default (the cloud is asked again, a failing job is tried again,
machines that were being emptied for a job are open to all).
"""

from dataclasses import dataclass

from tideusher.clock import SECOND_US
from tideusher.core.lead.engine import Engine
from tideusher.core.model.contacts import WorkerContacts
from tideusher.core.model.records import Job
from tideusher.wire.peers import CapacityRefusal, FailedOnMachine, FailingJob, MachineReservation, SoftState

#: The most items of each kind that are sent, those with the most weight.
MAX_ITEMS = 48
#: The most machines that are sent of a job whose tasks fail, the latest failures first.
MAX_MACHINES = 8
#: Soft state older than this is not used.
MAX_AGE_US = 20 * SECOND_US


def collect(engine: Engine, now_us: int) -> SoftState:
    """Returns the state that the next leader could not read from any record."""
    cluster = engine.cluster
    reserved = [
        MachineReservation(machine.name, machine.reserved, (machine.reserved_until_us - now_us) // 1000)
        for machine in cluster.machines.values()
        if machine.reserved and machine.reserved_until_us > now_us
    ]
    failing = [_failing_job(job, now_us) for job in cluster.active.values() if job.error_machines]
    failing.sort(key=lambda item: (-item.failures, item.job))
    return SoftState(
        engine.token,
        [CapacityRefusal(*kind, left_us // 1000, times) for kind, left_us, times in cluster.fleet.refusals(now_us)][
            :MAX_ITEMS
        ],
        reserved[:MAX_ITEMS],
        failing[:MAX_ITEMS],
    )


def _failing_job(job: Job, now_us: int) -> FailingJob:
    """Returns what the next leader is to know of a job whose tasks fail: of its last failures on machines."""
    latest = sorted((job.error_machines or {}).items(), key=lambda item: (-item[1].last_us, item[0]))[:MAX_MACHINES]
    failed_on = [
        FailedOnMachine(name, failures.times, (now_us - failures.last_us) // 1000) for name, failures in latest
    ]
    pause_ms = max(0, job.not_before_us - now_us) // 1000
    return FailingJob(job.spec.id, job.failures, pause_ms, sorted(name for name, _ in latest), failed_on)


@dataclass(frozen=True, slots=True)
class ReceivedSoftState:
    """Soft state as received, and when."""

    soft: SoftState
    at_us: int


def newer(old: ReceivedSoftState | None, soft: SoftState, now_us: int) -> ReceivedSoftState:
    """Returns the soft state to keep: never that of an older leader after a newer one's, however late it comes."""
    return old if old is not None and soft.token < old.soft.token else ReceivedSoftState(soft, now_us)


def reason_unusable(received: ReceivedSoftState | None, predecessor: int | None, now_us: int) -> str:
    """Returns why this soft state may not be used; empty if it may."""
    if received is None:
        return "none was received"
    if predecessor is not None and received.soft.token != predecessor:
        return f"it is of token {received.soft.token}, not of the last leader's {predecessor}"
    if now_us - received.at_us > MAX_AGE_US:
        return f"it is {(now_us - received.at_us) / SECOND_US:.0f} s old"
    return ""


def apply_contacts(engine: Engine, contacts: WorkerContacts, now_us: int) -> None:
    """Sets last contact and address of the inherited machines as far as any controller has shared them."""
    for machine in engine.cluster.machines.values():
        contact = contacts.last(machine.name, now_us)
        if contact is not None:
            machine.seen_us, machine.address = contact[0], machine.address or contact[1]


def restore(engine: Engine, received: ReceivedSoftState, now_us: int) -> int:
    """Applies the soft state, without what has expired since; returns how many items were applied."""
    cluster, used = engine.cluster, 0
    since_us = now_us - received.at_us
    for refusal in received.soft.refused:
        left_us = refusal.left_ms * 1000 - since_us
        if left_us > 0:
            cluster.fleet.restore_refusal((refusal.type, refusal.zone, refusal.spot), now_us + left_us, refusal.times)
            used += 1
    for held in received.soft.reserved:
        machine, left_us = cluster.machines.get(held.machine), held.left_ms * 1000 - since_us
        if machine is not None and held.job in cluster.jobs and left_us > 0 and not machine.reserved:
            machine.reserved, machine.reserved_until_us = held.job, now_us + left_us
            used += 1
    for failing in received.soft.failing:
        job = cluster.jobs.get(failing.job)
        if job is None:
            continue
        job.failures = max(job.failures, failing.failures)
        job.not_before_us = max(job.not_before_us, now_us + failing.pause_ms * 1000 - since_us)
        # An older version tells only the names.
        failed_on = failing.failed_on or [FailedOnMachine(name, 1, 0) for name in failing.machines]
        for failed in failed_on:
            job.record_failure_on(failed.machine, now_us - since_us - failed.ago_ms * 1000, failed.times)
            if failed.machine in cluster.machines:
                cluster.machines[failed.machine].failures_by_job.setdefault(failing.job, 1)
        used += 1
    return used
