"""A pass that ends with an exception: the leader does not stay in office and place nothing."""

import logging

from standins import job
from tideusher.core.lead.scheduler import Scheduler


def fail_for(monkeypatch, wanted):
    """Plant an exception in the placing of one job."""
    original = Scheduler._place_job

    def planted(self, one, room, now_us):
        if one.spec.id == wanted:
            raise KeyError("planted")
        return original(self, one, room, now_us)

    monkeypatch.setattr(Scheduler, "_place_job", planted)


def test_a_job_that_makes_the_pass_fail_is_set_aside_and_the_others_start(sim, monkeypatch, caplog):
    sim = sim()
    bad = job("service", 1, estimate_s=0.0, priority="critical", team="red")
    fail_for(monkeypatch, bad.id)
    sim.submit(bad)
    sim.run(2.0)
    others = [sim.submit(job("batch", 2, estimate_s=900.0, team=team)) for team in ("red", "blue", "poor")]
    with caplog.at_level(logging.ERROR):
        sim.run(20.0)
    assert [len(sim.on_machines(spec.id)) for spec in others] == [2, 2, 2]
    assert not sim.on_machines(bad.id)
    assert bad.id in caplog.text
