"""The state service process of a scale run: the stand-in with the protocol's limits, errors and delays added."""

import random
from bisect import bisect_right
from collections import Counter
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from tideusher.actors.handler import Handler
from tideusher.actors.rate_limits import TokenBucket
from tideusher.clock import Clock, to_s
from tideusher.config import split_address
from tideusher.core.model import keys
from tideusher.core.model.records import OPEN
from tideusher.playground.servers import StateServer
from tideusher.playground.standins import StateStandIn
from tideusher.scale.endpoint import HubLink, run_role
from tideusher.scale.layout import Layout
from tideusher.scale.messages import Counted, LeaderSeen, Message, StateTroubles
from tideusher.scale.settings import StateLimits, load_scale_settings
from tideusher.wire.state import Delete, Guard, Put

#: Limits of one page of a listing.
MAX_ITEMS, MAX_PAGE_BYTES = 1000, 512 * 1024
MAX_TXN_BYTES = 64 * 1024
#: Changes kept in the log for watches; a watch from an earlier revision is refused.
KEPT_CHANGES = 10_000
MAX_WAIT_MS = 60_000
#: A transaction may have four times as many conditions as changes.
GUARDS_PER_WRITE = 4
_EXPIRE_INTERVAL_S = 0.05
#: Range of the delay after which a late transaction is executed, and time after which a request without an answer is
#: ended. Callers have given up by then in both cases.
LATE_DELAY_S, UNANSWERED_HOLD_S = (2.0, 12.0), 5.0

STATUS_LINES = {200: "200 OK", 400: "400 Bad Request", 404: "404 Not Found", 409: "409 Conflict", 410: "410 Gone"}
STATUS_LINES |= {429: "429 Too Many Requests", 503: "503 Service Unavailable"}


class LimitedStateServer(StateServer):
    """The stand-in with limits on rates and sizes, watches that block without polling, and counters of requests."""

    def __init__(
        self, clock: Clock, limits: StateLimits, controller_at: Callable[[str], int | None] = lambda host: None
    ) -> None:
        """`controller_at` maps a client's host address to the number of its controller, or None."""
        self._controller_at = controller_at
        super().__init__(clock, StateStandIn(round(limits.value_kb * 1024)))
        self._limits = limits
        self._requests, self._changes = TokenBucket(limits.rps, clock), TokenBucket(limits.write_rps, clock)
        self._changed = Event()
        self._first_kept = 0  # changes up to this revision have been dropped from the log
        self.counts: Counter[str] = Counter()
        self.on_leader: Callable[[str], None] = lambda node: None
        self._troubles, self._rng = StateTroubles(), random.Random("state troubles")
        self._out_since_us = 0

    def __call__(self, environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
        method, path, body = environ["REQUEST_METHOD"], environ["PATH_INFO"], environ["wsgi.input"].read()
        query = dict(part.partition("=")[::2] for part in environ["QUERY_STRING"].split("&"))
        gevent.sleep(self._limits.latency_ms / 1000 + self._troubles.slow_s * self._rng.random())
        if self._refuses(environ.get("REMOTE_ADDR", "")):
            self.counts["refused.troubles"] += 1
            status, answer = 503, {"error": "unavailable"}
        else:
            parameters = {name: [value] for name, value in query.items()}
            status, answer = self._with_faults(method, path, parameters, body)
        data = answer if isinstance(answer, bytes) else msgspec.json.encode(answer)
        start(STATUS_LINES[status], [("Content-Type", "application/json"), ("Content-Length", str(len(data)))])
        return [data]

    # ---------------------------------------------------------------- troubles

    def trouble(self, troubles: StateTroubles) -> None:
        """Replaces the active faults. After an outage, leases valid when it began get their full time again."""
        now_us = self._clock.now_us()
        if troubles.out and not self._troubles.out:
            self._out_since_us = now_us
        elif self._troubles.out and not troubles.out:
            for number, (ends_us, ttl_us) in self._leases.items():
                if ends_us > self._out_since_us:
                    self._leases[number] = (now_us + ttl_us, ttl_us)
        self._troubles = troubles

    def _refuses(self, host: str) -> bool:
        return self._troubles.out or self._controller_at(host) in self._troubles.refused

    def _with_faults(self, method: str, path: str, query: dict[str, list[str]], body: bytes) -> tuple[int, Any]:
        """Handles a request.

        A transaction may be executed late, or executed without an answer in time, or executed and answered late.
        """
        if path == "/txn" and self._troubles.late_answers and self._rng.random() < self._troubles.late_answers:
            self.counts["txn answered late"] += 1
            status, answer = self._limited(method, path, query, body)
            gevent.sleep(self._troubles.late_answer_s * self._rng.random())
            return status, answer
        drawn = self._rng.random()
        if path != "/txn" or drawn >= self._troubles.late + self._troubles.lost:
            return self._limited(method, path, query, body)
        if drawn < self._troubles.late:
            self.counts["txn late"] += 1
            gevent.spawn_later(
                LATE_DELAY_S[0] + (LATE_DELAY_S[1] - LATE_DELAY_S[0]) * self._rng.random(), self._execute_late, body
            )
        else:
            self.counts["txn without answer"] += 1
            self._limited(method, path, query, body)
        gevent.sleep(UNANSWERED_HOLD_S)
        return 503, {"error": "unavailable"}  # the caller has given up by now

    def _execute_late(self, body: bytes) -> None:
        if not self._troubles.out:
            self._limited("POST", "/txn", {}, body)

    def run(self) -> None:
        """Expires leases periodically, also without requests."""
        while True:
            gevent.sleep(_EXPIRE_INTERVAL_S)
            self._expire()

    # ---------------------------------------------------------------- limits

    def _limited(self, method: str, path: str, query: dict[str, list[str]], body: bytes) -> tuple[int, Any]:
        kind = path.split("/")[1]
        self.counts[f"requests.{kind}"] += 1
        if not _take_tokens(self._requests, 1):
            self.counts["refused.requests"] += 1
            return 429, {"error": "too many requests"}
        if kind != "txn":
            return self._route(method, path, query, body)
        writes = len(msgspec.json.decode(body)["writes"])
        if len(body) > MAX_TXN_BYTES or writes > self._limits.txn_ops:
            return 400, {"error": "too large"}
        if not _take_tokens(self._changes, writes):
            self.counts["refused.writes"] += 1
            return 429, {"error": "too many changes"}
        return self._route(method, path, query, body)

    # ---------------------------------------------------------------- reads

    def _route(self, method: str, path: str, query: dict[str, list[str]], body: bytes) -> tuple[int, Any]:
        if path == "/watch":
            return self._watch(query)
        if path == "/keys":
            return 200, self._list(query)
        if path.startswith("/keys/"):
            return self._get(path[len("/keys/") :])
        if method == "DELETE" and path.startswith("/holds/"):
            return self._end_lease(int(path.split("/")[2]))
        return super()._route(method, path, query, body)

    def _get(self, key: str) -> tuple[int, Any]:
        if key not in self._state.items:
            return 404, {"tide": self._state.tide}
        value, stamp = self._state.items[key]
        return 200, {"key": key, "value": value, "stamp": stamp}

    def _list(self, query: dict[str, list[str]]) -> dict[str, Any]:
        under, since = query["under"][0], query.get("since", [""])[0]
        most = min(MAX_ITEMS, int(query.get("most", [str(MAX_ITEMS)])[0]))
        names = sorted(key for key in self._state.items if key.startswith(under) and key > since)
        items: list[dict[str, Any]] = []
        size = 0
        for key in names[:most]:
            value, stamp = self._state.items[key]
            size += len(msgspec.json.encode(value)) + len(key)
            if items and size > MAX_PAGE_BYTES:
                break
            items.append({"key": key, "value": value, "stamp": stamp})
        return {"items": items, "truncated": len(items) < len(names), "tide": self._state.tide}

    def _watch(self, query: dict[str, list[str]]) -> tuple[int, Any]:
        under, since = query.get("under", [""])[0], int(query["since"][0])
        ends_us = self._clock.now_us() + min(MAX_WAIT_MS, int(query.get("wait_ms", ["0"])[0])) * 1000
        while True:
            if since < self._first_kept:
                return 410, {"error": "too old", "tide": self._state.tide}
            first = bisect_right(self._log, since, key=lambda change: change["stamp"])
            log = [
                change for change in self._log[first:] if (change.get("set") or change["remove"]).startswith(under)
            ]
            left_us = ends_us - self._clock.now_us()
            if log or left_us <= 0:
                return 200, {"tide": self._state.tide, "log": log}
            self._changed.wait(to_s(left_us))

    # ---------------------------------------------------------------- changes

    def _end_lease(self, number: int) -> tuple[int, Any]:
        if number not in self._leases:
            return 404, {}
        self._leases[number] = (0, 0)
        self._expire()
        return 200, {}

    def _txn(self, guards: list[Guard], writes: list[Put | Delete]) -> tuple[int, Any]:
        for write in writes:
            if isinstance(write, Put) and write.lease is not None and not self._is_live(write.lease):
                return 400, {"error": "no such lease"}
            if isinstance(write, Put) and len(msgspec.json.encode(write.value)) > self._state.value_bytes:
                return 400, {"error": f"the value of {write.key} is too large"}
        status, answer = super()._txn(guards, writes)
        if status == 200:
            for write in writes:
                self.counts[f"writes.{kind_of(write)}"] += 1
            self._note_changes()
        else:
            self.counts["refused.guards"] += 1
        return status, answer

    def _is_live(self, lease: int) -> bool:
        return self._leases.get(lease, (0, 0))[0] > self._clock.now_us()

    def _expire(self) -> None:
        if self._troubles.out:
            return  # leases get their full time again when the outage ends
        before = self._state.tide
        super()._expire()
        if self._state.tide != before:
            self._note_changes()

    def _note_changes(self) -> None:
        excess = len(self._log) - KEPT_CHANGES
        if excess > KEPT_CHANGES // 10:
            self._first_kept = self._log[excess - 1]["stamp"]
            del self._log[:excess]
        self._changed.set()
        self._changed.clear()
        leader = self._state.items.get(keys.LEADER)
        self.on_leader(leader[0]["node"] if leader is not None else "")


def _take_tokens(bucket: TokenBucket, amount: float) -> bool:
    """Takes `amount` from the bucket and returns True; if it is not available at once, takes nothing."""
    if bucket.wait_s(amount):
        bucket.refund(amount)
        return False
    return True


def kind_of(write: Put | Delete) -> str:
    """Returns the kind of a change, for the counters, by its key and value."""
    key, removed = write.key, isinstance(write, Delete)
    if key.startswith(keys.JOB_PREFIX):
        status = write.value.get("st") if isinstance(write, Put) else "removed"
        return "job accepted or changed" if status == OPEN else f"job {status}"
    kind = keys.kind_of(key)
    return f"{kind} removed" if removed and key.count("/") > 1 else kind


def main(arguments: list[str]) -> None:
    """Runs the process: `state_service FILE`."""
    settings = load_scale_settings(arguments[0])
    layout = Layout(settings)
    server = LimitedStateServer(Clock(), settings.state, layout.controller_at)
    WSGIServer(split_address(layout.state), server, log=None, error_log=None, handler_class=Handler).start()
    gevent.spawn(server.run)
    link, last_leader = HubLink(layout.hub, "state"), [""]

    def report_leader(node: str) -> None:
        if node != last_leader[0]:
            last_leader[0] = node
            link.send(LeaderSeen(node))

    def handle(message: Message) -> None:
        if isinstance(message, StateTroubles):
            server.trouble(message)

    server.on_leader = report_leader
    link.serve(handle, lambda: Counted("state", dict(server.counts)))


if __name__ == "__main__":
    run_role(main)
