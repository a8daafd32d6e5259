"""Finds jobs that wait although a machine has free capacity for them, from the events of the workers. Pure.

The check runs at moments of the quiet end of a run: a task that waits at both ends of a minute and a half was left
waiting, and if nothing at all was started for twenty seconds while tasks waited, the leader places nothing. Gangs are
skipped: checking machines one by one cannot show whether all tasks of a gang fit at once.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from tideusher.clock import to_us
from tideusher.config import Team
from tideusher.core.model.records import allowed_on
from tideusher.scale import events
from tideusher.scale.judge import Judge
from tideusher.scale.machine import Jobs
from tideusher.wire.cloud import MachineType
from tideusher.wire.jobs import GANG, JobSpec

#: After all faults have ended: a task that waits this long while a machine could take it is left waiting (the users'
#: bound), and a leader that starts nothing for this long while such tasks wait places nothing.
LEFT_WAITING_S, PLACES_NOTHING_S = 90.0, 20.0
_ROUNDING_TOLERANCE = 1e-6
TaskName = tuple[str, int]


@dataclass(slots=True)
class _FreeCapacity:
    cpus: float
    gpus: float
    ram: float

    def take(self, spec: JobSpec, tasks: int) -> None:
        self.cpus -= tasks * spec.cpus
        self.gpus -= tasks * spec.gpus
        self.ram -= tasks * spec.ram_gb

    def fits(self, spec: JobSpec) -> bool:
        return min(self.cpus - spec.cpus, self.gpus - spec.gpus, self.ram - spec.ram_gb) >= -_ROUNDING_TOLERANCE


@dataclass(slots=True)
class Waiting:
    """Tracks the placements of tasks, the free capacity of machines, and the jobs that still need placing."""

    jobs: Jobs
    kind: MachineType
    teams: Iterable[Team]
    end_us: int  # of the run
    _waiting_before_end: dict[float, set[TaskName]] = field(default_factory=dict)  # by seconds before the end
    _last_order_us: int = 0  # time of the last order to start a task
    _machines: dict[str, events.MachineUp] = field(default_factory=dict)
    _free: dict[str, _FreeCapacity] = field(default_factory=dict)
    _placements: dict[tuple[str, int], set[tuple[str, int]]] = field(default_factory=lambda: defaultdict(set))
    _open_jobs: dict[str, None] = field(default_factory=dict)  # accepted, not reported as over to users
    _done: set[tuple[str, int]] = field(default_factory=set)

    def take(self, event: events.AnyEvent) -> None:
        """Processes the next event; events must come in order of time."""
        for before_s in (LEFT_WAITING_S, PLACES_NOTHING_S):
            if before_s not in self._waiting_before_end and event.at_us > self.end_us - to_us(before_s):
                self._waiting_before_end[before_s] = self.beside_room()
        match event:
            case events.MachineUp():
                self._machines[event.machine] = event
                self._free[event.machine] = _FreeCapacity(self.kind.cpus, self.kind.gpus, self.kind.ram_gb)
            case events.MachineDown():
                self._machines.pop(event.machine, None)
            case events.Accepted():
                self._open_jobs[event.job] = None
            case events.CancelTold() | events.DoneTold():
                self._open_jobs.pop(event.job, None)
            case events.Ordered():
                self._place(event)
            case events.Left():
                self._remove(event)

    def judge(self, judge: Judge, quiet_s: float) -> None:
        """Reports the findings to the judge; each check needs a quiet period longer than its bound."""
        now = self.beside_room()
        if quiet_s > LEFT_WAITING_S:
            for job in sorted({job for job, _ in now & self._waiting_before_end.get(LEFT_WAITING_S, set())}):
                judge.left_waiting(job)
        stuck = sorted({job for job, _ in now & self._waiting_before_end.get(PLACES_NOTHING_S, set())})
        no_orders = self._last_order_us < self.end_us - to_us(PLACES_NOTHING_S)
        if quiet_s > PLACES_NOTHING_S and no_orders and stuck:
            judge.placed_nothing(stuck)

    def _place(self, event: events.Ordered) -> None:
        self._last_order_us = event.at_us
        self._placements[event.job, event.index].add((event.machine, event.attempt))
        if event.machine in self._free:
            self._free[event.machine].take(self.jobs.spec(event.job), 1)

    def _remove(self, event: events.Left) -> None:
        placements = self._placements[event.job, event.index]
        if (event.machine, event.attempt) in placements:
            placements.remove((event.machine, event.attempt))
            if event.machine in self._free:
                self._free[event.machine].take(self.jobs.spec(event.job), -1)
        if event.cause == "done":
            self._done.add((event.job, event.index))

    def beside_room(self) -> set[TaskName]:
        """Returns the unplaced tasks that a machine has free capacity for, and whose team is under its limit."""
        available = self._available_to_teams()
        found: set[TaskName] = set()
        for job in self._open_jobs:
            spec = self.jobs.spec(job)
            if spec.shape == GANG or spec.team not in available or not available[spec.team].fits(spec):
                continue
            waiting = [i for i in range(spec.tasks) if not self._placements[job, i] and (job, i) not in self._done]
            if waiting and any(self._can_place(spec, machine) for machine in self._machines):
                found.update((job, index) for index in waiting)
        return found

    def _available_to_teams(self) -> dict[str, _FreeCapacity]:
        """Returns the remaining quota of each team."""
        available = {team.name: _FreeCapacity(team.cpus_max or inf, team.gpus_max or inf, inf) for team in self.teams}
        for (job, _), placements in self._placements.items():
            spec = self.jobs.spec(job)
            if spec.team in available:
                available[spec.team].take(spec, len(placements))
        return available

    def _can_place(self, spec: JobSpec, name: str) -> bool:
        machine = self._machines[name]
        if not self._free[name].fits(spec) or not allowed_on(spec, machine.type, machine.zone, machine.spot):
            return False
        zones = Counter(
            self._machines[host].zone
            for index in range(spec.tasks)
            for host, _ in self._placements[spec.id, index]
            if host in self._machines
        )
        if spec.one_zone and any(zone != machine.zone for zone in zones):
            return False
        return not spec.spread or zones[machine.zone] < -(-spec.tasks // 2)
