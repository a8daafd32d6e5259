"""Confirms cancellations: a user is told of one only when no leader can start a task of the job any more.

The leader is asked to withhold the job's starts while the cancellation is stored, so that usually nothing is waited
for. Without its promise, all start leases are waited out (`core/decide/start_lease.py`, docs/safety.md, 12).
"""

import logging
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from tideusher.actors.election import Election
from tideusher.actors.store import Store
from tideusher.clock import Clock, to_s, to_us
from tideusher.core.decide.cancellations import Cancellations
from tideusher.core.decide.start_lease import LEASE_ENDED_US, LeaderSeen, Promise, confirmable_us
from tideusher.core.model import keys
from tideusher.metrics import Metrics

#: A poll is refused rather than made to wait longer for a confirmation: its user gives up after 2 s.
POLL_PATIENCE_S = 1.0
#: Long enough for every start lease to end.
CANCEL_PATIENCE_S = 2 * to_s(LEASE_ENDED_US)
#: Shortest pause before the time is looked at again.
MIN_PAUSE_S = 0.001

#: Asks a node, if it leads, to withhold the starts of a job; returns whether it promised that.
AskToWithhold = Callable[[str, str], bool]


class PromiseRequest:
    """A request to the leader to withhold a job's starts, under way or answered."""

    def __init__(self) -> None:
        self.promise: Promise | None = None
        self.answered = Event()


class Confirmations:
    """Decides when users may be told that a job is cancelled."""

    def __init__(
        self,
        clock: Clock,
        store: Store,
        election: Election,
        cancellations: Cancellations,
        ask: AskToWithhold,
        metrics: Metrics,
    ) -> None:
        self.log = logging.getLogger("confirmations")
        self._clock, self._election, self._cancellations = clock, election, cancellations
        self._ask, self._metrics = ask, metrics
        self._leader = LeaderSeen(0, clock.now_us())
        store.listen(self._on_change)

    def _on_change(self, key: str, value: Any, stamp: int) -> None:
        if key == keys.LEADER:
            self._leader = LeaderSeen(stamp if value is not None else 0, self._clock.now_us())

    def request(self, job: str) -> PromiseRequest:
        """Asks the leader to withhold the starts of a job, without waiting for its answer."""
        request, leader = PromiseRequest(), self._election.leader()
        if leader is None:
            request.answered.set()
        else:
            gevent.spawn(self._request, request, job, *leader)
        return request

    def _request(self, request: PromiseRequest, job: str, node: str, token: int) -> None:
        requested_us = self._clock.now_us()
        try:
            if self._ask(node, job):
                request.promise = Promise(token, requested_us)
        finally:
            request.answered.set()

    def confirmed(self, job: str) -> bool:
        """Waits until a user who polls may be told that the job is cancelled; False if that takes too long."""
        if self._confirmable_us(job, None) <= self._clock.now_us():
            return True
        return self.wait(job, self.request(job), POLL_PATIENCE_S)

    def wait(self, job: str, request: PromiseRequest, patience_s: float = CANCEL_PATIENCE_S) -> bool:
        """Waits until a user may be told that the job, whose cancellation is stored, is cancelled.

        False if that takes longer than `patience_s`.
        """
        began_us = self._clock.now_us()
        deadline_us = began_us + to_us(patience_s)
        while True:
            now_us, due_us = self._clock.now_us(), self._confirmable_us(job, request.promise)
            if now_us >= due_us:
                self._note(job, request.promise, now_us - began_us)
                return True
            if now_us >= deadline_us or (request.answered.is_set() and due_us > deadline_us):
                return False
            pause_s = max(MIN_PAUSE_S, to_s(min(due_us, deadline_us) - now_us))
            if request.answered.is_set():
                gevent.sleep(pause_s)
            else:
                with gevent.Timeout(pause_s, False):
                    request.answered.wait()

    def _confirmable_us(self, job: str, promise: Promise | None) -> int:
        stored_us = self._cancellations.learnt_us(job)
        if stored_us is None:  # it was cancelled too long ago for this node to remember
            return 0
        return confirmable_us(stored_us, self._leader, promise)

    def _note(self, job: str, promise: Promise | None, waited_us: int) -> None:
        self._metrics.count("cancellations_confirmed", "promise" if promise is not None else "lease")
        if waited_us >= to_us(POLL_PATIENCE_S):
            self.log.info(
                "told of the cancellation of %s after %.1f s, %s a promise of the leader to start nothing of it",
                job,
                to_s(waited_us),
                "without" if promise is None else "with",
            )
