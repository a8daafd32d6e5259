"""Serves a state service, a cloud and workers on loopback, for trying tideusher without a cluster.

The stand-ins implement as much of the protocols as a first job needs, and keep everything in memory.
"""

from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent.pywsgi import WSGIServer

from tideusher.actors.http import CallFailed, HttpClient
from tideusher.clock import Clock
from tideusher.core.model import keys
from tideusher.playground.standins import TYPE, OnMachine, StateStandIn, WorkerStandIn
from tideusher.wire import cloud, workers
from tideusher.wire.jobs import JobSpec
from tideusher.wire.state import Delete, Guard, Put

VALUE_BYTES = 8 * 1024

SETTINGS = """host_name = "n0"
site = "a"
bind = "127.0.0.1:{port}"
cluster_listen = "127.0.0.1:{peer}"

[endpoints]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"

[settings]
size = 1
zones = ["a", "b"]
teams = [{{ name = "red", gpus = 8.0, gpus_max = 12.0 }}, {{ name = "blue", gpus = 8.0, gpus_max = 12.0 }}]
objectives = []

[settings.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 4.0
cancel_s = 30.0

[settings.state]
rps = 100.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 12

[settings.cloud]
rps = 5.0
list_lag_s = 2.0
"""


class StateServer:
    """Serves the HTTP API of the state service from a StateStandIn; leases expire by the clock."""

    def __init__(self, clock: Clock, state: StateStandIn) -> None:
        self._clock, self._state = clock, state
        self._log: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[int, int]] = {}  # lease id -> (expires_us, ttl_us)
        self._key_leases: dict[str, int] = {}

    def __call__(self, environ, start):
        path, query = environ["PATH_INFO"], parse_qs(environ["QUERY_STRING"])
        body = environ["wsgi.input"].read()
        self._expire()
        status, answer = self._route(environ["REQUEST_METHOD"], path, query, body)
        start(f"{status} x", [("Content-Type", "application/json")])
        return [msgspec.json.encode(answer)]

    def _route(self, method: str, path: str, query: dict[str, list[str]], body: bytes) -> tuple[int, Any]:
        prefix = query.get("under", [""])[0]
        if path == "/holds":
            ttl_us = msgspec.json.decode(body)["ttl_ms"] * 1000
            lease = len(self._leases) + 1
            self._leases[lease] = (self._clock.now_us() + ttl_us, ttl_us)
            return 200, {"mooring": lease}
        if path.startswith("/holds/"):
            lease = int(path.split("/")[2])
            expires_us, ttl_us = self._leases.get(lease, (0, 0))
            if expires_us <= self._clock.now_us():
                return 404, {}
            self._leases[lease] = (self._clock.now_us() + ttl_us, ttl_us)
            return 200, {"mooring": lease}
        if path == "/txn":
            raw = msgspec.json.decode(body)
            writes = [
                Put(write["set"], write["value"], write.get("mooring")) if "set" in write else Delete(write["remove"])
                for write in raw["writes"]
            ]
            return self._txn(msgspec.convert(raw["guards"], list[Guard]), writes)
        if path == "/watch":
            since, wait_ms = int(query["since"][0]), int(query.get("wait_ms", ["0"])[0])
            for _ in range(wait_ms // 20 + 1):
                log = [
                    e for e in self._log if e["stamp"] > since and (e.get("set") or e["remove"]).startswith(prefix)
                ]
                if log or not wait_ms:
                    break
                gevent.sleep(0.02)
            return 200, {"tide": self._state.tide, "log": log}
        items = [
            {"key": key, "value": value, "stamp": stamp}
            for key, (value, stamp) in sorted(self._state.items.items())
            if key.startswith(prefix)
        ]
        return 200, {"items": items, "truncated": False, "tide": self._state.tide}

    def _txn(self, guards: list[Guard], writes: list[Put | Delete]) -> tuple[int, Any]:
        revision = self._state.txn(guards, writes)
        if revision is None:
            failed = [g.key for g in guards if self._state.stamp_of(g.key) != g.stamp]
            return 409, {"failed": failed, "tide": self._state.tide}
        for write in writes:
            if isinstance(write, Put):
                self._log.append({"set": write.key, "value": write.value, "stamp": revision})
                self._key_leases.pop(write.key, None)
                if write.lease is not None:
                    self._key_leases[write.key] = write.lease
            else:
                self._log.append({"remove": write.key, "stamp": revision})
        return 200, {"tide": revision}

    def _expire(self) -> None:
        for key, lease in list(self._key_leases.items()):
            if self._leases[lease][0] <= self._clock.now_us():
                del self._key_leases[key]
                self._state.items.pop(key, None)
                self._state.tide += 1
                self._log.append({"remove": key, "stamp": self._state.tide})


class Cloud:
    """Serves the HTTP API of the cloud; each rented worker is a greenlet that reports to the controller."""

    def __init__(self, clock: Clock, controller: str, state: StateStandIn) -> None:
        self._clock, self._controller = clock, controller
        self._rentals: dict[str, list[str]] = {}
        self._workers: dict[str, WorkerStandIn] = {}
        self._specs = Specs(state)

    def __call__(self, environ, start):
        path, body = environ["PATH_INFO"], environ["wsgi.input"].read()
        start("200 OK", [("Content-Type", "application/json")])
        return [msgspec.json.encode(self._route(environ["REQUEST_METHOD"], path, body))]

    def _route(self, method: str, path: str, body: bytes) -> Any:
        if path == "/machine_types":
            return cloud.MachineTypes([TYPE])
        if path == "/rentals/return":
            returned: cloud.MachineNames = msgspec.json.decode(body, type=cloud.MachineNames)
            for name in returned.machines:
                worker = self._workers.pop(name, None)
                if worker is not None:
                    worker.dead = True
            return {}
        if method == "POST":
            request: cloud.RentRequest = msgspec.json.decode(body, type=cloud.RentRequest)
            if request.name not in self._rentals:
                first = sum(map(len, self._rentals.values())) + 1
                names = [f"host-{first + i:06d}" for i in range(request.count)]
                self._rentals[request.name] = names
                for name in names:
                    worker = WorkerStandIn(name, request.zone, request.spot, self._specs, lease_s=10.0)
                    self._workers[name] = worker
                    gevent.spawn_later(TYPE.boot_s, self._run_worker, worker)
            return cloud.MachineNames(self._rentals[request.name])
        listed = [
            cloud.ListedMachine(w.name, "127.0.0.1:9", TYPE.name, w.zone, w.spot, "running", 0.0)
            for w in self._workers.values()
        ]
        return cloud.MachineList(listed)

    def _run_worker(self, worker: WorkerStandIn) -> None:
        client = HttpClient(self._controller, timeout_s=4.0)
        worker.answered_us = self._clock.now_us()
        while not worker.dead:
            now_us = self._clock.now_us()
            report = worker.report()
            try:
                status, body = client.call("POST", "/checkin", workers.encode(report))
                if status == 200:
                    worker.answer(workers.decode_commands(body), now_us, report.session)
            except CallFailed:
                pass
            gevent.sleep(1.0)
            worker.pass_time(self._clock.now_us(), 1.0, self._gang_ready)

    def _gang_ready(self, task: OnMachine) -> bool:
        """True if every task of this attempt of the gang is on its machine."""
        present = {
            t.index
            for w in self._workers.values()
            for t in w.on_machine()
            if t.job == task.job and t.attempt == task.attempt
        }
        return len(present) == self._specs[task.job].tasks


class Specs(dict[str, JobSpec]):
    """Job specs by job id, read from the accepted job records.

    In a real deployment users upload them for the workers.
    """

    def __init__(self, state: StateStandIn) -> None:
        super().__init__()
        self._state = state

    def __missing__(self, job: str) -> JobSpec:
        value, _ = self._state.items[keys.job_key(job)]
        self[job] = msgspec.convert(value["spec"], JobSpec)
        return self[job]


def serve(port: int, settings: str) -> None:
    """Write a controller's settings file and serve the stand-ins on loopback until interrupted."""
    clock, controller, state = Clock(), f"127.0.0.1:{port}", StateStandIn(VALUE_BYTES)
    Path(settings).write_text(SETTINGS.format(port=port, peer=port + 1, cloud=port + 2, state=port + 3))
    for offset, app in ((2, Cloud(clock, controller, state)), (3, StateServer(clock, state))):
        WSGIServer(("127.0.0.1", port + offset), app, log=None).start()
    gevent.get_hub().join()
