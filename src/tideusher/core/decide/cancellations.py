"""Keeps recently cancelled jobs and enforces their cancellation in every answer to a worker. Pure.

A cancellation is final once it is in the state service, whichever node reported it. So any node that knows of one may
stop the job's tasks: a leader that alone is refused by the state service, a gateway that forwards an answer of such a
leader, a controller that answers by itself. The bound of `bounds.may_answer` holds without this; with it the tasks
end at once.
"""

import heapq
from collections.abc import Callable

from tideusher.clock import SECOND_US
from tideusher.wire import workers
from tideusher.wire.workers import Commands, Report

#: Cancellations sent at a time, the oldest first.
TOLD = 200
#: A leader that reads the state service has stopped jobs cancelled longer ago than this.
LEADER_DELAY_US = 3 * SECOND_US


class Cancellations:
    """Owns the jobs cancelled in the last `keep_us`, by when this node learnt of them (monotonic time).

    `write_rps`: no more jobs can be cancelled per second than the state service accepts changes, so all that were
    cancelled in that time are kept. Of the history read at startup, which arrives at once and in order of names, the
    most recently cancelled jobs are kept. Keeping the last names instead meant that a leader without contact to the
    state service was never told of the others.
    """

    def __init__(self, keep_us: int, write_rps: float = 0.0) -> None:
        self._keep_us = keep_us
        self._max_jobs = max(TOLD, round(write_rps * (keep_us / SECOND_US + 1)))
        self._last_learnt_us = 0  # when this node learnt of the last one
        self._jobs: dict[str, tuple[int, int]] = {}  # stamp of the cancellation, and when this node learnt of it
        self._stamps: list[tuple[int, str]] = []  # a heap, the earliest cancellation first
        #: The revision up to which a peer has sent all that it knew; what this node read itself the store tracks.
        self.told = 0

    def learn(self, job: str, stamp: int, now_us: int) -> bool:
        """Record a cancellation from a record or another controller; returns True if it was not known."""
        if job in self._jobs or (len(self._jobs) >= self._max_jobs and (stamp, job) < self._stamps[0]):
            return False
        self._jobs[job] = (stamp, now_us)
        heapq.heappush(self._stamps, (stamp, job))
        self._last_learnt_us = now_us
        while len(self._stamps) > self._max_jobs:
            self._jobs.pop(heapq.heappop(self._stamps)[1], None)
        return True

    def learnt_us(self, job: str) -> int | None:
        """Returns when this node learnt that the job's cancellation is stored; None if that is not kept any more."""
        known = self._jobs.get(job)
        return known[1] if known is not None else None

    def may_be_unknown_to_leader(self, leader_reads: Callable[[], bool], now_us: int) -> bool:
        """True if this node may know of a cancellation that the leader does not; `leader_reads`: it reads the state.

        Answers are decoded again only in that case: some job was always cancelled within the last minute, and all of
        them would be.
        """
        if not self._any_recent(now_us):
            return False
        return now_us - self._last_learnt_us <= LEADER_DELAY_US or not leader_reads()

    def _any_recent(self, now_us: int) -> bool:
        """True if a job was cancelled recently. Drops jobs whose tasks can no longer run."""
        while self._jobs:
            job, (_, learnt_us) = next(iter(self._jobs.items()))
            if now_us - learnt_us <= self._keep_us:
                return True
            del self._jobs[job]
        return False

    def __contains__(self, job: str) -> bool:
        return job in self._jobs

    def since(self, revision: int) -> list[tuple[str, int]]:
        """Returns (job, stamp) of cancellations after this revision, the oldest first, limited in number."""
        found = sorted((stamp, job) for job, (stamp, _) in self._jobs.items() if stamp > revision)
        last = found[TOLD - 1][0] if len(found) > TOLD else 0  # all of one transaction are sent together
        return [(job, stamp) for number, (stamp, job) in enumerate(found) if number < TOLD or stamp == last]


def enforce_cancellations(commands: Commands, report: Report, cancelled: Callable[[str], bool]) -> Commands:
    """Returns the answer to a report without starts of cancelled jobs, and with stops of all their listed tasks."""
    kept = [command for command in commands.commands if command.op != "run" or not cancelled(_job(command.task))]
    ended = {(command.task, command.attempt) for command in kept if command.op == "halt" and not command.grace_s}
    return Commands(
        commands.token, kept + [command for command in halts(report, cancelled) if _key(command) not in ended]
    )


def halts(report: Report, cancelled: Callable[[str], bool]) -> list[workers.Command]:
    """Returns the commands that stop all tasks of cancelled jobs that the report lists."""
    return [
        workers.halt(item.task, item.attempt, 0.0)
        for item in report.tasks
        if item.state != workers.EXITED and cancelled(_job(item.task))
    ]


def _job(task: str) -> str:
    return task.rpartition("/")[0]


def _key(command: workers.Command) -> tuple[str, int]:
    return command.task, command.attempt
