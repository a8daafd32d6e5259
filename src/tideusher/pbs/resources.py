"""Parsers of PBS resource lists: sizes, times, chunks, nodes and placement. They raise BadResource."""

import re
from dataclasses import dataclass

_SIZE = re.compile(r"([0-9]{1,15})([kmgtp]?)(b?)", re.IGNORECASE)
_UNITS = {"": 0, "k": 1, "m": 2, "g": 3, "t": 4, "p": 5}
_NAME = re.compile(r"[A-Za-z][A-Za-z0-9_.-]*")

#: The resources of a chunk in each dialect, with the name of the field of `Chunk`.
SELECT = {"ncpus": "cpus", "ngpus": "gpus", "mem": "mem", "mpiprocs": "mpiprocs", "ompthreads": "ompthreads"}
NODES = {"ppn": "cpus", "gpus": "gpus"}


class BadResource(ValueError):
    """The text is malformed; the message is the reason in a few words."""


@dataclass(frozen=True, slots=True)
class Chunk:
    """The resources of one task; None if not given. `mem` in bytes."""

    cpus: int | None = None
    gpus: int | None = None
    mem: int | None = None
    mpiprocs: int | None = None
    ompthreads: int | None = None


@dataclass(frozen=True, slots=True)
class Place:
    """The placement of chunks on machines."""

    arrangement: str = "free"
    sharing: str = "shared"
    group: str | None = None


def parse_count(text: str, minimum: int) -> int:
    """Parses a whole number of at least `minimum`."""
    if not re.fullmatch(r"[0-9]{1,9}", text) or int(text) < minimum:
        raise BadResource(f"{text!r} is not a whole number of at least {minimum}")
    return int(text)


def parse_size(text: str) -> int:
    """Parses a size and returns bytes.

    A size is a whole number with b, kb, mb, gb, tb or pb (powers of 1024), or without a unit (bytes).
    """
    match = _SIZE.fullmatch(text)
    if not match:
        reason = "words have no size here" if text[-1:].lower() == "w" else "it is not a size such as 512mb or 4gb"
        raise BadResource(f"{text!r}: {reason}")
    size = int(match[1]) * 1024 ** _UNITS[match[2].lower()]
    if not size:
        raise BadResource(f"{text!r}: a size must be above 0")
    return size


def parse_duration_s(text: str) -> int:
    """Parses S, M:S, H:M:S or D:H:M:S and returns seconds; fractions of a second are refused."""
    parts = text.split(":")
    if len(parts) > 4 or not all(re.fullmatch(r"[0-9]{1,9}", part) for part in parts):
        raise BadResource(f"{text!r} is no time such as 90, 30:00, 12:00:00 or 2:00:00:00")
    total_s = 0
    for part, factor in zip(reversed(parts), (1, 60, 3600, 86400), strict=False):
        total_s += int(part) * factor
    if not 0 < total_s < 1_000_000_000:
        raise BadResource(f"{text!r} is not a possible run time of a job")
    return total_s


def parse_select(text: str) -> tuple[int, Chunk]:
    """Parses `2:ncpus=4:mem=8gb+1:ncpus=4:mem=8gb` as (3, the chunk); all chunks must be equal."""
    return _parse_equal_chunks(text, SELECT, "select")


def parse_nodes(text: str) -> tuple[int, Chunk]:
    """Parses `2:ppn=4:gpus=1` as (2, the chunk); all nodes must be equal."""
    return _parse_equal_chunks(text, NODES, "nodes")


def _parse_equal_chunks(text: str, known: dict[str, str], dialect: str) -> tuple[int, Chunk]:
    count, chunk = 0, None
    for part in text.split("+"):
        number, parsed = _parse_chunk(part, known, dialect)
        if chunk is not None and parsed != chunk:
            raise BadResource("its parts are not equal; a gang has equal tasks")
        count, chunk = count + number, parsed
    assert chunk is not None
    return count, chunk


def _parse_chunk(text: str, known: dict[str, str], dialect: str) -> tuple[int, Chunk]:
    first, *rest = text.split(":")
    number = 1
    if re.fullmatch(r"[0-9]+", first):
        number = parse_count(first, 1)
    elif dialect == "nodes" or "=" not in first:
        raise BadResource(f"{first!r} is no number; machines cannot be named")
    else:  # `select=ncpus=4` is one chunk
        rest = [first, *rest]
    values: dict[str, int] = {}
    for part in rest:
        name, equals, value = part.partition("=")
        field = known.get(name)
        if field is None:
            kind = "property" if not equals else "resource"
            raise BadResource(f"{kind} {name!r} is not known in {dialect}; known are {', '.join(known)}")
        if not equals:
            raise BadResource(f"{name} has no value")
        if field in values:
            raise BadResource(f"{name} is given twice")
        if field == "mem":
            values[field] = parse_size(value)
        else:
            values[field] = parse_count(value, 0 if field == "gpus" else 1)
    return number, Chunk(**values)


def parse_place(text: str) -> Place:
    """Parses `[arrangement][:sharing][:group=resource]`."""
    values: dict[str, str] = {}
    for part in text.split(":"):
        if part in ("free", "pack", "scatter", "vscatter"):
            field, value = "arrangement", part
        elif part in ("shared", "excl", "exclhost"):
            field, value = "sharing", part
        elif part.startswith("group=") and part != "group=":
            field, value = "group", part[len("group=") :]
        else:
            raise BadResource(f"{part!r} is not an arrangement, sharing or group")
        if field in values:
            raise BadResource(f"{part!r} contradicts {values[field]!r}: {field} is given twice")
        values[field] = value
    return Place(**values)


def split_list(text: str) -> list[tuple[str, str | None]]:
    """Parses `walltime=1:00,mem=4gb` as pairs.

    A value may contain equals signs; the value of a name without an equals sign is None.
    """
    pairs = []
    for part in text.split(","):
        name, equals, value = part.partition("=")
        if not _NAME.fullmatch(name):
            raise BadResource(f"{part!r} is not of the form name=value")
        if equals and not value:
            raise BadResource(f"{name} has no value")
        pairs.append((name, value if equals else None))
    return pairs
