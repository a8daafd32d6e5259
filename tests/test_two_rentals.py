"""A machine that two rentals name must not stop the processing of confirmed returns.

The leader's handler of the cloud's confirmation once ended with `ValueError: list.remove(x): x not in list`, and
the machines after that one in the answer stayed, with their tasks, until the next leader. A machine was returned
(538.9 s), a late copy of its last report had it adopted and its return requested at once (539.1 s), and the
leadership changed (540.4 s) before the record of its first rental was written. The next leader read two records
that name the machine: the first rental owned it, only the adoption listed it as returning, and `Cluster.returned`
removed the name from the owner's list.

Found by the soak with `--workers 4000`, seed 67 (four times "message returned failed", host-000574); `two_records`
writes the records that reproduce it.
"""

import itertools

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from standins import LeaderHarness, job, make_config
from tideusher.config import Policy
from tideusher.core.decide.mass_failures import MASS_FAILURE_MACHINES
from tideusher.core.model import keys
from tideusher.core.model.cluster_state import ClusterState
from tideusher.core.model.records import RETURNING
from tideusher.wire.cloud import FAILED, ListedMachine
from tideusher.wire.state import Delete, Put

OWNER, ADOPTION = "1-1", "adopted-host-1"
BOTH = (OWNER, ADOPTION)


def rental_value(machines, returning=(), answered=True, count=None):
    number = len(machines) if count is None else count
    kind = {"type": "m4", "zone": "a", "spot": False, "count": number}
    return {**kind, "answered": answered, "machines": list(machines), "returning": list(returning)}


def write(harness, key, value):
    assert harness.state.txn([], [Put(key, value) if value is not None else Delete(key)])


def two_records(harness, returning):
    """Writes two rentals that name host-1, of which those in `returning` state that its return was requested."""
    for name, hosts in ((OWNER, ["host-1", "host-2"]), (ADOPTION, ["host-1"])):
        asked = ["host-1"] if name in returning else []
        write(harness, keys.rental_key(name), rental_value(hosts, asked))


def rentals_naming(harness, host):
    """Returns the keys of the stored rentals that name the machine."""
    records = harness.state.read_all().items()
    return [key for key, (value, _) in records if key.startswith(keys.RENTAL_PREFIX) and host in value["machines"]]


def requested_returns(harness):
    """Writes everything; returns the machines whose return the cloud is asked for."""
    harness.commit()
    asked, harness.cluster.to_return = harness.cluster.to_return, []
    return [machine.name for machine in asked]


def confirm_all_returns(harness):
    """Confirms all returns until none is requested any more."""
    for _ in range(5):
        if not (names := requested_returns(harness)):
            return
        harness.cluster.returned(names, harness.clock.now_us())
    raise AssertionError("returns are requested without end")


@pytest.mark.parametrize("returning", [(OWNER,), (ADOPTION,), BOTH])
def test_a_confirmation_of_many_returns_is_processed_completely(returning):
    harness = LeaderHarness()
    spec = job("batch", 2, gpus=4.0)
    placed = harness.place(spec, "host-8", "host-9")
    two_records(harness, returning)
    harness.elect()
    placed = harness.cluster.jobs[spec.id]
    for name in ("host-8", "host-9"):
        harness.cluster.request_return(harness.cluster.machines[name], "the test has it returned")
    assert len(placed.live) == 2
    confirm_all_returns(harness)
    assert not placed.live and placed.pending == 2
    assert set(harness.cluster.machines) == {"host-2"}
    assert not any(rentals_naming(harness, name) for name in ("host-1", "host-8", "host-9"))
    assert {name: rental.machines for name, rental in harness.cluster.rentals.items()} == {OWNER: ["host-2"]}


@pytest.mark.parametrize("returning", [(), (OWNER,), (ADOPTION,), BOTH])
def test_no_later_leader_inherits_a_machine_that_is_gone(returning):
    harness = LeaderHarness()
    two_records(harness, returning)
    harness.elect()
    if not returning:
        harness.commit()
        assert rentals_naming(harness, "host-1") == [keys.rental_key(OWNER)]
        harness.cluster.request_return(harness.cluster.machines["host-1"], "the test has it returned")
    confirm_all_returns(harness)
    harness.elect()
    assert set(harness.cluster.machines) == {"host-2"} and set(harness.cluster.rentals) == {OWNER}


@pytest.mark.parametrize("returning", [(OWNER,), (ADOPTION,), BOTH])
@pytest.mark.parametrize("answered", [False, True])
def test_a_machine_whose_return_was_asked_is_never_used_whichever_write_was_the_last(returning, answered):
    """The leader changes after each write, one per transaction; the return may have been confirmed before."""
    for writes in itertools.count():
        harness = LeaderHarness()
        two_records(harness, returning)
        harness.elect()
        for _ in range(writes):
            if answered:
                asked, harness.cluster.to_return = harness.cluster.to_return, []
                harness.cluster.returned([machine.name for machine in asked], harness.clock.now_us())
            batch = harness.cluster.write_queue.next_batch(1)
            if batch is None:
                break
            harness.cluster.write_queue.batch_committed(harness.state.txn(batch.guards, batch.writes))
        else:
            batch = True
        harness.elect()
        machine = harness.cluster.machines.get("host-1")
        assert machine is None or machine.phase == RETURNING, f"usable after {writes} writes"
        confirm_all_returns(harness)
        assert not rentals_naming(harness, "host-1")
        if batch is None:
            return


def test_a_returned_machine_is_adopted_by_a_late_report_before_a_change_of_leader():
    """Returned in a mass failure, adopted through a late copy, then a new leader before the rental is written."""
    harness = LeaderHarness()
    write(harness, keys.rental_key(OWNER), rental_value(["host-1", "host-2", "host-3"]))
    harness.elect()
    harness.report("host-1", 1)
    failed_machines = [(harness.cluster.machines[name], "silent") for name in ("host-1", "host-3")]
    harness.cluster.recovery.return_failed("a", failed_machines, harness.clock.now_us())
    names = requested_returns(harness)
    assert sorted(names) == ["host-1", "host-3"]
    harness.cluster.returned(["host-1"], harness.clock.now_us())
    harness.report("host-1", 2, token=0)  # a late copy: adopted, and its return is requested at once
    adoption = harness.cluster.rentals[ADOPTION]
    write(harness, keys.rental_key(ADOPTION), adoption.value())
    harness.elect()
    assert sorted(rentals_naming(harness, "host-1")) == [keys.rental_key(OWNER), keys.rental_key(ADOPTION)]
    confirm_all_returns(harness)
    assert set(harness.cluster.machines) == {"host-2"}
    assert not rentals_naming(harness, "host-1") and not rentals_naming(harness, "host-3")


@pytest.mark.parametrize("saved", [False, True])
def test_a_machine_that_was_adopted_with_its_return_asked_is_returning_in_its_rental_too(saved):
    """The rental's answer comes late. Without the owner's record the adoption's is not removed."""
    harness = LeaderHarness()
    write(harness, keys.rental_key(OWNER), rental_value([], answered=False, count=2))
    harness.elect()
    rental = harness.cluster.rentals[OWNER]
    harness.report("host-1", 1)
    harness.cluster.request_return(harness.cluster.machines["host-1"], "the test has it returned")
    if saved:
        harness.commit()
    harness.cluster.renting.rented(rental, ["host-1", "host-2"], harness.clock.now_us())
    while (batch := harness.cluster.write_queue.next_batch(1)) is not None:
        harness.cluster.write_queue.batch_committed(harness.state.txn(batch.guards, batch.writes))
        values = [harness.state.value_of(key) for key in rentals_naming(harness, "host-1")]
        assert saved <= any("host-1" in value["returning"] for value in values)
    assert rentals_naming(harness, "host-1") == [keys.rental_key(OWNER)]
    confirm_all_returns(harness)
    assert not rentals_naming(harness, "host-1") and set(harness.cluster.machines) == {"host-2"}


def test_names_in_an_answer_of_the_cloud_that_are_unknown_repeated_or_gone_lose_nothing_else(caplog):
    harness = LeaderHarness()
    for name in ("host-1", "host-2", "host-3"):
        harness.report(name, 1)
    for name in ("host-1", "host-3"):
        harness.cluster.request_return(harness.cluster.machines[name], "the test has it returned")
    requested_returns(harness)
    harness.cluster.returned(["host-1", "host-1", "host-77", "host-2", "host-3"], harness.clock.now_us())
    harness.cluster.returned(["host-3"], harness.clock.now_us())
    assert set(harness.cluster.machines) == {"host-2"}  # nobody requested its return
    errors = [text for text in caplog.messages if "nobody requested it" in text]
    assert len(errors) == 2 and "host-77" in errors[0] and "host-2" in errors[1]
    harness.commit()
    assert not rentals_naming(harness, "host-1") and not rentals_naming(harness, "host-3")


def test_names_in_the_answer_to_a_rental_that_are_repeated_lose_nothing_else(caplog):
    harness = LeaderHarness()
    write(harness, keys.rental_key(OWNER), rental_value([], answered=False, count=3))
    harness.elect()
    harness.cluster.renting.rented(
        harness.cluster.rentals[OWNER], ["host-1", "host-1", "host-2"], harness.clock.now_us()
    )
    assert harness.cluster.rentals[OWNER].machines == ["host-1", "host-2"]
    assert [text for text in caplog.messages if "host-1 twice" in text]


def test_a_list_of_the_cloud_that_names_machines_twice_counts_each_once():
    """The names of a mass failure's machines are stored until each is returned; one listed twice stayed stored."""
    harness = LeaderHarness()
    hosts = [f"host-{number}" for number in range(MASS_FAILURE_MACHINES + 1)]
    for host in hosts:
        harness.report(host, 1)
    listing = [ListedMachine(host, host, "m4", "a", False, FAILED, 5.0) for host in [*hosts, *hosts]]
    harness.cluster.listed(listing, harness.clock.now_us())
    (mass_failure,) = harness.cluster.recovery.mass_failures.values()
    assert mass_failure.machines == len(hosts)
    confirm_all_returns(harness)
    assert not harness.cluster.machines and not mass_failure.parts
    assert keys.fall_key(mass_failure.name, 1) not in harness.state.items


# ---------------------------------------------------------------- replication by a standby

HOSTS = ("host-1", "host-2")
NAMES = (OWNER, "1-2", "adopted-host-1", "adopted-host-2")
RENTALS = st.tuples(
    st.sampled_from(NAMES),
    st.one_of(st.none(), st.dictionaries(st.sampled_from(HOSTS), st.booleans(), min_size=1)),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(RENTALS, min_size=1, max_size=10))
@example([(OWNER, {"host-1": False}), (ADOPTION, {"host-1": True}), (ADOPTION, None)])
def test_who_names_a_machine_is_the_same_for_a_follower_and_a_rebuild(writes):
    """In every order of the records of rentals and adoptions and of their removal."""
    harness = LeaderHarness()
    follower = ClusterState(make_config(), Policy(), 0, harness.clock.wall_us, harness.state.record_of)
    follower.build(harness.state.read_all(), 0)
    for name, hosts in writes:
        key = keys.rental_key(name)
        if hosts is None and key not in harness.state.items:
            continue
        asked = [host for host, told in (hosts or {}).items() if told]
        value = None if hosts is None else rental_value(hosts, asked, count=2)  # what it asked for never changes
        write(harness, key, value)
        follower.apply(key, value, harness.state.tide, 0)
        rebuilt = ClusterState(make_config(), Policy(), 0, harness.clock.wall_us, harness.state.record_of)
        rebuilt.build(harness.state.read_all(), 0)
        assert follower.comparable() == rebuilt.comparable()
