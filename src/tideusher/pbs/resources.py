"""The grammar of resource lists: sizes, times, chunks, nodes and places. Raises BadResource."""

import re
from dataclasses import dataclass

_SIZE = re.compile(r"([0-9]{1,15})([kmgtp]?)(b?)", re.IGNORECASE)
_UNITS = {"": 0, "k": 1, "m": 2, "g": 3, "t": 4, "p": 5}
_NAME = re.compile(r"[A-Za-z][A-Za-z0-9_.-]*")

#: What a chunk may ask for, in each dialect, and what it is called here.
SELECT = {"ncpus": "cpus", "ngpus": "gpus", "mem": "mem", "mpiprocs": "mpiprocs", "ompthreads": "ompthreads"}
NODES = {"ppn": "cpus", "gpus": "gpus"}


class BadResource(ValueError):
    """The text is none; the message is the reason, in a few words."""


@dataclass(frozen=True, slots=True)
class Chunk:
    """What one task asks for; None: it is not said. `mem` in bytes."""

    cpus: int | None = None
    gpus: int | None = None
    mem: int | None = None
    mpiprocs: int | None = None
    ompthreads: int | None = None


@dataclass(frozen=True, slots=True)
class Place:
    """How chunks go on machines."""

    arrangement: str = "free"
    sharing: str = "shared"
    group: str | None = None


def parse_count(text: str, least: int) -> int:
    """A whole number of at least `least`."""
    if not re.fullmatch(r"[0-9]{1,9}", text) or int(text) < least:
        raise BadResource(f"{text!r} is not a whole number of at least {least}")
    return int(text)


def parse_size(text: str) -> int:
    """Bytes: a whole number with b, kb, mb, gb, tb or pb, in powers of 1024; no unit: bytes."""
    found = _SIZE.fullmatch(text)
    if not found:
        reason = "words have no size here" if text[-1:].lower() == "w" else "it is no size such as 512mb or 4gb"
        raise BadResource(f"{text!r}: {reason}")
    size = int(found[1]) * 1024 ** _UNITS[found[2].lower()]
    if not size:
        raise BadResource(f"{text!r} is nothing")
    return size


def parse_duration_s(text: str) -> int:
    """Seconds of S, M:S, H:M:S or D:H:M:S; a fraction of a second is refused."""
    parts = text.split(":")
    if len(parts) > 4 or not all(re.fullmatch(r"[0-9]{1,9}", part) for part in parts):
        raise BadResource(f"{text!r} is no time such as 90, 30:00, 12:00:00 or 2:00:00:00")
    total_s = 0
    for part, factor in zip(reversed(parts), (1, 60, 3600, 86400), strict=False):
        total_s += int(part) * factor
    if not 0 < total_s < 1_000_000_000:
        raise BadResource(f"{text!r} is no time that a job can run")
    return total_s


def parse_select(text: str) -> tuple[int, Chunk]:
    """`2:ncpus=4:mem=8gb+1:ncpus=4:mem=8gb` as (3, the chunk); all chunks must be equal."""
    return _equal(text, SELECT, "select")


def parse_nodes(text: str) -> tuple[int, Chunk]:
    """`2:ppn=4:gpus=1` as (2, the chunk); all nodes must be equal."""
    return _equal(text, NODES, "nodes")


def _equal(text: str, known: dict[str, str], dialect: str) -> tuple[int, Chunk]:
    count, chunk = 0, None
    for part in text.split("+"):
        number, one = _chunk(part, known, dialect)
        if chunk is not None and one != chunk:
            raise BadResource("its parts are not equal; a gang has equal tasks")
        count, chunk = count + number, one
    assert chunk is not None
    return count, chunk


def _chunk(text: str, known: dict[str, str], dialect: str) -> tuple[int, Chunk]:
    head, *rest = text.split(":")
    number = 1
    if re.fullmatch(r"[0-9]+", head):
        number = parse_count(head, 1)
    elif dialect == "nodes" or "=" not in head:
        raise BadResource(f"{head!r} is no number; machines cannot be named")
    else:  # `select=ncpus=4` is one chunk
        rest = [head, *rest]
    values: dict[str, int] = {}
    for part in rest:
        name, equals, value = part.partition("=")
        field = known.get(name)
        if field is None:
            what = "property" if not equals else "resource"
            raise BadResource(f"{what} {name!r} is not known in {dialect}; known are {', '.join(known)}")
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
    """`[arrangement][:sharing][:group=resource]`."""
    found: dict[str, str] = {}
    for part in text.split(":"):
        if part in ("free", "pack", "scatter", "vscatter"):
            field, value = "arrangement", part
        elif part in ("shared", "excl", "exclhost"):
            field, value = "sharing", part
        elif part.startswith("group=") and part != "group=":
            field, value = "group", part[len("group=") :]
        else:
            raise BadResource(f"{part!r} is no arrangement, sharing or group")
        if field in found:
            raise BadResource(f"{part!r} comes after {found[field]!r}")
        found[field] = value
    return Place(**found)


def split_list(text: str) -> list[tuple[str, str | None]]:
    """`walltime=1:00,mem=4gb` as pairs; a value may hold equals signs, a name without one has None."""
    pairs = []
    for part in text.split(","):
        name, equals, value = part.partition("=")
        if not _NAME.fullmatch(name):
            raise BadResource(f"{part!r} is no name=value")
        if equals and not value:
            raise BadResource(f"{name} has no value")
        pairs.append((name, value if equals else None))
    return pairs
