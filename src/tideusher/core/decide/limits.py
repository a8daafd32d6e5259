"""Stops tasks that run longer than their job allows (`limit_s`); they are not started again.

The decision rests on worker reports, never on the clock alone: a task is over its limit if the second report received
after the limit expired still lists it (the first may have been sent before). Nothing is decided while a machine is
silent, so a task that ended in time is never counted as late because its report was. The time of a task's first run
is in the job's record, so a new leader does not restart the limit.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Protocol

from tideusher.clock import SECOND_US, to_us
from tideusher.core.model.records import Job, Task


class Tasks(Protocol):
    """The part of the leader's state used here."""

    wall_us: Callable[[], int]

    def enqueue_chunk(self, job: Job, index: int, effect: None = None, urgent: bool = True) -> None:
        """Queue the record that holds this task for writing."""

    def enforce_limit(self, task: Task) -> None:
        """Stop a task that is over its limit and do not start it again."""


class Limits:
    """Owns the times at which the limits of running tasks expire, the next first."""

    def __init__(self, cluster: Tasks) -> None:
        self._c = cluster
        self._sequence = itertools.count()
        self._expirations: list[tuple[int, int, Task]] = []
        self._first_serial: dict[Task, int] = {}  # serial of the first report after the limit expired

    def began(self, task: Task, now_us: int) -> None:
        """Start the limit of a running task; its start is in `running_us` and, from now on, in its record."""
        limit_s = task.job.spec.limit_s
        if limit_s is None or task.running_us is None:
            return
        since_us = self._c.wall_us() - task.job.submitted_us
        if task.began_s:  # an earlier leader recorded its start
            task.running_us = min(now_us, now_us - (since_us - task.began_s * SECOND_US))
        else:
            task.began_s = max(1, since_us // SECOND_US)
            self._c.enqueue_chunk(task.job, task.index, urgent=False)
        heapq.heappush(self._expirations, (task.running_us + to_us(limit_s), next(self._sequence), task))

    def step(self, now_us: int) -> None:
        """Stop the tasks that the second report after the end of their limit still lists."""
        waiting = []
        while self._expirations and self._expirations[0][0] <= now_us:
            expires_us, number, task = heapq.heappop(self._expirations)
            machine = task.machine
            first_serial = self._first_serial.get(task)
            if task.job.live.get(task.index) is not task:
                self._first_serial.pop(task, None)
            elif first_serial is not None and machine.serial != first_serial:
                del self._first_serial[task]
                self._c.enforce_limit(task)
            else:
                waiting.append((expires_us, number, task))
                if first_serial is None and machine.last_contact_us > expires_us:
                    self._first_serial[task] = machine.serial
        for entry in waiting:
            heapq.heappush(self._expirations, entry)
