"""The protocol between controllers: netstrings of JSON."""

from collections.abc import Callable

import msgspec

from tideusher.wire.netstrings import MAX_FRAME, FrameDecoder, FrameError, encode_frame

__all__ = ["MAX_FRAME", "FrameError"]


class PeerMessage(msgspec.Struct, omit_defaults=True, tag_field="kind"):
    """Base of all messages between controllers."""


class ReportedContact(msgspec.Struct, array_like=True):
    """A worker's contact with the sender: `silent_ms` is 0 while it reports, else how long it has been silent."""

    machine: str
    address: str = ""
    silent_ms: int = 0


class CapacityRefusal(msgspec.Struct, array_like=True):
    """A kind of machine that the cloud had no capacity for.

    No further request is made for `left_ms`; `times` is the number of refusals so far.
    """

    type: str
    zone: str
    spot: bool
    left_ms: int
    times: int


class MachineReservation(msgspec.Struct, array_like=True):
    """A machine whose capacity is being freed for a job; the reservation lasts `left_ms`."""

    machine: str
    job: str
    left_ms: int


class FailedOnMachine(msgspec.Struct, array_like=True):
    """How often tasks of a job failed on a machine, and how long ago the last one did."""

    machine: str
    times: int
    ago_ms: int


class FailingJob(msgspec.Struct, array_like=True):
    """A job whose tasks fail: the number of failures, the pause before the next try, and where it failed.

    `machines` has the names that are in `failed_on`; older versions read only these.
    """

    job: str
    failures: int
    pause_ms: int
    machines: list[str] = []
    failed_on: list[FailedOnMachine] = []


class SoftState(msgspec.Struct, omit_defaults=True):
    """State of the leader with this token that is in no record of the state service."""

    token: int
    refused: list[CapacityRefusal] = []
    reserved: list[MachineReservation] = []
    failing: list[FailingJob] = []


class Hello(PeerMessage, tag="hello"):
    """First frame of a connection and its heartbeat.

    It names the sender (`node`), whether it reaches the state service (`in_contact`), the leader that it knows
    (`leader`, `token`), the changes per second that it wants to write (`writes`), and whether all its workers have
    fallen silent (`deaf`).

    A controller that does not reach the state service sends in `read` the revision up to which it knows of
    cancellations. The answer holds those after it in `cancelled` (job, stamp), and in `read` the revision up to
    which they are complete.

    The next leader uses the following fields, which older nodes ignore: `seen`, the contacts with workers that
    changed since the last heartbeat on this connection; `behind`, the number of changes not yet applied (None: the
    node does not follow the records); `lost`, the token of a leader that refuses this node since their connection
    ended; `lag_ms`, how late its timers fire; `rests`, whether it stepped down a short time ago; and `soft`, sent
    by a leader only.

    `pages` is true if the node reads shared placement records; older versions do not and omit the field.

    `withholds` is true if the node answers WithholdStarts; older versions do not know that message.

    `sent` is the sender's monotonic time in microseconds. The answer returns it, which gives the round-trip time.
    """

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
    withholds: bool = False


class ForwardReport(PeerMessage, tag="report"):
    """A worker's report, forwarded unchanged by a gateway."""

    id: int
    body: msgspec.Raw


class ReportAnswer(PeerMessage, tag="answer"):
    """Response to a forwarded report, question or request; `ok` is false if the node cannot answer."""

    id: int
    ok: bool
    body: msgspec.Raw = msgspec.Raw(b"null")
    status: int = 0


class Ask(PeerMessage, tag="ask"):
    """A query to the leader on behalf of a user or operator, such as why a job waits."""

    id: int
    what: str
    arg: str = ""


class WithholdStarts(PeerMessage, tag="withhold"):
    """Asks the leader to start no task of a job for a time: its user cancels it. Answered with ReportAnswer."""

    id: int
    job: str


class UserRequest(PeerMessage, tag="request"):
    """A user's request, forwarded by a node that cannot reach the state service."""

    id: int
    method: str
    path: str
    body: str = ""


Message = Hello | ForwardReport | ReportAnswer | Ask | WithholdStarts | UserRequest
_decode: Callable[[bytes], Message] = msgspec.json.Decoder(Message).decode
_encode = msgspec.json.Encoder().encode


def frame(message: Message) -> bytes:
    """Encodes a message as a netstring."""
    return encode_frame(_encode(message))


class MessageDecoder(FrameDecoder[Message]):
    """Decodes a byte stream into messages between controllers."""

    def __init__(self) -> None:
        super().__init__(_decode)
