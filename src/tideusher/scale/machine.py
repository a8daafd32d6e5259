"""A hollow machine: executes commands by the protocol, with timers in place of tasks. No I/O; time is passed in.

The progress that a task saves is not kept: a stopped task runs for its full time again.
"""

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from tideusher.clock import SECOND_US, to_us
from tideusher.config import WorkerSettings
from tideusher.scale import events
from tideusher.wire.cloud import MachineType
from tideusher.wire.jobs import GANG, SERVICE, JobSpec
from tideusher.wire.workers import (
    ACTIVE,
    CAUSE_DONE,
    CAUSE_FULL,
    CAUSE_IN_USE,
    CAUSE_INCOMPLETE,
    CAUSE_PEERS,
    CAUSE_STOPPED,
    CAUSE_UNKNOWN,
    EXITED,
    FETCHING,
    SAVING,
    WAITING,
    Command,
    Commands,
    DirectCommands,
    Report,
    TaskReport,
    parse_task_name,
)

#: Cause outside the protocol: the machine was lost, or its lease expired.
LOST = "lost"

TaskKey = tuple[str, int, int]
EmitEvent = Callable[[events.AnyEvent], None]


class Jobs(Protocol):
    """The source of the jobs that a worker runs."""

    def spec(self, job: str) -> JobSpec:
        """Returns a job's description; raises IndexError or ValueError for a job that was never submitted."""

    def run_us(self, job: str, index: int) -> int:
        """Returns the run time of a task."""


@dataclass(slots=True, eq=False)
class HollowTask:
    """An attempt of a task on a machine."""

    job: str
    index: int
    attempt: int
    spec: JobSpec | None
    state: str
    cause: str | None = None
    kept: bool | None = None
    due_us: int | None = None  # when its current state ends by itself

    @property
    def key(self) -> TaskKey:
        """Identifies the attempt on its machine."""
        return self.job, self.index, self.attempt

    @property
    def on_machine(self) -> bool:
        """True if the attempt counts as being on its machine."""
        return self.state in (ACTIVE, WAITING, SAVING)

    @property
    def occupies_resources(self) -> bool:
        """True if the attempt occupies resources of the machine."""
        return self.state != EXITED


@dataclass(slots=True, eq=False)
class HollowMachine:
    """A machine with its tasks, its lease and its timers."""

    name: str
    address: str
    kind: MachineType
    zone: str
    spot: bool
    jobs: Jobs
    times: WorkerSettings
    emit: EmitEvent
    answered_us: int  # when the last answered report was sent
    session: int = 1
    serial: int = 0
    token: int = 0
    tasks: dict[TaskKey, HollowTask] = field(default_factory=dict)
    changed: bool = False  # there is something to report before the next report is due
    _image_ready_us: dict[str, int] = field(default_factory=dict)  # when each is fetched
    _completed: set[tuple[str, int]] = field(default_factory=set)
    _timers: list[tuple[int, TaskKey]] = field(default_factory=list)
    _token_reported_us: int = 0

    # ---------------------------------------------------------------- messages

    def report(self) -> Report:
        """Returns the worker's current report."""
        self.serial += 1
        self.changed = False
        tasks = [TaskReport(f"{t.job}/{t.index}", t.attempt, t.state, t.cause, t.kept) for t in self.tasks.values()]
        return Report(
            self.name,
            self.address,
            self.kind.name,
            self.zone,
            self.spot,
            self.session,
            self.serial,
            self.token,
            None,
            tasks,
        )

    def answer(self, commands: Commands, sent_us: int, session: int, now_us: int) -> bool:
        """Applies the answer to a report that was sent at `sent_us`; False if it had to be dropped."""
        self.advance(now_us)
        if session != self.session or commands.token < self.token:
            return False
        self._update_token(commands.token, now_us)
        self.answered_us = max(self.answered_us, sent_us)
        for command in commands.commands:
            self._execute(command, sent_us, now_us)
        return True

    def direct(self, order: DirectCommands, now_us: int) -> tuple[int, Report]:
        """Executes commands of a direct call; returns the status and the body of the answer."""
        self.advance(now_us)
        if order.session != self.session or order.token < self.token:
            return 409, self.report()
        self._update_token(order.token, now_us)
        for command in order.commands:
            self._execute(command, now_us, now_us)
        return 200, self.report()

    def _update_token(self, token: int, now_us: int) -> None:
        if token > self.token:
            self.token = token
            if now_us - self._token_reported_us > to_us(self.times.lease_s) // 2:
                self._token_reported_us, self.changed = now_us, True

    # ---------------------------------------------------------------- time

    def due_us(self) -> int:
        """Returns when the next timer is due or the lease expires, whichever is first."""
        lease_ends_us = self.answered_us + to_us(self.times.lease_s) + 1
        return min(self._timers[0][0], lease_ends_us) if self._timers else lease_ends_us

    def advance(self, now_us: int) -> None:
        """Processes the timers that are due by now in their order, and the expiry of the lease."""
        lease_us = to_us(self.times.lease_s)
        while self._timers and self._timers[0][0] <= now_us:
            due_us, key = heapq.heappop(self._timers)
            if due_us - self.answered_us > lease_us:
                break
            task = self.tasks.get(key)
            if task is not None and task.due_us == due_us:
                task.due_us = None
                self._on_timer(task, due_us)
        if now_us - self.answered_us > lease_us:
            self.lose_all(now_us)
            self.session += 1
            self.answered_us, self.changed = now_us, True

    def lose_all(self, now_us: int) -> None:
        """Removes all tasks, because the machine is lost or its lease expired."""
        for task in list(self.tasks.values()):
            if task.state != EXITED:
                self._emit_left(task, LOST, now_us)
        self.tasks.clear()
        self._timers.clear()

    def _on_timer(self, task: HollowTask, now_us: int) -> None:
        """Ends the current state of a task when its timer is due."""
        if task.state == FETCHING:
            self._image_ready(task, now_us)
        elif task.state == WAITING:
            self._exit(task, CAUSE_INCOMPLETE, now_us)
        elif task.state == SAVING:
            task.kept = True
            self._exit(task, CAUSE_STOPPED, now_us)
        elif task.state == ACTIVE:
            self._exit(task, task.cause or CAUSE_DONE, now_us)

    def _image_ready(self, task: HollowTask, now_us: int) -> None:
        self.emit(events.OnMachine(now_us, self.name, task.job, task.index, task.attempt))
        if (task.job, task.index) in self._completed:
            self._set_state(task, ACTIVE)
            self._exit(task, CAUSE_DONE, now_us)
        elif task.spec is not None and task.spec.shape == GANG:
            self._set_state(task, WAITING)
            self._set_timer(task, now_us + to_us(self.times.gang_wait_s))
        else:
            self._start(task, now_us)

    def _start(self, task: HollowTask, now_us: int) -> None:
        self._set_state(task, ACTIVE)
        self.emit(events.Started(now_us, self.name, task.job, task.index, task.attempt))
        if task.spec is not None and task.spec.shape == SERVICE:
            task.due_us = None
        else:
            self._set_timer(task, now_us + self.jobs.run_us(task.job, task.index))

    def gang_begins(self, job: str, attempt: int, at_us: int) -> None:
        """Starts the tasks of the attempt, as all of them are waiting for one another."""
        for task in self._members(job, attempt):
            if task.state == WAITING:
                self._start(task, at_us)

    def gang_broken(self, job: str, attempt: int, now_us: int) -> None:
        """Ends the other tasks of the attempt after `gang_peer_s`, because one of its tasks is gone."""
        for task in self._members(job, attempt):
            if task.state == ACTIVE and task.cause is None:
                task.cause = CAUSE_PEERS
                self._set_timer(task, now_us + to_us(self.times.gang_peer_s))

    def _members(self, job: str, attempt: int) -> Iterator[HollowTask]:
        return iter([task for task in self.tasks.values() if task.job == job and task.attempt == attempt])

    def _set_timer(self, task: HollowTask, due_us: int) -> None:
        task.due_us = due_us
        heapq.heappush(self._timers, (due_us, task.key))

    # ---------------------------------------------------------------- commands

    def _execute(self, command: Command, asked_us: int, now_us: int) -> None:
        """Executes a command; `asked_us`: when the report that it answers was sent, or the direct call arrived."""
        try:
            job, index = parse_task_name(command.task)
        except ValueError:
            return
        task = self.tasks.get((job, index, command.attempt))
        if command.op == "run" and task is None:
            self._run(job, index, command.attempt, asked_us, now_us)
        elif command.op == "halt" and task is not None:
            self._halt(task, command.grace_s or 0.0, now_us)
        elif command.op == "forget" and task is not None and task.state == EXITED:
            del self.tasks[task.key]

    def _run(self, job: str, index: int, attempt: int, asked_us: int, now_us: int) -> None:
        try:
            spec: JobSpec | None = self.jobs.spec(job)
        except (IndexError, ValueError):
            spec = None
        task = HollowTask(job, index, attempt, spec, FETCHING)
        refusal = self._refusal(task)
        self.tasks[task.key] = task
        if spec is None or refusal is not None:
            task.state, task.cause, self.changed = EXITED, refusal, True
            return
        self.emit(events.Ordered(now_us, self.name, job, index, attempt, asked_us))
        self.changed = True
        fetched_us = self._image_ready_us.setdefault(
            spec.image, now_us + to_us(spec.image_gb / self.kind.fetch_gb_per_s)
        )
        if fetched_us <= now_us:
            self._image_ready(task, now_us)
        else:
            self._set_timer(task, fetched_us)

    def _refusal(self, task: HollowTask) -> str | None:
        if task.spec is None or not 0 <= task.index < task.spec.tasks:
            return CAUSE_UNKNOWN
        live = [other for other in self.tasks.values() if other.occupies_resources]
        if any((other.job, other.index) == (task.job, task.index) for other in live):
            return CAUSE_IN_USE
        used = [other.spec for other in live if other.spec is not None] + [task.spec]
        if (
            sum(spec.cpus for spec in used) > self.kind.cpus + 1e-9
            or sum(spec.gpus for spec in used) > self.kind.gpus + 1e-9
            or sum(spec.ram_gb for spec in used) > self.kind.ram_gb + 1e-9
        ):
            return CAUSE_FULL
        return None

    def _halt(self, task: HollowTask, grace_s: float, now_us: int) -> None:
        spec = task.spec
        if task.state == EXITED or spec is None:
            return
        if task.state == ACTIVE and spec.checkpoint_s and grace_s >= spec.save_s and task.cause is None:
            self._set_state(task, SAVING)
            self._set_timer(task, now_us + to_us(spec.save_s))
        elif task.state != SAVING or not grace_s:
            self._exit(task, CAUSE_STOPPED, now_us)

    def _set_state(self, task: HollowTask, state: str) -> None:
        task.state, self.changed = state, True

    def _exit(self, task: HollowTask, cause: str, now_us: int) -> None:
        self._emit_left(task, cause, now_us)
        if cause == CAUSE_DONE:
            self._completed.add((task.job, task.index))
        task.cause, task.due_us = cause, None
        self._set_state(task, EXITED)

    def _emit_left(self, task: HollowTask, cause: str, now_us: int) -> None:
        self.emit(events.Left(now_us, self.name, task.job, task.index, task.attempt, cause, task.on_machine))


def next_report_us(report_s: float, jitter: float) -> int:
    """Returns the time to the next report, which varies by a quarter either way; `jitter` is from 0 to 1."""
    return round(report_s * SECOND_US * (0.75 + 0.5 * jitter))
