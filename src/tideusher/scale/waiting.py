"""Which jobs wait beside a machine that has room for them, by what happened on the workers. Pure.

Asked at moments of the quiet end of a run: a task that is found at both ends of a minute and a half was left waiting,
and if nothing at all was started for twenty seconds while some waited, the leader places nothing. Gangs are passed
over: whether all of one fit at once is more than a look at single machines can tell.
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

#: With all faults over, a task that waits for so long beside room for it is left waiting (the users' bound), and a
#: leader that starts nothing for so long while some do places nothing.
LEFT_WAITING_S, PLACES_NOTHING_S = 90.0, 20.0
_ROUNDING = 1e-6
TaskName = tuple[str, int]


@dataclass(slots=True)
class _Free:
    cpus: float
    gpus: float
    ram: float

    def take(self, spec: JobSpec, tasks: int) -> None:
        self.cpus -= tasks * spec.cpus
        self.gpus -= tasks * spec.gpus
        self.ram -= tasks * spec.ram_gb

    def holds(self, spec: JobSpec) -> bool:
        return min(self.cpus - spec.cpus, self.gpus - spec.gpus, self.ram - spec.ram_gb) >= -_ROUNDING


@dataclass(slots=True)
class Waiting:
    """What is on which machine, and who wants to be."""

    jobs: Jobs
    kind: MachineType
    teams: Iterable[Team]
    end_us: int  # of the run
    _looks: dict[float, set[TaskName]] = field(default_factory=dict)  # by how long before the end: who waited then
    _ordered_us: int = 0  # when something was started last
    _up: dict[str, events.MachineUp] = field(default_factory=dict)
    _free: dict[str, _Free] = field(default_factory=dict)
    _there: dict[tuple[str, int], set[tuple[str, int]]] = field(default_factory=lambda: defaultdict(set))
    _open: dict[str, None] = field(default_factory=dict)  # accepted, and not over as far as users were told
    _done: set[tuple[str, int]] = field(default_factory=set)

    def take(self, event: events.AnyEvent) -> None:
        """One more event, in the order of their times."""
        for before_s in (LEFT_WAITING_S, PLACES_NOTHING_S):
            if before_s not in self._looks and event.at_us > self.end_us - to_us(before_s):
                self._looks[before_s] = self.beside_room()
        match event:
            case events.MachineUp():
                self._up[event.machine] = event
                self._free[event.machine] = _Free(self.kind.cpus, self.kind.gpus, self.kind.ram_gb)
            case events.MachineDown():
                self._up.pop(event.machine, None)
            case events.Accepted():
                self._open[event.job] = None
            case events.CancelTold() | events.DoneTold():
                self._open.pop(event.job, None)
            case events.Ordered():
                self._order(event)
            case events.Left():
                self._leave(event)

    def judge(self, judge: Judge, quiet_s: float) -> None:
        """Tell what was found, as far as the run was quiet for long enough."""
        now = self.beside_room()
        if quiet_s > LEFT_WAITING_S:
            for job in sorted({job for job, _ in now & self._looks.get(LEFT_WAITING_S, set())}):
                judge.left_waiting(job)
        stuck = sorted({job for job, _ in now & self._looks.get(PLACES_NOTHING_S, set())})
        silent = self._ordered_us < self.end_us - to_us(PLACES_NOTHING_S)
        if quiet_s > PLACES_NOTHING_S and silent and stuck:
            judge.placed_nothing(stuck)

    def _order(self, event: events.Ordered) -> None:
        self._ordered_us = event.at_us
        self._there[event.job, event.index].add((event.machine, event.attempt))
        if event.machine in self._free:
            self._free[event.machine].take(self.jobs.spec(event.job), 1)

    def _leave(self, event: events.Left) -> None:
        places = self._there[event.job, event.index]
        if (event.machine, event.attempt) in places:
            places.remove((event.machine, event.attempt))
            if event.machine in self._free:
                self._free[event.machine].take(self.jobs.spec(event.job), -1)
        if event.cause == "done":
            self._done.add((event.job, event.index))

    def beside_room(self) -> set[TaskName]:
        """Tasks that have no place now while a machine has room for them and their team is under its limit."""
        left = self._left_to_teams()
        found: set[TaskName] = set()
        for job in self._open:
            spec = self.jobs.spec(job)
            if spec.shape == GANG or spec.team not in left or not left[spec.team].holds(spec):
                continue
            waiting = [i for i in range(spec.tasks) if not self._there[job, i] and (job, i) not in self._done]
            if waiting and any(self._may_join(spec, machine) for machine in self._up):
                found.update((job, index) for index in waiting)
        return found

    def _left_to_teams(self) -> dict[str, _Free]:
        """How much more each team may use."""
        left = {team.name: _Free(team.cpus_max or inf, team.gpus_max or inf, inf) for team in self.teams}
        for (job, _), places in self._there.items():
            spec = self.jobs.spec(job)
            if spec.team in left:
                left[spec.team].take(spec, len(places))
        return left

    def _may_join(self, spec: JobSpec, name: str) -> bool:
        machine = self._up[name]
        if not self._free[name].holds(spec) or not allowed_on(spec, machine.type, machine.zone, machine.spot):
            return False
        zones = Counter(
            self._up[host].zone
            for index in range(spec.tasks)
            for host, _ in self._there[spec.id, index]
            if host in self._up
        )
        if spec.one_zone and any(zone != machine.zone for zone in zones):
            return False
        return not spec.spread or zones[machine.zone] < -(-spec.tasks // 2)
