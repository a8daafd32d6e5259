"""No task of a job starts by the answer to a report that was sent after its user was told that it is cancelled.

The simulated cluster checks the rule all the time (`Rules.check_starts`); these tests bring about the moments in
which it could break (docs/safety.md, 12).
"""

import msgspec
import pytest

from standins import job
from tideusher.actors.confirmations import Confirmations
from tideusher.clock import SECOND_US
from tideusher.core.decide import start_lease
from tideusher.core.decide.start_lease import (
    LEASE_ENDED_US,
    PROMISE_US,
    START_LEASE_US,
    WITHHOLD_US,
    LeaderSeen,
    Promise,
    WithheldStarts,
    confirmable_us,
    start_lease_valid,
)
from tideusher.core.model import keys
from tideusher.core.model.records import JOB_CANCELLED
from tideusher.wire.state import Delete, Put

JOBS = 16


def commit(cluster, write):
    """Carries out a write, as of a controller that nothing more is heard of."""
    assert cluster.service._txn([], [write])[0] == 200


class Scene:
    """Jobs that have places on machines and were not started yet, as their user cancels them."""

    def __init__(self, sim, seed=0):
        self.cluster = sim(seed, machines=8, tick_s=0.02, fetch_s=0.02)
        self.leader = self.cluster.leader()
        self.others = [name for name in self.cluster.names if name != self.leader]
        self.specs = []

    def place_jobs(self, reports_to=""):
        """Has all jobs placed, two to a machine, while no report arrives. Returns once all places are on record."""
        cluster = self.cluster
        cluster.only_node = reports_to
        cluster.run(1.5)
        cluster.mute |= set(cluster.workers)
        self.specs = [cluster.submit(job(gpus=0.0, cpus=8.0, estimate_s=300.0)) for _ in range(JOBS)]
        store = cluster.nodes[self.leader].store
        for _ in range(100):
            cluster.run(0.02)
            if all(store.tasks_of(spec.id, 0) is not None for spec in self.specs):
                return
        raise AssertionError("the jobs got no places")

    def cut_leader_off(self):
        """Cuts the leader off from the state service and the other controllers, not from the workers."""
        self.cluster.service.refused.add(self.leader)
        self.cluster.cuts |= {frozenset((self.leader, other)) for other in self.others}

    def cancel_all(self, *nodes):
        """Cancels each job at one of these controllers."""
        for number, spec in enumerate(self.specs):
            self.cluster.cancel(spec, nodes[number % len(nodes)])

    def run_until_told(self, within_s=4.0):
        """Runs until a user was told of each cancellation."""
        for _ in range(round(within_s / 0.02)):
            self.cluster.run(0.02)
            if len(self.cluster.rules.cancelled_us) == JOBS:
                return
        raise AssertionError("not all cancellations were confirmed")

    def finish(self, after_s=8.0):
        """Lets machines report, then ends all troubles: each cancellation is confirmed, and no task is left."""
        cluster = self.cluster
        cluster.mute.clear()
        cluster.run(after_s)
        cluster.service.refused.clear()
        cluster.service.late = cluster.service.at_once = 0.0
        cluster.cuts.clear()
        cluster.only_node = ""
        cluster.run(15.0)
        assert all(spec.id in cluster.rules.cancelled_us for spec in self.specs)
        assert not any(cluster.on_machines(spec.id) for spec in self.specs)


TROUBLES = (
    "none",
    "refused",
    "refused and paused",
    "refused and cut off",
    "refused, cut off and paused",
    "slow links",
)


def disturb_leader(scene, trouble):
    """Disturbs the leader; returns for how long it stands still."""
    if "cut off" in trouble:
        scene.cut_leader_off()
    elif "refused" in trouble:
        scene.cluster.service.refused.add(scene.leader)
    if "slow links" in trouble:
        scene.cluster.delay_s = 0.9
    return 1.2 if "paused" in trouble else 0.0


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("reports_to", ["leader", "another", "any"])
@pytest.mark.parametrize("trouble", TROUBLES)
def test_nothing_starts_after_its_confirmed_cancellation(sim, trouble, reports_to, silent):
    """A leader that alone was refused by the state service started what its last read had shown as open, also after
    it had stood still while the user was told; in calm the same happened within a tenth of a second.

    `silent`: machines report again only once the user was told, so any start is by the answer to a later report.
    """
    scene = Scene(sim)
    cluster = scene.cluster
    scene.place_jobs({"leader": scene.leader, "another": scene.others[1], "any": ""}[reports_to])
    paused_s = disturb_leader(scene, trouble)
    if not silent:
        cluster.mute.clear()
    scene.cancel_all(*scene.others)
    cluster.run(0.004)
    cluster.pause(scene.leader, paused_s)
    if silent:
        scene.run_until_told()
    scene.finish()


@pytest.mark.parametrize("paused_s", [0.5, 1.9, 2.5, 5.0, 9.0])
def test_leader_that_stood_still_starts_nothing_that_was_cancelled_meanwhile(sim, paused_s):
    """Its successor, if there is one, knows nothing of what the old leader may still start."""
    scene = Scene(sim)
    scene.place_jobs(scene.leader)
    scene.cluster.pause(scene.leader, paused_s)
    scene.cluster.mute.clear()
    scene.cluster.run(max(0.0, paused_s - 2.6))
    scene.cancel_all(*scene.others)
    scene.finish(paused_s + 8.0)


@pytest.mark.parametrize("reports_to", ["leader", "any"])
@pytest.mark.parametrize("seed", range(2))
def test_deposed_leader_starts_nothing_that_is_cancelled_under_its_successor(sim, reports_to, seed):
    """The new leader promises at once, but it does not speak for the old one, which cannot read of it."""
    scene = Scene(sim, seed)
    cluster, old = scene.cluster, scene.leader
    scene.place_jobs(old if reports_to == "leader" else "")
    scene.cut_leader_off()
    cluster.calls = False  # the new leader's calls would have the workers drop what the old one answers
    commit(cluster, Delete(keys.LEADER))  # as if its lease had ended
    while cluster.leader() in ("", old):
        cluster.run(0.02)
    scene.cancel_all(cluster.leader())
    scene.run_until_told()
    scene.finish()


def test_start_sent_again_after_a_lost_answer_respects_the_cancellation(sim):
    scene = Scene(sim)
    cluster = scene.cluster
    scene.place_jobs(scene.leader)
    cluster.deaf |= set(cluster.workers)
    cluster.mute.clear()
    cluster.run(1.2)  # the answers with the starts are lost
    cluster.service.refused.add(scene.leader)
    scene.cancel_all(*scene.others)
    cluster.run(0.1)
    cluster.deaf.clear()
    scene.finish()


@pytest.mark.parametrize("trouble", ["late", "lost", "killed"])
@pytest.mark.parametrize("seed", range(2))
def test_repeated_cancellations_and_polls_are_confirmed_no_sooner_than_the_first(sim, trouble, seed):
    """A transaction that is carried out late, or whose answer is lost, is told of by another controller's read; so is
    one of a controller that ended before it told its user."""
    scene = Scene(sim, seed)
    cluster, (first, second) = scene.cluster, scene.others
    cluster.looks = True  # users ask everywhere once one of them was told
    scene.place_jobs(scene.leader)
    scene.cut_leader_off()
    cluster.service.late, cluster.service.at_once = 0.5 * (trouble == "late"), 0.5 * (trouble == "lost")
    scene.cancel_all(first)
    cluster.run(0.02)
    if trouble == "killed":
        cluster.end(first, back_s=3.0)
    cluster.mute.clear()
    for spec in scene.specs:
        cluster.cancel(spec, second)
        cluster.time.spawn(cluster.poll, spec.id, second)
    scene.finish(12.0)


@pytest.mark.parametrize("kind", ["poll", "submission", "hold"])
def test_every_answer_that_tells_of_a_cancellation_waits_for_the_lease(sim, kind):
    """Another controller has stored the cancellation and not told its user yet."""
    scene = Scene(sim)
    cluster = scene.cluster
    scene.place_jobs(scene.leader)
    scene.cut_leader_off()
    spec = scene.specs[0]
    key = keys.job_key(spec.id)
    commit(cluster, Put(key, {**cluster.service.state.record_of(spec.id), "st": JOB_CANCELLED}))
    method = "GET" if kind == "poll" else "POST"
    path = {"poll": f"/work/{spec.id}", "submission": "/work", "hold": f"/work/{spec.id}/hold"}[kind]
    body = msgspec.json.encode(spec) if kind == "submission" else b""
    users = cluster.nodes[scene.others[0]].users
    users._conditions, got = True, []
    for wait_s in (1.9, 0.5):
        cluster.time.spawn(lambda: got.append(users.handle(method, path, body).status))
        cluster.run(wait_s)
    assert got == [503, 409 if kind == "hold" else 200]


def test_user_of_an_unreachable_leader_is_told_after_the_lease_and_a_calm_one_at_once(sim):
    scene = Scene(sim)
    cluster = scene.cluster
    scene.place_jobs()
    at_us = cluster.clock.us
    cluster.cancel(scene.specs[0], scene.others[0])
    cluster.run(1.0)
    assert cluster.rules.cancelled_us[scene.specs[0].id] - at_us < 0.1 * SECOND_US
    scene.cut_leader_off()
    at_us = cluster.clock.us
    cluster.cancel(scene.specs[1], scene.others[0])
    cluster.run(4.0)
    waited_us = cluster.rules.cancelled_us[scene.specs[1].id] - at_us
    assert START_LEASE_US < waited_us < LEASE_ENDED_US + 0.2 * SECOND_US


def test_promise_for_a_cancellation_that_was_not_stored_ends(sim):
    """The leader withholds the starts of a job whose cancellation fails, and starts it later."""
    scene = Scene(sim)
    cluster = scene.cluster
    spec = cluster.submit(job(estimate_s=300.0))
    cluster.run(0.05)
    cluster.nodes[scene.leader].leader.withhold_starts(spec.id)
    cluster.run(5.0)
    assert cluster.service.state.record_of(spec.id)["st"] != JOB_CANCELLED and not cluster.on_machines(spec.id)
    cluster.run(WITHHOLD_US / SECOND_US)
    assert len(cluster.on_machines(spec.id)) == 1


# Planted faults: each half of the agreement alone is not enough


def endless_lease(contact_us, now_us):
    return True


@pytest.mark.parametrize("plant", ["leases without end", "confirmed at once"])
def test_planted_faults_are_found(sim, plant, monkeypatch):
    if plant == "confirmed at once":
        monkeypatch.setattr(Confirmations, "_confirmable_us", lambda self, job, promise: 0)
    else:
        monkeypatch.setattr("tideusher.actors.leader.start_lease_valid", endless_lease)
    with pytest.raises(AssertionError, match="started_cancelled"):
        test_nothing_starts_after_its_confirmed_cancellation(sim, "refused and cut off", "leader", True)


def test_planted_confirmation_that_forgets_earlier_leaders_is_found(sim, monkeypatch):
    def of_this_leader(stored_us, leader, promise):
        return confirmable_us(stored_us, LeaderSeen(leader.token, 0), promise)

    monkeypatch.setattr("tideusher.actors.confirmations.confirmable_us", of_this_leader)
    with pytest.raises(AssertionError, match="started_cancelled"):
        test_deposed_leader_starts_nothing_that_is_cancelled_under_its_successor(sim, "leader", 0)


def test_planted_leader_that_breaks_its_promise_is_found(sim, monkeypatch):
    monkeypatch.setattr(WithheldStarts, "is_withheld", lambda self, job, now_us: False)
    with pytest.raises(AssertionError, match="started_cancelled"):
        test_nothing_starts_after_its_confirmed_cancellation(sim, "refused", "leader", True)


# The sums


def test_start_lease_counts_from_the_sending_of_the_read():
    assert start_lease_valid(10, 10 + START_LEASE_US) and not start_lease_valid(10, 11 + START_LEASE_US)
    assert not start_lease_valid(None, 10)


def test_confirmation_needs_a_promise_of_the_leader_on_record_and_that_it_has_led_for_a_lease():
    leader, stored_us = LeaderSeen(7, 0), 100 * SECOND_US
    assert confirmable_us(stored_us, leader, None) == stored_us + LEASE_ENDED_US
    assert confirmable_us(stored_us, leader, Promise(7, stored_us - SECOND_US)) <= stored_us
    assert confirmable_us(stored_us, leader, Promise(6, stored_us)) == stored_us + LEASE_ENDED_US
    assert confirmable_us(stored_us, leader, Promise(7, stored_us - PROMISE_US - 1)) == stored_us + LEASE_ENDED_US
    new = LeaderSeen(8, stored_us - SECOND_US)
    assert confirmable_us(stored_us, new, Promise(8, stored_us)) == new.since_us + LEASE_ENDED_US
    assert PROMISE_US + START_LEASE_US < WITHHOLD_US and START_LEASE_US * 1.001 < LEASE_ENDED_US


def test_withheld_starts_end_after_their_time():
    withheld = WithheldStarts()
    withheld.withhold("req-1", 0)
    withheld.withhold("req-2", SECOND_US)
    assert withheld.is_withheld("req-1", WITHHOLD_US) and not withheld.is_withheld("req-1", WITHHOLD_US + 1)
    withheld.withhold("req-1", 2 * SECOND_US)
    withheld.withhold("req-3", WITHHOLD_US + SECOND_US + 1)
    assert list(withheld._until_us) == ["req-1", "req-3"]
    assert start_lease.LEASE_ENDED_US > START_LEASE_US
