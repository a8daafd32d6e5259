"""A tile renderer that schedules thousands of short jobs on the GPUs of its machine.

`python examples/renderer.py [--jobs N] [--directory DIR]`. If it is killed and restarted with the same directory,
it continues with the tiles that were not rendered. The rendering itself is simulated.
"""

import queue
import tempfile
import threading
import time

import click

from tideusher.config import Team
from tideusher.embed import Card, Instance, MachineKind, Settings, Started, small_job

SETTINGS = Settings(
    kinds=[MachineKind("renderer", cpus=16.0, gpus=4.0, ram_gb=64.0)],
    machines=[Card("here", "renderer")],
    teams=[Team("tiles", gpus=3.0, gpus_max=4.0), Team("previews", gpus=1.0, gpus_max=4.0)],
)


def render(task_queue: "queue.SimpleQueue[Started | None]", seconds: float) -> None:
    """Renders tiles one after the other in a worker thread, each on its assigned GPU."""
    while (task := task_queue.get()) is not None:
        end = time.monotonic() + seconds
        while time.monotonic() < end and not task.stopping:
            time.sleep(min(0.01, seconds))
        if task.stopping:  # a preview of a team with a clearly lower ratio needs the card
            task.stopped()
        else:
            task.done()


@click.command()
@click.option("--jobs", default=2_000, show_default=True, help="Tiles to render.")
@click.option("--seconds", default=2.0, show_default=True, help="Time to render a tile.")
@click.option("--directory", help="Directory of the state; a temporary one by default.")
def main(jobs: int, seconds: float, directory: str | None) -> None:
    """Renders all tiles, and prints how many are done."""
    task_queue: queue.SimpleQueue[Started | None] = queue.SimpleQueue()
    threads = [threading.Thread(target=render, args=(task_queue, seconds), daemon=True) for _ in range(4)]
    for thread in threads:
        thread.start()
    refs = [f"req-{number:09d}" for number in range(1, jobs + 1)]
    with Instance(directory or tempfile.mkdtemp(), SETTINGS, on_start=task_queue.put) as instance:
        for first in range(0, jobs, 100):  # one write to the disk per hundred jobs
            instance.submit_many(
                [small_job(ref, "previews" if ref.endswith("0") else "tiles", gpus=1.0, estimate_s=seconds)
                 for ref in refs[first : first + 100]]
            )  # fmt: skip
        done = sum(instance.wait(ref).status == "done" for ref in refs)
        click.echo(f"{done} of {jobs} tiles are rendered")
    for _ in threads:
        task_queue.put(None)


if __name__ == "__main__":
    main()
