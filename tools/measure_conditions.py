"""What scripts and conditions cost. Not a test: `python tools/measure_conditions.py --part PART`.

Prints one line a figure. Everything runs on the tests' stand-ins in one process; the times are this
machine's, so ratios are what to look at: each figure stands beside the same without conditions.
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
    """All samples that are accepted, over and over."""
    profile = load_settings(str(SAMPLES / "profile.properties")).profile
    assert profile is not None
    texts = [p.read_bytes() for p in SAMPLES.glob("*.pbs") if p.with_suffix(".json").exists()]
    now = datetime(2027, 1, 2, tzinfo=UTC)
    for what in ("read and translated", "packed as well"):
        count, began = 0, time.perf_counter()
        while time.perf_counter() - began < seconds:
            for text in texts:
                got = translate(read_script(text), profile, "req-000412", now)
                if what != "read and translated":
                    pack(got.run, text, 8192, 11)
                count += 1
        print(f"scripts {what}: {count / (time.perf_counter() - began):,.0f} a second ({len(texts)} samples)")


def pass_steps(harness: LeaderHarness) -> tuple[float, float]:
    """A whole pass: its time and its longest piece, in ms."""
    longest = total = 0.0
    the_pass = harness.scheduler.pass_steps(harness.clock.now_us())
    while True:
        began = time.perf_counter()
        ended = next(the_pass, "end")
        took = time.perf_counter() - began
        longest, total = max(longest, took), total + took
        if ended == "end":
            return total * 1000, longest * 1000


def fleet(harness: LeaderHarness) -> None:
    """Machines that are up and heard, so that what is released finds room."""
    names = [f"host-{number:06d}" for number in range(MACHINES)]
    harness.cluster.rentals["r"] = Rental("r", TYPE.name, "a", False, MACHINES, True, names)
    for number, name in enumerate(names):
        one = Machine(name, TYPE.name, "ab"[number % 2], False, "r", TYPE.cpus, TYPE.gpus, TYPE.ram_gb, 0)
        one.phase, one.last_contact_us, one.session, one.serial = UP, harness.clock.now_us(), 1, 1
        harness.cluster.machines[name] = one


def release(jobs: int) -> None:
    """One job ends, and so many that waited for it may start; beside as many that came without a condition."""
    small = {"gpus": 0.1, "cpus": 0.1, "ram_gb": 0.1}
    for what in ("without dependencies", "released by one end"):
        harness = LeaderHarness()
        first = job()
        harness.submit(first)
        held = what == "released by one end"
        for _ in range(jobs):
            after = [After("afterany", first.id)] if held else None
            spec = job(after=after, **small)
            harness.state.items[keys.job_key(spec.id)] = (
                open_value(spec, harness.clock.wall_us()),
                harness.state.tide,
            )
        harness.see_jobs()
        harness.commit()
        idle = pass_steps(harness)
        fleet(harness)
        harness.state.cancel(first.id)
        harness.see_jobs()
        written = harness.state.tide
        steps_ms, more = [], True
        while more:
            began = time.perf_counter()
            more = harness.cluster.conditions.step(harness.clock.now_us())
            steps_ms.append((time.perf_counter() - began) * 1000)
        release_writes = harness.state.tide - written
        ready = len(harness.cluster.active)
        total, longest = pass_steps(harness)
        print(
            f"{jobs:,} jobs {what}: {ready:,} ready after {sum(steps_ms):.0f} ms "
            f"(longest piece {max(steps_ms):.1f} ms) and {release_writes} writes; "
            f"next pass {total:.0f} ms, its longest piece {longest:.0f} ms; pass before {idle[0]:.1f} ms"
        )


def resident_mb() -> float:
    """What this process holds."""
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def memory(jobs: int, chained: bool) -> None:
    """So many open jobs in one leader: the mirrored records, and the picture made of them."""
    before, harness, last = resident_mb(), LeaderHarness(), None
    for _ in range(jobs):
        spec = job(after=[After("afterok", last)] if last and chained else None)
        value = msgspec.json.decode(msgspec.json.encode(open_value(spec, harness.clock.wall_us())))
        harness.state.items[keys.job_key(spec.id)] = (value, 1)
        last = spec.id
    records = resident_mb()
    began = time.perf_counter()
    harness.see_jobs()
    load_s = time.perf_counter() - began
    cluster_state = resident_mb()
    pass_steps(harness)
    total, longest = pass_steps(harness)
    print(
        f"{jobs:,} open jobs {'each after the one before' if chained else 'without conditions'}: "
        f"records {records - before:.0f} MB, picture {cluster_state - records:.0f} MB, read in {load_s:.1f} s; "
        f"a pass {total:.0f} ms, its longest piece {longest:.0f} ms"
    )


@click.command()
@click.option("--jobs", default=10_000, show_default=True, help="Dependents released at once.")
@click.option("--open", "open_jobs", default=100_000, show_default=True, help="Open jobs held in memory.")
@click.option("--part", type=click.Choice(["scripts", "release", "plain", "chain"]), required=True)
def main(jobs: int, open_jobs: int, part: str) -> None:
    """Measure one part; each in a process of its own, or memory would not be told apart."""
    if part == "scripts":
        translations()
    elif part == "release":
        release(jobs)
    else:
        memory(open_jobs, part == "chain")


if __name__ == "__main__":
    main()
