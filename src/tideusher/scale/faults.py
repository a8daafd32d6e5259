"""Brings about the faults of a run: each in a greenlet of its own, from its time on and for as long as it lasts."""

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import msgspec

from tideusher.clock import to_us
from tideusher.scale import events, report
from tideusher.scale.cloud import Cloud, Rental
from tideusher.scale.hub import Hub
from tideusher.scale.layout import Layout
from tideusher.scale.messages import Afflict, Cut, LinkCut, LinkCuts, MessageTroubles, StateTroubles
from tideusher.scale.processes import Processes
from tideusher.scale.settings import MACHINE_FAULTS, MESSAGE_FAULTS, STATE_FAULTS, Fault, ScaleSettings

_DAY_S = 86_400.0


@dataclass(frozen=True, slots=True)
class Stage:
    """What faults are brought about on."""

    settings: ScaleSettings
    layout: Layout
    processes: Processes
    hub: Hub
    cloud: Cloud
    log: events.EventLog
    at_s: Callable[[], float]  # since the run began
    now_us: Callable[[], int]
    leader: Callable[[], int | None]  # the number of the controller that leads
    stop_machines: Callable[[list[Rental]], bool]
    start_controller: Callable[[int], None]


class Faults:
    """All faults of a run."""

    def __init__(self, stage: Stage) -> None:
        self._stage, self._settings, self._layout = stage, stage.settings, stage.layout
        self._rng = random.Random(f"{stage.settings.seed}/faults")
        self._greenlets: list[gevent.Greenlet] = []
        self._regions: list[tuple[int, int]] = []
        self._now: dict[int, Fault] = {}  # those that last, by their place in the settings
        self.done: list[report.FaultDone] = []

    def start(self) -> None:
        """Let each come at its time."""
        for number, fault in enumerate(self._settings.faults):
            if fault.kind != "burst":
                self._greenlets.append(gevent.spawn(self._bring_about, number, fault))

    def stop(self) -> None:
        """Nothing more comes."""
        gevent.killall(self._greenlets)

    def note(self, what: str) -> None:
        """Tell of something that happened to the run."""
        at_s = self._stage.at_s()
        self.done.append(report.FaultDone(round(at_s, 2), what))
        print(f"{at_s:6.1f} s: {what}", file=sys.stderr, flush=True)

    def _bring_about(self, number: int, fault: Fault) -> None:
        gevent.sleep(max(0.0, fault.at_s - self._stage.at_s()))
        if fault.kind in STATE_FAULTS or fault.kind in MESSAGE_FAULTS or fault.kind == "cut":
            self._last(number, fault)
        elif fault.kind in MACHINE_FAULTS:
            self._afflict(fault)
        elif fault.kind in ("kill", "pause"):
            self._meet_controllers(fault)
        else:
            self._bring_about_loss(fault)

    # ---------------------------------------------------------------- losses

    def _bring_about_loss(self, fault: Fault) -> None:
        cloud, layout = self._stage.cloud, self._layout
        match fault.kind:
            case "machine":
                running = cloud.running()
                self._fail(self._rng.sample(running, min(fault.count, len(running))), "machines")
            case "rack":
                rack = self._rng.randrange(self._settings.fleet.racks_per_zone)
                self._fail(cloud.in_rack(layout.zones[fault.zone], rack), "rack")
            case "zone":
                self._lose_zone(layout.zones[fault.zone], fault.for_s)
            case "controller":
                for number in self._rng.sample(range(self._settings.control.controllers), fault.count):
                    self._kill(number)
            case "leader":
                for number in self._targets(fault):
                    self._kill(number)
            case "regions":
                self._cut_regions(fault)
            case "replace":
                self._replace(fault.per_day)

    def _fail(self, machines: list[Rental], what: str) -> None:
        self.note(f"{len(machines)} machines stop ({what})")
        self._stage.cloud.fail(machines)
        self._stage.stop_machines(machines)

    def _lose_zone(self, zone: str, for_s: float) -> None:
        stage = self._stage
        machines = stage.cloud.in_zone(zone)
        self.note(f"zone {zone} is lost with {len(machines)} machines and its controllers")
        stage.log.write(events.ZoneLost(stage.now_us(), zone, [one.name for one in machines]))
        stage.cloud.lose_zone(zone, to_us(for_s))
        there = self._layout.zones.index(zone)
        for number in range(self._settings.control.controllers):
            if self._layout.controller_place(number).zone == there:
                self._kill(number, for_s)
        stage.cloud.fail(machines)
        stage.stop_machines(machines)

    def _replace(self, per_day: float) -> None:
        """Machines that are restarted or replaced one by one, at the rate of an ordinary day, until all is quiet."""
        while self._stage.at_s() < self._settings.duration_s - self._settings.quiet_s:
            gevent.sleep(self._rng.expovariate(per_day / _DAY_S))
            running = self._stage.cloud.running()
            if running:
                self._fail([self._rng.choice(running)], "one of the ordinary day's")

    def _cut_regions(self, fault: Fault) -> None:
        pair = (fault.region, fault.other)
        self.note(f"regions {pair[0]} and {pair[1]} lose each other for {fault.for_s:g} s")
        self._regions.append(pair)
        self._stage.hub.broadcast(Cut(list(self._regions)))
        gevent.sleep(fault.for_s)
        self._regions.remove(pair)
        self._stage.hub.broadcast(Cut(list(self._regions)))
        self.note(f"regions {pair[0]} and {pair[1]} find each other")

    # ---------------------------------------------------------------- controllers

    def _targets(self, fault: Fault) -> list[int]:
        leader = self._stage.leader()
        if fault.target == "all":
            return list(range(self._settings.control.controllers))
        if fault.target == "one":
            return [fault.number]
        return [] if leader is None else [leader]

    def _meet_controllers(self, fault: Fault) -> None:
        numbers = self._targets(fault)
        for number in numbers:
            if fault.kind == "kill":
                self._kill(number, fault.back_s)
            else:
                self._pause(number, fault.for_s)

    def _kill(self, number: int, back_s: float | None = None) -> None:
        name = self._layout.controller_name(number)
        self.note(f"controller {name} is killed{', the leader' if number == self._stage.leader() else ''}")
        self._stage.processes.kill(name)
        self.bring_back(number, back_s)

    def bring_back(self, number: int, after_s: float | None = None) -> None:
        """The platform starts it again after a while."""
        after_s = self._settings.control.restart_s if after_s is None else after_s
        gevent.spawn_later(after_s, self._stage.start_controller, number)

    def _pause(self, number: int, for_s: float) -> None:
        name = self._layout.controller_name(number)
        leads = ", the leader" if number == self._stage.leader() else ""
        if self._stage.processes.pause(name):
            self.note(f"controller {name} stands still for {for_s:.1f} s{leads}")
            gevent.spawn_later(for_s, self._stage.processes.go_on, name)

    # ---------------------------------------------------------------- what lasts

    def _last(self, number: int, fault: Fault) -> None:
        if fault.target == "leader" and fault.kind in ("cut", "state_refuse"):
            leader = self._stage.leader()
            if leader is None:
                return
            fault = _one(fault, leader)
        self._now[number] = fault
        self._tell()
        self.note(f"{_told(fault)} for {fault.for_s:.1f} s")
        gevent.sleep(fault.for_s)
        del self._now[number]
        self._tell()

    def _tell(self) -> None:
        """Tell all processes what is wrong now."""
        now, hub = list(self._now.values()), self._stage.hub
        hub.send("state", state_troubles(now, self._settings.control.controllers))
        cuts = [
            LinkCut(None if one.target == "all" else one.number, one.link, one.mode == "hold")
            for one in now
            if one.kind == "cut"
        ]
        hub.broadcast(LinkCuts(cuts))
        hub.broadcast(MessageTroubles(_most(now, "copies"), _most(now, "late_calls")))

    # ---------------------------------------------------------------- machines

    def _afflict(self, fault: Fault) -> None:
        running = [one for one in self._stage.cloud.running() if one.spot or fault.kind != "recall"]
        chosen = self._rng.sample(running, min(fault.count, len(running)))
        self.note(f"{len(chosen)} machines: {fault.kind} for {fault.for_s:.1f} s")
        by_process: dict[int, list[str]] = {}
        for one in chosen:
            by_process.setdefault(one.process, []).append(one.name)
        for process, names in by_process.items():
            self._stage.hub.send(f"host-{process}", Afflict(names, fault.kind, fault.for_s))
        if fault.kind == "recall":
            gevent.sleep(fault.for_s)
            self._fail([one for one in chosen if one.name in self._stage.cloud.machines], "spot, taken back")


def _one(fault: Fault, number: int) -> Fault:
    return msgspec.structs.replace(fault, target="one", number=number)


def _most(now: list[Fault], kind: str) -> float:
    return max((one.share for one in now if one.kind == kind), default=0.0)


def state_troubles(now: list[Fault], controllers: int) -> StateTroubles:
    """What is wrong with the state service, of all faults that last now."""
    refused: set[int] = set()
    for one in now:
        if one.kind == "state_refuse":
            refused |= set(range(controllers)) if one.target == "all" else {one.number}
    return StateTroubles(
        any(one.kind == "state_out" for one in now),
        sorted(refused),
        max((one.delay_s for one in now if one.kind == "state_slow"), default=0.0),
        _most(now, "state_late"),
        _most(now, "state_lost"),
    )


def _told(fault: Fault) -> str:
    whom = "all controllers" if fault.target == "all" else f"c{fault.number}"
    match fault.kind:
        case "cut":
            return f"{whom}: link to {fault.link} {'holds' if fault.mode == 'hold' else 'refuses'}"
        case "state_refuse":
            return f"the state service refuses {whom}"
        case "state_slow":
            return f"the state service takes up to {fault.delay_s:.1f} s more"
        case "state_out":
            return "the state service is out"
    return f"{fault.kind}, a share of {fault.share:.2f},"
