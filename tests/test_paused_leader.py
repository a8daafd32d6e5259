"""A leader whose whole process stands still (SIGSTOP, a paused virtual machine) and goes on.

While the state service is out for the others too nobody takes its place: its lease gets its full time again, and the
key is still there when it looks. What it had begun under its token must then not be begun anew under the same names.
"""

from standins import job
from tideusher.core.picture import keys


def pause_in_outage(sim, paused_s=5.0, outage_s=7.0):
    """The leader stands still within an outage of the state service, which keeps the others from its place."""
    paused = sim.leader()
    sim.service.outage(outage_s)
    sim.run(1.0)
    sim.pause(paused, paused_s)
    sim.run(outage_s)
    return paused


def spot_then_ordinary(sim):
    """Spot machines are rented before the pause, ordinary ones are wanted after it."""
    for _ in range(3):
        sim.submit(job("batch", 1, gpus=4.0, estimate_s=25.0, spot=True))
    sim.run(15.0)
    assert any(worker.spot for worker in sim.workers.values())
    pause_in_outage(sim)
    for _ in range(3):
        sim.submit(job("service", 1, gpus=4.0, estimate_s=0.0, team="blue", spot=False))


def test_the_next_leader_after_one_that_paused_starts_nothing_on_machines_of_the_wrong_kind(sim):
    sim = sim(machines=0)
    spot_then_ordinary(sim)
    sim.run(10.0)
    sim.end(sim.leader(), back_s=5.0)
    sim.run(15.0)
    more = [sim.submit(job("service", 1, gpus=4.0, estimate_s=0.0, team="poor", spot=False)) for _ in range(3)]
    sim.run(20.0)  # the rules are judged all the time
    assert all(sim.on_machines(spec.id) for spec in more)


def test_no_rental_on_record_becomes_another_one(sim):
    sim = sim(machines=0)
    spot_then_ordinary(sim)
    sim.run(10.0)
    for key, (value, _) in sim.service.state.items.items():
        if key.startswith(keys.RENTAL_PREFIX):
            there = [sim.workers[name].spot for name in value["machines"] if name in sim.workers]
            assert there == [value["spot"]] * len(there), key
