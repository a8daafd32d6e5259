"""A controller that is back within a fraction of a second, with its name and an empty memory, or that stood still."""

import random

import pytest

from region import HANGS, Region
from standins import Harness, LeaderHarness, job, make_config
from tideusher.actors.election import PREVIOUS_RUN_GRACE_US, Election
from tideusher.actors.leader import PROCESS_PAUSE_US, TICK_US, Leader
from tideusher.actors.store import Conflict, MirroredValue
from tideusher.clock import SECOND_US
from tideusher.config import Policy
from tideusher.core.decide.succession import Candidate
from tideusher.core.lead import soft_state
from tideusher.core.lead.standby import Standby
from tideusher.core.model import keys
from tideusher.core.model.contacts import LocalContacts, WorkerContacts, ZoneContacts
from tideusher.metrics import Metrics
from tideusher.playground.standins import StateStandIn
from tideusher.wire.peers import SoftState
from tideusher.wire.state import Delete, Guard, Put

DELETE = Delete(keys.LEADER)


class Service:
    """One state service with leases for several controllers; a request may be held back and land later."""

    def __init__(self, clock):
        self.clock, self.state, self.leases, self.held = clock, StateStandIn(), {}, []

    def grant(self, ttl_us):
        lease = len(self.leases) + 1
        self.leases[lease] = [self.clock.now_us() + ttl_us, ttl_us]
        return lease

    def expire(self):
        stored = self.state.items.get(keys.LEADER)
        if stored is not None and self.leases[stored[0]["lease"]][0] <= self.clock.now_us():
            assert self.state.txn([], [DELETE]) is not None


class View:
    """What one life of a controller sees: its own mirror, as fresh as its last sync."""

    def __init__(self, service):
        self.service, self.mirror, self.contact_us, self.slow = service, {}, None, False

    def txn(self, guards, writes, budget=True):
        writes = [self._with_lease(one) for one in writes]
        if self.slow:  # sent, and under way when its sender ends
            self.service.held.append((guards, writes))
            raise Conflict(["under way"])
        revision = self.service.state.txn(guards, writes)
        self.sync()
        if revision is None:
            raise Conflict([one.key for one in guards])
        return revision

    @staticmethod
    def _with_lease(write):
        if isinstance(write, Put):
            return Put(write.key, {**write.value, "lease": write.lease}, write.lease)
        return write

    def sync(self, timeout_s=2.0):
        items = self.service.state.items
        self.mirror = {key: MirroredValue(*item) for key, item in items.items()}
        self.contact_us = self.service.clock.now_us()
        return True

    def call(self, method, path, body=None, budget=True, timeout_s=None):
        ttl_us = round(body.ttl_ms * 1000)
        return 200, b'{"mooring":%d}' % self.service.grant(ttl_us)


class Life:
    """One incarnation of a controller: an election of its own, stepped by hand as its greenlet would."""

    def __init__(self, service, node, seed, behind=0):
        config = make_config(size=3)
        config.node = node
        self.view = View(service)
        self.node, self.service = node, service
        self.election = Election(config, Policy(), self.view, service.clock, random.Random(seed))
        self.others = []
        ours = lambda: Candidate(node, "ab"[seed % 2], True, behind=behind)  # noqa: E731
        self.election.set_sources(ours, lambda: list(self.others), lambda token: None)

    def step(self):
        self.view.sync()
        one = self.election
        stored = self.view.mirror.get(keys.LEADER)
        if stored is None:
            one._handle_no_leader()
        elif stored.value.get("nonce") == one._nonce:
            one._handle_own_key(stored)
            stored = self.view.mirror[keys.LEADER]
            self.service.leases[stored.value["lease"]][0] = self.service.clock.now_us() + 3 * SECOND_US
        else:
            one._leaderless_since_us = one.token = None
            one._handle_other_leader(stored)

    @property
    def leads(self):
        return self.election.token is not None


@pytest.fixture(autouse=True)
def no_sleep(monkeypatch):
    monkeypatch.setattr("gevent.sleep", lambda seconds=0: None)


def three(seed=0, nodes=3):
    service = Service(LeaderHarness().clock)
    lives = {f"n{number}": Life(service, f"n{number}", seed + number) for number in range(nodes)}
    meet(lives)
    return service, lives


def meet(lives):
    for name, life in lives.items():
        life.others = [Candidate(other, "a", True, behind=0) for other in lives if other != name]


def run(service, lives, seconds, until=lambda: False):
    for step in range(round(seconds * 20)):
        service.clock.pass_s(0.05)
        service.expire()
        for life in lives.values():
            life.step()
        assert sum(life.leads for life in lives.values()) <= 1
        if until():
            return (step + 1) * 0.05
    return seconds


def leader_of(lives):
    return next((name for name, life in lives.items() if life.leads), None)


@pytest.mark.parametrize("back_s", [0.0, 0.05, 0.2, 0.9])
@pytest.mark.parametrize("seed", range(4))
def test_a_leader_that_is_back_at_once_costs_less_than_its_lease(back_s, seed):
    """The new life ends the leadership that its former one left, and takes nothing of it for its own."""
    service, lives = three(seed)
    run(service, lives, 5, lambda: leader_of(lives) is not None)
    gone = leader_of(lives)
    token = lives[gone].election.token
    del lives[gone]
    run(service, lives, back_s)
    lives[gone] = Life(service, gone, 100 + seed)
    meet(lives)
    assert lives[gone].election._lease is None and not lives[gone].leads
    took_s = run(service, lives, 5, lambda: leader_of(lives) is not None)
    assert took_s <= 1.0 and lives[leader_of(lives)].election.token > token


@pytest.mark.parametrize("nodes", [1, 2, 3, 7, 9])
def test_any_number_of_controllers_elects_and_replaces_a_leader(nodes):
    """All end at once and are back at once, then the leader alone, for good: absent ones are waited for by nobody."""
    service, lives = three(nodes=nodes)
    assert run(service, lives, 5, lambda: leader_of(lives) is not None) <= 1.0
    for name in list(lives):
        lives[name] = Life(service, name, 300 + int(name[1:]))
    meet(lives)
    assert run(service, lives, 5, lambda: leader_of(lives) is not None) <= 1.0 + 0.25 * nodes
    del lives[leader_of(lives)]
    if lives:
        meet(lives)
        assert run(service, lives, 8, lambda: leader_of(lives) is not None) <= 3.5 + 0.25 * nodes


def test_a_new_life_that_takes_its_formers_leadership_for_its_own_is_found():
    """The planted fault: an incarnation that is not told apart leads at once, with a token that is not its own."""
    service, lives = three()
    run(service, lives, 5, lambda: leader_of(lives) is not None)
    gone = leader_of(lives)
    nonce, token = lives[gone].election._nonce, lives[gone].election.token
    lives[gone] = Life(service, gone, 100)
    assert lives[gone].election._nonce != nonce
    lives[gone].election._nonce = nonce
    lives[gone].step()
    assert lives[gone].leads and lives[gone].election.token == token  # what the tests above would have caught


@pytest.mark.parametrize("seed", range(4))
def test_what_the_former_life_had_sent_lands_after_its_successors_first_look(seed):
    """Its request to lead, under a lease that nobody renews, once meant three seconds without a leader."""
    service, lives = three(seed)
    run(service, lives, 5, lambda: leader_of(lives) is not None)
    gone = leader_of(lives)
    del lives[gone]
    former = Life(service, gone, 50 + seed)
    former.view.slow = True
    service.state.txn([], [DELETE])
    former.others = []
    former.step()
    assert service.held  # its key is on its way, and it ends
    lives[gone] = Life(service, gone, 100 + seed, behind=None)
    meet(lives)
    lives[gone].step()  # it looks: nobody leads, and warmer ones go first
    guards, writes = service.held.pop()
    assert service.state.txn(guards, writes) is not None
    assert service.state.items[keys.LEADER][0]["node"] == gone and not lives[gone].leads
    assert run(service, lives, 5, lambda: leader_of(lives) is not None) <= 1.0
    assert PREVIOUS_RUN_GRACE_US < 2 * SECOND_US


def test_a_controller_that_ends_every_third_of_a_second_does_not_keep_the_others_from_leading():
    service, lives = three()
    run(service, lives, 5, lambda: leader_of(lives) is not None)
    led_s, changes, last = 0.0, 0, None
    for number in range(20):
        lives.pop("n0")
        run(service, lives, 0.15)
        lives["n0"] = Life(service, "n0", 200 + number)
        meet(lives)
        lives["n0"].others = [Candidate(n, "a", True, behind=0) for n in ("n1", "n2")]
        for _ in range(3):
            run(service, lives, 0.05)
            led_s += 0.05 * (leader_of(lives) is not None)
        if leader_of(lives) not in (None, last):
            changes, last = changes + 1, leader_of(lives)
    assert changes <= 6 and led_s > 1.0 and run(service, lives, 5, lambda: leader_of(lives) is not None) <= 1.0


@pytest.mark.parametrize("seed", range(6))
def test_storms_in_which_every_leader_is_back_at_once_break_no_rule(seed):
    """Every few seconds a new life leads while the former one's writes, reports and orders still arrive."""
    storm = Harness(seed, faults=0.15)
    rng = random.Random(seed)
    specs = [storm.submit(job(rng.choice(["batch", "gang", "service"]), rng.choice([1, 2, 3]))) for _ in range(12)]
    for second in range(160):
        if second % 4 == 0 and second < 120:
            storm.new_leader()
        if second == 60:
            storm.cancel(specs[0])
        storm.step()
    assert any(spec.shape != "service" and storm.rules.final.get(spec.id) == "done" for spec in specs)


def test_soft_facts_of_a_former_life_are_told_apart_by_their_token():
    now_us = 50 * SECOND_US
    told = soft_state.newer(None, SoftState(41), now_us)
    assert soft_state.newer(told, SoftState(40), now_us) is told  # a former life's line that comes late
    assert soft_state.reason_unusable(told, 43, now_us) and not soft_state.reason_unusable(told, 41, now_us)


# ---------------------------------------------------------------- standing still


class StillElection:
    token = None

    def __init__(self):
        self.told = []

    def step_down_reason(self):
        return ""

    def process_paused(self, for_us, now_us):
        self.told.append(for_us)


@pytest.mark.parametrize(("still_s", "counts"), [(1, False), (5, True), (8, True), (30, True)])
def test_a_controller_that_wakes_takes_nobody_for_silent_in_the_time_it_did_not_listen(still_s, counts):
    harness, election = LeaderHarness(), StillElection()
    own = LocalContacts(SECOND_US)
    own.heard("host-1", "a", "x", harness.clock.now_us())
    store = type("Store", (), {"mirror": {}, "lead": lambda self, leading: None})()
    leader = Leader(harness.cluster.config, Policy(), harness.clock, store, election, None, Metrics())
    leader.set_contacts(WorkerContacts(own))
    leader._standby = Standby(harness.config, Policy(), harness.clock.wall_us, lambda name: None, dict)
    leader._standby.begin(harness.clock.now_us())
    zones = leader._standby.cluster_state.zones
    zones.heard("a", harness.clock.now_us())
    for _ in range(3):
        harness.clock.pass_s(TICK_US / SECOND_US)
        leader.on_timer_tick()
    harness.clock.pass_s(still_s)
    leader.on_timer_tick()
    now_us = harness.clock.now_us()
    assert bool(election.told) is counts and (still_s * SECOND_US > PROCESS_PAUSE_US) is counts
    if counts:
        assert zones.since_us("a", now_us) == now_us and own.reporting_zones(now_us) == ["a"]
        assert own.news(0, now_us)[0][0].silent_ms == 0


def test_a_leadership_whose_lease_may_have_ended_is_doubted_until_a_read():
    service = Service(LeaderHarness().clock)
    life = Life(service, "n0", 1)
    run(service, {"n0": life}, 3, lambda: life.leads)
    one = life.election
    one.process_paused(2 * SECOND_US, service.clock.now_us())
    assert one.token is not None  # its lease of 3 s holds
    service.clock.pass_s(8)
    one.process_paused(8 * SECOND_US, service.clock.now_us())
    assert one.token is None and one._lease is None and one._leadership_unconfirmed()
    life.view.sync()
    assert not one._leadership_unconfirmed()


def paused_life(service, for_s=8):
    """A leader that let go of its leadership, whose key is still there: an outage kept its lease alive."""
    life = Life(service, "n0", 1)
    run(service, {"n0": life}, 3, lambda: life.leads)
    for lease in service.leases.values():
        lease[0] += for_s * SECOND_US
    service.clock.pass_s(for_s)
    life.election.process_paused(for_s * SECOND_US, service.clock.now_us())
    return life


def test_a_token_that_was_let_go_of_is_never_led_with_again():
    service = Service(LeaderHarness().clock)
    led = []
    life = paused_life(service)
    before = life.election._last_token
    life.election.set_sources(life.election._own_candidate, life.election._peer_candidates, led.append)
    life.view.sync()
    stored = life.view.mirror[keys.LEADER]
    assert (stored.stamp, stored.value["nonce"]) == (before, life.election._nonce)
    life.election._on_change(keys.LEADER, stored.value, stored.stamp)  # the read shows it, as it was
    assert not life.leads
    life.step()
    assert life.leads and life.election.token > before and led == [life.election.token]
    life.step()
    assert led == [life.election.token]


def test_standing_anew_counts_no_change_on_evidence_and_forgets_none():
    """Else a leader that pauses again and again could be taken from without the pause between such changes."""
    service = Service(LeaderHarness().clock)
    life = paused_life(service)
    value, stamp = service.state.items[keys.LEADER]
    service.state.items[keys.LEADER] = ({**value, "early": 2}, stamp)
    life.step()
    assert life.leads and service.state.items[keys.LEADER][0]["early"] == 2


def test_what_was_under_way_under_a_token_that_was_let_go_of_does_nothing():
    service = Service(LeaderHarness().clock)
    life = paused_life(service)
    late = [Guard(keys.LEADER, life.election._last_token)], [Put("t/m/late", {})]
    life.step()
    assert life.leads and service.state.txn(*late) is None


def test_a_request_to_stand_anew_that_lands_late_is_led_with_once():
    service = Service(LeaderHarness().clock)
    life = paused_life(service)
    life.view.sync()
    life.view.slow = True
    life.election._handle_own_key(life.view.mirror[keys.LEADER])
    assert not life.leads and len(service.held) == 1
    life.view.slow = False
    life.step()  # and asks again
    token = life.election.token
    assert [service.state.txn(*one) for one in service.held] == [None]
    life.step()
    assert life.election.token == token


def test_all_controllers_still_at_once_return_no_machine():
    """Clocks ran on for thirty seconds in which nobody listened: every machine of the fleet looked silent."""
    region = Region(a=12, b=12)
    region.start(job("service", 6, spread=True))
    zones = region.cluster.health._zones
    for worker in region.workers.values():
        worker.answered_us += 30 * SECOND_US  # the leases are given their time: what is asked here is silence
    region.clock.pass_s(30)
    zones.process_paused(region.clock.now_us())
    region._step()
    assert not region.calls and not region.cluster.to_return
    region.run(6)
    assert len(region.cluster.machines) == 24 and not [m for m in region.cluster.machines.values() if m.drain_reason]
    region.set_state(region.machines_in("a")[:5], HANGS)  # and who falls silent later is still looked for
    region.run(12)
    assert region.most_calls


def test_zones_that_were_never_heard_stay_so():
    zones = ZoneContacts(SECOND_US)
    zones.process_paused(9 * SECOND_US)
    assert zones.since_us("a", 10 * SECOND_US) == 10 * SECOND_US
