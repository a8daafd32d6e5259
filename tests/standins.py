"""Test harnesses: a clock, leaders on stand-ins, seeded faults, and the users' rules checked on the ground truth."""

import random
from typing import Any

from tideusher.clock import SECOND_US
from tideusher.config import (
    CloudSettings,
    Config,
    DeploymentSettings,
    Endpoints,
    Objective,
    Policy,
    StateSettings,
    Team,
    WorkerSettings,
)
from tideusher.core.lead.cluster import Cluster
from tideusher.core.lead.engine import Engine
from tideusher.core.lead.reports import Reports
from tideusher.core.lead.scheduler import Scheduler
from tideusher.core.model import keys
from tideusher.core.model.records import JOB_DONE, OPEN
from tideusher.core.model.write_queue import Batch
from tideusher.metrics import Metrics
from tideusher.playground.standins import TYPE, OnMachine, StateStandIn, WorkerStandIn
from tideusher.wire.jobs import JobSpec
from tideusher.wire.workers import Commands, Report, TaskReport


class FakeClock:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.us = 1_000 * SECOND_US

    def now_us(self) -> int:
        return self.us

    def wall_us(self) -> int:
        return self.us

    def pass_s(self, seconds: float) -> None:
        self.us += round(seconds * SECOND_US)


def make_config(**settings: Any) -> Config:
    site = DeploymentSettings(
        size=3,
        zones=["a", "b"],
        workers=WorkerSettings(1.0, 6.0, 20.0, 3.0, 20.0),
        state=StateSettings(100.0, 50.0, 4.0, 8),
        cloud=CloudSettings(5.0, 2.0),
        teams=[Team("red", gpus=8.0, gpus_max=12.0), Team("blue", gpus=8.0, gpus_max=12.0), Team("poor")],
        objectives=[Objective("wait", "web", 2.0, 0.9)],
    )
    for name, value in settings.items():
        setattr(site, name, value)
    return Config("n0", "a", "127.0.0.1:1", "127.0.0.1:2", Endpoints("127.0.0.1:3", "127.0.0.1:4"), site)


_ids = iter(range(1, 1_000_000))


def job(shape: str = "batch", tasks: int = 1, **fields: Any) -> JobSpec:
    values: dict[str, Any] = {
        "id": f"req-{next(_ids):06d}",
        "job_class": "fit",
        "team": "red",
        "shape": shape,
        "priority": "standard",
        "tasks": tasks,
        "cpus": 4.0,
        "gpus": 1.0,
        "ram_gb": 8.0,
        "image": "img-1",
        "image_gb": 2.0,
        "one_zone": False,
        "spread": False,
        "spot": False,
        "estimate_s": 20.0,
        "checkpoint_s": 0.0,
        "save_s": 0.0,
    }
    return JobSpec(**{**values, **fields})


class Rules:
    """Checks the users' rules on the ground truth."""

    def __init__(self, config: Config, specs: dict[str, JobSpec]) -> None:
        self.config, self.specs = config, specs
        self.cancelled_us: dict[str, int] = {}
        self.done_tasks: dict[str, set[int]] = {}
        self.final: dict[str, str] = {}

    def check(self, workers: list[WorkerStandIn], began: list[tuple[WorkerStandIn, OnMachine]], now_us: int) -> None:
        present: dict[tuple[str, int], int] = {}
        usage: dict[str, float] = {}
        zones: dict[str, list[str]] = {}
        for worker in workers:
            for task in worker.on_machine():
                key = (task.job, task.index)
                present[key] = present.get(key, 0) + 1
                usage[self.specs[task.job].team] = usage.get(self.specs[task.job].team, 0) + self.specs[task.job].gpus
                zones.setdefault(task.job, []).append(worker.zone)
                late_us = now_us - self.cancelled_us.get(task.job, now_us)
                assert late_us <= self.config.settings.workers.cancel_s * SECOND_US, f"ran_cancelled {task}"
        doubles = [key for key, count in present.items() if count > 1]
        assert not doubles, f"ran_twice {doubles}"
        for team in self.config.settings.teams:
            assert not team.gpus_max or usage.get(team.name, 0) <= team.gpus_max, f"quota {team.name} {usage}"
        for worker, task in began:
            spec = self.specs[task.job]
            assert spec.spot or not worker.spot, f"wrong_place (spot) {task}"
            assert spec.zone in (None, worker.zone), f"wrong_place (zone) {task}"
            here = zones.get(task.job, [])
            if spec.one_zone:
                assert len(set(here)) <= 1, f"wrong_place (one_zone) {task} {here}"
            if spec.spread:
                limit = -(-spec.tasks // 2)
                assert all(here.count(zone) <= limit for zone in set(here)), f"wrong_place (apart) {task} {here}"

    def check_starts(self, began: list[tuple[WorkerStandIn, OnMachine]]) -> None:
        """Checks that nothing began of a job whose user had been told of its cancellation.

        A start by the answer to a report that was sent before the user was told is allowed.
        """
        for worker, task in began:
            told_us = self.cancelled_us.get(task.job)
            if told_us is not None:
                assert task.asked_us <= told_us, f"started_cancelled {task} on {worker.name}, told at {told_us}"

    def check_state(self, state: StateStandIn) -> None:
        for key, (value, _) in state.items.items():
            if not key.startswith(keys.JOB_PREFIX):
                continue
            job_id, status = key[len(keys.JOB_PREFIX) :], value["st"]
            if job_id in self.final:
                assert status == self.final[job_id], f"went_back {job_id}: {self.final[job_id]} -> {status}"
            if status == JOB_DONE:
                assert len(self.done_tasks.get(job_id, ())) == self.specs[job_id].tasks, f"not_done {job_id}"
            if status != OPEN:
                self.final[job_id] = status


class Harness:
    """Leaders, state service, workers and cloud under seeded random faults, one second per step."""

    def __init__(self, seed: int, faults: float = 0.1, policy: Policy | None = None, shared: bool = False) -> None:
        self.rng, self.shared = random.Random(seed), shared
        self.faults = faults
        self.clock = FakeClock()
        self.config = make_config()
        self.policy = policy or Policy()
        self.state = StateStandIn()
        self.specs: dict[str, JobSpec] = {}
        self.rules = Rules(self.config, self.specs)
        self.workers: dict[str, WorkerStandIn] = {}
        self.booting: list[tuple[int, WorkerStandIn]] = []
        self.rented: dict[str, list[str]] = {}
        self.names = iter(range(1, 100_000))
        self.late_txns: list[tuple[int, Batch]] = []
        self.late_reports: list[tuple[int, Report]] = []
        self.pending_batch: dict[int, tuple[Batch, bool]] = {}
        self.leaders: list[Cluster] = []
        self.new_leader()

    def chance(self) -> bool:
        return self.rng.random() < self.faults

    def new_leader(self) -> Cluster:
        """Elects another node, which loads the records; the old leader does not know yet and continues."""
        token = self.state.elect(f"n{len(self.leaders)}")
        cluster = Cluster(
            self.config,
            self.policy,
            token,
            self.clock.now_us(),
            self.clock.wall_us,
            record_of=self.state.record_of,
            value_of=self.state.value_of,
        )
        cluster.load(self.state.items, self.clock.now_us())
        cluster.share_records(self.shared)
        cluster.set_types([TYPE])
        self.leaders.append(cluster)
        self.scheduler = Scheduler(cluster, self.clock.now_us())
        return cluster

    def submit(self, spec: JobSpec) -> JobSpec:
        self.specs[spec.id] = spec
        self.state.submit(spec, self.clock.wall_us())
        return spec

    def cancel(self, spec: JobSpec) -> None:
        if self.state.cancel(spec.id):
            self.rules.cancelled_us[spec.id] = self.clock.now_us()

    # one step

    def step(self) -> None:
        self.clock.pass_s(1.0)
        now = self.clock.now_us()
        for due, batch in [x for x in self.late_txns if x[0] <= now]:
            self.late_txns.remove((due, batch))
            self.state.txn(batch.guards, batch.writes)
        for number, cluster in enumerate(self.leaders[-2:]):
            current = cluster is self.leaders[-1]
            if not current and self.rng.random() < 0.3:
                continue
            self._lead(cluster, current, now, number)
        self._cloud(now)
        self._report(now)
        began = []
        for worker in self.workers.values():
            for task in worker.pass_time(now, 1.0, self._gang_ready):
                if task.state != "exited":
                    began.append((worker, task))
            for done in worker.tasks.values():
                if done.state == "exited" and done.cause == "done":
                    # A gang completes as one: if one task is done, all are.
                    spec = self.specs[done.job]
                    indexes = range(spec.tasks) if spec.shape == "gang" else (done.index,)
                    self.rules.done_tasks.setdefault(done.job, set()).update(indexes)
        self.rules.check(list(self.workers.values()), began, now)
        self.rules.check_state(self.state)

    def _lead(self, cluster: Cluster, current: bool, now: int, number: int) -> None:
        if current:
            for key, (value, stamp) in self.state.items.items():
                if key.startswith(keys.JOB_PREFIX):
                    cluster.job_changed(key[len(keys.JOB_PREFIX) :], value, stamp, now)
            self.scheduler.schedule(now)
            for machine in cluster.health.suspects(now):
                worker = self.workers.get(machine.name)
                if worker is None or worker.dead:
                    cluster.request_return(machine, "silent")
        for _ in range(4):
            batch = cluster.write_queue.next_batch(8)
            if batch is None:
                break
            self._commit(cluster, batch, now)

    def _commit(self, cluster: Cluster, batch: Batch, now: int) -> None:
        kind = self.rng.random() / max(self.faults, 1e-9)
        if kind < 0.3:  # lost in transit, or timed out and applied later
            if kind < 0.2:
                self.late_txns.append((now + self.rng.randrange(1, 30) * SECOND_US, batch))
            cluster.write_queue.batch_failed(self.state.stamp_of)
            return
        revision = self.state.txn(batch.guards, batch.writes)
        if revision is None or kind < 0.6:  # refused, or applied and its answer lost
            for key, (value, stamp) in self.state.items.items():
                if key.startswith(keys.JOB_PREFIX):
                    cluster.job_changed(key[len(keys.JOB_PREFIX) :], value, stamp, now)
            if self.state.stamp_of(keys.LEADER) == cluster.token:
                cluster.write_queue.batch_failed(self.state.stamp_of, unknown=revision is not None)
            return
        cluster.write_queue.batch_committed(revision)

    def _cloud(self, now: int) -> None:
        for cluster in self.leaders[-2:]:
            for rental in cluster.to_rent:
                if rental.name not in self.rented:
                    names = [f"host-{next(self.names):06d}" for _ in range(min(rental.count, 4))]
                    self.rented[rental.name] = names
                    for name in names:
                        worker = WorkerStandIn(name, rental.zone, rental.spot, self.specs, answered_us=now)
                        self.booting.append((now + self.rng.randrange(1, 9) * SECOND_US, worker))
                cluster.renting.rented(rental, self.rented[rental.name], now)
            cluster.to_rent.clear()
            gone, cluster.to_return = cluster.to_return, []
            for machine in gone:
                worker = self.workers.pop(machine.name, None)
                if worker is not None:
                    worker.dead = True
                self.booting = [(at, w) for at, w in self.booting if w.name != machine.name]
            cluster.returned([machine.name for machine in gone], now)
        for due, worker in [x for x in self.booting if x[0] <= now]:
            self.booting.remove((due, worker))
            worker.answered_us = now
            self.workers[worker.name] = worker

    def _report(self, now: int) -> None:
        for due, report in [x for x in self.late_reports if x[0] <= now]:
            self.late_reports.remove((due, report))
            Reports(self.rng.choice(self.leaders[-2:])).answer(report, now)
        for worker in list(self.workers.values()):
            if worker.dead or self.chance():
                continue
            report = worker.report()
            if self.chance():
                self.late_reports.append((now + self.rng.randrange(1, 40) * SECOND_US, report))
                continue
            asked = self.leaders[-1] if self.rng.random() < 0.8 else self.rng.choice(self.leaders[-2:])
            if report.token > asked.token:
                continue
            commands = Commands(asked.token, Reports(asked).answer(report, now))
            if not self.chance():  # else the answer is lost
                worker.answer(commands, now, report.session)
            asked.direct.clear()

    def _gang_ready(self, task: OnMachine) -> bool:
        ready = {
            t.index
            for worker in self.workers.values()
            for t in worker.on_machine()
            if t.job == task.job and t.attempt == task.attempt
        }
        return len(ready) == self.specs[task.job].tasks


class LeaderHarness:
    """A leader on a state stand-in, driven by the test."""

    def __init__(self, config: Config | None = None, shared: bool = False) -> None:
        self.config, self.shared = config or make_config(), shared
        self.clock, self.state = FakeClock(), StateStandIn()
        self.cluster = self.elect()

    def elect(self) -> Cluster:
        token = self.state.elect("n0")
        cluster = Cluster(
            self.config,
            Policy(),
            token,
            self.clock.now_us(),
            self.clock.wall_us,
            record_of=self.state.record_of,
            value_of=self.state.value_of,
        )
        cluster.load(self.state.items, self.clock.now_us())
        cluster.share_records(self.shared)
        cluster.set_types([TYPE])
        self.cluster, self.scheduler = cluster, Scheduler(cluster, self.clock.now_us())
        return cluster

    def engine(self) -> Engine:
        """Returns an engine as a leader under the same token would run it."""
        items = self.state.items
        token, clock = self.cluster.token, self.clock
        return Engine(
            make_config(), Policy(), token, clock.now_us(), clock.wall_us, Metrics(), self.state.record_of, items
        )

    def see_jobs(self) -> None:
        for key, (value, stamp) in self.state.items.items():
            if key.startswith(keys.JOB_PREFIX):
                self.cluster.job_changed(key[len(keys.JOB_PREFIX) :], value, stamp, self.clock.now_us())

    def submit(self, spec):
        self.state.submit(spec, self.clock.wall_us())
        self.see_jobs()
        return self.cluster.jobs[spec.id]

    def commit(self) -> None:
        """Writes until nothing waits, as the leader's actor does, conflicts included."""
        for _ in range(500):
            batch = self.cluster.write_queue.next_batch(8)
            if batch is None:
                return
            revision = self.state.txn(batch.guards, batch.writes)
            if revision is not None:
                self.cluster.write_queue.batch_committed(revision)
                continue
            if self.state.stamp_of(keys.LEADER) != self.cluster.token:
                return
            self.see_jobs()
            self.cluster.write_queue.batch_failed(self.state.stamp_of, unknown=False)
        raise AssertionError("the leader writes without end")

    def report(self, machine: str, serial: int, *tasks, session=1, token=None, zone="a", spot=False):
        items = [TaskReport(name, attempt, state, cause) for name, attempt, state, cause in tasks]
        token = self.cluster.token if token is None else token
        report = Report(machine, "127.0.0.1:9", "m4", zone, spot, session, serial, token, None, items)
        return Reports(self.cluster).answer(report, self.clock.now_us())

    def place(self, spec, *hosts):
        """Submits, brings machines up (host-1 if none is named), assigns and persists; returns the job."""
        placed = self.submit(spec)
        for name in hosts or ("host-1",):
            self.report(name, 1)
        self.commit()
        self.scheduler.schedule(self.clock.now_us())
        self.commit()
        return placed
