"""Decides whether a job's next task may be placed on a machine now, and if not, why and until when. Pure.

Placement, preemption, rentals, the return of idle machines and the answers to users ask here. A reason is the job's
own demand, the state of the machine, or a precaution of the scheduler. Each precaution ends by itself: accepted work
must not wait for ever beside a machine with room.
"""

from collections.abc import Callable, Collection, Hashable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from tideusher.clock import to_us
from tideusher.core.decide.gang_reservations import GangReservations
from tideusher.core.decide.mass_failures import HUNG
from tideusher.core.decide.placement import Demand
from tideusher.core.decide.reserves import ReserveWaits
from tideusher.core.decide.task_failures import SUSPECT_US, avoided_until_us
from tideusher.core.model.records import BOOTING, UP, Job, Machine, Task


class Reason(Enum):
    """Why a job may not be placed on machines; the values are words for users."""

    CAPACITY = "have too little free for a task"
    CONSTRAINTS = "are of a type, zone or kind that the job excludes"
    ZONES = "are in zones that the job's other tasks exclude"
    NOT_UP = "are booting or being returned"
    SILENT = "do not report at the moment"
    SUSPECT = "are suspected of failing their tasks"
    FAILED_THERE = "failed a task of it lately"
    RESERVED = "are kept for a job that tasks there were stopped for or move to"
    HELD = "are held for a gang, whose tasks must all start at once"
    WARM_RESERVE = "are kept free for job classes that must start quickly"
    GPU_HOST_RESERVE = "are kept free for work that needs their GPUs"
    ORDINARY_RESERVE = "are kept free for work that may not run on spot machines"
    FETCHING = "are fetching another image"


#: The job's own demand: the machine has no room for it.
OWN_DEMAND = frozenset((Reason.CAPACITY, Reason.CONSTRAINTS, Reason.ZONES))
#: The state of the machine, whatever the job.
MACHINE_STATE = frozenset((Reason.NOT_UP, Reason.SILENT))
#: Precautions of the scheduler; each of them has an end.
PRECAUTIONS = frozenset(Reason) - OWN_DEMAND - MACHINE_STATE


@dataclass(frozen=True, slots=True)
class Obstacle:
    """Why a job may not be placed on a machine, for which job, and the steady time by which that ends at the latest.

    `until_us` is None where only the job, the machine or the work on it can end it.
    """

    reason: Reason
    until_us: int | None = None
    for_job: str = ""


@dataclass(frozen=True, slots=True)
class PlacementTerms:
    """Restrictions on the machines on which a job's next tasks may be placed."""

    request_kind: Hashable  # equal for all jobs that may use the same machines
    avoided_machines: Collection[str]  # machines on which the job failed lately
    may_use_warm: bool  # whether it may use the warm reserve
    ordinary_reserve: Demand | None  # ordinary machines with this much free capacity are left to jobs that need them
    avoid_free_gpu_hosts: bool  # whether it must leave the CPUs of machines with free GPUs alone
    kept_out: bool = False  # whether it has waited for so long that reserves and released holds are open to it

    @property
    def unrestricted(self) -> bool:
        """True if it may use every machine that other jobs with the same placement constraints may use."""
        return self.may_use_warm and self.ordinary_reserve is None

    @property
    def keep_reserves(self) -> bool:
        """True if some machines are left to other work that is expected."""
        return not self.unrestricted or self.avoid_free_gpu_hosts

    def after_long_wait(self) -> "PlacementTerms":
        """Returns the terms of a job that may use what is reserved for others, and machines of released holds."""
        return replace(
            self,
            request_kind=(self.request_kind, "kept out"),
            may_use_warm=True,
            ordinary_reserve=None,
            avoid_free_gpu_hosts=False,
            kept_out=True,
        )


@dataclass(slots=True)
class Eligibility:
    """What decides, beside the job and the machine, whether a task may be placed."""

    max_report_age_us: int
    avoid_placement: Callable[[Machine, int], bool]  # of machines that are silent, or may be found so soon
    is_late: Callable[[Machine, int], bool]  # of booting machines that later rentals have overtaken
    fetch_us: Callable[[Task], int]  # how long a task's machine takes to fetch its image
    reservations: GangReservations = field(default_factory=GangReservations)
    waits: ReserveWaits = field(default_factory=ReserveWaits)
    queue_positions: Mapping[str, int] = field(default_factory=dict)  # of waiting jobs by name

    def of_machine(self, machine: Machine, now_us: int) -> Reason | None:
        """Returns why no job's task may be placed on the machine now."""
        if not is_usable(machine):
            return Reason.SUSPECT if _is_open(machine) else Reason.NOT_UP
        silent = now_us - machine.last_report_us >= self.max_report_age_us or self.avoid_placement(machine, now_us)
        return Reason.SILENT if silent else None

    def of_precautions(self, job: Job, terms: PlacementTerms) -> Callable[[Machine], Reason | None]:
        """Returns a function that tells why the job may not be placed on a machine that it allows and fits on.

        The function runs on most machines for each job, so it must be cheap. A machine that has become unusable since
        the pass began is refused too.
        """
        name, avoided, short = job.spec.id, terms.avoided_machines, terms.ordinary_reserve
        avoid_free_gpu_hosts, may_use_warm, kept_out = (
            terms.avoid_free_gpu_hosts,
            terms.may_use_warm,
            terms.kept_out,
        )
        reservations, queue_positions = self.reservations, self.queue_positions

        def reason(machine: Machine) -> Reason | None:
            if not machine.spot:
                if avoid_free_gpu_hosts and machine.free_gpus > 0:
                    return Reason.GPU_HOST_RESERVE
                if short is not None and short.fits(machine.free_cpus, machine.free_gpus, machine.free_ram_gb):
                    return Reason.ORDINARY_RESERVE
            if not is_usable(machine):
                return Reason.SUSPECT if _is_open(machine) else Reason.NOT_UP
            if machine.name in avoided:
                return Reason.FAILED_THERE
            if machine.reserved not in ("", name):
                return Reason.RESERVED
            if not reservations.may_use(job, machine, queue_positions, kept_out):
                return Reason.HELD
            if not (may_use_warm or machine.spot or reservations.held.get(machine.name) is job):
                return Reason.WARM_RESERVE
            return None

        return reason

    def obstacle(self, job: Job, terms: PlacementTerms, machine: Machine, now_us: int) -> Obstacle | None:
        """Returns what keeps the job's next task off the machine; None if nothing does."""
        if not machine.allows(job.spec):
            return Obstacle(Reason.CONSTRAINTS)
        if not machine.fits(job.spec):
            return Obstacle(Reason.CAPACITY)
        if not job.may_join(machine.zone):
            return Obstacle(Reason.ZONES)
        reason = self.of_machine(machine, now_us) or self.of_precautions(job, terms)(machine)
        if reason is not None:
            return self._with_end(reason, job, machine)
        return self._other_fetch(job, machine)

    def obstacles(
        self, job: Job, terms: PlacementTerms, machines: Iterable[Machine], now_us: int
    ) -> dict[Obstacle, int]:
        """Returns how many machines with room each obstacle keeps the job off; the ends are the latest ones."""
        counts: dict[tuple[Reason, str], int] = {}
        ends: dict[tuple[Reason, str], int | None] = {}
        for machine in machines:
            found = self.obstacle(job, terms, machine, now_us)
            if found is None or found.reason in OWN_DEMAND:
                continue
            kind = found.reason, found.for_job
            counts[kind] = counts.get(kind, 0) + 1
            ends[kind] = max((end for end in (ends.get(kind), found.until_us) if end is not None), default=None)
        return {Obstacle(reason, ends[reason, name], name): count for (reason, name), count in counts.items()}

    def _with_end(self, reason: Reason, job: Job, machine: Machine) -> Obstacle:
        match reason:
            case Reason.SUSPECT:
                return Obstacle(reason, machine.suspect_since_us + SUSPECT_US)
            case Reason.FAILED_THERE:
                return Obstacle(reason, avoided_until_us((job.error_machines or {})[machine.name]))
            case Reason.RESERVED:
                return Obstacle(reason, machine.reserved_until_us, machine.reserved)
            case Reason.HELD:
                holder = self.reservations.held[machine.name]
                return Obstacle(reason, self.reservations.held_until_us(holder), holder.spec.id)
            case Reason.WARM_RESERVE | Reason.GPU_HOST_RESERVE | Reason.ORDINARY_RESERVE:
                return Obstacle(reason, self.waits.kept_out_until_us(job))
        return Obstacle(reason)

    def _other_fetch(self, job: Job, machine: Machine) -> Obstacle | None:
        if job.spec.image in machine.images:
            return None
        fetching = [task for task in machine.tasks.values() if task.job.spec.image not in machine.images]
        if not fetching or any(task.job.spec.image == job.spec.image for task in fetching):
            return None
        until_us = max(task.placed_us + self.fetch_us(task) for task in fetching)
        return Obstacle(Reason.FETCHING, until_us, fetching[0].job.spec.id)

    # ---------------------------------------------------------------- rentals and returns

    def counts_for_rentals(self, machine: Machine, now_us: int) -> bool:
        """True if waiting work may soon find capacity on the machine, so that less has to be rented.

        None is expected soon from a silent machine, unless it hangs (most of those resume before a replacement would
        be up), nor from a booting machine that later rentals have overtaken.
        """
        if machine.name in self.reservations.held or self.is_late(machine, now_us):
            return False
        return machine.phase != UP or machine.probe_result == HUNG or not self.avoid_placement(machine, now_us)

    def may_start_gang(self, machine: Machine, now_us: int) -> bool:
        """True if the machine is worth holding for a gang: it could be told to start a task now, or boots.

        A machine that is silent or does not report would be reserved, and the gang would wait for it.
        """
        if machine.phase == BOOTING:
            return True
        recent = now_us - machine.last_report_us < self.max_report_age_us
        return recent and not self.avoid_placement(machine, now_us)

    def may_return(self, machine: Machine) -> bool:
        """True if the machine, once it is idle, is kept for no job."""
        return machine.name not in self.reservations.held


def is_usable(machine: Machine) -> bool:
    """True if tasks may be placed on the machine; never again once its return was requested (safety 5)."""
    return machine.phase == UP and not machine.drain_reason and not machine.suspect_since_us


def _is_open(machine: Machine) -> bool:
    return machine.phase == UP and not machine.drain_reason


def max_report_age_us(report_s: float) -> int:
    """Returns how old the last report of a machine may be for tasks to be placed on it.

    Only the answer to a report can start a task.
    """
    return to_us(3 * report_s + 1)
