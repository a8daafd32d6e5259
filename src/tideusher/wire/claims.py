"""The claim protocol between a machine's keeper and a program that uses part of the machine: netstrings of JSON.

The keeper is the process that runs the machine's tasks. The program runs as a task of a service; the
resources that the task holds are its claim. `fence` is the task's attempt number: a higher fence
invalidates every grant made under a lower one. Times are on the machine's monotonic clock, which both
sides read.
"""

from collections.abc import Callable

import msgspec

from tideusher.wire.netstrings import FrameDecoder, FrameError, encode_frame

VERSION = 1


class ClaimMessage(msgspec.Struct, omit_defaults=True, tag_field="what"):
    """Base of all messages of the claim protocol."""


class Hello(ClaimMessage, tag="hello"):
    """Sent by the program as its first message."""

    version: int
    program: str = ""


class Granted(ClaimMessage, tag="granted"):
    """Sent by the keeper: the program may use these cards until `until_us`; `Alive` extends the lease."""

    job: str
    index: int
    fence: int
    machine: str
    kind: str
    zone: str
    until_us: int
    cards: list[int] = []


class Alive(ClaimMessage, tag="alive"):
    """Sent by the keeper after a report was answered: extends the lease, counted from when the report was sent."""

    fence: int
    until_us: int


class Notice(ClaimMessage, tag="notice"):
    """Sent by the keeper: the program must stop using the claim within the grace period."""

    fence: int
    grace_s: float
    reason: str


class Refused(ClaimMessage, tag="refused"):
    """Sent by the keeper when it rejects the program; it closes the connection afterwards."""

    reason: str


class Gone(ClaimMessage, tag="gone"):
    """Sent by the program: it no longer uses what was granted under this fence and will not use it again."""

    fence: int


Message = Hello | Granted | Alive | Notice | Refused | Gone
_decode: Callable[[bytes], Message] = msgspec.json.Decoder(Message).decode
_encode = msgspec.json.Encoder().encode


def frame(message: Message) -> bytes:
    """Encodes a message as a netstring."""
    return encode_frame(_encode(message))


def frames() -> FrameDecoder[Message]:
    """Returns a decoder for the byte stream of one connection."""
    return FrameDecoder(_decode)


def refusal_of(hello: Message) -> str:
    """Returns why the keeper must reject this program, or an empty string if it can accept it."""
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
