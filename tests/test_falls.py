"""Many machines silent at once: what is returned, what is waited for, and what is rebuilt first."""

import msgspec
import pytest

from region import CUT_OFF, DEAD, HANGS, MUTE, UP, Region
from standins import job
from tideusher.config import Team
from tideusher.core.decide import mass_failures as detection
from tideusher.core.decide.gang_reservations import Request
from tideusher.core.decide.mass_failures import FAILED, PARTITIONED, SAMPLE_MACHINES, UNDECIDED, Evidence, judge
from tideusher.core.decide.recovery import MassFailure, read_mass_failure
from tideusher.core.lead.explain import explain_job, mass_failures
from tideusher.core.model import keys


def service(tasks=4, team="red", **fields):
    fields = {"job_class": "web", "priority": "critical", "spread": True, **fields}
    return job("service", tasks, team=team, **fields)


@pytest.fixture
def region():
    made = Region()
    for team in made.cluster.teams.values():
        team.gpus = team.gpus_max = 200.0
    return made


@pytest.mark.parametrize(
    ("evidence", "kind"),
    [
        (Evidence(30, 7, 5, True, True, True), UNDECIDED),  # the sample is not through
        (Evidence(3, 3, 1, False, True, True), FAILED),
        (Evidence(30, 8, 1, False, True, True), FAILED),  # one that is heard is enough
        (Evidence(30, 30, 0, False, True, True), PARTITIONED),
        (Evidence(30, 30, 0, True, True, True), FAILED),  # its controller is heard
        (Evidence(30, 30, 5, True, False, True), UNDECIDED),  # our calls reach nobody at all
        (Evidence(30, 30, 0, True, False, False), PARTITIONED),  # nobody anywhere is heard: it is us
    ],
)
def test_what_silence_means(evidence, kind):
    assert judge(evidence).kind == kind


def single_s(region):
    """How long the death of one machine takes to be known."""
    region.turn(["host-005"], DEAD)
    return region.run(20, lambda: "host-005" in region.gone)


def test_all_but_one_of_a_zone_die_and_are_known_nearly_as_soon_as_one(region):
    alone_s = single_s(region)
    dying = region.of("a")[1:]
    region.turn(dying, DEAD)
    took_s = region.run(30, lambda: len(region.gone) == 1 + len(dying))
    assert took_s <= 1.5 * alone_s
    assert set(region.gone.values()) == {DEAD}
    (mass_failure,) = mass_failures(region.cluster)
    assert (mass_failure["machines"], mass_failure["zone"]) == (len(dying), "a")
    counts = region.cluster.metrics.counts  # one fall, in however many looks its machines were found
    assert (counts["falls", "a"], counts["fall_machines", "a"]) == (1, len(dying))
    assert "others of its zone are heard" in mass_failure["evidence"]


def test_a_whole_zone_dies_and_its_controllers_say_so(region):
    region.turn(region.of("a"), DEAD)
    region.run(4)
    region.cluster.mass_failures.controller_only_zones = {"a"}
    region.run(10, lambda: len(region.gone) == 20)
    assert len(region.gone) == 20 and "hears none of its workers" in mass_failures(region.cluster)[0]["evidence"]


def test_a_whole_zone_dies_with_its_controllers_and_only_the_clouds_list_tells(region):
    region.turn(region.of("a"), DEAD)
    region.run(29)
    assert not region.gone
    region.run(5, lambda: bool(region.gone))
    assert region.gone and region.asked_list  # asked more often than on its round
    region.run(3)
    assert len(region.gone) == 20 and "list" in mass_failures(region.cluster)[0]["evidence"]


@pytest.mark.parametrize("seconds", [5, 12, 30])
def test_a_cut_of_a_whole_zone_returns_nothing_of_it(region, seconds):
    spec = service(8)
    region.start(spec)
    region.turn(region.of("a"), CUT_OFF)
    region.run(seconds)
    # At the end of the cut a controller of the zone may be heard before any worker is; what was called in
    # vain during the cut proves nothing then.
    region.cluster.mass_failures.controller_only_zones = {"a"}
    region.run(0.5)
    region.turn(region.of("a"), UP)
    region.run(1)
    region.cluster.mass_failures.controller_only_zones = set()
    region.run(30)
    assert not [name for name in region.gone if name.startswith("host-")] and not mass_failures(region.cluster)


def test_evidence_counted_after_it_was_void_would_return_a_zone(region, monkeypatch):
    """The planted fault: without the guard the check above fails."""

    class Never(dict):
        def __contains__(self, zone):
            return True  # as if the way had been known all along: nothing is ever void

        def items(self):
            return [("a", 0)]

    region.turn(region.of("a"), CUT_OFF)
    region.run(12)
    region.cluster.mass_failures._reachable_since_us = Never()
    region.cluster.mass_failures.controller_only_zones = {"a"}
    region.run(0.5)
    assert mass_failures(region.cluster)


def test_a_call_made_before_the_way_was_known_says_nothing_though_it_ends_after(region):
    region.turn(region.of("a"), CUT_OFF)
    region.run(6)
    calls, names = region.cluster.mass_failures, region.of("a")
    called_us = region.clock.now_us()
    region.cluster.mass_failures.controller_only_zones = {"a"}
    region.run(0.25)
    region.calls.clear()
    for name in names[:10]:
        calls.unanswered(region.cluster.machines[name], False, called_us - 1, region.clock.now_us())
    assert not region.cluster.review_silent_machines(region.clock.now_us(), set(names)).fallen
    for name in names[:10]:
        calls.unanswered(region.cluster.machines[name], False, region.clock.now_us(), region.clock.now_us())
    assert region.cluster.review_silent_machines(region.clock.now_us(), set(names)).fallen


@pytest.mark.parametrize("seconds", [5, 12, 30])
def test_most_of_a_zone_cut_off_keeps_the_rules_whatever_is_taken_for_dead(region, seconds):
    specs = [service(4) for _ in range(6)]
    region.start(*specs)
    away = region.of("a")[2:]
    region.turn(away, CUT_OFF)
    region.run(seconds)
    if seconds == 5:
        assert not region.gone
    region.turn(away, UP)
    region.run(60)  # the rules are judged in each step
    assert all(region.up_of(spec) == 4 for spec in specs)
    if seconds > 5:  # nothing tells such a cut from a loss of power: the price is their images
        assert mass_failures(region.cluster)[0]["machines"] == len(away)
    late = [name for name, machine in region.cluster.machines.items() if name.startswith("new-")]
    assert len(late) <= len(away)


def test_machines_that_hang_are_waited_for_and_used_as_they_come_back(region):
    specs = [service(8) for _ in range(20)]  # nothing is free but what is kept warm
    region.start(*specs)
    hanging = region.of("a")[:14]
    for hang_s in (9, 18):  # less than the lease; more: then the tasks are lost, and the images are not
        region.turn(hanging, HANGS)
        region.run(hang_s)
        region.turn(hanging, UP)
        region.run(10)
    # The warm room takes the tasks of a few of them at once; for the rest a boot would have taken longer.
    assert len([name for name in region.gone if name.startswith("host-")]) <= 4
    region.run(30)
    assert all(region.up_of(spec) == 8 for spec in specs)


def test_what_hangs_for_longer_than_a_replacement_takes_is_replaced(region):
    spec = service(8)
    region.start(spec)
    region.turn(region.of("a")[:14], HANGS)
    region.run(2.0)
    assert not region.gone
    region.run(40)
    assert "hangs for longer than a replacement takes" in mass_failures(region.cluster)[0]["evidence"]
    assert region.up_of(spec) == 8


def test_critical_work_that_hangs_has_batchs_room_at_once_and_batch_waits(region):
    spec = service(8, spread=False, zone="a")
    region.start(spec)
    region.start(*[job("batch", 76, team=team, estimate_s=900.0) for team in ("red", "blue")])
    region.run(5)
    held = {task.machine.name for task in region.cluster.jobs[spec.id].live.values()}
    others = [name for name in region.of("a") if name not in held][:10]
    region.turn([*held, *others], HANGS)
    region.run(18)
    assert held <= region.gone.keys() and not set(others) & region.gone.keys()
    assert region.up_of(spec) == 8  # a boot takes 20 s
    region.turn(others, UP)
    region.run(10)
    assert not set(others) & region.gone.keys()


def test_a_leader_that_no_call_leaves_returns_nobody(region):
    # A leader that a packet filter cuts off from workers hears those of other gateways and reaches none itself.
    region.cluster.mass_failures.answered = lambda machine, now_us: None
    region.turn(region.of("a")[:15], CUT_OFF)
    region.run(25)
    assert not region.gone


def test_half_of_a_zone_dies_in_the_second_in_which_a_controller_ends(region):
    """The others are silent too until they find the next controller: they answer calls, and are kept."""
    dying, mute = region.of("a")[:10], region.of("a")[10:] + region.of("b")[:8]
    region.turn(dying, DEAD)
    region.turn(mute, MUTE)
    region.run(7)
    region.turn(mute, UP)
    region.run(8)
    assert set(region.gone) == set(dying)


def test_a_second_fall_in_the_middle_of_the_first_ones_recovery(region):
    specs = [service(4) for _ in range(8)]
    region.start(*specs)
    region.turn(region.of("a")[:10], DEAD)
    region.run(20)
    region.turn(region.of("b")[:10], DEAD)
    region.run(90)
    assert [mass_failure["zone"] for mass_failure in mass_failures(region.cluster)] == ["b", "a"]
    assert all(region.up_of(spec) == 4 for spec in specs)
    assert all(mass_failure["whole_after_s"] for mass_failure in mass_failures(region.cluster))


def test_machines_that_die_while_nobody_leads_and_between_probe_and_return(region):
    spec = service(8)
    region.start(spec)
    region.turn(region.of("a")[:12], DEAD)
    region.leads = False
    region.run(8)
    region.leads = True
    region.next_leader()
    region.run(20, lambda: len(region.gone) >= 12)
    assert sum(is_ == DEAD for is_ in region.gone.values()) == 12
    region.cloud_answers = False  # the next die with the cloud's interface out: known, and not confirmed
    region.turn(region.of("b")[:8], DEAD)
    region.run(10)
    before = len(region.gone)
    parts = [value for key, (value, _) in region.state.items.items() if key.startswith(keys.FALL_PREFIX)]
    named = {host for value in parts for host in value.get("hosts", [])}
    assert len(named) == 8
    region.next_leader()  # it finds what is to be returned on record, and uses none of it
    assert {machine.name for machine in region.cluster.to_return} >= named
    region.cloud_answers = True
    region.run(3)
    assert len(region.gone) == before + 8
    region.run(60)
    assert region.up_of(spec) == 8
    assert not [key for key in region.state.items if key.startswith(keys.FALL_PREFIX) and not key.endswith("/0")]


def test_one_thought_dead_that_reports_while_its_return_is_on_the_way_is_not_used(region):
    spec = service(8)
    region.start(spec)
    region.cloud_answers = False
    away = [name for name in region.of("a") if region.cluster.machines[name].tasks][:6]
    away += [name for name in region.of("a") if name not in away][:10]
    region.turn(away, CUT_OFF)
    region.run(10)
    assert mass_failures(region.cluster)[0]["machines"] == len(away)
    region.turn(away, UP)
    region.run(60)  # a return answered 503 for a minute: nothing is freed by time
    held = [region.cluster.machines[name] for name in away]
    assert sum(len(machine.tasks) for machine in held) > 0 and all(m.drain_reason for m in held)
    attempts = {(t.job, t.index): t.attempt for name in away for t in region.workers[name].on_machine()}
    region.cloud_answers = True
    region.run(40)
    assert region.up_of(spec) == 8 and set(away) <= region.gone.keys()
    assert all(region.cluster.jobs[name].live[index].attempt > n for (name, index), n in attempts.items())


def test_a_list_that_is_late_or_older_than_before_changes_nothing(region):
    region.list_lag_s = 60.0
    region.turn(region.of("a"), DEAD)
    region.run(40)
    assert not region.gone  # a zone that is silent as a whole, and the list still calls it running
    region.run(60)
    assert len(region.gone) == 20


def test_without_any_list_of_the_clouds_a_controllers_word_is_needed(region):
    region.lists = False
    region.turn(region.of("a"), DEAD)
    region.run(100)
    assert not region.gone
    region.cluster.mass_failures.controller_only_zones = {"a"}
    region.run(6)
    assert len(region.gone) == 20


def test_a_list_that_is_older_than_the_one_before_takes_nothing_back(region):
    region.turn(region.of("a"), DEAD)
    region.run(34, lambda: bool(region.cluster.to_return or region.gone))
    region.list_lag_s = 60.0  # the next list calls all of them running again
    region.run(3)
    assert len(region.gone) == 20


def test_machines_that_die_while_the_state_service_is_out(region):
    """They are known, and nobody hears of it before it is written."""
    spec = service(8)
    region.start(spec)
    region.writes = False
    dying = region.of("a")[:12]
    region.turn(dying, DEAD)
    region.run(15)
    assert mass_failures(region.cluster) and not region.gone and not region.cluster.to_return
    region.writes = True
    region.run(1)
    assert set(region.gone) == set(dying)
    region.run(40)
    assert region.up_of(spec) == 8


def test_where_capacity_of_a_zone_and_kind_is_gone_others_are_rented(region):
    services = [service(4, spread=False) for _ in range(36)]
    batch = [job("batch", 16, team="blue", spot=True, estimate_s=900.0) for _ in range(2)]
    region.start(*services, *batch)
    region.run(30)
    region.none_left = {("a", False), ("b", True)}
    region.turn(region.of("a")[:18], DEAD)
    region.run(90)
    assert all(region.up_of(spec) == spec.tasks for spec in services)
    new = [worker for name, worker in region.workers.items() if name.startswith("new-") and name in region.is_]
    assert {(worker.zone, worker.spot) for worker in new} & {("b", False)}


def test_gangs_that_lose_one_of_their_members_each_start_again_whole(region):
    gangs = [job("gang", 16, estimate_s=600.0, priority="urgent", team=team) for team in ("red", "blue") * 2]
    region.start(*gangs)
    region.run(5)
    assert [region.up_of(gang) for gang in gangs] == [16] * 4
    hit = {next(iter(region.cluster.jobs[gang.id].live.values())).machine.name for gang in gangs}
    region.turn(hit, DEAD)
    region.run(90)
    assert [region.up_of(gang) for gang in gangs] == [16] * 4


def test_what_is_rebuilt_first(region, caplog):
    """Services that lost all before those that lost some, both before batch; batch makes way at once."""
    region.cluster.teams["red"] = Team("red", gpus=40.0, gpus_max=200.0)
    some, gone = service(12), service(4, spread=False, zone="a")
    region.start(some, gone)
    region.start(*[job("batch", 60, team="blue", estimate_s=500.0, spot=False) for _ in range(3)])
    region.run(10)
    lost_to = {task.machine.name for task in region.cluster.jobs[gone.id].live.values()}
    caplog.set_level("INFO", "cluster")
    region.turn(lost_to | set(region.of("a")[:14]), DEAD)
    region.run(15)
    assert region.up_of(gone) == 4 and region.up_of(some) == 12  # before anything new could boot
    made_way = [text.split(" and job ")[1].split()[0] for text in caplog.messages if "needs the room" in text]
    lost = region.cluster.recovery.mass_failures.popitem()[1].jobs
    assert made_way[:4] == [gone.id] * 4 and set(made_way[4 : 4 + lost[some.id]]) == {some.id}


def test_no_rental_for_tasks_that_are_still_placed_and_no_warm_room_while_lost_work_waits(region):
    specs = [service(8) for _ in range(18)]
    region.start(*specs)
    region.run(30)
    region.rented.clear()
    region.cloud_answers = False
    region.turn(region.of("a"), DEAD)
    region.run(20)
    assert not region.rented  # known or not: without proof nothing waits for a machine
    region.cloud_answers = True
    region.run(25)
    assert region.cluster.recovery.waiting() and region.rented and not region.cluster.fleet.warm


def test_a_plan_that_rents_for_tasks_that_are_still_placed_would_be_seen(region):
    """The planted fault of the check above."""
    region.start(*[service(8, spread=False) for _ in range(18)])
    region.run(30)
    region.rented.clear()
    region.cloud_answers = False
    fleet, jobs = region.cluster.fleet, region.cluster.jobs
    plan = fleet.plan

    def rash(now_us, requests, machines, asked):
        silent = {machine.name for machine in region.cluster.health.suspects(now_us)}
        more = [Request(j, 8) for j in jobs.values() if any(t.machine.name in silent for t in j.live.values())]
        return plan(now_us, [*requests, *more], machines, asked)

    fleet.plan = rash
    region.turn(region.of("a"), DEAD)
    region.run(20)
    assert region.rented


def test_a_fall_of_hundreds_costs_few_calls_at_a_time_and_few_writes():
    region = Region(a=320, b=60)
    dying = region.of("a")[8:]
    before = region.state.tide
    written = []
    txn = region.state.txn
    region.state.txn = lambda guards, writes: (written.append([w.key for w in writes]), txn(guards, writes))[1]
    region.turn(dying, DEAD)
    region.run(25, lambda: len(region.gone) == len(dying))
    assert len(region.gone) == len(dying) and region.most_calls <= detection.MAX_CONCURRENT_CALLS
    parts = [key for some in written for key in some if key.startswith(keys.FALL_PREFIX) and not key.endswith("/0")]
    assert len(set(parts)) <= 12 and region.state.tide > before  # not one for each of 312 rentals


@pytest.mark.parametrize("restart", [False, True])
def test_a_herd_stays_within_the_rate_of_writes_and_services_do_not_wait_for_batch(restart):
    """Of 320 tasks on 80 machines, half are lost at 14 writes a second; all leaders may end on the way."""
    region = Region(a=40, b=40, boot_s=5.0)
    for team in region.cluster.teams.values():
        team.gpus = team.gpus_max = 400.0
    services = [service(2) for _ in range(40)]
    batch = [job("batch", 10, team="blue", estimate_s=900.0) for _ in range(24)]
    region.start(*services)
    region.start(*batch)
    region.run(8)
    region.write_rate, region.written, region.most_calls = 14.0, 0, 0
    region.turn(region.of("a")[1:], DEAD)
    region.run(6)
    if restart:  # the state service is out, and nobody leads until it is back
        region.leads = False
        region.run(5)
        region.leads = True
        region.next_leader()
    began = region.steps
    whole_s = region.run(120, lambda: bool(region.gone) and all(region.up_of(spec) == 2 for spec in services))
    assert region.written <= 14 * (region.steps - began + 24) / 4 + 14
    assert whole_s < (45 if restart else 30)
    region.run(90)
    assert sum(region.up_of(spec) for spec in batch) == 240


def test_of_a_zone_that_is_cut_off_only_a_sample_is_called():
    region = Region(a=100, b=10)
    region.turn(region.of("a"), CUT_OFF)
    region.run(20)
    assert region.most_calls <= SAMPLE_MACHINES + detection.CONTROL_MACHINES


def test_the_fall_is_told_with_the_job_and_outlives_the_leader(region):
    spec = service(8, spread=False, zone="a")
    region.start(spec)
    region.turn(region.of("a")[:-1], DEAD)
    region.run(20, lambda: region.cluster.recovery.waiting() > 0)
    told = explain_job(region.cluster, spec.id, region.clock.now_us())
    name = mass_failures(region.cluster)[0]["fall"]
    assert any(f"Fall {name}" in reason and "took 8 of its tasks" in reason for reason in told["reasons"])
    waits = mass_failures(region.cluster)[0]["still_waiting"][spec.id]
    assert waits.startswith("8 tasks wait for")
    assert any(f"(fall {name})" in stop["reason"] for stop in told["stops"])
    region.run(60)
    region.next_leader()
    (mass_failure,) = mass_failures(region.cluster)
    assert (
        mass_failure["fall"] == name
        and mass_failure["tasks_lost"] == 8
        and mass_failure["jobs"] == mass_failure["jobs_whole"] == 1
    )
    assert (
        0
        < mass_failure["known_after_s"]
        < mass_failure["whole_after_s"]
        == mass_failure["whole_again_after_s"][spec.id]
    )
    assert not mass_failure["still_waiting"]


def test_the_largest_record_of_a_fall_stays_within_the_smallest_value_limit():
    jobs = {f"req-{10**18 + n}": 100_000 for n in range(400)}
    at_us = 1_800_000_000_000_000
    mass_failure = MassFailure("9" * 12 + "-99", "z" * 30, at_us, at_us, "w" * 200, 600, 40_000_000, jobs)
    mass_failure.recovered_at_us = dict.fromkeys(jobs, at_us)
    mass_failure.recovered_jobs, mass_failure.recovery_us = 400, at_us
    assert len(msgspec.json.encode(mass_failure.value())) < 4096
    assert read_mass_failure(mass_failure.name, mass_failure.value()).recovered_at_us.keys() == set(list(jobs)[:40])
