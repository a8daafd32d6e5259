"""An embedded instance: the daemon's decisions inside a program, on machines of its own.

One step takes what the program asked for and what its tasks reported, lets the engine decide, writes all
of it with one `fdatasync`, and only then tells anybody: callers of `submit` and `cancel`, and `on_start`.
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
from tideusher.core.lead import explain
from tideusher.core.lead.engine import Engine
from tideusher.core.model import keys
from tideusher.core.model.job_record import held_value, open_value
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

#: How long a thread of ours sleeps when nothing is asked.
IDLE_S = 0.2
#: Reports of a machine in one round at most; what is left then is for the next.
DIGESTS = 4

#: Instances of this process, for its children after a fork.
_open: "weakref.WeakSet[Instance]" = weakref.WeakSet()


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
    """A job with the fields that matter inside a program; `more` are other fields of JobSpec by their names."""
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
    """A name that no other job has, as far as 18 random digits go."""
    return f"req-{10**17 + secrets.randbelow(9 * 10**17)}"


class Instance:
    """Places jobs on the machines of its program; `docs/embed.md` tells when to use it.

    Threads: every method may be called from any thread. `on_start` and `on_stop` are called one after the
    other, outside of all locks, by the instance's own thread (`drive="thread"`, the default), by its greenlet
    (`drive="greenlet"`, for programs on gevent), or by whoever calls `step`, `submit`, `cancel` or `wait`
    (`drive="step"`). They should return soon and run the task elsewhere. An exception in `on_start` counts as
    a failure of the task; one in `on_stop` is logged. A call-back must not `wait` for a job: nothing goes on
    until it returns.

    Fork: a child process must not use its parent's instance (Forked); it may open one of its own elsewhere.

    Errors: all are EmbedError. After a StorageError the instance is closed, and nothing that it was asked
    since the last answer is acknowledged; a new one on the same directory has all that was acknowledged.
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
        """Open a directory: lock it, recover, and place what is open. Raises Locked, Damaged, StorageError.

        `on_stop` is called for a task that is to end (`Started.grace_s` seconds to save); without it, tasks
        have to look at `Started.stopping`. `repair` cuts off what is damaged at the journal's end.
        `snapshot_bytes`: the journal's least length before a snapshot (bytes, default 4 MiB). `guard`: may
        something start on this machine now? Asked right before `on_start`; a no withdraws the machine.
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
            self._begin(policy or Policy())
        except BaseException:
            self._state.close()
            raise
        _open.add(self)
        if drive == "thread":
            self._thread = threading.Thread(target=self._run, name="tideusher", daemon=True)
            self._thread.start()
        elif drive == "greenlet":
            import gevent

            self._greenlet = gevent.spawn(self._run)

    def _begin(self, policy: Policy) -> None:
        """A new life: its token is higher than any before, and nothing that ran in an earlier one runs."""
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
        for one in self._settings.machines:
            self._own(one, now_us)
        self._synced = self._asked = token  # revisions: on the disk, and waited for by somebody
        self._reported_us = 0
        self._gathered_us = now_us
        self._gather_us = to_us(policy.ledger__gather_s)

    # ---------------------------------------------------------------- what programs call

    def submit(self, spec: JobSpec) -> JobStatus:
        """Accept a job; it is kept when this returns. A known ref gets that job's state. Raises Refused."""
        return self.submit_many([spec])[0]

    def submit_many(self, specs: Sequence[JobSpec]) -> list[JobStatus]:
        """Accept jobs together, with one write to the disk; all of them or, if one is Refused, none."""
        with self._changed:
            self._usable()
            fresh: dict[str, JobSpec] = {}
            for spec in specs:
                if self._state.record_of(spec.id) is None:
                    self._check(spec)
                    fresh.setdefault(spec.id, spec)
            wall_us = self._clock.wall_us()
            for spec in fresh.values():
                self._write(spec.id, open_value(spec, wall_us))
            answers = [self._status(spec.id) for spec in specs]
            revision = self._asked
        self._kept(revision)
        return answers

    def cancel(self, job: str) -> JobStatus:
        """Cancel a job; no task of it starts once this returns, and those that run are told to stop."""
        return self._change(job, lambda value: {**value, "st": JOB_CANCELLED})

    def hold(self, job: str, by: str = "its program") -> JobStatus:
        """Let nothing more of the job start; what runs goes on."""
        return self._change(job, lambda value: held_value(value, by))

    def release(self, job: str) -> JobStatus:
        """Let a held job go on."""
        return self._change(job, lambda value: held_value(value, ""))

    def status(self, job: str) -> JobStatus:
        """A job's state. Raises Refused if there is no such job."""
        with self._lock:
            self._usable()
            status, revision = self._status(job), self._asked
        if self._synced < revision:  # another thread's change may be queued only: kept before told
            self._kept(revision)
        return status

    def wait(self, job: str, timeout_s: float | None = None) -> JobStatus:
        """Return when the job is over, or after `timeout_s` seconds, with its state then."""
        end = None if timeout_s is None else time.monotonic() + timeout_s
        while True:
            if self._drive == "step":
                self.step()
            with self._changed:
                self._usable()
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
        """Why a job waits and why its tasks were stopped, as `GET /why` of the daemon."""
        with self._lock:
            self._usable()
            told = explain.explain_job(self._engine.cluster, job, self._clock.now_us())
            if told is not None:
                return told
            status = self._status(job)
            reason = "It is done." if status.status == DONE else explain.describe_end(status.why or "")
            return {"job": job, "status": status.status, "reasons": [reason], "stops": []}

    def add_machine(self, card: Card) -> None:
        """One more machine, of a kind that the settings declare. Its name must be new to this life."""
        with self._changed:
            self._usable()
            if card.kind not in self._kinds:
                raise Refused(f"machine {card.machine}: there is no kind {card.kind!r}")
            if card.machine in self._machines or card.machine in self._engine.cluster.gone:
                raise Refused(f"machine {card.machine} is known already")
            self._own(card, self._clock.now_us())
        self._wake.set()

    def withdraw_machine(self, machine: str, reason: str, grace_s: float = 0.0) -> None:
        """Use a machine no more: what runs there is told to stop, and starts elsewhere once it has. Repeatable."""
        with self._changed:
            self._usable()
            self._engine.cluster.own_machines.withdraw(machine, reason, grace_s)
        self._wake.set()

    def machines(self) -> list[str]:
        """Names of the machines in use, those that are being withdrawn included."""
        with self._lock:
            return sorted(self._machines)

    def teams(self) -> list[dict[str, Any]]:
        """Ratios, charges, guarantees and present use."""
        with self._lock:
            self._usable()
            return explain.teams(self._engine.cluster)

    def step(self) -> bool:
        """One round for callers with a loop of their own; True if there is more to do at once.

        To be called at least once a second, and after a task has ended.
        """
        with self._changed:
            self._usable()
            if self._stepping:  # called by on_start or on_stop
                return False
            self._stepping = True
            try:
                begun, ended, more = self._round()
                self._changed.notify_all()
            finally:
                self._stepping = False
        for task in ended:
            self._call_back(self._on_stop, task)
        for task in begun:
            if self._guard is not None and not self._guard(task.machine):
                # Decided in time, and late all the same: the process stood still in between.
                self.withdraw_machine(task.machine, "it is not ours any more")
                task.stopped()
            elif not self._call_back(self._on_start, task):
                task.failed()
        return more or bool(self._exits)

    def close(self) -> None:
        """Stop placing, and let others open the directory. Tasks that run are not told: they belong to the program.

        What ran is open again when the directory is opened next.
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

    # ---------------------------------------------------------------- inside

    def _usable(self) -> None:
        if os.getpid() != self._pid:
            raise Forked("this instance is the parent process's; open one of your own")
        if self._error is not None:
            raise self._error

    def _own(self, card: Card, now_us: int) -> None:
        cluster = self._engine.cluster
        cluster.own_machines.add([(card.machine, card.kind, card.zone)], now_us)
        cluster.machines[card.machine].images["program"] = 0.0
        cluster.pending_machines[card.machine] = cluster.machines[card.machine]
        self._machines[card.machine] = LocalMachine(card, self._kinds[card.kind], self._spec_of)

    def _check(self, spec: JobSpec) -> None:
        try:
            check_job(spec)
        except InvalidJob as error:
            raise Refused(str(error)) from None
        team = self._engine.cluster.teams.get(spec.team)
        if team is None:
            raise Refused(f"unknown team {spec.team}")
        if spec.gpus != int(spec.gpus):
            raise Refused("gpus: cards are given out whole")
        for one in spec.after or ():
            if self._state.record_of(one.job) is None:
                raise Refused(f"it is to start after {one.job}, and there is no such job")
        at_once = 1 if spec.shape == BATCH else spec.tasks
        for name, need, limit in (("CPUs", spec.cpus, team.cpus_max), ("GPUs", spec.gpus, team.gpus_max)):
            if limit and need * at_once > limit + 1e-9:
                raise Refused(f"the job needs {need * at_once:g} {name}, team {team.name} may use {limit:g}")
        for kind in self._kinds.values():
            fits = kind.cpus >= spec.cpus and kind.gpus >= spec.gpus and kind.ram_gb >= spec.ram_gb
            if fits and (spec.types is None or kind.name in spec.types):
                return
        raise Refused("a task fits none of the kinds of machines")

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

    def _change(self, job: str, change: Callable[[dict[str, Any]], dict[str, Any]]) -> JobStatus:
        with self._changed:
            self._usable()
            value = self._state.record_of(job)
            if value is None:
                raise Refused(f"there is no job {job}")
            if value["st"] == OPEN and change(value) != value:
                self._write(job, change(value))
            status = self._status(job)
            revision = self._asked
        self._kept(revision)
        return status

    def _write(self, job: str, value: dict[str, Any]) -> None:
        """Queue a job's own record, and let the engine know; `_kept` must follow before anybody is told."""
        key = keys.job_key(job)
        value = msgspec.to_builtins(value)
        stamp = self._state.write([Guard(key, self._state.stamp_of(key))], [Put(key, value)])
        assert stamp is not None
        self._asked = stamp
        self._engine.cluster.job_changed(job, value, stamp, self._clock.now_us())

    def _kept(self, revision: int) -> None:
        """Return when what was written up to this revision is on the disk: with the next round's write.

        So an acceptance, the places that follow from it, and whatever other threads ask meanwhile share
        one write. Raises StorageError if it failed.
        """
        self._wake.set()
        if self._drive == "step" and not self._stepping:
            while self.step():
                pass
        with self._changed:
            while self._synced < revision:
                self._usable()
                if self._drive == "thread" and threading.current_thread() is not self._thread:
                    self._changed.wait(IDLE_S)
                else:
                    self._sync()  # a greenlet, or a call out of on_start: nobody else would

    def _sync(self) -> None:
        revision = self._state.journal.revision
        try:
            self._state.sync()
        except StorageError as error:
            self._over(error)
            raise
        self._synced = revision

    def _over(self, error: EmbedError) -> None:
        self._error = error
        self._state.close()
        self._changed.notify_all()
        self.log.error("%s", error)

    def _run(self) -> None:
        while True:
            try:
                more = self.step()
            except EmbedError:
                return  # closed, or its directory failed: whoever calls next is told
            except Exception:
                self.log.exception("a round failed")
                more = False
            if not more:
                if self._drive == "greenlet":
                    import gevent

                    gevent.sleep(0.002)
                else:
                    self._wake.wait(IDLE_S)
                    self._wake.clear()

    def _round(self) -> tuple[list[Started], list[Started], bool]:
        """Exits and changes in, decisions, one write; returns what to start and to stop, and if there is more."""
        engine, now_us = self._engine, self._clock.now_us()
        while self._exits:
            task, cause, kept = self._exits.popleft()
            if task.machine not in self._machines:
                continue  # said again, after its machine has left
            self._machines[task.machine].exited(task, cause, kept)
            engine.cluster.pending_machines[task.machine] = engine.cluster.machines[task.machine]
        if now_us - self._gathered_us >= self._gather_us:
            self._gathered_us = now_us
            engine.cluster.gather(now_us)
        told = self._digest(now_us)
        engine.cluster.own_machines.refresh_contact(now_us)
        more = engine.tick(now_us)
        while more:
            more = engine.continue_pass()
        self._persist(now_us)
        begun: list[Started] = []
        ended: list[Started] = []
        for left in reversed(range(DIGESTS)):
            for machine, commands in told:
                started, stopped = machine.execute(commands, self._exited)
                begun += started
                ended += stopped
                if machine.changed or machine.has_exited:  # it is to be forgotten, now that its end is kept
                    engine.cluster.pending_machines[machine.name] = engine.cluster.machines[machine.name]
            told = self._digest(now_us) if left else []
            if not told:
                break
        for name in engine.cluster.own_machines.remove_drained(now_us):
            del self._machines[name]
        engine.orders()  # what goes to machines directly went with their reports
        try:
            if self._state.tidy(lambda job: job in engine.cluster.jobs):
                self.log.debug("snapshot at revision %d", self._state.journal.revision)
        except (StorageError, Damaged) as error:
            self._over(error)
            raise
        return begun, ended, engine.cluster.dirty or bool(engine.cluster.pending_machines)

    def _persist(self, now_us: int) -> None:
        """Queue all that is to be written, then one write to the disk for all of it.

        Effects that only lead to more records are let go when theirs is queued: the journal keeps its
        order, so none is kept without what it rests on. What is told to anybody outside, a task's start
        above all, goes with the reports, after this has returned.
        """
        engine, told = self._engine, False
        while (batch := engine.batch()) is not None:
            revision = self._state.write(batch.guards, batch.writes)
            if revision is None:  # a job's record changed since: write what still holds
                engine.batch_failed(self._state.stamp_of, unknown=False)
                continue
            told = told or any(batch.effects)
            engine.batch_committed(revision, now_us)
        if told or self._synced < self._asked:
            self._sync()

    def _digest(self, now_us: int) -> list[tuple[LocalMachine, list[Command]]]:
        """Machines where something changed, or for which there is a command, report; all of them now and then.

        What the answers command is done after the round's write: it may be the end of what is cancelled
        in this round, and that is kept first.
        """
        cluster = self._engine.cluster
        if now_us - self._reported_us >= to_us(REPORT_S) // 2:
            self._reported_us = now_us
            cluster.pending_machines.update(cluster.machines)
        pending_machines = [
            self._machines[name] for name in sorted(cluster.pending_machines)
        ]  # whatever order the program has
        cluster.pending_machines.clear()
        answer, token = self._engine.reports.answer, self._engine.token
        return [(machine, answer(machine.report(token), now_us)) for machine in pending_machines]

    def _exited(self, task: Started, cause: str, kept: bool) -> None:
        """Called by the program, in any thread, with or without the lock."""
        if os.getpid() != self._pid:
            raise Forked("this task is the parent process's")
        self._exits.append((task, cause, kept))
        self._wake.set()

    def _call_back(self, function: Callable[[Started], None] | None, task: Started) -> bool:
        try:
            if function is not None:
                function(task)
            return True
        except Exception:
            self.log.exception("%s of %s failed", "on_start" if function is self._on_start else "on_stop", task.name)
            return False

    def _in_child(self) -> None:
        self._state.leave_to_parent()


def _after_fork() -> None:
    for instance in list(_open):
        instance._in_child()
    _open.clear()


os.register_at_fork(after_in_child=_after_fork)
