"""Coordinates a scale run: starts its processes, serves the simulated cloud, injects faults, evaluates the run."""

import random
import sys
from collections import Counter
from collections.abc import Callable
from itertools import count
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

import gevent
import msgspec
import psutil
from gevent.event import AsyncResult
from gevent.pywsgi import WSGIServer

from tideusher.actors.handler import Handler
from tideusher.clock import Clock, to_s, to_us
from tideusher.config import split_address
from tideusher.scale import cloud as cloud_module
from tideusher.scale import events, report
from tideusher.scale.cloud import Cloud, Rental
from tideusher.scale.control_config import controller_config, teams
from tideusher.scale.errors import ScaleError
from tideusher.scale.faults import Faults, Stage
from tideusher.scale.gangs import Gangs
from tideusher.scale.host import machine_type
from tideusher.scale.hub import Hub
from tideusher.scale.judge import Judge
from tideusher.scale.layout import Layout
from tideusher.scale.measures import Measures
from tideusher.scale.messages import (
    Begin,
    Booted,
    Finish,
    GangLeft,
    GangWaits,
    LeaderIn,
    LeaderSeen,
    Message,
    Quiet,
    Stop,
    Stopped,
)
from tideusher.scale.mirrors import MirrorCheck, check_mirrors
from tideusher.scale.processes import Processes, ProcessUsage, Usage, controller_command, role_command
from tideusher.scale.settings import ScaleSettings
from tideusher.scale.waiting import Waiting
from tideusher.scale.workload import Workload
from tideusher.wire import cloud as cloud_wire

_READY_TIMEOUT_S, _COUNTS_TIMEOUT_S, _STOP_TIMEOUT_S = 60.0, 30.0, 10.0
_SAMPLE_INTERVAL_S, _PROGRESS_INTERVAL_S = 1.0, 5.0
_MB = 1e6
#: Bound set by the users: the largest share of the machine's memory that the run's processes may hold.
MEMORY_SHARE = 0.5
REAL_WORKER, HOLLOW_WORKERS, CONTROLLER = "real worker", "hollow workers", "controller"


class ScaleRun:
    """A scale run, from the start of its first process to its result."""

    def __init__(self, settings: ScaleSettings, path: Path, directory: Path, tree: Path | None = None) -> None:
        self._settings, self._path, self._directory, self._tree = settings, path, directory, tree
        self._clock, self._layout, self._workload = Clock(), Layout(settings), Workload(settings)
        self._rng = random.Random(f"{settings.seed}/boots")
        self._processes = Processes(directory)
        self._hub = Hub(self._layout.hub, self._handle_message)
        self._gangs = Gangs(self._workload)
        self._kind = machine_type(settings, self._layout.zones)
        self._cloud = Cloud(settings, self._layout, self._kind, self._clock)
        self._log = events.EventLog(directory / "events-run.jsonl")
        self._stop_orders: dict[int, AsyncResult] = {}
        self._stops_by_machine: dict[str, AsyncResult] = {}  # set when the stop is acknowledged
        self._order_numbers = count(1)
        self._leader = ""
        self._began_us = 0
        self._faults = Faults(self._stage())
        self._notes: list[str] = []
        self._mirrors = MirrorCheck()
        self._counts: Counter[str] = Counter()
        self._usage: dict[str, Usage] = {}
        self._process_usage: dict[str, ProcessUsage] = {}

    def _stage(self) -> Stage:
        return Stage(
            self._settings,
            self._layout,
            self._processes,
            self._hub,
            self._cloud,
            self._log,
            self._at_s,
            self._clock.now_us,
            self._leader_index,
            self._stop,
            self._start_controller,
        )

    def _leader_index(self) -> int | None:
        return int(self._leader[1:]) if self._leader else None

    def run(self) -> report.Result:
        """Executes the run and evaluates it. Raises ScaleError if that is impossible; always ends all processes."""
        try:
            self._start()
            self._execute()
            self._mirrors = self._check_mirrors()
            self._collect_counts()
            now_s = to_s(self._clock.now_us())
            self._usage, self._process_usage = self._processes.usage(now_s), self._processes.each(now_s)
        finally:
            self._processes.end_all()
            self._hub.stop()
            self._log.close()
        return self._evaluate()

    # ---------------------------------------------------------------- start

    @property
    def _hosts(self) -> list[str]:
        return [f"host-{number}" for number in range(self._settings.worker_processes)]

    def _start(self) -> None:
        try:
            self._hub.start()
            server = WSGIServer(
                split_address(self._layout.cloud),
                self._serve_cloud_request,
                log=None,
                error_log=None,
                handler_class=Handler,
            )
            server.start()
        except OSError as error:
            raise ScaleError(f"port {self._settings.port}: {error.strerror}") from None
        now_s, path = to_s(self._clock.now_us()), str(self._path)
        self._processes.start("state", "state service", role_command("state_service", path), now_s)
        self._processes.start("links", "links", role_command("links", path), now_s)
        self._processes.start("users", "users", role_command("users", path, str(self._directory)), now_s)
        for number, name in enumerate(self._hosts):
            role = HOLLOW_WORKERS if number < self._settings.fleet.hollow_processes else REAL_WORKER
            command = role_command("host", path, str(number), str(self._directory))
            self._processes.start(name, role, command, now_s)
        self._wait_ready()
        for number in range(self._settings.control.controllers):
            config = controller_config(self._settings, self._layout, number)
            (self._directory / f"{self._layout.controller_name(number)}.toml").write_text(config)
            self._start_controller(number)

    def _wait_ready(self) -> None:
        """Waits until all other processes are ready, which the controllers need at their start."""
        names, until_us = {"state", "links", "users", *self._hosts}, self._clock.now_us() + to_us(_READY_TIMEOUT_S)
        while missing := self._hub.missing(names):
            dead = self._processes.ended()
            if dead or self._clock.now_us() > until_us:
                name = (dead or sorted(missing))[0]
                raise ScaleError(f"{name} does not serve: {self._processes.log_tail(name, 1) or 'it said nothing'}")
            gevent.sleep(0.05)

    def _start_controller(self, number: int) -> None:
        name = self._layout.controller_name(number)
        if self._processes.runs(name):
            return  # killed twice before its restart: the first restart has already started it
        command = controller_command(self._tree, self._directory / f"{name}.toml")
        self._processes.start(name, CONTROLLER, command, to_s(self._clock.now_us()))

    # ---------------------------------------------------------------- play

    def _execute(self) -> None:
        self._began_us = self._clock.now_us()
        self._hub.broadcast(Begin(self._began_us))
        self._faults.start()
        list_recorder = gevent.spawn(self._record_lists)
        quiet = gevent.spawn_later(self._settings.duration_s - self._settings.quiet_s, self._hub.broadcast, Quiet())
        next_progress_s = _PROGRESS_INTERVAL_S
        while (at_s := self._at_s()) < self._settings.duration_s:
            gevent.sleep(min(_SAMPLE_INTERVAL_S, self._settings.duration_s - at_s))
            self._check_processes(self._processes.sample(to_s(self._clock.now_us())))
            if self._at_s() >= next_progress_s:
                next_progress_s += _PROGRESS_INTERVAL_S
                self._show_progress()
        self._faults.stop()
        gevent.killall([list_recorder, quiet])

    def _at_s(self) -> float:
        return to_s(self._clock.now_us() - self._began_us)

    def _check_processes(self, memory_mb: float) -> None:
        """Restarts exited controllers. Raises ScaleError if another process exited or memory exceeds its bound."""
        allowed_mb = psutil.virtual_memory().total * MEMORY_SHARE / _MB
        if memory_mb > allowed_mb:
            raise ScaleError(f"the processes hold {memory_mb:.0f} MB, over half of the machine's memory")
        for name in self._processes.ended():
            if not name.startswith("c"):
                raise ScaleError(f"{name} has ended: {self._processes.log_tail(name)}")
            self._notes.append(f"{name} ended by itself at {self._at_s():.1f} s: {self._processes.log_tail(name, 1)}")
            self._processes.kill(name)
            self._faults.bring_back(int(name[1:]))

    def _show_progress(self) -> None:
        machines, memory_mb = len(self._cloud.running()), self._processes.peak_memory_mb
        line = f"{self._at_s():6.0f} s: {machines} machines up, leader {self._leader or 'none'}, {memory_mb:.0f} MB"
        print(line, file=sys.stderr, flush=True)

    def _check_mirrors(self) -> MirrorCheck:
        names = map(self._layout.controller_name, range(self._settings.control.controllers))
        running = {
            name: self._layout.controller(number) for number, name in enumerate(names) if self._processes.runs(name)
        }
        return check_mirrors(self._layout.state, running)

    def _collect_counts(self) -> None:
        self._hub.broadcast(Finish())
        missing = self._hub.wait_counted({"state", "links", "users", *self._hosts}, _COUNTS_TIMEOUT_S)
        if missing:
            # Its last events may be missing as well, and the judge would then report violations that never happened.
            raise ScaleError(f"{sorted(missing)[0]} did not say what it counted: nothing can be judged")

    # ---------------------------------------------------------------- messages from processes

    def _handle_message(self, name: str, message: Message) -> None:
        match message:
            case GangWaits():
                begins = self._gangs.waits(message, self._clock.now_us())
                if begins is not None:
                    self._hub.broadcast(begins, self._hosts)
            case GangLeft():
                broken = self._gangs.left(message)
                if broken is not None:
                    self._hub.broadcast(broken, self._hosts)
            case Stopped():
                result = self._stop_orders.pop(message.order, None)
                if result is not None:
                    result.set(None)
            case LeaderSeen():
                self._leader = message.node
                if message.node:
                    place = self._layout.controller_place(int(message.node[1:]))
                    self._hub.broadcast(LeaderIn(place.zone), self._hosts)

    # ---------------------------------------------------------------- the cloud

    def _serve_cloud_request(self, environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
        method, path, body = environ["REQUEST_METHOD"], environ["PATH_INFO"], environ["wsgi.input"].read()
        gevent.sleep(self._settings.cloud.latency_ms / 1000)
        self._counts[f"{method} {path}"] += 1
        if self._cloud.admit():
            status, answer = self._route_cloud_request(method, path, environ["QUERY_STRING"], body)
        else:
            status, answer = "429 Too Many Requests", {"error": "too many requests"}
        data = msgspec.json.encode(answer)
        start(status, [("Content-Type", "application/json"), ("Content-Length", str(len(data)))])
        return [data]

    def _route_cloud_request(self, method: str, path: str, query: str, body: bytes) -> tuple[str, Any]:
        if path == "/machine_types":
            return "200 OK", cloud_wire.MachineTypes([self._kind])
        if path == "/rentals/return":
            names = cloud_module.parse_names(body)
            returned = self._cloud.give_back(names)
            self._stop([rental for rental in returned if rental.up])
            if not self._wait_stopped(names):
                return "503 Service Unavailable", {"error": "not returned yet"}
            return "200 OK", {}
        if method == "POST":
            request = cloud_module.parse_rent(body)
            rented = self._cloud.rent(request)
            if rented is None:
                return "503 Service Unavailable", {"error": "no capacity"}
            for rental in rented:
                boot_s = self._settings.machine.boot_s * (0.8 + 0.4 * self._rng.random())
                gevent.spawn_later(boot_s, self._boot, rental)
            return "200 OK", cloud_wire.MachineNames(self._cloud.charter(request.name))
        parameters = parse_qs(query)
        max_machines = int(parameters.get("most", [str(cloud_wire.MAX_MACHINES_PER_PAGE)])[0])
        return "200 OK", self._cloud.page(parameters.get("since", [""])[0], max_machines)

    def _boot(self, rental: Rental) -> None:
        if self._cloud.machines.get(rental.name) is rental:
            rental.up = True
            self._hub.send(f"host-{rental.process}", Booted(rental.name, rental.number, rental.zone, rental.spot))

    def _record_lists(self) -> None:
        while True:
            self._cloud.describe()
            gevent.sleep(_SAMPLE_INTERVAL_S)

    def _stop(self, machines: list[Rental]) -> bool:
        """Stops machines with all their tasks; True if the stops are acknowledged within `_STOP_TIMEOUT_S`."""
        by_process: dict[int, list[str]] = {}
        for rental in machines:
            by_process.setdefault(rental.process, []).append(rental.name)
        for process, names in by_process.items():
            order, stopped = next(self._order_numbers), AsyncResult()
            self._stop_orders[order] = stopped
            self._stops_by_machine.update(dict.fromkeys(names, stopped))
            self._hub.send(f"host-{process}", Stop(order, names))
        return self._wait_stopped([rental.name for rental in machines])

    def _wait_stopped(self, names: list[str]) -> bool:
        """Waits up to `_STOP_TIMEOUT_S`; True if every stop that was ordered for these machines is acknowledged."""
        waiting = [self._stops_by_machine[name] for name in names if name in self._stops_by_machine]
        return len(gevent.wait(waiting, timeout=_STOP_TIMEOUT_S)) == len(waiting)

    # ---------------------------------------------------------------- evaluation

    def _evaluate(self) -> report.Result:
        judge = Judge(self._workload, teams(self._settings), self._settings.workers.cancel_s)
        measures = Measures(self._workload, self._began_us)
        end_us = self._began_us + to_us(self._settings.duration_s)
        paths = sorted(self._directory.glob("events-*.jsonl"))
        for path in paths:
            if not events.is_whole(path):
                raise ScaleError(f"{path.name} is cut short: nothing can be judged")
        waiting = Waiting(self._workload, self._kind, teams(self._settings), end_us)
        for event in events.read_events(paths):
            judge.take(event)
            measures.take(event)
            waiting.take(event)
        waiting.judge(judge, self._settings.quiet_s)
        for difference in self._mirrors.wrong:
            judge.wrong_mirror(difference)
        self._notes += [f"the mirror of {name} was not compared" for name in self._mirrors.not_compared]
        outcome = report.Outcome(
            judge.end(),
            measures.result(),
            self._usage,
            self._process_usage,
            self._hub.counted.values(),
            dict(self._counts | self._cloud.counts),
            self._processes.peak_memory_mb,
            self._processes.peak_count,
            self._faults.done,
            self._notes,
        )
        return report.put_together(self._settings, outcome)


def run(settings: ScaleSettings, path: Path, out: Path, tree: Path | None = None) -> report.Result:
    """Executes a run. Its files, and finally `result.json`, go to the directory `out`, which must be new or empty."""
    directory = out.resolve()
    if directory.exists() and any(directory.iterdir()):
        raise ScaleError(f"{out}: is not empty")
    directory.mkdir(parents=True, exist_ok=True)
    result = ScaleRun(settings, path.resolve(), directory, tree).run()
    (directory / "result.json").write_bytes(report.encode(result))
    return result
