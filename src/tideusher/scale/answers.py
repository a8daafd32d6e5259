"""Checks the answers that users get: none may be staler than one received before its request was sent. Pure.

The answers may come from any controller. Only their order matters, not their times.
"""

from collections.abc import Callable
from dataclasses import dataclass

from tideusher.wire.jobs import CANCELLED, DONE

WENT_BACK, FORGOTTEN, UNASKED, REJECTED = "went_back", "forgotten", "unasked", "rejected"
FINAL = (DONE, CANCELLED)
ReportBreak = Callable[[str, str, str], None]


@dataclass(frozen=True, slots=True)
class Known:
    """What users knew about a job when a request was sent."""

    accepted: bool = False
    final: str = ""
    done: int = 0


class Answers:
    """Tracks the answers about all jobs. `report_break` is called with the job, the rule and the observation."""

    def __init__(self, report_break: ReportBreak) -> None:
        self._known: dict[str, Known] = {}
        self._asked_to_cancel: set[str] = set()
        self._report_break = report_break

    def known(self, job: str) -> Known:
        """Returns what users know of the job; call it before a request is sent and pass it in with the answer."""
        return self._known.get(job, Known())

    def cancels(self, job: str) -> None:
        """Notes that a user is about to request the cancellation of the job."""
        self._asked_to_cancel.add(job)

    def refused(self, job: str, before: Known, status: int, where: str) -> None:
        """Checks an error answer: a job that was accepted before must not be unknown or rejected."""
        if before.accepted and status in (400, 404, 422):
            self._report_break(job, FORGOTTEN, f"{where}: {status} after it was accepted")

    def rejected(self, job: str, status: int, where: str) -> None:
        """Checks an error answer to the submission of a job that is sound and can run."""
        if status in (400, 422):
            self._report_break(job, REJECTED, f"{where}: {status} for a sound submission")

    def told(self, job: str, before: Known, state: str, done: int | None, where: str) -> bool:
        """Checks the state in an answer; True if it is news. `done`: the number of finished tasks, if given."""
        if before.final and state != before.final:
            self._report_break(job, WENT_BACK, f"{where}: {state} after {before.final}")
        elif state != CANCELLED and done is not None and done < before.done:
            self._report_break(job, WENT_BACK, f"{where}: {done} tasks done after {before.done}")
        if state == CANCELLED and job not in self._asked_to_cancel:
            self._report_break(job, UNASKED, f"{where}: cancelled, and nobody asked for it")
        current = self.known(job)
        final = current.final or (state if state in FINAL else "")
        max_done = current.done if state == CANCELLED else max(current.done, done or 0)
        self._known[job] = Known(True, final, max_done)
        return not current.accepted or final != current.final
