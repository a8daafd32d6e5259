"""A scheduling pass that raises an exception: the leader must not keep leading without placing anything."""

import logging

from standins import job
from tideusher.actors.leader import Leader
from tideusher.core.decide.pass_failures import (
    FIRST_PAUSE_US,
    LAST_PAUSE_US,
    MOST,
    WINDOW_US,
    PassFailed,
    PassFailures,
    Remedy,
)
from tideusher.core.lead.scheduler import Scheduler
from tideusher.core.lead.standby import Standby
from tideusher.core.model import keys


def fail_placement_of(monkeypatch, wanted):
    """Raises an exception whenever the scheduler places this job."""
    original = Scheduler._place_job

    def planted(self, one, room, now_us):
        if one.spec.id == wanted:
            raise KeyError("planted")
        return original(self, one, room, now_us)

    monkeypatch.setattr(Scheduler, "_place_job", planted)


def test_a_job_that_makes_the_pass_fail_is_quarantined_and_the_others_start(sim, monkeypatch, caplog):
    sim = sim()
    bad = job("service", 1, estimate_s=0.0, priority="critical", team="red")
    fail_placement_of(monkeypatch, bad.id)
    sim.submit(bad)
    sim.run(2.0)
    others = [sim.submit(job("batch", 2, estimate_s=900.0, team=team)) for team in ("red", "blue", "poor")]
    with caplog.at_level(logging.ERROR):
        sim.run(20.0)
    assert [len(sim.on_machines(spec.id)) for spec in others] == [2, 2, 2]
    assert not sim.on_machines(bad.id)
    assert bad.id in caplog.text


def test_a_leader_whose_passes_fail_for_no_known_job_gives_up_the_leadership(sim, monkeypatch):
    sim = sim()
    before = sim.leader()
    failing = {id(sim.nodes[before].leader)}
    original = Leader.on_tick

    def planted(self):
        if id(self) in failing and self._engine is not None:
            self._engine.scheduler._plan_fleet = fail
        original(self)

    def fail(requests, now_us):
        raise KeyError("planted")

    monkeypatch.setattr(Leader, "on_tick", planted)
    sim.run(10.0)
    assert sim.leader() not in ("", before)
    assert sim.nodes[before].metrics.counts["pass_failures", "KeyError"] == MOST
    specs = [sim.submit(job("batch", 2, estimate_s=900.0, team=team)) for team in ("red", "blue")]
    sim.run(10.0)
    assert [len(sim.on_machines(spec.id)) for spec in specs] == [2, 2]


def test_a_failed_takeover_is_repeated_from_the_records(sim, monkeypatch):
    sim = sim()
    original, planted = Standby.catch_up, ["planted"]

    def fail_once(self, now_us):
        if planted:
            raise KeyError(planted.pop())
        return original(self, now_us)

    monkeypatch.setattr(Standby, "catch_up", fail_once)
    sim.end(sim.leader(), back_s=1.0)
    sim.run(10.0)
    specs = [sim.submit(job("batch", 2, estimate_s=900.0))]
    sim.run(10.0)
    assert not planted and [len(sim.on_machines(spec.id)) for spec in specs] == [2]


def test_each_term_after_a_failed_pass_has_a_new_token(sim, monkeypatch):
    sim = sim()
    bad = job("service", 1, estimate_s=0.0, priority="critical", team="red")
    fail_placement_of(monkeypatch, bad.id)
    before = sim.service.state.stamp_of(keys.LEADER)
    sim.submit(bad)
    sim.run(5.0)
    assert sim.service.state.stamp_of(keys.LEADER) > before
    assert sim.nodes[sim.leader()].metrics.counts["leaderships", ""] == 2


def test_a_job_is_quarantined_for_twice_as_long_each_time():
    failures, now_us, paused = PassFailures(), 0, []
    for _ in range(10):
        assert failures.failed(PassFailed("req-1"), now_us) is Remedy.REBUILD
        assert failures.is_quarantined("req-1", now_us) and not failures.is_quarantined("req-2", now_us)
        paused.append(failures.jobs["req-1"].until_us - now_us)
        now_us = failures.jobs["req-1"].until_us
        assert not failures.is_quarantined("req-1", now_us)
    assert paused[:3] == [FIRST_PAUSE_US, 2 * FIRST_PAUSE_US, 4 * FIRST_PAUSE_US] and paused[-1] == LAST_PAUSE_US


def test_failures_far_apart_do_not_end_the_leadership():
    failures = PassFailures()
    assert {failures.failed(KeyError(), n * WINDOW_US) for n in range(9)} == {Remedy.REBUILD}
    assert [failures.failed(KeyError(), 99 * WINDOW_US) for _ in range(MOST)][-1] is Remedy.STEP_DOWN
