"""A process that simulates workers: hundreds of hollow ones, or a single one whose own cost is measured.

Each machine reports over its own connection to one controller at a time, and is called directly at its own address. A
stopped machine accepts no more connections: the queue of its listener is full, so that new connections hang.
"""

import random
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer

from tideusher.actors.handler import Handler
from tideusher.actors.http import CallFailed, HttpClient
from tideusher.clock import SECOND_US, Clock, to_s, to_us
from tideusher.scale import events
from tideusher.scale.endpoint import HubLink, run_role
from tideusher.scale.layout import Layout, Place
from tideusher.scale.machine import HollowMachine, next_report_us
from tideusher.scale.messages import (
    Afflict,
    Booted,
    Counted,
    Cut,
    GangBegins,
    GangBroken,
    GangLeft,
    GangWaits,
    LeaderIn,
    LinkCuts,
    Message,
    MessageTroubles,
    Stop,
    Stopped,
    Traffic,
    is_cut,
)
from tideusher.scale.settings import ScaleSettings, load_scale_settings
from tideusher.scale.workload import Workload
from tideusher.wire import workers
from tideusher.wire.cloud import MachineType
from tideusher.wire.jobs import GANG

MACHINE_TYPE = "scale"
#: From the protocol: the timeout of a report, the pause before the next node is tried, and the shortest interval
#: between a report and one that is sent early because of a change.
REPORT_TIMEOUT_S, NEXT_NODE_PAUSE_S, CHANGE_INTERVAL_US = 4.0, 1.0, SECOND_US // 2
#: Connections kept pending at the address of a stopped machine, so that further ones hang.
_QUEUE_FILLERS = 2
_LISTEN_BACKLOG = 1024
_HANG_POLL_S = 0.1
HANG, DEAF, MUTE, RECALL = "hang", "deaf", "mute", "recall"
#: Shortest and longest delay of a duplicated report, and of a direct call that is delayed.
COPY_DELAY_S, CALL_DELAY_S = (2.0, 20.0), (2.0, 12.0)


def machine_type(settings: ScaleSettings, zones: list[str]) -> MachineType:
    """Returns the machine type of a run, which has only one."""
    spec = settings.machine
    return MachineType(
        MACHINE_TYPE,
        spec.cpus,
        spec.gpus,
        spec.ram_gb,
        spec.cache_gb,
        spec.fetch_gb_per_s,
        spec.price,
        spec.price / 2,
        spec.boot_s,
        zones,
    )


class Worker:
    """A machine with its connection to a controller and its injected faults."""

    def __init__(self, host: "Host", machine: HollowMachine, place: Place) -> None:
        self._host, self.machine, self.place = host, machine, place
        self._wake = Event()
        self._controller = host.rng.randrange(host.controllers)
        self._client: HttpClient | None = None
        self._fault_ends_us: dict[str, int] = {}  # end of each injected fault
        self.greenlet = gevent.spawn(self._run)

    # ---------------------------------------------------------------- injected faults

    def inject_fault(self, kind: str, until_us: int) -> None:
        """Until this time, the machine hangs, ignores input (deaf), sends no reports (mute) or is being recalled."""
        self._fault_ends_us[kind] = until_us
        if kind == RECALL:
            self.machine.changed = True
        self.wake()

    def has_fault(self, kind: str) -> bool:
        """True while this fault lasts."""
        return self._fault_ends_us.get(kind, 0) > self._host.clock.now_us()

    def wait_while_hanging(self) -> None:
        """Blocks while the machine hangs: reports, answers and direct calls are delayed until then."""
        while self.has_fault(HANG):
            gevent.sleep(_HANG_POLL_S)

    def _recall_s(self) -> float | None:
        left_us = self._fault_ends_us.get(RECALL, 0) - self._host.clock.now_us()
        return to_s(left_us) if left_us > 0 else None

    def wake(self) -> None:
        """Wakes the report loop after a change from outside, as a report or a timer may be due."""
        self._wake.set()

    def _run(self) -> None:
        clock, rng = self._host.clock, self._host.rng
        report_s = self._host.settings.workers.report_s
        due_us = clock.now_us() + round(rng.random() * to_us(report_s))
        last_us = 0
        while True:
            self.wait_while_hanging()
            now_us = clock.now_us()
            self.machine.advance(now_us)
            if now_us >= due_us or (self.machine.changed and now_us >= last_us + CHANGE_INTERVAL_US):
                last_us = now_us
                pause_s = self._report(now_us)
                due_us = clock.now_us() + (to_us(pause_s) if pause_s else next_report_us(report_s, rng.random()))
                continue
            next_us = min(due_us, self.machine.due_us())
            if self.machine.changed:
                next_us = min(next_us, last_us + CHANGE_INTERVAL_US)
            self._wake.clear()
            self._wake.wait(max(0.0, to_s(next_us - now_us)))

    def _report(self, sent_us: int) -> float:
        """Sends a report; returns the pause before another node is tried, or 0 to stay with this one."""
        host, machine = self._host, self.machine
        report = msgspec.structs.replace(machine.report(), recall_s=self._recall_s())
        body = workers.encode(report)
        delay_s, cut = host.controller_link(self._controller, self.place)
        cut = cut or self.has_fault(MUTE)
        host.maybe_duplicate(body)
        host.traffic["worker-controller"].add(len(body))
        if cut:
            gevent.sleep(REPORT_TIMEOUT_S)
            return self._next_node("cut")
        gevent.sleep(delay_s)
        if self._client is None:
            self._client = HttpClient(
                host.layout.controller(self._controller), REPORT_TIMEOUT_S - 2 * delay_s, keep=1
            )
        try:
            status, answer = self._client.call("POST", "/checkin", body)
        except CallFailed:
            return self._next_node("failed")
        gevent.sleep(delay_s)
        self.wait_while_hanging()
        if self.has_fault(DEAF):
            return self._next_node("deaf")
        host.traffic["controller-worker"].add(len(answer))
        host.counts[f"reports.{status}"] += 1
        if status == 200:
            try:
                commands = workers.decode_commands(answer)
            except msgspec.DecodeError:
                host.counts["reports.bad answer"] += 1
                return 0.0
            if not machine.answer(commands, sent_us, report.session, host.clock.now_us()):
                host.counts["reports.dropped"] += 1
            return 0.0
        return self._follow_redirect(answer) if status == 421 else self._next_node("status")

    def _follow_redirect(self, answer: bytes) -> float:
        try:
            redirect: workers.Redirect = msgspec.json.decode(answer, type=workers.Redirect)
        except msgspec.DecodeError:
            return self._next_node("redirect")
        number = self._host.controller_number(redirect.node)
        if number is None or number == self._controller:
            return self._next_node("redirect")
        self._controller, self._client = number, None
        return 0.25

    def _next_node(self, reason: str) -> float:
        self._host.counts[f"next node.{reason}"] += 1
        self._controller, self._client = (self._controller + 1) % self._host.controllers, None
        return NEXT_NODE_PAUSE_S


class AddressedHandler(Handler):
    """Adds to the environment the local address at which a request arrived, as a process has many."""

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = WSGIHandler.get_environ(self)
        environ["tideusher.local"] = self.socket.getsockname()[0]
        return environ


class Host:
    """All machines of a process, with their listener and their link to the hub."""

    def __init__(self, settings: ScaleSettings, number: int, clock: Clock, log: events.EventLog) -> None:
        self.settings, self.clock, self._number, self._log = settings, clock, number, log
        self.layout, self.jobs = Layout(settings), Workload(settings)
        self.controllers = settings.control.controllers
        self.rng = random.Random(f"{settings.seed}/host/{number}")
        self.counts: Counter[str] = Counter()
        self.traffic: dict[str, Traffic] = defaultdict(Traffic)
        self._kind = machine_type(settings, self.layout.zones)
        self._controller_numbers = {self.layout.controller_name(index): index for index in range(self.controllers)}
        self._controller_places = [self.layout.controller_place(index) for index in range(self.controllers)]
        self._region_cuts: list[tuple[int, int]] = []
        self._link_cuts, self._messages = LinkCuts([]), MessageTroubles()
        self._leader: Place | None = None
        self._workers: dict[str, Worker] = {}
        self._by_address: dict[str, Worker] = {}
        self._gangs: dict[tuple[str, int], set[str]] = defaultdict(set)  # machines with tasks of an attempt of a gang
        self._blocking_sockets: list[socket.socket] = []
        self._link = HubLink(self.layout.hub, f"host-{number}")

    def run(self) -> None:
        """Serves until the hub reports the end of the run."""
        server = WSGIServer(self._listener("0.0.0.0"), self, log=None, error_log=None, handler_class=AddressedHandler)
        server.start()
        self._link.serve(self._handle, self._final_counts)
        self._log.close()

    def _listener(self, address: str, backlog: int = _LISTEN_BACKLOG) -> socket.socket:
        """Returns a listener. A specific address has precedence over all addresses, which takes loopback only."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind((address, self.layout.worker_port + self._number))
        listener.listen(backlog)
        return listener

    # ---------------------------------------------------------------- links to controllers

    def controller_number(self, name: str) -> int | None:
        """Returns the number of a controller; None if no controller has this name."""
        return self._controller_numbers.get(name)

    def controller_link(self, controller: int, place: Place) -> tuple[float, bool]:
        """Returns the delay to a controller in seconds, and whether the link to it is cut."""
        target = self._controller_places[controller]
        cut = is_cut(self._region_cuts, place.region, target.region)
        cut = cut or self._link_cuts.find(controller, "workers") is not None
        return to_s(self.layout.delay_us(place, target)), cut

    def maybe_duplicate(self, body: bytes) -> None:
        """Sends a delayed duplicate of some reports to a random controller."""
        if self.rng.random() < self._messages.copies:
            self.counts["reports copied"] += 1
            after_s = COPY_DELAY_S[0] + (COPY_DELAY_S[1] - COPY_DELAY_S[0]) * self.rng.random()
            gevent.spawn_later(after_s, self._send_copy, body, self.rng.randrange(self.controllers))

    def _send_copy(self, body: bytes, controller: int) -> None:
        try:
            HttpClient(self.layout.controller(controller), REPORT_TIMEOUT_S, keep=0).call("POST", "/checkin", body)
        except CallFailed:
            pass

    # ---------------------------------------------------------------- the hub

    def _handle(self, message: Message) -> None:
        match message:
            case Booted():
                self._boot(message)
            case Stop():
                for name in message.machines:
                    self._stop(name)
                self._link.send(Stopped(message.order))
            case GangBegins():
                self._notify_gang(message)
            case GangBroken():
                self._notify_gang(message)
            case Cut():
                self._region_cuts = message.pairs
            case LinkCuts():
                self._link_cuts = message
            case MessageTroubles():
                self._messages = message
            case Afflict():
                until_us = self.clock.now_us() + to_us(message.for_s)
                for name in message.machines:
                    if name in self._workers:
                        self._workers[name].inject_fault(message.affliction, until_us)
            case LeaderIn():
                self._leader = self.layout.place(message.zone)

    def _boot(self, message: Booted) -> None:
        now_us = self.clock.now_us()
        address = self.layout.worker(self._number, message.number)
        machine = HollowMachine(
            message.machine,
            address,
            self._kind,
            message.zone,
            message.spot,
            self.jobs,
            self.settings.workers.settings(),
            self._record_event,
            now_us,
        )
        self._log.write(events.MachineUp(now_us, message.machine, message.zone, MACHINE_TYPE, message.spot))
        worker = Worker(self, machine, self.layout.place_of(message.zone))
        self._workers[message.machine] = worker
        self._by_address[address.partition(":")[0]] = worker

    def _stop(self, name: str) -> None:
        worker = self._workers.pop(name, None)
        if worker is None:
            return
        now_us = self.clock.now_us()
        worker.greenlet.kill()
        worker.machine.advance(now_us)
        worker.machine.lose_all(now_us)
        self._log.write(events.MachineDown(now_us, name))
        address = worker.machine.address.partition(":")[0]
        self._by_address.pop(address, None)
        self._block_connections(address)

    def _block_connections(self, address: str) -> None:
        """Makes new connections to this address hang."""
        self._blocking_sockets.append(self._listener(address, 0))
        for _ in range(_QUEUE_FILLERS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex((address, self.layout.worker_port + self._number))
            self._blocking_sockets.append(filler)

    def _final_counts(self) -> Counted:
        self._log.flush()
        return Counted(f"host-{self._number}", dict(self.counts), dict(self.traffic))

    # ---------------------------------------------------------------- tasks

    def _record_event(self, event: events.AnyEvent) -> None:
        """Logs an event of a machine; reports events of gangs to the hub."""
        self._log.write(event)
        if isinstance(event, events.OnMachine) and self._is_gang(event.job):
            self._gangs[event.job, event.attempt].add(event.machine)
            self._link.send(GangWaits(event.job, event.index, event.attempt))
        elif isinstance(event, events.Left) and self._is_gang(event.job):
            self._link.send(GangLeft(event.job, event.index, event.attempt, event.cause == workers.CAUSE_DONE))

    def _is_gang(self, job: str) -> bool:
        return self.jobs.spec(job).shape == GANG

    def _notify_gang(self, message: GangBegins | GangBroken) -> None:
        for name in self._gangs.get((message.job, message.attempt), ()):
            worker = self._workers.get(name)
            if worker is None:
                continue
            if isinstance(message, GangBegins):
                worker.machine.gang_begins(message.job, message.attempt, message.at_us)
            else:
                worker.machine.gang_broken(message.job, message.attempt, self.clock.now_us())
            worker.wake()

    # ---------------------------------------------------------------- direct calls

    def __call__(self, environ: dict[str, Any], start: Any) -> list[bytes]:
        body = environ["wsgi.input"].read()
        worker = self._by_address.get(environ["tideusher.local"])
        if worker is None:
            start("404 Not Found", [("Content-Length", "0")])
            return []
        self._apply_leader_delay(worker)
        worker.wait_while_hanging()
        if self.rng.random() < self._messages.late_calls:
            self.counts["direct.late"] += 1
            gevent.sleep(CALL_DELAY_S[0] + (CALL_DELAY_S[1] - CALL_DELAY_S[0]) * self.rng.random())
        if worker.has_fault(DEAF):
            start("503 Service Unavailable", [("Content-Length", "0")])
            return []
        status, report = self._handle_call(worker, environ["PATH_INFO"], body)
        data = workers.encode(report)
        self.traffic["controller-worker"].add(len(body))
        self.traffic["worker-controller"].add(len(data))
        self.counts[f"direct.{status}"] += 1
        reason = {200: "200 OK", 409: "409 Conflict"}[status]
        start(reason, [("Content-Type", "application/json"), ("Content-Length", str(len(data)))])
        worker.wake()
        return [data]

    def _apply_leader_delay(self, worker: Worker) -> None:
        """Applies the delay and the cut of the link to the leader, which makes nearly all direct calls."""
        if self._leader is None:
            return
        while is_cut(self._region_cuts, worker.place.region, self._leader.region):
            gevent.sleep(0.2)
        gevent.sleep(to_s(2 * self.layout.delay_us(worker.place, self._leader)))

    def _handle_call(self, worker: Worker, path: str, body: bytes) -> tuple[int, workers.Report]:
        now_us = self.clock.now_us()
        if path == "/do":
            return worker.machine.direct(msgspec.json.decode(body, type=workers.DirectCommands), now_us)
        worker.machine.advance(now_us)
        return 200, worker.machine.report()


def main(arguments: list[str]) -> None:
    """Runs `host FILE NUMBER DIRECTORY`."""
    path, number, directory = arguments
    log = events.EventLog(Path(directory) / f"events-host-{number}.jsonl")
    Host(load_scale_settings(path), int(number), Clock(), log).run()


if __name__ == "__main__":
    run_role(main)
