"""Pytest plugin for KNOWN-RED.txt at the root: tests that fail because of a known fault that is not fixed yet.

A line holds the test's id, the cause and the issue, separated by " | ". The list is short and usually empty.
Listed tests run like all others. A failure of one does not fail the run and is printed by name at the end. A
listed test that passes fails the run, as do a malformed line and an id that no test has.

Two prefixes of the id mark other kinds of entries:

- "soak:" is read by the soak, which prints and ignores tracebacks that contain the text after the prefix. A run
  without such a traceback passes, since a schedule of faults does not hit the same moment each time.
- "at-times:" marks a test that fails in some runs only. Either outcome passes and is printed, so that the verdict
  does not depend on chance. Like every entry it is removed after many passing runs in a row, not after one.
"""

from pathlib import Path
from typing import NamedTuple

import pytest

NAME = "KNOWN-RED.txt"
SOAK, AT_TIMES = "soak:", "at-times:"
LISTED = pytest.StashKey[dict[str, "Known"]]()


class Known(NamedTuple):
    """An entry of the list."""

    test: str
    cause: str
    issue: str
    at_times: bool = False  # True if it fails in some runs only


def read(path: Path) -> dict[str, Known]:
    """Returns the entries by test; raises ValueError with one line that states the error and its location."""
    entries: dict[str, Known] = {}
    lines = path.read_text("utf-8").splitlines() if path.exists() else []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{NAME}:{number}: a line is TEST | CAUSE | ISSUE")
        test, cause, issue = parts
        at_times = test.startswith(AT_TIMES)
        test = test.removeprefix(AT_TIMES).strip()
        if test in entries:
            raise ValueError(f"{NAME}:{number}: {test} is listed twice")
        entries[test] = Known(test, cause, issue, at_times)
    return entries


def pytest_configure(config: pytest.Config) -> None:
    """Reads the list, also in a process that collects no tests itself but hands them to others (pytest-xdist)."""
    try:
        config.stash[LISTED] = read(config.rootpath / NAME)
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests; a run of the complete suite also rejects listed ids that no test has."""
    listed = config.stash[LISTED]
    collected = {item.nodeid for item in items}
    if config.args_source == pytest.Config.ArgsSource.TESTPATHS:
        for test in {test for test in listed if not test.startswith(SOAK)} - collected:
            raise pytest.UsageError(f"{NAME}: no test has the id {test}")
    for item in items:
        if item.nodeid in listed:
            reason = f"[{NAME}] it is listed there and passes: take it off"
            item.add_marker(pytest.mark.xfail(strict=not listed[item.nodeid].at_times, reason=reason))


def pytest_terminal_summary(terminalreporter, config: pytest.Config) -> None:
    """Prints the listed tests that failed, and those that fail at times and passed."""
    listed = config.stash.get(LISTED, {})
    for outcome, label in (("xfailed", "KNOWN RED"), ("xpassed", "KNOWN RED AT TIMES, PASSED")):
        for report in terminalreporter.stats.get(outcome, []):
            if report.nodeid in listed:
                known = listed[report.nodeid]
                terminalreporter.write_line(f"{label} {known.test}: {known.cause} (issue {known.issue})")
