"""Group commit of the leader's records: which keys differ from the state service, and in what order
their effects may be told.

Every write is guarded by the leader's key and by the stamp of the key itself. The second guard is
what makes a transaction that was given up on harmless: once a later one on the same key is through,
the late one can never apply (docs/safety.md, 1 and 2).

It is not enough for a key that is not there: 0 guards its creation again once it was removed, or if its entry was
dropped unwritten. So all transactions of a leader guard one more key, the fence, which the next one after a lost
transaction writes: from then on the lost one is refused whatever it holds.

Small jobs' records share pages (`pages`): a page that is written for one of them takes along all that has changed.
"""

from collections.abc import Callable, Iterable
from contextlib import closing

from tideusher.core.model.entries import Effect, Entry
from tideusher.core.model.fair_queue import FairQueue
from tideusher.core.model.pages import NULL, Pages
from tideusher.core.model.transactions import GUARDS_A_CHANGE, Batch, Draft
from tideusher.wire.state import Guard

__all__ = ["Batch", "Effect", "Entry", "WriteQueue"]


class WriteQueue:
    """Dirty entries in the order in which they became so; urgent ones first, in turns (`turns`)."""

    def __init__(
        self, leader_key: str, token: int, max_ops: int, fence: Entry | None = None, pages: Pages | None = None
    ) -> None:
        self._leader = Guard(leader_key, token)
        self._max_ops, self._fence = max_ops, fence
        self._pages = pages or Pages(lambda: 0, lambda key: None)
        self._urgent = FairQueue()
        self._lazy: dict[str, Entry] = {}
        self._members: dict[str, Entry] = {}  # of what waits, that which may be in pages
        self._in_flight: Batch | None = None

    def enqueue(self, entry: Entry, effect: Effect | None = None, urgent: bool = True) -> None:
        """The entry's value changed; `effect` runs once this change is in the state service."""
        entry.dirty = True
        queued = self._urgent.get(entry.key) or self._lazy.get(entry.key)
        if queued is not None and queued is not entry:
            self._replace(queued, entry)
        if effect is not None:
            entry.effects.append(effect)
        if urgent:
            self._lazy.pop(entry.key, None)
            self._urgent.add(entry)
        elif entry.key not in self._urgent:
            self._lazy.setdefault(entry.key, entry)
        if entry.member:
            self._members[entry.member] = entry

    def _replace(self, old: Entry, new: Entry) -> None:
        """A record was dropped and made anew under the same key before the first was written out."""
        new.stamp = old.stamp
        new.effects[:0] = old.effects
        if old.key in self._urgent:
            self._urgent.replace(new)
        if old.key in self._lazy:
            self._lazy[old.key] = new

    def drop_member(self, entry: Entry) -> None:
        """Nobody wants what a page holds for the entry: it costs no write of its own to leave it out."""
        self._forget(entry)
        entry.effects, entry.dirty = [], False
        self._pages.drop_member(entry.member)

    def is_written(self, entry: Entry) -> bool:
        """Is the entry's present value in the state service?"""
        return not entry.dirty and (self._in_flight is None or entry not in self._in_flight.entries)

    def never_written(self, entry: Entry) -> bool:
        """Is nothing under the entry's key in the state service, or on its way there?"""
        return not entry.stamp and (self._in_flight is None or entry not in self._in_flight.entries)

    @property
    def waiting(self) -> int:
        """Keys that wait to be written."""
        return len(self._urgent) + len(self._lazy)

    def next_batch(self, room: int, lazy: int | None = None) -> Batch | None:
        """The next transaction, at most `room` writes; None when nothing waits or one is in flight.

        `lazy`: of these at most so many that are not urgent. Where each write takes a tenth of a second, a batch
        filled up with others makes the next urgent one wait for them.
        """
        if self._in_flight is not None or room < 1:
            return None
        self._pages.put_together()
        base = [self._leader]
        if self._fence is not None:
            base.append(Guard(self._fence.key, self._fence.stamp))
        draft = Draft(base, self._pages, min(room, self._max_ops), GUARDS_A_CHANGE * self._max_ops)
        nothing_to_write: list[Effect] = []  # what waited for entries that are as stored
        with closing(self._urgent.in_turn()) as entries:
            urgent = self._fill(draft, entries, nothing_to_write)
        if urgent:
            self._fill(draft, list(self._lazy.values()), nothing_to_write, lazy)
        for page in self._pages.take_worn() if urgent else ():
            draft.add_page(page)
        self._take_along(draft, nothing_to_write)
        for effect in nothing_to_write:
            effect()
        if draft.empty:
            return None
        self._in_flight = draft.batch()
        return self._in_flight

    def _fill(
        self, draft: Draft, entries: Iterable[Entry], nothing_to_write: list[Effect], most: int | None = None
    ) -> bool:
        """Add entries in their order; False if there is no room for the next one."""
        for entry in entries:
            if draft.full or (most is not None and most <= 0 and not draft.empty):
                return False
            before = draft.changes
            if not self._add(draft, entry, nothing_to_write):
                return False
            if most is not None:
                most -= draft.changes - before
        return True

    def _add(self, draft: Draft, entry: Entry, nothing_to_write: list[Effect]) -> bool:
        """Add one entry, or find that there is nothing to write for it; False if there is no room."""
        if not entry.valid():
            self._forget(entry)
            return True
        value = entry.value()
        if value is None and not entry.stamp and self._pages.home(entry.member) is None:
            self._forget(entry)
            entry.dirty = False
            nothing_to_write += [*entry.effects, entry.settled]
            entry.effects = []
            return True
        if value is None and not entry.stamp and not entry.effects:
            self.drop_member(entry)  # only a page holds it
            return True
        if not draft.add(entry, value):
            return False
        if entry is self._fence:
            draft.fences = value is NULL
        self._forget(entry)
        return True

    def _take_along(self, draft: Draft, nothing_to_write: list[Effect]) -> None:
        """What else has changed of the pages that are to be written."""
        for page in draft.drafted():
            for member in page.members:
                entry = self._members.get(member)
                if entry is not None and not self._add(draft, entry, nothing_to_write):
                    break

    def _forget(self, entry: Entry) -> None:
        """The entry does not wait any more."""
        if self._urgent.get(entry.key) is entry:
            self._urgent.discard(entry.key)
        if self._lazy.get(entry.key) is entry:
            del self._lazy[entry.key]
        if self._members.get(entry.member) is entry:
            del self._members[entry.member]

    # ---------------------------------------------------------------- what became of it

    def batch_committed(self, revision: int) -> None:
        """The batch in flight is through: take the new stamps, then let its effects be told."""
        batch, self._in_flight = self._in_flight, None
        assert batch is not None
        self._pages.written(batch.pages, revision)
        if batch.fences is not None:
            self._pages.fenced = batch.fences
        for entry in batch.entries:
            entry.stamp = revision if entry.key in batch.own else 0
        if self._fence is not None and self._pages.fenced and not (self._pages.open or self._pages.any):
            self.enqueue(self._fence, urgent=False)  # nothing is left that older versions do not read
        for effects in batch.effects:
            for effect in effects:
                effect()
        for entry in batch.entries:
            entry.settled()

    def batch_failed(self, stamp_of: Callable[[str], int], unknown: bool = True) -> None:
        """The batch failed, or its fate is `unknown`: all of it waits again, with stamps as now read.

        `stamp_of` must come from a read newer than the transaction. If the lost transaction applied
        after all, its content is ours and the new stamp says so; if it did not, it never will once
        the next transaction is through, which writes the fence.
        """
        batch, self._in_flight = self._in_flight, None
        assert batch is not None
        if self._fence is not None:
            self._fence.stamp = stamp_of(self._fence.key)
            if unknown:
                self.enqueue(self._fence)
        self._pages.reread([page for page, _ in batch.pages], stamp_of)
        if batch.fences is not None:
            self._pages.reread_fence(stamp_of)
        for entry, effects in zip(reversed(batch.entries), reversed(batch.effects), strict=True):
            entry.stamp = stamp_of(entry.key)
            entry.dirty = True
            entry.effects[:0] = effects
            newer = self._urgent.get(entry.key) or self._lazy.get(entry.key)
            if newer is not None and newer is not entry:
                newer.stamp = entry.stamp
                newer.effects[:0] = entry.effects
                continue
            self._lazy.pop(entry.key, None)
            self._urgent.add_first(entry)
            if entry.member:
                self._members[entry.member] = entry
