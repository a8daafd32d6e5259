"""Random days on which the scheduler's precautions meet, then calm: no job is left waiting beside room.

The failure: three precautions without an end (review/6, 7 and 8) and, before, a fourth (review/2). The bound is the
users': once the troubles are over no job waits for 90 s while one and the same machine that fits has room and its
team is under its limit, unless a gang of a higher rank holds the machine.

    WAITING_SEEDS=200 pytest -q tests/test_left_waiting.py -k no_job       a longer run
"""

import os
import random
from collections import Counter

import pytest

from simulated_cluster import SimulatedCluster
from standins import job
from tideusher.clock import SECOND_US
from tideusher.config import Objective, Team
from tideusher.core.decide import gang_reservations, reserves, task_failures
from tideusher.core.decide.eligibility import Reason
from tideusher.core.decide.gang_reservations import GangReservations
from tideusher.core.lead import cluster
from tideusher.core.lead.scheduler import Scheduler
from tideusher.core.model.records import allowed_on
from tideusher.playground.standins import TYPE

FIRST_SEED, SEEDS = int(os.environ.get("WAITING_FIRST", "0")), int(os.environ.get("WAITING_SEEDS", "8"))
TROUBLES_S, SETTLE_S, BOUND_S = 70, 20, 90
MACHINES = 6
TEAMS = [Team("red", gpus=16.0, gpus_max=40.0), Team("blue", gpus=16.0, gpus_max=40.0), Team("poor")]
#: Its objective is shorter than a boot and a fetch, so machines are kept free for the class.
WARM_CLASS = Objective("wait", "web", 2.0, 0.9)


class WaitingJudge:
    """Finds jobs of which no task is anywhere while one machine has room for it all the time, from the machines."""

    def __init__(self, sim):
        self.sim, self.seconds = sim, Counter()

    def look(self):
        """Takes another second into account; returns the (job, machine) pairs that are over the bound."""
        sim, seconds = self.sim, Counter()
        used = Counter()
        for worker in sim.workers.values():
            for task in worker.tasks.values():
                if task.state != "exited":
                    used[sim.specs[task.job].team] += sim.specs[task.job].gpus
        placed = {task.job for worker in sim.workers.values() for task in worker.tasks.values()}
        for name in sim.accepted:
            spec = sim.specs[name]
            over = name in sim.told or len(sim.rules.done_tasks.get(name, ())) == spec.tasks
            if over or spec.shape == "gang" or name in placed or self._at_limit(spec, used[spec.team]):
                continue
            for worker in sim.workers.values():
                if self._has_room(worker, spec) and not self._outranked(name, worker.name):
                    seconds[name, worker.name] = self.seconds[name, worker.name] + 1
        self.seconds = seconds
        return [pair for pair, count in seconds.items() if count >= BOUND_S]

    @staticmethod
    def _at_limit(spec, used):
        limit = next(team.gpus_max for team in TEAMS if team.name == spec.team)
        return bool(limit) and used + spec.gpus > limit + 1e-6

    def _has_room(self, worker, spec):
        if worker.dead or not allowed_on(spec, TYPE.name, worker.zone, worker.spot):
            return False
        there = [self.sim.specs[task.job] for task in worker.tasks.values() if task.state != "exited"]
        return (
            TYPE.cpus - sum(other.cpus for other in there) >= spec.cpus
            and TYPE.gpus - sum(other.gpus for other in there) >= spec.gpus
            and TYPE.ram_gb - sum(other.ram_gb for other in there) >= spec.ram_gb
        )

    def _outranked(self, name, machine):
        node = self.sim.nodes.get(self.sim.leader())
        engine = node.leader._engine if node is not None else None
        if engine is None or name not in engine.cluster.jobs or machine not in engine.cluster.machines:
            return False
        waiting, scheduler = engine.cluster.jobs[name], engine.scheduler
        terms = scheduler._terms(waiting, waiting.pending, self.sim.clock.us)
        found = scheduler.eligibility.obstacle(waiting, terms, engine.cluster.machines[machine], self.sim.clock.us)
        return (
            found is not None
            and found.reason is Reason.HELD
            and engine.cluster.jobs[found.for_job].spec.rank < waiting.spec.rank
        )


# What brings the precautions about. On each machine there is a service beside which no other of these fits.


def lose_machine_of_gang(sim, rng):
    """A gang runs on all machines of one zone; one of them stops, and the cloud has no other."""
    zone = rng.choice("ab")
    count = len([worker for worker in in_zone(sim, zone) if not worker.spot])
    gang = sim.submit(job("gang", max(2, count), gpus=3.0, cpus=8.0, one_zone=True, zone=zone, estimate_s=900.0))

    def lose():
        there = [worker for worker, _ in sim.on_machines(gang.id)]
        if there:
            rng.choice(there).dead = True

    sim.time.later(12.0, lose)
    submit_later(sim, 35.0, job("batch", 1, zone=zone, estimate_s=900.0))


def gang_beside_long_work(sim, rng):
    """A gang waits for machines on which long work leaves a part free."""
    zone = rng.choice("ab")
    count = len(in_zone(sim, zone))
    for _ in range(count):
        sim.submit(job("batch", 1, zone=zone, cpus=8.0, gpus=1.0, team="blue", estimate_s=600.0))
    gang = job("gang", max(2, count), cpus=8.0, gpus=2.0, one_zone=True, zone=zone, team="blue", estimate_s=30.0)
    submit_later(sim, 5.0, gang)
    submit_later(sim, 66.0, job("batch", 1, zone=zone, team="blue", estimate_s=900.0))


def lose_zone_and_controllers(sim, rng):
    """All machines of a zone are taken back without a notice as its controllers end; the cloud no longer has them."""
    zone = rng.choice("ab")
    for _ in range(4):
        sim.submit(job("batch", 1, team=rng.choice(["red", "blue"]), estimate_s=900.0))
    sim.time.later(12.0, lambda: lose_zone(sim, zone))


def lose_zone(sim, zone):
    for name in [name for name in sim.names if sim.zone_of[name] == zone and name in sim.nodes]:
        sim.end(name, back_s=5.0)
    take_back(sim, in_zone(sim, zone))


def lose_spot_machines(sim, rng):
    """The spot machines are taken back without a notice."""
    take_back(sim, [worker for worker in sim.workers.values() if worker.spot])


def services_that_keep_machines_warm(sim, rng):
    """Services of a class with a short objective arrive, so capacity is kept free for more of them."""
    for number in range(14):
        spec = job("service", 1, job_class="web", cpus=2.0, priority="critical", estimate_s=0.0, team="red")
        submit_later(sim, 3.0 * number + rng.random(), spec)
    submit_later(sim, 44.0, job("batch", 1, cpus=10.0, gpus=0.0, spot=True, team="poor", estimate_s=900.0))


def sick_zone(sim, rng):
    """Tasks fail on all machines of a zone for a time; a job may run nowhere else."""
    zone = rng.choice("ab")
    for worker in in_zone(sim, zone):
        worker.sick = True
        sim.time.later(20.0, lambda worker=worker: setattr(worker, "sick", False))
    submit_later(sim, 0.5, job("batch", 1, zone=zone, estimate_s=900.0))


def urgent_work(sim, rng):
    """Critical jobs stop others, and keep the places for themselves."""
    for _ in range(6):
        sim.submit(job("batch", 2, gpus=2.0, priority="critical", team=rng.choice(["red", "blue"]), estimate_s=25.0))


def next_leader(sim, rng):
    if sim.leader() in sim.nodes:
        sim.end(sim.leader(), back_s=1.0)


def in_zone(sim, zone):
    return [worker for worker in sim.workers.values() if worker.zone == zone and not worker.dead]


def take_back(sim, workers):
    for worker in workers:
        worker.dead = True
        del sim.workers[worker.name]


def submit_later(sim, after_s, spec):
    sim.time.later(after_s, lambda: sim.submit(spec))


TROUBLES = [
    lose_machine_of_gang,
    gang_beside_long_work,
    lose_zone_and_controllers,
    lose_spot_machines,
    services_that_keep_machines_warm,
    sick_zone,
    urgent_work,
    next_leader,
]


def small_job(rng):
    return job(
        rng.choice(["batch", "batch", "service"]),
        rng.choice([1, 2]),
        job_class="small",
        team=rng.choice(["red", "blue", "poor"]),
        priority=rng.choice(["standard", "urgent", "best_effort"]),
        cpus=rng.choice([1.0, 4.0]),
        gpus=rng.choice([0.0, 0.5, 1.0]),
        spot=rng.random() < 0.4,
        estimate_s=rng.choice([8.0, 40.0, 600.0]),
        zone=rng.choice([None, None, "a", "b"]),
    )


def play(monkeypatch, seed, troubles=None, machines=MACHINES):
    """Plays a day, and returns the pairs of a job and a machine with room beside which it was left waiting."""
    rng = random.Random(f"waiting/{seed}")
    sim = SimulatedCluster(monkeypatch, seed, machines=machines, fetch_s=0.5, teams=TEAMS, objectives=[WARM_CLASS])
    try:
        sim.run(6.0)
        sim.rent("spot", rng.choice("ab"), True, 1, boots_s=0.0)
        for number in range(machines):
            sim.submit(job("service", 1, zone="ab"[number % 2], gpus=0.5, cpus=2.0, ram_gb=40.0, estimate_s=0.0))
        sim.run(8.0)
        sim.capacity = 0  # the cloud has no more
        for trouble in troubles or rng.sample(TROUBLES, 3):
            sim.time.later(rng.uniform(0.1, 2.0 if troubles else 30.0), lambda trouble=trouble: trouble(sim, rng))
        for _ in range(TROUBLES_S):
            if not troubles and rng.random() < 0.15:
                sim.submit(small_job(rng))
            sim.run(1.0)
        sim.submit(small_job(rng))
        sim.run(SETTLE_S)
        judge = WaitingJudge(sim)
        for _ in range(BOUND_S + 10):
            sim.run(1.0)
            found = judge.look()
            if found:
                return found
    finally:
        sim.close()
    return []


@pytest.mark.parametrize("seed", range(FIRST_SEED, SEEDS))
def test_no_job_is_left_waiting_beside_a_machine_with_room(seed, monkeypatch):
    assert play(monkeypatch, seed) == []


# Planted: each precaution without its end, as it was


def holds_without_an_end(monkeypatch):
    monkeypatch.setattr(gang_reservations, "MAX_HOLD_WITHOUT_PROGRESS_US", 10**6 * SECOND_US)
    monkeypatch.setattr(Scheduler, "_zone_rating", lambda *args: lambda job, zone: gang_reservations.BEST)


def busy_holds_without_an_end(monkeypatch):
    monkeypatch.setattr(GangReservations, "_released_to", lambda *args: None)


def reserves_without_an_end(monkeypatch):
    monkeypatch.setattr(reserves, "MAX_KEPT_OUT_US", 10**6 * SECOND_US)


def lists_that_prove_nothing(monkeypatch):
    monkeypatch.setattr(cluster, "left_out", lambda *args: [])


def failures_that_are_never_forgotten(monkeypatch):
    monkeypatch.setattr(task_failures, "FIRST_AVOIDED_US", 10**6 * SECOND_US)
    monkeypatch.setattr(task_failures, "LAST_AVOIDED_US", 10**6 * SECOND_US)


#: What each planted fault needs: troubles, and the number of machines.
PLANTS = {
    holds_without_an_end: ([lose_machine_of_gang], MACHINES),
    busy_holds_without_an_end: ([gang_beside_long_work], MACHINES),
    reserves_without_an_end: ([services_that_keep_machines_warm, lose_spot_machines], MACHINES),
    lists_that_prove_nothing: ([lose_zone_and_controllers], 2),  # of other machines of a zone there are witnesses
    failures_that_are_never_forgotten: ([sick_zone], MACHINES),
}
#: Days in which each must be found.
PLANTED_DAYS = 5


@pytest.mark.parametrize("plant", PLANTS)
def test_a_precaution_without_an_end_is_found(plant, monkeypatch):
    plant(monkeypatch)
    days = (play(monkeypatch, seed, *PLANTS[plant]) for seed in range(PLANTED_DAYS))
    assert any(days), f"not found in {PLANTED_DAYS} days"
