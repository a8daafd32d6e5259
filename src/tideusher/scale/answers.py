"""Judges what users are told: no answer may be older than one that was told before it was asked for. Pure.

Takes answers as users of any controller get them. Times do not count, only their order.
"""

from collections.abc import Callable
from dataclasses import dataclass

from tideusher.wire.jobs import CANCELLED, DONE

WENT_BACK, FORGOTTEN, UNASKED = "went_back", "forgotten", "unasked"
FINAL = (DONE, CANCELLED)
Tell = Callable[[str, str, str], None]


@dataclass(frozen=True, slots=True)
class Known:
    """What users had been told of a job when a question was sent."""

    accepted: bool = False
    final: str = ""
    done: int = 0


class Answers:
    """All that was told of all jobs. `tell` is called with the job, the rule and what was found."""

    def __init__(self, tell: Tell) -> None:
        self._known: dict[str, Known] = {}
        self._asked_to_cancel: set[str] = set()
        self._tell = tell

    def known(self, job: str) -> Known:
        """To be taken before a question is sent, and given back with its answer."""
        return self._known.get(job, Known())

    def cancels(self, job: str) -> None:
        """A user is about to ask for the job's cancellation."""
        self._asked_to_cancel.add(job)

    def refused(self, job: str, before: Known, status: int, where: str) -> None:
        """An answer that knows no such job, or refuses it."""
        if before.accepted and status in (400, 404, 422):
            self._tell(job, FORGOTTEN, f"{where}: {status} after it was accepted")

    def told(self, job: str, before: Known, state: str, done: int | None, where: str) -> bool:
        """The job's state, as an answer tells it; True if that is news. `done`: how many of its tasks, if told."""
        if before.final and state != before.final:
            self._tell(job, WENT_BACK, f"{where}: {state} after {before.final}")
        elif state != CANCELLED and done is not None and done < before.done:
            self._tell(job, WENT_BACK, f"{where}: {done} tasks done after {before.done}")
        if state == CANCELLED and job not in self._asked_to_cancel:
            self._tell(job, UNASKED, f"{where}: cancelled, and nobody asked for it")
        now = self.known(job)
        final = now.final or (state if state in FINAL else "")
        most = now.done if state == CANCELLED else max(now.done, done or 0)
        self._known[job] = Known(True, final, most)
        return not now.accepted or final != now.final
