"""Controllers that restart within a fraction of a second, under their name and without memory, or that pause."""

import random

import pytest

from region import HANGS, Region
from standins import Harness, LeaderHarness, job, make_config
from tideusher.actors.election import PREVIOUS_RUN_GRACE_US, Election
from tideusher.actors.leader import PROCESS_PAUSE_US, TICK_US, Leader
from tideusher.actors.store import Conflict
from tideusher.clock import SECOND_US
from tideusher.config import Policy
from tideusher.core.decide.succession import Candidate
from tideusher.core.lead import soft_state
from tideusher.core.lead.standby import Standby
from tideusher.core.model import keys
from tideusher.core.model.contacts import LocalContacts, WorkerContacts, ZoneContacts
from tideusher.core.model.mirror import MirroredValue
from tideusher.metrics import Metrics
from tideusher.playground.standins import StateStandIn
from tideusher.wire.peers import SoftState
from tideusher.wire.state import Delete, Guard, Put

DELETE = Delete(keys.LEADER)


class LeasedState:
    """A state service with leases for several controllers; requests may be held back and arrive later."""

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


class RunStore:
    """The store of one run of a controller: its mirror is as fresh as its last sync."""

    def __init__(self, service):
        self.service, self.mirror, self.contact_us, self.slow = service, {}, None, False

    def txn(self, guards, writes, budget=True):
        writes = [self._with_lease(one) for one in writes]
        if self.slow:  # sent, and still in flight when the sender ends
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


class ControllerRun:
    """One run of a controller process, with its own election, stepped by hand as its greenlet would be."""

    def __init__(self, service, node, seed, behind=0):
        config = make_config(size=3)
        config.node = node
        self.view = RunStore(service)
        self.node, self.service = node, service
        self.election = Election(config, Policy(), self.view, service.clock, random.Random(seed))
        self.others = []
        own = lambda: Candidate(node, "ab"[seed % 2], True, behind=behind)  # noqa: E731
        self.election.set_sources(own, lambda: list(self.others), lambda token: None)

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
    service = LeasedState(LeaderHarness().clock)
    controllers = {f"n{number}": ControllerRun(service, f"n{number}", seed + number) for number in range(nodes)}
    connect(controllers)
    return service, controllers


def connect(controllers):
    for name, controller in controllers.items():
        controller.others = [Candidate(other, "a", True, behind=0) for other in controllers if other != name]


def run(service, controllers, seconds, until=lambda: False):
    for step in range(round(seconds * 20)):
        service.clock.pass_s(0.05)
        service.expire()
        for controller in controllers.values():
            controller.step()
        assert sum(controller.leads for controller in controllers.values()) <= 1
        if until():
            return (step + 1) * 0.05
    return seconds


def leader_of(controllers):
    return next((name for name, controller in controllers.items() if controller.leads), None)


@pytest.mark.parametrize("back_s", [0.0, 0.05, 0.2, 0.9])
@pytest.mark.parametrize("seed", range(4))
def test_a_leader_that_restarts_at_once_costs_less_than_its_lease(back_s, seed):
    """The new run ends the leadership left by the previous one, and does not take it for its own."""
    service, controllers = three(seed)
    run(service, controllers, 5, lambda: leader_of(controllers) is not None)
    gone = leader_of(controllers)
    token = controllers[gone].election.token
    del controllers[gone]
    run(service, controllers, back_s)
    controllers[gone] = ControllerRun(service, gone, 100 + seed)
    connect(controllers)
    assert controllers[gone].election._lease is None and not controllers[gone].leads
    took_s = run(service, controllers, 5, lambda: leader_of(controllers) is not None)
    assert took_s <= 1.0 and controllers[leader_of(controllers)].election.token > token


@pytest.mark.parametrize("nodes", [1, 2, 3, 7, 9])
def test_any_number_of_controllers_elects_and_replaces_a_leader(nodes):
    """All restart at once, then the leader ends permanently: no node waits for absent ones."""
    service, controllers = three(nodes=nodes)
    assert run(service, controllers, 5, lambda: leader_of(controllers) is not None) <= 1.0
    for name in list(controllers):
        controllers[name] = ControllerRun(service, name, 300 + int(name[1:]))
    connect(controllers)
    assert run(service, controllers, 5, lambda: leader_of(controllers) is not None) <= 1.0 + 0.25 * nodes
    del controllers[leader_of(controllers)]
    if controllers:
        connect(controllers)
        assert run(service, controllers, 8, lambda: leader_of(controllers) is not None) <= 3.5 + 0.25 * nodes


def test_a_run_that_takes_the_previous_leadership_for_its_own_is_detected():
    """Plants the fault: a run not distinguished from the previous one leads at once with a token not its own."""
    service, controllers = three()
    run(service, controllers, 5, lambda: leader_of(controllers) is not None)
    gone = leader_of(controllers)
    nonce, token = controllers[gone].election._nonce, controllers[gone].election.token
    controllers[gone] = ControllerRun(service, gone, 100)
    assert controllers[gone].election._nonce != nonce
    controllers[gone].election._nonce = nonce
    controllers[gone].step()
    assert controllers[gone].leads and controllers[gone].election.token == token  # the tests above would detect this


@pytest.mark.parametrize("seed", range(4))
def test_a_request_of_the_previous_run_arrives_after_the_first_read_of_the_next(seed):
    """The previous run's late request, under a lease that is not renewed, left no leader for three seconds."""
    service, controllers = three(seed)
    run(service, controllers, 5, lambda: leader_of(controllers) is not None)
    gone = leader_of(controllers)
    del controllers[gone]
    former = ControllerRun(service, gone, 50 + seed)
    former.view.slow = True
    service.state.txn([], [DELETE])
    former.others = []
    former.step()
    assert service.held  # its request is in flight when it ends
    controllers[gone] = ControllerRun(service, gone, 100 + seed, behind=None)
    connect(controllers)
    controllers[gone].step()  # there is no leader, and warmer nodes go first
    guards, writes = service.held.pop()
    assert service.state.txn(guards, writes) is not None
    assert service.state.items[keys.LEADER][0]["node"] == gone and not controllers[gone].leads
    assert run(service, controllers, 5, lambda: leader_of(controllers) is not None) <= 1.0
    assert PREVIOUS_RUN_GRACE_US < 2 * SECOND_US


def test_a_controller_that_restarts_all_the_time_does_not_keep_others_from_leading():
    service, controllers = three()
    run(service, controllers, 5, lambda: leader_of(controllers) is not None)
    led_s, changes, last = 0.0, 0, None
    for number in range(20):
        controllers.pop("n0")
        run(service, controllers, 0.15)
        controllers["n0"] = ControllerRun(service, "n0", 200 + number)
        connect(controllers)
        controllers["n0"].others = [Candidate(n, "a", True, behind=0) for n in ("n1", "n2")]
        for _ in range(3):
            run(service, controllers, 0.05)
            led_s += 0.05 * (leader_of(controllers) is not None)
        if leader_of(controllers) not in (None, last):
            changes, last = changes + 1, leader_of(controllers)
    assert (
        changes <= 6
        and led_s > 1.0
        and run(service, controllers, 5, lambda: leader_of(controllers) is not None) <= 1.0
    )


@pytest.mark.parametrize("seed", range(6))
def test_leaders_that_restart_at_once_violate_no_invariant(seed):
    """Every few seconds a new run leads while the previous one's writes, reports and orders still arrive."""
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


def test_soft_state_of_a_previous_run_is_recognized_by_its_token():
    now_us = 50 * SECOND_US
    told = soft_state.newer(None, SoftState(41), now_us)
    assert soft_state.newer(told, SoftState(40), now_us) is told  # a late heartbeat of a previous run
    assert soft_state.reason_unusable(told, 43, now_us) and not soft_state.reason_unusable(told, 41, now_us)


# ---------------------------------------------------------------- paused processes


class PausedElection:
    token = None

    def __init__(self):
        self.told = []

    def step_down_reason(self):
        return ""

    def process_paused(self, for_us, now_us):
        self.told.append(for_us)


@pytest.mark.parametrize(("paused_s", "counts"), [(1, False), (5, True), (8, True), (30, True)])
def test_a_resumed_controller_takes_no_machine_for_silent_during_its_own_pause(paused_s, counts):
    harness, election = LeaderHarness(), PausedElection()
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
    harness.clock.pass_s(paused_s)
    leader.on_timer_tick()
    now_us = harness.clock.now_us()
    assert bool(election.told) is counts and (paused_s * SECOND_US > PROCESS_PAUSE_US) is counts
    if counts:
        assert zones.since_us("a", now_us) == now_us and own.reporting_zones(now_us) == ["a"]
        assert own.news(0, now_us)[0][0].silent_ms == 0


def test_a_leadership_whose_lease_may_have_ended_is_unconfirmed_until_a_read():
    service = LeasedState(LeaderHarness().clock)
    controller = ControllerRun(service, "n0", 1)
    run(service, {"n0": controller}, 3, lambda: controller.leads)
    one = controller.election
    one.process_paused(2 * SECOND_US, service.clock.now_us())
    assert one.token is not None  # its lease of 3 s is still valid
    service.clock.pass_s(8)
    one.process_paused(8 * SECOND_US, service.clock.now_us())
    assert one.token is None and one._lease is None and one._leadership_unconfirmed()
    controller.view.sync()
    assert not one._leadership_unconfirmed()


def paused_controller(service, for_s=8):
    """Returns a leader that released its leadership while its key remains: an outage kept the lease alive."""
    controller = ControllerRun(service, "n0", 1)
    run(service, {"n0": controller}, 3, lambda: controller.leads)
    for lease in service.leases.values():
        lease[0] += for_s * SECOND_US
    service.clock.pass_s(for_s)
    controller.election.process_paused(for_s * SECOND_US, service.clock.now_us())
    return controller


def test_a_released_token_is_never_used_again():
    service = LeasedState(LeaderHarness().clock)
    led = []
    controller = paused_controller(service)
    before = controller.election._last_token
    controller.election.set_sources(
        controller.election._own_candidate, controller.election._peer_candidates, led.append
    )
    controller.view.sync()
    stored = controller.view.mirror[keys.LEADER]
    assert (stored.stamp, stored.value["nonce"]) == (before, controller.election._nonce)
    controller.election._on_change(keys.LEADER, stored.value, stored.stamp)  # the read shows the key unchanged
    assert not controller.leads
    controller.step()
    assert controller.leads and controller.election.token > before and led == [controller.election.token]
    controller.step()
    assert led == [controller.election.token]


def test_standing_again_keeps_the_count_of_early_takeovers():
    """Otherwise a leader that pauses repeatedly could be replaced early without the pause between takeovers."""
    service = LeasedState(LeaderHarness().clock)
    controller = paused_controller(service)
    value, stamp = service.state.items[keys.LEADER]
    service.state.items[keys.LEADER] = ({**value, "early": 2}, stamp)
    controller.step()
    assert controller.leads and service.state.items[keys.LEADER][0]["early"] == 2


def test_requests_in_flight_under_a_released_token_have_no_effect():
    service = LeasedState(LeaderHarness().clock)
    controller = paused_controller(service)
    late = [Guard(keys.LEADER, controller.election._last_token)], [Put("t/m/late", {})]
    controller.step()
    assert controller.leads and service.state.txn(*late) is None


def test_a_late_request_to_stand_again_leads_only_once():
    service = LeasedState(LeaderHarness().clock)
    controller = paused_controller(service)
    controller.view.sync()
    controller.view.slow = True
    controller.election._handle_own_key(controller.view.mirror[keys.LEADER])
    assert not controller.leads and len(service.held) == 1
    controller.view.slow = False
    controller.step()  # and requests again
    token = controller.election.token
    assert [service.state.txn(*one) for one in service.held] == [None]
    controller.step()
    assert controller.election.token == token


def test_all_controllers_paused_at_once_return_no_machine():
    """Clocks advanced by thirty seconds in which no controller ran: every machine of the fleet looked silent."""
    region = Region(a=12, b=12)
    region.start(job("service", 6, spread=True))
    zones = region.cluster.health._zones
    for worker in region.workers.values():
        worker.answered_us += 30 * SECOND_US  # the leases are extended: only silence is tested here
    region.clock.pass_s(30)
    zones.process_paused(region.clock.now_us())
    region._step()
    assert not region.calls and not region.cluster.to_return
    region.run(6)
    assert len(region.cluster.machines) == 24 and not [m for m in region.cluster.machines.values() if m.drain_reason]
    region.set_state(region.machines_in("a")[:5], HANGS)  # machines that go silent later are still detected
    region.run(12)
    assert region.most_calls


def test_zones_without_any_contact_stay_so():
    zones = ZoneContacts(SECOND_US)
    zones.process_paused(9 * SECOND_US)
    assert zones.since_us("a", 10 * SECOND_US) == 10 * SECOND_US
