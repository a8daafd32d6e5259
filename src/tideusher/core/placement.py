"""Where tasks go: machines are hashed into parts, and a job goes to the roomiest part.

Inside a part a task goes to the machine that has its image, then to the cheaper kind, then to the
one that it fills best, so that other machines run empty and can be returned.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from zlib import crc32

from tideusher.core.records import Job, Machine
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


class Room:
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


def slots(machine: Machine, job: Job) -> int:
    """How many tasks of the job the machine's free room holds."""
    return slots_in(machine.free_cpus, machine.free_gpus, machine.free_ram, job.spec)


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
            pair[0].reported_us,  # who reported longest ago asks soonest, and starts with the answer
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
