"""Decides whether a new leader has heard from enough of a zone to preempt work and to return machines. Pure.

A leader reads from the records where every task is, but learns which machines are up only from their reports. Work
that it preempted before those reports arrive would be stopped needlessly: free capacity exists on machines that have
not reported yet. Starts on capacity that is certainly free, cancellations and reports do not wait for this check.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from tideusher.core.model.records import RETURNING, Machine

#: The share of a zone's inherited machines that must have been in contact.
READY_SHARE = 0.9
#: A zone from which nothing arrives for this many report intervals has no usable capacity.
SILENT_REPORT_INTERVALS = 3


@dataclass(slots=True)
class _Zone:
    total: int
    awaited: set[str]
    ready_us: int | None = None


class TakeoverReadiness:
    """Tracks, for each zone, which inherited machines have not been in contact yet."""

    def __init__(self, machines: Mapping[str, Machine], began_us: int, report_us: int, settle_us: int) -> None:
        self._machines, self._began_us = machines, began_us
        self._silent_us, self._settle_us = SILENT_REPORT_INTERVALS * report_us, settle_us
        self._zones: dict[str, _Zone] = {}

    def begin(self) -> None:
        """Collect the inherited machines; called once the records are loaded."""
        for name, machine in self._machines.items():
            if machine.inherited and machine.phase != RETURNING and not machine.last_contact_us:
                zone = self._zones.setdefault(machine.zone, _Zone(0, set()))
                zone.total += 1
                zone.awaited.add(name)

    def step(self, now_us: int) -> list[tuple[str, int, int, int]]:
        """Update the zones; returns those that became ready: (zone, in contact, inherited, microseconds waited)."""
        became_ready = []
        for name, zone in self._zones.items():
            if zone.ready_us is not None:
                continue
            zone.awaited = {machine for machine in zone.awaited if self._is_awaited(machine)}
            waited_us = now_us - self._began_us
            in_contact = zone.total - len(zone.awaited)
            if (
                in_contact >= READY_SHARE * zone.total
                or waited_us > self._settle_us
                or (len(zone.awaited) == zone.total and waited_us > self._silent_us)
            ):
                zone.ready_us = now_us
                became_ready.append((name, in_contact, zone.total, waited_us))
        return became_ready

    def _is_awaited(self, name: str) -> bool:
        machine = self._machines.get(name)
        return machine is not None and not machine.last_contact_us and machine.phase != RETURNING

    def zone_ready(self, zone: str) -> bool:
        """True if surplus machines of the zone may be returned."""
        known = self._zones.get(zone)
        return known is None or known.ready_us is not None

    def all_zones_ready(self) -> bool:
        """True if work may be preempted: free capacity could be in any zone, so all must be ready."""
        return all(zone.ready_us is not None for zone in self._zones.values())
