"""Measures how long a takeover and the first pass after it block the event loop, for several source trees.

    python tools/measure_takeover.py --tree old=../old --tree new=.

Uses `core` alone on a synthetic store: machines of four GPUs that are half full, and jobs that wait. Each tree runs
in a process of its own, by its own design: it builds the cluster state at the election, or has followed the records
as a standby.
"""

import json
import subprocess
import sys

import click

SCRIPT = r"""
import json, resource, sys, time
from tideusher.config import (CloudSettings, Config, DeploymentSettings, Endpoints, Policy, StateSettings, Team,
                              WorkerSettings)
from tideusher.metrics import Metrics
try:
    from tideusher.core.lead.engine import Engine
    from tideusher.core.lead.standby import Standby
    from tideusher.core.model import keys
except ImportError:
    from tideusher.core.engine import Engine
    from tideusher.core import keys
    Standby = None

machines, jobs = int(sys.argv[1]), int(sys.argv[2])
teams = [Team(f"team-{n}", gpus=machines / 2, gpus_max=4.0 * machines) for n in range(6)]
site = DeploymentSettings(3, ["a", "b"], WorkerSettings(2.0, 13.0, 40.0, 4.0, 38.0),
                          StateSettings(500.0, 90.0, 8.0, 12), CloudSettings(10.0, 3.0), teams)
config = Config("n0", "a", "127.0.0.1:1", "127.0.0.1:2", Endpoints("127.0.0.1:3", "127.0.0.1:4"), site)
wall = 1_700_000_000_000_000
kind = {"sku": "m4", "cores": 16.0, "gpus": 4.0, "ram_gb": 64.0, "local_gb": 100.0, "fetch_gb_per_s": 1.0,
        "price": 3.0, "market_price": 1.0, "boot_s": 30.0, "harbors": ["a", "b"]}
items = {"t/types": ([kind], 1), "t/ratios": ({}, 1)}
stamp = 2
names = [f"host-{n:06d}" for n in range(machines)]
for first in range(0, machines, 50):
    value = {"type": "m4", "zone": "ab"[first // 50 % 2], "spot": False, "count": 50, "answered": True,
             "machines": names[first:first + 50], "returning": []}
    items[f"t/m/1-{first}"] = (value, stamp)
def job(number, tasks):
    spec = {"ref": f"req-{number:06d}", "jobclass": "fit", "owner": f"team-{number % 6}", "shape": "batch",
            "rank": "standard", "pieces": tasks, "cores": 4.0, "gpus": 1.0, "ram_gb": 8.0, "bundle": "img-1",
            "image_gb": 2.0, "one_zone": False, "apart": False, "loaned": False, "expect_s": 60.0, "mark_s": 0.0,
            "stow_s": 0.0, "hulls": None, "harbor": None, "due_s": None}
    return {"st": "open", "at": wall - number, "spec": spec}
for n in range(0, machines, 4):
    ref = f"req-{n:06d}"
    items["t/j/" + ref] = (job(n, 8), stamp)
    places = {str(i): [1, names[min(n + i // 2, machines - 1)]] for i in range(8)}
    items[f"t/r/{ref}/0"] = ({"n": 1, "a": places}, stamp)
for n in range(jobs):
    items[f"t/j/req-{900000 + n}"] = (job(900000 + n, 4), stamp)

class Stored:
    def __init__(self, value, stamp):
        self.value, self.stamp = value, stamp
mirror = {key: Stored(value, stamp) for key, (value, stamp) in items.items()}
record_of = lambda name: items.get("t/j/" + name, (None, 0))[0]
now = 1_000_000_000
args = (config, Policy(), 9, now, lambda: wall, Metrics(), record_of)
def held(call):
    begun = time.perf_counter()
    out = call()
    return out, (time.perf_counter() - begun) * 1000
follow = 0.0
if Standby is None:
    engine, takeover = held(lambda: Engine(*args, items))
    longest = takeover
else:
    standby = Standby(config, Policy(), lambda: wall, record_of, lambda: mirror)
    standby.begin(now)
    longest, more = 0.0, True
    while more:
        more, ms = held(lambda: standby.apply_step(now))
        longest, follow = max(longest, ms), follow + ms
    caught, takeover, longest = None, 0.0, 0.0
    while caught is None:
        caught, ms = held(lambda: standby.catch_up(now))
        takeover, longest = takeover + ms, max(longest, ms)
    engine, ms = held(lambda: Engine(*args, cluster_state=caught.cluster_state))
    takeover, longest = takeover + ms, max(longest, ms)
total, most, more = 0.0, 0.0, True
more, ms = held(lambda: engine.tick(now + 2_000_000))
total, most = ms, ms
while more:
    more, ms = held(engine.continue_pass)
    total, most = total + ms, max(most, ms)
print(json.dumps({"takeover": takeover, "hold": longest, "pass": total, "piece": most, "followed": follow,
                  "mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024}))
"""


def measure(tree: str, machines: int, jobs: int) -> dict[str, float]:
    """Run one takeover in a process of its own; returns times in milliseconds, and its peak memory as `mb`."""
    env = {"PYTHONPATH": f"{tree}/src", "PATH": "/usr/bin:/bin"}
    run = subprocess.run(
        [sys.executable, "-c", SCRIPT, str(machines), str(jobs)], env=env, capture_output=True, text=True, check=False
    )
    if run.returncode:
        raise click.ClickException(run.stderr.strip().splitlines()[-1])
    figures: dict[str, float] = json.loads(run.stdout)
    return figures


@click.command()
@click.option("--tree", "trees", multiple=True, required=True, help="NAME=DIR; may be given several times.")
@click.option("--runs", default=3, show_default=True, help="Number of runs; prints the lowest value of each figure.")
def main(trees: tuple[str, ...], runs: int) -> None:
    """Print a line per fleet size and tree."""
    figures = ("takeover", "hold", "pass", "piece", "followed", "mb")
    click.echo("machines  jobs    tree    " + "".join(name.rjust(10) for name in figures))
    for machines, jobs in ((600, 1_000), (600, 10_000), (2_000, 20_000)):
        for name, _, tree in (tree.partition("=") for tree in trees):
            results = [measure(tree, machines, jobs) for _ in range(runs)]
            cells = "".join(f"{min(result[figure] for result in results):10.1f}" for figure in figures)
            click.echo(f"{machines:<10}{jobs:<8}{name:<8}{cells}")


if __name__ == "__main__":
    main()
