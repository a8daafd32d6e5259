"""How many machines to rent, keep and return."""

import itertools
from bisect import insort
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from math import ceil, sqrt

from tideusher.clock import SECOND_US, to_s, to_us
from tideusher.config import Objective, Policy
from tideusher.core.decide.gang_reservations import BEST, NONE, OTHER, Request
from tideusher.core.decide.placement import Demand, slots_in
from tideusher.core.decide.refusal_cache import RefusalCache, placement_constraints
from tideusher.core.model.arrivals import Arrivals
from tideusher.core.model.records import BOOTING, UP, Job, Machine, allowed_on
from tideusher.wire.cloud import MachineType
from tideusher.wire.jobs import BATCH, SERVICE, JobSpec

#: Beyond so many machines a plan looks no further: a few rentals of 50 go out at a time, and in a flood to plan for
#: all that waits took a tenth of a second in each pass.
MOST_PLANNED = 600
#: For so many boots no ordinary machine is rented for what a team without a guarantee may run on cheap ones.
GUEST_BOOTS = 4
#: The load of the first moments is no rate yet.
OPENING_US = 20 * SECOND_US


@dataclass(frozen=True)
class PlannedRental:
    """A rental that the plan asks for."""

    type: str
    zone: str
    spot: bool
    count: int
    reason: str


@dataclass(slots=True)
class Bin:
    """Room that exists soon: a booting machine, one asked for, or one that the plan would rent."""

    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    ram: float
    reason: str = ""
    soon: bool = False  # room of running work that should end before a new machine would be up

    def allows(self, spec: JobSpec) -> bool:
        """May this job's tasks run here?"""
        return allowed_on(spec, self.type, self.zone, self.spot)


class Bins:
    """Bins in the order in which they are filled: spot first, then the fullest, then as they came.

    Kept sorted while requests take room from them, and without those that hold none of the requests
    any more: sorting a whole fleet anew for each waiting job cost a leader a tenth of its processor.
    """

    def __init__(self, bins: Iterable[Bin], least: Demand) -> None:
        self._least = least
        self._came = itertools.count()
        self._order: list[tuple[bool, float, int, Bin]] = []
        for bin in bins:
            if least.fits(bin.cpus, bin.gpus, bin.ram):
                self._order.append((not bin.spot, bin.gpus, next(self._came), bin))
        self._order.sort(key=_place)

    def fill(self, left: int, usable: Callable[[Bin], bool], take: Callable[[Bin], bool]) -> int:
        """Offer the usable bins, each until `take` refuses it; returns how many found none."""
        touched: list[tuple[bool, float, int, Bin]] = []
        for entry in self._order:
            if not left:
                break
            bin = entry[3]
            if not usable(bin):
                continue
            before = left
            while left and take(bin):
                left -= 1
            if left < before:
                touched.append(entry)
        if touched:
            moved = {entry[2] for entry in touched}
            self._order = [entry for entry in self._order if entry[2] not in moved]
            for spot, _, came, bin in touched:
                self._insert(spot, came, bin)
        return left

    def add(self, bin: Bin) -> None:
        """A bin that is rented; what room it has left may serve later requests."""
        self._insert(not bin.spot, next(self._came), bin)

    def _insert(self, ordinary: bool, came: int, bin: Bin) -> None:
        if self._least.fits(bin.cpus, bin.gpus, bin.ram):
            insort(self._order, (ordinary, bin.gpus, came, bin), key=_place)


def _place(entry: tuple[bool, float, int, Bin]) -> tuple[bool, float, int]:
    return entry[:3]


class Fleet:
    """Remembers refusals; plans from what the cluster holds."""

    def __init__(
        self,
        policy: Policy,
        objectives: Iterable[Objective],
        types: dict[str, MachineType] | None = None,
        arrivals: Arrivals | None = None,
        report_us: int = SECOND_US,
        is_guest: Callable[[str], bool] = lambda team: False,
    ) -> None:
        self._policy = policy
        self._waits = {
            o.job_class: to_us(o.within_s)
            for o in sorted(objectives, key=lambda o: -(o.within_s or 0))
            if o.kind == "wait" and o.job_class and o.within_s
        }
        self.types: dict[str, MachineType] = {} if types is None else types
        self.arrivals = arrivals or Arrivals()
        self._refused: dict[tuple[str, str, bool], tuple[int, int]] = {}
        self.warm: list[tuple[JobSpec, int]] = []
        self._report_us = max(1, report_us)
        self._is_guest = is_guest  # has this team no guarantee?

    # What is remembered

    def refused(self, kind: tuple[str, str, bool], now_us: int) -> None:
        """The cloud has no capacity of this kind: back off, longer each time."""
        _, times = self._refused.get(kind, (0, 0))
        pause = to_us(self._policy.fleet__capacity_backoff_s) * (1 << min(times, 2))
        self._refused[kind] = (now_us + pause, times + 1)

    def refused_before(self, kind: tuple[str, str, bool], until_us: int, times: int) -> None:
        """An earlier leader was refused; the back-off goes on where it was."""
        self._refused.setdefault(kind, (until_us, times))

    def refusals(self, now_us: int) -> list[tuple[tuple[str, str, bool], int, int]]:
        """What is not asked for now: kind, for how long, after how many refusals; the longest first."""
        left = [(kind, until_us - now_us, times) for kind, (until_us, times) in self._refused.items()]
        return sorted((one for one in left if one[1] > 0), key=lambda one: (-one[1], one[0]))

    def granted(self, kind: tuple[str, str, bool]) -> None:
        """The cloud had capacity of this kind."""
        self._refused.pop(kind, None)

    def available(self, kind: tuple[str, str, bool], now_us: int) -> bool:
        """May this kind be asked for now?"""
        return self._refused.get(kind, (0, 0))[0] <= now_us

    def spot_available(self, spec: JobSpec, now_us: int) -> bool:
        """Is there a spot machine to be had that this job may run on?"""
        return any(
            self._to_be_had(kind, spec, zone, True, now_us) for kind in self.types.values() for zone in kind.zones
        )

    def offer(self, spec: JobSpec, zone: str, now_us: int) -> int:
        """What the zone has for the job to be rented: spot if it may use that, ordinary, or nothing now."""
        kinds = [kind for kind in self.types.values() if zone in kind.zones]
        if spec.spot and any(self._to_be_had(kind, spec, zone, True, now_us) for kind in kinds):
            return BEST
        if any(self._to_be_had(kind, spec, zone, False, now_us) for kind in kinds):
            return OTHER if spec.spot else BEST
        return NONE

    def _to_be_had(self, kind: MachineType, spec: JobSpec, zone: str, spot: bool, now_us: int) -> bool:
        return (
            allowed_on(spec, kind.name, zone, spot)
            and slots_in(kind.cpus, kind.gpus, kind.ram_gb, spec) > 0
            and self.available((kind.name, zone, spot), now_us)
        )

    # Warm room

    def refresh_warm(self, now_us: int, used_gpus: float) -> None:
        """Decide how much free room to keep, per class whose aim is faster than boot and fetch.

        Idle machines cost money at all times for starts that come now and then: the whole is held to
        a share of what is in use, the highest priority first.
        """
        budget = used_gpus * self._policy.fleet__warm_share
        self.warm = []
        for spec, count in sorted(self._warm_wanted(now_us), key=lambda want: want[0].rank):
            if spec.gpus:
                count = min(count, int(budget / spec.gpus))
                budget -= count * spec.gpus
            if count:
                self.warm.append((spec, count))

    def _warm_wanted(self, now_us: int) -> list[tuple[JobSpec, int]]:
        wanted = []
        for job_class, within_us in self._waits.items():
            spec = self.arrivals.spec_of(job_class)
            if spec is None or not self.types:
                continue
            usable = [t for t in self.types.values() if spec.types is None or t.name in spec.types]
            if not usable:
                continue
            fastest_us = min(to_us(t.boot_s * 1.2 + spec.image_gb / max(t.fetch_gb_per_s, 1e-6)) for t in usable)
            first_us = self.arrivals.first_us
            if fastest_us < within_us or first_us is None:
                continue
            # What was there at the start says nothing of the rate at which work comes.
            since_us = max(now_us - to_us(self._policy.fleet__warm_window_s), first_us + OPENING_US)
            window_us = now_us - since_us
            if window_us < OPENING_US:
                continue
            sizes = self.arrivals.sizes(job_class, since_us)
            horizon = min(t.boot_s for t in usable) * 1.2 / to_s(window_us)
            mean = sum(sizes) * horizon
            deviation = sqrt(sum(n * n for n in sizes) * horizon)
            count = ceil(mean + self._policy.fleet__warm_quantile * deviation)
            if count:
                wanted.append((spec, count))
        return wanted

    def is_warm(self, job_class: str) -> bool:
        """Does the warm room exist for this class?"""
        return any(spec.job_class == job_class for spec, _ in self.warm)

    def reserve_gpus(self) -> float:
        """GPUs on ordinary machines that only the warm classes may take."""
        return sum(spec.gpus * count for spec, count in self.warm if not spec.spot)

    # Plan

    def plan(
        self,
        now_us: int,
        requests: Sequence[Request],
        machines: Iterable[Machine],
        asked: Iterable[tuple[str, str, bool, int]],
    ) -> list[PlannedRental]:
        """What to rent so that unplaced tasks and warm room find a place."""
        bins: list[Bin] = []
        warm_room: list[Machine] = []
        population: dict[str, int] = {}
        for machine in machines:
            population[machine.zone] = population.get(machine.zone, 0) + 1
            if machine.drain_reason:
                continue
            if machine.phase == BOOTING:
                # One inherited that has yet to be heard may hold tasks: what they take may come free soon, as on any
                # machine; nobody has told us yet for how long they run.
                free = (machine.free_cpus, machine.free_gpus, machine.free_ram_gb)
                bins.append(Bin(machine.type, machine.zone, machine.spot, *free))
                if machine.tasks:
                    held = (machine.cpus - free[0], machine.gpus - free[1], machine.ram_gb - free[2])
                    bins.append(Bin(machine.type, machine.zone, machine.spot, *held, soon=True))
            elif machine.phase == UP:
                warm_room.append(machine)
                if not machine.reserved:
                    bins += self._soon_room(machine, now_us)
        for type_name, zone, spot, count in asked:
            kind = self.types.get(type_name)
            if kind is not None:
                bins += [Bin(type_name, zone, spot, kind.cpus, kind.gpus, kind.ram_gb) for _ in range(count)]
                population[zone] = population.get(zone, 0) + count
        boot_us = min((to_us(kind.boot_s) for kind in self.types.values()), default=0)
        patience_us = round(boot_us * self._policy.fleet__patience)
        rented: list[Bin] = []
        nothing = RefusalCache()
        offered = Bins(bins, Demand.least_of(request.job.spec for request in requests))
        for request in requests:
            job, count = request.job, request.count - self._turnover(request.job, boot_us)
            if count <= 0:
                continue
            if len(rented) >= MOST_PLANNED:
                break  # more is not asked for before these are answered
            # Who has waited for a whole boot already is not put off with room that opens soon: others
            # may have taken it each time.
            soon = now_us - job.seen_us < patience_us
            zone_use, limit = {request.zone: 0} if request.zone else job.zone_use(), job.zone_limit
            # What a guest runs on cheap machines is not worth ordinary ones at four times the price, while others
            # have it idle now and then: only when it has waited for several boots.
            thrifty = self._is_guest(job.spec.team) and now_us - job.seen_us < GUEST_BOOTS * boot_us
            asks = (placement_constraints(job.spec), request.zone, soon, thrifty)
            if nothing.refuses(asks, job.spec, 1):
                continue
            before = len(rented)
            left = self._fit(
                job.spec, count, offered, soon, zone_use, limit, population, now_us, "work waits", rented, thrifty
            )
            if len(rented) > before:
                nothing.clear()  # what was rented may have room left
            elif left == count and not job.live:
                nothing.refused(asks, job.spec, 1)
        free_bins = [
            Bin(m.type, m.zone, m.spot, m.free_cpus, m.free_gpus, m.free_ram_gb) for m in warm_room if not m.reserved
        ]
        offered = Bins([*free_bins, *bins, *rented], Demand.least_of(spec for spec, _ in self.warm))
        for spec, count in self.warm:
            self._fit(spec, count, offered, True, {}, None, population, now_us, "warm room", rented)
        counted: dict[tuple[str, str, bool, str], int] = {}
        for bin in rented:
            key = (bin.type, bin.zone, bin.spot, bin.reason)
            counted[key] = counted.get(key, 0) + 1
        return [PlannedRental(t, z, s, n, why) for (t, z, s, why), n in counted.items()]

    def _turnover(self, job: Job, boot_us: int) -> int:
        """How many of an array's tasks its present places will have done before a machine rented now is up.

        For 25,000 tasks of 4 s all that could be had was rented, and came up when the array was over.
        """
        if job.spec.shape != BATCH:
            return 0
        return len(job.live) * (boot_us // (to_us(job.spec.estimate_s) + self._report_us))

    def _soon_room(self, machine: Machine, now_us: int) -> list[Bin]:
        """The room that opens on a machine sooner than a new one could boot, if any does.

        A fetch under way closes the free room to other images only until it is over. Work that is
        about to end leaves its room, and often the image: renting for every moment's queue would buy
        machines that come up when the queue is gone.
        """
        kind = self.types.get(machine.type)
        horizon_us = to_us(kind.boot_s * self._policy.fleet__patience) if kind else 0
        room = [machine.free_cpus, machine.free_gpus, machine.free_ram_gb]
        ending = False
        for task in machine.tasks.values():
            if task.running_us is None or task.job.is_service:
                continue
            run_us = now_us - task.running_us
            estimate_us = to_us(task.job.spec.estimate_s)
            if max(estimate_us - run_us, estimate_us // 2) <= horizon_us:  # estimates are often low
                ending = True
                room[0] += task.job.spec.cpus
                room[1] += task.job.spec.gpus
                room[2] += task.job.spec.ram_gb
        if not ending and not machine.fetching:
            return []
        cpus, gpus, ram = room
        return [Bin(machine.type, machine.zone, machine.spot, cpus, gpus, ram, soon=ending)]

    def _fit(
        self,
        spec: JobSpec,
        count: int,
        bins: Bins,
        soon: bool,
        zone_use: dict[str, int],
        limit: int | None,
        population: dict[str, int],
        now_us: int,
        reason: str,
        rented: list[Bin],
        thrifty: bool = False,
    ) -> int:
        """Find room for the tasks, rented where there is none; returns how many find none at all."""
        one_zone = next(iter(zone_use), None) if spec.one_zone else None
        soon = soon and spec.shape != SERVICE  # replicas are wanted now, not when other work ends

        def usable(bin: Bin) -> bool:
            return bin.allows(spec) and (soon or not bin.soon) and one_zone in (None, bin.zone)

        def take(bin: Bin) -> bool:
            nonlocal one_zone
            if limit is not None and zone_use.get(bin.zone, 0) >= limit:
                return False
            if not slots_in(bin.cpus, bin.gpus, bin.ram, spec):
                return False
            self._take(bin, spec, zone_use)
            if spec.one_zone:
                one_zone = bin.zone
            return True

        left = bins.fill(count, usable, take)
        while left:
            bin = self._new_bin(spec, one_zone, zone_use, limit, population, now_us, thrifty)
            if bin is None:
                return left
            bin.reason = reason
            rented.append(bin)
            population[bin.zone] = population.get(bin.zone, 0) + 1
            while left and take(bin):
                left -= 1
            if spec.one_zone:
                one_zone = bin.zone
            bins.add(bin)
        return 0

    @staticmethod
    def _take(bin: Bin, spec: JobSpec, zone_use: dict[str, int]) -> None:
        bin.cpus -= spec.cpus
        bin.gpus -= spec.gpus
        bin.ram -= spec.ram_gb
        zone_use[bin.zone] = zone_use.get(bin.zone, 0) + 1

    def _new_bin(
        self,
        spec: JobSpec,
        one_zone: str | None,
        zone_use: dict[str, int],
        limit: int | None,
        population: dict[str, int],
        now_us: int,
        thrifty: bool,
    ) -> Bin | None:
        best: tuple[tuple[bool, float, int, str], Bin] | None = None
        for kind in self.types.values():
            if spec.types is not None and kind.name not in spec.types:
                continue
            held = slots_in(kind.cpus, kind.gpus, kind.ram_gb, spec)
            if not held:
                continue
            for zone in kind.zones:
                if (spec.zone and zone != spec.zone) or (one_zone and zone != one_zone):
                    continue
                if limit is not None and zone_use.get(zone, 0) >= limit:
                    continue
                for spot in ((True,) if thrifty else (True, False)) if spec.spot else (False,):
                    if not self.available((kind.name, zone, spot), now_us):
                        continue
                    price = (kind.spot_price if spot else kind.price) / held
                    rank = (not spot, price, population.get(zone, 0), zone)
                    if best is None or rank < best[0]:
                        best = (rank, Bin(kind.name, zone, spot, kind.cpus, kind.gpus, kind.ram_gb))
        return best[1] if best else None

    def unmet_without(self, source: Machine, machines: Sequence[Machine]) -> bool:
        """Would moving this machine's tasks into the others' room leave too little warm room?"""
        rest = [m for m in machines if m is not source]
        moving: dict[str, tuple[JobSpec, int]] = {}
        for task in source.tasks.values():
            spec = task.job.spec
            moving[spec.id] = (spec, moving.get(spec.id, (spec, 0))[1] + 1)
        return _unmet([*moving.values(), *self.warm], rest) > 0

    def surplus(self, now_us: int, machines: Sequence[Machine]) -> list[tuple[Machine, str]]:
        """Idle machines to return, with the reason; warm room is kept."""
        idle_us = to_us(self._policy.fleet__idle_s)
        kept = [m for m in machines if m.phase == UP and not m.drain_reason and not m.reserved]
        idle = [m for m in kept if not m.tasks and now_us - m.idle_since_us >= idle_us]
        if not idle:
            return []
        least = Demand.least_of(spec for spec, _ in self.warm)
        warm = {m.name: m for m in kept if least.fits(m.free_cpus, m.free_gpus, m.free_ram_gb)}
        unmet = _unmet(self.warm, warm.values())
        out = []
        for machine in sorted(idle, key=lambda m: (not m.slow, m.spot, len(m.images), m.name)):
            rest = {name: m for name, m in warm.items() if m is not machine}
            if _unmet(self.warm, rest.values()) > unmet:
                continue
            warm = rest
            idle_for_s = to_s(now_us - machine.idle_since_us)
            out.append((machine, f"idle for {idle_for_s:.0f} s and not needed as warm room"))
        return out


def _unmet(warm: Sequence[tuple[JobSpec, int]], machines: Iterable[Machine]) -> int:
    """How many tasks of the warm room find no place in the free room of these machines."""
    rooms = [(m, [m.free_cpus, m.free_gpus, m.free_ram_gb]) for m in sorted(machines, key=lambda m: not m.spot)]
    missing = 0
    for spec, count in warm:
        left = count
        for machine, room in rooms:
            if not machine.allows(spec):
                continue
            while left and slots_in(room[0], room[1], room[2], spec):
                room[0] -= spec.cpus
                room[1] -= spec.gpus
                room[2] -= spec.ram_gb
                left -= 1
        missing += left
    return missing
