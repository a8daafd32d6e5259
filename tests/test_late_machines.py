"""Rentals and returns that the cloud carries out late, and machines that come back: no unknown task runs.

The simulated cluster checks the users' rules all the time; these tests also compare what is on the machines with what
the leader knows.
"""

import pytest

from standins import job
from tideusher.core.model.records import RETURNING

JOBS = 10
#: By then a machine has reported to the leader and was told to end what the leader does not know.
KNOWN_WITHIN_S = 3.0


def submit_jobs(cluster, count=JOBS, **fields):
    return [cluster.submit(job("service", 1, **{"gpus": 1.0, "estimate_s": 0.0, **fields})) for _ in range(count)]


def unknown_tasks(cluster):
    """Returns the tasks on machines that the leader does not place there."""
    node = cluster.nodes.get(cluster.leader())
    known = node.leader._cluster if node is not None else None
    assert known is not None, "there is no leader"
    return {
        (worker.name, task.job, task.index, task.attempt)
        for worker in cluster.workers.values()
        for task in worker.on_machine()
        if not _is_placed(known, worker.name, task)
    }


def _is_placed(known, machine, task):
    found = known.jobs.get(task.job)
    placed = found.live.get(task.index) if found is not None else None
    return placed is not None and (placed.machine.name, placed.attempt) == (machine, task.attempt)


def run_known(cluster, seconds):
    """Lets time pass; a task that stays unknown to the leader for longer than KNOWN_WITHIN_S fails the test."""
    since_us = {}
    for _ in range(round(seconds / 0.25)):
        cluster.run(0.25)
        node = cluster.nodes.get(cluster.leader())
        if node is None or node.leader._cluster is None:
            since_us.clear()
            continue
        now_us, unknown = cluster.clock.us, unknown_tasks(cluster)
        since_us = {task: since_us.get(task, now_us) for task in unknown}
        late = [task for task, at_us in since_us.items() if now_us - at_us > KNOWN_WITHIN_S * 1e6]
        assert not late, f"unknown to the leader: {late}"


def replace_leader(cluster, how):
    """Has another controller lead: `no`, after an end of the `leader`, or of `all` controllers."""
    ended = {"no": [], "leader": [cluster.leader()], "all": list(cluster.nodes)}[how]
    for name in ended:
        cluster.end(name, back_s=0.5)


def assert_all_run(cluster, specs):
    for spec in specs:
        assert len(cluster.on_machines(spec.id)) == 1, spec.id
    assert not unknown_tasks(cluster)


CHANGES = ["no", "leader", "all"]


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("late_s", [2.0, 15.0, 45.0])
def test_machines_of_rentals_that_are_carried_out_late_are_known_and_used_or_returned(sim, late_s, change):
    cluster = sim(machines=1)
    cluster.rentals_late_s = late_s
    specs = submit_jobs(cluster)
    run_known(cluster, 5.0)
    replace_leader(cluster, change)
    run_known(cluster, late_s + 10.0)
    cluster.rentals_late_s = 0.0
    for spec in specs[: JOBS // 2]:
        cluster.cancel(spec)
    run_known(cluster, 60.0)
    assert_all_run(cluster, specs[JOBS // 2 :])
    known = cluster.nodes[cluster.leader()].leader._cluster
    assert set(cluster.workers) <= set(known.machines)


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("late_s", [1.0, 8.0, 30.0])
def test_machine_whose_return_is_carried_out_late_gets_no_work_meanwhile(sim, late_s, change):
    cluster = sim(machines=1)
    cluster.run(1.0)
    first = submit_jobs(cluster, 8)
    run_known(cluster, 15.0)
    assert_all_run(cluster, first)
    cluster.returns_late_s = late_s
    for spec in first:
        cluster.cancel(spec)
    known = cluster.nodes[cluster.leader()].leader._cluster
    for _ in range(400):  # until idle machines are being returned
        run_known(cluster, 0.5)
        returning = {name for name, machine in known.machines.items() if machine.phase == RETURNING}
        if returning:
            break
    assert returning
    replace_leader(cluster, change)
    second = submit_jobs(cluster, 8)
    for _ in range(round((late_s + 10.0) / 0.25)):
        run_known(cluster, 0.25)
        used = [name for name in returning & cluster.workers.keys() if cluster.workers[name].on_machine()]
        assert not used
    cluster.returns_late_s = 0.0
    run_known(cluster, 40.0)
    assert_all_run(cluster, second)


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("after_s", [0.05, 0.9, 4.0, 9.0])
def test_machine_that_comes_back_under_its_name_with_nothing_on_it_is_known_anew(sim, after_s, change):
    """Its worker counts sessions and reports from the beginning again."""
    cluster = sim(machines=3)
    specs = submit_jobs(cluster, 6)
    run_known(cluster, 20.0)
    assert_all_run(cluster, specs)
    for name in list(cluster.workers)[:2]:
        cluster.restart_machine(name, after_s)
    replace_leader(cluster, change)
    run_known(cluster, 60.0)
    assert_all_run(cluster, specs)


@pytest.mark.parametrize("after_s", [0.05, 0.9])
def test_work_of_a_machine_that_restarted_after_a_long_time_runs_again_within_a_minute(sim, after_s):
    """Its reports count from the beginning, so they look older than those of its former life."""
    cluster = sim(machines=3)
    specs = submit_jobs(cluster, 6)
    run_known(cluster, 200.0)
    for name in list(cluster.workers)[:2]:
        cluster.restart_machine(name, after_s)
    run_known(cluster, 60.0)
    assert_all_run(cluster, specs)
