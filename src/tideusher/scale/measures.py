"""What a run took, by its events: waits by class, starts a second, how long tasks of a lost zone had no place."""

from collections import Counter, defaultdict

import msgspec
from hdrh.histogram import HdrHistogram

from tideusher.clock import SECOND_US, to_s
from tideusher.scale import events
from tideusher.scale.workload import Workload
from tideusher.wire.jobs import GANG

#: Histograms hold times from 1 ms to an hour, to two digits.
_LOWEST, _HIGHEST, _DIGITS = 1, 3_600_000, 2

TaskName = tuple[str, int]


class Summary(msgspec.Struct, frozen=True):
    """Times in seconds."""

    count: int
    p50_s: float
    p95_s: float
    p99_s: float
    max_s: float


class Times:
    """A histogram of times."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(_LOWEST, _HIGHEST, _DIGITS)
        self.count = 0

    def add_us(self, time_us: int) -> None:
        """One more time."""
        self.count += 1
        self._histogram.record_value(min(_HIGHEST, max(_LOWEST, time_us // 1000)))

    def summary(self) -> Summary:
        """All zeros if there is none."""
        if not self.count:
            return Summary(0, 0.0, 0.0, 0.0, 0.0)

        def at(percentile: float) -> float:
            return self._histogram.get_value_at_percentile(percentile) / 1000

        return Summary(self.count, at(50), at(95), at(99), at(100))


class ZoneLoss(msgspec.Struct):
    """What became of the tasks that were in a zone when it was lost."""

    zone: str
    at_s: float
    machines: int
    tasks: int = 0
    jobs: int = 0
    not_placed: int = 0  # by the end, and neither cancelled nor done
    placed: Summary | None = None  # from the loss until a worker was told to run the task again
    started: Summary | None = None


class Measured(msgspec.Struct):
    """All figures that come from the events."""

    task_starts: int = 0
    peak_starts_per_s: int = 0
    peak_orders_per_s: int = 0
    peak_tasks_on_machines: int = 0
    peak_machines: int = 0
    jobs_accepted: int = 0
    jobs_done: int = 0
    jobs_cancelled: int = 0
    submissions: Summary | None = None
    waits: dict[str, Summary] = {}
    waits_by_priority: dict[str, Summary] = {}
    zone_losses: list[ZoneLoss] = []


class _Loss:
    """One zone's loss while its tasks come back."""

    def __init__(self, event: events.ZoneLost, began_us: int, lost: set[TaskName]) -> None:
        self.at_us = event.at_us
        self.to_place, self.to_start = set(lost), set(lost)
        self.placed, self.started = Times(), Times()
        jobs = len({job for job, _ in lost})
        self.told = ZoneLoss(event.zone, to_s(event.at_us - began_us), len(event.machines), len(lost), jobs)

    def forget(self, job: str) -> None:
        """The job is over: its tasks need no places any more."""
        self.to_place = {name for name in self.to_place if name[0] != job}
        self.to_start = {name for name in self.to_start if name[0] != job}

    def result(self) -> ZoneLoss:
        self.told.not_placed = len(self.to_place)
        self.told.placed, self.told.started = self.placed.summary(), self.started.summary()
        return self.told


class Measures:
    """Takes the events of a run in the order of their times."""

    def __init__(self, workload: Workload, began_us: int) -> None:
        self._workload, self._began_us = workload, began_us
        self._submitted_us: dict[str, int] = {}
        self._first_start_us: dict[TaskName, int] = {}
        self._gang_started: dict[tuple[str, int], int] = Counter()
        self._whole: set[str] = set()
        self._on: dict[TaskName, str] = {}  # where each task is that holds a place
        self._on_count = self._machines = 0
        self._starts: Counter[int] = Counter()
        self._orders: Counter[int] = Counter()
        self._waits: dict[str, Times] = defaultdict(Times)
        self._by_priority: dict[str, Times] = defaultdict(Times)
        self._waiting_for_acceptance: dict[str, list[int]] = defaultdict(list)
        self._submissions = Times()
        self._losses: list[_Loss] = []
        self._result = Measured()

    def take(self, event: events.AnyEvent) -> None:
        """One more event."""
        match event:
            case events.MachineUp():
                self._machines += 1
                self._result.peak_machines = max(self._result.peak_machines, self._machines)
            case events.MachineDown():
                self._machines -= 1
            case events.Ordered():
                self._ordered(event)
            case events.OnMachine():
                self._on_count += 1
                self._result.peak_tasks_on_machines = max(self._result.peak_tasks_on_machines, self._on_count)
            case events.Started():
                self._started(event)
            case events.Left():
                self._left(event)
            case events.Accepted():
                self._accepted(event)
            case events.CancelTold():
                self._result.jobs_cancelled += 1
                self._over(event.job)
            case events.DoneTold():
                self._result.jobs_done += 1
                self._over(event.job)
            case events.ZoneLost():
                gone = set(event.machines)
                lost = {name for name, machine in self._on.items() if machine in gone}
                self._losses.append(_Loss(event, self._began_us, lost))

    def result(self) -> Measured:
        """All that was taken until now."""
        result = self._result
        result.peak_starts_per_s = max(self._starts.values(), default=0)
        result.peak_orders_per_s = max(self._orders.values(), default=0)
        result.submissions = self._submissions.summary()
        result.waits = {name: times.summary() for name, times in sorted(self._waits.items())}
        result.waits_by_priority = {name: times.summary() for name, times in sorted(self._by_priority.items())}
        result.zone_losses = [loss.result() for loss in self._losses]
        return result

    # ---------------------------------------------------------------- one event each

    def _ordered(self, event: events.Ordered) -> None:
        name = event.job, event.index
        self._on[name] = event.machine
        self._orders[event.at_us // SECOND_US] += 1
        for loss in self._losses:
            if name in loss.to_place:
                loss.to_place.discard(name)
                loss.placed.add_us(event.at_us - loss.at_us)

    def _started(self, event: events.Started) -> None:
        name = event.job, event.index
        self._result.task_starts += 1
        self._starts[event.at_us // SECOND_US] += 1
        for loss in self._losses:
            if name in loss.to_start:
                loss.to_start.discard(name)
                loss.started.add_us(event.at_us - loss.at_us)
        spec = self._workload.spec(event.job)
        if spec.shape == GANG:
            self._gang_started[event.job, event.attempt] += 1
            if self._gang_started[event.job, event.attempt] == spec.tasks and event.job not in self._whole:
                self._whole.add(event.job)
                self._began(event.job, event.at_us)
        elif name not in self._first_start_us:
            self._first_start_us[name] = event.at_us
            self._began(event.job, event.at_us)

    def _began(self, job: str, at_us: int) -> None:
        """A task, or a whole gang, runs for the first time."""
        submitted_us = self._submitted_us.get(job)
        if submitted_us is None:  # its user has not been answered yet
            self._waiting_for_acceptance[job].append(at_us)
            return
        spec = self._workload.spec(job)
        self._waits[spec.job_class].add_us(at_us - submitted_us)
        self._by_priority[spec.priority].add_us(at_us - submitted_us)

    def _left(self, event: events.Left) -> None:
        name = event.job, event.index
        if event.was_on:
            self._on_count -= 1
        if self._on.get(name) == event.machine:
            del self._on[name]

    def _accepted(self, event: events.Accepted) -> None:
        self._result.jobs_accepted += 1
        self._submitted_us[event.job] = event.submitted_us
        self._submissions.add_us(event.at_us - event.submitted_us)
        for at_us in self._waiting_for_acceptance.pop(event.job, ()):
            self._began(event.job, at_us)

    def _over(self, job: str) -> None:
        for loss in self._losses:
            loss.forget(job)
