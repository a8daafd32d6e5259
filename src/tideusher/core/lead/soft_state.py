"""What a leader tells its standbys that no record holds, and what of it the next one may use. Pure.

Ages and times left travel, never times. What came from an older leader than the last one, or too long ago, is not
used: each has a cautious value to fall back on (the cloud is asked again, a failing job is tried again, room that
was being cleared is open to all).
"""

from dataclasses import dataclass

from tideusher.clock import SECOND_US
from tideusher.core.lead.engine import Engine
from tideusher.core.model.contacts import WorkerContacts
from tideusher.wire.peers import CapacityRefusal, FailingJob, MachineReservation, SoftState

#: Of each kind so many are told, the ones that weigh most.
MOST = 48
#: Older than this, a soft fact says nothing any more.
MOST_AGE_US = 20 * SECOND_US


def collect(engine: Engine, now_us: int) -> SoftState:
    """All that the next leader could not read anywhere."""
    cluster = engine.cluster
    reserved = [
        MachineReservation(machine.name, machine.reserved, (machine.reserved_until_us - now_us) // 1000)
        for machine in cluster.machines.values()
        if machine.reserved and machine.reserved_until_us > now_us
    ]
    failing = [
        FailingJob(
            job.spec.id, job.failures, max(0, job.not_before_us - now_us) // 1000, sorted(job.error_machines)[:8]
        )
        for job in cluster.active.values()
        if job.error_machines
    ]
    failing.sort(key=lambda one: (-one.failures, one.job))
    return SoftState(
        engine.token,
        [CapacityRefusal(*kind, left_us // 1000, times) for kind, left_us, times in cluster.fleet.refusals(now_us)][
            :MOST
        ],
        reserved[:MOST],
        failing[:MOST],
    )


@dataclass(frozen=True, slots=True)
class ReceivedSoftState:
    """Soft facts as they came, and when."""

    soft: SoftState
    at_us: int


def newer(old: ReceivedSoftState | None, soft: SoftState, now_us: int) -> ReceivedSoftState:
    """Which to keep: never what an older leader tells after a newer one, whenever it wakes."""
    return old if old is not None and soft.token < old.soft.token else ReceivedSoftState(soft, now_us)


def reason_unusable(told: ReceivedSoftState | None, predecessor: int | None, now_us: int) -> str:
    """Why these soft facts may not be used; empty: they may."""
    if told is None:
        return "nobody told any"
    if predecessor is not None and told.soft.token != predecessor:
        return f"they are of token {told.soft.token}, not of the last leader's {predecessor}"
    if now_us - told.at_us > MOST_AGE_US:
        return f"they are {(now_us - told.at_us) / SECOND_US:.0f} s old"
    return ""


def apply_contacts(engine: Engine, contacts: WorkerContacts, now_us: int) -> None:
    """Since when each inherited machine is silent, and where it can be called, as far as any controller told."""
    for machine in engine.cluster.machines.values():
        seen = contacts.last(machine.name, now_us)
        if seen is not None:
            machine.seen_us, machine.address = seen[0], machine.address or seen[1]


def restore(engine: Engine, told: ReceivedSoftState, now_us: int) -> int:
    """Use them; returns how many. What has run out since it was told is left out."""
    cluster, used = engine.cluster, 0
    since_us = now_us - told.at_us
    for one in told.soft.refused:
        left_us = one.left_ms * 1000 - since_us
        if left_us > 0:
            cluster.fleet.refused_before((one.type, one.zone, one.spot), now_us + left_us, one.times)
            used += 1
    for held in told.soft.reserved:
        machine, left_us = cluster.machines.get(held.machine), held.left_ms * 1000 - since_us
        if machine is not None and held.job in cluster.jobs and left_us > 0 and not machine.reserved:
            machine.reserved, machine.reserved_until_us = held.job, now_us + left_us
            used += 1
    for failing in told.soft.failing:
        job = cluster.jobs.get(failing.job)
        if job is None:
            continue
        job.failures = max(job.failures, failing.failures)
        job.not_before_us = max(job.not_before_us, now_us + failing.pause_ms * 1000 - since_us)
        for name in failing.machines:
            job.record_failure_on(name)
            if name in cluster.machines:
                cluster.machines[name].failures_by_job.setdefault(failing.job, 1)
        used += 1
    return used
