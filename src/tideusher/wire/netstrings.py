"""Framing of JSON messages on a connection: netstrings (`LENGTH:BODY,`)."""

from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

#: Bytes of a frame's body.
MAX_FRAME = 1 << 20
Message = TypeVar("Message")


class FrameError(ValueError):
    """The received data is not a netstring of JSON."""


def encode_frame(body: bytes) -> bytes:
    """Wraps an encoded message as a netstring."""
    return b"%d:%s," % (len(body), body)


class FrameDecoder(Generic[Message]):
    """Decodes a byte stream into messages, independent of how it is split into packets."""

    def __init__(self, decode: Callable[[bytes], Message]) -> None:
        self._decode = decode
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Adds received bytes and returns the messages that they complete; raises FrameError."""
        self._buffer += data
        messages: list[Message] = []
        while True:
            colon = self._buffer.find(b":", 0, 9)
            if colon < 0:
                if len(self._buffer) >= 9:
                    raise FrameError("frame does not begin with a length")
                return messages
            digits = bytes(self._buffer[:colon])
            if not digits.isdigit() or int(digits) > MAX_FRAME:
                raise FrameError("invalid frame length")
            end = colon + 1 + int(digits)
            if len(self._buffer) <= end:
                return messages
            if self._buffer[end] != ord(","):
                raise FrameError("frame does not end with a comma")
            body = bytes(self._buffer[colon + 1 : end])
            del self._buffer[: end + 1]
            try:
                messages.append(self._decode(body))
            except (msgspec.DecodeError, RecursionError) as error:
                raise FrameError(f"malformed message: {error}") from None
