"""One test per safety invariant of docs/safety.md; each fails when its guard is taken out."""

from standins import job
from tideusher.core.lead.reports import Reports
from tideusher.core.model import keys
from tideusher.core.model.records import ASSIGNED, CHUNK_TASKS, COMMITTING, JOB_CANCELLED, JOB_DONE, RETURNING
from tideusher.wire.workers import Report


def ops(commands):
    return [(c.op, c.task, c.attempt) for c in commands]


# 1. One leader


def test_a_deposed_leader_can_write_nothing(harness):
    old = harness.cluster
    spec = job()
    harness.submit(spec)
    harness.report("host-1", 1)
    harness.scheduler.schedule(harness.clock.now_us())
    batch = old.write_queue.next_batch(8)
    harness.elect()
    assert harness.state.txn(batch.guards, batch.writes) is None
    assert not [key for key in harness.state.items if key.startswith(keys.CHUNK_PREFIX)]


def test_a_cancel_beats_a_start(harness):
    spec = job()
    placed = harness.submit(spec)
    harness.report("host-1", 1)
    harness.commit()
    harness.scheduler.schedule(harness.clock.now_us())
    assert placed.live[0].phase == COMMITTING
    assert harness.state.cancel(spec.id)  # another node confirms it before the leader's transaction arrives
    harness.commit()
    assert ops(harness.report("host-1", 2)) == []
    assert harness.state.items[keys.job_key(spec.id)][0]["st"] == JOB_CANCELLED


# 2. Persist, then act


def test_no_run_before_the_assignment_is_persisted(harness):
    harness.submit(spec := job())
    harness.report("host-1", 1)
    harness.commit()
    harness.scheduler.schedule(harness.clock.now_us())
    assert ops(harness.report("host-1", 2)) == []
    harness.commit()
    assert ops(harness.report("host-1", 3)) == [("run", f"{spec.id}/0", 1)]


def test_attempt_numbers_are_not_reused_by_the_next_leader(harness):
    spec = job()
    harness.place(spec)
    assert ops(harness.report("host-1", 2)) == [("run", f"{spec.id}/0", 1)]
    harness.report("host-1", 3, (f"{spec.id}/0", 1, "exited", "error"))
    harness.commit()
    harness.elect()
    harness.report("host-1", 4)
    harness.scheduler.schedule(harness.clock.now_us())
    assert harness.cluster.jobs[spec.id].live[0].attempt == 2


def test_a_lost_transaction_cannot_apply_after_a_later_one(harness):
    spec = job("batch", 2)
    placed = harness.submit(spec)
    harness.report("host-1", 1)
    harness.commit()
    harness.scheduler.schedule(harness.clock.now_us())
    lost = harness.cluster.write_queue.next_batch(8)  # its answer never comes
    harness.cluster.write_queue.batch_failed(harness.state.stamp_of)
    harness.commit()
    harness.report("host-1", 2)
    harness.report("host-1", 3, (f"{spec.id}/0", 1, "exited", "done"), (f"{spec.id}/1", 1, "running", None))
    harness.commit()
    value = harness.state.items[keys.chunk_key(spec.id, 0)]
    assert harness.state.txn(lost.guards, lost.writes) is None  # minutes late
    assert harness.state.items[keys.chunk_key(spec.id, 0)] == value
    assert placed.is_done(0) and not placed.is_done(1)


def test_done_is_told_only_after_every_tasks_completion_is_persisted(harness):
    spec = job("batch", 2)
    harness.place(spec)
    harness.report("host-1", 2)
    done = [(f"{spec.id}/{i}", 1, "exited", "done") for i in (0, 1)]
    harness.report("host-1", 3, *done)
    first = harness.cluster.write_queue.next_batch(8)
    assert [write.key for write in first.writes] == [keys.chunk_key(spec.id, 0)]
    harness.cluster.write_queue.batch_committed(harness.state.txn(first.guards, first.writes))
    harness.commit()
    assert harness.state.items[keys.job_key(spec.id)][0]["st"] == JOB_DONE


def test_done_is_told_when_the_last_write_that_it_waits_for_is_not_a_completion(harness):
    """A stop's record is not urgent and may be written after the last completion; `done` was not written then."""
    spec = job(tasks=CHUNK_TASKS + 1, cpus=0.1, gpus=0.0, ram_gb=0.1)
    placed = harness.place(spec)
    names = [f"{spec.id}/{index}" for index in range(spec.tasks)]
    harness.report("host-1", 2)
    harness.report("host-1", 3, *[(name, 1, "exited", "done") for name in names[:-1]])
    harness.commit()
    harness.cluster.record_stop(placed, placed.live[CHUNK_TASKS], "it was moved")
    harness.report("host-1", 4, (names[-1], 1, "exited", "done"))
    queue = harness.cluster.write_queue
    while (batch := queue.next_batch(1)) is not None:
        queue.batch_committed(harness.state.txn(batch.guards, batch.writes))
    assert harness.state.items[keys.job_key(spec.id)][0]["st"] == JOB_DONE


def test_a_gangs_done_is_told_when_its_exits_come_one_by_one(harness):
    # The exits of the other tasks once came after the only write that triggered the final record.
    spec = job("gang", 2, gpus=3.0)
    placed = harness.submit(spec)
    harness.report("host-1", 1)
    harness.report("host-2", 1)
    harness.commit()
    harness.scheduler.schedule(harness.clock.now_us())
    harness.commit()
    names = {task.index: task.machine.name for task in placed.live.values()}
    for index in (0, 1):
        harness.report(names[index], 2)
    harness.report(names[0], 3, (f"{spec.id}/0", 1, "exited", "done"))
    harness.commit()
    assert harness.state.items[keys.job_key(spec.id)][0]["st"] != JOB_DONE
    harness.report(names[1], 3, (f"{spec.id}/1", 1, "exited", "done"))
    harness.commit()
    assert harness.state.items[keys.job_key(spec.id)][0]["st"] == JOB_DONE


def test_done_never_overwrites_a_cancellation(harness):
    spec = job()
    harness.place(spec)
    harness.report("host-1", 2)
    harness.report("host-1", 3, (f"{spec.id}/0", 1, "exited", "done"))
    chunk = harness.cluster.write_queue.next_batch(8)
    harness.cluster.write_queue.batch_committed(harness.state.txn(chunk.guards, chunk.writes))
    harness.state.cancel(spec.id)  # confirmed to its user while `done` is in transit
    harness.commit()
    assert harness.state.items[keys.job_key(spec.id)][0]["st"] == JOB_CANCELLED


# 3. Places are released only by proof


def test_absence_in_a_report_older_than_the_order_is_no_proof(harness):
    spec = job()
    placed = harness.place(spec)
    harness.report("host-1", 5)
    assert placed.live[0].sent == (1, 5)
    harness.report("host-1", 4)  # delayed in transit, sent before the command
    assert placed.live[0].sent == (1, 5) and placed.live[0].phase == ASSIGNED


def test_absence_is_no_proof_until_the_worker_has_seen_our_token(harness):
    spec = job()
    harness.place(spec)
    old_token = harness.cluster.token
    harness.elect()
    placed = harness.cluster.jobs[spec.id]
    harness.report("host-1", 2, token=old_token)  # the old leader's `run` may still arrive
    assert 0 in placed.live
    harness.report("host-1", 3)
    assert 0 not in placed.live


def test_time_alone_frees_nothing(harness):
    spec = job()
    placed = harness.place(spec)
    harness.report("host-1", 2)
    harness.report("host-1", 3, (f"{spec.id}/0", 1, "running", None))
    harness.clock.pass_s(10_000)
    harness.scheduler.schedule(harness.clock.now_us())
    harness.commit()
    assert placed.live[0].machine.name == "host-1"
    assert harness.cluster.standing("red").ratio >= 0 and harness.cluster.usage["red"][1] == 1.0


def test_a_higher_session_and_a_confirmed_return_are_proof(harness):
    first, second = job(), job()
    a = harness.place(first)
    harness.report("host-1", 2)
    harness.report("host-1", 3, (f"{first.id}/0", 1, "running", None))
    harness.report("host-1", 4, session=2)
    assert 0 not in a.live
    b = harness.submit(second)
    harness.scheduler.schedule(harness.clock.now_us())
    harness.commit()
    assert 0 in b.live
    harness.cluster.request_return(harness.cluster.machines["host-1"], "a test")
    harness.commit()
    assert 0 in b.live  # a requested return is not yet a confirmed one
    harness.cluster.returned(["host-1"], harness.clock.now_us())
    assert 0 not in b.live


def test_a_gang_waits_for_the_end_of_its_last_attempt(harness):
    spec = job("gang", 2, gpus=3.0, one_zone=True)
    placed = harness.place(spec, "host-1", "host-2", "host-3")
    names = {task.index: task.machine.name for task in placed.live.values()}
    for index in (0, 1):
        harness.report(names[index], 2)
        harness.report(names[index], 3, (f"{spec.id}/{index}", 1, "running", None))
    harness.report(names[0], 4, (f"{spec.id}/0", 1, "exited", "peers"))
    harness.scheduler.schedule(harness.clock.now_us())
    assert set(placed.live) == {1} and placed.live[1].attempt == 1


def test_a_move_looks_again_at_the_zones_when_it_is_made(harness):
    """Two replicas that moved at once both went to the zone that had capacity for one (wrong_place)."""
    spec = job("service", 3, spread=True, gpus=2.0)
    placed = harness.submit(spec)
    for name, zone in (("host-1", "a"), ("host-2", "b"), ("host-3", "b")):
        harness.report(name, 1, zone=zone)
    harness.commit()
    harness.scheduler.schedule(harness.clock.now_us())
    harness.commit()
    at_a = [task for task in placed.live.values() if task.machine.zone == "a"]
    at_b = [task for task in placed.live.values() if task.machine.zone == "b"]
    crowded, other = (at_a, "b") if len(at_a) == 2 else (at_b, "a")
    serial = {"host-1": 2, "host-2": 2, "host-3": 2}
    zone_of = {"host-1": "a", "host-2": "b", "host-3": "b"}
    for task in placed.live.values():
        name = task.machine.name
        harness.report(name, serial[name], zone=zone_of[name])
        serial[name] += 1
    targets = [m for m in harness.cluster.machines.values() if m.zone == other]
    for number, task in enumerate(crowded):
        task.move_to = targets[number % len(targets)]
        harness.cluster.halt(task, 0.0, "it moves")
    for task in crowded:
        name = task.machine.name
        harness.report(name, serial[name], (task.name, task.attempt, "exited", "stopped"), zone=zone_of[name])
        serial[name] += 1
    assert all(count <= 2 for count in placed.zone_use().values()), placed.zone_use()


def test_a_replacement_joins_a_gang_that_has_not_started(harness):
    spec = job("gang", 2, gpus=3.0)
    placed = harness.place(spec, "host-1", "host-2", "host-3")
    names = {task.index: task.machine.name for task in placed.live.values()}
    for index in (0, 1):
        harness.report(names[index], 2)
        harness.report(names[index], 3, (f"{spec.id}/{index}", 1, "waiting", None))
    harness.cluster.request_return(harness.cluster.machines[names[0]], "it died")
    harness.commit()
    harness.cluster.returned([names[0]], harness.clock.now_us())
    harness.scheduler.schedule(harness.clock.now_us())
    harness.commit()
    assert placed.live[1].halt_grace_s is None
    assert placed.live[0].attempt == 1 and placed.live[0].machine.name not in names.values()
    assert ops(harness.report(placed.live[0].machine.name, 2)) == [("run", f"{spec.id}/0", 1)]


def test_a_member_with_its_image_is_told_to_run_when_long_fetches_of_the_others_are_over(harness):
    """Members that had the image gave up after gang_wait_s, which stopped the fetches of the others."""
    spec = job("gang", 2, gpus=3.0, image_gb=15.0)  # up to 22 s to fetch, members wait 20 s for one another
    placed = harness.submit(spec)
    for name in ("host-1", "host-2"):
        harness.report(name, 1)
    harness.cluster.machines["host-1"].images["img-1"] = 15.0
    harness.commit()
    harness.scheduler.schedule(harness.clock.now_us())
    harness.commit()
    index = {task.machine.name: task.index for task in placed.live.values()}
    has, fetches = f"{spec.id}/{index['host-1']}", f"{spec.id}/{index['host-2']}"
    assert ops(harness.report("host-1", 2)) == []
    assert ops(harness.report("host-2", 2)) == [("run", fetches, 1)]
    harness.report("host-2", 3, (fetches, 1, "pulling", None))
    assert ops(harness.report("host-1", 3)) == [] and len(placed.live) == 2
    harness.report("host-2", 4, (fetches, 1, "waiting", None))
    assert ops(harness.report("host-1", 4)) == [("run", has, 1)]


# 4. `run` only in answers to reports; `done` before `forget`


def test_looking_at_a_direct_answer_never_counts_a_run_as_sent(harness):
    spec = job()
    placed = harness.place(spec)
    report = Report("host-1", "127.0.0.1:9", "m4", "a", False, 1, 2, harness.cluster.token)
    Reports(harness.cluster).apply(report, harness.clock.now_us())
    assert placed.live[0].sent is None
    assert not [d for d in harness.cluster.direct if d.command.op == "run"]


def test_done_is_persisted_before_it_is_forgotten(harness):
    spec = job("batch", 2)
    harness.place(spec)
    harness.report("host-1", 2)
    exited = (f"{spec.id}/0", 1, "exited", "done")
    harness.report("host-1", 3, exited)
    assert ("forget", f"{spec.id}/0", 1) not in ops(harness.report("host-1", 4, exited))
    harness.commit()
    assert ("forget", f"{spec.id}/0", 1) in ops(harness.report("host-1", 5, exited))


# 5. A returned machine is never used again


def test_a_return_is_persisted_before_the_cloud_hears_and_binds_the_next_leader(harness):
    harness.report("host-1", 1)
    harness.commit()
    harness.cluster.request_return(harness.cluster.machines["host-1"], "a test")
    assert harness.cluster.to_return == []
    harness.commit()
    assert [m.name for m in harness.cluster.to_return] == ["host-1"]
    harness.elect()
    machine = harness.cluster.machines["host-1"]
    assert machine.phase == RETURNING and harness.cluster.to_return == [machine]
    placed = harness.submit(job())
    harness.report("host-1", 2)
    harness.scheduler.schedule(harness.clock.now_us())
    assert not placed.live


def test_a_machine_that_reports_after_its_return_goes_back(harness):
    harness.report("host-1", 1)
    harness.commit()
    harness.cluster.request_return(harness.cluster.machines["host-1"], "a test")
    harness.commit()
    harness.cluster.returned(["host-1"], harness.clock.now_us())
    harness.report("host-1", 2)
    assert harness.cluster.machines["host-1"].phase == RETURNING


# Limits


def test_a_large_gang_is_told_nothing_until_all_of_it_is_persisted(harness):
    harness.cluster.teams["poor"].gpus_max = 0.0
    spec = job("gang", 200, cpus=0.1, gpus=0.0, ram_gb=0.1, team="poor")
    placed = harness.submit(spec)
    for number in (1, 2):
        harness.report(f"host-{number}", 1)
    harness.commit()
    harness.scheduler.schedule(harness.clock.now_us())
    assert len(placed.live) == 200
    batch = harness.cluster.write_queue.next_batch(2)
    harness.cluster.write_queue.batch_committed(harness.state.txn(batch.guards, batch.writes))
    assert not any(command.op == "run" for command in harness.report("host-1", 2))
    harness.elect()  # the leader ends between the gang's transactions
    assert all(task.halt_grace_s is not None for task in harness.cluster.jobs[spec.id].live.values())


def test_an_array_of_100000_tasks_starts_a_few_at_a_time(harness):
    spec = job("batch", 100_000)
    placed = harness.place(spec)
    assert len(placed.live) == 4 and len(placed.chunks) == 1
    assert len(harness.state.items[keys.chunk_key(spec.id, 0)][0]["a"]) == 4


# Machines that are silent


def silent(harness):
    return [machine.name for machine in harness.cluster.health.suspects(harness.clock.now_us())]


def test_a_dead_machine_is_suspected_while_its_zone_is_heard(harness):
    for serial in range(1, 9):
        for name in ("host-1", "host-2", "host-3"):
            if name != "host-1" or serial < 3:
                harness.report(name, serial)
        harness.clock.pass_s(1.0)
    assert silent(harness) == ["host-1"]


def test_the_first_machine_heard_after_a_cut_condemns_no_other(harness):
    # All machines of a zone were once returned when the first of them reported after a partition of 15 s.
    for name in ("host-1", "host-2", "host-3", "host-4"):
        harness.report(name, 1)
    harness.clock.pass_s(15.0)
    assert not harness.cluster.review_silent_machines(harness.clock.now_us(), set()).failed_machines
    harness.report("host-1", 2)
    assert silent(harness) == []
    harness.clock.pass_s(1.0)
    harness.report("host-1", 3)
    assert (
        silent(harness) == []
        and not harness.cluster.review_silent_machines(harness.clock.now_us(), set()).failed_machines
    )


def test_an_inherited_fleet_is_not_overdue_at_the_change_of_leader(harness):
    from tideusher.wire.cloud import ListedMachine

    harness.report("host-1", 1)
    harness.commit()
    harness.clock.pass_s(500.0)
    harness.elect()
    listing = [ListedMachine("host-1", "127.0.0.1:9", "m4", "a", False, "running", 500.0)]
    harness.cluster.listed(listing, harness.clock.now_us())
    assert harness.cluster.health.overdue(harness.clock.now_us()) == []
    # Its silence was once given as the time since the clock began.
    harness.clock.pass_s(9.0)
    words = harness.cluster.health.silence(harness.cluster.machines["host-1"], harness.clock.now_us())
    assert words == "not heard in the 9 s of this leadership"


def test_an_inherited_machine_that_the_cloud_lists_no_more_is_asked_soon(harness):
    """Spot machines recalled while nobody led once kept their tasks for 90 s, until their boot was overdue."""
    from tideusher.wire.cloud import ListedMachine

    for name in ("host-1", "host-2", "host-3"):
        harness.report(name, 1)
    harness.commit()
    harness.clock.pass_s(5.0)
    harness.elect()
    clock, health, machines = harness.clock, harness.cluster.health, harness.cluster.machines
    harness.report("host-3", 2)
    listing = [ListedMachine("host-2", "127.0.0.1:9", "m4", "a", False, "booting", 5.0)]
    suspects = []
    for _ in range(8):
        clock.pass_s(1.0)
        harness.report("host-3", machines["host-3"].serial + 1)
        if len(suspects) < 4:
            harness.cluster.listed(listing, clock.now_us())  # may be older than the election: lists lag up to 4 s
        suspects.append([m.name for m in health.suspects(clock.now_us())])
    assert not any(suspects)
    harness.cluster.listed(listing, clock.now_us())
    assert [m.name for m in health.suspects(clock.now_us())] == ["host-1"]  # host-2 may still boot
    harness.report("host-1", 2)
    assert not health.suspects(clock.now_us())


def test_nothing_is_stopped_while_the_state_service_takes_no_writes(harness):
    for name in ("host-1", "host-2"):
        harness.report(name, 1)
    batch = harness.submit(job("batch", 8, cpus=4.0))
    harness.commit()
    harness.scheduler.schedule(harness.clock.now_us())
    harness.commit()
    for name in ("host-1", "host-2"):
        harness.report(name, 2)
        running = [(t.name, t.attempt, "running", None) for t in harness.cluster.machines[name].tasks.values()]
        harness.report(name, 3, *running)
    harness.submit(job("service", 1, priority="critical", team="blue"))
    harness.cluster.writable = False
    harness.scheduler.schedule(harness.clock.now_us())
    assert not any(task.halt_grace_s is not None for task in batch.live.values())
    harness.cluster.writable = True
    harness.scheduler.schedule(harness.clock.now_us())
    assert sum(task.halt_grace_s is not None for task in batch.live.values()) == 1
