"""JSON decoders that report every malformed body with the same exception."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


def decoder(kind: type[T]) -> Callable[[bytes], T]:
    """Returns a decoder of JSON into `kind` that raises msgspec.DecodeError for any malformed body.

    msgspec itself raises RecursionError for a body that is nested too deeply, also in a field that it skips.
    """
    decode: Callable[[bytes], Any] = msgspec.json.Decoder(kind).decode

    def decode_checked(body: bytes) -> T:
        try:
            return decode(body)
        except RecursionError:
            raise msgspec.DecodeError("JSON is nested too deeply") from None

    return decode_checked
