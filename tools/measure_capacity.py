"""Measures the cost of a leader's work by fleet size: `python tools/measure_capacity.py --machines 628`.

Everything runs on the tests' stand-ins in one process, `core` alone: the times are this machine's. Prints one line
per figure: a time per start, end or report, or the longest step that blocks the event loop.
"""

import gc
import resource
import time
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec

from standins import TYPE, LeaderHarness, job, make_config
from tideusher.config import CloudSettings, StateSettings, Team
from tideusher.core.lead.reports import Reports
from tideusher.core.model import keys
from tideusher.core.model.cluster_state import ClusterState
from tideusher.core.model.records import UP, Machine
from tideusher.core.model.rentals import Rental
from tideusher.wire.workers import Report, TaskReport

TASKS_PER_JOB = 4
ZONES = ("a", "b")
#: The limits of the largest current deployment. Its request rates do not matter here: nothing waits for them.
VALUE_KB, TXN_OPS = 8.0, 12


@dataclass
class Fleet:
    """A leader, machines that are up, and the jobs that fill them."""

    harness: LeaderHarness
    names: list[str]
    jobs: list[str]


def make_fleet(machines: int, teams: int, shared: bool) -> Fleet:
    """Returns a fleet whose machines are up and have reported; no job is submitted yet."""
    limit = float(4 * machines)
    config = make_config(
        teams=[Team(f"t{number}", gpus=limit / teams, gpus_max=limit) for number in range(teams)],
        state=StateSettings(500.0, 90.0, VALUE_KB, TXN_OPS),
        cloud=CloudSettings(5.0, 2.0),
    )
    harness = LeaderHarness(config, shared)
    harness.state.value_bytes = int(VALUE_KB * 1024)
    names = [f"host-{number:06d}" for number in range(machines)]
    for first in range(0, machines, 50):
        rental = Rental(f"r{first}", TYPE.name, ZONES[0], False, 50, True, names[first : first + 50])
        harness.cluster.rentals[rental.name] = rental
        for number, name in enumerate(rental.machines):
            zone = ZONES[(first + number) % 2]
            machine = Machine(name, TYPE.name, zone, False, rental.name, TYPE.cpus, TYPE.gpus, TYPE.ram_gb, 0)
            machine.phase, machine.last_contact_us, machine.last_report_us, machine.session, machine.serial = (
                UP,
                *[harness.clock.now_us()] * 2,
                1,
                1,
            )
            harness.cluster.machines[name] = machine
    harness.commit()
    return Fleet(harness, names, [])


def submit(fleet: Fleet, count: int, teams: int) -> None:
    """Submit `count` jobs of four tasks with one GPU each; a job per machine fills the fleet."""
    for number in range(count):
        spec = job(tasks=TASKS_PER_JOB, team=f"t{number % teams}", cpus=1.0, ram_gb=1.0)
        fleet.harness.state.submit(spec, fleet.harness.clock.wall_us())
        fleet.jobs.append(spec.id)
    fleet.harness.see_jobs()


def write_all(harness: LeaderHarness) -> tuple[float, int, int]:
    """Write all queued records; returns seconds spent in the queue itself, transactions, and writes."""
    queue, spent_s, transactions, writes = harness.cluster.write_queue, 0.0, 0, 0
    while True:
        started_s = time.perf_counter()
        batch = queue.next_batch(TXN_OPS)
        spent_s += time.perf_counter() - started_s
        if batch is None:
            return spent_s, transactions, writes
        transactions, writes = transactions + 1, writes + len(batch.writes)
        revision = harness.state.txn(batch.guards, batch.writes)
        assert revision is not None
        started_s = time.perf_counter()
        queue.batch_committed(revision)
        spent_s += time.perf_counter() - started_s


def place_all(fleet: Fleet) -> tuple[float, float, int]:
    """Run passes until no job waits or a pass starts nothing.

    Returns the seconds in all, those of the longest step, and the number of starts.
    """
    harness, total_s, longest_s = fleet.harness, 0.0, 0.0
    while any(job_state.waits for job_state in harness.cluster.jobs.values()):
        steps, starts_before = harness.scheduler.pass_steps(harness.clock.now_us()), starts(harness)
        while True:
            started_s = time.perf_counter()
            result = next(steps, "end")
            took_s = time.perf_counter() - started_s
            total_s, longest_s = total_s + took_s, max(longest_s, took_s)
            if result == "end":
                break
        if starts(harness) == starts_before:
            break
    return total_s, longest_s, starts(harness)


def starts(harness: LeaderHarness) -> int:
    """Returns the number of tasks that are placed on a machine."""
    return sum(len(job_state.live) for job_state in harness.cluster.jobs.values())


def report_all(fleet: Fleet, serial: int, state: str, cause: str | None = None) -> tuple[float, int]:
    """Handle a report of each machine with all its tasks in this state; returns seconds and number of reports."""
    harness, handler = fleet.harness, Reports(fleet.harness.cluster)
    reports = []
    for machine in list(harness.cluster.machines.values()):
        items = [TaskReport(task.name, task.attempt, state, cause) for task in machine.tasks.values()]
        token = harness.cluster.token
        reports.append(
            Report(machine.name, "127.0.0.1:9", TYPE.name, machine.zone, False, 1, serial, token, None, items)
        )
    started_s = time.perf_counter()
    for report in reports:
        handler.answer(report, harness.clock.now_us())
    return time.perf_counter() - started_s, len(reports)


def resident_mb() -> float:
    """Returns the resident memory of this process in MB."""
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def takeover(fleet: Fleet) -> float:
    """Returns the seconds that a new leader takes to build the cluster state from all records."""
    harness = fleet.harness
    cluster_state = ClusterState(
        harness.config, harness.cluster.policy, harness.clock.now_us(), harness.clock.wall_us, harness.state.record_of
    )
    started_s = time.perf_counter()
    cluster_state.build(harness.state.items, harness.clock.now_us())
    return time.perf_counter() - started_s


@click.command()
@click.option("--machines", default=628, show_default=True, help="Machines, and jobs of four tasks.")
@click.option("--teams", default=230, show_default=True)
@click.option("--shared/--own", default=True, show_default=True, help="Whether the jobs' records share pages.")
def main(machines: int, teams: int, shared: bool) -> None:
    """Measure one fleet size; run each size in a process of its own."""
    before_mb = resident_mb()
    fleet = make_fleet(machines, teams, shared)
    submit(fleet, machines, teams)
    pass_s, longest_s, count = place_all(fleet)
    start_s, start_txns, start_writes = write_all(fleet.harness)
    report_s, reports = report_all(fleet, 2, "running")
    state_mb = sum(len(msgspec.json.encode(value)) for value, _ in fleet.harness.state.items.values()) / 1e6
    held_mb, build_s = resident_mb() - before_mb, takeover(fleet)
    end_report_s, _ = report_all(fleet, 3, "exited", "done")
    end_s, end_txns, end_writes = write_all(fleet.harness)
    done = sum(fleet.harness.state.record_of(job_id)["st"] == "done" for job_id in fleet.jobs)
    left = sum(key.startswith((keys.CHUNK_PREFIX, keys.PAGE_PREFIX)) for key in fleet.harness.state.items)

    def each_us(seconds: float, events: int) -> str:
        return f"{seconds / max(1, events) * 1e6:.1f} us"

    print(f"{machines} machines, {len(fleet.jobs)} jobs, {count} starts, {teams} teams")
    print(f"  pass: {each_us(pass_s, count)} a start, longest step {longest_s * 1000:.1f} ms")
    print(f"  records of starts: {each_us(start_s, count)} a start, {start_txns} transactions, {start_writes} writes")
    print(f"  records of ends: {each_us(end_s, count)} an end, {end_txns} transactions, {end_writes} writes")
    print(f"  reports: {each_us(report_s, reports)} each, {each_us(end_report_s, reports)} with all tasks done")
    print(f"  memory: {held_mb:.0f} MB for leader and records, the records are {state_mb:.2f} MB of JSON")
    print(f"  takeover: cluster state built from all records in {build_s * 1000:.0f} ms")
    print(f"  {done} jobs done, {left} records of tasks left")


if __name__ == "__main__":
    main()
