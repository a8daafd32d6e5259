"""A job's own record in the state service: how it is written when it is accepted, changed and over."""

from typing import Any

import msgspec

from tideusher.core.model import keys
from tideusher.core.model.records import OPEN, Job
from tideusher.wire.jobs import JobSpec

#: So many of a job's stops are on record while it is open.
MAX_STOPS_KEPT = 6


def open_value(spec: JobSpec, wall_us: int) -> dict[str, Any]:
    """A job's own record as accepted; held from the start if it says so."""
    value = {"st": OPEN, "at": wall_us, "spec": msgspec.to_builtins(spec)}
    return held_value(value, spec.hold) if spec.hold else value


def is_final(key: str, value: Any) -> bool:
    """Is this the record of a job that is over?"""
    return key.startswith(keys.JOB_PREFIX) and value is not None and value.get("st", OPEN) != OPEN


def held_value(value: dict[str, Any], by: str) -> dict[str, Any]:
    """An open job's record with a hold on it; without one if `by` is empty."""
    rest = {name: part for name, part in value.items() if name != "hold"}
    return {**rest, "hold": by} if by else rest


def holder(value: dict[str, Any]) -> str:
    """Who holds the job of this record; empty: nobody."""
    return value.get("hold", "")


def shrunk_value(value: dict[str, Any], tasks: int) -> dict[str, Any]:
    """An open service's record with fewer tasks; as it is if it has no more than that."""
    if value["spec"]["pieces"] <= tasks:
        return value
    return {**value, "spec": {**value["spec"], "pieces": tasks}}


def over_limit_reason(spec: JobSpec) -> str:
    """Why a task was stopped for good."""
    return f"it ran longer than its job's limit of {spec.limit_s:g} s"


def final_value(job: Job, status: str, why: str = "") -> dict[str, Any]:
    """A job's own record once it is over: kept for ever, so kept small."""
    value: dict[str, Any] = {"st": status, "at": job.submitted_us, "n": job.spec.tasks}
    if why:
        value["why"] = why
        if job.begun:
            value["b"] = 1
    if job.stops:
        value["w"] = job.stops[-MAX_STOPS_KEPT // 2 :]
    return value
