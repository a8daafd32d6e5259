"""No message that we send is larger than the protocol allows: 64 KiB a request body, and a line of a response.

The failure: an array of thousands of small tasks was started on one machine by answers of up to 134 KB in one line,
which the worker did not read: its tasks never began, and its lease ran out (both reviews).
"""

import msgspec
import pytest

from standins import FakeClock, LeaderHarness, job, make_config
from tideusher.actors.command_sender import CommandSender
from tideusher.actors.connections import Connections
from tideusher.actors.halts import ForeignHaltSender
from tideusher.actors.replies import Reply
from tideusher.config import Team
from tideusher.core.model.records import UP, Machine
from tideusher.web import Web
from tideusher.wire import workers
from tideusher.wire.workers import MAX_LINE_BYTES, Commands

TASKS = 3000


def small(tasks=TASKS):
    return job("batch", tasks, cpus=0.005, gpus=0.0, ram_gb=0.001)


def placed_leader():
    harness = LeaderHarness(make_config(teams=[Team("red")]))
    placed = harness.place(small())
    assert len(placed.live) == TASKS
    return harness, placed


def answers(harness, placed, limit=20):
    """Has the machine report what it was told to run, until an answer is empty; returns the answers' commands."""
    running, found = {}, []
    for serial in range(2, limit):
        tasks = [(name, attempt, "running", None) for name, attempt in running.items()]
        commands = harness.report("host-1", serial, *tasks)
        assert len(workers.encode(Commands(harness.cluster.token, commands))) <= MAX_LINE_BYTES
        running |= {command.task: command.attempt for command in commands if command.op == "run"}
        found.append(commands)
        if not commands:
            return found
    raise AssertionError("the answers go on")


def test_starts_are_split_over_answers_and_each_is_sent_once():
    harness, placed = placed_leader()
    found = answers(harness, placed)
    started = [command.task for commands in found for command in commands]
    assert len(found) > 2 and len(started) == len(set(started)) == TASKS


def test_halts_and_what_holds_no_place_are_split_too():
    harness, placed = placed_leader()
    answers(harness, placed)
    running = [(task.name, task.attempt, "running", None) for task in placed.live.values()]
    harness.state.cancel(placed.spec.id)
    harness.see_jobs()
    strays = [(f"req-999999/{index}", 1, "exited", "done") for index in range(TASKS)]
    listed = running + strays
    for serial in range(30, 60):
        commands = harness.report("host-1", serial, *listed)
        assert len(workers.encode(Commands(harness.cluster.token, commands))) <= MAX_LINE_BYTES
        harness.commit()
        told = {command.task: command.op for command in commands}
        listed = [item for item in listed if told.get(item[0]) != "forget"]
        listed = [(*item[:2], "exited", "stopped") if told.get(item[0]) == "halt" else item for item in listed]
        if not listed:
            return
    raise AssertionError("not all were told")


class Bodies:
    """A client that keeps the bodies of the requests; the worker takes all of them."""

    sent: list = []

    def __init__(self, *_, **__):
        pass

    def call(self, method, path, body=None):
        if body is not None:
            self.sent.append(body)
        return 200, workers.encode(workers.Report("host-1", "a", "m4", "a", False, 7, 1, 1))


@pytest.mark.parametrize("module", ["command_sender", "halts"])
def test_direct_calls_are_split(module, monkeypatch):
    monkeypatch.setattr(f"tideusher.actors.{module}.HttpClient", Bodies)
    monkeypatch.setattr(Bodies, "sent", [])
    halts = [workers.halt(f"req-000001/{index}", 1, 0.0) for index in range(TASKS)]
    machine = Machine("host-1", "m4", "a", False, "r", 16.0, 4.0, 64.0, 0, phase=UP, address="a", session=7)
    if module == "halts":
        ForeignHaltSender(FakeClock(), 100, lambda *call: None)._call("a", halts)
    else:
        CommandSender(100, lambda *call: None, lambda token, body: None).call(machine, 1, halts)
    decoded = [msgspec.json.decode(body, type=workers.DirectCommands) for body in Bodies.sent]
    assert all(len(body) <= MAX_LINE_BYTES for body in Bodies.sent) and len(Bodies.sent) > 2
    assert [command for message in decoded for command in message.commands] == halts
    assert {message.session for message in decoded} == {7}


def test_a_call_without_commands_tells_the_worker_our_token(monkeypatch):
    """The failure: nothing was sent, and a worker that hears a deposed leader never followed the present one."""
    monkeypatch.setattr("tideusher.actors.command_sender.HttpClient", Bodies)
    monkeypatch.setattr(Bodies, "sent", [])
    machine = Machine("host-1", "m4", "a", False, "r", 16.0, 4.0, 64.0, 0, phase=UP, address="a", session=7)
    CommandSender(100, lambda *call: None, lambda token, body: None).call(machine, 3, [])
    (body,) = Bodies.sent
    assert msgspec.json.decode(body, type=workers.DirectCommands) == workers.DirectCommands(3, 7, [])


def test_long_answers_to_users_and_operators_have_short_lines():
    rows = [{"machine": f"host-{number:06d}", "note": "x" * 50} for number in range(2000)]
    connections = Connections(FakeClock(), 100, 6.0)
    web = Web("127.0.0.1:0", None, None, None, None, bytes, lambda: True, lambda: True, connections)
    web._route = lambda method, path, environ: Reply(200, rows)
    (body,) = web({"REQUEST_METHOD": "GET", "PATH_INFO": "/machines"}, lambda status, headers: None)
    assert max(map(len, body.splitlines())) <= MAX_LINE_BYTES and msgspec.json.decode(body) == rows
