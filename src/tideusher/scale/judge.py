"""Judges a run by what happened on the workers and to the users: the rules of the protocol. Pure."""

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
NOT_DONE, LEFT_WAITING, PLACED_NOTHING = "not_done", "left_waiting", "placed_nothing"
RULES = (
    RAN_TWICE,
    QUOTA,
    WRONG_PLACE,
    RAN_CANCELLED,
    NOT_DONE,
    LEFT_WAITING,
    PLACED_NOTHING,
    answers.WENT_BACK,
    answers.FORGOTTEN,
    answers.UNASKED,
    events.UNANSWERED,
)
#: What may be broken on a machine that is too busy to play the run in time.
TIMED = frozenset({RAN_CANCELLED, LEFT_WAITING, PLACED_NOTHING, events.UNANSWERED})
#: So many broken rules are told in full.
TOLD = 20
_ROUNDING = 1e-6

TaskName = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Broken:
    """One break of a rule."""

    rule: str
    at_us: int
    what: str


@dataclass(slots=True)
class Verdict:
    """What a judge found: how often each rule was looked at and broken, and the first breaks in full."""

    checks: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    broken: list[Broken] = field(default_factory=list)

    @property
    def total(self) -> int:
        """Breaks of all rules."""
        return sum(self.counts.values())


@dataclass(slots=True)
class _Use:
    cpus: float = 0.0
    gpus: float = 0.0


class Judge:
    """Takes the events of all workers and users in the order of their times."""

    def __init__(self, jobs: Jobs, teams: Iterable[Team], cancel_s: float) -> None:
        self._jobs, self._cancel_us = jobs, to_us(cancel_s)
        self._teams = {team.name: team for team in teams}
        self._machines: dict[str, events.MachineUp] = {}
        self._on: dict[TaskName, dict[tuple[str, int], int]] = defaultdict(dict)  # (machine, attempt) -> since
        self._zones: dict[str, Counter[str]] = defaultdict(Counter)  # tasks of a job by zone
        self._use: dict[str, _Use] = defaultdict(_Use)
        self._cancelled_us: dict[str, int] = {}
        self._done: dict[str, set[int]] = defaultdict(set)  # tasks that have ended well
        self._until_us = 0
        self.verdict = Verdict()

    def take(self, event: events.AnyEvent) -> None:
        """One more event."""
        self._until_us = event.at_us
        match event:
            case events.MachineUp():
                self._machines[event.machine] = event
            case events.OnMachine():
                self._came(event)
            case events.Left():
                self._left(event)
            case events.CancelTold():
                self._cancelled_us.setdefault(event.job, event.at_us)
            case events.DoneTold():
                self._told_done(event)
            case events.AnswerBroken():
                self._break(event.rule, event.at_us, f"{event.job}: {event.what}")

    def end(self) -> Verdict:
        """Nothing more comes: what is still on a machine is judged as well."""
        for (job, index), places in self._on.items():
            for machine, _ in places:
                self._check_cancelled(job, index, machine, self._until_us)
        return self.verdict

    # ---------------------------------------------------------------- a task comes and goes

    def _came(self, event: events.OnMachine) -> None:
        spec, places = self._jobs.spec(event.job), self._on[event.job, event.index]
        name = f"{event.job}/{event.index} attempt {event.attempt} on {event.machine}"
        self.verdict.checks += len(RULES)
        if places:
            others = ", ".join(f"attempt {attempt} on {machine}" for machine, attempt in places)
            self._break(RAN_TWICE, event.at_us, f"{name} while {others}")
        self._check_cancelled(event.job, event.index, event.machine, event.at_us)
        machine = self._machines.get(event.machine)
        if machine is None:
            self._break(WRONG_PLACE, event.at_us, f"{name}, a machine that was never up")
        else:
            why = self._wrong_place(spec, machine)
            if why:
                self._break(WRONG_PLACE, event.at_us, f"{name}: {why}")
            self._zones[event.job][machine.zone] += 1
        places[event.machine, event.attempt] = event.at_us
        self._take_quota(spec, name, event.at_us)

    def _left(self, event: events.Left) -> None:
        if event.cause == CAUSE_DONE:
            spec = self._jobs.spec(event.job)
            self._done[event.job].update(range(spec.tasks) if spec.shape == GANG else (event.index,))
        places = self._on[event.job, event.index]
        if not event.was_on or places.pop((event.machine, event.attempt), None) is None:
            return
        if not places:
            del self._on[event.job, event.index]
        spec, machine = self._jobs.spec(event.job), self._machines.get(event.machine)
        use = self._use[spec.team]
        use.cpus, use.gpus = use.cpus - spec.cpus, use.gpus - spec.gpus
        if machine is not None:
            self._zones[event.job][machine.zone] -= 1
        self._check_cancelled(event.job, event.index, event.machine, event.at_us)

    # ---------------------------------------------------------------- the rules

    def _take_quota(self, spec: JobSpec, name: str, at_us: int) -> None:
        use, team = self._use[spec.team], self._teams.get(spec.team)
        use.cpus, use.gpus = use.cpus + spec.cpus, use.gpus + spec.gpus
        if team is None:
            self._break(QUOTA, at_us, f"{name}: no such team as {spec.team}")
            return
        for kind, used, limit in (("CPUs", use.cpus, team.cpus_max), ("GPUs", use.gpus, team.gpus_max)):
            if limit and used > limit + _ROUNDING:
                self._break(QUOTA, at_us, f"{name}: {spec.team} uses {used:g} {kind} of {limit:g}")

    def _told_done(self, event: events.DoneTold) -> None:
        spec, done = self._jobs.spec(event.job), self._done[event.job]
        if len(done) < spec.tasks:
            self._break(NOT_DONE, event.at_us, f"{event.job} is told done with {len(done)} of {spec.tasks} done")

    def left_waiting(self, job: str) -> None:
        """The job waited for long beside room for it, with all troubles over (`waiting`)."""
        self._break(LEFT_WAITING, self._until_us, f"{job} waits while a machine has room for it")

    def placed_nothing(self, jobs: list[str]) -> None:
        """With all troubles over nothing was started for a while, and these waited beside room."""
        self._break(PLACED_NOTHING, self._until_us, f"nothing is started while there is room for {', '.join(jobs)}")

    def _wrong_place(self, spec: JobSpec, machine: events.MachineUp) -> str:
        if not allowed_on(spec, machine.type, machine.zone, machine.spot):
            return f"a {machine.type} {'spot' if machine.spot else 'ordinary'} machine in {machine.zone}"
        zones = self._zones[spec.id]
        if spec.one_zone and any(count for zone, count in zones.items() if zone != machine.zone):
            return f"in {machine.zone}, others of its one zone are elsewhere"
        if spec.spread and zones[machine.zone] + 1 > -(-spec.tasks // 2):
            return f"more than half of its job in {machine.zone}"
        return ""

    def _check_cancelled(self, job: str, index: int, machine: str, at_us: int) -> None:
        told_us = self._cancelled_us.get(job)
        if told_us is not None and at_us > told_us + self._cancel_us:
            late_s = (at_us - told_us) / 1e6
            self._break(RAN_CANCELLED, at_us, f"{job}/{index} on {machine} {late_s:.1f} s after its cancellation")

    def _break(self, rule: str, at_us: int, what: str) -> None:
        self.verdict.counts[rule] += 1
        if len(self.verdict.broken) < TOLD:
            self.verdict.broken.append(Broken(rule, at_us, what))
