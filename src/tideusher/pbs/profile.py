"""The operators' `pbs.*` properties: job settings that PBS has no directives for (listed in docs/pbs.md)."""

import re
from collections.abc import Mapping
from typing import Annotated

import msgspec

from tideusher.pbs.options import FLAGS, WITH_VALUE
from tideusher.wire.jobs import MAX_TASKS, PRIORITIES

PREFIX = "pbs."
_AMOUNT = msgspec.Meta(ge=0, lt=1e9)
_QUEUE_KEY = re.compile(r"pbs\.queue\.([A-Za-z][A-Za-z0-9_-]{0,31})\.([a-z_]+)")

#: Options without support, with the reason. They are refused unless the operator waives them by name.
UNSUPPORTED = {
    "e": "files of output are not kept yet",
    "f": "a submission does not stay in the foreground",
    "F": "arguments are not passed to scripts",
    "G": "group limits are not known here",
    "I": "jobs are not interactive",
    "j": "files of output are not kept yet",
    "k": "files of output are not kept yet",
    "m": "no mail is sent",
    "M": "no mail is sent",
    "o": "files of output are not kept yet",
    "p": "the rank of a job is its queue's",
    "R": "files of output are not kept yet",
    "T": "scripts have no prologue here",
    "u": "jobs do not run as another user",
    "x": "jobs are not interactive",
    "X": "jobs are not interactive",
    "V": "the whole environment is not taken along; name the variables with -v",
    "d": "the submitter's directories do not exist on the machines",
    "w": "the submitter's directories do not exist on the machines",
}


class ProfileError(ValueError):
    """A property is invalid; `name` is its name, the message gives the reason."""

    def __init__(self, name: str, reason: str) -> None:
        super().__init__(f"{name}: {reason}")
        self.name, self.reason = name, reason


class Queue(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The native settings and limits of a queue's jobs. Times in seconds, sizes in GB."""

    owner: Annotated[str, msgspec.Meta(min_length=1)]
    jobclass: Annotated[str, msgspec.Meta(min_length=1)]
    bundle: Annotated[str, msgspec.Meta(min_length=1)]
    image_gb: Annotated[float, _AMOUNT]
    mem_gb: Annotated[float, msgspec.Meta(gt=0, lt=1e9)]
    rank: str = "standard"
    loaned: bool = False
    max_walltime_s: Annotated[float, msgspec.Meta(gt=0, lt=1e9)] | None = None
    max_array: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)] = 10_000
    mark_s: Annotated[float, _AMOUNT] = 0.0
    stow_s: Annotated[float, _AMOUNT] = 0.0


class Profile(msgspec.Struct, frozen=True):
    """All queues by name, the default queue, and the directives that the operator waives."""

    queues: dict[str, Queue]
    default_queue: str
    waive: frozenset[str] = frozenset()


def parse_profile(properties: Mapping[str, str]) -> Profile:
    """Parses the `pbs.*` properties; raises ProfileError for the first invalid one."""
    queues: dict[str, dict[str, str]] = {}
    default, waive = "", frozenset[str]()
    for name, value in properties.items():
        if not name.startswith(PREFIX):
            continue
        match = _QUEUE_KEY.fullmatch(name)
        if match:
            queues.setdefault(match[1], {})[match[2]] = value
        elif name == "pbs.default_queue":
            default = value
        elif name == "pbs.waive":
            waive = _parse_waived(value)
        else:
            raise ProfileError(name, "there is no such setting")
    parsed = {queue: _parse_queue(queue, values) for queue, values in queues.items()}
    if default not in parsed:
        raise ProfileError("pbs.default_queue", f"there is no queue {default!r}" if default else "it is missing")
    return Profile(parsed, default, waive)


def _parse_queue(queue: str, values: dict[str, str]) -> Queue:
    known = {field.name for field in msgspec.structs.fields(Queue)}
    for name, value in values.items():
        if name not in known:
            raise ProfileError(f"pbs.queue.{queue}.{name}", "there is no such setting of a queue")
        if name == "rank" and value not in PRIORITIES:
            raise ProfileError(f"pbs.queue.{queue}.rank", "it must be one of " + ", ".join(PRIORITIES))
    try:
        return msgspec.convert(values, Queue, strict=False)
    except msgspec.ValidationError as error:
        # the message ends in "- at `$.mem_gb`", or in "missing required field `owner`"
        fields = re.findall(r"`(?:\$\.)?([a-z_]+)`", str(error))
        name = f"pbs.queue.{queue}.{fields[-1] if fields else ''}"
        raise ProfileError(name, re.sub(r" - at `.*", "", str(error))) from None


def _parse_waived(text: str) -> frozenset[str]:
    """Parses the waived options and parts of -W and -l, such as `-m,-M,-W umask,-l software`."""
    names = set()
    for part in filter(None, (" ".join(word.split()) for word in text.split(","))):
        option, _, name = part.partition(" ")
        letter = option.removeprefix("-")
        if option != f"-{letter}" or letter not in FLAGS | WITH_VALUE:
            raise ProfileError("pbs.waive", f"{part!r} is not an option such as -m")
        if letter not in UNSUPPORTED and not (letter in "lW" and name):
            raise ProfileError("pbs.waive", f"{part!r} is honoured, and cannot be waived")
        names.add(part)
    return frozenset(names)
