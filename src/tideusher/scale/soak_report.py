"""What is told of a soak: a line a seed, what a failed one showed, and how to play it again."""

from collections import Counter

from tideusher.scale.report import Result
from tideusher.scale.soak import Outcome
from tideusher.scale.soak_findings import takeovers

#: So many tracebacks of known faults are told of a seed.
KNOWN_TOLD = 3


def outcome_lines(outcome: Outcome) -> list[str]:
    """A line; of a seed that shows something also its faults, what was found, and the line that plays it again."""
    if outcome.result is None:
        return [f"seed {outcome.seed}: NOT PLAYED: {outcome.error}", _again(outcome)]
    result = outcome.result
    verdict = "ok" if outcome.ok else "BROKEN"
    lines = [f"seed {outcome.seed}: {verdict}; {_figures(result)}, {takeovers(outcome.directory)} takeovers"]
    if outcome.uncounted:
        lines[0] += f"; not counted: {_counts(outcome.uncounted)}"
    lines += [f"  KNOWN RED {known}" for known in outcome.findings.known[:KNOWN_TOLD]]
    if outcome.ok:
        return lines
    lines += [f"  {fault.at_s:7.2f} s  {fault.what}" for fault in result.faults]
    lines += [f"  {finding}" for finding in outcome.findings.all]
    return [*lines, _again(outcome)]


def _again(outcome: Outcome) -> str:
    return f"  again: tideusher scale-run {outcome.directory.with_suffix('.toml')} --out DIR"


def _figures(result: Result) -> str:
    refused = sum(count for what, count in result.users.items() if what.rpartition(".")[2] in ("503", "unanswered"))
    measured = result.measured
    return (
        f"{result.controllers} controllers, {result.workers} workers, {len(result.faults)} events, "
        f"{result.task_starts} starts, {measured.jobs_accepted} jobs accepted, {measured.jobs_done} done, "
        f"{measured.jobs_cancelled} cancelled, {refused} requests refused, {result.rules_checked} checks"
    )


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items())


def summary(outcomes: list[Outcome]) -> str:
    """The last line."""
    bad = [outcome.seed for outcome in outcomes if not outcome.ok]
    found: Counter[str] = Counter()
    checks = 0
    for outcome in outcomes:
        if outcome.result is not None:
            checks += outcome.result.rules_checked
            found.update({rule: count for rule, count in outcome.result.rules_broken.items() if count})
    told_bad = f", bad: {', '.join(map(str, bad))}" if bad else ""
    good = len(outcomes) - len(bad)
    return f"{len(outcomes)} seeds, {good} ok{told_bad}; {checks} checks; broken: {_counts(found) or 'none'}"
