"""The machines of an embedded instance: parts of its own program, which speak to the engine as workers do.

What runs on one is known here and nowhere else, so a report is the truth of its moment. A machine's
session is the instance's: what ran in an earlier life of the program ended with it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from tideusher.embed.settings import Card, MachineKind
from tideusher.wire import workers
from tideusher.wire.jobs import JobSpec
from tideusher.wire.workers import Command, Report, TaskReport


@dataclass(slots=True, eq=False)
class Started:
    """One attempt of a task that the program runs. Its methods may be called from any thread.

    `cards` are the numbers of the machine's cards that this attempt has to itself (as many as the job's
    `gpus`, rounded up to whole ones; none if it asks for none). Call one of `done`, `failed` and `stopped`
    once nothing of it runs any more: until then its place, its cards and its quota are held.
    """

    job: JobSpec
    index: int
    attempt: int
    machine: str
    cards: tuple[int, ...]
    _exit: Callable[["Started", str, bool], None]
    #: Set when the instance wants it stopped; `grace_s` is how long it may take to save.
    stopping: bool = False
    grace_s: float = 0.0
    state: str = workers.ACTIVE
    cause: str | None = None
    kept: bool = False

    @property
    def name(self) -> str:
        """Such as `req-000412/3`."""
        return workers.task_name(self.job.id, self.index)

    def done(self) -> None:
        """It completed."""
        self._exit(self, workers.CAUSE_DONE, False)

    def failed(self) -> None:
        """It failed; it will be tried again, elsewhere first."""
        self._exit(self, workers.CAUSE_ERROR, False)

    def stopped(self, kept: bool = False) -> None:
        """It ended because it was told to; `kept`: its progress is saved."""
        self._exit(self, workers.CAUSE_STOPPED, kept)


class LocalMachine:
    """One machine: takes commands, hands out cards, reports."""

    def __init__(self, card: Card, kind: MachineKind, spec_of: Callable[[str], JobSpec | None]) -> None:
        self.name, self.zone, self.kind = card.machine, card.zone, kind
        self._spec_of = spec_of
        self._tasks: dict[tuple[str, int], Started] = {}
        self._free_cards = list(range(int(kind.gpus)))
        self._serial = 0
        self.changed = True

    @property
    def has_exited(self) -> bool:
        """Is there an attempt that has ended and is not forgotten?"""
        return any(task.state == workers.EXITED for task in self._tasks.values())

    def report(self, token: int) -> Report:
        """What runs here now."""
        self._serial += 1
        self.changed = False
        tasks = [TaskReport(t.name, t.attempt, t.state, t.cause, t.kept or None) for t in self._tasks.values()]
        return Report(self.name, "embedded:0", self.kind.name, self.zone, False, 1, self._serial, token, None, tasks)

    def execute(
        self, commands: list[Command], exit: Callable[[Started, str, bool], None]
    ) -> tuple[list[Started], list[Started]]:
        """Take commands; returns what is to be started and what is to be stopped by the program."""
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
        """The program says that nothing of the task runs any more; said twice it counts once."""
        if self._tasks.get((task.job.id, task.index)) is task and task.state != workers.EXITED:
            task.state, task.cause, task.kept = workers.EXITED, cause, kept
            self._free_cards = sorted([*self._free_cards, *task.cards])
            self.changed = True
