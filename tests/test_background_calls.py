"""Calls in helper greenlets of actors, and loops on which an actor depends, must survive failures.

A helper registered its call when it first ran, not when the actor decided on it. If two messages decided on calls to
one machine before that, each started a helper, the second overwrote the queue of the first, and commands waited for
the worker's next report; the log showed "a helper of this actor failed" with `KeyError` in `_send_all`. In the
same way an unexpected exception in a helper or loop blocked whatever waited behind it for ever. Deeply nested JSON
causes one: the decoder raises `RecursionError`, which no caller but the gateway expected.
"""

import logging

import gevent
import msgspec
import pytest
from gevent.event import AsyncResult
from gevent.server import StreamServer

from standins import FakeClock, job, make_config
from tideusher.actors import halts as halts_module
from tideusher.actors.base import Actor
from tideusher.actors.cloud import Cloud
from tideusher.actors.halts import REPEAT_INTERVAL_US, ForeignHaltSender
from tideusher.actors.peers import Link
from tideusher.config import Peer
from tideusher.core.lead.cluster import DirectCommand
from tideusher.core.model import keys
from tideusher.metrics import Metrics
from tideusher.wire import cloud as cloud_wire
from tideusher.wire import workers
from tideusher.wire.peers import Hello, frame
from tideusher.wire.workers import halt

DEEP = b'{"x":' + b"[" * 100_000


def running_tasks(sim, count=2):
    """Returns the leader's actor, a machine, and running tasks."""
    specs = [sim.submit(job("batch", 1, estimate_s=900.0)) for _ in range(count)]
    sim.run(10.0)
    leader = sim.nodes[sim.leader()].leader
    jobs = leader._engine.cluster.jobs
    machine = next(machine for machine in leader._engine.cluster.machines.values() if machine.tasks)
    return leader, machine, [task for spec in specs for task in jobs[spec.id].live.values()]


def stop(leader, machine, task):
    """Makes the leader stop the task at once."""
    leader._engine.cluster.direct.append(DirectCommand(machine, halt(task.name, task.attempt, 0.0)))
    leader._act(leader._engine)


def record_calls(sim, monkeypatch, fail_first=None):
    """Records the tasks of each direct call, which takes half a second; the first call may raise an exception."""
    made, call = [], sim.call

    def recorded(address, method, path, body):
        if path != "/do":
            return call(address, method, path, body)
        orders = msgspec.json.decode(body, type=workers.DirectCommands)
        made.append([command.task for command in orders.commands])
        sim.time.sleep(0.5)
        if fail_first is not None and len(made) == 1:
            raise fail_first
        return call(address, method, path, body)

    monkeypatch.setattr(sim, "call", recorded)
    return made


def test_commands_queued_behind_a_failing_direct_call_are_sent(sim, monkeypatch):
    sim = sim()
    leader, machine, tasks = running_tasks(sim)
    made = record_calls(sim, monkeypatch, fail_first=ValueError("planted"))
    stop(leader, machine, tasks[0])
    sim.run(0.1)
    stop(leader, machine, tasks[1])
    sim.run(1.5)
    assert made == [[tasks[0].name], [tasks[1].name]] and not leader._command_sender


def test_repeated_command_for_a_hanging_machine_is_queued_once(sim, monkeypatch):
    sim = sim()
    leader, machine, tasks = running_tasks(sim)
    made = record_calls(sim, monkeypatch)
    stop(leader, machine, tasks[0])
    sim.run(0.1)
    for _ in range(50):
        stop(leader, machine, tasks[1])
    sim.run(2.0)
    assert made == [[tasks[0].name], [tasks[1].name]]


# ---------------------------------------------------------------- halts for another leader's workers


class Workers:
    """Workers that answer once the test lets them."""

    def __init__(self, monkeypatch):
        self.sent, self.fail, self.open = [], set(), AsyncResult()
        sim = self

        class Client:
            def __init__(self, address, timeout_s, keep=4):
                self.address = address

            def call(self, method, path, body=None):
                return sim.call(self.address, path, body)

        monkeypatch.setattr(halts_module, "HttpClient", Client)

    def call(self, address, path, body):
        if path == "/show":
            self.open.get()
            if address in self.fail:
                raise ValueError("planted")
            return 200, workers.encode(workers.Report(address, address, "m4", "a", False, 1, 1, 0))
        orders = msgspec.json.decode(body, type=workers.DirectCommands)
        self.sent.append((address, orders.token, [command.task for command in orders.commands]))
        return 200, b"{}"


def spawn_with_log(function, *args):
    def logged():
        try:
            function(*args)
        except ValueError:
            logging.getLogger("leader").exception("a helper of this actor failed")

    gevent.spawn(logged)


@pytest.fixture
def foreign(monkeypatch):
    """A ForeignHaltSender with one call at a time, over workers that the test controls."""
    found = Workers(monkeypatch)
    found.clock = FakeClock()
    found.halts = ForeignHaltSender(found.clock, halts_module.SOCKET_SHARE_DIVISOR, spawn_with_log)
    return found


def job_on(harness, *hosts):
    return harness.place(job("batch", len(hosts), gpus=4.0), *hosts)


def test_queued_halt_is_sent_under_the_newest_token(foreign, harness):
    """A worker that has seen a newer token drops commands with an older one."""
    first, second = job_on(harness, "host-1"), job_on(harness, "host-2")
    foreign.halts.halt(first, 5, lambda name: name)
    gevent.idle()
    foreign.halts.halt(second, 9, lambda name: name)
    foreign.open.set(None)
    gevent.idle()
    assert [(host, token) for host, token, _ in foreign.sent][1:] == [("host-2", 9)]


def test_halts_queued_behind_a_failing_call_are_sent(foreign, harness):
    placed = job_on(harness, "host-1", "host-2", "host-3")
    foreign.fail.add("host-1")
    foreign.halts.halt(placed, 5, lambda name: name)
    foreign.open.set(None)
    gevent.idle()
    assert sorted(host for host, *_ in foreign.sent) == ["host-2", "host-3"]


def test_halts_of_a_repeatedly_cancelled_job_are_queued_once(foreign, harness):
    placed, blocked = job_on(harness, "host-2"), job_on(harness, "host-1")
    foreign.halts.halt(blocked, 5, lambda name: name)
    gevent.idle()
    for _ in range(20):
        foreign.halts.halt(placed, 5, lambda name: name)
        foreign.clock.us += REPEAT_INTERVAL_US
    foreign.open.set(None)
    gevent.idle()
    assert foreign.sent[1:] == [("host-2", 5, [f"{placed.spec.id}/0"])]


# ---------------------------------------------------------------- loops that must survive failures


def test_unexpected_error_in_a_commit_does_not_stop_all_writes(sim, monkeypatch):
    sim = sim()
    store = sim.nodes[sim.leader()].store
    txn, failed = store.txn, []

    def planted(guards, writes, *more, **options):
        if not failed and any(write.key.startswith(keys.PAGE_PREFIX) for write in writes):
            failed.append(writes)
            raise ValueError("planted")
        return txn(guards, writes, *more, **options)

    monkeypatch.setattr(store, "txn", planted)
    specs = [sim.submit(job("batch", 1, estimate_s=900.0)) for _ in range(2)]
    sim.run(20.0)
    assert failed and all(len(sim.on_machines(spec.id)) == 1 for spec in specs)


@pytest.mark.parametrize("error", [ValueError("planted"), None], ids=["any", "too deep"])
def test_unexpected_answer_of_the_cloud_ends_no_worker_greenlet(error, caplog):
    """Each of the cloud client's three greenlets ended with one such answer, so nothing was rented or returned."""
    cloud = Cloud(make_config(), FakeClock(), Metrics())
    cloud._bucket.set(1000.0, 1000.0)
    cloud.start()

    def call():
        if error is not None:
            raise error
        return cloud_wire.decode_rented(DEEP)

    answers = [AsyncResult() for _ in range(4)]
    for answer in answers:
        cloud.submit(Cloud.RENT, call, answer.set)
    last = AsyncResult()
    cloud.submit(Cloud.RENT, lambda: ["host-1"], last.set)
    assert last.get(timeout=5.0) == ["host-1"]
    assert [answer.get(timeout=5.0) for answer in answers] == [None] * 4


def test_failing_listener_does_not_stop_the_mirror(sim):
    sim = sim()
    name = next(name for name in sim.names if name != sim.leader())
    store, failed = sim.nodes[name].store, []

    def planted(key, value, stamp):
        if not failed and key.startswith(keys.JOB_PREFIX):
            failed.append(key)
            raise KeyError("planted")

    store.listen(planted)
    first = sim.submit(job("batch", 1, estimate_s=900.0), sim.leader())
    sim.run(5.0)
    second = sim.submit(job("batch", 1, estimate_s=900.0), sim.leader())
    sim.run(5.0)
    assert failed and {keys.job_key(first.id), keys.job_key(second.id)} <= set(store.mirror)


def test_unexpected_failure_of_a_read_is_reported_to_all_waiters(sim, monkeypatch):
    sim = sim()
    store = sim.nodes["n0"].store

    def planted(wait_ms):
        raise msgspec.DecodeError("planted")

    monkeypatch.setattr(store, "_poll", planted)
    began_us, answers = sim.clock.us, []
    sim.time.spawn(lambda: answers.append((store.sync(), sim.clock.us)))
    sim.run(3.0)
    assert [(succeeded, at_us - began_us < 1_000_000) for succeeded, at_us in answers] == [(False, True)]


def test_malformed_answer_to_a_lease_request_does_not_stop_elections(sim, monkeypatch):
    sim = sim()
    request, malformed = sim.service.request, [True]

    def planted(node, method, path, data):
        if path == "/holds" and malformed:
            return 200, b'{"mooring": "nine"}'
        return request(node, method, path, data)

    monkeypatch.setattr(sim.service, "request", planted)
    before = sim.leader()
    sim.end(before, back_s=1.0)
    sim.run(6.0)
    malformed.clear()
    sim.run(10.0)
    assert sim.leader() and sim.nodes[sim.leader()].leader._engine is not None


@pytest.mark.parametrize("body", [b"not JSON", DEEP, b'{"berth": 7}'], ids=["no JSON", "too deep", "no report"])
def test_malformed_answer_of_a_worker_is_logged_and_loses_no_command(sim, monkeypatch, caplog, body):
    """The commands are repeated in the answer to the worker's next report, and the leader continues."""
    sim = sim()
    leader, machine, tasks = running_tasks(sim)
    engine, call = leader._engine, sim.call

    def planted(address, method, path, data):
        return (200, body) if path in ("/do", "/show") else call(address, method, path, data)

    monkeypatch.setattr(sim, "call", planted)
    with caplog.at_level(logging.DEBUG):
        for task in tasks:
            engine.cluster.halt(task, 0.0, "the test stops it")
        leader._act(engine)
        sim.run(5.0)
    assert any(machine.name in text for text in caplog.messages if "bad answer" in text)
    assert "Traceback" not in caplog.text and "failed" not in caplog.text
    assert leader._engine is engine and not leader._command_sender
    assert all(task.job.live.get(task.index) is not task for task in tasks)


def test_link_reconnects_after_an_exception_in_its_callback():
    """The link's loop ended with the exception: the controllers had no contact until one of them was restarted."""
    received = AsyncResult()
    server = StreamServer(("127.0.0.1", 0), lambda sock, address: sock.sendall(frame(Hello("n1", True))))
    server.start()
    heartbeats = []

    def on_heartbeat(name, heartbeat):
        heartbeats.append(heartbeat)
        if len([one for one in heartbeats if one is not None]) == 1:
            raise KeyError("planted")
        if heartbeat is not None:
            received.set(heartbeat)

    peer = Peer("n1", "a", f"127.0.0.1:{server.server_port}")
    link = Link(peer, lambda: Hello("n0", True), FakeClock(), on_heartbeat)
    link.start()
    assert received.get(timeout=20.0).node == "n1"
    server.stop()


def test_actor_continues_when_its_failure_handler_fails():
    class Failing(Actor):
        def on_break(self):
            raise KeyError("planted")

        def on_ask(self):
            return "here"

        def failed(self, message, error):
            raise ValueError("planted too")

    actor = Failing("failing")
    actor.start()
    actor.tell("break")
    assert actor.ask("ask").get(timeout=20.0) == "here"
