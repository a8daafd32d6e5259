"""The command line. Imports are lazy, so that errors and short queries return without delay."""

from typing import Any

import click

from tideusher.cli_common import JSON, NODE, call_and_show, fail, show_explanation, show_status
from tideusher.cli_pbs import pbs
from tideusher.cli_scale import scale_run, soak

CONFIG = click.option("--config", "config_path", required=True, type=click.Path(), help="The platform's TOML file.")
PROPERTIES = click.option("--properties", "properties_path", type=click.Path(), help="The operators' properties.")


@click.group()
def main() -> None:
    """tideusher: a cluster scheduler that ranks teams by charged machine time."""


main.add_command(pbs)
main.add_command(scale_run)
main.add_command(soak)


@main.command()
@CONFIG
@PROPERTIES
def serve(config_path: str, properties_path: str | None) -> None:
    """Run one controller until it is killed."""
    from tideusher import service

    service.serve(config_path, properties_path)


@main.command()
@click.option(
    "--port", default=8080, show_default=True, help="Port of the controller; the stand-ins use the next three."
)
@click.option("--settings", default="/tmp/tideusher.toml", show_default=True, help="The settings file to write.")
def playground(port: int, settings: str) -> None:
    """Serve a small simulated region on loopback, to try tideusher without a cluster."""
    from tideusher.playground.servers import serve as serve_region

    try:
        click.echo(f"starting the stand-ins; start the controller with: python3 run.py --config {settings}")
        serve_region(port, settings)
    except OSError as error:
        fail(f"{error.filename or f'127.0.0.1:{port + 2}'}: {error.strerror}", 1)


@main.command("check-config")
@CONFIG
@PROPERTIES
def check_config(config_path: str, properties_path: str | None) -> None:
    """Check the settings files and print their values."""
    import msgspec

    from tideusher.service import load

    config, (policy, profile) = load(config_path, properties_path)

    click.echo(
        f"{config.node} in {config.zone}: {len(config.peers)} peers, {len(config.settings.teams)} teams, "
        f"zones {', '.join(config.settings.zones)}"
    )
    for field in msgspec.structs.fields(policy):
        click.echo(f"{field.encode_name} = {getattr(policy, field.name)}")
    if profile is None:
        click.echo("PBS scripts are not accepted (no pbs.* settings)")
        return
    click.echo(f"pbs.default_queue = {profile.default_queue}")
    click.echo(f"pbs.waive = {','.join(sorted(profile.waive))}")
    for name, queue in sorted(profile.queues.items()):
        for field in msgspec.structs.fields(queue):
            click.echo(f"pbs.queue.{name}.{field.name} = {getattr(queue, field.name)}")


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
    from tideusher.wire.jobs import InvalidJob
    from tideusher.wire.submissions import parse_job

    body = file.read()
    try:
        parse_job(body)
    except InvalidJob as error:  # a controller ignores a field beside the protocol whose value is invalid
        fail(error, 2)
    call_and_show(node, as_json, lambda client: client.submit(body), show_status)


@main.command()
@click.argument("job")
@NODE
@JSON
def status(job: str, node: str, as_json: bool) -> None:
    """Show a job's state."""
    call_and_show(node, as_json, lambda client: client.status(job), show_status)


@main.command()
@click.argument("job")
@NODE
@JSON
def cancel(job: str, node: str, as_json: bool) -> None:
    """Cancel a job."""
    call_and_show(node, as_json, lambda client: client.cancel(job), show_status)


@main.command()
@click.argument("job")
@click.option("--by", help="Who holds the job, shown in its state.")
@NODE
@JSON
def hold(job: str, by: str | None, node: str, as_json: bool) -> None:
    """Hold a job: no further task starts, running tasks continue."""
    call_and_show(node, as_json, lambda client: client.hold(job, by), show_status)


@main.command()
@click.argument("job")
@NODE
@JSON
def release(job: str, node: str, as_json: bool) -> None:
    """Release a held job."""
    call_and_show(node, as_json, lambda client: client.release(job), show_status)


@main.command()
@click.argument("job")
@click.argument("tasks", type=click.IntRange(min=1))
@NODE
@JSON
def shrink(job: str, tasks: int, node: str, as_json: bool) -> None:
    """Reduce a service, or a claim, to TASKS replicas."""
    call_and_show(node, as_json, lambda client: client.shrink(job, tasks), show_status)


@main.command()
@click.argument("job")
@NODE
@JSON
def explain(job: str, node: str, as_json: bool) -> None:
    """Show why a job waits, and why its tasks were stopped."""
    call_and_show(node, as_json, lambda client: client.explain(job), show_explanation)


@main.command()
@NODE
@JSON
def teams(node: str, as_json: bool) -> None:
    """Show ratios, charges, guarantees and usage of all teams."""
    call_and_show(node, as_json, lambda client: client.teams(), _show_table)


@main.command()
@NODE
@JSON
def falls(node: str, as_json: bool) -> None:
    """Show mass failures of machines: the evidence, the tasks lost, and which jobs have recovered."""
    call_and_show(node, as_json, lambda client: client.falls(), _show_mass_failures)


def _show_mass_failures(rows: list[dict[str, Any]]) -> None:
    for row in rows:
        recovery_s = row["whole_after_s"]
        click.echo(
            f"{row['fall']}: {row['machines']} machines of {row['zone']} at {row['began_s']:.0f}, "
            f"known after {row['known_after_s']} s: {row['evidence']}"
        )
        state = f"all whole after {recovery_s} s" if recovery_s is not None else f"{row['jobs_whole']} whole again"
        click.echo(f"  {row['tasks_lost']} tasks of {row['jobs']} jobs lost; {state}")
        for job, count in row["most_lost"].items():
            recovered_s, reason = row["whole_again_after_s"].get(job), row.get("still_waiting", {}).get(job)
            outcome = f"whole again after {recovered_s} s" if recovered_s is not None else reason or "not whole again"
            click.echo(f"  {job}: {count} lost, {outcome}")
    if not rows:
        click.echo("none")


@main.command()
@NODE
@JSON
def machines(node: str, as_json: bool) -> None:
    """Show the machines of the fleet."""
    call_and_show(node, as_json, lambda client: client.machines(), _show_table)
