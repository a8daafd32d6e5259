"""Replicates the cluster state on a controller that does not lead, so that it can take over at any moment. Pure.

Changes of the mirrored records are applied as they arrive, in steps of bounded work, and the state is continually
compared with the records, a few at a time. A difference means that a transition was missed: the state is rebuilt, and
the log names the differences. At a takeover only the changes since the last step are left to apply.
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

#: Changes applied, records audited, and stamps checked at a takeover, each per step: some 3 ms each.
CHANGES_PER_STEP, RECORDS_PER_AUDIT, STAMPS_PER_STEP = 60, 200, 4000
#: The most differing records that a log line names.
MAX_NAMED = 5


class Record(Protocol):
    """A mirrored record."""

    value: Any
    stamp: int


@dataclass(frozen=True, slots=True)
class CatchUpResult:
    """The replicated state at a takeover, and how far it had to be corrected."""

    cluster_state: ClusterState
    late: int  # records whose newest change had not been applied
    rebuilt: bool  # whether it was rebuilt because it differed


class Standby:
    """Owns the cluster state of a controller that does not lead, and the changes not yet applied to it."""

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
        self._to_check: list[str] | None = None  # at a takeover: records whose stamps are not compared yet
        self._late, self._rebuilt_at_takeover = 0, False
        self.rebuilds = 0

    # ---------------------------------------------------------------- replication

    def begin(self, now_us: int) -> None:
        """Starts a rebuild from all mirrored records: at the start, after a leadership, or after a difference."""
        self._cluster_state = ClusterState(self._config, self._policy, now_us, self._wall_us, self._record_of)
        self._changes.clear()
        self._to_audit.clear()
        self._to_check = None
        mirror = self._mirror()
        for key in in_dependency_order(key for key, stored in mirror.items() if not is_final(key, stored.value)):
            self._changes.append((key, mirror[key].value, mirror[key].stamp, True))

    def end(self) -> None:
        """Hands the cluster state over to the leader of this controller."""
        self._cluster_state, self._to_check, self._rebuilt_at_takeover = None, None, False
        self._changes.clear()
        self._to_audit.clear()

    def invalidate(self) -> None:
        """Drops a cluster state that may be partly changed; the next audit starts a new one."""
        self.rebuilds += 1
        self.end()

    @property
    def cluster_state(self) -> ClusterState | None:
        """The cluster state as replicated so far; None before the first build and while this controller leads."""
        return self._cluster_state

    @property
    def behind(self) -> int:
        """The number of changes that are not applied yet."""
        return len(self._changes)

    def changed(self, key: str, value: Any, stamp: int) -> bool:
        """Queues a record's change; True if the queue was empty, so that the caller must schedule a step."""
        if self._cluster_state is None:
            return False
        self._changes.append((key, value, stamp, False))
        return len(self._changes) == 1

    def apply_step(self, now_us: int) -> bool:
        """Applies a bounded number of changes; True if there are more."""
        cluster_state = self._cluster_state
        if cluster_state is None:
            return False
        left = CHANGES_PER_STEP
        while self._changes and left > 0:
            key, value, stamp, existed = self._changes.popleft()
            left -= _records_in(key, value) if existed else 1  # a change of a page changes few of its records
            cluster_state.rebuilding = existed  # the age of a record that existed before is unknown
            cluster_state.apply(key, value, stamp, now_us)
        cluster_state.rebuilding = False
        return bool(self._changes)

    # ---------------------------------------------------------------- audit

    def audit(self, now_us: int) -> list[str]:
        """Compares some records with the cluster state; if any differ, rebuilds it and returns their keys."""
        cluster_state, mirror = self._cluster_state, self._mirror()
        if cluster_state is None or self._changes:
            return []  # it may differ while changes are pending
        if not self._to_audit:
            self._to_audit.extend(mirror)
        mismatched, left = [], RECORDS_PER_AUDIT
        while self._to_audit and left > 0:
            key = self._to_audit.popleft()
            stored = mirror.get(key)
            left -= 1 if stored is None else _records_in(key, stored.value)
            if stored is not None and not cluster_state.matches(key, stored.value):
                mismatched.append(key)
        unrented = [
            name
            for name, machine in cluster_state.machines.items()
            if (rental := cluster_state.rentals.get(machine.rental)) is None or name not in rental.machines
        ]
        if mismatched or unrented:
            self._rebuild(mismatched + unrented, now_us)
        return mismatched + unrented

    def _rebuild(self, mismatched: list[str], now_us: int) -> None:
        self.rebuilds += 1
        cluster_state, mirror = self._cluster_state, self._mirror()
        differences = [
            cluster_state.describe_mismatch(key, mirror[key].value) if cluster_state and key in mirror else key
            for key in mismatched[:MAX_NAMED]
        ]
        names = ", ".join(differences)
        self.log.error("the cluster state differs in %d records and is rebuilt: %s", len(mismatched), names)
        self.begin(now_us)

    # ---------------------------------------------------------------- takeover

    def catch_up(self, now_us: int) -> CatchUpResult | None:
        """Returns the cluster state once it reflects every mirrored record; None after a step, to be called again.

        The caller's mirror must be newer than the election. Records whose change never arrived (an injected fault,
        a listener that failed) are found by their stamps, whatever their content.
        """
        if self._cluster_state is None:
            self.begin(now_us)
        if self.apply_step(now_us):
            return None
        cluster_state, mirror = self._cluster_state, self._mirror()
        assert cluster_state is not None
        if self._to_check is None:
            self._to_check, self._late = list(mirror), 0
        for _ in range(min(STAMPS_PER_STEP, len(self._to_check))):
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
        if self._late and not self._rebuilt_at_takeover and not self._matches_all(cluster_state, mirror):
            self._rebuilt_at_takeover = True
            self._rebuild(["records whose changes never arrived"], now_us)
            return None
        caught = CatchUpResult(cluster_state, self._late, self._rebuilt_at_takeover)
        self.end()
        return caught

    @staticmethod
    def _matches_all(cluster_state: ClusterState, mirror: Mapping[str, Record]) -> bool:
        """True if the state matches all records; checked after changes were applied out of order."""
        return all(cluster_state.matches(key, stored.value) for key, stored in mirror.items())


def _records_in(key: str, value: Any) -> int:
    """Returns how many records a key holds: a page holds those of many jobs."""
    return max(1, len(value)) if key.startswith(keys.PAGE_PREFIX) and value else 1
