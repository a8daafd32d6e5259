"""Parses the user-defined indexes of array tasks: `0-9`, `1-99:2`, `1,4,7-9`."""

import re
from collections.abc import Sequence

_RANGE = re.compile(r"([0-9]{1,9})(?:-([0-9]{1,9})(?::([0-9]{1,9}))?)?")


class InvalidArray(ValueError):
    """The text is not a list of numbers and ranges; the message gives the reason in one line."""


class ArrayIndexes(Sequence[int]):
    """Strictly increasing array indexes, stored as ranges. Position i holds the index of task i."""

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
        """Returns the task that has this array index; raises ValueError if there is none."""
        position = 0
        for part in self._ranges:
            if number in part:
                return position + part.index(number)
            position += len(part)
        raise ValueError(f"{number} is not an index of the array")


def parse_indexes(text: str, max_tasks: int) -> ArrayIndexes:
    """Parses a list of numbers and ranges.

    Raises InvalidArray if the text is malformed, does not increase, or names more than `max_tasks` tasks.
    """
    ranges: list[range] = []
    count = 0
    for part in text.split(","):
        match = _RANGE.fullmatch(part)
        if not match:
            raise InvalidArray(f"{part!r} is not a number or a range X-Y or X-Y:Z")
        first, last, step = int(match[1]), int(match[2] or match[1]), int(match[3] or 1)
        if last < first:
            raise InvalidArray(f"{part!r} goes down")
        if step < 1:
            raise InvalidArray(f"{part!r} has no step")
        if ranges and first <= ranges[-1][-1]:
            raise InvalidArray(f"{part!r} does not come after {ranges[-1][-1]}")
        ranges.append(range(first, last + 1, step))
        count += len(ranges[-1])
        if count > max_tasks:
            raise InvalidArray(f"it names more than {max_tasks} tasks")
    return ArrayIndexes(ranges)
