"""Claims: leases on the program's own clock, fences, notices, lost keepers, and a paused program."""

import socket

import pytest

from history import KIND, TEAMS
from standins import FakeClock, LeaderHarness, job
from test_embed import Program
from tideusher.clock import SECOND_US
from tideusher.embed import Settings, small_job
from tideusher.embed.claim import ClaimLink, ClaimRefused, Claims
from tideusher.wire import claims as wire

SETTINGS = Settings([KIND], [], TEAMS)


class Keeper:
    """A scripted keeper, which checks the protocol version."""

    def __init__(self, clock):
        self.clock = clock
        self.sock, self.program_sock = socket.socketpair()
        self.sock.setblocking(False)
        self.frames, self.gone, self.hello_received = wire.frames(), [], False

    def send(self, *messages):
        for message in messages:
            self.sock.sendall(wire.frame(message))

    def grant(self, fence, lease_s=10.0, machine="host-1"):
        until_us = self.clock.us + round(lease_s * SECOND_US)
        self.send(wire.Granted("req-9", 0, fence, machine, KIND.name, "a", until_us, [0, 1, 2, 3]))

    def alive(self, fence, lease_s=10.0):
        self.send(wire.Alive(fence, self.clock.us + round(lease_s * SECOND_US)))

    def receive(self):
        try:
            for message in self.frames.feed(self.sock.recv(65536)):
                if not self.hello_received:
                    self.hello_received = True
                    reason = wire.refusal_of(message)
                    if reason:
                        self.send(wire.Refused(reason))
                elif isinstance(message, wire.Gone):
                    self.gone.append(message.fence)
        except BlockingIOError:
            pass
        return self.gone


@pytest.fixture
def claimed(tmp_path):
    clock = FakeClock()
    claims = Claims(clock)
    keeper = Keeper(clock)
    program = Program(tmp_path, SETTINGS, clock=clock, guard=claims.usable)
    program.keeper, program.claims = keeper, claims
    program.link = ClaimLink(keeper.program_sock, claims, "a test")
    program.link.serve(program.instance)
    yield program
    program.instance.close()


def test_small_jobs_run_inside_a_claim_while_it_is_renewed(claimed):
    claimed.instance.submit_many([small_job(f"req-{n}", "red", gpus=1.0) for n in range(1, 7)])
    assert not claimed.running  # no machine is granted yet
    claimed.keeper.grant(1)
    claimed.link.step()
    assert len(claimed.running) == 4 and {task.machine for task in claimed.running.values()} == {"host-1#1"}
    for _ in range(10):
        claimed.clock.pass_s(5)
        claimed.keeper.alive(1)
        claimed.link.step()
    assert not claimed.ending and claimed.claims.usable("host-1#1")
    for name in sorted(claimed.running):
        claimed.end(name)
    assert len(claimed.running) == 2 and claimed.keeper.receive() == []


def test_tasks_stop_before_the_lease_ends_and_gone_is_sent_once_they_have(claimed):
    claimed.keeper.grant(1)
    claimed.instance.submit_many([small_job(f"req-{n}", "red", gpus=1.0) for n in range(1, 7)])
    claimed.link.step()
    claimed.clock.pass_s(8.9)
    claimed.link.step()
    assert not claimed.ending
    claimed.clock.pass_s(0.1)  # one second before the cluster may reassign the machine
    claimed.link.step()
    assert len(claimed.ending) == 4 and claimed.keeper.receive() == []
    claimed.keeper.alive(1, 60)  # too late: a lost grant stays lost
    claimed.link.step()
    for name in sorted(claimed.running):
        claimed.running.pop(name).stopped()
        assert claimed.keeper.receive() == []
    claimed.link.step()
    assert claimed.keeper.receive() == [1] and claimed.instance.machines() == [] and not claimed.running
    claimed.keeper.grant(2)
    claimed.link.step()
    assert {(task.machine, task.attempt) for task in claimed.running.values()} == {("host-1#2", 2)}


def test_a_program_that_was_paused_beyond_its_lease_starts_no_task(claimed):
    """The process is paused between a placement and its start, and the clock has advanced when it resumes."""
    started = []

    def on_start(task):
        started.append(task.name)
        claimed.clock.pass_s(60)

    claimed.instance._on_start = on_start
    claimed.keeper.grant(1)
    claimed.instance.submit_many([small_job(f"req-{n}", "red", gpus=1.0) for n in range(1, 4)])
    claimed.link.step()
    assert started == ["req-1/0"]  # the start during which it was paused
    claimed.keeper.grant(2)
    claimed.clock.pass_s(60)  # the grant arrived during another pause
    claimed.link.step()
    assert started == ["req-1/0"]


def test_a_preempted_claim_is_released_within_its_notice(claimed):
    claimed.keeper.grant(1)
    claimed.instance.submit(small_job("req-1", "red", tasks=3, gpus=1.0))
    claimed.link.step()
    claimed.keeper.send(wire.Notice(1, 4.0, "it is past its protected time"))
    claimed.link.step()
    assert [task.grace_s for task in claimed.ending] == [4.0] * 3
    assert "past its protected time" in claimed.instance.explain("req-1")["stops"][0]["reason"]
    claimed.instance.submit(small_job("req-2", "red"))
    claimed.link.step()
    assert len(claimed.running) == 3
    for name in sorted(claimed.running):
        claimed.end(name, "stopped", kept=True)
    claimed.link.step()
    assert claimed.keeper.receive() == [1]


def test_late_and_repeated_messages_of_an_older_fence_are_ignored(claimed):
    claimed.keeper.grant(2)
    claimed.keeper.grant(2)
    claimed.keeper.grant(1, 1000)
    claimed.keeper.alive(1, 1000)
    claimed.keeper.send(wire.Notice(1, 0.0, "late"))
    claimed.link.step()
    assert claimed.instance.machines() == ["host-1#2"] and not claimed.claims.lost()
    claimed.keeper.alive(2, -5)  # a lease is never shortened
    claimed.link.step()
    assert claimed.claims.usable("host-1#2")
    claimed.keeper.grant(3, machine="host-2")  # the task was restarted elsewhere: older grants are void
    claimed.link.step()
    claimed.link.step()
    assert claimed.instance.machines() == ["host-2#3"] and claimed.keeper.receive() == [2]


@pytest.mark.parametrize("how", ["closed", "broken"])
def test_without_its_keeper_a_claim_is_used_until_its_lease_ends(claimed, how):
    claimed.keeper.grant(1)
    claimed.instance.submit(small_job("req-1", "red", tasks=2, gpus=1.0))
    claimed.link.step()
    if how == "broken":
        claimed.keeper.sock.sendall(b"no frame at all")
    else:
        claimed.keeper.sock.close()
    claimed.link.step()
    assert not claimed.link.connected and len(claimed.running) == 2 and not claimed.ending
    claimed.clock.pass_s(9)
    claimed.link.step()
    assert len(claimed.ending) == 2


def test_an_unknown_protocol_version_is_refused_with_both_versions_named(claimed, monkeypatch):
    keeper = Keeper(claimed.clock)
    monkeypatch.setattr(wire, "VERSION", 7)
    link = ClaimLink(keeper.program_sock, Claims(claimed.clock))
    monkeypatch.setattr(wire, "VERSION", 1)
    link.serve(claimed.instance)
    keeper.receive()
    with pytest.raises(ClaimRefused, match="version 7 of the claim protocol is unknown here; known is 1"):
        link.step()


def test_two_claims_compete_as_services_of_their_teams():
    """The cluster treats a claim as any service: team limit, rank, and release on proof of exit."""
    harness = LeaderHarness()
    first = harness.place(job("service", 1, gpus=4.0, priority="standard"))
    second = harness.submit(job("service", 1, gpus=4.0, team="blue", priority="standard"))
    harness.report("host-1", 2)
    harness.report("host-1", 3, (f"{first.spec.id}/0", 1, "running", None))
    harness.scheduler.schedule(harness.clock.now_us())
    harness.commit()
    assert first.live and not second.live
    harness.state.cancel(first.spec.id)  # the second one gets the GPUs only once the first has provably exited
    harness.see_jobs()
    harness.scheduler.schedule(harness.clock.now_us())
    assert not second.live
    harness.report("host-1", 4, (f"{first.spec.id}/0", 1, "exited", "stopped"))
    harness.scheduler.schedule(harness.clock.now_us())
    assert second.live
