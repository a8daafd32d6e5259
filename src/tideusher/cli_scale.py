"""Commands that run scale tests and soak tests."""

import signal
import sys
from pathlib import Path

import click

from tideusher.cli_common import fail


@click.command("scale-run")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", required=True, type=click.Path(path_type=Path), help="A new or empty directory for its files.")
@click.option("--tree", type=click.Path(path_type=Path), help="The checkout whose run.py starts the controllers.")
def scale_run(file: Path, out: Path, tree: Path | None) -> None:
    """Run a scale test on this machine: real controllers, simulated workers and some real ones.

    Exits 1 if a rule was broken, 2 if the run cannot be started.
    """
    try:
        from tideusher.scale import coordinator
    except ImportError as error:
        fail(f"{error.name} is not installed: pip install -r requirements-scale.txt", 2)
    from tideusher.scale.errors import ScaleError
    from tideusher.scale.report import table
    from tideusher.scale.settings import load_scale_settings

    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _interrupt)
    try:
        result = coordinator.run(load_scale_settings(str(file)), file, out, tree)
    except ScaleError as error:
        fail(error, 2)
    except KeyboardInterrupt:
        fail("interrupted: all processes of the run have been stopped", 1)
    for line in table(result):
        click.echo(line)
    if result.total_broken:
        sys.exit(1)


@click.command()
@click.option("--seeds", required=True, help="Such as 1-50, or 1-3,9.")
@click.option("--out", required=True, type=click.Path(path_type=Path), help="A new or empty directory for its files.")
@click.option(
    "--minutes", default=1.5, show_default=True, type=click.FloatRange(1.0), help="Duration of a seed's run."
)
@click.option("--quiet", default=34.0, show_default=True, help="Seconds without faults at the end of a run.")
@click.option("--workers", type=click.IntRange(10), help="By default 20 to 48, and 300 for every tenth seed.")
@click.option("--parallel", default=2, show_default=True, type=click.IntRange(1, 8), help="Seeds run concurrently.")
@click.option("--tree", type=click.Path(path_type=Path), help="The checkout whose run.py starts the controllers.")
@click.option(
    "--untimed",
    is_flag=True,
    help="Only report rules that an overloaded machine may break.",
)
@click.option("--known", type=click.Path(path_type=Path), help="A KNOWN-RED.txt; its tracebacks fail no seed.")
def soak(
    seeds: str,
    out: Path,
    minutes: float,
    quiet: float,
    workers: int | None,
    parallel: int,
    tree: Path | None,
    untimed: bool,
    known: Path | None,
) -> None:
    """Run scale tests with random faults, one per seed, and judge each from outside.

    Exits 1 if a seed shows a broken rule, a violated invariant, a traceback or a process that ended by itself, or was
    not run; 2 if the soak cannot be started.
    """
    try:
        from tideusher.scale import soak as module
    except ImportError as error:
        fail(f"{error.name} is not installed: pip install -r requirements-scale.txt", 2)
    from tideusher.scale.errors import ScaleError
    from tideusher.scale.soak_report import outcome_lines, summary

    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _interrupt)
    try:
        if out.exists() and any(out.iterdir()):
            raise ScaleError(f"{out}: the directory is not empty")
        plan = module.Soak(
            module.parse_seeds(seeds), out.resolve(), 60.0 * minutes, workers, parallel, tree, quiet, not untimed,
            module.read_known(known) if known is not None else (),
        )  # fmt: skip
        outcomes = module.play(plan, lambda outcome: click.echo("\n".join(outcome_lines(outcome))))
    except ScaleError as error:
        fail(error, 2)
    except KeyboardInterrupt:
        fail("interrupted: all processes of the soak have been stopped", 1)
    click.echo(summary(outcomes))
    if not all(outcome.ok for outcome in outcomes):
        sys.exit(1)


def _interrupt(*_: object) -> None:
    raise KeyboardInterrupt
