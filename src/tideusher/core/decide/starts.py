"""Decides whether a task may start on a machine, when it is placed and again when `run` is sent. Pure.

Scheduling passes apply the same rules in ways that are fast for thousands of machines; this check is authoritative.
Between the two checks a machine may have begun to drain, or may turn out to differ from its record.
"""

from collections import Counter
from enum import StrEnum
from typing import NamedTuple

from tideusher.core.model.records import UP, Job, Machine, Task


class Refusal(StrEnum):
    """Why a task may not start on a machine."""

    TYPE = "its job does not run on this type of machine"
    ZONE = "its job does not run in this zone"
    SPOT = "its job does not run on spot machines"
    ONE_ZONE = "others of its job are in another zone, and all must be in one"
    SPREAD = "this zone would hold more than half of its job"
    RETURNING = "the machine's return was asked"
    NOT_UP = "the machine is not up"
    DRAINING = "the machine gets no new work"


#: Refusals that may legitimately arise between a task's placement and its start; any other violates an invariant.
MAY_CHANGE = frozenset({Refusal.RETURNING, Refusal.NOT_UP, Refusal.DRAINING, Refusal.SPREAD})


class Kind(NamedTuple):
    """The properties of a machine that never change during its lifetime."""

    type: str
    zone: str
    spot: bool

    def __str__(self) -> str:
        return f"{'spot' if self.spot else 'ordinary'} {self.type} in {self.zone}"


def kind_of(machine: Machine) -> Kind:
    """Returns the kind of a machine as the leader knows it."""
    return Kind(machine.type, machine.zone, machine.spot)


def zones_of_others(job: Job, task: Task | None = None) -> Counter[str]:
    """Returns how many tasks of the job, except this one, hold a place in each zone; empty without a zone rule."""
    if not (job.spec.one_zone or job.spec.spread):
        return Counter()  # huge arrays have no zone rule
    return Counter(other.machine.zone for other in job.live.values() if other is not task)


def refusal(job: Job, machine: Machine, zones: Counter[str]) -> Refusal | None:
    """Returns why a task of the job may not start on the machine, or None. `zones`: as from zones_of_others."""
    spec = job.spec
    if spec.types is not None and machine.type not in spec.types:
        return Refusal.TYPE
    if spec.zone is not None and machine.zone != spec.zone:
        return Refusal.ZONE
    if machine.spot and not spec.spot:
        return Refusal.SPOT
    return _machine_refusal(machine) or _zone_refusal(job, machine.zone, zones)


def _machine_refusal(machine: Machine) -> Refusal | None:
    if machine.phase != UP:
        return Refusal.NOT_UP if not machine.drain_reason else Refusal.RETURNING
    return Refusal.DRAINING if machine.drain_reason else None


def _zone_refusal(job: Job, zone: str, zones: Counter[str]) -> Refusal | None:
    if job.spec.one_zone and any(count for other, count in zones.items() if other != zone):
        return Refusal.ONE_ZONE
    limit = job.zone_limit
    if limit is not None and zones[zone] >= limit:
        return Refusal.SPREAD
    return None
