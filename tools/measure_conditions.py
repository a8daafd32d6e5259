"""Measures the cost of PBS scripts and of conditions on jobs: `python tools/measure_conditions.py --part PART`.

Prints one line per figure. Everything runs on the tests' stand-ins in one process. The times are this machine's, so
compare ratios: each figure is printed next to the same figure without conditions.
"""

import gc
import resource
import time
from datetime import UTC, datetime
from pathlib import Path

import click
import msgspec

from standins import TYPE, LeaderHarness, job
from tideusher.config import load_settings
from tideusher.core.model import keys
from tideusher.core.model.job_record import open_value
from tideusher.core.model.records import UP, Machine
from tideusher.core.model.rentals import Rental
from tideusher.pbs import read_script, translate
from tideusher.pbs.storage import pack
from tideusher.wire.jobs import After

SAMPLES = Path(__file__).parent.parent / "samples" / "pbs"
MACHINES = 50


def translations(seconds: float = 2.0) -> None:
    """Translate all accepted samples repeatedly for `seconds` each, without and with packing, and print the rates."""
    profile = load_settings(str(SAMPLES / "profile.properties")).profile
    assert profile is not None
    texts = [p.read_bytes() for p in SAMPLES.glob("*.pbs") if p.with_suffix(".json").exists()]
    now = datetime(2027, 1, 2, tzinfo=UTC)
    for work in ("read and translated", "packed as well"):
        count, started_s = 0, time.perf_counter()
        while time.perf_counter() - started_s < seconds:
            for text in texts:
                translated = translate(read_script(text), profile, "req-000412", now)
                if work != "read and translated":
                    pack(translated.run, text, 8192, 11)
                count += 1
        print(f"scripts {work}: {count / (time.perf_counter() - started_s):,.0f} per second ({len(texts)} samples)")


def pass_steps(harness: LeaderHarness) -> tuple[float, float]:
    """Run a complete pass; returns its time and that of its longest step, in ms."""
    longest = total = 0.0
    steps = harness.scheduler.pass_steps(harness.clock.now_us())
    while True:
        started_s = time.perf_counter()
        result = next(steps, "end")
        took_s = time.perf_counter() - started_s
        longest, total = max(longest, took_s), total + took_s
        if result == "end":
            return total * 1000, longest * 1000


def add_machines(harness: LeaderHarness) -> None:
    """Add machines that are up and have reported, so that released jobs find free capacity."""
    names = [f"host-{number:06d}" for number in range(MACHINES)]
    harness.cluster.rentals["r"] = Rental("r", TYPE.name, "a", False, MACHINES, True, names)
    for number, name in enumerate(names):
        machine = Machine(name, TYPE.name, "ab"[number % 2], False, "r", TYPE.cpus, TYPE.gpus, TYPE.ram_gb, 0)
        machine.phase, machine.last_contact_us, machine.session, machine.serial = UP, harness.clock.now_us(), 1, 1
        harness.cluster.machines[name] = machine


def release(jobs: int) -> None:
    """Measure the release of `jobs` jobs by the end of one job, and the same number of jobs without dependencies."""
    small = {"gpus": 0.1, "cpus": 0.1, "ram_gb": 0.1}
    for variant in ("without dependencies", "released by one end"):
        harness = LeaderHarness()
        first = job()
        harness.submit(first)
        depends = variant == "released by one end"
        for _ in range(jobs):
            after = [After("afterany", first.id)] if depends else None
            spec = job(after=after, **small)
            harness.state.items[keys.job_key(spec.id)] = (
                open_value(spec, harness.clock.wall_us()),
                harness.state.tide,
            )
        harness.see_jobs()
        harness.commit()
        idle_ms = pass_steps(harness)
        add_machines(harness)
        harness.state.cancel(first.id)
        harness.see_jobs()
        tide_before = harness.state.tide
        steps_ms, more = [], True
        while more:
            started_s = time.perf_counter()
            more = harness.cluster.conditions.step(harness.clock.now_us())
            steps_ms.append((time.perf_counter() - started_s) * 1000)
        release_writes = harness.state.tide - tide_before
        ready = len(harness.cluster.active)
        total, longest = pass_steps(harness)
        print(
            f"{jobs:,} jobs {variant}: {ready:,} ready after {sum(steps_ms):.0f} ms "
            f"(longest step {max(steps_ms):.1f} ms) and {release_writes} writes; "
            f"next pass {total:.0f} ms, its longest step {longest:.0f} ms; pass before {idle_ms[0]:.1f} ms"
        )


def resident_mb() -> float:
    """Returns the resident memory of this process in MB."""
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def memory(jobs: int, chained: bool) -> None:
    """Measure the memory of open jobs in one leader: the mirrored records, and the cluster state built from them."""
    before, harness, last = resident_mb(), LeaderHarness(), None
    for _ in range(jobs):
        spec = job(after=[After("afterok", last)] if last and chained else None)
        value = msgspec.json.decode(msgspec.json.encode(open_value(spec, harness.clock.wall_us())))
        harness.state.items[keys.job_key(spec.id)] = (value, 1)
        last = spec.id
    records = resident_mb()
    started_s = time.perf_counter()
    harness.see_jobs()
    load_s = time.perf_counter() - started_s
    cluster_state = resident_mb()
    pass_steps(harness)
    total, longest = pass_steps(harness)
    print(
        f"{jobs:,} open jobs {'each after the previous job' if chained else 'without conditions'}: "
        f"records {records - before:.0f} MB, cluster state {cluster_state - records:.0f} MB, read in {load_s:.1f} s; "
        f"a pass {total:.0f} ms, its longest step {longest:.0f} ms"
    )


@click.command()
@click.option("--jobs", default=10_000, show_default=True, help="Dependents released at once.")
@click.option("--open", "open_jobs", default=100_000, show_default=True, help="Open jobs held in memory.")
@click.option("--part", type=click.Choice(["scripts", "release", "plain", "chain"]), required=True)
def main(jobs: int, open_jobs: int, part: str) -> None:
    """Measure one part; run each in a process of its own, since they would share the measured memory."""
    if part == "scripts":
        translations()
    elif part == "release":
        release(jobs)
    else:
        memory(open_jobs, part == "chain")


if __name__ == "__main__":
    main()
