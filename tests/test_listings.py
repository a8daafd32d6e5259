"""Machines that the cloud's list leaves out: gone, and said to be by nobody else.

The failure: a zone lost its only machine without a notice. Nothing of the zone was heard, so it counted as cut off;
the machine was never given up, and its job was called running for as long as it was asked for (review/6).
"""

import pytest

from standins import LeaderHarness, job
from tideusher.core.decide.mass_failures import MASS_FAILURE_MACHINES
from tideusher.core.model.records import RETURNING
from tideusher.wire.cloud import BOOTING, FAILED, UP, ListedMachine

LAG_S = 2.0  # of the tests' deployment
OLDEST_S = 2 * LAG_S


def listed(*names, state=UP):
    return [ListedMachine(name, name, "m4", "a", False, state, 60.0) for name in names]


@pytest.fixture
def placed(harness):
    """A leader whose only machine has a task and was last heard now."""
    harness.place(job("batch", 1, estimate_s=900.0), "host-1")
    return harness


def receive(harness, listing, age_s=0.0):
    """Has the leader receive a list that was requested `age_s` ago."""
    now_us = harness.clock.now_us()
    harness.cluster.listed(listing, now_us, now_us - round(age_s * 1e6))
    return harness.cluster.machines["host-1"].phase == RETURNING


def test_the_only_machine_of_a_deployment_is_given_up_once_a_list_leaves_it_out(placed):
    placed.clock.pass_s(OLDEST_S + 2.0)
    assert receive(placed, [])
    placed.commit()
    placed.cluster.returned(["host-1"], placed.clock.now_us())
    assert all(one.pending == 1 and not one.live for one in placed.cluster.jobs.values())


@pytest.mark.parametrize("state", [UP, BOOTING])
def test_a_silent_machine_behind_a_cut_is_in_the_list_and_is_kept(placed, state):
    placed.clock.pass_s(100.0)
    assert not receive(placed, listed("host-1", state=state))


def test_a_list_that_may_describe_a_time_before_the_rental_proves_nothing(placed):
    placed.clock.pass_s(OLDEST_S + 0.5)
    assert not receive(placed, [])
    placed.clock.pass_s(10.0)
    assert not receive(placed, [], age_s=10.0)  # requested then, and answered late


def test_a_machine_that_was_heard_since_the_request_is_kept(placed):
    placed.clock.pass_s(30.0)
    placed.report("host-1", 9)
    assert not receive(placed, [], age_s=1.0)


def test_many_at_once_are_one_mass_failure():
    harness = LeaderHarness()
    hosts = [f"host-{number}" for number in range(MASS_FAILURE_MACHINES)]
    for host in hosts:
        harness.report(host, 1)
    harness.clock.pass_s(30.0)
    now_us = harness.clock.now_us()
    harness.cluster.listed(listed("host-9", state=FAILED), now_us, now_us)
    (mass_failure,) = harness.cluster.recovery.mass_failures.values()
    assert mass_failure.machines == len(hosts)


def test_a_zone_that_loses_its_only_machine_and_its_controller_runs_its_job_elsewhere(sim):
    """review/6: the job runs again on the machine of another zone within 90 s."""
    sim = sim(machines=2)
    spec = sim.submit(job("batch", 1, estimate_s=900.0), sim.leader())
    sim.run(10.0)
    ((worker, _),) = sim.on_machines(spec.id)
    sim.capacity = 0
    for name in [name for name in sim.names if sim.zone_of[name] == worker.zone and name in sim.nodes]:
        sim.end(name, back_s=5.0)
    worker.dead = True
    del sim.workers[worker.name]
    sim.run(60.0)
    ((other, _),) = sim.on_machines(spec.id)
    assert other.zone != worker.zone
