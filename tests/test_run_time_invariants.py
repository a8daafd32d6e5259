"""What is asserted at run time: each breach is planted, found, counted, and not carried out."""

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
    """Breaches so far, by rule."""
    counts = cluster.metrics.counts
    return {label: count for (name, label), count in counts.items() if name == "invariant_violations"}


def told_to_run(commands):
    return [command.task for command in commands if command.op == "run"]


# The decision itself


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
def test_what_speaks_against_a_start(bed, fields, where, expected):
    assert refusal(bed.submit(job(**fields)), machine(**where), Counter()) == expected


def test_where_the_others_of_a_job_are_speaks_against_a_start(bed):
    together, apart = bed.submit(job(tasks=4, one_zone=True)), bed.submit(job("service", 3, spread=True))
    assert refusal(together, machine(zone="b"), Counter(a=1)) is Refusal.ONE_ZONE
    assert refusal(together, machine(zone="a"), Counter(a=3)) is None
    assert refusal(apart, machine(zone="a"), Counter(a=1)) is None
    assert refusal(apart, machine(zone="a"), Counter(a=2)) is Refusal.SPREAD


def test_a_task_that_has_its_place_is_none_of_the_others(bed):
    placed = bed.place(job("service", 1, spread=True, estimate_s=0.0))
    (task,) = placed.live.values()
    assert refusal(placed, task.machine, zones_of_others(placed, task)) is None
    assert refusal(placed, task.machine, zones_of_others(placed)) is Refusal.SPREAD
    assert not zones_of_others(bed.submit(job(tasks=9)))


# Placing, and telling to run


@breaks_invariants
def test_a_task_is_not_placed_where_it_may_not_run_whoever_chose_the_machine(bed, monkeypatch):
    monkeypatch.setattr(Machine, "allows", lambda self, spec: True)
    bed.report("host-1", 1, spot=True)
    placed = bed.place(job(spot=False), "host-2")
    one = bed.submit(job(spot=False))
    assert bed.cluster.assign(one, [bed.cluster.machines["host-1"]], bed.clock.now_us()) == 0
    assert not one.live and violated(bed.cluster)[Rule.PLACE] >= 1
    assert all(not task.machine.spot for task in placed.live.values())


@breaks_invariants
def test_of_a_gang_nothing_is_placed_if_one_may_not_run_where_it_was_to(bed):
    for name, spot in (("host-1", False), ("host-2", True)):
        bed.report(name, 1, spot=spot)
    gang = bed.submit(job("gang", 2, spot=False))
    machines = [bed.cluster.machines[name] for name in ("host-1", "host-2")]
    assert bed.cluster.assign(gang, machines, bed.clock.now_us()) == 0 and not gang.live


@breaks_invariants
def test_a_machine_that_says_it_is_spot_is_told_to_start_nothing_that_may_not_run_there(bed):
    """The record of its rental says ordinary, and the task is placed before anybody hears the machine's own word."""
    placed = bed.place(job("service", 1, spot=False, estimate_s=0.0), "host-1")
    assert [task.machine.name for task in placed.live.values()] == ["host-1"]
    commands = bed.report("host-1", 2, spot=True)
    assert not told_to_run(commands)
    found = violated(bed.cluster)
    assert (found[Rule.MACHINE_KIND], found[Rule.START]) == (1, 1)
    assert not placed.live and placed.pending == 1  # it goes elsewhere
    bed.report("host-1", 3, spot=True)
    assert violated(bed.cluster) == found  # said once


@breaks_invariants
def test_the_clouds_list_counts_as_the_machines_own_word(bed):
    bed.report("host-1", 1)
    one = bed.cluster.machines["host-1"]
    bed.cluster.check_kind(one, Kind("m4", "b", True), "the cloud's list")
    assert (one.zone, one.spot) == ("b", True) and violated(bed.cluster) == {Rule.MACHINE_KIND: 1}
    bed.cluster.check_kind(one, Kind("m8", "b", True), "the cloud's list")
    assert one.phase == RETURNING


def test_a_task_whose_machine_is_taken_back_before_it_is_told_goes_elsewhere(bed):
    placed = bed.place(job("service", 1, estimate_s=0.0), "host-1")
    bed.cluster.machines["host-1"].drain_reason = "the cloud takes it back"
    assert not told_to_run(bed.report("host-1", 2))
    assert not placed.live and not violated(bed.cluster)
    assert bed.cluster.metrics.counts["starts_withheld", "draining"] == 1


# Rentals


def second_engine(bed):
    """What must never be: another picture under the same token, on what the first one wrote."""
    token = bed.cluster.token
    first = bed.cluster
    second = type(first)(
        bed.config,
        first.policy,
        token,
        bed.clock.now_us(),
        bed.clock.wall_us,
        record_of=bed.state.record_of,
        value_of=bed.state.value_of,
    )
    second.load(bed.state.items, bed.clock.now_us())
    return second


def ask(bed, spot, zone="a"):
    bed.cluster.renting.rent(PlannedRental("m4", zone, spot, 1, "a test"))
    bed.commit()
    (rental,) = bed.cluster.to_rent
    bed.cluster.to_rent.clear()
    return rental


@breaks_invariants
def test_a_rental_is_not_named_as_one_on_record_is(bed):
    rental = ask(bed, spot=True)
    bed.cluster.renting.rented(rental, ["host-1"], bed.clock.now_us())
    bed.commit()
    bed.cluster = second_engine(bed)
    again = ask(bed, spot=False)
    assert again.name != rental.name and violated(bed.cluster) == {Rule.RENTAL_NAME: 1}
    assert bed.state.items[keys.rental_key(rental.name)][0]["spot"] is True


@breaks_invariants
def test_a_rental_on_record_is_not_overwritten_by_another_of_its_name(bed):
    """Both engines begin before either has written."""
    first, second = bed.cluster, second_engine(bed)
    second.renting.rent(PlannedRental("m4", "a", False, 1, "a test"))
    rental = ask(bed, spot=True)
    bed.cluster = second
    bed.commit()
    assert not second.to_rent and not second.renting.asked()  # the cloud hears of it from nobody
    assert violated(second) == {Rule.RENTAL_KIND: 1} and not violated(first)
    assert bed.state.items[keys.rental_key(rental.name)][0]["spot"] is True


@breaks_invariants
def test_a_machine_of_one_rental_does_not_become_anothers(bed):
    rental = ask(bed, spot=True)
    bed.cluster.renting.rented(rental, ["host-1"], bed.clock.now_us())
    other = ask(bed, spot=False)
    bed.cluster.renting.rented(other, ["host-1"], bed.clock.now_us())
    bed.commit()
    assert bed.cluster.machines["host-1"].rental == rental.name and not other.machines
    assert violated(bed.cluster) == {Rule.RENTAL_MACHINES: 1}


def test_a_machine_that_reported_before_its_rental_was_answered_is_the_rentals(bed):
    rental = ask(bed, spot=False)
    bed.report("host-1", 1)
    bed.cluster.renting.rented(rental, ["host-1"], bed.clock.now_us())
    bed.commit()
    assert bed.cluster.machines["host-1"].rental == rental.name and not violated(bed.cluster)
    assert [key for key in bed.state.items if key.startswith(keys.RENTAL_PREFIX)] == [keys.rental_key(rental.name)]


def test_a_rental_without_an_answer_is_asked_again_under_its_name_by_the_next_leader(bed):
    rental = ask(bed, spot=True)
    bed.elect()
    (again,) = bed.cluster.to_rent
    assert (again.name, again.spot) == (rental.name, True)
    bed.cluster.renting.rented(again, ["host-1"], bed.clock.now_us())
    bed.commit()
    assert isinstance(again, Rental) and not violated(bed.cluster)


@breaks_invariants
def test_a_fall_is_not_named_as_one_on_record_is(bed):
    names = [f"host-{number}" for number in range(6)]
    for name in names:
        bed.report(name, 1)
    bed.commit()
    fallen = [(bed.cluster.machines[name], "silent") for name in names[:3]]
    bed.cluster.recovery.return_failed("a", fallen, bed.clock.now_us())
    bed.commit()
    bed.cluster = second_engine(bed)
    bed.cluster.recovery.return_failed("b", [(bed.cluster.machines[names[3]], "silent")], bed.clock.now_us())
    bed.commit()
    assert violated(bed.cluster) == {Rule.FALL_NAME: 1}
    returning = {name for name, machine in bed.elect().machines.items() if machine.phase == RETURNING}
    assert returning == set(names[:4])  # none of the first fall is forgotten, and used


# Terms


@breaks_invariants
def test_a_token_is_led_with_by_one_engine_of_a_process(sim, monkeypatch):
    sim = sim()
    node = sim.nodes[sim.leader()]
    leader, election, token = node.leader, node.election, node.election.token
    assert isinstance(leader, Leader) and leader._last_token == token
    leader._step_down(leader._engine)
    leader.on_take_over(token)  # as if the election had let it
    assert leader._engine is None and election.token is None
    assert node.metrics.counts["invariant_violations", Rule.ONE_TERM] == 1
    sim.run(3.0)
    assert sim.leader() and sim.service.state.stamp_of(keys.LEADER) > token


@breaks_invariants
def test_breaches_are_in_the_metrics(bed):
    bed.cluster.invariants.violated(Rule.START, "a test")
    assert b'tideusher_invariant_violations_total{kind="start"} 1.0' in bed.cluster.metrics.text()
