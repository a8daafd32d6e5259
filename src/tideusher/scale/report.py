"""The result of a scale run, as a JSON file and as a short table for people."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from tideusher.scale.judge import RULES, Broken, Verdict
from tideusher.scale.measures import Measured, Summary
from tideusher.scale.messages import Counted, Traffic
from tideusher.scale.processes import ProcessUsage, Usage
from tideusher.scale.settings import ScaleSettings


class FaultDone(msgspec.Struct):
    """A fault that was injected, or another event of the run, with its time since the start."""

    at_s: float
    what: str


class WorkerCost(msgspec.Struct):
    """The resource use of the busiest real worker and the allowance it is compared with."""

    mean_core_share: float
    peak_memory_mb: float
    bytes_per_s: float
    allowed_core_share: float
    allowed_memory_mb: float
    allowed_bytes_per_s: float


class Result(msgspec.Struct):
    """All figures of a run. Times are in seconds; the field names are the keys of result.json."""

    name: str
    workers: int
    real_workers: int
    controllers: int
    duration_s: float
    task_starts: int
    writes: int
    writes_per_start: float
    rules_checked: int
    rules_broken: dict[str, int]
    broken: list[Broken]
    measured: Measured
    roles: dict[str, Usage]
    processes: dict[str, ProcessUsage]
    real_worker: WorkerCost | None
    peak_memory_mb: float
    peak_processes: int
    state: dict[str, int]
    cloud: dict[str, int]
    users: dict[str, int]
    reports: dict[str, int]
    traffic: dict[str, Traffic]
    faults: list[FaultDone]
    notes: list[str]

    @property
    def total_broken(self) -> int:
        """Returns the number of breaks over all rules."""
        return sum(self.rules_broken.values())


@dataclass(frozen=True, slots=True)
class Outcome:
    """The raw outcome of a run, from which the result is built."""

    verdict: Verdict
    measured: Measured
    roles: dict[str, Usage]
    processes: dict[str, ProcessUsage]
    counted: Iterable[Counted]
    cloud: dict[str, int]
    peak_memory_mb: float
    peak_processes: int
    faults: list[FaultDone]
    notes: list[str]


def put_together(settings: ScaleSettings, outcome: Outcome) -> Result:
    """Builds the result from the outcome and the counters of each process."""
    by_name = {counted.name: counted for counted in outcome.counted}
    state = by_name["state"].counts if "state" in by_name else {}
    users = by_name["users"].counts if "users" in by_name else {}
    reports: dict[str, int] = defaultdict(int)
    traffic: dict[str, Traffic] = defaultdict(Traffic)
    for counted in by_name.values():
        for name, amount in counted.traffic.items():
            traffic[name].messages += amount.messages
            traffic[name].bytes += amount.bytes
        if counted.name.startswith("host-"):
            for name, count in counted.counts.items():
                reports[name] += count
    verdict, measured = outcome.verdict, outcome.measured
    writes = sum(count for name, count in state.items() if name.startswith("writes."))
    return Result(
        name=settings.name,
        workers=measured.peak_machines,
        real_workers=settings.fleet.real_workers,
        controllers=settings.control.controllers,
        duration_s=settings.duration_s,
        task_starts=measured.task_starts,
        writes=writes,
        writes_per_start=writes / max(1, measured.task_starts),
        rules_checked=verdict.checks,
        rules_broken={rule: verdict.counts[rule] for rule in RULES},
        broken=verdict.broken,
        measured=measured,
        roles=outcome.roles,
        processes=outcome.processes,
        real_worker=_worker_cost(settings, outcome.roles, by_name),
        peak_memory_mb=outcome.peak_memory_mb,
        peak_processes=outcome.peak_processes,
        state=dict(sorted(state.items())),
        cloud=outcome.cloud,
        users=dict(sorted(users.items())),
        reports=dict(sorted(reports.items())),
        traffic=dict(traffic),
        faults=outcome.faults,
        notes=outcome.notes,
    )


def _worker_cost(settings: ScaleSettings, roles: dict[str, Usage], by_name: dict[str, Counted]) -> WorkerCost | None:
    usage, fleet, allowance = roles.get("real worker"), settings.fleet, settings.allowance
    if usage is None:
        return None
    first = fleet.hollow_processes  # real workers are numbered after the hollow processes
    names = [f"host-{number}" for number in range(first, first + fleet.real_workers)]
    sent_bytes = [
        sum(traffic.bytes for traffic in by_name[name].traffic.values()) for name in names if name in by_name
    ]
    return WorkerCost(
        usage.mean_core_share,
        usage.peak_memory_mb,
        max(sent_bytes, default=0) / settings.duration_s,
        allowance.core_share,
        allowance.memory_mb,
        allowance.bytes_per_s,
    )


def encode(result: Result) -> bytes:
    """Returns the result as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(result), indent=2)


def table(result: Result) -> list[str]:
    """Returns the lines of the table for people."""
    measured = result.measured
    lines = [
        f"{result.name}: {result.workers} workers ({result.real_workers} real), {result.controllers} controllers, "
        f"{result.duration_s:.0f} s, {result.peak_processes} processes, {result.peak_memory_mb:.0f} MB at the most",
        f"rules broken: {_format_counts(result.rules_broken)} in {result.rules_checked} checks",
        f"task starts: {result.task_starts}, {measured.peak_starts_per_s} in the busiest second, "
        f"{measured.peak_tasks_on_machines} tasks at once",
        f"jobs: {measured.jobs_accepted} accepted, {measured.jobs_done} done, {measured.jobs_cancelled} cancelled",
        f"state service: {result.writes} writes, {result.writes_per_start:.2f} a task start",
    ]
    if measured.submissions is not None:
        lines.append(_format_times("submission", measured.submissions))
    if measured.cancellations is not None:
        lines.append(_format_times("cancellation", measured.cancellations))
    lines += [_format_times(f"wait {name}", summary) for name, summary in measured.waits.items()]
    for loss in measured.zone_losses:
        lines.append(f"zone {loss.zone} lost at {loss.at_s:.0f} s: {loss.tasks} tasks of {loss.jobs} jobs")
        if loss.placed is not None:
            lines.append(_format_times("  placed again", loss.placed) + f", {loss.not_placed} not by the end")
    for role, usage in result.roles.items():
        lines.append(
            f"{role:16} {usage.processes:4} processes, {usage.mean_core_share:.3f} of a core (peak "
            f"{usage.peak_core_share:.3f}), {usage.peak_memory_mb:.0f} MB, {usage.cpu_s:.1f} s in all"
        )
    if result.real_worker is not None:
        cost = result.real_worker
        lines.append(
            f"a real worker: {cost.mean_core_share:.4f} of a core ({cost.allowed_core_share:g} allowed), "
            f"{cost.peak_memory_mb:.1f} MB ({cost.allowed_memory_mb:g}), {cost.bytes_per_s:.0f} bytes/s "
            f"({cost.allowed_bytes_per_s:g})"
        )
    return (
        lines
        + [f"BROKEN {broken.rule}: {broken.what}" for broken in result.broken]
        + [f"note: {note}" for note in result.notes]
    )


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items())


def _format_times(label: str, summary: Summary) -> str:
    return (
        f"{label:24} p50 {summary.p50_s:.3f}, p95 {summary.p95_s:.3f}, p99 {summary.p99_s:.3f}, "
        f"max {summary.max_s:.3f} s of {summary.count}"
    )
