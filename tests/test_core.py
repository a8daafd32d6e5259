"""The scheduling rules: charges and ratios, order, placement, preemption, gang reservations and rentals."""

import pytest

from standins import TYPE, job, make_config
from tideusher.clock import SECOND_US
from tideusher.config import Policy, Team
from tideusher.core.decide.fleet import Fleet
from tideusher.core.decide.gang_reservations import BEST, NONE, OTHER, GangReservations, Request
from tideusher.core.decide.order import order_jobs
from tideusher.core.decide.placement import FreeCapacity, part_of
from tideusher.core.decide.preempt import Offers, PreemptibleTasks, TeamStanding, choose_victims, protected_until_us
from tideusher.core.model.ledger import NO_GUARANTEE, Ledger
from tideusher.core.model.records import SEEN, UP, Job, Machine, Task

POLICY = Policy()


def machine(name="host-1", zone="a", spot=False):
    m = Machine(name, TYPE.name, zone, spot, "r", TYPE.cpus, TYPE.gpus, TYPE.ram_gb, 0)
    m.phase = UP
    return m


def running(spec, on, at_us=0, index=0):
    task = Task(Job(spec, 1, 0, 0), index, 1, on, SEEN, at_us, sent=(1, 1), state="running", running_us=at_us)
    task.job.take(task)
    on.add(task)
    return task


def min_run(j):
    return POLICY.min_run_us(j.spec.shape, j.spec.estimate_s, j.spec.min_run_s)


# Ledger


def test_the_charge_is_the_largest_share_and_the_ratio_is_over_the_guarantee():
    ledger = Ledger([Team("red", gpus=8.0), Team("poor")], Policy(ledger__window_s=100.0), 0)
    fleet = [machine(f"host-{i}") for i in range(4)]
    ledger.set_fleet(fleet)
    task = running(job("service", cpus=8.0, gpus=1.0), fleet[0])  # half of the CPUs, a quarter of the GPUs
    ledger.charge_usage([(task, 10**9)], 10 * SECOND_US)
    assert ledger.charged("red") == pytest.approx(5.0)
    # 8 of 16 GPUs on 4 machines: 2 machines for 100 s are owed.
    assert ledger.ratio("red") == pytest.approx(5.0 / 200.0)
    assert ledger.ratio("poor") == NO_GUARANTEE


def test_charges_leave_the_window_and_survive_a_change_of_leader():
    ledger = Ledger([Team("red", gpus=8.0)], Policy(ledger__window_s=60.0), 0)
    ledger.charge("red", 30.0, SECOND_US)
    next_leader = Ledger([Team("red", gpus=8.0)], Policy(ledger__window_s=60.0), 5 * SECOND_US)
    next_leader.restore(ledger.to_value(5 * SECOND_US), 5 * SECOND_US, 5 * SECOND_US)
    assert next_leader.charged("red") == 30.0
    next_leader.charge_usage([], 70 * SECOND_US)
    assert next_leader.charged("red") == pytest.approx(0.0)


def test_a_burst_of_starts_is_charged_at_once_not_as_run_time_accrues():
    ledger = Ledger([Team("red", gpus=8.0)], POLICY, 0)
    m = machine()
    ledger.set_fleet([m])
    before = ledger.ratio("red")
    for index in range(4):
        task = running(job("gang", estimate_s=60.0), m, index=index)
        ledger.charge_start(task, min_run(task.job), SECOND_US)
    assert ledger.ratio("red") > before
    charged = ledger.charged("red")
    ledger.charge_usage(
        [(task, min_run(task.job))], 30 * SECOND_US
    )  # within the minimum runtime, which is already charged
    assert ledger.charged("red") == charged


def test_work_without_minimum_runtime_is_free():
    ledger = Ledger([Team("red", gpus=8.0)], POLICY, 0)
    task = running(job("batch"), machine())
    assert min_run(task.job) == 0
    ledger.charge_start(task, 0, SECOND_US)
    ledger.charge_usage([(task, 0)], 100 * SECOND_US)
    assert ledger.charged("red") == 0.0


# Order


def test_the_lowest_ratio_goes_first_and_rank_decides_within_the_margin():
    jobs = [
        Job(job("batch", team="spender", priority="critical"), 1, 0, 0),
        Job(job("batch", team="saver", priority="standard"), 1, 1, 0),
        Job(job("batch", team="near", priority="urgent"), 1, 2, 0),
        Job(job("batch", team="none", priority="critical"), 1, 3, 0),
    ]
    ratios = {"spender": 0.5, "saver": 0.02, "near": 0.05, "none": NO_GUARANTEE}
    order = order_jobs(jobs, ratios.__getitem__, lambda j: False, 0.1, lambda j: 0)
    assert [j.spec.team for j in order] == ["near", "saver", "spender", "none"]
    order = order_jobs(jobs, ratios.__getitem__, lambda j: j.spec.team == "spender", 0.1, lambda j: 0)
    assert order[0].spec.team == "spender"  # within its guarantee it goes first


# Placement


def test_jobs_go_to_the_partition_with_most_capacity_and_span_several_only_if_needed():
    names = [f"host-{i}" for i in range(40)]
    big = [machine(name) for name in names if part_of(name, 2) == 1][:5]
    small = [machine(name) for name in names if part_of(name, 2) == 0][:3]
    machines = [*small, *big]
    pool = FreeCapacity(machines, 2)
    gang = Job(job("gang", 2, gpus=4.0), 1, 0, 0)
    assert {m.name for m in pool.place(gang, 2, True, lambda m: None, None)} <= {m.name for m in big}
    wide = Job(job("gang", 8, gpus=4.0), 1, 0, 0)
    assert len(pool.place(wide, 8, True, lambda m: None, None)) == 8


def test_zone_kind_and_spread_rules_consider_the_jobs_other_tasks():
    machines = [machine("host-1", "a"), machine("host-2", "a", spot=True), machine("host-3", "b")]
    pool = FreeCapacity(machines, 1)
    spread = Job(job("service", 4, spread=True), 1, 0, 0)
    chosen = pool.place(spread, 4, False, lambda m: None, 2)
    assert sorted(m.zone for m in chosen) == ["a", "a", "b", "b"] and not any(m.spot for m in chosen)
    one = Job(job("gang", 5, one_zone=True, spot=True), 1, 0, 0)
    assert {m.zone for m in pool.place(one, 5, True, lambda m: None, None)} == {"a"}
    stuck = Job(job("gang", 2, one_zone=True, spot=True), 1, 0, 0)
    old = Task(stuck, 0, 1, machines[2], SEEN, 0)
    stuck.take(old)
    assert {m.zone for m in pool.place(stuck, 1, False, lambda m: None, None)} == {"b"}


def test_a_machine_fetches_one_image_at_a_time():
    # Two concurrent fetches on one machine doubled the start time of both.
    busy, free = machine("host-1"), machine("host-2")
    task = running(job("service", image="other"), busy)
    task.running_us, task.state = None, "pulling"
    chosen = FreeCapacity([busy, free], 1).place(Job(job("service"), 1, 0, 0), 1, False, lambda m: None, None)
    assert [m.name for m in chosen] == ["host-2"]
    assert FreeCapacity([busy], 1).place(Job(job("service"), 1, 0, 0), 1, False, lambda m: None, None) == []


def test_the_image_cache_of_a_machine_evicts_the_least_recently_used():
    m = machine()
    task = running(job("service", image="img-1", image_gb=20.0), m)
    for image in ("img-1", "img-2", "img-3"):
        m.used_image(image, 20.0, 50.0)
    assert list(m.images) == ["img-1", "img-3"]  # the first is in use, so the second was evicted
    m.remove(task)
    m.used_image("img-3", 20.0, 50.0)
    m.used_image("img-4", 20.0, 50.0)
    assert list(m.images) == ["img-3", "img-4"]


def test_slow_machines_are_used_last():
    slow, fair = machine("host-1"), machine("host-2")
    slow.images["img-1"] = fair.images["img-1"] = 2.0
    array = Job(job("batch", 12), 1, 0, 0)
    for _ in range(4):
        fair.completed(array, 60 * SECOND_US)
        slow.completed(array, 120 * SECOND_US)
    assert slow.slow and not fair.slow
    pool = FreeCapacity([slow, fair], 1)
    assert [m.name for m in pool.place(array, 5, False, lambda m: None, None)] == ["host-2"] * 4 + ["host-1"]
    for _ in range(6):
        slow.completed(array, 60 * SECOND_US)
    assert not slow.slow


# Preemption


def allowed(request, victim, requesting=(0.0, True), holder=(0.0, True), now_us=10**12):
    def team_state(team):
        return TeamStanding(*requesting) if team == request.spec.team else TeamStanding(*holder)

    preemptible = PreemptibleTasks([victim.job], team_state, min_run, POLICY, now_us)
    return victim in preemptible.of(request, team_state(request.spec.team))


def test_preemption_needs_the_designs_rule_and_the_protocols_bounds():
    service = Job(job("service", team="blue", priority="critical"), 1, 0, 0)
    batch = running(job("batch", team="red"), machine())
    assert allowed(service, batch)  # no minimum runtime, higher rank
    same = Job(job("gang", team="blue", priority="standard"), 1, 0, 0)
    assert not allowed(same, batch)  # same rank, and red is within its guarantee
    assert allowed(same, batch, holder=(0.0, False))  # red exceeds its guarantee, blue claims its own
    assert not allowed(Job(job("batch", team="blue", priority="critical"), 1, 0, 0), batch)  # not funded
    gang = running(job("gang", team="red", estimate_s=60.0), machine())
    assert not allowed(service, gang, now_us=30 * SECOND_US)  # protected
    assert not allowed(service, gang, requesting=(0.3, True), holder=(0.35, True))  # not clearly lower
    assert allowed(service, gang, requesting=(0.2, True), holder=(0.35, True))


def test_protection_windows_begun_in_one_burst_do_not_end_together():
    gangs = [running(job("gang", estimate_s=100.0, gpus=0.1, cpus=0.1), machine(), 0) for _ in range(50)]
    ends = sorted(protected_until_us(t, min_run(t.job), POLICY.preempt__stagger) for t in gangs)
    assert ends[0] >= 100 * SECOND_US and ends[-1] <= 125 * SECOND_US
    assert len({end // SECOND_US for end in ends}) > 12


def test_the_fewest_tasks_stop_in_one_zone_and_a_gang_stops_entirely():
    a, b = machine("host-1", "a"), machine("host-2", "b")
    for index in range(4):
        running(job("batch", gpus=1.0), a, index=index)
    gang = job("gang", 2, gpus=2.0, cpus=1.0)
    first = running(gang, b)
    second = Task(first.job, 1, 1, b, SEEN, 0, sent=(1, 1), running_us=0)
    first.job.take(second)
    b.add(second)
    request = Job(job("gang", 1, gpus=4.0, one_zone=True, priority="critical"), 1, 0, 0)
    everything = {*a.tasks.values(), *b.tasks.values()}
    machines, victims = choose_victims(request, 1, [a, b], {}, everything, Offers(lambda t: 0))
    assert machines == [b] and set(victims) == {first, second}
    # Capacity that earlier stops free for the request causes no further stops.
    assert choose_victims(request, 1, [a, b], {"host-2": [16.0, 4.0, 64.0]}, everything, Offers(lambda t: 0))[1] == []


# Gang reservations


def test_free_machines_are_held_for_a_gang_until_the_rest_is_available():
    free = [machine(f"host-{i}", "a") for i in range(3)] + [machine("host-8", "b")]
    busy = machine("host-4", "a")
    running(job("batch", gpus=4.0), busy)
    gang = Job(job("gang", 4, gpus=4.0, one_zone=True), 1, 0, 0)
    second = Job(job("gang", 2, gpus=4.0, one_zone=True), 1, 0, 0)
    pool = GangReservations()
    requests = pool.update([(gang, 4), (second, 2)], [*free, busy], [*free, busy], lambda j, zone: NONE)
    assert {name: holder for name, holder in pool.held.items()} == {f"host-{i}": gang for i in range(3)}
    assert [(r.job, r.count, r.zone) for r in requests] == [(gang, 1, "a"), (second, 2, "a")]
    place = {second.spec.id: 2, gang.spec.id: 1, "req-000000": 0}
    first = Job(job("service", id="req-000000"), 1, 0, 0)
    assert pool.may_use(gang, free[0], place) and not pool.may_use(second, free[0], place)
    assert pool.may_use(first, free[0], place)  # a job ahead in the queue may use it
    # A zone where only the more expensive kind can be rented is not chosen for part of the capacity.
    cheap = pool.update([(gang, 4)], free, free, lambda j, zone: BEST if zone == "b" else OTHER)
    assert cheap == [Request(gang, 3, "b")]
    # Without capacity anywhere the rental plan decides.
    assert pool.update([(gang, 4)], [], [], lambda j, zone: BEST) == [Request(gang, 4)]
    # A zone that can never hold the gang is not chosen for its current capacity.
    wide = Job(job("gang", 5, gpus=4.0, one_zone=True), 1, 0, 0)
    assert (
        pool.update([(wide, 5)], [*free, busy], [*free, busy], lambda j, zone: BEST if zone == "b" else NONE)[0].zone
        == "b"
    )


# Fleet


def test_refused_kinds_back_off_for_longer_each_time():
    fleet = Fleet(POLICY, make_config().settings.objectives)
    kind, pauses, now = ("m4", "a", True), [], 0
    for _ in range(3):
        fleet.refused(kind, now)
        start = now
        while not fleet.available(kind, now):
            now += SECOND_US
        pauses.append(now - start)
    assert pauses == sorted(pauses) and pauses[0] < pauses[-1]
    fleet.granted(kind)
    assert fleet.available(kind, now)


def test_rents_spot_where_allowed_ordinary_elsewhere_and_nothing_for_booting_capacity():
    fleet = Fleet(POLICY, [])
    fleet.types = {TYPE.name: TYPE}
    batch, service = Job(job("batch", 4, spot=True), 1, 0, 0), Job(job("service", 2, spread=True), 1, 0, 0)
    rentals = fleet.plan(0, [Request(batch, 4), Request(service, 2)], [], [])
    assert {(w.spot, w.count) for w in rentals} == {(True, 1), (False, 1)} and sum(w.count for w in rentals) == 3
    booting = machine()
    booting.phase = "booting"
    assert fleet.plan(0, [Request(batch, 4)], [booting], []) == []
