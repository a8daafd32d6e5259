"""Which gangs' attempts wait, run or are broken, told by the hosts of their tasks. Pure."""

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
    """Answers each word of a host with what all hosts are to be told, if anything."""

    def __init__(self, workload: Workload) -> None:
        self._workload = workload
        self._attempts: dict[tuple[str, int], _Attempt] = defaultdict(_Attempt)

    def waits(self, told: GangWaits, now_us: int) -> GangBegins | None:
        """A task is there: the attempt begins with its last one."""
        attempt = self._attempts[told.job, told.attempt]
        attempt.waiting.add(told.index)
        if attempt.begun or len(attempt.waiting) < self._workload.spec(told.job).tasks:
            return None
        attempt.begun = True
        return GangBegins(told.job, told.attempt, now_us)

    def left(self, told: GangLeft) -> GangBroken | None:
        """A task is gone: a gang that had begun is broken by the first that was not done."""
        attempt = self._attempts[told.job, told.attempt]
        attempt.waiting.discard(told.index)
        attempt.left += attempt.begun
        broken = attempt.begun and not told.done and not attempt.broken
        attempt.broken = attempt.broken or broken
        if attempt.left >= self._workload.spec(told.job).tasks:
            del self._attempts[told.job, told.attempt]
        return GangBroken(told.job, told.attempt) if broken else None
