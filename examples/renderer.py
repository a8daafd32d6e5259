"""A tile renderer that places its own small jobs: thousands of short ones on the cards of its machine.

`python examples/renderer.py [--jobs N] [--directory DIR]`. Killed and started again with the same directory, it
goes on with what was not rendered. The rendering itself is a stand-in.
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


def render(todo: "queue.SimpleQueue[Started | None]", seconds: float) -> None:
    """A worker thread: one tile after the other, each on the card that it was given."""
    while (task := todo.get()) is not None:
        end = time.monotonic() + seconds
        while time.monotonic() < end and not task.stopping:
            time.sleep(min(0.01, seconds))
        if task.stopping:  # a preview of a team with a clearly lower ratio needs the card
            task.stopped()
        else:
            task.done()


@click.command()
@click.option("--jobs", default=2_000, show_default=True, help="Tiles to render.")
@click.option("--seconds", default=2.0, show_default=True, help="How long one takes.")
@click.option("--directory", help="Where the state is kept; by default for this run only.")
def main(jobs: int, seconds: float, directory: str | None) -> None:
    """Render all tiles, and say how many are done."""
    todo: queue.SimpleQueue[Started | None] = queue.SimpleQueue()
    threads = [threading.Thread(target=render, args=(todo, seconds), daemon=True) for _ in range(4)]
    for thread in threads:
        thread.start()
    refs = [f"req-{number:09d}" for number in range(1, jobs + 1)]
    with Instance(directory or tempfile.mkdtemp(), SETTINGS, on_start=todo.put) as instance:
        for first in range(0, jobs, 100):  # a hundred acceptances share one write
            instance.submit_many(
                [small_job(ref, "previews" if ref.endswith("0") else "tiles", gpus=1.0, estimate_s=seconds)
                 for ref in refs[first : first + 100]]
            )  # fmt: skip
        done = sum(instance.wait(ref).status == "done" for ref in refs)
        click.echo(f"{done} of {jobs} tiles are rendered")
    for _ in threads:
        todo.put(None)


if __name__ == "__main__":
    main()
