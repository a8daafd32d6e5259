"""The leader's state of jobs, tasks and machines, and all of its transitions.

Pure: time is passed in, and effects are collected in lists (commands in answer to a report, direct commands,
rentals, returns). What must be persisted goes through the WriteQueue; what may only be done after that is
attached to the write as an effect.
"""

import logging
from collections.abc import Callable, Iterable, Mapping, Set
from dataclasses import dataclass
from functools import partial
from typing import Any

import msgspec

from tideusher.clock import to_s, to_us
from tideusher.config import Config, Policy
from tideusher.core.decide import reachability, task_failures
from tideusher.core.decide.conditions import Conditions
from tideusher.core.decide.fleet import Fleet
from tideusher.core.decide.health import Health
from tideusher.core.decide.limits import Limits
from tideusher.core.decide.listings import left_out
from tideusher.core.decide.mass_failures import MASS_FAILURE_MACHINES, MassFailureDetector, SilenceReview
from tideusher.core.decide.pass_failures import PassFailures
from tideusher.core.decide.preempt import TeamStanding
from tideusher.core.decide.recovery import Recovery
from tideusher.core.decide.starts import Kind, kind_of, refusal, zones_of_others
from tideusher.core.decide.takeover_readiness import TakeoverReadiness
from tideusher.core.lead.own_machines import OwnMachines
from tideusher.core.lead.renting import Renting
from tideusher.core.model import keys, machine_catalogue
from tideusher.core.model.cluster_state import ClusterState, RecordOf
from tideusher.core.model.job_record import MAX_STOPS_KEPT, final_value, holder, over_limit_reason
from tideusher.core.model.pages import NULL, Pages, ReadValue
from tideusher.core.model.records import (
    ASSIGNED,
    CHUNK_TASKS,
    COMMITTING,
    CRITICAL,
    JOB_CANCELLED,
    JOB_DONE,
    NO_CAPACITY,
    OPEN,
    RETURNING,
    UP,
    Chunk,
    Job,
    Machine,
    Task,
    chunk_value,
)
from tideusher.core.model.rentals import ADOPTED, Rental
from tideusher.core.model.write_queue import Effect, Entry, RefusedWrite, WriteQueue
from tideusher.invariants import Invariants, Rule
from tideusher.metrics import Metrics
from tideusher.wire import workers
from tideusher.wire.amounts import DURATION
from tideusher.wire.cloud import FAILED, ListedMachine, MachineType
from tideusher.wire.jobs import JobSpec
from tideusher.wire.state import Guard
from tideusher.wire.workers import Command, Report

SHRUNK_REASON = "its user made the service smaller"


@dataclass(slots=True)
class DirectCommand:
    """A command sent to a worker in a call of its own, not in the answer to a report."""

    machine: Machine
    command: Command


class Cluster:
    """Owns the state that the leader decides on; all changes to it are methods here."""

    def __init__(
        self,
        config: Config,
        policy: Policy,
        token: int,
        now_us: int,
        wall_us: Callable[[], int],
        metrics: Metrics | None = None,
        record_of: RecordOf = lambda job_id: None,
        cluster_state: ClusterState | None = None,
        value_of: ReadValue = lambda key: None,
    ) -> None:
        """Args: `value_of` returns a key's value as of the newest read; needed where records share pages."""
        self.log = logging.getLogger("cluster")
        self.config, self.policy, self.token = config, policy, token
        self.metrics = metrics or Metrics()
        self.invariants: Invariants = Invariants(self.metrics)
        self.wall_us = wall_us
        settings = config.settings
        #: Replicated from the records until now; from here on only the transitions below change it.
        self.cluster_state = cluster_state or ClusterState(config, policy, now_us, wall_us, record_of)
        self.teams, self.usage = self.cluster_state.teams, self.cluster_state.usage
        self.jobs, self.active = self.cluster_state.jobs, self.cluster_state.active
        self.machines, self.rentals, self.gone = (
            self.cluster_state.machines,
            self.cluster_state.rentals,
            self.cluster_state.gone,
        )
        self.rental_index = self.cluster_state.rental_index
        self.ledger = self.cluster_state.ledger
        report_us = to_us(settings.workers.report_s)
        types, arrivals = self.cluster_state.types, self.cluster_state.arrivals
        self.fleet = Fleet(policy, settings.objectives, types, arrivals, report_us, self.is_guest)
        self.health = Health(config, policy, self.machines, self.fleet, now_us, self.cluster_state.zones)
        self.mass_failures = MassFailureDetector(
            config,
            self.machines,
            lambda: self.fleet.types,
            self.health,
            self._waits_for_capacity,
            self._is_preemptible,
        )
        workers_ = settings.workers
        self.takeover_readiness = TakeoverReadiness(
            self.machines, now_us, to_us(workers_.report_s), to_us(workers_.lease_s)
        )
        self.recovery = Recovery(self)
        self.conditions = Conditions(self, record_of)
        self.limits = Limits(self)
        #: Pages that hold the records of several small jobs; none until `share_records`.
        self.pages = Pages(lambda: int(settings.state.value_kb * 1024), value_of)
        self._fence = Entry(keys.FENCE, self._fence_value, 0)
        self._value_of = value_of
        self.write_queue: WriteQueue = WriteQueue(keys.LEADER, token, settings.state.txn_ops, self._fence, self.pages)
        self._entries: dict[str, Entry] = {}
        self.direct: list[DirectCommand] = []
        self.to_rent: list[Rental] = []
        self.to_return: list[Machine] = []
        self._max_value_bytes = int(settings.state.value_kb * 1024)
        #: The parts of the machine types as they are to be stored.
        self._type_parts: dict[int, machine_catalogue.Part] = {}
        self.failures = PassFailures()  # replaced by the caller's own if it keeps failures across terms
        self.renting = Renting(self, self.invariants, value_of)
        self.own_machines = OwnMachines(self)
        #: False: the machines belong to the embedding program and are neither rented nor returned.
        self.rents_machines: bool = True
        #: Embedded machines that may have commands: these are delivered without waiting for a report.
        self.pending_machines: dict[str, Machine] = {}
        self.writable = True  # whether the state service took the last write
        self.last_saved_us = 0  # when the state service last took a write
        self.dirty: bool = True
        self.capacity_changes = 0  # counts what may have freed capacity: released places, completed image fetches

    # ---------------------------------------------------------------- loading

    def load(self, items: Mapping[str, tuple[Any, int]], now_us: int) -> None:
        """Builds the state from the state service's records; no task that they show as running counts as gone."""
        self.cluster_state.build(items, now_us)
        self.begin(now_us)

    def begin(self, now_us: int) -> None:
        """Starts leading on an up-to-date cluster state: completes what the last leader left unfinished.

        Its cost depends only on how much was left unfinished.
        """
        cluster_state = self.cluster_state
        self._fence.stamp = cluster_state.stamps.get(keys.FENCE, 0)
        self._take_over_pages()
        self._type_parts = dict(cluster_state.type_parts)
        for rental in self.rentals.values():
            if not rental.answered:
                self.to_rent.append(rental)  # the cloud repeats its first answer to a rental of the same name
        self.recovery.load((key, value, stamp) for key, (value, stamp) in sorted(cluster_state.mass_failures.items()))
        for machine in list(self.machines.values()):
            if machine.phase == RETURNING:
                self.rental_index.mark_return_requested(machine.name)
                self.ask_cloud_to_return(machine)
            else:
                self.renting.resolve_owner(machine, lambda: None)
        for key, stamp in cluster_state.orphans.items():
            self.write_queue.enqueue(Entry(key, lambda: None, stamp), urgent=False)
        for job in [self.jobs[name] for name in cluster_state.unsettled if name in self.jobs]:
            self._settle_job(job)
        for job in [self.jobs[name] for name in cluster_state.conditional if name in self.jobs]:
            self.conditions.admit(job, now_us)
        self.ledger.set_fleet(self.machines.values())
        for task in cluster_state.uncharged_starts:
            # Placed after the last charges were written, so its leader's charge for it is lost.
            if task.job.live.get(task.index) is task:
                self.ledger.charge_start(task, self.min_run_us(task.job), now_us, again=True)
        cluster_state.uncharged_starts.clear()
        self.takeover_readiness.begin()

    def _take_over_pages(self) -> None:
        placements, stamps = self.cluster_state.placements, self.cluster_state.stamps
        stored = [(key, members, stamps.pop(key, 0)) for key, members in placements.pages()]
        self.pages.load(stored, placements.pages_by_job(), self.cluster_state.fenced)
        for name in [name for name in self.pages.pages_by_job if name not in self.jobs]:
            self.pages.drop_member(name)  # the job is over

    def _settle_job(self, job: Job) -> None:
        """Completes what the last leader left unfinished for the job."""
        if job.status != OPEN:
            self._stop_job(job, 0.0, job.why or "its user cancelled it")
            self._retire(job)
            return
        self._finish_if_done(job)
        if job.is_gang and 0 < len(job.live) + job.done_count < job.spec.tasks and not job.failed_count:
            # The last leader ended between the transactions that placed one large gang.
            self._stop_job(job, 0.0, "its gang was placed only partly")
        for task in [task for task in job.live.values() if task.index >= job.spec.tasks]:
            self.halt(task, self._grace_s(job), SHRUNK_REASON)
        for task in list(job.live.values()) if job.failed_count else ():
            if job.is_over(task.index) and not job.is_done(task.index):
                self.halt(task, self._grace_s(job), over_limit_reason(job.spec))

    # ---------------------------------------------------------------- records

    def share_records(self, wanted: bool) -> None:
        """Lets small jobs' records share pages from now on, or moves those that do to keys of their own."""
        if wanted == self.pages.open:
            return
        self.log.info("small jobs' records %s", "share pages from now on" if wanted else "move to separate keys")
        self.pages.open = wanted
        if wanted and not self.pages.fenced:
            self.write_queue.enqueue(self._fence)
        for name in [] if wanted else list(self.pages.pages_by_job):
            if name in self.jobs:
                self.enqueue_chunk(self.jobs[name], 0, urgent=False)

    def _fence_value(self) -> Any:
        """Returns the fence record: NULL while there may be pages, to keep out versions that cannot read them."""
        return NULL if self.pages.open or self.pages.any else {"by": self.token}

    def entry(self, key: str, value: Callable[[], Any], extra_guards: Callable[[], list[Guard]] = list) -> Entry:
        """Returns the entry of a key that this leader writes; created on first use."""
        entry = self._entries.get(key)
        if entry is None:
            # From here on the entry keeps the key's stamp.
            entry = self._entries[key] = Entry(key, value, self.cluster_state.stamps.pop(key, 0), extra_guards)
        return entry

    def forget_entry(self, key: str) -> Entry | None:
        """Forgets the key's entry and returns it; only writes that are queued already are still made."""
        return self._entries.pop(key, None)

    def knows_key(self, key: str) -> bool:
        """True if such a record exists, as far as this leader knows."""
        return key in self._entries or key in self.cluster_state.stamps or self._value_of(key) is not None

    def _chunk_entry(self, job: Job, chunk: Chunk) -> Entry:
        key = keys.chunk_key(job.spec.id, chunk.number)
        entry = self._entries.get(key)
        if entry is None:

            def extra_guards() -> list[Guard]:
                # The job's own key guards every write that may contain an assignment, so that a
                # cancellation accepted by any node wins over the start (docs/safety.md, 1).
                return [Guard(keys.job_key(job.spec.id), job.stamp)] if job.status == OPEN else []

            def value() -> Any:
                if job.status != OPEN and not job.live:
                    return None
                return chunk_value(job, chunk)

            entry = self.entry(key, value, extra_guards)
            # `done` requires that all chunks are written, so each write of any chunk checks it. When only writes of
            # completions did, a chunk that still waited for a write that is not urgent (a stop, a released place)
            # was not checked again: a job of 25,000 completed tasks was never marked done.
            entry.settled, entry.owner = partial(self._finish_if_done, job), job.spec.id
            entry.depends_on = partial(self._keys_before, job, chunk)
            if job.spec.tasks <= CHUNK_TASKS and self.rents_machines:
                entry.member = job.spec.id
        return entry

    def _keys_before(self, job: Job, chunk: Chunk) -> list[str]:
        """Returns the keys that are stored before the chunk: the job's own, and those of its machines' rentals."""
        first = chunk.number * CHUNK_TASKS
        tasks = [job.live[index] for index in range(first, first + CHUNK_TASKS) if index in job.live]
        rentals = {keys.rental_key(task.machine.rental) for task in tasks}
        return [keys.job_key(job.spec.id), *rentals]

    def record_refused_write(self, refused: RefusedWrite, now_us: int) -> None:
        """Counts and logs a record that the state service refuses as it stands."""
        key, value = refused.entry.key, refused.entry.value()
        self.metrics.count("writes_refused", keys.kind_of(key))
        self.log.error(
            "the state service refuses the record %s of %d bytes as it stands (%d times): tried again in %.0f s",
            key,
            len(msgspec.json.encode(value)),
            refused.times,
            to_s(refused.until_us - now_us),
        )

    def is_saved(self, job: Job, index: int) -> bool:
        """True if the present state of the task's chunk is in the state service."""
        return self.write_queue.is_written(self._chunk_entry(job, job.chunk_of(index)))

    def enqueue_chunk(self, job: Job, index: int, effect: Effect | None = None, urgent: bool = True) -> None:
        """Enqueues the write of the task's chunk; `effect` runs once it is in the state service."""
        chunk = job.chunk_of(index)
        self.write_queue.enqueue(self._chunk_entry(job, chunk), effect, urgent)

    # ---------------------------------------------------------------- jobs

    def job_changed(self, job_id: str, value: dict[str, Any] | None, stamp: int, now_us: int) -> None:
        """Applies a change of the job's own key: a new job, a cancellation by some node, or this leader's `done`."""
        if value is None:
            return
        job = self.jobs.get(job_id)
        if job is None:
            if value["st"] == OPEN and "spec" in value:
                self.conditions.admit(self.cluster_state.new_job(job_id, value, stamp, now_us), now_us)
            return
        if stamp <= job.stamp:
            return
        ended, surplus = self.cluster_state.change_job(job, value, stamp)
        if ended:
            self.log.info("job %s is %s%s", job_id, job.status, job.why and f": {job.why}")
            if job.status == JOB_CANCELLED:
                if "spec" in value:
                    self._record_begun(job, value)
                self._stop_job(job, 0.0, job.why or "its user cancelled it")
            self._retire(job)
            self.dirty = True
        elif job.status == OPEN:
            self.conditions.held(job, holder(value), now_us)
            for task in surplus:
                self.halt(task, self._grace_s(job), SHRUNK_REASON)
            self.dirty = self.dirty or bool(surplus)

    def cancelled_by_peer(self, job_id: str, now_us: int) -> None:
        """Stops the job's tasks and starts none: another controller has read that the job is cancelled.

        This leader sees the same in the job's record once it can read it. Until then no write for the job succeeds,
        as each of them is guarded by the key that has changed.
        """
        job = self.jobs.get(job_id)
        if job is not None and job.status == OPEN:
            job.not_before_us = now_us + to_us(self.config.settings.workers.cancel_s)
            self._stop_job(job, 0.0, "its user cancelled it, another controller reported")

    def _record_begun(self, job: Job, value: dict[str, Any]) -> None:
        """Records that the cancelled job had begun, if other jobs wait for its begin.

        The node that accepted the cancellation may not have known. The write is urgent, so that it is made before
        the removal of the job's chunks, from which a later leader would otherwise know it.
        """
        if job.begun and "b" not in value and self.conditions.names_its_begin(job.spec.id):
            entry = Entry(keys.job_key(job.spec.id), lambda: {**value, "b": 1}, job.stamp)
            self.write_queue.enqueue(entry)

    def update_schedulable(self, job: Job, now_us: int) -> None:
        """Adds the job to or removes it from the active jobs, as its conditions require."""
        name = job.spec.id
        if job.status == OPEN and job.blocked and not job.live:
            self.active.pop(name, None)
            job.was_blocked = True
        elif name not in self.active:
            came_us = now_us if job.was_blocked else now_us - max(0, self.wall_us() - job.submitted_us)
            self.cluster_state.activate(job, came_us)
        self.dirty = True

    def release_uncommitted(self, job: Job) -> None:
        """Releases places that are not committed yet, as the user who held the job was told that it is held."""
        for task in list(job.live.values()):
            if task.phase == COMMITTING and job.live.get(task.index) is task:
                self.free(task, task.placed_us)

    def _finish_if_done(self, job: Job) -> None:
        """Writes the job's final record once all its tasks are over and persisted (safety 2)."""
        if job.status != OPEN or job.is_service or job.over_count < job.spec.tasks or job.finish_dirty:
            return
        if job.live:
            return  # the other tasks of a gang have not reported their exit yet
        if not all(self.write_queue.is_written(self._chunk_entry(job, c)) for c in job.chunks.values()):
            return
        if job.failed_count:
            count = f"{job.failed_count} of its {job.spec.tasks} tasks"
            self._finish(job, JOB_CANCELLED, f"{count} ran longer than its limit of {job.spec.limit_s:g} s")
        else:
            self._finish(job, JOB_DONE)

    def _finish(self, job: Job, status: str, why: str = "", urgent: bool = True) -> None:
        job.finish_dirty = True
        key = keys.job_key(job.spec.id)
        # Dropped if the job was cancelled first: `done` must not overwrite that.
        entry = Entry(key, lambda: final_value(job, status, why), job.stamp, valid=lambda: job.status == OPEN)
        entry.owner = job.spec.id

        def persisted() -> None:
            if job.status == OPEN:
                if status == JOB_DONE:
                    self.metrics.count_job("done", job.spec.job_class, job.spec.team)
                job.status, job.stamp, job.why = status, entry.stamp, why
                self._retire(job)
                self.dirty = True  # as when the leader reads its own record first

        self.write_queue.enqueue(entry, persisted, urgent)

    def end(self, job: Job, why: str) -> None:
        """Ends a job that can never run and records the reason; not urgent, other jobs' starts and ends go first."""
        self.log.info("end job %s: %s", job.spec.id, why)
        self.metrics.count("jobs_ended_unmet")
        self._finish(job, JOB_CANCELLED, why, urgent=False)
        self.conditions.end_decided(job)

    def _stop_job(self, job: Job, grace_s: float, reason: str) -> None:
        for task in list(job.live.values()):
            self.halt(task, grace_s, reason)

    def _retire(self, job: Job) -> None:
        """Forgets a job that is over once no task of it can be on a machine; its own key is kept forever."""
        if job.status == OPEN or job.live:
            return
        for chunk in job.chunks.values():
            entry = self._chunk_entry(job, chunk)
            if entry.stamp or self.pages.home(entry.member) is not None or not self.write_queue.is_written(entry):
                self.write_queue.enqueue(entry, urgent=False)
        for chunk in list(job.chunks.values()):
            self._entries.pop(keys.chunk_key(job.spec.id, chunk.number), None)
        if job.spec.id in self.jobs:
            self.cluster_state.forget(job)
            self.conditions.retired(job)

    # ---------------------------------------------------------------- places

    def free(self, task: Task, now_us: int, vanished: bool = False) -> None:
        """Releases place, quota and zone of a task that is proven not to be on its machine (safety 3).

        `vanished`: it is gone without an exit, with its machine or its lease.
        """
        job, machine = task.job, task.machine
        if job.live.get(task.index) is not task:
            return
        if job.spec.image in machine.images:
            self.cluster_state.used_image(task)
        self.cluster_state.unplace(task, now_us)
        self.capacity_changes += 1
        # The write for the last task of a finished job is urgent, as `done` waits for it: the members of a gang
        # report their exits one by one after the gang's completion was written.
        over = job.status == OPEN and job.over_count == job.spec.tasks
        self.enqueue_chunk(job, task.index, urgent=over)
        self.dirty = True
        target = task.move_to
        if (
            target is not None
            and job.status == OPEN
            and not job.blocked  # held or blocked since the move was planned
            and self.machines.get(target.name) is target
            and target.phase == UP
            and not target.drain_reason
            and target.fits(job.spec)
            and job.may_join(target.zone)  # other tasks of it may have been placed since
        ):
            target.reserved = ""
            self.assign(job, [target], now_us)
        if job.status != OPEN:
            self._retire(job)
        elif job.is_gang and not over and not (vanished and job.is_forming):
            # The rest of a gang that has run cannot continue; a gang that is still forming is completed by a
            # replacement with the same attempt number.
            for other in list(job.live.values()):
                if other.halt_grace_s is None:
                    self.halt(other, 0.0, "another task of its gang is gone")

    def halt(self, task: Task, grace_s: float, reason: str) -> None:
        """Stops a task; one whose `run` was never sent is released at once."""
        if task.halt_grace_s is not None and task.halt_grace_s <= grace_s:
            return
        task.halt_grace_s, task.halt_reason = grace_s, reason
        self.log.info("stop %s attempt %d on %s: %s", task.name, task.attempt, task.machine.name, reason)
        self.record_stop(task.job, task, reason)
        if task.sent is None:
            self.free(task, task.placed_us)
            return
        self.direct.append(DirectCommand(task.machine, workers.halt(task.name, task.attempt, grace_s)))
        if not self.rents_machines:
            self.pending_machines[task.machine.name] = task.machine

    def record_stop(self, job: Job, task: Task, reason: str) -> None:
        """Adds a stop to the job's record, which keeps the latest MAX_STOPS_KEPT."""
        job.stops.append({"at": self.wall_us(), "task": task.index, "on": task.machine.name, "why": reason})
        del job.stops[:-MAX_STOPS_KEPT]
        self.enqueue_chunk(job, 0, urgent=False)  # the record of stops is kept for later leaders

    # ---------------------------------------------------------------- outcomes of tasks

    def lost(self, task: Task, reason: str, now_us: int) -> None:
        """Releases the place of a task that is gone without an exit; records that as a stop unless it was stopped."""
        if task.halt_grace_s is None and task.job.status == OPEN:
            self.log.info("lost %s attempt %d on %s: %s", task.name, task.attempt, task.machine.name, reason)
            self.record_stop(task.job, task, reason)
            self.discard(task, now_us)
        self.free(task, now_us, vanished=True)

    def discard(self, task: Task, now_us: int, kept: bool = False) -> None:
        """Counts the run time that a stop discarded: all since the task's start or its last checkpoint."""
        if task.running_us is None or task.job.is_service or kept:
            return
        spent_us = now_us - task.running_us
        if task.job.spec.checkpoint_s:
            spent_us %= to_us(task.job.spec.checkpoint_s)
        kind = "protected" if self.min_run_us(task.job) else "unprotected"
        self.metrics.count("discarded_seconds", kind, to_s(spent_us))

    def complete(self, job: Job, index: int) -> None:
        """Marks a task done (a gang completes as one); reported to nobody before it is persisted."""
        indexes = range(job.spec.tasks) if job.is_gang else (index,)
        for number in indexes:
            if job.mark_done(number):
                self.enqueue_chunk(job, number)
                self.dirty = True  # only the first time, not for each further report that lists it
        job.failures = 0

    def running(self, task: Task, now_us: int) -> None:
        """Notes that a report has listed the task as running for the first time."""
        # An inherited task counts as running since its image was there, not since its first report to this leader:
        # its minimum runtime and its charges would otherwise start again with each leader. If its placement was not
        # seen, it counts as running since charges were last gathered. A job's time limit is never measured from such
        # an estimate.
        if task.ready_us is None or task.job.spec.limit_s is not None:
            task.running_us = now_us
        else:
            task.running_us = min(now_us, task.ready_us or self.ledger.until_us)
        self.limits.began(task, now_us)
        self.conditions.began(task.job)
        self._log_all_started(task.job)

    def _log_all_started(self, job: Job) -> None:
        """Logs once that all tasks of the job run or are over.

        The tasks placed last are checked first, as they start last.
        """
        if job.all_started or job.pending > 0 or any(task.running_us is None for task in reversed(job.live.values())):
            return
        job.all_started = True
        if all(task.ready_us is not None for task in job.live.values()):
            return  # all its tasks ran under an earlier leader, which logged that
        self.metrics.count_job("started", job.spec.job_class, job.spec.team)
        waited_s = to_s(max(0, self.wall_us() - job.submitted_us))
        spec = job.spec
        message = "job %s of %s runs whole: %d tasks, %.1f s after it came"
        self.log.info(message, spec.id, spec.team, spec.tasks, waited_s)

    def enforce_limit(self, task: Task) -> None:
        """Stops a task for good that ran longer than its job's limit; a gang is stopped as one.

        That it is over is persisted first: if the leader died after the stop, its successor would otherwise
        start the task again, and the stop would have been in vain.
        """
        job = task.job
        for index in range(job.spec.tasks) if job.is_gang else (task.index,):
            if job.mark_failed(index):
                self.enqueue_chunk(job, index, partial(self._stop_over_limit, job, index))
                self.metrics.count("tasks_over_limit")
        self.dirty = True

    def _stop_over_limit(self, job: Job, index: int) -> None:
        task = job.live.get(index)
        if task is not None:
            self.halt(task, self._grace_s(job), over_limit_reason(job.spec))

    @staticmethod
    def _grace_s(job: Job) -> float:
        return job.spec.save_s + 1.0 if job.spec.checkpoint_s else 0.0

    # ---------------------------------------------------------------- machines

    def add_machine(self, name: str, rental: Rental, now_us: int) -> Machine:
        """Adds a machine that the rental brought and that was not known before."""
        self.dirty = True
        self.rental_index.add(rental, name)
        return self.cluster_state.add_machine(name, rental, now_us)

    def set_types(self, types: Iterable[MachineType]) -> None:
        """Sets the machine types, with their prices; persists them if they changed."""
        first = not self.cluster_state.types
        self.cluster_state.set_machine_types(types)
        parts = dict(enumerate(machine_catalogue.split(self.cluster_state.types.values(), self._max_value_bytes)))
        for number in sorted(self._type_parts.keys() | self.cluster_state.type_parts.keys() | parts.keys()):
            if first or parts.get(number) != self._type_parts.get(number):
                entry = self.entry(keys.types_key(number), partial(self._type_part, number))
                self.write_queue.enqueue(entry, urgent=False)
        self._type_parts = parts
        self.dirty = True

    def _type_part(self, number: int) -> Any:
        """Returns a part of the machine types as it is to be stored; None if there is no such part."""
        return self._type_parts.get(number)

    def adopt(self, report: Report, now_us: int) -> Machine:
        """Adds an unknown machine that reports, such as that of a late rental; it is used, or returned when idle."""
        returned = report.machine in self.gone
        self.log.info("adopt machine %s: it reports and no rental names it", report.machine)
        machine = self._add_unrented(report.machine, report, now_us)
        if report.token < self.token:
            # The report may be a late copy from before the machine's return, which an earlier leader knew of: nothing
            # is placed there until the machine shows that it exists and receives answers.
            reachability.mark_unproven(machine, now_us)
        if returned:
            self.request_return(machine, "its return was confirmed before")
        return machine

    def _add_unrented(self, name: str, source: Report | ListedMachine, rented_us: int) -> Machine:
        """Adds a machine that no rental names, under a rental of its own."""
        rental = Rental(f"{ADOPTED}{name}", source.type, source.zone, source.spot, 1, answered=True)
        self.rentals[rental.name] = rental
        machine = self.add_machine(name, rental, rented_us)
        self.renting.enqueue(rental, urgent=False)
        return machine

    def drain(self, machine: Machine, reason: str) -> None:
        """Returns a machine that is faulty or of the wrong type; its tasks stop with it."""
        self.log.info("drain machine %s: %s", machine.name, reason)
        machine.drain_reason = reason
        self.request_return(machine, reason)

    def check_failures(self, machine: Machine, now_us: int) -> None:
        """Drains a machine that is at fault for the failures on it.

        One that may be at fault gets no new work until that is known.
        """
        if machine.drain_reason or not self.rents_machines:
            return
        verdict = task_failures.judge(machine, self.jobs, now_us)
        if verdict == task_failures.FAULTY:
            self.drain(machine, "tasks of several jobs failed on it")
        elif verdict != task_failures.SUSPECT:
            machine.suspect_since_us = 0
        elif not machine.suspect_since_us:
            machine.suspect_since_us = now_us
            self.log.info("machine %s gets no new work for now: tasks of several jobs failed on it", machine.name)

    def request_return(self, machine: Machine, reason: str) -> None:
        """Requests a machine's return; it is never used again, and that is persisted before the cloud is asked."""
        if machine.phase == RETURNING:
            return
        self.mark_returning(machine, reason)
        self.renting.enqueue(self.rentals[machine.rental], partial(self.ask_cloud_to_return, machine))

    def mark_returning(self, machine: Machine, reason: str) -> None:
        """Excludes the machine from further work; the caller persists that before the cloud is asked."""
        if machine.phase == RETURNING:
            return
        machine.phase = RETURNING
        machine.drain_reason = machine.drain_reason or reason
        self.rental_index.mark_return_requested(machine.name)
        self.log.info("return machine %s: %s", machine.name, reason)
        self.dirty = True

    def ask_cloud_to_return(self, machine: Machine) -> None:
        """Asks the cloud for a persisted return once only one rental names the machine.

        With several, the first record removed after the return would leave another, and the next leader would use
        the machine.
        """
        self.renting.resolve_owner(machine, lambda: self.to_return.append(machine))

    def _waits_for_capacity(self) -> bool:
        """True if any job waits for capacity on a machine."""
        return any(job.waits and job.waiting_reason == NO_CAPACITY for job in self.active.values())

    def _is_preemptible(self, job: Job) -> bool:
        """True if critical jobs may stop this job's tasks at any time."""
        return job.spec.rank > CRITICAL and not job.is_gang and not self.min_run_us(job)

    def review_silent_machines(self, now_us: int, probing: Set[str]) -> SilenceReview:
        """Requests the return of silent machines that have failed; returns the review with the machines to probe."""
        findings = self.mass_failures.review(now_us, probing)
        for zone, machines in findings.failed_machines.items():
            self._return_failed(zone, machines, self.mass_failures.has_many_silent(zone), now_us)
        return findings

    def _return_failed(self, zone: str, machines: list[tuple[Machine, str]], many: bool, now_us: int) -> None:
        """Returns failed machines: few as single failures, many as one mass failure with its own record."""
        if many or self.recovery.recent(zone):
            self.recovery.return_failed(zone, machines, now_us)
            return
        for machine, reason in machines:
            self.request_return(machine, reason)

    def returned(self, names: Iterable[str], now_us: int) -> None:
        """Removes machines whose return the cloud confirmed, with everything on them."""
        for name in names:
            self.failures.apply_input(f"return of {name}", now_us, partial(self._returned, name, now_us))
        self.ledger.set_fleet(self.machines.values())

    def _returned(self, name: str, now_us: int) -> None:
        """Removes one returned machine, releases its tasks and updates the records that name it."""
        machine = self.machines.get(name)
        if machine is None or machine.phase != RETURNING:
            if name not in self.gone:
                self.log.error("the return of machine %s is confirmed, and nobody requested it", name)
            return
        del self.machines[name]
        self.gone.add(name)
        self.recovery.returned(machine)
        # The returned capacity may be rented again, so earlier refusals no longer count.
        self.fleet.granted((machine.type, machine.zone, machine.spot))
        for task in list(machine.tasks.values()):
            if task.halt_grace_s is None:
                self.recovery.lost(task.job, machine.mass_failure)
            self.lost(task, f"its machine is gone ({machine.drain_reason or 'returned'})", now_us)
        for rental in self.rental_index.forget(name):
            self.renting.settle(rental)

    def listed(self, listing: list[ListedMachine], now_us: int, requested_us: int | None = None) -> None:
        """Applies the cloud's lagging list: failed machines are returned, unknown ones adopted after a while.

        With the time of its request also machines that it leaves out are returned, as they are gone.
        """
        self.health.listing_received(now_us)
        failed: dict[str, list[tuple[Machine, str]]] = {}
        for item in {item.name: item for item in listing}.values():
            stopped = self.failures.apply_input(
                f"listed machine {item.name}", now_us, partial(self._listed, item, now_us)
            )
            if stopped is not None:
                failed.setdefault(stopped.zone, []).append(
                    (stopped, "it stopped on its own, according to the cloud's list")
                )
        if requested_us is not None:
            names, lag_us = {item.name for item in listing}, to_us(self.config.settings.cloud.list_lag_s)
            for machine in left_out(self.machines.values(), names, requested_us, lag_us):
                failed.setdefault(machine.zone, []).append((machine, "it is gone, as the cloud's list leaves it out"))
        for zone, machines in failed.items():
            self._return_failed(zone, machines, len(machines) >= MASS_FAILURE_MACHINES, now_us)

    def _listed(self, item: ListedMachine, now_us: int) -> Machine | None:
        """Applies one item of the list; returns the machine if it has stopped on its own."""
        machine = self.machines.get(item.name)
        if machine is None:
            if item.name not in self.gone and item.age_s > 6 * self.config.settings.cloud.list_lag_s + 20:
                self.log.info("adopt machine %s: the cloud lists it and no rental names it", item.name)
                self._add_unrented(item.name, item, now_us - to_us(DURATION.clamp(item.age_s)))
            return None
        self.check_kind(machine, Kind(item.type, item.zone, item.spot), "the cloud's list")
        machine.listed = item.status
        machine.address = machine.address or item.address
        machine.rented_us = min(machine.rented_us, now_us - to_us(DURATION.clamp(item.age_s)))
        return machine if item.status == FAILED and machine.phase != RETURNING else None

    # ---------------------------------------------------------------- decisions of a scheduling pass

    def min_run_us(self, job: Job) -> int:
        """Returns the job's protected runtime."""
        spec = job.spec
        return self.policy.min_run_us(spec.shape, spec.estimate_s, spec.min_run_s)

    def assign(self, job: Job, machines: list[Machine], now_us: int) -> int:
        """Places the job's next waiting tasks on these machines; persisted before any worker is told.

        Returns how many were placed: fewer than machines only if the job may not start on some of them.
        """
        machines = self._allowed(job, machines)
        if not machines:
            return 0
        indexes = job.next_pending(len(machines))
        chunks = {index // CHUNK_TASKS: job.chunk_of(index) for index in indexes}
        attempt = 1 + max(chunk.attempts for chunk in (job.chunks if job.is_gang else chunks).values())
        if job.is_gang and job.live:
            attempt = next(iter(job.live.values())).attempt  # a replacement joins the gang that is forming
        self.renting.persist_rentals_of(machines)
        tasks = []
        for index, machine in zip(indexes, machines, strict=True):
            chunk = job.chunk_of(index)
            number = attempt if job.is_gang else chunk.attempts + 1
            task = Task(job, index, number, machine, COMMITTING, now_us)
            self.cluster_state.place(task)
            self.ledger.charge_start(task, self.min_run_us(job), now_us)
            tasks.append(task)
        uncommitted = set(chunks)
        for chunk in chunks.values():
            chunk.attempts = attempt if job.is_gang else chunk.attempts + 1

            def persisted(number: int = chunk.number) -> None:
                # Only now may the assignment be announced (safety 2). A gang that needs several transactions
                # starts once all of them are committed.
                uncommitted.discard(number)
                for task in tasks:
                    ready = not uncommitted if job.is_gang else task.index // CHUNK_TASKS == number
                    if ready and task.phase == COMMITTING:
                        task.phase = ASSIGNED
                        if not self.rents_machines:
                            self.pending_machines[task.machine.name] = task.machine

            self.write_queue.enqueue(self._chunk_entry(job, chunk), persisted)
        self.recovery.placed(job, len(tasks))
        if self.log.isEnabledFor(logging.DEBUG):
            places = ", ".join(f"{task.index}@{describe_machine(task.machine)}" for task in tasks[:8])
            self.log.debug("place %s: %s", job.spec.id, places)
        return len(tasks)

    def _allowed(self, job: Job, machines: list[Machine]) -> list[Machine]:
        """Returns the machines on which the job's tasks may start, in order; for a gang all or none."""
        allowed: list[Machine] = []
        zones = zones_of_others(job)
        for machine in machines:
            why = refusal(job, machine, zones)
            if why is None:
                allowed.append(machine)
                zones[machine.zone] += 1
                continue
            self.invariants.violated(Rule.PLACE, f"{job.spec.id} on {describe_machine(machine)}: {why}")
            if job.is_gang:
                return []
        return allowed

    def check_kind(self, machine: Machine, reported: Kind, source: str) -> None:
        """Corrects type, zone and spot of a machine to what it or the cloud reports, whatever its record states."""
        if reported == kind_of(machine):
            return
        self.invariants.violated(
            Rule.MACHINE_KIND, f"{describe_machine(machine)} is a {reported}, according to {source}"
        )
        machine.zone, machine.spot = reported.zone, reported.spot
        if reported.type != machine.type:
            self.drain(machine, f"it is a {reported.type}, not a {machine.type}")

    def is_guest(self, team_name: str) -> bool:
        """True if the team has no guarantee and runs on what others leave."""
        team = self.teams.get(team_name)
        return team is None or not (team.cpus or team.gpus)

    def team_usage(self, team_name: str) -> tuple[float, float]:
        """Returns the CPUs and GPUs of the team's tasks that are not proven gone."""
        usage = self.usage[team_name]
        return usage[0], usage[1]

    def standing(self, team_name: str, extra: JobSpec | None = None) -> TeamStanding:
        """Returns the team's ratio, and whether its present use (with the request) is within its guarantee."""
        team = self.teams.get(team_name)
        if team is None:
            return TeamStanding(1e12, False)
        usage = self.usage[team_name]
        cpus, gpus = usage[0], usage[1]
        if extra is not None:
            cpus, gpus = cpus + extra.cpus, gpus + extra.gpus
        guaranteed = bool(team.cpus or team.gpus)
        inside = (not team.cpus or cpus <= team.cpus + 1e-9) and (not team.gpus or gpus <= team.gpus + 1e-9)
        return TeamStanding(self.ledger.ratio(team_name), guaranteed and inside)

    def is_writing(self, now_us: int) -> bool:
        """True if the state service takes writes now, so that tasks stopped for a move start again at once."""
        return self.writable and now_us - self.last_saved_us < 2 * to_us(self.policy.ledger__gather_s)

    def charge_usage(self, now_us: int) -> None:
        """Charges the teams for what ran; the ratios are written as one value."""
        self.ledger.set_fleet(m for m in self.machines.values() if m.phase != RETURNING)
        elapsed_h = self.policy.ledger__gather_s / 3600
        for machine in self.machines.values():
            kind = self.fleet.types.get(machine.type)
            if kind is not None:
                price = kind.spot_price if machine.spot else kind.price
                self.metrics.count("money", "spot" if machine.spot else "ordinary", price * elapsed_h)
        self.ledger.charge_usage(
            ((t, self.min_run_us(t.job)) for m in self.machines.values() for t in m.tasks.values()), now_us
        )
        self.write_queue.enqueue(self.entry(keys.RATIOS, lambda: self.ledger.to_value(now_us)), urgent=False)


def describe_machine(machine: Machine) -> str:
    """Returns the machine's name with its rental and kind, for log lines."""
    return f"{machine.name} ({machine.rental}: {kind_of(machine)})"
