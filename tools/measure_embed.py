"""Measures throughput, recovery and memory of an embedded instance.

Usage: `python tools/measure_embed.py --part rate|recovery|memory [--jobs N]`, with `PYTHONPATH=src:tests`.
Everything runs on this machine's disk and in one process; the figures are this machine's.
"""

import gc
import itertools
import os
import resource
import shutil
import tempfile
import time
from pathlib import Path

import click

from tideusher.config import Team
from tideusher.core.lead import scheduler
from tideusher.core.model import keys
from tideusher.core.model.records import JOB_DONE
from tideusher.embed import Card, Instance, MachineKind, Settings, small_job
from tideusher.embed.directory import Directory
from tideusher.wire.state import Put

CARDS = 500
SETTINGS = Settings(
    [MachineKind("k4", 16.0, 4.0, 64.0)],
    [Card(f"m{number:03d}", "k4") for number in range(CARDS // 4)],
    [Team("red", gpus=float(CARDS), gpus_max=float(CARDS))],
)


class NoCache:
    """Replaces the placement cache by none, as before it existed: each job looks at each machine."""

    def __init__(self, *_):
        self.changed = self.place = lambda *_: None


def rate(jobs: int) -> None:
    """Measure small jobs from submission to start, in groups of several sizes; each job ends when it starts."""
    for group_size, cache in itertools.product((1, 10, 50), (NoCache, scheduler.PlacementCache)):
        scheduler.PlacementCache = cache  # type: ignore[misc, assignment]
        directory = tempfile.mkdtemp()
        waits_s: list[float] = []
        submitted_s: dict[str, float] = {}

        def started(task, waits_s=waits_s, submitted_s=submitted_s):
            waits_s.append(time.perf_counter() - submitted_s[task.job.id])
            task.done()

        with Instance(directory, SETTINGS, started, drive="step") as instance:
            started_s, started_cpu_s = time.perf_counter(), time.process_time()
            for first in range(0, jobs, group_size):
                specs = [small_job(f"req-{first + n:09d}", "red", gpus=1.0) for n in range(1, group_size + 1)]
                now = time.perf_counter()
                submitted_s.update((spec.id, now) for spec in specs)
                instance.submit_many(specs)
            took_s, cpu_s = time.perf_counter() - started_s, time.process_time() - started_cpu_s
        shutil.rmtree(directory)
        waits_s.sort()
        p50, p99 = (waits_s[int(len(waits_s) * share)] * 1000 for share in (0.5, 0.99))
        variant = "each job looks at each machine" if cache is NoCache else "with the placement cache"
        waits_text = f"from submission to start p50 {p50:.1f}, p99 {p99:.1f}, longest {waits_s[-1] * 1000:.1f} ms"
        print(
            f"{jobs:,} jobs, {group_size} together, {CARDS} cards, {variant}: {jobs / took_s:,.0f} per second "
            f"({cpu_s / jobs * 1000:.2f} ms of a core each), {waits_text}"
        )


def disk() -> None:
    """Print how long this disk takes for the sync that each round makes."""
    with tempfile.NamedTemporaryFile() as file:
        times_s = []
        for _ in range(300):
            os.write(file.fileno(), b"x" * 500)
            started_s = time.perf_counter()
            os.fdatasync(file.fileno())
            times_s.append(time.perf_counter() - started_s)
    times_s.sort()
    print(f"fdatasync of 500 bytes: p50 {times_s[150] * 1000:.2f} ms, p99 {times_s[297] * 1000:.2f} ms")


def resident_mb() -> float:
    """Returns the resident memory of this process in MB."""
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize() / 1e6


def recovery(finished: int) -> None:
    """Measure opening a directory with 200 open jobs and `finished` finished ones."""
    path = tempfile.mkdtemp()
    with Instance(path, SETTINGS, lambda task: None, drive="step") as instance:
        instance.submit_many([small_job(f"req-9{n:08d}", "red", gpus=1.0, tasks=9) for n in range(200)])
    directory = Directory(path, snapshot_bytes=1)
    started_s = time.perf_counter()
    for first in range(0, finished, 10_000):
        for number in range(first, min(finished, first + 10_000)):
            value = {"st": JOB_DONE, "at": 1_700_000_000_000_000 + number, "n": 1}
            directory.write([], [Put(keys.job_key(f"req-{number:09d}"), value)])
        directory.sync()
        directory.tidy(lambda job: False)
    archive_s = time.perf_counter() - started_s
    directory.close()
    disk_bytes = sum(file.stat().st_size for file in Path(path).iterdir())
    before_mb = resident_mb()
    started_s = time.perf_counter()
    instance = Instance(path, SETTINGS, lambda task: None, drive="step")
    open_s = time.perf_counter() - started_s
    lookup_started_s = time.perf_counter()
    old_status = instance.status("req-000000007").status if finished else "-"
    lookup_ms = (time.perf_counter() - lookup_started_s) * 1000
    archived = f"archived in {archive_s:.1f} s"
    print(
        f"{finished:,} finished jobs: opened in {open_s * 1000:.0f} ms, {resident_mb() - before_mb:.1f} MB more, "
        f"{disk_bytes / 1e6:.0f} MB on disk; an old job is {old_status}, looked up in {lookup_ms:.1f} ms; {archived}"
    )
    instance.close()
    shutil.rmtree(path)


def memory(jobs: int) -> None:
    """Measure the memory of open jobs that wait for a placement."""
    path = tempfile.mkdtemp()
    instance = Instance(path, SETTINGS, lambda task: None, drive="step")
    instance.submit(small_job("req-1", "red", gpus=4.0, tasks=CARDS // 4, shape="gang"))
    before_mb = resident_mb()
    for first in range(0, jobs, 5_000):
        instance._state.journal.sync()
        for number in range(first, min(jobs, first + 5_000)):
            instance._write(f"req-{number + 10:09d}", _waiting(number))
    instance._state.journal.sync()
    print(f"{jobs:,} open jobs: {(resident_mb() - before_mb) * 1000 / jobs:.2f} KB each")
    instance.close()
    shutil.rmtree(path)


def _waiting(number: int) -> dict:
    from tideusher.core.model.job_record import open_value

    return open_value(small_job(f"req-{number + 10:09d}", "red", gpus=1.0), 0)


@click.command()
@click.option("--part", type=click.Choice(["rate", "recovery", "memory"]), required=True)
@click.option("--jobs", default=5_000, show_default=True)
def main(part: str, jobs: int) -> None:
    """Measure one part."""
    if part == "rate":
        disk()
        rate(jobs)
    elif part == "recovery":
        recovery(jobs)
    else:
        memory(jobs)


if __name__ == "__main__":
    main()
