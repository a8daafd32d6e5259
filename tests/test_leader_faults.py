"""Two troubles that meet (docs/compound-faults.md): each is brought about here, and judged by the rules."""

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
from tideusher.core.model.write_queue import Entry, WriteQueue
from tideusher.playground.standins import StateStandIn
from tideusher.wire.workers import Report, TaskReport, halt


def ops(commands):
    return [(one.op, one.task, one.attempt) for one in commands]


def told(harness, serial, *tasks, session=1, token=None, machine="host-1"):
    """What the worker says in answer to a direct call."""
    items = [TaskReport(name, attempt, state, cause) for name, attempt, state, cause in tasks]
    token = harness.cluster.token if token is None else token
    report = Report(machine, "127.0.0.1:9", "m4", "a", False, session, serial, token, None, items)
    Reports(harness.cluster).look(report, harness.clock.now_us())


# An order on its way, and a direct call that overtakes it


@pytest.mark.parametrize("halted", [False, True])
def test_the_answer_to_a_direct_call_proves_nothing_of_an_order_that_is_still_on_its_way(harness, halted):
    """A `/do` overtakes the answer to the worker's report: the place was freed, and then the task started there."""
    spec = job()
    placed = harness.place(spec)
    assert ops(harness.report("host-1", 2)) == [("run", f"{spec.id}/0", 1)]  # held up on its way
    if halted:
        harness.cluster.halt(placed.live[0], 0.0, "something else needs the room")
    told(harness, 3)  # newer than the order, and without the task
    task = placed.live[0]
    assert task.sent == (1, 2)
    if not halted:
        harness.cluster.halt(task, 0.0, "something else needs the room")
    assert placed.live[0] is task  # not freed: it may start at any moment
    assert ops(harness.report("host-1", 4, (f"{spec.id}/0", 1, "pulling", None))) == [("halt", f"{spec.id}/0", 1)]
    harness.report("host-1", 5, (f"{spec.id}/0", 1, "exited", "stopped"))
    assert not placed.live


def test_a_report_of_the_workers_own_after_the_order_is_proof(harness):
    spec = job()
    placed = harness.place(spec)
    harness.report("host-1", 2)
    harness.cluster.halt(placed.live[0], 0.0, "something else needs the room")
    told(harness, 3)
    harness.report("host-1", 4)  # one report is in flight at a time: the answer to the one before was lost
    assert not placed.live


def test_what_a_worker_that_follows_a_newer_leader_tells_in_a_direct_answer_changes_nothing(harness):
    """A deposed leader called workers, took what its successor had placed there for strays, and its own for lost."""
    spec = job()
    placed = harness.place(spec)
    harness.report("host-1", 2)
    harness.report("host-1", 3, (f"{spec.id}/0", 1, "running", None))
    told(harness, 9, ("req-000009/0", 1, "running", None), token=harness.cluster.token + 1)
    harness.report("host-1", 4, (f"{spec.id}/0", 1, "running", None))
    assert 0 in placed.live and harness.cluster.machines["host-1"].serial == 4


# A copy of an old report is the first that a new leader hears


def test_a_new_session_proves_nothing_of_what_an_older_leader_may_yet_order(harness):
    """A copy from an earlier session came first; the worker's next report, of a session that the old leader may still
    be answering, was then taken for proof that its tasks were gone."""
    spec = job()
    harness.place(spec)
    old = harness.cluster.token
    harness.report("host-1", 2)
    harness.elect()  # the old leader does not know yet, and has the place on record as we do
    placed = harness.cluster.jobs[spec.id]
    harness.report("host-1", 1, session=1, token=0)  # the copy
    harness.report("host-1", 7, session=2, token=old)  # our answer to this is lost; the old leader's next is not
    assert 0 in placed.live
    harness.report("host-1", 9, session=2, token=old)
    assert 0 in placed.live
    harness.report(
        "host-1", 10, session=2
    )  # it has seen our token: nothing of an older leader is carried out any more
    assert 0 not in placed.live


def test_copies_of_reports_from_before_change_nothing(harness):
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


# Machines that are deaf to what they are told


def test_what_a_deaf_machine_was_told_in_vain_starts_elsewhere_and_it_gets_no_more_for_a_while(harness):
    spec = job()
    placed = harness.place(spec)
    for serial in range(2, 2 + reachability.DEAF_AFTER):
        assert ops(harness.report("host-1", serial)) == [("run", f"{spec.id}/0", 1)]  # told again and again
        assert 0 in placed.live
        harness.clock.pass_s(1.0)
    assert ops(harness.report("host-1", 5)) == [] and 0 not in placed.live
    harness.report("host-2", 1)
    harness.scheduler.schedule(harness.clock.now_us())
    harness.commit()
    assert placed.live[0].machine.name == "host-2" and placed.live[0].attempt == 2
    assert ops(harness.report("host-2", 2)) == [("run", f"{spec.id}/0", 2)]
    deaf = harness.cluster.machines["host-1"]
    assert harness.cluster.mass_failures.avoid_placement(deaf, harness.clock.now_us())
    harness.clock.pass_s(11.0)
    assert not harness.cluster.mass_failures.avoid_placement(deaf, harness.clock.now_us())


def test_reports_that_a_cut_held_up_and_that_come_at_once_make_no_machine_deaf(harness):
    """None of their answers had time to arrive: all machines of a zone got no work right after its cut."""
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


def test_a_machine_deaf_to_the_new_leader_is_returned_once_its_lease_is_over_and_not_before(harness):
    """What the last leader placed on it is gone by then, but nothing it says can prove that."""
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
    harness.report("host-1", 22, session=2)  # it heard us after all
    assert (
        not list(reachability.machines_out_of_contact(machines, lease_us, report_us, harness.clock.now_us()))
        and 0 not in placed.live
    )


# Transactions that are carried out late


def fenced(state):
    fence = Entry("t/fence", lambda: {"by": 1}, state.stamp_of("t/fence"))
    return WriteQueue(keys.LEADER, state.elect("n0"), 8, fence)


def commit(queue, state):
    batch = queue.next_batch(8)
    revision = state.txn(batch.guards, batch.writes)
    assert revision is not None
    queue.batch_committed(revision)
    return batch


def lost_creation():
    """A record's first write got no answer, and may be carried out at any later time; `value[0]` is the record's."""
    state = StateStandIn()
    queue, value = fenced(state), [{"v": 1}]
    entry = Entry("t/m/a", lambda: value[0], 0)
    queue.enqueue(entry)
    lost = queue.next_batch(8)
    queue.batch_failed(state.stamp_of)
    return state, queue, entry, value, lost


def test_a_lost_creation_never_applies_once_its_key_was_written_and_removed():
    """0 guards a creation again when the key is gone: a rental that was over stood in the records once more."""
    state, queue, entry, value, lost = lost_creation()
    commit(queue, state)
    value[0] = None
    queue.enqueue(entry)
    commit(queue, state)
    assert "t/m/a" not in state.items
    assert state.txn(lost.guards, lost.writes) is None and "t/m/a" not in state.items


def test_a_lost_creation_never_applies_once_its_entry_was_dropped_unwritten():
    state, queue, _, value, lost = lost_creation()
    value[0] = None  # it has lost its point, and as far as was read it was never there
    batch = commit(queue, state)
    assert [write.key for write in batch.writes] == ["t/fence"]
    assert state.txn(lost.guards, lost.writes) is None and "t/m/a" not in state.items


def test_a_lost_transaction_that_applies_before_the_next_one_is_found_and_written_over():
    state = StateStandIn()
    queue, effects = fenced(state), []
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


def test_what_a_leader_lost_can_apply_no_more_under_the_next_one(harness):
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


def test_a_return_of_an_adopted_machine_is_persisted_before_the_cloud_hears_of_it(harness):
    """It reported before its rental was answered, and its adoption was dropped unwritten: the return was asked for
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


# Several controllers, in simulated time (`simulated_cluster.py`)


def long_jobs(sim, count=4):
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


def refused_then_out(sim, alone_s, out_s=50.0, cut=False, delay_s=0.001, copies=0.0, kill=False, move=False):
    """The day of the page; returns for how long after its confirmation a task of each cancelled job was there."""
    specs, old = long_jobs(sim), sim.leader()
    sim.service.refused.add(old)
    if cut:
        sim.cuts |= {frozenset((old, other)) for other in sim.names if other != old}
    sim.delay_s, sim.copies = delay_s, copies
    sim.run(alone_s / 2)
    by = other_than(sim, old)
    sim.cancel(specs[0], by)
    sim.cancel(specs[3], by)
    sim.run(alone_s / 2 - 0.9)
    sim.cancel(specs[1], by)  # in the last second before the outage
    sim.run(0.9)
    confirmed = dict(sim.rules.cancelled_us)
    assert len(confirmed) == 3  # else nothing is shown
    sim.service.outage(out_s)
    gone = {}
    for second in range(round(out_s) * 4):
        sim.run(0.25)
        if kill and second == 20:
            sim.end(sim.leader() or by, back_s=0.2)
        if move and second % 16 == 0:
            sim.cuts ^= {("workers", sim.names[second // 16 % 3])}
        for name, at_us in confirmed.items():
            if sim.on_machines(name):
                gone[name] = (sim.clock.us - at_us) / 1e6
    sim.service.refused.clear()
    sim.cuts.clear()
    return confirmed, gone, specs[2]


@pytest.mark.parametrize("name", REFUSED)
def test_the_leader_refused_alone_then_an_outage_for_all(sim, name):
    """Cancelled tasks are gone within `cancel_s`, whoever hears their worker, and at once where anybody can tell."""
    sim = sim()
    confirmed, gone, kept = refused_then_out(sim, **REFUSED[name])
    assert all(gone.get(job_id, 0.0) <= 3.0 for job_id in confirmed), gone
    sim.run(60.0)
    assert len(sim.on_machines(kept.id)) == 2  # what nobody cancelled goes on, or again
    assert poll(sim, kept) == "running"


# Where nobody can tell: the bound itself


def hidden(sim, place):
    """A cancellation right after the last contact of whoever answers the workers, an outage right after that, and no
    way to tell anybody. Returns for how long the last of its tasks was there, in seconds."""
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
    for spec in specs:
        sim.cancel(spec, by)
    sim.run(0.05)
    assert len(sim.rules.cancelled_us) == 4
    at_us = max(sim.rules.cancelled_us.values())
    sim.service.outage(60.0)
    last = 0.0
    for _ in range(200):
        sim.run(0.25)
        if any(sim.on_machines(spec.id) for spec in specs):
            last = (sim.clock.us - at_us) / 1e6
    return last


PLACES = ["leader", "relayed", "alone"]


def longer(config, contact_us, now_us):
    """The bound, planted two seconds too long."""
    return bounds.may_answer(config, contact_us and contact_us + 2_000_000, now_us)


@pytest.mark.parametrize("place", PLACES)
def test_where_nobody_can_tell_the_bound_ends_cancelled_tasks_in_time(sim, place):
    last = hidden(sim(zones="a", machines=20, tick_s=0.1), place)
    assert 12.0 < last < 20.0  # not at once: else this shows nothing of the bound


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("plant", ["bound", "contact"])
def test_a_bound_planted_two_seconds_too_long_is_found(sim, place, plant, monkeypatch):
    if plant == "bound":
        monkeypatch.setattr("tideusher.actors.gateway.may_answer", longer if place == "alone" else bounds.may_answer)
        monkeypatch.setattr("tideusher.actors.leader.may_answer", bounds.may_answer if place == "alone" else longer)
    else:
        touched = Store._record_contact
        monkeypatch.setattr(Store, "_touched", lambda store, sent_us: touched(store, sent_us + 2_000_000))
    with pytest.raises(AssertionError, match="ran_cancelled"):
        hidden(sim(zones="a", machines=20, tick_s=0.1), place)


# Other meetings over whole controllers


def test_jobs_of_tasks_that_end_far_apart_are_done_once_across_changes_of_leader(sim):
    """One task is over and forgotten under the first leader, the other under the third."""
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


def test_a_controller_that_hears_no_other_controller_and_no_state_service_takes_no_users(sim):
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


def test_what_is_cancelled_under_the_new_leader_ends_at_once_on_workers_that_report_to_the_old_one(sim):
    """It is cut from the state service and its peers, and answers them; their sessions nobody else has heard."""
    sim = sim()
    specs, old = long_jobs(sim), sim.leader()
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


def test_a_leader_ends_while_workers_are_deaf_and_what_they_ran_runs_again_once(sim):
    sim = sim()
    specs = long_jobs(sim)
    sim.deaf |= set(sim.workers)
    sim.run(1.0)
    sim.end(sim.leader(), back_s=5.0)
    sim.run(25.0)  # longer than their leases: their tasks are gone, and only a return or a report proves it
    sim.deaf.clear()
    sim.run(60.0)
    assert all(len(sim.on_machines(spec.id)) == 2 for spec in specs)


def test_why_tasks_ended_whose_workers_nobody_could_answer_is_explained_a_minute_later(sim):
    sim = sim()
    specs = long_jobs(sim)
    sim.deaf |= set(sim.workers)
    sim.run(10.0)
    sim.deaf.clear()
    sim.run(60.0)
    cluster = sim.nodes[sim.leader()].leader._cluster
    for spec in specs:
        told = explain.explain_job(cluster, spec.id, sim.clock.us)
        assert any("lease ran out" in stop["reason"] or "is gone" in stop["reason"] for stop in told["stops"]), told


def test_two_commands_for_a_machine_before_its_helper_runs_are_both_told(sim, caplog):
    """Decided in the same moment by two messages: both calls would begin a helper of their own."""
    sim = sim()
    specs = [sim.submit(job("batch", 1, estimate_s=900.0)) for _ in range(2)]
    sim.run(10.0)
    leader = sim.nodes[sim.leader()].leader
    engine = leader._engine
    machine = next(machine for machine in engine.cluster.machines.values() if machine.tasks)
    tasks = [task for spec in specs for task in engine.cluster.jobs[spec.id].live.values()]
    assert tasks
    sim.calls = False  # each takes its time
    for task in tasks:
        engine.cluster.direct.append(DirectCommand(machine, halt(task.name, task.attempt, 0.0)))
        leader._act(engine)
    with caplog.at_level(logging.ERROR):
        sim.run(5.0)
    assert "a helper of this actor failed" not in caplog.text and not leader._command_sender
