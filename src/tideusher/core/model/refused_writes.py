"""Writes that the state service refuses as they stand, and the search for them in refused transactions. Pure.

A transaction is refused as a whole, for instance because one of its values is too large. The transactions after it
have half as many entries, until one with a single entry is refused. That entry is set apart: it is tried again alone,
with growing pauses, since its record may change or the limits may. What must come after it is held back with it:
writes of the same job, and writes that depend on its key. All others go on.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from tideusher.clock import SECOND_US
from tideusher.core.model.entries import Entry

#: The pause before an entry that was set apart is tried again doubles from the first to the last of these.
FIRST_PAUSE_US, LAST_PAUSE_US = 2 * SECOND_US, 60 * SECOND_US


@dataclass(slots=True)
class RefusedWrite:
    """An entry that was set apart; it is tried again from `until_us` on."""

    entry: Entry
    times: int
    until_us: int


class RefusedWrites:
    """The entries set apart, and the state of the search in the last refused transaction."""

    def __init__(self) -> None:
        self._by_key: dict[str, RefusedWrite] = {}
        #: Maximum number of entries of a transaction while a search goes on; None: there is none.
        self.max_entries: int | None = None
        self._unproven = 0  # entries of the refused transaction that were not accepted since

    def __len__(self) -> int:
        return len(self._by_key)

    def all(self) -> list[RefusedWrite]:
        """Returns what is set apart."""
        return list(self._by_key.values())

    def get(self, key: str) -> Entry | None:
        """Returns the entry of a key that is set apart; None if none is."""
        refused = self._by_key.get(key)
        return refused.entry if refused is not None else None

    def replace(self, entry: Entry) -> None:
        """Replaces the entry that is set apart under the same key."""
        self._by_key[entry.key].entry = entry

    def holds_back(self, entry: Entry) -> bool:
        """True if the entry must not be written now: something that comes before it is set apart."""
        if not self._by_key:
            return False
        if entry.owner and any(refused.entry.owner == entry.owner for refused in self._by_key.values()):
            return True
        return self._prerequisite_missing(entry)

    def refused(self, entries: Iterable[Entry], now_us: int) -> RefusedWrite | None:
        """Handles a refused transaction with these entries; returns the one that is set apart, if it was found."""
        entries = list(entries)
        if len(entries) == 1:
            return self.set_apart(entries[0], now_us)
        self._unproven, self.max_entries = len(entries), max(1, len(entries) // 2)
        return None

    def set_apart(self, entry: Entry, now_us: int) -> RefusedWrite:
        """Sets an entry apart, or again; the search for it has ended."""
        self.max_entries = None
        times = self._by_key[entry.key].times if entry.key in self._by_key else 0
        pause_us = min(LAST_PAUSE_US, FIRST_PAUSE_US << min(times, 10))
        self._by_key[entry.key] = RefusedWrite(entry, times + 1, now_us + pause_us)
        return self._by_key[entry.key]

    def committed(self, entries: Iterable[Entry]) -> None:
        """Handles an accepted transaction with these entries."""
        for entry in entries:
            self._by_key.pop(entry.key, None)
            self._unproven -= 1
        if self._unproven <= 0:
            self.max_entries = None

    def next_due(self, now_us: int) -> Entry | None:
        """Returns an entry that is to be tried again now; None if there is none."""
        for refused in self._by_key.values():
            if now_us >= refused.until_us and not self._prerequisite_missing(refused.entry):
                return refused.entry
        return None

    def _prerequisite_missing(self, entry: Entry) -> bool:
        return any(key in self._by_key for key in entry.depends_on())
