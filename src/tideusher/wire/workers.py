"""Reports sent by workers and commands sent to them."""

from collections.abc import Callable, Iterable

import msgspec

from tideusher.wire.decoding import decoder

FETCHING, WAITING, ACTIVE, SAVING, EXITED = "pulling", "waiting", "running", "flushing", "exited"
CAUSE_DONE, CAUSE_STOPPED, CAUSE_PEERS = "done", "stopped", "peers"
CAUSE_INCOMPLETE, CAUSE_ERROR, CAUSE_FULL = "incomplete", "error", "full"
CAUSE_IN_USE, CAUSE_UNKNOWN = "in_use", "unknown"

#: A request body, or a line of a response, holds at most so many bytes.
MAX_LINE_BYTES = 64 * 1024
#: Bytes of a message around its commands, at the most.
ENVELOPE_BYTES = 256


class TaskReport(msgspec.Struct, omit_defaults=True):
    """The state of one task on a worker's machine."""

    task: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="launch")
    state: str = msgspec.field(name="status")
    cause: str | None = None
    kept: bool | None = None


class Report(msgspec.Struct, omit_defaults=True):
    """A worker's periodic report. (session, serial) orders the reports of one worker."""

    machine: str = msgspec.field(name="berth")
    address: str = msgspec.field(name="addr")
    type: str = msgspec.field(name="hull")
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="loaned")
    session: int = msgspec.field(name="watch")
    serial: int = msgspec.field(name="tally")
    token: int = msgspec.field(name="helm")
    recall_s: float | None = None
    tasks: list[TaskReport] = msgspec.field(name="pieces", default_factory=list)


class ReportHead(msgspec.Struct):
    """The fields of a report that a node needs to forward it."""

    machine: str = msgspec.field(name="berth")
    zone: str = msgspec.field(name="harbor")
    token: int = msgspec.field(name="helm")
    address: str = msgspec.field(name="addr", default="")


class Command(msgspec.Struct, omit_defaults=True):
    """One command to a worker."""

    op: str = msgspec.field(name="order")
    task: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="launch")
    grace_s: float | None = msgspec.field(name="ebb_s", default=None)


class Commands(msgspec.Struct):
    """Response to a report."""

    token: int = msgspec.field(name="helm")
    commands: list[Command] = msgspec.field(name="orders", default_factory=list)


class DirectCommands(msgspec.Struct):
    """Commands sent directly to a worker's address, not as the response to a report."""

    token: int = msgspec.field(name="helm")
    session: int = msgspec.field(name="watch")
    commands: list[Command] = msgspec.field(name="orders", default_factory=list)


class Redirect(msgspec.Struct):
    """Body of a response 421: the node to send reports to."""

    node: str = msgspec.field(name="harbormaster")


class CommandBudget:
    """How many more bytes of commands one message may hold."""

    def __init__(self) -> None:
        self._left = MAX_LINE_BYTES - ENVELOPE_BYTES

    def take(self, command: Command) -> bool:
        """Counts a command; False if it does not fit, and then none does after it."""
        size = len(encode(command)) + len(",")
        if size > self._left:
            self._left = 0
            return False
        self._left -= size
        return True


def split_commands(commands: Iterable[Command]) -> list[list[Command]]:
    """Returns the commands in order, in parts that each fit into one message."""
    parts: list[list[Command]] = []
    budget = CommandBudget()
    for command in commands:
        if not parts or not budget.take(command):
            parts.append([])
            budget = CommandBudget()
            budget.take(command)
        parts[-1].append(command)
    return parts


def run(task: str, attempt: int) -> Command:
    """Returns the command to start a task. Only sent in the response to a report (see docs/safety.md, 4)."""
    return Command("run", task, attempt)


def halt(task: str, attempt: int, grace_s: float) -> Command:
    """Returns the command to stop a task, which gets `grace_s` to save its state."""
    return Command("halt", task, attempt, grace_s)


def forget(task: str, attempt: int) -> Command:
    """Returns the command to remove an exited task from the worker's reports."""
    return Command("forget", task, attempt)


def task_name(job: str, index: int) -> str:
    """Returns the name of a job's task, such as `req-000412/3`."""
    return f"{job}/{index}"


def parse_task_name(name: str) -> tuple[str, int]:
    """Splits a task name into job and index; raises ValueError if it is not one."""
    job, _, index = name.rpartition("/")
    return job, int(index)


decode_report: Callable[[bytes], Report] = decoder(Report)
decode_report_head: Callable[[bytes], ReportHead] = decoder(ReportHead)
decode_commands: Callable[[bytes], Commands] = decoder(Commands)
encode = msgspec.json.Encoder().encode
