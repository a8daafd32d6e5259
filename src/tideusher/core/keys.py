"""The names of our keys in the state service."""

PREFIX = "t/"
LEADER = "t/leader"
RATIOS = "t/ratios"
TYPES = "t/types"
JOB_PREFIX = "t/j/"
CHUNK_PREFIX = "t/r/"
RENTAL_PREFIX = "t/m/"


def job_key(job: str) -> str:
    """The job's own record: what was submitted, and whether it is over."""
    return JOB_PREFIX + job


def chunk_key(job: str, number: int) -> str:
    """Who runs where, for a range of the job's tasks."""
    return f"{CHUNK_PREFIX}{job}/{number}"


def rental_key(name: str) -> str:
    """A rental request with its machines."""
    return RENTAL_PREFIX + name


def split_chunk_key(key: str) -> tuple[str, int]:
    """The inverse of chunk_key."""
    job, _, number = key[len(CHUNK_PREFIX) :].rpartition("/")
    return job, int(number)
