"""Tracks which attempts of gangs wait, run or are broken, from the messages of worker hosts. Pure."""

from collections import defaultdict
from dataclasses import dataclass, field

from tideusher.scale.messages import GangBegins, GangBroken, GangLeft, GangWaits
from tideusher.scale.workload import Workload


@dataclass(slots=True)
class _Attempt:
    waiting: set[int] = field(default_factory=set)
    begun: bool = False
    broken: bool = False
    left: int = 0


class Gangs:
    """Returns for each message of a host the message to broadcast to all hosts, if any."""

    def __init__(self, workload: Workload) -> None:
        self._workload = workload
        self._attempts: dict[tuple[str, int], _Attempt] = defaultdict(_Attempt)

    def waits(self, message: GangWaits, now_us: int) -> GangBegins | None:
        """Records that a task is on its machine; the attempt begins when the last of its tasks is."""
        attempt = self._attempts[message.job, message.attempt]
        attempt.waiting.add(message.index)
        if attempt.begun or len(attempt.waiting) < self._workload.spec(message.job).tasks:
            return None
        attempt.begun = True
        return GangBegins(message.job, message.attempt, now_us)

    def left(self, message: GangLeft) -> GangBroken | None:
        """Records that a task left; the first one that was not done breaks a gang that had begun."""
        attempt = self._attempts[message.job, message.attempt]
        attempt.waiting.discard(message.index)
        attempt.left += attempt.begun
        broken = attempt.begun and not message.done and not attempt.broken
        attempt.broken = attempt.broken or broken
        if attempt.left >= self._workload.spec(message.job).tasks:
            del self._attempts[message.job, message.attempt]
        return GangBroken(message.job, message.attempt) if broken else None
