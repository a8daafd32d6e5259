"""The parts of scale runs that need no processes: settings, workload, hollow machines, cloud, judge and measures."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from tideusher.cli import main
from tideusher.clock import SECOND_US, to_us
from tideusher.config import Team, WorkerSettings, load_config
from tideusher.scale import events, judge, report
from tideusher.scale.cloud import Cloud
from tideusher.scale.control_config import controller_config, teams
from tideusher.scale.errors import ScaleError
from tideusher.scale.gangs import Gangs
from tideusher.scale.host import machine_type
from tideusher.scale.judge import Judge, Verdict
from tideusher.scale.layout import Layout
from tideusher.scale.machine import LOST, HollowMachine
from tideusher.scale.measures import Measures
from tideusher.scale.messages import Counted, GangBegins, GangBroken, GangLeft, GangWaits, MessageDecoder, frame
from tideusher.scale.processes import Usage
from tideusher.scale.settings import load_scale_settings
from tideusher.scale.state_service import LimitedStateServer, kind_of
from tideusher.scale.workload import Workload
from tideusher.wire.cloud import MachineType, RentRequest
from tideusher.wire.jobs import JobSpec, check_job
from tideusher.wire.state import Delete, Put
from tideusher.wire.workers import Commands, DirectCommands, forget, halt, run

ROOT = Path(__file__).parent.parent
SMALL = ROOT / "scale" / "small.toml"
FLEET = "workers = 48\nregions = 2\nzones_per_region = 2\nracks_per_zone = 4\nhollow_processes = 2"
TIMES = WorkerSettings(1.0, 8.0, 20.0, 4.0, 20.0)
KIND = MachineType("scale", 12.0, 2.0, 48.0, 100.0, 1.0, 6.0, 3.0, 2.0, ["r0-z0"])


def spec_of(job_id, shape="batch", tasks=4, **more):
    fields = {"cpus": 4.0, "gpus": 1.0, "ram_gb": 8.0, "one_zone": False, "spread": False, "spot": False}
    fields |= {"image": f"i-{job_id}", "image_gb": 2.0, "checkpoint_s": 0.0, "save_s": 0.0, "priority": "urgent"}
    return JobSpec(job_id, "c", more.pop("team", "red"), shape, tasks=tasks, estimate_s=5.0, **(fields | more))


class FixedJobs(dict):
    """Job specs by id; every task runs for five seconds."""

    def spec(self, job):
        if job not in self:
            raise ValueError(job)
        return self[job]

    def run_us(self, job, index):
        return 5 * SECOND_US


class Clock:
    def __init__(self):
        self.us = 0

    def now_us(self):
        return self.us


def jobs_of(*specs):
    return FixedJobs({spec.id: spec for spec in specs})


def machine_of(jobs, recorded):
    return HollowMachine("m1", "127.64.0.1:1", KIND, "r0-z0", False, jobs, TIMES, recorded.append, 0)


def answer(machine, now_s, *commands, token=1):
    """Answers the report of the machine at once with these commands."""
    report = machine.report()
    return machine.answer(Commands(token, list(commands)), to_us(now_s), report.session, to_us(now_s))


def states(machine):
    return {task.task: (task.state, task.cause) for task in machine.report().tasks}


# -------------------------------------------------------------------- settings


def test_settings_files_in_the_repository_are_valid():
    for name in ("small", "target"):
        settings = load_scale_settings(str(ROOT / "scale" / f"{name}.toml"))
        assert settings.name == name and settings.processes < 300
    assert (settings.fleet.workers, settings.teams.count, settings.control.controllers) == (4700, 230, 8)
    assert (settings.fleet.regions, settings.zones) == (3, 9)


@pytest.mark.parametrize(
    "old, new, reason",
    [
        ("duration_s = 45.0", "duration_s = 45.0\nduraton_s = 1.0", "duraton_s"),
        ("workers = 48", "workers = 3", "leaves 1 for 2 hollow processes"),
        (
            FLEET,
            FLEET.replace("48", "4800").replace("hollow_processes = 2", "hollow_processes = 290"),
            "292 processes",
        ),
        ("controllers = 3", "controllers = 0", "controllers"),
        ('kind = "leader"', 'kind = "meteor"', "meteor"),
        ('class = "sweep"', 'class = "swep"', "'swep' is none of the classes"),
        ("region = 0\nother = 1", "region = 1\nother = 1", "no two regions"),
        ("at_s = 36.0", "at_s = 46.0", "after the end"),
        ("cpus = 5.0", "cpus = 50.0", "a task fits no machine"),
        ("gpus_max = 60.0", "gpus_max = 6.0", "a team's limit is 6"),
        ("cancel_s = 20.0", "cancel_s = 8.0", "above workers.lease_s"),
        ("sizes = [2, 4]", "sizes = [2, 4]\nweights = [1.0]", "2 sizes and 1 weights"),
        ('name = "small"', "name = ", "not TOML"),
    ],
)
def test_an_invalid_setting_gives_one_line_with_file_and_reason(tmp_path, old, new, reason):
    text = SMALL.read_text()
    assert old in text
    file = tmp_path / "run.toml"
    file.write_text(text.replace(old, new, 1))
    result = CliRunner().invoke(main, ["scale-run", str(file), "--out", str(tmp_path / "out")])
    assert result.exit_code == 2 and not (tmp_path / "out").exists()
    lines = result.stderr.strip().splitlines()
    assert len(lines) == 1 and str(file) in lines[0] and reason in lines[0]


def test_a_directory_that_is_not_empty_is_not_used(tmp_path):
    (tmp_path / "mine").write_text("mine")
    result = CliRunner().invoke(main, ["scale-run", str(SMALL), "--out", str(tmp_path)])
    assert result.exit_code == 2 and "is not empty" in result.stderr
    assert (tmp_path / "mine").read_text() == "mine"


def test_controller_settings_files_are_valid(tmp_path):
    settings = load_scale_settings(str(SMALL))
    layout = Layout(settings)
    for number in range(settings.control.controllers):
        file = tmp_path / "c.toml"
        file.write_text(controller_config(settings, layout, number))
        config = load_config(str(file))
        assert config.node == f"c{number}" and len(config.peers) == 2
        assert [team.name for team in config.settings.teams] == [team.name for team in teams(settings)]


def test_addresses_are_loopback_and_unique():
    settings = load_scale_settings(str(ROOT / "scale" / "target.toml"))
    layout = Layout(settings)
    numbers = range(settings.control.controllers)
    listen = [forward.listen for forward in layout.forwards()]
    listen += [layout.hub, layout.cloud, layout.state]
    listen += [layout.controller(n) for n in numbers] + [layout.controller_peers(n) for n in numbers]
    listen += [layout.worker(process, n) for process in range(15) for n in (0, 249, 250, 399)]
    assert len(set(listen)) == len(listen) and all(address.startswith("127.") for address in listen)
    regions = [layout.controller_place(n).region for n in numbers]
    assert [regions.count(region) for region in range(3)] == [3, 3, 2]


def test_delays_grow_with_distance():
    layout = Layout(load_scale_settings(str(SMALL)))
    same, zones, regions = (layout.delay_us(layout.place(0), layout.place(other)) for other in (0, 1, 2))
    assert same < zones < regions == 5000


# -------------------------------------------------------------------- workload


def test_a_workload_is_the_same_in_every_process():
    settings = load_scale_settings(str(SMALL))
    workload, other = Workload(settings), Workload(settings)
    assert workload.submissions() == other.submissions()
    for submission in workload.submissions():
        spec = other.spec(submission.job)
        check_job(spec)
        assert spec == workload.spec(submission.job)
        lengths = [workload.run_us(spec.id, index) for index in range(spec.tasks)]
        assert lengths == [other.run_us(spec.id, index) for index in range(spec.tasks)]
        assert len(set(lengths)) == 1 or spec.shape != "gang"
    ids = [submission.job for submission in workload.submissions()]
    assert len(set(ids)) == len(ids)
    assert sum(submission.at_us == 36 * SECOND_US for submission in workload.submissions()) >= 10  # the burst


# -------------------------------------------------------------------- hollow machines


def test_a_batch_task_is_fetched_run_reported_and_forgotten():
    recorded, jobs = [], jobs_of(spec_of("req-1"))
    machine = machine_of(jobs, recorded)
    answer(machine, 1, run("req-1/0", 1))
    assert states(machine) == {"req-1/0": ("pulling", None)}
    machine.advance(to_us(3.0))
    assert states(machine) == {"req-1/0": ("running", None)}
    answer(machine, 4)
    machine.advance(to_us(8.0))
    assert states(machine) == {"req-1/0": ("exited", "done")} and machine.changed is False
    answer(machine, 8.5, run("req-1/0", 1))  # already known, in whichever state: no effect
    assert states(machine) == {"req-1/0": ("exited", "done")}
    answer(machine, 9, forget("req-1/0", 1))
    assert states(machine) == {}
    answer(machine, 9.5, run("req-1/0", 2))  # the result is kept
    assert states(machine) == {"req-1/0": ("exited", "done")}
    assert [type(event) for event in recorded[:4]] == [events.Ordered, events.OnMachine, events.Started, events.Left]


def test_tasks_that_do_not_fit_or_are_already_there_are_refused():
    jobs = jobs_of(spec_of("req-1"))
    machine = machine_of(jobs, [])
    answer(machine, 1, run("req-1/0", 1), run("req-1/0", 2), run("req-1/1", 1), run("req-1/2", 1), run("req-9/0", 1))
    tasks = [(task.task, task.attempt, task.cause) for task in machine.report().tasks]
    assert tasks == [
        ("req-1/0", 1, None),
        ("req-1/0", 2, "in_use"),
        ("req-1/1", 1, None),
        ("req-1/2", 1, "full"),
        ("req-9/0", 1, "unknown"),
    ]


def test_messages_with_an_older_token_or_another_session_are_dropped():
    machine = machine_of(jobs_of(spec_of("req-1")), [])
    assert answer(machine, 1, token=5)
    assert not answer(machine, 2, run("req-1/0", 1), token=4)
    assert machine.answered_us == to_us(1)
    assert machine.direct(DirectCommands(4, 1, []), to_us(2))[0] == 409
    assert machine.direct(DirectCommands(5, 2, []), to_us(2))[0] == 409
    assert machine.direct(DirectCommands(5, 1, []), to_us(2))[0] == 200
    assert machine.answered_us == to_us(1)  # direct commands do not renew the lease


def test_an_expired_lease_ends_all_tasks_and_begins_a_session():
    recorded = []
    machine = machine_of(jobs_of(spec_of("req-1", "service")), recorded)
    answer(machine, 1, run("req-1/0", 1))
    machine.advance(to_us(9.1))
    assert machine.session == 2 and not machine.tasks
    assert recorded[-1].cause == LOST and recorded[-1].was_on
    assert machine.due_us() == to_us(9.1) + to_us(TIMES.lease_s) + 1


def test_tasks_of_a_gang_begin_and_break_together():
    jobs = jobs_of(spec_of("req-1", "gang", 2))
    machine = machine_of(jobs, [])
    answer(machine, 1, run("req-1/0", 3), run("req-1/1", 3))
    machine.advance(to_us(3))
    assert {state for state, _ in states(machine).values()} == {"waiting"}
    answer(machine, 3.5)
    machine.gang_begins("req-1", 3, to_us(4))
    assert {state for state, _ in states(machine).values()} == {"running"}
    machine.gang_broken("req-1", 3, to_us(4.5))
    answer(machine, 4.6)
    machine.advance(to_us(8.4))
    assert {state for state, _ in states(machine).values()} == {"running"}
    machine.advance(to_us(8.5))
    assert set(states(machine).values()) == {("exited", "peers")}


def test_a_gang_that_stays_incomplete_exits():
    machine = machine_of(jobs_of(spec_of("req-1", "gang", 2)), [])
    answer(machine, 1, run("req-1/0", 1))
    for second in range(2, 26, 2):
        answer(machine, second)
    assert states(machine) == {"req-1/0": ("exited", "incomplete")}


def test_a_stopped_task_saves_its_state_if_it_is_given_time():
    saves = {"checkpoint_s": 10.0, "save_s": 2.0, "image_gb": 0.0}
    machine = machine_of(jobs_of(spec_of("req-1", "batch", **saves)), [])
    answer(machine, 1, run("req-1/0", 1), run("req-1/1", 1))
    answer(machine, 2, halt("req-1/0", 1, 3.0), halt("req-1/1", 1, 0.0))
    assert states(machine) == {"req-1/0": ("flushing", None), "req-1/1": ("exited", "stopped")}
    machine.advance(to_us(4))
    assert [(task.cause, task.kept) for task in machine.report().tasks] == [("stopped", True), ("stopped", None)]


def test_hosts_are_notified_when_a_gang_is_complete_and_when_it_breaks():
    gangs = Gangs(Workload(load_scale_settings(str(SMALL))))
    gang = next(f"req-1{n:07d}" for n in range(99) if gangs._workload.spec(f"req-1{n:07d}").tasks == 2)
    assert gangs.waits(GangWaits(gang, 0, 1), 5) is None
    assert gangs.left(GangLeft(gang, 0, 1)) is None  # not begun yet: the other tasks wait for a replacement
    assert gangs.waits(GangWaits(gang, 1, 1), 6) is None
    assert gangs.waits(GangWaits(gang, 0, 1), 7) == GangBegins(gang, 1, 7)
    assert gangs.left(GangLeft(gang, 1, 1)) == GangBroken(gang, 1)
    assert gangs.left(GangLeft(gang, 0, 1)) is None
    assert not gangs._attempts
    message = GangBroken(gang, 1)
    assert MessageDecoder().feed(frame(message)) == [message]


# -------------------------------------------------------------------- cloud and state service


def test_the_cloud_rents_up_to_its_capacity_and_only_once_per_request_name():
    settings = load_scale_settings(str(SMALL))
    layout, clock = Layout(settings), Clock()
    cloud = Cloud(settings, layout, machine_type(settings, layout.zones), clock)
    zone = layout.zones[1]
    first = cloud.rent(RentRequest("1-1", "scale", zone, False, 50))
    assert len(first) == 12 and cloud.rent(RentRequest("1-1", "scale", zone, False, 50)) == []
    assert cloud.charter("1-1") == [rental.name for rental in first]
    assert cloud.rent(RentRequest("1-2", "scale", zone, False, 1)) is None
    for rental in first:
        rental.up = True
    rack = cloud.in_rack(zone, 0)
    assert 0 < len(rack) < 12
    cloud.describe()
    assert not cloud.page("", 500).machines  # the list lags
    clock.us = to_us(5)
    assert len(cloud.page("", 5).machines) == 5 and cloud.page("", 5).more
    cloud.lose_zone(zone, to_us(10))
    assert [rental.name for rental in cloud.give_back([first[0].name, "host-none"])] == [first[0].name]
    assert cloud.rent(RentRequest("1-3", "scale", zone, False, 1)) is None
    clock.us = to_us(16)
    assert len(cloud.rent(RentRequest("1-4", "scale", zone, False, 2))) == 1
    addresses = [rental.address for rental in cloud.machines.values()]
    assert len(set(addresses)) == len(addresses)


def test_the_state_service_enforces_its_limits():
    settings, clock = load_scale_settings(str(SMALL)), Clock()
    server = LimitedStateServer(clock, settings.state)
    puts = b'{"guards":[],"writes":[%s]}'

    def txn(*writes):
        return server._limited("POST", "/txn", {}, puts % b",".join(writes))[0]

    assert txn(b'{"set":"t/j/req-1","value":{"st":"open"}}', b'{"set":"t/r/req-1/0","value":{}}') == 200
    assert txn(*[b'{"set":"a","value":1}'] * 13) == 400
    assert txn(b'{"set":"a","value":"%s"}' % (b"x" * 9000)) == 400
    assert txn(b'{"set":"a","value":1,"mooring":7}') == 400  # no such lease
    statuses = [txn(b'{"set":"a","value":1}') for _ in range(30)]
    assert statuses.count(429) > 0 and server.counts["refused.writes"] == statuses.count(429)
    clock.us += SECOND_US
    assert txn(b'{"remove":"t/r/req-1/0"}') == 200
    assert server.counts["writes.tasks of a job"] == server.counts["writes.tasks of a job removed"] == 1
    status, page = server._limited("GET", "/keys", {"under": ["t/"], "most": ["1"]}, b"")
    assert status == 200 and [item["key"] for item in page["items"]] == ["t/j/req-1"]
    _, changes = server._limited("GET", "/watch", {"under": ["t/"], "since": ["0"]}, b"")
    assert [change.get("set") or change["remove"] for change in changes["log"]][-1] == "t/r/req-1/0"


def test_writes_are_counted_by_purpose():
    assert kind_of(Put("t/j/req-1", {"st": "done"})) == "job done"
    assert kind_of(Put("t/j/req-1", {"st": "open"})) == "job accepted or changed"
    assert kind_of(Delete("t/m/5-1")) == "rental removed"
    assert kind_of(Put("t/ratios", {})) == "ratios"


# -------------------------------------------------------------------- the judge


def up(name, zone="a", spot=False, at_us=0):
    return events.MachineUp(at_us, name, zone, "scale", spot)


def arrived(at_us, machine, job="req-1", index=0, attempt=1):
    return events.OnMachine(at_us, machine, job, index, attempt)


def left(at_us, machine, job="req-1", index=0, attempt=1):
    return events.Left(at_us, machine, job, index, attempt, "done", True)


def judged(specs, *recorded, limit=3.0):
    run_judge = Judge(jobs_of(*specs), [Team("red", gpus_max=limit)], 20.0)
    for event in recorded:
        run_judge.take(event)
    return {rule: count for rule, count in run_judge.end().counts.items() if count}


def test_a_run_without_a_fault_breaks_nothing():
    spec = spec_of("req-1")
    assert judged([spec], up("m1"), up("m2"), arrived(1, "m1"), left(2, "m1"), arrived(3, "m2"), left(4, "m2")) == {}


def test_the_judge_finds_a_task_that_runs_twice():
    spec = spec_of("req-1")
    assert judged([spec], up("m1"), up("m2"), arrived(1, "m1"), arrived(2, "m2", attempt=2)) == {judge.RAN_TWICE: 1}


def test_the_judge_finds_usage_over_a_quota():
    spec = spec_of("req-1", tasks=4)
    recorded = [up("m1")] + [arrived(n, "m1", index=n) for n in range(4)]
    assert judged([spec], *recorded) == {judge.QUOTA: 1}
    assert judged([spec], *recorded[:4], left(3, "m1", index=0), arrived(4, "m1", index=3)) == {}


@pytest.mark.parametrize(
    "spec_fields, recorded",
    [
        ({"spot": False}, [up("m1", spot=True), arrived(1, "m1")]),
        ({"zone": "b"}, [up("m1"), arrived(1, "m1")]),
        ({"types": ["other"]}, [up("m1"), arrived(1, "m1")]),
        ({"one_zone": True}, [up("m1"), up("m2", "b"), arrived(1, "m1"), arrived(2, "m2", index=1)]),
        ({"spread": True, "tasks": 2}, [up("m1"), arrived(1, "m1"), arrived(2, "m1", index=1)]),
        ({}, [arrived(1, "never-up")]),
    ],
)
def test_the_judge_finds_tasks_on_machines_that_they_may_not_use(spec_fields, recorded):
    tasks = spec_fields.pop("tasks", 4)
    assert judged([spec_of("req-1", tasks=tasks, **spec_fields)], *recorded) == {judge.WRONG_PLACE: 1}


@pytest.mark.parametrize(
    "recorded",
    [
        [arrived(1, "m1"), events.CancelTold(10, "req-1"), left(to_us(20) + 11, "m1")],
        [events.CancelTold(10, "req-1"), arrived(to_us(20) + 11, "m1"), left(to_us(20) + 12, "m1", attempt=9)],
        [arrived(1, "m1"), events.CancelTold(10, "req-1"), up("m2", at_us=to_us(21))],  # no event that it left
    ],
)
def test_the_judge_finds_tasks_that_outlive_their_cancellation(recorded):
    found = judged([spec_of("req-1")], up("m1"), *recorded)
    assert set(found) == {judge.RAN_CANCELLED}


def test_a_task_that_leaves_in_time_after_its_cancellation_breaks_no_rule():
    recorded = [up("m1"), arrived(1, "m1"), events.CancelTold(10, "req-1"), left(to_us(20), "m1")]
    assert judged([spec_of("req-1")], *recorded) == {}


@pytest.mark.parametrize(
    ("asked_us", "attempt", "broken"),
    [
        (11, 1, {judge.STARTED_CANCELLED: 1}),
        (10, 1, {}),  # the report was sent before the user was told
        (11, 2, {}),  # another attempt was ordered, which did not begin
    ],
)
def test_the_judge_finds_starts_by_answers_to_reports_sent_after_the_cancellation_was_told(asked_us, attempt, broken):
    ordered = events.Ordered(12, "m1", "req-1", 0, attempt, asked_us)
    recorded = [up("m1"), events.CancelTold(10, "req-1"), ordered, arrived(13, "m1"), left(14, "m1")]
    assert judged([spec_of("req-1")], *recorded) == broken


def test_the_judge_keeps_the_order_of_a_start_that_waits_for_its_image():
    told = events.CancelTold(10, "req-1")
    recorded = [up("m1"), events.Ordered(5, "m1", "req-1", 0, 1, 4), told, arrived(500, "m1"), left(501, "m1")]
    assert judged([spec_of("req-1")], *recorded) == {}


def test_a_machine_says_which_report_a_start_answers():
    recorded = []
    machine = machine_of(jobs_of(spec_of("req-1")), recorded)
    machine.answer(Commands(1, [run("req-1/0", 1)]), 7, 1, 9)
    machine.direct(DirectCommands(1, 1, [run("req-1/1", 1)]), 11)
    assert [event.asked_us for event in recorded if isinstance(event, events.Ordered)] == [7, 11]


def test_events_are_read_in_order_of_time_without_an_incomplete_last_one(tmp_path):
    log = events.EventLog(tmp_path / "events-1.jsonl")
    log.write(arrived(5, "m1"))
    log.write(up("m1"))
    log.close()
    with (tmp_path / "events-1.jsonl").open("ab") as file:
        file.write(b'{"k":"on","t":6')  # the process was killed while writing
    assert list(events.read_events([tmp_path / "events-1.jsonl"])) == [up("m1"), arrived(5, "m1")]


# -------------------------------------------------------------------- measures


def test_the_time_until_a_cancellation_is_told_counts_once_a_job():
    measures = Measures(Workload(load_scale_settings(str(SMALL))), 0)
    for at_us in (3, 4):
        measures.take(events.CancelTold(at_us * SECOND_US, "req-1", 2 * SECOND_US))
    summary = measures.result().cancellations
    assert summary.count == 1 and 0.99 < summary.max_s < 1.02


def test_waits_and_recovery_after_the_loss_of_a_zone():
    workload = Workload(load_scale_settings(str(SMALL)))
    job = next(f"req-2{n:07d}" for n in range(99) if workload.spec(f"req-2{n:07d}").tasks == 4)
    measures = Measures(workload, 0)
    measures.take(up("m1"))
    measures.take(events.Accepted(2 * SECOND_US, job, SECOND_US))
    for index in range(4):
        place = ("m1", job, index, 1)
        measures.take(events.Ordered(3 * SECOND_US, *place))
        measures.take(events.OnMachine(3 * SECOND_US, *place))
        measures.take(events.Started(3 * SECOND_US, *place))
    measures.take(events.ZoneLost(10 * SECOND_US, "a", ["m1"]))
    for index in range(4):
        measures.take(events.Left(10 * SECOND_US, "m1", job, index, 1, LOST))
    measures.take(events.Ordered(12 * SECOND_US, "m2", job, 0, 2))
    measures.take(events.Ordered(16 * SECOND_US, "m2", job, 1, 2))
    result = measures.result()
    assert result.task_starts == 4 and result.peak_tasks_on_machines == 4
    assert result.waits["sweep"].count == 4 and result.waits["sweep"].max_s == pytest.approx(2.0, rel=0.01)
    loss = result.zone_losses[0]
    assert (loss.tasks, loss.jobs, loss.not_placed) == (4, 1, 2)
    assert loss.placed.max_s == pytest.approx(6.0, rel=0.01)
    measures.take(events.DoneTold(17 * SECOND_US, job))
    assert measures.result().zone_losses[0].not_placed == 0


def test_result_and_table_contain_the_figures_of_a_run():
    settings = load_scale_settings(str(SMALL))
    verdict = Verdict(4)
    verdict.counts[judge.QUOTA] = 1
    verdict.broken.append(judge.Broken(judge.QUOTA, 7, "too much"))
    measured = Measures(Workload(settings), 0).result()
    measured.task_starts = 4
    counted = [Counted("state", {"writes.ratios": 2, "requests.txn": 9}), Counted("host-0", {"reports.200": 5})]
    roles = {"controller": Usage(3, 1.0, 0.1, 0.2, 40.0), "real worker": Usage(2, 0.5, 0.01, 0.02, 30.0)}
    outcome = report.Outcome(verdict, measured, roles, {}, counted, {}, 400.0, 12, [], ["a note"])
    result = report.put_together(settings, outcome)
    assert result.total_broken == 1 and result.writes_per_start == 0.5 and result.reports == {"reports.200": 5}
    text = "\n".join(report.table(result))
    for part in (
        "quota 1",
        "controller",
        "real worker",
        "BROKEN quota: too much",
        "note: a note",
        "0.50 a task start",
    ):
        assert part in text
    assert json.loads(report.encode(result))["rules_broken"]["quota"] == 1


def test_a_missing_settings_file_is_named_in_the_error(tmp_path):
    with pytest.raises(ScaleError, match="none.toml: No such file"):
        load_scale_settings(str(tmp_path / "none.toml"))
