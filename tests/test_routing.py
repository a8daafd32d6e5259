"""Redirects of workers: a controller that lost only its workers must not cost a zone its leases."""

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
NODES = ["n0", "n1", "n2"]  # in zones a, a and b; n2, which loses its workers, is the only one in b
ZONES = {"n0": "a", "n1": "a", "n2": "b"}


class OneWorker:
    """A worker of zone b as in PROTOCOL: 4 s per attempt, 1 s before the next, 421 redirects followed at once."""

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
        self.name, self.monitor, self.redirects = name, ReportMonitor(SETTINGS), RedirectPolicy()

    def redirect_target(self, worker, now_us, nodes):
        self.monitor.heard(now_us)
        if ZONES[self.name] == "b":
            return None
        targets = [RedirectTarget(n, ZONES[n], nodes[n].monitor.deaf(now_us)) for n in NODES if n != self.name]
        return self.redirects.redirect_target(worker.name, "b", targets, now_us)


def longest_silence_s(cut_s, node=Node):
    """Returns the longest time that any of 40 workers had no answered report."""
    nodes, workers = {name: node(name) for name in NODES}, [OneWorker(n) for n in range(40)]
    longest_us, step_us = 0, SECOND_US // 10
    for now_us in range(0, (cut_s + 120) * SECOND_US, step_us):
        deaf_nodes = {"n2"} if 20 * SECOND_US < now_us < (20 + cut_s) * SECOND_US else set()
        for worker in workers:
            worker.step(now_us, nodes, deaf_nodes)
            longest_us = max(longest_us, now_us - worker.answered_us)
    assert all(worker.at == "n2" for worker in workers)  # all report to their own zone again
    return longest_us / SECOND_US


@pytest.mark.parametrize("cut_s", [8, 28, 120])
def test_no_lease_runs_out_while_a_controller_is_cut_off_from_its_workers_only(cut_s):
    """450 tasks on 539 machines were lost because workers were redirected to the deaf node again and again."""
    assert longest_silence_s(cut_s) < SETTINGS.lease_s - 1


def test_without_reported_silence_and_exclusions_leases_would_run_out():
    class Plain(Node):
        def redirect_target(self, worker, now_us, nodes):
            return None if ZONES[self.name] == "b" else "n2"

    assert longest_silence_s(28, Plain) > SETTINGS.lease_s


def test_one_worker_at_a_time_tries_an_excluded_node():
    redirects, targets, now = RedirectPolicy(), [RedirectTarget("n2", "b")], 10 * SECOND_US
    assert redirects.redirect_target("host-1", "b", targets, now) == "n2"
    assert redirects.redirect_target("host-1", "b", targets, now + SECOND_US) is None  # it came back: n2 is excluded
    assert redirects.redirect_target("host-2", "b", targets, now + 2 * SECOND_US) is None
    now += EXCLUSION_US + SECOND_US
    assert redirects.redirect_target("host-3", "b", targets, now) == "n2"
    assert redirects.redirect_target("host-4", "b", targets, now + 1) is None
    assert redirects.redirect_target("host-3", "b", targets, now + 5 * SECOND_US) is None  # still excluded
    now += 2 * EXCLUSION_US + 6 * SECOND_US
    assert redirects.redirect_target("host-4", "b", targets, now) == "n2"
    # host-4 did not come back.
    assert redirects.redirect_target("host-5", "b", targets, now + RETURN_WINDOW_US + 1) == "n2"


def test_workers_are_distributed_over_the_controllers_of_their_zone():
    targets = [RedirectTarget(f"n{n}", "b" if n < 3 else "a") for n in range(4)]
    sent = [RedirectPolicy().redirect_target(f"host-{n}", "b", targets, 0) for n in range(300)]
    assert {name: sent.count(name) > 60 for name in sent} == {"n0": True, "n1": True, "n2": True}


def test_a_node_is_not_deaf_without_workers_or_long_after_they_left():
    monitor = ReportMonitor(SETTINGS)
    assert not monitor.deaf(100 * SECOND_US)
    for n in range(6):
        monitor.heard(n * SECOND_US)
    assert not monitor.deaf(7 * SECOND_US) and monitor.deaf(10 * SECOND_US) and not monitor.deaf(40 * SECOND_US)


def test_a_call_distinguishes_a_machine_without_power_from_a_hung_one():
    """A hung machine accepts the connection without answering; a closed port refuses it at once."""
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


def test_redirects_use_the_clock_of_the_gateway():
    from test_edges import Part, ScriptedLink, report  # the harness of the gateway
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
