"""The mirror of our keys in the state service, and the rule by which its answers change it. Pure: no I/O, no clock.

Answers come late and in any order. Each of them speaks of a revision of the service, and the mirror is *complete* up
to `revision`: for each key it holds the newest change up to there, or a later one. So there is one rule: a change is
applied if it is newer than that revision and than what is known of its key. What it leaves out is known already, or
was followed by something that is (docs/safety.md, 13).
"""

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

#: Removals up to the mirror's revision that are kept to explain refused guards.
KEPT_REMOVALS = 1000

#: Called with (key, value or None, stamp) at every change of the mirror.
Listener = Callable[[str, Any, int], None]


@dataclass(slots=True)
class MirroredValue:
    """The value of a mirrored key, and its stamp: the revision of its last change."""

    value: Any
    stamp: int


@dataclass(frozen=True, slots=True)
class Change:
    """A change of a key at a revision; the value is None if the key was removed."""

    key: str
    value: Any
    stamp: int


class Mirror:
    """The mirrored keys. Listeners hear of the changes of a key in the order of their stamps, each at most once."""

    def __init__(self) -> None:
        self.log = logging.getLogger("mirror")
        self.items: dict[str, MirroredValue] = {}
        #: The revision up to which the mirror is complete.
        self.revision = 0
        #: The revision of the last state of all keys.
        self.state_revision = 0
        # Stamps of removed keys: of all removals after `revision`, and of some earlier ones.
        self._removed: dict[str, int] = {}
        self._listeners: list[Listener] = []

    def listen(self, listener: Listener) -> None:
        """Registers a listener; one that fails is logged and affects neither the mirror nor the others."""
        self._listeners.append(listener)

    def stamp_of(self, key: str) -> int:
        """Returns the stamp of a key; 0 if it does not exist."""
        stored = self.items.get(key)
        return stored.stamp if stored is not None else 0

    def known_stamp(self, key: str) -> int:
        """Returns the stamp of the newest known change of a key, which may be its removal; 0 if none is known."""
        stored = self.items.get(key)
        return stored.stamp if stored is not None else self._removed.get(key, 0)

    def apply_commit(self, changes: Iterable[Change]) -> None:
        """Applies the changes of a transaction of ours, which may be ahead of the mirror's revision."""
        for change in changes:
            self._apply_if_newer(change)

    def apply_read(self, revision: int, changes: Iterable[Change]) -> None:
        """Applies a read of all changes up to `revision` since one that the mirror was complete to.

        The changes may come in any order.
        """
        for change in sorted(changes, key=_stamp):
            self._apply_if_newer(change)
        self._complete_to(revision)

    def apply_state(self, revision: int, records: Mapping[str, MirroredValue]) -> int:
        """Applies the state of all keys at `revision`; returns the number of keys that it changed.

        An overtaken state is left out.
        """
        if revision < self.revision:
            return 0
        missing = [key for key in self.items if key not in records]
        changed = self._apply_keys(revision, missing, records)
        changed += self._apply_keys(revision, sorted(records, key=lambda key: records[key].stamp), records)
        self._complete_to(revision)
        self.state_revision = revision
        return changed

    def apply_key(self, revision: int, key: str, stored: MirroredValue | None) -> bool:
        """Applies the state of one key at `revision` (None: it does not exist); False if the mirror is newer."""
        if revision < self.revision:
            return False
        self._apply_keys(revision, [key], {key: stored} if stored is not None else {})
        return True

    def _apply_keys(self, revision: int, names: Iterable[str], records: Mapping[str, MirroredValue]) -> int:
        """Has these keys be as they were at a revision not before ours, but for later changes that are known.

        Other than a change, a state also mends a key that differs here although nothing later is known of it.
        """
        changed = 0
        for key in names:
            if self.known_stamp(key) > revision:
                continue
            stored = records.get(key)
            if stored is not None and stored.stamp != self.stamp_of(key):
                self._apply(Change(key, stored.value, stored.stamp))
                changed += 1
            elif stored is None and key in self.items:
                self._apply(Change(key, None, revision))  # it was removed by then
                changed += 1
            elif stored is None:
                self._removed[key] = revision
        return changed

    def _apply_if_newer(self, change: Change) -> None:
        if change.stamp > self.revision and change.stamp > self.known_stamp(change.key):
            self._apply(change)

    def _apply(self, change: Change) -> None:
        if change.value is None:
            self.items.pop(change.key, None)
            self._removed[change.key] = change.stamp
        else:
            self.items[change.key] = MirroredValue(change.value, change.stamp)
            self._removed.pop(change.key, None)
        for listener in self._listeners:
            try:
                listener(change.key, change.value, change.stamp)
            except Exception:
                self.log.exception("listener failed on the change of key %s", change.key)

    def _complete_to(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        if len(self._removed) > KEPT_REMOVALS:
            self._removed = {key: stamp for key, stamp in self._removed.items() if stamp > self.revision}


def apply_in_order(records: dict[str, MirroredValue], changes: Iterable[Change]) -> None:
    """Applies to records all changes since the first of them was read."""
    for change in sorted(changes, key=_stamp):
        if change.value is None:
            records.pop(change.key, None)
        else:
            records[change.key] = MirroredValue(change.value, change.stamp)


def _stamp(change: Change) -> int:
    return change.stamp
