"""Decides how a leader continues after a pass or a message handler raised an exception. Pure.

The leader's state may be half changed then, and whatever follows would mostly fail in the same place: one leader
continued for five seconds and placed nothing, another kept machines that were gone. So the term ends, and the next
one, under a new token, rebuilds the state from the records. The cause (a job, the report of a machine, a name in an
answer) is quarantined for a time that doubles with each failure, so that it neither blocks other work nor ends one
term after another. A leader that keeps failing nevertheless gives the leadership to another controller.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TypeVar

from tideusher.clock import SECOND_US

#: The number of failures within this window after which the leader steps down.
WINDOW_US, MOST = 30 * SECOND_US, 3
#: How long a job or an input is quarantined: the first time, and the limit of the doubling.
FIRST_PAUSE_US, LAST_PAUSE_US = 30 * SECOND_US, 3600 * SECOND_US


T = TypeVar("T")


class PassFailed(Exception):
    """A pass raised an exception while placing this job; the exception is the cause."""

    def __init__(self, job: str) -> None:
        super().__init__(f"the pass failed on {job}")
        self.job = job


class InputFailed(Exception):
    """An external input could not be applied completely; the exception raised is the cause."""

    def __init__(self, subject: str) -> None:
        super().__init__(f"could not apply the {subject}")
        self.subject = subject


class Remedy(Enum):
    """How the leadership continues."""

    REBUILD = auto()  # under a new token, from the records
    STEP_DOWN = auto()  # another controller leads


@dataclass(slots=True)
class Quarantine:
    """The quarantine of a job or an input."""

    until_us: int
    times: int = 1


@dataclass(slots=True)
class PassFailures:
    """The failures in this process, across terms."""

    jobs: dict[str, Quarantine] = field(default_factory=dict)
    inputs: dict[str, Quarantine] = field(default_factory=dict)
    _failed_us: list[int] = field(default_factory=list)

    def failed(self, error: BaseException, now_us: int) -> Remedy:
        """Record that a pass, a takeover or a message handler raised `error`; returns how to continue."""
        if isinstance(error, PassFailed):
            _quarantine(self.jobs, error.job, now_us)
            return Remedy.REBUILD
        if isinstance(error, InputFailed):
            _quarantine(self.inputs, error.subject, now_us)
        self._failed_us = [at_us for at_us in self._failed_us if now_us - at_us < WINDOW_US] + [now_us]
        return Remedy.STEP_DOWN if len(self._failed_us) >= MOST else Remedy.REBUILD

    def is_quarantined(self, name: str, now_us: int) -> bool:
        """True if the job or input is quarantined at this time."""
        quarantine = self.jobs.get(name) or self.inputs.get(name)
        return quarantine is not None and now_us < quarantine.until_us

    def apply_input(self, subject: str, now_us: int, change: Callable[[], T]) -> T | None:
        """Apply the change of an input; returns None without applying it if it is quarantined. Raises InputFailed."""
        if self.inputs and self.is_quarantined(subject, now_us):
            return None
        try:
            return change()
        except Exception as error:
            raise InputFailed(subject) from error


def _quarantine(quarantined: dict[str, Quarantine], name: str, now_us: int) -> None:
    previous = quarantined.get(name)
    times = previous.times + 1 if previous is not None else 1
    pause_us = min(LAST_PAUSE_US, FIRST_PAUSE_US << (times - 1))
    quarantined[name] = Quarantine(now_us + pause_us, times)
