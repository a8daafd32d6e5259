"""Jobs that were cancelled lately, and what that changes in any answer to a worker. Pure.

A cancellation is final once it is in the state service, whoever told of it. So whoever knows of one may stop its
tasks: the leader that the state service refuses alone, a gateway that passes an answer of such a leader on, a
controller that answers alone. Nobody needs this to keep the bound of `bounds.may_answer`; with it the tasks end at
once.
"""

import heapq
from collections.abc import Callable

from tideusher.clock import SECOND_US
from tideusher.wire import workers
from tideusher.wire.workers import Commands, Report

#: So many are told at a time, the oldest first.
TOLD = 200
#: A leader that reads the state service has stopped what was cancelled so long ago.
KNOWN_US = 3 * SECOND_US


class Cancellations:
    """Owns the jobs cancelled in the last `keep_us`, by when we learnt of them (steady time).

    `write_rps`: no more can be cancelled a second than the state service takes changes, so all that were cancelled in
    that time are kept. Of a history that is read at a start, all at once and by name, those cancelled last are: once
    the last ones by name were, and a leader without contact was never told of the others.
    """

    def __init__(self, keep_us: int, write_rps: float = 0.0) -> None:
        self._keep_us = keep_us
        self._most = max(TOLD, round(write_rps * (keep_us / SECOND_US + 1)))
        self._newest_us = 0  # when we learnt of the last one
        self._jobs: dict[str, tuple[int, int]] = {}  # stamp of the cancellation, and when we learnt of it
        self._stamps: list[tuple[int, str]] = []  # a heap, the one cancelled first on top
        #: Up to this revision a peer has told us all that it knew; what we read ourselves is the store's to say.
        self.told = 0

    def learn(self, job: str, stamp: int, now_us: int) -> bool:
        """A job is cancelled, a record or another controller says; True if that is news."""
        if job in self._jobs or (len(self._jobs) >= self._most and (stamp, job) < self._stamps[0]):
            return False
        self._jobs[job] = (stamp, now_us)
        heapq.heappush(self._stamps, (stamp, job))
        self._newest_us = now_us
        while len(self._stamps) > self._most:
            self._jobs.pop(heapq.heappop(self._stamps)[1], None)
        return True

    def may_be_unknown_to_leader(self, leader_reads: Callable[[], bool], now_us: int) -> bool:
        """May we know of a cancellation that the leader, who reads the state service or does not, has yet to hear of?

        Answers are read again only then: with some job always cancelled a minute ago all of them would be.
        """
        if not self._any(now_us):
            return False
        return now_us - self._newest_us <= KNOWN_US or not leader_reads()

    def _any(self, now_us: int) -> bool:
        """Was a job cancelled lately? Those that nobody can run any more are dropped."""
        while self._jobs:
            job, (_, learnt_us) = next(iter(self._jobs.items()))
            if now_us - learnt_us <= self._keep_us:
                return True
            del self._jobs[job]
        return False

    def __contains__(self, job: str) -> bool:
        return job in self._jobs

    def since(self, revision: int) -> list[tuple[str, int]]:
        """Jobs cancelled after this revision with the stamps of that, the oldest first and bounded."""
        found = sorted((stamp, job) for job, (stamp, _) in self._jobs.items() if stamp > revision)
        last = found[TOLD - 1][0] if len(found) > TOLD else 0  # all of one transaction are told at a time
        return [(job, stamp) for number, (stamp, job) in enumerate(found) if number < TOLD or stamp == last]


def enforce_cancellations(commands: Commands, report: Report, cancelled: Callable[[str], bool]) -> Commands:
    """The answer to a report, with nothing of a cancelled job started and all that is there of one stopped."""
    kept = [one for one in commands.commands if one.op != "run" or not cancelled(_job(one.task))]
    ended = {(one.task, one.attempt) for one in kept if one.op == "halt" and not one.grace_s}
    return Commands(commands.token, kept + [one for one in halts(report, cancelled) if _key(one) not in ended])


def halts(report: Report, cancelled: Callable[[str], bool]) -> list[workers.Command]:
    """What stops all tasks of cancelled jobs that the report lists."""
    return [
        workers.halt(item.task, item.attempt, 0.0)
        for item in report.tasks
        if item.state != workers.EXITED and cancelled(_job(item.task))
    ]


def _job(task: str) -> str:
    return task.rpartition("/")[0]


def _key(command: workers.Command) -> tuple[str, int]:
    return command.task, command.attempt
