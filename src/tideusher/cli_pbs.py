"""Commands for PBS batch scripts: `tideusher pbs ...`, with the options of the PBS commands."""

import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from tideusher.cli_common import JSON, NODE, call, call_and_show, fail, show_explanation, show_status

if TYPE_CHECKING:
    from tideusher.client import Client
    from tideusher.pbs import Profile, Script

#: Digits of a random ref, enough that two submitters do not draw the same one.
REF_DIGITS = 15
#: Click passes on the options that it does not know: those of PBS, whose letters are given.
PASS_THROUGH = {"ignore_unknown_options": True, "allow_interspersed_args": False}
WORDS = click.argument("words", nargs=-1, type=click.UNPROCESSED, metavar="[PBS OPTIONS] SCRIPT")
JOBS = click.argument("jobs", nargs=-1, required=True, metavar="JOB...")


@click.group()
def pbs() -> None:
    """Batch scripts with PBS directives."""


def _read(words: tuple[str, ...]) -> "tuple[Script, list[str]]":
    """Reads the script, the last argument, and the options before it; a refusal is one line and exit code 2."""
    from tideusher.pbs import Refusal, read_script
    from tideusher.pbs.options import COMMAND_LINE, split_operands

    try:
        _, operands = split_operands(words, COMMAND_LINE)
        if len(operands) != 1:
            fail(f"expected one SCRIPT (or - for standard input) after the options, not {len(operands)}", 2)
        options = list(words[: -len(operands)])
        if operands[0] == "-":
            return read_script(sys.stdin.buffer.read(), "STDIN", options), options
        return read_script(Path(operands[0]).read_bytes(), operands[0], options), options
    except OSError as error:
        fail(f"{operands[0]}: {error.strerror}", 2)
    except Refusal as error:
        fail(error, 2)


def _environment(script: "Script") -> dict[str, str]:
    """Returns the values of the variables that the script lists without a value, if they are set here."""
    import os

    from tideusher.pbs import Refusal, asked_of_environment

    try:
        return {name: os.environ[name] for name in asked_of_environment(script) if name in os.environ}
    except Refusal as error:
        fail(error, 2)


def _parse_job(text: str) -> tuple[str, int | None]:
    from tideusher.pbs.ids import BadId, parse_id

    try:
        return parse_id(text)
    except BadId as error:
        fail(error, 2)


def _parse_whole_job(text: str) -> str:
    job, index = _parse_job(text)
    if index is not None:
        fail(f"{text}: the command applies to whole jobs, not to one task of an array", 2)
    return job


def _apply_to_each(jobs: tuple[str, ...], node: str, as_json: bool, change: "Callable[[Client, str], Any]") -> None:
    """Applies a change to several jobs, after all names have been checked."""
    for job in [_parse_whole_job(text) for text in jobs]:
        call_and_show(node, as_json, partial(_apply_change, change, job), show_status)


def _apply_change(change: "Callable[[Client, str], Any]", job: str, client: "Client") -> Any:
    return change(client, job)


def _status_and_reasons(job: str) -> "Callable[[Client], Any]":
    return lambda client: (client.status(job), client.explain(job))


@pbs.command(context_settings=PASS_THROUGH)
@click.option("--ref", help="The native name of the job, to repeat a submission; by default a new one.")
@NODE
@JSON
@WORDS
def submit(words: tuple[str, ...], ref: str | None, node: str, as_json: bool) -> None:
    """Submit a SCRIPT (- for standard input) and print the job's name."""
    import secrets
    from datetime import datetime

    from tideusher.pbs.ids import native_name, pbs_id
    from tideusher.pbs.storage import compress_text
    from tideusher.wire.scripts import ScriptRequest

    script, options = _read(words)
    offset = datetime.now().astimezone().utcoffset()
    request = ScriptRequest(
        ref or native_name(10 ** (REF_DIGITS - 1) + secrets.randbelow(9 * 10 ** (REF_DIGITS - 1))),
        script.file,
        packed=compress_text(script.text),
        options=options,
        utc_offset_s=int(offset.total_seconds()) if offset else 0,
        environment=_environment(script),
    )
    quiet = any(option.letter == "z" for option in script.options)

    def show(accepted: Any) -> None:
        for line in [*accepted.waived, *accepted.notes]:
            click.echo(f"tideusher: {line}", err=True)
        if not quiet:
            click.echo(accepted.id)

    try:
        call_and_show(node, as_json, lambda client: client.submit_script(request), show)
    except SystemExit:
        click.echo(f"tideusher: to retry as the same job: --ref {request.ref} ({pbs_id(request.ref)})", err=True)
        raise


@pbs.command(context_settings=PASS_THROUGH)
@click.option(
    "--profile",
    "profile_path",
    type=click.Path(),
    help="The operators' properties; by default the node's.",
)
@click.option("--ref", default="req-000000", show_default=True, help="The job's native name.")
@NODE
@WORDS
def translate(words: tuple[str, ...], profile_path: str | None, ref: str, node: str) -> None:
    """Print the native job of a SCRIPT, as POST /work accepts it; refuses what a submission refuses."""
    from datetime import datetime

    import msgspec

    from tideusher.pbs import Refusal
    from tideusher.pbs import translate as translate_script

    script, _ = _read(words)
    profile = _profile(profile_path, node)
    try:
        submission = translate_script(script, profile, ref, datetime.now().astimezone(), _environment(script))
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
        fail(f"{path}: the file has no pbs.* settings", 2)
    return profile


def _state_letter(status: Any, reasons: list[str]) -> str:
    """Returns the PBS letter of a job's state."""
    if status.status in ("done", "withdrawn"):
        return "F"
    if status.held:
        return "H"
    if any("not to start before" in reason for reason in reasons):
        return "W"
    return "R" if status.status == "running" else "Q"


@pbs.command()
@JOBS
@NODE
def stat(jobs: tuple[str, ...], node: str) -> None:
    """Show jobs in a table: F finished, H held, W waits for its start time, R running, Q queued."""
    from tideusher.pbs.ids import pbs_id

    rows = [("Job id", "Name", "S", "Done", "Why")]
    for text in jobs:
        job = _parse_whole_job(text)
        status, explanation = call(node, _status_and_reasons(job))
        name, tasks = explanation.get("name") or "-", explanation.get("tasks")
        done = "-" if status.done is None else f"{status.done}/{tasks}" if tasks else str(status.done)
        reason = status.why or " ".join(explanation["reasons"])
        rows.append(
            (
                pbs_id(job, array=bool(explanation.get("array"))),
                name,
                _state_letter(status, explanation["reasons"]),
                done,
                reason,
            )
        )
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
    _apply_to_each(jobs, node, as_json, lambda client, job: client.cancel(job))


@pbs.command()
@JOBS
@click.option("--by", help="Who holds the jobs, shown in their state.")
@NODE
@JSON
def hold(jobs: tuple[str, ...], by: str | None, node: str, as_json: bool) -> None:
    """Hold jobs: no further task starts, running tasks continue."""
    _apply_to_each(jobs, node, as_json, lambda client, job: client.hold(job, by))


@pbs.command()
@JOBS
@NODE
@JSON
def release(jobs: tuple[str, ...], node: str, as_json: bool) -> None:
    """Release held jobs."""
    _apply_to_each(jobs, node, as_json, lambda client, job: client.release(job))


@pbs.command()
@click.argument("job")
@NODE
@JSON
def explain(job: str, node: str, as_json: bool) -> None:
    """Show why a job, or a task such as 412[3], waits, and why its tasks were stopped."""
    from tideusher.wire.arrays import parse_indexes
    from tideusher.wire.jobs import MAX_TASKS

    name, index = _parse_job(job)
    if index is not None:
        array = call(node, lambda client: client.explain(name)).get("array")
        if not array:
            fail(f"{job}: the job has ended or is not an array", 1)
        try:
            name += f"/{parse_indexes(array, MAX_TASKS).index(index)}"
        except ValueError as error:
            fail(f"{job}: {error}", 1)
    call_and_show(node, as_json, lambda client: client.explain(name), show_explanation)


@pbs.command()
@click.argument("job")
@NODE
def script(job: str, node: str) -> None:
    """Print a job's script as it was submitted."""
    name = _parse_whole_job(job)
    _, text = call(node, lambda client: client.script(name))
    sys.stdout.buffer.write(text)
