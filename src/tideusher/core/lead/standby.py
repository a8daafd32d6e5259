"""What a controller does while it does not lead: follow, so that it could at any moment. Pure.

Changes of the mirror are applied as they come, in pieces of bounded work, and the picture is compared with the
records again and again, a few at a time. A difference means that a transition was forgotten: the picture is built
anew, and the log says where it differed. At a takeover only what came since the last piece is left to apply.
"""

import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from tideusher.config import Config, Policy
from tideusher.core.model import keys
from tideusher.core.model.cluster_state import ClusterState, RecordOf, in_dependency_order
from tideusher.core.model.job_record import is_final

#: Changes applied in one piece, records compared with the picture in one, and stamps at a takeover: some 3 ms each.
CHANGES_PER_STEP, AUDITED, CHECKED = 60, 200, 4000
#: So many of the records that differ are named in the log.
NAMED = 5


class Record(Protocol):
    """A mirrored record."""

    value: Any
    stamp: int


@dataclass(frozen=True, slots=True)
class CatchUpResult:
    """What a takeover found of the picture that was followed."""

    cluster_state: ClusterState
    late: int  # records whose newest change had not been applied
    rebuilt: bool  # was it built anew because it differed?


class Standby:
    """Owns the picture of a controller that does not lead, and what has yet to be applied to it."""

    def __init__(
        self,
        config: Config,
        policy: Policy,
        wall_us: Callable[[], int],
        record_of: RecordOf,
        mirror: Callable[[], Mapping[str, Record]],
    ) -> None:
        self.log = logging.getLogger("standby")
        self._config, self._policy, self._wall_us = config, policy, wall_us
        self._record_of, self._mirror = record_of, mirror
        self._changes: deque[tuple[str, Any, int, bool]] = deque()
        self._to_audit: deque[str] = deque()
        self._cluster_state: ClusterState | None = None
        self._to_check: list[str] | None = None  # at a takeover: records whose stamps have yet to be compared
        self._late, self._twice = 0, False
        self.rebuilds = 0

    # ---------------------------------------------------------------- following

    def begin(self, now_us: int) -> None:
        """Build from all that is mirrored: at the start, after a leadership, or because a difference was found."""
        self._cluster_state = ClusterState(self._config, self._policy, now_us, self._wall_us, self._record_of)
        self._changes.clear()
        self._to_audit.clear()
        self._to_check = None
        mirror = self._mirror()
        for key in in_dependency_order(key for key, stored in mirror.items() if not is_final(key, stored.value)):
            self._changes.append((key, mirror[key].value, mirror[key].stamp, True))

    def end(self) -> None:
        """We lead: the picture is the leader's now."""
        self._cluster_state, self._to_check, self._twice = None, None, False
        self._changes.clear()
        self._to_audit.clear()

    def invalidate(self) -> None:
        """The picture may be half changed: the next audit begins a new one."""
        self.rebuilds += 1
        self.end()

    @property
    def cluster_state(self) -> ClusterState | None:
        """What was followed so far; None: nothing yet, or we lead."""
        return self._cluster_state

    @property
    def behind(self) -> int:
        """Changes that have yet to be applied."""
        return len(self._changes)

    def changed(self, key: str, value: Any, stamp: int) -> bool:
        """A record changed; True if nothing else waited, so that somebody has to ask for a piece."""
        if self._cluster_state is None:
            return False
        self._changes.append((key, value, stamp, False))
        return len(self._changes) == 1

    def apply_step(self, now_us: int) -> bool:
        """Apply a bounded number of changes; True if there are more."""
        cluster_state = self._cluster_state
        if cluster_state is None:
            return False
        left = CHANGES_PER_STEP
        while self._changes and left > 0:
            key, value, stamp, was_there = self._changes.popleft()
            left -= _records_in(key, value) if was_there else 1  # of a page that changes, few records do
            cluster_state.rebuilding = was_there  # of what was there already nobody knows since when
            cluster_state.apply(key, value, stamp, now_us)
        cluster_state.rebuilding = False
        return bool(self._changes)

    # ---------------------------------------------------------------- is it true?

    def audit(self, now_us: int) -> list[str]:
        """Compare some records with the picture; builds it anew and returns their keys if any differ."""
        cluster_state, mirror = self._cluster_state, self._mirror()
        if cluster_state is None or self._changes:
            return []  # with changes to come it may differ
        if not self._to_audit:
            self._to_audit.extend(mirror)
        wrong, left = [], AUDITED
        while self._to_audit and left > 0:
            key = self._to_audit.popleft()
            stored = mirror.get(key)
            left -= 1 if stored is None else _records_in(key, stored.value)
            if stored is not None and not cluster_state.matches(key, stored.value):
                wrong.append(key)
        stray = [
            name
            for name, machine in cluster_state.machines.items()
            if (rental := cluster_state.rentals.get(machine.rental)) is None or name not in rental.machines
        ]
        if wrong or stray:
            self._rebuild(wrong + stray, now_us)
        return wrong + stray

    def _rebuild(self, wrong: list[str], now_us: int) -> None:
        self.rebuilds += 1
        cluster_state, mirror = self._cluster_state, self._mirror()
        told = [
            cluster_state.describe_mismatch(key, mirror[key].value) if cluster_state and key in mirror else key
            for key in wrong[:NAMED]
        ]
        names = ", ".join(told)
        self.log.error("the picture differs in %d records and is built anew: %s", len(wrong), names)
        self.begin(now_us)

    # ---------------------------------------------------------------- taking over

    def catch_up(self, now_us: int) -> CatchUpResult | None:
        """The picture, once it holds every record that the mirror does; None: ask again, a piece was done.

        Whoever asks has read newer than the election. Records that were never handed to us (a planted fault, a
        listener that failed) are found by their stamps, whatever they say.
        """
        if self._cluster_state is None:
            self.begin(now_us)
        if self.apply_step(now_us):
            return None
        cluster_state, mirror = self._cluster_state, self._mirror()
        assert cluster_state is not None
        if self._to_check is None:
            self._to_check, self._late = list(mirror), 0
        for _ in range(min(CHECKED, len(self._to_check))):
            key = self._to_check.pop()
            stored = mirror.get(key)
            if stored is not None and not cluster_state.has_applied(key, stored.value, stored.stamp):
                cluster_state.apply(key, stored.value, stored.stamp, now_us)
                self._late += 1
        if self._to_check:
            return None
        self._to_check = None
        for key in [key for key in cluster_state.stamps if key not in mirror]:
            cluster_state.apply(key, None, 0, now_us)
            self._late += 1
        if self._late and not self._twice and not self._true(cluster_state, mirror):
            self._twice = True
            self._rebuild(["records that were never told"], now_us)
            return None
        caught = CatchUpResult(cluster_state, self._late, self._twice)
        self.end()
        return caught

    @staticmethod
    def _true(cluster_state: ClusterState, mirror: Mapping[str, Record]) -> bool:
        """After records that were not told in their order: does the picture say what all of them say?"""
        return all(cluster_state.matches(key, stored.value) for key, stored in mirror.items())


def _records_in(key: str, value: Any) -> int:
    """How many records a key holds: a page has those of many jobs."""
    return max(1, len(value)) if key.startswith(keys.PAGE_PREFIX) and value else 1
