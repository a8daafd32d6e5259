"""What controllers say to one another: netstrings of JSON."""

from collections.abc import Callable

import msgspec

from tideusher.wire.netstrings import MAX_FRAME, FrameError, Frames, frame_body

__all__ = ["MAX_FRAME", "FrameError"]


class PeerMessage(msgspec.Struct, omit_defaults=True, tag_field="kind"):
    """Base of all peer messages."""


class Hello(PeerMessage, tag="hello"):
    """First frame of a link and its heartbeat: who speaks, whether it reaches the state service, who
    leads as far as it knows, how many changes a second it wants to write, and whether all workers that
    it had have fallen silent."""

    node: str
    in_contact: bool = False
    leader: str = ""
    token: int = 0
    writes: float = 0.0
    deaf: bool = False


class ForwardReport(PeerMessage, tag="report"):
    """A worker's report, passed on by the gateway as it came."""

    id: int
    body: msgspec.Raw


class ReportAnswer(PeerMessage, tag="answer"):
    """The answer to a forwarded report or request; `ok` is false from a node that cannot give one."""

    id: int
    ok: bool
    body: msgspec.Raw = msgspec.Raw(b"null")
    status: int = 0


class Ask(PeerMessage, tag="ask"):
    """A question to the leader on behalf of a user or operator, such as why a job waits."""

    id: int
    what: str
    arg: str = ""


class UserRequest(PeerMessage, tag="request"):
    """A user's request, passed on by a node that the state service does not answer."""

    id: int
    method: str
    path: str
    body: str = ""


Message = Hello | ForwardReport | ReportAnswer | Ask | UserRequest
_decode: Callable[[bytes], Message] = msgspec.json.Decoder(Message).decode
_encode = msgspec.json.Encoder().encode


def frame(message: Message) -> bytes:
    """One message as a netstring."""
    return frame_body(_encode(message))


class Unframer(Frames[Message]):
    """Turns received bytes into messages between controllers."""

    def __init__(self) -> None:
        super().__init__(_decode)
