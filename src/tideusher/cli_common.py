"""Shared code of the commands that call a node: options, and output of responses and errors."""

import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NoReturn

import click

if TYPE_CHECKING:
    from tideusher.client import Client

NODE = click.option(
    "--node", envvar="TIDEUSHER_NODE", default="127.0.0.1:8080", show_default=True, help="A node, host:port."
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON for programs.")


def fail(reason: object, code: int) -> NoReturn:
    """Prints one line to standard error and exits with a code that scripts can test."""
    click.echo(f"tideusher: {reason}", err=True)
    sys.exit(code)


def call(node: str, request: "Callable[[Client], Any]") -> Any:
    """Calls the service. Exits with one line and code 2 for malformed input, 1 for any other error."""
    from tideusher.client import Client, ServiceError

    try:
        return request(Client(node))
    except ServiceError as error:
        fail(error, 2 if error.status == 400 else 1)


def call_and_show(node: str, as_json: bool, request: "Callable[[Client], Any]", show: Callable[[Any], None]) -> None:
    """Calls the service and prints the response, as JSON or with `show`."""
    import msgspec

    response = call(node, request)
    if as_json:
        click.echo(msgspec.json.encode(response).decode())
    else:
        show(response)


def show_status(status: Any) -> None:
    """Prints a job's state in one line."""
    counts = "" if status.done is None else f", {status.done} tasks done, {status.running or 0} placed"
    held = f", held by {status.held}" if status.held else ""
    reason = f", as {status.why}" if status.why else ""
    ignored = f", ignored: {', '.join(status.ignored)}" if status.ignored else ""
    click.echo(f"{status.id}: {status.status}{counts}{held}{reason}{ignored}")


def show_explanation(explanation: dict[str, Any]) -> None:
    """Prints why a job waits and which of its tasks were stopped."""
    click.echo(f"{explanation['job']}: {explanation['status']}")
    for reason in explanation["reasons"]:
        click.echo(f"  {reason}")
    for stop in explanation["stops"]:
        click.echo(f"  stop: task {stop['task']} on {stop['machine']} at {stop['at_s']:.0f}: {stop['reason']}")
