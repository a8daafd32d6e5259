"""Standbys: the replicated state against a plain rebuild, its audit, takeovers, and charges across leaders."""

import logging
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins import Harness, LeaderHarness, job, make_config
from tideusher.clock import SECOND_US
from tideusher.config import Policy, Team
from tideusher.core.lead.engine import Engine
from tideusher.core.lead.renting import Renting
from tideusher.core.lead.standby import Standby
from tideusher.core.model import keys
from tideusher.core.model.cluster_state import ClusterState
from tideusher.core.model.ledger import Ledger
from tideusher.metrics import Metrics
from tideusher.playground.standins import TYPE, StateStandIn
from tideusher.wire.state import Delete, Put
from tideusher.wire.workers import Report, TaskReport


class Follower:
    """A replicated cluster state that gets the changes of a state stand-in late, in parts, or collapsed."""

    def __init__(self, state, clock, config=None):
        self.state, self.clock, self.seen = state, clock, {}
        self.config = config or make_config()
        self.cluster_state = ClusterState(self.config, Policy(), clock.now_us(), clock.wall_us, state.record_of)

    def catch_up(self, rng=None, part=1.0):
        """Applies changes, oldest first; with a part below 1 some are left for later."""
        items = self.state.read_all()
        news = [(stamp, key, value) for key, (value, stamp) in items.items() if self.seen.get(key) != stamp]
        news += [(self.state.tide, key, None) for key in self.seen if key not in items]
        for stamp, key, value in sorted(news, key=lambda n: n[0])[: max(1, int(len(news) * part))]:
            self.cluster_state.apply(key, value, stamp, self.clock.now_us())
            if value is None:
                self.seen.pop(key)
            else:
                self.seen[key] = stamp


def rebuilt(state, clock, config=None):
    cluster_state = ClusterState(config or make_config(), Policy(), clock.now_us(), clock.wall_us, state.record_of)
    cluster_state.build(state.items, clock.now_us())
    return cluster_state


def play(seed, steps=70, shared=False):
    """Plays random jobs, ends, cancellations, changes of leader and lost writes; yields after each step."""
    rng = random.Random(seed)
    harness = Harness(seed, faults=0.08, shared=shared)
    open_jobs = []
    for _ in range(steps):
        if rng.random() < 0.5:
            shape = rng.choice(["batch", "gang", "service"])
            tasks = rng.choice([1, 2, 3, 70] if shape == "batch" else [1, 2, 3])
            spec = job(shape, tasks, team=rng.choice(["red", "blue"]), estimate_s=4.0, spread=shape == "service")
            open_jobs.append(harness.submit(spec))
        if open_jobs and rng.random() < 0.15:
            harness.cancel(open_jobs.pop(rng.randrange(len(open_jobs))))
        if rng.random() < 0.05:
            harness.new_leader()
        machines = harness.leaders[-1].machines
        if machines and rng.random() < 0.1:
            harness.leaders[-1].request_return(machines[rng.choice(sorted(machines))], "the test has it returned")
        harness.step()
        yield harness


@settings(max_examples=40, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000), part=st.sampled_from([1.0, 0.5, 0.2]), shared=st.booleans())
def test_what_was_followed_is_what_a_rebuild_gives(seed, part, shared):
    follower, rng = None, random.Random(seed)
    for step, harness in enumerate(play(seed, shared=shared)):
        follower = follower or Follower(harness.state, harness.clock, harness.config)
        if rng.random() < 0.3:
            continue  # nothing arrives for a while
        follower.catch_up(rng, part if step % 10 else 1.0)
    follower.catch_up()
    plain = rebuilt(harness.state, harness.clock, harness.config)
    assert follower.cluster_state.comparable() == plain.comparable()
    assert all(follower.cluster_state.matches(key, value) for key, (value, _) in harness.state.read_all().items())


@pytest.mark.parametrize("forgotten", ["_remove_placed", "_apply_finished", "_machine_unnamed", "_note_unsettled"])
def test_a_missed_transition_is_detected(forgotten, monkeypatch):
    """Planted fault: the follower leaves out one kind of transition; the comparison, or `matches`, detects it."""
    harness, follower = None, None
    for harness in play(5):
        follower = follower or Follower(harness.state, harness.clock, harness.config)
        monkeypatch.setattr(follower.cluster_state, forgotten, lambda *a, **k: None)
        follower.catch_up()
    plain = rebuilt(harness.state, harness.clock, harness.config)
    assert follower.cluster_state.comparable() != plain.comparable()
    wrong = [key for key, (value, _) in harness.state.items.items() if not follower.cluster_state.matches(key, value)]
    assert wrong or forgotten in ("_note_unsettled", "_machine_unnamed")  # no record is left that could show it


# ---------------------------------------------------------------- the standby of a controller


class MirroredValue:
    def __init__(self, value, stamp):
        self.value, self.stamp = value, stamp


class Node:
    """A controller's mirror and standby, without its actors.

    `deaf_to`: prefixes of keys whose changes never reach the standby.
    """

    def __init__(self, state, clock, deaf_to=()):
        self.state, self.clock, self.deaf_to, self.mirror = state, clock, deaf_to, {}
        self.config = make_config()
        self.standby = Standby(self.config, Policy(), clock.wall_us, self.record_of, lambda: self.mirror)
        self.standby.begin(clock.now_us())

    def record_of(self, name):
        stored = self.mirror.get(keys.job_key(name))
        return stored and stored.value

    def read(self):
        """Updates the mirror from the state service and passes each change to the standby."""
        items = self.state.read_all()
        news = [(stamp, key, value) for key, (value, stamp) in items.items() if self.state_of(key) != stamp]
        news += [(self.state.tide, key, None) for key in self.mirror if key not in items]
        for stamp, key, value in sorted(news, key=lambda n: n[0]):
            if value is None:
                del self.mirror[key]
            else:
                self.mirror[key] = MirroredValue(value, stamp)
            if not key.startswith(tuple(self.deaf_to) or ("?",)):
                self.standby.changed(key, value, stamp)

    def follow(self):
        """Applies all changes that were passed on."""
        while self.standby.apply_step(self.clock.now_us()):
            pass

    def state_of(self, key):
        return self.mirror[key].stamp if key in self.mirror else 0

    def lead(self, token):
        """Takes over as the leader's actor does: reads, applies the rest in steps, then leads."""
        self.read()
        pieces, now = 0, self.clock.now_us()
        while (caught := self.standby.catch_up(now)) is None:
            pieces += 1
        engine = Engine(
            self.config,
            Policy(),
            token,
            now,
            self.clock.wall_us,
            Metrics(),
            self.record_of,
            cluster_state=caught.cluster_state,
        )
        return engine, caught, pieces


def busy_cluster(seed=3):
    return list(play(seed, 60))[-1]


def test_a_takeover_applies_only_the_changes_since():
    harness = busy_cluster()
    node = Node(harness.state, harness.clock)
    node.read()
    node.follow()
    spec = harness.submit(job("batch", 2))
    engine, caught, _ = node.lead(harness.state.elect("n9"))
    assert spec.id in engine.cluster.jobs and not caught.rebuilt and caught.late == 0
    plain = rebuilt(harness.state, harness.clock)
    assert {n: (m.phase, sorted(m.tasks)) for n, m in engine.cluster.machines.items()} == {
        n: (m.phase, sorted(m.tasks)) for n, m in plain.machines.items()
    }


def test_records_whose_changes_never_arrived_are_found_at_the_takeover():
    """Planted fault: a listener skips a kind of record. Without the check of stamps, tasks would start twice."""
    harness = busy_cluster()
    node = Node(harness.state, harness.clock, deaf_to=[keys.CHUNK_PREFIX])
    node.read()
    node.follow()
    engine, caught, _ = node.lead(harness.state.elect("n9"))
    assert caught.late > 0
    plain = rebuilt(harness.state, harness.clock)
    live = {name: sorted(job.live) for name, job in plain.jobs.items() if job.live}
    assert live and live == {name: sorted(job.live) for name, job in engine.cluster.jobs.items() if job.live}


def test_an_audit_finds_a_difference_and_rebuilds():
    harness = busy_cluster()
    node = Node(harness.state, harness.clock)
    node.read()
    now = harness.clock.now_us()
    node.follow()
    assert node.standby.audit(now) == []
    cluster_state = node.standby._cluster_state
    task = next(task for job in cluster_state.jobs.values() for task in job.live.values())
    cluster_state.unplace(task, now)  # planted: a missed assignment
    for _ in range(20):
        if wrong := node.standby.audit(now):
            break
    assert wrong == [keys.chunk_key(task.job.spec.id, 0)] and node.standby.rebuilds == 1
    node.follow()
    assert node.standby._cluster_state.comparable() == rebuilt(harness.state, harness.clock).comparable()


def followed(harness):
    node = Node(harness.state, harness.clock)
    node.read()
    node.follow()
    return node


def cancelled_on_a_machine_that_is_gone(harness, spec, page):
    """Seen on the bench: a rebuild every two to three seconds, for minutes."""
    harness.cancel(spec)
    assert harness.state.txn([], [page])
    return followed(harness)


def on_a_machine_that_went_and_reports_again(harness, spec, page):
    """Seen in the soak: a late copy of a report has the machine adopted before the page is written again."""
    named = {"type": "m4", "zone": "a", "spot": False, "count": 1, "answered": True, "returning": []}
    rental = Put(keys.rental_key("1-1"), {**named, "machines": ["host-1"]})
    assert harness.state.txn([], [rental]) and harness.state.txn([], [page])
    node = followed(harness)
    adopted = Put(keys.rental_key("adopted-host-1"), {**named, "machines": ["host-1"]})
    for write in (Delete(keys.rental_key("1-1")), adopted):
        assert harness.state.txn([], [write])
        node.read()
        node.follow()
    return node


def test_page_records_of_tasks_on_removed_machines_are_no_difference(caplog):
    found = []
    for case in (cancelled_on_a_machine_that_is_gone, on_a_machine_that_went_and_reports_again):
        harness, spec = Harness(3, shared=True), job()
        harness.submit(spec)
        page = Put(keys.page_key(0), {spec.id: {"n": 1, "a": {"0": [1, "host-1"]}}})
        node = case(harness, spec, page)
        with caplog.at_level(logging.ERROR):
            audits = [node.standby.audit(harness.clock.now_us()) for _ in range(5)]
        found += [(case.__name__, wrong) for wrong in audits if wrong]
    assert not found, caplog.messages


def test_the_log_names_the_page_records_that_differ(caplog):
    harness, spec = Harness(3, shared=True), job()
    harness.submit(spec)
    assert harness.state.txn([], [Put(keys.page_key(0), {spec.id: {"n": 1, "d": "1"}})])
    node = Node(harness.state, harness.clock)
    node.read()
    node.follow()
    node.standby.cluster_state.jobs[spec.id].chunks[0].done = 0  # planted
    with caplog.at_level(logging.ERROR):
        assert node.standby.audit(harness.clock.now_us()) == [keys.page_key(0)]
    assert f"t/p/0 ({spec.id} {{'n': 1, 'd': '1'}})" in caplog.text


def test_a_machine_is_persisted_before_any_task_on_it(monkeypatch):
    """A leader died while a rental's record waited: the next took its tasks for gone and started them again."""
    harness = LeaderHarness()
    harness.report("late-1", 1)  # adopted: its record is not urgent
    harness.report("late-1", 2)
    harness.submit(job("batch", 3))
    harness.scheduler.schedule(harness.clock.now_us())
    batch = harness.cluster.write_queue.next_batch(1)  # transactions of one write
    assert [write.key for write in batch.writes] == [keys.rental_key("adopted-late-1")]
    monkeypatch.setattr(Renting, "persist_rentals_of", lambda self, machines: None)
    harness = LeaderHarness()
    harness.report("late-1", 1)
    harness.submit(job("batch", 3))
    harness.scheduler.schedule(harness.clock.now_us())
    # Without the guard the task is written first.
    assert harness.cluster.write_queue.next_batch(1).writes[0].key.startswith(keys.CHUNK_PREFIX)


# ---------------------------------------------------------------- charges


def test_ratios_after_twenty_changes_of_leader_equal_those_of_one_leader():
    """Charges age as usual through changes of leader on different clocks; the last written are 4 s old each time."""
    teams, policy = [Team("red", gpus=8.0), Team("blue", gpus=8.0)], Policy(ledger__window_s=120.0)

    def ledger(now_us, wall_us):
        return Ledger(teams, policy, now_us, wall_us, 4096)

    for seed in range(3):
        rng = random.Random(seed)
        wall_us = 1_700_000_000 * SECOND_US
        one, many = ledger(0, wall_us), ledger(0, wall_us)
        off_us, skew_us, written = 0, 0, None
        for second in range(1, 301):
            now_us = second * SECOND_US
            for name in ("red", "blue"):
                amount = rng.choice([0.0, 5.0, 40.0]) * (name == "red" or second < 60)
                one.charge(name, amount, now_us)
                many.charge(name, amount, now_us + off_us)
            one.charge_usage([], now_us)
            many.charge_usage([], now_us + off_us)
            written = many.to_value(now_us + off_us)
            if second % 15 == 0:
                off_us, skew_us = rng.randrange(10**9), rng.randrange(-25_000, 25_000)
                successor = ledger(now_us + off_us, wall_us + now_us + skew_us)
                successor.restore(written, now_us + off_us, wall_us + now_us + skew_us)
                many = successor
        assert many.charged("red") == pytest.approx(one.charged("red"), rel=0.01)
        assert one.charged("blue") < 1.0 and many.charged("blue") < 1.0  # all charges have expired


def test_the_written_charges_fit_the_smallest_value_limit():
    """Eight teams with charges in all slots of an hour, on a deployment that allows 4 KiB."""
    teams = [Team(f"karta-team-{n:02d}", gpus=180.0) for n in range(8)]
    ledger = Ledger(teams, Policy(), 0, 1_700_000_000 * SECOND_US, 4096)
    for second in range(0, 4000, 5):
        for team in teams:
            ledger.charge(team.name, 2500.5, second * SECOND_US)
        ledger.charge_usage([], second * SECOND_US)
    value = ledger.to_value(4000 * SECOND_US)
    assert len(msgspec.json.encode(value)) <= 4096 and len(value["karta-team-00"][3]) > 30


def test_tasks_placed_after_the_last_written_charges_are_charged_by_the_next_leader():
    harness = LeaderHarness()
    harness.submit(job("service", 2))
    node = Node(harness.state, harness.clock)
    for serial in (1, 2):
        harness.report("host-1", serial)
    harness.cluster.charge_usage(harness.clock.now_us())
    harness.commit()
    node.read()
    node.follow()
    harness.scheduler.schedule(harness.clock.now_us())
    harness.commit()
    charged = harness.cluster.ledger.charged("red")
    assert charged > 0
    engine, *_ = node.lead(harness.state.elect("n9"))
    assert engine.cluster.ledger.charged("red") == pytest.approx(charged)


def test_an_inherited_task_runs_since_its_image_was_there():
    """Its protected time and its charges once started again with each leader that it reported to."""
    harness = LeaderHarness()
    harness.submit(job("gang", 1, estimate_s=30.0))
    node = Node(harness.state, harness.clock)
    harness.report("host-1", 1)
    harness.commit()
    node.read()
    node.follow()
    harness.scheduler.schedule(harness.clock.now_us())
    harness.commit()
    node.read()
    node.follow()
    begun = harness.clock.now_us()
    harness.clock.pass_s(40.0)
    engine, *_ = node.lead(harness.state.elect("n9"))
    (task,) = [t for j in engine.cluster.jobs.values() for t in j.live.values()]
    listed = [TaskReport(task.name, 1, "running", None)]
    report = Report("host-1", "127.0.0.1:9", "m4", "a", False, 1, 9, 0, None, listed)
    engine.reports.answer(report, harness.clock.now_us())
    assert task.running_us == begun + 2 * SECOND_US  # img-1 has 2 GB, the type fetches 1 GB a second


class StandbyHarness(Harness):
    """Random faults in which each new leader takes over a state that its standby replicated late and in steps."""

    standby = None

    def new_leader(self):
        token = self.state.elect(f"n{len(self.leaders)}")
        engine, *_ = (self.standby or Node(self.state, self.clock)).lead(token)
        cluster = engine.cluster
        cluster.set_types([TYPE])
        self.leaders.append(cluster)
        self.scheduler = engine.scheduler
        self.standby = Node(self.state, self.clock)
        return cluster

    def step(self):
        super().step()
        if self.rng.random() < 0.4:  # it lags by seconds or more
            self.standby.read()
            self.standby.standby.apply_step(self.clock.now_us())


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_under_random_faults_with_replicated_state(seed):
    """Leaders end at any step of a write, between persisting and its effects; older leaders' writes arrive late."""
    harness, rng = StandbyHarness(seed, faults=0.12), random.Random(seed)
    open_jobs = []
    for number in range(160):
        if rng.random() < 0.25:
            shape = rng.choice(["batch", "gang", "service"])
            fields = {"spread": True} if shape == "service" else {"one_zone": shape == "gang"}
            spec = job(shape, rng.choice([1, 2, 4]), team=rng.choice(["red", "blue"]), estimate_s=6.0, **fields)
            open_jobs.append(harness.submit(spec))
        if open_jobs and rng.random() < 0.1:
            harness.cancel(open_jobs.pop(rng.randrange(len(open_jobs))))
        if number % 9 == 8:
            harness.new_leader()
        harness.step()
    assert len(harness.leaders) > 15 and any(status == "done" for status in harness.rules.final.values())


def test_jobs_that_are_over_take_no_memory_of_a_standby():
    """A million of them would have doubled a controller's memory use."""
    clock, state = LeaderHarness().clock, StateStandIn()
    for number in range(500):
        value = {"st": "done", "at": 0, "n": 1}
        state.items[keys.job_key(f"req-{number}")] = (value, 1 + number)
    node = Node(state, clock)
    node.read()
    node.follow()
    assert not node.standby.cluster_state.stamps and not node.standby.cluster_state.jobs
    _, caught, _ = node.lead(state.elect("n1"))
    assert (caught.late, caught.rebuilt) == (0, False)
    node = Node(
        state, clock, deaf_to=[keys.JOB_PREFIX]
    )  # planted: an open job ends and the change never reaches the standby
    state.submit(spec := job("batch", 1), clock.wall_us())
    node.read()
    node.standby.begin(clock.now_us())
    node.follow()
    assert spec.id in node.standby.cluster_state.jobs
    state.cancel(spec.id)
    engine, caught, _ = node.lead(state.elect("n1"))
    assert spec.id not in engine.cluster.jobs and caught.late == 1
