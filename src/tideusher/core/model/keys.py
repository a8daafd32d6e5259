"""The names of our keys in the state service."""

PREFIX = "t/"
LEADER = "t/leader"
FENCE = "t/fence"
RATIOS = "t/ratios"
TYPES = "t/types"
JOB_PREFIX = "t/j/"
CHUNK_PREFIX = "t/r/"
PAGE_PREFIX = "t/p/"
RENTAL_PREFIX = "t/m/"
FALL_PREFIX = "t/f/"
SCRIPT_PREFIX = "s/"


def job_key(job: str) -> str:
    """The job's own record: what was submitted, and whether it is over."""
    return JOB_PREFIX + job


def chunk_key(job: str, number: int) -> str:
    """Who runs where, for a range of the job's tasks."""
    return f"{CHUNK_PREFIX}{job}/{number}"


def rental_key(name: str) -> str:
    """A rental request with its machines."""
    return RENTAL_PREFIX + name


def fall_key(name: str, number: int) -> str:
    """A fall's plain record (0), and from 1 on the machines of it whose return is not confirmed."""
    return f"{FALL_PREFIX}{name}/{number}"


def split_fall_key(key: str) -> tuple[str, int]:
    """The inverse of fall_key."""
    name, _, number = key[len(FALL_PREFIX) :].rpartition("/")
    return name, int(number)


def script_prefix(job: str) -> str:
    """The pieces of the job's script. Outside the watched prefix: no node keeps scripts in memory."""
    return f"{SCRIPT_PREFIX}{job}/"


def script_key(job: str, number: int) -> str:
    """One piece of the job's script."""
    return f"{script_prefix(job)}{number}"


def script_number(key: str) -> int:
    """Which piece this is."""
    return int(key.rpartition("/")[2])


def split_chunk_key(key: str) -> tuple[str, int]:
    """The inverse of chunk_key."""
    job, _, number = key[len(CHUNK_PREFIX) :].rpartition("/")
    return job, int(number)


def page_key(number: int) -> str:
    """Places and ends of many small jobs."""
    return f"{PAGE_PREFIX}{number}"


def page_number(key: str) -> int:
    """The inverse of page_key."""
    return int(key[len(PAGE_PREFIX) :])
