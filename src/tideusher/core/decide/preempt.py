"""Which tasks are stopped to make room for a request.

The design: unprotected work is stopped for a team whose ratio is lower by the margin; zero-runtime
work is free, any funded request may stop it. The protocol bounds this: a stop needs a higher rank, or
a team claiming its guarantee from another that runs beyond its own. Both must agree. The fewest tasks
stop, and a gang stops whole.
"""

from collections.abc import Callable, Iterable, Sequence, Set
from dataclasses import dataclass
from zlib import crc32

from tideusher.config import Policy
from tideusher.core.decide.placement import slots_in
from tideusher.core.model.records import COMMITTING, Job, Machine, Task


@dataclass(frozen=True)
class TeamStanding:
    """What the rules need to know of a team at this moment."""

    ratio: float
    within_guarantee: bool  # its present use, the request included where it is the asking team


def protected_until_us(task: Task, min_run_us: int, stagger: float) -> int:
    """When the task's protection ends.

    Windows that began in one burst would expire together and release one wave of stops, so each
    job's window is stretched by its own fixed share of up to `stagger`.
    """
    if not min_run_us:
        return 0
    begin_us = task.running_us if task.running_us is not None else task.placed_us
    stretch = crc32(task.job.spec.id.encode()) % 1000 / 1000 * stagger
    return begin_us + round(min_run_us * (1 + stretch))


class PreemptibleTasks:
    """Which tasks may be stopped for which request, as long as nothing is stopped.

    Every waiting request asks this of every job that runs. What does not depend on the request is judged
    once, and requests of the same standing and rank share an answer: judged anew for each, it was most of
    what a pass cost when many waited.
    """

    def __init__(
        self,
        jobs: Iterable[Job],
        standing: Callable[[str], TeamStanding],
        min_run_us: Callable[[Job], int],
        policy: Policy,
        now_us: int,
    ) -> None:
        self._jobs, self._standing, self._min_run_us = jobs, standing, min_run_us
        self._policy, self._now_us = policy, now_us
        self.changed()

    def changed(self) -> None:
        """Something was stopped: all is judged anew."""
        self._open: list[tuple[Job, bool, list[Task]]] | None = None
        self._holding: dict[str, TeamStanding] = {}
        self._known: dict[tuple[str, int, TeamStanding], set[Task]] = {}
        self._sets: dict[tuple[int, ...], set[Task]] = {}  # by the jobs: others who stand differently may share it

    def of(self, request: Job, asking: TeamStanding) -> set[Task]:
        """Every task that may be stopped for the request of a team that stands so; of a gang all or none."""
        if not self._min_run_us(request):
            return set()  # only funded requests stop anything
        key = (request.spec.team, request.spec.rank, asking)
        if key not in self._known:
            rows = self._unprotected()
            claimed = tuple(
                number for number, (job, free, _) in enumerate(rows) if self._may_claim(request, asking, job, free)
            )
            if claimed not in self._sets:
                self._sets[claimed] = {task for number in claimed for task in rows[number][2]}
            self._known[key] = self._sets[claimed]
        # A job never makes way for itself, nor for another of its team and rank.
        return self._known[key]

    def _unprotected(self) -> list[tuple[Job, bool, list[Task]]]:
        """Jobs with tasks past their protected time, and whether they never had any."""
        if self._open is None:
            self._open = []
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
                    self._open.append((job, not minimum_us, tasks))
        return self._open

    def _may_claim(self, request: Job, asking: TeamStanding, job: Job, free: bool) -> bool:
        """Do the design's rule and the protocol's bounds allow stopping this job?"""
        team = job.spec.team
        holding = self._holding.get(team)
        if holding is None:
            holding = self._holding[team] = self._standing(team)
        higher = request.spec.rank < job.spec.rank
        claims = request.spec.team != team and asking.within_guarantee and not holding.within_guarantee
        if not (higher or claims):
            return False
        return free or asking.ratio + self._policy.margin <= holding.ratio


def capacity_after_stops(machines: Sequence[Machine]) -> dict[str, list[float]]:
    """Per machine with tasks on their way out: the room there will be once they are gone."""
    rooms = {}
    for machine in machines:
        halted = [task.job.spec for task in machine.tasks.values() if task.halt_grace_s is not None]
        if halted:
            rooms[machine.name] = [
                machine.free_cpus + sum(spec.cpus for spec in halted),
                machine.free_gpus + sum(spec.gpus for spec in halted),
                machine.free_ram_gb + sum(spec.ram_gb for spec in halted),
            ]
    return rooms


@dataclass(frozen=True, slots=True)
class Offer:
    """What would have to stop for a request to have a place on a machine."""

    machine: Machine
    tasks: list[Task]
    lost_us: int


class Offers:
    """Offers of all machines, the fewest stops first, as long as nothing is stopped.

    What a machine would cost hangs on what a task of the request takes and on what may be stopped for it,
    which many waiting requests have in common; looked at for each, it was four fifths of a pass.
    """

    def __init__(self, lost_us: Callable[[Task], int]) -> None:
        self.lost_us = lost_us
        self._known: dict[tuple[int, float, float, float], tuple[Set[Task], list[Offer]]] = {}

    def changed(self) -> None:
        """Something was stopped: all is looked at anew."""
        self._known = {}

    def of(self, request: Job, victims: Set[Task]) -> list[Offer]:
        """The offers to a request for which these may be stopped."""
        spec = request.spec
        key = (id(victims), spec.cpus, spec.gpus, spec.ram_gb)
        known = self._known.get(key)
        if known is None:  # the victims are kept with the offers, or another set might get their id
            known = self._known[key] = victims, self._look(request, victims)
        return known[1]

    def _look(self, request: Job, victims: Set[Task]) -> list[Offer]:
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
    coming: dict[str, list[float]],
    victims: Set[Task],
    offers: Offers,
) -> tuple[list[Machine], list[Task]]:
    """Where `count` tasks of the request will fit, and the fewest of `victims` to stop for that.

    A gang gets all of its room or none is made, and with one_zone all of it in one zone: the zone
    that costs the fewest stops. Room that earlier stops will free (`coming`) is used first, and taken
    out of `coming`, so that one stop is not counted for two requests.
    """
    if not request.spec.one_zone:
        return _choose_in(request, count, machines, coming, victims, offers)
    options = []
    for zone in sorted({machine.zone for machine in machines}):
        if any(task.machine.zone != zone for task in request.live.values()):
            continue
        trial = {name: list(room) for name, room in coming.items()}
        pool = [machine for machine in machines if machine.zone == zone]
        chosen, stopped = _choose_in(request, count, pool, trial, victims, offers)
        if chosen:
            options.append((len(stopped), sum(map(offers.lost_us, stopped)), zone, chosen, stopped, trial))
    if not options:
        return [], []
    best = min(options, key=lambda option: option[:3])
    coming.clear()
    coming.update(best[5])
    return best[3], best[4]


def _choose_in(
    request: Job,
    count: int,
    machines: Sequence[Machine],
    coming: dict[str, list[float]],
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

    for machine in machines if gang or coming else ():
        if granted == count:
            break
        room = coming.get(machine.name)
        if room is None and gang and machine.fits(spec):
            room = [machine.free_cpus, machine.free_gpus, machine.free_ram_gb]
        if room is None or not machine.allows(spec):
            continue
        while granted < count and slots_in(room[0], room[1], room[2], spec) and zones.get(machine.zone, 0) < limit:
            room[0] -= spec.cpus
            room[1] -= spec.gpus
            room[2] -= spec.ram_gb
            grant(machine)
    if granted < count and victims:
        pool = set(machines)
        for offer in offers.of(request, victims):
            if granted == count:
                break
            machine = offer.machine
            if machine not in pool or machine.name in used or machine.name in coming or not machine.allows(spec):
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
