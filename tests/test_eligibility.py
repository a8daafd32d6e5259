"""Why a job is not placed on a machine with room: one typed answer, each precaution with an end (docs/operations.md).

The failure: precautions without an end kept accepted jobs waiting beside machines with room (review/2, 6, 7 and 8),
and `explain` named neither the precaution nor its end.
"""

import pytest

from standins import LeaderHarness, job
from tideusher.clock import SECOND_US, to_us
from tideusher.core.decide.eligibility import PRECAUTIONS, Obstacle, Reason
from tideusher.core.decide.placement import Demand
from tideusher.core.decide.reserves import MAX_KEPT_OUT_US
from tideusher.core.decide.task_failures import FIRST_AVOIDED_US, SUSPECT_US
from tideusher.core.lead.consolidation import RESERVATION_S
from tideusher.core.lead.explain import explain_job
from tideusher.core.model.records import SEEN, Job, Task

#: The users' bound for a job beside a machine with room.
BOUND_US = 90 * SECOND_US
WARM = (job("service", 1, job_class="web"), 4)


@pytest.fixture
def harness():
    harness = LeaderHarness()
    harness.report("host-1", 1)
    harness.commit()
    harness.cluster.fleet.refresh_warm = lambda now_us, used: None
    return harness


def machine_of(harness):
    return harness.cluster.machines["host-1"]


def failed_there(harness, waiting):
    waiting.record_failure_on("host-1", harness.clock.now_us())


def suspect(harness, waiting):
    others = [harness.submit(job("batch", 1, gpus=8.0)) for _ in range(2)]
    machine_of(harness).failures_by_job = {other.spec.id: 1 for other in others}
    machine_of(harness).suspect_since_us = harness.clock.now_us()


def reserved(harness, waiting):
    other = harness.submit(job("batch", 1, gpus=8.0))  # waits too: no machine has eight GPUs
    machine_of(harness).reserved = other.spec.id
    machine_of(harness).reserved_until_us = harness.clock.now_us() + to_us(RESERVATION_S)


def held(harness, waiting):
    gang = harness.submit(job("gang", 2, gpus=3.0, cpus=9.0, one_zone=True))
    harness.scheduler.eligibility.reservations.held = {"host-1": gang}
    harness.scheduler.eligibility.reservations.update = lambda *args, **more: []


def warm(harness, waiting):
    harness.cluster.fleet.warm = [WARM]


def fetching(harness, waiting):
    other = Job(job("batch", 1, image="img-9", image_gb=5.0), 1, 0, 0)
    task = Task(other, 0, 1, machine_of(harness), SEEN, harness.clock.now_us())
    other.take(task)
    machine_of(harness).add(task)


#: By reason: what brings it about, the demand of the job, and its end after the beginning if it is known.
CAUSES = {
    Reason.FAILED_THERE: (failed_there, {}, FIRST_AVOIDED_US),
    Reason.SUSPECT: (suspect, {}, SUSPECT_US),
    Reason.RESERVED: (reserved, {}, to_us(RESERVATION_S)),
    Reason.HELD: (held, {"priority": "best_effort"}, None),
    Reason.WARM_RESERVE: (warm, {"gpus": 2.0}, MAX_KEPT_OUT_US),
    Reason.GPU_HOST_RESERVE: (warm, {"gpus": 0.0}, MAX_KEPT_OUT_US),
    Reason.FETCHING: (fetching, {}, 5 * SECOND_US),
}


def test_each_precaution_is_brought_about_here_or_elsewhere():
    elsewhere = {Reason.ORDINARY_RESERVE}  # it depends on the queue: test_an_ordinary_machine_...
    assert set(CAUSES) | elsewhere == PRECAUTIONS


@pytest.mark.parametrize("reason", CAUSES)
def test_the_answer_is_typed_ends_within_the_bound_and_is_what_placement_goes_by(harness, reason):
    cause, demand, lasts_us = CAUSES[reason]
    waiting = harness.submit(job("batch", 1, job_class="small", **demand))
    cause(harness, waiting)
    began_us = harness.clock.now_us()
    harness.scheduler.schedule(began_us)
    assert not waiting.live
    ((obstacle, count),) = harness.scheduler.obstacles(waiting, began_us).items()
    assert (obstacle.reason, count) == (reason, 1)
    if lasts_us is not None:
        assert obstacle.until_us == began_us + lasts_us <= began_us + BOUND_US
    said = explain_job(harness.cluster, waiting.spec.id, began_us, harness.scheduler.obstacles)["reasons"]
    end = f", for {lasts_us // SECOND_US} s more at the most" if lasts_us is not None else ""
    assert any(line.startswith(f"1 machines with room for it {reason.value}") and end in line for line in said), said


def test_an_ordinary_machine_is_left_to_jobs_that_need_one_for_a_time(harness):
    spot = harness.submit(job("batch", 1, spot=True))
    harness.scheduler._waits.update([spot], harness.clock.now_us())
    harness.scheduler._ordinary_demand = Demand.least_of([spot.spec])
    (obstacle,) = harness.scheduler.obstacles(spot, harness.clock.now_us())
    assert obstacle == Obstacle(Reason.ORDINARY_RESERVE, harness.clock.now_us() + MAX_KEPT_OUT_US)
    harness.clock.us += MAX_KEPT_OUT_US
    harness.report("host-1", 2)
    assert not harness.scheduler.obstacles(spot, harness.clock.now_us())


def test_a_machine_without_room_or_that_the_job_excludes_is_not_named(harness):
    for excluded in ({"gpus": 8.0}, {"zone": "b"}, {"types": ["m9"]}):
        waiting = harness.submit(job("batch", 1, **excluded))
        harness.scheduler.schedule(harness.clock.now_us())
        assert not harness.scheduler.obstacles(waiting, harness.clock.now_us())


def test_a_silent_machine_is_named_without_an_end(harness):
    waiting = harness.submit(job("batch", 1))
    harness.clock.pass_s(5.0)
    harness.scheduler.schedule(harness.clock.now_us())
    assert harness.scheduler.obstacles(waiting, harness.clock.now_us()) == {Obstacle(Reason.SILENT): 1}
