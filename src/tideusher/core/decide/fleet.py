"""Decides how many machines to rent, to keep warm and to return."""

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

#: Machines after which a plan ends: a few rentals of 50 go out at a time, and under heavy load planning for all
#: waiting work took a tenth of a second in each pass.
MAX_PLANNED = 600
#: Boot times for which no ordinary machine is rented for work that a team without a guarantee may run on spot ones.
SPOT_ONLY_BOOTS = 4
#: The load of this initial period is not yet a rate of arrivals.
INITIAL_LOAD_US = 20 * SECOND_US


@dataclass(frozen=True)
class PlannedRental:
    """A rental that the plan requests."""

    type: str
    zone: str
    spot: bool
    count: int
    reason: str


@dataclass(slots=True)
class Bin:
    """Capacity that will exist soon: on a booting machine, a requested one, or one that the plan would rent."""

    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    ram: float
    reason: str = ""
    soon: bool = False  # capacity of running work that should end before a new machine would be up

    def allows(self, spec: JobSpec) -> bool:
        """True if the job's tasks may run here."""
        return allowed_on(spec, self.type, self.zone, self.spot)


class Bins:
    """Bins in the order in which they are filled: spot first, then the fullest, then in order of insertion.

    Kept sorted while requests take capacity from them, and without bins too small for any request: sorting the
    entire fleet again for each waiting job cost a leader a tenth of its processor time.
    """

    def __init__(self, bins: Iterable[Bin], least: Demand) -> None:
        self._least = least
        self._insertions = itertools.count()
        self._order: list[tuple[bool, float, int, Bin]] = []
        for bin in bins:
            if least.fits(bin.cpus, bin.gpus, bin.ram):
                self._order.append((not bin.spot, bin.gpus, next(self._insertions), bin))
        self._order.sort(key=_sort_key)

    def fill(self, left: int, usable: Callable[[Bin], bool], take: Callable[[Bin], bool]) -> int:
        """Fill the usable bins, each until `take` refuses it; returns how many of `left` tasks found none."""
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
            for spot, _, insertion, bin in touched:
                self._insert(spot, insertion, bin)
        return left

    def add(self, bin: Bin) -> None:
        """Add a rented bin, whose remaining capacity may serve later requests."""
        self._insert(not bin.spot, next(self._insertions), bin)

    def _insert(self, ordinary: bool, insertion: int, bin: Bin) -> None:
        if self._least.fits(bin.cpus, bin.gpus, bin.ram):
            insort(self._order, (ordinary, bin.gpus, insertion, bin), key=_sort_key)


def _sort_key(entry: tuple[bool, float, int, Bin]) -> tuple[bool, float, int]:
    return entry[:3]


class Fleet:
    """Plans rentals and returns from the state of the cluster; remembers capacity refusals."""

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
        self._wait_objectives = {
            o.job_class: to_us(o.within_s)
            for o in sorted(objectives, key=lambda o: -(o.within_s or 0))
            if o.kind == "wait" and o.job_class and o.within_s
        }
        self.types: dict[str, MachineType] = {} if types is None else types
        self.arrivals = arrivals or Arrivals()
        self._backoffs: dict[tuple[str, str, bool], tuple[int, int]] = {}
        self.warm: list[tuple[JobSpec, int]] = []
        self._report_us = max(1, report_us)
        self._lacks_guarantee = is_guest  # returns True for a team without a guarantee

    # Capacity refusals

    def refused(self, kind: tuple[str, str, bool], now_us: int) -> None:
        """Record that the cloud has no capacity of this kind; the back-off doubles, up to a limit."""
        _, times = self._backoffs.get(kind, (0, 0))
        pause = to_us(self._policy.fleet__capacity_backoff_s) * (1 << min(times, 2))
        self._backoffs[kind] = (now_us + pause, times + 1)

    def restore_refusal(self, kind: tuple[str, str, bool], until_us: int, times: int) -> None:
        """Restore a refusal that an earlier leader received; its back-off continues."""
        self._backoffs.setdefault(kind, (until_us, times))

    def refusals(self, now_us: int) -> list[tuple[tuple[str, str, bool], int, int]]:
        """Returns the kinds in back-off: (kind, remaining microseconds, refusals), the longest first."""
        left = [(kind, until_us - now_us, times) for kind, (until_us, times) in self._backoffs.items()]
        return sorted((item for item in left if item[1] > 0), key=lambda item: (-item[1], item[0]))

    def granted(self, kind: tuple[str, str, bool]) -> None:
        """Record that the cloud had capacity of this kind."""
        self._backoffs.pop(kind, None)

    def available(self, kind: tuple[str, str, bool], now_us: int) -> bool:
        """True if this kind is not in back-off."""
        return self._backoffs.get(kind, (0, 0))[0] <= now_us

    def spot_available(self, spec: JobSpec, now_us: int) -> bool:
        """True if a spot machine that this job may run on can be rented."""
        return any(
            self._can_rent(kind, spec, zone, True, now_us) for kind in self.types.values() for zone in kind.zones
        )

    def offer(self, spec: JobSpec, zone: str, now_us: int) -> int:
        """Returns what the zone can rent for the job now: BEST (its preferred kind), OTHER or NONE."""
        kinds = [kind for kind in self.types.values() if zone in kind.zones]
        if spec.spot and any(self._can_rent(kind, spec, zone, True, now_us) for kind in kinds):
            return BEST
        if any(self._can_rent(kind, spec, zone, False, now_us) for kind in kinds):
            return OTHER if spec.spot else BEST
        return NONE

    def _can_rent(self, kind: MachineType, spec: JobSpec, zone: str, spot: bool, now_us: int) -> bool:
        return (
            allowed_on(spec, kind.name, zone, spot)
            and slots_in(kind.cpus, kind.gpus, kind.ram_gb, spec) > 0
            and self.available((kind.name, zone, spot), now_us)
        )

    # Warm capacity

    def refresh_warm(self, now_us: int, used_gpus: float) -> None:
        """Decide how much capacity to keep free for job classes whose objective is shorter than a boot and a fetch.

        Idle machines cost money all the time for starts that are rare, so the total is limited to a share of the
        GPUs in use, given to the highest priority first.
        """
        budget = used_gpus * self._policy.fleet__warm_share
        self.warm = []
        for spec, count in sorted(self._warm_demand(now_us), key=lambda item: item[0].rank):
            if spec.gpus:
                count = min(count, int(budget / spec.gpus))
                budget -= count * spec.gpus
            if count:
                self.warm.append((spec, count))

    def _warm_demand(self, now_us: int) -> list[tuple[JobSpec, int]]:
        wanted = []
        for job_class, within_us in self._wait_objectives.items():
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
            # The work that was present at the start tells nothing about the arrival rate.
            since_us = max(now_us - to_us(self._policy.fleet__warm_window_s), first_us + INITIAL_LOAD_US)
            window_us = now_us - since_us
            if window_us < INITIAL_LOAD_US:
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
        """True if warm capacity is kept for this class."""
        return any(spec.job_class == job_class for spec, _ in self.warm)

    def reserve_gpus(self) -> float:
        """Returns the GPUs on ordinary machines that only the classes with warm capacity may use."""
        return sum(spec.gpus * count for spec, count in self.warm if not spec.spot)

    # Plan

    def plan(
        self,
        now_us: int,
        requests: Sequence[Request],
        machines: Iterable[Machine],
        asked: Iterable[tuple[str, str, bool, int]],
    ) -> list[PlannedRental]:
        """Returns the rentals needed for unplaced tasks and warm capacity."""
        bins: list[Bin] = []
        up_machines: list[Machine] = []
        population: dict[str, int] = {}
        for machine in machines:
            population[machine.zone] = population.get(machine.zone, 0) + 1
            if machine.drain_reason:
                continue
            if machine.phase == BOOTING:
                # An inherited machine that has not reported yet may hold tasks. Their capacity may become free soon,
                # as on any machine, but how long they have run is not known yet.
                free = (machine.free_cpus, machine.free_gpus, machine.free_ram_gb)
                bins.append(Bin(machine.type, machine.zone, machine.spot, *free))
                if machine.tasks:
                    held = (machine.cpus - free[0], machine.gpus - free[1], machine.ram_gb - free[2])
                    bins.append(Bin(machine.type, machine.zone, machine.spot, *held, soon=True))
            elif machine.phase == UP:
                up_machines.append(machine)
                if not machine.reserved:
                    bins += self._capacity_soon(machine, now_us)
        for type_name, zone, spot, count in asked:
            kind = self.types.get(type_name)
            if kind is not None:
                bins += [Bin(type_name, zone, spot, kind.cpus, kind.gpus, kind.ram_gb) for _ in range(count)]
                population[zone] = population.get(zone, 0) + count
        boot_us = min((to_us(kind.boot_s) for kind in self.types.values()), default=0)
        patience_us = round(boot_us * self._policy.fleet__patience)
        rented: list[Bin] = []
        refusals_seen = RefusalCache()
        candidates = Bins(bins, Demand.least_of(request.job.spec for request in requests))
        for request in requests:
            job, count = request.job, request.count - self._turnover(request.job, boot_us)
            if count <= 0:
                continue
            if len(rented) >= MAX_PLANNED:
                break  # no more is requested before these are answered
            # A job that has already waited for a full boot is not deferred to capacity that becomes free soon: other
            # jobs may have taken it each time.
            soon = now_us - job.seen_us < patience_us
            zone_use, limit = {request.zone: 0} if request.zone else job.zone_use(), job.zone_limit
            # Work of a team without a guarantee that may run on spot machines is not worth ordinary ones at four
            # times the price while other teams leave them idle at times: only once it has waited for several boots.
            spot_only = self._lacks_guarantee(job.spec.team) and now_us - job.seen_us < SPOT_ONLY_BOOTS * boot_us
            request_kind = (placement_constraints(job.spec), request.zone, soon, spot_only)
            if refusals_seen.refuses(request_kind, job.spec, 1):
                continue
            before = len(rented)
            left = self._fit(
                job.spec,
                count,
                candidates,
                soon,
                zone_use,
                limit,
                population,
                now_us,
                "work waits",
                rented,
                spot_only,
            )
            if len(rented) > before:
                refusals_seen.clear()  # what was rented may have capacity left
            elif left == count and not job.live:
                refusals_seen.refused(request_kind, job.spec, 1)
        free_bins = [
            Bin(m.type, m.zone, m.spot, m.free_cpus, m.free_gpus, m.free_ram_gb)
            for m in up_machines
            if not m.reserved
        ]
        candidates = Bins([*free_bins, *bins, *rented], Demand.least_of(spec for spec, _ in self.warm))
        for spec, count in self.warm:
            self._fit(spec, count, candidates, True, {}, None, population, now_us, "warm capacity", rented)
        counted: dict[tuple[str, str, bool, str], int] = {}
        for bin in rented:
            key = (bin.type, bin.zone, bin.spot, bin.reason)
            counted[key] = counted.get(key, 0) + 1
        return [PlannedRental(t, z, s, n, why) for (t, z, s, why), n in counted.items()]

    def _turnover(self, job: Job, boot_us: int) -> int:
        """Returns how many tasks of an array its current places will finish before a machine rented now is up.

        Without this, every available machine was rented for 25,000 tasks of 4 s, and came up when the array was done.
        """
        if job.spec.shape != BATCH:
            return 0
        return len(job.live) * (boot_us // (to_us(job.spec.estimate_s) + self._report_us))

    def _capacity_soon(self, machine: Machine, now_us: int) -> list[Bin]:
        """Returns the capacity that becomes free on a machine before a new one could boot, if any.

        A running image fetch blocks the free capacity for other images only until it is done. Work about to end
        frees its capacity, and often leaves the image: renting for every momentary queue would buy machines that
        come up when the queue is gone.
        """
        kind = self.types.get(machine.type)
        horizon_us = to_us(kind.boot_s * self._policy.fleet__patience) if kind else 0
        free = [machine.free_cpus, machine.free_gpus, machine.free_ram_gb]
        ending = False
        for task in machine.tasks.values():
            if task.running_us is None or task.job.is_service:
                continue
            run_us = now_us - task.running_us
            estimate_us = to_us(task.job.spec.estimate_s)
            if max(estimate_us - run_us, estimate_us // 2) <= horizon_us:  # estimates are often low
                ending = True
                free[0] += task.job.spec.cpus
                free[1] += task.job.spec.gpus
                free[2] += task.job.spec.ram_gb
        if not ending and not machine.fetching:
            return []
        cpus, gpus, ram = free
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
        spot_only: bool = False,
    ) -> int:
        """Assign the tasks to bins, renting machines where there are none; returns how many found no place."""
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
            bin = self._new_bin(spec, one_zone, zone_use, limit, population, now_us, spot_only)
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
        spot_only: bool,
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
                for spot in ((True,) if spot_only else (True, False)) if spec.spot else (False,):
                    if not self.available((kind.name, zone, spot), now_us):
                        continue
                    price = (kind.spot_price if spot else kind.price) / held
                    rank = (not spot, price, population.get(zone, 0), zone)
                    if best is None or rank < best[0]:
                        best = (rank, Bin(kind.name, zone, spot, kind.cpus, kind.gpus, kind.ram_gb))
        return best[1] if best else None

    def unmet_without(self, source: Machine, machines: Sequence[Machine]) -> bool:
        """True if moving this machine's tasks to the others would leave too little warm capacity."""
        rest = [m for m in machines if m is not source]
        moving: dict[str, tuple[JobSpec, int]] = {}
        for task in source.tasks.values():
            spec = task.job.spec
            moving[spec.id] = (spec, moving.get(spec.id, (spec, 0))[1] + 1)
        return _unplaced_warm([*moving.values(), *self.warm], rest) > 0

    def surplus(self, now_us: int, machines: Sequence[Machine]) -> list[tuple[Machine, str]]:
        """Returns idle machines to return, with the reason; warm capacity is kept."""
        idle_us = to_us(self._policy.fleet__idle_s)
        kept = [m for m in machines if m.phase == UP and not m.drain_reason and not m.reserved]
        idle = [m for m in kept if not m.tasks and now_us - m.idle_since_us >= idle_us]
        if not idle:
            return []
        least = Demand.least_of(spec for spec, _ in self.warm)
        warm = {m.name: m for m in kept if least.fits(m.free_cpus, m.free_gpus, m.free_ram_gb)}
        unplaced = _unplaced_warm(self.warm, warm.values())
        surplus_machines = []
        for machine in sorted(idle, key=lambda m: (not m.slow, m.spot, len(m.images), m.name)):
            rest = {name: m for name, m in warm.items() if m is not machine}
            if _unplaced_warm(self.warm, rest.values()) > unplaced:
                continue
            warm = rest
            idle_s = to_s(now_us - machine.idle_since_us)
            surplus_machines.append((machine, f"idle for {idle_s:.0f} s and not needed as warm capacity"))
        return surplus_machines


def _unplaced_warm(warm: Sequence[tuple[JobSpec, int]], machines: Iterable[Machine]) -> int:
    """Returns how many tasks of the warm capacity do not fit in the free capacity of these machines."""
    free_by_machine = [
        (m, [m.free_cpus, m.free_gpus, m.free_ram_gb]) for m in sorted(machines, key=lambda m: not m.spot)
    ]
    unplaced_tasks = 0
    for spec, count in warm:
        left = count
        for machine, free in free_by_machine:
            if not machine.allows(spec):
                continue
            while left and slots_in(free[0], free[1], free[2], spec):
                free[0] -= spec.cpus
                free[1] -= spec.gpus
                free[2] -= spec.ram_gb
                left -= 1
        unplaced_tasks += left
    return unplaced_tasks
