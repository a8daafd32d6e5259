"""Counters, gauges and histograms, exported with prometheus_client; docs/operations.md lists their meaning.

The library is imported at the first scrape and not at start-up: importing it costs a small node more
than the rest of this package. Values recorded before that are kept in plain Python collections.
"""

from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from typing import Any

#: Observations of a histogram that are buffered between two scrapes; older ones are dropped.
MAX_BUFFERED = 2000
#: Job classes are chosen by users: labels beyond this number are counted together as `others`.
MAX_LABELS = 200


class Metrics:
    """Collects the values of a node's metrics and formats them on demand."""

    def __init__(self) -> None:
        self.counts: dict[tuple[str, str], float] = defaultdict(float)
        self.gauges: dict[str, float] = {}
        #: Gauges with a label, replaced before each scrape.
        self.labelled_gauges: dict[tuple[str, str], float] = {}
        self._waits: deque[tuple[str, float]] = deque(maxlen=MAX_BUFFERED)
        self._runs: deque[tuple[str, float]] = deque(maxlen=MAX_BUFFERED)
        self._detections: deque[tuple[str, float]] = deque(maxlen=MAX_BUFFERED)
        self._recoveries: deque[tuple[str, float]] = deque(maxlen=MAX_BUFFERED)
        self._takeover_phases: deque[tuple[str, float]] = deque(maxlen=MAX_BUFFERED)
        self._registry: Any = None
        self._histograms: tuple[tuple[deque[tuple[str, float]], Any], ...] = ()

    def count(self, name: str, label: str = "", amount: float = 1) -> None:
        """Adds to a counter."""
        self.counts[name, label] += amount

    def count_job(self, event: str, job_class: str, team: str) -> None:
        """Counts a job, by class and by team, that was `asked` for, `accepted`, fully `started` or `done`."""
        for by, label in (("class", job_class), ("team", team)):
            name = f"jobs_{event}_by_{by}"
            if (name, label) not in self.counts and sum(counter == name for counter, _ in self.counts) >= MAX_LABELS:
                label = "others"
            self.counts[name, label] += 1

    def observe_wait(self, job_class: str, seconds: float) -> None:
        """Records the time from a job's submission until one of its tasks ran."""
        self._waits.append((job_class, seconds))

    def observe_run_time(self, job_class: str, seconds: float) -> None:
        """Records the run time of a completed task."""
        self._runs.append((job_class, seconds))

    def observe_mass_failure_detection(self, zone: str, seconds: float) -> None:
        """Records the time from the last contact with the first failed machine to the detection."""
        self._detections.append((zone, seconds))

    def observe_recovery(self, zone: str, seconds: float) -> None:
        """Records the time from the beginning of a mass failure until all affected jobs had recovered."""
        self._recoveries.append((zone, seconds))

    def observe_takeover_phase(self, phase: str, seconds: float) -> None:
        """Records when a phase of a takeover ended, counted from its election or as `docs/standby.md` states."""
        self._takeover_phases.append((phase, seconds))

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, Histogram, generate_latest
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        if self._registry is None:
            self._registry = CollectorRegistry()
            fine_buckets = (0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 8, 15, 30)
            buckets = (1, 2, 5, 8, 15, 30, 50, 60, 90, 120, 250, 600, 1800)

            def timing(name: str, text: str, label: str, bounds: tuple[float, ...] = buckets) -> Any:
                return Histogram(f"tideusher_{name}_seconds", text, [label], registry=self._registry, buckets=bounds)

            self._histograms = (
                (self._waits, timing("wait", "From submission to running, per task", "job_class")),
                (self._runs, timing("run", "Run time of completed tasks", "job_class")),
                (
                    self._detections,
                    timing("fall_known", "From a fall's first silence until it is known", "zone"),
                ),
                (self._takeover_phases, timing("takeover", "Phases of a takeover", "phase", fine_buckets)),
                (
                    self._recoveries,
                    timing("fall_whole", "From a fall's begin until all it took is whole", "zone"),
                ),
            )
            self._registry.register(_Collector(self, CounterMetricFamily, GaugeMetricFamily))
        for observations, histogram in self._histograms:
            while observations:
                label, value = observations.popleft()
                histogram.labels(label).observe(value)
        return generate_latest(self._registry)


class _Collector:
    """Passes counters and gauges to the library at each scrape."""

    def __init__(self, metrics: Metrics, counter: type, gauge: type) -> None:
        self._metrics, self._counter, self._gauge = metrics, counter, gauge

    def collect(self):  # type: ignore[no-untyped-def]
        """Yields the metric families; called by the registry."""
        yield from self._families(self._counter, self._metrics.counts)
        yield from self._families(self._gauge, self._metrics.labelled_gauges)
        for name, value in sorted(self._metrics.gauges.items()):
            yield self._gauge(f"tideusher_{name}", name.replace("_", " "), value=value)

    @staticmethod
    def _families(family_type: type, numbers: Mapping[tuple[str, str], float]) -> Iterable[Any]:
        """Returns one metric family per name, with a sample per label."""
        families: dict[str, Any] = {}
        for (name, label), value in sorted(numbers.items()):
            if name not in families:
                families[name] = family_type(f"tideusher_{name}", name.replace("_", " "), labels=["kind"])
            families[name].add_metric([label], value)
        return families.values()
