"""Encoding of a job's own record in the state service: as accepted, as changed, and as final."""

from typing import Any

import msgspec

from tideusher.core.model import keys
from tideusher.core.model.records import JOB_CANCELLED, OPEN, Job
from tideusher.wire.jobs import AMOUNTS, MAX_NAME, JobSpec, computable

#: Stops of a job that its record keeps while it is open.
MAX_STOPS_KEPT = 6
#: Optional fields of a description that matter only while the job may start.
DROPPED_WHEN_CANCELLED = frozenset(("name", "hold", "not_before", "after", "array", "due_s", "min_run_s", "hulls"))


def open_value(spec: JobSpec, wall_us: int) -> dict[str, Any]:
    """Returns the record of an accepted job; held from the start if its spec asks for that."""
    value = {"st": OPEN, "at": wall_us, "spec": msgspec.to_builtins(spec)}
    return held_value(value, spec.hold) if spec.hold else value


def accepted_value(spec: JobSpec, wall_us: int) -> dict[str, Any]:
    """Returns the record of a job as its user sent it: with the amounts that every version can count with.

    Those that its user sent, where they differ, are kept beside them.
    """
    counted = computable(spec)
    value = open_value(counted, wall_us)
    if counted is spec:
        return value
    sent = {
        field.name: getattr(spec, field.attribute)
        for field in AMOUNTS
        if getattr(spec, field.attribute) != getattr(counted, field.attribute)
    }
    return {**value, "sent": sent}


def short_text(text: str) -> str:
    """Returns a text that names a class or an image, short enough for a record; different texts stay different."""
    if len(text) <= MAX_NAME:
        return text
    import xxhash  # imported with the first long text, not at each start

    return f"{text[: MAX_NAME // 4]}~{xxhash.xxh3_128_hexdigest(text.encode())}"


def shortened(spec: JobSpec, fitting: list[str]) -> JobSpec:
    """Returns the job for a record that is too large otherwise: the protocol bounds its body only.

    `fitting`: the machine types on which it fits, of those that it allows. Only these can be rented for it; a name
    that the cloud does not know yet is given up.
    """
    return msgspec.structs.replace(
        spec,
        job_class=short_text(spec.job_class),
        image=short_text(spec.image),
        types=None if spec.types is None else fitting,
    )


def sent_amounts(value: dict[str, Any]) -> dict[str, float]:
    """Returns the amounts that are counted with others than the user sent, as they were sent."""
    return value.get("sent", {})


def cancelled_value(value: dict[str, Any], begun: bool) -> dict[str, Any]:
    """Returns the record of an open job as its user cancels it; `begun`: a task of it may have started."""
    started = {"b": 1} if begun else {}
    return {**value, "st": JOB_CANCELLED, **started}


def without_extras(value: dict[str, Any]) -> dict[str, Any]:
    """Returns a cancelled job's record with only what its tasks on machines are still accounted by."""
    spec = {name: part for name, part in value["spec"].items() if name not in DROPPED_WHEN_CANCELLED}
    return {**held_value(value, ""), "spec": spec}


def reserved_size(value: dict[str, Any]) -> int:
    """Returns the size in bytes that an accepted job's record may grow to without a choice of its user's.

    It can always be cancelled; whoever holds it can be told that the name is too long.
    """
    return len(msgspec.json.encode(cancelled_value(value, begun=True)))


def is_final(key: str, value: Any) -> bool:
    """Returns whether this is the record of a job that is over."""
    return key.startswith(keys.JOB_PREFIX) and value is not None and value.get("st", OPEN) != OPEN


def held_value(value: dict[str, Any], by: str) -> dict[str, Any]:
    """Returns an open job's record with a hold; without one if `by` is empty."""
    rest = {name: part for name, part in value.items() if name != "hold"}
    return {**rest, "hold": by} if by else rest


def holder(value: dict[str, Any]) -> str:
    """Returns who holds the job of this record; empty if nobody does."""
    return value.get("hold", "")


def shrunk_value(value: dict[str, Any], tasks: int) -> dict[str, Any]:
    """Returns an open service's record with at most `tasks` tasks."""
    if value["spec"]["pieces"] <= tasks:
        return value
    return {**value, "spec": {**value["spec"], "pieces": tasks}}


def over_limit_reason(spec: JobSpec) -> str:
    """Returns the reason of the final stop of a task that exceeded its job's limit."""
    return f"it ran longer than its job's limit of {spec.limit_s:g} s"


def final_value(job: Job, status: str, why: str = "") -> dict[str, Any]:
    """Returns the record of a job that is over; it is kept forever and therefore small."""
    value: dict[str, Any] = {"st": status, "at": job.submitted_us, "n": job.spec.tasks}
    if why:
        value["why"] = why
        if job.begun:
            value["b"] = 1
    if job.stops:
        value["w"] = job.stops[-MAX_STOPS_KEPT // 2 :]
    return value
