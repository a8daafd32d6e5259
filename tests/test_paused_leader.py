"""A leader whose whole process is paused (SIGSTOP, a paused virtual machine) and resumes.

If the state service is down meanwhile, no other controller takes over: the lease gets its full time again after the
outage, and the leader's key still exists when it resumes. It must not start again, under the same token and names,
what it had started before the pause.
"""

import pytest

from standins import job
from tideusher.core.model import keys


def pause_in_outage(sim, paused_s=5.0, outage_s=7.0):
    """Pauses the leader during an outage of the state service, which prevents a takeover by another controller."""
    paused = sim.leader()
    sim.service.outage(outage_s)
    sim.run(1.0)
    sim.pause(paused, paused_s)
    sim.run(outage_s)
    return paused


def spot_then_ordinary(sim, paused_s=5.0, outage_s=7.0):
    """Spot machines are rented before the pause; ordinary ones are needed after it."""
    for _ in range(3):
        sim.submit(job("batch", 1, gpus=4.0, estimate_s=25.0, spot=True))
    sim.run(15.0)
    assert any(worker.spot for worker in sim.workers.values())
    pause_in_outage(sim, paused_s, outage_s)
    for _ in range(3):
        sim.submit(job("service", 1, gpus=4.0, estimate_s=0.0, team="blue", spot=False))


def test_leader_after_a_paused_one_starts_nothing_on_machines_of_the_wrong_kind(sim):
    sim = sim(machines=0)
    spot_then_ordinary(sim)
    sim.run(10.0)
    sim.end(sim.leader(), back_s=5.0)
    sim.run(15.0)
    more = [sim.submit(job("service", 1, gpus=4.0, estimate_s=0.0, team="poor", spot=False)) for _ in range(3)]
    sim.run(20.0)  # the rules are checked continuously
    assert all(sim.on_machines(spec.id) for spec in more)


def test_recorded_rentals_keep_their_kind_of_machine(sim):
    sim = sim(machines=0)
    spot_then_ordinary(sim)
    sim.run(10.0)
    for key, (value, _) in sim.service.state.items.items():
        if key.startswith(keys.RENTAL_PREFIX):
            there = [sim.workers[name].spot for name in value["machines"] if name in sim.workers]
            assert there == [value["spot"]] * len(there), key


def check_work_continues(sim):
    """Checks that ordinary jobs, spot jobs and a cancellation work after the faults."""
    ordinary = [sim.submit(job("service", 1, gpus=4.0, estimate_s=0.0, team="poor")) for _ in range(2)]
    spot = [sim.submit(job("batch", 1, gpus=4.0, estimate_s=900.0, team="poor", spot=True)) for _ in range(2)]
    sim.run(25.0)
    assert all(len(sim.on_machines(spec.id)) == 1 for spec in [*ordinary, *spot])
    sim.cancel(spot[0])
    sim.run(8.0)
    assert not sim.on_machines(spot[0].id)


def watch_tokens(sim):
    """Records the stamps of the leader's key, in their order."""
    stamps = []
    original = sim.service._route

    def route(method, path, query, body):
        answer = original(method, path, query, body)
        stamp = sim.service.state.stamp_of(keys.LEADER)
        if stamp and stamps[-1:] != [stamp]:
            stamps.append(stamp)
        return answer

    sim.service._route = route
    return stamps


@pytest.mark.parametrize("seed", [0, 1])
@pytest.mark.parametrize(
    ("paused_s", "outage_s"), [(1.0, 3.0), (2.5, 4.0), (3.5, 2.0), (5.0, 7.0), (8.0, 7.0), (20.0, 7.0), (20.0, 0.1)]
)
def test_pause_of_any_length_around_an_outage_breaks_no_rule(sim, seed, paused_s, outage_s):
    sim = sim(seed, machines=2)
    spot_then_ordinary(sim, paused_s, outage_s)
    sim.run(paused_s)
    check_work_continues(sim)


def test_repeated_pauses_in_outages_lead_under_a_new_token_each_time(sim):
    sim = sim(machines=2)
    stamps, names = watch_tokens(sim), []
    for _ in range(3):
        names.append(pause_in_outage(sim, 4.0, 6.0))
        sim.run(4.0)
    assert stamps == sorted(set(stamps)) and len(stamps) >= 3
    engines = [node.leader._engine_count for node in sim.nodes.values()]
    assert sum(engines) >= 4
    check_work_continues(sim)


def test_all_controllers_pause_in_an_outage_and_resume_at_once(sim):
    sim = sim(machines=2)
    spec = sim.submit(job("service", 2, estimate_s=0.0))
    sim.run(8.0)
    sim.service.outage(6.0)
    sim.run(0.5)
    for name in sim.names:
        sim.pause(name, 4.5)
    sim.run(12.0)
    assert len(sim.on_machines(spec.id)) == 2
    check_work_continues(sim)


@pytest.mark.parametrize("seed", range(3))
def test_late_transactions_of_a_paused_leader_have_no_effect(sim, seed):
    """Half of its transactions before the pause are executed seconds later, after its re-election."""
    sim = sim(seed, machines=1)
    sim.service.late = 0.5
    teams = ("red", "blue")
    specs = [sim.submit(job("batch", 2, gpus=2.0, estimate_s=900.0, team=team, spot=True)) for team in teams]
    sim.run(3.0)
    pause_in_outage(sim, 4.0, 5.0)
    sim.service.late = 0.0
    sim.run(25.0)
    assert [len(sim.on_machines(spec.id)) for spec in specs] == [2, 2]
    check_work_continues(sim)
