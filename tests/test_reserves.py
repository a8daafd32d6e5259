"""Capacity reserved for expected work is kept from a waiting job for a time, not for ever.

The failure: a guest's job without GPUs lost its spot machine, the cloud had no other, and the job waited for as long
as it was looked at beside an ordinary machine with 14 free CPUs, kept from it by the warm reserve (review/8).
"""

import pytest

from standins import LeaderHarness, job
from tideusher.core.decide.placement import Demand
from tideusher.core.decide.reserves import MAX_KEPT_OUT_US

#: A class with a warm reserve, and what is reserved for it.
WARM = (job("service", 1, job_class="web"), 4)
#: Work that must have an ordinary machine.
ORDINARY = Demand(1.0, 1.0, 1.0)


@pytest.fixture
def reserved():
    """A leader with a machine that is up and empty, all of it reserved for expected work."""
    harness = LeaderHarness()
    harness.report("host-1", 1)
    harness.commit()
    harness.cluster.fleet.refresh_warm = lambda now_us, used: None
    harness.cluster.fleet.warm = [WARM]
    return harness


def run_passes(harness, seconds):
    for _ in range(round(seconds)):
        harness.clock.pass_s(1.0)
        harness.report("host-1", harness.cluster.machines["host-1"].serial + 1)
        harness.scheduler.schedule(harness.clock.now_us())


@pytest.mark.parametrize(
    "demand",
    [
        {"gpus": 0.0, "cpus": 4.0},  # kept from machines with free GPUs
        {"gpus": 2.0},  # of a class without a reserve of its own
    ],
)
def test_a_job_that_nothing_runs_of_gets_one_place_in_the_reserve(reserved, demand):
    small = reserved.submit(job("batch", 3, job_class="small", **demand))
    run_passes(reserved, MAX_KEPT_OUT_US / 1e6 - 2)
    assert not small.live
    run_passes(reserved, 4)
    assert len(small.live) == 1
    run_passes(reserved, 60)
    assert len(small.live) == 1  # the rest of the reserve stays


def test_a_spot_job_gets_an_ordinary_machine_that_others_may_need(reserved):
    reserved.cluster.fleet.warm = []
    reserved.place(job("service", 1), "host-1")  # it keeps the machine from being returned
    spot = reserved.submit(job("batch", 3, spot=True, gpus=1.0))
    for second in range(round(MAX_KEPT_OUT_US / 1e6) + 3):
        reserved.scheduler._ordinary_demand = ORDINARY
        run_passes(reserved, 1)
        assert bool(spot.live) == (second >= MAX_KEPT_OUT_US / 1e6), second


def test_a_gang_gets_all_of_its_places_or_none(reserved):
    gang = reserved.submit(job("gang", 2, job_class="small", gpus=2.0))
    run_passes(reserved, MAX_KEPT_OUT_US / 1e6 + 3)
    assert len(gang.live) == 2


def test_a_job_with_room_elsewhere_leaves_the_reserve_alone(reserved):
    reserved.report("host-2", 1, spot=True)
    small = reserved.submit(job("batch", 3, job_class="small", gpus=0.0, spot=True))
    run_passes(reserved, 60)
    assert {task.machine.name for task in small.live.values()} == {"host-2"}
