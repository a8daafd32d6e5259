"""Decides whether the mirror explains why transactions were refused. Pure.

A guard fails because its key changed. A read that is complete to the revision at which the service refused shows that
change. If the mirror still holds what the guard required, it is wrong, and every further transaction that takes the
key's stamp from it would be refused too.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from tideusher.core.model import keys
from tideusher.core.model.mirror import Mirror
from tideusher.wire.state import Guard, TxnFailed


@dataclass(frozen=True, slots=True)
class FailedGuard:
    """A guard that did not hold at a revision of the service."""

    key: str
    stamp: int  # that the transaction required; 0: the key must not exist
    revision: int


class RefusedGuards:
    """The failed guards that no read has explained yet; of each key the last one."""

    def __init__(self, mirror: Mirror) -> None:
        self._mirror = mirror
        self._waiting: dict[str, FailedGuard] = {}

    def add(self, guards: Iterable[Guard], refusal: TxnFailed) -> None:
        """Adds the failed guards of a refused transaction."""
        for guard in guards:
            if guard.key in refusal.failed and guard.key.startswith(keys.PREFIX):
                self._waiting[guard.key] = FailedGuard(guard.key, guard.stamp, refusal.revision)

    def take_unexplained(self) -> list[FailedGuard]:
        """Returns the guards for whose failure the mirror has no reason, although it is complete up to there.

        They are not returned again unless they fail again.
        """
        decided = [guard for guard in self._waiting.values() if guard.revision <= self._mirror.revision]
        for guard in decided:
            del self._waiting[guard.key]
        return [guard for guard in decided if not self._is_explained(guard)]

    def _is_explained(self, guard: FailedGuard) -> bool:
        if self._mirror.stamp_of(guard.key) != guard.stamp:
            return True
        # A key that had to be missing may have been there when the transaction was refused, and be removed since. A
        # state of all keys does not tell of such a removal.
        removed_since = self._mirror.known_stamp(guard.key) > guard.revision
        return guard.stamp == 0 and (removed_since or self._mirror.state_revision > guard.revision)
