"""Compound faults of the users' page over whole controllers in simulated time, one test or more a bullet
(docs/compound-faults.md has the table). The rules are judged by the simulated cluster all the time; what else must
hold is asserted here.
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
from tideusher.core.model.records import UP, Job, Machine
from tideusher.wire import workers
from tideusher.wire.workers import Report, TaskReport


def poll(sim, spec, node=None):
    got = []
    sim.time.spawn(lambda: got.append(sim.poll(spec.id, node)))
    sim.run(6.0)
    return got[0]


def there(sim, *specs):
    return [len(sim.on_machines(spec.id)) for spec in specs]


def all_run(sim, specs, within_s=90):
    for _ in range(within_s):
        if all(len(sim.on_machines(spec.id)) == spec.tasks for spec in specs):
            return
        sim.run(1.0)
    raise AssertionError(f"after {within_s} s: {there(sim, *specs)}")


def long(sim, count=4, **fields):
    made = [sim.submit(job("batch", 2, estimate_s=900.0, **fields)) for _ in range(count - 1)]
    made.append(sim.submit(job("gang", 2, estimate_s=900.0, checkpoint_s=30.0, save_s=3.0, team="blue")))
    all_run(sim, made, 20)
    return made


def change(sim, back_s=0.2):
    """The leader ends, and another one leads; returns how long that took."""
    old, began = sim.leader(), sim.service.state.stamp_of(keys.LEADER)
    sim.end(old, back_s)
    for tenth in range(200):
        sim.run(0.1)
        if sim.service.state.stamp_of(keys.LEADER) not in (0, began):
            return (tenth + 1) / 10
    raise AssertionError("nobody leads")


# A zone with workers and a controller is cut off for longer than a lease


@pytest.mark.parametrize("seed", [0, 1])
@pytest.mark.parametrize("with_leader", [False, True])
def test_a_zone_that_is_cut_off_for_longer_than_a_lease_breaks_no_rule_and_comes_back(sim, seed, with_leader):
    sim = sim(seed, nodes=3)
    specs = long(sim)
    zone = sim.zone_of[sim.leader()] if with_leader else next(z for z in "ab" if z != sim.zone_of[sim.leader()])
    sim.cut_zones.add(zone)
    sim.run(2.0)
    for spec in specs[:2]:
        sim.cancel(spec)
    more = [sim.submit(job(estimate_s=900.0)) for _ in range(3)]
    sim.run(28.0)  # its controller may answer alone for a while, then leases run out
    assert not any(there(sim, *specs[:2]))
    sim.cut_zones.clear()
    all_run(sim, [*specs[2:], *more])


# Jobs that are bound to one zone, arrays too, lose machines


@pytest.mark.parametrize("seed", range(4))
def test_jobs_bound_to_a_zone_lose_machines_across_a_change_of_leader(sim, seed):
    sim = sim(seed, machines=8)
    bound = [
        job("batch", 4, one_zone=True, estimate_s=900.0),
        job("gang", 3, one_zone=True, estimate_s=900.0, checkpoint_s=10.0, save_s=1.0, team="blue"),
        job("batch", 2, zone="b", estimate_s=900.0),
        job("service", 3, spread=True, estimate_s=0.0, priority="critical", team="blue"),
    ]
    for spec in bound:
        sim.submit(spec)
    all_run(sim, bound, 25)
    hosts = sorted({worker.name for spec in bound for worker, _ in sim.on_machines(spec.id)})
    for name in sim.rng.sample(hosts, len(hosts) // 2):
        sim.workers[name].dead = True
    sim.run(sim.rng.random() * 3)
    change(sim)
    all_run(sim, bound)


# New machines are up within two seconds and get work at once while writes lag, and the leader ends


@pytest.mark.parametrize("back_s", [0.05, 5.0])
@pytest.mark.parametrize("after_s", [0.3, 1.0, 2.0, 3.0, 5.0])
def test_new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends(sim, after_s, back_s):
    sim = sim(machines=1)
    sim.boot_s = 0.3
    sim.service.slow_s = 1.0
    specs = [sim.submit(job("batch", 3, gpus=2.0, estimate_s=900.0, team=team)) for team in ("red", "blue") * 2]
    sim.run(1.0 + after_s)
    change(sim, back_s)
    sim.service.slow_s = 0.0
    all_run(sim, specs, 60)
    known = {host for hosts in sim.rented.values() for host in hosts}
    assert {worker.name for spec in specs for worker, _ in sim.on_machines(spec.id)} <= known


# Every team is at its limit, jobs are cancelled whose machines are out of reach, and the leader changes


def out_of_reach(sim, how, names, for_s):
    if how == "cut off":
        sim.cut_zones.add("b")
        sim.time.later(for_s, lambda: sim.cut_zones.discard("b"))
    elif how == "hang":
        for name in names:
            sim.hang(name, min(for_s, 5.0))
    else:
        held = getattr(sim, how)
        held |= names
        sim.time.later(for_s, lambda: held.difference_update(names))


@pytest.mark.parametrize("how", ["cut off", "hang", "mute", "deaf"])
@pytest.mark.parametrize("when", ["before", "after", "never"])
def test_at_their_limits_teams_get_no_more_until_cancelled_tasks_are_proven_gone(sim, how, when):
    """`quota` counts what is on machines; the leader's own count never falls below that."""
    sim = sim(machines=10, nodes=3)
    full = [sim.submit(job("batch", 4, estimate_s=900.0, team=team)) for team in ("red", "blue") * 3]
    all_run(sim, full, 30)
    waiting = [sim.submit(job("batch", 4, estimate_s=900.0, team=team)) for team in ("red", "blue") * 2]
    sim.run(2.0)
    names = {worker.name for spec in full[:4] for worker, _ in sim.on_machines(spec.id)}
    out_of_reach(sim, how, names, 15.0)
    sim.run(0.3)
    if when == "before":
        change(sim)
    for spec in full[:4]:
        sim.cancel(spec)
    sim.run(0.4)
    if when == "after":
        change(sim)
    for _ in range(40):
        sim.run(1.0)
        cluster = sim.nodes[sim.leader()].leader._cluster if sim.leader() in sim.nodes else None
        if cluster is not None and cluster.jobs:
            for team in ("red", "blue"):
                on = [t for w in sim.workers.values() for t in w.on_machine() if sim.specs[t.job].team == team]
                assert cluster.team_usage(team)[1] + 1e-6 >= sum(sim.specs[task.job].gpus for task in on), (team, how)
    assert not any(there(sim, *full[:4]))
    all_run(sim, waiting)


def test_a_limit_that_forgets_cancelled_tasks_is_found(sim, monkeypatch):
    """Planted: what was cancelled counts as gone at once."""
    room = Scheduler._quota_room

    def more(scheduler, one):
        jobs, team = scheduler._c.jobs.values(), one.spec.team
        over = [task for j in jobs if j.status != "open" and j.spec.team == team for task in j.live.values()]
        usage = scheduler._c.usage[team]
        before, usage[1] = usage[1], usage[1] - sum(task.job.spec.gpus for task in over)
        try:
            return room(scheduler, one)
        finally:
            usage[1] = before

    monkeypatch.setattr(Scheduler, "_quota_room", more)
    with pytest.raises(AssertionError, match="quota"):
        test_at_their_limits_teams_get_no_more_until_cancelled_tasks_are_proven_gone(sim, "deaf", "never")


# Jobs are cancelled in the seconds in which one controller's work changes hands


@pytest.mark.parametrize("offset_s", [-0.4, -0.1, 0.0, 0.1, 0.4, 1.0])
def test_jobs_are_cancelled_in_the_second_in_which_the_leadership_changes_hands(sim, offset_s):
    sim = sim(nodes=3)
    specs = long(sim, 6)
    at_s = 2.0
    for number, spec in enumerate(specs[:4]):
        sim.time.later(at_s + offset_s + 0.05 * number, lambda s=spec, n=number: sim.cancel(s, sim.names[n % 3]))
    sim.time.later(at_s, lambda: sim.end(sim.leader(), back_s=0.2))
    sim.run(at_s + 8.0)
    assert all(sim.told.get(spec.id) == "withdrawn" for spec in specs[:4])
    assert not any(there(sim, *specs[:4])) and there(sim, *specs[4:]) == [2, 2]


# Workers that reach no controller, while calls reach them


def test_cancelled_tasks_of_mute_machines_end_by_direct_calls_under_an_old_and_a_new_leader(sim):
    sim = sim()
    specs = long(sim)
    sim.mute |= set(sim.workers)
    sim.run(0.5)
    sim.cancel(specs[0])
    sim.run(1.0)
    assert not any(there(sim, specs[0]))
    sim.run(0.5)
    change(sim)
    sim.run(0.5)
    sim.cancel(specs[1])
    sim.run(1.0)
    assert not any(there(sim, specs[1]))
    sim.mute.clear()
    all_run(sim, specs[2:])


def test_what_was_placed_on_a_machine_that_went_mute_and_never_told_goes_elsewhere(sim):
    """Calls that reached it made it seem alive, so work was placed there that nothing could start."""
    sim = sim(machines=2)
    keeps = sim.submit(job("batch", 1, gpus=0.5, estimate_s=900.0))
    all_run(sim, [keeps], 15)
    mute = sim.on_machines(keeps.id)[0][0].name
    sim.mute.add(mute)
    sim.run(9.0)  # its lease is over, and the leader finds out by calls
    specs = [sim.submit(job("batch", 1, gpus=3.0, estimate_s=900.0)) for _ in range(2)]
    sim.run(14.0)
    assert there(sim, *specs) == [1, 1]
    assert all(worker.name != mute for spec in specs for worker, _ in sim.on_machines(spec.id))


def test_what_an_older_leader_placed_on_a_mute_machine_runs_elsewhere_once_a_call_has_proven_it_gone(sim):
    """Its worker shows our token only after a call under it: its place was held until it could report again."""
    sim = sim(machines=3)
    (spec,) = [sim.submit(job("batch", 1, estimate_s=900.0))]
    all_run(sim, [spec], 15)
    name = sim.on_machines(spec.id)[0][0].name
    sim.mute.add(name)
    sim.run(0.3)
    change(sim, back_s=5.0)
    sim.run(22.0)
    assert [worker.name for worker, _ in sim.on_machines(spec.id)] not in ([], [name])


def test_a_machine_that_stays_mute_is_returned_and_one_that_others_hear_is_not(harness):
    machine = harness.cluster.machines.get("host-1")
    harness.report("host-1", 1)
    machine, clock = harness.cluster.machines["host-1"], harness.clock
    heard = {"us": 0}

    def due():
        ask = reachability.machines_out_of_contact(
            [machine], 6_000_000, 1_000_000, clock.now_us(), lambda m: 4_000_000, lambda m: heard["us"]
        )
        return [why for _, why in ask]

    for _ in range(9):
        clock.pass_s(1.0)
        machine.last_contact_us = clock.now_us()  # calls reach it
        assert not due()
    clock.pass_s(2.0)
    machine.last_contact_us = clock.now_us()
    assert len(due()) == 1 and "calls reach it" in due()[0]
    heard["us"] = clock.now_us()  # by a controller whose links to us are cut or slow
    assert not due()
    heard["us"], machine.last_contact_us = (
        0,
        machine.last_report_us,
    )  # nobody reaches it: that is for silence to judge
    assert not due()


# Cancelled in the very moment in which the leader is refused, and a second later an outage for all


@pytest.mark.parametrize("out_after_s", [0.3, 1.0])
@pytest.mark.parametrize("cut", [False, True])
def test_cancelled_in_the_moment_in_which_the_leader_is_refused_and_then_an_outage_for_all(sim, out_after_s, cut):
    sim = sim()
    specs, old = long(sim), sim.leader()
    by = next(name for name in sim.names if name != old)
    sim.service.refused.add(old)
    if cut:
        sim.cuts |= {frozenset((old, other)) for other in sim.names if other != old}
    for spec in specs[:3]:
        sim.cancel(spec, by)
    sim.run(out_after_s)
    assert len(sim.rules.cancelled_us) == 3
    sim.service.outage(30.0)
    sim.run(19.0)
    assert not any(there(sim, *specs[:3]))
    sim.run(11.0)
    sim.service.refused.clear()
    sim.cuts.clear()
    all_run(sim, specs[3:])


def test_notes_of_cancellations_hold_all_that_can_be_cancelled_in_their_time_and_of_a_history_the_newest():
    notes = Cancellations(40 * SECOND_US, write_rps=90.0)
    for number in range(40 * 90):
        assert notes.learn(f"req-{number}", number + 1, number * SECOND_US // 90)
    assert all(f"req-{number}" in notes for number in range(40 * 90))  # 4,096 were kept, whatever the limits
    history = Cancellations(40 * SECOND_US, write_rps=1.0)
    for number in range(2000):  # in the order of names, which says nothing of when
        history.learn(f"req-{number:06d}", 5000 - number, SECOND_US)
    assert [job for job, _ in history.since(4990)] == [f"req-{number:06d}" for number in range(9, -1, -1)]


def test_cancellations_of_one_transaction_are_told_together():
    """The next answer begins after the last revision told: what shared it was never told."""
    notes = Cancellations(40 * SECOND_US, write_rps=90.0)
    for number in range(TOLD + 3):
        notes.learn(f"req-{number}", min(number + 1, TOLD - 1), SECOND_US)
    told, seen = notes.since(0), set()
    while told:
        seen |= {job for job, _ in told}
        told = notes.since(told[-1][1])
    assert len(seen) == TOLD + 3


def test_direct_calls_for_a_leader_that_cannot_be_told_are_bounded_and_not_repeated_with_each_request(monkeypatch):
    """Sixty jobs cancelled at once had a connection a machine and job; the process's sockets are for its users."""
    clock, calls, under_way, most = FakeClock(), [], [0], [0]

    class Client:
        def __init__(self, address, timeout_s=0.0, keep=0):
            self.address = address

        def call(self, method, path, body=None, timeout_s=None):
            under_way[0] += 1
            most[0] = max(most[0], under_way[0])
            leader_actor.gevent.sleep(0.001)
            under_way[0] -= 1
            calls.append((self.address, path, body))
            return 200, workers.encode(Report("host", "x", "m4", "a", False, 3, 1, 1, None, []))

    monkeypatch.setattr(halts_module, "HttpClient", Client)
    config = make_config(resources=ProcessResources(max_sockets=64))
    harness = LeaderHarness(config)
    jobs = [harness.place(job("batch", 2, cpus=1.0, gpus=0.1, team="red"), "host-1", "host-2") for _ in range(12)]
    part = type("Part", (), {})
    store = part()
    store.listen, store.mirror, store.lead = lambda f: None, {}, lambda leads: None
    election = part()
    election.leader, election.token = lambda: ("n9", 7), None
    leader = Leader(config, Policy(), clock, store, election, part(), harness.cluster.metrics)
    leader._standby = part()
    leader._standby.cluster_state = harness.cluster.cluster_state
    leader.set_reachability(lambda node: False)
    seen = part()
    seen.last = lambda name, now_us: (now_us, f"{name}:1")
    leader.set_contacts(seen)
    for _ in range(5):  # users repeat themselves
        for one in jobs:
            leader.on_cancelled_here(one.spec.id)
    leader_actor.gevent.sleep(0.1)
    told = [body for _, path, body in calls if path == "/do"]
    halts = [c.task for body in told for c in msgspec.json.decode(body, type=workers.DirectCommands).commands]
    assert sorted(halts) == sorted(f"{one.spec.id}/{index}" for one in jobs for index in one.live)
    assert most[0] <= 64 // halts_module.SOCKET_SHARE_DIVISOR
    clock.pass_s(3.0)
    leader.on_cancelled_here(jobs[0].spec.id)
    leader_actor.gevent.sleep(0.1)
    assert len([1 for _, path, _ in calls if path == "/do"]) > len(told)


# More work than room, urgent and not, over slow links


def test_over_slow_links_work_starts_and_after_the_troubles_nothing_waits_beside_room(sim):
    """At half a second each way no answer of the leader ever came in time, and nothing started."""
    sim = sim(machines=6)
    sim.delay_s = 0.7
    away = next(zone for zone in "ab" if zone != sim.zone_of[sim.leader()])  # its workers report to others
    specs = [
        sim.submit(job("batch", 2, team=team, priority=rank, estimate_s=15.0, zone=away))
        for rank in ("standard", "urgent", "best_effort")
        for team in ("red", "blue") * 3
    ]
    sim.run(30.0)
    assert sum(map(bool, there(sim, *specs))) >= 2
    sim.delay_s = 0.001
    sim.run(90.0)
    assert all(sim.waits(spec.id) for spec in specs if poll(sim, spec) == "pending")


# Old news


def copy(machine, serial, session, token, *tasks):
    items = [TaskReport(*task) for task in tasks]
    return Report(machine, "127.0.0.1:9", "m4", "a", False, session, serial, token, None, items)


def test_a_copy_that_is_the_first_thing_heard_of_a_machine_proves_and_places_nothing(harness):
    spec = job("batch", 2)
    harness.place(spec)
    names, old = [f"{spec.id}/{index}" for index in (0, 1)], harness.cluster.token
    harness.report("host-1", 2)
    harness.report("host-1", 3, *((name, 1, "running", None) for name in names))
    harness.commit()
    harness.elect()
    placed, before = harness.cluster.jobs[spec.id], dict(harness.state.items)
    for report in (
        copy("host-1", 2, 1, old),  # from before it ran anything
        copy("host-1", 1, 1, 0, (names[0], 1, "pulling", None)),
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


def test_a_copy_does_not_end_the_silence_that_controllers_told_of(harness):
    """It came as the new leader began, of a machine that had died: it was waited for anew."""
    harness.place(job())
    old = harness.cluster.token
    harness.elect()
    machine = harness.cluster.machines["host-1"]
    machine.seen_us = harness.clock.now_us() - 5 * SECOND_US
    Reports(harness.cluster).answer(copy("host-1", 2, 1, old), harness.clock.now_us())
    assert machine.last_us == machine.seen_us
    harness.report("host-1", 3)  # under our token: it is there
    assert machine.last_us == harness.clock.now_us()


def test_no_work_is_placed_on_a_machine_of_which_only_an_old_report_is_known(harness):
    """It was returned under an earlier leader, and its copied report had it adopted and used."""
    harness.state.elect("n1")
    harness.elect()
    placed = harness.submit(job())
    Reports(harness.cluster).answer(copy("ghost", 9, 1, harness.cluster.token - 1), harness.clock.now_us())
    harness.scheduler.schedule(harness.clock.now_us())
    assert harness.cluster.machines["ghost"].phase == UP and not placed.live
    Reports(harness.cluster).answer(
        copy("ghost", 10, 1, harness.cluster.token), harness.clock.now_us()
    )  # it is there after all
    harness.scheduler.schedule(harness.clock.now_us())
    assert [task.machine.name for task in placed.live.values()] == ["ghost"]


@pytest.mark.parametrize("seed", range(3))
def test_old_reports_reach_every_controller_just_as_each_of_ten_leaders_begins(sim, seed):
    """Ten changes in two minutes, the fifth in an outage; reports are copied, and held back until a leader acted."""
    sim = sim(seed)
    specs = long(sim, 5)
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
    assert not any(there(sim, *specs[:2]))
    all_run(sim, specs[2:])
    assert [poll(sim, spec) for spec in ended] == ["done"] * 3


def test_a_copy_that_proves_is_found(sim, monkeypatch):
    """Planted: what a report does not list is gone, whoever's token it shows."""
    absent = Reports._absent

    def proves(reports, task, report, new_session, now_us):
        newer = msgspec.structs.replace(report, token=reports._c.token)
        task.machine.latest_own_report = max(task.machine.latest_own_report, (report.session, report.serial + 1))
        return absent(reports, task, newer, new_session, now_us)

    monkeypatch.setattr(Reports, "_absent", proves)
    with pytest.raises(AssertionError, match="ran_twice|quota"):
        one = sim()
        one.for_next = 0.9
        for _ in range(8):
            spec = one.submit(job(estimate_s=60.0))
            one.run(4.0)
            hosts = {worker.name for worker, _ in one.on_machines(spec.id)}
            one.deaf |= hosts  # so that nobody stops there what holds no place any more
            one.end(one.leader(), back_s=0.2)
            one.run(8.0)
            one.deaf.clear()


# All controllers are away; hand over and back


@pytest.mark.parametrize("back_s", [[7.0, 9.0, 12.0], [7.0, 7.1, 7.2], [0.1, 8.0, 30.0]])
def test_all_controllers_are_away_for_longer_than_a_lease(sim, back_s):
    sim = sim()
    specs = long(sim)
    sim.cancel(specs[0])
    sim.run(0.3)
    for name, after_s in zip(list(sim.names), back_s, strict=True):
        sim.end(name, back_s=after_s)
    sim.run(14.0)
    assert not any(there(sim, specs[0]))
    all_run(sim, specs[1:])


# A command or its answer is held up for seconds, and the machine goes on


@pytest.mark.parametrize("seed", range(3))
def test_commands_that_arrive_late_or_at_machines_that_hang_and_go_on(sim, seed):
    sim = sim(seed, machines=8)
    specs = long(sim, 6)
    sim.held_calls = 0.6
    for spec in specs[:4]:
        for worker, _ in sim.on_machines(spec.id):
            sim.hang(worker.name, sim.rng.choice([1.0, 3.0, 5.5, 7.0]))
        sim.cancel(spec)
        sim.run(0.5)
    change(sim)
    more = [sim.submit(job("batch", 2, estimate_s=900.0)) for _ in range(2)]
    sim.run(12.0)
    assert not any(there(sim, *specs[:4]))
    sim.held_calls = 0.0
    all_run(sim, [*specs[4:], *more])


# Small jobs in a stream: what an ordinary job costs


def stream(sim, seconds, rate=4, cancelled=0.25):
    """One-task jobs; returns them, each with how long its acceptance and its cancellation or end took."""
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
def test_one_task_jobs_four_a_second_a_quarter_cancelled_within_the_limits(sim, site):
    """What an ordinary job costs the state service, from its acceptance to the removal of its records."""
    sim = sim(machines=10, state=LIMITS[site], nodes=3)
    sim.run(20.0)
    sim.service.counts.clear()
    specs, cancels = stream(sim, 40)
    counts = dict(sim.service.counts)
    sim.run(30.0)
    late = [spec.id for spec in specs if spec.id not in sim.accepted]
    assert not late
    for spec in specs:
        assert sim.told.get(spec.id) or poll(sim, spec) == "done"
    assert counts["writes"] <= 40 * LIMITS[site].write_rps
    per_job = counts["writes"] / len(specs)
    # Accepted, cancelled or done, and a share of the pages that hold its place and end; and the machines'.
    assert per_job <= 3.6, counts


def test_a_gang_of_whole_machines_begins_though_small_work_is_spread_over_all_of_them(sim):
    """Three tasks of one CPU keep it off a machine, and others came as they ended: it waited for ten minutes."""
    sim = sim(machines=8)
    sim.capacity = 9
    gang = job("gang", 4, cpus=14.0, gpus=2.0, one_zone=True, priority="urgent", estimate_s=20.0)
    for second in range(200):
        for team in ("red", "blue"):
            lasts_s = sim.rng.uniform(15.0, 40.0)
            sim.submit(job("gang", 1, cpus=2.0, gpus=0.0, estimate_s=lasts_s, priority="urgent", team=team))
        if second == 30:
            sim.submit(gang)
        if sim.on_machines(gang.id):
            break
        sim.run(1.0)
    sim.run(3.0)
    assert 30 < second < 160
    assert len(sim.on_machines(gang.id)) == 4


def test_no_machine_that_cannot_be_told_to_start_anything_is_held_for_a_gang():
    """On a day of mute machines the gang waited for some of them, held and idle."""
    zones, names = {"b": 3, "a": 2}, []
    for zone, count in zones.items():
        names += [(f"{zone}{number}", zone) for number in range(count)]
    machines = [
        Machine(name, "m4", zone, False, "r", 16.0, 4.0, 64.0, 0, phase=UP, last_report_us=1) for name, zone in names
    ]
    waits = Job(job("gang", 2, cpus=14.0, one_zone=True), 1, 0, 0)
    room = GangReservations()
    for heard, kept in ((lambda m: True, {"a0", "a1"}), (lambda m: m.name not in ("a0", "b1"), {"b0", "b2"})):
        room.update([(waits, 2)], machines, machines, lambda job, zone: NONE, lambda job: 1, 0, heard)
        assert set(room.held) == kept
