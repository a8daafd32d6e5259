"""Two or three troubles drawn by a seed, with overlapping times, over whole controllers (`town.py`).

    MEETINGS_SEEDS=500 pytest -q tests/test_pairs.py -k pairs       a longer run

Judged are all rules of the protocol, and that every job that was accepted and not cancelled is done, or runs, or is
known, once the troubles are over. Planted faults show that each of these is found.
"""

import os
import random
import re

import pytest

from standins import job
from tideusher.actors.replies import Reply
from tideusher.actors.users import Users
from tideusher.core.lead.cluster import Cluster
from tideusher.core.lead.reports import Reports
from tideusher.core.picture import keys
from tideusher.core.picture.keeper import Keeper
from tideusher.core.picture.records import JOB_CANCELLED, JOB_DONE
from tideusher.wire.jobs import JobStatus
from town import Town

SEEDS = int(os.environ.get("MEETINGS_SEEDS", "12"))
TROUBLES_S, AFTER_S = 60.0, 75.0


def crash(town, rng, for_s):
    """One or all controllers end, and are back within a fraction of a second or a while."""
    names = [name for name in town.names if name in town.nodes]
    ended = names if rng.random() < 0.3 else [town.leader() if town.leader() in names else names[0]]
    for name in ended:
        town.end(name, back_s=rng.choice([0.05, 0.2, 1.0, 5.0]))


def roll(town, rng, for_s):
    for number, name in enumerate(town.names):
        town.hours.later(0.1 + 3.0 * number, lambda name=name: name in town.nodes and town.end(name, back_s=0.5))


def outage(town, rng, for_s):
    town.service.outage(for_s)


def refused(town, rng, for_s):
    name = town.leader() or town.names[0]
    town.service.refused.add(name)
    town.hours.later(for_s, lambda: town.service.refused.discard(name))


def cut_off(town, rng, for_s):
    """From the state service and the other controllers, not from workers and users."""
    name = town.leader() or town.names[0]
    town.service.refused.add(name)
    town.cuts.add(name)
    town.hours.later(for_s, lambda: (town.service.refused.discard(name), town.cuts.discard(name)))


def deaf(town, rng, for_s):
    names = rng.sample(sorted(town.workers), len(town.workers) // 2)
    town.deaf |= set(names)
    town.hours.later(for_s, lambda: town.deaf.difference_update(names))


def copies(town, rng, for_s):
    town.copies = 0.4
    town.hours.later(for_s, lambda: setattr(town, "copies", 0.0))


def late(town, rng, for_s):
    town.service.late = 0.3
    town.hours.later(for_s, lambda: setattr(town.service, "late", 0.0))


def slow(town, rng, for_s):
    town.service.slow_s = 1.5
    town.hours.later(for_s, lambda: setattr(town.service, "slow_s", 0.0))


def links(town, rng, for_s):
    town.delay_s = 0.8
    town.hours.later(for_s, lambda: setattr(town, "delay_s", 0.001))


def unheard(town, rng, for_s):
    """A controller loses its workers."""
    pair = ("workers", town.leader() or town.names[0])
    town.cuts.add(pair)
    town.hours.later(for_s, lambda: town.cuts.discard(pair))


def frozen(town, rng, for_s):
    """Reports that a controller has taken wait there, and their answers come late."""
    town.frozen[town.leader() or town.names[0]] = town.clock.us + round(min(for_s, 12.0) * 1e6)


def die(town, rng, for_s):
    names = sorted(town.workers)
    for name in rng.sample(names, min(2, len(names))):
        town.workers[name].dead = True


TROUBLES = [crash, roll, outage, refused, cut_off, deaf, copies, late, slow, links, unheard, frozen, die]


def a_job(rng):
    shape = rng.choice(["batch", "batch", "gang", "service"])
    return job(
        shape,
        tasks=rng.choice([1, 2, 3]),
        team=rng.choice(["red", "blue"]),
        priority={"batch": "standard", "gang": "urgent", "service": "critical"}[shape],
        one_zone=shape == "gang",
        spread=shape == "service",
        spot=shape == "batch",
        estimate_s=rng.choice([3.0, 10.0, 40.0, 300.0]) if shape != "service" else 0.0,
        checkpoint_s=10.0 if shape == "gang" else 0.0,
        save_s=1.0 if shape == "gang" else 0.0,
        gpus=rng.choice([0.5, 1.0]),
    )


def play(monkeypatch, seed, troubles=None, cancels=0.25):
    """A day of that seed: jobs all the time, two or three troubles, then quiet."""
    rng = random.Random(seed)
    drawn = troubles or rng.sample(TROUBLES, rng.choice([2, 3]))
    town = Town(monkeypatch, seed)
    try:
        town.run(8.0)
        begin = rng.uniform(0.0, 8.0)
        for trouble in drawn:
            for_s = rng.choice([2.0, 8.0, 15.0, 30.0])
            town.hours.later(begin + rng.uniform(0.1, 12.0), lambda t=trouble, s=for_s: t(town, rng, s))
        specs = []
        for second in range(round(TROUBLES_S)):
            if second < 40 and rng.random() < 0.3:
                specs.append(town.submit(a_job(rng)))
            if specs and rng.random() < cancels:
                town.cancel(rng.choice(specs))
            for spec in rng.sample(specs, min(2, len(specs))):
                if spec.id in town.accepted:
                    town.hours.spawn(town.poll, spec.id)
            town.run(1.0)
        town.run(AFTER_S)
        finish(town, specs)
    finally:
        town.close()
    return town


def finish(town, specs):
    """Once all is quiet each accepted job is answered for, and is over or on its machines."""
    for spec in specs:
        if spec.id not in town.accepted:
            continue
        answers = []
        town.hours.spawn(lambda spec=spec, answers=answers: answers.append(town.poll(spec.id)))
        town.run(3.0)
        assert answers and answers[0] is not None, f"forgotten: nobody answers for {spec.id}"
        there = bool(town.on_machines(spec.id))
        over = answers[0] in ("done", "withdrawn")
        assert there != over or (not over and town.waits(spec.id)), f"{spec.id} is {answers[0]}, on machines: {there}"


@pytest.mark.parametrize("seed", range(int(os.environ.get("MEETINGS_FIRST", "0")), SEEDS))
def test_pairs_of_troubles_break_no_rule(seed, monkeypatch):
    play(monkeypatch, seed)


# Planted faults


def late_writes_count(monkeypatch):
    """What is carried out late is written whatever came after it."""
    next_batch = Keeper.next_batch

    def unguarded(keeper, room, lazy=None):
        batch = next_batch(keeper, room, lazy)
        if batch is not None:
            batch.guards = [guard for guard in batch.guards if guard.key == keys.LEADER]
        return batch

    monkeypatch.setattr(Keeper, "next_batch", unguarded)


def old_reports_prove(monkeypatch):
    """Whatever a report does not list is gone, and no report is too old."""
    digest = Reports._digest

    def any_age(reports, machine, report, now_us, asked):
        machine.session, machine.serial = min((machine.session, machine.serial), (report.session, report.serial - 1))
        for (job_id, index), task in list(machine.tasks.items()):
            if task.sent and not any(item.task == f"{job_id}/{index}" for item in report.tasks):
                reports._c.lost(task, "planted", now_us)
        return digest(reports, machine, report, now_us, asked)

    monkeypatch.setattr(Reports, "_digest", any_age)


def cancelled_in_one_mirror(monkeypatch):
    """The node that is asked says so, and nobody else knows."""

    def cancel(users, job_id):
        stored = users._store.mirror.get(keys.job_key(job_id))
        if stored is None or stored.value["st"] == JOB_DONE:
            return users.poll(job_id)
        stored.value = {**stored.value, "st": JOB_CANCELLED}
        return Reply(200, JobStatus(job_id, "withdrawn"))

    monkeypatch.setattr(Users, "cancel", cancel)


def done_but_for_one(monkeypatch):
    """The last task of a job is not waited for."""
    finish = Cluster._finish_if_done

    def early(cluster, job):
        if job.spec.tasks > 1 and job.done_count == job.spec.tasks - 1 and not job.finish_dirty:
            cluster._finish(job, JOB_DONE)
        finish(cluster, job)

    monkeypatch.setattr(Cluster, "_finish_if_done", early)


def long(trouble):
    return lambda town, rng, for_s: trouble(town, rng, 50.0)


def rare_reports(town, rng, for_s):
    """Copies of most reports; what holds no place is found out later than it takes to start elsewhere."""
    town.report_s, town.copies = 3.5, 0.9


PLANTS = {
    late_writes_count: ([long(late), roll, crash, deaf], 0.5, "ran_twice|went_back"),
    old_reports_prove: ([rare_reports], 0.1, "ran_twice|quota|wrong_place"),
    cancelled_in_one_mirror: ([refused], 0.5, "went_back|ran_cancelled|on machines"),
    done_but_for_one: ([crash, deaf], 0.1, "not_done"),
}


@pytest.mark.parametrize("plant", PLANTS)
def test_a_planted_fault_is_found(plant, monkeypatch):
    troubles, cancels, rule = PLANTS[plant]
    plant(monkeypatch)
    for seed in range(24):
        try:
            play(monkeypatch, seed, troubles, cancels)
        except AssertionError as error:
            assert re.search(rule, str(error)), error
            return
    raise AssertionError("not found in 24 days")
