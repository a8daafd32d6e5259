"""What `tools/play_served.py` calls a failed day: each planted fault is found, and a day without one passes."""

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
    "   20.0000 berth-1 I cluster: job req-000001 is done",
    "   95.0000 berth-0 I users: accepted req-000004 of blue: batch of 1",
    "day seed 1: 100.0 s, up to 9 machines, 3 nodes (9 s of real time)",
    "day                9   0.75  8/9",
    "to play it took 2 s for the world, 150.0 s in the processes' own code and 9.0 s in the kernel, in 9 turns",
]


def report(**changed):
    one = {"jobs": 10, "accepted": 10, "started": 9, "done": 8, "cancelled": 1}
    node = {"panics": 0, "restarts": [], "memory_peak_mb": 30.2, "connections_peak": 90}
    base = {
        "duration_s": 100.0,
        "rules_broken": {"total": 0, "by_kind": {}},
        "classes": {"fit": one, "web": {**one, "done": 0}},
        "users": {"errors": {"503": 3}},
        "node_stats": [node],
    }
    return {**base, **changed}


FAULTS = {
    "RULES": report(rules_broken={"total": 2, "by_kind": {"quota": 2}}),
    "ENDED": report(node_stats=[{**report()["node_stats"][0], "panics": 1}]),
    "STARVED": report(classes={"fit": {**report()["classes"]["fit"], "done": 4}}),
}


def test_a_day_on_which_all_is_served_passes_with_its_figures():
    cells, bad = played.row("site", "day", 1, report(), "\n".join(LOG))
    assert not bad and cells[4:7] == ["0.75", "0.89 fit done", "0.50 red"] and cells[7] == "3" and cells[9] == "161"


@pytest.mark.parametrize("fault", FAULTS)
def test_each_planted_fault_fails_the_day(fault):
    cells, bad = played.row("site", "day", 1, FAULTS[fault], "\n".join(LOG))
    assert bad and cells[-1].startswith(fault)


def test_a_starved_team_and_a_day_that_is_too_slow_fail_it():
    assert played.row("site", "day", 1, report(), "\n".join(LOG[:4] + LOG[5:]))[0][-1] == "STARVED"
    slow = "\n".join(LOG).replace("150.0 s in the", "420.0 s in the")
    assert played.row("site", "day", 1, report(), slow)[0][-1] == "SLOW"
