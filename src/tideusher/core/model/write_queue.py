"""Group commit of the leader's records: which keys differ from the state service, and the order of their effects.

Every write is guarded by the leader's key and by the stamp of the key itself. The second guard makes an abandoned
transaction harmless: once a later one on the same key is committed, the late one can never apply (docs/safety.md, 1
and 2).

That is not sufficient for a missing key: its stamp 0 guards its creation again after it was removed, or if its entry
was dropped unwritten. So all transactions of a leader guard one more key, the fence, and the next transaction after a
lost one writes it: from then on the lost one is refused whatever it contains.

Records of small jobs share pages (`pages`): writing a page for one of them writes all its changed members.
"""

from collections.abc import Callable, Iterable
from contextlib import closing

from tideusher.core.model.entries import Effect, Entry
from tideusher.core.model.fair_queue import FairQueue
from tideusher.core.model.pages import NULL, Pages
from tideusher.core.model.refused_writes import RefusedWrite, RefusedWrites
from tideusher.core.model.transactions import GUARDS_PER_CHANGE, Batch, TransactionDraft
from tideusher.wire.state import Guard

#: Any service takes as many changes: a record that moves is written in one place and removed in another.
MIN_ACCEPTED_OPS = 2

__all__ = ["Batch", "Effect", "Entry", "RefusedWrite", "WriteQueue"]


class WriteQueue:
    """Dirty entries in the order in which they became dirty; urgent ones first, round robin (`fair_queue`)."""

    def __init__(
        self, leader_key: str, token: int, max_ops: int, fence: Entry | None = None, pages: Pages | None = None
    ) -> None:
        self._leader = Guard(leader_key, token)
        self._max_ops, self._fence = max_ops, fence
        self._pages = pages or Pages(lambda: 0, lambda key: None)
        self._urgent = FairQueue()
        self._deferred: dict[str, Entry] = {}
        self._queued_members: dict[str, Entry] = {}  # waiting entries that may be stored in pages
        self._in_flight: Batch | None = None
        self._accepted_ops = max_ops  # the limit that refusals show
        #: What the state service refuses as it stands.
        self.refused = RefusedWrites()

    def enqueue(self, entry: Entry, effect: Effect | None = None, urgent: bool = True) -> None:
        """Queues an entry whose value changed; `effect` runs once the change is in the state service."""
        entry.dirty = True
        set_apart = self.refused.get(entry.key)
        queued = set_apart or self._urgent.get(entry.key) or self._deferred.get(entry.key)
        if queued is not None and queued is not entry:
            self._replace(queued, entry)
        if effect is not None:
            entry.effects.append(effect)
        if set_apart is not None:
            return
        if urgent:
            self._deferred.pop(entry.key, None)
            self._urgent.add(entry)
        elif entry.key not in self._urgent:
            self._deferred.setdefault(entry.key, entry)
        if entry.member:
            self._queued_members[entry.member] = entry

    def _replace(self, old: Entry, new: Entry) -> None:
        """Replaces an entry whose record was dropped and created again under the same key before it was written."""
        new.stamp = old.stamp
        new.effects[:0] = old.effects
        if self.refused.get(old.key) is not None:
            self.refused.replace(new)
        if old.key in self._urgent:
            self._urgent.replace(new)
        if old.key in self._deferred:
            self._deferred[old.key] = new

    def drop_member(self, entry: Entry) -> None:
        """Drops the entry's member from its page; that takes no write of its own."""
        self._dequeue(entry)
        entry.effects, entry.dirty = [], False
        self._pages.drop_member(entry.member)

    def is_written(self, entry: Entry) -> bool:
        """Returns whether the entry's present value is in the state service."""
        return not entry.dirty and (self._in_flight is None or entry not in self._in_flight.entries)

    def never_written(self, entry: Entry) -> bool:
        """Returns whether nothing is stored under the entry's key and no write of it is in flight."""
        return not entry.stamp and (self._in_flight is None or entry not in self._in_flight.entries)

    @property
    def waiting(self) -> int:
        """Number of keys that wait to be written."""
        return len(self._urgent) + len(self._deferred)

    def next_batch(self, max_writes: int, lazy: int | None = None, now_us: int = 0) -> Batch | None:
        """Returns the next transaction of at most `max_writes` writes; None if nothing waits or one is in flight.

        `lazy`: maximum number of these that are not urgent. Where each write takes a tenth of a second, a batch
        filled with those delays the next urgent one. `now_us` decides what was refused and is tried again.
        """
        if self._in_flight is not None or max_writes < 1:
            return None
        self._pages.begin_batch()
        base_guards = [self._leader]
        if self._fence is not None:
            base_guards.append(Guard(self._fence.key, self._fence.stamp))
        draft = TransactionDraft(
            base_guards, self._pages, min(max_writes, self._accepted_ops), GUARDS_PER_CHANGE * self._max_ops
        )
        immediate_effects: list[Effect] = []  # effects of entries that are stored already
        self._add_refused(draft, immediate_effects, now_us)
        if draft.empty:
            self._add_all(draft, immediate_effects, lazy, now_us)
        for effect in immediate_effects:
            effect()
        if draft.empty:
            return None
        self._in_flight = draft.batch()
        return self._in_flight

    def _add_refused(self, draft: TransactionDraft, immediate_effects: list[Effect], now_us: int) -> None:
        """Adds an entry that was set apart and is to be tried again, alone."""
        while draft.empty and (entry := self.refused.next_due(now_us)) is not None:
            added = self._add(draft, entry, immediate_effects)
            if added and draft.empty:
                self.refused.committed([entry])  # it needs no write any more
            elif not added and draft.empty:
                self.refused.set_apart(entry, now_us)

    def _add_all(
        self, draft: TransactionDraft, immediate_effects: list[Effect], lazy: int | None, now_us: int
    ) -> None:
        """Adds what waits, as far as it fits."""
        with closing(self._urgent.in_turn()) as entries:
            urgent = self._fill(draft, entries, immediate_effects, now_us)
        if urgent:
            self._fill(draft, list(self._deferred.values()), immediate_effects, now_us, lazy)
        if self.refused.max_entries is not None:
            return
        for page in self._pages.pages_to_compact() if urgent else ():
            draft.add_page(page)
        self._add_other_members(draft, immediate_effects)

    def _fill(
        self,
        draft: TransactionDraft,
        entries: Iterable[Entry],
        immediate_effects: list[Effect],
        now_us: int,
        max_changes: int | None = None,
    ) -> bool:
        """Adds entries in their order; returns False if the next one does not fit.

        One that does not fit into an empty transaction is set apart: nothing waits behind it.
        """
        for entry in entries:
            if draft.full or draft.entries == self.refused.max_entries:
                return False
            if max_changes is not None and max_changes <= 0 and not draft.empty:
                return False
            before = draft.changes
            if self.refused.holds_back(entry):
                continue
            if not self._add(draft, entry, immediate_effects):
                if not draft.empty or draft.max_changes < self._accepted_ops:
                    return False
                self._dequeue(entry)
                self.refused.set_apart(entry, now_us)
                continue
            if max_changes is not None:
                max_changes -= draft.changes - before
        return True

    def _add(self, draft: TransactionDraft, entry: Entry, immediate_effects: list[Effect]) -> bool:
        """Adds one entry unless it needs no write; returns False if it does not fit."""
        if not entry.valid():
            self._dequeue(entry)
            return True
        value = entry.value()
        if value is None and not entry.stamp and self._pages.home(entry.member) is None:
            self._dequeue(entry)
            entry.dirty = False
            immediate_effects += [*entry.effects, entry.settled]
            entry.effects = []
            return True
        if value is None and not entry.stamp and not entry.effects:
            self.drop_member(entry)  # it is stored only in a page
            return True
        if not draft.add(entry, value):
            return False
        if entry is self._fence:
            draft.fence_excludes_old = value is NULL
        self._dequeue(entry)
        return True

    def _add_other_members(self, draft: TransactionDraft, immediate_effects: list[Effect]) -> None:
        """Adds the other changed members of the pages that the transaction writes."""
        for page in draft.drafted():
            for member in page.members:
                entry = self._queued_members.get(member)
                if entry is None or self.refused.holds_back(entry):
                    continue
                if not self._add(draft, entry, immediate_effects):
                    break

    def _dequeue(self, entry: Entry) -> None:
        """Removes the entry from the queue."""
        if self._urgent.get(entry.key) is entry:
            self._urgent.discard(entry.key)
        if self._deferred.get(entry.key) is entry:
            del self._deferred[entry.key]
        if self._queued_members.get(entry.member) is entry:
            del self._queued_members[entry.member]

    # ---------------------------------------------------------------- outcome

    def batch_committed(self, revision: int) -> None:
        """Handles the commit of the batch in flight: sets the new stamps, then runs its effects."""
        batch, self._in_flight = self._in_flight, None
        assert batch is not None
        self.refused.committed(batch.entries)
        self._pages.mark_written(batch.pages, revision)
        self._pages.leave_behind(batch.left_behind)
        if batch.fence_excludes_old is not None:
            self._pages.fenced = batch.fence_excludes_old
        for entry in batch.entries:
            entry.stamp = revision if entry.key in batch.own else 0
        if self._fence is not None and self._pages.fenced and not (self._pages.open or self._pages.any):
            self.enqueue(self._fence, urgent=False)  # nothing is stored any more that older versions cannot read
        for effects in batch.effects:
            for effect in effects:
                effect()
        for entry in batch.entries:
            entry.settled()

    def batch_refused(self, stamp_of: Callable[[str], int], now_us: int) -> RefusedWrite | None:
        """Handles a batch that the service refuses as it stands: nothing of it is stored, and it is split.

        Returns the write that is refused, once it was found.
        """
        batch = self._in_flight
        assert batch is not None
        entries = list(batch.entries) or ([batch.prepares] if batch.prepares is not None else [])
        self.batch_failed(stamp_of, unknown=False)
        if len(entries) == 1 and self._assume_lower_limits(batch):
            return None  # it is tried again in smaller pages and fewer changes
        refused = self.refused.refused(entries, now_us)
        if refused is not None:
            self._dequeue(refused.entry)
        return refused

    def _assume_lower_limits(self, batch: Batch) -> bool:
        """Halves the limits that a refused batch of one entry kept; False if it can't be made smaller."""
        fewer_changes = len(batch.writes) > MIN_ACCEPTED_OPS
        if fewer_changes:
            self._accepted_ops = max(MIN_ACCEPTED_OPS, len(batch.writes) // 2)
        return self._pages.refused(batch.pages) or fewer_changes

    def batch_failed(self, stamp_of: Callable[[str], int], unknown: bool = True) -> None:
        """Handles a batch that failed or whose outcome is `unknown`: queues all of it again, with newly read stamps.

        `stamp_of` must come from a read newer than the transaction. If the lost transaction was applied
        after all, the stored content is this leader's and the new stamp shows that; if it was not, it never
        will be once the next transaction, which writes the fence, is committed.
        """
        batch, self._in_flight = self._in_flight, None
        assert batch is not None
        if self._fence is not None:
            self._fence.stamp = stamp_of(self._fence.key)
            if unknown:
                self.enqueue(self._fence)
        self._pages.reread([page for page, _ in batch.pages], stamp_of)
        self._pages.leave_behind(batch.left_behind)
        if batch.fence_excludes_old is not None:
            self._pages.reread_fence(stamp_of)
        for entry, effects in zip(reversed(batch.entries), reversed(batch.effects), strict=True):
            entry.stamp = stamp_of(entry.key)
            entry.dirty = True
            entry.effects[:0] = effects
            newer = self._urgent.get(entry.key) or self._deferred.get(entry.key)
            if newer is not None and newer is not entry:
                newer.stamp = entry.stamp
                newer.effects[:0] = entry.effects
                continue
            self._deferred.pop(entry.key, None)
            self._urgent.add_first(entry)
            if entry.member:
                self._queued_members[entry.member] = entry
