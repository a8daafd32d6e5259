"""The state service: a client with a rate budget, and a mirror of our keys kept by watches.

The mirror is what every node answers from. How fresh it is matters (safety 6 and 7), so the time at
which the newest completed read was *sent* is kept beside it.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from math import exp, inf
from typing import Any, TypeVar

import gevent
import msgspec
from gevent.event import AsyncResult, Event

from tideusher.actors.base import Actor
from tideusher.actors.http import CallFailed, HttpClient
from tideusher.clock import SECOND_US, Clock, to_s
from tideusher.config import Config
from tideusher.core.model import keys
from tideusher.core.model.job_record import is_final
from tideusher.core.model.pages import NULL
from tideusher.core.model.placements import Placements
from tideusher.metrics import Metrics
from tideusher.wire import state

T = TypeVar("T")
Listener = Callable[[str, Any, int], None]

LONG_POLL_MS = 1000

# The leader's share of the state service's limits; the other nodes share the rest.
LEADER_REQUESTS, LEADER_WRITES = 0.55, 0.55
#: What a node may save up for a burst of its users, as a share of the writes of one second.
BURST_WRITES = 0.25
#: Of the writes that others leave unused this share is taken: what they told is half a second old.
TAKEN = 0.8
#: The leader's share is lent up to this part only: its assignments come in bursts, and go first.
LEADER_LENDS = 0.5


class Unavailable(Exception):
    """The state service does not answer, or refuses; nothing is known of what was asked."""


class Throttled(Unavailable):
    """The budget is spent for now: nothing was done, and it would take too long to wait."""


class Malformed(Unavailable):
    """The state service answered what nobody can read: nothing is known of what was asked."""


class Conflict(Exception):
    """A transaction's guards failed: it did nothing."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class NoLease(Exception):
    """The lease has run out."""


class TokenBucket:
    """A token bucket with a burst, by default one second's worth, as the service itself counts."""

    def __init__(self, rate: float, clock: Clock, burst: float = 0.0) -> None:
        self._clock = clock
        self._rate, self._burst = rate, max(rate, burst)
        self._level, self._at_us = self._burst, clock.now_us()

    def set(self, rate: float, burst: float = 0.0) -> None:
        """Fill at this rate from now on."""
        self._refill()
        self._rate, self._burst = rate, max(rate, burst)

    def wait_s(self, amount: float, before: float = 0.0) -> float:
        """Take the amount; returns how long to wait before using it.

        `before`: so much of what was taken is not used yet, and lets this go first.
        """
        self._refill()
        self._level -= amount
        return max(0.0, -(self._level + before) / self._rate)

    def _refill(self) -> None:
        now_us = self._clock.now_us()
        self._level = min(self._burst, self._level + self._rate * (now_us - self._at_us) / SECOND_US)
        self._at_us = now_us

    def give_back(self, amount: float) -> None:
        """What was taken will not be used."""
        self._level += amount

    def drain(self) -> None:
        """The service said 429: whatever we thought was left is not."""
        self._refill()
        self._level = min(self._level, 0.0)


class Demand:
    """How much was asked for in about the last second, a second."""

    def __init__(self, clock: Clock) -> None:
        self._clock, self._level, self._at_us = clock, 0.0, clock.now_us()

    def add(self, amount: float) -> None:
        """So much more is asked for."""
        self._level = self.rate() + amount

    def rate(self) -> float:
        """Older demand counts for less: a third after a second."""
        now_us = self._clock.now_us()
        self._level *= exp((self._at_us - now_us) / SECOND_US)
        self._at_us = now_us
        return self._level


@dataclass(slots=True)
class MirroredValue:
    """A mirrored key."""

    value: Any
    stamp: int


class Store(Actor):
    """Owns the mirror. Reads of the mirror are direct; everything else is a message or a call."""

    def __init__(self, config: Config, clock: Clock, metrics: Metrics) -> None:
        super().__init__("store")
        self._metrics = metrics
        self._clock = clock
        limits = config.settings.state
        nodes = max(1, config.settings.size)
        self._limits, self._others, self._node = limits, max(1, nodes - 1), config.node
        self._requests = TokenBucket(limits.rps, clock)
        self._writes = TokenBucket(limits.write_rps, clock)
        self._wanted = Demand(clock)
        self._told: Callable[[], dict[str, float]] = dict
        self._leading = False
        self._queued = 0  # writes of the leader's that wait for their turn
        self._client = HttpClient(config.endpoints.state, timeout_s=3.0, keep=6)
        self.mirror: dict[str, MirroredValue] = {}
        self._removed: dict[str, int] = {}
        #: Where the first tasks of each job are on record.
        self.placements = Placements(self._is_open)
        self.revision = 0
        self.lead(False)
        self.loaded = Event()
        #: Steady time at which the newest read that was answered had been sent; None: never.
        self.contact_us: int | None = None
        self._listeners: list[Listener] = []
        self._waiting: list[AsyncResult] = []
        self._syncing = False

    def start(self) -> None:
        super().start()
        gevent.spawn(self._follow)

    def lead(self, leading: bool) -> None:
        """Take the leader's share of the budget, or a plain node's (and see `_share_writes`).

        The renewal of leadership takes no part in it. Users come to one node in bursts while the others
        have none, so a plain node may save up for them; should all burst at once, the service refuses
        some writes with 429, unexecuted, and they are sent again.
        """
        self._leading = leading
        requests = LEADER_REQUESTS if leading else (1 - LEADER_REQUESTS) / self._others
        self._requests.set(self._limits.rps * requests)
        self._share_writes()
        #: Between two looks at the changes: a plain node leaves most of its requests to users.
        self._pause_s = 0.1 if leading else max(0.1, 1 / (self._limits.rps * requests))

    def hear_demands(self, told: Callable[[], dict[str, float]]) -> None:
        """Where to ask what the other nodes, as far as they are heard, want to write a second."""
        self._told = told

    def wanted(self) -> float:
        """What this node wants to write a second, for the others to know."""
        return self._wanted.rate()

    def _share_writes(self) -> None:
        """Our share of the writes, and part of what others leave unused.

        With fixed shares one node of seven had 1.5 writes a second for its users, and refused them by
        hundreds while the state service was idle. A node that is not heard leaves nothing.
        """
        leader = self.mirror.get(keys.LEADER)
        leading = self._node if self._leading else leader.value["node"] if leader is not None else None

        def share(node: str) -> float:
            part = LEADER_WRITES if node == leading else (1 - LEADER_WRITES) / self._others
            return self._limits.write_rps * part

        spare, eager = 0.0, 1
        for node, wanted in self._told().items():
            own = share(node)
            eager += wanted > own
            spare += max(0.0, (own * LEADER_LENDS if node == leading else own) - wanted)
        self._writes.set(share(self._node) + TAKEN * spare / eager, self._limits.write_rps * BURST_WRITES)

    def listen(self, listener: Listener) -> None:
        """Be called with (key, value or None, stamp) at every change of the mirror."""
        self._listeners.append(listener)

    def read_age_s(self) -> float:
        """Seconds since the newest read that was answered had been sent; infinite if none was."""
        return inf if self.contact_us is None else to_s(self._clock.now_us() - self.contact_us)

    def describe_last_read(self) -> str:
        """What is known of the state service and since when, for the log."""
        return f"revision {self.revision} read {self.read_age_s():.2f} s ago"

    def stamp_of(self, key: str) -> int:
        """The mirrored stamp; 0: the key does not exist."""
        stored = self.mirror.get(key)
        return stored.stamp if stored else 0

    def tasks_of(self, job: str, number: int) -> Any:
        """The record of a job's tasks from CHUNK_TASKS times `number` on, wherever it is; None: there is none."""
        if number == 0:
            return self.placements.first(job)
        stored = self.mirror.get(keys.chunk_key(job, number))
        return stored.value if stored is not None else None

    # ---------------------------------------------------------------- calls

    def call(
        self, method: str, path: str, body: Any = None, budget: bool = True, timeout_s: float | None = None
    ) -> tuple[int, bytes]:
        """One request within the budget; 429 and 503 were not executed and raise Unavailable."""
        if budget:
            pause_s = self._requests.wait_s(1)
            if pause_s:
                gevent.sleep(pause_s)
        data = state.encode(body) if body is not None else None
        self._metrics.count("state_requests", method)
        try:
            status, answer = self._client.call(method, path, data, timeout_s)
        except CallFailed as error:
            raise Unavailable(str(error)) from None
        if status in (429, 503):
            self._metrics.count("state_refusals", str(status))
            if status == 429:
                self._requests.drain()
                raise Throttled(f"{method} {path}: 429")
            raise Unavailable(f"{method} {path}: 503")
        return status, answer

    def txn(
        self,
        guards: list[state.Guard],
        writes: list[state.Put | state.Delete],
        budget: bool = True,
        patience_s: float | None = None,
    ) -> int:
        """Commit; returns the revision. Raises Conflict or Busy (nothing done) or Unavailable (unknown).

        With `patience_s` it is Busy at once if the budget would have it wait longer than that.
        """
        self._wanted.add(len(writes))
        if budget:
            self._share_writes()
            # Who asks for a user goes before a leader's batch that still waits: after a fall there is one for half
            # a minute, and the users of that node were all refused meanwhile.
            ours = patience_s is None
            pause_s = self._writes.wait_s(len(writes), 0 if ours else self._queued)
            if patience_s is not None and pause_s > patience_s:
                self._writes.give_back(len(writes))
                raise Throttled("the budget of writes is spent")
            self._metrics.count("state_writes", "", len(writes))
            if pause_s:
                self._queued += len(writes) if ours else 0
                gevent.sleep(pause_s)
                self._queued -= len(writes) if ours else 0
        status, answer = self._post_txn(state.Txn(guards, writes), budget)
        if status == 200:
            revision = _decoded(state.decode_txn_done, answer).revision
            for write in writes:
                if isinstance(write, state.Put):
                    self._apply(write.key, {} if write.value is NULL else write.value, revision)
                else:
                    self._apply(write.key, None, revision)
            return revision
        if status == 409:
            raise Conflict(_decoded(state.decode_txn_failed, answer).failed)
        if b"no such lease" in answer:
            raise NoLease
        raise Unavailable(f"POST /txn: {status} {answer[:200]!r}")

    def _post_txn(self, body: state.Txn, budget: bool) -> tuple[int, bytes]:
        """Send a transaction; one that got 429 did nothing and is sent again a few times."""
        pauses = [0.2, 0.4] if budget else []
        while True:
            if budget:
                self._requests.wait_s(1)  # taken, not waited for: no write queues behind our reads
            try:
                return self.call("POST", "/txn", body, budget=False)
            except Throttled:
                self._writes.drain()
                if not pauses:
                    raise
                gevent.sleep(pauses.pop(0))

    # ---------------------------------------------------------------- mirror

    def sync(self, timeout_s: float = 2.0) -> bool:
        """Wait for a read that was sent after this call; True if it was answered in time.

        One shared read serves all who ask while the last one is under way.
        """
        if not self.loaded.is_set():
            return False
        result: AsyncResult = AsyncResult()
        self._waiting.append(result)
        if not self._syncing:
            self._syncing = True
            self.spawn(self._sync_round)
        try:
            return bool(result.get(timeout=timeout_s))
        except gevent.Timeout:
            return False

    def _sync_round(self) -> None:
        try:
            while self._waiting:
                waiting, self._waiting = self._waiting, []
                try:
                    self._poll(0)
                    answer = True
                except Unavailable as error:
                    self.log.debug("no contact: %s", error)
                    answer = False
                except Exception:
                    self.log.exception("a read failed")
                    answer = False
                for result in waiting:
                    result.set(answer)
                if self._waiting:
                    gevent.sleep(0.04)
        finally:
            self._syncing = False

    def _poll(self, wait_ms: int) -> None:
        since, sent_us = self.revision, self._clock.now_us()
        pause_s = self._requests.wait_s(1)
        if pause_s:
            gevent.sleep(pause_s)
            sent_us = self._clock.now_us()
        status, answer = self.call(
            "GET",
            f"/watch?under={keys.PREFIX}&since={since}&wait_ms={wait_ms}",
            budget=False,
            timeout_s=wait_ms / 1000 + 1.5,
        )
        if status == 410:
            # Its pages are of different moments: of a job that ended in between one has the record still open, the
            # next lacks the chunk with its done tasks. What changed meanwhile makes them one state again.
            self._load()
            self._poll(0)
            return
        if status != 200:
            raise Unavailable(f"GET /watch: {status}")
        changes = _decoded(state.decode_changes, answer)
        for event in changes.events:
            if event.stamp <= self.revision:
                # An answer that was overtaken by a newer one. Its removals may be forgotten here
                # already: a key put back from it would stay for ever, and every transaction that
                # takes its stamp from the mirror would fail.
                continue
            if event.put is not None:
                self._apply(event.put, _present(event.value), event.stamp)
            elif event.removed is not None:
                self._apply(event.removed, None, event.stamp)
        self._advance(changes.revision)
        self._touched(sent_us)

    def _touched(self, sent_us: int) -> None:
        if self.contact_us is None or sent_us > self.contact_us:
            self.contact_us = sent_us

    def _advance(self, revision: int) -> None:
        if revision > self.revision:
            self.revision = revision
            if self._removed:
                self._removed = {k: s for k, s in self._removed.items() if s > revision}

    def _apply(self, key: str, value: Any, stamp: int) -> None:
        """Newest stamp wins, so overlapping answers and our own writes may come in any order."""
        old = self.mirror.get(key)
        if stamp <= (old.stamp if old else self._removed.get(key, 0)):
            return
        if value is None:
            self.mirror.pop(key, None)
            self._removed[key] = stamp
        else:
            self.mirror[key] = MirroredValue(value, stamp)
        self._place(key, value, stamp)
        for listener in self._listeners:
            try:
                listener(key, value, stamp)
            except Exception:
                self.log.exception("a listener failed at the change of %s", key)

    def _place(self, key: str, value: Any, stamp: int) -> None:
        if key.startswith(keys.PAGE_PREFIX):
            self.placements.page_changed(key, value, stamp)
        elif key.startswith(keys.CHUNK_PREFIX):
            job, number = keys.split_chunk_key(key)
            if number == 0:
                self.placements.own_changed(job, value, stamp)
        elif is_final(key, value):
            self.placements.is_over(key[len(keys.JOB_PREFIX) :])

    def _is_open(self, job: str) -> bool:
        stored = self.mirror.get(keys.job_key(job))
        return stored is not None and not is_final(keys.job_key(job), stored.value)

    def _load(self) -> None:
        """Read everything; what is no longer there is removed from the mirror."""
        sent_us = self._clock.now_us()
        found: dict[str, state.Item] = {}
        first: int | None = None
        since = ""
        while True:
            after = f"&since={since}" if since else ""
            status, answer = self.call("GET", f"/keys?under={keys.PREFIX}{after}&most=1000", timeout_s=4.0)
            if status != 200:
                raise Unavailable(f"GET /keys: {status}")
            page = _decoded(state.decode_items, answer)
            if first is None:
                first = page.revision
            for item in page.items:
                found[item.key] = item
            if not page.more or not page.items:
                break
            since = page.items[-1].key
        for key in [k for k, stored in self.mirror.items() if k not in found and stored.stamp <= first]:
            self._apply(key, None, first)
        for item in found.values():
            if item.stamp > self.revision:
                self._apply(item.key, _present(item.value), item.stamp)
        self.revision = max(self.revision, first)
        self._touched(sent_us)
        self.loaded.set()

    def _follow(self) -> None:
        """Keep the mirror fresh with one watch at a time, spaced so as not to eat the request budget."""
        while True:
            try:
                if not self.loaded.is_set():
                    self._load()
                    self.log.info("mirror loaded: %d keys at revision %d", len(self.mirror), self.revision)
                self._poll(LONG_POLL_MS)
                pause_s = self._pause_s
            except Unavailable as error:
                self.log.debug("no contact: %s", error)
                pause_s = 0.3
            except Exception:
                self.log.exception("the mirror could not be brought up to date")
                pause_s = 1.0
            gevent.sleep(pause_s)


def _decoded(decode: Callable[[bytes], T], answer: bytes) -> T:
    """An answer of the state service; raises Malformed."""
    try:
        return decode(answer)
    except msgspec.DecodeError as error:
        logging.getLogger("store").error("bad answer of the state service: %s", error)
        raise Malformed(f"bad answer: {error}") from None


def lease_of(answer: bytes) -> int:
    """The lease that the state service granted; raises Malformed."""
    return _decoded(state.decode_lease, answer).id


def _present(value: Any) -> Any:
    """A key that holds `null` is there all the same: as a value of ours it is empty."""
    return {} if value is None else value
