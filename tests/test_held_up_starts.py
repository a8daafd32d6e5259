"""A start that is held up on its way may run after its job's cancellation was confirmed, and is gone in time.

A worker drops an answer after four seconds. A machine that hangs carries it out within its lease, which counts from
the sending of the last report that was answered, or not at all. From the next report on it is told to halt.
"""

import pytest

from test_cancelled_starts import Scene
from tideusher.wire import workers

#: After so many seconds a worker drops an answer.
ANSWER_TIMEOUT_S = 4.0
#: The steady clocks of two machines drift apart by this part: a worker's lease may last so much longer.
DRIFT = 0.0005
LEASE_S = 6.0


def hold_starts(sim, held_s=0.0, hang_s=0.0, change_leader=False):
    """Has all jobs started by answers that are held up, and cancelled meanwhile; returns the scene."""
    scene = Scene(sim)
    cluster = scene.cluster
    cluster.lease_s = LEASE_S * (1 + 2 * DRIFT)
    for worker in cluster.workers.values():
        worker.lease_s = cluster.lease_s
    scene.place_jobs(scene.leader)
    cluster.run_answers_held_s, cluster.hang_before_run_s = held_s, hang_s
    cluster.mute.clear()
    cluster.run(1.3)  # each machine has reported, and its answer is on its way
    cluster.run_answers_held_s = cluster.hang_before_run_s = 0.0
    if change_leader:
        cluster.only_node = ""
        cluster.end(scene.leader, back_s=1.0)
    scene.cancel_all(*scene.others)
    return scene


def runs_after_told(scene):
    told_us = scene.cluster.rules.cancelled_us
    return [job for at_us, job in scene.cluster.runs_executed if at_us > told_us.get(job, at_us)]


EDGES = [
    *[(held_s, 0.0) for held_s in (1.5, 2.5, 3.5, ANSWER_TIMEOUT_S - 0.02, ANSWER_TIMEOUT_S + 0.02)],
    *[(0.0, hang_s) for hang_s in (2.0, 4.0, LEASE_S - 0.5, LEASE_S * (1 - DRIFT) - 0.1, LEASE_S, LEASE_S + 1.5)],
    (3.5, LEASE_S - 3.6),
]


@pytest.mark.parametrize("change_leader", [False, True])
@pytest.mark.parametrize(("held_s", "hang_s"), EDGES)
def test_start_held_up_past_the_confirmed_cancellation_is_gone_in_time(sim, held_s, hang_s, change_leader):
    """The simulated cluster checks all the time that nothing is on a machine `cancel_s` after its user was told."""
    scene = hold_starts(sim, held_s, hang_s, change_leader)
    scene.run_until_told(8.0)
    scene.cluster.run(held_s + hang_s + 8.0)
    if 2.5 <= held_s + hang_s and held_s < ANSWER_TIMEOUT_S and not change_leader:
        assert runs_after_told(scene)  # the case did occur
    if held_s > ANSWER_TIMEOUT_S and not change_leader:
        assert not runs_after_told(scene)  # the worker had given the answer up
    scene.cluster.run(scene.cluster.rules.config.settings.workers.cancel_s)
    scene.finish()


@pytest.mark.parametrize("outage_s", [3.0, 12.0, 30.0])
@pytest.mark.parametrize("hang_s", [2.0, LEASE_S - 0.5])
def test_start_held_up_into_an_outage_of_the_state_service_is_gone_in_time(sim, hang_s, outage_s):
    """No controller can read anything new, and the workers' leases are renewed for a while."""
    scene = hold_starts(sim, hang_s=hang_s)
    scene.run_until_told(8.0)
    scene.cluster.service.outage(outage_s)
    scene.cluster.run(outage_s + 10.0)
    scene.finish()


def test_planted_controllers_that_do_not_halt_a_cancelled_job_are_found(sim, monkeypatch):
    monkeypatch.setattr(workers, "halt", lambda task, attempt, grace_s: workers.forget(task, attempt))
    scene = hold_starts(sim, hang_s=3.0)
    scene.run_until_told(8.0)
    with pytest.raises(AssertionError, match="ran_cancelled"):
        scene.cluster.run(scene.cluster.rules.config.settings.workers.cancel_s + 5.0)
