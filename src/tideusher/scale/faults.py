"""Injects the faults of a run, each at its time and for its duration, in a greenlet of its own."""

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
    """The parts of a run that faults act on."""

    settings: ScaleSettings
    layout: Layout
    processes: Processes
    hub: Hub
    cloud: Cloud
    log: events.EventLog
    at_s: Callable[[], float]  # since the start of the run
    now_us: Callable[[], int]
    leader: Callable[[], int | None]  # the number of the leading controller, if known
    stop_machines: Callable[[list[Rental]], bool]
    start_controller: Callable[[int], None]


class Faults:
    """Schedules and injects the faults in the settings of a run, and records them in `done`."""

    def __init__(self, stage: Stage) -> None:
        self._stage, self._settings, self._layout = stage, stage.settings, stage.layout
        self._rng = random.Random(f"{stage.settings.seed}/faults")
        self._greenlets: list[gevent.Greenlet] = []
        self._cut_pairs: list[tuple[int, int]] = []
        self._active: dict[int, Fault] = {}  # faults in effect that have a duration, by index in the settings
        self.done: list[report.FaultDone] = []

    def start(self) -> None:
        """Starts a greenlet for each fault; bursts are part of the workload."""
        for number, fault in enumerate(self._settings.faults):
            if fault.kind != "burst":
                self._greenlets.append(gevent.spawn(self._inject, number, fault))

    def stop(self) -> None:
        """Ends the greenlets: no more faults are injected."""
        gevent.killall(self._greenlets)

    def note(self, what: str) -> None:
        """Records an event of the run for the result and prints it to stderr."""
        at_s = self._stage.at_s()
        self.done.append(report.FaultDone(round(at_s, 2), what))
        print(f"{at_s:6.1f} s: {what}", file=sys.stderr, flush=True)

    def _inject(self, number: int, fault: Fault) -> None:
        gevent.sleep(max(0.0, fault.at_s - self._stage.at_s()))
        if fault.kind in STATE_FAULTS or fault.kind in MESSAGE_FAULTS or fault.kind == "cut":
            self._apply_for_duration(number, fault)
        elif fault.kind in MACHINE_FAULTS:
            self._disturb_machines(fault)
        elif fault.kind in ("kill", "pause"):
            self._disturb_controllers(fault)
        else:
            self._inject_loss(fault)

    # ---------------------------------------------------------------- losses

    def _inject_loss(self, fault: Fault) -> None:
        cloud, layout = self._stage.cloud, self._layout
        match fault.kind:
            case "machine":
                running = cloud.running()
                self._stop_machines(self._rng.sample(running, min(fault.count, len(running))), "machines")
            case "rack":
                rack = self._rng.randrange(self._settings.fleet.racks_per_zone)
                self._stop_machines(cloud.in_rack(layout.zones[fault.zone], rack), "rack")
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

    def _stop_machines(self, machines: list[Rental], what: str) -> None:
        self.note(f"{len(machines)} machines stop ({what})")
        self._stage.cloud.fail(machines)
        self._stage.stop_machines(machines)

    def _lose_zone(self, zone: str, for_s: float) -> None:
        stage = self._stage
        machines = stage.cloud.in_zone(zone)
        self.note(f"zone {zone} is lost with {len(machines)} machines and its controllers")
        stage.log.write(events.ZoneLost(stage.now_us(), zone, [machine.name for machine in machines]))
        stage.cloud.lose_zone(zone, to_us(for_s))
        zone_index = self._layout.zones.index(zone)
        for number in range(self._settings.control.controllers):
            if self._layout.controller_place(number).zone == zone_index:
                self._kill(number, for_s)
        stage.cloud.fail(machines)
        stage.stop_machines(machines)

    def _replace(self, per_day: float) -> None:
        """Stops machines one by one until the quiet end, at the rate of restarts and replacements on a usual day."""
        while self._stage.at_s() < self._settings.duration_s - self._settings.quiet_s:
            gevent.sleep(self._rng.expovariate(per_day / _DAY_S))
            running = self._stage.cloud.running()
            if running:
                self._stop_machines([self._rng.choice(running)], "one of the ordinary day's")

    def _cut_regions(self, fault: Fault) -> None:
        pair = (fault.region, fault.other)
        self.note(f"regions {pair[0]} and {pair[1]} lose each other for {fault.for_s:g} s")
        self._cut_pairs.append(pair)
        self._stage.hub.broadcast(Cut(list(self._cut_pairs)))
        gevent.sleep(fault.for_s)
        self._cut_pairs.remove(pair)
        self._stage.hub.broadcast(Cut(list(self._cut_pairs)))
        self.note(f"regions {pair[0]} and {pair[1]} find each other")

    # ---------------------------------------------------------------- controllers

    def _targets(self, fault: Fault) -> list[int]:
        leader = self._stage.leader()
        if fault.target == "all":
            return list(range(self._settings.control.controllers))
        if fault.target == "one":
            return [fault.number]
        return [] if leader is None else [leader]

    def _disturb_controllers(self, fault: Fault) -> None:
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
        """Schedules the restart of a controller, as the platform does, after a delay."""
        after_s = self._settings.control.restart_s if after_s is None else after_s
        gevent.spawn_later(after_s, self._stage.start_controller, number)

    def _pause(self, number: int, for_s: float) -> None:
        name = self._layout.controller_name(number)
        leads = ", the leader" if number == self._stage.leader() else ""
        if self._stage.processes.pause(name):
            self.note(f"controller {name} stands still for {for_s:.1f} s{leads}")
            gevent.spawn_later(for_s, self._stage.processes.go_on, name)

    # ---------------------------------------------------------------- faults with a duration

    def _apply_for_duration(self, number: int, fault: Fault) -> None:
        if fault.target == "leader" and fault.kind in ("cut", "state_refuse"):
            leader = self._stage.leader()
            if leader is None:
                return
            fault = _for_controller(fault, leader)
        self._active[number] = fault
        self._broadcast_active()
        self.note(f"{_description(fault)} for {fault.for_s:.1f} s")
        gevent.sleep(fault.for_s)
        del self._active[number]
        self._broadcast_active()

    def _broadcast_active(self) -> None:
        """Sends the combined faults in effect to all processes that simulate them."""
        active, hub = list(self._active.values()), self._stage.hub
        hub.send("state", state_troubles(active, self._settings.control.controllers))
        cuts = [
            LinkCut(None if fault.target == "all" else fault.number, fault.link, fault.mode == "hold")
            for fault in active
            if fault.kind == "cut"
        ]
        hub.broadcast(LinkCuts(cuts))
        hub.broadcast(MessageTroubles(_max_share(active, "copies"), _max_share(active, "late_calls")))

    # ---------------------------------------------------------------- machines

    def _disturb_machines(self, fault: Fault) -> None:
        running = [machine for machine in self._stage.cloud.running() if machine.spot or fault.kind != "recall"]
        chosen = self._rng.sample(running, min(fault.count, len(running)))
        self.note(f"{len(chosen)} machines: {fault.kind} for {fault.for_s:.1f} s")
        by_process: dict[int, list[str]] = {}
        for machine in chosen:
            by_process.setdefault(machine.process, []).append(machine.name)
        for process, names in by_process.items():
            self._stage.hub.send(f"host-{process}", Afflict(names, fault.kind, fault.for_s))
        if fault.kind == "recall":
            gevent.sleep(fault.for_s)
            self._stop_machines(
                [machine for machine in chosen if machine.name in self._stage.cloud.machines], "spot, taken back"
            )


def _for_controller(fault: Fault, number: int) -> Fault:
    return msgspec.structs.replace(fault, target="one", number=number)


def _max_share(active: list[Fault], kind: str) -> float:
    return max((fault.share for fault in active if fault.kind == kind), default=0.0)


def state_troubles(active: list[Fault], controllers: int) -> StateTroubles:
    """Combines the faults in effect that concern the state service into one message."""
    refused: set[int] = set()
    for fault in active:
        if fault.kind == "state_refuse":
            refused |= set(range(controllers)) if fault.target == "all" else {fault.number}
    return StateTroubles(
        any(fault.kind == "state_out" for fault in active),
        sorted(refused),
        max((fault.delay_s for fault in active if fault.kind == "state_slow"), default=0.0),
        _max_share(active, "state_late"),
        _max_share(active, "state_lost"),
        _max_share(active, "state_late_answer"),
        max((fault.delay_s for fault in active if fault.kind == "state_late_answer"), default=0.0),
    )


def _description(fault: Fault) -> str:
    controllers = "all controllers" if fault.target == "all" else f"c{fault.number}"
    match fault.kind:
        case "cut":
            return f"{controllers}: link to {fault.link} {'holds' if fault.mode == 'hold' else 'refuses'}"
        case "state_refuse":
            return f"the state service refuses {controllers}"
        case "state_slow":
            return f"the state service takes up to {fault.delay_s:.1f} s more"
        case "state_late_answer":
            return f"a share of {fault.share:.2f} of the transactions is answered up to {fault.delay_s:.1f} s late"
        case "state_out":
            return "the state service is out"
    return f"{fault.kind}, a share of {fault.share:.2f},"
