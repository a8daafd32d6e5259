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


def _interrupt(*_: object) -> None:
    raise KeyboardInterrupt
