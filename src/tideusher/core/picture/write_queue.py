"""Group commit of the leader's records: which keys differ from the state service, and in what order
their effects may be told.

Every write is guarded by the leader's key and by the stamp of the key itself. The second guard is
what makes a transaction that was given up on harmless: once a later one on the same key is through,
the late one can never apply (docs/safety.md, 1 and 2).

It is not enough for a key that is not there: 0 guards its creation again once it was removed, or if its entry was
dropped unwritten. So all transactions of a leader guard one more key, the fence, which the next one after a lost
transaction writes: from then on the lost one is refused whatever it holds.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from tideusher.wire.state import Delete, Guard, Put

Effect = Callable[[], None]


@dataclass(slots=True, eq=False)
class Entry:
    """One key that the leader owns."""

    key: str
    value: Callable[[], Any]  # None: the key is to be removed
    stamp: int
    also: Callable[[], list[Guard]] = list  # more guards, such as the job's own key
    effects: list[Effect] = field(default_factory=list)
    dirty: bool = False
    valid: Callable[[], bool] = lambda: True  # false: the write has lost its point and is dropped
    settled: Effect = lambda: None  # after each write of it, whoever asked for that
    owner: str = ""  # the job whose record it is


@dataclass(slots=True)
class Batch:
    """What one transaction writes, with the effects that may be told once it is through."""

    entries: list[Entry]
    guards: list[Guard]
    writes: list[Put | Delete]
    effects: list[list[Effect]]  # of each entry


class WriteQueue:
    """Dirty entries in the order in which they became so; urgent ones first, and of those one of each job in turn.

    An array of 25,000 tasks has 400 records; starts and ends of all others waited behind them for half a minute. What
    belongs to no job (machines that are rented or returned) goes before all jobs': no task may be on record on a
    machine that is not.
    """

    def __init__(self, leader_key: str, token: int, max_ops: int, fence: Entry | None = None) -> None:
        self._leader = Guard(leader_key, token)
        self._max_ops, self._fence = max_ops, fence
        self._urgent: dict[str, Entry] = {}
        self._lazy: dict[str, Entry] = {}
        self._in_flight: Batch | None = None

    def touch(self, entry: Entry, effect: Effect | None = None, urgent: bool = True) -> None:
        """The entry's value changed; `effect` runs once this change is in the state service."""
        entry.dirty = True
        queued = self._urgent.get(entry.key) or self._lazy.get(entry.key)
        if queued is not None and queued is not entry:
            self._replace(queued, entry)
        if effect is not None:
            entry.effects.append(effect)
        if urgent:
            self._lazy.pop(entry.key, None)
            self._urgent.setdefault(entry.key, entry)
        elif entry.key not in self._urgent:
            self._lazy.setdefault(entry.key, entry)

    def _replace(self, old: Entry, new: Entry) -> None:
        """A record was dropped and made anew under the same key before the first was written out."""
        new.stamp = old.stamp
        new.effects[:0] = old.effects
        for queue in (self._urgent, self._lazy):
            if queue.get(old.key) is old:
                queue[old.key] = new

    def clean(self, entry: Entry) -> bool:
        """Is the entry's present value in the state service?"""
        return not entry.dirty and (self._in_flight is None or entry not in self._in_flight.entries)

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
        batch = Batch([], [], [], [])
        guards = {self._leader.key: self._leader}
        if self._fence is not None:
            guards[self._fence.key] = Guard(self._fence.key, self._fence.stamp)
        limit, size = min(room, self._max_ops), 0
        nothing_to_write: list[Effect] = []  # what waited for entries that are as stored
        for queue in (self._urgent, self._lazy):
            for key, entry in self._in_turn() if queue is self._urgent else list(queue.items()):
                if len(batch.entries) >= limit or size > 48 * 1024:
                    break
                if queue is self._lazy and lazy is not None and batch.entries and lazy <= 0:
                    break
                if not entry.valid():
                    del queue[key]
                    continue
                value = entry.value()
                if value is None and not entry.stamp:
                    del queue[key]
                    entry.dirty = False
                    nothing_to_write += [*entry.effects, entry.settled]
                    entry.effects = []
                    continue
                size += len(msgspec.json.encode(value))
                batch.entries.append(entry)
                if queue is self._lazy and lazy is not None:
                    lazy -= 1
                guards[key] = Guard(key, entry.stamp)
                guards.update((guard.key, guard) for guard in entry.also())
                batch.writes.append(Delete(key) if value is None else Put(key, value))
                batch.effects.append(entry.effects)
                entry.effects = []
                entry.dirty = False
                del queue[key]
        for effect in nothing_to_write:
            effect()
        if not batch.entries:
            return None
        batch.guards = list(guards.values())
        self._in_flight = batch
        return batch

    def _in_turn(self) -> list[tuple[str, Entry]]:
        """The urgent entries: the first of each job, then the second of each."""
        turns: dict[str, int] = {}
        ranked = []
        for key, entry in self._urgent.items():
            turn = turns.get(entry.owner, 0) if entry.owner else -1
            turns[entry.owner] = turn + 1
            ranked.append((turn, key, entry))
        ranked.sort(key=lambda one: one[0])
        return [(key, entry) for _, key, entry in ranked]

    def saved(self, revision: int) -> None:
        """The batch in flight is through: take the new stamps, then let its effects be told."""
        batch, self._in_flight = self._in_flight, None
        assert batch is not None
        for entry, write in zip(batch.entries, batch.writes, strict=True):
            entry.stamp = revision if isinstance(write, Put) else 0
        for effects in batch.effects:
            for effect in effects:
                effect()
        for entry in batch.entries:
            entry.settled()

    def not_saved(self, stamp_of: Callable[[str], int], unknown: bool = True) -> None:
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
                self.touch(self._fence)
        for entry, effects in zip(reversed(batch.entries), reversed(batch.effects), strict=True):
            entry.stamp = stamp_of(entry.key)
            entry.dirty = True
            entry.effects[:0] = effects
            newer = self._urgent.get(entry.key) or self._lazy.get(entry.key)
            if newer is not None and newer is not entry:
                newer.stamp = entry.stamp
                newer.effects[:0] = entry.effects
                continue
            self._urgent = {entry.key: entry, **self._urgent}
            self._lazy.pop(entry.key, None)
