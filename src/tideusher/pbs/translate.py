"""From a script and a profile to a native job, exactly, or to a Refusal.

What a directive means is looked up by its letter in one table, `_READERS`; a letter that is in no table
cannot get here. What the native job has no field for and whoever runs the script must know is in `Run`.
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
from tideusher.pbs.profile import NOT_HONOURED, Profile, Queue
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
#: Parts of -l that are about the whole job.
_JOB_WIDE = ("ncpus", "ngpus", "mem", "pmem")


class Run(msgspec.Struct, frozen=True, omit_defaults=True):
    """What whoever runs a task of the job must know beside the native job: kept with the script's text."""

    file: str
    shell: str | None = None
    variables: dict[str, str] = {}
    cpus_per_process: int | None = None  # ompthreads
    processes: int | None = None  # mpiprocs


@dataclass(frozen=True, slots=True)
class Submission:
    """A script as a native job. `waived` and `notes` are told to the user each time, a line each."""

    spec: JobSpec
    run: Run
    waived: list[str]
    notes: list[str]


@dataclass(slots=True)
class _Wanted:
    """What the directives say, each with the option that says it, so that a refusal can name it."""

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
class _Around:
    """What the translation takes from outside."""

    profile: Profile
    now: datetime
    environment: Mapping[str, str]


def translate(
    script: Script, profile: Profile, ref: str, now: datetime, environment: Mapping[str, str] | None = None
) -> Submission:
    """Translate a script to the job `ref`; raises Refusal.

    `now` is the time of the submission with the submitter's offset from UTC, which `-a` is read by;
    `environment` holds the submitter's values of variables that `-v` names without one.
    """
    around = _Around(profile, now, environment or {})
    wanted, waived = _Wanted(), []
    for option in _in_force(script.options):
        if option.letter in NOT_HONOURED:
            if option.letter == "p" and re.fullmatch(r"[+-]?0+", option.value):
                continue  # the default
            if f"-{option.letter}" not in profile.waive:
                raise option.refuse(NOT_HONOURED[option.letter])
            waived.append(f"{option.file}:{option.line}: {option.directive}: waived by the operator")
        else:
            reason = _READERS[option.letter](wanted, option, around)
            if reason:
                waived += [f"{option.file}:{option.line}: {part}: waived by the operator" for part in reason]
    queue = _queue(wanted, profile)
    spec, chunk = _job(script, wanted, queue, ref)
    try:
        check_job(spec)
    except InvalidJob as error:
        raise Refusal(script.file, 0, "", str(error)) from None
    run = Run(script.file, wanted.shell, wanted.variables, chunk.ompthreads, chunk.mpiprocs)
    return Submission(spec, run, waived, script.notes)


def asked_of_environment(script: Script) -> list[str]:
    """Variables that -v names without a value: whoever submits the script has to hand them over."""
    given = [option for option in script.options if option.letter == "v"]
    return [name for name, value in _pairs(given[-1]) if value is None] if given else []


def _in_force(options: list[Option]) -> list[Option]:
    """Without those that a later one overrides; -l and -W are overridden part by part, when they are read."""
    last = {option.letter: option for option in options}
    return [option for option in options if option.letter in "lW" or last[option.letter] is option]


# ---------------------------------------------------------------- one directive at a time


def _account(wanted: _Wanted, option: Option, around: _Around) -> None:
    if option.letter == "A":
        wanted.account = option
    elif option.letter == "P":
        wanted.project = option
    else:
        wanted.queue = option


def _start(wanted: _Wanted, option: Option, around: _Around) -> None:
    wanted.not_before = _date_time(option, around.now).timestamp()


def _date_time(option: Option, now: datetime) -> datetime:
    """[[[[CC]YY]MM]DD]hhmm[.SS]; what is not said is the next such time."""
    found = _DATE.fullmatch(option.value)
    if not found:
        raise option.refuse("it is no time such as 2230, 12312230 or 202612312230.15")
    date, clock, seconds = found[1] or "", found[2], int(found[3] or 0)
    day = int(date[-2:]) if date else now.day
    month = int(date[-4:-2]) if len(date) >= 4 else now.month
    year = int(date[:-4]) if len(date) > 4 else now.year
    year += now.year // 100 * 100 if len(date) == 6 else 0
    try:
        at = now.replace(
            year=year, month=month, day=day, hour=int(clock[:2]), minute=int(clock[2:]), second=seconds, microsecond=0
        )
        if at < now and not date:
            at += timedelta(days=1)
        elif at < now and len(date) == 2:
            at = at.replace(year=year + month // 12, month=month % 12 + 1)
        elif at < now and len(date) == 4:
            at = at.replace(year=year + 1)
    except (ValueError, OverflowError):
        raise option.refuse("there is no such time") from None
    return at


def _checkpoint(wanted: _Wanted, option: Option, around: _Around) -> None:
    if option.value not in ("n", "u"):
        raise option.refuse("when a task saves is its queue's to say (mark_s); known are n and u")
    wanted.no_checkpoint = option.value == "n"


def _hold(wanted: _Wanted, option: Option, around: _Around) -> None:
    wanted.hold = True


def _array(wanted: _Wanted, option: Option, around: _Around) -> None:
    if wanted.array is not None and wanted.array[0].letter != option.letter:
        raise option.refuse(f"it contradicts {wanted.array[0].directive}: an array is given by -J or by -t")
    text, percent, slots = option.value.partition("%")
    try:
        indexes = parse_indexes(text, MAX_TASKS)
        at_once = parse_count(slots, 1) if percent else None
    except (InvalidArray, BadResource) as error:
        raise option.refuse(str(error)) from None
    if option.letter == "J" and ("," in text or len(indexes) < 2):
        raise option.refuse("-J takes one range X-Y or X-Y:Z of two numbers at least")
    wanted.array = option, indexes, text, at_once


def _resources(wanted: _Wanted, option: Option, around: _Around) -> list[str]:
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
        if f"-l {name}" in around.profile.waive and name not in _KNOWN:
            waived.append(f"-l {name}" + (f"={value}" if value else ""))
        elif name not in _KNOWN:
            raise option.refuse(f"resource {name!r} is not known; known are {', '.join(_KNOWN)}")
        elif value is None:
            raise option.refuse(f"{name} has no value")
        else:
            wanted.resources[name] = option, value
    return waived


def _name(wanted: _Wanted, option: Option, around: _Around) -> None:
    if len(option.value) > MAX_NAME or not option.value.isprintable() or " " in option.value:
        raise option.refuse(f"a name has 1 to {MAX_NAME} printable characters and no blank")
    wanted.name = option.value


def _rerun(wanted: _Wanted, option: Option, around: _Around) -> None:
    if option.value not in ("y", "n"):
        raise option.refuse("it is y or n")
    if option.value == "n":
        raise option.refuse("a task whose machine is lost is started again; that cannot be switched off")


def _shell(wanted: _Wanted, option: Option, around: _Around) -> None:
    if "@" in option.value or "," in option.value or not option.value.startswith("/"):
        raise option.refuse("one absolute path, for all machines")
    wanted.shell = option.value


def _variables(wanted: _Wanted, option: Option, around: _Around) -> None:
    wanted.variables = {}
    for name, value in _pairs(option):
        if value is None and name not in around.environment:
            raise option.refuse(f"{name} has no value where the script is submitted")
        wanted.variables[name] = around.environment[name] if value is None else value


def _pairs(option: Option) -> list[tuple[str, str | None]]:
    """NAME=VALUE and NAME, separated by commas; values may hold commas in quotes."""
    words = shlex.shlex(option.value, posix=True)
    words.whitespace, words.whitespace_split, words.commenters = ",", True, ""
    pairs = []
    try:
        for part in words:
            name, equals, value = part.partition("=")
            if not _VARIABLE.fullmatch(name):
                raise option.refuse(f"{part!r} is no NAME or NAME=VALUE")
            pairs.append((name, value if equals else None))
    except ValueError as error:
        if isinstance(error, Refusal):
            raise
        raise option.refuse("a quotation is not closed") from None
    return pairs


def _attributes(wanted: _Wanted, option: Option, around: _Around) -> list[str]:
    """-W: dependencies are honoured; a list of them holds commas, so it is read here."""
    name, equals, value = option.value.partition("=")
    if name != "depend":
        if f"-W {name}" in around.profile.waive:
            return [option.directive]
        raise option.refuse(f"attribute {name!r} is not known; known is depend")
    wanted.after = option, [one for part in value.split(",") for one in _after(option, part)]
    return []


def _after(option: Option, text: str) -> list[JobAfter]:
    kind, *names = text.split(":")
    if kind not in (AFTER, AFTER_OK, AFTER_NOT_OK, AFTER_ANY):
        raise option.refuse(f"dependency {kind!r} is not known; known are after, afterok, afternotok and afterany")
    if not names:
        raise option.refuse(f"{kind} names no job")
    found = []
    for name in names:
        try:
            job, index = parse_id(name)
        except BadId as error:
            raise option.refuse(str(error)) from None
        if index is not None:
            raise option.refuse(f"{name}: a job waits for whole arrays, not for one task")
        found.append(JobAfter(kind, job))
    return found


def _nothing(wanted: _Wanted, option: Option, around: _Around) -> None:
    """-z: what is printed is the command's own."""


_KNOWN = ("select", "nodes", "place", "walltime", *_JOB_WIDE)
_READERS: dict[str, Callable[[_Wanted, Option, _Around], list[str] | None]] = {
    "a": _start,
    "A": _account,
    "c": _checkpoint,
    "h": _hold,
    "J": _array,
    "l": _resources,
    "N": _name,
    "P": _account,
    "q": _account,
    "r": _rerun,
    "S": _shell,
    "t": _array,
    "v": _variables,
    "W": _attributes,
    "z": _nothing,
}


# ---------------------------------------------------------------- the job as a whole


def _queue(wanted: _Wanted, profile: Profile) -> Queue:
    if wanted.queue is None:
        return profile.queues[profile.default_queue]
    queue = profile.queues.get(wanted.queue.value)
    if queue is None:
        raise wanted.queue.refuse(f"there is no such queue; there are {', '.join(sorted(profile.queues))}")
    return queue


def _job(script: Script, wanted: _Wanted, queue: Queue, ref: str) -> tuple[JobSpec, Chunk]:
    tasks, chunk, ram_gb = _chunks(wanted, queue)
    place = _place(wanted, tasks)
    limit_s = _limit_s(script, wanted, queue)
    array = wanted.array
    if array is not None:
        if tasks > 1:
            raise array[0].refuse("an array of jobs of several chunks each: its tasks would be gangs")
        if len(array[1]) > queue.max_array:
            raise array[0].refuse(f"it has {len(array[1])} tasks; {queue.max_array} are possible in this queue")
    owner = wanted.account or wanted.project
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
        one_zone=place.group is not None and not array,  # a task of an array is one chunk, and in one zone
        spread=False,
        spot=queue.loaned,
        estimate_s=limit_s,
        checkpoint_s=0.0 if wanted.no_checkpoint else queue.mark_s,
        save_s=0.0 if wanted.no_checkpoint else queue.stow_s,
        name=wanted.name or _default_name(script.file),
        hold=HELD_BY if wanted.hold else None,
        not_before=wanted.not_before,
        after=wanted.after[1] if wanted.after else None,
        at_once=array[3] if array else None,
        limit_s=limit_s,
        array=array[2] if array else None,
    )
    return spec, chunk


def _default_name(file: str) -> str:
    name = "".join(c for c in os.path.basename(file) if c.isprintable() and c != " ")
    return name[:MAX_NAME] or "STDIN"


def _chunks(wanted: _Wanted, queue: Queue) -> tuple[int, Chunk, float]:
    """How many tasks, what each asks for, and its memory in GB."""
    given = wanted.resources
    if "select" in given and "nodes" in given:
        raise given["nodes"][0].refuse("nodes and select are two dialects; a job is written in one")
    wide = [name for name in _JOB_WIDE if name in given]
    if "select" in given:
        for name in wide:
            raise given[name][0].refuse(f"{name} stands in the chunks of select, not beside it")
        return _read(given["select"], parse_select, queue)
    if "nodes" in given:
        for name in ("ncpus", "ngpus"):
            if name in given:
                raise given[name][0].refuse(f"{name} and nodes are two dialects; a job is written in one")
    tasks, chunk, ram_gb = _read(given["nodes"], parse_nodes, queue) if "nodes" in given else (1, None, queue.mem_gb)
    if chunk is None:
        counts = {}
        for name, field_name, least in (("ncpus", "cpus", 1), ("ngpus", "gpus", 0)):
            if name in given:
                counts[field_name] = _value(given[name], partial(parse_count, least=least))
        chunk = Chunk(**counts)
    if "mem" in given and "pmem" in given:
        raise given["pmem"][0].refuse("pmem contradicts mem: memory is given once")
    if "mem" in given:
        ram_gb = _value(given["mem"], parse_size) / GB / tasks
    elif "pmem" in given:
        ram_gb = _value(given["pmem"], parse_size) / GB * (chunk.cpus or 1)
    return tasks, chunk, ram_gb


def _read(
    given: tuple[Option, str | None], parse: Callable[[str], tuple[int, Chunk]], queue: Queue
) -> tuple[int, Chunk, float]:
    tasks, chunk = _value(given, parse)
    if tasks > MAX_TASKS:
        raise given[0].refuse(f"{tasks} tasks; {MAX_TASKS} are possible")
    return tasks, chunk, queue.mem_gb if chunk.mem is None else chunk.mem / GB


def _value(given: tuple[Option, str | None], parse: Callable[[str], T]) -> T:
    try:
        return parse(given[1] or "")
    except BadResource as error:
        raise given[0].refuse(str(error)) from None


def _place(wanted: _Wanted, tasks: int) -> Place:
    given = wanted.resources.get("place")
    if given is None:
        return Place()
    place, option = _value(given, parse_place), given[0]
    if tasks > 1 and place.arrangement == "pack":
        raise option.refuse("that all chunks are on one machine is not promised; ask for one chunk")
    if tasks > 1 and place.arrangement != "free":
        raise option.refuse("that all chunks are on different machines is not promised")
    if place.sharing != "shared":
        raise option.refuse("that a machine is shared with nobody is not promised; ask for all of it")
    if place.group not in (None, "zone"):
        raise option.refuse(f"chunks can be grouped by zone, not by {place.group}")
    return place


def _limit_s(script: Script, wanted: _Wanted, queue: Queue) -> float:
    given = wanted.resources.get("walltime")
    most_s = queue.max_walltime_s
    if given is None:
        if most_s is None:
            raise Refusal(script.file, 0, "-l walltime", "it is missing, and this queue has none of its own")
        return most_s
    limit_s = float(_value(given, parse_duration_s))
    if most_s is not None and limit_s > most_s:
        raise given[0].refuse(f"{limit_s:g} s; {most_s:g} s are possible in this queue")
    return limit_s
