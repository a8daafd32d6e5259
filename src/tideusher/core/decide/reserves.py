"""Decides how long capacity that is kept free for expected work is kept from a job that waits now. Pure.

Reserves (warm capacity of job classes, ordinary machines for work that may not run on spot machines) make starts
faster that are expected. They are a preference: a job of which nothing runs gets a place in them once it has waited
for long, and others leave them alone as before.
"""

from collections.abc import Iterable

from tideusher.clock import SECOND_US
from tideusher.core.model.records import Job

#: How long reserves are kept from a job of which no task has a place: a third of what users allow beside a machine
#: with room (90 s), so that a change of the leader, which begins to count anew, leaves time.
MAX_KEPT_OUT_US = 30 * SECOND_US


class ReserveWaits:
    """Since when the waiting jobs have been without any place, as of the last scheduling pass."""

    def __init__(self) -> None:
        self._since_us: dict[str, int] = {}

    def update(self, waiting: Iterable[Job], now_us: int) -> None:
        """Records which jobs wait at the beginning of a pass."""
        self._since_us = {job.spec.id: self._since_us.get(job.spec.id, now_us) for job in waiting if not job.live}

    def may_use_reserves(self, job: Job, now_us: int) -> bool:
        """True if the job has been kept out for so long that it may have a place in what is reserved."""
        until_us = self.kept_out_until_us(job)
        return until_us is not None and now_us >= until_us

    def kept_out_until_us(self, job: Job) -> int | None:
        """Returns until when reserves are kept from the job; None while a task of it has a place."""
        since_us = self._since_us.get(job.spec.id)
        return since_us + MAX_KEPT_OUT_US if since_us is not None else None
