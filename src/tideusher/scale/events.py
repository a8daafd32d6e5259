"""What happened on the workers and to the users, as each process writes it down: the ground truth of a run.

One line of JSON an event. Times are of the machine's steady clock, which all processes share.
"""

from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import IO

import msgspec


class Event(msgspec.Struct, tag_field="k", omit_defaults=True):
    """Base of all events."""

    at_us: int = msgspec.field(name="t")


class MachineUp(Event, tag="up"):
    """A machine takes work from now on."""

    machine: str = msgspec.field(name="m")
    zone: str = msgspec.field(name="z")
    type: str = msgspec.field(name="y")
    spot: bool = msgspec.field(name="s", default=False)


class MachineDown(Event, tag="down"):
    """A machine is gone. The tasks that were there had an end of their own each."""

    machine: str = msgspec.field(name="m")


class TaskEvent(Event):
    """Something became of an attempt of a task."""

    machine: str = msgspec.field(name="m")
    job: str = msgspec.field(name="j")
    index: int = msgspec.field(name="i")
    attempt: int = msgspec.field(name="a")


class Ordered(TaskEvent, tag="ordered"):
    """The worker was told to run it."""


class OnMachine(TaskEvent, tag="on"):
    """It has its image: from now on it is on its machine."""


class Started(TaskEvent, tag="start"):
    """It runs; a gang's task once all of its attempt are there."""


class Left(TaskEvent, tag="left"):
    """It exited, was killed, or its machine is gone; `cause` as in reports, or `lost`."""

    cause: str = msgspec.field(name="c", default="")
    was_on: bool = msgspec.field(name="o", default=True)


class Accepted(Event, tag="accepted"):
    """A user was told that the job is accepted; it was first submitted so long before."""

    job: str = msgspec.field(name="j")
    submitted_us: int = msgspec.field(name="b")


class CancelTold(Event, tag="cancelled"):
    """A user was told that the job is cancelled."""

    job: str = msgspec.field(name="j")


class DoneTold(Event, tag="done"):
    """A user was told that the job is done."""

    job: str = msgspec.field(name="j")


#: A job about which nobody is answered any more.
UNANSWERED = "unanswered"


class AnswerBroken(Event, tag="answer"):
    """An answer to a user that broke a rule, or that never came."""

    job: str = msgspec.field(name="j")
    rule: str = msgspec.field(name="r")
    what: str = msgspec.field(name="w")


class ZoneLost(Event, tag="zone-lost"):
    """A zone was lost with these machines."""

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
    """Appends events to a file; written out as the buffer fills and at the end."""

    def __init__(self, path: Path) -> None:
        self._file: IO[bytes] = path.open("wb", buffering=1 << 16)

    def write(self, event: AnyEvent) -> None:
        """Note one event."""
        self._file.write(_encode(event) + b"\n")

    def flush(self) -> None:
        """Write out what is buffered: the process may be ended at any moment from here on."""
        self._file.flush()

    def close(self) -> None:
        """Nothing more comes."""
        self._file.close()


def is_whole(path: Path) -> bool:
    """Does the file end with a whole event, as far as can be seen?"""
    data = path.read_bytes()
    return not data or data.endswith(b"\n")


def read_events(paths: Iterable[Path]) -> Iterator[AnyEvent]:
    """All events of these files in the order of their times; what a killed process left unfinished is passed over."""
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
