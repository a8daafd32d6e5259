"""The command line's scale runs."""

import signal
import sys
from pathlib import Path

import click

from tideusher.cli_ask import fail


@click.command("scale-run")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", required=True, type=click.Path(path_type=Path), help="A new or empty directory for its files.")
@click.option("--tree", type=click.Path(path_type=Path), help="A checkout whose run.py the controllers are.")
def scale_run(file: Path, out: Path, tree: Path | None) -> None:
    """Play a scale run: real controllers, and hollow workers beside real ones, on this machine.

    Exits 1 if a rule was broken, 2 if the run cannot be made.
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
        fail("interrupted: all processes of the run are ended", 1)
    for line in table(result):
        click.echo(line)
    if result.total_broken:
        sys.exit(1)


@click.command()
@click.option("--seeds", required=True, help="Such as 1-50, or 1-3,9.")
@click.option("--out", required=True, type=click.Path(path_type=Path), help="A new or empty directory for its files.")
@click.option("--minutes", default=1.5, show_default=True, type=click.FloatRange(1.0), help="The time of a seed.")
@click.option("--quiet", default=34.0, show_default=True, help="Seconds without faults at its end.")
@click.option("--workers", type=click.IntRange(10), help="Instead of 20 to 48, and of 300 for every tenth seed.")
@click.option("--parallel", default=2, show_default=True, type=click.IntRange(1, 8), help="Seeds played at once.")
@click.option("--tree", type=click.Path(path_type=Path), help="A checkout whose run.py the controllers are.")
@click.option("--untimed", is_flag=True, help="Only tell of rules that a machine too busy for the run may break.")
@click.option("--known", type=click.Path(path_type=Path), help="A KNOWN-RED.txt: its tracebacks are passed over.")
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
    """Play scale runs with faults drawn at random, one a seed, and judge each from outside.

    Exits 1 if a seed shows a broken rule, a violated invariant, a traceback or a process that ended by itself, or was
    not played; 2 if the soak cannot be made.
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
            raise ScaleError(f"{out}: is not empty")
        asked = module.Soak(
            module.parse_seeds(seeds), out.resolve(), 60.0 * minutes, workers, parallel, tree, quiet, not untimed,
            module.read_known(known) if known is not None else (),
        )  # fmt: skip
        outcomes = module.play(asked, lambda outcome: click.echo("\n".join(outcome_lines(outcome))))
    except ScaleError as error:
        fail(error, 2)
    except KeyboardInterrupt:
        fail("interrupted: all processes of the soak are ended", 1)
    click.echo(summary(outcomes))
    if not all(outcome.ok for outcome in outcomes):
        sys.exit(1)


def _interrupt(*_: object) -> None:
    raise KeyboardInterrupt
