"""To which controller a worker is sent, and whether a controller hears workers at all. Pure: time is passed in.

A 421 that names a node sends a worker away. If that node cannot hear it, the worker has spent 4 s on a report that
nobody answers and 1 s more before it tries the next, of a lease of 10 to 16 s; sent back at once it loses its tasks.
A controller that lost its workers only still talks to its peers and looks well to them: sent there again and again,
whole zones once ran into the end of their leases (day `apart` of the Sofia fleet). So a node tells its peers
when its workers have fallen silent, and one from which a worker came back is given no workers for a while.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from zlib import crc32

from tideusher.clock import SECOND_US, to_us
from tideusher.config import WorkerSettings

#: What a worker waits for an answer, and before it tries the next node (PROTOCOL, workers).
TRY_US, NEXT_US = 4 * SECOND_US, SECOND_US
#: A worker that was sent to a node and is here again within this time was not heard there: one try, the pause,
#: up to half a second before it went, and as much for what is slow on the way.
BACK_US = TRY_US + NEXT_US + 2 * SECOND_US
#: For so long no workers are sent to a node from which one came back; longer each time.
SHUT_US, SHUT_MOST_US = 15 * SECOND_US, 60 * SECOND_US
#: So many reports in its last two intervals make a node one that had workers.
HAD_WORKERS = 3
#: After so long without any, a node that had workers is given some again: they may be gone for good.
DEAF_MOST_US = 30 * SECOND_US


class ReportMonitor:
    """Does this node hear the workers that it had?"""

    def __init__(self, workers: WorkerSettings) -> None:
        self._gap_us = to_us(2 * workers.report_s)
        self._last_us: int | None = None
        self._since_us = 0
        self._count = 0

    def heard(self, now_us: int) -> None:
        """A worker's report came, whatever its answer: a zone that is cut off is not deaf inside."""
        if self._last_us is None or now_us - self._last_us > self._gap_us:
            self._since_us, self._count = now_us, 0
        elif now_us - self._since_us > self._gap_us:
            self._since_us, self._count = now_us, min(self._count, HAD_WORKERS)
        self._last_us = now_us
        self._count += 1

    def deaf(self, now_us: int) -> bool:
        """Had it several workers, all of which have been silent for two intervals, though not for very long?"""
        if self._last_us is None or self._count < HAD_WORKERS:
            return False
        return self._gap_us < now_us - self._last_us < DEAF_MOST_US


@dataclass(frozen=True, slots=True)
class RedirectTarget:
    """Another controller as far as it matters to workers."""

    node: str
    zone: str
    deaf: bool = False


@dataclass(slots=True)
class _Shut:
    """A node from which a worker came back."""

    until_us: int
    times: int = 1
    trial_us: int | None = None  # when one worker was sent there to see


class RedirectPolicy:
    """Remembers who was sent where, for as long as that can come back."""

    def __init__(self) -> None:
        self._sent: dict[str, tuple[str, int]] = {}
        self._shut: dict[str, _Shut] = {}

    def redirect_target(self, worker: str, zone: str, doors: Iterable[RedirectTarget], now_us: int) -> str | None:
        """The node of the worker's zone that it is to report to; None: it stays here.

        The workers of a zone are shared among its nodes by their names, so that the same one is always sent to
        the same node and no node gets them all.
        """
        self._came_back(worker, now_us)
        open_to = [
            door.node for door in doors if door.zone == zone and not door.deaf and self._lets_in(door.node, now_us)
        ]
        if not open_to:
            return None
        node = sorted(open_to)[crc32(worker.encode()) % len(open_to)]
        shut = self._shut.get(node)
        if shut is not None:
            shut.trial_us = now_us
        self._sent[worker] = (node, now_us)
        return node

    def _came_back(self, worker: str, now_us: int) -> None:
        node, at_us = self._sent.pop(worker, ("", 0))
        if node and now_us - at_us <= BACK_US:
            shut = self._shut.get(node)
            if shut is None:
                self._shut[node] = _Shut(now_us + SHUT_US)
            elif now_us >= shut.until_us:  # the trial failed; others that were on their way then count once
                shut.times += 1
                shut.until_us = now_us + min(SHUT_US << (shut.times - 1), SHUT_MOST_US)
                shut.trial_us = None
        if len(self._sent) > 64:
            self._sent = {name: sent for name, sent in self._sent.items() if now_us - sent[1] <= BACK_US}

    def _lets_in(self, node: str, now_us: int) -> bool:
        """Open, or shut for long enough that one worker may see whether it is heard there by now."""
        shut = self._shut.get(node)
        if shut is None:
            return True
        if now_us < shut.until_us:
            return False
        if shut.trial_us is None:
            return True
        if now_us - shut.trial_us <= BACK_US:
            return False
        del self._shut[node]  # the one that was sent to see did not come back
        return True
