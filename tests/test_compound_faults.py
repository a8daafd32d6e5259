"""Compound faults of the users' page over whole controllers in simulated time, one test or more a bullet
(docs/meetings.md has the table). The rules are judged by the town all the time; what else must hold is asserted here.
"""

import msgspec
import pytest

from standins import Bed, FakeClock, job, make_config
from tideusher.actors import leader as leader_actor
from tideusher.actors.leader import Leader
from tideusher.clock import SECOND_US
from tideusher.config import Policy, Resources, StateSettings
from tideusher.core.decide import hearing
from tideusher.core.decide.withdrawn import TOLD, Withdrawn
from tideusher.core.lead.reports import Reports
from tideusher.core.lead.scheduler import Scheduler
from tideusher.core.picture import keys
from tideusher.core.picture.records import UP
from tideusher.wire import workers
from tideusher.wire.workers import Report, TaskReport
from town import Town


@pytest.fixture
def bed():
    return Bed()


@pytest.fixture
def town(monkeypatch):
    made = []

    def make(seed=0, **settings):
        made.append(Town(monkeypatch, seed, **settings))
        made[0].run(6.0)
        return made[0]

    yield make
    for one in made:
        one.close()


def poll(town, spec, node=None):
    got = []
    town.hours.spawn(lambda: got.append(town.poll(spec.id, node)))
    town.run(6.0)
    return got[0]


def there(town, *specs):
    return [len(town.on_machines(spec.id)) for spec in specs]


def all_run(town, specs, within_s=90):
    for _ in range(within_s):
        if all(len(town.on_machines(spec.id)) == spec.tasks for spec in specs):
            return
        town.run(1.0)
    raise AssertionError(f"after {within_s} s: {there(town, *specs)}")


def long(town, count=4, **fields):
    made = [town.submit(job("batch", 2, estimate_s=900.0, **fields)) for _ in range(count - 1)]
    made.append(town.submit(job("gang", 2, estimate_s=900.0, checkpoint_s=30.0, save_s=3.0, team="blue")))
    all_run(town, made, 20)
    return made


def change(town, back_s=0.2):
    """The leader ends, and another one leads; returns how long that took."""
    old, began = town.leader(), town.service.state.stamp_of(keys.LEADER)
    town.end(old, back_s)
    for tenth in range(200):
        town.run(0.1)
        if town.service.state.stamp_of(keys.LEADER) not in (0, began):
            return (tenth + 1) / 10
    raise AssertionError("nobody leads")


# A zone with workers and a controller is cut off for longer than a lease


@pytest.mark.parametrize("seed", [0, 1])
@pytest.mark.parametrize("with_leader", [False, True])
def test_a_zone_that_is_cut_off_for_longer_than_a_lease_breaks_no_rule_and_comes_back(town, seed, with_leader):
    town = town(seed, nodes=3)
    specs = long(town)
    zone = town.zone_of[town.leader()] if with_leader else next(z for z in "ab" if z != town.zone_of[town.leader()])
    town.cut_zones.add(zone)
    town.run(2.0)
    for spec in specs[:2]:
        town.cancel(spec)
    more = [town.submit(job(estimate_s=900.0)) for _ in range(3)]
    town.run(28.0)  # its controller may answer alone for a while, then leases run out
    assert not any(there(town, *specs[:2]))
    town.cut_zones.clear()
    all_run(town, [*specs[2:], *more])


# Jobs that are bound to one zone, arrays too, lose machines


@pytest.mark.parametrize("seed", range(4))
def test_jobs_bound_to_a_zone_lose_machines_across_a_change_of_leader(town, seed):
    town = town(seed, machines=8)
    bound = [
        job("batch", 4, one_zone=True, estimate_s=900.0),
        job("gang", 3, one_zone=True, estimate_s=900.0, checkpoint_s=10.0, save_s=1.0, team="blue"),
        job("batch", 2, zone="b", estimate_s=900.0),
        job("service", 3, spread=True, estimate_s=0.0, priority="critical", team="blue"),
    ]
    for spec in bound:
        town.submit(spec)
    all_run(town, bound, 25)
    hosts = sorted({worker.name for spec in bound for worker, _ in town.on_machines(spec.id)})
    for name in town.rng.sample(hosts, len(hosts) // 2):
        town.workers[name].dead = True
    town.run(town.rng.random() * 3)
    change(town)
    all_run(town, bound)


# New machines are up within two seconds and get work at once while writes lag, and the leader ends


@pytest.mark.parametrize("back_s", [0.05, 5.0])
@pytest.mark.parametrize("after_s", [0.3, 1.0, 2.0, 3.0, 5.0])
def test_new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends(town, after_s, back_s):
    town = town(machines=1)
    town.boot_s = 0.3
    town.service.slow_s = 1.0
    specs = [town.submit(job("batch", 3, gpus=2.0, estimate_s=900.0, team=team)) for team in ("red", "blue") * 2]
    town.run(1.0 + after_s)
    change(town, back_s)
    town.service.slow_s = 0.0
    all_run(town, specs, 60)
    known = {host for hosts in town.rented.values() for host in hosts}
    assert {worker.name for spec in specs for worker, _ in town.on_machines(spec.id)} <= known


# Every team is at its limit, jobs are cancelled whose machines are out of reach, and the leader changes


def out_of_reach(town, how, names, for_s):
    if how == "cut off":
        town.cut_zones.add("b")
        town.hours.later(for_s, lambda: town.cut_zones.discard("b"))
    elif how == "hang":
        for name in names:
            town.hang(name, min(for_s, 5.0))
    else:
        held = getattr(town, how)
        held |= names
        town.hours.later(for_s, lambda: held.difference_update(names))


@pytest.mark.parametrize("how", ["cut off", "hang", "mute", "deaf"])
@pytest.mark.parametrize("when", ["before", "after", "never"])
def test_at_their_limits_teams_get_no_more_until_cancelled_tasks_are_proven_gone(town, how, when):
    """`quota` counts what is on machines; the leader's own count never falls below that."""
    town = town(machines=10, nodes=3)
    full = [town.submit(job("batch", 4, estimate_s=900.0, team=team)) for team in ("red", "blue") * 3]
    all_run(town, full, 30)
    waiting = [town.submit(job("batch", 4, estimate_s=900.0, team=team)) for team in ("red", "blue") * 2]
    town.run(2.0)
    names = {worker.name for spec in full[:4] for worker, _ in town.on_machines(spec.id)}
    out_of_reach(town, how, names, 15.0)
    town.run(0.3)
    if when == "before":
        change(town)
    for spec in full[:4]:
        town.cancel(spec)
    town.run(0.4)
    if when == "after":
        change(town)
    for _ in range(40):
        town.run(1.0)
        cluster = town.nodes[town.leader()].leader._cluster if town.leader() in town.nodes else None
        if cluster is not None and cluster.jobs:
            for team in ("red", "blue"):
                on = [t for w in town.workers.values() for t in w.on_machine() if town.specs[t.job].team == team]
                assert cluster.use(team)[1] + 1e-6 >= sum(town.specs[task.job].gpus for task in on), (team, how)
    assert not any(there(town, *full[:4]))
    all_run(town, waiting)


def test_a_limit_that_forgets_cancelled_tasks_is_found(town, monkeypatch):
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
        test_at_their_limits_teams_get_no_more_until_cancelled_tasks_are_proven_gone(town, "deaf", "never")


# Jobs are cancelled in the seconds in which one controller's work changes hands


@pytest.mark.parametrize("offset_s", [-0.4, -0.1, 0.0, 0.1, 0.4, 1.0])
def test_jobs_are_cancelled_in_the_second_in_which_the_leadership_changes_hands(town, offset_s):
    town = town(nodes=3)
    specs = long(town, 6)
    at_s = 2.0
    for number, spec in enumerate(specs[:4]):
        town.hours.later(at_s + offset_s + 0.05 * number, lambda s=spec, n=number: town.cancel(s, town.names[n % 3]))
    town.hours.later(at_s, lambda: town.end(town.leader(), back_s=0.2))
    town.run(at_s + 8.0)
    assert all(town.told.get(spec.id) == "withdrawn" for spec in specs[:4])
    assert not any(there(town, *specs[:4])) and there(town, *specs[4:]) == [2, 2]


# Workers that reach no controller, while calls reach them


def test_cancelled_tasks_of_mute_machines_end_by_direct_calls_under_an_old_and_a_new_leader(town):
    town = town()
    specs = long(town)
    town.mute |= set(town.workers)
    town.run(0.5)
    town.cancel(specs[0])
    town.run(1.0)
    assert not any(there(town, specs[0]))
    town.run(0.5)
    change(town)
    town.run(0.5)
    town.cancel(specs[1])
    town.run(1.0)
    assert not any(there(town, specs[1]))
    town.mute.clear()
    all_run(town, specs[2:])


def test_what_was_placed_on_a_machine_that_went_mute_and_never_told_goes_elsewhere(town):
    """Calls that reached it made it seem alive, so work was placed there that nothing could start."""
    town = town(machines=2)
    keeps = town.submit(job("batch", 1, gpus=0.5, estimate_s=900.0))
    all_run(town, [keeps], 15)
    mute = town.on_machines(keeps.id)[0][0].name
    town.mute.add(mute)
    town.run(9.0)  # its lease is over, and the leader finds out by calls
    specs = [town.submit(job("batch", 1, gpus=3.0, estimate_s=900.0)) for _ in range(2)]
    town.run(14.0)
    assert there(town, *specs) == [1, 1]
    assert all(worker.name != mute for spec in specs for worker, _ in town.on_machines(spec.id))


def test_what_an_older_leader_placed_on_a_mute_machine_runs_elsewhere_once_a_call_has_proven_it_gone(town):
    """Its worker shows our token only after a call under it: its place was held until it could report again."""
    town = town(machines=3)
    (spec,) = [town.submit(job("batch", 1, estimate_s=900.0))]
    all_run(town, [spec], 15)
    name = town.on_machines(spec.id)[0][0].name
    town.mute.add(name)
    town.run(0.3)
    change(town, back_s=5.0)
    town.run(22.0)
    assert [worker.name for worker, _ in town.on_machines(spec.id)] not in ([], [name])


def test_a_machine_that_stays_mute_is_returned_and_one_that_others_hear_is_not(bed):
    machine = bed.cluster.machines.get("host-1")
    bed.report("host-1", 1)
    machine, clock = bed.cluster.machines["host-1"], bed.clock
    heard = {"us": 0}

    def due():
        ask = hearing.unheard(
            [machine], 6_000_000, 1_000_000, clock.now_us(), lambda m: 4_000_000, lambda m: heard["us"]
        )
        return [why for _, why in ask]

    for _ in range(9):
        clock.pass_s(1.0)
        machine.reported_us = clock.now_us()  # calls reach it
        assert not due()
    clock.pass_s(2.0)
    machine.reported_us = clock.now_us()
    assert len(due()) == 1 and "calls reach it" in due()[0]
    heard["us"] = clock.now_us()  # by a controller whose links to us are cut or slow
    assert not due()
    heard["us"], machine.reported_us = 0, machine.own_us  # nobody reaches it: that is for silence to judge
    assert not due()


# Cancelled in the very moment in which the leader is refused, and a second later an outage for all


@pytest.mark.parametrize("out_after_s", [0.3, 1.0])
@pytest.mark.parametrize("cut", [False, True])
def test_cancelled_in_the_moment_in_which_the_leader_is_refused_and_then_an_outage_for_all(town, out_after_s, cut):
    town = town()
    specs, old = long(town), town.leader()
    by = next(name for name in town.names if name != old)
    town.service.refused.add(old)
    if cut:
        town.cuts |= {frozenset((old, other)) for other in town.names if other != old}
    for spec in specs[:3]:
        town.cancel(spec, by)
    town.run(out_after_s)
    assert len(town.rules.cancelled_us) == 3
    town.service.outage(30.0)
    town.run(19.0)
    assert not any(there(town, *specs[:3]))
    town.run(11.0)
    town.service.refused.clear()
    town.cuts.clear()
    all_run(town, specs[3:])


def test_notes_of_cancellations_hold_all_that_can_be_cancelled_in_their_time_and_of_a_history_the_newest():
    notes = Withdrawn(40 * SECOND_US, write_rps=90.0)
    for number in range(40 * 90):
        assert notes.learn(f"req-{number}", number + 1, number * SECOND_US // 90)
    assert all(f"req-{number}" in notes for number in range(40 * 90))  # 4,096 were kept, whatever the limits
    history = Withdrawn(40 * SECOND_US, write_rps=1.0)
    for number in range(2000):  # in the order of names, which says nothing of when
        history.learn(f"req-{number:06d}", 5000 - number, SECOND_US)
    assert [job for job, _ in history.since(4990)] == [f"req-{number:06d}" for number in range(9, -1, -1)]


def test_cancellations_of_one_transaction_are_told_together():
    """The next answer begins after the last revision told: what shared it was never told."""
    notes = Withdrawn(40 * SECOND_US, write_rps=90.0)
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

    monkeypatch.setattr(leader_actor, "HttpClient", Client)
    config = make_config(resources=Resources(max_sockets=64))
    bed = Bed(config)
    jobs = [bed.place(job("batch", 2, cpus=1.0, gpus=0.1, team="red"), "host-1", "host-2") for _ in range(12)]
    part = type("Part", (), {})
    store = part()
    store.listen, store.mirror, store.lead = lambda f: None, {}, lambda leads: None
    election = part()
    election.leader, election.token = lambda: ("n9", 7), None
    leader = Leader(config, Policy(), clock, store, election, part(), bed.cluster.metrics)
    leader._standby = part()
    leader._standby.picture = bed.cluster.picture
    leader.hear_readers(lambda node: False)
    seen = part()
    seen.last = lambda name, now_us: (now_us, f"{name}:1")
    leader.hear_sightings(seen)
    for _ in range(5):  # users repeat themselves
        for one in jobs:
            leader.on_cancelled_here(one.spec.id)
    leader_actor.gevent.sleep(0.1)
    told = [body for _, path, body in calls if path == "/do"]
    halts = [c.task for body in told for c in msgspec.json.decode(body, type=workers.DirectCommands).commands]
    assert sorted(halts) == sorted(f"{one.spec.id}/{index}" for one in jobs for index in one.live)
    assert most[0] <= 64 // leader_actor.DIRECT_PART
    clock.pass_s(3.0)
    leader.on_cancelled_here(jobs[0].spec.id)
    leader_actor.gevent.sleep(0.1)
    assert len([1 for _, path, _ in calls if path == "/do"]) > len(told)


# More work than room, urgent and not, over slow links


def test_over_slow_links_work_starts_and_after_the_troubles_nothing_waits_beside_room(town):
    """At half a second each way no answer of the leader ever came in time, and nothing started."""
    town = town(machines=6)
    town.delay_s = 0.7
    away = next(zone for zone in "ab" if zone != town.zone_of[town.leader()])  # its workers report to others
    specs = [
        town.submit(job("batch", 2, team=team, priority=rank, estimate_s=15.0, zone=away))
        for rank in ("standard", "urgent", "best_effort")
        for team in ("red", "blue") * 3
    ]
    town.run(30.0)
    assert sum(map(bool, there(town, *specs))) >= 2
    town.delay_s = 0.001
    town.run(90.0)
    assert all(town.waits(spec.id) for spec in specs if poll(town, spec) == "pending")


# Old news


def copy(machine, serial, session, token, *tasks):
    items = [TaskReport(*task) for task in tasks]
    return Report(machine, "127.0.0.1:9", "m4", "a", False, session, serial, token, None, items)


def test_a_copy_that_is_the_first_thing_heard_of_a_machine_proves_and_places_nothing(bed):
    spec = job("batch", 2)
    bed.place(spec)
    names, old = [f"{spec.id}/{index}" for index in (0, 1)], bed.cluster.token
    bed.report("host-1", 2)
    bed.report("host-1", 3, *((name, 1, "running", None) for name in names))
    bed.commit()
    bed.elect()
    placed, before = bed.cluster.jobs[spec.id], dict(bed.state.items)
    for report in (
        copy("host-1", 2, 1, old),  # from before it ran anything
        copy("host-1", 1, 1, 0, (names[0], 1, "pulling", None)),
    ):
        Reports(bed.cluster).answer(report, bed.clock.now_us())
        bed.commit()
        assert set(placed.live) == {0, 1} and placed.pending == 0
    assert {k: v for k, v in bed.state.items.items() if k.startswith(keys.CHUNK_PREFIX)} == {
        k: v for k, v in before.items() if k.startswith(keys.CHUNK_PREFIX)
    }
    bed.report("host-1", 4, *((name, 1, "running", None) for name in names), token=old)
    bed.report("host-1", 5, *((name, 1, "running", None) for name in names))
    assert set(placed.live) == {0, 1}


def test_a_copy_does_not_end_the_silence_that_controllers_told_of(bed):
    """It came as the new leader began, of a machine that had died: it was waited for anew."""
    bed.place(job())
    old = bed.cluster.token
    bed.elect()
    machine = bed.cluster.machines["host-1"]
    machine.seen_us = bed.clock.now_us() - 5 * SECOND_US
    Reports(bed.cluster).answer(copy("host-1", 2, 1, old), bed.clock.now_us())
    assert machine.last_us == machine.seen_us
    bed.report("host-1", 3)  # under our token: it is there
    assert machine.last_us == bed.clock.now_us()


def test_no_work_is_placed_on_a_machine_of_which_only_an_old_report_is_known(bed):
    """It was returned under an earlier leader, and its copied report had it adopted and used."""
    bed.state.elect("n1")
    bed.elect()
    placed = bed.submit(job())
    Reports(bed.cluster).answer(copy("ghost", 9, 1, bed.cluster.token - 1), bed.clock.now_us())
    bed.scheduler.schedule(bed.clock.now_us())
    assert bed.cluster.machines["ghost"].phase == UP and not placed.live
    Reports(bed.cluster).answer(copy("ghost", 10, 1, bed.cluster.token), bed.clock.now_us())  # it is there after all
    bed.scheduler.schedule(bed.clock.now_us())
    assert [task.machine.name for task in placed.live.values()] == ["ghost"]


@pytest.mark.parametrize("seed", range(3))
def test_old_reports_reach_every_controller_just_as_each_of_ten_leaders_begins(town, seed):
    """Ten changes in two minutes, the fifth in an outage; reports are copied, and held back until a leader acted."""
    town = town(seed)
    specs = long(town, 5)
    town.for_next, town.held_reports = 0.3, 0.1
    ended = [town.submit(job("batch", 2, estimate_s=20.0)) for _ in range(3)]
    for number in range(10):
        if number == 4:
            town.service.outage(8.0)
        if town.leader() in town.nodes:
            town.end(town.leader(), back_s=0.2)
        if number in (2, 6):
            town.cancel(specs[number // 4])
        town.run(12.0)
    town.for_next = town.held_reports = 0.0
    town.run(20.0)
    assert not any(there(town, *specs[:2]))
    all_run(town, specs[2:])
    assert [poll(town, spec) for spec in ended] == ["done"] * 3


def test_a_copy_that_proves_is_found(town, monkeypatch):
    """Planted: what a report does not list is gone, whoever's token it shows."""
    absent = Reports._absent

    def proves(reports, task, report, new_session, now_us):
        newer = msgspec.structs.replace(report, token=reports._c.token)
        task.machine.closed = max(task.machine.closed, (report.session, report.serial + 1))
        return absent(reports, task, newer, new_session, now_us)

    monkeypatch.setattr(Reports, "_absent", proves)
    with pytest.raises(AssertionError, match="ran_twice|quota"):
        one = town()
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
def test_all_controllers_are_away_for_longer_than_a_lease(town, back_s):
    town = town()
    specs = long(town)
    town.cancel(specs[0])
    town.run(0.3)
    for name, after_s in zip(list(town.names), back_s, strict=True):
        town.end(name, back_s=after_s)
    town.run(14.0)
    assert not any(there(town, specs[0]))
    all_run(town, specs[1:])


# A command or its answer is held up for seconds, and the machine goes on


@pytest.mark.parametrize("seed", range(3))
def test_commands_that_arrive_late_or_at_machines_that_hang_and_go_on(town, seed):
    town = town(seed, machines=8)
    specs = long(town, 6)
    town.held_calls = 0.6
    for spec in specs[:4]:
        for worker, _ in town.on_machines(spec.id):
            town.hang(worker.name, town.rng.choice([1.0, 3.0, 5.5, 7.0]))
        town.cancel(spec)
        town.run(0.5)
    change(town)
    more = [town.submit(job("batch", 2, estimate_s=900.0)) for _ in range(2)]
    town.run(12.0)
    assert not any(there(town, *specs[:4]))
    town.held_calls = 0.0
    all_run(town, [*specs[4:], *more])


# Small jobs in a stream: what an ordinary job costs


def stream(town, seconds, rate=4, cancelled=0.25):
    """One-task jobs; returns them, each with how long its acceptance and its cancellation or end took."""
    specs, cancels = [], []
    for _ in range(seconds):
        for number in range(rate):
            spec = job(
                "batch", 1, cpus=1.0, gpus=0.25, estimate_s=5.0, team=("red", "blue")[number % 2], image_gb=0.5
            )
            town.hours.later(number / rate, lambda s=spec: town.submit(s))
            specs.append(spec)
            if town.rng.random() < cancelled:
                cancels.append(spec)
                town.hours.later(1.0 + 4 * town.rng.random(), lambda s=spec: town.cancel(s))
        for spec in specs[-60:]:
            if spec.id in town.accepted and spec.id not in town.told:
                town.hours.spawn(town.poll, spec.id)
        town.run(1.0)
    return specs, cancels


LIMITS = {"kumamoto": StateSettings(90.0, 25.0, 8.0, 12), "sofia": StateSettings(500.0, 90.0, 4.0, 8)}


@pytest.mark.parametrize("site", LIMITS)
def test_one_task_jobs_four_a_second_a_quarter_cancelled_within_the_limits(town, site):
    """What an ordinary job costs the state service, from its acceptance to the removal of its records."""
    town = town(machines=10, state=LIMITS[site], nodes=3)
    town.run(20.0)
    town.service.counts.clear()
    specs, cancels = stream(town, 40)
    counts = dict(town.service.counts)
    town.run(30.0)
    late = [spec.id for spec in specs if spec.id not in town.accepted]
    assert not late
    for spec in specs:
        assert town.told.get(spec.id) or poll(town, spec) == "done"
    assert counts["writes"] <= 40 * LIMITS[site].write_rps
    per_job = counts["writes"] / len(specs)
    assert per_job <= 5.5, counts  # accepted, placed, done with its task, its chunk removed; and the machines'


def test_a_gang_of_whole_machines_begins_though_small_work_is_spread_over_all_of_them(town):
    """Three tasks of one CPU keep it off a machine, and others came as they ended: it waited for ten minutes."""
    town = town(machines=8)
    town.capacity = 9
    gang = job("gang", 4, cpus=14.0, gpus=2.0, one_zone=True, priority="urgent", estimate_s=20.0)
    for second in range(200):
        for team in ("red", "blue"):
            lasts_s = town.rng.uniform(15.0, 40.0)
            town.submit(job("gang", 1, cpus=2.0, gpus=0.0, estimate_s=lasts_s, priority="urgent", team=team))
        if second == 30:
            town.submit(gang)
        if town.on_machines(gang.id):
            break
        town.run(1.0)
    town.run(3.0)
    assert 30 < second < 160
    assert len(town.on_machines(gang.id)) == 4
