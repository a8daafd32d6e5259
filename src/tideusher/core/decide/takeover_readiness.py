"""Is a new leader's picture of a zone true enough to stop work and to return machines? Pure.

A leader knows from the records where every task is, and from nobody which machines are up until they report to it.
What it would stop in those seconds to make room, a leader without the change would have left: the room is free, on
machines not heard yet. Starts in room that is surely free, cancellations and reports do not wait for this.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from tideusher.core.model.records import RETURNING, Machine

#: This part of the machines of a zone that were inherited must have been heard.
PART = 0.9
#: A zone of which nothing was heard in so many reports' time holds no room that anybody could use.
REPORTS_IN_VAIN = 3


@dataclass(slots=True)
class _Zone:
    of: int
    owed: set[str]
    passed_us: int | None = None


class TakeoverReadiness:
    """Owns, for each zone, which of the inherited machines have yet to be heard."""

    def __init__(self, machines: Mapping[str, Machine], began_us: int, report_us: int, settle_us: int) -> None:
        self._machines, self._began_us = machines, began_us
        self._vain_us, self._settle_us = REPORTS_IN_VAIN * report_us, settle_us
        self._zones: dict[str, _Zone] = {}

    def begin(self) -> None:
        """The picture is complete as far as records go."""
        for name, machine in self._machines.items():
            if machine.inherited and machine.phase != RETURNING and not machine.last_contact_us:
                zone = self._zones.setdefault(machine.zone, _Zone(0, set()))
                zone.of += 1
                zone.owed.add(name)

    def step(self, now_us: int) -> list[tuple[str, int, int, int]]:
        """Look who was heard since; returns what passed just now: (zone, heard, of how many, microseconds)."""
        passed = []
        for name, zone in self._zones.items():
            if zone.passed_us is not None:
                continue
            zone.owed = {one for one in zone.owed if self._owes(one)}
            waited_us = now_us - self._began_us
            heard = zone.of - len(zone.owed)
            if (
                heard >= PART * zone.of
                or waited_us > self._settle_us
                or (len(zone.owed) == zone.of and waited_us > self._vain_us)
            ):
                zone.passed_us = now_us
                passed.append((name, heard, zone.of, waited_us))
        return passed

    def _owes(self, name: str) -> bool:
        machine = self._machines.get(name)
        return machine is not None and not machine.last_contact_us and machine.phase != RETURNING

    def zone_ready(self, zone: str) -> bool:
        """May machines of the zone be returned as not needed?"""
        known = self._zones.get(zone)
        return known is None or known.passed_us is not None

    def all_zones_ready(self) -> bool:
        """May work be stopped to make room for other work? Room may be in any zone."""
        return all(zone.passed_us is not None for zone in self._zones.values())
