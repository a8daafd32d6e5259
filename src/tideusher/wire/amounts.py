"""The bounds within which amounts are counted: those of a job's description, and of the cloud's machine types.

Decisions compute with amounts in whole microseconds, by sums and by division. An amount that is so large or so small
that this fails would fail in every scheduling pass, of every leader. No bound is a reason to refuse an amount.
"""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """The smallest amount above 0, and the largest one; 0 is always allowed."""

    least: float
    most: float
    unit: str

    def contain(self, amount: float) -> bool:
        """True if the amount is 0 or within the bounds; False for NaN."""
        return amount == 0 or self.least <= amount <= self.most

    def clamp(self, amount: float) -> float:
        """Returns the nearest amount within the bounds; 0 for NaN."""
        if amount <= 0 or math.isnan(amount):
            return 0.0
        return min(self.most, max(self.least, amount))


#: Some thirty years; the steady clocks and due times in microseconds stay far below 2^62.
DURATION = Bounds(1e-6, 1e9, "seconds")
RESOURCE = Bounds(1e-6, 1e9, "units")
IMAGE = Bounds(1e-6, 1e6, "GB")
PRICE = Bounds(1e-9, 1e9, "an hour")
