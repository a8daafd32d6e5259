"""A hollow machine: executes commands as the protocol says, with timers in place of tasks. No I/O; time is passed in.

Progress that a task saves is not kept: a task that was stopped runs its whole time again.
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

#: Not of the protocol: the machine is gone, or its lease ran out.
LOST = "lost"

TaskKey = tuple[str, int, int]
Tell = Callable[[events.AnyEvent], None]


class Jobs(Protocol):
    """Where a worker finds what it is to run."""

    def spec(self, job: str) -> JobSpec:
        """A job's description; raises IndexError or ValueError for one that was never submitted."""

    def run_us(self, job: str, index: int) -> int:
        """How long the task runs."""


@dataclass(slots=True, eq=False)
class HollowTask:
    """One attempt of a task on a machine."""

    job: str
    index: int
    attempt: int
    spec: JobSpec | None
    state: str
    cause: str | None = None
    kept: bool | None = None
    due_us: int | None = None  # when its present state ends by itself

    @property
    def key(self) -> TaskKey:
        """Told apart on its machine by this."""
        return self.job, self.index, self.attempt

    @property
    def on_machine(self) -> bool:
        """Does it count as being on its machine?"""
        return self.state in (ACTIVE, WAITING, SAVING)

    @property
    def takes_room(self) -> bool:
        """Does it hold its share of the machine?"""
        return self.state != EXITED


@dataclass(slots=True, eq=False)
class HollowMachine:
    """One machine with its tasks, its lease and its timers."""

    name: str
    address: str
    kind: MachineType
    zone: str
    spot: bool
    jobs: Jobs
    times: WorkerSettings
    tell: Tell
    answered_us: int  # when the last answered report was sent
    session: int = 1
    serial: int = 0
    token: int = 0
    tasks: dict[TaskKey, HollowTask] = field(default_factory=dict)
    changed: bool = False  # is there something to report before the next report is due?
    _images: dict[str, int] = field(default_factory=dict)  # when each is there
    _results: set[tuple[str, int]] = field(default_factory=set)
    _timers: list[tuple[int, TaskKey]] = field(default_factory=list)
    _token_told_us: int = 0

    # ---------------------------------------------------------------- messages

    def report(self) -> Report:
        """What the worker says now."""
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
        """Take the answer to a report that was sent at this time; False if it had to be dropped."""
        self.advance(now_us)
        if session != self.session or commands.token < self.token:
            return False
        self._learn_token(commands.token, now_us)
        self.answered_us = max(self.answered_us, sent_us)
        for command in commands.commands:
            self._execute(command, now_us)
        return True

    def direct(self, order: DirectCommands, now_us: int) -> tuple[int, Report]:
        """Commands sent straight here: the status of the answer, and its body."""
        self.advance(now_us)
        if order.session != self.session or order.token < self.token:
            return 409, self.report()
        self._learn_token(order.token, now_us)
        for command in order.commands:
            self._execute(command, now_us)
        return 200, self.report()

    def _learn_token(self, token: int, now_us: int) -> None:
        if token > self.token:
            self.token = token
            if now_us - self._token_told_us > to_us(self.times.lease_s) // 2:
                self._token_told_us, self.changed = now_us, True

    # ---------------------------------------------------------------- time

    def due_us(self) -> int:
        """When something happens next by itself: a timer, or the end of the lease."""
        lease_ends_us = self.answered_us + to_us(self.times.lease_s) + 1
        return min(self._timers[0][0], lease_ends_us) if self._timers else lease_ends_us

    def advance(self, now_us: int) -> None:
        """Let all happen that was due by now, in its order."""
        lease_us = to_us(self.times.lease_s)
        while self._timers and self._timers[0][0] <= now_us:
            due_us, key = heapq.heappop(self._timers)
            if due_us - self.answered_us > lease_us:
                break
            task = self.tasks.get(key)
            if task is not None and task.due_us == due_us:
                task.due_us = None
                self._timed(task, due_us)
        if now_us - self.answered_us > lease_us:
            self.lose_all(now_us)
            self.session += 1
            self.answered_us, self.changed = now_us, True

    def lose_all(self, now_us: int) -> None:
        """The machine is gone, or its lease: so is all that was on it."""
        for task in list(self.tasks.values()):
            if task.state != EXITED:
                self._told_left(task, LOST, now_us)
        self.tasks.clear()
        self._timers.clear()

    def _timed(self, task: HollowTask, now_us: int) -> None:
        """The present state of a task ends."""
        if task.state == FETCHING:
            self._has_image(task, now_us)
        elif task.state == WAITING:
            self._exit(task, CAUSE_INCOMPLETE, now_us)
        elif task.state == SAVING:
            task.kept = True
            self._exit(task, CAUSE_STOPPED, now_us)
        elif task.state == ACTIVE:
            self._exit(task, task.cause or CAUSE_DONE, now_us)

    def _has_image(self, task: HollowTask, now_us: int) -> None:
        self.tell(events.OnMachine(now_us, self.name, task.job, task.index, task.attempt))
        if (task.job, task.index) in self._results:
            self._change(task, ACTIVE)
            self._exit(task, CAUSE_DONE, now_us)
        elif task.spec is not None and task.spec.shape == GANG:
            self._change(task, WAITING)
            self._set_timer(task, now_us + to_us(self.times.gang_wait_s))
        else:
            self._begin(task, now_us)

    def _begin(self, task: HollowTask, now_us: int) -> None:
        self._change(task, ACTIVE)
        self.tell(events.Started(now_us, self.name, task.job, task.index, task.attempt))
        if task.spec is not None and task.spec.shape == SERVICE:
            task.due_us = None
        else:
            self._set_timer(task, now_us + self.jobs.run_us(task.job, task.index))

    def gang_begins(self, job: str, attempt: int, at_us: int) -> None:
        """All tasks of the attempt wait for one another: they run."""
        for task in self._members(job, attempt):
            if task.state == WAITING:
                self._begin(task, at_us)

    def gang_broken(self, job: str, attempt: int, now_us: int) -> None:
        """A task of the attempt is gone: the others end within the time for that."""
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

    def _execute(self, command: Command, now_us: int) -> None:
        try:
            job, index = parse_task_name(command.task)
        except ValueError:
            return
        task = self.tasks.get((job, index, command.attempt))
        if command.op == "run" and task is None:
            self._run(job, index, command.attempt, now_us)
        elif command.op == "halt" and task is not None:
            self._halt(task, command.grace_s or 0.0, now_us)
        elif command.op == "forget" and task is not None and task.state == EXITED:
            del self.tasks[task.key]

    def _run(self, job: str, index: int, attempt: int, now_us: int) -> None:
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
        self.tell(events.Ordered(now_us, self.name, job, index, attempt))
        self.changed = True
        there_us = self._images.setdefault(spec.image, now_us + to_us(spec.image_gb / self.kind.fetch_gb_per_s))
        if there_us <= now_us:
            self._has_image(task, now_us)
        else:
            self._set_timer(task, there_us)

    def _refusal(self, task: HollowTask) -> str | None:
        if task.spec is None or not 0 <= task.index < task.spec.tasks:
            return CAUSE_UNKNOWN
        live = [other for other in self.tasks.values() if other.takes_room]
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
            self._change(task, SAVING)
            self._set_timer(task, now_us + to_us(spec.save_s))
        elif task.state != SAVING or not grace_s:
            self._exit(task, CAUSE_STOPPED, now_us)

    def _change(self, task: HollowTask, state: str) -> None:
        task.state, self.changed = state, True

    def _exit(self, task: HollowTask, cause: str, now_us: int) -> None:
        self._told_left(task, cause, now_us)
        if cause == CAUSE_DONE:
            self._results.add((task.job, task.index))
        task.cause, task.due_us = cause, None
        self._change(task, EXITED)

    def _told_left(self, task: HollowTask, cause: str, now_us: int) -> None:
        self.tell(events.Left(now_us, self.name, task.job, task.index, task.attempt, cause, task.on_machine))


def next_report_us(report_s: float, jitter: float) -> int:
    """From one report to the next, give or take a quarter; `jitter` from 0 to 1."""
    return round(report_s * SECOND_US * (0.75 + 0.5 * jitter))
