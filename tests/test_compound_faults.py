"""Compound faults, run with complete controllers in simulated time; docs/compound-faults.md lists them.

The simulated cluster checks the rules at all times; these tests assert what else must hold.
"""

import msgspec
import pytest

from standins import FakeClock, LeaderHarness, job, make_config
from tideusher.actors import halts as halts_module
from tideusher.actors import leader as leader_actor
from tideusher.actors.leader import Leader
from tideusher.clock import SECOND_US
from tideusher.config import Policy, ProcessResources, StateSettings
from tideusher.core.decide import reachability
from tideusher.core.decide.cancellations import TOLD, Cancellations
from tideusher.core.decide.gang_reservations import NONE, GangReservations
from tideusher.core.lead.reports import Reports
from tideusher.core.lead.scheduler import Scheduler
from tideusher.core.model import keys
from tideusher.core.model.records import JOB_CANCELLED, UP, Job, Machine
from tideusher.wire import workers
from tideusher.wire.workers import Report, TaskReport


def poll(sim, spec, node=None):
    states = []
    sim.time.spawn(lambda: states.append(sim.poll(spec.id, node)))
    sim.run(6.0)
    return states[0]


def placed_counts(sim, *specs):
    """Returns the number of tasks of each job that are on machines."""
    return [len(sim.on_machines(spec.id)) for spec in specs]


def run_until_all_placed(sim, specs, within_s=90):
    for _ in range(within_s):
        if all(len(sim.on_machines(spec.id)) == spec.tasks for spec in specs):
            return
        sim.run(1.0)
    raise AssertionError(f"after {within_s} s: {placed_counts(sim, *specs)}")


def submit_long_jobs(sim, count=4, **fields):
    specs = [sim.submit(job("batch", 2, estimate_s=900.0, **fields)) for _ in range(count - 1)]
    specs.append(sim.submit(job("gang", 2, estimate_s=900.0, checkpoint_s=30.0, save_s=3.0, team="blue")))
    run_until_all_placed(sim, specs, 20)
    return specs


def change_leader(sim, back_s=0.2):
    """Ends the leader and runs until another one leads; returns the seconds that this took."""
    old, old_stamp = sim.leader(), sim.service.state.stamp_of(keys.LEADER)
    sim.end(old, back_s)
    for tenth in range(200):
        sim.run(0.1)
        if sim.service.state.stamp_of(keys.LEADER) not in (0, old_stamp):
            return (tenth + 1) / 10
    raise AssertionError("no controller leads")


# A zone with workers and a controller is isolated for longer than a lease


@pytest.mark.parametrize("seed", [0, 1])
@pytest.mark.parametrize("with_leader", [False, True])
def test_zone_isolated_for_longer_than_a_lease_breaks_no_rule_and_recovers(sim, seed, with_leader):
    sim = sim(seed, nodes=3)
    specs = submit_long_jobs(sim)
    zone = sim.zone_of[sim.leader()] if with_leader else next(z for z in "ab" if z != sim.zone_of[sim.leader()])
    sim.cut_zones.add(zone)
    sim.run(2.0)
    for spec in specs[:2]:
        sim.cancel(spec)
    more = [sim.submit(job(estimate_s=900.0)) for _ in range(3)]
    sim.run(28.0)  # its controller may answer in isolation for a while, then leases expire
    assert not any(placed_counts(sim, *specs[:2]))
    sim.cut_zones.clear()
    run_until_all_placed(sim, [*specs[2:], *more])


# Jobs that are bound to one zone, arrays included, lose machines


@pytest.mark.parametrize("seed", range(4))
def test_zone_bound_jobs_recover_from_lost_machines_across_a_change_of_leader(sim, seed):
    sim = sim(seed, machines=8)
    bound = [
        job("batch", 4, one_zone=True, estimate_s=900.0),
        job("gang", 3, one_zone=True, estimate_s=900.0, checkpoint_s=10.0, save_s=1.0, team="blue"),
        job("batch", 2, zone="b", estimate_s=900.0),
        job("service", 3, spread=True, estimate_s=0.0, priority="critical", team="blue"),
    ]
    for spec in bound:
        sim.submit(spec)
    run_until_all_placed(sim, bound, 25)
    hosts = sorted({worker.name for spec in bound for worker, _ in sim.on_machines(spec.id)})
    for name in sim.rng.sample(hosts, len(hosts) // 2):
        sim.workers[name].dead = True
    sim.run(sim.rng.random() * 3)
    change_leader(sim)
    run_until_all_placed(sim, bound)


# New machines boot within two seconds and get work at once while writes are slow, and the leader ends


@pytest.mark.parametrize("back_s", [0.05, 5.0])
@pytest.mark.parametrize("after_s", [0.3, 1.0, 2.0, 3.0, 5.0])
def test_new_machines_get_work_while_writes_are_slow_and_the_leader_ends(sim, after_s, back_s):
    sim = sim(machines=1)
    sim.boot_s = 0.3
    sim.service.slow_s = 1.0
    specs = [sim.submit(job("batch", 3, gpus=2.0, estimate_s=900.0, team=team)) for team in ("red", "blue") * 2]
    sim.run(1.0 + after_s)
    change_leader(sim, back_s)
    sim.service.slow_s = 0.0
    run_until_all_placed(sim, specs, 60)
    rented = {host for hosts in sim.rented.values() for host in hosts}
    assert {worker.name for spec in specs for worker, _ in sim.on_machines(spec.id)} <= rented


# Every team is at its limit, jobs on unreachable machines are cancelled, and the leader changes


def make_unreachable(sim, how, names, for_s):
    if how == "cut off":
        sim.cut_zones.add("b")
        sim.time.later(for_s, lambda: sim.cut_zones.discard("b"))
    elif how == "hang":
        for name in names:
            sim.hang(name, min(for_s, 5.0))
    else:
        affected = getattr(sim, how)
        affected |= names
        sim.time.later(for_s, lambda: affected.difference_update(names))


@pytest.mark.parametrize("how", ["cut off", "hang", "mute", "deaf"])
@pytest.mark.parametrize("when", ["before", "after", "never"])
def test_teams_at_their_limit_get_nothing_until_cancelled_tasks_are_proven_stopped(sim, how, when):
    """Checks that the leader's count of a team's usage is never below what is on machines, which `quota` counts."""
    sim = sim(machines=10, nodes=3)
    full = [sim.submit(job("batch", 4, estimate_s=900.0, team=team)) for team in ("red", "blue") * 3]
    run_until_all_placed(sim, full, 30)
    waiting = [sim.submit(job("batch", 4, estimate_s=900.0, team=team)) for team in ("red", "blue") * 2]
    sim.run(2.0)
    names = {worker.name for spec in full[:4] for worker, _ in sim.on_machines(spec.id)}
    make_unreachable(sim, how, names, 15.0)
    sim.run(0.3)
    if when == "before":
        change_leader(sim)
    for spec in full[:4]:
        sim.cancel(spec)
    sim.run(0.4)
    if when == "after":
        change_leader(sim)
    for _ in range(40):
        sim.run(1.0)
        cluster = sim.nodes[sim.leader()].leader._cluster if sim.leader() in sim.nodes else None
        if cluster is not None and cluster.jobs:
            for team in ("red", "blue"):
                on = [t for w in sim.workers.values() for t in w.on_machine() if sim.specs[t.job].team == team]
                assert cluster.team_usage(team)[1] + 1e-6 >= sum(sim.specs[task.job].gpus for task in on), (team, how)
    assert not any(placed_counts(sim, *full[:4]))
    run_until_all_placed(sim, waiting)


def test_limit_that_ignores_cancelled_tasks_is_detected(sim, monkeypatch):
    """Injected fault: cancelled tasks count as stopped at once."""
    quota_room = Scheduler._quota_left

    def quota_without_cancelled(scheduler, waiting):
        jobs, team = scheduler._c.jobs.values(), waiting.spec.team
        cancelled = [task for j in jobs if j.status != "open" and j.spec.team == team for task in j.live.values()]
        usage = scheduler._c.usage[team]
        before, usage[1] = usage[1], usage[1] - sum(task.job.spec.gpus for task in cancelled)
        try:
            return quota_room(scheduler, waiting)
        finally:
            usage[1] = before

    monkeypatch.setattr(Scheduler, "_quota_left", quota_without_cancelled)
    with pytest.raises(AssertionError, match="quota"):
        test_teams_at_their_limit_get_nothing_until_cancelled_tasks_are_proven_stopped(sim, "deaf", "never")


# Jobs are cancelled in the seconds in which the leadership changes


@pytest.mark.parametrize("offset_s", [-0.4, -0.1, 0.0, 0.1, 0.4, 1.0])
def test_jobs_cancelled_while_the_leadership_changes_are_stopped(sim, offset_s):
    sim = sim(nodes=3)
    specs = submit_long_jobs(sim, 6)
    at_s = 2.0
    for number, spec in enumerate(specs[:4]):
        sim.time.later(at_s + offset_s + 0.05 * number, lambda s=spec, n=number: sim.cancel(s, sim.names[n % 3]))
    sim.time.later(at_s, lambda: sim.end(sim.leader(), back_s=0.2))
    sim.run(at_s + 8.0)
    assert all(sim.told.get(spec.id) == "withdrawn" for spec in specs[:4])
    assert not any(placed_counts(sim, *specs[:4])) and placed_counts(sim, *specs[4:]) == [2, 2]


# Workers that reach no controller, while calls reach the workers (mute)


def test_cancelled_tasks_of_mute_machines_are_stopped_by_direct_calls_of_an_old_and_a_new_leader(sim):
    sim = sim()
    specs = submit_long_jobs(sim)
    sim.mute |= set(sim.workers)
    sim.run(0.5)
    sim.cancel(specs[0])
    sim.run(1.0)
    assert not any(placed_counts(sim, specs[0]))
    sim.run(0.5)
    change_leader(sim)
    sim.run(0.5)
    sim.cancel(specs[1])
    sim.run(1.0)
    assert not any(placed_counts(sim, specs[1]))
    sim.mute.clear()
    run_until_all_placed(sim, specs[2:])


def test_task_placed_on_a_machine_that_became_mute_before_starting_it_moves(sim):
    """Successful calls made the machine seem alive, so tasks were placed there that no command could start."""
    sim = sim(machines=2)
    first = sim.submit(job("batch", 1, gpus=0.5, estimate_s=900.0))
    run_until_all_placed(sim, [first], 15)
    mute = sim.on_machines(first.id)[0][0].name
    sim.mute.add(mute)
    sim.run(9.0)  # its lease expires, and the leader detects that by calls
    specs = [sim.submit(job("batch", 1, gpus=3.0, estimate_s=900.0)) for _ in range(2)]
    sim.run(14.0)
    assert placed_counts(sim, *specs) == [1, 1]
    assert all(worker.name != mute for spec in specs for worker, _ in sim.on_machines(spec.id))


def test_task_placed_by_an_earlier_leader_on_a_mute_machine_moves_once_a_call_proves_it_gone(sim):
    """The worker shows a new token only after a call with it: the task stayed placed until the worker reported."""
    sim = sim(machines=3)
    (spec,) = [sim.submit(job("batch", 1, estimate_s=900.0))]
    run_until_all_placed(sim, [spec], 15)
    name = sim.on_machines(spec.id)[0][0].name
    sim.mute.add(name)
    sim.run(0.3)
    change_leader(sim, back_s=5.0)
    sim.run(22.0)
    assert [worker.name for worker, _ in sim.on_machines(spec.id)] not in ([], [name])


def test_machine_that_stays_mute_is_returned_unless_another_controller_hears_it(harness):
    machine = harness.cluster.machines.get("host-1")
    harness.report("host-1", 1)
    machine, clock = harness.cluster.machines["host-1"], harness.clock
    peer_contact = {"us": 0}

    def due():
        ask = reachability.machines_out_of_contact(
            [machine], 6_000_000, 1_000_000, clock.now_us(), lambda m: 4_000_000, lambda m: peer_contact["us"]
        )
        return [why for _, why in ask]

    for _ in range(9):
        clock.pass_s(1.0)
        machine.last_contact_us = clock.now_us()  # calls reach it
        assert not due()
    clock.pass_s(2.0)
    machine.last_contact_us = clock.now_us()
    assert len(due()) == 1 and "calls reach it" in due()[0]
    peer_contact["us"] = clock.now_us()  # by a controller whose connections to the leader are cut or slow
    assert not due()
    # Unreachable for all controllers: the detection of silent machines handles that.
    peer_contact["us"], machine.last_contact_us = 0, machine.last_report_us
    assert not due()


# Jobs are cancelled as the state service refuses the leader; a second later an outage begins for all controllers


@pytest.mark.parametrize("out_after_s", [0.3, 1.0])
@pytest.mark.parametrize("cut", [False, True])
def test_jobs_cancelled_as_the_leader_is_refused_stop_in_the_outage_that_follows(sim, out_after_s, cut):
    sim = sim()
    specs, old = submit_long_jobs(sim), sim.leader()
    cancelling_node = next(name for name in sim.names if name != old)
    sim.service.refused.add(old)
    if cut:
        sim.cuts |= {frozenset((old, other)) for other in sim.names if other != old}
    for spec in specs[:3]:
        sim.cancel(spec, cancelling_node)
    sim.run(out_after_s)
    # Stored before the outage; without the leader's promise its user is told in the outage, after the start lease.
    assert all(sim.service.state.record_of(spec.id)["st"] == JOB_CANCELLED for spec in specs[:3])
    sim.service.outage(30.0)
    sim.run(4.0)
    assert len(sim.rules.cancelled_us) == 3
    sim.run(15.0)
    assert not any(placed_counts(sim, *specs[:3]))
    sim.run(11.0)
    sim.service.refused.clear()
    sim.cuts.clear()
    run_until_all_placed(sim, specs[3:])


def test_cancellation_log_keeps_all_of_its_period_and_the_newest_of_a_history():
    notes = Cancellations(40 * SECOND_US, write_rps=90.0)
    for number in range(40 * 90):
        assert notes.learn(f"req-{number}", number + 1, number * SECOND_US // 90)
    # The capacity follows the write limit; it was once fixed at 4,096.
    assert all(f"req-{number}" in notes for number in range(40 * 90))
    history = Cancellations(40 * SECOND_US, write_rps=1.0)
    for number in range(2000):  # in the order of names, which is not that of time
        history.learn(f"req-{number:06d}", 5000 - number, SECOND_US)
    assert [job for job, _ in history.since(4990)] == [f"req-{number:06d}" for number in range(9, -1, -1)]


def test_cancellations_of_one_transaction_are_reported_together():
    """The next answer starts after the last reported revision: others of that revision were never reported."""
    notes = Cancellations(40 * SECOND_US, write_rps=90.0)
    for number in range(TOLD + 3):
        notes.learn(f"req-{number}", min(number + 1, TOLD - 1), SECOND_US)
    batch, reported = notes.since(0), set()
    while batch:
        reported |= {job for job, _ in batch}
        batch = notes.since(batch[-1][1])
    assert len(reported) == TOLD + 3


def test_direct_calls_without_a_reachable_leader_are_limited_and_not_repeated_per_request(monkeypatch):
    """Sixty jobs cancelled at once opened a connection per machine and job; users need the process's sockets."""
    clock, calls, open_calls, max_open = FakeClock(), [], [0], [0]

    class Client:
        def __init__(self, address, timeout_s=0.0, keep=0):
            self.address = address

        def call(self, method, path, body=None, timeout_s=None):
            open_calls[0] += 1
            max_open[0] = max(max_open[0], open_calls[0])
            leader_actor.gevent.sleep(0.001)
            open_calls[0] -= 1
            calls.append((self.address, path, body))
            return 200, workers.encode(Report("host", "x", "m4", "a", False, 3, 1, 1, None, []))

    monkeypatch.setattr(halts_module, "HttpClient", Client)
    config = make_config(resources=ProcessResources(max_sockets=64))
    harness = LeaderHarness(config)
    jobs = [harness.place(job("batch", 2, cpus=1.0, gpus=0.1, team="red"), "host-1", "host-2") for _ in range(12)]
    stub = type("Part", (), {})
    store = stub()
    store.listen, store.mirror, store.lead = lambda f: None, {}, lambda leads: None
    election = stub()
    election.leader, election.token = lambda: ("n9", 7), None
    leader = Leader(config, Policy(), clock, store, election, stub(), harness.cluster.metrics)
    leader._standby = stub()
    leader._standby.cluster_state = harness.cluster.cluster_state
    leader.set_reachability(lambda node: False)
    contacts = stub()
    contacts.last = lambda name, now_us: (now_us, f"{name}:1")
    leader.set_contacts(contacts)
    for _ in range(5):  # users repeat their requests
        for one in jobs:
            leader.on_cancelled_here(one.spec.id)
    leader_actor.gevent.sleep(0.1)
    sent = [body for _, path, body in calls if path == "/do"]
    halts = [c.task for body in sent for c in msgspec.json.decode(body, type=workers.DirectCommands).commands]
    assert sorted(halts) == sorted(f"{one.spec.id}/{index}" for one in jobs for index in one.live)
    assert max_open[0] <= 64 // halts_module.SOCKET_SHARE_DIVISOR
    clock.pass_s(3.0)
    leader.on_cancelled_here(jobs[0].spec.id)
    leader_actor.gevent.sleep(0.1)
    assert len([1 for _, path, _ in calls if path == "/do"]) > len(sent)


# More work than capacity, of several priorities, over slow links


def test_work_starts_over_slow_links_and_afterwards_nothing_waits_beside_free_capacity(sim):
    """With a delay of half a second each way, no answer of the leader arrived in time and nothing started."""
    sim = sim(machines=6)
    sim.delay_s = 0.7
    other_zone = next(
        zone for zone in "ab" if zone != sim.zone_of[sim.leader()]
    )  # its workers report to other controllers
    specs = [
        sim.submit(job("batch", 2, team=team, priority=rank, estimate_s=15.0, zone=other_zone))
        for rank in ("standard", "urgent", "best_effort")
        for team in ("red", "blue") * 3
    ]
    sim.run(30.0)
    assert sum(map(bool, placed_counts(sim, *specs))) >= 2
    sim.delay_s = 0.001
    sim.run(90.0)
    assert all(sim.waits(spec.id) for spec in specs if poll(sim, spec) == "pending")


# Copies of old reports


def copied_report(machine, serial, session, token, *tasks):
    items = [TaskReport(*task) for task in tasks]
    return Report(machine, "127.0.0.1:9", "m4", "a", False, session, serial, token, None, items)


def test_copy_as_the_first_report_of_a_machine_proves_and_places_nothing(harness):
    spec = job("batch", 2)
    harness.place(spec)
    names, old = [f"{spec.id}/{index}" for index in (0, 1)], harness.cluster.token
    harness.report("host-1", 2)
    harness.report("host-1", 3, *((name, 1, "running", None) for name in names))
    harness.commit()
    harness.elect()
    placed, before = harness.cluster.jobs[spec.id], dict(harness.state.items)
    for report in (
        copied_report("host-1", 2, 1, old),  # sent before it ran anything
        copied_report("host-1", 1, 1, 0, (names[0], 1, "pulling", None)),
    ):
        Reports(harness.cluster).answer(report, harness.clock.now_us())
        harness.commit()
        assert set(placed.live) == {0, 1} and placed.pending == 0
    assert {k: v for k, v in harness.state.items.items() if k.startswith(keys.CHUNK_PREFIX)} == {
        k: v for k, v in before.items() if k.startswith(keys.CHUNK_PREFIX)
    }
    harness.report("host-1", 4, *((name, 1, "running", None) for name in names), token=old)
    harness.report("host-1", 5, *((name, 1, "running", None) for name in names))
    assert set(placed.live) == {0, 1}


def test_copy_does_not_end_the_silence_reported_by_controllers(harness):
    """A copy from a dead machine arrived as the new leader began, which then waited for the machine again."""
    harness.place(job())
    old = harness.cluster.token
    harness.elect()
    machine = harness.cluster.machines["host-1"]
    machine.seen_us = harness.clock.now_us() - 5 * SECOND_US
    Reports(harness.cluster).answer(copied_report("host-1", 2, 1, old), harness.clock.now_us())
    assert machine.last_us == machine.seen_us
    harness.report("host-1", 3)  # with the leader's token: it is alive
    assert machine.last_us == harness.clock.now_us()


def test_nothing_is_placed_on_a_machine_known_by_an_old_report_only(harness):
    """The machine was returned under an earlier leader; a copied report had it adopted and used."""
    harness.state.elect("n1")
    harness.elect()
    placed = harness.submit(job())
    Reports(harness.cluster).answer(copied_report("ghost", 9, 1, harness.cluster.token - 1), harness.clock.now_us())
    harness.scheduler.schedule(harness.clock.now_us())
    assert harness.cluster.machines["ghost"].phase == UP and not placed.live
    # It is alive after all.
    Reports(harness.cluster).answer(copied_report("ghost", 10, 1, harness.cluster.token), harness.clock.now_us())
    harness.scheduler.schedule(harness.clock.now_us())
    assert [task.machine.name for task in placed.live.values()] == ["ghost"]


@pytest.mark.parametrize("seed", range(3))
def test_old_reports_reach_every_controller_as_each_of_ten_leaders_begins(sim, seed):
    """Ten changes of leader in two minutes, the fifth in an outage; copied reports wait until a leader acted."""
    sim = sim(seed)
    specs = submit_long_jobs(sim, 5)
    sim.for_next, sim.held_reports = 0.3, 0.1
    ended = [sim.submit(job("batch", 2, estimate_s=20.0)) for _ in range(3)]
    for number in range(10):
        if number == 4:
            sim.service.outage(8.0)
        if sim.leader() in sim.nodes:
            sim.end(sim.leader(), back_s=0.2)
        if number in (2, 6):
            sim.cancel(specs[number // 4])
        sim.run(12.0)
    sim.for_next = sim.held_reports = 0.0
    sim.run(20.0)
    assert not any(placed_counts(sim, *specs[:2]))
    run_until_all_placed(sim, specs[2:])
    assert [poll(sim, spec) for spec in ended] == ["done"] * 3


def test_copy_taken_as_proof_is_detected(sim, monkeypatch):
    """Injected fault: a task that a report does not list counts as stopped, whichever token the report shows."""
    absent = Reports._absent

    def absent_whatever_the_token(reports, task, report, new_session, now_us):
        newer = msgspec.structs.replace(report, token=reports._c.token)
        task.machine.latest_own_report = max(task.machine.latest_own_report, (report.session, report.serial + 1))
        return absent(reports, task, newer, new_session, now_us)

    monkeypatch.setattr(Reports, "_absent", absent_whatever_the_token)
    with pytest.raises(AssertionError, match="ran_twice|quota"):
        cluster = sim()
        cluster.for_next = 0.9
        for _ in range(8):
            spec = cluster.submit(job(estimate_s=60.0))
            cluster.run(4.0)
            hosts = {worker.name for worker, _ in cluster.on_machines(spec.id)}
            cluster.deaf |= hosts  # so that no command stops tasks there that are no longer placed
            cluster.end(cluster.leader(), back_s=0.2)
            cluster.run(8.0)
            cluster.deaf.clear()


# All controllers end, with takeovers in between


@pytest.mark.parametrize("back_s", [[7.0, 9.0, 12.0], [7.0, 7.1, 7.2], [0.1, 8.0, 30.0]])
def test_jobs_survive_all_controllers_being_down_for_longer_than_a_lease(sim, back_s):
    sim = sim()
    specs = submit_long_jobs(sim)
    sim.cancel(specs[0])
    sim.run(0.3)
    for name, after_s in zip(list(sim.names), back_s, strict=True):
        sim.end(name, back_s=after_s)
    sim.run(14.0)
    assert not any(placed_counts(sim, specs[0]))
    run_until_all_placed(sim, specs[1:])


# A command or its answer is delayed by seconds, and the machine continues


@pytest.mark.parametrize("seed", range(3))
def test_late_commands_and_machines_that_hang_and_continue(sim, seed):
    sim = sim(seed, machines=8)
    specs = submit_long_jobs(sim, 6)
    sim.held_calls = 0.6
    for spec in specs[:4]:
        for worker, _ in sim.on_machines(spec.id):
            sim.hang(worker.name, sim.rng.choice([1.0, 3.0, 5.5, 7.0]))
        sim.cancel(spec)
        sim.run(0.5)
    change_leader(sim)
    more = [sim.submit(job("batch", 2, estimate_s=900.0)) for _ in range(2)]
    sim.run(12.0)
    assert not any(placed_counts(sim, *specs[:4]))
    sim.held_calls = 0.0
    run_until_all_placed(sim, [*specs[4:], *more])


# A stream of small jobs: the cost of an ordinary job


def submit_stream(sim, seconds, rate=4, cancelled=0.25):
    """Submits `rate` one-task jobs a second and cancels a share of them; returns all jobs and the cancelled ones."""
    specs, cancels = [], []
    for _ in range(seconds):
        for number in range(rate):
            spec = job(
                "batch", 1, cpus=1.0, gpus=0.25, estimate_s=5.0, team=("red", "blue")[number % 2], image_gb=0.5
            )
            sim.time.later(number / rate, lambda s=spec: sim.submit(s))
            specs.append(spec)
            if sim.rng.random() < cancelled:
                cancels.append(spec)
                sim.time.later(1.0 + 4 * sim.rng.random(), lambda s=spec: sim.cancel(s))
        for spec in specs[-60:]:
            if spec.id in sim.accepted and spec.id not in sim.told:
                sim.time.spawn(sim.poll, spec.id)
        sim.run(1.0)
    return specs, cancels


LIMITS = {"kumamoto": StateSettings(90.0, 25.0, 8.0, 12), "sofia": StateSettings(500.0, 90.0, 4.0, 8)}


@pytest.mark.parametrize("site", LIMITS)
def test_stream_of_one_task_jobs_stays_within_the_limits_of_the_state_service(sim, site):
    """Counts the state service's writes per job, from acceptance to the removal of its records.

    Four jobs a second are submitted, a quarter of which is cancelled.
    """
    sim = sim(machines=10, state=LIMITS[site], nodes=3)
    sim.run(20.0)
    sim.service.counts.clear()
    specs, cancels = submit_stream(sim, 40)
    counts = dict(sim.service.counts)
    sim.run(30.0)
    unaccepted = [spec.id for spec in specs if spec.id not in sim.accepted]
    assert not unaccepted
    for spec in specs:
        assert sim.told.get(spec.id) or poll(sim, spec) == "done"
    assert counts["writes"] <= 40 * LIMITS[site].write_rps
    per_job = counts["writes"] / len(specs)
    # Acceptance, cancellation or end, a share of the pages with its placement and end, and the machines' records.
    assert per_job <= 3.6, counts


def test_gang_that_needs_complete_machines_starts_although_small_jobs_use_all_of_them(sim):
    """Three one-CPU tasks block a machine for it, and others replaced those that ended: it waited ten minutes."""
    sim = sim(machines=8)
    sim.capacity = 9
    gang = job("gang", 4, cpus=14.0, gpus=2.0, one_zone=True, priority="urgent", estimate_s=20.0)
    for second in range(200):
        for team in ("red", "blue"):
            runtime_s = sim.rng.uniform(15.0, 40.0)
            sim.submit(job("gang", 1, cpus=2.0, gpus=0.0, estimate_s=runtime_s, priority="urgent", team=team))
        if second == 30:
            sim.submit(gang)
        if sim.on_machines(gang.id):
            break
        sim.run(1.0)
    sim.run(3.0)
    assert 30 < second < 160
    assert len(sim.on_machines(gang.id)) == 4


def test_no_machine_that_cannot_receive_commands_is_reserved_for_a_gang():
    """In a fleet run with mute machines, a gang waited for some of them, which were reserved and idle."""
    zones, names = {"b": 3, "a": 2}, []
    for zone, count in zones.items():
        names += [(f"{zone}{number}", zone) for number in range(count)]
    machines = [
        Machine(name, "m4", zone, False, "r", 16.0, 4.0, 64.0, 0, phase=UP, last_report_us=1) for name, zone in names
    ]
    waiting = Job(job("gang", 2, cpus=14.0, one_zone=True), 1, 0, 0)
    reservations = GangReservations()
    for reachable, expected in ((lambda m: True, {"a0", "a1"}), (lambda m: m.name not in ("a0", "b1"), {"b0", "b2"})):
        reservations.update([(waiting, 2)], machines, machines, lambda job, zone: NONE, lambda job: 1, 0, reachable)
        assert set(reservations.held) == expected
