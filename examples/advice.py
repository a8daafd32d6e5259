"""An advice service that keeps three replicas running despite failures, and trains on the spare capacity.

`python examples/advice.py [--seconds N]`. Driven by the program's own loop, in a single thread.
"""

import random
import tempfile
import time

import click

from tideusher.config import Team
from tideusher.embed import Card, Instance, MachineKind, Settings, Started, small_job

SETTINGS = Settings(
    kinds=[MachineKind("box", cpus=8.0, gpus=2.0, ram_gb=32.0)],
    machines=[Card("box-1", "box", "kumamoto-a"), Card("box-2", "box", "fukuoka-b")],
    teams=[Team("advice", gpus=3.0, gpus_max=4.0), Team("training", gpus=1.0, gpus_max=4.0)],
)


class Program:
    """Tracks running tasks; the work itself is simulated."""

    def __init__(self, rng: random.Random) -> None:
        self.running: dict[str, Started] = {}
        self.rng = rng

    def on_start(self, task: Started) -> None:
        """Starts a replica or a training task."""
        self.running[task.name] = task

    def on_stop(self, task: Started) -> None:
        """Stops the task at once; in a real program, a replica would hand over its requests first."""
        self.running.pop(task.name).stopped(kept=True)

    def fail_randomly(self) -> None:
        """Fails each replica with a small probability."""
        for name, task in list(self.running.items()):
            if task.job.shape == "service" and self.rng.random() < 0.002:
                self.running.pop(name).failed()


@click.command()
@click.option("--seconds", default=5.0, show_default=True, help="How long to serve.")
def main(seconds: float) -> None:
    """Serves, and prints the fraction of the replica time that was available."""
    program, rounds, replicas_up = Program(random.Random(1)), 0, 0
    with Instance(tempfile.mkdtemp(), SETTINGS, program.on_start, program.on_stop, drive="step") as instance:
        instance.submit(small_job("req-000002", "training", tasks=50, gpus=1.0, estimate_s=600.0))
        instance.submit(
            small_job("req-000001", "advice", tasks=3, gpus=1.0, shape="service", priority="critical", spread=True)
        )
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            program.fail_randomly()
            while instance.step():
                pass
            rounds += 1
            replicas_up += sum(task.job.shape == "service" for task in program.running.values())
            time.sleep(0.02)
        click.echo(
            f"{replicas_up / (3 * rounds):.0%} of the replica time; {instance.explain('req-000002')['reasons'][0]}"
        )


if __name__ == "__main__":
    main()
