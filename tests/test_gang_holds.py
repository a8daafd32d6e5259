"""Machines held for a gang: only while it may get the rest, and not for ever.

The failure: a gang of four lost a machine that the cloud did not have again, and a small job of its team waited for
as long as it was looked at beside three empty machines, which were held for the gang (review/7).
"""

import pytest

from standins import job
from test_core import machine, running
from tideusher.clock import SECOND_US
from tideusher.config import Team
from tideusher.core.decide import gang_reservations
from tideusher.core.decide.gang_reservations import BEST, NONE, GangReservations, Request
from tideusher.core.model.records import Job

HOLD_S = gang_reservations.MAX_HOLD_WITHOUT_PROGRESS_US // SECOND_US


def gang_of(tasks, **fields):
    return Job(job("gang", tasks, gpus=4.0, one_zone=True, **fields), 1, 0, 0)


def holds(reservations, gang, free, now_s, offer=BEST):
    """Returns the number of machines held for a gang after a pass, and the requests for the rest."""
    count = gang.spec.tasks
    requests = reservations.update([(gang, count)], free, free, lambda job, zone: offer, now_us=now_s * SECOND_US)
    return len(reservations.held), requests


def test_nothing_is_held_where_zone_and_cloud_cannot_hold_the_gang():
    gang, free = gang_of(4), [machine(f"host-{number}", "a") for number in range(3)]
    reservations = GangReservations()
    assert holds(reservations, gang, free, 0, NONE) == (0, [Request(gang, 4)])  # rented wherever there is capacity
    assert holds(reservations, gang, free, 1, BEST) == (3, [Request(gang, 1, "a")])
    assert holds(reservations, gang, free, 2, NONE)[0] == 0


def test_a_hold_without_progress_is_released_for_longer_each_time():
    gang, free = gang_of(4), [machine(f"host-{number}", "a") for number in range(3)]
    reservations = GangReservations()
    held = [bool(holds(reservations, gang, free, second)[0]) for second in range(400)]
    changes = [second for second in range(1, 400) if held[second] != held[second - 1]]
    durations = [after - before for before, after in zip([0, *changes], changes, strict=False)]
    assert held[0] and durations[:8] == [HOLD_S, 15, HOLD_S, 30, HOLD_S, 60, HOLD_S, 60]


def test_a_hold_that_gains_machines_goes_on_and_a_new_gang_has_a_hold_of_its_own():
    gang, free = gang_of(12), [machine(f"host-{number:02}", "a") for number in range(11)]
    reservations = GangReservations()
    for gained in range(1, 12):
        for second in range(20):
            assert holds(reservations, gang, free[:gained], 20 * gained + second)[0] == gained
    for second in range(240, 300):
        holds(reservations, gang, free, second)
    assert not reservations.held
    assert holds(reservations, gang_of(12), free, 300)[0] == 11


@pytest.mark.parametrize("arrivals_s", [0, 4])
def test_small_jobs_run_beside_a_gang_that_lost_a_machine_and_the_gang_once_there_are_enough(sim, arrivals_s):
    """`arrivals_s`: a small job arrives so often, for ever; 0: one alone."""
    sim = sim(machines=8, fetch_s=0.5, teams=[Team("red", gpus=32.0, gpus_max=64.0)])
    sim.capacity = 0
    gang = sim.submit(job("gang", 4, gpus=4.0, one_zone=True, zone="a", estimate_s=900.0))
    sim.run(15.0)
    (first, *_) = [worker for worker, _ in sim.on_machines(gang.id)]
    first.dead = True
    sim.run(20.0)  # until it is returned
    small = [sim.submit(job("batch", 1, zone="a", gpus=1.0, estimate_s=6.0))]
    for second in range(90):
        if arrivals_s and second % arrivals_s == 0:
            small.append(sim.submit(job("batch", 1, zone="a", gpus=1.0, estimate_s=6.0)))
        sim.run(1.0)
    assert len(sim.rules.done_tasks.get(small[0].id, ())) == 1 and not sim.on_machines(gang.id)
    sim.capacity = 1000
    for second in range(150):
        if arrivals_s and second % arrivals_s == 0:
            sim.submit(job("batch", 1, zone="a", gpus=1.0, estimate_s=6.0))
        sim.run(1.0)
        if len(sim.on_machines(gang.id)) == 4:
            return
    raise AssertionError("the gang starves")


def busy_fleet(gang, work_gpus=2.0):
    """Returns four machines that run long work beside which they have free capacity."""
    machines = [machine(f"host-{number}", "a") for number in range(4)]
    for one in machines:
        running(job("service", gpus=work_gpus), one)
    return machines


def hold_busy(reservations, gang, machines, now_s):
    reservations.update(
        [(gang, gang.spec.tasks)],
        machines,
        machines,
        lambda job, zone: NONE,
        long_us=lambda job: 1,
        now_us=now_s * SECOND_US,
    )


def opened_at(reservations, gang, machines, waiting, seconds=400):
    """Returns the seconds at which a job that has waited for long may use a held machine."""
    found = []
    for second in range(seconds):
        hold_busy(reservations, gang, machines, second)
        assert not reservations.may_use(waiting, machines[0], {}, kept_out=False)
        if reservations.may_use(waiting, machines[0], {}, kept_out=True):
            found.append(second)
    return found


@pytest.mark.parametrize(
    ("priority", "first_s"), [("standard", HOLD_S), ("best_effort", HOLD_S + 15 + HOLD_S + 30 + HOLD_S)]
)
def test_busy_machines_held_without_progress_are_released_to_jobs_that_wait_for_long(priority, first_s):
    """The failure: jobs waited beside machines with room for as long as the work there went on."""
    gang = Job(job("gang", 2, gpus=2.0, cpus=8.0, one_zone=True), 1, 0, 0)
    machines = busy_fleet(gang, work_gpus=3.0)
    for one in machines[:3]:
        one.tasks[next(iter(one.tasks))].job.spec = job("batch", gpus=3.0, estimate_s=900.0)
    waiting = Job(job("batch", 1, gpus=1.0, priority=priority), 1, 0, 0)
    reservations = GangReservations()
    opened = opened_at(reservations, gang, machines, waiting)
    assert reservations.held and opened[0] == first_s
    assert 0 < len(opened) < 250  # it is taken up again each time


def test_a_small_job_runs_beside_long_work_on_machines_that_a_gang_waits_for(sim):
    """The bound is the users': 90 s beside a machine with room; the gang still gets its machines as the work ends."""
    sim = sim(machines=6, teams=[Team("red", gpus=32.0, gpus_max=64.0)])
    sim.capacity = 0
    long = [sim.submit(job("batch", 1, zone="a", cpus=10.0, gpus=1.0, estimate_s=240.0)) for _ in range(3)]
    sim.run(10.0)
    assert sum(len(sim.on_machines(spec.id)) for spec in long) == 3
    gang = sim.submit(job("gang", 3, cpus=10.0, gpus=2.0, one_zone=True, zone="a", estimate_s=60.0))
    sim.run(70.0)  # until it has waited for so long that busy machines are held for it
    small = sim.submit(job("batch", 1, zone="a", gpus=1.0, estimate_s=300.0))
    for _ in range(90):
        sim.run(1.0)
        if sim.on_machines(small.id):
            break
    assert sim.on_machines(small.id)
    for _ in range(240):
        sim.run(1.0)
        if len(sim.on_machines(gang.id)) == 3:
            return
    raise AssertionError("the gang starves")
