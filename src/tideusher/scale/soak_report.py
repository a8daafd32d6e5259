"""Formats the report of a soak: a line per seed, the findings of failed seeds, and the command that repeats them."""

from collections import Counter

from tideusher.scale.report import Result
from tideusher.scale.soak import Outcome
from tideusher.scale.soak_findings import takeovers

#: Tracebacks of known faults that are reported per seed.
MAX_KNOWN_REPORTED = 3


def outcome_lines(outcome: Outcome) -> list[str]:
    """Returns a summary line for a seed and, if it failed, its faults, findings and the command that repeats it."""
    if outcome.result is None:
        return [f"seed {outcome.seed}: NOT PLAYED: {outcome.error}", _repeat_command(outcome)]
    result = outcome.result
    verdict = "ok" if outcome.ok else "BROKEN"
    lines = [f"seed {outcome.seed}: {verdict}; {_figures(result)}, {takeovers(outcome.directory)} takeovers"]
    if outcome.uncounted:
        lines[0] += f"; not counted: {_counts(outcome.uncounted)}"
    lines += [f"  KNOWN RED {known}" for known in outcome.findings.known[:MAX_KNOWN_REPORTED]]
    if outcome.ok:
        return lines
    lines += [f"  {fault.at_s:7.2f} s  {fault.what}" for fault in result.faults]
    lines += [f"  {finding}" for finding in outcome.findings.all]
    return [*lines, _repeat_command(outcome)]


def _repeat_command(outcome: Outcome) -> str:
    return f"  again: tideusher scale-run {outcome.directory.with_suffix('.toml')} --out DIR"


def _figures(result: Result) -> str:
    refused = sum(count for name, count in result.users.items() if name.rpartition(".")[2] in ("503", "unanswered"))
    measured = result.measured
    return (
        f"{result.controllers} controllers, {result.workers} workers, {len(result.faults)} events, "
        f"{result.task_starts} starts, {measured.jobs_accepted} jobs accepted, {measured.jobs_done} done, "
        f"{measured.jobs_cancelled} cancelled, {refused} requests refused, {result.rules_checked} checks"
    )


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items())


def summary(outcomes: list[Outcome]) -> str:
    """Returns the last line of the report, over all seeds."""
    failed = [outcome.seed for outcome in outcomes if not outcome.ok]
    broken: Counter[str] = Counter()
    checks = 0
    for outcome in outcomes:
        if outcome.result is not None:
            checks += outcome.result.rules_checked
            broken.update({rule: count for rule, count in outcome.result.rules_broken.items() if count})
    failed_list = f", bad: {', '.join(map(str, failed))}" if failed else ""
    passed = len(outcomes) - len(failed)
    return f"{len(outcomes)} seeds, {passed} ok{failed_list}; {checks} checks; broken: {_counts(broken) or 'none'}"
