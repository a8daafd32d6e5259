"""Which jobs may not start yet: held by somebody, before their time, or after another job.

What a job waits for is part of its record from its acceptance on. What it waits for *still* is written
nowhere: it follows from that record and from those of the jobs it names, which stay for ever. So an end
releases any number of jobs without a write, and a leader that dies in the middle leaves nothing half done
(docs/safety.md, 8). The jobs that name one are found by its name, never by a look at all jobs.
"""

import heapq
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from tideusher.clock import to_us
from tideusher.core.model.cluster_state import RecordOf
from tideusher.core.model.records import JOB_DONE, OPEN, Job
from tideusher.wire.jobs import AFTER, AFTER_NOT_OK, AFTER_OK, CANCELLED, DONE, After

#: After so many judgements a pass lets others have their turn.
PIECE = 500

# What may be heard of a job that others wait for.
BEGAN = "began"  # a task of it runs
DOOMED = "doomed"  # it will end without having begun; that is decided, and not yet written
ENDED = "ended"  # that is written, and nothing of it is on a machine


@dataclass(frozen=True, slots=True)
class News:
    """One thing heard of a job."""

    job: str
    what: str
    done: bool = False
    begun: bool = False


def ended(job: str, record: dict[str, Any]) -> News:
    """What the final record of a job says."""
    done = record["st"] == JOB_DONE
    return News(job, ENDED, done, done or bool(record.get("b")))


def verdict(kind: str, news: News) -> bool | None:
    """Does the news meet a dependency of this kind? False: it can never be met. None: it waits on."""
    if news.what == BEGAN:
        return True if kind == AFTER else None
    if kind == AFTER:
        met = news.done or news.begun
    elif kind == AFTER_OK:
        met = news.done
    else:
        met = kind != AFTER_NOT_OK or not news.done
    if news.what == DOOMED and met:
        return None  # it may start once the end is written
    return met


def never(kind: str, news: News) -> str:
    """The reason told to the user of a job whose dependency cannot be met any more."""
    how = DONE if news.done else CANCELLED
    more = " without having begun" if kind == AFTER else ""
    return f"it was to start {kind} {news.job}, which is {how}{more}"


def unsatisfiable_reason(after: After, record: dict[str, Any]) -> str:
    """Why a job that is to start after the one of this record never can; empty: it may."""
    if record["st"] == OPEN:
        return ""
    news = ended(after.job, record)
    return never(after.on, news) if verdict(after.on, news) is False else ""


class Jobs(Protocol):
    """What this needs of the leader's picture: the jobs, and what becomes of them."""

    jobs: dict[str, Job]
    dirty: bool
    wall_us: Callable[[], int]
    log: logging.Logger

    def update_schedulable(self, job: Job, now_us: int) -> None:
        """Its conditions are others now."""

    def release_uncommitted(self, job: Job) -> None:
        """Give up what was not committed."""

    def end(self, job: Job, why: str) -> None:
        """It can never run."""


class Conditions:
    """Owns who waits for whom. The jobs, and what becomes of them, are the cluster's."""

    def __init__(self, cluster: Jobs, record_of: RecordOf) -> None:
        self._c = cluster
        self._record_of = record_of
        # Open jobs that name another as one that must begin, or must end; in order of arrival.
        self._on_begin: dict[str, dict[str, None]] = {}
        self._on_end: dict[str, dict[str, None]] = {}
        self._work: deque[tuple[News, deque[str]]] = deque()
        self._early: list[tuple[int, str]] = []

    # ---------------------------------------------------------------- what happens

    def admit(self, job: Job, now_us: int) -> None:
        """A job is known from now on. What it names may be over already, in whatever order they came."""
        spec = job.spec
        if job.status == OPEN:
            if spec.not_before is not None and to_us(spec.not_before) > self._c.wall_us():
                job.start_after_us = to_us(spec.not_before)
                heapq.heappush(self._early, (job.start_after_us, spec.id))
            if spec.after:
                self._name(job)
                self._look_back(job, now_us)
        self._c.update_schedulable(job, now_us)

    def _name(self, job: Job) -> None:
        """Enter the job under those that it names."""
        job.unmet = tuple(dict.fromkeys((one.on, one.job) for one in job.spec.after or ()))
        for kind, ref in job.unmet:
            self._on_end.setdefault(ref, {})[job.spec.id] = None
            if kind == AFTER:
                self._on_begin.setdefault(ref, {})[job.spec.id] = None

    def _look_back(self, job: Job, now_us: int) -> None:
        """What is known already of those that the job names."""
        for ref in dict.fromkeys(ref for _, ref in job.unmet):
            other = self._c.jobs.get(ref)
            if other is None:
                record = self._record_of(ref)
                if record is not None and record["st"] != OPEN:
                    self._judge(job, ended(ref, record), now_us)
            elif other.finish_dirty and not other.begun:
                self._judge(job, News(ref, DOOMED), now_us)
            elif other.seen_running or other.over_count:
                self._judge(job, News(ref, BEGAN), now_us)

    def held(self, job: Job, by: str, now_us: int) -> None:
        """The job's record says who holds it; empty: nobody. What was not committed yet does not start."""
        if by == job.hold:
            return
        job.hold = by
        self._c.log.info("job %s is %s", job.spec.id, f"held by {by}" if by else "released")
        if by:
            self._c.release_uncommitted(job)
        self._c.update_schedulable(job, now_us)

    def began(self, job: Job) -> None:
        """A task of the job runs."""
        if not job.seen_running:
            job.seen_running = True
            self._tell(News(job.spec.id, BEGAN), self._on_begin.pop(job.spec.id, None))

    def end_decided(self, job: Job) -> None:
        """The job's end is decided: whatever can never run for that is told now, not one write after another."""
        self._tell(News(job.spec.id, DOOMED), self._on_end.get(job.spec.id))

    def retired(self, job: Job) -> None:
        """The job is over, and nothing of it is on a machine."""
        ref = job.spec.id
        self._on_begin.pop(ref, None)
        self._tell(News(ref, ENDED, job.status == JOB_DONE, job.begun), self._on_end.pop(ref, None))
        for one in job.spec.after or ():
            for index in (self._on_end, self._on_begin):
                names = index.get(one.job)
                if names is not None:
                    names.pop(ref, None)
                    if not names:
                        del index[one.job]

    def names_its_begin(self, ref: str) -> bool:
        """Does an open job name this one as one that must have begun?"""
        return any(
            one.on == AFTER and one.job == ref
            for name in self._on_end.get(ref, ())
            if (other := self._c.jobs.get(name)) is not None
            for one in other.spec.after or ()
        )

    def _tell(self, news: News, names: dict[str, None] | None) -> None:
        if names:
            self._work.append((news, deque(names)))
            self._c.dirty = True

    # ---------------------------------------------------------------- what follows

    def step(self, now_us: int) -> bool:
        """A bounded piece of what there is to judge; True if there is more."""
        wall_us = self._c.wall_us()
        while self._early and self._early[0][0] <= wall_us:
            job = self._c.jobs.get(heapq.heappop(self._early)[1])
            if job is not None and job.start_after_us:
                job.start_after_us = 0
                self._c.update_schedulable(job, now_us)
        left = PIECE
        while self._work and left:
            news, names = self._work[0]
            while names and left:
                left -= 1
                job = self._c.jobs.get(names.popleft())
                if job is not None and job.status == OPEN and job.unmet:
                    self._judge(job, news, now_us)
            if not names:
                self._work.popleft()
        return bool(self._work)

    def _judge(self, job: Job, news: News, now_us: int) -> None:
        """What the news means to a job that names the one it is about."""
        left = []
        for kind, ref in job.unmet:
            met = verdict(kind, news) if ref == news.job else None
            if not met:
                left.append((kind, ref))
            if met is False and not job.finish_dirty:
                self._c.end(job, never(kind, news))
        job.unmet = tuple(left)
        if not left:
            self._c.update_schedulable(job, now_us)
