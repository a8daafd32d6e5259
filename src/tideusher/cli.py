"""The command line for people. Imports are lazy, so that a refusal or a question answers at once."""

import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from tideusher.client import Client

CONFIG = click.option("--config", "config_path", required=True, type=click.Path(), help="The platform's TOML file.")
PROPERTIES = click.option("--properties", "properties_path", type=click.Path(), help="The operators' properties.")
NODE = click.option(
    "--node", envvar="TIDEUSHER_NODE", default="127.0.0.1:8080", show_default=True, help="A node, host:port."
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON for programs.")


@click.group()
def main() -> None:
    """tideusher: a cluster scheduler that ranks teams by charged machine time."""


@main.command()
@CONFIG
@PROPERTIES
def serve(config_path: str, properties_path: str | None) -> None:
    """Run one controller until it is killed."""
    from tideusher import service

    service.serve(config_path, properties_path)


@main.command("check-config")
@CONFIG
@PROPERTIES
def check_config(config_path: str, properties_path: str | None) -> None:
    """Check the settings files and say what they hold."""
    import msgspec

    from tideusher.service import load

    config, policy = load(config_path, properties_path)

    click.echo(
        f"{config.node} in {config.zone}: {len(config.peers)} peers, {len(config.settings.teams)} teams, "
        f"zones {', '.join(config.settings.zones)}"
    )
    for field in msgspec.structs.fields(policy):
        click.echo(f"{field.encode_name} = {getattr(policy, field.name)}")


def _ask(node: str, as_json: bool, call: "Callable[[Client], Any]", show: Callable[[Any], None]) -> None:
    """Call the service; a refusal or failure is one clear line and exit 1."""
    import msgspec

    from tideusher.client import Client, ServiceError

    try:
        answer = call(Client(node))
    except ServiceError as error:
        click.echo(f"tideusher: {error}", err=True)
        sys.exit(1)
    if as_json:
        click.echo(msgspec.json.encode(answer).decode())
    else:
        show(answer)


def _show_status(answer: Any) -> None:
    counts = "" if answer.done is None else f", {answer.done} tasks done, {answer.running or 0} placed"
    click.echo(f"{answer.id}: {answer.status}{counts}")


def _show_table(rows: list[dict[str, Any]]) -> None:
    if not rows:
        click.echo("none")
        return
    table = [list(rows[0])] + [["-" if v is None else str(v) for v in row.values()] for row in rows]
    widths = [max(len(line[column]) for line in table) for column in range(len(table[0]))]
    for line in table:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


@main.command()
@click.argument("file", type=click.File("rb"))
@NODE
@JSON
def submit(file: Any, node: str, as_json: bool) -> None:
    """Submit the job described by a JSON FILE (- for standard input)."""
    _ask(node, as_json, lambda client: client.submit(file.read()), _show_status)


@main.command()
@click.argument("job")
@NODE
@JSON
def status(job: str, node: str, as_json: bool) -> None:
    """Show a job's state."""
    _ask(node, as_json, lambda client: client.status(job), _show_status)


@main.command()
@click.argument("job")
@NODE
@JSON
def cancel(job: str, node: str, as_json: bool) -> None:
    """Cancel a job."""
    _ask(node, as_json, lambda client: client.cancel(job), _show_status)


@main.command()
@click.argument("job")
@NODE
@JSON
def explain(job: str, node: str, as_json: bool) -> None:
    """Say why a job waits, and why its tasks were stopped."""

    def show(answer: dict[str, Any]) -> None:
        click.echo(f"{answer['job']}: {answer['status']}")
        for reason in answer["reasons"]:
            click.echo(f"  {reason}")
        for stop in answer["stops"]:
            click.echo(f"  stop: task {stop['task']} on {stop['machine']} at {stop['at_s']:.0f}: {stop['reason']}")

    _ask(node, as_json, lambda client: client.explain(job), show)


@main.command()
@NODE
@JSON
def teams(node: str, as_json: bool) -> None:
    """Show ratios, charges, guarantees and use of all teams."""
    _ask(node, as_json, lambda client: client.teams(), _show_table)


@main.command()
@NODE
@JSON
def machines(node: str, as_json: bool) -> None:
    """Show the fleet."""
    _ask(node, as_json, lambda client: client.machines(), _show_table)
