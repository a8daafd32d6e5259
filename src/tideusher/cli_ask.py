"""What all commands that ask a node share: their options, and how answers and refusals are shown."""

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
    """One clear line, and an exit that scripts can test."""
    click.echo(f"tideusher: {reason}", err=True)
    sys.exit(code)


def call(node: str, question: "Callable[[Client], Any]") -> Any:
    """Call the service; malformed input exits 2, another refusal or a failure 1, each with one line."""
    from tideusher.client import Client, ServiceError

    try:
        return question(Client(node))
    except ServiceError as error:
        fail(error, 2 if error.status == 400 else 1)


def ask(node: str, as_json: bool, question: "Callable[[Client], Any]", show: Callable[[Any], None]) -> None:
    """Call the service and show the answer."""
    import msgspec

    answer = call(node, question)
    if as_json:
        click.echo(msgspec.json.encode(answer).decode())
    else:
        show(answer)


def show_status(answer: Any) -> None:
    """A job's state in a line."""
    counts = "" if answer.done is None else f", {answer.done} tasks done, {answer.running or 0} placed"
    held = f", held by {answer.held}" if answer.held else ""
    why = f", as {answer.why}" if answer.why else ""
    click.echo(f"{answer.id}: {answer.status}{counts}{held}{why}")


def show_explanation(answer: dict[str, Any]) -> None:
    """Why a job waits, and what was stopped of it."""
    click.echo(f"{answer['job']}: {answer['status']}")
    for reason in answer["reasons"]:
        click.echo(f"  {reason}")
    for stop in answer["stops"]:
        click.echo(f"  stop: task {stop['task']} on {stop['machine']} at {stop['at_s']:.0f}: {stop['reason']}")
