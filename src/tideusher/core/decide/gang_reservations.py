"""Room that is gathered for gangs which must start whole in one zone.

A large gang never finds its room whole in a busy fleet: machines end their work one by one, and what
is free goes to smaller work or is returned as idle while the next ones boot. So what is free in one
zone is held for the first gang in the queue that wants it there, until the rest has come. Work that
is ahead of the gang in the queue may still take it, and one gang a zone gathers at a time, or several
would hold parts of a zone and none could start.

What is free is not enough where small work is spread over all machines: a few tasks of one CPU keep a gang that
needs whole machines off each of them, and others come as they end. So for the first gang that has waited long,
machines that hold other work, or boot, are held too, those of the zone in which its room is together first; what runs
there ends undisturbed, and only work of a higher rank may still come. One gang of the whole fleet at a time.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from tideusher.clock import to_us
from tideusher.core.decide.placement import slots, slots_in
from tideusher.core.model.records import BOOTING, UP, Job, Machine

#: What a zone offers a job: the kind of machine that it is best rented on, another, or none now.
BEST, OTHER, NONE = 0, 1, 2


@dataclass(frozen=True, slots=True)
class Request:
    """Waiting tasks for which machines may have to be rented; `zone`: only there."""

    job: Job
    count: int
    zone: str | None = None


class GangReservations:
    """Which free machines are held for which gang; decided anew in each pass."""

    def __init__(self) -> None:
        self.held: dict[str, Job] = {}
        self._free = _Free(())
        self._first: tuple[Job, str] | None = None  # the gang for which machines in use are held, and the zone

    def may_use(self, job: Job, machine: Machine, place: dict[str, int]) -> bool:
        """Is the machine free to this job, given the places of jobs in the queue?"""
        holder = self.held.get(machine.name)
        if holder is None or holder is job:
            return True
        if self._first is not None and holder is self._first[0]:
            return job.spec.rank < holder.spec.rank
        return place[job.spec.id] < place.get(holder.spec.id, -1)

    def update(
        self,
        unplaced: Sequence[tuple[Job, int]],
        usable: Sequence[Machine],
        machines: Iterable[Machine],
        offer: Callable[[Job, str], int],
        long_us: Callable[[Job], int] = lambda job: 0,
        now_us: int = 0,
        heard: Callable[[Machine], bool] = lambda machine: True,
    ) -> list[Request]:
        """Hold what is free for gangs in the order of the queue; returns what is missing beyond that.

        `long_us`: for how much longer than is patient a gang has waited; 0: it has not. `heard`: could the machine
        be told to start something now?
        """
        self.held = {}
        if not unplaced:
            self._first = None
            return []
        requests, gathering = [], set()
        machines = list(machines)
        outlook = _Outlook(machines)
        for name in self._hold_in_use(unplaced, [m for m in machines if heard(m)], long_us, now_us):
            assert self._first is not None
            self.held[name] = self._first[0]
            gathering.add(self._first[1])
        self._free = _Free(usable)
        for job, count in unplaced:
            if not (job.is_gang and job.spec.one_zone) or job.live:
                requests.append(Request(job, count))
                continue
            if self._first is not None and job is self._first[0]:
                zone: str | None = self._first[1]
                free = [m for m in usable if self.held.get(m.name) is job and m.fits(job.spec)]
            else:
                zone, free = self._best_zone(job, count, outlook, offer)
            missing = count
            for machine in sorted(free, key=lambda m: (m.free_gpus, m.name)):
                if missing <= 0:
                    break
                missing -= slots(machine, job)
                if zone not in gathering:
                    self.held[machine.name] = job
            if zone is not None:
                gathering.add(zone)
            if missing > 0:
                requests.append(Request(job, missing, zone))
        return requests

    def _hold_in_use(
        self,
        unplaced: Sequence[tuple[Job, int]],
        machines: Sequence[Machine],
        long_us: Callable[[Job], int],
        now_us: int,
    ) -> list[str]:
        """The machines that are held for the gang that has waited too long for the longest time, in use or not."""
        waits = [
            (-long_us(job), job.spec.id, job, count)
            for job, count in unplaced
            if job.is_gang and job.spec.one_zone and not job.live and long_us(job) > 0
        ]
        before, self._first = self._first, None
        for _, _, job, count in sorted(waits, key=lambda one: (before is None or one[2] is not before[0], one[:2])):
            zones: dict[str, list[tuple[int, str, int]]] = {}
            for machine in machines:
                if machine.drain_reason or machine.phase not in (BOOTING, UP) or not machine.allows(job.spec):
                    continue
                room = _once_idle(machine, job)
                if room > 0:  # though stops were made there for another: that is over soon
                    zones.setdefault(machine.zone, []).append((_busy_us(machine, now_us), machine.name, room))
            chosen: dict[str, tuple[int, list[str]]] = {}
            for zone, free in zones.items():
                left, names = count, []
                for busy_us, name, room in sorted(free):
                    names.append(name)
                    left -= room
                    if left <= 0:
                        chosen[zone] = busy_us, names
                        break
            if chosen:
                # The zone that was begun with is gone on with: what ended there for this gang did not end elsewhere.
                begun = before[1] if before is not None and before[0] is job else ""
                zone = begun if begun in chosen else min(chosen, key=lambda one: (chosen[one][0], one))
                self._first = job, zone
                return chosen[zone][1]
        return []

    def _best_zone(
        self, job: Job, count: int, outlook: "_Outlook", offer: Callable[[Job, str], int]
    ) -> tuple[str | None, list[Machine]]:
        """The zone that has most of the room now or soon, of those that can ever hold the whole gang."""
        booting, ever = outlook.of(job)
        free, open_slots = self._free.of(job, self.held)
        near = {zone: booting.get(zone, 0) + open_slots.get(zone, 0) for zone in booting.keys() | open_slots.keys()}
        if not near:
            return None, []  # nothing is there yet: rent wherever it is best

        def rank(zone: str) -> tuple[bool, bool, int, str]:
            offered, held = offer(job, zone), near.get(zone, 0)
            possible = offered < NONE or ever.get(zone, 0) >= count
            return not possible, held < count and offered > BEST, -min(count, held), zone

        best = min(ever.keys() | near.keys(), key=rank)
        return best, free.get(best, [])


def _shape(job: Job) -> tuple[object, ...]:
    spec = job.spec
    return (spec.cpus, spec.gpus, spec.ram_gb, spec.spot, spec.zone, tuple(spec.types or ()))


class _Free:
    """Machines with room for a kind of gang that nobody holds, by zone, and how many of its tasks they take.

    Looked at once for all gangs that ask for the same, until more is held.
    """

    def __init__(self, usable: Sequence[Machine]) -> None:
        self._usable = usable
        self._reserved = {machine.reserved for machine in usable if machine.reserved}
        self._held = 0
        self._known: dict[tuple[object, ...], tuple[dict[str, list[Machine]], dict[str, int]]] = {}

    def of(self, job: Job, held: Mapping[str, Job]) -> tuple[dict[str, list[Machine]], dict[str, int]]:
        """As things are with these machines held."""
        if len(held) != self._held:
            self._held = len(held)
            self._known.clear()
        spec = job.spec
        key = _shape(job) if spec.id not in self._reserved else (spec.id,)
        if key not in self._known:
            free: dict[str, list[Machine]] = {}
            open_slots: dict[str, int] = {}
            for machine in self._usable:
                if (
                    machine.fits(spec)
                    and machine.name not in held
                    and machine.reserved in ("", spec.id)
                    and machine.allows(spec)
                ):
                    free.setdefault(machine.zone, []).append(machine)
                    open_slots[machine.zone] = open_slots.get(machine.zone, 0) + slots(machine, job)
            self._known[key] = free, open_slots
        return self._known[key]


class _Outlook:
    """How much of a kind of gang each zone has booting, and could ever hold.

    The gangs of a class ask for the same, so one look at the fleet serves all of them in a pass.
    """

    def __init__(self, machines: Iterable[Machine]) -> None:
        self._machines = [m for m in machines if not m.drain_reason and m.phase in (BOOTING, UP)]
        self._known: dict[tuple[object, ...], tuple[dict[str, int], dict[str, int]]] = {}

    def of(self, job: Job) -> tuple[dict[str, int], dict[str, int]]:
        """Slots by zone on booting machines, and when all work that ends by itself has ended."""
        spec = job.spec
        key = _shape(job)
        if key not in self._known:
            booting: dict[str, int] = {}
            ever: dict[str, int] = {}
            for machine in self._machines:
                if not machine.allows(spec):
                    continue
                if machine.phase == BOOTING:
                    booting[machine.zone] = booting.get(machine.zone, 0) + slots(machine, job)
                ever[machine.zone] = ever.get(machine.zone, 0) + _once_idle(machine, job)
            self._known[key] = booting, ever
        return self._known[key]


def _busy_us(machine: Machine, now_us: int) -> int:
    """How long until all its work that ends by itself has ended, by what its owners expect."""
    longest = 0
    for task in machine.tasks.values():
        if not task.job.is_service:
            began_us = now_us if task.running_us is None else task.running_us
            longest = max(longest, began_us + to_us(task.job.spec.estimate_s) - now_us)
    return longest


def _once_idle(machine: Machine, job: Job) -> int:
    """How many tasks of the job the machine will hold when all its work that ends by itself has ended."""
    services = [task.job.spec for task in machine.tasks.values() if task.job.is_service]
    if not services:
        return slots_in(machine.cpus, machine.gpus, machine.ram_gb, job.spec)
    return slots_in(
        machine.cpus - sum(spec.cpus for spec in services),
        machine.gpus - sum(spec.gpus for spec in services),
        machine.ram_gb - sum(spec.ram_gb for spec in services),
        job.spec,
    )
