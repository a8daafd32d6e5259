"""Tracks which jobs may not start yet: held by a user, before their start time, or dependent on another job.

The conditions of a job are part of its record from its acceptance on. Which of them are *still* unmet is not
persisted: it follows from that record and from the records of the jobs it depends on, which are kept forever. So the
end of a job releases any number of dependents without a write, and a leader that dies in the middle leaves nothing
half done (docs/safety.md, 8). Dependents are indexed by the job they name, so no scan of all jobs is needed.
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

#: Dependencies evaluated before a pass yields to other work.
EVALUATIONS_PER_STEP = 500

# Events of a job that others depend on.
BEGAN = "began"  # a task of it runs
END_DECIDED = "doomed"  # its end without having begun is decided and not yet persisted
ENDED = "ended"  # its end is persisted, and none of its tasks is on a machine


@dataclass(frozen=True, slots=True)
class Event:
    """An event of a job that others depend on."""

    job: str
    what: str
    done: bool = False
    begun: bool = False


def ended(job: str, record: dict[str, Any]) -> Event:
    """Returns the event that the final record of a job stands for."""
    done = record["st"] == JOB_DONE
    return Event(job, ENDED, done, done or bool(record.get("b")))


def is_met(kind: str, event: Event) -> bool | None:
    """Returns True if the event meets a dependency of this kind, False if it can never be met, None if still open."""
    if event.what == BEGAN:
        return True if kind == AFTER else None
    if kind == AFTER:
        met = event.done or event.begun
    elif kind == AFTER_OK:
        met = event.done
    else:
        met = kind != AFTER_NOT_OK or not event.done
    if event.what == END_DECIDED and met:
        return None  # it may start once the end is persisted
    return met


def unmet_reason(kind: str, event: Event) -> str:
    """Returns the reason shown to the user of a job whose dependency can never be met."""
    outcome = DONE if event.done else CANCELLED
    suffix = " without having begun" if kind == AFTER else ""
    return f"it was to start {kind} {event.job}, which is {outcome}{suffix}"


def unsatisfiable_reason(after: After, record: dict[str, Any]) -> str:
    """Returns why a job that depends on the one of this record can never start; empty if it may."""
    if record["st"] == OPEN:
        return ""
    event = ended(after.job, record)
    return unmet_reason(after.on, event) if is_met(after.on, event) is False else ""


class Jobs(Protocol):
    """The part of the leader's state used here: the jobs and their transitions."""

    jobs: dict[str, Job]
    dirty: bool
    wall_us: Callable[[], int]
    log: logging.Logger

    def update_schedulable(self, job: Job, now_us: int) -> None:
        """Apply a change of the job's conditions: passes consider it or skip it."""

    def release_uncommitted(self, job: Job) -> None:
        """Release its placements that are not committed."""

    def end(self, job: Job, why: str) -> None:
        """End a job that can never run."""


class Conditions:
    """Owns the dependencies between jobs. The jobs and their transitions belong to the cluster."""

    def __init__(self, cluster: Jobs, record_of: RecordOf) -> None:
        self._c = cluster
        self._record_of = record_of
        # Open jobs by the job that must begin, or must end, before them; in order of arrival.
        self._dependents_on_begin: dict[str, dict[str, None]] = {}
        self._dependents_on_end: dict[str, dict[str, None]] = {}
        self._pending_events: deque[tuple[Event, deque[str]]] = deque()
        self._start_times: list[tuple[int, str]] = []

    # ---------------------------------------------------------------- events

    def admit(self, job: Job, now_us: int) -> None:
        """Register a job. The jobs it depends on may be over already: records arrive in any order."""
        spec = job.spec
        if job.status == OPEN:
            if spec.not_before is not None and to_us(spec.not_before) > self._c.wall_us():
                job.start_after_us = to_us(spec.not_before)
                heapq.heappush(self._start_times, (job.start_after_us, spec.id))
            if spec.after:
                self._index(job)
                self._apply_known(job, now_us)
        self._c.update_schedulable(job, now_us)

    def _index(self, job: Job) -> None:
        """Index the job under those that it depends on."""
        job.unmet = tuple(dict.fromkeys((dependency.on, dependency.job) for dependency in job.spec.after or ()))
        for kind, ref in job.unmet:
            self._dependents_on_end.setdefault(ref, {})[job.spec.id] = None
            if kind == AFTER:
                self._dependents_on_begin.setdefault(ref, {})[job.spec.id] = None

    def _apply_known(self, job: Job, now_us: int) -> None:
        """Apply what is already known of the jobs that it depends on."""
        for ref in dict.fromkeys(ref for _, ref in job.unmet):
            other = self._c.jobs.get(ref)
            if other is None:
                record = self._record_of(ref)
                if record is not None and record["st"] != OPEN:
                    self._evaluate(job, ended(ref, record), now_us)
            elif other.finish_dirty and not other.begun:
                self._evaluate(job, Event(ref, END_DECIDED), now_us)
            elif other.seen_running or other.over_count:
                self._evaluate(job, Event(ref, BEGAN), now_us)

    def held(self, job: Job, by: str, now_us: int) -> None:
        """Apply the holder in the job's record; empty: none. Placements that are not committed do not start."""
        if by == job.hold:
            return
        job.hold = by
        self._c.log.info("job %s is %s", job.spec.id, f"held by {by}" if by else "released")
        if by:
            self._c.release_uncommitted(job)
        self._c.update_schedulable(job, now_us)

    def began(self, job: Job) -> None:
        """Record that a task of the job runs."""
        if not job.seen_running:
            job.seen_running = True
            self._notify(Event(job.spec.id, BEGAN), self._dependents_on_begin.pop(job.spec.id, None))

    def end_decided(self, job: Job) -> None:
        """Record that the job's end is decided, so that all dependents that can never run end now, not in turn."""
        self._notify(Event(job.spec.id, END_DECIDED), self._dependents_on_end.get(job.spec.id))

    def retired(self, job: Job) -> None:
        """Record that the job is over and none of its tasks is on a machine."""
        ref = job.spec.id
        self._dependents_on_begin.pop(ref, None)
        self._notify(Event(ref, ENDED, job.status == JOB_DONE, job.begun), self._dependents_on_end.pop(ref, None))
        for dependency in job.spec.after or ():
            for index in (self._dependents_on_end, self._dependents_on_begin):
                names = index.get(dependency.job)
                if names is not None:
                    names.pop(ref, None)
                    if not names:
                        del index[dependency.job]

    def names_its_begin(self, ref: str) -> bool:
        """True if an open job depends on this one having begun."""
        return any(
            dependency.on == AFTER and dependency.job == ref
            for name in self._dependents_on_end.get(ref, ())
            if (other := self._c.jobs.get(name)) is not None
            for dependency in other.spec.after or ()
        )

    def _notify(self, event: Event, names: dict[str, None] | None) -> None:
        if names:
            self._pending_events.append((event, deque(names)))
            self._c.dirty = True

    # ---------------------------------------------------------------- evaluation

    def step(self, now_us: int) -> bool:
        """Evaluate a bounded number of dependencies; returns True if more are left."""
        wall_us = self._c.wall_us()
        while self._start_times and self._start_times[0][0] <= wall_us:
            job = self._c.jobs.get(heapq.heappop(self._start_times)[1])
            if job is not None and job.start_after_us:
                job.start_after_us = 0
                self._c.update_schedulable(job, now_us)
        remaining = EVALUATIONS_PER_STEP
        while self._pending_events and remaining:
            event, names = self._pending_events[0]
            while names and remaining:
                remaining -= 1
                job = self._c.jobs.get(names.popleft())
                if job is not None and job.status == OPEN and job.unmet:
                    self._evaluate(job, event, now_us)
            if not names:
                self._pending_events.popleft()
        return bool(self._pending_events)

    def _evaluate(self, job: Job, event: Event, now_us: int) -> None:
        """Apply an event to a job that depends on the event's job."""
        remaining = []
        for kind, ref in job.unmet:
            met = is_met(kind, event) if ref == event.job else None
            if not met:
                remaining.append((kind, ref))
            if met is False and not job.finish_dirty:
                self._c.end(job, unmet_reason(kind, event))
        job.unmet = tuple(remaining)
        if not remaining:
            self._c.update_schedulable(job, now_us)
