"""What controllers say to one another: netstrings of JSON."""

from collections.abc import Callable

import msgspec

MAX_FRAME = 1 << 20


class FrameError(ValueError):
    """The peer sent something that is not a netstring of JSON."""


class PeerMessage(msgspec.Struct, omit_defaults=True, tag_field="kind"):
    """Base of all peer messages."""


class Hello(PeerMessage, tag="hello"):
    """First frame of a link and its heartbeat: who speaks, whether it reaches the state service, who
    leads as far as it knows, and how many changes a second it wants to write."""

    node: str
    in_contact: bool = False
    leader: str = ""
    token: int = 0
    writes: float = 0.0


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
    body = _encode(message)
    return b"%d:%s," % (len(body), body)


class Unframer:
    """Turns received bytes into messages, whatever the packet borders."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Add bytes; returns the messages that are now complete. Raises FrameError."""
        self._buffer += data
        messages: list[Message] = []
        while True:
            colon = self._buffer.find(b":", 0, 9)
            if colon < 0:
                if len(self._buffer) >= 9:
                    raise FrameError("no length in front of a frame")
                return messages
            digits = bytes(self._buffer[:colon])
            if not digits.isdigit() or int(digits) > MAX_FRAME:
                raise FrameError("bad frame length")
            end = colon + 1 + int(digits)
            if len(self._buffer) <= end:
                return messages
            if self._buffer[end] != ord(","):
                raise FrameError("a frame does not end with a comma")
            body = bytes(self._buffer[colon + 1 : end])
            del self._buffer[: end + 1]
            try:
                messages.append(_decode(body))
            except msgspec.DecodeError as error:
                raise FrameError(f"bad message: {error}") from None
