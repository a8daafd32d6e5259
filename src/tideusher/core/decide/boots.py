"""Tracks recent boot times and finds machines that will not come up. Pure.

A machine that never comes up is paid for until it is returned, while one that is only late is worth waiting for. They
are told apart not by a fixed timeout but by other machines of the same type and zone: a machine that several rented
later have overtaken has a problem of its own; where nothing comes up, the zone is slow, and returning all of its
machines would only mean renting them again.
"""

from collections import deque
from collections.abc import Iterable, Mapping

from tideusher.clock import SECOND_US, to_us
from tideusher.core.model.records import BOOTING, Machine
from tideusher.wire.cloud import FAILED, UP, MachineType

#: Boots of a kind that are kept, and the fewest from which a boot time is derived.
BOOTS_KEPT, MIN_BOOTS = 32, 4
#: A machine is late beyond this multiple of what most boots of its kind take (PROTOCOL: up to 1.5 times the usual).
LATE_FACTOR = 1.5
#: Machines rented later that must be up for a machine to count as overtaken; the patience factor for all others.
OVERTAKING_MACHINES, SLOW_ZONE_FACTOR = 3, 2
#: The share of the booting machines of a zone and type returned at a time, at least one: avoids bursts of returns.
MAX_RETURNED_SHARE = 0.1
PATIENCE_MARGIN_US = 10 * SECOND_US

Kind = tuple[str, str]


class Boots:
    """Recent boot times by machine type and zone."""

    def __init__(self, types: Mapping[str, MachineType], patience: float) -> None:
        self._types, self._patience = types, patience
        self._boot_times_us: dict[Kind, deque[int]] = {}
        self._rental_times_us: dict[Kind, deque[int]] = {}  # rental times of the machines that came up

    def came_up(self, machine: Machine, now_us: int) -> None:
        """Record the first report of a machine. An inherited one may have been up for long and is not counted."""
        kind = (machine.type, machine.zone)
        if not machine.inherited and (machine.saw_rental_answer or machine.listed):
            self._boot_times_us.setdefault(kind, deque(maxlen=BOOTS_KEPT)).append(now_us - machine.rented_us)
            self._rental_times_us.setdefault(kind, deque(maxlen=BOOTS_KEPT)).append(machine.rented_us)

    def usual_us(self, machine: Machine) -> int | None:
        """Returns what nine of ten boots of its kind take, observed or as the type states; None if it is unknown."""
        kind = self._types.get(machine.type)
        if kind is None:
            return None
        stated_us, times_us = (
            to_us(kind.boot_s),
            sorted(self._boot_times_us.get((machine.type, machine.zone), ())),
        )
        if len(times_us) < MIN_BOOTS:
            return stated_us
        # Boots are sometimes very short; that does not make a machine late before the time that its type states.
        return max(stated_us, times_us[len(times_us) * 9 // 10])

    def overtaken(self, machine: Machine) -> bool:
        """True if several machines of its kind that were rented after it have come up."""
        rental_times_us = self._rental_times_us.get((machine.type, machine.zone), ())
        return sum(rented_us > machine.rented_us for rented_us in rental_times_us) >= OVERTAKING_MACHINES

    def late(self, machine: Machine, now_us: int) -> bool:
        """True if rentals no longer count on this machine: work that waits for it would wait in vain."""
        usual_us = self.usual_us(machine)
        return (
            machine.phase == BOOTING
            and not machine.inherited
            and usual_us is not None
            and now_us - machine.rented_us > LATE_FACTOR * usual_us
            and self.overtaken(machine)
        )

    def given_up(self, machine: Machine, since_us: int, now_us: int) -> bool:
        """True if the patience for this machine, counted from `since_us`, has run out."""
        usual_us = self.usual_us(machine)
        if usual_us is None:
            return False
        patience_us = round(usual_us * self._patience) + PATIENCE_MARGIN_US
        if not (self.overtaken(machine) or machine.listed == FAILED):
            patience_us *= SLOW_ZONE_FACTOR
        return now_us - since_us > patience_us

    def overdue(self, machines: Iterable[Machine], began_us: int, now_us: int) -> list[Machine]:
        """Returns the machines to give back now, the longest awaited first; of each kind a share of the booting ones.

        The patience for an inherited machine starts at this leader's election (`began_us`), and not at all while the
        cloud lists it as running: a new leader once returned an entire fleet that had not reported to it yet.
        """
        booting: dict[Kind, int] = {}
        overdue_by_kind: dict[Kind, list[tuple[int, Machine]]] = {}
        for machine in machines:
            if machine.phase != BOOTING:
                continue
            kind = (machine.type, machine.zone)
            booting[kind] = booting.get(kind, 0) + 1
            if machine.inherited and machine.listed == UP:
                continue
            since_us = began_us if machine.inherited else machine.rented_us
            if self.given_up(machine, since_us, now_us):
                overdue_by_kind.setdefault(kind, []).append((since_us, machine))
        to_return = []
        for kind, entries in overdue_by_kind.items():
            entries.sort(key=lambda entry: (entry[0], entry[1].name))
            to_return += [machine for _, machine in entries[: max(1, round(booting[kind] * MAX_RETURNED_SHARE))]]
        return to_return
