"""A worker's report that arrives after the answer to a call which was made later: it gets its commands all the same.

The failure: over links of nearly a second each way machines were called between two reports, and each report was
dropped as older than the answer to a call. Nothing started there, and machine after machine was returned as one that
receives no answers.
"""

import pytest

from standins import job
from tideusher.core.lead.reports import Reports
from tideusher.wire.workers import Report, TaskReport


def report(harness, serial, *tasks, session=1, token=None):
    items = [TaskReport(name, attempt, state) for name, attempt, state in tasks]
    token = harness.cluster.token if token is None else token
    return Report("host-1", "127.0.0.1:9", "m4", "a", False, session, serial, token, None, items)


def called(harness, serial, *tasks, **fields):
    """Has the leader hear the answer to a direct call."""
    Reports(harness.cluster).apply(report(harness, serial, *tasks, **fields), harness.clock.now_us())


@pytest.fixture
def placed(harness):
    """A leader with a task that has its place on host-1, which has reported once."""
    return harness.place(job("batch", 1, estimate_s=900.0))


def started(commands):
    return [command.task for command in commands if command.op == "run"]


def test_a_report_overtaken_by_a_call_is_answered_with_what_is_due(harness, placed):
    called(harness, 3)
    assert started(harness.report("host-1", 2)) == [f"{placed.spec.id}/0"]
    assert placed.live[0].sent == (1, 3)  # only a report after the call can prove that the task isn't there
    called(harness, 5)
    assert placed.live[0].sent == (1, 3)  # the answer may be on its way
    assert started(harness.report("host-1", 4)) == []  # sent before that call; later than the start
    assert started(harness.report("host-1", 6)) == [f"{placed.spec.id}/0"]  # the answer was lost


def test_what_an_overtaken_report_lists_changes_nothing(harness, placed):
    harness.report("host-1", 2)
    called(harness, 5, (f"{placed.spec.id}/0", 1, "running"))
    assert placed.live[0].state == "running"
    assert started(harness.report("host-1", 4)) == []
    assert placed.live[0].state == "running" and placed.live[0].running_us is not None


@pytest.mark.parametrize("late", [{"serial": 1}, {"serial": 9, "session": 0}])
def test_copies_and_earlier_sessions_are_still_ignored(harness, placed, late):
    called(harness, 12)
    assert harness.report("host-1", **late) == [] and placed.live[0].sent is None


def test_a_machine_whose_reports_are_overtaken_is_not_behind(harness, placed):
    harness.clock.pass_s(1.0)
    harness.report("host-1", 2, token=0)  # of before our election
    machine = harness.cluster.machines["host-1"]
    assert machine.behind_us
    called(harness, 4)
    harness.report("host-1", 3)
    assert not machine.behind_us and machine.last_report_us == harness.clock.now_us()
