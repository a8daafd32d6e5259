"""What an embedded instance does in a second, and what it costs. Not a test:

`python tools/measure_embed.py --part rate|recovery|memory [--jobs N]`, with `PYTHONPATH=src:tests`.
Everything runs on this machine's disk and one process; the figures are this machine's.
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


class NoShelf:
    """As before there was one: each job looks at each machine."""

    def __init__(self, *_):
        self.changed = self.place = lambda *_: None


def rate(jobs: int) -> None:
    """Small jobs from acceptance to start; each ends at once. So many are submitted together."""
    for together, shelf in itertools.product((1, 10, 50), (NoShelf, scheduler.PlacementCache)):
        scheduler.PlacementCache = shelf  # type: ignore[misc, assignment]
        directory = tempfile.mkdtemp()
        waits: list[float] = []
        asked: dict[str, float] = {}

        def started(task, waits=waits, asked=asked):
            waits.append(time.perf_counter() - asked[task.job.id])
            task.done()

        with Instance(directory, SETTINGS, started, drive="step") as instance:
            began, cpu = time.perf_counter(), time.process_time()
            for first in range(0, jobs, together):
                specs = [small_job(f"req-{first + n:09d}", "red", gpus=1.0) for n in range(1, together + 1)]
                now = time.perf_counter()
                asked.update((spec.id, now) for spec in specs)
                instance.submit_many(specs)
            took, used = time.perf_counter() - began, time.process_time() - cpu
        shutil.rmtree(directory)
        waits.sort()
        p50, p99 = (waits[int(len(waits) * share)] * 1000 for share in (0.5, 0.99))
        how = "each job looks at each machine" if shelf is NoShelf else "on a shelf"
        waited = f"from submission to start p50 {p50:.1f}, p99 {p99:.1f}, longest {waits[-1] * 1000:.1f} ms"
        print(
            f"{jobs:,} jobs, {together} together, {CARDS} cards, {how}: {jobs / took:,.0f} a second "
            f"({used / jobs * 1000:.2f} ms of a core each), {waited}"
        )


def disk() -> None:
    """How long this disk takes for what each round does."""
    with tempfile.NamedTemporaryFile() as file:
        times = []
        for _ in range(300):
            os.write(file.fileno(), b"x" * 500)
            began = time.perf_counter()
            os.fdatasync(file.fileno())
            times.append(time.perf_counter() - began)
    times.sort()
    print(f"fdatasync of 500 bytes: p50 {times[150] * 1000:.2f} ms, p99 {times[297] * 1000:.2f} ms")


def resident_mb() -> float:
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize() / 1e6


def recovery(finished: int) -> None:
    """Opening a directory with 200 open jobs and so many finished ones."""
    path = tempfile.mkdtemp()
    with Instance(path, SETTINGS, lambda task: None, drive="step") as instance:
        instance.submit_many([small_job(f"req-9{n:08d}", "red", gpus=1.0, tasks=9) for n in range(200)])
    directory = Directory(path, snapshot_bytes=1)
    began = time.perf_counter()
    for first in range(0, finished, 10_000):
        for number in range(first, min(finished, first + 10_000)):
            value = {"st": JOB_DONE, "at": 1_700_000_000_000_000 + number, "n": 1}
            directory.write([], [Put(keys.job_key(f"req-{number:09d}"), value)])
        directory.sync()
        directory.tidy(lambda job: False)
    wrote_s = time.perf_counter() - began
    directory.close()
    sizes = sum(one.stat().st_size for one in Path(path).iterdir())
    before = resident_mb()
    began = time.perf_counter()
    instance = Instance(path, SETTINGS, lambda task: None, drive="step")
    opened_s = time.perf_counter() - began
    asked = time.perf_counter()
    known = instance.status("req-000000007").status if finished else "-"
    looked_ms = (time.perf_counter() - asked) * 1000
    archived = f"archived in {wrote_s:.1f} s"
    print(
        f"{finished:,} finished jobs: opened in {opened_s * 1000:.0f} ms, {resident_mb() - before:.1f} MB more, "
        f"{sizes / 1e6:.0f} MB on disk; an old job is {known}, told in {looked_ms:.1f} ms; {archived}"
    )
    instance.close()
    shutil.rmtree(path)


def memory(jobs: int) -> None:
    """Open jobs that wait for a place."""
    path = tempfile.mkdtemp()
    instance = Instance(path, SETTINGS, lambda task: None, drive="step")
    instance.submit(small_job("req-1", "red", gpus=4.0, tasks=CARDS // 4, shape="gang"))
    before = resident_mb()
    for first in range(0, jobs, 5_000):
        instance._state.journal.sync()
        for number in range(first, min(jobs, first + 5_000)):
            instance._write(f"req-{number + 10:09d}", _waiting(number))
    instance._state.journal.sync()
    print(f"{jobs:,} open jobs: {(resident_mb() - before) * 1000 / jobs:.2f} KB each")
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
