"""Checks the events of workers and users against the rules of the protocol. Pure: no I/O and no clock."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from tideusher.clock import to_us
from tideusher.config import Team
from tideusher.core.model.records import allowed_on
from tideusher.scale import answers, events
from tideusher.scale.machine import Jobs
from tideusher.wire.jobs import GANG, JobSpec
from tideusher.wire.workers import CAUSE_DONE

RAN_TWICE, QUOTA, WRONG_PLACE, RAN_CANCELLED = "ran_twice", "quota", "wrong_place", "ran_cancelled"
STARTED_CANCELLED = "started_cancelled"
WRONG_MIRROR = "wrong_mirror"
NOT_DONE, LEFT_WAITING, PLACED_NOTHING = "not_done", "left_waiting", "placed_nothing"
RULES = (
    RAN_TWICE,
    QUOTA,
    WRONG_PLACE,
    RAN_CANCELLED,
    STARTED_CANCELLED,
    NOT_DONE,
    LEFT_WAITING,
    PLACED_NOTHING,
    WRONG_MIRROR,
    answers.WENT_BACK,
    answers.FORGOTTEN,
    answers.UNASKED,
    answers.REJECTED,
    events.UNANSWERED,
)
#: Rules with time bounds: a machine too busy to simulate the run in real time can break them.
TIMED = frozenset({RAN_CANCELLED, LEFT_WAITING, PLACED_NOTHING, events.UNANSWERED})
#: Breaks that are described in full; further ones are only counted.
MAX_DETAILED_BREAKS = 20
_ROUNDING_TOLERANCE = 1e-6

TaskName = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Broken:
    """A single violation of a rule: when it occurred and what was observed."""

    rule: str
    at_us: int
    what: str


@dataclass(slots=True)
class Verdict:
    """The result of judging: the number of checks, the breaks of each rule, and the first breaks in full."""

    checks: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    broken: list[Broken] = field(default_factory=list)

    @property
    def total(self) -> int:
        """Returns the number of breaks over all rules."""
        return sum(self.counts.values())


@dataclass(slots=True)
class _Usage:
    cpus: float = 0.0
    gpus: float = 0.0


class Judge:
    """Checks the events of all workers and users, which must be passed in order of time."""

    def __init__(self, jobs: Jobs, teams: Iterable[Team], cancel_s: float) -> None:
        self._jobs, self._cancel_us = jobs, to_us(cancel_s)
        self._teams = {team.name: team for team in teams}
        self._machines: dict[str, events.MachineUp] = {}
        self._placements: dict[TaskName, dict[tuple[str, int], int]] = defaultdict(
            dict
        )  # (machine, attempt) -> arrival time
        self._zones: dict[str, Counter[str]] = defaultdict(Counter)  # tasks on machines, by job and zone
        self._usage: dict[str, _Usage] = defaultdict(_Usage)
        self._cancelled_us: dict[str, int] = {}
        self._orders: dict[tuple[str, int], dict[str, events.Ordered]] = defaultdict(dict)  # by task and machine
        self._done: dict[str, set[int]] = defaultdict(set)  # tasks that ended successfully, by job
        self._last_event_us = 0
        self.verdict = Verdict()

    def take(self, event: events.AnyEvent) -> None:
        """Processes the next event."""
        self._last_event_us = event.at_us
        match event:
            case events.MachineUp():
                self._machines[event.machine] = event
            case events.Ordered():
                self._orders[event.job, event.index][event.machine] = event
            case events.OnMachine():
                self._task_arrived(event)
            case events.Left():
                self._task_left(event)
            case events.CancelTold():
                self._cancelled_us.setdefault(event.job, event.at_us)
            case events.DoneTold():
                self._check_done(event)
            case events.AnswerBroken():
                self._record(event.rule, event.at_us, f"{event.job}: {event.what}")

    def end(self) -> Verdict:
        """Checks the tasks that are still on a machine after the last event, and returns the verdict."""
        for (job, index), placements in self._placements.items():
            for machine, _ in placements:
                self._check_cancelled(job, index, machine, self._last_event_us)
        return self.verdict

    # ---------------------------------------------------------------- task arrival and departure

    def _task_arrived(self, event: events.OnMachine) -> None:
        spec, placements = self._jobs.spec(event.job), self._placements[event.job, event.index]
        name = f"{event.job}/{event.index} attempt {event.attempt} on {event.machine}"
        self.verdict.checks += len(RULES)
        if placements:
            others = ", ".join(f"attempt {attempt} on {machine}" for machine, attempt in placements)
            self._record(RAN_TWICE, event.at_us, f"{name} while {others}")
        self._check_cancelled(event.job, event.index, event.machine, event.at_us)
        self._check_order(event, name)
        machine = self._machines.get(event.machine)
        if machine is None:
            self._record(WRONG_PLACE, event.at_us, f"{name}, a machine that was never up")
        else:
            reason = self._placement_error(spec, machine)
            if reason:
                self._record(WRONG_PLACE, event.at_us, f"{name}: {reason}")
            self._zones[event.job][machine.zone] += 1
        placements[event.machine, event.attempt] = event.at_us
        self._charge_quota(spec, name, event.at_us)

    def _task_left(self, event: events.Left) -> None:
        if event.cause == CAUSE_DONE:
            spec = self._jobs.spec(event.job)
            self._done[event.job].update(range(spec.tasks) if spec.shape == GANG else (event.index,))
        placements = self._placements[event.job, event.index]
        if not event.was_on or placements.pop((event.machine, event.attempt), None) is None:
            return
        if not placements:
            del self._placements[event.job, event.index]
        spec, machine = self._jobs.spec(event.job), self._machines.get(event.machine)
        usage = self._usage[spec.team]
        usage.cpus, usage.gpus = usage.cpus - spec.cpus, usage.gpus - spec.gpus
        if machine is not None:
            self._zones[event.job][machine.zone] -= 1
        self._check_cancelled(event.job, event.index, event.machine, event.at_us)

    # ---------------------------------------------------------------- the rules

    def _charge_quota(self, spec: JobSpec, name: str, at_us: int) -> None:
        usage, team = self._usage[spec.team], self._teams.get(spec.team)
        usage.cpus, usage.gpus = usage.cpus + spec.cpus, usage.gpus + spec.gpus
        if team is None:
            self._record(QUOTA, at_us, f"{name}: no such team as {spec.team}")
            return
        for kind, used, limit in (("CPUs", usage.cpus, team.cpus_max), ("GPUs", usage.gpus, team.gpus_max)):
            if limit and used > limit + _ROUNDING_TOLERANCE:
                self._record(QUOTA, at_us, f"{name}: {spec.team} uses {used:g} {kind} of {limit:g}")

    def _check_done(self, event: events.DoneTold) -> None:
        spec, done = self._jobs.spec(event.job), self._done[event.job]
        if len(done) < spec.tasks:
            self._record(NOT_DONE, event.at_us, f"{event.job} is told done with {len(done)} of {spec.tasks} done")

    def left_waiting(self, job: str) -> None:
        """Records a job that waited too long after all faults ended while a machine had capacity for it."""
        self._record(LEFT_WAITING, self._last_event_us, f"{job} waits while a machine has room for it")

    def placed_nothing(self, jobs: list[str]) -> None:
        """Records that nothing was started for a while after all faults ended, though these jobs would fit."""
        self._record(
            PLACED_NOTHING, self._last_event_us, f"nothing is started while there is room for {', '.join(jobs)}"
        )

    def wrong_mirror(self, what: str) -> None:
        """Records that a controller's mirror differed from the state service at the end."""
        self._record(WRONG_MIRROR, self._last_event_us, what)

    def _placement_error(self, spec: JobSpec, machine: events.MachineUp) -> str:
        if not allowed_on(spec, machine.type, machine.zone, machine.spot):
            return f"a {machine.type} {'spot' if machine.spot else 'ordinary'} machine in {machine.zone}"
        zones = self._zones[spec.id]
        if spec.one_zone and any(count for zone, count in zones.items() if zone != machine.zone):
            return f"in {machine.zone}, others of its one zone are elsewhere"
        if spec.spread and zones[machine.zone] + 1 > -(-spec.tasks // 2):
            return f"more than half of its job in {machine.zone}"
        return ""

    def _check_cancelled(self, job: str, index: int, machine: str, at_us: int) -> None:
        cancelled_us = self._cancelled_us.get(job)
        if cancelled_us is not None and at_us > cancelled_us + self._cancel_us:
            late_s = (at_us - cancelled_us) / 1e6
            self._record(RAN_CANCELLED, at_us, f"{job}/{index} on {machine} {late_s:.1f} s after its cancellation")

    def _check_order(self, event: events.OnMachine, name: str) -> None:
        """Records a start of a job after its user was told that it is cancelled.

        A start by the answer to a report that was sent before the user was told is allowed.
        """
        told_us = self._cancelled_us.get(event.job)
        order = self._orders[event.job, event.index].pop(event.machine, None)
        if told_us is None or order is None or order.attempt != event.attempt or order.asked_us <= told_us:
            return
        after_s, asked_s = (event.at_us - told_us) / 1e6, (order.asked_us - told_us) / 1e6
        self._record(
            STARTED_CANCELLED,
            event.at_us,
            f"{name} began {after_s:.3f} s after its user was told of the cancellation, by the answer to a report "
            f"sent {asked_s:.3f} s after it",
        )

    def _record(self, rule: str, at_us: int, what: str) -> None:
        self.verdict.counts[rule] += 1
        if len(self.verdict.broken) < MAX_DETAILED_BREAKS:
            self.verdict.broken.append(Broken(rule, at_us, what))
