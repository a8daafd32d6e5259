"""Embedded instances: single runs, restarts, threads, forks, and the same placements as the daemon."""

import os
import random
import subprocess
import sys
import threading
from pathlib import Path

import msgspec
import pytest

from history import KIND, SETTINGS, TEAMS, BadHistory, History
from standins import TYPE, FakeClock, LeaderHarness, make_config
from test_journal import Crash, FaultyDisk
from tideusher.clock import SECOND_US
from tideusher.config import ConfigError, Policy
from tideusher.core.lead.engine import Engine
from tideusher.embed import (
    Card,
    Closed,
    Forked,
    Instance,
    Locked,
    Refused,
    Settings,
    StorageError,
    load_settings,
    new_ref,
    small_job,
)
from tideusher.metrics import Metrics
from tideusher.wire.jobs import After


class Program:
    """A host program that tracks started tasks and ends them as the test requires."""

    def __init__(self, directory, settings=SETTINGS, **more):
        self.running, self.ending = {}, []
        more = {"drive": "step", "clock": FakeClock(), **more}
        self.clock = more["clock"]
        self.instance = Instance(str(directory), settings, self.on_start, self.ending.append, **more)

    def on_start(self, task):
        self.running[task.name] = task

    def round(self, specs, ended, cancelled):
        """Ends tasks, cancels jobs one by one, then submits jobs; settles after each of these."""
        for name in sorted(ended):
            self.running.pop(name).done()
        self.settle()
        for name in sorted(cancelled):
            self.instance.cancel(name)
            self.settle()
        self.instance.submit_many(specs)
        self.settle()

    def settle(self):
        while True:
            while self.instance.step():
                pass
            if not self.ending:
                return
            for task in self.ending:
                self.running.pop(task.name, task).stopped()
            self.ending.clear()

    def end(self, name, cause="done", **more):
        task = self.running.pop(name)
        getattr(task, cause)(**more)
        while self.instance.step():
            pass


@pytest.fixture
def program(tmp_path):
    host_program = Program(tmp_path / "state")
    yield host_program
    host_program.instance.close()


def test_a_job_is_placed_run_completed_and_explained(program):
    instance = program.instance
    spec = small_job("req-1", "red", tasks=2, gpus=1.0)
    assert instance.submit(spec).status == "pending"
    assert sorted(program.running) == ["req-1/0", "req-1/1"] and instance.status("req-1").running == 2
    assert program.running["req-1/0"].cards and instance.explain("req-1")["placed"] == 2
    assert instance.submit(spec).status == "running" and len(program.running) == 2  # a repeat
    program.end("req-1/0")
    assert instance.status("req-1").done == 1
    program.end("req-1/1")
    assert instance.wait("req-1", 0).status == "done" and instance.explain("req-1")["reasons"] == ["It is done."]
    assert instance.teams()[0]["used_gpus"] == 0.0


@pytest.mark.parametrize("amount", [5e-324, 1e-60, 1e12, 1.7976931348623157e308])
@pytest.mark.parametrize("name", ["estimate_s", "checkpoint_s", "save_s", "deadline_s", "image_gb", "min_run_s"])
def test_a_job_with_any_sound_amount_is_accepted_and_done(program, name, amount):
    assert program.instance.submit(small_job("req-1", "red", gpus=1.0, **{name: amount})).status == "pending"
    program.end("req-1/0")
    assert program.instance.wait("req-1", 0).status == "done"


@pytest.mark.parametrize(
    "fields, words",
    [
        ({"team": "nobody"}, "unknown team"),
        ({"gpus": 0.5}, "gpus: must be a whole number"),
        ({"gpus": 5.0}, "does not fit any declared machine kind"),
        ({"gpus": 4.0, "tasks": 4, "shape": "gang"}, "the limit of team red is 12"),
        ({"tasks": 0}, "pieces"),
        ({"after": [After("afterok", "req-9")]}, "after: there is no job req-9"),
    ],
)
def test_a_job_that_can_never_run_is_refused_with_all_jobs_of_its_submission(program, fields, words):
    bad = small_job("req-1", **{"team": "red", **fields})
    with pytest.raises(Refused, match=words):
        program.instance.submit_many([small_job("req-2", "red"), bad])
    for ref in ("req-1", "req-2"):
        with pytest.raises(Refused, match="there is no job"):
            program.instance.status(ref)


def test_cancel_frees_capacity_only_when_the_program_reports_the_stop(program):
    instance = program.instance
    instance.submit(small_job("req-1", "red", gpus=4.0, shape="service"))
    instance.submit_many([small_job(f"req-{n}", "red", gpus=4.0) for n in (2, 3, 4)])
    assert len(program.running) == 3  # the team's limit
    assert instance.cancel("req-1").status == "withdrawn"
    (task,) = program.ending
    assert task.stopping and task.name == "req-1/0" and len(program.running) == 3
    program.clock.pass_s(1000)
    assert not instance.step() and len(program.running) == 3  # time frees nothing
    program.end("req-1/0", "stopped")
    assert len(program.running) == 3 and "req-4/0" in program.running
    program.end("req-2/0", "failed")
    assert program.running["req-2/0"].attempt == 2


def test_a_job_that_failed_on_every_machine_is_retried_and_no_own_machine_is_drained(tmp_path):
    """Regression: a job that had failed on each of two machines was never placed again; a faulty one was drained."""
    settings = Settings([KIND], [Card(f"host-{n}", KIND.name) for n in range(2)], TEAMS)
    program = Program(tmp_path, settings)
    program.instance.submit_many([small_job(f"req-{n}", "red", gpus=4.0, shape="service") for n in (1, 2)])
    for _ in range(2):
        for name in sorted(program.running):
            program.end(name, "failed")
        program.clock.pass_s(70)
        while program.instance.step():
            pass
    assert sorted(program.running) == ["req-1/0", "req-2/0"]
    assert {task.attempt for task in program.running.values()} == {3}
    assert not any(machine.drain_reason for machine in program.instance._engine.cluster.machines.values())
    program.instance.close()


@pytest.mark.parametrize(
    "name, arguments, words",
    [
        ("renderer", ["--jobs", "60", "--seconds", "0"], "60 of 60 tiles are rendered"),
        ("advice", ["--seconds", "0.5"], "of the replica time; "),
    ],
)
def test_the_examples_run(name, arguments, words):
    root = Path(__file__).parent.parent
    command = [sys.executable, str(root / "examples" / f"{name}.py"), *arguments]
    env = {**os.environ, "PYTHONPATH": str(root / "src")}
    assert words in subprocess.run(command, env=env, check=True, capture_output=True, text=True, timeout=60).stdout


def test_an_exception_in_on_start_is_a_failure_of_its_task(tmp_path, caplog):
    calls = []

    def on_start(task):
        calls.append(task)
        if len(calls) == 1:
            raise ValueError("a bug of the program")

    with Instance(str(tmp_path), SETTINGS, on_start, drive="step", clock=FakeClock()) as instance:
        instance.submit(small_job("req-1", "red"))
    assert [task.attempt for task in calls] == [1, 2] and calls[0].machine != calls[1].machine
    assert "a bug of the program" in caplog.text


def test_tasks_that_ran_when_the_program_ended_restart_as_new_attempts(tmp_path):
    first = Program(tmp_path)
    first.instance.submit_many([small_job(f"req-{n}", "red", gpus=2.0) for n in range(8)])
    assert len(first.running) == 6
    first.end("req-0/0")
    first.instance.cancel("req-1")
    first.instance.hold("req-7", "anna")
    first.instance.close()
    with pytest.raises(Closed):
        first.instance.submit(small_job("req-9", "red"))
    second = Program(tmp_path)
    second.instance.step()
    status = {n: second.instance.status(f"req-{n}").status for n in range(8)}
    assert status == {0: "done", 1: "withdrawn", 7: "pending", **dict.fromkeys((2, 3, 4, 5, 6), "running")}
    assert second.running["req-2/0"].attempt == 2 and second.running["req-6/0"].attempt == 2
    assert second.instance.status("req-7").held == "anna"
    second.instance.close()


def test_jobs_submitted_by_several_threads_all_complete_once(tmp_path):
    done, lock = [], threading.Lock()

    def on_start(task):
        with lock:
            done.append(task.name)
        task.done()

    with Instance(str(tmp_path), SETTINGS, on_start) as instance:

        def work(number):
            refs = [f"req-{number}{n:03d}" for n in range(1, 21)]
            for ref in refs:
                instance.submit(small_job(ref, "red" if number % 2 else "blue", gpus=1.0))
            assert all(instance.wait(ref, 30).status == "done" for ref in refs)

        threads = [threading.Thread(target=work, args=(number,)) for number in range(1, 5)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert len(done) == len(set(done)) == 80


def test_a_repeated_submission_does_not_wait_for_unrelated_queued_records(tmp_path):
    """Regression: records without effects wait for the next write; a repeated submission waited for them forever."""
    with Instance(str(tmp_path), SETTINGS, lambda task: None) as instance:
        spec = small_job("req-1", "red")
        instance.submit(spec)
        with instance._lock:
            instance._state.journal.append([("t/ratios", {})])
            repeat = threading.Thread(target=instance.submit, args=[spec], daemon=True)
            repeat.start()
        repeat.join(20)
        assert not repeat.is_alive()


def test_status_persists_a_queued_change_before_returning_it(program):
    """Regression: `status` returned another thread's cancellation before it was on the disk."""
    instance = program.instance
    instance.submit(small_job("req-1", "red"))
    with instance._lock:
        value = instance._state.record_of("req-1")
        instance._write("req-1", {**value, "st": "cancelled"})
    assert instance._synced_revision < instance._awaited_revision
    assert instance.status("req-1").status == "withdrawn" and instance._synced_revision >= instance._awaited_revision


def test_instances_may_share_a_process_but_not_a_directory(tmp_path):
    one, two = Program(tmp_path / "one"), Program(tmp_path / "two")
    with pytest.raises(Locked):
        Program(tmp_path / "one")
    for each in (one, two):
        each.instance.submit(small_job("req-1", "red"))
        assert list(each.running) == ["req-1/0"]
        each.instance.close()


def test_a_forked_child_cannot_use_its_parents_instance_and_does_not_hold_the_lock(tmp_path):
    program = Program(tmp_path)
    program.instance.submit(small_job("req-1", "red"))
    read, write = os.pipe()
    child = os.fork()
    if not child:
        outcomes = []
        for call in (lambda: program.instance.submit(small_job("req-2", "red")), program.running["req-1/0"].done):
            try:
                call()
                outcomes.append("done")
            except Forked:
                outcomes.append("forked")
        program.instance.close()
        os.write(write, " ".join(outcomes).encode())
        os._exit(0)
    assert os.read(read, 100) == b"forked forked"
    os.waitpid(child, 0)
    program.end("req-1/0")
    assert program.instance.status("req-1").status == "done"
    holder = os.fork()  # outlives the parent's instance
    if not holder:
        os.read(read, 1)
        os._exit(0)
    program.instance.close()
    Program(tmp_path).instance.close()
    os.write(write, b"x")
    os.waitpid(holder, 0)


def test_importing_starts_no_thread_and_loads_no_server():
    probe = "import sys, threading, tideusher.embed as e; print(threading.active_count(), *sorted(sys.modules))"
    path = os.path.join(os.path.dirname(__file__), "..", "src")
    env = {**os.environ, "PYTHONPATH": path}
    found = subprocess.run([sys.executable, "-c", probe], env=env, check=True, capture_output=True, text=True)
    threads, *modules = found.stdout.split()
    assert threads == "1"
    for name in ("gevent", "click", "prometheus_client", "http", "tideusher.actors", "tideusher.web"):
        assert name not in modules, name


def test_errors_of_invalid_settings_name_the_setting(tmp_path):
    path = tmp_path / "own.toml"
    good = 'kinds = [{ name = "k", cpus = 4.0 }]\nmachines = [{ machine = "m", kind = "k" }]\n'
    good += 'teams = [{ name = "red" }]\n'
    path.write_text(good)
    assert load_settings(str(path)).machines[0].zone == "here"
    for old, new, words in (
        ('kind = "k"', 'kind = "x"', "machine m: unknown machine kind 'x'"),
        ("cpus = 4.0", 'cpus = "many"', r"kinds\[0\].cpus"),
        ("teams", "temas", "temas"),
        ("4.0", "-1.0", "kind k: negative amount"),
        ("kinds =", "kinds", "own.toml: "),
    ):
        path.write_text(good.replace(old, new))
        with pytest.raises(ConfigError, match=words):
            load_settings(str(path))
    with pytest.raises(ConfigError, match="declared twice"):
        Settings([KIND], [Card("m", KIND.name)] * 2, TEAMS).check()


# Restarts


def run_until_fault(directory, rng, history, disk, names):
    """Runs a host program until the disk's next fault; raises Crash or StorageError."""
    tasks = {}

    def on_start(task):
        cards = task.cards
        history.start(task.job.id, task.index, task.attempt, task.machine, cards, int(task.job.gpus))
        tasks[task.name] = task

    clock = FakeClock()
    instance = Instance(str(directory), SETTINGS, on_start, drive="step", clock=clock, disk=disk, snapshot_bytes=2000)
    try:
        known = {}
        for name in sorted(history.accepted):
            known[name] = instance.status(name).status
        history.reopened(known.get)
        for _ in range(40):
            clock.pass_s(0.3)
            choice = rng.random()
            if choice < 0.5:
                specs = []
                for _ in range(rng.randrange(1, 4)):
                    shape, count = rng.choice([("batch", 3), ("gang", 2), ("batch", 1)])
                    team, gpus = rng.choice(["red", "blue"]), float(rng.randrange(3))
                    specs.append(small_job(f"req-{next(names)}", team, tasks=count, shape=shape, gpus=gpus))
                for answer in instance.submit_many(specs):
                    history.accept(answer.id)
            elif choice < 0.6 and history.accepted:
                name = rng.choice(sorted(history.accepted))
                status = instance.cancel(name).status
                history.end(name, status)
            for name in sorted(tasks):
                if tasks[name].stopping or rng.random() < 0.5:
                    task = tasks.pop(name)
                    history.stop(task.job.id, task.index)
                    task.stopped() if task.stopping else task.done() if rng.random() < 0.9 else task.failed()
            while instance.step():
                pass
            for name in sorted(history.accepted - set(history.final)):
                status = instance.status(name).status
                if status in ("done", "withdrawn"):
                    history.end(name, status)
    finally:
        history.crash()
        instance.close()


@pytest.mark.parametrize("seed", range(4))
def test_through_many_restarts_no_job_is_lost_and_no_gpu_is_used_twice(tmp_path, seed):
    """The program crashes, or its disk fails, at seeded calls: during and between writes and snapshots."""
    rng, history, names = random.Random(seed), History({f"host-{n}": 4 for n in range(4)}), iter(range(1, 10**9))
    for _ in range(25):
        error = rng.choice([None, None, 28, 5])
        disk = FaultyDisk(rng.randrange(1, 120), error, rng.random())
        try:
            run_until_fault(tmp_path, rng, history, disk, names)
        except (Crash, StorageError):
            history.crash()
    assert history.starts > 100 and history.crashes >= 25 and len(history.final) > 30


def test_the_history_checker_detects_each_injected_violation():
    def check(*events):
        history = History({"m": 4})
        history.accept("req-1")
        for name, *args in events:
            getattr(history, name)(*args)

    start = ("start", "req-1", 0, 1, "m", (0,), 1)
    check(start, ("stop", "req-1", 0), ("start", "req-1", 0, 2, "m", (0,), 1), ("end", "req-1", "done"))
    for words, events in (
        ("runs twice", [start, ("start", "req-1", 0, 2, "m", (1,), 1)]),
        ("twice as attempt 1", [start, ("crash",), start]),
        ("shares GPUs of m", [start, ("start", "req-2", 0, 1, "m", (0,), 1)]),
        ("requested 2", [("start", "req-1", 0, 1, "m", (0,), 2)]),
        ("has GPUs", [("start", "req-1", 0, 1, "m", (4,), 1)]),
        ("started although it is done", [("end", "req-1", "done"), start]),
        ("changed from done to withdrawn", [("end", "req-1", "done"), ("end", "req-1", "withdrawn")]),
        ("is lost", [("reopened", {}.get)]),
        ("changed from done to pending", [("end", "req-1", "done"), ("reopened", {"req-1": "pending"}.get)]),
    ):
        with pytest.raises(BadHistory, match=words):
            check(*events)


# The daemon


class Daemon:
    """A leader's engine on the simulated state service; workers report, and the program stops tasks at once."""

    def __init__(self):
        self.harness = LeaderHarness()
        settings = make_config()
        settings.settings = msgspec.structs.replace(settings.settings, teams=TEAMS)
        state, clock = self.harness.state, self.harness.clock
        self.engine = Engine(
            settings, Policy(), state.elect("n0"), clock.us, clock.wall_us, Metrics(), state.record_of, state.items
        )
        self.cluster = self.harness.cluster = self.engine.cluster
        self.cluster.set_types([msgspec.structs.replace(TYPE, zones=[])])  # no type can be rented
        self.gathered_us, self.tasks = clock.us, {}
        self.serial = dict.fromkeys((card.machine for card in SETTINGS.machines), 0)
        self.zones = {card.machine: card.zone for card in SETTINGS.machines}
        self.report()
        self.cluster.rents_machines = False  # the fleet is fixed
        for machine in self.cluster.machines.values():
            machine.images["program"] = 0.0

    def report(self):
        commanded = False
        for name in self.serial:
            self.serial[name] += 1
            listed = [(task, *state) for (host, task), state in sorted(self.tasks.items()) if host == name]
            commanded = (
                self.execute(name, self.harness.report(name, self.serial[name], *listed, zone=self.zones[name]))
                or commanded
            )
        return commanded

    def execute(self, name, commands):
        """Executes commands; returns whether there was a task to start or stop."""
        commanded = False
        for command in commands:
            key = (name, command.task)
            if command.op == "run":
                self.tasks[key] = (command.attempt, "running", None)
            elif command.op == "forget":
                self.tasks.pop(key, None)
            elif key in self.tasks and self.tasks[key][1] == "running":
                self.tasks[key] = (command.attempt, "flushing", None)
                commanded = True
            commanded = commanded or command.op == "run"
        return commanded

    def round(self, specs, ended, cancelled):
        if self.harness.clock.us - self.gathered_us >= 5 * SECOND_US:
            self.gathered_us = self.harness.clock.us
            self.cluster.charge_usage(self.gathered_us)
        for key, state in list(self.tasks.items()):
            if key[1] in ended:
                self.tasks[key] = (state[0], "exited", "done")
        self.settle()
        for name in sorted(cancelled):
            self.harness.state.cancel(name)
            self.settle()
        for spec in specs:
            self.harness.state.submit(spec, self.harness.clock.wall_us())
        self.settle()

    def settle(self):
        self.harness.see_jobs()
        saving = True
        while saving:
            busy = True
            while busy:
                busy = self.report()
                more = self.engine.tick(self.harness.clock.us)
                while more:
                    more = self.engine.continue_pass()
                self.harness.commit()
                busy = busy or self.cluster.dirty or bool(self.engine.orders().direct)
                busy = busy or any(task.sent is None for task in self.placed())
            saving = [key for key, state in self.tasks.items() if state[1] == "flushing"]
            for key in saving:
                self.tasks[key] = (self.tasks[key][0], "exited", "stopped")

    def placed(self):
        return [task for machine in self.cluster.machines.values() for task in machine.tasks.values()]

    def running(self):
        return {task: (host, state[0]) for (host, task), state in self.tasks.items() if state[1] == "running"}


def compare(directory, seed, rounds):
    """Gives an instance and a daemon the same jobs; returns the numbers of jobs and of placements compared.

    Raises AssertionError at the first difference.
    """
    rng, daemon = random.Random(seed), Daemon()
    program = Program(directory)
    program.clock.us = daemon.harness.clock.us
    placed = jobs = 0
    for number in range(rounds):
        specs = []
        for part in range(rng.randrange(4)):
            shape, tasks = rng.choice([("batch", 1), ("batch", 5), ("gang", 2), ("service", 2)])
            specs.append(
                small_job(
                    f"req-{number * 10 + part}",
                    rng.choice(["red", "blue"]),
                    tasks=tasks,
                    shape=shape,
                    gpus=float(rng.choice([1, 1, 2])),
                    cpus=2.0,
                    priority=rng.choice(["standard", "urgent", "best_effort"]),
                    one_zone=shape == "gang",
                    estimate_s=5.0,
                )
            )
        running = sorted(daemon.running())
        ended = {name for name in running if rng.random() < 0.3}
        gangs = {name.partition("/")[0] for name in ended}
        ended = {name for name in running if name in ended or name.partition("/")[0] in gangs}  # gangs end as units
        services = {name for name in gangs if daemon.cluster.jobs[name].is_service}
        ended -= {name for name in ended if name.partition("/")[0] in services}
        for clock in (daemon.harness.clock, program.clock):
            clock.pass_s(0.3)
        daemon.round(specs, ended, services)
        program.round(specs, ended, services)
        embedded = {name: (task.machine, task.attempt) for name, task in program.running.items()}
        assert embedded == daemon.running(), number
        placed, jobs = placed + len(embedded), jobs + len(specs)
    program.instance.close()
    return jobs, placed


@pytest.mark.parametrize("seed", range(8))
def test_placements_equal_those_of_the_daemon(tmp_path, seed):
    """At 5,000 jobs: `compare(directory, 1, 3500)`, outside CI."""
    jobs, placed = compare(tmp_path, seed, 60)
    assert jobs > 60 and placed > 300


def test_new_refs_are_unique():
    assert len({new_ref() for _ in range(100)}) == 100
