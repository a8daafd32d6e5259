"""Tasks that run longer than their job allows are stopped for good (`limit_s`).

Judged by what a worker says, never by the clock alone: a task is over its limit if the second report
that came after the limit's end still lists it (the first may have been on its way since before). While
a machine is silent nothing is judged, so a task that ended in time is never called late because its
news was. When a task first ran is in the job's record:
a new leader gives it no time anew.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Protocol

from tideusher.clock import SECOND_US, to_us
from tideusher.core.model.records import Job, Task


class Tasks(Protocol):
    """What this needs of the leader's picture."""

    wall_us: Callable[[], int]

    def touch_chunk(self, job: Job, index: int, effect: None = None, urgent: bool = True) -> None:
        """The record that holds this task is to be written."""

    def enforce_limit(self, task: Task) -> None:
        """Stop it for good."""


class Limits:
    """Owns the ends of running tasks' limits, the next first."""

    def __init__(self, cluster: Tasks) -> None:
        self._c = cluster
        self._numbers = itertools.count()
        self._ends: list[tuple[int, int, Task]] = []
        self._first: dict[Task, int] = {}  # number of the first report after the end

    def began(self, task: Task, now_us: int) -> None:
        """The task runs; `running_us` and, from now on, its place in the record say since when."""
        limit_s = task.job.spec.limit_s
        if limit_s is None or task.running_us is None:
            return
        since_us = self._c.wall_us() - task.job.submitted_us
        if task.began_s:  # an earlier leader saw it begin
            task.running_us = min(now_us, now_us - (since_us - task.began_s * SECOND_US))
        else:
            task.began_s = max(1, since_us // SECOND_US)
            self._c.touch_chunk(task.job, task.index, urgent=False)
        heapq.heappush(self._ends, (task.running_us + to_us(limit_s), next(self._numbers), task))

    def step(self, now_us: int) -> None:
        """Stop what a report newer than its limit's end still lists."""
        waiting = []
        while self._ends and self._ends[0][0] <= now_us:
            end_us, number, task = heapq.heappop(self._ends)
            machine = task.machine
            first = self._first.get(task)
            if task.job.live.get(task.index) is not task:
                self._first.pop(task, None)
            elif first is not None and machine.serial != first:
                del self._first[task]
                self._c.enforce_limit(task)
            else:
                waiting.append((end_us, number, task))
                if first is None and machine.last_contact_us > end_us:
                    self._first[task] = machine.serial
        for one in waiting:
            heapq.heappush(self._ends, one)
