"""`tools/play_served.py` fails a day for each planted fault, and passes a day without one."""

import importlib.util
from pathlib import Path

import pytest

SPEC = importlib.util.spec_from_file_location("played", Path(__file__).parent.parent / "tools" / "play_served.py")
played = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(played)

LOG = [
    "   10.0000 berth-0 I users: accepted req-000001 of red: batch of 4",
    "   11.0000 berth-0 I users: accepted req-000002 of red: gang of 2",
    "   12.0000 berth-0 I users: accepted req-000003 of blue: batch of 9",
    "   13.0000 berth-0 I users: cancelled req-000003 for its user",
    "   13.9000 berth-1 I cluster: stop req-000003/8 attempt 1 on host-000001: its user cancelled it",
    "   14.0000 berth-1 I cluster: job req-000001 of red runs whole: 4 tasks, 30.0 s after it came",
    "   15.0000 berth-1 I cluster: job req-000002 of red runs whole: 2 tasks, 0.5 s after it came",
    "   20.0000 berth-1 I cluster: job req-000001 is done",
    "   95.0000 berth-0 I users: accepted req-000004 of blue: batch of 1",
    "day seed 1: 100.0 s, up to 9 machines, 3 nodes (9 s of real time)",
    "day                9   0.75  8/9",
    "to play it took 2 s for the world, 150.0 s in the processes' own code and 9.0 s in the kernel, in 9 turns",
]


def report(**changed):
    counts = {"jobs": 10, "accepted": 10, "started": 9, "done": 8, "cancelled": 1}
    node = {"panics": 0, "restarts": [], "memory_peak_mb": 30.2, "connections_peak": 90}
    defaults = {
        "duration_s": 100.0,
        "rules_broken": {"total": 0, "by_kind": {}},
        "classes": {"fit": counts, "web": {**counts, "done": 0}},
        "users": {"errors": {"503": 3}},
        "largest": {"fit": {"jobs": 4, "started": 3}, "web": {"jobs": 0, "started": 0}},
        "node_stats": [node],
        "idle": {"neglected": 0, "displaced": 0, "slips": {}},
    }
    return {**defaults, **changed}


FAULTS = {
    "RULES": report(rules_broken={"total": 2, "by_kind": {"quota": 2}}),
    "ENDED": report(node_stats=[{**report()["node_stats"][0], "panics": 1}]),
    "RULES {'forgotten': 1} UNANSWERED": report(rules_broken={"total": 1, "by_kind": {"forgotten": 1}}),
    "STARVED by size": report(largest={"fit": {"jobs": 4, "started": 1}}),
    "NEGLECTED 2": report(idle={"neglected": 2, "slips": {}}),
    "SLIPS {'started_cancelled': 1}": report(idle={"neglected": 0, "slips": {"started_cancelled": 1}}),
    "STARVED": report(classes={"fit": {**report()["classes"]["fit"], "done": 4}}),
}


def test_day_without_faults_passes_and_shows_its_figures():
    cells, bad = played.row("site", "day", 1, report(), "\n".join(LOG))
    assert not bad and cells[4:9] == ["0.75", "0.89 fit done", "0.50 red", "0.75 fit", "30"]
    assert cells[9:12] == ["0", "0", "1"] and cells[12] == "3" and cells[14] == "161"


@pytest.mark.parametrize("fault", FAULTS)
def test_planted_fault_fails_the_day(fault):
    cells, bad = played.row("site", "day", 1, FAULTS[fault], "\n".join(LOG))
    assert bad and cells[-1].startswith(fault.removesuffix(" by size"))


def test_starved_team_or_too_much_processor_time_fails_the_day():
    assert (
        played.row("site", "day", 1, report(), "\n".join(line for line in LOG if "is done" not in line))[0][-1]
        == "STARVED"
    )
    slow = "\n".join(LOG).replace("150.0 s in the", "420.0 s in the")
    assert played.row("site", "day", 1, report(), slow)[0][-1] == "SLOW"


def test_large_job_that_starts_after_four_minutes_fails_the_day_but_a_small_one_does_not():
    late_log = "\n".join(LOG).replace("30.0 s after", "250.0 s after")
    assert played.row("site", "day", 1, report(), late_log)[0][-1] == "LATE req-000001"
    next_leader = "   16.0000 berth-2 I cluster: job req-000001 of red runs whole: 4 tasks, 260.0 s after it came"
    assert played.row("site", "day", 1, report(), "\n".join([*LOG[:8], next_leader, *LOG[8:]]))[0][-1] == "ok"
    small = ["   16.0 berth-0 I users: accepted req-000005 of red: batch of 1"]
    small += [
        "   18.0 berth-0 I cluster: job req-000005 is done",
        "   17.0 berth-0 I cluster: job req-000005 of red runs whole: 1 tasks, 250.0 s after it came",
    ]
    assert played.row("site", "day", 1, report(), "\n".join(LOG[:9] + small + LOG[9:]))[0][-1] == "ok"


def test_latest_stop_is_the_delay_from_confirmed_cancellation_to_the_last_stop_of_the_job():
    late_stop = "   52.0000 berth-2 I cluster: stop req-000003/8 attempt 1 on host-000001: its user cancelled it"
    other_job = "   60.0000 berth-2 I cluster: stop req-000001/8 attempt 1 on host-000001: its user cancelled it"
    assert played.latest_stop("\n".join([*LOG, late_stop, other_job])) == (39.0, "req-000003")
    assert played.row("site", "day", 1, report(), "\n".join([*LOG, late_stop]))[0][11] == "39"
