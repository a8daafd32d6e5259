"""Holds capacity for gangs that must start all their tasks at once in one zone.

In a busy fleet a large gang never finds enough capacity at once: machines finish their work one by one, and free
capacity goes to smaller jobs or is returned as idle while further machines boot. So free machines of a zone are held
for the first gang in the queue that wants them there until the rest is available. Jobs ahead of the gang in the queue
may still use them. Only one gang per zone holds machines at a time; otherwise several would hold parts of a zone and
none could start. Nothing is held in a zone that cannot hold the gang with all that the cloud may have there, and what
is held without progress is released for a time, so that no other job waits beside it for ever.

Free machines are not enough where small tasks are spread over all machines: a few one-CPU tasks block a gang that
needs entire machines, and new ones arrive as they end. So for the first gang that has waited for long, machines that
are booting or run other work are held too, in the zone that has enough capacity soonest. Work that runs there ends
undisturbed, and only work of a higher rank may still be placed there. One gang of the entire fleet at a time. While
such a hold gains nothing, it is released at times too, to jobs of which nothing has run for long.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from tideusher.clock import SECOND_US, to_us
from tideusher.core.decide.placement import slots, slots_in
from tideusher.core.model.records import BOOTING, LOWEST_RANK, UP, Job, Machine

#: What a zone can rent for a job: the preferred kind of machine, another kind, or none now.
BEST, OTHER, NONE = 0, 1, 2
#: A gang that gains no machine for this long releases those that it holds: users allow others to wait for 90 s.
MAX_HOLD_WITHOUT_PROGRESS_US = 30 * SECOND_US
#: The duration of a gang's first release; each further one is twice as long, up to the maximum. A release of that
#: length is open to jobs of a lower rank too where busy machines are held.
FIRST_RELEASE_US, MAX_RELEASE_US = 15 * SECOND_US, 60 * SECOND_US


@dataclass(frozen=True, slots=True)
class Request:
    """Waiting tasks for which machines may have to be rented; `zone`: only in this zone."""

    job: Job
    count: int
    zone: str | None = None


@dataclass(slots=True)
class _HoldProgress:
    """What a gang has gained in the present hold, and its releases."""

    slots: int
    gained_us: int  # when it last held more than before
    release_us: int = FIRST_RELEASE_US  # duration of its next release
    released_until_us: int = 0
    present_release_us: int = 0  # duration of the present or last release

    def may_hold(self, slots: int, now_us: int) -> bool:
        """True if the gang may hold machines for this many of its tasks; False during a release."""
        if now_us < self.released_until_us:
            return False
        if slots > self.slots:
            self.slots, self.gained_us = slots, now_us
        elif now_us - self.gained_us >= MAX_HOLD_WITHOUT_PROGRESS_US:
            self.present_release_us = self.release_us
            self.released_until_us = now_us + self.release_us
            self.release_us = min(2 * self.release_us, MAX_RELEASE_US)
            self.slots, self.gained_us = 0, self.released_until_us
            return False
        return True

    @property
    def until_us(self) -> int:
        """When the hold is released unless it gains something."""
        return self.gained_us + MAX_HOLD_WITHOUT_PROGRESS_US


class GangReservations:
    """Tracks which machines are held for which gang; recomputed in each pass."""

    def __init__(self) -> None:
        self.held: dict[str, Job] = {}
        self._free_machines = _FreeMachines(())
        self._progress: dict[str, _HoldProgress] = {}  # of the gangs that hold free machines or released them
        self._busy_hold: tuple[Job, str] | None = None  # the gang for which busy machines are held, and the zone
        self._busy_progress: dict[str, _HoldProgress] = {}  # of the gangs that hold busy machines or did
        self._released_rank: int | None = None  # the busy machines are released to jobs of at least this rank

    def may_use(self, job: Job, machine: Machine, place: Mapping[str, int], kept_out: bool = False) -> bool:
        """True if the job may use the machine, given the positions of jobs in the queue.

        `kept_out`: the job has waited for so long that a released hold of busy machines is open to it.
        """
        holder = self.held.get(machine.name)
        if holder is None or holder is job:
            return True
        if self._busy_hold is not None and holder is self._busy_hold[0]:
            released = kept_out and self._released_rank is not None and job.spec.rank <= self._released_rank
            return released or job.spec.rank < holder.spec.rank
        return place[job.spec.id] < place.get(holder.spec.id, -1)

    @property
    def released(self) -> bool:
        """True while held busy machines are released to jobs that have waited for long."""
        return self._released_rank is not None

    def held_until_us(self, holder: Job) -> int | None:
        """Returns when what is held for the gang is released unless it gains something; None if nothing is free."""
        busy = self._busy_hold is not None and holder is self._busy_hold[0]
        progress = (self._busy_progress if busy else self._progress).get(holder.spec.id)
        return progress.until_us if progress is not None else None

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
        """Hold free machines for gangs in queue order; returns requests for the capacity still missing.

        `long_us`: by how much the wait of a gang exceeds the patience limit; 0: it does not. `heard`: returns True if
        the machine could be told to start a task now.
        """
        self.held = {}
        waiting = {job.spec.id for job, _ in unplaced}
        self._progress = {name: progress for name, progress in self._progress.items() if name in waiting}
        self._busy_progress = {name: progress for name, progress in self._busy_progress.items() if name in waiting}
        if not unplaced:
            self._busy_hold = None
            return []
        requests, zones_held = [], set()
        machines = list(machines)
        outlook = _Outlook(machines)
        for name in self._hold_in_use(unplaced, [m for m in machines if heard(m)], long_us, now_us):
            assert self._busy_hold is not None
            self.held[name] = self._busy_hold[0]
            zones_held.add(self._busy_hold[1])
        self._released_rank = self._released_to([m for m in machines if m.name in self.held], now_us)
        self._free_machines = _FreeMachines(usable)
        for job, count in unplaced:
            if not (job.is_gang and job.spec.one_zone) or job.live:
                requests.append(Request(job, count))
                continue
            if self._busy_hold is not None and job is self._busy_hold[0]:
                zone: str | None = self._busy_hold[1]
                free = [m for m in usable if self.held.get(m.name) is job and m.fits(job.spec)]
            else:
                zone, free = self._best_zone(job, count, outlook, offer)
            chosen, missing = _enough(job, count, free)
            if zone is not None and zone not in zones_held and self._may_hold(job, count - missing, now_us):
                self.held.update((machine.name, job) for machine in chosen)
                zones_held.add(zone)
            if missing > 0:
                requests.append(Request(job, missing, zone))
        return requests

    def _may_hold(self, job: Job, slots: int, now_us: int) -> bool:
        if slots <= 0:
            return True  # of a zone of which it waits for all, it keeps the others out
        progress = self._progress.setdefault(job.spec.id, _HoldProgress(slots, now_us))
        return progress.may_hold(slots, now_us)

    def _released_to(self, busy: Iterable[Machine], now_us: int) -> int | None:
        """Returns the lowest rank (the largest number) that the held busy machines are released to; None: to none."""
        if self._busy_hold is None:
            return None
        gang = self._busy_hold[0]
        free_slots = sum(slots(machine, gang) for machine in busy if machine.phase == UP)
        progress = self._busy_progress.setdefault(gang.spec.id, _HoldProgress(free_slots, now_us))
        if progress.may_hold(free_slots, now_us):
            return None
        return LOWEST_RANK if progress.present_release_us >= MAX_RELEASE_US else gang.spec.rank

    def _hold_in_use(
        self,
        unplaced: Sequence[tuple[Job, int]],
        machines: Sequence[Machine],
        long_us: Callable[[Job], int],
        now_us: int,
    ) -> list[str]:
        """Returns the machines, busy or not, held for the gang that exceeds the patience limit by the most."""
        overdue = [
            (-long_us(job), job.spec.id, job, count)
            for job, count in unplaced
            if job.is_gang and job.spec.one_zone and not job.live and long_us(job) > 0
        ]
        before, self._busy_hold = self._busy_hold, None
        for _, _, job, count in sorted(
            overdue, key=lambda item: (before is None or item[2] is not before[0], item[:2])
        ):
            zones: dict[str, list[tuple[int, str, int]]] = {}
            for machine in machines:
                if machine.drain_reason or machine.phase not in (BOOTING, UP) or not machine.allows(job.spec):
                    continue
                slots_when_idle = _slots_once_idle(machine, job)
                if slots_when_idle > 0:  # even if reserved after a preemption: that ends soon
                    zones.setdefault(machine.zone, []).append(
                        (_busy_us(machine, now_us), machine.name, slots_when_idle)
                    )
            chosen: dict[str, tuple[int, list[str]]] = {}
            for zone, free in zones.items():
                left, names = count, []
                for busy_us, name, slots_when_idle in sorted(free):
                    names.append(name)
                    left -= slots_when_idle
                    if left <= 0:
                        chosen[zone] = busy_us, names
                        break
            if chosen:
                # Keep the zone chosen earlier: work that has ended there for this gang has not ended elsewhere.
                earlier_zone = before[1] if before is not None and before[0] is job else ""
                zone = (
                    earlier_zone if earlier_zone in chosen else min(chosen, key=lambda item: (chosen[item][0], item))
                )
                self._busy_hold = job, zone
                return chosen[zone][1]
        return []

    def _best_zone(
        self, job: Job, count: int, outlook: "_Outlook", offer: Callable[[Job, str], int]
    ) -> tuple[str | None, list[Machine]]:
        """Returns the zone with the most capacity now or soon, of those that can ever hold the entire gang.

        None if none of them can, as far as the cloud's refusals show: a rental wherever it is best may.
        """
        booting, slots_eventually = outlook.of(job)
        free, open_slots = self._free_machines.of(job, self.held)
        slots_soon = {
            zone: booting.get(zone, 0) + open_slots.get(zone, 0) for zone in booting.keys() | open_slots.keys()
        }
        if not slots_soon:
            return None, []  # no capacity anywhere yet: rent wherever it is best

        def rank(zone: str) -> tuple[bool, int, str]:
            offered, held = offer(job, zone), slots_soon.get(zone, 0)
            return held < count and offered > BEST, -min(count, held), zone

        possible = [
            zone
            for zone in slots_eventually.keys() | slots_soon.keys()
            if slots_eventually.get(zone, 0) >= count or offer(job, zone) < NONE
        ]
        if not possible:
            return None, []
        best = min(possible, key=rank)
        return best, free.get(best, [])


def _enough(job: Job, count: int, free: Iterable[Machine]) -> tuple[list[Machine], int]:
    """Returns machines for up to `count` tasks, the least free capacity first, and how many tasks lack one."""
    chosen, missing = [], count
    for machine in sorted(free, key=lambda m: (m.free_gpus, m.name)):
        if missing <= 0:
            break
        missing -= slots(machine, job)
        chosen.append(machine)
    return chosen, missing


def _shape(job: Job) -> tuple[object, ...]:
    spec = job.spec
    return (spec.cpus, spec.gpus, spec.ram_gb, spec.spot, spec.zone, tuple(spec.types or ()))


class _FreeMachines:
    """Caches the machines that no gang holds and that fit a gang's tasks, by zone, and how many tasks they fit.

    Computed once for all gangs with the same demand, until more machines are held.
    """

    def __init__(self, usable: Sequence[Machine]) -> None:
        self._usable = usable
        self._reserved = {machine.reserved for machine in usable if machine.reserved}
        self._held = 0
        self._known: dict[tuple[object, ...], tuple[dict[str, list[Machine]], dict[str, int]]] = {}

    def of(self, job: Job, held: Mapping[str, Job]) -> tuple[dict[str, list[Machine]], dict[str, int]]:
        """Returns machines and slots by zone, given the held machines."""
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
    """Computes how many tasks of a gang each zone has booting capacity for, and could ever hold.

    Gangs of a class have the same demand, so one scan of the fleet serves all of them in a pass.
    """

    def __init__(self, machines: Iterable[Machine]) -> None:
        self._machines = [m for m in machines if not m.drain_reason and m.phase in (BOOTING, UP)]
        self._known: dict[tuple[object, ...], tuple[dict[str, int], dict[str, int]]] = {}

    def of(self, job: Job) -> tuple[dict[str, int], dict[str, int]]:
        """Returns slots by zone: on booting machines, and once all work that ends by itself has ended."""
        spec = job.spec
        key = _shape(job)
        if key not in self._known:
            booting: dict[str, int] = {}
            slots_eventually: dict[str, int] = {}
            for machine in self._machines:
                if not machine.allows(spec):
                    continue
                if machine.phase == BOOTING:
                    booting[machine.zone] = booting.get(machine.zone, 0) + slots(machine, job)
                slots_eventually[machine.zone] = slots_eventually.get(machine.zone, 0) + _slots_once_idle(
                    machine, job
                )
            self._known[key] = booting, slots_eventually
        return self._known[key]


def _busy_us(machine: Machine, now_us: int) -> int:
    """Returns how long until all its work that ends by itself has ended, by the users' estimates."""
    longest = 0
    for task in machine.tasks.values():
        if not task.job.is_service:
            began_us = now_us if task.running_us is None else task.running_us
            longest = max(longest, began_us + to_us(task.job.spec.estimate_s) - now_us)
    return longest


def _slots_once_idle(machine: Machine, job: Job) -> int:
    """Returns how many tasks of the job the machine holds once all its work that ends by itself has ended."""
    services = [task.job.spec for task in machine.tasks.values() if task.job.is_service]
    if not services:
        return slots_in(machine.cpus, machine.gpus, machine.ram_gb, job.spec)
    return slots_in(
        machine.cpus - sum(spec.cpus for spec in services),
        machine.gpus - sum(spec.gpus for spec in services),
        machine.ram_gb - sum(spec.ram_gb for spec in services),
        job.spec,
    )
