"""In-memory state of jobs, machines and placements, kept in step with the records of the state service.

Every controller maintains a replica. A newly elected leader continues on the same objects and only has to apply the
changes after the last one it received. A rebuild is `apply` on every record, so a replica and a rebuild can differ
only in the order in which they received the records; that order must make no difference (`tests/test_standby.py`).

This module makes no decisions and has no side effects. Actions that a record requires of the leader (stopping the
tasks of a cancelled job, repeating a rental request without an answer) are only noted here; the leader carries them
out right after its election.
"""

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from tideusher.clock import to_us
from tideusher.config import Config, Policy, Team
from tideusher.core.model import audit, keys, machine_catalogue
from tideusher.core.model.arrivals import Arrivals
from tideusher.core.model.contacts import ZoneContacts
from tideusher.core.model.held_records import HeldRecord, HeldRecords, RecordName
from tideusher.core.model.job_record import holder, is_final, sent_amounts
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
from tideusher.wire.cloud import MachineType, computable_type
from tideusher.wire.jobs import JobSpec, computable

LOG = logging.getLogger("cluster")

RecordOf = Callable[[str], dict[str, Any] | None]

#: Order in which a rebuild applies the records: each kind may depend on the kinds before it. All others come last.
APPLY_ORDER = (
    keys.TYPES,
    keys.RATIOS,
    keys.RENTAL_PREFIX,
    keys.FALL_PREFIX,
    keys.JOB_PREFIX,
    keys.CHUNK_PREFIX,
    keys.PAGE_PREFIX,
)


class ClusterState:
    """Holds the jobs, machines, rentals and charges; the leader also changes them by its own transitions."""

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
        #: Jobs that scheduling passes consider: all except those that may not start yet and have nothing running.
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
        #: Machines whose return was confirmed; one that reports nevertheless is returned again.
        self.gone: set[str] = set()
        self.mass_failures: dict[str, tuple[dict[str, Any], int]] = {}
        #: Location of the record of each job's first tasks.
        self.placements = Placements(self._is_open)
        #: True if the stored fence excludes software versions that do not read pages.
        self.fenced = False
        #: Stamp of each record as last applied; one that differs from the mirror's has a change not applied yet.
        self.stamps: dict[str, int] = {}
        # For the next leader: jobs that it must settle first, records of jobs that are over, jobs with conditions,
        # and starts that the last written charges do not include yet.
        self.unsettled: dict[str, None] = {}
        self.orphans: dict[str, int] = {}
        self.conditional: dict[str, None] = {}
        self.uncharged_starts: list[Task] = []
        #: The records of the machine types by part number, as applied.
        self.type_parts: dict[int, Any] = {}
        self._held = HeldRecords()
        self.rebuilding = False

    # ---------------------------------------------------------------- applying records

    def apply(self, key: str, value: Any, stamp: int, now_us: int) -> None:
        """Applies the present value of a record (None: it was removed); ignores values older than the one known."""
        if value is None or is_final(key, value):
            self.stamps.pop(key, None)
        elif stamp <= self.stamps.get(key, 0):
            return
        else:
            self.stamps[key] = stamp
        if key.startswith(keys.CHUNK_PREFIX):
            self._apply_chunk(key, value, stamp, now_us)
        elif key.startswith(keys.PAGE_PREFIX):
            for job_id, record in self.placements.page_changed(key, value, stamp):
                self._apply_page_member(job_id, record, now_us)
        elif key == keys.FENCE:
            self.fenced = is_fenced(value, stamp)
        elif key.startswith(keys.JOB_PREFIX):
            self._apply_job(key[len(keys.JOB_PREFIX) :], value, stamp, now_us)
        elif key.startswith(keys.RENTAL_PREFIX):
            self._apply_rental(key[len(keys.RENTAL_PREFIX) :], value, now_us)
        elif key.startswith(keys.FALL_PREFIX):
            if value is None:
                self.mass_failures.pop(key, None)
            else:
                self.mass_failures[key] = (value, stamp)
        elif keys.is_types_key(key):
            self._apply_types(key, value)
        elif key == keys.RATIOS and value is not None:
            self.ledger.restore(value, now_us, self._wall_us())
            self.uncharged_starts.clear()

    def build(self, items: Mapping[str, tuple[Any, int]], now_us: int) -> None:
        """Rebuilds the state from all records, for a node that has applied no changes yet."""
        known, self._record_of = self._record_of, lambda job_id: items.get(keys.job_key(job_id), (None, 0))[0]
        self.rebuilding = True  # it is unknown since when the existing machines and placements are there
        for key in in_dependency_order(items):
            value, stamp = items[key]
            self.apply(key, {} if value is None else value, stamp, now_us)
        self.rebuilding, self._record_of = False, known

    def has_applied(self, key: str, value: Any, stamp: int) -> bool:
        """Returns whether this record was applied.

        No stamps are kept of jobs that are over, as there are millions of them.
        """
        if is_final(key, value):
            return key[len(keys.JOB_PREFIX) :] not in self.jobs or key not in self.stamps
        return self.stamps.get(key) == stamp

    # ---------------------------------------------------------------- jobs

    def new_job(self, job_id: str, value: dict[str, Any], stamp: int, now_us: int) -> Job:
        """Adds a job; the caller decides whether scheduling passes consider it."""
        stored = msgspec.convert(value["spec"], JobSpec)
        spec = computable(stored)
        if spec is not stored:
            LOG.info("job %s has amounts that nothing can be computed with: the nearest bounds are used", job_id)
        job = self.jobs[job_id] = Job(spec, stamp, value["at"], now_us, status=value["st"])
        job.hold, job.why = holder(value), value.get("why", "")
        job.sent_amounts = sent_amounts(value) or None
        return job

    def change_job(self, job: Job, value: dict[str, Any], stamp: int) -> tuple[bool, list[Task]]:
        """Applies a change of the job's own record.

        Returns whether the job's status changed, and the placed tasks beyond its size if it was shrunk.
        """
        job.stamp = stamp
        if value["st"] != job.status:
            job.status, job.why = value["st"], value.get("why", "")
            return True, []
        tasks = value["spec"]["pieces"] if job.status == OPEN else job.spec.tasks
        return False, job.shrink(tasks) if tasks < job.spec.tasks else []

    def activate(self, job: Job, queued_us: int) -> None:
        """Has scheduling passes consider the job."""
        self.active[job.spec.id] = job
        self.arrivals.record(job.spec, queued_us)

    def forget(self, job: Job) -> None:
        """Removes a job that is over and has no tasks on machines."""
        name = job.spec.id
        self.jobs.pop(name, None)
        self.active.pop(name, None)
        self.unsettled.pop(name, None)
        self.conditional.pop(name, None)

    def _apply_job(self, job_id: str, value: dict[str, Any] | None, stamp: int, now_us: int) -> None:
        if value is None:
            return  # does not happen: the final record of a job is kept forever
        job = self.jobs.get(job_id)
        if job is None:
            if value["st"] == OPEN and "spec" in value:
                job = self.new_job(job_id, value, stamp, now_us)
                self._activate_if_unconditional(job, now_us)
                self._read_held(job, now_us)
                self._note_unsettled(job)
            return
        if stamp <= job.stamp:
            return
        self.change_job(job, value, stamp)
        if job.status != OPEN and self.placements.job_ended(job_id):
            self._apply_known_tasks(job, 0, {}, 0, now_us)
        if job.status == OPEN and holder(value) != job.hold:
            job.hold = holder(value)
            self.conditional[job_id] = None
        self._note_unsettled(job)

    def _activate_if_unconditional(self, job: Job, now_us: int) -> None:
        """Activates a job without conditions as of its submission; the leader evaluates the conditions of others."""
        if job.hold or job.spec.conditional:
            self.conditional[job.spec.id] = None
        else:
            self.activate(job, now_us - max(0, self._wall_us() - job.submitted_us))

    def _note_unsettled(self, job: Job) -> None:
        """Notes whether a new leader must settle the job; forgets a job that is over and has no tasks on machines."""
        name = job.spec.id
        if job.status != OPEN and not job.live:
            for number, chunk in job.chunks.items():
                self._hold_chunk(job, chunk)
                key = keys.chunk_key(name, number)
                if key in self.stamps:
                    self.orphans[key] = self.stamps[key]
            self.forget(job)
        elif job.status != OPEN or wants_settling(job):
            self.unsettled[name] = None
        else:
            self.unsettled.pop(name, None)

    # ---------------------------------------------------------------- placements

    def _is_open(self, job_id: str) -> bool:
        job = self.jobs.get(job_id)
        return job is not None and job.status == OPEN

    def _apply_chunk(self, key: str, value: dict[str, Any] | None, stamp: int, now_us: int) -> None:
        """Applies a chunk record that is stored under a key of its own."""
        job_id, number = keys.split_chunk_key(key)
        if value is None:
            self.orphans.pop(key, None)
        if number == 0 and not self.placements.own_changed(job_id, value, stamp):
            return  # the newest record is in a page, or moving to one
        self._apply_tasks(RecordName(job_id, number), HeldRecord(value or {}, stamp), now_us)

    def _apply_page_member(self, job_id: str, value: dict[str, Any] | None, now_us: int) -> None:
        """Applies a job's record in a page; it has no stamp of its own, as the page is written for other jobs too."""
        self._apply_tasks(RecordName(job_id, 0), HeldRecord(value or {}, 0), now_us)

    def _apply_tasks(self, name: RecordName, record: HeldRecord, now_us: int) -> None:
        """Applies a chunk record, whether its job is known or not."""
        self._held.drop(name)
        key = keys.chunk_key(*name)
        self.orphans.pop(key, None)
        job = self.jobs.get(name.job) or self._add_job_on_machines(name.job, record, now_us)
        if job is not None:
            self._apply_known_tasks(job, name.number, record.value, record.stamp, now_us)
        elif record.value:
            self._held.hold(name, record)
            if key in self.stamps:
                self.orphans[key] = self.stamps[key]

    def _add_job_on_machines(self, job_id: str, record: HeldRecord, now_us: int) -> Job | None:
        """Adds an unknown job whose chunk record has tasks on known machines; returns None if it has none.

        The job was cancelled, or its own record has not been applied yet.
        """
        value = self.value_on_machines(job_id, record.value)
        if value is None:
            return None
        job = self.new_job(job_id, value, record.stamp, now_us)
        job.stamp = self.stamps.get(keys.job_key(job_id), 0)
        self._activate_if_unconditional(job, now_us)
        self._read_held(job, now_us)
        return job

    def value_on_machines(self, job_id: str, tasks: dict[str, Any]) -> dict[str, Any] | None:
        """Returns the own record of a job with tasks on known machines; None if that does not contain the spec."""
        if not any(place[1] in self.machines for place in tasks.get("a", {}).values()):
            return None
        value = self._record_of(job_id)
        return value if value is not None and "spec" in value else None

    def _read_held(self, job: Job, now_us: int) -> None:
        """Applies the job's chunk records that arrived before the job was known."""
        for number, record in self._held.of_job(job.spec.id):
            self.orphans.pop(keys.chunk_key(job.spec.id, number), None)
            self._read_tasks(job, number, record, now_us)

    def _hold_chunk(self, job: Job, chunk: Chunk) -> None:
        """Holds the record that the chunk was read from unless it is held already; until now it was fully applied."""
        name = RecordName(job.spec.id, chunk.number)
        value = chunk_value(job, chunk) if name not in self._held else {}
        if value:
            self._held.hold(name, HeldRecord(value, chunk.stamp))

    def _apply_known_tasks(self, job: Job, number: int, value: dict[str, Any], stamp: int, now_us: int) -> None:
        """Applies a chunk record of a known job, in a page or under a key of its own."""
        self._read_tasks(job, number, HeldRecord(value, stamp), now_us)
        self._note_unsettled(job)

    def _read_tasks(self, job: Job, number: int, record: HeldRecord, now_us: int) -> None:
        name = RecordName(job.spec.id, number)
        self._held.drop(name)
        chunk, places = read_chunk(number, record.value, record.stamp)
        self._apply_finished(job, chunk, removed=not record.value)
        if number == 0:
            job.stops = list(record.value.get("w", []))
        for index in range(number * CHUNK_TASKS, (number + 1) * CHUNK_TASKS):
            task, place = job.live.get(index), places.get(index)
            if task is not None and (place is None or (task.attempt, task.machine.name) != place[:2]):
                self._remove_placed(task, now_us)
                task = None
            if place is not None and not self._add_placed(job, index, place, task, now_us):
                self._held.hold(name, record)

    def _apply_finished(self, job: Job, chunk: Chunk, removed: bool) -> None:
        """Applies the finished tasks and the attempt counter of a chunk; `removed`: its record no longer exists."""
        old = job.chunks.get(chunk.number)
        before = Chunk(chunk.number) if old is None else old
        job.done_count += chunk.done.bit_count() - before.done.bit_count()
        job.failed_count += chunk.failed.bit_count() - before.failed.bit_count()
        if removed:
            job.chunks.pop(chunk.number, None)
        else:
            job.chunks[chunk.number] = chunk
        for index in [i for i in job.retry or () if i // CHUNK_TASKS == chunk.number and job.is_over(i)]:
            job.drop_retry(index)
        reopened = (before.done | before.failed) & ~(chunk.done | chunk.failed)  # its record was removed
        for bit in range(reopened.bit_length()):
            if reopened >> bit & 1:
                job.wait_again(chunk.number * CHUNK_TASKS + bit)

    def _add_placed(self, job: Job, index: int, place: tuple[int, str, int], task: Task | None, now_us: int) -> bool:
        attempt, host, began_s = place
        machine = self.machines.get(host)
        if machine is None:
            # No rental names the machine, and a rental drops a machine's name only after its return was confirmed, so
            # the task is gone with it. The leader writes a machine's rental before any task on it, so the name cannot
            # be missing because it is not written yet. If the machine is adopted again, its return has to be
            # confirmed again and the task holds its place until then.
            return False
        if task is None:
            task = Task(job, index, attempt, machine, ASSIGNED, now_us, sent=(0, 0), inherited=True)
            first = job.mark_start_charged(index)  # charged by the leader that placed it
            task.ready_us = 0 if self.rebuilding else now_us + self.image_fetch_us(task)
            if first and not self.rebuilding:
                self.uncharged_starts.append(task)
            self.place(task)
        task.began_s = began_s
        return True

    def image_fetch_us(self, task: Task) -> int:
        """Returns how long the task's machine takes to fetch its image; 0 if it has it or is of an unknown type."""
        kind, spec = self.types.get(task.machine.type), task.job.spec
        if kind is None or spec.image in task.machine.images:
            return 0
        return to_us(spec.image_gb / max(kind.fetch_gb_per_s, 1e-6))

    def _remove_placed(self, task: Task, now_us: int) -> None:
        """Removes a task whose place is no longer on record: the leader that wrote that had proof that it is gone."""
        if task.ready_us is not None and now_us > task.ready_us:
            self.used_image(task)
        self.unplace(task, now_us)

    def place(self, task: Task) -> None:
        """Adds the task to its job and machine and to its team's usage."""
        task.job.take(task)
        task.machine.add(task)
        usage = self.usage.setdefault(task.job.spec.team, [0.0, 0.0])
        usage[0] += task.job.spec.cpus
        usage[1] += task.job.spec.gpus

    def unplace(self, task: Task, now_us: int) -> None:
        """Removes the task from its job and machine and from its team's usage."""
        job, machine = task.job, task.machine
        job.drop(task)
        machine.remove(task)
        usage = self.usage[job.spec.team]
        usage[0] -= job.spec.cpus
        usage[1] -= job.spec.gpus
        if not machine.tasks:
            machine.idle_since_us = now_us

    def used_image(self, task: Task) -> None:
        """Marks the task's image as the most recently used one on its machine."""
        kind = self.types.get(task.machine.type)
        spec = task.job.spec
        task.machine.used_image(spec.image, spec.image_gb, kind.cache_gb if kind else 0.0)

    # ---------------------------------------------------------------- machines

    def set_machine_types(self, types: Iterable[MachineType]) -> None:
        """Replaces the machine types; machines of a type that was not known get their capacity."""
        known_before = set(self.types)
        self.types.clear()
        for offered in types:
            counted = computable_type(offered)
            if counted is not None:
                self.types[offered.name] = counted
            else:
                LOG.error("machine type %s has amounts that are no numbers from 0 on: it is not used", offered.name)
        if self.types.keys() <= known_before:
            return
        for machine in self.machines.values():
            kind = self.types.get(machine.type) if machine.type not in known_before else None
            if kind is not None and not machine.gpus and not machine.cpus:
                machine.cpus, machine.gpus, machine.ram_gb = kind.cpus, kind.gpus, kind.ram_gb
                machine.free_cpus += kind.cpus
                machine.free_gpus += kind.gpus
                machine.free_ram_gb += kind.ram_gb

    def _apply_types(self, key: str, value: Any) -> None:
        if value is not None:
            self.type_parts[keys.types_number(key)] = value
        else:
            self.type_parts.pop(keys.types_number(key), None)
        if self.type_parts:
            values = {keys.types_key(number): part for number, part in self.type_parts.items()}
            self.set_machine_types(machine_catalogue.read(values.get))

    def add_machine(self, name: str, rental: Rental, now_us: int) -> Machine:
        """Adds a machine of the rental."""
        kind = self.types.get(rental.type)
        cpus, gpus, ram = (kind.cpus, kind.gpus, kind.ram_gb) if kind else (0.0, 0.0, 0.0)
        machine = Machine(
            name, rental.type, rental.zone, rental.spot, rental.name, cpus, gpus, ram, now_us, idle_since_us=now_us
        )
        self.machines[name] = machine
        return machine

    def _apply_rental(self, name: str, value: dict[str, Any] | None, now_us: int) -> None:
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
            self._machine_named(host, now_us)
        for host in before:
            if host not in rental.machines:
                if host in returned:
                    self.gone.add(host)
                self._machine_unnamed(host, now_us)

    def _machine_named(self, host: str, now_us: int) -> None:
        """Adds a machine that a rental names, or updates whether its return was requested."""
        machine = self.machines.get(host)
        if machine is not None:
            self._update_returning(machine)
            return
        machine = self.add_machine(host, self.rental_index.rentals_with(host)[0], now_us)
        machine.inherited = True
        machine.saw_rental_answer = not self.rebuilding
        self._update_returning(machine)
        for name in self._held.on_machine(host):
            record = self._held.get(name)  # None: it was applied with another record of its job
            if record is not None:
                self._apply_tasks(name, record, now_us)

    def _machine_unnamed(self, host: str, now_us: int) -> None:
        """Handles that a rental no longer names the machine; removes the machine if no other rental names it."""
        machine = self.machines.get(host)
        if machine is None:
            return
        if self.rental_index.rentals_with(host):
            self._update_returning(machine)
            return
        del self.machines[host]
        for task in machine.tasks.values():
            self._hold_chunk(task.job, task.job.chunk_of(task.index))
        for task in list(machine.tasks.values()):
            self._remove_placed(task, now_us)
            self._note_unsettled(task.job)

    def _update_returning(self, machine: Machine) -> None:
        """Updates the machine's phase from whether a rental has its return requested."""
        asked = self.rental_index.return_asked(machine.name)
        if asked != (machine.phase == RETURNING):
            machine.phase = RETURNING if asked else BOOTING
            machine.drain_reason = "its return was asked" if asked else ""

    # ---------------------------------------------------------------- audit

    def comparable(self) -> dict[str, Any]:
        """Returns the state that derives from records as plain values; equal for a replica and a rebuild."""
        return audit.comparable(self)

    def matches(self, key: str, value: Any) -> bool:
        """Returns whether the state agrees with this record."""
        return audit.matches(self, key, value)

    def describe_mismatch(self, key: str, value: Any) -> str:
        """Describes for the log how the state differs from a record."""
        return audit.describe_mismatch(self, key, value)


def in_dependency_order(names: Iterable[str]) -> list[str]:
    """Returns the keys sorted so that each record follows those it depends on."""

    def place(key: str) -> tuple[int, str]:
        return next((n for n, prefix in enumerate(APPLY_ORDER) if key.startswith(prefix)), len(APPLY_ORDER)), key

    return sorted(names, key=place)


def wants_settling(job: Job) -> bool:
    """Returns whether a new leader must handle the open job at once.

    That is so if all its tasks are over and it is not yet `done`, if only a part of a gang has places, if tasks hold
    places beyond the size that the job was shrunk to, or if tasks that ran longer than their limit still hold places.
    """
    if job.over_count >= job.spec.tasks and not job.is_service:
        return True
    if job.is_gang and not job.failed_count and 0 < len(job.live) + job.done_count < job.spec.tasks:
        return True
    if job.failed_count and job.live:
        return True
    return job.placed_index_end > job.spec.tasks and any(index >= job.spec.tasks for index in job.live)
