"""What controllers say to one another: netstrings of JSON."""

from collections.abc import Callable

import msgspec

from tideusher.wire.netstrings import MAX_FRAME, FrameDecoder, FrameError, encode_frame

__all__ = ["MAX_FRAME", "FrameError"]


class PeerMessage(msgspec.Struct, omit_defaults=True, tag_field="kind"):
    """Base of all peer messages."""


class ReportedContact(msgspec.Struct, array_like=True):
    """A worker that the sender hears (`silent_ms` 0), or that has been silent for so long there."""

    machine: str
    address: str = ""
    silent_ms: int = 0


class CapacityRefusal(msgspec.Struct, array_like=True):
    """Machines that the cloud had none of: for how long they are not asked for, and after how many refusals."""

    type: str
    zone: str
    spot: bool
    left_ms: int
    times: int


class MachineReservation(msgspec.Struct, array_like=True):
    """A machine whose room is being cleared for a job."""

    machine: str
    job: str
    left_ms: int


class FailingJob(msgspec.Struct, array_like=True):
    """A job whose tasks fail: how often, the pause before the next try, and where it failed."""

    job: str
    failures: int
    pause_ms: int
    machines: list[str] = []


class SoftState(msgspec.Struct, omit_defaults=True):
    """What the leader with this token knows and no record holds."""

    token: int
    refused: list[CapacityRefusal] = []
    reserved: list[MachineReservation] = []
    failing: list[FailingJob] = []


class Hello(PeerMessage, tag="hello"):
    """First frame of a link and its heartbeat: who speaks, whether it reaches the state service, who
    leads as far as it knows, how many changes a second it wants to write, and whether all workers that
    it had have fallen silent.

    Of a controller that does not reach the state service, `read` is up to which revision it knows of cancellations;
    the answer to that holds those that came after it (job, stamp) and up to which revision that is all.

    For whoever leads next, and passed over by older nodes: which workers it hears (what changed since the last
    heartbeat on this connection), how many changes it has yet to apply (None: it does not follow), the token of a
    leader that refuses it since their connection ended, how late its timers fire, whether it gave way just now, and
    from a leader what no record holds.

    `pages`: does it read shared placement records? An older version does not, and does not say so.

    `sent` is the sender's own steady time, which the answer gives back: for how long both were under way."""

    node: str
    in_contact: bool = False
    leader: str = ""
    token: int = 0
    writes: float = 0.0
    deaf: bool = False
    seen: list[ReportedContact] = []
    behind: int | None = None
    lost: int = 0
    lag_ms: int = 0
    rests: bool = False
    soft: SoftState | None = None
    read: int = 0
    cancelled: list[tuple[str, int]] = msgspec.field(name="withdrawn", default_factory=list)
    sent: int = 0
    pages: bool = False


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
    return encode_frame(_encode(message))


class MessageDecoder(FrameDecoder[Message]):
    """Turns received bytes into messages between controllers."""

    def __init__(self) -> None:
        super().__init__(_decode)
