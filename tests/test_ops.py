"""Faults met in operation: huge arrays without a guarantee, jobs that fail everywhere, late boots, paused nodes."""

import msgspec

from region import Region
from standins import LeaderHarness, job
from tideusher.clock import SECOND_US
from tideusher.core.decide import task_failures
from tideusher.core.decide.boots import Boots
from tideusher.core.decide.fleet import MAX_PLANNED, SPOT_ONLY_BOOTS, Fleet
from tideusher.core.decide.gang_reservations import Request
from tideusher.core.decide.order import REMAINING_TASK_US, urgency_us
from tideusher.core.lead import explain
from tideusher.core.model import keys
from tideusher.core.model.contacts import LocalContacts
from tideusher.core.model.records import RETURNING, Job, Machine
from tideusher.core.model.rentals import Rental
from tideusher.core.model.write_queue import Entry, WriteQueue
from tideusher.metrics import MAX_LABELS
from tideusher.playground.standins import TYPE


def entry(key, owner=""):
    return Entry(key, lambda: {"v": 1}, 0, owner=owner)


def test_the_records_of_a_huge_array_alternate_with_those_of_other_jobs():
    """391 records of one array were written before a gang could start: 35 s at eleven writes a second."""
    queue = WriteQueue("lead", 7, 4)
    for number in range(40):
        queue.enqueue(entry(f"t/r/huge/{number}", "huge"))
    for name in ("gang", "web"):
        queue.enqueue(entry(f"t/r/{name}/0", name))
    queue.enqueue(entry("t/m/7-1"))
    first = [one.key for one in queue.next_batch(4).entries]
    assert first == ["t/m/7-1", "t/r/huge/0", "t/r/gang/0", "t/r/web/0"]
    queue.batch_committed(9)
    assert [one.key for one in queue.next_batch(4).entries] == [f"t/r/huge/{number}" for number in range(1, 5)]


def test_a_machines_record_is_written_before_a_place_on_it():
    """A queued job record may gain a place on a machine rented later; the machine's record is written first."""
    queue = WriteQueue("lead", 7, 1)
    place, machine = entry("t/r/old/0", "old"), entry("t/m/7-9")
    queue.enqueue(place)
    queue.enqueue(machine)  # the assignment enqueues both, the machine's record first
    queue.enqueue(place)
    assert queue.next_batch(1).entries == [machine]


def test_no_machine_is_rented_for_tasks_that_end_before_it_is_up():
    """For 25,000 tasks of 4 s every available machine was rented, and came up after the array was done."""
    region = Region(a=20, b=0, boot_s=25.0)
    small = job(tasks=6000, cpus=0.25, gpus=0.0, ram_gb=0.9, estimate_s=4.0, team="poor", spot=True)
    region.cluster.rents_machines = True
    region.submit(small)
    for _ in range(3):
        region.scheduler.schedule(region.clock.now_us())
    placed = len(region.cluster.jobs[small.id].live)
    assert 1000 < placed < 6000 and not region.cluster.renting.asked()
    long = job(tasks=60, cpus=8.0, gpus=2.0, ram_gb=30.0, estimate_s=70.0, team="poor", spot=True)
    region.submit(long)
    region.scheduler.schedule(region.clock.now_us())
    assert region.cluster.renting.asked()


def failing(harness, spec, host, serial, session=1):
    """Report that the job's task 0 failed on the host."""
    task = harness.cluster.jobs[spec.id].live[0]
    harness.report(host, serial, session=session)
    harness.report(host, serial + 1, (task.name, task.attempt, "exited", "error"), session=session)
    harness.commit()


def test_a_job_that_fails_everywhere_costs_no_machine_and_is_retried():
    """No healthy machine is returned; pauses grow and are bounded; the job stays open; explain tells the cause."""
    harness = LeaderHarness()
    hosts = [f"host-{number}" for number in range(6)]
    serials = dict.fromkeys(hosts, 1)
    for host in hosts:
        harness.report(host, 1)
    bad, worse = (harness.submit(job("batch", 5, id=name, team="poor")) for name in ("req-800001", "req-800002"))
    pauses = []
    for _ in range(40):
        harness.clock.pass_s(1.0)
        for host in hosts:
            serials[host] += 1
            tasks = harness.cluster.machines[host].tasks.values() if host in harness.cluster.machines else ()
            listed = [(t.name, t.attempt, "exited", "error") for t in tasks if t.sent]
            harness.report(host, serials[host], *listed)
        harness.scheduler.schedule(harness.clock.now_us())
        harness.commit()
        for one in (bad, worse):
            if task_failures.at_fault(one):
                pauses.append(one.not_before_us - harness.clock.now_us())
                assert len(one.live) <= 1
        for host in hosts:  # `run` is sent
            serials[host] += 1
            harness.report(host, serials[host])
    assert task_failures.at_fault(bad) and task_failures.at_fault(worse) and bad.pending == 5 - len(bad.live)
    why = {m.drain_reason for m in harness.cluster.machines.values() if m.phase == RETURNING}
    assert all("idle" in reason for reason in why) and not any(
        m.suspect_since_us for m in harness.cluster.machines.values()
    )
    assert max(pauses) <= task_failures.LAST_PAUSE_US and max(pauses) > 10 * SECOND_US
    reasons = explain.explain_job(harness.cluster, bad.spec.id, harness.clock.now_us())["reasons"]
    assert any("failed on" in reason and "tried" in reason or "next try" in reason for reason in reasons), reasons
    assert harness.state.items[keys.job_key(bad.spec.id)][0]["st"] == "open"


def test_a_faulty_machine_is_found_despite_jobs_at_fault_and_a_good_job_is_not_blamed():
    harness = LeaderHarness()
    for host in ("host-1", "host-2"):
        harness.report(host, 1)
    bad = harness.submit(job("batch", 1, id="req-810001"))
    for name in ("host-1", "host-3", "host-4"):
        bad.record_failure_on(name, 0)
    machine = harness.cluster.machines["host-1"]
    machine.failures_by_job = {bad.spec.id: 5, "req-999999": 3}  # a job at fault and a cancelled job prove nothing
    assert task_failures.at_fault(bad) and not task_failures.judge(machine, harness.cluster.jobs, 0)
    good, other = (harness.submit(job("batch", 4, id=name)) for name in ("req-810002", "req-810003"))
    machine.failures_by_job[good.spec.id] = 1
    assert not task_failures.judge(machine, harness.cluster.jobs, 0)
    machine.failures_by_job[other.spec.id] = 1
    assert task_failures.judge(machine, harness.cluster.jobs, 0) == task_failures.SUSPECT
    now_us = harness.clock.now_us()
    harness.cluster.check_failures(machine, now_us)
    harness.scheduler.schedule(now_us)
    # Others take the work.
    assert machine.suspect_since_us and not machine.tasks and harness.cluster.machines["host-2"].tasks
    assert (
        task_failures.judge(machine, harness.cluster.jobs, now_us + task_failures.SUSPECT_US) == task_failures.FAULTY
    )
    # A job that has succeeded elsewhere is never at fault, on however many machines it fails.
    del machine.failures_by_job[other.spec.id]
    for name in ("host-5", "host-6", "host-7"):
        good.record_failure_on(name, 0)
    assert not task_failures.judge(machine, harness.cluster.jobs, 0)
    good.mark_done(0)
    machine.failures_by_job[good.spec.id] = 2
    assert (
        not task_failures.at_fault(good)
        and task_failures.judge(machine, harness.cluster.jobs, 0) == task_failures.FAULTY
    )


def test_nothing_is_rented_or_preempted_for_a_job_at_fault():
    harness = LeaderHarness()
    harness.report("host-1", 1)
    other = harness.place(job("batch", 4, id="req-820001", team="blue", gpus=1.0), "host-1")
    bad = harness.submit(job("gang", 1, id="req-820002", gpus=4.0, cpus=16.0, team="red", priority="urgent"))
    for name in ("host-7", "host-8", "host-9"):
        bad.record_failure_on(name, 0)
    before = len(harness.cluster.rentals)
    harness.clock.pass_s(30)
    harness.report("host-1", 9)
    harness.scheduler.schedule(harness.clock.now_us())
    assert len(harness.cluster.rentals) == before and all(task.halt_grace_s is None for task in other.live.values())
    assert "failed on 3 machines" in bad.waiting_reason


KIND = msgspec.structs.replace(TYPE, boot_s=30.0)


def booting(number, rented_s, zone="a"):
    machine = Machine(f"host-{number:03d}", KIND.name, zone, False, "r", 16.0, 4.0, 64.0, rented_s * SECOND_US)
    return machine


def boots_seen(*times_s, rented_s=0, zone="a"):
    boots = Boots({KIND.name: KIND}, 3.0)
    for number, took_s in enumerate(times_s):
        boots.came_up(booting(number, rented_s, zone), (rented_s + took_s) * SECOND_US)
    return boots


def test_a_machine_is_given_up_by_the_boot_times_of_its_kind():
    """A fixed timeout returned machines too early in slow zones, and too late where others had overtaken them."""
    one = booting(99, 0)
    at = lambda boots, s: boots.given_up(one, 0, s * SECOND_US)  # noqa: E731
    usual, slow = boots_seen(*[30] * 8, rented_s=5), boots_seen(*[90] * 8, rented_s=5)
    assert at(usual, 101) and not at(usual, 99)  # three times 30 s and 10 s
    assert not at(slow, 270) and at(slow, 281)
    alone = boots_seen(30, 30)  # none rented later: nothing shows that the machine itself is late
    assert not at(alone, 150) and at(alone, 201)
    fast = boots_seen(*[1] * 8, rented_s=5)  # some boot within a second: that does not make others late
    assert at(fast, 101) and not at(fast, 99)
    assert not fast.late(one, 44 * SECOND_US) and fast.late(one, 46 * SECOND_US)
    # Boots in another zone prove nothing.
    assert not boots_seen(*[30] * 8, rented_s=5, zone="b").late(one, 60 * SECOND_US)


def test_a_burst_of_late_boots_causes_no_burst_of_returns():
    boots = boots_seen(*[30] * 8, rented_s=300)
    machines = [booting(number, 0) for number in range(50)]
    assert len(boots.overdue(machines, 0, 400 * SECOND_US)) == 5
    inherited = booting(60, 0)
    inherited.inherited, inherited.listed = True, "running"
    assert boots.overdue([inherited], 0, 10_000 * SECOND_US) == []


def test_a_late_machine_is_replaced_once_and_no_longer_counted_on():
    region = Region(a=2, b=0, boot_s=20.0)
    wide = job("gang", 1, cpus=16.0, gpus=4.0, ram_gb=60.0, team="poor", priority="urgent")
    cluster, clock = region.cluster, region.clock
    rental = cluster.rentals["1-900"] = Rental("1-900", TYPE.name, "a", False, 1, True)
    late = cluster.add_machine("host-900", rental, clock.now_us())
    for number in range(4):
        younger = Machine(f"host-95{number}", TYPE.name, "a", False, "r", 16, 4, 64, clock.now_us() + SECOND_US)
        cluster.health.boots.came_up(younger, clock.now_us() + 21 * SECOND_US)
    for machine in ("host-000", "host-001"):
        cluster.machines[machine].drain_reason = "a test takes it"
    region.submit(wide)
    region.scheduler.schedule(clock.now_us())
    assert not cluster.renting.asked()  # the booting machine will hold the gang
    clock.pass_s(31)
    assert cluster.health.boots.late(late, clock.now_us())
    region.scheduler.schedule(clock.now_us())
    region.scheduler.schedule(clock.now_us())
    assert sum(rental.count for rental in cluster.renting.asked()) == 1
    reasons = explain.explain_job(cluster, wide.id, clock.now_us())["reasons"]
    assert any("1 of them are late" in reason for reason in reasons), reasons


def test_a_rental_plan_is_limited_to_what_can_be_requested(monkeypatch):
    """Under heavy load each pass planned machines for all waiting arrays, but sent only a few rentals of 50."""
    harness = LeaderHarness()
    for _ in range(40):
        harness.submit(job("batch", 400, cpus=16.0, gpus=4.0, team="poor"))
    planned = []
    new_bin = Fleet._new_bin
    monkeypatch.setattr(Fleet, "_new_bin", lambda *arguments: planned.append(1) or new_bin(*arguments))
    harness.scheduler.schedule(harness.clock.now_us())
    asked = harness.cluster.renting.asked()
    assert MAX_PLANNED <= len(planned) < MAX_PLANNED + 401 and asked and max(rental.count for rental in asked) == 50


def test_without_a_guarantee_spot_is_rented_and_ordinary_machines_only_after_a_long_wait():
    """For a team without a guarantee ordinary machines were rented at four times the price on a recorded day."""
    harness = LeaderHarness()
    for team, ordinary in (("poor", False), ("red", True)):
        sweep = harness.submit(job("batch", 8, team=team, cpus=16.0, gpus=4.0, spot=True))
        harness.scheduler.schedule(harness.clock.now_us())
        for rental in harness.cluster.renting.asked():
            harness.cluster.renting.refused(rental, harness.clock.now_us())
        harness.scheduler.schedule(harness.clock.now_us())
        harness.scheduler.schedule(harness.clock.now_us())
        assert any(not rental.spot for rental in harness.cluster.renting.asked()) is ordinary
        if team == "poor":
            harness.clock.pass_s(SPOT_ONLY_BOOTS * TYPE.boot_s + 1)
            for _ in range(3):
                harness.scheduler.schedule(harness.clock.now_us())
                for rental in harness.cluster.renting.asked():
                    if rental.spot:
                        harness.cluster.renting.refused(rental, harness.clock.now_us())
            assert any(not rental.spot for rental in harness.cluster.renting.asked())
            assert harness.state.cancel(sweep.spec.id)
            harness.see_jobs()
            for rental in harness.cluster.renting.asked():
                harness.cluster.renting.refused(rental, harness.clock.now_us())
            harness.clock.pass_s(60)


def test_small_tasks_without_gpus_leave_the_cpus_beside_free_gpus():
    """Warm capacity had free GPUs but no CPUs left, and live services waited for a boot beside free GPUs."""
    harness = LeaderHarness()
    harness.report("host-1", 1)
    harness.report("host-2", 1)
    harness.place(job("service", 4, priority="critical", cpus=3.0, gpus=1.0), "host-1", "host-2")
    busy = {task.machine.name for one in harness.cluster.jobs.values() for task in one.live.values()}
    assert len(busy) == 1  # the GPUs of the other machine are free
    harness.scheduler._c.fleet.warm = [(job("service", 1, job_class="web"), 2)]
    harness.cluster.fleet.refresh_warm = lambda now_us, used: None
    small = harness.submit(job("batch", 500, team="poor", cpus=0.25, gpus=0.0, ram_gb=0.1, job_class="small"))
    harness.scheduler.schedule(harness.clock.now_us())
    assert {task.machine.name for task in small.live.values()} == busy and len(small.live) == 16


def test_served_jobs_are_counted_by_class_and_team_and_the_first_complete_run_is_logged(caplog):
    caplog.set_level("INFO", "cluster")
    harness = LeaderHarness()
    pair = harness.place(job("batch", 2, id="req-850001", job_class="fit"))
    late = harness.submit(job("batch", 1, id="req-850002", job_class="sim", cpus=16.0, gpus=4.0, team="blue"))
    harness.report("host-1", 2)
    harness.report("host-1", 3, ("req-850001/0", 1, "running", None))
    assert "runs whole" not in caplog.text
    harness.report("host-1", 4, *((f"req-850001/{index}", 1, "running", None) for index in (0, 1)))
    harness.report("host-1", 5, *((f"req-850001/{index}", 1, "running", None) for index in (0, 1)))
    assert caplog.text.count("req-850001 of red runs whole: 2 tasks") == 1 and not pair.pending and late.waits
    metrics = harness.cluster.metrics
    for number in range(MAX_LABELS + 5):  # users choose the names of classes
        metrics.count_job("asked", f"class-{number}", "red")
    harness.clock.pass_s(70)
    metrics.labelled_gauges = explain.oldest_waits(harness.cluster)
    text = metrics.text().decode()
    assert 'tideusher_jobs_started_by_class_total{kind="fit"} 1.0' in text
    assert 'tideusher_oldest_wait_seconds_by_team{kind="blue"} 70.0' in text
    assert 'jobs_asked_by_class_total{kind="others"} 5.0' in text and 'kind="class-203"' not in text


def test_under_load_jobs_that_can_be_in_time_go_first_then_the_smallest_late_ones():
    """With the oldest first all were late, and only a third of 1,600 arrays was complete at the end of the day."""

    def arrival(tasks, at_s, due_s=300.0):
        spec = job("batch", tasks, deadline_s=due_s, estimate_s=70.0)
        return Job(spec, 1, at_s * SECOND_US, at_s * SECOND_US)

    now_us = 1000 * SECOND_US
    late_large, late_small, fresh, old = (
        arrival(50, 100),
        arrival(3, 110),
        arrival(20, 900),
        arrival(50, 0, 200.0),
    )
    queue = sorted([late_large, late_small, fresh, old], key=lambda one: urgency_us(one, None, now_us))
    assert queue == [fresh, late_small, old, late_large]
    # No job is passed over forever: after some minutes the large one goes before later small ones.
    newcomer = arrival(3, 400)
    assert urgency_us(late_large, None, now_us) < urgency_us(newcomer, None, now_us) + 50 * REMAINING_TASK_US
    waits = [urgency_us(late_large, None, (1000 + s) * SECOND_US) for s in (0, 60, 120)]
    assert waits == sorted(waits, reverse=True)
    service = Job(job("service", 2, estimate_s=0.0), 1, 0, 0)
    assert urgency_us(service, 50.0, now_us) == 50 * SECOND_US  # a service is never hopelessly late


def test_a_new_job_without_a_guarantee_does_not_keep_a_waiting_one_from_ordinary_machines():
    """A refusal under stricter constraints does not apply to a request that may use more machines."""
    harness = LeaderHarness()
    fresh, long_waiting = (Job(job("batch", 1, team="poor", spot=True), 1, 0, seen_us=0) for _ in range(2))
    now_us = fresh.seen_us = 1000 * SECOND_US
    fleet = harness.cluster.fleet
    for zone in TYPE.zones:
        fleet.refused((TYPE.name, zone, True), now_us)
    rentals = fleet.plan(now_us, [Request(fresh, 1), Request(long_waiting, 1)], [], [])
    assert [(rental.spot, rental.count) for rental in rentals] == [(False, 1)]


def test_a_contact_during_a_pause_is_not_dated_into_the_future():
    own = LocalContacts(SECOND_US)
    own.heard("host-1", "a", "x", 9 * SECOND_US)
    own.process_paused(5 * SECOND_US, 10 * SECOND_US)
    assert own.last("host-1") == (10 * SECOND_US, "x")
