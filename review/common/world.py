"""Stand-ins of the review's cases: state service, cloud, workers and users on loopback, and real controllers.

Only the standard library is used, and nothing of the project: the stand-ins follow the protocol pages. Times are
seconds. All that happens is written to the case's record, one line each.
"""

import http.client
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2
KEPT_CHANGES = 10_000


class CouldNotRun(Exception):
    """The case could not be played as planned, so it says nothing about the rule."""


class Record:
    """The record of one run, with seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._file, self._lock, self._began = path.open("w"), threading.Lock(), time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def write(self, who: str, what: str) -> None:
        with self._lock:
            self._file.write(f"{self.now():9.3f} {who}: {what}\n")
            self._file.flush()


# ---------------------------------------------------------------- HTTP


Answer = tuple[int, Any]


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Connections that a killed or stopped controller leaves behind are no errors of the stand-ins."""


def serve(answer: Callable[[str, str, bytes], Answer]) -> tuple[_Server, str]:
    """Serves on a free port of 127.0.0.1; returns the server and its address."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def _handle(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            status, value = answer(self.command, self.path, body)
            data = json.dumps(value, separators=(",", ":")).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
            self.wfile.flush()

        do_GET = do_POST = do_DELETE = _handle

        def log_message(self, format: str, *args: Any) -> None:
            pass

    server = _Server(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    return server, f"127.0.0.1:{server.server_address[1]}"


def call(address: str, method: str, path: str, value: Any = None, timeout: float = 5.0) -> Answer | None:
    """Sends one request on a connection of its own; None if there was no answer in time."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        body = value if isinstance(value, bytes) or value is None else json.dumps(value).encode()
        connection.request(method, path, body)
        response = connection.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data else None
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        connection.close()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# ---------------------------------------------------------------- state service


class Bucket:
    """A rate limit that allows bursts worth one second."""

    def __init__(self, rate: float) -> None:
        self.rate, self._tokens, self._at = rate, rate, time.monotonic()

    def take(self, amount: float) -> bool:
        now = time.monotonic()
        self._tokens = min(self.rate, self._tokens + self.rate * (now - self._at))
        self._at = now
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True


class StateService:
    """The state service. Each controller gets an address of its own, so that one alone can be refused."""

    def __init__(self, record: Record, rps: float, write_rps: float, value_kb: float, txn_ops: int) -> None:
        self._record, self._changed = record, threading.Condition()
        self._requests, self._changes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self._items: dict[str, tuple[Any, int, int | None]] = {}
        self._log: list[dict[str, Any]] = []
        self._tide, self._first_kept, self._next_lease = 0, 0, 1
        self._leases: dict[int, list[float]] = {}
        self.refused: set[str] = set()
        self.refusals_400 = 0
        threading.Thread(target=self._expire_for_ever, daemon=True).start()

    def address_for(self, node: str) -> str:
        return serve(lambda method, path, body: self._answer(node, method, path, body))[1]

    def lower_limits(self, write_rps: float, value_kb: float, txn_ops: int) -> None:
        with self._changed:
            self._changes.rate, self.value_bytes, self.txn_ops = write_rps, int(value_kb * 1024), txn_ops
        self._record.write("state", f"limits from now on: {write_rps} changes/s, {value_kb} KiB, {txn_ops} a txn")

    def largest(self) -> int:
        """Bytes of the largest value that is stored."""
        with self._changed:
            return max((_size(value) for value, _, _ in self._items.values()), default=0)

    def _answer(self, node: str, method: str, target: str, body: bytes) -> Answer:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        with self._changed:
            if node in self.refused:
                return 503, {"error": "unavailable"}
            if not self._requests.take(1):
                return 429, {"error": "too many requests"}
            if parts.path == "/txn":
                return self._txn(node, json.loads(body), len(body))
            if parts.path == "/watch":
                return self._watch(node, query)
            if parts.path == "/keys":
                return self._list(query)
            if parts.path.startswith("/keys/"):
                key = parts.path[len("/keys/") :]
                if key not in self._items:
                    return 404, {"tide": self._tide}
                value, stamp, lease = self._items[key]
                return 200, {"key": key, "value": value, "stamp": stamp, "mooring": lease}
            return self._lease(method, parts.path, body)

    def _lease(self, method: str, path: str, body: bytes) -> Answer:
        if path == "/holds":
            ttl = json.loads(body)["ttl_ms"] / 1000
            number, self._next_lease = self._next_lease, self._next_lease + 1
            self._leases[number] = [time.monotonic() + ttl, ttl]
            return 200, {"mooring": number}
        number = int(path.split("/")[2])
        if number not in self._leases or self._leases[number][0] <= time.monotonic():
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._leases[number][0] = 0.0
            self._expire()
        else:
            self._leases[number][0] = time.monotonic() + self._leases[number][1]
        return 200, {"mooring": number}

    def _txn(self, node: str, txn: dict[str, Any], size: int) -> Answer:
        writes, guards = txn.get("writes", []), txn.get("guards", [])
        if size > 64 * 1024 or len(writes) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            self.refusals_400 += 1
            self._record.write("state", f"400 to {node}: {len(writes)} changes, {len(guards)} conditions")
            return 400, {"error": "the transaction is too large"}
        for write in writes:
            if "set" in write and _size(write["value"]) > self.value_bytes:
                self.refusals_400 += 1
                self._record.write("state", f"400 to {node}: {write['set']} has {_size(write['value'])} bytes")
                return 400, {"error": "a value is too large"}
            lease = write.get("mooring")
            if lease is not None and self._leases.get(lease, [0.0])[0] <= time.monotonic():
                return 400, {"error": "no such lease"}
        if not self._changes.take(len(writes)):
            return 429, {"error": "too many changes"}
        failed = [guard["key"] for guard in guards if self._stamp(guard["key"]) != guard["stamp"]]
        if failed:
            return 409, {"failed": failed, "tide": self._tide}
        if writes:
            self._tide += 1
            for write in writes:
                if "set" in write:
                    self._items[write["set"]] = (write["value"], self._tide, write.get("mooring"))
                    self._log.append({"set": write["set"], "value": write["value"], "stamp": self._tide})
                elif self._items.pop(write["remove"], None) is not None:
                    self._log.append({"remove": write["remove"], "stamp": self._tide})
            self._note()
        return 200, {"tide": self._tide}

    def _stamp(self, key: str) -> int:
        return self._items[key][1] if key in self._items else 0

    def _list(self, query: dict[str, str]) -> Answer:
        under, since = query.get("under", ""), query.get("since", "")
        names = sorted(key for key in self._items if key.startswith(under) and key > since)
        items, size = [], 0
        for key in names[: min(1000, int(query.get("most", "1000")))]:
            value, stamp, _ = self._items[key]
            size += _size(value) + len(key) + 40
            if items and size > 512 * 1024:
                break
            items.append({"key": key, "value": value, "stamp": stamp})
        return 200, {"items": items, "truncated": len(items) < len(names), "tide": self._tide}

    def _watch(self, node: str, query: dict[str, str]) -> Answer:
        under, since = query.get("under", ""), int(query["since"])
        until = time.monotonic() + min(60_000, int(query.get("wait_ms", "0"))) / 1000
        while True:
            if since < self._first_kept:
                return 410, {"error": "too old"}
            log = []
            for change in reversed(self._log):
                if change["stamp"] <= since:
                    break
                if (change.get("set") or change["remove"]).startswith(under):
                    log.append(change)
            left = until - time.monotonic()
            if node not in self.refused and (log or left <= 0):
                return 200, {"tide": self._tide, "log": log[::-1]}
            self._changed.wait(max(0.02, min(left, 0.5)))

    def _note(self) -> None:
        if len(self._log) > KEPT_CHANGES:
            self._first_kept = self._log[-KEPT_CHANGES - 1]["stamp"]
            del self._log[:-KEPT_CHANGES]
        self._changed.notify_all()

    def _expire(self) -> None:
        now = time.monotonic()
        ended = {number for number, (until, _) in self._leases.items() if until <= now}
        keys = [key for key, (_, _, lease) in self._items.items() if lease in ended]
        for key in keys:
            del self._items[key]
            self._tide += 1
            self._log.append({"remove": key, "stamp": self._tide})
        for number in ended:
            del self._leases[number]
        if keys:
            self._note()

    def _expire_for_ever(self) -> None:
        while True:
            time.sleep(0.03)
            with self._changed:
                self._expire()


def _size(value: Any) -> int:
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


# ---------------------------------------------------------------- workers and cloud


@dataclass
class Attempt:
    """One attempt of a task on a machine."""

    piece: str
    launch: int
    status: str
    why: str | None = None
    until: float = 0.0  # when the fetch or the run ends
    report_at: float | None = None  # when the report was sent whose answer started it, by the record's clock

    def line(self) -> dict[str, Any]:
        more = {"cause": self.why} if self.why else {}
        return {"piece": self.piece, "launch": self.launch, "status": self.status, **more}


class Worker:
    """One machine. It knows arrays and services; a stopped task exits at once (no checkpoints)."""

    def __init__(self, world: "World", name: str, zone: str, spot: bool) -> None:
        self.world, self.name, self.zone, self.spot = world, name, zone, spot
        self.lock = threading.RLock()
        self.watch, self.tally, self.helm = 1, 0, 0
        self.tasks: dict[tuple[str, int], Attempt] = {}
        self.images: dict[str, float] = {}  # when each is there
        self.gone = False
        self.report_now = threading.Event()
        #: True: it fails every task that it starts.
        self.faulty = False
        #: The time of the next report, set by a case; None: `report_s`, give or take a quarter.
        self.next_report_at: float | None = None
        self.last_report_at = 0.0
        self.answered_at = time.monotonic()
        self._server, self.addr = serve(self._direct)

    def start(self) -> None:
        self.answered_at = time.monotonic()
        threading.Thread(target=self._report_for_ever, daemon=True).start()
        threading.Thread(target=self._run_for_ever, daemon=True).start()

    def end(self) -> None:
        with self.lock:
            self.gone = True
            for attempt in self.tasks.values():
                if attempt.status == "running":
                    self.world.left(self, attempt, "its machine is returned")
            self.tasks.clear()
        self._server.shutdown()
        self._server.server_close()

    # reports

    def _report(self) -> dict[str, Any]:
        self.tally += 1
        return {
            "berth": self.name,
            "addr": self.addr,
            "hull": self.world.type["sku"],
            "harbor": self.zone,
            "loaned": self.spot,
            "watch": self.watch,
            "tally": self.tally,
            "helm": self.helm,
            "recall_s": None,
            "pieces": [attempt.line() for attempt in self.tasks.values()],
        }

    def _report_for_ever(self) -> None:
        nodes = self.world.nodes
        near = [i for i, node in enumerate(nodes) if node.zone == self.zone]
        number = nodes.index(self.world.near) if self.world.near in nodes else near[0]
        while not self.gone:
            with self.lock:
                report, self.last_report_at = self._report(), time.monotonic()
            sent_at = time.monotonic()
            self.report_now.clear()
            answer = call(nodes[number].bind, "POST", "/checkin", report, timeout=4.0)
            if self.gone:
                return
            if answer is not None and answer[0] == 200:
                self._take(answer[1], report, sent_at, nodes[number].name)
            elif answer is not None and answer[0] == 421 and answer[1].get("harbormaster"):
                named = [i for i, node in enumerate(nodes) if node.name == answer[1]["harbormaster"] and i != number]
                if named:
                    number = named[0]
                    time.sleep(0.05)
                    continue
                number = (number + 1) % len(nodes)
                time.sleep(1.0)
                continue
            else:
                self.world.record.write(self.name, f"no answer of {nodes[number].name}: {answer}")
                number = (number + 1) % len(nodes)
                time.sleep(1.0)
                continue
            until = self.last_report_at + self.world.report_s * random.uniform(0.75, 1.25)
            while not self.gone:
                due = until if self.next_report_at is None else self.next_report_at
                if self.report_now.is_set() and self.next_report_at is None:
                    due = min(due, self.last_report_at + 0.5)
                if time.monotonic() >= due:
                    break
                time.sleep(0.005)
            self.next_report_at = None

    def _take(self, answer: dict[str, Any], report: dict[str, Any], sent_at: float, node: str) -> None:
        with self.lock:
            if answer.get("helm") is None or answer["helm"] < self.helm or report["watch"] != self.watch:
                return
            if time.monotonic() - sent_at > 4.0:
                return
            self.helm, self.answered_at = answer["helm"], max(self.answered_at, sent_at)
            report_at = self.world.record.now() - (time.monotonic() - sent_at)
            source = f"answer of {node} to the report of {report_at:.3f}, helm {answer['helm']}"
            self._execute(answer.get("orders", []), source, report_at)

    def _direct(self, method: str, path: str, body: bytes) -> Answer:
        with self.lock:
            if path == "/do":
                message = json.loads(body)
                if message.get("helm") is None or message.get("watch") is None:
                    return 400, {"error": "helm or watch is missing"}
                if message["helm"] < self.helm or message["watch"] != self.watch:
                    return 409, self._report()
                if message["helm"] > self.helm:
                    self.helm = message["helm"]
                self._execute(message.get("orders", []), f"direct command, helm {message['helm']}")
            return 200, self._report()

    def _execute(self, orders: list[dict[str, Any]], source: str, report_at: float | None = None) -> None:
        for order in orders:
            key = (order["piece"], order["launch"])
            self.world.record.write(self.name, f"{source}: {order['order']} {key[0]} launch {key[1]}")
            attempt = self.tasks.get(key)
            if order["order"] == "run" and attempt is None:
                self._begin(*key, report_at)
            elif order["order"] == "halt" and attempt is not None and attempt.status != "exited":
                self._exit(attempt, "stopped")
            elif order["order"] == "forget" and attempt is not None and attempt.status == "exited":
                del self.tasks[key]

    def _begin(self, piece: str, launch: int, report_at: float | None) -> None:
        job = self.world.jobs.get(piece.rpartition("/")[0])
        attempt = self.tasks[piece, launch] = Attempt(piece, launch, "pulling", report_at=report_at)
        others = [a for a in self.tasks.values() if a is not attempt and a.status != "exited"]
        if job is None:
            self._exit(attempt, "unknown")
        elif any(other.piece == piece for other in others):
            self._exit(attempt, "in_use")
        elif any(
            sum(self.world.jobs[other.piece.rpartition("/")[0]][what] for other in others) + job[what]
            > self.world.type[what] + 1e-9
            for what in ("cores", "gpus", "ram_gb")
        ):
            self._exit(attempt, "full")
        else:
            fetch = job["image_gb"] / self.world.type["fetch_gb_per_s"]
            attempt.until = self.images.setdefault(job["bundle"], time.monotonic() + fetch)
            self._step(attempt)
            self.report_now.set()

    def _exit(self, attempt: Attempt, why: str) -> None:
        if attempt.status == "running":
            self.world.left(self, attempt, why)
        attempt.status, attempt.why = "exited", why
        self.report_now.set()

    def _step(self, attempt: Attempt) -> None:
        job, now = self.world.jobs[attempt.piece.rpartition("/")[0]], time.monotonic()
        if attempt.status == "pulling" and now >= attempt.until:
            attempt.status = "running"
            done_before = attempt.piece in self.world.results
            run_s = self.world.run_s.get(job["ref"], job["expect_s"])
            attempt.until = now if done_before else now + run_s
            self.world.began(self, attempt)
            self.report_now.set()
            if self.faulty:
                self._exit(attempt, "error")
        if attempt.status == "running" and job["shape"] != "service" and now >= attempt.until:
            self.world.results.add(attempt.piece)
            self._exit(attempt, "done")

    def _run_for_ever(self) -> None:
        while not self.gone:
            time.sleep(0.02)
            with self.lock:
                if time.monotonic() - self.answered_at > self.world.lease_s:
                    for attempt in self.tasks.values():
                        if attempt.status == "running":
                            self.world.left(self, attempt, "the lease ended")
                    self.tasks.clear()
                    self.watch += 1
                    self.answered_at = time.monotonic()
                    self.world.record.write(self.name, f"the lease ended; session {self.watch} begins")
                for attempt in list(self.tasks.values()):
                    if attempt.status != "exited":
                        self._step(attempt)


class Cloud:
    """The cloud. Machines are up after `boot_s`; lists lag."""

    def __init__(self, world: "World") -> None:
        self._world, self._lock = world, threading.Lock()
        self._rentals: dict[str, list[str]] = {}
        self._machines: dict[str, tuple[Worker, float]] = {}
        self._gone_at: dict[str, float] = {}
        self._up: set[str] = set()

    def answer(self, method: str, target: str, body: bytes) -> Answer:
        path = urlsplit(target).path
        query = {name: values[0] for name, values in parse_qs(urlsplit(target).query).items()}
        with self._lock:
            if path == "/machine_types":
                return 200, {"hulls": [self._world.type]}
            if path == "/rentals/return":
                return self._return(json.loads(body)["berths"])
            if method == "POST":
                return self._rent(json.loads(body))
            return self._list(query)

    def _rent(self, request: dict[str, Any]) -> Answer:
        name = request["charter"]
        self._world.rentals += 1
        if name not in self._rentals:
            left = self._world.machines_most - (len(self._machines) - len(self._gone_at))
            if left <= 0:
                return 503, {"error": "no capacity"}
            names = []
            for _ in range(min(request["count"], left)):
                machine = f"host-{len(self._machines) + 1:06d}"
                worker = Worker(self._world, machine, request["harbor"], request["loaned"])
                worker.faulty = len(self._machines) < self._world.faulty_first
                self._machines[machine] = (worker, time.monotonic())
                names.append(machine)
                threading.Timer(self._world.boot_s, self._boot, (worker,)).start()
            self._rentals[name] = names
            self._world.record.write("cloud", f"rental {name} in {request['harbor']}: {', '.join(names)}")
        return 200, {"berths": self._rentals[name]}

    def _boot(self, worker: Worker) -> None:
        with self._lock:
            if worker.name in self._gone_at or self._world.ended:
                return
            self._up.add(worker.name)
        self._world.workers[worker.name] = worker
        worker.start()

    def _return(self, names: list[str]) -> Answer:
        for name in names:
            if name in self._machines and name not in self._gone_at:
                self._gone_at[name] = time.monotonic()
                self._world.workers.pop(name, None)
                self._machines[name][0].end()
                self._world.record.write("cloud", f"{name} is returned")
        return 200, {}

    def _list(self, query: dict[str, str]) -> Answer:
        now = time.monotonic()
        as_of = now - self._world.list_lag_s
        listed = []
        for name, (worker, rented_at) in sorted(self._machines.items()):
            if name <= query.get("since", "") or rented_at > as_of or self._gone_at.get(name, now) <= as_of:
                continue
            status = "running" if as_of - rented_at >= self._world.boot_s else "booting"
            listed.append(
                {
                    "ref": name,
                    "addr": worker.addr,
                    "hull": self._world.type["sku"],
                    "harbor": worker.zone,
                    "loaned": worker.spot,
                    "status": status,
                    "held_s": as_of - rented_at,
                }
            )
        most = int(query.get("most", "500"))
        return 200, {"berths": listed[:most], "truncated": len(listed) > most}


# ---------------------------------------------------------------- controllers


@dataclass
class Node:
    """One controller, a real process."""

    name: str
    zone: str
    bind: str
    peer_bind: str
    settings: Path
    process: "subprocess.Popen[bytes] | None" = None

    def signal(self, number: int) -> None:
        assert self.process is not None
        os.kill(self.process.pid, number)


@dataclass
class Placed:
    """A task on a machine, from the moment it has its image."""

    piece: str
    launch: int
    machine: str
    began_at: float
    report_at: float | None = None  # when the report was sent whose answer started it
    left_at: float | None = None


@dataclass
class World:
    """A small deployment: its settings, stand-ins and controllers."""

    record: Record
    zones: list[str]
    report_s: float
    lease_s: float
    cancel_s: float
    gang_wait_s: float
    gang_peer_s: float
    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    cloud_rps: float
    list_lag_s: float
    resources: str
    type: dict[str, Any]
    boot_s: float
    node_zones: list[str]
    teams: list[str]
    gpus: float
    gpus_max: float
    state_next: str = ""
    machines_most: int = 8
    faulty_first: int = 0  # the first so many machines fail every task that they start
    nodes: list[Node] = field(default_factory=list)
    workers: dict[str, Worker] = field(default_factory=dict)
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)
    run_s: dict[str, float] = field(default_factory=dict)
    results: set[str] = field(default_factory=set)
    placed: list[Placed] = field(default_factory=list)
    ended: bool = False
    rentals: int = 0  # requests for rentals
    #: The controller that workers report to first; None: the first one of their zone.
    near: Node | None = None

    def __post_init__(self) -> None:
        self._lock = threading.Lock()
        self._folder = tempfile.TemporaryDirectory(prefix="tideusher-review-")
        self.state = StateService(self.record, self.rps, self.write_rps, self.value_kb, self.txn_ops)
        self.cloud_address = serve(Cloud(self).answer)[1]

    # controllers

    def start_controllers(self) -> None:
        for number, zone in enumerate(self.node_zones):
            name = f"berth-{number}"
            bind, peer_bind = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
            self.nodes.append(Node(name, zone, bind, peer_bind, Path(self._folder.name) / f"{name}.toml"))
        for node in self.nodes:
            node.settings.write_text(self._settings(node))
            self.start(node)

    def start(self, node: Node) -> None:
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        with (Path(self._folder.name) / f"{node.name}.log").open("ab") as log:
            node.process = subprocess.Popen(
                [*shlex.split(run), str(node.settings)], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.record.write(node.name, f"started in {node.zone}")

    def _settings(self, node: Node) -> str:
        peers = "".join(
            f'[[peers]]\nhost_name = "{other.name}"\nsite = "{other.zone}"\naddress = "{other.peer_bind}"\n\n'
            for other in self.nodes
            if other is not node
        )
        teams = "".join(
            f'[[settings.teams]]\nname = "{team}"\ncpus = 0.0\ncpus_max = 0.0\n'
            f"gpus = {self.gpus}\ngpus_max = {self.gpus_max}\n\n"
            for team in self.teams
        )
        return (
            f'host_name = "{node.name}"\nsite = "{node.zone}"\nbind = "{node.bind}"\n'
            f'cluster_listen = "{node.peer_bind}"\n\n{peers}'
            f'[endpoints]\ncloud = "{self.cloud_address}"\nstate = "{self.state.address_for(node.name)}"\n\n'
            f"[settings]\nsize = {len(self.nodes)}\nzones = {json.dumps(sorted(self.zones))}\n"
            "clock_off_ms = 1000.0\n\n"
            f"{teams}"
            f"[settings.workers]\nreport_s = {self.report_s}\nlease_s = {self.lease_s}\n"
            f"gang_wait_s = {self.gang_wait_s}\ngang_peer_s = {self.gang_peer_s}\ncancel_s = {self.cancel_s}\n\n"
            f"[settings.state]\nrps = {self.rps}\nwrite_rps = {self.write_rps}\nvalue_kb = {self.value_kb}\n"
            f"txn_ops = {self.txn_ops}\n\n{self.state_next}"
            f"[settings.cloud]\nrps = {self.cloud_rps}\nlist_lag_s = {self.list_lag_s}\n\n"
            f"[settings.resources]\n{self.resources}\n"
        )

    def end(self) -> None:
        """Ends all processes that were started, by their id, and keeps the end of their logs."""
        self.ended = True
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        for node in self.nodes:
            log = Path(self._folder.name) / f"{node.name}.log"
            lines = log.read_text(errors="replace").splitlines() if log.exists() else []
            for line in lines[-400:]:
                self.record.write(f"log of {node.name}", line)
        self._folder.cleanup()

    def died(self) -> list[str]:
        return [node.name for node in self.nodes if node.process is not None and node.process.poll() is not None]

    def leader(self) -> Node | None:
        """The controller that says in its metrics that it leads."""
        for node in self.nodes:
            host, _, port = node.bind.rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=2.0)
            try:
                connection.request("GET", "/metrics")
                text = connection.getresponse().read().decode()
            except (OSError, http.client.HTTPException):
                continue
            finally:
                connection.close()
            for line in text.splitlines():
                name, _, value = line.rpartition(" ")
                if name.endswith("_leads") and not line.startswith("#") and float(value) > 0:
                    return node
        return None

    # what runs

    def began(self, worker: Worker, attempt: Attempt) -> None:
        with self._lock:
            self.placed.append(
                Placed(attempt.piece, attempt.launch, worker.name, self.record.now(), attempt.report_at)
            )
        self.record.write(worker.name, f"{attempt.piece} launch {attempt.launch} is on the machine")

    def left(self, worker: Worker, attempt: Attempt, why: str) -> None:
        with self._lock:
            for placed in self.placed:
                if placed.left_at is None and (placed.piece, placed.launch, placed.machine) == (
                    attempt.piece,
                    attempt.launch,
                    worker.name,
                ):
                    placed.left_at = self.record.now()
        self.record.write(worker.name, f"{attempt.piece} launch {attempt.launch} is gone: {why}")

    # users

    def user(self, node: Node, method: str, path: str, value: Any = None, timeout: float = 5.0) -> Answer | None:
        answer = call(node.bind, method, path, value, timeout)
        shown = json.dumps(value)[:400] if value is not None else ""
        self.record.write("user", f"{method} {path} at {node.name} {shown} -> {answer}")
        return answer

    def submit(self, job: dict[str, Any], nodes: list[Node], for_s: float = 60.0) -> bool:
        """Submits like a user, with retries at other controllers; True once it is accepted."""
        self.jobs[job["ref"]] = job
        until, turn = time.monotonic() + for_s, 0
        while time.monotonic() < until:
            answer = self.user(nodes[turn % len(nodes)], "POST", "/work", job)
            if answer is not None and answer[0] in (200, 201):
                return True
            if answer is not None and answer[0] in (400, 422):
                return False
            turn += 1
            time.sleep(1.0)
        return False

    def wait_for(self, what: str, seen: Callable[[], bool], for_s: float, pause_s: float = 0.2) -> bool:
        """Waits until it is seen; False, with a line in the record, if it is not in time."""
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            if seen():
                self.record.write("case", f"seen: {what}")
                return True
            time.sleep(pause_s)
        self.record.write("case", f"not seen within {for_s:g} s: {what}")
        return False

    def need(self, what: str, seen: Callable[[], bool], for_s: float, pause_s: float = 0.2) -> None:
        if not self.wait_for(what, seen, for_s, pause_s):
            raise CouldNotRun(what)

    def status(self, node: Node, job: str, timeout: float = 2.0) -> dict[str, Any]:
        answer = self.user(node, "GET", f"/work/{job}", timeout=timeout)
        return answer[1] if answer is not None and answer[0] == 200 else {}


def sofia(record: Record, **changes: Any) -> World:
    """A small deployment with the settings of kadastar-sofia."""
    values: dict[str, Any] = {
        "zones": ["sofia-1", "varna-2"],
        "report_s": 1.0,
        "lease_s": 10.0,
        "cancel_s": 35.0,
        "gang_wait_s": 50.0,
        "gang_peer_s": 5.0,
        "rps": 120.0,
        "write_rps": 25.0,
        "value_kb": 4.0,
        "txn_ops": 8,
        "cloud_rps": 5.0,
        "list_lag_s": 3.0,
        "resources": "cores = 0.36\nram_mb = 146.0\nmax_sockets = 700",
        "type": {
            "sku": "vitosha-gpu32",
            "cores": 32.0,
            "gpus": 4.0,
            "ram_gb": 256.0,
            "local_gb": 60.0,
            "fetch_gb_per_s": 1.0,
            "price": 12.75,
            "market_price": 3.26,
            "boot_s": 2.0,
            "harbors": ["sofia-1", "varna-2"],
        },
        "boot_s": 2.0,
        "node_zones": ["sofia-1", "varna-2", "sofia-1"],
        "teams": [f"karta-team-{number:02d}" for number in range(8)],
        "gpus": 16.0,
        "gpus_max": 48.0,
    }
    return World(record, **{**values, **changes})


def kumamoto(record: Record, **changes: Any) -> World:
    """A small deployment with the settings of hinokuni-honbu-kumamoto."""
    zones = ["fukuoka-b", "kagoshima-c", "kumamoto-a"]
    values: dict[str, Any] = {
        "zones": zones,
        "report_s": 2.5,
        "lease_s": 16.0,
        "cancel_s": 46.0,
        "gang_wait_s": 40.0,
        "gang_peer_s": 4.0,
        "rps": 80.0,
        "write_rps": 20.0,
        "value_kb": 8.0,
        "txn_ops": 12,
        "cloud_rps": 4.0,
        "list_lag_s": 5.0,
        "resources": "cores = 1.08\nram_mb = 186.0\nmax_sockets = 1500",
        "type": {
            "sku": "aso-gpu12",
            "cores": 12.0,
            "gpus": 2.0,
            "ram_gb": 48.0,
            "local_gb": 60.0,
            "fetch_gb_per_s": 1.0,
            "price": 6.01,
            "market_price": 2.17,
            "boot_s": 2.0,
            "harbors": zones,
        },
        "boot_s": 2.0,
        "node_zones": ["kumamoto-a", "fukuoka-b", "kagoshima-c"],
        "teams": [f"seigyo-team-{number:02d}" for number in range(6)],
        "gpus": 16.0,
        "gpus_max": 50.0,
    }
    return World(record, **{**values, **changes})


def play(folder: Path, case: Callable[[Record, bool], int]) -> None:
    """Runs a case within 120 s and exits with its result; `TROUBLE=0` leaves the disruption out."""
    record, trouble = Record(folder / "record.txt"), os.environ.get("TROUBLE", "1") != "0"
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _out_of_time)
    signal.alarm(117)
    try:
        result = case(record, trouble)
    except CouldNotRun as error:
        record.write("case", f"could not run: {error}")
        result = COULD_NOT_RUN
    except Exception as error:
        record.write("case", f"could not run: {type(error).__name__}: {error}")
        result = COULD_NOT_RUN
    word = {HELD: "the rule held", RULE_BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "could not run"}[result]
    record.write("case", f"{word} (trouble: {'yes' if trouble else 'no'})")
    print(word, flush=True)
    sys.stdout.flush()
    os._exit(result)


def _out_of_time(number: int, frame: Any) -> None:
    raise CouldNotRun(f"out of time, or ended by signal {number}")


def service(ref: str, team: str, **changes: Any) -> dict[str, Any]:
    """A service of one replica, as a user submits it."""
    return {
        **array(ref, team, 1),
        "jobclass": "live",
        "shape": "service",
        "rank": "critical",
        "expect_s": 0.0,
        **changes,
    }


def array(ref: str, team: str, pieces: int, **changes: Any) -> dict[str, Any]:
    """An array of tasks of one GPU, as a user submits it."""
    job = {
        "ref": ref,
        "jobclass": "render",
        "owner": team,
        "shape": "batch",
        "rank": "standard",
        "pieces": pieces,
        "cores": 1.0,
        "gpus": 0.25,
        "ram_gb": 2.0,
        "bundle": "img-1",
        "image_gb": 0.5,
        "hulls": None,
        "harbor": None,
        "one_zone": False,
        "apart": False,
        "loaned": False,
        "expect_s": 10.0,
        "mark_s": 0.0,
        "stow_s": 0.0,
        "due_s": None,
    }
    return {**job, **changes}
