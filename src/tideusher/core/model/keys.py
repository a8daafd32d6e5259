"""Names of the scheduler's keys in the state service."""

PREFIX = "t/"
LEADER = "t/leader"
FENCE = "t/fence"
RATIOS = "t/ratios"
TYPES = "t/types"
TYPES_PART_PREFIX = f"{TYPES}/"
JOB_PREFIX = "t/j/"
CHUNK_PREFIX = "t/r/"
PAGE_PREFIX = "t/p/"
RENTAL_PREFIX = "t/m/"
FALL_PREFIX = "t/f/"
SCRIPT_PREFIX = "s/"


#: Kinds of keys by prefix, as metrics and logs name them.
KINDS = {
    JOB_PREFIX: "job",
    CHUNK_PREFIX: "tasks of a job",
    PAGE_PREFIX: "page",
    RENTAL_PREFIX: "rental",
    FALL_PREFIX: "fall",
    SCRIPT_PREFIX: "script",
    TYPES_PART_PREFIX: "types",
}


def kind_of(key: str) -> str:
    """Returns the kind of a key; a key that is the only one of its kind is called by the last part of its name."""
    return next((kind for prefix, kind in KINDS.items() if key.startswith(prefix)), key.rpartition("/")[2])


def types_key(number: int) -> str:
    """Returns the key of a part of the machine types; the first one has the number 0."""
    return f"{TYPES}/{number}" if number else TYPES


def is_types_key(key: str) -> bool:
    """Returns whether a part of the machine types is stored under the key."""
    return key == TYPES or key.startswith(TYPES_PART_PREFIX)


def types_number(key: str) -> int:
    """Returns the part number of a key from types_key."""
    return int(key[len(TYPES_PART_PREFIX) :] or 0)


def job_key(job: str) -> str:
    """Returns the key of the job's own record: its spec, and whether it is over."""
    return JOB_PREFIX + job


def chunk_key(job: str, number: int) -> str:
    """Returns the key of the places of a range of the job's tasks."""
    return f"{CHUNK_PREFIX}{job}/{number}"


def rental_key(name: str) -> str:
    """Returns the key of a rental request with its machines."""
    return RENTAL_PREFIX + name


def fall_key(name: str, number: int) -> str:
    """Returns the key of a mass failure's summary (0) or, from 1 on, of its machines not confirmed as returned."""
    return f"{FALL_PREFIX}{name}/{number}"


def split_fall_key(key: str) -> tuple[str, int]:
    """Returns the mass failure and the part number of its key."""
    name, _, number = key[len(FALL_PREFIX) :].rpartition("/")
    return name, int(number)


def script_prefix(job: str) -> str:
    """Returns the key prefix of the job's script, outside the watched prefix: no node keeps scripts in memory."""
    return f"{SCRIPT_PREFIX}{job}/"


def script_key(job: str, number: int) -> str:
    """Returns the key of one part of the job's script."""
    return f"{script_prefix(job)}{number}"


def script_number(key: str) -> int:
    """Returns the number of a part of a script."""
    return int(key.rpartition("/")[2])


def split_chunk_key(key: str) -> tuple[str, int]:
    """Returns the job and the chunk number of a key from chunk_key."""
    job, _, number = key[len(CHUNK_PREFIX) :].rpartition("/")
    return job, int(number)


def page_key(number: int) -> str:
    """Returns the key of a page with the places and results of many small jobs."""
    return f"{PAGE_PREFIX}{number}"


def page_number(key: str) -> int:
    """Returns the page number of a key from page_key."""
    return int(key[len(PAGE_PREFIX) :])
