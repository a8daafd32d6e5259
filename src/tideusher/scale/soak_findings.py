"""Collects the findings of a soak run: broken rules with their surrounding events, and errors in controller logs."""

import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import takewhile
from pathlib import Path

from tideusher.invariants import LOGGER_NAME
from tideusher.scale import events
from tideusher.scale.judge import Broken
from tideusher.scale.report import Result

#: Broken rules that are reported in detail, and events listed for each.
MAX_REPORTED_BREAKS, EVENTS_PER_BREAK = 3, 30
#: Invariant violations reported per controller, and tracebacks reported per run.
MAX_LOG_FINDINGS = 5
_FRAME_PATTERN = re.compile(r'^  File ".*", line \d+, in (\w+)$')
_TRACEBACK_HEADER = "Traceback (most recent call last):"


@dataclass(slots=True)
class Findings:
    """Report lines of a run, by kind of finding; all lists are empty if the run was clean."""

    broken: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    tracebacks: list[str] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    known: list[str] = field(default_factory=list)  # tracebacks of faults that are listed as known; not counted

    @property
    def all(self) -> list[str]:
        """Every finding that fails the run."""
        return [*self.broken, *self.violations, *self.tracebacks[:MAX_LOG_FINDINGS], *self.ended]


def look(result: Result, directory: Path, uncounted: set[str], known: Sequence[str] = ()) -> Findings:
    """Returns the findings of a run.

    Rules in `uncounted` are ignored. Tracebacks that contain one of the strings in `known` are kept apart and not
    counted.
    """
    found = Findings()
    found.broken = [
        f"{rule}: {count} times" for rule, count in result.rules_broken.items() if count and rule not in uncounted
    ]
    if found.broken:
        found.broken += _breaks_with_events(
            [violation for violation in result.broken if violation.rule not in uncounted], directory
        )
    for log in sorted(directory.glob("c*.log")):
        lines = log.read_text("utf-8", "replace").splitlines()
        found.violations += [f"{log.stem}: {line}" for line in lines if f" {LOGGER_NAME}: " in line][
            :MAX_LOG_FINDINGS
        ]
        for trace in _tracebacks(log.stem, lines):
            (found.known if any(part in trace for part in known) else found.tracebacks).append(trace)
    found.ended = [note for note in result.notes if "ended by itself" in note]
    found.ended += _memory_excesses(result)
    return found


def _memory_excesses(result: Result) -> list[str]:
    allowed_mb = 256.0
    return [
        f"{name} used {process.peak_memory_mb:.0f} MB at its peak, more than the allowed {allowed_mb:.0f} MB"
        for name, process in result.processes.items()
        if process.role == "controller" and process.peak_memory_mb > allowed_mb
    ]


def _tracebacks(name: str, lines: list[str]) -> list[str]:
    """Returns a line per traceback: the log line before it, the innermost function and the exception."""
    found = []
    for number, line in enumerate(lines):
        if line.startswith(_TRACEBACK_HEADER):
            before = lines[number - 1] if number else ""
            trace = list(takewhile(lambda line: line.startswith(" "), lines[number + 1 :]))
            last = lines[number + 1 + len(trace)] if number + 1 + len(trace) < len(lines) else ""
            functions = [match[1] for entry in trace if (match := _FRAME_PATTERN.search(entry))]
            found.append(f"{name}: {before}; in {functions[-1] if functions else 'no function'}: {last}")
    return found


def _breaks_with_events(broken: list[Broken], directory: Path) -> list[str]:
    all_events = list(events.read_events(sorted(directory.glob("events-*.jsonl"))))
    lines = []
    for violation in broken[:MAX_REPORTED_BREAKS]:
        lines.append(f"{violation.rule} at {violation.at_us}: {violation.what}")
        job = re.search(r"req-\d+", violation.what)
        job_events = [event for event in all_events if job is not None and getattr(event, "job", "") == job[0]]
        lines += [f"    {event}" for event in job_events[-EVENTS_PER_BREAK:]]
    return lines


def takeovers(directory: Path) -> int:
    """Returns how often a controller took over the leadership, as counted in the logs."""
    return sum(log.read_text("utf-8", "replace").count("took over with token") for log in directory.glob("c*.log"))
