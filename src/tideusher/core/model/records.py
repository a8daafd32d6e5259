"""Jobs, tasks and machines as the leader knows them, and how they are written to the state service.

Attempt numbers come from a counter per chunk (per job for gangs) that is persisted with every
assignment, so a number is never used twice for a task, whoever leads (docs/safety.md, 2).
"""

from collections import deque
from dataclasses import dataclass, field
from statistics import median
from typing import Any

import msgspec

from tideusher.wire.jobs import GANG, PRIORITIES, SERVICE, JobSpec
from tideusher.wire.workers import FETCHING, WAITING

#: Tasks per chunk record: at most some 30 bytes a task, well inside the smallest value limit.
CHUNK_TASKS = 64

# Phases of a task that holds a place.
COMMITTING = "committing"  # assignment not yet in the state service; nobody has heard of it
ASSIGNED = "assigned"  # persisted; `run` goes out with answers to reports
SEEN = "seen"  # the worker has listed it

CRITICAL = PRIORITIES.index("critical")  # the highest rank
#: What a job waits for that only a machine can give.
NO_CAPACITY = "room on a machine"

OPEN, JOB_DONE, JOB_CANCELLED = "open", "done", "cancelled"

#: A run weighs this much in a machine's pace; machines of one type differ by a tenth, faulty ones by far more.
PACE_WEIGHT = 0.3
SLOW_PACE = 1.4
RUNS_KEPT = 16

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
    #: (session, serial) of the last report that was answered with `run`; None: never sent by us.
    sent: tuple[int, int] | None = None
    inherited: bool = False
    state: str = ""
    running_us: int | None = None
    halt_grace_s: float | None = None
    halt_reason: str = ""
    move_to: "Machine | None" = None  # where it goes on once it is proven gone from here
    #: Inherited: when its image should have been there, if we saw it placed, and 0 if it was there before we looked;
    #: None: placed by this leader.
    ready_us: int | None = None
    #: Of a job with a limit: seconds from the job's submission to the task's first run, persisted.
    began_s: int = 0

    @property
    def name(self) -> str:
        """The wire's name of the task."""
        return f"{self.job.spec.id}/{self.index}"


@dataclass(slots=True, eq=False)
class Chunk:
    """The persisted part of up to CHUNK_TASKS consecutive tasks."""

    number: int
    attempts: int = 0
    done: int = 0  # bit i: task number*CHUNK_TASKS+i is done
    failed: int = 0  # bit i: that task ran longer than its limit and is not started again
    stamp: int = 0


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job that is not over, or whose tasks are not all proven gone."""

    spec: JobSpec
    stamp: int
    submitted_us: int  # time of day
    seen_us: int  # steady time at which this leader first saw it
    status: str = OPEN
    live: dict[int, Task] = field(default_factory=dict)
    chunks: dict[int, Chunk] = field(default_factory=dict)
    done_count: int = 0
    next_fresh: int = 0
    # Made when first needed, as most of what is empty here: of a job that has not begun it was two thirds.
    retry: set[int] | None = None
    error_machines: set[str] | None = None
    not_before_us: int = 0
    failures: int = 0
    stops: list[dict[str, Any]] = field(default_factory=list)
    finish_dirty: bool = False
    started: set[int] | None = None  # tasks whose minimum runtime was charged
    runs: deque[tuple[str, int]] | None = None  # machine and run time of the last few
    waiting_reason: str = "its first look by the scheduler"
    failed_count: int = 0
    widest: int = 0  # one more than the highest task that ever held a place: a service may have been shrunk
    hold: str = ""  # by whom it is held; empty: by nobody
    start_after_us: int = 0  # time of day before which nothing of it starts; 0: there is none, or it has come
    unmet: tuple[tuple[str, str], ...] = ()  # (kind, job) it still waits for
    was_blocked: bool = False  # was it ever kept from passes?
    seen_running: bool = False  # has this leader been told of a task of it that runs?
    all_started: bool = False  # did all its tasks begin to run, as far as this leader was told?
    why: str = ""  # why the service ended it

    @property
    def is_gang(self) -> bool:
        """All tasks at once or none."""
        return self.spec.shape == GANG

    @property
    def is_forming(self) -> bool:
        """A gang of which nothing has run yet: a replacement may still join its attempt."""
        return bool(self.live) and all(
            not task.inherited and task.halt_grace_s is None and task.state in ("", FETCHING, WAITING)
            for task in self.live.values()
        )

    @property
    def is_service(self) -> bool:
        """Runs until cancelled."""
        return self.spec.shape == SERVICE

    @property
    def zone_limit(self) -> int | None:
        """How many of its tasks one zone may hold; None: any number."""
        return -(-self.spec.tasks // 2) if self.spec.spread else None

    def zone_use(self) -> dict[str, int]:
        """How many of its tasks hold a place in each zone."""
        use: dict[str, int] = {}
        for task in self.live.values():
            use[task.machine.zone] = use.get(task.machine.zone, 0) + 1
        return use

    def may_join(self, zone: str) -> bool:
        """May one more task take a place in this zone, given where the others hold theirs?"""
        use, limit = self.zone_use(), self.zone_limit
        if self.spec.one_zone and any(other != zone for other in use):
            return False
        return limit is None or use.get(zone, 0) < limit

    @property
    def pending(self) -> int:
        """Tasks that hold no place and are not over (less those that are over and not yet gone)."""
        return self.spec.tasks - self.done_count - self.failed_count - len(self.live)

    @property
    def over_count(self) -> int:
        """Tasks that are not started again: done, or stopped at their limit."""
        return self.done_count + self.failed_count

    @property
    def blocked(self) -> bool:
        """Must it not start anything, whatever room there is?"""
        return bool(self.hold or self.start_after_us or self.unmet)

    @property
    def waits(self) -> bool:
        """Does it want places? Asked of every job several times a pass, hence in one expression."""
        return (
            self.status == OPEN
            and not (self.hold or self.start_after_us or self.unmet)
            and self.spec.tasks - self.done_count - self.failed_count > len(self.live)
        )

    @property
    def begun(self) -> bool:
        """Was a start of it ever persisted?"""
        return self.over_count > 0 or any(chunk.attempts for chunk in self.chunks.values())

    def chunk_of(self, index: int) -> Chunk:
        """The chunk record of a task, made when first needed."""
        number = index // CHUNK_TASKS
        chunk = self.chunks.get(number)
        if chunk is None:
            chunk = self.chunks[number] = Chunk(number)
        return chunk

    def is_done(self, index: int) -> bool:
        """Has this task completed?"""
        chunk = self.chunks.get(index // CHUNK_TASKS)
        return chunk is not None and bool(chunk.done >> (index % CHUNK_TASKS) & 1)

    def is_over(self, index: int) -> bool:
        """Is this task not to be started again?"""
        chunk = self.chunks.get(index // CHUNK_TASKS)
        return chunk is not None and bool((chunk.done | chunk.failed) >> (index % CHUNK_TASKS) & 1)

    def next_pending(self, count: int) -> list[int]:
        """Up to `count` tasks that wait for a place, interrupted ones first."""
        retry = self.retry or ()
        picked = sorted(retry)[:count]
        index = self.next_fresh
        while len(picked) < count and index < self.spec.tasks:
            if index not in self.live and index not in retry and not self.is_over(index):
                picked.append(index)
            index += 1
        return picked

    def take(self, task: Task) -> None:
        """The task holds a place from now on."""
        self.live[task.index] = task
        self.widest = max(self.widest, task.index + 1)
        self.over(task.index)
        while self.next_fresh < self.spec.tasks and (self.next_fresh in self.live or self.is_over(self.next_fresh)):
            self.next_fresh += 1

    def drop(self, task: Task) -> None:
        """The task holds no place any more; unless done it waits again."""
        if self.live.get(task.index) is task:
            del self.live[task.index]
            self.wait_again(task.index)

    def wait_again(self, index: int) -> None:
        """The task holds no place, or is not over any more: unless it is, it waits."""
        if index not in self.live and not self.is_over(index) and index < min(self.spec.tasks, self.next_fresh):
            self.retry = self.retry or set()
            self.retry.add(index)

    def shrink(self, tasks: int) -> list[Task]:
        """Have fewer tasks from now on, the first ones; returns those beyond that still hold a place."""
        self.spec = msgspec.structs.replace(self.spec, tasks=tasks)
        self.retry = {index for index in self.retry or () if index < tasks}
        return [task for task in self.live.values() if task.index >= tasks]

    def over(self, index: int) -> None:
        """The task is not started again."""
        if self.retry is not None:
            self.retry.discard(index)

    def charge_once(self, index: int) -> bool:
        """Is this the first time that the task's minimum runtime is to be charged?"""
        if self.started is None:
            self.started = set()
        news = index not in self.started
        self.started.add(index)
        return news

    def record_failure_on(self, machine: str) -> None:
        """A task of it failed there: others are tried first."""
        self.error_machines = self.error_machines or set()
        self.error_machines.add(machine)

    def mark_done(self, index: int) -> bool:
        """Record completion; True if it was news. What was stopped at its limit stays so."""
        chunk = self._ends(index)
        if chunk is None:
            return False
        chunk.done |= 1 << (index % CHUNK_TASKS)
        self.done_count += 1
        return True

    def mark_failed(self, index: int) -> bool:
        """Record that the task ran longer than its limit; True if it was news."""
        chunk = self._ends(index)
        if chunk is None:
            return False
        chunk.failed |= 1 << (index % CHUNK_TASKS)
        self.failed_count += 1
        return True

    def _ends(self, index: int) -> Chunk | None:
        """The chunk in which the end of a task is to be marked; None if it is over already."""
        if self.is_over(index):
            return None
        self.over(index)
        return self.chunk_of(index)


def chunk_value(job: Job, chunk: Chunk) -> dict[str, Any]:
    """A chunk as persisted: attempt counter, done bits, and who is where with which attempt."""
    first = chunk.number * CHUNK_TASKS
    places = {}
    for index in range(first, min(first + CHUNK_TASKS, max(job.spec.tasks, job.widest))):
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
    """The inverse of chunk_value: the chunk, and of each place the attempt, the machine and when it began."""
    done, failed = int(value.get("d", "0"), 16), int(value.get("f", "0"), 16)
    chunk = Chunk(number, int(value.get("n", 0)), done, failed, stamp)
    places = {
        int(index): (place[0], place[1], place[2] if len(place) > 2 else 0)
        for index, place in value.get("a", {}).items()
    }
    return chunk, places


def allowed_on(spec: JobSpec, machine_type: str, zone: str, spot: bool) -> bool:
    """May tasks of the job run on machines of this type, in this zone, of this kind?"""
    return (
        (spec.types is None or machine_type in spec.types)
        and (spec.zone is None or zone == spec.zone)
        and (spec.spot or not spot)
    )


@dataclass(slots=True, eq=False)
class Machine:
    """A machine from its rental to the proof that it is gone."""

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
    #: (session, serial) of the newest report that it sent by itself: answers to earlier ones do nothing any more.
    latest_own_report: tuple[int, int] = (0, 0)
    ignored_answers: int = 0  # answers in a row that had no effect
    ignored_answer_us: int = 0  # when the last of these was found
    unresponsive_until_us: int = 0  # nothing is placed there until then
    behind_us: int = 0  # since when its reports show an older token although we answered; 0: they do not
    last_contact_us: int = 0  # when it was heard last, by a report or in a direct answer
    last_report_us: int = 0  # when it last reported by itself: only then can it be told to start anything
    idle_since_us: int = 0
    recall_deadline_us: int | None = None
    drain_reason: str = ""  # why no new work goes here; empty: it may
    tasks: dict[tuple[str, int], Task] = field(default_factory=dict)
    images: dict[str, float] = field(default_factory=dict)
    failures_by_job: dict[str, int] = field(default_factory=dict)  # failures here by job, since a task was last done
    suspect_since_us: int = 0  # since when it may be at fault for what failed here; 0: it is not
    probes_failed: int = 0
    probe_result: str = ""  # what the last call to it found, while it is silent
    last_probe_us: int = 0  # when it was last called
    mass_failure: str = ""  # the fall that took it
    relative_runtime: float = 1.0  # run times here over those of the same jobs elsewhere, smoothed
    listed: str = ""
    inherited: bool = False  # known from an earlier leader's record
    seen_us: int = 0  # inherited: when some controller last heard it, at the latest; 0: nobody told us
    saw_rental_answer: bool = True  # did we see its rental answered? Else `rented_us` is no more than when we looked
    reserved: str = ""  # the job that stops were made for; nobody else may use the room
    reserved_until_us: int = 0
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_ram_gb: float = 0.0

    def __post_init__(self) -> None:
        self.free_cpus, self.free_gpus, self.free_ram_gb = self.cpus, self.gpus, self.ram_gb

    def fits(self, spec: JobSpec) -> bool:
        """Is there room for one task of this job?"""
        return (
            self.free_cpus + 1e-9 >= spec.cpus
            and self.free_gpus + 1e-9 >= spec.gpus
            and self.free_ram_gb + 1e-9 >= spec.ram_gb
        )

    def allows(self, spec: JobSpec) -> bool:
        """May this job's tasks run on this type, zone and kind of machine?"""
        return allowed_on(spec, self.type, self.zone, self.spot)

    def completed(self, job: Job, run_us: int) -> None:
        """Compare a run with the same array's runs on other machines: some machines are far slower."""
        job.runs = job.runs if job.runs is not None else deque(maxlen=RUNS_KEPT)
        others = [other_us for name, other_us in job.runs if name != self.name]
        job.runs.append((self.name, run_us))
        if len(others) >= 2:
            self.relative_runtime += PACE_WEIGHT * (run_us / max(1.0, median(others)) - self.relative_runtime)

    @property
    def last_us(self) -> int:
        """When it was last heard by this leader or, before it, by any controller; 0: never, as far as was told."""
        return self.last_contact_us or self.seen_us

    @property
    def slow(self) -> bool:
        """Clearly slower than others: work goes elsewhere while it can, and it is returned first."""
        return self.relative_runtime > SLOW_PACE

    def used_image(self, image: str, size_gb: float, cache_gb: float) -> None:
        """A task here has the image: it is the most recently used; the oldest beyond the cache are gone.

        A machine that lives long has fetched more than it holds, and a start that counts on an image
        that is gone waits for its fetch. Without a known cache all images are kept.
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
        """Is an image on its way to a task here?"""
        return any(task.job.spec.image not in self.images for task in self.tasks.values())

    def add(self, task: Task) -> None:
        """Reserve the task's room."""
        spec = task.job.spec
        self.tasks[spec.id, task.index] = task
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_ram_gb -= spec.ram_gb

    def remove(self, task: Task) -> None:
        """Give the task's room back."""
        spec = task.job.spec
        if self.tasks.get((spec.id, task.index)) is task:
            del self.tasks[spec.id, task.index]
            self.free_cpus += spec.cpus
            self.free_gpus += spec.gpus
            self.free_ram_gb += spec.ram_gb
