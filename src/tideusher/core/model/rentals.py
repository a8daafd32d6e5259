"""Rental requests and the machines that they brought, as they are written to the state service."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from tideusher.core.model.records import Machine

#: With the name of a machine that no rental named: the rental that it is kept under.
ADOPTED = "adopted-"


@dataclass(slots=True, eq=False)
class Rental:
    """A rental request: persisted as an intent first, then with the machines it brought.

    `machines` and `returning` (those of them whose return was asked) are changed by a `RentalIndex` only.
    """

    name: str
    type: str
    zone: str
    spot: bool
    count: int
    answered: bool = False
    machines: list[str] = field(default_factory=list)
    returning: list[str] = field(default_factory=list)
    given_up: bool = False

    @property
    def adopted(self) -> bool:
        """Was no rental of ours known to have brought its machine?"""
        return self.name.startswith(ADOPTED)

    def value(self) -> dict[str, Any] | None:
        """As persisted; None once nothing of it is left."""
        if self.given_up or (self.answered and not self.machines):
            return None
        return {
            "type": self.type,
            "zone": self.zone,
            "spot": self.spot,
            "count": self.count,
            "answered": self.answered,
            "machines": list(self.machines),  # a transaction that waits for its turn must not change
            "returning": list(self.returning),
        }


class RentalIndex:
    """Which rentals name each machine, and whether its return was asked.

    Usually one rental names a machine. Two do while an adoption is replaced by the rental that brought the machine,
    and after a leader ended in between: a returned machine can be adopted by a late copy of a report before the
    record of its rental is written. What one of them says of its return then holds whichever of them owns it.
    """

    def __init__(self, machines: Mapping[str, Machine]) -> None:
        """`machines`: those that are known, by name; each is kept told which rental owns it."""
        self._machines = machines
        self._naming: dict[str, list[Rental]] = {}

    def rentals_with(self, machine: str) -> tuple[Rental, ...]:
        """The rentals that name the machine, its owner first; empty: none does."""
        return tuple(self._naming.get(machine, ()))

    def return_asked(self, machine: str) -> bool:
        """Does any rental say that the machine's return was asked?"""
        return any(machine in rental.returning for rental in self._naming.get(machine, ()))

    def add(self, rental: Rental, machine: str) -> None:
        """The rental names the machine from now on."""
        if self.return_asked(machine) and machine not in rental.returning:
            rental.returning.append(machine)
        if machine not in rental.machines:
            rental.machines.append(machine)
        self._link(rental, machine)

    def remove(self, rental: Rental, machine: str) -> None:
        """The rental names the machine no more."""
        rental.machines.remove(machine)
        if machine in rental.returning:
            rental.returning.remove(machine)
        self._unlink(rental, machine)

    def mark_return_requested(self, machine: str) -> None:
        """The machine's return is asked: every rental that names it says so."""
        for rental in self._naming.get(machine, ()):
            if machine not in rental.returning:
                rental.returning.append(machine)

    def forget(self, machine: str) -> tuple[Rental, ...]:
        """The machine is gone: no rental names it any more; returns those that did."""
        rentals = self.rentals_with(machine)
        for rental in rentals:
            self.remove(rental, machine)
        return rentals

    def replace(self, rental: Rental, machines: Iterable[str], returning: Iterable[str]) -> None:
        """The rental names these machines and no others, as its record says."""
        before, rental.machines, rental.returning = rental.machines, list(machines), list(returning)
        for machine in before:
            if machine not in rental.machines:
                self._unlink(rental, machine)
        for machine in rental.machines:
            self._link(rental, machine)

    def _link(self, rental: Rental, machine: str) -> None:
        rentals = self._naming.setdefault(machine, [])
        if rental not in rentals:
            rentals.append(rental)
            rentals.sort(key=lambda one: (one.adopted, one.name))
        self._tell_owner(machine, rentals)

    def _unlink(self, rental: Rental, machine: str) -> None:
        rentals = self._naming[machine]
        rentals.remove(rental)
        if rentals:
            self._tell_owner(machine, rentals)
        else:
            del self._naming[machine]

    def _tell_owner(self, machine: str, rentals: list[Rental]) -> None:
        known = self._machines.get(machine)
        if known is not None:
            known.rental = rentals[0].name
