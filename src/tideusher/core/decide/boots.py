"""How long boots take here lately, and which machine will not come up any more. Pure.

A machine that never comes up is paid until it is returned, and one that is only late is worth waiting for. What tells
them apart is not a fixed time but what others of its type and zone did: one that several rented after it have
overtaken is late by itself; where nothing comes up, the zone is slow, and to return all of it would only rent it
anew.
"""

from collections import deque
from collections.abc import Iterable, Mapping

from tideusher.clock import SECOND_US, to_us
from tideusher.core.model.records import BOOTING, Machine
from tideusher.wire.cloud import FAILED, UP, MachineType

#: So many boots of a kind are remembered, and fewer than LEAST say nothing.
KEPT, LEAST = 32, 4
#: A machine is late beyond this many times what most boots of its kind take (PROTOCOL: up to 1.5 times the usual).
LATE = 1.5
#: One that this many younger ones overtook is late by itself; others are waited for so many times longer.
OVERTAKEN, SLOW_ZONE = 3, 2
#: Of a zone and type this part of what boots goes back at a time, or one: no burst of returns for late boots.
AT_ONCE = 0.1
MARGIN_US = 10 * SECOND_US

Kind = tuple[str, str]


class Boots:
    """What boots of each type and zone have lately taken."""

    def __init__(self, types: Mapping[str, MachineType], patience: float) -> None:
        self._types, self._patience = types, patience
        self._took: dict[Kind, deque[int]] = {}
        self._came: dict[Kind, deque[int]] = {}  # when those that came up had been rented

    def came_up(self, machine: Machine, now_us: int) -> None:
        """A machine reports for the first time. One inherited may have been up for long."""
        kind = (machine.type, machine.zone)
        if not machine.inherited and (machine.saw_rental_answer or machine.listed):
            self._took.setdefault(kind, deque(maxlen=KEPT)).append(now_us - machine.rented_us)
            self._came.setdefault(kind, deque(maxlen=KEPT)).append(machine.rented_us)

    def usual_us(self, machine: Machine) -> int | None:
        """What nine of ten boots of its kind take, as seen or as the type says; None: the type is not known."""
        kind = self._types.get(machine.type)
        if kind is None:
            return None
        said_us, took = to_us(kind.boot_s), sorted(self._took.get((machine.type, machine.zone), ()))
        if len(took) < LEAST:
            return said_us
        # Some boots are very short at times: a machine is no later than its type says for that.
        return max(said_us, took[len(took) * 9 // 10])

    def overtaken(self, machine: Machine) -> bool:
        """Have several machines of its kind come up that were rented after it?"""
        came = self._came.get((machine.type, machine.zone), ())
        return sum(rented_us > machine.rented_us for rented_us in came) >= OVERTAKEN

    def late(self, machine: Machine, now_us: int) -> bool:
        """Is it no longer counted on when renting? Work that waits for it would wait in vain."""
        usual_us = self.usual_us(machine)
        return (
            machine.phase == BOOTING
            and not machine.inherited
            and usual_us is not None
            and now_us - machine.rented_us > LATE * usual_us
            and self.overtaken(machine)
        )

    def given_up(self, machine: Machine, since_us: int, now_us: int) -> bool:
        """Has it been waited for long enough, counted from `since_us`?"""
        usual_us = self.usual_us(machine)
        if usual_us is None:
            return False
        patience_us = round(usual_us * self._patience) + MARGIN_US
        if not (self.overtaken(machine) or machine.listed == FAILED):
            patience_us *= SLOW_ZONE
        return now_us - since_us > patience_us

    def overdue(self, machines: Iterable[Machine], began_us: int, now_us: int) -> list[Machine]:
        """Those to return now, the longest awaited first; of each kind a part of what boots at a time.

        The patience for an inherited machine begins at our election (`began_us`), and not at all while the cloud
        lists it as running: a new leader once returned a whole fleet that had yet to report to it.
        """
        booting: dict[Kind, int] = {}
        found: dict[Kind, list[tuple[int, Machine]]] = {}
        for machine in machines:
            if machine.phase != BOOTING:
                continue
            kind = (machine.type, machine.zone)
            booting[kind] = booting.get(kind, 0) + 1
            if machine.inherited and machine.listed == UP:
                continue
            since_us = began_us if machine.inherited else machine.rented_us
            if self.given_up(machine, since_us, now_us):
                found.setdefault(kind, []).append((since_us, machine))
        out = []
        for kind, waited in found.items():
            waited.sort(key=lambda one: (one[0], one[1].name))
            out += [machine for _, machine in waited[: max(1, round(booting[kind] * AT_ONCE))]]
        return out
