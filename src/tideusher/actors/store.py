"""The client of the state service: rate-limited requests, and a mirror of our keys kept up to date by watches.

Every node answers from its mirror (`core/model/mirror.py`). Its freshness matters (safety 6 and 7), so the time at
which the newest completed read was *sent* is kept beside it.
"""

import logging
from collections.abc import Callable
from math import inf
from typing import Any, TypeVar

import gevent
import msgspec
from gevent.event import AsyncResult, Event

from tideusher.actors.base import Actor
from tideusher.actors.http import CallFailed, HttpClient
from tideusher.actors.rate_limits import DemandRate, TokenBucket
from tideusher.clock import Clock, to_s, to_us
from tideusher.config import Config, StateRates
from tideusher.core.decide.refused_guards import RefusedGuards
from tideusher.core.model import keys
from tideusher.core.model.job_record import is_final
from tideusher.core.model.mirror import Change, Listener, Mirror, MirroredValue, apply_in_order
from tideusher.core.model.pages import NULL
from tideusher.core.model.placements import Placements
from tideusher.invariants import Invariants, Rule
from tideusher.metrics import Metrics
from tideusher.wire import state

T = TypeVar("T")

#: How long a read waits for a change; the leader's wait less, since it starts tasks only on what it has read lately.
LONG_POLL_MS, LEADER_LONG_POLL_MS = 1000, 500

#: The leader's share of the state service's limits; the other nodes share the rest.
LEADER_REQUEST_SHARE, LEADER_WRITE_SHARE = 0.55, 0.55
#: Burst size of a node's write budget, as a share of the service's writes in one second.
WRITE_BURST_SHARE = 0.25
#: Share of the writes unused by other nodes that is used: their reported demand is half a second old.
SPARE_WRITE_SHARE = 0.8
#: Share of the leader's writes that other nodes may use: its assignments come in bursts and have priority.
LEADER_LENDABLE_SHARE = 0.5
#: Shortest time between two full reads because the mirror was found wrong: there may be a million keys.
FULL_READ_INTERVAL_US = to_us(60.0)
#: Attempts to read a key at a revision that the mirror has not reached yet.
KEY_READ_ATTEMPTS = 3


class Unavailable(Exception):
    """The state service does not answer, or refuses; the outcome of the request is unknown."""


class Throttled(Unavailable):
    """The request budget is spent: nothing was done, and waiting would take too long."""


class Refused(Unavailable):
    """The state service refuses the transaction as it stands: nothing was done, nor will be unless it is changed."""


class Malformed(Unavailable):
    """The answer of the state service cannot be decoded; the outcome of the request is unknown."""


class Conflict(Exception):
    """A guard of the transaction failed: nothing was written."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class LeaseExpired(Exception):
    """The lease has expired."""


class Store(Actor):
    """Owns the mirror. The mirror is read directly; everything else is a message or a call."""

    def __init__(self, config: Config, clock: Clock, metrics: Metrics) -> None:
        super().__init__("store")
        self._metrics = metrics
        self._clock = clock
        limits = config.settings.state
        nodes = max(1, config.settings.size)
        self._rates, self._next_rates = StateRates(limits.rps, limits.write_rps), limits.next_rates
        self._other_nodes, self._node = max(1, nodes - 1), config.node
        self._requests = TokenBucket(limits.rps, clock)
        self._writes = TokenBucket(limits.write_rps, clock)
        self._write_demand = DemandRate(clock)
        self._peer_demands: Callable[[], dict[str, float]] = dict
        self._leading = False
        self._queued_leader_writes = 0  # the leader's writes that wait for the budget
        self._client = HttpClient(config.endpoints.state, timeout_s=3.0, keep=6)
        self._mirror = Mirror()
        #: The mirrored keys, read directly.
        self.mirror = self._mirror.items
        #: Where the record of each job's first tasks is.
        self.placements = Placements(self._is_open)
        self._mirror.listen(self._update_placement)
        self._refused_guards, self._invariants = RefusedGuards(self._mirror), Invariants(metrics)
        self._full_read_us: int | None = None  # when all keys were last read because the mirror was found wrong
        self.lead(False)
        self.loaded = Event()
        #: Steady time at which the newest answered read had been sent; None if none was answered.
        self.contact_us: int | None = None
        self._waiting: list[AsyncResult] = []
        self._syncing = False

    def start(self) -> None:
        super().start()
        gevent.spawn(self._follow)

    def lead(self, leading: bool) -> None:
        """Takes the leader's share of the budget, or that of any other node (see also `_share_writes`).

        Renewals of the leader's lease are not counted. Users come to one node in bursts while the others have none,
        so a node that does not lead may save up writes for them; if all nodes burst at once, the service refuses
        some writes with 429, unexecuted, and they are sent again.
        """
        self._leading = leading
        requests = LEADER_REQUEST_SHARE if leading else (1 - LEADER_REQUEST_SHARE) / self._other_nodes
        self._requests.set(self._rates.rps * requests)
        self._share_writes()
        #: Pause between two polls; a node that does not lead leaves most of its requests to users.
        self._poll_pause_s = 0.1 if leading else max(0.1, 1 / (self._rates.rps * requests))

    def _adopt_next_rates(self) -> None:
        """Keeps to the announced rates from the first 429 on: the service may have lowered its limits."""
        if self._rates != self._next_rates:
            self._rates = self._next_rates
            self.log.info("429: from now on %.0f requests and %.0f changes a second, as announced", *self._rates)
            self.lead(self._leading)

    def set_demand_source(self, peer_demands: Callable[[], dict[str, float]]) -> None:
        """Sets the source of the write demand a second that the connected nodes report."""
        self._peer_demands = peer_demands

    def demand(self) -> float:
        """Returns this node's write demand a second, to be reported to the others."""
        return self._write_demand.rate()

    def _share_writes(self) -> None:
        """Sets the write rate to our share, plus part of what the other nodes leave unused.

        With fixed shares one node of seven had 1.5 writes a second for its users, and refused hundreds of requests
        while the state service was idle. A node that is not connected is assumed to use all of its share.
        """
        leader = self.mirror.get(keys.LEADER)
        leading = self._node if self._leading else leader.value["node"] if leader is not None else None

        def share(node: str) -> float:
            part = LEADER_WRITE_SHARE if node == leading else (1 - LEADER_WRITE_SHARE) / self._other_nodes
            return self._rates.write_rps * part

        spare, competing = 0.0, 1
        for node, demand in self._peer_demands().items():
            own = share(node)
            competing += demand > own
            spare += max(0.0, (own * LEADER_LENDABLE_SHARE if node == leading else own) - demand)
        self._writes.set(
            share(self._node) + SPARE_WRITE_SHARE * spare / competing, self._rates.write_rps * WRITE_BURST_SHARE
        )

    def listen(self, listener: Listener) -> None:
        """Registers a listener, called with (key, value or None, stamp) at every change of the mirror."""
        self._mirror.listen(listener)

    @property
    def revision(self) -> int:
        """The revision up to which the mirror is complete."""
        return self._mirror.revision

    def read_age_s(self) -> float:
        """Returns the seconds since the newest answered read had been sent; infinite if none was answered."""
        return inf if self.contact_us is None else to_s(self._clock.now_us() - self.contact_us)

    def describe_last_read(self) -> str:
        """Returns the revision and the age of the last read as a text for the log."""
        return f"revision {self.revision} read {self.read_age_s():.2f} s ago"

    def stamp_of(self, key: str) -> int:
        """Returns the mirrored stamp; 0 if the key does not exist."""
        return self._mirror.stamp_of(key)

    def tasks_of(self, job: str, number: int) -> Any:
        """Returns the record of a job's tasks from CHUNK_TASKS times `number` on; None if there is none."""
        if number == 0:
            return self.placements.first(job)
        stored = self.mirror.get(keys.chunk_key(job, number))
        return stored.value if stored is not None else None

    # ---------------------------------------------------------------- calls

    def call(
        self, method: str, path: str, body: Any = None, budget: bool = True, timeout_s: float | None = None
    ) -> tuple[int, bytes]:
        """Sends one request within the budget; 429 and 503 mean that it was not executed and raise Unavailable."""
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
                self._adopt_next_rates()
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
        """Commits and returns the revision.

        Raises Conflict, Throttled or Refused (nothing done), LeaseExpired, or Unavailable (outcome unknown).

        With `patience_s` it raises Throttled at once if the budget requires a longer wait.
        """
        self._write_demand.add(len(writes))
        if budget:
            self._share_writes()
            # A write for a user goes before a waiting batch of the leader: after a mass failure batches wait for half
            # a minute, and without this all users of that node were refused meanwhile.
            is_leader_batch = patience_s is None
            pause_s = self._writes.wait_s(len(writes), 0 if is_leader_batch else self._queued_leader_writes)
            if patience_s is not None and pause_s > patience_s:
                self._writes.refund(len(writes))
                raise Throttled("the write budget is spent")
            self._metrics.count("state_writes", "", len(writes))
            if pause_s:
                self._queued_leader_writes += len(writes) if is_leader_batch else 0
                gevent.sleep(pause_s)
                self._queued_leader_writes -= len(writes) if is_leader_batch else 0
        status, answer = self._post_txn(state.Txn(guards, writes), budget)
        if status == 200:
            revision = _decoded(state.decode_txn_done, answer).revision
            self._mirror.apply_commit(_written(write, revision) for write in writes)
            return revision
        if status == 409:
            refusal = _decoded(state.decode_txn_failed, answer)
            for key in refusal.failed:
                self._metrics.count("state_conflicts", keys.kind_of(key))
            self._refused_guards.add(guards, refusal)
            raise Conflict(refusal.failed)
        if b"no such lease" in answer:
            raise LeaseExpired
        if 400 <= status < 500:
            self._metrics.count("state_refusals", str(status))
            raise Refused(f"POST /txn: {status} {answer[:200]!r}")
        raise Unavailable(f"POST /txn: {status} {answer[:200]!r}")

    def _post_txn(self, body: state.Txn, budget: bool) -> tuple[int, bytes]:
        """Sends a transaction; one that got 429 was not executed and is sent again a few times."""
        pauses = [0.2, 0.4] if budget else []
        while True:
            if budget:
                self._requests.wait_s(1)  # taken without waiting: no write queues behind our reads
            try:
                return self.call("POST", "/txn", body, budget=False)
            except Throttled:
                self._writes.drain()
                if not pauses:
                    raise
                gevent.sleep(pauses.pop(0))

    # ---------------------------------------------------------------- mirror

    def sync(self, timeout_s: float = 2.0) -> bool:
        """Waits for a read that is sent after this call; True if it was answered in time.

        All calls that come while a read is under way share the next one.
        """
        if not self.loaded.is_set():
            return False
        waiter: AsyncResult = AsyncResult()
        self._waiting.append(waiter)
        if not self._syncing:
            self._syncing = True
            self.spawn(self._sync_round)
        try:
            return bool(waiter.get(timeout=timeout_s))
        except gevent.Timeout:
            return False

    def _sync_round(self) -> None:
        try:
            while self._waiting:
                waiting, self._waiting = self._waiting, []
                try:
                    self._poll(0)
                    succeeded = True
                except Unavailable as error:
                    self.log.debug("state service not reached: %s", error)
                    succeeded = False
                except Exception:
                    self.log.exception("read of the state service failed")
                    succeeded = False
                for waiter in waiting:
                    waiter.set(succeeded)
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
        changes = self._changes_since(since, wait_ms)
        if changes is None:
            self._load()
            return
        self._mirror.apply_read(changes.revision, [_changed(event) for event in changes.events])
        self._record_contact(sent_us)
        self._check_refused_guards()

    def _changes_since(self, revision: int, wait_ms: int) -> state.Changes | None:
        """Returns the changes of our keys since a revision; None if they are not kept that far back."""
        status, answer = self.call(
            "GET",
            f"/watch?under={keys.PREFIX}&since={revision}&wait_ms={wait_ms}",
            budget=False,
            timeout_s=wait_ms / 1000 + 1.5,
        )
        if status == 410:
            return None
        if status != 200:
            raise Unavailable(f"GET /watch: {status}")
        return _decoded(state.decode_changes, answer)

    def _record_contact(self, sent_us: int) -> None:
        if self.contact_us is None or sent_us > self.contact_us:
            self.contact_us = sent_us

    def _update_placement(self, key: str, value: Any, stamp: int) -> None:
        if key.startswith(keys.PAGE_PREFIX):
            self.placements.page_changed(key, value, stamp)
        elif key.startswith(keys.CHUNK_PREFIX):
            job, number = keys.split_chunk_key(key)
            if number == 0:
                self.placements.own_changed(job, value, stamp)
        elif is_final(key, value):
            self.placements.job_ended(key[len(keys.JOB_PREFIX) :])

    def _is_open(self, job: str) -> bool:
        stored = self.mirror.get(keys.job_key(job))
        return stored is not None and not is_final(keys.job_key(job), stored.value)

    def _load(self) -> None:
        """Reads all keys as they are at one revision; those that no longer exist are removed from the mirror.

        The pages of a full read are of different revisions: for a job that ended in between, one page holds the open
        record and the next lacks the chunk with its done tasks. The changes since the first page make it consistent.
        """
        first_revision, found = self._read_pages()
        sent_us = self._clock.now_us()
        changes = self._changes_since(first_revision, 0)
        if changes is None:
            raise Unavailable("too many changes during a full read")
        apply_in_order(found, [_changed(event) for event in changes.events])
        changed = self._mirror.apply_state(changes.revision, found)
        self.log.info("all %d keys read at revision %d, %d changed", len(found), changes.revision, changed)
        self._record_contact(sent_us)
        self.loaded.set()
        self._check_refused_guards()

    def _read_pages(self) -> tuple[int, dict[str, MirroredValue]]:
        """Returns all keys, read page by page, and the revision of the first page."""
        found: dict[str, MirroredValue] = {}
        first_revision: int | None = None
        since = ""
        while True:
            page = self._list_keys(f"under={keys.PREFIX}{f'&since={since}' if since else ''}&most=1000")
            if first_revision is None:
                first_revision = page.revision
            found.update((item.key, _stored(item)) for item in page.items)
            if not page.more or not page.items:
                return first_revision, found
            since = page.items[-1].key

    def _list_keys(self, query: str) -> state.Items:
        status, answer = self.call("GET", f"/keys?{query}", timeout_s=4.0)
        if status != 200:
            raise Unavailable(f"GET /keys: {status}")
        return _decoded(state.decode_items, answer)

    # ---------------------------------------------------------------- a wrong mirror

    def _check_refused_guards(self) -> None:
        """Reads anew what must be wrong in the mirror, since it does not explain why a transaction was refused.

        The keys of the refused guards are read at once, before any caller of `sync` goes on, and all keys some time
        after, as others may be wrong too.
        """
        unexplained = self._refused_guards.take_unexplained()
        for guard in unexplained:
            found = f"{guard.key} has stamp {guard.stamp} here and had another at revision {guard.revision}"
            self._invariants.violated(Rule.MIRROR, f"{found}; {self.describe_last_read()}")
        for guard in unexplained:
            self._read_key(guard.key)
        if unexplained and self._may_read_all():
            self._full_read_us = self._clock.now_us()
            self.spawn(self._read_all)

    def _may_read_all(self) -> bool:
        return self._full_read_us is None or self._clock.now_us() - self._full_read_us >= FULL_READ_INTERVAL_US

    def _read_key(self, key: str) -> None:
        """Reads one key anew at a revision that the mirror has not passed."""
        self._metrics.count("mirror_rereads", "key")
        for _ in range(KEY_READ_ATTEMPTS):
            page = self._list_keys(f"under={key}&most=1")
            found = next((_stored(item) for item in page.items if item.key == key), None)
            if self._mirror.apply_key(page.revision, key, found):
                return

    def _read_all(self) -> None:
        self._metrics.count("mirror_rereads", "all")
        try:
            self._load()
        except Unavailable as error:
            self.log.info("full read after an unexplained conflict failed: %s", error)

    def _follow(self) -> None:
        """Keeps the mirror up to date with one watch at a time, spaced to save the request budget."""
        while True:
            try:
                if not self.loaded.is_set():
                    self._load()
                self._poll(LEADER_LONG_POLL_MS if self._leading else LONG_POLL_MS)
                pause_s = self._poll_pause_s
            except Unavailable as error:
                self.log.debug("state service not reached: %s", error)
                pause_s = 0.3
            except Exception:
                self.log.exception("update of the mirror failed")
                pause_s = 1.0
            gevent.sleep(pause_s)


def _decoded(decode: Callable[[bytes], T], answer: bytes) -> T:
    """Decodes an answer of the state service; raises Malformed."""
    try:
        return decode(answer)
    except msgspec.DecodeError as error:
        logging.getLogger("store").error("bad answer of the state service: %s", error)
        raise Malformed(f"bad answer: {error}") from None


def _written(write: state.Put | state.Delete, revision: int) -> Change:
    if isinstance(write, state.Delete):
        return Change(write.key, None, revision)
    return Change(write.key, {} if write.value is NULL else write.value, revision)


def _changed(event: state.Event) -> Change:
    if event.put is not None:
        return Change(event.put, _present(event.value), event.stamp)
    return Change(event.removed or "", None, event.stamp)


def _stored(item: state.Item) -> MirroredValue:
    return MirroredValue(_present(item.value), item.stamp)


def lease_of(answer: bytes) -> int:
    """Returns the id of the lease that the state service granted; raises Malformed."""
    return _decoded(state.decode_lease, answer).id


def _present(value: Any) -> Any:
    """Returns the mirrored value of an existing key: a `null` becomes an empty object, since None means removed."""
    return {} if value is None else value
