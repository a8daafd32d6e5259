"""Reports of workers and the commands they are given."""

from collections.abc import Callable

import msgspec

from tideusher.wire.decoding import decoder

FETCHING, WAITING, ACTIVE, SAVING, EXITED = "pulling", "waiting", "running", "flushing", "exited"
CAUSE_DONE, CAUSE_STOPPED, CAUSE_PEERS = "done", "stopped", "peers"
CAUSE_INCOMPLETE, CAUSE_ERROR, CAUSE_FULL = "incomplete", "error", "full"
CAUSE_IN_USE, CAUSE_UNKNOWN = "in_use", "unknown"


class TaskReport(msgspec.Struct, omit_defaults=True):
    """One task on a worker's machine."""

    task: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="launch")
    state: str = msgspec.field(name="status")
    cause: str | None = None
    kept: bool | None = None


class Report(msgspec.Struct, omit_defaults=True):
    """A worker's report. (session, serial) orders the reports of one worker."""

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
    """What a node that passes a report on must know of it."""

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
    """The answer to a report."""

    token: int = msgspec.field(name="helm")
    commands: list[Command] = msgspec.field(name="orders", default_factory=list)


class DirectCommands(msgspec.Struct):
    """Commands sent straight to a worker's address."""

    token: int = msgspec.field(name="helm")
    session: int = msgspec.field(name="watch")
    commands: list[Command] = msgspec.field(name="orders", default_factory=list)


class Redirect(msgspec.Struct):
    """Body of a 421: the node that should be reported to."""

    node: str = msgspec.field(name="harbormaster")


def run(task: str, attempt: int) -> Command:
    """Start a task. Only ever put into an answer to a report (see docs/safety.md, 4)."""
    return Command("run", task, attempt)


def halt(task: str, attempt: int, grace_s: float) -> Command:
    """Stop a task, leaving it `grace_s` to save."""
    return Command("halt", task, attempt, grace_s)


def forget(task: str, attempt: int) -> Command:
    """Drop an exited task from the worker's reports."""
    return Command("forget", task, attempt)


def task_name(job: str, index: int) -> str:
    """`req-000412/3`."""
    return f"{job}/{index}"


def parse_task_name(name: str) -> tuple[str, int]:
    """The inverse of task_name; raises ValueError on anything else."""
    job, _, index = name.rpartition("/")
    return job, int(index)


decode_report: Callable[[bytes], Report] = decoder(Report)
decode_report_head: Callable[[bytes], ReportHead] = decoder(ReportHead)
decode_commands: Callable[[bytes], Commands] = decoder(Commands)
encode = msgspec.json.Encoder().encode
