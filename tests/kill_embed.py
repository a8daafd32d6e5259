"""Real programs killed in the middle. Not a test: `python tests/kill_embed.py --points 200 [--seed N]`.

A host program works in a directory and tells what it sees, a line an event. It is killed (SIGKILL) after a
seeded number of lines and a seeded fraction of a second; some are stopped (SIGSTOP) for a while before.
The next host takes the directory over. All lives together are judged by the checker of histories; a line
that was not told before the kill does not count as acknowledged.
"""

import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import click

from history import History

HERE = Path(__file__).parent
GPUS = {f"host-{n}": 4 for n in range(4)}


def host(directory: str, life: int, seed: int) -> None:
    """The program that is killed."""
    from test_embed import SETTINGS
    from tideusher.embed import Instance, small_job

    rng = random.Random(seed)
    told = threading.Lock()

    def tell(*event: object) -> None:
        with told:
            os.write(1, (" ".join(map(str, event)) + "\n").encode())

    def on_start(task) -> None:
        cards = ",".join(map(str, task.cards)) or "-"
        tell("start", task.job.id, task.index, task.attempt, task.machine, cards, int(task.job.gpus))
        threading.Timer(rng.random() * 0.02, end, [task]).start()

    def end(task) -> None:
        tell("stop", task.job.id, task.index)
        task.stopped() if task.stopping else task.done()

    instance = Instance(directory, SETTINGS, on_start, lambda task: None, snapshot_bytes=3000)
    tell("open")
    mine: list[str] = []
    for number in range(10_000):
        ref = f"req-{life * 100_000 + number + 1:012d}"
        shape = rng.choice(["batch", "batch", "gang"])
        spec = small_job(ref, rng.choice(["red", "blue"]), tasks=2, gpus=float(rng.randrange(3)), shape=shape)
        instance.submit(spec)
        tell("accept", ref)
        mine.append(ref)
        if rng.random() < 0.1:
            name = rng.choice(mine)
            tell("end", name, instance.cancel(name).status)
        if rng.random() < 0.3:
            name = mine[max(0, len(mine) - 8)]
            status = instance.wait(name, 0.05).status
            if status in ("done", "withdrawn"):
                tell("end", name, status)


def take(history: History, line: str) -> None:
    """One told line."""
    what, *args = line.split()
    if what == "start":
        job, index, attempt, machine, cards, gpus = args
        numbers = () if cards == "-" else tuple(map(int, cards.split(",")))
        history.start(job, int(index), int(attempt), machine, numbers, int(gpus))
    elif what == "stop":
        history.stop(args[0], int(args[1]))
    elif what == "accept":
        history.accept(args[0])
    elif what == "end":
        history.end(args[0], args[1])


def reopen(history: History, directory: str) -> None:
    """Look, without placing anything, at what a recovery finds."""
    from test_embed import SETTINGS
    from tideusher.embed import EmbedError, Instance

    instance = Instance(directory, SETTINGS, lambda task: None, drive="step")

    def status_of(job: str) -> str | None:
        try:
            return instance.status(job).status
        except EmbedError:
            return None

    history.reopened(status_of)
    instance.close()


@click.command()
@click.option("--points", default=200, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--host", "as_host", nargs=2, hidden=True, type=str)
def main(points: int, seed: int, as_host: tuple[str, str] | None) -> None:
    """Run and kill; a broken rule ends it with its seed and life."""
    if as_host:
        host(as_host[0], int(as_host[1]), seed)
        return
    rng, history, directory = random.Random(seed), History(GPUS), tempfile.mkdtemp()
    stopped = 0
    for life in range(1, points + 1):
        command = [sys.executable, __file__, "--host", directory, str(life), "--seed", str(rng.randrange(1 << 30))]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert process.stdout is not None
        lines = rng.randrange(1, 150)
        for line in process.stdout:
            take(history, line)
            lines -= 1
            if not lines:
                break
        if rng.random() < 0.1:
            stopped += 1
            os.kill(process.pid, signal.SIGSTOP)
            time.sleep(0.3)
            os.kill(process.pid, signal.SIGCONT)
        time.sleep(rng.random() * 0.02)
        process.kill()
        for line in process.stdout:  # told before the kill
            if line.endswith("\n"):
                take(history, line)
        process.wait()
        history.crash()
        reopen(history, directory)
    shutil.rmtree(directory)
    print(
        f"seed {seed}: {points} lives killed ({stopped} stopped for a while before): {len(history.accepted):,} jobs "
        f"acknowledged, {history.starts:,} starts, {len(history.final):,} ends told; no rule broken"
    )


if __name__ == "__main__":
    main()
