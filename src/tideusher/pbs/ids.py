"""Names of jobs as PBS users write them, and the native ones.

`412.tideusher` is `req-000412`; `412[3].tideusher` is the task numbered 3 of that array. Native names
that no PBS name stands for are written as they are.
"""

import re

from tideusher.wire.jobs import JOB_ID

SERVER = "tideusher"
_PBS_ID = re.compile(r"([1-9][0-9]{0,18})(?:\[([0-9]{0,9})\])?(?:\.[A-Za-z0-9._-]+)?")


class BadId(ValueError):
    """The text names no job; the message says what would."""


def job_of(number: int) -> str:
    """The native name of a PBS number."""
    return f"req-{number:06d}"


def parse_id(text: str) -> tuple[str, int | None]:
    """`412`, `412.tideusher`, `412[].tideusher`, `412[3]` or a native name: (native name, number of a task)."""
    if JOB_ID.fullmatch(text):
        return text, None
    found = _PBS_ID.fullmatch(text)
    if not found:
        raise BadId(f"{text!r} is no job such as 412.{SERVER}")
    return job_of(int(found[1])), int(found[2]) if found[2] else None


def pbs_id(job: str, index: int | None = None, array: bool = False) -> str:
    """The PBS name of a native job, or of a task of its array."""
    number = job.removeprefix("req-")
    if not JOB_ID.fullmatch(job) or not number.strip("0") or job != job_of(int(number)):
        return job if index is None else f"{job}[{index}]"
    part = f"[{index}]" if index is not None else "[]" if array else ""
    return f"{int(number)}{part}.{SERVER}"
