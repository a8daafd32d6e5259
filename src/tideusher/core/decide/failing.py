"""What a leader does after a pass that ended with an exception. Pure.

Its picture may be half changed then, and the next pass would mostly fail in the same place: it once led on for five
seconds and placed nothing. So the term ends. The next one, under a new token, reads the records anew; a job that the
pass failed on is set aside for a while, so that it does not stop the others. A leader that fails again and again,
with no job to blame, leaves the leadership to another.
"""

from dataclasses import dataclass, field
from enum import Enum, auto

from tideusher.clock import SECOND_US

#: So many failures within this time are too many.
WINDOW_US, MOST = 30 * SECOND_US, 3
#: A job is set aside for the first of these, doubled with each time up to the last.
FIRST_PAUSE_US, LAST_PAUSE_US = 30 * SECOND_US, 3600 * SECOND_US


class PassFailed(Exception):
    """A pass ended with an exception while it placed this job; the exception is its cause."""

    def __init__(self, job: str) -> None:
        super().__init__(f"the pass failed on {job}")
        self.job = job


class Remedy(Enum):
    """How the leadership goes on."""

    READ_ANEW = auto()  # under a new token, on the records
    GIVE_WAY = auto()  # another controller leads


@dataclass(slots=True)
class SetAside:
    """A job that passes leave alone until then."""

    until_us: int
    times: int = 1


@dataclass(slots=True)
class PassFailures:
    """What failed in this process, whichever term it was in."""

    jobs: dict[str, SetAside] = field(default_factory=dict)
    _failed_us: list[int] = field(default_factory=list)

    def failed(self, error: BaseException, now_us: int) -> Remedy:
        """A pass, or a takeover, ended with this."""
        if isinstance(error, PassFailed):
            self._set_aside(error.job, now_us)
            return Remedy.READ_ANEW
        self._failed_us = [at_us for at_us in self._failed_us if now_us - at_us < WINDOW_US] + [now_us]
        return Remedy.GIVE_WAY if len(self._failed_us) >= MOST else Remedy.READ_ANEW

    def _set_aside(self, job: str, now_us: int) -> None:
        before = self.jobs.get(job)
        times = before.times + 1 if before is not None else 1
        pause_us = min(LAST_PAUSE_US, FIRST_PAUSE_US << (times - 1))
        self.jobs[job] = SetAside(now_us + pause_us, times)

    def set_aside(self, job: str, now_us: int) -> bool:
        """Do passes leave the job alone for now?"""
        known = self.jobs.get(job)
        return known is not None and now_us < known.until_us
