"""KNOWN-RED.txt at the root: tests that fail for a fault which is known and not mended yet.

A line is a test's id, the cause and the issue, with " | " between them. The list is kept short and is usually empty.
What is listed runs as all other tests do. Its failure does not fail the run and is printed by name at the end. A
listed test that passes fails the run, and so do a malformed line and an id that no test has.

Two prefixes of the id name other kinds of entry:

- "soak:" is read by the soak, which prints and passes over tracebacks that hold the text after the prefix; a run
  without such a traceback is fine, since a schedule of faults does not hit the same moment each time;
- "at-times:" is for a test that fails in some runs only. Either outcome passes and is printed, so that the verdict
  does not depend on chance. It leaves the list as every entry does: by many runs in a row, not by one that passes.
"""

from pathlib import Path
from typing import NamedTuple

import pytest

NAME = "KNOWN-RED.txt"
SOAK, AT_TIMES = "soak:", "at-times:"
LISTED = pytest.StashKey[dict[str, "Known"]]()


class Known(NamedTuple):
    """A line of the list."""

    test: str
    cause: str
    issue: str
    at_times: bool = False  # does it fail in some runs only?


def read(path: Path) -> dict[str, Known]:
    """The list by test; raises ValueError with one line that says what is wrong and where."""
    found: dict[str, Known] = {}
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
        if test in found:
            raise ValueError(f"{NAME}:{number}: {test} is listed twice")
        found[test] = Known(test, cause, issue, at_times)
    return found


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark what is listed; a run of the whole suite also says what is listed and is not there."""
    try:
        listed = read(config.rootpath / NAME)
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None
    config.stash[LISTED] = listed
    there = {item.nodeid for item in items}
    if config.args_source == pytest.Config.ArgsSource.TESTPATHS:
        for test in {test for test in listed if not test.startswith(SOAK)} - there:
            raise pytest.UsageError(f"{NAME}: no test has the id {test}")
    for item in items:
        if item.nodeid in listed:
            reason = f"[{NAME}] it is listed there and passes: take it off"
            item.add_marker(pytest.mark.xfail(strict=not listed[item.nodeid].at_times, reason=reason))


def pytest_terminal_summary(terminalreporter, config: pytest.Config) -> None:
    """Name what failed and was passed over, and what fails at times and passed."""
    listed = config.stash.get(LISTED, {})
    for outcome, label in (("xfailed", "KNOWN RED"), ("xpassed", "KNOWN RED AT TIMES, PASSED")):
        for report in terminalreporter.stats.get(outcome, []):
            if report.nodeid in listed:
                known = listed[report.nodeid]
                terminalreporter.write_line(f"{label} {known.test}: {known.cause} (issue {known.issue})")
