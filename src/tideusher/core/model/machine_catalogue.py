"""The machine types that the cloud offers, as records: a list in parts, each within the size limit of a value. Pure.

The first part is under the key that versions before this one read as the whole list: they know the types in it only.
"""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from tideusher.core.model import keys
from tideusher.wire.cloud import MachineType

#: Share of the size limit of a value that a part may take: a service may write numbers with more digits.
PART_SHARE = 0.9

Part = list[dict[str, Any]]


def split(types: Iterable[MachineType], max_value_bytes: int) -> list[Part]:
    """Returns the records of the types, in order; at least one, and never less than one type in each."""
    limit = PART_SHARE * max_value_bytes
    parts: list[Part] = [[]]
    size = len("[]")
    for machine_type in types:
        added = len(msgspec.json.encode(machine_type)) + len(",")
        if parts[-1] and size + added > limit:
            parts.append([])
            size = len("[]")
        parts[-1].append(msgspec.to_builtins(machine_type))
        size += added
    return parts


def read(value_of: Callable[[str], Any]) -> list[MachineType]:
    """Returns the types in all parts; `value_of` returns the value of a key, None if it does not exist.

    A type may be in two parts: while they are of different writes, or if a leader of an earlier version has written
    the whole list. The earlier part counts.
    """
    types: dict[str, MachineType] = {}
    number = 0
    while (value := value_of(keys.types_key(number))) is not None:
        for machine_type in msgspec.convert(value, list[MachineType]):
            types.setdefault(machine_type.name, machine_type)
        number += 1
    return list(types.values())
