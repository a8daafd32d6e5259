"""Order in which urgent entries are written: entries without a job first, then round robin over the jobs.

An array of 25,000 tasks has 400 records; in a plain queue the starts and ends of all other jobs waited behind them
for half a minute. Entries that belong to no job (rented and returned machines) precede those of all jobs, because no
task may be on record on a machine that is not. Taking the next entries costs time in proportion to the entries
taken, not to those that wait.
"""

import heapq
from collections.abc import Generator, Iterator
from dataclasses import dataclass, field

from tideusher.core.model.entries import Entry


@dataclass(slots=True)
class _JobEntries:
    """Waiting entries of one job, oldest first, each with its number in the overall order."""

    entries: dict[str, tuple[int, Entry]] = field(default_factory=dict)

    @property
    def first(self) -> int:
        """Number of the oldest entry."""
        return next(iter(self.entries.values()))[0]


class FairQueue:
    """Waiting entries by key, served round robin over their owners."""

    def __init__(self) -> None:
        self._highest_number = self._lowest_number = 0
        self._unowned: dict[str, Entry] = {}
        self._owned: dict[str, _JobEntries] = {}
        self._owner_of: dict[str, str] = {}
        self._heads: list[tuple[int, str]] = []  # heap of (number, owner) of first entries; outdated ones are skipped

    def __len__(self) -> int:
        return len(self._unowned) + len(self._owner_of)

    def __contains__(self, key: str) -> bool:
        return key in self._unowned or key in self._owner_of

    def get(self, key: str) -> Entry | None:
        """Returns the entry that waits under this key, if any."""
        if key in self._unowned:
            return self._unowned[key]
        owner = self._owner_of.get(key)
        return self._owned[owner].entries[key][1] if owner is not None else None

    def add(self, entry: Entry) -> None:
        """Appends an entry unless one waits under its key."""
        if entry.key in self:
            return
        self._highest_number += 1
        if entry.owner:
            self._put(entry, self._highest_number, first=False)
        else:
            self._unowned[entry.key] = entry

    def add_first(self, entry: Entry) -> None:
        """Puts an entry first, in place of one that waits under its key."""
        self.discard(entry.key)
        self._lowest_number -= 1
        if entry.owner:
            self._put(entry, self._lowest_number, first=True)
        else:
            self._unowned = {entry.key: entry, **self._unowned}

    def replace(self, entry: Entry) -> None:
        """Replaces the entry that waits under the same key."""
        if entry.key in self._unowned:
            self._unowned[entry.key] = entry
            return
        entries = self._owned[self._owner_of[entry.key]].entries
        entries[entry.key] = (entries[entry.key][0], entry)

    def discard(self, key: str) -> None:
        """Removes the entry that waits under this key, if any."""
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
        """Yields all entries in order. A yielded entry may be discarded before the next; none may be added."""
        yield from list(self._unowned.values())
        waiting: dict[str, list[tuple[int, Entry]]] = {}  # entries of each visited job as of the visit
        try:
            for owner in self._pop_heads():
                waiting[owner] = list(self._owned[owner].entries.values())
                yield waiting[owner][0][1]
            turn = 1
            while rest := [entries[turn] for entries in waiting.values() if len(entries) > turn]:
                for _, entry in sorted(rest, key=lambda numbered: numbered[0]):
                    yield entry
                turn += 1
        finally:
            for owner in waiting:
                self._push_head(owner)

    # ---------------------------------------------------------------- first entries

    def _put(self, entry: Entry, number: int, first: bool) -> None:
        self._owner_of[entry.key] = entry.owner
        owned = self._owned.setdefault(entry.owner, _JobEntries())
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
        """Yields the jobs in the order of their first entries."""
        seen: set[str] = set()
        while self._heads:
            number, owner = heapq.heappop(self._heads)
            owned = self._owned.get(owner)
            if owned is not None and owner not in seen and owned.first == number:
                seen.add(owner)
                yield owner
