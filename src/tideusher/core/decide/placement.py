"""Chooses machines for tasks: machines are hashed into partitions, and a job goes to the one with the most capacity.

Inside a partition a task goes to a machine that has its image, then to the cheaper kind, then to the one that it
fills best, so that other machines become empty and can be returned.
"""

import heapq
import itertools
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from zlib import crc32

from tideusher.core.model.records import Job, Machine
from tideusher.wire.jobs import JobSpec


def part_of(machine: str, parts: int) -> int:
    """Returns the partition of a machine; the same on every node and for the machine's lifetime."""
    return crc32(machine.encode()) % parts


@dataclass(frozen=True, slots=True)
class Demand:
    """The minimum demand of a set of requests: capacity smaller than this fits none of them.

    Most machines of a busy fleet are full; a pass that checks each of them for each job in the queue grows with the
    square of the deployment.
    """

    cpus: float
    gpus: float
    ram: float

    @classmethod
    def least_of(cls, specs: Iterable[JobSpec]) -> "Demand":
        """Returns, for each resource, the minimum that one task of any of the requests takes."""
        asked = [(spec.cpus, spec.gpus, spec.ram_gb) for spec in specs]
        return cls(*map(min, zip(*asked, strict=True))) if asked else cls(0.0, 0.0, 0.0)

    def fits(self, cpus: float, gpus: float, ram: float) -> bool:
        """True if one of the requests could fit in this capacity."""
        return cpus + 1e-9 >= self.cpus and gpus + 1e-9 >= self.gpus and ram + 1e-9 >= self.ram


class FreeCapacity:
    """The machines that a pass may place tasks on, by partition; what the pass takes of them is tentative."""

    def __init__(self, machines: Sequence[Machine], parts: int) -> None:
        self._partitions: list[list[Machine]] = [[] for _ in range(parts)]
        for machine in machines:
            self._partitions[part_of(machine.name, parts)].append(machine)
        self._all = list(machines)

    def place(
        self,
        job: Job,
        count: int,
        all_or_none: bool,
        obstacle: Callable[[Machine], object | None],
        spread_limit: int | None,
    ) -> list[Machine]:
        """Returns a machine for each of up to `count` tasks; with all_or_none the full count or nothing.

        `obstacle` tells why the job may not be placed on a machine that it allows and fits on; None if it may. The
        partition with the most capacity is tried first; what fits in no single partition may span several.
        """
        spec = job.spec
        allowed = [
            [m for m in partition if m.fits(spec) and m.allows(spec) and obstacle(m) is None]
            for partition in self._partitions
        ]
        ranked = sorted(allowed, key=lambda partition: -sum(slots(machine, job) for machine in partition))
        zones_taken = job.zone_use()
        if all_or_none or job.spec.one_zone:
            for pool in [*ranked, [machine for partition in ranked for machine in partition]]:
                chosen = self._choose(job, count, pool, dict(zones_taken), spread_limit)
                if len(chosen) == count:
                    return chosen
            if all_or_none:
                return []
            return self._choose(job, count, [m for partition in ranked for m in partition], zones_taken, spread_limit)
        chosen = []
        for partition in ranked:
            chosen += self._choose(job, count - len(chosen), partition, zones_taken, spread_limit)
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
            return []  # an earlier attempt still runs in two zones: wait until it is gone
        best: list[Machine] = []
        for zone in zones:
            chosen = _fill(job, count, [m for m in pool if m.zone == zone], {}, None)
            if len(chosen) > len(best):
                best = chosen
        return best


class PlacementCache:
    """The machines of a pass in the order in which tasks of one shape are placed on them, kept up to date.

    `FreeCapacity.place` checks every machine for every job: with 125 machines that was two thirds of an embedded
    instance's time. This class chooses the same machines in the simple case (any zone, no gang, the image on every
    machine, nothing held or reserved) while only the pass itself changes free capacity; otherwise `place` returns
    None.
    """

    def __init__(self, machines: Sequence[Machine], parts: int) -> None:
        self._machines = [(part_of(machine.name, parts), machine) for machine in machines]
        self._partitions = parts
        self._partition_of = {machine.name: partition for partition, machine in self._machines}
        self._shapes: dict[tuple[object, ...], _Shape | None] = {}
        self._changed: list[Machine] = []

    def place(self, job: Job, count: int) -> list[Machine] | None:
        """Returns a machine for each of up to `count` tasks; None if the case is not simple."""
        spec = job.spec
        if job.is_gang or spec.one_zone or spec.spread or job.error_machines or not (spec.cpus > 0 or spec.gpus > 0):
            return None
        key = (spec.cpus, spec.gpus, spec.ram_gb, spec.image, spec.zone, spec.spot, *(spec.types or ()))
        if key not in self._shapes:
            self._shapes[key] = self._build(spec)
        shape = self._shapes[key]
        if shape is None:
            return None
        shape.catch_up(self._changed, self._partition_of)
        return shape.take(count)

    def changed(self, machines: Iterable[Machine]) -> None:
        """Record that tasks were placed on these machines, whether through this cache or not."""
        self._changed += machines

    def _build(self, spec: JobSpec) -> "_Shape | None":
        allowed = [(partition, machine) for partition, machine in self._machines if machine.allows(spec)]
        if any(spec.image not in machine.images for _, machine in allowed):
            return None
        return _Shape(spec, allowed, self._partitions, len(self._changed))


class _Shape:
    """One shape of task: per partition, how many more fit, and a heap of machines, the next one first."""

    def __init__(self, spec: JobSpec, machines: Iterable[tuple[int, Machine]], parts: int, changes_seen: int) -> None:
        self._spec, self._changes_seen = spec, changes_seen
        self._slots: dict[str, int] = {}
        self._slot_sums = [0] * parts
        self._sequence = itertools.count()  # breaks ties between two entries of one machine
        self._heaps: list[list[tuple[tuple[object, ...], int, Machine]]] = [[] for _ in range(parts)]
        for partition, machine in machines:
            self._slots[machine.name] = 0
            self._push(partition, machine)

    def _push(self, partition: int, machine: Machine) -> None:
        """Push a machine with its current state; older entries are skipped when popped."""
        count = slots_in(machine.free_cpus, machine.free_gpus, machine.free_ram_gb, self._spec)
        self._slot_sums[partition] += count - self._slots[machine.name]
        self._slots[machine.name] = count
        if count:
            heapq.heappush(self._heaps[partition], (self._order(machine), next(self._sequence), machine))

    @staticmethod
    def _order(machine: Machine) -> tuple[object, ...]:
        """Returns the sort key that `_fill` uses for machines that have the image."""
        return (
            machine.slow,
            not machine.spot,
            machine.free_gpus,
            machine.free_cpus,
            machine.last_contact_us,
            machine.name,
        )

    def catch_up(self, changed: list[Machine], partition_of: dict[str, int]) -> None:
        """Update the machines on which tasks were placed since the last call."""
        for machine in {machine.name: machine for machine in changed[self._changes_seen :]}.values():
            if machine.name in self._slots:
                self._push(partition_of[machine.name], machine)
        self._changes_seen = len(changed)

    def take(self, count: int) -> list[Machine]:
        """Returns the next machines, the partition with the most capacity first, each once per free slot."""
        chosen: list[Machine] = []
        for partition in sorted(range(len(self._slot_sums)), key=lambda partition: -self._slot_sums[partition]):
            heap, used = self._heaps[partition], []
            while heap and len(chosen) < count:
                order, _, machine = heapq.heappop(heap)
                if order != self._order(machine) or not self._slots[machine.name] or machine in used:
                    continue  # an outdated entry
                used.append(machine)
                chosen += [machine] * min(self._slots[machine.name], count - len(chosen))
            for machine in used:  # the caller may place fewer tasks, or elsewhere; catch_up applies what it did
                heapq.heappush(heap, (self._order(machine), next(self._sequence), machine))
            if len(chosen) == count:
                break
        return chosen


def slots(machine: Machine, job: Job) -> int:
    """Returns how many tasks of the job fit in the machine's free capacity."""
    return slots_in(machine.free_cpus, machine.free_gpus, machine.free_ram_gb, job.spec)


def slots_in(cpus: float, gpus: float, ram: float, spec: JobSpec) -> int:
    """Returns how many tasks of the job fit in the given capacity."""
    # Called for each machine and job, hence without lists. A resource that is not demanded does not limit.
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
    """Returns 0 if the image is present, 1 if it is being fetched, 2 if no fetch runs, BLOCKED if another one runs.

    Two images fetched at once share the bandwidth: the second would arrive no sooner than if it waited, and the first
    would be late. So a machine fetches one image at a time.
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
    free_slots = {machine.name: slots(machine, job) for machine in pool}
    ranked = [(m, _fetch_rank(m, job.spec.image)) for m in pool if free_slots[m.name]]
    order = sorted(
        (pair for pair in ranked if pair[1] != BLOCKED),
        key=lambda pair: (
            pair[0].name in failed,
            pair[0].slow,
            pair[1],
            not pair[0].spot,
            pair[0].free_gpus,
            pair[0].free_cpus,
            pair[0].last_contact_us,  # the longest without a report reports next, and starts with the answer
            pair[0].name,
        ),
    )
    chosen: list[Machine] = []
    for machine, _ in order:
        while len(chosen) < count and free_slots[machine.name]:
            if spread_limit is not None and zones_taken.get(machine.zone, 0) >= spread_limit:
                break
            zones_taken[machine.zone] = zones_taken.get(machine.zone, 0) + 1
            free_slots[machine.name] -= 1
            chosen.append(machine)
        if len(chosen) == count:
            break
    return chosen
