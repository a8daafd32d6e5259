"""Measures a run from its events: waits by class, starts per second, and recovery times after the loss of a zone."""

from collections import Counter, defaultdict

import msgspec
from hdrh.histogram import HdrHistogram

from tideusher.clock import SECOND_US, to_s
from tideusher.scale import events
from tideusher.scale.workload import Workload
from tideusher.wire.jobs import GANG

#: Histograms hold times from 1 ms to an hour with two significant digits.
_MIN_MS, _MAX_MS, _SIGNIFICANT_DIGITS = 1, 3_600_000, 2

TaskName = tuple[str, int]


class Summary(msgspec.Struct, frozen=True):
    """Count, percentiles and maximum of a set of times, in seconds."""

    count: int
    p50_s: float
    p95_s: float
    p99_s: float
    max_s: float


class Times:
    """A histogram of times in whole milliseconds; times outside its range count as the nearest bound."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(_MIN_MS, _MAX_MS, _SIGNIFICANT_DIGITS)
        self.count = 0

    def add_us(self, time_us: int) -> None:
        """Records a time."""
        self.count += 1
        self._histogram.record_value(min(_MAX_MS, max(_MIN_MS, time_us // 1000)))

    def summary(self) -> Summary:
        """Returns the percentiles; all zeros if no time was recorded."""
        if not self.count:
            return Summary(0, 0.0, 0.0, 0.0, 0.0)

        def at(percentile: float) -> float:
            return self._histogram.get_value_at_percentile(percentile) / 1000

        return Summary(self.count, at(50), at(95), at(99), at(100))


class ZoneLoss(msgspec.Struct):
    """What happened to the tasks that were in a zone when it was lost."""

    zone: str
    at_s: float
    machines: int
    tasks: int = 0
    jobs: int = 0
    not_placed: int = 0  # at the end of the run, of jobs neither cancelled nor done
    placed: Summary | None = None  # from the loss until a worker was ordered to run the task again
    started: Summary | None = None


class Measured(msgspec.Struct):
    """All figures that are derived from the events."""

    task_starts: int = 0
    peak_starts_per_s: int = 0
    peak_orders_per_s: int = 0
    peak_tasks_on_machines: int = 0
    peak_machines: int = 0
    jobs_accepted: int = 0
    jobs_done: int = 0
    jobs_cancelled: int = 0
    submissions: Summary | None = None
    cancellations: Summary | None = None  # from a user's first request until a user was told
    waits: dict[str, Summary] = {}
    waits_by_priority: dict[str, Summary] = {}
    zone_losses: list[ZoneLoss] = []


class _LossTracker:
    """Tracks the loss of a zone while its tasks are placed and started again."""

    def __init__(self, event: events.ZoneLost, began_us: int, lost: set[TaskName]) -> None:
        self.at_us = event.at_us
        self.to_place, self.to_start = set(lost), set(lost)
        self.placed, self.started = Times(), Times()
        jobs = len({job for job, _ in lost})
        self.report = ZoneLoss(event.zone, to_s(event.at_us - began_us), len(event.machines), len(lost), jobs)

    def drop_job(self, job: str) -> None:
        """Stops waiting for the tasks of a job that is over."""
        self.to_place = {name for name in self.to_place if name[0] != job}
        self.to_start = {name for name in self.to_start if name[0] != job}

    def result(self) -> ZoneLoss:
        self.report.not_placed = len(self.to_place)
        self.report.placed, self.report.started = self.placed.summary(), self.started.summary()
        return self.report


class Measures:
    """Derives the figures from the events of a run, which must be passed in order of time."""

    def __init__(self, workload: Workload, began_us: int) -> None:
        self._workload, self._began_us = workload, began_us
        self._submitted_us: dict[str, int] = {}
        self._first_start_us: dict[TaskName, int] = {}
        self._gang_starts: dict[tuple[str, int], int] = Counter()
        self._started_gangs: set[str] = set()
        self._machine_of: dict[TaskName, str] = {}  # the machine of each placed task
        self._tasks_on_machines = self._machine_count = 0
        self._starts_by_second: Counter[int] = Counter()
        self._orders_by_second: Counter[int] = Counter()
        self._waits: dict[str, Times] = defaultdict(Times)
        self._waits_by_priority: dict[str, Times] = defaultdict(Times)
        self._waiting_for_acceptance: dict[str, list[int]] = defaultdict(list)
        self._submissions, self._cancellations = Times(), Times()
        self._cancelled: set[str] = set()
        self._losses: list[_LossTracker] = []
        self._result = Measured()

    def take(self, event: events.AnyEvent) -> None:
        """Processes the next event."""
        match event:
            case events.MachineUp():
                self._machine_count += 1
                self._result.peak_machines = max(self._result.peak_machines, self._machine_count)
            case events.MachineDown():
                self._machine_count -= 1
            case events.Ordered():
                self._ordered(event)
            case events.OnMachine():
                self._tasks_on_machines += 1
                self._result.peak_tasks_on_machines = max(
                    self._result.peak_tasks_on_machines, self._tasks_on_machines
                )
            case events.Started():
                self._started(event)
            case events.Left():
                self._left(event)
            case events.Accepted():
                self._accepted(event)
            case events.CancelTold():
                self._cancel_told(event)
            case events.DoneTold():
                self._result.jobs_done += 1
                self._finish_job(event.job)
            case events.ZoneLost():
                lost_machines = set(event.machines)
                lost = {name for name, machine in self._machine_of.items() if machine in lost_machines}
                self._losses.append(_LossTracker(event, self._began_us, lost))

    def result(self) -> Measured:
        """Returns the figures for the events processed so far."""
        result = self._result
        result.peak_starts_per_s = max(self._starts_by_second.values(), default=0)
        result.peak_orders_per_s = max(self._orders_by_second.values(), default=0)
        result.submissions = self._submissions.summary()
        result.cancellations = self._cancellations.summary()
        result.waits = {name: times.summary() for name, times in sorted(self._waits.items())}
        result.waits_by_priority = {name: times.summary() for name, times in sorted(self._waits_by_priority.items())}
        result.zone_losses = [loss.result() for loss in self._losses]
        return result

    # ---------------------------------------------------------------- event handlers

    def _ordered(self, event: events.Ordered) -> None:
        name = event.job, event.index
        self._machine_of[name] = event.machine
        self._orders_by_second[event.at_us // SECOND_US] += 1
        for loss in self._losses:
            if name in loss.to_place:
                loss.to_place.discard(name)
                loss.placed.add_us(event.at_us - loss.at_us)

    def _started(self, event: events.Started) -> None:
        name = event.job, event.index
        self._result.task_starts += 1
        self._starts_by_second[event.at_us // SECOND_US] += 1
        for loss in self._losses:
            if name in loss.to_start:
                loss.to_start.discard(name)
                loss.started.add_us(event.at_us - loss.at_us)
        spec = self._workload.spec(event.job)
        if spec.shape == GANG:
            self._gang_starts[event.job, event.attempt] += 1
            if self._gang_starts[event.job, event.attempt] == spec.tasks and event.job not in self._started_gangs:
                self._started_gangs.add(event.job)
                self._record_first_start(event.job, event.at_us)
        elif name not in self._first_start_us:
            self._first_start_us[name] = event.at_us
            self._record_first_start(event.job, event.at_us)

    def _record_first_start(self, job: str, at_us: int) -> None:
        """Records the wait of a task or a complete gang that runs for the first time."""
        submitted_us = self._submitted_us.get(job)
        if submitted_us is None:  # its user has no answer yet: the wait is counted on acceptance
            self._waiting_for_acceptance[job].append(at_us)
            return
        spec = self._workload.spec(job)
        self._waits[spec.job_class].add_us(at_us - submitted_us)
        self._waits_by_priority[spec.priority].add_us(at_us - submitted_us)

    def _left(self, event: events.Left) -> None:
        name = event.job, event.index
        if event.was_on:
            self._tasks_on_machines -= 1
        if self._machine_of.get(name) == event.machine:
            del self._machine_of[name]

    def _accepted(self, event: events.Accepted) -> None:
        self._result.jobs_accepted += 1
        self._submitted_us[event.job] = event.submitted_us
        self._submissions.add_us(event.at_us - event.submitted_us)
        for at_us in self._waiting_for_acceptance.pop(event.job, ()):
            self._record_first_start(event.job, at_us)

    def _cancel_told(self, event: events.CancelTold) -> None:
        self._result.jobs_cancelled += 1
        self._finish_job(event.job)
        if event.asked_us and event.job not in self._cancelled:
            self._cancelled.add(event.job)
            self._cancellations.add_us(event.at_us - event.asked_us)

    def _finish_job(self, job: str) -> None:
        for loss in self._losses:
            loss.drop_job(job)
