"""What the keeper of a machine and a program that uses a part of it say to each other: netstrings of JSON.

The keeper is whoever runs the tasks of the machine; the program runs as a task of a service, and its place
is its claim. `fence` is the task's attempt number: a higher one means that all under a lower one is over.
Times are on the machine's steady clock, which both sides read.
"""

from collections.abc import Callable

import msgspec

from tideusher.wire.netstrings import FrameDecoder, FrameError, encode_frame

VERSION = 1


class ClaimMessage(msgspec.Struct, omit_defaults=True, tag_field="what"):
    """Base of all messages of a claim."""


class Hello(ClaimMessage, tag="hello"):
    """The program's first message."""

    version: int
    program: str = ""


class Granted(ClaimMessage, tag="granted"):
    """The keeper: these cards are the program's until `until_us`, unless it is told that for longer."""

    job: str
    index: int
    fence: int
    machine: str
    kind: str
    zone: str
    until_us: int
    cards: list[int] = []


class Alive(ClaimMessage, tag="alive"):
    """The keeper: a report was answered; the lease counts from when that report was sent."""

    fence: int
    until_us: int


class Notice(ClaimMessage, tag="notice"):
    """The keeper: stop using it, within the grace."""

    fence: int
    grace_s: float
    reason: str


class Refused(ClaimMessage, tag="refused"):
    """The keeper: not with this program, for this reason; it closes."""

    reason: str


class Gone(ClaimMessage, tag="gone"):
    """The program: nothing of it uses what was granted under this fence any more, nor will."""

    fence: int


Message = Hello | Granted | Alive | Notice | Refused | Gone
_decode: Callable[[bytes], Message] = msgspec.json.Decoder(Message).decode
_encode = msgspec.json.Encoder().encode


def frame(message: Message) -> bytes:
    """One message as a netstring."""
    return encode_frame(_encode(message))


def frames() -> FrameDecoder[Message]:
    """A reader of one connection."""
    return FrameDecoder(_decode)


def refusal_of(hello: Message) -> str:
    """Why a keeper cannot speak with this program; empty: it can."""
    if not isinstance(hello, Hello):
        return "the first message must be a hello"
    if hello.version != VERSION:
        return f"version {hello.version} of the claim protocol is unknown here; known is {VERSION}"
    return ""


__all__ = [
    "VERSION",
    "Alive",
    "FrameError",
    "Gone",
    "Granted",
    "Hello",
    "Message",
    "Notice",
    "Refused",
    "frame",
    "frames",
    "refusal_of",
]
