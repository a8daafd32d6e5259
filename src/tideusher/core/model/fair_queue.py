"""The order in which urgent entries are written: what belongs to no job first, then one of each job in turn.

An array of 25,000 tasks has 400 records; starts and ends of all others waited behind them for half a minute. What
belongs to no job (machines that are rented or returned) goes before all jobs': no task may be on record on a machine
that is not. To take the next ones costs what is taken, not what waits.
"""

import heapq
from collections.abc import Generator, Iterator
from dataclasses import dataclass, field

from tideusher.core.model.entries import Entry


@dataclass(slots=True)
class _Owned:
    """What waits of one job, oldest first, each with its number in the order of all."""

    entries: dict[str, tuple[int, Entry]] = field(default_factory=dict)

    @property
    def first(self) -> int:
        """The number of the oldest."""
        return next(iter(self.entries.values()))[0]


class FairQueue:
    """Entries by key, in the order of their turns."""

    def __init__(self) -> None:
        self._next = self._front = 0
        self._unowned: dict[str, Entry] = {}
        self._owned: dict[str, _Owned] = {}
        self._owner_of: dict[str, str] = {}
        self._heads: list[tuple[int, str]] = []  # (number, owner) of first entries; those that are not any more stay

    def __len__(self) -> int:
        return len(self._unowned) + len(self._owner_of)

    def __contains__(self, key: str) -> bool:
        return key in self._unowned or key in self._owner_of

    def get(self, key: str) -> Entry | None:
        """The entry that waits under this key."""
        if key in self._unowned:
            return self._unowned[key]
        owner = self._owner_of.get(key)
        return self._owned[owner].entries[key][1] if owner is not None else None

    def add(self, entry: Entry) -> None:
        """Last in the order, if none waits under its key."""
        if entry.key in self:
            return
        self._next += 1
        if entry.owner:
            self._put(entry, self._next, first=False)
        else:
            self._unowned[entry.key] = entry

    def add_first(self, entry: Entry) -> None:
        """First in the order, in place of what waits under its key."""
        self.discard(entry.key)
        self._front -= 1
        if entry.owner:
            self._put(entry, self._front, first=True)
        else:
            self._unowned = {entry.key: entry, **self._unowned}

    def replace(self, entry: Entry) -> None:
        """Take the place of what waits under the same key."""
        if entry.key in self._unowned:
            self._unowned[entry.key] = entry
            return
        entries = self._owned[self._owner_of[entry.key]].entries
        entries[entry.key] = (entries[entry.key][0], entry)

    def discard(self, key: str) -> None:
        """Nothing waits under this key any more."""
        self._unowned.pop(key, None)
        owner = self._owner_of.pop(key, None)
        if owner is None:
            return
        owned = self._owned[owner]
        del owned.entries[key]
        if owned.entries:
            self._push_head(owner)
        else:
            del self._owned[owner]

    def in_turn(self) -> Generator[Entry]:
        """All entries in their order. What was yielded may be discarded before the next; nothing may be added."""
        yield from list(self._unowned.values())
        waiting: dict[str, list[tuple[int, Entry]]] = {}  # of each job looked at, as it was then
        try:
            for owner in self._pop_heads():
                waiting[owner] = list(self._owned[owner].entries.values())
                yield waiting[owner][0][1]
            turn = 1
            while rest := [entries[turn] for entries in waiting.values() if len(entries) > turn]:
                for _, entry in sorted(rest, key=lambda one: one[0]):
                    yield entry
                turn += 1
        finally:
            for owner in waiting:
                self._push_head(owner)

    # ---------------------------------------------------------------- first entries

    def _put(self, entry: Entry, number: int, first: bool) -> None:
        self._owner_of[entry.key] = entry.owner
        owned = self._owned.setdefault(entry.owner, _Owned())
        if first:
            owned.entries = {entry.key: (number, entry), **owned.entries}
        else:
            owned.entries[entry.key] = (number, entry)
        if first or len(owned.entries) == 1:
            self._push_head(entry.owner)

    def _push_head(self, owner: str) -> None:
        if owner in self._owned:
            heapq.heappush(self._heads, (self._owned[owner].first, owner))

    def _pop_heads(self) -> Iterator[str]:
        """Jobs in the order of their first entries."""
        seen: set[str] = set()
        while self._heads:
            number, owner = heapq.heappop(self._heads)
            owned = self._owned.get(owner)
            if owned is not None and owner not in seen and owned.first == number:
                seen.add(owner)
                yield owner
