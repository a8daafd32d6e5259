"""Where workers are sent: a controller that lost its workers only must not cost a zone its leases."""

import gevent
import pytest

from standins import FakeClock, make_config
from tideusher.actors.http import CallFailed, HttpClient
from tideusher.clock import SECOND_US
from tideusher.config import WorkerSettings
from tideusher.core.decide.routing import (
    EXCLUSION_US,
    RETURN_WINDOW_US,
    RedirectPolicy,
    RedirectTarget,
    ReportMonitor,
)

SETTINGS = WorkerSettings(2.0, 13.0, 50.0, 5.0, 38.0)
NODES = ["n0", "n1", "n2"]  # of zones a, a and b; the one that is cut off from workers is the only one of b
ZONES = {"n0": "a", "n1": "a", "n2": "b"}


class OneWorker:
    """A worker of zone b as PROTOCOL says: 4 s a try, 1 s before the next, 421s followed at once."""

    def __init__(self, number):
        self.name, self.at = f"host-{number}", "n2"
        self.next_us, self.sent_us, self.answered_us = number * 2 * SECOND_US // 40, 0, 0

    def step(self, now_us, nodes, deaf_to_workers):
        if now_us < self.next_us:
            return
        self.sent_us = now_us
        if self.at in deaf_to_workers:
            self.next_us, self.at = now_us + 5 * SECOND_US, NODES[(NODES.index(self.at) + 1) % 3]
            return
        other = nodes[self.at].redirect_target(self, now_us, nodes)
        if other is not None:
            self.next_us, self.at = now_us + SECOND_US // 4, other
            return
        self.answered_us, self.next_us = self.sent_us, now_us + 2 * SECOND_US


class Node:
    def __init__(self, name):
        self.name, self.ear, self.directions = name, ReportMonitor(SETTINGS), RedirectPolicy()

    def redirect_target(self, worker, now_us, nodes):
        self.ear.heard(now_us)
        if ZONES[self.name] == "b":
            return None
        doors = [RedirectTarget(n, ZONES[n], nodes[n].ear.deaf(now_us)) for n in NODES if n != self.name]
        return self.directions.redirect_target(worker.name, "b", doors, now_us)


def longest_silence_s(cut_s, node=Node):
    """The longest that any of 40 workers went without an answered report."""
    nodes, workers = {name: node(name) for name in NODES}, [OneWorker(n) for n in range(40)]
    longest_us, step_us = 0, SECOND_US // 10
    for now_us in range(0, (cut_s + 120) * SECOND_US, step_us):
        away = {"n2"} if 20 * SECOND_US < now_us < (20 + cut_s) * SECOND_US else set()
        for worker in workers:
            worker.step(now_us, nodes, away)
            longest_us = max(longest_us, now_us - worker.answered_us)
    assert all(worker.at == "n2" for worker in workers)  # they are back where they belong
    return longest_us / SECOND_US


@pytest.mark.parametrize("cut_s", [8, 28, 120])
def test_no_lease_runs_out_while_a_controller_is_cut_off_from_its_workers_only(cut_s):
    """450 tasks of a fleet of 539 machines once ended so: sent back to the deaf node, again and again."""
    assert longest_silence_s(cut_s) < SETTINGS.lease_s - 1


def test_without_what_nodes_tell_and_remember_leases_would_run_out():
    class Plain(Node):
        def redirect_target(self, worker, now_us, nodes):
            return None if ZONES[self.name] == "b" else "n2"

    assert longest_silence_s(28, Plain) > SETTINGS.lease_s


def test_one_worker_at_a_time_sees_whether_a_shut_node_hears_again():
    directions, doors, now = RedirectPolicy(), [RedirectTarget("n2", "b")], 10 * SECOND_US
    assert directions.redirect_target("host-1", "b", doors, now) == "n2"
    assert directions.redirect_target("host-1", "b", doors, now + SECOND_US) is None  # it came back: shut
    assert directions.redirect_target("host-2", "b", doors, now + 2 * SECOND_US) is None
    now += EXCLUSION_US + SECOND_US
    assert directions.redirect_target("host-3", "b", doors, now) == "n2"
    assert directions.redirect_target("host-4", "b", doors, now + 1) is None
    assert directions.redirect_target("host-3", "b", doors, now + 5 * SECOND_US) is None  # still not
    now += 2 * EXCLUSION_US + 6 * SECOND_US
    assert directions.redirect_target("host-4", "b", doors, now) == "n2"
    assert (
        directions.redirect_target("host-5", "b", doors, now + RETURN_WINDOW_US + 1) == "n2"
    )  # host-4 did not come back


def test_workers_are_shared_among_the_controllers_of_their_zone():
    doors = [RedirectTarget(f"n{n}", "b" if n < 3 else "a") for n in range(4)]
    sent = [RedirectPolicy().redirect_target(f"host-{n}", "b", doors, 0) for n in range(300)]
    assert {name: sent.count(name) > 60 for name in sent} == {"n0": True, "n1": True, "n2": True}


def test_a_node_without_workers_is_not_deaf_nor_one_whose_workers_are_long_gone():
    ear = ReportMonitor(SETTINGS)
    assert not ear.deaf(100 * SECOND_US)
    for n in range(6):
        ear.heard(n * SECOND_US)
    assert not ear.deaf(7 * SECOND_US) and ear.deaf(10 * SECOND_US) and not ear.deaf(40 * SECOND_US)


def test_a_call_tells_a_machine_without_power_from_one_that_hangs():
    """A hang takes the connection and says nothing; a closed port is refused at once; no way is neither."""
    server = gevent.socket.socket()
    server.bind(("127.0.0.1", 0))
    server.listen(1)
    port = server.getsockname()[1]
    with pytest.raises(CallFailed) as hang:
        HttpClient(f"127.0.0.1:{port}", 0.05, keep=0).call("GET", "/show")
    assert not hang.value.unsent and not hang.value.refused
    server.close()
    with pytest.raises(CallFailed) as refused:
        HttpClient(f"127.0.0.1:{port}", 0.05, keep=0).call("GET", "/show")
    assert refused.value.unsent and refused.value.refused


def test_the_clock_of_the_gateway_is_what_directions_go_by():
    from test_edges import Part, ScriptedLink, report  # the gateway's own bed
    from tideusher.actors.gateway import Gateway

    clock, link = FakeClock(), ScriptedLink(Part(name="n1", zone="b"), None)
    peers = Part(links={"n1": link}, reported_leader=lambda: ("", 0))
    store = Part(contact_us=clock.now_us(), mirror={}, sync=lambda timeout_s: True, describe_last_read=str)
    gateway = Gateway(make_config(), clock, store, Part(leader=lambda: None), Part(), peers)
    assert gateway.handle(report("b")).status == 421
    clock.pass_s(5.0)
    assert gateway.handle(report("b")).status != 421  # it came back
    link.deaf, gateway._redirect_policy = True, RedirectPolicy()
    assert gateway.handle(report("b")).status != 421
