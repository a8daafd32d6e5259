"""Converts between PBS job names and native job names.

`412.tideusher` is `req-000412`; `412[3].tideusher` is the task with index 3 of that array. Native names
without a PBS equivalent are used as they are.
"""

import re

from tideusher.wire.jobs import JOB_ID

SERVER = "tideusher"
_PBS_ID = re.compile(r"([1-9][0-9]{0,18})(?:\[([0-9]{0,9})\])?(?:\.[A-Za-z0-9._-]+)?")


class BadId(ValueError):
    """The text is not a job name; the message gives an example of one."""


def native_name(number: int) -> str:
    """Returns the native name of the job with this PBS number."""
    return f"req-{number:06d}"


def parse_id(text: str) -> tuple[str, int | None]:
    """Parses `412`, `412.tideusher`, `412[].tideusher`, `412[3]` or a native name.

    Returns the native name and the array index of the task, if the text has one; raises BadId.
    """
    if JOB_ID.fullmatch(text):
        return text, None
    match = _PBS_ID.fullmatch(text)
    if not match:
        raise BadId(f"{text!r} is not a job name such as 412.{SERVER}")
    return native_name(int(match[1])), int(match[2]) if match[2] else None


def pbs_id(job: str, index: int | None = None, array: bool = False) -> str:
    """Returns the PBS name of a native job, or of a task of its array."""
    number = job.removeprefix("req-")
    if not JOB_ID.fullmatch(job) or not number.strip("0") or job != native_name(int(number)):
        return job if index is None else f"{job}[{index}]"
    suffix = f"[{index}]" if index is not None else "[]" if array else ""
    return f"{int(number)}{suffix}.{SERVER}"
