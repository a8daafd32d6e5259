"""Two or three troubles drawn by a seed, with overlapping times, over whole controllers (`town.py`).

    MEETINGS_SEEDS=500 pytest -q tests/test_pairs.py -k pairs       a longer run

Judged are all rules of the protocol, and that every job that was accepted and not cancelled is done, or runs, or is
known, once the troubles are over. Planted faults show that each of these is found.
"""

import os
import random
import re

import msgspec
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
TROUBLES_S, AFTER_S = 60.0, 90.0


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


def at_once(town, rng, for_s):
    """Transactions are carried out at once, and only their answers are lost."""
    town.service.at_once = 0.3
    town.hours.later(for_s, lambda: setattr(town.service, "at_once", 0.0))


def mute(town, rng, for_s):
    """Machines reach no controller, while direct calls reach them."""
    names = rng.sample(sorted(town.workers), len(town.workers) // 2)
    town.mute |= set(names)
    town.hours.later(for_s, lambda: town.mute.difference_update(names))


def hang(town, rng, for_s):
    for name in rng.sample(sorted(town.workers), len(town.workers) // 3):
        town.hang(name, rng.choice([1.0, 4.0, 5.5, 8.0]))


def kept_for_the_next(town, rng, for_s):
    """Copies of reports reach every controller as the next leader begins, which is soon."""
    town.for_next = 0.5
    town.hours.later(for_s, lambda: setattr(town, "for_next", 0.0))
    town.hours.later(for_s / 2, lambda: town.leader() in town.nodes and town.end(town.leader(), back_s=0.2))


def cancel_now(town, rng, for_s):
    """All that runs is called off at once; some of its machines hang."""
    for name in sorted({task.job for worker in town.workers.values() for task in worker.on_machine()}):
        if rng.random() < 0.7:
            town.cancel(town.specs[name])
            for worker, _ in town.on_machines(name)[:1]:
                if rng.random() < 0.5:
                    town.hang(worker.name, rng.choice([2.0, 5.0, 5.9, 7.0]))


def at_the_end(town, rng, for_s):
    town.cancels_at_end = 0.7
    town.hours.later(for_s, lambda: setattr(town, "cancels_at_end", 0.0))


def close_looks(town, rng, for_s):
    town.looks = True
    town.hours.later(for_s, lambda: setattr(town, "looks", False))


def odd_requests(town, rng, for_s):
    """Repeats with another body, cancellations of what is over, jobs that can't run or lack a field."""

    def one(spec, body, node):
        town.hours.spawn(town.odd, spec, body, node)

    for number in range(round(for_s)):
        for spec in rng.sample(sorted(town.accepted), min(2, len(town.accepted))):
            raw = msgspec.to_builtins(town.specs[spec])
            change = rng.choice([{"pieces": "x"}, {"bundle": "x" * 5000}, {"owner": "nobody"}, {"gpus": 99.0}, {}])
            body = msgspec.json.encode({**raw, **change})
            town.hours.later(number + rng.random(), lambda s=spec, b=body: one(s, b, rng.choice(town.names)))


def quick_boots(town, rng, for_s):
    """New machines are up within two seconds."""
    town.boot_s = 0.2


def crowd(town, rng, for_s):
    """Every team is at its limit."""
    for team in ("red", "blue") * 10:
        town.extra.append(town.submit(job("batch", 2, team=team, estimate_s=rng.choice([15.0, 40.0]), gpus=1.0)))


def cut_zone(town, rng, for_s):
    """A zone with workers and a controller is cut off from everything."""
    zone = rng.choice("ab")
    town.cut_zones.add(zone)
    town.hours.later(for_s, lambda: town.cut_zones.discard(zone))


def held_up(town, rng, for_s):
    """Direct calls arrive seconds late, and reports when the next leader has acted."""
    town.held_calls = town.held_reports = 0.3
    town.hours.later(for_s, lambda: (setattr(town, "held_calls", 0.0), setattr(town, "held_reports", 0.0)))


def all_away(town, rng, for_s):
    """All controllers are away for longer than a lease."""
    for name in [name for name in town.names if name in town.nodes]:
        town.end(name, back_s=rng.choice([7.0, 9.0]))


TROUBLES = [crash, roll, outage, refused, cut_off, deaf, copies, late, slow, links, unheard, frozen, die]
TROUBLES += [at_once, mute, hang, kept_for_the_next, cancel_now, at_the_end, close_looks, odd_requests, quick_boots]
TROUBLES += [crowd, cut_zone, held_up, all_away]


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
        finish(town, specs + town.extra)
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
