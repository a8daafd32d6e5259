"""Decides on redirects of workers, and whether a controller hears its workers. Pure: time is passed in.

A 421 response that names a node redirects a worker. If that node cannot hear it, the worker spends 4 s on a report
that is not answered and 1 s before it tries the next node, of a lease of 10 to 16 s; redirected there again at once
it loses its tasks. A controller that lost only its workers still talks to its peers and looks healthy to them:
because workers were redirected to one again and again, entire zones once reached the end of their leases (day `apart`
of the Sofia fleet). So a node tells its peers when its workers have gone silent, and a node from which a worker came
back is given no workers for a while.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from zlib import crc32

from tideusher.clock import SECOND_US, to_us
from tideusher.config import WorkerSettings

#: How long a worker waits for an answer, and before it tries the next node (PROTOCOL, workers).
ANSWER_TIMEOUT_US, RETRY_PAUSE_US = 4 * SECOND_US, SECOND_US
#: A redirected worker that is back within this time was not heard at the other node: one attempt, the pause, up to
#: half a second before it left, and an allowance for slow connections.
RETURN_WINDOW_US = ANSWER_TIMEOUT_US + RETRY_PAUSE_US + 2 * SECOND_US
#: How long no workers are redirected to a node from which one came back: at first, and the limit of the doubling.
EXCLUSION_US, MAX_EXCLUSION_US = 15 * SECOND_US, 60 * SECOND_US
#: The reports within two intervals from which a node counts as having workers.
MIN_REPORTS = 3
#: After this long without reports a node that had workers is given some again: its own may be gone permanently.
MAX_DEAF_US = 30 * SECOND_US


class ReportMonitor:
    """Detects that this node no longer hears the workers that it had."""

    def __init__(self, workers: WorkerSettings) -> None:
        self._max_gap_us = to_us(2 * workers.report_s)
        self._last_us: int | None = None
        self._period_start_us = 0
        self._count = 0

    def heard(self, now_us: int) -> None:
        """Record a worker's report, whatever its answer: a partitioned zone still hears its own workers."""
        if self._last_us is None or now_us - self._last_us > self._max_gap_us:
            self._period_start_us, self._count = now_us, 0
        elif now_us - self._period_start_us > self._max_gap_us:
            self._period_start_us, self._count = now_us, min(self._count, MIN_REPORTS)
        self._last_us = now_us
        self._count += 1

    def deaf(self, now_us: int) -> bool:
        """True if it had several workers and all have been silent for two intervals, but not for very long."""
        if self._last_us is None or self._count < MIN_REPORTS:
            return False
        return self._max_gap_us < now_us - self._last_us < MAX_DEAF_US


@dataclass(frozen=True, slots=True)
class RedirectTarget:
    """Another controller that workers may be redirected to."""

    node: str
    zone: str
    deaf: bool = False


@dataclass(slots=True)
class _Exclusion:
    """The exclusion of a node from which a worker came back."""

    until_us: int
    times: int = 1
    trial_us: int | None = None  # when one worker was redirected there as a trial


class RedirectPolicy:
    """Chooses redirects, and remembers each worker's last one for as long as it may come back."""

    def __init__(self) -> None:
        self._redirects: dict[str, tuple[str, int]] = {}
        self._excluded: dict[str, _Exclusion] = {}

    def redirect_target(self, worker: str, zone: str, targets: Iterable[RedirectTarget], now_us: int) -> str | None:
        """Returns the node of the worker's zone that it is to report to; None if it stays here.

        The workers of a zone are distributed over its nodes by a hash of their names, so that a worker is always
        redirected to the same node and no node gets all of them.
        """
        self._record_return(worker, now_us)
        available = [
            target.node
            for target in targets
            if target.zone == zone and not target.deaf and self._accepts_workers(target.node, now_us)
        ]
        if not available:
            return None
        node = sorted(available)[crc32(worker.encode()) % len(available)]
        exclusion = self._excluded.get(node)
        if exclusion is not None:
            exclusion.trial_us = now_us
        self._redirects[worker] = (node, now_us)
        return node

    def _record_return(self, worker: str, now_us: int) -> None:
        node, redirected_us = self._redirects.pop(worker, ("", 0))
        if node and now_us - redirected_us <= RETURN_WINDOW_US:
            exclusion = self._excluded.get(node)
            if exclusion is None:
                self._excluded[node] = _Exclusion(now_us + EXCLUSION_US)
            elif now_us >= exclusion.until_us:  # the trial failed; others redirected at the same time count once
                exclusion.times += 1
                exclusion.until_us = now_us + min(EXCLUSION_US << (exclusion.times - 1), MAX_EXCLUSION_US)
                exclusion.trial_us = None
        if len(self._redirects) > 64:
            self._redirects = {
                name: redirect
                for name, redirect in self._redirects.items()
                if now_us - redirect[1] <= RETURN_WINDOW_US
            }

    def _accepts_workers(self, node: str, now_us: int) -> bool:
        """True if the node is not excluded, or has been for long enough that one worker may try it."""
        exclusion = self._excluded.get(node)
        if exclusion is None:
            return True
        if now_us < exclusion.until_us:
            return False
        if exclusion.trial_us is None:
            return True
        if now_us - exclusion.trial_us <= RETURN_WINDOW_US:
            return False
        del self._excluded[node]  # the worker of the trial did not come back
        return True
