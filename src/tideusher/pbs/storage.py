"""Stores a script with its job: compressed, and split into values that fit the state service's limits.

The content is one line of JSON (`RunSettings`), followed by the script's bytes as submitted. Both are compressed into
one zstandard frame with a checksum, encoded in base64 and split into values. The compression library is loaded with
the first script and not at start-up.
"""

import base64
import binascii
from typing import Any

import msgspec

from tideusher.pbs.script import MAX_SCRIPT
from tideusher.pbs.translate import RunSettings

#: Bytes reserved in the 64 KiB of an accepting transaction for everything but the script, and in a value for
#: everything but the text.
RESERVED_TXN_BYTES, RESERVED_VALUE_BYTES = 10 * 1024, 64
MAX_TXN = 64 * 1024
ZSTD_LEVEL = 9


class ScriptTooLarge(ValueError):
    """The script is too large to be stored; the message has its size and the limit."""


class Damaged(ValueError):
    """The stored values are not what `pack` returned."""


def compress_text(data: bytes) -> str:
    """Compresses data and returns it as base64 text for JSON."""
    import zstandard

    return base64.b64encode(zstandard.ZstdCompressor(level=ZSTD_LEVEL, write_checksum=True).compress(data)).decode()


def decompress_text(text: str, max_bytes: int = MAX_SCRIPT) -> bytes:
    """Reverses `compress_text`; raises Damaged, also if the frame header states more than `max_bytes`."""
    import zstandard

    try:
        packed = base64.b64decode(text, validate=True)
        size = zstandard.frame_content_size(packed)
        if 0 <= size <= max_bytes:  # checked before memory is allocated
            return zstandard.ZstdDecompressor().decompress(packed)
    except (binascii.Error, ValueError, zstandard.ZstdError) as error:
        raise Damaged(f"not a packed script: {error}") from None
    raise Damaged(f"it says to unpack to {size} bytes; {max_bytes} are possible")


def pack(run: RunSettings, text: bytes, value_bytes: int, max_values: int) -> list[dict[str, Any]]:
    """Returns the values that store a script; raises ScriptTooLarge if they exceed the limits.

    `value_bytes` is the state service's size limit of a value; `max_values` is the number of values that the
    accepting transaction may write.
    """
    packed = compress_text(msgspec.json.encode(run) + b"\n" + text)
    size = value_bytes - RESERVED_VALUE_BYTES
    max_bytes = min(size * max_values, MAX_TXN - RESERVED_TXN_BYTES)
    if len(packed) > max_bytes:
        raise ScriptTooLarge(
            f"the script has {len(text)} bytes, packed {len(packed)}; {max_bytes} can be kept with a job"
        )
    return [{"z": packed[at : at + size]} for at in range(0, len(packed), size)]


def unpack(values: list[dict[str, Any]]) -> tuple[RunSettings, bytes]:
    """Reverses `pack`: returns the run settings and the script's text; raises Damaged."""
    header, newline, text = decompress_text("".join(value["z"] for value in values), MAX_SCRIPT + MAX_TXN).partition(
        b"\n"
    )
    try:
        return msgspec.json.decode(header, type=RunSettings), text
    except msgspec.DecodeError as error:
        raise Damaged(f"not a stored script: {error}") from None
