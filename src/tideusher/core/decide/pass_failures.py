"""What a leader does after a pass, or a message's handler, that ended with an exception. Pure.

Its picture may be half changed then, and what comes next would mostly fail in the same place: a leader once led on
for five seconds and placed nothing, another kept machines that were gone. So the term ends. The next one, under a new
token, reads the records anew. What it failed on (a job, the report of a machine, a name in an answer) is set aside
for a while, twice as long each time, so that it neither stops the others nor ends one term after another. A leader
that fails again and again all the same leaves the leadership to another.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TypeVar

from tideusher.clock import SECOND_US

#: So many failures within this time are too many.
WINDOW_US, MOST = 30 * SECOND_US, 3
#: A job or an input is set aside for the first of these, doubled with each time up to the last.
FIRST_PAUSE_US, LAST_PAUSE_US = 30 * SECOND_US, 3600 * SECOND_US


T = TypeVar("T")


class PassFailed(Exception):
    """A pass ended with an exception while it placed this job; the exception is its cause."""

    def __init__(self, job: str) -> None:
        super().__init__(f"the pass failed on {job}")
        self.job = job


class InputFailed(Exception):
    """What came from outside could not be taken in whole; the exception that said so is its cause."""

    def __init__(self, subject: str) -> None:
        super().__init__(f"could not take in the {subject}")
        self.subject = subject


class Remedy(Enum):
    """How the leadership goes on."""

    REBUILD = auto()  # under a new token, on the records
    STEP_DOWN = auto()  # another controller leads


@dataclass(slots=True)
class SetAside:
    """A job or an input that is left alone until then."""

    until_us: int
    times: int = 1


@dataclass(slots=True)
class PassFailures:
    """What failed in this process, whichever term it was in."""

    jobs: dict[str, SetAside] = field(default_factory=dict)
    inputs: dict[str, SetAside] = field(default_factory=dict)
    _failed_us: list[int] = field(default_factory=list)

    def failed(self, error: BaseException, now_us: int) -> Remedy:
        """A pass, a takeover or a message ended with this."""
        if isinstance(error, PassFailed):
            _set_aside(self.jobs, error.job, now_us)
            return Remedy.REBUILD
        if isinstance(error, InputFailed):
            _set_aside(self.inputs, error.subject, now_us)
        self._failed_us = [at_us for at_us in self._failed_us if now_us - at_us < WINDOW_US] + [now_us]
        return Remedy.STEP_DOWN if len(self._failed_us) >= MOST else Remedy.REBUILD

    def is_quarantined(self, name: str, now_us: int) -> bool:
        """Is the job or input left alone for now?"""
        known = self.jobs.get(name) or self.inputs.get(name)
        return known is not None and now_us < known.until_us

    def apply_input(self, subject: str, now_us: int, change: Callable[[], T]) -> T | None:
        """Carry out what an input changes; None, with nothing changed, if it is set aside. Raises InputFailed."""
        if self.inputs and self.is_quarantined(subject, now_us):
            return None
        try:
            return change()
        except Exception as error:
            raise InputFailed(subject) from error


def _set_aside(those: dict[str, SetAside], name: str, now_us: int) -> None:
    before = those.get(name)
    times = before.times + 1 if before is not None else 1
    pause_us = min(LAST_PAUSE_US, FIRST_PAUSE_US << (times - 1))
    those[name] = SetAside(now_us + pause_us, times)
