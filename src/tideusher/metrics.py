"""Counters and histograms, from prometheus_client; their meaning is in docs/operations.md.

The library is imported when the first scrape or the first event comes, not at start-up: it costs a
small node more than the rest of this package. What happened before is kept in plain numbers.
"""

from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from typing import Any

MAX_KEPT = 2000
#: Classes are the users' own words: beyond so many they are counted together.
MAX_LABELS = 200


class Metrics:
    """Owned by a node; core code hands over numbers, this turns them into text on demand."""

    def __init__(self) -> None:
        self.counts: dict[tuple[str, str], float] = defaultdict(float)
        self.gauges: dict[str, float] = {}
        #: Gauges with a label, made anew for each scrape.
        self.labelled_gauges: dict[tuple[str, str], float] = {}
        self._waits: deque[tuple[str, float]] = deque(maxlen=MAX_KEPT)
        self._runs: deque[tuple[str, float]] = deque(maxlen=MAX_KEPT)
        self._detected: deque[tuple[str, float]] = deque(maxlen=MAX_KEPT)
        self._whole: deque[tuple[str, float]] = deque(maxlen=MAX_KEPT)
        self._checks: deque[tuple[str, float]] = deque(maxlen=MAX_KEPT)
        self._registry: Any = None
        self._histograms: tuple[tuple[deque[tuple[str, float]], Any], ...] = ()

    def count(self, name: str, label: str = "", amount: float = 1) -> None:
        """Add to a counter."""
        self.counts[name, label] += amount

    def job(self, what: str, job_class: str, team: str) -> None:
        """A job was asked for, accepted, started whole or done: counted by its class and by its team."""
        for by, label in (("class", job_class), ("team", team)):
            name = f"jobs_{what}_by_{by}"
            if (name, label) not in self.counts and sum(one == name for one, _ in self.counts) >= MAX_LABELS:
                label = "others"
            self.counts[name, label] += 1

    def observe_wait(self, job_class: str, seconds: float) -> None:
        """A task began to run so long after its job was submitted."""
        self._waits.append((job_class, seconds))

    def observe_run_time(self, job_class: str, seconds: float) -> None:
        """A task completed after running so long."""
        self._runs.append((job_class, seconds))

    def observe_mass_failure_detection(self, zone: str, seconds: float) -> None:
        """A fall became known so long after the first of its machines was last heard."""
        self._detected.append((zone, seconds))

    def observe_recovery(self, zone: str, seconds: float) -> None:
        """All that a fall took was whole again so long after it began."""
        self._whole.append((zone, seconds))

    def observe_takeover_phase(self, phase: str, seconds: float) -> None:
        """A phase of a takeover was over so long after its election, or as `docs/standby.md` says."""
        self._checks.append((phase, seconds))

    def text(self) -> bytes:
        """All metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, Histogram, generate_latest
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        if self._registry is None:
            self._registry = CollectorRegistry()
            fine = (0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 8, 15, 30)
            buckets = (1, 2, 5, 8, 15, 30, 50, 60, 90, 120, 250, 600, 1800)

            def seconds(name: str, text: str, label: str, bounds: tuple[float, ...] = buckets) -> Any:
                return Histogram(f"tideusher_{name}_seconds", text, [label], registry=self._registry, buckets=bounds)

            self._histograms = (
                (self._waits, seconds("wait", "From submission to running, per task", "job_class")),
                (self._runs, seconds("run", "Run time of completed tasks", "job_class")),
                (self._detected, seconds("fall_known", "From a fall's first silence until it is known", "zone")),
                (self._checks, seconds("takeover", "Phases of a takeover", "phase", fine)),
                (self._whole, seconds("fall_whole", "From a fall's begin until all it took is whole", "zone")),
            )
            self._registry.register(_Numbers(self, CounterMetricFamily, GaugeMetricFamily))
        for kept, histogram in self._histograms:
            while kept:
                label, value = kept.popleft()
                histogram.labels(label).observe(value)
        return generate_latest(self._registry)


class _Numbers:
    """Hands the plain numbers to the library at each scrape."""

    def __init__(self, metrics: Metrics, counter: type, gauge: type) -> None:
        self._metrics, self._counter, self._gauge = metrics, counter, gauge

    def collect(self):  # type: ignore[no-untyped-def]
        """Called by the registry."""
        yield from self._families(self._counter, self._metrics.counts)
        yield from self._families(self._gauge, self._metrics.labelled_gauges)
        for name, value in sorted(self._metrics.gauges.items()):
            yield self._gauge(f"tideusher_{name}", name.replace("_", " "), value=value)

    @staticmethod
    def _families(make: type, numbers: Mapping[tuple[str, str], float]) -> Iterable[Any]:
        """One family a name, with the label that each number has."""
        families: dict[str, Any] = {}
        for (name, label), value in sorted(numbers.items()):
            if name not in families:
                families[name] = make(f"tideusher_{name}", name.replace("_", " "), labels=["kind"])
            families[name].add_metric([label], value)
        return families.values()
