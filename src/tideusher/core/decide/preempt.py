"""Chooses the tasks to preempt for a request.

The design: unprotected work is preempted for a team whose ratio is lower by the margin; work without a minimum
runtime is free, any funded request may preempt it. The protocol bounds this: a preemption needs a higher rank, or a
team claiming its guarantee from another that runs beyond its own. Both must agree. As few tasks as possible stop, and
a gang stops entirely or not at all.
"""

from collections.abc import Callable, Iterable, Sequence, Set
from dataclasses import dataclass
from zlib import crc32

from tideusher.config import Policy
from tideusher.core.decide.placement import slots_in
from tideusher.core.model.records import COMMITTING, Job, Machine, Task


@dataclass(frozen=True)
class TeamStanding:
    """The state of a team that the preemption rules depend on."""

    ratio: float
    within_guarantee: bool  # by its current use, plus the request if it is the requesting team


def protected_until_us(task: Task, min_run_us: int, stagger: float) -> int:
    """Returns when the task's protection ends.

    Protection windows that began in one burst would expire together and allow one wave of preemptions, so each job's
    window is lengthened by its own fixed fraction of up to `stagger`.
    """
    if not min_run_us:
        return 0
    begin_us = task.running_us if task.running_us is not None else task.placed_us
    stretch = crc32(task.job.spec.id.encode()) % 1000 / 1000 * stagger
    return begin_us + round(min_run_us * (1 + stretch))


class PreemptibleTasks:
    """Caches which tasks may be preempted for which request, until a task is stopped.

    Every waiting request is checked against every running job. What does not depend on the request is computed once,
    and requests of the same team state and rank share a result: computed for each request, it was most of the cost
    of a pass with many waiting.
    """

    def __init__(
        self,
        jobs: Iterable[Job],
        team_state: Callable[[str], TeamStanding],
        min_run_us: Callable[[Job], int],
        policy: Policy,
        now_us: int,
    ) -> None:
        self._jobs, self._team_state, self._min_run_us = jobs, team_state, min_run_us
        self._policy, self._now_us = policy, now_us
        self.changed()

    def changed(self) -> None:
        """Discard all results because a task was stopped."""
        self._unprotected_jobs: list[tuple[Job, bool, list[Task]]] | None = None
        self._team_states: dict[str, TeamStanding] = {}
        self._cache: dict[tuple[str, int, TeamStanding], set[Task]] = {}
        self._victim_sets: dict[tuple[int, ...], set[Task]] = {}  # by job numbers; shared between team states

    def of(self, request: Job, requesting: TeamStanding) -> set[Task]:
        """Returns the tasks that may be preempted for a request, given its team's state; of a gang all or none."""
        if not self._min_run_us(request):
            return set()  # only funded requests preempt anything
        key = (request.spec.team, request.spec.rank, requesting)
        if key not in self._cache:
            rows = self._unprotected()
            claimed = tuple(
                number
                for number, (job, no_protection, _) in enumerate(rows)
                if self._may_claim(request, requesting, job, no_protection)
            )
            if claimed not in self._victim_sets:
                self._victim_sets[claimed] = {task for number in claimed for task in rows[number][2]}
            self._cache[key] = self._victim_sets[claimed]
        # A job is never preempted for itself, nor for another of its team and rank.
        return self._cache[key]

    def _unprotected(self) -> list[tuple[Job, bool, list[Task]]]:
        """Returns (job, whether it has no protected time, tasks past their protected time)."""
        if self._unprotected_jobs is None:
            self._unprotected_jobs = []
            for job in self._jobs:
                minimum_us = self._min_run_us(job) if job.live else 0
                tasks = [
                    task
                    for task in job.live.values()
                    if task.halt_grace_s is None
                    and task.phase != COMMITTING
                    and protected_until_us(task, minimum_us, self._policy.preempt__stagger) <= self._now_us
                ]
                if tasks and (not job.is_gang or len(tasks) == len(job.live)):
                    self._unprotected_jobs.append((job, not minimum_us, tasks))
        return self._unprotected_jobs

    def _may_claim(self, request: Job, requesting: TeamStanding, job: Job, no_protection: bool) -> bool:
        """True if the design's rule and the protocol's bounds both allow preempting this job."""
        team = job.spec.team
        holder = self._team_states.get(team)
        if holder is None:
            holder = self._team_states[team] = self._team_state(team)
        higher = request.spec.rank < job.spec.rank
        claims = request.spec.team != team and requesting.within_guarantee and not holder.within_guarantee
        if not (higher or claims):
            return False
        return no_protection or requesting.ratio + self._policy.margin <= holder.ratio


def capacity_after_stops(machines: Sequence[Machine]) -> dict[str, list[float]]:
    """Returns, for machines with tasks being stopped, the free capacity once those are gone."""
    free_by_machine = {}
    for machine in machines:
        halted = [task.job.spec for task in machine.tasks.values() if task.halt_grace_s is not None]
        if halted:
            free_by_machine[machine.name] = [
                machine.free_cpus + sum(spec.cpus for spec in halted),
                machine.free_gpus + sum(spec.gpus for spec in halted),
                machine.free_ram_gb + sum(spec.ram_gb for spec in halted),
            ]
    return free_by_machine


@dataclass(frozen=True, slots=True)
class Offer:
    """The tasks that would have to stop for a request to fit on a machine."""

    machine: Machine
    tasks: list[Task]
    lost_us: int


class Offers:
    """Caches the offers of all machines, the fewest stops first, until a task is stopped.

    The cost of a machine depends on the demand of one task and on what may be preempted for it, which many waiting
    requests have in common; computed for each request, it was four fifths of a pass.
    """

    def __init__(self, lost_us: Callable[[Task], int]) -> None:
        self.lost_us = lost_us
        self._cache: dict[tuple[int, float, float, float], tuple[Set[Task], list[Offer]]] = {}

    def changed(self) -> None:
        """Discard all offers because a task was stopped."""
        self._cache = {}

    def of(self, request: Job, victims: Set[Task]) -> list[Offer]:
        """Returns the offers to a request for which these tasks may be preempted."""
        spec = request.spec
        key = (id(victims), spec.cpus, spec.gpus, spec.ram_gb)
        cached = self._cache.get(key)
        if cached is None:  # the set is kept with its offers, or another one might get the same id
            cached = self._cache[key] = victims, self._find_offers(request, victims)
        return cached[1]

    def _find_offers(self, request: Job, victims: Set[Task]) -> list[Offer]:
        found = []
        for machine in {task.machine for task in victims}:
            tasks = _on_machine(request, machine, victims, self.lost_us)
            if tasks is not None:
                found.append(Offer(machine, tasks, sum(map(self.lost_us, tasks))))
        found.sort(key=lambda offer: (len(offer.tasks), offer.lost_us, offer.machine.name))
        return found


def choose_victims(
    request: Job,
    count: int,
    machines: Sequence[Machine],
    freeing: dict[str, list[float]],
    victims: Set[Task],
    offers: Offers,
) -> tuple[list[Machine], list[Task]]:
    """Returns the machines where `count` tasks of the request will fit, and the fewest `victims` to stop for that.

    A gang gets capacity for all its tasks or nothing is stopped; with one_zone all in one zone, the one with the
    fewest stops. Capacity that earlier stops will free (`freeing`) is used first and removed from it, so that one
    stop is not counted for two requests.
    """
    if not request.spec.one_zone:
        return _choose_among(request, count, machines, freeing, victims, offers)
    options = []
    for zone in sorted({machine.zone for machine in machines}):
        if any(task.machine.zone != zone for task in request.live.values()):
            continue
        trial = {name: list(free) for name, free in freeing.items()}
        pool = [machine for machine in machines if machine.zone == zone]
        chosen, stopped = _choose_among(request, count, pool, trial, victims, offers)
        if chosen:
            options.append((len(stopped), sum(map(offers.lost_us, stopped)), zone, chosen, stopped, trial))
    if not options:
        return [], []
    best = min(options, key=lambda option: option[:3])
    freeing.clear()
    freeing.update(best[5])
    return best[3], best[4]


def _choose_among(
    request: Job,
    count: int,
    machines: Sequence[Machine],
    freeing: dict[str, list[float]],
    victims: Set[Task],
    offers: Offers,
) -> tuple[list[Machine], list[Task]]:
    spec = request.spec
    used: dict[str, Machine] = {}
    stopped: dict[Task, None] = {}
    limit = request.zone_limit or spec.tasks
    zones = request.zone_use()
    granted = 0
    gang = request.is_gang

    def grant(machine: Machine) -> None:
        nonlocal granted
        used[machine.name] = machine
        zones[machine.zone] = zones.get(machine.zone, 0) + 1
        granted += 1

    for machine in machines if gang or freeing else ():
        if granted == count:
            break
        free = freeing.get(machine.name)
        if free is None and gang and machine.fits(spec):
            free = [machine.free_cpus, machine.free_gpus, machine.free_ram_gb]
        if free is None or not machine.allows(spec):
            continue
        while granted < count and slots_in(free[0], free[1], free[2], spec) and zones.get(machine.zone, 0) < limit:
            free[0] -= spec.cpus
            free[1] -= spec.gpus
            free[2] -= spec.ram_gb
            grant(machine)
    if granted < count and victims:
        pool = set(machines)
        for offer in offers.of(request, victims):
            if granted == count:
                break
            machine = offer.machine
            if machine not in pool or machine.name in used or machine.name in freeing or not machine.allows(spec):
                continue
            if zones.get(machine.zone, 0) < limit:
                stopped.update(dict.fromkeys(offer.tasks))
                grant(machine)
    if granted < count and gang:
        return [], []
    return list(used.values()), list(stopped)


def _on_machine(
    request: Job, machine: Machine, victims: Set[Task], lost_us: Callable[[Task], int]
) -> list[Task] | None:
    cpus, gpus, ram = machine.free_cpus, machine.free_gpus, machine.free_ram_gb
    stopped: list[Task] = []
    candidates = sorted(
        (task for task in machine.tasks.values() if task in victims),
        key=lambda task: (-task.job.spec.gpus, -task.job.spec.cpus, lost_us(task), task.name),
    )
    for task in candidates:
        if slots_in(cpus, gpus, ram, request.spec):
            break
        group = list(task.job.live.values()) if task.job.is_gang else [task]
        for member in group:
            if member not in stopped:
                stopped.append(member)
                if member.machine is machine:
                    cpus += member.job.spec.cpus
                    gpus += member.job.spec.gpus
                    ram += member.job.spec.ram_gb
    if not stopped or not slots_in(cpus, gpus, ram, request.spec):
        return None
    return stopped
