"""Where tasks go: machines are hashed into parts, and a job goes to the roomiest part.

Inside a part a task goes to the machine that has its image, then to the cheaper kind, then to the
one that it fills best, so that other machines run empty and can be returned.
"""

import heapq
import itertools
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from zlib import crc32

from tideusher.core.model.records import Job, Machine
from tideusher.wire.jobs import JobSpec


def part_of(machine: str, parts: int) -> int:
    """The part that a machine is hashed into; the same on every node and for the machine's life."""
    return crc32(machine.encode()) % parts


@dataclass(frozen=True, slots=True)
class Demand:
    """The least that any of some requests asks for: room that does not hold this holds none of them.

    Most machines of a busy fleet are full; a pass that looks at each of them for each job in the
    queue grows with the square of the deployment.
    """

    cpus: float
    gpus: float
    ram: float

    @classmethod
    def least_of(cls, specs: Iterable[JobSpec]) -> "Demand":
        """Of each resource the least that one task of any of the requests takes."""
        asked = [(spec.cpus, spec.gpus, spec.ram_gb) for spec in specs]
        return cls(*map(min, zip(*asked, strict=True))) if asked else cls(0.0, 0.0, 0.0)

    def fits(self, cpus: float, gpus: float, ram: float) -> bool:
        """Could one of them have its place in this room?"""
        return cpus + 1e-9 >= self.cpus and gpus + 1e-9 >= self.gpus and ram + 1e-9 >= self.ram


class FreeCapacity:
    """The machines that a pass may place on, with room tentatively taken during the pass."""

    def __init__(self, machines: Sequence[Machine], parts: int) -> None:
        self._parts: list[list[Machine]] = [[] for _ in range(parts)]
        for machine in machines:
            self._parts[part_of(machine.name, parts)].append(machine)
        self._all = list(machines)

    def place(
        self,
        job: Job,
        count: int,
        all_or_none: bool,
        usable: Callable[[Machine], bool],
        spread_limit: int | None,
    ) -> list[Machine]:
        """A machine for each of up to `count` tasks; with all_or_none the full count or nothing.

        The roomiest part is tried first; what no single part holds may span parts.
        """
        spec = job.spec
        allowed = [[m for m in part if m.fits(spec) and m.allows(spec) and usable(m)] for part in self._parts]
        ranked = sorted(allowed, key=lambda part: -sum(slots(machine, job) for machine in part))
        zones_taken = job.zone_use()
        if all_or_none or job.spec.one_zone:
            for pool in [*ranked, [machine for part in ranked for machine in part]]:
                chosen = self._choose(job, count, pool, dict(zones_taken), spread_limit)
                if len(chosen) == count:
                    return chosen
            if all_or_none:
                return []
            return self._choose(job, count, [m for part in ranked for m in part], zones_taken, spread_limit)
        chosen = []
        for part in ranked:
            chosen += self._choose(job, count - len(chosen), part, zones_taken, spread_limit)
            if len(chosen) == count:
                break
        return chosen

    def _choose(
        self, job: Job, count: int, pool: list[Machine], zones_taken: dict[str, int], spread_limit: int | None
    ) -> list[Machine]:
        if not job.spec.one_zone:
            return _fill(job, count, pool, zones_taken, spread_limit)
        zones = list(zones_taken) or sorted({machine.zone for machine in pool})
        if len(zones_taken) > 1:
            return []  # an old attempt sits in two zones: wait until it is gone
        best: list[Machine] = []
        for zone in zones:
            chosen = _fill(job, count, [m for m in pool if m.zone == zone], {}, None)
            if len(chosen) > len(best):
                best = chosen
        return best


class PlacementCache:
    """The machines of a pass in the order in which tasks of one shape are placed on them, kept up to date.

    `Room.place` looks at every machine for every job: with 125 machines that was two thirds of an embedded
    instance's time. This gives the same machines for the plain case (any zone, no gang, the image everywhere,
    nothing held or reserved) while only the pass itself changes what is free; `place` says None for the rest.
    """

    def __init__(self, machines: Sequence[Machine], parts: int) -> None:
        self._machines = [(part_of(machine.name, parts), machine) for machine in machines]
        self._parts = parts
        self._of = {machine.name: part for part, machine in self._machines}
        self._shapes: dict[tuple[object, ...], _Shape | None] = {}
        self._changed: list[Machine] = []

    def place(self, job: Job, count: int) -> list[Machine] | None:
        """A machine for each of up to `count` tasks; None if the job's case is not plain."""
        spec = job.spec
        if job.is_gang or spec.one_zone or spec.spread or job.error_machines or not (spec.cpus > 0 or spec.gpus > 0):
            return None
        key = (spec.cpus, spec.gpus, spec.ram_gb, spec.image, spec.zone, spec.spot, *(spec.types or ()))
        if key not in self._shapes:
            self._shapes[key] = self._build(spec)
        shape = self._shapes[key]
        if shape is None:
            return None
        shape.catch_up(self._changed, self._of)
        return shape.take(count)

    def changed(self, machines: Iterable[Machine]) -> None:
        """Tasks were placed there, by whatever way."""
        self._changed += machines

    def _build(self, spec: JobSpec) -> "_Shape | None":
        allowed = [(part, machine) for part, machine in self._machines if machine.allows(spec)]
        if any(spec.image not in machine.images for _, machine in allowed):
            return None
        return _Shape(spec, allowed, self._parts, len(self._changed))


class _Shape:
    """One shape of task: per part, how many more fit, and the machines, the next one first."""

    def __init__(self, spec: JobSpec, machines: Iterable[tuple[int, Machine]], parts: int, seen: int) -> None:
        self._spec, self._seen = spec, seen
        self._room: dict[str, int] = {}
        self._sums = [0] * parts
        self._numbers = itertools.count()  # two entries of one machine may have the same order
        self._heaps: list[list[tuple[tuple[object, ...], int, Machine]]] = [[] for _ in range(parts)]
        for part, machine in machines:
            self._room[machine.name] = 0
            self._put(part, machine)

    def _put(self, part: int, machine: Machine) -> None:
        """Enter a machine anew, as it is now; older entries are passed over when they come up."""
        count = slots_in(machine.free_cpus, machine.free_gpus, machine.free_ram_gb, self._spec)
        self._sums[part] += count - self._room[machine.name]
        self._room[machine.name] = count
        if count:
            heapq.heappush(self._heaps[part], (self._order(machine), next(self._numbers), machine))

    @staticmethod
    def _order(machine: Machine) -> tuple[object, ...]:
        """As `_fill` orders those that have the image."""
        return (
            machine.slow,
            not machine.spot,
            machine.free_gpus,
            machine.free_cpus,
            machine.last_contact_us,
            machine.name,
        )

    def catch_up(self, changed: list[Machine], part_of_name: dict[str, int]) -> None:
        """Look again at machines on which something was placed since the last time."""
        for machine in {machine.name: machine for machine in changed[self._seen :]}.values():
            if machine.name in self._room:
                self._put(part_of_name[machine.name], machine)
        self._seen = len(changed)

    def take(self, count: int) -> list[Machine]:
        """The next machines, the roomiest part first, each as often as it has room."""
        chosen: list[Machine] = []
        for part in sorted(range(len(self._sums)), key=lambda part: -self._sums[part]):
            heap, used = self._heaps[part], []
            while heap and len(chosen) < count:
                order, _, machine = heapq.heappop(heap)
                if order != self._order(machine) or not self._room[machine.name] or machine in used:
                    continue  # an older entry
                used.append(machine)
                chosen += [machine] * min(self._room[machine.name], count - len(chosen))
            for machine in used:  # the caller may place fewer, or elsewhere: what it does comes with catch_up
                heapq.heappush(heap, (self._order(machine), next(self._numbers), machine))
            if len(chosen) == count:
                break
        return chosen


def slots(machine: Machine, job: Job) -> int:
    """How many tasks of the job the machine's free room holds."""
    return slots_in(machine.free_cpus, machine.free_gpus, machine.free_ram_gb, job.spec)


def slots_in(cpus: float, gpus: float, ram: float, spec: JobSpec) -> int:
    """How many tasks of the job fit in the given room."""
    # Asked of each machine for each job, hence without lists: what is not asked for does not limit.
    least = None
    if spec.gpus > 0:
        least = int((gpus + 1e-9) / spec.gpus)
        if least <= 0:
            return 0
    if spec.cpus > 0:
        count = int((cpus + 1e-9) / spec.cpus)
        least = count if least is None or count < least else least
    if spec.ram_gb > 0:
        count = int((ram + 1e-9) / spec.ram_gb)
        least = count if least is None or count < least else least
    return spec.tasks if least is None else max(0, least)


BLOCKED = 3


def _fetch_rank(machine: Machine, image: str) -> int:
    """0: the image is there; 1: it is on its way; 2: nothing is; BLOCKED: another is.

    Two images fetched at once share the rate: the second would be no sooner than if it waited, and
    the first would be late. So a machine fetches one image at a time.
    """
    if image in machine.images:
        return 0
    fetching = {task.job.spec.image for task in machine.tasks.values() if task.job.spec.image not in machine.images}
    if image in fetching:
        return 1
    return BLOCKED if fetching else 2


def _fill(
    job: Job, count: int, pool: list[Machine], zones_taken: dict[str, int], spread_limit: int | None
) -> list[Machine]:
    failed = job.error_machines or ()
    room = {machine.name: slots(machine, job) for machine in pool}
    ranked = [(m, _fetch_rank(m, job.spec.image)) for m in pool if room[m.name]]
    order = sorted(
        (pair for pair in ranked if pair[1] != BLOCKED),
        key=lambda pair: (
            pair[0].name in failed,
            pair[0].slow,
            pair[1],
            not pair[0].spot,
            pair[0].free_gpus,
            pair[0].free_cpus,
            pair[0].last_contact_us,  # who reported longest ago asks soonest, and starts with the answer
            pair[0].name,
        ),
    )
    chosen: list[Machine] = []
    for machine, _ in order:
        while len(chosen) < count and room[machine.name]:
            if spread_limit is not None and zones_taken.get(machine.zone, 0) >= spread_limit:
                break
            zones_taken[machine.zone] = zones_taken.get(machine.zone, 0) + 1
            room[machine.name] -= 1
            chosen.append(machine)
        if len(chosen) == count:
            break
    return chosen
