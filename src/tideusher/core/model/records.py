"""Jobs, tasks and machines in the leader's memory, and the encoding of chunk records for the state service.

Attempt numbers come from a counter per chunk (per job for gangs) that is persisted with every
assignment, so no leader ever uses a number twice for a task (docs/safety.md, 2).
"""

from collections import deque
from dataclasses import dataclass, field
from statistics import median
from typing import Any

import msgspec

from tideusher.wire.jobs import GANG, PRIORITIES, SERVICE, JobSpec
from tideusher.wire.workers import FETCHING, WAITING

#: Tasks per chunk record: at most some 30 bytes each, well within the smallest value limit.
CHUNK_TASKS = 64

# Phases of a task that holds a place on a machine.
COMMITTING = "committing"  # assignment not yet in the state service and not announced to anyone
ASSIGNED = "assigned"  # persisted; `run` is sent with the answers to reports
SEEN = "seen"  # listed in a report of the worker

CRITICAL, LOWEST_RANK = PRIORITIES.index("critical"), len(PRIORITIES) - 1  # CRITICAL is the highest rank
#: Waiting reason of a job that needs free capacity on a machine.
NO_CAPACITY = "room on a machine"

OPEN, JOB_DONE, JOB_CANCELLED = "open", "done", "cancelled"

#: Weight of a run in a machine's relative run time; machines of one type differ by a tenth, faulty ones by far more.
RELATIVE_RUNTIME_WEIGHT = 0.3
SLOW_RELATIVE_RUNTIME = 1.4
RECENT_RUNS = 16

# Machine phases.
BOOTING, UP, RETURNING = "booting", "up", "returning"


@dataclass(slots=True, eq=False)
class Task:
    """One attempt of a task that holds a place on a machine until it is proven gone."""

    job: "Job"
    index: int
    attempt: int
    machine: "Machine"
    phase: str
    placed_us: int
    #: (session, serial) of the last report that was answered with `run`; None: this leader never sent it.
    sent: tuple[int, int] | None = None
    inherited: bool = False
    state: str = ""
    running_us: int | None = None
    halt_grace_s: float | None = None
    halt_reason: str = ""
    move_to: "Machine | None" = None  # where it continues once it is proven gone from here
    #: Of an inherited task: when its image should have been fetched, if this controller saw it placed; 0: it was
    #: placed earlier. None: placed by this leader.
    ready_us: int | None = None
    #: Of a job with a limit: seconds from the job's submission to the task's first run, persisted.
    began_s: int = 0

    @property
    def name(self) -> str:
        """Name of the task on the wire."""
        return f"{self.job.spec.id}/{self.index}"


@dataclass(slots=True, eq=False)
class Chunk:
    """The persisted part of up to CHUNK_TASKS consecutive tasks."""

    number: int
    attempts: int = 0
    done: int = 0  # bit i: task number*CHUNK_TASKS+i is done
    failed: int = 0  # bit i: that task ran longer than its limit and is not started again
    stamp: int = 0


@dataclass(slots=True, frozen=True)
class MachineFailures:
    """How often tasks of a job failed on a machine, and when the last one did."""

    times: int
    last_us: int


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job that is not over or whose tasks are not all proven gone."""

    spec: JobSpec
    stamp: int
    submitted_us: int  # time of day
    seen_us: int  # steady time at which this controller first saw it
    status: str = OPEN
    live: dict[int, Task] = field(default_factory=dict)
    chunks: dict[int, Chunk] = field(default_factory=dict)
    done_count: int = 0
    next_fresh: int = 0
    # Created when first needed, as are most empty containers here: they were two thirds of the memory of a job that
    # has not begun.
    retry: set[int] | None = None
    error_machines: dict[str, MachineFailures] | None = None  # the machines on which tasks failed
    not_before_us: int = 0
    failures: int = 0
    stops: list[dict[str, Any]] = field(default_factory=list)
    finish_dirty: bool = False
    started: set[int] | None = None  # tasks whose minimum runtime was charged
    runs: deque[tuple[str, int]] | None = None  # machine and run time of the last RECENT_RUNS runs
    waiting_reason: str = "its first look by the scheduler"
    failed_count: int = 0
    placed_index_end: int = 0  # highest task index that ever held a place, plus one: a service may have been shrunk
    hold: str = ""  # who holds it; empty: not held
    start_after_us: int = 0  # time of day before which none of its tasks starts; 0: none, or past
    unmet: tuple[tuple[str, str], ...] = ()  # dependencies not met yet, as (kind, job)
    was_blocked: bool = False  # was it ever excluded from scheduling passes?
    seen_running: bool = False  # was a task of it reported running to this leader?
    all_started: bool = False  # were all its tasks reported running to this leader?
    why: str = ""  # why the scheduler ended it
    sent_amounts: dict[str, float] | None = None  # by field: what its user sent, where another amount is counted

    @property
    def is_gang(self) -> bool:
        """True if all tasks run at once or none does."""
        return self.spec.shape == GANG

    @property
    def is_forming(self) -> bool:
        """True for a gang none of whose tasks has run yet: a replacement may still join its attempt."""
        return bool(self.live) and all(
            not task.inherited and task.halt_grace_s is None and task.state in ("", FETCHING, WAITING)
            for task in self.live.values()
        )

    @property
    def is_service(self) -> bool:
        """True if the job runs until it is cancelled."""
        return self.spec.shape == SERVICE

    @property
    def zone_limit(self) -> int | None:
        """Maximum number of its tasks in one zone; None: no limit."""
        return -(-self.spec.tasks // 2) if self.spec.spread else None

    def zone_use(self) -> dict[str, int]:
        """Returns the number of its placed tasks by zone."""
        use: dict[str, int] = {}
        for task in self.live.values():
            use[task.machine.zone] = use.get(task.machine.zone, 0) + 1
        return use

    def may_join(self, zone: str) -> bool:
        """Returns whether one more task may be placed in this zone, given the places of the others."""
        use, limit = self.zone_use(), self.zone_limit
        if self.spec.one_zone and any(other != zone for other in use):
            return False
        return limit is None or use.get(zone, 0) < limit

    @property
    def pending(self) -> int:
        """Number of tasks without a place that are not over (less those that are over and not yet gone)."""
        return self.spec.tasks - self.done_count - self.failed_count - len(self.live)

    @property
    def over_count(self) -> int:
        """Number of tasks that are not started again: done, or stopped at their limit."""
        return self.done_count + self.failed_count

    @property
    def blocked(self) -> bool:
        """True if none of its tasks may start, whatever the free capacity."""
        return bool(self.hold or self.start_after_us or self.unmet)

    @property
    def waits(self) -> bool:
        """True if it has tasks to place. Evaluated several times a pass for every job, hence a single expression."""
        return (
            self.status == OPEN
            and not (self.hold or self.start_after_us or self.unmet)
            and self.spec.tasks - self.done_count - self.failed_count > len(self.live)
        )

    @property
    def begun(self) -> bool:
        """True if a start of one of its tasks was ever persisted."""
        return self.over_count > 0 or any(chunk.attempts for chunk in self.chunks.values())

    def chunk_of(self, index: int) -> Chunk:
        """Returns the chunk of a task, created when first needed."""
        number = index // CHUNK_TASKS
        chunk = self.chunks.get(number)
        if chunk is None:
            chunk = self.chunks[number] = Chunk(number)
        return chunk

    def is_done(self, index: int) -> bool:
        """Returns whether this task has completed."""
        chunk = self.chunks.get(index // CHUNK_TASKS)
        return chunk is not None and bool(chunk.done >> (index % CHUNK_TASKS) & 1)

    def is_over(self, index: int) -> bool:
        """Returns whether this task is done or stopped at its limit, so that it is not started again."""
        chunk = self.chunks.get(index // CHUNK_TASKS)
        return chunk is not None and bool((chunk.done | chunk.failed) >> (index % CHUNK_TASKS) & 1)

    def next_pending(self, count: int) -> list[int]:
        """Returns up to `count` tasks that wait for a place, interrupted ones first."""
        retry = self.retry or ()
        picked = sorted(retry)[:count]
        index = self.next_fresh
        while len(picked) < count and index < self.spec.tasks:
            if index not in self.live and index not in retry and not self.is_over(index):
                picked.append(index)
            index += 1
        return picked

    def take(self, task: Task) -> None:
        """Adds a task that holds a place."""
        self.live[task.index] = task
        self.placed_index_end = max(self.placed_index_end, task.index + 1)
        self.drop_retry(task.index)
        while self.next_fresh < self.spec.tasks and (self.next_fresh in self.live or self.is_over(self.next_fresh)):
            self.next_fresh += 1

    def drop(self, task: Task) -> None:
        """Removes a task that no longer holds a place; unless it is over, it waits again."""
        if self.live.get(task.index) is task:
            del self.live[task.index]
            self.wait_again(task.index)

    def wait_again(self, index: int) -> None:
        """Queues a task to be placed again, unless it holds a place or is over."""
        if index not in self.live and not self.is_over(index) and index < min(self.spec.tasks, self.next_fresh):
            self.retry = self.retry or set()
            self.retry.add(index)

    def shrink(self, tasks: int) -> list[Task]:
        """Keeps only the first `tasks` tasks; returns those beyond that still hold a place."""
        self.spec = msgspec.structs.replace(self.spec, tasks=tasks)
        self.retry = {index for index in self.retry or () if index < tasks}
        return [task for task in self.live.values() if task.index >= tasks]

    def drop_retry(self, index: int) -> None:
        """Drops the task from those that wait to be placed again."""
        if self.retry is not None:
            self.retry.discard(index)

    def mark_start_charged(self, index: int) -> bool:
        """Marks the task's minimum runtime as charged; returns True the first time."""
        if self.started is None:
            self.started = set()
        first = index not in self.started
        self.started.add(index)
        return first

    def record_failure_on(self, machine: str, at_us: int, times: int = 1) -> None:
        """Notes that a task failed on this machine (`times` more times), so that others are tried first."""
        self.error_machines = self.error_machines or {}
        before = self.error_machines.get(machine)
        self.error_machines[machine] = MachineFailures(times + (before.times if before is not None else 0), at_us)

    def mark_done(self, index: int) -> bool:
        """Marks the task as done; returns False if it was over already. One stopped at its limit stays failed."""
        chunk = self._unfinished_chunk_of(index)
        if chunk is None:
            return False
        chunk.done |= 1 << (index % CHUNK_TASKS)
        self.done_count += 1
        return True

    def mark_failed(self, index: int) -> bool:
        """Marks the task as stopped at its limit; returns False if it was over already."""
        chunk = self._unfinished_chunk_of(index)
        if chunk is None:
            return False
        chunk.failed |= 1 << (index % CHUNK_TASKS)
        self.failed_count += 1
        return True

    def _unfinished_chunk_of(self, index: int) -> Chunk | None:
        """Returns the chunk in which to mark the end of a task; None if the task is over already."""
        if self.is_over(index):
            return None
        self.drop_retry(index)
        return self.chunk_of(index)


def chunk_value(job: Job, chunk: Chunk) -> dict[str, Any]:
    """Encodes a chunk: attempt counter, done bits, and the attempt and machine of each placed task."""
    first = chunk.number * CHUNK_TASKS
    places = {}
    for index in range(first, min(first + CHUNK_TASKS, max(job.spec.tasks, job.placed_index_end))):
        task = job.live.get(index)
        if task is not None:
            places[str(index)] = [task.attempt, task.machine.name, *([task.began_s] if task.began_s else [])]
    value: dict[str, Any] = {"n": chunk.attempts}
    if chunk.done:
        value["d"] = f"{chunk.done:x}"
    if chunk.failed:
        value["f"] = f"{chunk.failed:x}"
    if places:
        value["a"] = places
    if chunk.number == 0 and job.stops:
        value["w"] = list(job.stops)
    return value


def read_chunk(number: int, value: dict[str, Any], stamp: int) -> tuple[Chunk, dict[int, tuple[int, str, int]]]:
    """Decodes a chunk_value: the chunk, and for each place the attempt, the machine and when the task began."""
    done, failed = int(value.get("d", "0"), 16), int(value.get("f", "0"), 16)
    chunk = Chunk(number, int(value.get("n", 0)), done, failed, stamp)
    places = {
        int(index): (place[0], place[1], place[2] if len(place) > 2 else 0)
        for index, place in value.get("a", {}).items()
    }
    return chunk, places


def allowed_on(spec: JobSpec, machine_type: str, zone: str, spot: bool) -> bool:
    """Returns whether the job's tasks may run on machines of this type and zone, spot or not."""
    return (
        (spec.types is None or machine_type in spec.types)
        and (spec.zone is None or zone == spec.zone)
        and (spec.spot or not spot)
    )


@dataclass(slots=True, eq=False)
class Machine:
    """A machine, from its rental to the proof that it is gone."""

    name: str
    type: str
    zone: str
    spot: bool
    rental: str
    cpus: float
    gpus: float
    ram_gb: float
    rented_us: int
    phase: str = BOOTING
    address: str = ""
    session: int = 0
    serial: int = 0
    #: (session, serial) of the newest report that it sent by itself: answers to earlier ones have no effect any more.
    latest_own_report: tuple[int, int] = (0, 0)
    ignored_answers: int = 0  # consecutive answers that had no effect
    ignored_answer_us: int = 0  # when the last of these was detected
    unresponsive_until_us: int = 0  # no tasks are placed on it until then
    behind_us: int = 0  # since when its reports show an older token despite our answers; 0: they do not
    last_contact_us: int = 0  # last report or answer to a direct call
    last_report_us: int = 0  # last report by itself: only the answer to one can start a task
    idle_since_us: int = 0
    recall_deadline_us: int | None = None
    drain_reason: str = ""  # why no new tasks are placed here; empty: they may be
    tasks: dict[tuple[str, int], Task] = field(default_factory=dict)
    images: dict[str, float] = field(default_factory=dict)
    failures_by_job: dict[str, int] = field(default_factory=dict)  # failures here by job since a task last completed
    suspect_since_us: int = 0  # since when it is suspected of causing the failures here; 0: it is not
    probes_failed: int = 0
    probe_result: str = ""  # result of the last call to it while it is silent
    last_probe_us: int = 0  # when it was last called while silent
    mass_failure: str = ""  # the mass failure that it was lost in
    relative_runtime: float = 1.0  # run times here relative to those of the same jobs elsewhere, smoothed
    listed: str = ""
    inherited: bool = False  # known from an earlier leader's record
    seen_us: int = 0  # if inherited: latest contact with any controller; 0: none was reported
    saw_rental_answer: bool = True  # False: `rented_us` is only when this controller first saw it
    reserved: str = ""  # job that tasks here were stopped for; no other job may use the capacity
    reserved_until_us: int = 0
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_ram_gb: float = 0.0

    def __post_init__(self) -> None:
        self.free_cpus, self.free_gpus, self.free_ram_gb = self.cpus, self.gpus, self.ram_gb

    def fits(self, spec: JobSpec) -> bool:
        """Returns whether one task of this job fits into the free capacity."""
        return (
            self.free_cpus + 1e-9 >= spec.cpus
            and self.free_gpus + 1e-9 >= spec.gpus
            and self.free_ram_gb + 1e-9 >= spec.ram_gb
        )

    def allows(self, spec: JobSpec) -> bool:
        """Returns whether this job's tasks may run on this type, zone and kind of machine."""
        return allowed_on(spec, self.type, self.zone, self.spot)

    def completed(self, job: Job, run_us: int) -> None:
        """Compares a run with runs of the same array on other machines, as some machines are far slower."""
        job.runs = job.runs if job.runs is not None else deque(maxlen=RECENT_RUNS)
        others = [other_us for name, other_us in job.runs if name != self.name]
        job.runs.append((self.name, run_us))
        if len(others) >= 2:
            self.relative_runtime += RELATIVE_RUNTIME_WEIGHT * (
                run_us / max(1.0, median(others)) - self.relative_runtime
            )

    @property
    def last_us(self) -> int:
        """Last contact with this leader or, before its election, with any controller; 0: none is known."""
        return self.last_contact_us or self.seen_us

    @property
    def slow(self) -> bool:
        """True if clearly slower than others: tasks avoid it while they can, and it is returned first."""
        return self.relative_runtime > SLOW_RELATIVE_RUNTIME

    def used_image(self, image: str, size_gb: float, cache_gb: float) -> None:
        """Marks an image as most recently used and evicts the least recently used ones beyond the cache size.

        A long-lived machine has fetched more images than it holds, and a start that counts on an evicted
        image waits for its fetch. Without a known cache size all images are kept.
        """
        self.images.pop(image, None)
        self.images[image] = size_gb
        if not cache_gb:
            return
        in_use = {task.job.spec.image for task in self.tasks.values()}
        excess_gb = sum(self.images.values()) - cache_gb
        for old, old_gb in list(self.images.items()):
            if excess_gb <= 0:
                return
            if old not in in_use and old != image:
                del self.images[old]
                excess_gb -= old_gb

    @property
    def fetching(self) -> bool:
        """True if a task here waits for its image to be fetched."""
        return any(task.job.spec.image not in self.images for task in self.tasks.values())

    def add(self, task: Task) -> None:
        """Reserves the task's capacity."""
        spec = task.job.spec
        self.tasks[spec.id, task.index] = task
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_ram_gb -= spec.ram_gb

    def remove(self, task: Task) -> None:
        """Releases the task's capacity."""
        spec = task.job.spec
        if self.tasks.get((spec.id, task.index)) is task:
            del self.tasks[spec.id, task.index]
            self.free_cpus += spec.cpus
            self.free_gpus += spec.gpus
            self.free_ram_gb += spec.ram_gb
