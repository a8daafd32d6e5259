"""The users' numbers of an array's tasks: `0-9`, `1-99:2`, `1,4,7-9`."""

import re
from collections.abc import Sequence

_RANGE = re.compile(r"([0-9]{1,9})(?:-([0-9]{1,9})(?::([0-9]{1,9}))?)?")


class BadArray(ValueError):
    """The text is no list of numbers and ranges; the message says why, in one line."""


class Indexes(Sequence[int]):
    """Increasing numbers, kept as ranges. Position i is the number of task i."""

    def __init__(self, ranges: list[range]) -> None:
        self._ranges = ranges

    def __len__(self) -> int:
        return sum(map(len, self._ranges))

    def __getitem__(self, position):  # type: ignore[no-untyped-def]
        if isinstance(position, slice):
            return [self[i] for i in range(*position.indices(len(self)))]
        for part in self._ranges:
            if position < len(part):
                return part[position]
            position -= len(part)
        raise IndexError(position)

    def index(self, number: int, start: int = 0, stop: int | None = None) -> int:
        """The task with this number; raises ValueError."""
        first = 0
        for part in self._ranges:
            if number in part:
                return first + part.index(number)
            first += len(part)
        raise ValueError(f"{number} is not one of the array's numbers")


def parse_indexes(text: str, most: int) -> Indexes:
    """Read a list of numbers and ranges; raises BadArray if it is none, goes down, or names over `most`."""
    ranges: list[range] = []
    count = 0
    for part in text.split(","):
        found = _RANGE.fullmatch(part)
        if not found:
            raise BadArray(f"{part!r} is not a number or a range X-Y or X-Y:Z")
        first, last, step = int(found[1]), int(found[2] or found[1]), int(found[3] or 1)
        if last < first:
            raise BadArray(f"{part!r} goes down")
        if step < 1:
            raise BadArray(f"{part!r} has no step")
        if ranges and first <= ranges[-1][-1]:
            raise BadArray(f"{part!r} does not come after {ranges[-1][-1]}")
        ranges.append(range(first, last + 1, step))
        count += len(ranges[-1])
        if count > most:
            raise BadArray(f"it names more than {most} tasks")
    return Indexes(ranges)
