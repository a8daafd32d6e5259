"""The machines of an embedded instance: in-process counterparts of workers, which report to the engine as those do.

Which tasks run is known only here, so a report is exact at the time it is made. A machine's session is that of
its instance: tasks of an earlier run of the program ended with it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from tideusher.embed.settings import Card, MachineKind
from tideusher.wire import workers
from tideusher.wire.jobs import JobSpec
from tideusher.wire.workers import Command, Report, TaskReport


@dataclass(slots=True, eq=False)
class Started:
    """An attempt of a task that the program runs. Its methods may be called from any thread.

    `cards` are the indices of the machine's GPUs reserved for this attempt (the job's `gpus`, rounded up to an
    integer; empty if it needs none). Call one of `done`, `failed` and `stopped` once nothing of the attempt
    runs any more: until then its capacity, its GPUs and its quota stay allocated.
    """

    job: JobSpec
    index: int
    attempt: int
    machine: str
    cards: tuple[int, ...]
    _exit: Callable[["Started", str, bool], None]
    #: True once the instance has requested the task to stop; `grace_s` is the time it has to save, in seconds.
    stopping: bool = False
    grace_s: float = 0.0
    state: str = workers.ACTIVE
    cause: str | None = None
    kept: bool = False

    @property
    def name(self) -> str:
        """The task's name, such as `req-000412/3`."""
        return workers.task_name(self.job.id, self.index)

    def done(self) -> None:
        """Reports that the task completed."""
        self._exit(self, workers.CAUSE_DONE, False)

    def failed(self) -> None:
        """Reports that the task failed; it will be retried, preferably on another machine."""
        self._exit(self, workers.CAUSE_ERROR, False)

    def stopped(self, kept: bool = False) -> None:
        """Reports that the task stopped on request; `kept`: its progress is saved."""
        self._exit(self, workers.CAUSE_STOPPED, kept)


class LocalMachine:
    """A machine: executes commands, allocates GPUs and reports its tasks."""

    def __init__(self, card: Card, kind: MachineKind, spec_of: Callable[[str], JobSpec | None]) -> None:
        self.name, self.zone, self.kind = card.machine, card.zone, kind
        self._spec_of = spec_of
        self._tasks: dict[tuple[str, int], Started] = {}
        self._free_cards = list(range(int(kind.gpus)))
        self._serial = 0
        self.changed = True

    @property
    def has_exited(self) -> bool:
        """True if an attempt has exited and is not forgotten yet."""
        return any(task.state == workers.EXITED for task in self._tasks.values())

    def report(self, token: int) -> Report:
        """Returns a report of all tasks on this machine."""
        self._serial += 1
        self.changed = False
        tasks = [TaskReport(t.name, t.attempt, t.state, t.cause, t.kept or None) for t in self._tasks.values()]
        return Report(self.name, "embedded:0", self.kind.name, self.zone, False, 1, self._serial, token, None, tasks)

    def execute(
        self, commands: list[Command], exit: Callable[[Started, str, bool], None]
    ) -> tuple[list[Started], list[Started]]:
        """Executes commands; returns the tasks that the program has to start and to stop."""
        started, stopped = [], []
        for command in commands:
            job, index = workers.parse_task_name(command.task)
            task = self._tasks.get((job, index))
            if command.op == "run" and task is None:
                spec = self._spec_of(job)
                if spec is not None:
                    started.append(self._start(spec, index, command.attempt, exit))
            elif task is None or task.attempt != command.attempt:
                continue
            elif command.op == "forget" and task.state == workers.EXITED:
                del self._tasks[job, index]
            elif command.op == "halt" and task.state != workers.EXITED:
                task.grace_s = command.grace_s or 0.0
                if not task.stopping:
                    task.stopping, task.state = True, workers.SAVING
                    stopped.append(task)
                    self.changed = True
        return started, stopped

    def _start(self, spec: JobSpec, index: int, attempt: int, exit: Callable[[Started, str, bool], None]) -> Started:
        count = -int(-spec.gpus // 1)
        cards, self._free_cards = tuple(self._free_cards[:count]), self._free_cards[count:]
        task = self._tasks[spec.id, index] = Started(spec, index, attempt, self.name, cards, exit)
        self.changed = True
        return task

    def exited(self, task: Started, cause: str, kept: bool) -> None:
        """Records that nothing of a task runs any more; a repeated call has no effect."""
        if self._tasks.get((task.job.id, task.index)) is task and task.state != workers.EXITED:
            task.state, task.cause, task.kept = workers.EXITED, cause, kept
            self._free_cards = sorted([*self._free_cards, *task.cards])
            self.changed = True
