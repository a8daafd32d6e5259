"""The state service refuses the leader alone, and at that moment a job is cancelled at another controller.

A report that the worker sends after the user was told must not be answered with a start of that job.
"""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from world import HELD, RULE_BROKEN, CouldNotRun, Record, array, play, service, sofia  # noqa: E402

#: When the next job comes after a report, and how long after the user was told the machine reports again. Between two
#: reports there are `report_s`, give or take a quarter.
SUBMIT_AFTER_S, REPORT_AFTER_S = 0.2, 0.3
REFUSED_FOR_S = 10.0
FIRST, JOB = "req-000001", "req-000002"


def case(record: Record, trouble: bool) -> int:
    world = sofia(record)
    try:
        world.start_controllers()
        world.need("a leader", lambda: world.leader() is not None, 15.0)
        leader = world.leader()
        assert leader is not None
        world.near = leader
        others = [node for node in world.nodes if node is not leader]
        # A first job brings a machine in the leader's zone, which reports to the leader, and the image to it.
        first = array(FIRST, world.teams[0], 1, harbor=leader.zone)
        world.run_s[FIRST] = 3.0
        if not world.submit(first, others, 10.0):
            raise CouldNotRun("the first submission was not accepted")
        world.need("the first job is done", lambda: world.status(others[0], FIRST).get("status") == "done", 40.0)
        (worker,) = world.workers.values()
        time.sleep(3.5)
        # The next job comes right after a report of the machine and has its place before the next one.
        seen_at = worker.last_report_at
        while worker.last_report_at == seen_at:
            time.sleep(0.002)
        latest = worker.next_report_at = worker.last_report_at + 1.25 * world.report_s
        earliest = worker.last_report_at + 0.75 * world.report_s
        time.sleep(SUBMIT_AFTER_S)
        if not world.submit(service(JOB, world.teams[0], harbor=leader.zone), [others[0]], 2.0):
            raise CouldNotRun("the submission was not accepted")
        if not world.wait_for("a place", lambda: world.status(leader, JOB).get("running") == 1, 0.8, 0.02):
            raise CouldNotRun("the job had no place in time")
        if trouble:
            world.state.refused.add(leader.name)
            refused_at = time.monotonic()
            record.write("state", f"refuses {leader.name}, the leader, alone")
        answer = world.user(others[1], "POST", f"/work/{JOB}/abort", {})
        told_at = record.now()
        if answer is None or answer[0] != 200 or answer[1].get("status") != "withdrawn":
            raise CouldNotRun("the cancellation was not confirmed")
        worker.next_report_at = max(earliest, time.monotonic() + REPORT_AFTER_S)
        if worker.next_report_at > latest:
            raise CouldNotRun("the machine had to report before")
        if trouble:
            time.sleep(max(0.0, refused_at + REFUSED_FOR_S - time.monotonic()))
            world.state.refused.clear()
            record.write("state", f"serves {leader.name} again")
        time.sleep(8.0)
        broken = False
        for task in world.placed:
            if task.piece.startswith(f"{JOB}/"):
                # A start in flight when the user was told is allowed: then the report was sent before.
                if task.report_at is None or task.report_at <= told_at:
                    raise CouldNotRun("the machine's report was sent before the user was told")
                record.write(
                    "case",
                    f"{task.piece} began {task.began_at - told_at:.3f} s after the user was told, by the answer to a "
                    f"report sent {task.report_at - told_at:.3f} s after it, and was on the machine for "
                    f"{(task.left_at or record.now()) - task.began_at:.3f} s",
                )
                broken = True
        return RULE_BROKEN if broken else HELD
    finally:
        world.end()


play(FOLDER, case)
