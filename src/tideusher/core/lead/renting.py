"""Rentals: asked for under names that are never used again, and the machines that they brought.

A rental's record is its intent first, then its machines. What it asks for never changes: the next leader takes each
machine for what the record of its rental says.
"""

import logging
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, Protocol

from tideusher.core.decide.fleet import Fleet, PlannedRental
from tideusher.core.decide.starts import Kind, kind_of
from tideusher.core.model import keys
from tideusher.core.model.entries import Effect, Entry
from tideusher.core.model.ledger import Ledger
from tideusher.core.model.pages import ReadValue
from tideusher.core.model.records import Machine
from tideusher.core.model.rentals import Rental, RentalIndex
from tideusher.core.model.write_queue import WriteQueue
from tideusher.invariants import Invariants, Rule

#: A rental asks for so many machines at the most.
MOST_A_RENTAL = 50
#: So many machines of a rental are named in the log.
NAMED = 8


class Fleets(Protocol):
    """What this needs of the leader's picture: rentals, machines, and the way to their records."""

    token: int
    rentals: dict[str, Rental]
    rental_index: RentalIndex
    machines: dict[str, Machine]
    gone: set[str]
    fleet: Fleet
    ledger: Ledger
    write_queue: WriteQueue
    to_rent: list[Rental]
    rents_machines: bool
    dirty: bool

    def entry(self, key: str, value: Callable[[], Any]) -> Entry:
        """The entry of a key that this leader writes."""

    def forget_entry(self, key: str) -> Entry | None:
        """Nothing more is written under the key, but for what waits already."""

    def knows_key(self, key: str) -> bool:
        """Is there such a record, as far as this leader can tell?"""

    def add_machine(self, name: str, rental: Rental, now_us: int) -> Machine:
        """A machine is known from now on."""


class Renting:
    """The transitions of rentals in a cluster's picture."""

    def __init__(self, cluster: Fleets, invariants: Invariants, value_of: ReadValue) -> None:
        """`value_of`: a key's value as the newest read has it."""
        self._c, self._invariants, self._value_of = cluster, invariants, value_of
        self.log = logging.getLogger("cluster")
        self._count = 0

    # ---------------------------------------------------------------- records

    def entry(self, rental: Rental) -> Entry:
        """The rental's record; it is written only if what is on record under its name is the same rental."""
        entry = self._c.entry(keys.rental_key(rental.name), rental.value)
        entry.valid = partial(self._is_same, rental)
        return entry

    def enqueue(self, rental: Rental, effect: Effect | None = None, urgent: bool = True) -> None:
        """The rental changed."""
        self._c.write_queue.enqueue(self.entry(rental), effect, urgent)

    def _is_same(self, rental: Rental) -> bool:
        """Asked whenever the record is about to be written. A rental that stands against another is given up."""
        stored = self._value_of(keys.rental_key(rental.name))
        if not stored or (_asked(stored) == _kind(rental) and rental.answered >= stored["answered"]):
            return True
        self._invariants.violated(
            Rule.RENTAL_KIND,
            f"rental {rental.name} of token {self._c.token} is {_kind(rental)}; on record under that name is "
            f"{_asked(stored)} with {stored['machines']}",
        )
        entry = self.entry(rental)
        entry.effects, entry.dirty = [], False
        if not rental.answered:
            self._c.rentals.pop(rental.name, None)
        return False

    def write_those_of(self, machines: Iterable[Machine]) -> None:
        """No task is on record on a machine that is not: the record of the machine is written before, or with it.

        A later leader takes a machine that no record names for one that is gone, and what was on it with it. Records
        of rentals wait behind urgent ones; a leader that died in between left tasks that were started again elsewhere
        while they ran.
        """
        for rental in {machine.rental: self._c.rentals[machine.rental] for machine in machines}.values():
            if self._c.rents_machines and not self._c.write_queue.is_written(self.entry(rental)):
                self.enqueue(rental)

    def settle(self, rental: Rental, effect: Effect | None = None, urgent: bool = False) -> None:
        """Write what is left of the rental; one of which nothing is left is forgotten."""
        self.enqueue(rental, effect, urgent)
        if rental.value() is None:
            self._c.rentals.pop(rental.name, None)
            self._c.forget_entry(keys.rental_key(rental.name))

    # ---------------------------------------------------------------- machines that several rentals name

    def keep_one(self, machine: Machine, then: Effect) -> None:
        """Call `then` once one record alone names the machine, and says of its return what any of them did.

        The owner's record is written first, and only then the name removed from another: a leader that ends in
        between leaves records of which one at least says that the return was asked (safety 5).
        """
        owner, *others = self._c.rental_index.rentals_with(machine.name) or (None,)
        if owner is None or not others:
            then()
            return
        self.log.info("machine %s is named by %s too; %s keeps it", machine.name, others[-1].name, owner.name)
        self.enqueue(owner, partial(self._release, others[-1], machine, then))

    def _release(self, rental: Rental, machine: Machine, then: Effect) -> None:
        if machine.name in rental.machines:  # it may be gone by now
            self._c.rental_index.remove(rental, machine.name)
        self.settle(rental, partial(self.keep_one, machine, then), urgent=True)

    def _absorb(self, adopted: Rental, rental: Rental, machine: Machine) -> None:
        """The record of the adoption was never written, and need not be.

        What was to follow once it is written follows the rental's record instead: a return that has yet to be
        persisted, for one.
        """
        entry = self.entry(adopted)
        effects, entry.effects = entry.effects, []
        for effect in effects:
            self.enqueue(rental, effect)
        self._c.rental_index.remove(adopted, machine.name)
        self.settle(adopted)

    # ---------------------------------------------------------------- asking

    def rent(self, wish: PlannedRental) -> None:
        """Persist the intent; the cloud hears of it after that. The name holds our token: never reused."""
        count = min(MOST_A_RENTAL, wish.count)
        rental = Rental(self._new_name(), wish.type, wish.zone, wish.spot, count)
        self._c.rentals[rental.name] = rental
        self.log.info("rent %d %s as %s: %s", rental.count, _told(rental), rental.name, wish.reason)
        self.enqueue(rental, lambda: self._c.to_rent.append(rental))

    def _new_name(self) -> str:
        while True:
            self._count += 1
            name = f"{self._c.token}-{self._count}"
            if name not in self._c.rentals and not self._c.knows_key(keys.rental_key(name)):
                return name
            found = f"a rental {name} is there already, and token {self._c.token} would name another so"
            self._invariants.violated(Rule.RENTAL_NAME, found)

    def asked(self) -> list[Rental]:
        """Rentals whose answer has yet to come."""
        return [rental for rental in self._c.rentals.values() if not rental.answered]

    # ---------------------------------------------------------------- answers

    def rented(self, rental: Rental, names: list[str], now_us: int) -> None:
        """A rental request was answered with machines."""
        if rental.answered:
            return
        rental.answered = True
        self._c.fleet.granted(_kind(rental))
        for name in self._once(rental, names):
            if name not in self._c.gone:
                self._take(rental, name, now_us)
        self.settle(rental)
        if len(names) < rental.count:
            self._c.fleet.refused(_kind(rental), now_us)
        told = ", ".join(names[:NAMED])
        self.log.info("rental %s brought %d of %d machines: %s", rental.name, len(names), rental.count, told)
        self._c.ledger.set_fleet(self._c.machines.values())

    def _once(self, rental: Rental, names: list[str]) -> list[str]:
        """The names of an answer, each once."""
        once = list(dict.fromkeys(names))
        for name in once:
            if names.count(name) > 1:
                self.log.error("the answer to rental %s names %s twice", rental.name, name)
        return once

    def _take(self, rental: Rental, name: str, now_us: int) -> None:
        """A machine that the answer names is the rental's from now on, unless it is of another rental."""
        machine = self._c.machines.get(name)
        if machine is None:
            self._c.add_machine(name, rental, now_us)
            return
        others = self._c.rental_index.rentals_with(name)
        if not others or not all(other.adopted for other in others):
            self._invariants.violated(
                Rule.RENTAL_MACHINES,
                f"rental {rental.name} ({_kind(rental)}) brought {name}, which is of rental {machine.rental} "
                f"({kind_of(machine)})",
            )
            if others:
                return
        self._c.rental_index.add(rental, name)
        for adopted in others:  # it reported before the answer came
            if self._c.write_queue.never_written(self.entry(adopted)):
                self._absorb(adopted, rental, machine)
        self.keep_one(machine, lambda: None)

    def refused(self, rental: Rental, now_us: int) -> None:
        """No capacity of this kind."""
        self.log.info("rental %s refused: no %s", rental.name, _told(rental))
        self._c.fleet.refused(_kind(rental), now_us)
        rental.given_up = True
        self.settle(rental)
        self._c.dirty = True


def _kind(rental: Rental) -> Kind:
    return Kind(rental.type, rental.zone, rental.spot)


def _asked(record: dict[str, Any]) -> Kind:
    """What a rental on record asked for."""
    return Kind(record["type"], record["zone"], record["spot"])


def _told(rental: Rental) -> str:
    return str(_kind(rental))
