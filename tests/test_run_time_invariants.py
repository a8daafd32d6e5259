"""Run-time invariants: each violation is planted, detected, counted and not carried out."""

from collections import Counter

import pytest

from standins import job
from tideusher.actors.leader import Leader
from tideusher.core.decide.fleet import PlannedRental
from tideusher.core.decide.starts import Kind, Refusal, refusal, zones_of_others
from tideusher.core.model import keys
from tideusher.core.model.records import RETURNING, UP, Machine
from tideusher.core.model.rentals import Rental
from tideusher.invariants import Rule

breaks_invariants = pytest.mark.breaks_invariants


def violated(cluster):
    """Returns the violations so far, by rule."""
    counts = cluster.metrics.counts
    return {label: count for (name, label), count in counts.items() if name == "invariant_violations"}


def run_commands(commands):
    return [command.task for command in commands if command.op == "run"]


# Reasons against a start


def machine(name="h", zone="a", spot=False, phase=UP, drain_reason=""):
    one = Machine(name, "m4", zone, spot, "r", 16.0, 4.0, 64.0, 0, phase=phase)
    one.drain_reason = drain_reason
    return one


@pytest.mark.parametrize(
    ("fields", "where", "expected"),
    [
        ({}, {}, None),
        ({"types": ["m8"]}, {}, Refusal.TYPE),
        ({"zone": "b"}, {}, Refusal.ZONE),
        ({}, {"spot": True}, Refusal.SPOT),
        ({"spot": True}, {"spot": True}, None),
        ({}, {"drain_reason": "why"}, Refusal.DRAINING),
        ({}, {"phase": RETURNING, "drain_reason": "why"}, Refusal.RETURNING),
        ({}, {"phase": "booting"}, Refusal.NOT_UP),
    ],
)
def test_reasons_against_a_start(harness, fields, where, expected):
    assert refusal(harness.submit(job(**fields)), machine(**where), Counter()) == expected


def test_zones_of_the_jobs_other_tasks_may_forbid_a_start(harness):
    together, apart = harness.submit(job(tasks=4, one_zone=True)), harness.submit(job("service", 3, spread=True))
    assert refusal(together, machine(zone="b"), Counter(a=1)) is Refusal.ONE_ZONE
    assert refusal(together, machine(zone="a"), Counter(a=3)) is None
    assert refusal(apart, machine(zone="a"), Counter(a=1)) is None
    assert refusal(apart, machine(zone="a"), Counter(a=2)) is Refusal.SPREAD


def test_a_placed_task_does_not_count_among_the_others(harness):
    placed = harness.place(job("service", 1, spread=True, estimate_s=0.0))
    (task,) = placed.live.values()
    assert refusal(placed, task.machine, zones_of_others(placed, task)) is None
    assert refusal(placed, task.machine, zones_of_others(placed)) is Refusal.SPREAD
    assert not zones_of_others(harness.submit(job(tasks=9)))


# Placement and `run`


@breaks_invariants
def test_a_task_is_not_placed_where_it_may_not_run_whoever_chose_the_machine(harness, monkeypatch):
    monkeypatch.setattr(Machine, "allows", lambda self, spec: True)
    harness.report("host-1", 1, spot=True)
    placed = harness.place(job(spot=False), "host-2")
    one = harness.submit(job(spot=False))
    assert harness.cluster.assign(one, [harness.cluster.machines["host-1"]], harness.clock.now_us()) == 0
    assert not one.live and violated(harness.cluster)[Rule.PLACE] >= 1
    assert all(not task.machine.spot for task in placed.live.values())


@breaks_invariants
def test_no_task_of_a_gang_is_placed_if_one_may_not_run_on_its_machine(harness):
    for name, spot in (("host-1", False), ("host-2", True)):
        harness.report(name, 1, spot=spot)
    gang = harness.submit(job("gang", 2, spot=False))
    machines = [harness.cluster.machines[name] for name in ("host-1", "host-2")]
    assert harness.cluster.assign(gang, machines, harness.clock.now_us()) == 0 and not gang.live


@breaks_invariants
def test_a_machine_that_reports_as_spot_gets_no_run_for_a_task_that_may_not_run_there(harness):
    """Its rental's record states ordinary, and the task is placed before the machine reports that it is spot."""
    placed = harness.place(job("service", 1, spot=False, estimate_s=0.0), "host-1")
    assert [task.machine.name for task in placed.live.values()] == ["host-1"]
    commands = harness.report("host-1", 2, spot=True)
    assert not run_commands(commands)
    counts = violated(harness.cluster)
    assert (counts[Rule.MACHINE_KIND], counts[Rule.START]) == (1, 1)
    assert not placed.live and placed.pending == 1  # it is placed elsewhere
    harness.report("host-1", 3, spot=True)
    assert violated(harness.cluster) == counts  # counted once


@breaks_invariants
def test_the_clouds_list_corrects_a_machines_kind(harness):
    harness.report("host-1", 1)
    one = harness.cluster.machines["host-1"]
    harness.cluster.check_kind(one, Kind("m4", "b", True), "the cloud's list")
    assert (one.zone, one.spot) == ("b", True) and violated(harness.cluster) == {Rule.MACHINE_KIND: 1}
    harness.cluster.check_kind(one, Kind("m8", "b", True), "the cloud's list")
    assert one.phase == RETURNING


def test_a_task_whose_machine_is_recalled_before_run_is_sent_is_placed_elsewhere(harness):
    placed = harness.place(job("service", 1, estimate_s=0.0), "host-1")
    harness.cluster.machines["host-1"].drain_reason = "the cloud takes it back"
    assert not run_commands(harness.report("host-1", 2))
    assert not placed.live and not violated(harness.cluster)
    assert harness.cluster.metrics.counts["starts_withheld", "draining"] == 1


# Rentals


def second_engine(harness):
    """Returns a second cluster under the same token on the first one's records, which must never exist."""
    token = harness.cluster.token
    first = harness.cluster
    second = type(first)(
        harness.config,
        first.policy,
        token,
        harness.clock.now_us(),
        harness.clock.wall_us,
        record_of=harness.state.record_of,
        value_of=harness.state.value_of,
    )
    second.load(harness.state.items, harness.clock.now_us())
    return second


def request_rental(harness, spot, zone="a"):
    harness.cluster.renting.rent(PlannedRental("m4", zone, spot, 1, "a test"))
    harness.commit()
    (rental,) = harness.cluster.to_rent
    harness.cluster.to_rent.clear()
    return rental


@breaks_invariants
def test_the_name_of_a_stored_rental_is_not_reused(harness):
    rental = request_rental(harness, spot=True)
    harness.cluster.renting.rented(rental, ["host-1"], harness.clock.now_us())
    harness.commit()
    harness.cluster = second_engine(harness)
    again = request_rental(harness, spot=False)
    assert again.name != rental.name and violated(harness.cluster) == {Rule.RENTAL_NAME: 1}
    assert harness.state.items[keys.rental_key(rental.name)][0]["spot"] is True


@breaks_invariants
def test_a_stored_rental_is_not_overwritten_by_another_of_its_name(harness):
    """Both engines begin before either has written."""
    first, second = harness.cluster, second_engine(harness)
    second.renting.rent(PlannedRental("m4", "a", False, 1, "a test"))
    rental = request_rental(harness, spot=True)
    harness.cluster = second
    harness.commit()
    assert not second.to_rent and not second.renting.asked()  # nobody asks the cloud for it
    assert violated(second) == {Rule.RENTAL_KIND: 1} and not violated(first)
    assert harness.state.items[keys.rental_key(rental.name)][0]["spot"] is True


@breaks_invariants
def test_a_machine_of_one_rental_is_not_assigned_to_another(harness):
    rental = request_rental(harness, spot=True)
    harness.cluster.renting.rented(rental, ["host-1"], harness.clock.now_us())
    other = request_rental(harness, spot=False)
    harness.cluster.renting.rented(other, ["host-1"], harness.clock.now_us())
    harness.commit()
    assert harness.cluster.machines["host-1"].rental == rental.name and not other.machines
    assert violated(harness.cluster) == {Rule.RENTAL_MACHINES: 1}


def test_a_machine_that_reports_before_its_rental_is_answered_belongs_to_the_rental(harness):
    rental = request_rental(harness, spot=False)
    harness.report("host-1", 1)
    harness.cluster.renting.rented(rental, ["host-1"], harness.clock.now_us())
    harness.commit()
    assert harness.cluster.machines["host-1"].rental == rental.name and not violated(harness.cluster)
    assert [key for key in harness.state.items if key.startswith(keys.RENTAL_PREFIX)] == [
        keys.rental_key(rental.name)
    ]


def test_the_next_leader_repeats_an_unanswered_rental_under_its_name(harness):
    rental = request_rental(harness, spot=True)
    harness.elect()
    (again,) = harness.cluster.to_rent
    assert (again.name, again.spot) == (rental.name, True)
    harness.cluster.renting.rented(again, ["host-1"], harness.clock.now_us())
    harness.commit()
    assert isinstance(again, Rental) and not violated(harness.cluster)


@breaks_invariants
def test_the_name_of_a_stored_mass_failure_is_not_reused(harness):
    names = [f"host-{number}" for number in range(6)]
    for name in names:
        harness.report(name, 1)
    harness.commit()
    failed_machines = [(harness.cluster.machines[name], "silent") for name in names[:3]]
    harness.cluster.recovery.return_failed("a", failed_machines, harness.clock.now_us())
    harness.commit()
    harness.cluster = second_engine(harness)
    harness.cluster.recovery.return_failed(
        "b", [(harness.cluster.machines[names[3]], "silent")], harness.clock.now_us()
    )
    harness.commit()
    assert violated(harness.cluster) == {Rule.FALL_NAME: 1}
    returning = {name for name, machine in harness.elect().machines.items() if machine.phase == RETURNING}
    assert returning == set(names[:4])  # no machine of the first mass failure is forgotten and used again


# Terms


@breaks_invariants
def test_only_one_engine_of_a_process_leads_with_a_token(sim, monkeypatch):
    sim = sim()
    node = sim.nodes[sim.leader()]
    leader, election, token = node.leader, node.election, node.election.token
    assert isinstance(leader, Leader) and leader._last_token == token
    leader._step_down(leader._engine)
    leader.on_take_over(token)  # as if the election had allowed it
    assert leader._engine is None and election.token is None
    assert node.metrics.counts["invariant_violations", Rule.ONE_TERM] == 1
    sim.run(3.0)
    assert sim.leader() and sim.service.state.stamp_of(keys.LEADER) > token


@breaks_invariants
def test_violations_are_in_the_metrics(harness):
    harness.cluster.invariants.violated(Rule.START, "a test")
    assert b'tideusher_invariant_violations_total{kind="start"} 1.0' in harness.cluster.metrics.text()
