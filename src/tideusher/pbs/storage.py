"""A script's text as it is kept with its job: compressed, in pieces that the state service takes.

One text line of JSON (`Run`), then the script's bytes as they came; both under one zstandard frame with
a checksum, in base64, cut into values. The library is loaded with the first script, never at a start.
"""

import base64
import binascii
from typing import Any

import msgspec

from tideusher.pbs.script import MAX_SCRIPT
from tideusher.pbs.translate import Run

#: What the rest of an acceptance may take of a transaction's 64 KiB, and of a value beside the text.
ROOM_OF_JOB, ROOM_OF_VALUE = 10 * 1024, 64
MAX_TXN = 64 * 1024
LEVEL = 9


class ScriptTooLarge(ValueError):
    """The script does not fit; the message has its size and the room."""


class Damaged(ValueError):
    """What is kept is not what `pack` made."""


def compress_text(data: bytes) -> str:
    """Compressed, as text for JSON."""
    import zstandard

    return base64.b64encode(zstandard.ZstdCompressor(level=LEVEL, write_checksum=True).compress(data)).decode()


def decompress_text(text: str, most: int = MAX_SCRIPT) -> bytes:
    """The inverse of `compress_text`, at most so many bytes whatever the frame says; raises Damaged."""
    import zstandard

    try:
        packed = base64.b64decode(text, validate=True)
        size = zstandard.frame_content_size(packed)
        if 0 <= size <= most:  # looked at before any room is made for it
            return zstandard.ZstdDecompressor().decompress(packed)
    except (binascii.Error, ValueError, zstandard.ZstdError) as error:
        raise Damaged(f"not a packed script: {error}") from None
    raise Damaged(f"it says to unpack to {size} bytes; {most} are possible")


def pack(run: Run, text: bytes, value_bytes: int, most_values: int) -> list[dict[str, Any]]:
    """The values that keep a script; raises TooLong if they would be more or larger than allowed.

    `value_bytes`: the state service's limit of a value; `most_values`: how many the acceptance may write.
    """
    packed = compress_text(msgspec.json.encode(run) + b"\n" + text)
    size = value_bytes - ROOM_OF_VALUE
    room = min(size * most_values, MAX_TXN - ROOM_OF_JOB)
    if len(packed) > room:
        raise ScriptTooLarge(f"the script has {len(text)} bytes, packed {len(packed)}; {room} can be kept with a job")
    return [{"z": packed[at : at + size]} for at in range(0, len(packed), size)]


def unpack(values: list[dict[str, Any]]) -> tuple[Run, bytes]:
    """What `pack` was given; raises Damaged."""
    head, newline, text = decompress_text("".join(value["z"] for value in values), MAX_SCRIPT + MAX_TXN).partition(
        b"\n"
    )
    try:
        return msgspec.json.decode(head, type=Run), text
    except msgspec.DecodeError as error:
        raise Damaged(f"not a kept script: {error}") from None
