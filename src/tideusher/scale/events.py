"""The event logs of a run: what each process saw on the workers and at the users, as the ground truth for judging.

A log has one event as JSON per line. Times are of the machine's monotonic clock, which all processes share.
"""

from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import IO

import msgspec


class Event(msgspec.Struct, tag_field="k", omit_defaults=True):
    """Base of all events."""

    at_us: int = msgspec.field(name="t")


class MachineUp(Event, tag="up"):
    """A machine accepts work from now on."""

    machine: str = msgspec.field(name="m")
    zone: str = msgspec.field(name="z")
    type: str = msgspec.field(name="y")
    spot: bool = msgspec.field(name="s", default=False)


class MachineDown(Event, tag="down"):
    """A machine is gone. Each task that was on it has a `Left` event of its own."""

    machine: str = msgspec.field(name="m")


class TaskEvent(Event):
    """Base of the events of an attempt of a task."""

    machine: str = msgspec.field(name="m")
    job: str = msgspec.field(name="j")
    index: int = msgspec.field(name="i")
    attempt: int = msgspec.field(name="a")


class Ordered(TaskEvent, tag="ordered"):
    """The worker was ordered to run the attempt.

    `asked_us` is when the report was sent whose answer held the command; of a direct call, when the call arrived.
    """

    asked_us: int = msgspec.field(name="q", default=0)


class OnMachine(TaskEvent, tag="on"):
    """The image is fetched: from now on the attempt counts as on its machine."""


class Started(TaskEvent, tag="start"):
    """The task runs; a task of a gang does so once all tasks of the attempt are on their machines."""


class Left(TaskEvent, tag="left"):
    """The task exited, was killed, or its machine is gone; `cause` is as in reports, or `lost`."""

    cause: str = msgspec.field(name="c", default="")
    was_on: bool = msgspec.field(name="o", default=True)


class Accepted(Event, tag="accepted"):
    """A user received the acceptance of a job, which was first submitted at `submitted_us`."""

    job: str = msgspec.field(name="j")
    submitted_us: int = msgspec.field(name="b")


class CancelTold(Event, tag="cancelled"):
    """A user received the answer that the job is cancelled, having asked for it first at `asked_us`."""

    job: str = msgspec.field(name="j")
    asked_us: int = msgspec.field(name="b", default=0)


class DoneTold(Event, tag="done"):
    """A user received the answer that the job is done."""

    job: str = msgspec.field(name="j")


#: The rule that is broken when requests about a job get no answers any more.
UNANSWERED = "unanswered"


class AnswerBroken(Event, tag="answer"):
    """An answer to a user broke a rule, or never came."""

    job: str = msgspec.field(name="j")
    rule: str = msgspec.field(name="r")
    what: str = msgspec.field(name="w")


class ZoneLost(Event, tag="zone-lost"):
    """A zone was lost, together with these machines."""

    zone: str = msgspec.field(name="z")
    machines: list[str] = msgspec.field(name="m")


AnyEvent = (
    MachineUp
    | MachineDown
    | Ordered
    | OnMachine
    | Started
    | Left
    | Accepted
    | CancelTold
    | DoneTold
    | AnswerBroken
    | ZoneLost
)
_decode: Callable[[bytes], AnyEvent] = msgspec.json.Decoder(AnyEvent).decode
_encode = msgspec.json.Encoder().encode


class EventLog:
    """Writes events to a file through a buffer, which is flushed when it is full and at the end."""

    def __init__(self, path: Path) -> None:
        self._file: IO[bytes] = path.open("wb", buffering=1 << 16)

    def write(self, event: AnyEvent) -> None:
        """Writes an event to the buffer."""
        self._file.write(_encode(event) + b"\n")

    def flush(self) -> None:
        """Flushes the buffer, so that nothing is lost if the process is killed afterwards."""
        self._file.flush()

    def close(self) -> None:
        """Flushes and closes the file."""
        self._file.close()


def is_whole(path: Path) -> bool:
    """True if the file is empty or ends with a newline, so that its last event appears to be complete."""
    data = path.read_bytes()
    return not data or data.endswith(b"\n")


def read_events(paths: Iterable[Path]) -> Iterator[AnyEvent]:
    """Returns the events of these files in order of time.

    Reading of a file stops at a line that does not decode: a killed process may leave its last event incomplete.
    """
    events: list[AnyEvent] = []
    for path in paths:
        for line in path.read_bytes().split(b"\n"):
            if line:
                try:
                    events.append(_decode(line))
                except msgspec.DecodeError:
                    break
    events.sort(key=lambda event: event.at_us)
    return iter(events)
