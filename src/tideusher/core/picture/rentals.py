"""Rental requests and the machines that they brought, as they are written to the state service."""

from dataclasses import dataclass, field
from typing import Any

#: With the name of a machine that no rental named: the rental that it is kept under.
ADOPTED = "adopted-"


@dataclass(slots=True, eq=False)
class Rental:
    """A rental request: persisted as an intent first, then with the machines it brought."""

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
