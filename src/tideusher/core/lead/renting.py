"""Rentals: requested under names that are never reused, and the machines that they brought.

A rental's record states the intent first, then its machines. The kind of machine that it requests never changes:
the next leader takes each machine for what the record of its rental states.
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

#: The most machines that one rental requests.
MAX_MACHINES_REQUESTED = 50
#: The most machines of a rental that a log line names.
MAX_NAMED = 8


class RentalOwner(Protocol):
    """The part of the cluster that this module needs: rentals, machines and access to their records."""

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
        """Returns the entry of a key that this leader writes."""

    def forget_entry(self, key: str) -> Entry | None:
        """Forgets the key's entry and returns it; only writes that are queued already are still made."""

    def knows_key(self, key: str) -> bool:
        """True if such a record exists, as far as this leader knows."""

    def add_machine(self, name: str, rental: Rental, now_us: int) -> Machine:
        """Adds a machine that the rental brought and that was not known before."""


class Renting:
    """The transitions of a cluster's rentals."""

    def __init__(self, cluster: RentalOwner, invariants: Invariants, value_of: ReadValue) -> None:
        """Args: `value_of` returns a key's value as of the newest read."""
        self._c, self._invariants, self._value_of = cluster, invariants, value_of
        self.log = logging.getLogger("cluster")
        self._count = 0

    # ---------------------------------------------------------------- records

    def entry(self, rental: Rental) -> Entry:
        """Returns the rental's entry; it is written only if the record under its name is of the same rental."""
        entry = self._c.entry(keys.rental_key(rental.name), rental.value)
        entry.valid = partial(self._is_same, rental)
        return entry

    def enqueue(self, rental: Rental, effect: Effect | None = None, urgent: bool = True) -> None:
        """Enqueues the write of a changed rental."""
        self._c.write_queue.enqueue(self.entry(rental), effect, urgent)

    def _is_same(self, rental: Rental) -> bool:
        """True if the record may be written; checked before each write.

        A rental whose name the record of another rental has is dropped.
        """
        stored = self._value_of(keys.rental_key(rental.name))
        if not stored or (_stored_kind(stored) == _kind(rental) and rental.answered >= stored["answered"]):
            return True
        self._invariants.violated(
            Rule.RENTAL_KIND,
            f"rental {rental.name} of token {self._c.token} is {_kind(rental)}; the record of that name has "
            f"{_stored_kind(stored)} with {stored['machines']}",
        )
        entry = self.entry(rental)
        entry.effects, entry.dirty = [], False
        if not rental.answered:
            self._c.rentals.pop(rental.name, None)
        return False

    def persist_rentals_of(self, machines: Iterable[Machine]) -> None:
        """Enqueues the records of these machines' rentals, to be written before or with the tasks placed there.

        A later leader takes a machine that no record names for gone, with everything on it. Rental records wait
        behind urgent ones; a leader that died in between left tasks that were started again elsewhere while they
        still ran.
        """
        for rental in {machine.rental: self._c.rentals[machine.rental] for machine in machines}.values():
            if self._c.rents_machines and not self._c.write_queue.is_written(self.entry(rental)):
                self.enqueue(rental)

    def settle(self, rental: Rental, effect: Effect | None = None, urgent: bool = False) -> None:
        """Writes what is left of the rental; a rental without machines is forgotten."""
        self.enqueue(rental, effect, urgent)
        if rental.value() is None:
            self._c.rentals.pop(rental.name, None)
            self._c.forget_entry(keys.rental_key(rental.name))

    # ---------------------------------------------------------------- machines named by several rentals

    def resolve_owner(self, machine: Machine, then: Effect) -> None:
        """Calls `then` once a single record names the machine, marked as returning if any of them was.

        The owner's record is written first, and only then is the name removed from the others: a leader that ends
        in between leaves at least one record that states that the return was requested (safety 5).
        """
        owner, *others = self._c.rental_index.rentals_with(machine.name) or (None,)
        if owner is None or not others:
            then()
            return
        self.log.info(
            "machine %s is named by rental %s too; rental %s keeps it", machine.name, others[-1].name, owner.name
        )
        self.enqueue(owner, partial(self._release, others[-1], machine, then))

    def _release(self, rental: Rental, machine: Machine, then: Effect) -> None:
        if machine.name in rental.machines:  # the machine may be gone by now
            self._c.rental_index.remove(rental, machine.name)
        self.settle(rental, partial(self.resolve_owner, machine, then), urgent=True)

    def _merge_adoption(self, adopted: Rental, rental: Rental, machine: Machine) -> None:
        """Drops an adoption whose record was never written in favour of the rental.

        Effects that waited for the adoption's record, such as a return that is not persisted yet, are attached to
        the rental's record instead.
        """
        entry = self.entry(adopted)
        effects, entry.effects = entry.effects, []
        for effect in effects:
            self.enqueue(rental, effect)
        self._c.rental_index.remove(adopted, machine.name)
        self.settle(adopted)

    # ---------------------------------------------------------------- requests

    def rent(self, planned: PlannedRental) -> None:
        """Persists the intent, then has the cloud asked. The name contains the token, so it is never reused."""
        count = min(MAX_MACHINES_REQUESTED, planned.count)
        rental = Rental(self._new_name(), planned.type, planned.zone, planned.spot, count)
        self._c.rentals[rental.name] = rental
        self.log.info("rent %d %s as %s: %s", rental.count, _describe_kind(rental), rental.name, planned.reason)
        self.enqueue(rental, lambda: self._c.to_rent.append(rental))

    def _new_name(self) -> str:
        while True:
            self._count += 1
            name = f"{self._c.token}-{self._count}"
            if name not in self._c.rentals and not self._c.knows_key(keys.rental_key(name)):
                return name
            violation = f"a rental {name} exists already, and token {self._c.token} would give its name to another"
            self._invariants.violated(Rule.RENTAL_NAME, violation)

    def asked(self) -> list[Rental]:
        """Returns the rentals that are not answered yet."""
        return [rental for rental in self._c.rentals.values() if not rental.answered]

    # ---------------------------------------------------------------- answers

    def rented(self, rental: Rental, names: list[str], now_us: int) -> None:
        """Handles the answer to a rental request with the names of its machines."""
        if rental.answered:
            return
        rental.answered = True
        self._c.fleet.granted(_kind(rental))
        for name in self._without_repeats(rental, names):
            if name not in self._c.gone:
                self._take(rental, name, now_us)
        self.settle(rental)
        if len(names) < rental.count:
            self._c.fleet.refused(_kind(rental), now_us)
        listed = ", ".join(names[:MAX_NAMED])
        self.log.info("rental %s brought %d of %d machines: %s", rental.name, len(names), rental.count, listed)
        self._c.ledger.set_fleet(self._c.machines.values())

    def _without_repeats(self, rental: Rental, names: list[str]) -> list[str]:
        """Returns the names in an answer without repetitions."""
        once = list(dict.fromkeys(names))
        for name in once:
            if names.count(name) > 1:
                self.log.error("the answer to rental %s names %s twice", rental.name, name)
        return once

    def _take(self, rental: Rental, name: str, now_us: int) -> None:
        """Assigns a machine named in the answer to the rental, unless it belongs to another rental."""
        machine = self._c.machines.get(name)
        if machine is None:
            self._c.add_machine(name, rental, now_us)
            return
        others = self._c.rental_index.rentals_with(name)
        if not others or not all(other.adopted for other in others):
            self._invariants.violated(
                Rule.RENTAL_MACHINES,
                f"rental {rental.name} ({_kind(rental)}) brought {name}, which belongs to rental {machine.rental} "
                f"({kind_of(machine)})",
            )
            if others:
                return
        self._c.rental_index.add(rental, name)
        for adopted in others:  # the machine reported before the answer came
            if self._c.write_queue.never_written(self.entry(adopted)):
                self._merge_adoption(adopted, rental, machine)
        self.resolve_owner(machine, lambda: None)

    def refused(self, rental: Rental, now_us: int) -> None:
        """Handles the refusal of a rental for lack of capacity."""
        self.log.info("rental %s refused: no capacity for %s", rental.name, _describe_kind(rental))
        self._c.fleet.refused(_kind(rental), now_us)
        rental.given_up = True
        self.settle(rental)
        self._c.dirty = True


def _kind(rental: Rental) -> Kind:
    return Kind(rental.type, rental.zone, rental.spot)


def _stored_kind(record: dict[str, Any]) -> Kind:
    """Returns the kind of machine that a stored rental requested."""
    return Kind(record["type"], record["zone"], record["spot"])


def _describe_kind(rental: Rental) -> str:
    return str(_kind(rental))
