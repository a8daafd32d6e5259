"""Mass failures: which silent machines are returned, which are awaited, and what is rebuilt first."""

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
        (Evidence(30, 7, 5, True, True, True), UNDECIDED),  # the sample is incomplete
        (Evidence(3, 3, 1, False, True, True), FAILED),
        (Evidence(30, 8, 1, False, True, True), FAILED),  # one machine in contact is enough
        (Evidence(30, 30, 0, False, True, True), PARTITIONED),
        (Evidence(30, 30, 0, True, True, True), FAILED),  # a controller of the zone is in contact
        (Evidence(30, 30, 5, True, False, True), UNDECIDED),  # our calls reach no machine at all
        (
            Evidence(30, 30, 0, True, False, False),
            PARTITIONED,
        ),  # no machine anywhere is in contact
    ],
)
def test_the_verdict_on_silent_machines(evidence, kind):
    assert judge(evidence).kind == kind


def single_failure_s(region):
    """Returns how long the failure of a single machine takes to be detected."""
    region.set_state(["host-005"], DEAD)
    return region.run(20, lambda: "host-005" in region.gone)


def test_the_loss_of_almost_a_zone_is_detected_nearly_as_soon_as_that_of_one_machine(region):
    single_s = single_failure_s(region)
    dying = region.machines_in("a")[1:]
    region.set_state(dying, DEAD)
    took_s = region.run(30, lambda: len(region.gone) == 1 + len(dying))
    assert took_s <= 1.5 * single_s
    assert set(region.gone.values()) == {DEAD}
    (mass_failure,) = mass_failures(region.cluster)
    assert (mass_failure["machines"], mass_failure["zone"]) == (len(dying), "a")
    counts = region.cluster.metrics.counts  # one mass failure, however many reviews found its machines
    assert (counts["falls", "a"], counts["fall_machines", "a"]) == (1, len(dying))
    assert "others of its zone are heard" in mass_failure["evidence"]


def test_an_entire_zone_dies_and_its_controllers_report_it(region):
    region.set_state(region.machines_in("a"), DEAD)
    region.run(4)
    region.cluster.mass_failures.controller_only_zones = {"a"}
    region.run(10, lambda: len(region.gone) == 20)
    assert len(region.gone) == 20 and "hears none of its workers" in mass_failures(region.cluster)[0]["evidence"]


def test_an_entire_zone_dies_with_its_controllers_and_only_the_clouds_list_shows_it(region):
    region.set_state(region.machines_in("a"), DEAD)
    region.run(29)
    assert not region.gone
    region.run(5, lambda: bool(region.gone))
    assert region.gone and region.asked_list  # requested more often than on the regular schedule
    region.run(3)
    assert len(region.gone) == 20 and "list" in mass_failures(region.cluster)[0]["evidence"]


@pytest.mark.parametrize("seconds", [5, 12, 30])
def test_no_machine_of_a_partitioned_zone_is_returned(region, seconds):
    spec = service(8)
    region.start(spec)
    region.set_state(region.machines_in("a"), CUT_OFF)
    region.run(seconds)
    # At the end of the partition a controller of the zone may be heard before any worker. Calls that failed during
    # the partition prove nothing then.
    region.cluster.mass_failures.controller_only_zones = {"a"}
    region.run(0.5)
    region.set_state(region.machines_in("a"), UP)
    region.run(1)
    region.cluster.mass_failures.controller_only_zones = set()
    region.run(30)
    assert not [name for name in region.gone if name.startswith("host-")] and not mass_failures(region.cluster)


def test_counting_void_evidence_would_return_a_zone(region, monkeypatch):
    """Plants the fault that the test above guards against: without the guard it fails."""

    class Never(dict):
        def __contains__(self, zone):
            return True  # as if the zone had been reachable all along: no call is void

        def items(self):
            return [("a", 0)]

    region.set_state(region.machines_in("a"), CUT_OFF)
    region.run(12)
    region.cluster.mass_failures._reachable_since_us = Never()
    region.cluster.mass_failures.controller_only_zones = {"a"}
    region.run(0.5)
    assert mass_failures(region.cluster)


def test_a_call_made_before_the_zone_was_reachable_is_no_evidence(region):
    region.set_state(region.machines_in("a"), CUT_OFF)
    region.run(6)
    calls, names = region.cluster.mass_failures, region.machines_in("a")
    called_us = region.clock.now_us()
    region.cluster.mass_failures.controller_only_zones = {"a"}
    region.run(0.25)
    region.calls.clear()
    for name in names[:10]:
        calls.unanswered(region.cluster.machines[name], False, called_us - 1, region.clock.now_us())
    assert not region.cluster.review_silent_machines(region.clock.now_us(), set(names)).failed_machines
    for name in names[:10]:
        calls.unanswered(region.cluster.machines[name], False, region.clock.now_us(), region.clock.now_us())
    assert region.cluster.review_silent_machines(region.clock.now_us(), set(names)).failed_machines


@pytest.mark.parametrize("seconds", [5, 12, 30])
def test_a_partition_of_most_of_a_zone_violates_no_invariant(region, seconds):
    specs = [service(4) for _ in range(6)]
    region.start(*specs)
    unreachable = region.machines_in("a")[2:]
    region.set_state(unreachable, CUT_OFF)
    region.run(seconds)
    if seconds == 5:
        assert not region.gone
    region.set_state(unreachable, UP)
    region.run(60)  # the invariants are checked in each step
    assert all(region.running_tasks(spec) == 4 for spec in specs)
    if seconds > 5:  # indistinguishable from a loss of power; the cost is their images
        assert mass_failures(region.cluster)[0]["machines"] == len(unreachable)
    late = [name for name, machine in region.cluster.machines.items() if name.startswith("new-")]
    assert len(late) <= len(unreachable)


def test_hung_machines_are_awaited_and_used_when_they_resume(region):
    specs = [service(8) for _ in range(20)]  # only the warm capacity is free
    region.start(*specs)
    hanging = region.machines_in("a")[:14]
    for hang_s in (9, 18):  # below the lease, then above it: the tasks are lost, the images are not
        region.set_state(hanging, HANGS)
        region.run(hang_s)
        region.set_state(hanging, UP)
        region.run(10)
    # The warm capacity takes the tasks of a few of them at once; for the others a boot would have taken longer.
    assert len([name for name in region.gone if name.startswith("host-")]) <= 4
    region.run(30)
    assert all(region.running_tasks(spec) == 8 for spec in specs)


def test_machines_that_hang_for_longer_than_a_replacement_takes_are_replaced(region):
    spec = service(8)
    region.start(spec)
    region.set_state(region.machines_in("a")[:14], HANGS)
    region.run(2.0)
    assert not region.gone
    region.run(40)
    assert "hangs for longer than a replacement takes" in mass_failures(region.cluster)[0]["evidence"]
    assert region.running_tasks(spec) == 8


def test_critical_work_on_hung_machines_preempts_batch_at_once(region):
    spec = service(8, spread=False, zone="a")
    region.start(spec)
    region.start(*[job("batch", 76, team=team, estimate_s=900.0) for team in ("red", "blue")])
    region.run(5)
    held = {task.machine.name for task in region.cluster.jobs[spec.id].live.values()}
    others = [name for name in region.machines_in("a") if name not in held][:10]
    region.set_state([*held, *others], HANGS)
    region.run(18)
    assert held <= region.gone.keys() and not set(others) & region.gone.keys()
    assert region.running_tasks(spec) == 8  # a boot takes 20 s
    region.set_state(others, UP)
    region.run(10)
    assert not set(others) & region.gone.keys()


def test_a_leader_whose_calls_all_fail_returns_no_machine(region):
    # A leader that a packet filter separates from workers hears of them through other gateways and reaches none.
    region.cluster.mass_failures.answered = lambda machine, now_us: None
    region.set_state(region.machines_in("a")[:15], CUT_OFF)
    region.run(25)
    assert not region.gone


def test_half_of_a_zone_dies_together_with_a_controller(region):
    """The others are silent until they find another controller; they answer calls and are kept."""
    dying, mute = region.machines_in("a")[:10], region.machines_in("a")[10:] + region.machines_in("b")[:8]
    region.set_state(dying, DEAD)
    region.set_state(mute, MUTE)
    region.run(7)
    region.set_state(mute, UP)
    region.run(8)
    assert set(region.gone) == set(dying)


def test_a_second_mass_failure_during_recovery_from_the_first(region):
    specs = [service(4) for _ in range(8)]
    region.start(*specs)
    region.set_state(region.machines_in("a")[:10], DEAD)
    region.run(20)
    region.set_state(region.machines_in("b")[:10], DEAD)
    region.run(90)
    assert [mass_failure["zone"] for mass_failure in mass_failures(region.cluster)] == ["b", "a"]
    assert all(region.running_tasks(spec) == 4 for spec in specs)
    assert all(mass_failure["whole_after_s"] for mass_failure in mass_failures(region.cluster))


def test_machines_that_die_without_a_leader_and_between_probe_and_return(region):
    spec = service(8)
    region.start(spec)
    region.set_state(region.machines_in("a")[:12], DEAD)
    region.leads = False
    region.run(8)
    region.leads = True
    region.next_leader()
    region.run(20, lambda: len(region.gone) >= 12)
    assert sum(last == DEAD for last in region.gone.values()) == 12
    region.cloud_answers = False  # further failures while the cloud's API is down are detected but not confirmed
    region.set_state(region.machines_in("b")[:8], DEAD)
    region.run(10)
    before = len(region.gone)
    parts = [value for key, (value, _) in region.state.items.items() if key.startswith(keys.FALL_PREFIX)]
    named = {host for value in parts for host in value.get("hosts", [])}
    assert len(named) == 8
    region.next_leader()  # it finds the returns on record and uses none of the machines
    assert {machine.name for machine in region.cluster.to_return} >= named
    region.cloud_answers = True
    region.run(3)
    assert len(region.gone) == before + 8
    region.run(60)
    assert region.running_tasks(spec) == 8
    assert not [key for key in region.state.items if key.startswith(keys.FALL_PREFIX) and not key.endswith("/0")]


def test_a_machine_taken_for_dead_that_reports_during_its_return_is_not_used(region):
    spec = service(8)
    region.start(spec)
    region.cloud_answers = False
    unreachable = [name for name in region.machines_in("a") if region.cluster.machines[name].tasks][:6]
    unreachable += [name for name in region.machines_in("a") if name not in unreachable][:10]
    region.set_state(unreachable, CUT_OFF)
    region.run(10)
    assert mass_failures(region.cluster)[0]["machines"] == len(unreachable)
    region.set_state(unreachable, UP)
    region.run(60)  # the return is answered 503 for a minute; time frees nothing
    held = [region.cluster.machines[name] for name in unreachable]
    assert sum(len(machine.tasks) for machine in held) > 0 and all(m.drain_reason for m in held)
    attempts = {(t.job, t.index): t.attempt for name in unreachable for t in region.workers[name].on_machine()}
    region.cloud_answers = True
    region.run(40)
    assert region.running_tasks(spec) == 8 and set(unreachable) <= region.gone.keys()
    assert all(region.cluster.jobs[name].live[index].attempt > n for (name, index), n in attempts.items())


def test_a_late_list_delays_returns_only(region):
    region.list_lag_s = 60.0
    region.set_state(region.machines_in("a"), DEAD)
    region.run(40)
    assert not region.gone  # the entire zone is silent, and the list still shows it running
    region.run(60)
    assert len(region.gone) == 20


def test_without_the_clouds_list_a_controllers_report_is_needed(region):
    region.lists = False
    region.set_state(region.machines_in("a"), DEAD)
    region.run(100)
    assert not region.gone
    region.cluster.mass_failures.controller_only_zones = {"a"}
    region.run(6)
    assert len(region.gone) == 20


def test_an_older_list_undoes_no_return(region):
    region.set_state(region.machines_in("a"), DEAD)
    region.run(34, lambda: bool(region.cluster.to_return or region.gone))
    region.list_lag_s = 60.0  # the next list shows all of them running again
    region.run(3)
    assert len(region.gone) == 20


def test_machines_that_die_while_the_state_service_is_out(region):
    """The failures are detected, but no return is requested before the record is written."""
    spec = service(8)
    region.start(spec)
    region.writes = False
    dying = region.machines_in("a")[:12]
    region.set_state(dying, DEAD)
    region.run(15)
    assert mass_failures(region.cluster) and not region.gone and not region.cluster.to_return
    region.writes = True
    region.run(1)
    assert set(region.gone) == set(dying)
    region.run(40)
    assert region.running_tasks(spec) == 8


def test_other_zones_and_kinds_are_rented_where_capacity_is_exhausted(region):
    services = [service(4, spread=False) for _ in range(36)]
    batch = [job("batch", 16, team="blue", spot=True, estimate_s=900.0) for _ in range(2)]
    region.start(*services, *batch)
    region.run(30)
    region.none_left = {("a", False), ("b", True)}
    region.set_state(region.machines_in("a")[:18], DEAD)
    region.run(90)
    assert all(region.running_tasks(spec) == spec.tasks for spec in services)
    new = [worker for name, worker in region.workers.items() if name.startswith("new-") and name in region.states]
    assert {(worker.zone, worker.spot) for worker in new} & {("b", False)}


def test_gangs_that_each_lose_a_task_restart_entirely(region):
    gangs = [job("gang", 16, estimate_s=600.0, priority="urgent", team=team) for team in ("red", "blue") * 2]
    region.start(*gangs)
    region.run(5)
    assert [region.running_tasks(gang) for gang in gangs] == [16] * 4
    hit = {next(iter(region.cluster.jobs[gang.id].live.values())).machine.name for gang in gangs}
    region.set_state(hit, DEAD)
    region.run(90)
    assert [region.running_tasks(gang) for gang in gangs] == [16] * 4


def test_the_order_in_which_lost_work_is_rebuilt(region, caplog):
    """Services that lost all tasks come first, then those that lost some, then batch, which is preempted at once."""
    region.cluster.teams["red"] = Team("red", gpus=40.0, gpus_max=200.0)
    partly_lost, entirely_lost = service(12), service(4, spread=False, zone="a")
    region.start(partly_lost, entirely_lost)
    region.start(*[job("batch", 60, team="blue", estimate_s=500.0, spot=False) for _ in range(3)])
    region.run(10)
    lost_to = {task.machine.name for task in region.cluster.jobs[entirely_lost.id].live.values()}
    caplog.set_level("INFO", "cluster")
    region.set_state(lost_to | set(region.machines_in("a")[:14]), DEAD)
    region.run(15)
    # Before any new machine could boot.
    assert region.running_tasks(entirely_lost) == 4 and region.running_tasks(partly_lost) == 12
    beneficiaries = [text.split(" and job ")[1].split()[0] for text in caplog.messages if "needs the room" in text]
    lost = region.cluster.recovery.mass_failures.popitem()[1].jobs
    assert beneficiaries[:4] == [entirely_lost.id] * 4 and set(beneficiaries[4 : 4 + lost[partly_lost.id]]) == {
        partly_lost.id
    }


def test_no_rental_for_tasks_still_placed_and_no_warm_capacity_while_lost_work_waits(region):
    specs = [service(8) for _ in range(18)]
    region.start(*specs)
    region.run(30)
    region.rented.clear()
    region.cloud_answers = False
    region.set_state(region.machines_in("a"), DEAD)
    region.run(20)
    assert not region.rented  # detected or not: without proof no task waits for a machine
    region.cloud_answers = True
    region.run(25)
    assert region.cluster.recovery.waiting() and region.rented and not region.cluster.fleet.warm


def test_renting_for_tasks_still_placed_would_be_detected(region):
    """Plants the fault that the test above guards against."""
    region.start(*[service(8, spread=False) for _ in range(18)])
    region.run(30)
    region.rented.clear()
    region.cloud_answers = False
    fleet, jobs = region.cluster.fleet, region.cluster.jobs
    plan = fleet.plan

    def plan_too_early(now_us, requests, machines, asked):
        silent = {machine.name for machine in region.cluster.health.suspects(now_us)}
        early_requests = [
            Request(j, 8) for j in jobs.values() if any(t.machine.name in silent for t in j.live.values())
        ]
        return plan(now_us, [*requests, *early_requests], machines, asked)

    fleet.plan = plan_too_early
    region.set_state(region.machines_in("a"), DEAD)
    region.run(20)
    assert region.rented


def test_a_mass_failure_of_hundreds_costs_few_concurrent_calls_and_few_writes():
    region = Region(a=320, b=60)
    dying = region.machines_in("a")[8:]
    before = region.state.tide
    written = []
    txn = region.state.txn
    region.state.txn = lambda guards, writes: (written.append([w.key for w in writes]), txn(guards, writes))[1]
    region.set_state(dying, DEAD)
    region.run(25, lambda: len(region.gone) == len(dying))
    assert len(region.gone) == len(dying) and region.most_calls <= detection.MAX_CONCURRENT_CALLS
    parts = [
        key
        for written_keys in written
        for key in written_keys
        if key.startswith(keys.FALL_PREFIX) and not key.endswith("/0")
    ]
    assert len(set(parts)) <= 12 and region.state.tide > before  # not one for each of 312 rentals


@pytest.mark.parametrize("restart", [False, True])
def test_recovery_stays_within_the_write_rate_and_services_do_not_wait_for_batch(restart):
    """Half of 320 tasks on 80 machines are lost at 14 writes a second, with and without a loss of all leaders."""
    region = Region(a=40, b=40, boot_s=5.0)
    for team in region.cluster.teams.values():
        team.gpus = team.gpus_max = 400.0
    services = [service(2) for _ in range(40)]
    batch = [job("batch", 10, team="blue", estimate_s=900.0) for _ in range(24)]
    region.start(*services)
    region.start(*batch)
    region.run(8)
    region.write_rate, region.written, region.most_calls = 14.0, 0, 0
    region.set_state(region.machines_in("a")[1:], DEAD)
    region.run(6)
    if restart:  # the state service is down, and there is no leader until it is back
        region.leads = False
        region.run(5)
        region.leads = True
        region.next_leader()
    began = region.steps
    whole_s = region.run(120, lambda: bool(region.gone) and all(region.running_tasks(spec) == 2 for spec in services))
    assert region.written <= 14 * (region.steps - began + 24) / 4 + 14
    assert whole_s < (45 if restart else 30)
    region.run(90)
    assert sum(region.running_tasks(spec) for spec in batch) == 240


def test_only_a_sample_of_a_partitioned_zone_is_called():
    region = Region(a=100, b=10)
    region.set_state(region.machines_in("a"), CUT_OFF)
    region.run(20)
    assert region.most_calls <= SAMPLE_MACHINES + detection.CONTROL_MACHINES


def test_explain_names_the_mass_failure_also_after_a_change_of_leader(region):
    spec = service(8, spread=False, zone="a")
    region.start(spec)
    region.set_state(region.machines_in("a")[:-1], DEAD)
    region.run(20, lambda: region.cluster.recovery.waiting() > 0)
    explanation = explain_job(region.cluster, spec.id, region.clock.now_us())
    name = mass_failures(region.cluster)[0]["fall"]
    assert any(f"Fall {name}" in reason and "took 8 of its tasks" in reason for reason in explanation["reasons"])
    waits = mass_failures(region.cluster)[0]["still_waiting"][spec.id]
    assert waits.startswith("8 tasks wait for")
    assert any(f"(fall {name})" in stop["reason"] for stop in explanation["stops"])
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


def test_the_largest_mass_failure_record_fits_the_smallest_value_limit():
    jobs = {f"req-{10**18 + n}": 100_000 for n in range(400)}
    at_us = 1_800_000_000_000_000
    mass_failure = MassFailure("9" * 12 + "-99", "z" * 30, at_us, at_us, "w" * 200, 600, 40_000_000, jobs)
    mass_failure.recovered_at_us = dict.fromkeys(jobs, at_us)
    mass_failure.recovered_jobs, mass_failure.recovery_us = 400, at_us
    assert len(msgspec.json.encode(mass_failure.value())) < 4096
    assert read_mass_failure(mass_failure.name, mass_failure.value()).recovered_at_us.keys() == set(list(jobs)[:40])
