"""The embedded scheduler: runs the daemon's scheduling engine inside a program, on the program's own machines.

One step collects the program's requests and the reports of its tasks, runs the engine, and persists all changes
with one `fdatasync`. Only then are results visible outside: `submit` and `cancel` return, and `on_start` is called.
"""

import logging
import os
import secrets
import threading
import time
import weakref
from collections import deque
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import Any

import msgspec

from tideusher.clock import Clock, to_us
from tideusher.config import Policy
from tideusher.core.decide.admission import exceeds_limit, unknown_team
from tideusher.core.lead import explain
from tideusher.core.lead.engine import Engine
from tideusher.core.model import keys
from tideusher.core.model.job_record import cancelled_value, held_value, open_value
from tideusher.core.model.records import JOB_CANCELLED, JOB_DONE, OPEN
from tideusher.embed.directory import Directory
from tideusher.embed.disk import Disk
from tideusher.embed.errors import Closed, Damaged, EmbedError, Forked, Refused, StorageError
from tideusher.embed.machines import LocalMachine, Started
from tideusher.embed.settings import REPORT_S, Card, Settings
from tideusher.metrics import Metrics
from tideusher.wire.jobs import BATCH, CANCELLED, DONE, PENDING, RUNNING, InvalidJob, JobSpec, JobStatus, check_job
from tideusher.wire.state import Guard, Put
from tideusher.wire.workers import Command

OnStart = Callable[[Started], None]
OnStop = Callable[[Started], None]

#: Longest sleep of the instance's threads while there is nothing to do, in seconds.
IDLE_S = 0.2
#: Maximum exchanges of reports with a machine per round; the rest is left to the next round.
DIGESTS = 4

#: Open instances of this process; a forked child closes their descriptors.
_open_instances: "weakref.WeakSet[Instance]" = weakref.WeakSet()


def small_job(
    ref: str,
    team: str,
    *,
    tasks: int = 1,
    cpus: float = 1.0,
    gpus: float = 0.0,
    ram_gb: float = 0.0,
    shape: str = BATCH,
    job_class: str = "embedded",
    priority: str = "standard",
    estimate_s: float = 1.0,
    **more: Any,
) -> JobSpec:
    """Returns a job with the fields that matter inside a program; `more` sets other fields of JobSpec by name."""
    fields: dict[str, Any] = {
        "image": "program",
        "image_gb": 0.0,
        "one_zone": False,
        "spread": False,
        "spot": False,
        "checkpoint_s": 0.0,
        "save_s": 0.0,
    }
    return JobSpec(
        ref,
        job_class,
        team,
        shape,
        priority,
        tasks,
        cpus,
        gpus,
        ram_gb,
        **{**fields, "estimate_s": estimate_s, **more},
    )


def new_ref() -> str:
    """Returns a job name with 18 random digits, which makes it unique for practical purposes."""
    return f"req-{10**17 + secrets.randbelow(9 * 10**17)}"


class Instance:
    """Places jobs on the machines of its program; `docs/embed.md` describes when to use it.

    Threads: every method may be called from any thread. `on_start` and `on_stop` are called sequentially,
    without any lock held, by the instance's own thread (`drive="thread"`, the default), by its greenlet
    (`drive="greenlet"`, for programs on gevent), or by the caller of `step`, `submit`, `cancel` or `wait`
    (`drive="step"`). They should return quickly and run the task elsewhere. An exception in `on_start` counts as
    a failure of the task; one in `on_stop` is logged. A callback must not `wait` for a job: the instance makes
    no progress until the callback returns.

    Fork: a child process must not use its parent's instance (Forked); it may open its own in another directory.

    Errors: all are EmbedError. After a StorageError the instance is closed, and no request that was still
    unanswered is acknowledged; a new instance on the same directory recovers everything that was acknowledged.
    """

    def __init__(
        self,
        directory: str,
        settings: Settings,
        on_start: OnStart,
        on_stop: OnStop | None = None,
        *,
        drive: str = "thread",
        policy: Policy | None = None,
        clock: Clock | None = None,
        disk: Disk | None = None,
        repair: bool = False,
        snapshot_bytes: int | None = None,
        guard: Callable[[str], bool] | None = None,
    ) -> None:
        """Locks and recovers a directory, and places its open jobs. Raises Locked, Damaged, StorageError.

        `on_stop` is called for a task that has to stop (`Started.grace_s` seconds to save); without it, tasks
        have to check `Started.stopping`. `repair` truncates the journal where it is damaged at its end.
        `snapshot_bytes` is the minimum length of the journal before a snapshot (bytes, default 4 MiB). `guard`
        is called right before `on_start` with the machine's name and returns whether tasks may start there;
        False withdraws the machine.
        """
        if drive not in ("thread", "greenlet", "step"):
            raise ValueError(f"drive: {drive!r} is not thread, greenlet or step")
        self.log = logging.getLogger("tideusher.embed")
        self._settings, self._clock = settings.check(), clock or Clock()
        self._on_start, self._on_stop, self._guard = on_start, on_stop, guard
        self._drive, self._pid = drive, os.getpid()
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._wake = threading.Event()
        self._exits: deque[tuple[Started, str, bool]] = deque()
        self._stepping = False
        self._error: EmbedError | None = None
        self.metrics = Metrics()
        extra = {} if snapshot_bytes is None else {"snapshot_bytes": snapshot_bytes}
        self._state = Directory(directory, disk, repair, **extra)
        try:
            self._start_engine(policy or Policy())
        except BaseException:
            self._state.close()
            raise
        _open_instances.add(self)
        if drive == "thread":
            self._thread = threading.Thread(target=self._run_loop, name="tideusher", daemon=True)
            self._thread.start()
        elif drive == "greenlet":
            import gevent

            self._greenlet = gevent.spawn(self._run_loop)

    def _start_engine(self, policy: Policy) -> None:
        """Starts the engine with a token higher than any before; no task of an earlier process is running."""
        config, now_us = self._settings.config(), self._clock.now_us()
        token = self._state.journal.append([(keys.LEADER, {"node": "embedded", "pid": self._pid})])
        self._state.sync()
        self._engine = Engine(
            config,
            policy,
            token,
            now_us,
            self._clock.wall_us,
            self.metrics,
            self._state.record_of,
            dict(self._state.items),
        )
        cluster = self._engine.cluster
        cluster.set_types(self._settings.types())
        cluster.rents_machines = False
        self._kinds = {kind.name: kind for kind in self._settings.kinds}
        self._machines: dict[str, LocalMachine] = {}
        for card in self._settings.machines:
            self._add_machine(card, now_us)
        self._synced_revision = self._awaited_revision = token  # revisions: on the disk, and awaited by a caller
        self._last_report_us = 0
        self._last_gather_us = now_us
        self._gather_interval_us = to_us(policy.ledger__gather_s)

    # ---------------------------------------------------------------- public interface

    def submit(self, spec: JobSpec) -> JobStatus:
        """Accepts a job, which is durable on return. A known ref returns that job's state. Raises Refused."""
        return self.submit_many([spec])[0]

    def submit_many(self, specs: Sequence[JobSpec]) -> list[JobStatus]:
        """Accepts several jobs with one write to the disk; all of them or, if one is Refused, none."""
        with self._changed:
            self._check_usable()
            fresh: dict[str, JobSpec] = {}
            for spec in specs:
                if self._state.record_of(spec.id) is None:
                    fresh.setdefault(spec.id, self._check_spec(spec))
            wall_us = self._clock.wall_us()
            for spec in fresh.values():
                self._write(spec.id, open_value(spec, wall_us))
            answers = [self._status(spec.id) for spec in specs]
            revision = self._awaited_revision
        self._wait_durable(revision)
        return answers

    def cancel(self, job: str) -> JobStatus:
        """Cancels a job; none of its tasks starts after this returns, and running tasks are requested to stop."""
        return self._update_job(job, lambda value: cancelled_value(value, begun=False))

    def hold(self, job: str, by: str = "its program") -> JobStatus:
        """Prevents further tasks of the job from starting; running tasks continue."""
        return self._update_job(job, lambda value: held_value(value, by))

    def release(self, job: str) -> JobStatus:
        """Releases a held job."""
        return self._update_job(job, lambda value: held_value(value, ""))

    def status(self, job: str) -> JobStatus:
        """Returns a job's state. Raises Refused if the job does not exist."""
        with self._lock:
            self._check_usable()
            status, revision = self._status(job), self._awaited_revision
        if self._synced_revision < revision:  # another thread's change may only be queued: persist it first
            self._wait_durable(revision)
        return status

    def wait(self, job: str, timeout_s: float | None = None) -> JobStatus:
        """Waits until the job has ended, for at most `timeout_s` seconds; returns its state at that time."""
        end = None if timeout_s is None else time.monotonic() + timeout_s
        while True:
            if self._drive == "step":
                self.step()
            with self._changed:
                self._check_usable()
                status = self._status(job)
                left = None if end is None else end - time.monotonic()
                if status.status in (DONE, CANCELLED) or (left is not None and left <= 0):
                    break
                if self._drive != "greenlet":
                    self._changed.wait(IDLE_S if left is None else min(IDLE_S, left))
            if self._drive == "greenlet":
                import gevent

                gevent.sleep(0.005)
        return self.status(job)

    def explain(self, job: str) -> dict[str, Any]:
        """Explains why a job waits and why its tasks were stopped, as `GET /why` of the daemon does."""
        with self._lock:
            self._check_usable()
            explanation = explain.explain_job(
                self._engine.cluster, job, self._clock.now_us(), self._engine.scheduler.obstacles
            )
            if explanation is not None:
                return explanation
            status = self._status(job)
            reason = "It is done." if status.status == DONE else explain.describe_end(status.why or "")
            return {"job": job, "status": status.status, "reasons": [reason], "stops": []}

    def add_machine(self, card: Card) -> None:
        """Adds a machine of a declared kind. Its name must not have been used since the instance was opened."""
        with self._changed:
            self._check_usable()
            if card.kind not in self._kinds:
                raise Refused(f"machine {card.machine}: unknown machine kind {card.kind!r}")
            if card.machine in self._machines or card.machine in self._engine.cluster.gone:
                raise Refused(f"machine {card.machine}: this name has already been used")
            self._add_machine(card, self._clock.now_us())
        self._wake.set()

    def withdraw_machine(self, machine: str, reason: str, grace_s: float = 0.0) -> None:
        """Withdraws a machine: its tasks are requested to stop and start elsewhere once they have. Idempotent."""
        with self._changed:
            self._check_usable()
            self._engine.cluster.own_machines.withdraw(machine, reason, grace_s)
        self._wake.set()

    def machines(self) -> list[str]:
        """Returns the names of the machines in use, including those that are being withdrawn."""
        with self._lock:
            return sorted(self._machines)

    def teams(self) -> list[dict[str, Any]]:
        """Returns the ratios, charges, guarantees and current use of all teams."""
        with self._lock:
            self._check_usable()
            return explain.teams(self._engine.cluster)

    def step(self) -> bool:
        """Runs one round, for programs with their own loop; True if there is more to do immediately.

        Must be called at least once a second, and after a task has ended.
        """
        with self._changed:
            self._check_usable()
            if self._stepping:  # called by on_start or on_stop
                return False
            self._stepping = True
            try:
                to_start, to_stop, more = self._run_round()
                self._changed.notify_all()
            finally:
                self._stepping = False
        for task in to_stop:
            self._run_callback(self._on_stop, task)
        for task in to_start:
            if self._guard is not None and not self._guard(task.machine):
                # The placement was valid when it was decided, but the process was paused since.
                self.withdraw_machine(task.machine, "its guard no longer permits starts")
                task.stopped()
            elif not self._run_callback(self._on_start, task):
                task.failed()
        return more or bool(self._exits)

    def close(self) -> None:
        """Stops placing and unlocks the directory. Running tasks are not notified: they belong to the program.

        Their jobs are open again when the directory is opened next.
        """
        if os.getpid() != self._pid:
            return
        with self._changed:
            self._error = self._error or Closed("the instance is closed")
            self._state.close()
            self._changed.notify_all()
        self._wake.set()
        if self._drive == "thread" and threading.current_thread() is not self._thread:
            self._thread.join()

    def __enter__(self) -> "Instance":
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    # ---------------------------------------------------------------- internals

    def _check_usable(self) -> None:
        if os.getpid() != self._pid:
            raise Forked("this instance belongs to the parent process; open a new one in this process")
        if self._error is not None:
            raise self._error

    def _add_machine(self, card: Card, now_us: int) -> None:
        cluster = self._engine.cluster
        cluster.own_machines.add([(card.machine, card.kind, card.zone)], now_us)
        cluster.machines[card.machine].images["program"] = 0.0
        cluster.pending_machines[card.machine] = cluster.machines[card.machine]
        self._machines[card.machine] = LocalMachine(card, self._kinds[card.kind], self._spec_of)

    def _check_spec(self, spec: JobSpec) -> JobSpec:
        """Returns the job as it is to be stored; raises Refused if it can't run here."""
        try:
            spec = check_job(spec)
        except InvalidJob as error:
            raise Refused(str(error)) from None
        team = self._engine.cluster.teams.get(spec.team)
        if team is None:
            raise Refused(unknown_team(spec.team).reason)
        if spec.gpus != int(spec.gpus):
            raise Refused("gpus: must be a whole number")
        for dependency in spec.after or ():
            if self._state.record_of(dependency.job) is None:
                raise Refused(f"after: there is no job {dependency.job}")
        over_limit = exceeds_limit(spec, team)
        if over_limit is not None:
            raise Refused(over_limit.reason)
        for kind in self._kinds.values():
            fits = kind.cpus >= spec.cpus and kind.gpus >= spec.gpus and kind.ram_gb >= spec.ram_gb
            if fits and (spec.types is None or kind.name in spec.types):
                return spec
        raise Refused("a task does not fit any declared machine kind")

    def _spec_of(self, job: str) -> JobSpec | None:
        known = self._engine.cluster.jobs.get(job)
        return known.spec if known is not None else None

    def _status(self, job: str) -> JobStatus:
        value = self._state.record_of(job)
        if value is None:
            raise Refused(f"there is no job {job}")
        if value["st"] == JOB_DONE:
            return JobStatus(job, DONE, value["n"], 0)
        if value["st"] == JOB_CANCELLED:
            return JobStatus(job, CANCELLED, 0, 0, why=value.get("why"))
        known = self._engine.cluster.jobs.get(job)
        live, done = (len(known.live), known.done_count) if known is not None else (0, 0)
        return JobStatus(job, RUNNING if live else PENDING, done, live, held=value.get("hold"))

    def _update_job(self, job: str, change: Callable[[dict[str, Any]], dict[str, Any]]) -> JobStatus:
        with self._changed:
            self._check_usable()
            value = self._state.record_of(job)
            if value is None:
                raise Refused(f"there is no job {job}")
            if value["st"] == OPEN and change(value) != value:
                self._write(job, change(value))
            status = self._status(job)
            revision = self._awaited_revision
        self._wait_durable(revision)
        return status

    def _write(self, job: str, value: dict[str, Any]) -> None:
        """Queues a job's record and updates the engine; acknowledged only after `_wait_durable`."""
        key = keys.job_key(job)
        value = msgspec.to_builtins(value)
        stamp = self._state.write([Guard(key, self._state.stamp_of(key))], [Put(key, value)])
        assert stamp is not None
        self._awaited_revision = stamp
        self._engine.cluster.job_changed(job, value, stamp, self._clock.now_us())

    def _wait_durable(self, revision: int) -> None:
        """Waits until everything up to this revision is on the disk, which is done by the next round's write.

        An accepted job, the resulting placements and concurrent requests of other threads thus share one write.
        Raises StorageError if it failed.
        """
        self._wake.set()
        if self._drive == "step" and not self._stepping:
            while self.step():
                pass
        with self._changed:
            while self._synced_revision < revision:
                self._check_usable()
                if self._drive == "thread" and threading.current_thread() is not self._thread:
                    self._changed.wait(IDLE_S)
                else:
                    self._sync()  # a greenlet, or a call from on_start: no other thread would sync

    def _sync(self) -> None:
        revision = self._state.journal.revision
        try:
            self._state.sync()
        except StorageError as error:
            self._fail(error)
            raise
        self._synced_revision = revision

    def _fail(self, error: EmbedError) -> None:
        self._error = error
        self._state.close()
        self._changed.notify_all()
        self.log.error("%s", error)

    def _run_loop(self) -> None:
        while True:
            try:
                more = self.step()
            except EmbedError:
                return  # closed, or its directory failed: the next call raises the error
            except Exception:
                self.log.exception("scheduling round failed")
                more = False
            if not more:
                if self._drive == "greenlet":
                    import gevent

                    gevent.sleep(0.002)
                else:
                    self._wake.wait(IDLE_S)
                    self._wake.clear()

    def _run_round(self) -> tuple[list[Started], list[Started], bool]:
        """Applies exits, runs the engine and persists the result.

        Returns the tasks to start, the tasks to stop, and whether another round is due at once.
        """
        engine, now_us = self._engine, self._clock.now_us()
        while self._exits:
            task, cause, kept = self._exits.popleft()
            if task.machine not in self._machines:
                continue  # a repeated report, after its machine was removed
            self._machines[task.machine].exited(task, cause, kept)
            engine.cluster.pending_machines[task.machine] = engine.cluster.machines[task.machine]
        if now_us - self._last_gather_us >= self._gather_interval_us:
            self._last_gather_us = now_us
            engine.cluster.charge_usage(now_us)
        commands_by_machine = self._process_reports(now_us)
        engine.cluster.own_machines.refresh_contact(now_us)
        more = engine.tick(now_us)
        while more:
            more = engine.continue_pass()
        self._persist_batches(now_us)
        to_start: list[Started] = []
        to_stop: list[Started] = []
        for exchanges_left in reversed(range(DIGESTS)):
            for machine, commands in commands_by_machine:
                started, stopped = machine.execute(commands, self._task_exited)
                to_start += started
                to_stop += stopped
                if machine.changed or machine.has_exited:  # its end is durable: the engine may have it forgotten
                    engine.cluster.pending_machines[machine.name] = engine.cluster.machines[machine.name]
            commands_by_machine = self._process_reports(now_us) if exchanges_left else []
            if not commands_by_machine:
                break
        for name in engine.cluster.own_machines.remove_drained(now_us):
            del self._machines[name]
        engine.orders()  # discarded: the machines got these commands in reply to their reports
        try:
            if self._state.tidy(lambda job: job in engine.cluster.jobs):
                self.log.debug("snapshot at revision %d", self._state.journal.revision)
        except (StorageError, Damaged) as error:
            self._fail(error)
            raise
        return to_start, to_stop, engine.cluster.dirty or bool(engine.cluster.pending_machines)

    def _persist_batches(self, now_us: int) -> None:
        """Queues all pending batches and persists them with one write to the disk.

        Effects that only lead to more records are released as soon as their own batch is queued: the journal
        preserves order, so no record is durable without those that it depends on. Effects that are visible
        outside, above all the start of a task, are sent with the reports, after this has returned.
        """
        engine, has_effects = self._engine, False
        while (batch := engine.batch()) is not None:
            revision = self._state.write(batch.guards, batch.writes)
            if revision is None:  # a job's record has changed since: retry with what is still valid
                engine.batch_failed(self._state.stamp_of, unknown=False)
                continue
            has_effects = has_effects or any(batch.effects)
            engine.batch_committed(revision, now_us)
        if has_effects or self._synced_revision < self._awaited_revision:
            self._sync()

    def _process_reports(self, now_us: int) -> list[tuple[LocalMachine, list[Command]]]:
        """Processes reports of machines with changes or pending commands, and periodically those of all machines.

        The returned commands are executed after the round's write: they may stop tasks of a job that is
        cancelled in this round, and the cancellation must be durable first.
        """
        cluster = self._engine.cluster
        if now_us - self._last_report_us >= to_us(REPORT_S) // 2:
            self._last_report_us = now_us
            cluster.pending_machines.update(cluster.machines)
        # Sorted: the order of the program's changes must not matter.
        pending_machines = [self._machines[name] for name in sorted(cluster.pending_machines)]
        cluster.pending_machines.clear()
        answer, token = self._engine.reports.answer, self._engine.token
        return [(machine, answer(machine.report(token), now_us)) for machine in pending_machines]

    def _task_exited(self, task: Started, cause: str, kept: bool) -> None:
        """Records the end of a task; called by the program, in any thread, with or without the lock."""
        if os.getpid() != self._pid:
            raise Forked("this task belongs to the parent process")
        self._exits.append((task, cause, kept))
        self._wake.set()

    def _run_callback(self, function: Callable[[Started], None] | None, task: Started) -> bool:
        try:
            if function is not None:
                function(task)
            return True
        except Exception:
            self.log.exception("%s of %s failed", "on_start" if function is self._on_start else "on_stop", task.name)
            return False

    def _leave_to_parent(self) -> None:
        self._state.leave_to_parent()


def _after_fork() -> None:
    for instance in list(_open_instances):
        instance._leave_to_parent()
    _open_instances.clear()


os.register_at_fork(after_in_child=_after_fork)
