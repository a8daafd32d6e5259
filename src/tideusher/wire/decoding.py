"""JSON decoders that have one way to say that a body is malformed."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


def decoder(kind: type[T]) -> Callable[[bytes], T]:
    """A decoder of JSON into `kind`; it raises msgspec.DecodeError for whatever is malformed.

    msgspec itself raises RecursionError for a body that is nested too deeply, a skipped field's value included.
    """
    decode: Callable[[bytes], Any] = msgspec.json.Decoder(kind).decode

    def checked(body: bytes) -> T:
        try:
            return decode(body)
        except RecursionError:
            raise msgspec.DecodeError("JSON is nested too deeply") from None

    return checked
