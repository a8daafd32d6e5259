"""Two or three faults drawn by a seed, at overlapping times, in a simulated cluster (`simulated_cluster.py`).

    FAULTS_SEEDS=500 pytest -q tests/test_random_faults.py -k pairs       a longer run

Checked are all rules of the protocol, and that every accepted job that was not cancelled is done, running or known
once the faults are over. Planted faults show that each kind of violation is found.
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
from tideusher.core.model.mirror import Mirror
from tideusher.core.model.records import JOB_CANCELLED, JOB_DONE
from tideusher.core.model.write_queue import WriteQueue
from tideusher.wire.jobs import JobStatus
from tideusher.wire.state import Delete

SEEDS = int(os.environ.get("FAULTS_SEEDS", "12"))
FAULTS_S, AFTER_S = 60.0, 90.0


def crash(sim, rng, for_s):
    """One or all controllers end and restart after a fraction of a second or some seconds."""
    names = [name for name in sim.names if name in sim.nodes]
    ended = names if rng.random() < 0.3 else [sim.leader() if sim.leader() in names else names[0]]
    for name in ended:
        sim.end(name, back_s=rng.choice([0.05, 0.2, 1.0, 5.0]))


def rolling_restart(sim, rng, for_s):
    for number, name in enumerate(sim.names):
        sim.time.later(0.1 + 3.0 * number, lambda name=name: name in sim.nodes and sim.end(name, back_s=0.5))


def state_service_outage(sim, rng, for_s):
    sim.service.outage(for_s)


def state_service_refuses_leader(sim, rng, for_s):
    name = sim.leader() or sim.names[0]
    sim.service.refused.add(name)
    sim.time.later(for_s, lambda: sim.service.refused.discard(name))


def cut_leader_off(sim, rng, for_s):
    """Cuts the leader off from the state service and the other controllers, not from workers and users."""
    name = sim.leader() or sim.names[0]
    sim.service.refused.add(name)
    sim.cuts.add(name)
    sim.time.later(for_s, lambda: (sim.service.refused.discard(name), sim.cuts.discard(name)))


def workers_get_no_answers(sim, rng, for_s):
    names = rng.sample(sorted(sim.workers), len(sim.workers) // 2)
    sim.deaf |= set(names)
    sim.time.later(for_s, lambda: sim.deaf.difference_update(names))


def copied_reports(sim, rng, for_s):
    sim.copies = 0.4
    sim.time.later(for_s, lambda: setattr(sim, "copies", 0.0))


def late_transactions(sim, rng, for_s):
    sim.service.late = 0.3
    sim.time.later(for_s, lambda: setattr(sim.service, "late", 0.0))


def late_answers(sim, rng, for_s):
    """Some transactions are answered late, each alone, while the leader changes and its rentals are refused."""
    sim.service.late_answers = 0.5
    sim.time.later(for_s, lambda: setattr(sim.service, "late_answers", 0.0))
    capacity, sim.capacity = sim.capacity, len(sim.workers)
    sim.time.later(for_s, lambda: setattr(sim, "capacity", capacity))
    for number in range(round(for_s / 4.0)):
        sim.time.later(4.0 * number + 3.0 * rng.random(), lambda: replace_leader(sim))


def replace_leader(sim):
    """Removes the leader's key, as when its lease has ended, while its process goes on."""
    if sim.leader():
        sim.service._txn([], [Delete(keys.LEADER)])


def slow_state_service(sim, rng, for_s):
    sim.service.slow_s = 1.5
    sim.time.later(for_s, lambda: setattr(sim.service, "slow_s", 0.0))


def slow_links(sim, rng, for_s):
    sim.delay_s = 0.8
    sim.time.later(for_s, lambda: setattr(sim, "delay_s", 0.001))


def workers_cannot_reach_leader(sim, rng, for_s):
    """Reports no longer reach the leader."""
    pair = ("workers", sim.leader() or sim.names[0])
    sim.cuts.add(pair)
    sim.time.later(for_s, lambda: sim.cuts.discard(pair))


def paused_leader(sim, rng, for_s):
    """Stops the leader's process: all its pending actions happen late and at once."""
    sim.pause(sim.leader() or sim.names[0], min(for_s, 12.0))


def machines_die(sim, rng, for_s):
    names = sorted(sim.workers)
    for name in rng.sample(names, min(2, len(names))):
        sim.workers[name].dead = True


def lost_answers(sim, rng, for_s):
    """Transactions are executed at once and only their answers are lost."""
    sim.service.at_once = 0.3
    sim.time.later(for_s, lambda: setattr(sim.service, "at_once", 0.0))


def workers_reach_no_controller(sim, rng, for_s):
    """Machines reach no controller, while direct calls reach them."""
    names = rng.sample(sorted(sim.workers), len(sim.workers) // 2)
    sim.mute |= set(names)
    sim.time.later(for_s, lambda: sim.mute.difference_update(names))


def hanging_machines(sim, rng, for_s):
    for name in rng.sample(sorted(sim.workers), len(sim.workers) // 3):
        sim.hang(name, rng.choice([1.0, 4.0, 5.5, 8.0]))


def reports_copied_for_next_leader(sim, rng, for_s):
    """Copies of reports reach every controller when the next leader begins; the leader is ended soon."""
    sim.for_next = 0.5
    sim.time.later(for_s, lambda: setattr(sim, "for_next", 0.0))
    sim.time.later(for_s / 2, lambda: sim.leader() in sim.nodes and sim.end(sim.leader(), back_s=0.2))


def mass_cancellation(sim, rng, for_s):
    """Cancels most running jobs at once; some of their machines hang."""
    for name in sorted({task.job for worker in sim.workers.values() for task in worker.on_machine()}):
        if rng.random() < 0.7:
            sim.cancel(sim.specs[name])
            for worker, _ in sim.on_machines(name)[:1]:
                if rng.random() < 0.5:
                    sim.hang(worker.name, rng.choice([2.0, 5.0, 5.9, 7.0]))


def cancellations_at_the_end(sim, rng, for_s):
    sim.cancels_at_end = 0.7
    sim.time.later(for_s, lambda: setattr(sim, "cancels_at_end", 0.0))


def queries_after_each_answer(sim, rng, for_s):
    sim.looks = True
    sim.time.later(for_s, lambda: setattr(sim, "looks", False))


def odd_requests(sim, rng, for_s):
    """Repeats submissions with other bodies, among them invalid ones and jobs that cannot run."""

    def one(spec, body, node):
        sim.time.spawn(sim.repeat_with_other_body, spec, body, node)

    for number in range(round(for_s)):
        for spec in rng.sample(sorted(sim.accepted), min(2, len(sim.accepted))):
            raw = msgspec.to_builtins(sim.specs[spec])
            change = rng.choice([{"pieces": "x"}, {"bundle": "x" * 5000}, {"owner": "nobody"}, {"gpus": 99.0}, {}])
            body = msgspec.json.encode({**raw, **change})
            sim.time.later(number + rng.random(), lambda s=spec, b=body: one(s, b, rng.choice(sim.names)))


def quick_boots(sim, rng, for_s):
    """New machines are up within two seconds."""
    sim.boot_s = 0.2


def teams_at_their_limit(sim, rng, for_s):
    """Brings every team to its limit."""
    for team in ("red", "blue") * 10:
        sim.extra_jobs.append(sim.submit(job("batch", 2, team=team, estimate_s=rng.choice([15.0, 40.0]), gpus=1.0)))


def cut_zone(sim, rng, for_s):
    """Cuts a zone with workers and a controller off from everything."""
    zone = rng.choice("ab")
    sim.cut_zones.add(zone)
    sim.time.later(for_s, lambda: sim.cut_zones.discard(zone))


def delayed_messages(sim, rng, for_s):
    """Delays direct calls by seconds, and reports until the next leader has acted."""
    sim.held_calls = sim.held_reports = 0.3
    sim.time.later(for_s, lambda: (setattr(sim, "held_calls", 0.0), setattr(sim, "held_reports", 0.0)))


def all_controllers_down(sim, rng, for_s):
    """Ends all controllers for longer than a lease."""
    for name in [name for name in sim.names if name in sim.nodes]:
        sim.end(name, back_s=rng.choice([7.0, 9.0]))


FAULTS = [
    crash,
    rolling_restart,
    state_service_outage,
    state_service_refuses_leader,
    cut_leader_off,
    workers_get_no_answers,
    copied_reports,
    late_transactions,
    slow_state_service,
    slow_links,
    workers_cannot_reach_leader,
    paused_leader,
    machines_die,
]
FAULTS += [
    lost_answers,
    workers_reach_no_controller,
    hanging_machines,
    reports_copied_for_next_leader,
    mass_cancellation,
    cancellations_at_the_end,
    queries_after_each_answer,
    odd_requests,
    quick_boots,
]
FAULTS += [teams_at_their_limit, cut_zone, delayed_messages, all_controllers_down, late_answers]


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


def run_seed(monkeypatch, seed, faults=None, cancels=0.25):
    """Runs a seed: jobs all the time, two or three faults, then a time without faults."""
    rng = random.Random(seed)
    drawn = faults or rng.sample(FAULTS, rng.choice([2, 3]))
    sim = SimulatedCluster(monkeypatch, seed)
    try:
        sim.run(8.0)
        begin = rng.uniform(0.0, 8.0)
        for fault in drawn:
            for_s = rng.choice([2.0, 8.0, 15.0, 30.0])
            sim.time.later(begin + rng.uniform(0.1, 12.0), lambda t=fault, s=for_s: t(sim, rng, s))
        specs = []
        for second in range(round(FAULTS_S)):
            if second < 40 and rng.random() < 0.3:
                specs.append(sim.submit(a_job(rng)))
            if specs and rng.random() < cancels:
                sim.cancel(rng.choice(specs))
            for spec in rng.sample(specs, min(2, len(specs))):
                if spec.id in sim.accepted:
                    sim.time.spawn(sim.poll, spec.id)
            sim.run(1.0)
        sim.run(AFTER_S)
        finish(sim, specs + sim.extra_jobs)
    finally:
        sim.close()
    return sim


def finish(sim, specs):
    """Asserts that each accepted job is known, and is over, on its machines or without capacity."""
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
def test_pairs_of_faults_violate_no_rule(seed, monkeypatch):
    run_seed(monkeypatch, seed)


# Planted faults


def late_writes_apply(monkeypatch):
    """Late transactions are written whatever was written after them."""
    next_batch = WriteQueue.next_batch

    def unguarded(queue, *limits):
        batch = next_batch(queue, *limits)
        if batch is not None:
            batch.guards = [guard for guard in batch.guards if guard.key == keys.LEADER]
        return batch

    monkeypatch.setattr(WriteQueue, "next_batch", unguarded)


def old_reports_count_as_proof(monkeypatch):
    """Tasks that a report does not list count as gone, however old the report."""
    digest = Reports._digest

    def any_age(reports, machine, report, now_us, asked):
        machine.session, machine.serial = min((machine.session, machine.serial), (report.session, report.serial - 1))
        for (job_id, index), task in list(machine.tasks.items()):
            if task.sent and not any(item.task == f"{job_id}/{index}" for item in report.tasks):
                reports._c.lost(task, "planted", now_us)
        return digest(reports, machine, report, now_us, asked)

    monkeypatch.setattr(Reports, "_digest", any_age)


def cancelled_in_one_mirror(monkeypatch):
    """A cancellation is recorded only in the mirror of the controller that was asked."""

    def cancel(users, job_id):
        stored = users._store.mirror.get(keys.job_key(job_id))
        if stored is None or stored.value["st"] == JOB_DONE:
            return users.poll(job_id)
        stored.value = {**stored.value, "st": JOB_CANCELLED}
        return Reply(200, JobStatus(job_id, "withdrawn"))

    monkeypatch.setattr(Users, "cancel", cancel)


def done_before_last_task(monkeypatch):
    """A job is done before its last task is."""
    finish = Cluster._finish_if_done

    def early(cluster, job):
        if job.spec.tasks > 1 and job.done_count == job.spec.tasks - 1 and not job.finish_dirty:
            cluster._finish(job, JOB_DONE)
        finish(cluster, job)

    monkeypatch.setattr(Cluster, "_finish_if_done", early)


def late_answers_are_applied(monkeypatch):
    """The answer to a transaction is applied to the mirror whatever was read since."""

    def apply_commit(mirror, changes):
        for change in changes:
            stored = mirror.items.get(change.key)
            if stored is None or stored.stamp < change.stamp:
                mirror._apply(change)

    monkeypatch.setattr(Mirror, "apply_commit", apply_commit)


def for_fifty_seconds(fault):
    return lambda sim, rng, for_s: fault(sim, rng, 50.0)


def rare_reports(sim, rng, for_s):
    """Copies most reports, which are so rare that a lost task is detected later than it can start elsewhere."""
    sim.report_s, sim.copies = 3.5, 0.9


PLANTS = {
    late_writes_apply: (
        [for_fifty_seconds(late_transactions), rolling_restart, crash, workers_get_no_answers],
        0.5,
        "ran_twice|went_back",
    ),
    old_reports_count_as_proof: ([rare_reports], 0.1, "ran_twice|quota|wrong_place"),
    cancelled_in_one_mirror: ([state_service_refuses_leader], 0.5, "went_back|ran_cancelled|on machines"),
    late_answers_are_applied: ([for_fifty_seconds(late_answers)], 0.1, "wrong mirror"),
    done_before_last_task: ([crash, workers_get_no_answers], 0.1, "not_done"),
}


@pytest.mark.parametrize("plant", PLANTS)
def test_a_planted_fault_is_found(plant, monkeypatch):
    faults, cancels, rule = PLANTS[plant]
    plant(monkeypatch)
    for seed in range(24):
        try:
            run_seed(monkeypatch, seed, faults, cancels)
        except AssertionError as error:
            assert re.search(rule, str(error)), error
            return
    raise AssertionError("not found in 24 days")
