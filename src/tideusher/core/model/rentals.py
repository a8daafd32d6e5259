"""Rental requests with their machines, as they are written to the state service."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from tideusher.core.model.records import Machine

#: Prefix of the rental of an adopted machine, followed by the machine's name.
ADOPTED = "adopted-"


@dataclass(slots=True, eq=False)
class Rental:
    """A rental request: persisted as an intent first, then with the machines that the cloud provided.

    Only a `RentalIndex` changes `machines` and `returning` (those of them whose return was requested).
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
        """True if its machine was adopted: no known rental had provided it."""
        return self.name.startswith(ADOPTED)

    def value(self) -> dict[str, Any] | None:
        """Returns the record as persisted; None once it is to be removed."""
        if self.given_up or (self.answered and not self.machines):
            return None
        return {
            "type": self.type,
            "zone": self.zone,
            "spot": self.spot,
            "count": self.count,
            "answered": self.answered,
            "machines": list(self.machines),  # copied, as a queued transaction must not change
            "returning": list(self.returning),
        }


class RentalIndex:
    """Index of the rentals that name each machine, and whether the machine's return was requested.

    Usually one rental names a machine. Two name it while the rental that provided a machine replaces its adoption,
    and after a leader ended in between: a late copy of a report can have a returned machine adopted before the record
    of its rental is written. A return requested in either of them then applies, whichever owns the machine.
    """

    def __init__(self, machines: Mapping[str, Machine]) -> None:
        """`machines`: known machines by name; the index keeps their `rental` up to date."""
        self._machines = machines
        self._rentals_of: dict[str, list[Rental]] = {}

    def rentals_with(self, machine: str) -> tuple[Rental, ...]:
        """Returns the rentals that name the machine, its owner first."""
        return tuple(self._rentals_of.get(machine, ()))

    def return_asked(self, machine: str) -> bool:
        """Returns whether the machine's return was requested in any rental."""
        return any(machine in rental.returning for rental in self._rentals_of.get(machine, ()))

    def add(self, rental: Rental, machine: str) -> None:
        """Adds the machine to the rental."""
        if self.return_asked(machine) and machine not in rental.returning:
            rental.returning.append(machine)
        if machine not in rental.machines:
            rental.machines.append(machine)
        self._link(rental, machine)

    def remove(self, rental: Rental, machine: str) -> None:
        """Removes the machine from the rental."""
        rental.machines.remove(machine)
        if machine in rental.returning:
            rental.returning.remove(machine)
        self._unlink(rental, machine)

    def mark_return_requested(self, machine: str) -> None:
        """Marks the machine as returning in every rental that names it."""
        for rental in self._rentals_of.get(machine, ()):
            if machine not in rental.returning:
                rental.returning.append(machine)

    def forget(self, machine: str) -> tuple[Rental, ...]:
        """Removes the machine from all rentals; returns those that named it."""
        rentals = self.rentals_with(machine)
        for rental in rentals:
            self.remove(rental, machine)
        return rentals

    def replace(self, rental: Rental, machines: Iterable[str], returning: Iterable[str]) -> None:
        """Sets the rental's machines, and those being returned, to the content of its record."""
        before, rental.machines, rental.returning = rental.machines, list(machines), list(returning)
        for machine in before:
            if machine not in rental.machines:
                self._unlink(rental, machine)
        for machine in rental.machines:
            self._link(rental, machine)

    def _link(self, rental: Rental, machine: str) -> None:
        rentals = self._rentals_of.setdefault(machine, [])
        if rental not in rentals:
            rentals.append(rental)
            rentals.sort(key=lambda other: (other.adopted, other.name))
        self._update_owner(machine, rentals)

    def _unlink(self, rental: Rental, machine: str) -> None:
        rentals = self._rentals_of[machine]
        rentals.remove(rental)
        if rentals:
            self._update_owner(machine, rentals)
        else:
            del self._rentals_of[machine]

    def _update_owner(self, machine: str, rentals: list[Rental]) -> None:
        known = self._machines.get(machine)
        if known is not None:
            known.rental = rentals[0].name
