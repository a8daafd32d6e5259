"""The command line for batch scripts: `tideusher pbs ...`, with the options that PBS users know."""

import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from tideusher.cli_ask import JSON, NODE, ask, call, fail, show_explanation, show_status

if TYPE_CHECKING:
    from tideusher.client import Client
    from tideusher.pbs import Profile, Script

#: Random refs of so many digits: two submitters do not meet.
REF_DIGITS = 15
#: Click leaves to us what it does not know: the options of PBS, whose letters are not ours to choose.
PASSED_ON = {"ignore_unknown_options": True, "allow_interspersed_args": False}
WORDS = click.argument("words", nargs=-1, type=click.UNPROCESSED, metavar="[PBS OPTIONS] SCRIPT")
JOBS = click.argument("jobs", nargs=-1, required=True, metavar="JOB...")


@click.group()
def pbs() -> None:
    """Batch scripts with PBS directives."""


def _read(words: tuple[str, ...]) -> "tuple[Script, list[str]]":
    """The script named last, and the options in front of it; a refusal is one line and exit 2."""
    from tideusher.pbs import Refusal, read_script
    from tideusher.pbs.options import COMMAND_LINE, split_operands

    try:
        _, operands = split_operands(words, COMMAND_LINE)
        if len(operands) != 1:
            fail(f"one SCRIPT (or - for standard input) stands behind the options, not {len(operands)}", 2)
        options = list(words[: -len(operands)])
        if operands[0] == "-":
            return read_script(sys.stdin.buffer.read(), "STDIN", options), options
        return read_script(Path(operands[0]).read_bytes(), operands[0], options), options
    except OSError as error:
        fail(f"{operands[0]}: {error.strerror}", 2)
    except Refusal as error:
        fail(error, 2)


def _environment(script: "Script") -> dict[str, str]:
    """The values of the variables that the script names without one, as far as there are any here."""
    import os

    from tideusher.pbs import Refusal, asked_of_environment

    try:
        return {name: os.environ[name] for name in asked_of_environment(script) if name in os.environ}
    except Refusal as error:
        fail(error, 2)


def _job(text: str) -> tuple[str, int | None]:
    from tideusher.pbs.ids import BadId, parse_id

    try:
        return parse_id(text)
    except BadId as error:
        fail(error, 2)


def _whole(text: str) -> str:
    job, index = _job(text)
    if index is not None:
        fail(f"{text}: this is done to whole jobs, not to one task of an array", 2)
    return job


def _each(jobs: tuple[str, ...], node: str, as_json: bool, change: "Callable[[Client, str], Any]") -> None:
    """Do the same to several jobs; all names are read before the first is touched."""
    for job in [_whole(text) for text in jobs]:
        ask(node, as_json, partial(_swapped, change, job), show_status)


def _swapped(change: "Callable[[Client, str], Any]", job: str, client: "Client") -> Any:
    return change(client, job)


def _status_and_reasons(job: str) -> "Callable[[Client], Any]":
    return lambda client: (client.status(job), client.explain(job))


@pbs.command(context_settings=PASSED_ON)
@click.option("--ref", help="The native name, to repeat a submission under; by default a new one.")
@NODE
@JSON
@WORDS
def submit(words: tuple[str, ...], ref: str | None, node: str, as_json: bool) -> None:
    """Submit a SCRIPT (- for standard input); prints the job's name."""
    import secrets
    from datetime import datetime

    from tideusher.pbs.ids import job_of, pbs_id
    from tideusher.pbs.storage import compress_text
    from tideusher.wire.scripts import ScriptRequest

    script, options = _read(words)
    offset = datetime.now().astimezone().utcoffset()
    request = ScriptRequest(
        ref or job_of(10 ** (REF_DIGITS - 1) + secrets.randbelow(9 * 10 ** (REF_DIGITS - 1))),
        script.file,
        packed=compress_text(script.text),
        options=options,
        utc_offset_s=int(offset.total_seconds()) if offset else 0,
        environment=_environment(script),
    )
    quiet = any(option.letter == "z" for option in script.options)

    def show(answer: Any) -> None:
        for line in [*answer.waived, *answer.notes]:
            click.echo(f"tideusher: {line}", err=True)
        if not quiet:
            click.echo(answer.id)

    try:
        ask(node, as_json, lambda client: client.submit_script(request), show)
    except SystemExit:
        click.echo(f"tideusher: to try again as the same job: --ref {request.ref} ({pbs_id(request.ref)})", err=True)
        raise


@pbs.command(context_settings=PASSED_ON)
@click.option("--profile", "profile_path", type=click.Path(), help="The operators' properties; else asks the node.")
@click.option("--ref", default="req-000000", show_default=True, help="The job's native name.")
@NODE
@WORDS
def translate(words: tuple[str, ...], profile_path: str | None, ref: str, node: str) -> None:
    """Print the native job that a SCRIPT stands for, as POST /work takes it; refuses as a submission does."""
    from datetime import datetime

    import msgspec

    from tideusher.pbs import Refusal
    from tideusher.pbs import translate as to_native

    script, _ = _read(words)
    profile = _profile(profile_path, node)
    try:
        submission = to_native(script, profile, ref, datetime.now().astimezone(), _environment(script))
    except Refusal as error:
        fail(error, 2)
    for line in [*submission.waived, *submission.notes]:
        click.echo(f"tideusher: {line}", err=True)
    click.echo(msgspec.json.encode(submission.spec).decode())


def _profile(path: str | None, node: str) -> "Profile":
    from tideusher.config import ConfigError, load_settings

    if path is None:
        return call(node, lambda client: client.profile())
    try:
        profile = load_settings(path).profile
    except ConfigError as error:
        fail(error, 2)
    if profile is None:
        fail(f"{path}: there are no pbs.* settings in it", 2)
    return profile


def _state(answer: Any, reasons: list[str]) -> str:
    """The letter that PBS users look for."""
    if answer.status in ("done", "withdrawn"):
        return "F"
    if answer.held:
        return "H"
    if any("not to start before" in reason for reason in reasons):
        return "W"
    return "R" if answer.status == "running" else "Q"


@pbs.command()
@JOBS
@NODE
def stat(jobs: tuple[str, ...], node: str) -> None:
    """Show jobs in a table: F finished, H held, W waits for its time, R running, Q queued."""
    from tideusher.pbs.ids import pbs_id

    rows = [("Job id", "Name", "S", "Done", "Why")]
    for text in jobs:
        job = _whole(text)
        answer, told = call(node, _status_and_reasons(job))
        name, tasks = told.get("name") or "-", told.get("tasks")
        done = "-" if answer.done is None else f"{answer.done}/{tasks}" if tasks else str(answer.done)
        why = answer.why or " ".join(told["reasons"])
        rows.append((pbs_id(job, array=bool(told.get("array"))), name, _state(answer, told["reasons"]), done, why))
    widths = [max(len(row[column]) for row in rows) for column in range(4)]
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=False)]
        click.echo("  ".join([*cells, row[4]]))


@pbs.command("del")
@JOBS
@NODE
@JSON
def delete(jobs: tuple[str, ...], node: str, as_json: bool) -> None:
    """Cancel jobs."""
    _each(jobs, node, as_json, lambda client, job: client.cancel(job))


@pbs.command()
@JOBS
@click.option("--by", help="Who holds them, for those who ask.")
@NODE
@JSON
def hold(jobs: tuple[str, ...], by: str | None, node: str, as_json: bool) -> None:
    """Let nothing more of jobs start; what runs goes on."""
    _each(jobs, node, as_json, lambda client, job: client.hold(job, by))


@pbs.command()
@JOBS
@NODE
@JSON
def release(jobs: tuple[str, ...], node: str, as_json: bool) -> None:
    """Let held jobs go on."""
    _each(jobs, node, as_json, lambda client, job: client.release(job))


@pbs.command()
@click.argument("job")
@NODE
@JSON
def explain(job: str, node: str, as_json: bool) -> None:
    """Say why a job, or a task such as 412[3], waits, and why its tasks were stopped."""
    from tideusher.wire.arrays import parse_indexes
    from tideusher.wire.jobs import MAX_TASKS

    name, index = _job(job)
    if index is not None:
        array = call(node, lambda client: client.explain(name)).get("array")
        if not array:
            fail(f"{job}: it is over, or no array", 1)
        try:
            name += f"/{parse_indexes(array, MAX_TASKS).index(index)}"
        except ValueError as error:
            fail(f"{job}: {error}", 1)
    ask(node, as_json, lambda client: client.explain(name), show_explanation)


@pbs.command()
@click.argument("job")
@NODE
def script(job: str, node: str) -> None:
    """Print a job's script as it was submitted."""
    name = _whole(job)
    _, text = call(node, lambda client: client.script(name))
    sys.stdout.buffer.write(text)
