"""Combinations of two faults (docs/compound-faults.md), checked by the rules."""

import logging

import pytest

from standins import job
from tideusher.actors.store import Store
from tideusher.clock import to_us
from tideusher.core.decide import bounds, reachability
from tideusher.core.decide.fleet import PlannedRental
from tideusher.core.lead import explain
from tideusher.core.lead.cluster import DirectCommand
from tideusher.core.lead.reports import Reports
from tideusher.core.model import keys
from tideusher.core.model.records import JOB_CANCELLED
from tideusher.core.model.write_queue import Entry, WriteQueue
from tideusher.playground.standins import StateStandIn
from tideusher.wire.workers import Report, TaskReport, halt


def ops(commands):
    return [(one.op, one.task, one.attempt) for one in commands]


def answer_direct_call(harness, serial, *tasks, session=1, token=None, machine="host-1"):
    """Handles the worker's report in answer to a direct call."""
    items = [TaskReport(name, attempt, state, cause) for name, attempt, state, cause in tasks]
    token = harness.cluster.token if token is None else token
    report = Report(machine, "127.0.0.1:9", "m4", "a", False, session, serial, token, None, items)
    Reports(harness.cluster).apply(report, harness.clock.now_us())


# A command in flight, and a direct call that overtakes it


@pytest.mark.parametrize("halted", [False, True])
def test_answer_to_a_direct_call_proves_nothing_about_a_command_in_flight(harness, halted):
    """A `/do` overtook the answer to the worker's report: the task's capacity was freed, then the task started."""
    spec = job()
    placed = harness.place(spec)
    assert ops(harness.report("host-1", 2)) == [("run", f"{spec.id}/0", 1)]  # delayed in flight
    if halted:
        harness.cluster.halt(placed.live[0], 0.0, "something else needs the room")
    answer_direct_call(harness, 3)  # newer than the command, and without the task
    task = placed.live[0]
    assert task.sent == (1, 2)
    if not halted:
        harness.cluster.halt(task, 0.0, "something else needs the room")
    assert placed.live[0] is task  # not freed: it may still start
    assert ops(harness.report("host-1", 4, (f"{spec.id}/0", 1, "pulling", None))) == [("halt", f"{spec.id}/0", 1)]
    harness.report("host-1", 5, (f"{spec.id}/0", 1, "exited", "stopped"))
    assert not placed.live


def test_workers_own_report_after_the_command_is_proof(harness):
    spec = job()
    placed = harness.place(spec)
    harness.report("host-1", 2)
    harness.cluster.halt(placed.live[0], 0.0, "something else needs the room")
    answer_direct_call(harness, 3)
    harness.report("host-1", 4)  # one report is in flight at a time, so the answer to the previous one was lost
    assert not placed.live


def test_direct_answer_of_a_worker_with_a_newer_token_changes_nothing(harness):
    """A deposed leader called workers, and took its successor's tasks for unknown ones and its own for lost."""
    spec = job()
    placed = harness.place(spec)
    harness.report("host-1", 2)
    harness.report("host-1", 3, (f"{spec.id}/0", 1, "running", None))
    answer_direct_call(harness, 9, ("req-000009/0", 1, "running", None), token=harness.cluster.token + 1)
    harness.report("host-1", 4, (f"{spec.id}/0", 1, "running", None))
    assert 0 in placed.live and harness.cluster.machines["host-1"].serial == 4


# A copy of an old report is the first that a new leader receives


def test_new_session_proves_nothing_about_commands_of_an_older_leader(harness):
    """A copy from an earlier session came first. The worker's next report, in a session that the old leader may still
    answer, was then taken as proof that its tasks were gone."""
    spec = job()
    harness.place(spec)
    old = harness.cluster.token
    harness.report("host-1", 2)
    harness.elect()  # the old leader does not know it yet, and has the same placement on record
    placed = harness.cluster.jobs[spec.id]
    harness.report("host-1", 1, session=1, token=0)  # the copy
    harness.report("host-1", 7, session=2, token=old)  # our answer to this is lost; the old leader's next is not
    assert 0 in placed.live
    harness.report("host-1", 9, session=2, token=old)
    assert 0 in placed.live
    harness.report(
        "host-1", 10, session=2
    )  # it has seen our token, so no command of an older leader is executed any more
    assert 0 not in placed.live


def test_copies_of_old_reports_change_nothing(harness):
    spec = job("batch", 2)
    placed = harness.place(spec)
    names = [f"{spec.id}/{index}" for index in (0, 1)]
    harness.report("host-1", 2)
    harness.report("host-1", 3, (names[0], 1, "running", None), (names[1], 1, "running", None))
    harness.commit()
    before = dict(harness.state.items)
    assert ops(harness.report("host-1", 1)) == []
    assert ops(harness.report("host-1", 2)) == []
    assert ops(harness.report("host-1", 2, (names[0], 1, "exited", "stopped"))) == []
    harness.commit()
    assert set(placed.live) == {0, 1} and harness.state.items == before


# Machines that do not receive commands


def test_task_ignored_by_an_unresponsive_machine_starts_elsewhere_and_the_machine_is_avoided(harness):
    spec = job()
    placed = harness.place(spec)
    for serial in range(2, 2 + reachability.UNRESPONSIVE_AFTER):
        assert ops(harness.report("host-1", serial)) == [("run", f"{spec.id}/0", 1)]  # sent again and again
        assert 0 in placed.live
        harness.clock.pass_s(1.0)
    assert ops(harness.report("host-1", 5)) == [] and 0 not in placed.live
    harness.report("host-2", 1)
    harness.scheduler.schedule(harness.clock.now_us())
    harness.commit()
    assert placed.live[0].machine.name == "host-2" and placed.live[0].attempt == 2
    assert ops(harness.report("host-2", 2)) == [("run", f"{spec.id}/0", 2)]
    unresponsive = harness.cluster.machines["host-1"]
    assert harness.cluster.mass_failures.avoid_placement(unresponsive, harness.clock.now_us())
    harness.clock.pass_s(11.0)
    assert not harness.cluster.mass_failures.avoid_placement(unresponsive, harness.clock.now_us())


def test_reports_delayed_by_a_partition_do_not_mark_a_machine_unresponsive(harness):
    """Their answers had no time to arrive: all machines of a zone got no work right after a partition."""
    spec = job()
    placed, old = harness.place(spec), harness.cluster.token
    for serial in range(2, 12):
        harness.report("host-1", serial)
    machine = harness.cluster.machines["host-1"]
    assert 0 in placed.live and not reachability.is_unresponsive(machine, harness.clock.now_us())
    harness.elect()
    for serial in range(12, 22):
        harness.report("host-1", serial, token=old)
    machine = harness.cluster.machines["host-1"]
    assert not reachability.is_unresponsive(machine, harness.clock.now_us())
    harness.clock.pass_s(1.0)
    harness.report("host-1", 22)
    assert not machine.ignored_answers


def test_machine_unresponsive_to_the_new_leader_is_returned_after_its_lease_and_not_before(harness):
    """What the last leader placed on it is gone by then, but none of its reports can prove that."""
    spec = job()
    harness.place(spec)
    old = harness.cluster.token
    harness.report("host-1", 2)
    harness.elect()
    placed, w = harness.cluster.jobs[spec.id], harness.config.settings.workers
    lease_us, report_us = to_us(w.lease_s), to_us(w.report_s)
    machines = harness.cluster.machines.values()
    for second in range(1, 10):
        session = 1 if second < 6 else 2
        listed = [(f"{spec.id}/0", 1, "running", None)] if session == 1 else []
        harness.report("host-1", 10 + second, *listed, session=session, token=old)
        due = list(reachability.machines_out_of_contact(machines, lease_us, report_us, harness.clock.now_us()))
        assert 0 in placed.live and not due, second
        harness.clock.pass_s(1.0)
    harness.report("host-1", 21, session=2, token=old)
    ((machine, why),) = reachability.machines_out_of_contact(machines, lease_us, report_us, harness.clock.now_us())
    assert machine.name == "host-1" and "no answer" in why
    harness.report("host-1", 22, session=2)  # it has received an answer after all
    assert (
        not list(reachability.machines_out_of_contact(machines, lease_us, report_us, harness.clock.now_us()))
        and 0 not in placed.live
    )


# Transactions that are executed late


def queue_with_fence(state):
    fence = Entry("t/fence", lambda: {"by": 1}, state.stamp_of("t/fence"))
    return WriteQueue(keys.LEADER, state.elect("n0"), 8, fence)


def commit(queue, state):
    batch = queue.next_batch(8)
    revision = state.txn(batch.guards, batch.writes)
    assert revision is not None
    queue.batch_committed(revision)
    return batch


def lost_creation():
    """The first write of a record got no answer and may be executed at any later time; `value[0]` is its value."""
    state = StateStandIn()
    queue, value = queue_with_fence(state), [{"v": 1}]
    entry = Entry("t/m/a", lambda: value[0], 0)
    queue.enqueue(entry)
    lost = queue.next_batch(8)
    queue.batch_failed(state.stamp_of)
    return state, queue, entry, value, lost


def test_lost_creation_never_applies_after_its_key_was_written_and_removed():
    """Stamp 0 guards a creation again once the key is gone: a finished rental reappeared in the records."""
    state, queue, entry, value, lost = lost_creation()
    commit(queue, state)
    value[0] = None
    queue.enqueue(entry)
    commit(queue, state)
    assert "t/m/a" not in state.items
    assert state.txn(lost.guards, lost.writes) is None and "t/m/a" not in state.items


def test_lost_creation_never_applies_after_its_entry_was_dropped_unwritten():
    state, queue, _, value, lost = lost_creation()
    value[0] = None  # no longer needed, and no read has ever shown it
    batch = commit(queue, state)
    assert [write.key for write in batch.writes] == ["t/fence"]
    assert state.txn(lost.guards, lost.writes) is None and "t/m/a" not in state.items


def test_lost_transaction_that_applies_before_the_next_one_is_found_and_overwritten():
    state = StateStandIn()
    queue, effects = queue_with_fence(state), []
    entry = Entry("t/m/a", lambda: {"v": 1}, 0)
    queue.enqueue(entry, lambda: effects.append("told"))
    lost = queue.next_batch(8)
    queue.batch_failed(state.stamp_of)
    assert state.txn(lost.guards, lost.writes) is not None
    batch = queue.next_batch(8)
    assert state.txn(batch.guards, batch.writes) is None and effects == []
    queue.batch_failed(state.stamp_of, unknown=False)
    commit(queue, state)
    assert effects == ["told"]
    assert state.txn(lost.guards, lost.writes) is None


def test_lost_transaction_of_a_leader_cannot_apply_under_the_next_one(harness):
    spec = job()
    harness.submit(spec)
    harness.report("host-1", 1)
    harness.commit()
    harness.scheduler.schedule(harness.clock.now_us())
    lost = harness.cluster.write_queue.next_batch(8)
    harness.cluster.write_queue.batch_failed(harness.state.stamp_of)
    harness.elect()
    assert harness.state.txn(lost.guards, lost.writes) is None
    harness.report("host-1", 2)
    harness.scheduler.schedule(harness.clock.now_us())
    harness.commit()
    assert harness.cluster.jobs[spec.id].live[0].attempt == 1


def test_return_of_an_adopted_machine_is_persisted_before_it_is_requested(harness):
    """It reported before its rental was answered, and its adoption was dropped unwritten: the return was requested
    with nothing on record."""
    cluster = harness.cluster
    cluster.renting.rent(PlannedRental("m4", "a", False, 1, "a test"))
    harness.commit()
    (rental,) = cluster.to_rent
    cluster.to_rent.clear()
    harness.report("host-9", 1)
    cluster.request_return(cluster.machines["host-9"], "it is idle")
    cluster.renting.rented(rental, ["host-9"], harness.clock.now_us())
    batch = cluster.write_queue.next_batch(8)
    assert not cluster.to_return
    assert harness.state.txn(batch.guards, batch.writes) is not None
    cluster.write_queue.batch_committed(harness.state.tide)
    assert [machine.name for machine in cluster.to_return] == ["host-9"]
    assert harness.state.items[keys.rental_key(rental.name)][0]["returning"] == ["host-9"]


# Several controllers in simulated time (`simulated_cluster.py`)


def start_long_jobs(sim, count=4):
    specs = [sim.submit(job("batch", 2, estimate_s=900.0)) for _ in range(count - 1)]
    specs.append(sim.submit(job("gang", 2, estimate_s=900.0, checkpoint_s=30.0, save_s=3.0, team="blue")))
    sim.run(10.0)
    assert all(len(sim.on_machines(spec.id)) == 2 for spec in specs)
    return specs


def other_than(sim, *names):
    return next(name for name in sim.names if name not in names)


def poll(sim, spec, node=None):
    got = []
    sim.time.spawn(lambda: got.append(sim.poll(spec.id, node)))
    sim.run(6.0)
    return got[0]


REFUSED = {
    "long": dict(alone_s=12.0),
    "for less than its lease": dict(alone_s=2.0),
    "cut from its peers too": dict(alone_s=12.0, cut=True),
    "links slow": dict(alone_s=12.0, delay_s=0.9),
    "reports copied late": dict(alone_s=12.0, copies=0.5),
    "next leader killed": dict(alone_s=12.0, kill=True),
    "workers move": dict(alone_s=12.0, move=True),
    "over before cancel_s": dict(alone_s=12.0, out_s=18.0),
    "over just after it": dict(alone_s=2.0, out_s=22.0),
}


def cancel_and_store(sim, specs, node, within_s):
    """Cancels jobs, and returns after this time; each is on record by then. Returns when they were cancelled, by job.

    A user may be told of it only later, so what is measured from here is stricter than the rule.
    """
    at_us = sim.clock.us
    for spec in specs:
        sim.cancel(spec, node)
    sim.run(within_s)
    stored = {spec.id: at_us for spec in specs if sim.service.state.record_of(spec.id)["st"] == JOB_CANCELLED}
    assert len(stored) == len(specs)  # otherwise the test would show nothing
    return stored


def refused_then_out(sim, alone_s, out_s=50.0, cut=False, delay_s=0.001, copies=0.0, kill=False, move=False):
    """Refuses the leader alone, then has an outage for all. Returns the stored cancellations, how long after it was
    cancelled each job still had a task, and a job that was not cancelled."""
    specs, old = start_long_jobs(sim), sim.leader()
    sim.service.refused.add(old)
    if cut:
        sim.cuts |= {frozenset((old, other)) for other in sim.names if other != old}
    sim.delay_s, sim.copies = delay_s, copies
    sim.run(alone_s / 2)
    by = other_than(sim, old)
    stored = cancel_and_store(sim, [specs[0], specs[3]], by, alone_s / 2 - 0.9)
    stored |= cancel_and_store(sim, [specs[1]], by, 0.9)  # in the last second before the outage
    sim.service.outage(out_s)
    gone = {}
    for second in range(round(out_s) * 4):
        sim.run(0.25)
        if kill and second == 20:
            sim.end(sim.leader() or by, back_s=0.2)
        if move and second % 16 == 0:
            sim.cuts ^= {("workers", sim.names[second // 16 % 3])}
        for name, at_us in stored.items():
            if sim.on_machines(name):
                gone[name] = (sim.clock.us - at_us) / 1e6
    assert set(sim.rules.cancelled_us) == set(stored)  # each was told to its user, in the outage too
    sim.service.refused.clear()
    sim.cuts.clear()
    return stored, gone, specs[2]


@pytest.mark.parametrize("name", REFUSED)
def test_cancelled_tasks_end_when_the_leader_alone_is_refused_before_an_outage(sim, name):
    """Cancelled tasks are gone within `cancel_s` whichever controller their worker reports to, and at once where any
    controller that knows of the cancellation can reach them."""
    sim = sim()
    stored, gone, kept = refused_then_out(sim, **REFUSED[name])
    assert all(gone.get(job_id, 0.0) <= 3.0 for job_id in stored), gone
    sim.run(60.0)
    assert len(sim.on_machines(kept.id)) == 2  # what was not cancelled continues, or runs again
    assert poll(sim, kept) == "running"


# No controller can pass on the cancellation: the bound itself


def last_task_after_cancellation_s(sim, place):
    """Cancels right after the last contact of the controller that answers the workers, with an outage directly after
    it and no way to pass on the cancellation. Returns how long the last of the tasks existed, in seconds."""
    leader = sim.leader()
    to = leader if place == "leader" else other_than(sim, leader)
    sim.cuts |= {("workers", name) for name in sim.names if name != to}
    sim.run(20.0)
    specs = [sim.submit(job("batch", 5, cpus=16.0, gpus=0.0, estimate_s=900.0)) for _ in range(4)]
    sim.run(30.0)
    there = [one for spec in specs for one in sim.on_machines(spec.id)]
    assert len(there) == 20  # each on a machine of its own: one of them reports just before the bound
    alone = {to} if place != "relayed" else {to, leader}
    sim.service.refused |= alone
    sim.cuts |= {frozenset((one, two)) for one in alone for two in sim.names if two not in alone}
    sim.calls = False
    by = other_than(sim, leader, to) if place != "leader" else other_than(sim, leader)
    stored = cancel_and_store(sim, specs, by, 0.05)
    sim.rules.cancelled_us |= stored  # the bound must hold for a user who is told as soon as it is stored
    at_us = min(stored.values())
    sim.service.outage(60.0)
    last = 0.0
    for _ in range(200):
        sim.run(0.25)
        if any(sim.on_machines(spec.id) for spec in specs):
            last = (sim.clock.us - at_us) / 1e6
    return last


PLACES = ["leader", "relayed", "alone"]


def too_long(config, contact_us, now_us):
    """The bound, two seconds too long: the planted fault."""
    return bounds.may_answer(config, contact_us and contact_us + 2_000_000, now_us)


@pytest.mark.parametrize("place", PLACES)
def test_bound_ends_cancelled_tasks_in_time_if_no_controller_can_pass_on_the_cancellation(sim, place):
    last = last_task_after_cancellation_s(sim(zones="a", machines=20, tick_s=0.1), place)
    assert 12.0 < last < 20.0  # not at once: otherwise this shows nothing of the bound


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("plant", ["bound", "contact"])
def test_bound_two_seconds_too_long_is_detected(sim, place, plant, monkeypatch):
    if plant == "bound":
        monkeypatch.setattr(
            "tideusher.actors.gateway.may_answer", too_long if place == "alone" else bounds.may_answer
        )
        monkeypatch.setattr("tideusher.actors.leader.may_answer", bounds.may_answer if place == "alone" else too_long)
    else:
        original = Store._record_contact
        monkeypatch.setattr(Store, "_record_contact", lambda store, sent_us: original(store, sent_us + 2_000_000))
    with pytest.raises(AssertionError, match="ran_cancelled"):
        last_task_after_cancellation_s(sim(zones="a", machines=20, tick_s=0.1), place)


# Other combinations with complete controllers


def test_jobs_whose_tasks_end_far_apart_are_done_once_across_leader_changes(sim):
    """One task ends and is forgotten under the first leader, the other under the third."""
    sim = sim()
    specs = [sim.submit(job("batch", 2, estimate_s=100.0)) for _ in range(3)]
    sim.run(10.0)
    for spec in specs:
        worker, task = sim.on_machines(spec.id)[0]
        task.left_s = 1.0
    sim.run(6.0)
    assert [len(sim.on_machines(spec.id)) for spec in specs] == [1, 1, 1]
    for pause_s in (8.0, 30.0):
        old = sim.leader()
        sim.end(old, back_s=0.2)
        sim.run(pause_s)
        assert sim.leader() and all(poll(sim, spec) == "running" for spec in specs)
    sim.run(30.0)
    assert [poll(sim, spec) for spec in specs] == ["done"] * 3
    assert all(sim.rules.done_tasks[spec.id] == {0, 1} for spec in specs)


def test_controller_without_peers_and_state_service_is_unhealthy(sim):
    sim = sim()
    old = sim.leader()
    sim.service.refused.add(old)
    sim.run(6.0)
    node = sim.nodes[old]
    assert not node.healthy()  # the others reach it
    sim.service.outage(30.0)
    sim.run(6.0)
    assert node.healthy() and all(one.healthy() for one in sim.nodes.values())  # an outage that all share
    sim.cuts.add(old)
    sim.run(6.0)
    assert not node.healthy() and sim.nodes[other_than(sim, old)].healthy()


def test_job_cancelled_under_the_new_leader_ends_at_once_on_workers_of_the_old_one(sim):
    """The old leader is cut off from the state service and its peers, and answers the workers; no other controller
    knows their sessions."""
    sim = sim()
    specs, old = start_long_jobs(sim), sim.leader()
    for worker in sim.workers.values():
        worker.session += 3  # the next leader knows none of it
    sim.run(3.0)
    sim.service.refused.add(old)
    sim.cuts |= {old, *(("workers", name) for name in sim.names if name != old)}
    sim.run(8.0)
    assert sim.leader() not in ("", old)
    sim.cancel(specs[0], sim.leader())
    sim.run(2.5)
    assert specs[0].id in sim.rules.cancelled_us and not sim.on_machines(specs[0].id)


def test_tasks_of_unresponsive_workers_run_again_once_after_the_leader_ends(sim):
    sim = sim()
    specs = start_long_jobs(sim)
    sim.deaf |= set(sim.workers)
    sim.run(1.0)
    sim.end(sim.leader(), back_s=5.0)
    sim.run(25.0)  # longer than their leases: the tasks are gone, and only a return or a report proves it
    sim.deaf.clear()
    sim.run(60.0)
    assert all(len(sim.on_machines(spec.id)) == 2 for spec in specs)


def test_end_of_tasks_whose_workers_got_no_answers_is_explained_a_minute_later(sim):
    sim = sim()
    specs = start_long_jobs(sim)
    sim.deaf |= set(sim.workers)
    sim.run(10.0)
    sim.deaf.clear()
    sim.run(60.0)
    cluster = sim.nodes[sim.leader()].leader._cluster
    for spec in specs:
        found = explain.explain_job(cluster, spec.id, sim.clock.us)
        assert any("lease ran out" in stop["reason"] or "is gone" in stop["reason"] for stop in found["stops"]), found


def test_two_commands_for_a_machine_before_its_helper_runs_are_both_sent(sim, caplog):
    """Two messages decided at the same moment, and each call would have started a helper of its own."""
    sim = sim()
    specs = [sim.submit(job("batch", 1, estimate_s=900.0)) for _ in range(2)]
    sim.run(10.0)
    leader = sim.nodes[sim.leader()].leader
    engine = leader._engine
    machine = next(machine for machine in engine.cluster.machines.values() if machine.tasks)
    tasks = [task for spec in specs for task in engine.cluster.jobs[spec.id].live.values()]
    assert tasks
    sim.calls = False  # each call waits for its timeout
    for task in tasks:
        engine.cluster.direct.append(DirectCommand(machine, halt(task.name, task.attempt, 0.0)))
        leader._act(engine)
    with caplog.at_level(logging.ERROR):
        sim.run(5.0)
    assert "a helper of this actor failed" not in caplog.text and not leader._command_sender
