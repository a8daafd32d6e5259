"""Frames on a connection: netstrings of JSON."""

from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

MAX_FRAME = 1 << 20
Message = TypeVar("Message")


class FrameError(ValueError):
    """The other side sent something that is not a netstring of JSON."""


def encode_frame(body: bytes) -> bytes:
    """One encoded message as a netstring."""
    return b"%d:%s," % (len(body), body)


class FrameDecoder(Generic[Message]):
    """Turns received bytes into messages, whatever the packet borders."""

    def __init__(self, decode: Callable[[bytes], Message]) -> None:
        self._decode = decode
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
                messages.append(self._decode(body))
            except (msgspec.DecodeError, RecursionError) as error:
                raise FrameError(f"bad message: {error}") from None
