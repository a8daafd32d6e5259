"""Two or three troubles drawn by a seed, with overlapping times, over whole controllers (`simulated_cluster.py`).

    FAULTS_SEEDS=500 pytest -q tests/test_random_faults.py -k pairs       a longer run

Judged are all rules of the protocol, and that every job that was accepted and not cancelled is done, or runs, or is
known, once the troubles are over. Planted faults show that each of these is found.
"""

import os
import random
import re

import msgspec
import pytest

from simulated_cluster import SimulatedCluster
from standins import job
from tideusher.actors.replies import Reply
from tideusher.actors.users import Users
from tideusher.core.lead.cluster import Cluster
from tideusher.core.lead.reports import Reports
from tideusher.core.model import keys
from tideusher.core.model.records import JOB_CANCELLED, JOB_DONE
from tideusher.core.model.write_queue import WriteQueue
from tideusher.wire.jobs import JobStatus

SEEDS = int(os.environ.get("FAULTS_SEEDS", "12"))
TROUBLES_S, AFTER_S = 60.0, 90.0


def crash(sim, rng, for_s):
    """One or all controllers end, and are back within a fraction of a second or a while."""
    names = [name for name in sim.names if name in sim.nodes]
    ended = names if rng.random() < 0.3 else [sim.leader() if sim.leader() in names else names[0]]
    for name in ended:
        sim.end(name, back_s=rng.choice([0.05, 0.2, 1.0, 5.0]))


def roll(sim, rng, for_s):
    for number, name in enumerate(sim.names):
        sim.time.later(0.1 + 3.0 * number, lambda name=name: name in sim.nodes and sim.end(name, back_s=0.5))


def outage(sim, rng, for_s):
    sim.service.outage(for_s)


def refused(sim, rng, for_s):
    name = sim.leader() or sim.names[0]
    sim.service.refused.add(name)
    sim.time.later(for_s, lambda: sim.service.refused.discard(name))


def cut_off(sim, rng, for_s):
    """From the state service and the other controllers, not from workers and users."""
    name = sim.leader() or sim.names[0]
    sim.service.refused.add(name)
    sim.cuts.add(name)
    sim.time.later(for_s, lambda: (sim.service.refused.discard(name), sim.cuts.discard(name)))


def deaf(sim, rng, for_s):
    names = rng.sample(sorted(sim.workers), len(sim.workers) // 2)
    sim.deaf |= set(names)
    sim.time.later(for_s, lambda: sim.deaf.difference_update(names))


def copies(sim, rng, for_s):
    sim.copies = 0.4
    sim.time.later(for_s, lambda: setattr(sim, "copies", 0.0))


def late(sim, rng, for_s):
    sim.service.late = 0.3
    sim.time.later(for_s, lambda: setattr(sim.service, "late", 0.0))


def slow(sim, rng, for_s):
    sim.service.slow_s = 1.5
    sim.time.later(for_s, lambda: setattr(sim.service, "slow_s", 0.0))


def links(sim, rng, for_s):
    sim.delay_s = 0.8
    sim.time.later(for_s, lambda: setattr(sim, "delay_s", 0.001))


def unheard(sim, rng, for_s):
    """A controller loses its workers."""
    pair = ("workers", sim.leader() or sim.names[0])
    sim.cuts.add(pair)
    sim.time.later(for_s, lambda: sim.cuts.discard(pair))


def frozen(sim, rng, for_s):
    """The leader's whole process stands still: all that it was about to do comes late, and at once."""
    sim.pause(sim.leader() or sim.names[0], min(for_s, 12.0))


def die(sim, rng, for_s):
    names = sorted(sim.workers)
    for name in rng.sample(names, min(2, len(names))):
        sim.workers[name].dead = True


def at_once(sim, rng, for_s):
    """Transactions are carried out at once, and only their answers are lost."""
    sim.service.at_once = 0.3
    sim.time.later(for_s, lambda: setattr(sim.service, "at_once", 0.0))


def mute(sim, rng, for_s):
    """Machines reach no controller, while direct calls reach them."""
    names = rng.sample(sorted(sim.workers), len(sim.workers) // 2)
    sim.mute |= set(names)
    sim.time.later(for_s, lambda: sim.mute.difference_update(names))


def hang(sim, rng, for_s):
    for name in rng.sample(sorted(sim.workers), len(sim.workers) // 3):
        sim.hang(name, rng.choice([1.0, 4.0, 5.5, 8.0]))


def kept_for_the_next(sim, rng, for_s):
    """Copies of reports reach every controller as the next leader begins, which is soon."""
    sim.for_next = 0.5
    sim.time.later(for_s, lambda: setattr(sim, "for_next", 0.0))
    sim.time.later(for_s / 2, lambda: sim.leader() in sim.nodes and sim.end(sim.leader(), back_s=0.2))


def cancel_now(sim, rng, for_s):
    """All that runs is called off at once; some of its machines hang."""
    for name in sorted({task.job for worker in sim.workers.values() for task in worker.on_machine()}):
        if rng.random() < 0.7:
            sim.cancel(sim.specs[name])
            for worker, _ in sim.on_machines(name)[:1]:
                if rng.random() < 0.5:
                    sim.hang(worker.name, rng.choice([2.0, 5.0, 5.9, 7.0]))


def at_the_end(sim, rng, for_s):
    sim.cancels_at_end = 0.7
    sim.time.later(for_s, lambda: setattr(sim, "cancels_at_end", 0.0))


def close_looks(sim, rng, for_s):
    sim.looks = True
    sim.time.later(for_s, lambda: setattr(sim, "looks", False))


def odd_requests(sim, rng, for_s):
    """Repeats with another body, cancellations of what is over, jobs that can't run or lack a field."""

    def one(spec, body, node):
        sim.time.spawn(sim.odd, spec, body, node)

    for number in range(round(for_s)):
        for spec in rng.sample(sorted(sim.accepted), min(2, len(sim.accepted))):
            raw = msgspec.to_builtins(sim.specs[spec])
            change = rng.choice([{"pieces": "x"}, {"bundle": "x" * 5000}, {"owner": "nobody"}, {"gpus": 99.0}, {}])
            body = msgspec.json.encode({**raw, **change})
            sim.time.later(number + rng.random(), lambda s=spec, b=body: one(s, b, rng.choice(sim.names)))


def quick_boots(sim, rng, for_s):
    """New machines are up within two seconds."""
    sim.boot_s = 0.2


def crowd(sim, rng, for_s):
    """Every team is at its limit."""
    for team in ("red", "blue") * 10:
        sim.extra.append(sim.submit(job("batch", 2, team=team, estimate_s=rng.choice([15.0, 40.0]), gpus=1.0)))


def cut_zone(sim, rng, for_s):
    """A zone with workers and a controller is cut off from everything."""
    zone = rng.choice("ab")
    sim.cut_zones.add(zone)
    sim.time.later(for_s, lambda: sim.cut_zones.discard(zone))


def held_up(sim, rng, for_s):
    """Direct calls arrive seconds late, and reports when the next leader has acted."""
    sim.held_calls = sim.held_reports = 0.3
    sim.time.later(for_s, lambda: (setattr(sim, "held_calls", 0.0), setattr(sim, "held_reports", 0.0)))


def all_away(sim, rng, for_s):
    """All controllers are away for longer than a lease."""
    for name in [name for name in sim.names if name in sim.nodes]:
        sim.end(name, back_s=rng.choice([7.0, 9.0]))


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
    sim = SimulatedCluster(monkeypatch, seed)
    try:
        sim.run(8.0)
        begin = rng.uniform(0.0, 8.0)
        for trouble in drawn:
            for_s = rng.choice([2.0, 8.0, 15.0, 30.0])
            sim.time.later(begin + rng.uniform(0.1, 12.0), lambda t=trouble, s=for_s: t(sim, rng, s))
        specs = []
        for second in range(round(TROUBLES_S)):
            if second < 40 and rng.random() < 0.3:
                specs.append(sim.submit(a_job(rng)))
            if specs and rng.random() < cancels:
                sim.cancel(rng.choice(specs))
            for spec in rng.sample(specs, min(2, len(specs))):
                if spec.id in sim.accepted:
                    sim.time.spawn(sim.poll, spec.id)
            sim.run(1.0)
        sim.run(AFTER_S)
        finish(sim, specs + sim.extra)
    finally:
        sim.close()
    return sim


def finish(sim, specs):
    """Once all is quiet each accepted job is answered for, and is over or on its machines."""
    for spec in specs:
        if spec.id not in sim.accepted:
            continue
        answers = []
        sim.time.spawn(lambda spec=spec, answers=answers: answers.append(sim.poll(spec.id)))
        sim.run(3.0)
        assert answers and answers[0] is not None, f"forgotten: nobody answers for {spec.id}"
        there = bool(sim.on_machines(spec.id))
        over = answers[0] in ("done", "withdrawn")
        assert there != over or (not over and sim.waits(spec.id)), f"{spec.id} is {answers[0]}, on machines: {there}"


@pytest.mark.parametrize("seed", range(int(os.environ.get("FAULTS_FIRST", "0")), SEEDS))
def test_pairs_of_troubles_break_no_rule(seed, monkeypatch):
    play(monkeypatch, seed)


# Planted faults


def late_writes_count(monkeypatch):
    """What is carried out late is written whatever came after it."""
    next_batch = WriteQueue.next_batch

    def unguarded(queue, room, lazy=None):
        batch = next_batch(queue, room, lazy)
        if batch is not None:
            batch.guards = [guard for guard in batch.guards if guard.key == keys.LEADER]
        return batch

    monkeypatch.setattr(WriteQueue, "next_batch", unguarded)


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
    return lambda sim, rng, for_s: trouble(sim, rng, 50.0)


def rare_reports(sim, rng, for_s):
    """Copies of most reports; what holds no place is found out later than it takes to start elsewhere."""
    sim.report_s, sim.copies = 3.5, 0.9


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
