"""What the state service says of jobs, machines and who runs where, kept as its records change.

Every controller follows one; whoever is elected leads on the same objects and has nothing left to build but what
is newer than the last change it saw. A plain rebuild is `apply` on every record, so a follower and a rebuild can
differ only by the order in which records came, and must not (`tests/test_standby.py`).

Nothing is decided here and nothing has an effect: what a leader has to do for a record (stop what a cancelled
job has on machines, ask again for a rental without an answer) is only noted for its first moments.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from tideusher.clock import to_us
from tideusher.config import Config, Policy, Team
from tideusher.core.model import audit, keys
from tideusher.core.model.arrivals import Arrivals
from tideusher.core.model.contacts import ZoneContacts
from tideusher.core.model.held_records import HeldRecord, HeldRecords, RecordName
from tideusher.core.model.job_record import holder, is_final
from tideusher.core.model.ledger import Ledger
from tideusher.core.model.pages import is_fenced
from tideusher.core.model.placements import Placements
from tideusher.core.model.records import (
    ASSIGNED,
    BOOTING,
    CHUNK_TASKS,
    OPEN,
    RETURNING,
    Chunk,
    Job,
    Machine,
    Task,
    chunk_value,
    read_chunk,
)
from tideusher.core.model.rentals import Rental, RentalIndex
from tideusher.wire.cloud import MachineType
from tideusher.wire.jobs import JobSpec

RecordOf = Callable[[str], dict[str, Any] | None]

#: Records whose change means nothing to another one: the rest must come in this order in a rebuild.
ORDER = (
    keys.TYPES,
    keys.RATIOS,
    keys.RENTAL_PREFIX,
    keys.FALL_PREFIX,
    keys.JOB_PREFIX,
    keys.CHUNK_PREFIX,
    keys.PAGE_PREFIX,
)


class ClusterState:
    """Owns the jobs, machines, rentals and charges; who leads changes them by its own transitions."""

    def __init__(
        self,
        config: Config,
        policy: Policy,
        now_us: int,
        wall_us: Callable[[], int],
        record_of: RecordOf = lambda job_id: None,
    ) -> None:
        self._wall_us, self._record_of = wall_us, record_of
        settings = config.settings
        self.teams: dict[str, Team] = {team.name: team for team in settings.teams}
        self.jobs: dict[str, Job] = {}
        #: Those that a pass looks at: all but the ones that may not start yet and have nothing running.
        self.active: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.rentals: dict[str, Rental] = {}
        self.rental_index = RentalIndex(self.machines)
        self.types: dict[str, MachineType] = {}
        self.usage: dict[str, list[float]] = {name: [0.0, 0.0] for name in self.teams}
        self.ledger = Ledger(
            settings.teams, policy, now_us, wall_us(), int(settings.state.value_kb * 1024) if settings.state else None
        )
        self.arrivals = Arrivals()
        self.zones = ZoneContacts(to_us(settings.workers.report_s) if settings.workers else 0)
        #: Machines whose return was confirmed: one that reports all the same is returned again.
        self.gone: set[str] = set()
        self.mass_failures: dict[str, tuple[dict[str, Any], int]] = {}
        #: Where the first tasks of each job are on record.
        self.placements = Placements(self._is_open)
        #: Does the stored fence keep versions out that do not read pages?
        self.fenced = False
        #: Of each record as last applied; what differs from the mirror's has not been seen.
        self.stamps: dict[str, int] = {}
        # For whoever leads: jobs that it must settle first, records of jobs that are over, jobs with conditions,
        # and starts that the last written charges do not hold yet.
        self.unsettled: dict[str, None] = {}
        self.orphans: dict[str, int] = {}
        self.conditional: dict[str, None] = {}
        self.uncharged_starts: list[Task] = []
        self._held = HeldRecords()
        self.rebuilding = False

    # ---------------------------------------------------------------- records, one at a time

    def apply(self, key: str, value: Any, stamp: int, now_us: int) -> None:
        """A record is as the state service says now; None: it was removed. Older news than known is passed over."""
        if value is None or is_final(key, value):
            self.stamps.pop(key, None)
        elif stamp <= self.stamps.get(key, 0):
            return
        else:
            self.stamps[key] = stamp
        if key.startswith(keys.CHUNK_PREFIX):
            self._chunk(key, value, stamp, now_us)
        elif key.startswith(keys.PAGE_PREFIX):
            for job_id, record in self.placements.page_changed(key, value, stamp):
                self._shared(job_id, record, now_us)
        elif key == keys.FENCE:
            self.fenced = is_fenced(value, stamp)
        elif key.startswith(keys.JOB_PREFIX):
            self._job(key[len(keys.JOB_PREFIX) :], value, stamp, now_us)
        elif key.startswith(keys.RENTAL_PREFIX):
            self._rental(key[len(keys.RENTAL_PREFIX) :], value, now_us)
        elif key.startswith(keys.FALL_PREFIX):
            if value is None:
                self.mass_failures.pop(key, None)
            else:
                self.mass_failures[key] = (value, stamp)
        elif key == keys.TYPES and value is not None:
            self.set_machine_types(msgspec.convert(value, list[MachineType]))
        elif key == keys.RATIOS and value is not None:
            self.ledger.restore(value, now_us, self._wall_us())
            self.uncharged_starts.clear()

    def build(self, items: Mapping[str, tuple[Any, int]], now_us: int) -> None:
        """Apply all records: what a node does that has followed nothing yet."""
        known, self._record_of = self._record_of, lambda job_id: items.get(keys.job_key(job_id), (None, 0))[0]
        self.rebuilding = True  # of what is there already nobody knows since when
        for key in in_dependency_order(items):
            value, stamp = items[key]
            self.apply(key, {} if value is None else value, stamp, now_us)
        self.rebuilding, self._record_of = False, known

    def has_applied(self, key: str, value: Any, stamp: int) -> bool:
        """Was this record applied? Of jobs that are over nothing is kept, not even that: there are millions."""
        if is_final(key, value):
            return key[len(keys.JOB_PREFIX) :] not in self.jobs or key not in self.stamps
        return self.stamps.get(key) == stamp

    # ---------------------------------------------------------------- jobs

    def new_job(self, job_id: str, value: dict[str, Any], stamp: int, now_us: int) -> Job:
        """A job is known from now on; who leads says whether passes look at it."""
        spec = msgspec.convert(value["spec"], JobSpec)
        job = self.jobs[job_id] = Job(spec, stamp, value["at"], now_us, status=value["st"])
        job.hold, job.why = holder(value), value.get("why", "")
        return job

    def change_job(self, job: Job, value: dict[str, Any], stamp: int) -> tuple[bool, list[Task]]:
        """Its own record changed: is it over now, and which of its tasks are too many since it was made smaller?"""
        job.stamp = stamp
        if value["st"] != job.status:
            job.status, job.why = value["st"], value.get("why", "")
            return True, []
        tasks = value["spec"]["pieces"] if job.status == OPEN else job.spec.tasks
        return False, job.shrink(tasks) if tasks < job.spec.tasks else []

    def activate(self, job: Job, came_us: int) -> None:
        """Passes look at the job from now on."""
        self.active[job.spec.id] = job
        self.arrivals.came(job.spec, came_us)

    def forget(self, job: Job) -> None:
        """The job is over, and nothing of it is on a machine."""
        name = job.spec.id
        self.jobs.pop(name, None)
        self.active.pop(name, None)
        self.unsettled.pop(name, None)
        self.conditional.pop(name, None)

    def _job(self, job_id: str, value: dict[str, Any] | None, stamp: int, now_us: int) -> None:
        if value is None:
            return  # never: what became of a job is kept for ever
        job = self.jobs.get(job_id)
        if job is None:
            if value["st"] == OPEN and "spec" in value:
                job = self.new_job(job_id, value, stamp, now_us)
                self._admit(job, now_us)
                self._read_held(job, now_us)
                self._note(job)
            return
        if stamp <= job.stamp:
            return
        self.change_job(job, value, stamp)
        if job.status != OPEN and self.placements.is_over(job_id):
            self._tasks(job, 0, {}, 0, now_us)
        if job.status == OPEN and holder(value) != job.hold:
            job.hold = holder(value)
            self.conditional[job_id] = None
        self._note(job)

    def _admit(self, job: Job, now_us: int) -> None:
        """A job that may start at any time waits from when it came; others are judged by who leads."""
        if job.hold or job.spec.conditional:
            self.conditional[job.spec.id] = None
        else:
            self.activate(job, now_us - max(0, self._wall_us() - job.submitted_us))

    def _note(self, job: Job) -> None:
        """Does the job want something of a leader's first moments? One that is over and nowhere is forgotten."""
        name = job.spec.id
        if job.status != OPEN and not job.live:
            for number, chunk in job.chunks.items():
                self._hold(job, chunk)
                key = keys.chunk_key(name, number)
                if key in self.stamps:
                    self.orphans[key] = self.stamps[key]
            self.forget(job)
        elif job.status != OPEN or wants_settling(job):
            self.unsettled[name] = None
        else:
            self.unsettled.pop(name, None)

    # ---------------------------------------------------------------- who runs where

    def _is_open(self, job_id: str) -> bool:
        job = self.jobs.get(job_id)
        return job is not None and job.status == OPEN

    def _chunk(self, key: str, value: dict[str, Any] | None, stamp: int, now_us: int) -> None:
        """A record of a job's tasks under a key of its own."""
        job_id, number = keys.split_chunk_key(key)
        if value is None:
            self.orphans.pop(key, None)
        if number == 0 and not self.placements.own_changed(job_id, value, stamp):
            return  # it is in a page, or on its way to one
        self._tasks_of(RecordName(job_id, number), HeldRecord(value or {}, stamp), now_us)

    def _shared(self, job_id: str, value: dict[str, Any] | None, now_us: int) -> None:
        """A job's record in a page. It has no stamp of its own: the page is written for others too."""
        self._tasks_of(RecordName(job_id, 0), HeldRecord(value or {}, 0), now_us)

    def _tasks_of(self, name: RecordName, record: HeldRecord, now_us: int) -> None:
        """A record of tasks is like this now, whether its job is known or not."""
        self._held.drop(name)
        key = keys.chunk_key(*name)
        self.orphans.pop(key, None)
        job = self.jobs.get(name.job) or self._job_on_machines(name.job, record, now_us)
        if job is not None:
            self._tasks(job, name.number, record.value, record.stamp, now_us)
        elif record.value:
            self._held.hold(name, record)
            if key in self.stamps:
                self.orphans[key] = self.stamps[key]

    def _job_on_machines(self, job_id: str, record: HeldRecord, now_us: int) -> Job | None:
        """A job that is not known, of which the record has tasks on machines; None if it has none.

        It was cancelled, or its own record has not been seen yet.
        """
        value = self.value_on_machines(job_id, record.value)
        if value is None:
            return None
        job = self.new_job(job_id, value, record.stamp, now_us)
        job.stamp = self.stamps.get(keys.job_key(job_id), 0)
        self._admit(job, now_us)
        self._read_held(job, now_us)
        return job

    def value_on_machines(self, job_id: str, tasks: dict[str, Any]) -> dict[str, Any] | None:
        """The own record of a job with tasks on known machines, as far as it says what the job is."""
        if not any(place[1] in self.machines for place in tasks.get("a", {}).values()):
            return None
        value = self._record_of(job_id)
        return value if value is not None and "spec" in value else None

    def _read_held(self, job: Job, now_us: int) -> None:
        """Records of the job's tasks were seen before the job was known."""
        for number, record in self._held.of_job(job.spec.id):
            self.orphans.pop(keys.chunk_key(job.spec.id, number), None)
            self._read_tasks(job, number, record, now_us)

    def _hold(self, job: Job, chunk: Chunk) -> None:
        """Keep the record that the chunk was read from, if it is not held already: all of it is shown until now."""
        name = RecordName(job.spec.id, chunk.number)
        value = chunk_value(job, chunk) if name not in self._held else {}
        if value:
            self._held.hold(name, HeldRecord(value, chunk.stamp))

    def _tasks(self, job: Job, number: int, value: dict[str, Any], stamp: int, now_us: int) -> None:
        """What a record says of up to CHUNK_TASKS tasks of a job, wherever it is kept."""
        self._read_tasks(job, number, HeldRecord(value, stamp), now_us)
        self._note(job)

    def _read_tasks(self, job: Job, number: int, record: HeldRecord, now_us: int) -> None:
        name = RecordName(job.spec.id, number)
        self._held.drop(name)
        chunk, places = read_chunk(number, record.value, record.stamp)
        self._ends(job, chunk, removed=not record.value)
        if number == 0:
            job.stops = list(record.value.get("w", []))
        for index in range(number * CHUNK_TASKS, (number + 1) * CHUNK_TASKS):
            task, place = job.live.get(index), places.get(index)
            if task is not None and (place is None or (task.attempt, task.machine.name) != place[:2]):
                self._vanish(task, now_us)
                task = None
            if place is not None and not self._appear(job, index, place, task, now_us):
                self._held.hold(name, record)

    def _ends(self, job: Job, chunk: Chunk, removed: bool) -> None:
        """Which tasks of the chunk are over, and how many attempts there were; `removed`: its record is gone."""
        old = job.chunks.get(chunk.number)
        before = Chunk(chunk.number) if old is None else old
        job.done_count += chunk.done.bit_count() - before.done.bit_count()
        job.failed_count += chunk.failed.bit_count() - before.failed.bit_count()
        if removed:
            job.chunks.pop(chunk.number, None)
        else:
            job.chunks[chunk.number] = chunk
        for index in [i for i in job.retry or () if i // CHUNK_TASKS == chunk.number and job.is_over(i)]:
            job.over(index)
        no_longer_over = (before.done | before.failed) & ~(chunk.done | chunk.failed)  # its record was removed
        for bit in range(no_longer_over.bit_length()):
            if no_longer_over >> bit & 1:
                job.wait_again(chunk.number * CHUNK_TASKS + bit)

    def _appear(self, job: Job, index: int, place: tuple[int, str, int], task: Task | None, now_us: int) -> bool:
        attempt, host, began_s = place
        machine = self.machines.get(host)
        if machine is None:
            # No rental names the machine, and its name is removed only after its return was answered: the task went
            # with it. That it was there before any task of it was written the leader's order of writes ensures. If
            # the machine is adopted again its return has to be confirmed again, and the task holds its place until
            # then.
            return False
        if task is None:
            task = Task(job, index, attempt, machine, ASSIGNED, now_us, sent=(0, 0), inherited=True)
            first = job.charge_once(index)  # by the leader that placed it
            task.ready_us = 0 if self.rebuilding else now_us + self._fetch_us(task)
            if first and not self.rebuilding:
                self.uncharged_starts.append(task)
            self.place(task)
        task.began_s = began_s
        return True

    def _fetch_us(self, task: Task) -> int:
        kind, spec = self.types.get(task.machine.type), task.job.spec
        if kind is None or spec.image in task.machine.images:
            return 0
        return to_us(spec.image_gb / max(kind.fetch_gb_per_s, 1e-6))

    def _vanish(self, task: Task, now_us: int) -> None:
        """A record says no more that the task holds this place: its leader had proof."""
        if task.ready_us is not None and now_us > task.ready_us:
            self.used_image(task)
        self.unplace(task, now_us)

    def place(self, task: Task) -> None:
        """The task holds its place from now on."""
        task.job.take(task)
        task.machine.add(task)
        usage = self.usage.setdefault(task.job.spec.team, [0.0, 0.0])
        usage[0] += task.job.spec.cpus
        usage[1] += task.job.spec.gpus

    def unplace(self, task: Task, now_us: int) -> None:
        """The task holds its place no more."""
        job, machine = task.job, task.machine
        job.drop(task)
        machine.remove(task)
        usage = self.usage[job.spec.team]
        usage[0] -= job.spec.cpus
        usage[1] -= job.spec.gpus
        if not machine.tasks:
            machine.idle_since_us = now_us

    def used_image(self, task: Task) -> None:
        """The task's machine has its image, as the one most recently used."""
        kind = self.types.get(task.machine.type)
        spec = task.job.spec
        task.machine.used_image(spec.image, spec.image_gb, kind.cache_gb if kind else 0.0)

    # ---------------------------------------------------------------- machines

    def set_machine_types(self, types: Iterable[MachineType]) -> None:
        """Machine types became known or prices changed."""
        first = not self.types
        self.types.clear()
        self.types.update((kind.name, kind) for kind in types)
        for machine in self.machines.values() if first else ():
            kind = self.types.get(machine.type)
            if kind is not None and not machine.gpus and not machine.cpus:
                machine.cpus, machine.gpus, machine.ram_gb = kind.cpus, kind.gpus, kind.ram_gb
                machine.free_cpus += kind.cpus
                machine.free_gpus += kind.gpus
                machine.free_ram_gb += kind.ram_gb

    def add_machine(self, name: str, rental: Rental, now_us: int) -> Machine:
        """A machine is known from now on."""
        kind = self.types.get(rental.type)
        cpus, gpus, ram = (kind.cpus, kind.gpus, kind.ram_gb) if kind else (0.0, 0.0, 0.0)
        machine = Machine(
            name, rental.type, rental.zone, rental.spot, rental.name, cpus, gpus, ram, now_us, idle_since_us=now_us
        )
        self.machines[name] = machine
        return machine

    def _rental(self, name: str, value: dict[str, Any] | None, now_us: int) -> None:
        rental = self.rentals.get(name)
        if rental is None:
            if value is None:
                return
            rental = self.rentals[name] = Rental(name, value["type"], value["zone"], value["spot"], value["count"])
        before, returned = rental.machines, rental.returning
        if value is None:
            del self.rentals[name]
            self.rental_index.replace(rental, [], [])
        else:
            rental.answered = value["answered"]
            self.rental_index.replace(rental, value["machines"], value["returning"])
        for host in rental.machines:
            self._name(host, now_us)
        for host in before:
            if host not in rental.machines:
                if host in returned:
                    self.gone.add(host)
                self._unname(host, now_us)

    def _name(self, host: str, now_us: int) -> None:
        """A rental names the machine, or says something else of its return."""
        machine = self.machines.get(host)
        if machine is not None:
            self._read_return(machine)
            return
        machine = self.add_machine(host, self.rental_index.rentals_with(host)[0], now_us)
        machine.inherited = True
        machine.saw_rental_answer = not self.rebuilding
        self._read_return(machine)
        for name in self._held.on_machine(host):
            record = self._held.get(name)  # None: it was read with another of its job
            if record is not None:
                self._tasks_of(name, record, now_us)

    def _unname(self, host: str, now_us: int) -> None:
        """A rental names the machine no more; when none does, the machine is gone."""
        machine = self.machines.get(host)
        if machine is None:
            return
        if self.rental_index.rentals_with(host):
            self._read_return(machine)
            return
        del self.machines[host]
        for task in machine.tasks.values():
            self._hold(task.job, task.job.chunk_of(task.index))
        for task in list(machine.tasks.values()):
            self._vanish(task, now_us)
            self._note(task.job)

    def _read_return(self, machine: Machine) -> None:
        """Whether the machine's return was asked, as the records now say."""
        asked = self.rental_index.return_asked(machine.name)
        if asked != (machine.phase == RETURNING):
            machine.phase = RETURNING if asked else BOOTING
            machine.drain_reason = "its return was asked" if asked else ""

    # ---------------------------------------------------------------- is it true?

    def comparable(self) -> dict[str, Any]:
        """All that a record says, in plain values: the same for a follower and a rebuild, whatever came when."""
        return audit.comparable(self)

    def matches(self, key: str, value: Any) -> bool:
        """Does the picture say what this record says?"""
        return audit.matches(self, key, value)

    def describe_mismatch(self, key: str, value: Any) -> str:
        """What of a record the picture does not say, for the log."""
        return audit.describe_mismatch(self, key, value)


def in_dependency_order(names: Iterable[str]) -> list[str]:
    """Keys in the order in which one record rests on another."""

    def place(key: str) -> tuple[int, str]:
        return next((n for n, prefix in enumerate(ORDER) if key.startswith(prefix)), len(ORDER)), key

    return sorted(names, key=place)


def wants_settling(job: Job) -> bool:
    """Must a leader that inherits the open job look at it at once?

    All tasks over and not yet `done`; a gang of which only a part has its places; places beyond what it was made
    smaller to; tasks that ran longer than their limit and are still there.
    """
    if job.over_count >= job.spec.tasks and not job.is_service:
        return True
    if job.is_gang and not job.failed_count and 0 < len(job.live) + job.done_count < job.spec.tasks:
        return True
    if job.failed_count and job.live:
        return True
    return job.widest > job.spec.tasks and any(index >= job.spec.tasks for index in job.live)
