"""Translates a script, with the operators' profile, to a native job; raises Refusal if that cannot be exact.

Each option is handled by the function that `_DIRECTIVE_READERS` has for its letter; letters in no table are refused
by the parser. What a task needs at run time and the native job has no field for is in `RunSettings`.
"""

import os.path
import re
import shlex
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import partial
from typing import TypeVar

import msgspec

from tideusher.pbs.ids import BadId, parse_id
from tideusher.pbs.options import Option
from tideusher.pbs.profile import UNSUPPORTED, Profile, Queue
from tideusher.pbs.refusal import Refusal
from tideusher.pbs.resources import (
    BadResource,
    Chunk,
    Place,
    parse_count,
    parse_duration_s,
    parse_nodes,
    parse_place,
    parse_select,
    parse_size,
    split_list,
)
from tideusher.pbs.script import Script
from tideusher.wire.arrays import ArrayIndexes, InvalidArray, parse_indexes
from tideusher.wire.jobs import (
    AFTER,
    AFTER_ANY,
    AFTER_NOT_OK,
    AFTER_OK,
    BATCH,
    GANG,
    MAX_NAME,
    MAX_TASKS,
    InvalidJob,
    JobSpec,
    check_job,
)
from tideusher.wire.jobs import After as JobAfter

T = TypeVar("T")
GB = 1024**3
HELD_BY = "its user"
_VARIABLE = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")
_DATE = re.compile(r"((?:(?:(?:[0-9]{2})?[0-9]{2})?[0-9]{2})?[0-9]{2})?([0-9]{4})(?:\.([0-9]{2}))?")
#: Parts of -l that apply to the whole job.
_JOB_WIDE = ("ncpus", "ngpus", "mem", "pmem")


class RunSettings(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a task needs at run time beside the native job; stored with the script's text."""

    file: str
    shell: str | None = None
    variables: dict[str, str] = {}
    cpus_per_process: int | None = None  # ompthreads
    processes: int | None = None  # mpiprocs


@dataclass(frozen=True, slots=True)
class Submission:
    """A script as a native job. `waived` and `notes` are shown to the user with each submission, one line each."""

    spec: JobSpec
    run: RunSettings
    waived: list[str]
    notes: list[str]


@dataclass(slots=True)
class _Requested:
    """The values that the directives request, with the options that set them where a refusal must name them."""

    queue: Option | None = None
    account: Option | None = None
    project: Option | None = None
    array: tuple[Option, ArrayIndexes, str, int | None] | None = None
    resources: dict[str, tuple[Option, str | None]] = field(default_factory=dict)
    after: tuple[Option, list[JobAfter]] | None = None
    not_before: float | None = None
    hold: bool = False
    name: str | None = None
    shell: str | None = None
    no_checkpoint: bool = False
    variables: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Context:
    """Input of the translation besides the script."""

    profile: Profile
    now: datetime
    environment: Mapping[str, str]


def translate(
    script: Script, profile: Profile, ref: str, now: datetime, environment: Mapping[str, str] | None = None
) -> Submission:
    """Translates a script to the job `ref`; raises Refusal.

    `now` is the time of the submission with the submitter's offset from UTC, by which `-a` is interpreted.
    `environment` holds the submitter's values of the variables that `-v` lists without a value.
    """
    context = _Context(profile, now, environment or {})
    requested, waived = _Requested(), []
    for option in _effective_options(script.options):
        if option.letter in UNSUPPORTED:
            if option.letter == "p" and re.fullmatch(r"[+-]?0+", option.value):
                continue  # priority 0 is the default
            if f"-{option.letter}" not in profile.waive:
                raise option.refuse(UNSUPPORTED[option.letter])
            waived.append(f"{option.file}:{option.line}: {option.directive}: waived by the operator")
        else:
            waived_parts = _DIRECTIVE_READERS[option.letter](requested, option, context)
            if waived_parts:
                waived += [f"{option.file}:{option.line}: {part}: waived by the operator" for part in waived_parts]
    queue = _find_queue(requested, profile)
    spec, chunk = _build_job(script, requested, queue, ref)
    try:
        spec = check_job(spec)
    except InvalidJob as error:
        raise Refusal(script.file, 0, "", str(error)) from None
    run = RunSettings(script.file, requested.shell, requested.variables, chunk.ompthreads, chunk.mpiprocs)
    return Submission(spec, run, waived, script.notes)


def asked_of_environment(script: Script) -> list[str]:
    """Returns the variables that -v lists without a value, which the submitter must pass in `environment`."""
    options = [option for option in script.options if option.letter == "v"]
    return [name for name, value in _parse_variables(options[-1]) if value is None] if options else []


def _effective_options(options: list[Option]) -> list[Option]:
    """Returns the options without those that a later one overrides.

    All -l and -W are kept: they are overridden part by part when they are read.
    """
    last = {option.letter: option for option in options}
    return [option for option in options if option.letter in "lW" or last[option.letter] is option]


# ---------------------------------------------------------------- directives


def _read_account(requested: _Requested, option: Option, context: _Context) -> None:
    if option.letter == "A":
        requested.account = option
    elif option.letter == "P":
        requested.project = option
    else:
        requested.queue = option


def _read_start(requested: _Requested, option: Option, context: _Context) -> None:
    requested.not_before = _parse_date_time(option, context.now).timestamp()


def _parse_date_time(option: Option, now: datetime) -> datetime:
    """Parses [[[[CC]YY]MM]DD]hhmm[.SS]; with parts missing, it is the next matching time."""
    match = _DATE.fullmatch(option.value)
    if not match:
        raise option.refuse("it is not a time such as 2230, 12312230 or 202612312230.15")
    date, clock, seconds = match[1] or "", match[2], int(match[3] or 0)
    day = int(date[-2:]) if date else now.day
    month = int(date[-4:-2]) if len(date) >= 4 else now.month
    year = int(date[:-4]) if len(date) > 4 else now.year
    year += now.year // 100 * 100 if len(date) == 6 else 0
    try:
        start = now.replace(
            year=year, month=month, day=day, hour=int(clock[:2]), minute=int(clock[2:]), second=seconds, microsecond=0
        )
        if start < now and not date:
            start += timedelta(days=1)
        elif start < now and len(date) == 2:
            start = start.replace(year=year + month // 12, month=month % 12 + 1)
        elif start < now and len(date) == 4:
            start = start.replace(year=year + 1)
    except (ValueError, OverflowError):
        raise option.refuse("there is no such time") from None
    return start


def _read_checkpoint(requested: _Requested, option: Option, context: _Context) -> None:
    if option.value not in ("n", "u"):
        raise option.refuse("the queue sets when a task saves (mark_s); known values are n and u")
    requested.no_checkpoint = option.value == "n"


def _read_hold(requested: _Requested, option: Option, context: _Context) -> None:
    requested.hold = True


def _read_array(requested: _Requested, option: Option, context: _Context) -> None:
    if requested.array is not None and requested.array[0].letter != option.letter:
        raise option.refuse(f"it contradicts {requested.array[0].directive}: an array is given by -J or by -t")
    text, percent, slots = option.value.partition("%")
    try:
        indexes = parse_indexes(text, MAX_TASKS)
        at_once = parse_count(slots, 1) if percent else None
    except (InvalidArray, BadResource) as error:
        raise option.refuse(str(error)) from None
    if option.letter == "J" and ("," in text or len(indexes) < 2):
        raise option.refuse("-J takes one range X-Y or X-Y:Z of at least two numbers")
    requested.array = option, indexes, text, at_once


def _read_resources(requested: _Requested, option: Option, context: _Context) -> list[str]:
    waived = []
    try:
        pairs = split_list(option.value)
    except BadResource as error:
        raise option.refuse(str(error)) from None
    seen = set()
    for name, value in pairs:
        if name in seen:
            raise option.refuse(f"{name} is given twice")
        seen.add(name)
        if f"-l {name}" in context.profile.waive and name not in _KNOWN_RESOURCES:
            waived.append(f"-l {name}" + (f"={value}" if value else ""))
        elif name not in _KNOWN_RESOURCES:
            raise option.refuse(f"resource {name!r} is not known; known are {', '.join(_KNOWN_RESOURCES)}")
        elif value is None:
            raise option.refuse(f"{name} has no value")
        else:
            requested.resources[name] = option, value
    return waived


def _read_name(requested: _Requested, option: Option, context: _Context) -> None:
    if len(option.value) > MAX_NAME or not option.value.isprintable() or " " in option.value:
        raise option.refuse(f"a name has 1 to {MAX_NAME} printable characters and no blank")
    requested.name = option.value


def _read_rerun(requested: _Requested, option: Option, context: _Context) -> None:
    if option.value not in ("y", "n"):
        raise option.refuse("it must be y or n")
    if option.value == "n":
        raise option.refuse("a task whose machine is lost is started again; that cannot be switched off")


def _read_shell(requested: _Requested, option: Option, context: _Context) -> None:
    if "@" in option.value or "," in option.value or not option.value.startswith("/"):
        raise option.refuse("it must be one absolute path, for all machines")
    requested.shell = option.value


def _read_variables(requested: _Requested, option: Option, context: _Context) -> None:
    requested.variables = {}
    for name, value in _parse_variables(option):
        if value is None and name not in context.environment:
            raise option.refuse(f"{name} has no value where the script is submitted")
        requested.variables[name] = context.environment[name] if value is None else value


def _parse_variables(option: Option) -> list[tuple[str, str | None]]:
    """Parses NAME=VALUE and NAME, separated by commas; quoted values may contain commas."""
    words = shlex.shlex(option.value, posix=True)
    words.whitespace, words.whitespace_split, words.commenters = ",", True, ""
    pairs = []
    try:
        for part in words:
            name, equals, value = part.partition("=")
            if not _VARIABLE.fullmatch(name):
                raise option.refuse(f"{part!r} is not of the form NAME or NAME=VALUE")
            pairs.append((name, value if equals else None))
    except ValueError as error:
        if isinstance(error, Refusal):
            raise
        raise option.refuse("a quotation is not closed") from None
    return pairs


def _read_attributes(requested: _Requested, option: Option, context: _Context) -> list[str]:
    """Reads -W. Only dependencies are supported; their list contains commas, so it is split here."""
    name, equals, value = option.value.partition("=")
    if name != "depend":
        if f"-W {name}" in context.profile.waive:
            return [option.directive]
        raise option.refuse(f"attribute {name!r} is not known; known is depend")
    requested.after = (
        option,
        [job for part in value.split(",") for job in _parse_dependencies(option, part)],
    )
    return []


def _parse_dependencies(option: Option, text: str) -> list[JobAfter]:
    kind, *names = text.split(":")
    if kind not in (AFTER, AFTER_OK, AFTER_NOT_OK, AFTER_ANY):
        raise option.refuse(f"dependency {kind!r} is not known; known are after, afterok, afternotok and afterany")
    if not names:
        raise option.refuse(f"{kind} names no job")
    dependencies = []
    for name in names:
        try:
            job, index = parse_id(name)
        except BadId as error:
            raise option.refuse(str(error)) from None
        if index is not None:
            raise option.refuse(f"{name}: a job waits for whole arrays, not for one task")
        dependencies.append(JobAfter(kind, job))
    return dependencies


def _ignore(requested: _Requested, option: Option, context: _Context) -> None:
    """Ignores -z, which only affects what the command prints."""


_KNOWN_RESOURCES = ("select", "nodes", "place", "walltime", *_JOB_WIDE)
_DIRECTIVE_READERS: dict[str, Callable[[_Requested, Option, _Context], list[str] | None]] = {
    "a": _read_start,
    "A": _read_account,
    "c": _read_checkpoint,
    "h": _read_hold,
    "J": _read_array,
    "l": _read_resources,
    "N": _read_name,
    "P": _read_account,
    "q": _read_account,
    "r": _read_rerun,
    "S": _read_shell,
    "t": _read_array,
    "v": _read_variables,
    "W": _read_attributes,
    "z": _ignore,
}


# ---------------------------------------------------------------- the native job


def _find_queue(requested: _Requested, profile: Profile) -> Queue:
    if requested.queue is None:
        return profile.queues[profile.default_queue]
    queue = profile.queues.get(requested.queue.value)
    if queue is None:
        raise requested.queue.refuse(f"there is no such queue; there are {', '.join(sorted(profile.queues))}")
    return queue


def _build_job(script: Script, requested: _Requested, queue: Queue, ref: str) -> tuple[JobSpec, Chunk]:
    tasks, chunk, ram_gb = _parse_chunks(requested, queue)
    place = _parse_placement(requested, tasks)
    limit_s = _time_limit_s(script, requested, queue)
    array = requested.array
    if array is not None:
        if tasks > 1:
            raise array[0].refuse("an array of jobs of several chunks each: its tasks would be gangs")
        if len(array[1]) > queue.max_array:
            raise array[0].refuse(f"it has {len(array[1])} tasks; {queue.max_array} are possible in this queue")
    owner = requested.account or requested.project
    spec = JobSpec(
        id=ref,
        job_class=queue.jobclass,
        team=owner.value if owner else queue.owner,
        shape=BATCH if array else GANG,
        priority=queue.rank,
        tasks=len(array[1]) if array else tasks,
        cpus=float(chunk.cpus or 1),
        gpus=float(chunk.gpus or 0),
        ram_gb=ram_gb,
        image=queue.bundle,
        image_gb=queue.image_gb,
        one_zone=place.group is not None and not array,  # an array's task is one chunk, in one zone anyway
        spread=False,
        spot=queue.loaned,
        estimate_s=limit_s,
        checkpoint_s=0.0 if requested.no_checkpoint else queue.mark_s,
        save_s=0.0 if requested.no_checkpoint else queue.stow_s,
        name=requested.name or _default_name(script.file),
        hold=HELD_BY if requested.hold else None,
        not_before=requested.not_before,
        after=requested.after[1] if requested.after else None,
        at_once=array[3] if array else None,
        limit_s=limit_s,
        array=array[2] if array else None,
    )
    return spec, chunk


def _default_name(file: str) -> str:
    name = "".join(c for c in os.path.basename(file) if c.isprintable() and c != " ")
    return name[:MAX_NAME] or "STDIN"


def _parse_chunks(requested: _Requested, queue: Queue) -> tuple[int, Chunk, float]:
    """Returns the number of tasks, the resources of each, and its memory in GB."""
    given = requested.resources
    if "select" in given and "nodes" in given:
        raise given["nodes"][0].refuse("nodes and select are two dialects; a job is written in one")
    job_wide = [name for name in _JOB_WIDE if name in given]
    if "select" in given:
        for name in job_wide:
            raise given[name][0].refuse(f"{name} stands in the chunks of select, not beside it")
        return _read_chunks(given["select"], parse_select, queue)
    if "nodes" in given:
        for name in ("ncpus", "ngpus"):
            if name in given:
                raise given[name][0].refuse(f"{name} and nodes are two dialects; a job is written in one")
    tasks, chunk, ram_gb = (
        _read_chunks(given["nodes"], parse_nodes, queue) if "nodes" in given else (1, None, queue.mem_gb)
    )
    if chunk is None:
        counts = {}
        for name, field_name, minimum in (("ncpus", "cpus", 1), ("ngpus", "gpus", 0)):
            if name in given:
                counts[field_name] = _parse_value(given[name], partial(parse_count, minimum=minimum))
        chunk = Chunk(**counts)
    if "mem" in given and "pmem" in given:
        raise given["pmem"][0].refuse("pmem contradicts mem: memory is given once")
    if "mem" in given:
        ram_gb = _parse_value(given["mem"], parse_size) / GB / tasks
    elif "pmem" in given:
        ram_gb = _parse_value(given["pmem"], parse_size) / GB * (chunk.cpus or 1)
    return tasks, chunk, ram_gb


def _read_chunks(
    given: tuple[Option, str | None], parse: Callable[[str], tuple[int, Chunk]], queue: Queue
) -> tuple[int, Chunk, float]:
    tasks, chunk = _parse_value(given, parse)
    if tasks > MAX_TASKS:
        raise given[0].refuse(f"{tasks} tasks; at most {MAX_TASKS} are possible")
    return tasks, chunk, queue.mem_gb if chunk.mem is None else chunk.mem / GB


def _parse_value(given: tuple[Option, str | None], parse: Callable[[str], T]) -> T:
    try:
        return parse(given[1] or "")
    except BadResource as error:
        raise given[0].refuse(str(error)) from None


def _parse_placement(requested: _Requested, tasks: int) -> Place:
    given = requested.resources.get("place")
    if given is None:
        return Place()
    place, option = _parse_value(given, parse_place), given[0]
    if tasks > 1 and place.arrangement == "pack":
        raise option.refuse("that all chunks are on one machine is not promised; ask for one chunk")
    if tasks > 1 and place.arrangement != "free":
        raise option.refuse("that all chunks are on different machines is not promised")
    if place.sharing != "shared":
        raise option.refuse("that a machine is shared with nobody is not promised; ask for all of it")
    if place.group not in (None, "zone"):
        raise option.refuse(f"chunks can be grouped by zone, not by {place.group}")
    return place


def _time_limit_s(script: Script, requested: _Requested, queue: Queue) -> float:
    given = requested.resources.get("walltime")
    max_s = queue.max_walltime_s
    if given is None:
        if max_s is None:
            raise Refusal(script.file, 0, "-l walltime", "it is missing, and this queue has none of its own")
        return max_s
    limit_s = float(_parse_value(given, parse_duration_s))
    if max_s is not None and limit_s > max_s:
        raise given[0].refuse(f"{limit_s:g} s; {max_s:g} s are possible in this queue")
    return limit_s
