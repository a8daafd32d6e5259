"""What a run of the soak shows: broken rules with the calls round them, and what controllers wrote of themselves."""

import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import takewhile
from pathlib import Path

from tideusher.invariants import LOGGER_NAME
from tideusher.scale import events
from tideusher.scale.judge import Broken
from tideusher.scale.report import Result

#: So many breaks are told with the events round them, and so many events each.
TOLD, EVENTS_TOLD = 3, 30
#: So many lines of each kind from the controllers.
LINES_TOLD = 5
_FRAME = re.compile(r'^  File ".*", line \d+, in (\w+)$')
_ERROR_BEGINS = "Traceback (most recent call last):"


@dataclass(slots=True)
class Findings:
    """Each a line or some; none: the run shows nothing."""

    broken: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    tracebacks: list[str] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    known: list[str] = field(default_factory=list)  # of a fault that is listed as known: passed over

    @property
    def all(self) -> list[str]:
        """Everything that counts."""
        return [*self.broken, *self.violations, *self.tracebacks[:LINES_TOLD], *self.ended]


def look(result: Result, directory: Path, uncounted: set[str], known: Sequence[str] = ()) -> Findings:
    """What a run shows. Rules in `uncounted` are passed over, and tracebacks that one of `known` is part of."""
    found = Findings()
    found.broken = [
        f"{rule}: {count} times" for rule, count in result.rules_broken.items() if count and rule not in uncounted
    ]
    if found.broken:
        found.broken += _round_the_breaks([one for one in result.broken if one.rule not in uncounted], directory)
    for log in sorted(directory.glob("c*.log")):
        lines = log.read_text("utf-8", "replace").splitlines()
        found.violations += [f"{log.stem}: {line}" for line in lines if f" {LOGGER_NAME}: " in line][:LINES_TOLD]
        for trace in _tracebacks(log.stem, lines):
            (found.known if any(part in trace for part in known) else found.tracebacks).append(trace)
    found.ended = [note for note in result.notes if "ended by itself" in note]
    found.ended += _too_large(result)
    return found


def _too_large(result: Result) -> list[str]:
    allowed_mb = 256.0
    return [
        f"{name} took {one.peak_memory_mb:.0f} MB, {allowed_mb:.0f} are granted"
        for name, one in result.processes.items()
        if one.role == "controller" and one.peak_memory_mb > allowed_mb
    ]


def _tracebacks(name: str, lines: list[str]) -> list[str]:
    """Of each the line that it comes after, the innermost function, and the exception."""
    found = []
    for number, line in enumerate(lines):
        if line.startswith(_ERROR_BEGINS):
            before = lines[number - 1] if number else ""
            trace = list(takewhile(lambda one: one.startswith(" "), lines[number + 1 :]))
            last = lines[number + 1 + len(trace)] if number + 1 + len(trace) < len(lines) else ""
            functions = [match[1] for one in trace if (match := _FRAME.search(one))]
            found.append(f"{name}: {before}; in {functions[-1] if functions else 'no function'}: {last}")
    return found


def _round_the_breaks(broken: list[Broken], directory: Path) -> list[str]:
    every = list(events.read_events(sorted(directory.glob("events-*.jsonl"))))
    found = []
    for one in broken[:TOLD]:
        found.append(f"{one.rule} at {one.at_us}: {one.what}")
        job = re.search(r"req-\d+", one.what)
        of_job = [event for event in every if job is not None and getattr(event, "job", "") == job[0]]
        found += [f"    {event}" for event in of_job[-EVENTS_TOLD:]]
    return found


def takeovers(directory: Path) -> int:
    """How often a controller took over."""
    return sum(log.read_text("utf-8", "replace").count("took over with token") for log in directory.glob("c*.log"))
