"""Decides whether a well-formed job can ever run: the only reasons for which the protocol lets us reject it.

The amounts are those that the user sent, exactly: with a tolerance, a job was accepted that no machine takes.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from decimal import Decimal
from enum import StrEnum

from tideusher.config import Team
from tideusher.wire.cloud import MachineType
from tideusher.wire.jobs import BATCH, JobSpec

#: Characters of a name of the user's that a reason repeats.
MAX_REPEATED = 60
#: Relative difference beyond which two doubles differ also as the decimal numbers that were sent.
ROUNDING = 1e-9


class RefusalKind(StrEnum):
    """Why a submission is refused, as a label of metrics."""

    NO_JSON = "no_json"
    FIELD = "field"
    TOO_LONG = "too_long"
    UNKNOWN_TEAM = "unknown_team"
    OVER_LIMIT = "over_limit"
    FITS_NO_MACHINE = "fits_no_machine"
    CONDITION = "condition"


@dataclass(frozen=True, slots=True)
class JobRefusal:
    """Why a job is refused for good, in one line for its user."""

    kind: RefusalKind
    reason: str


def exceeds_limit(spec: JobSpec, team: Team) -> JobRefusal | None:
    """Returns a refusal if the tasks that run at once need more than the team may ever use."""
    tasks = 1 if spec.shape == BATCH else spec.tasks
    for name, need, limit in (("CPUs", spec.cpus, team.cpus_max), ("GPUs", spec.gpus, team.gpus_max)):
        if limit and _product_exceeds(need, tasks, limit):
            reason = f"the job needs {need * tasks:g} {name}, the limit of team {team.name} is {limit:g}"
            return JobRefusal(RefusalKind.OVER_LIMIT, reason)
    return None


def _product_exceeds(need: float, tasks: int, limit: float) -> bool:
    """Compares as decimal numbers what is equal but for rounding: three tasks of 0.1 do not exceed 0.3."""
    product = need * tasks
    if abs(product - limit) > ROUNDING * limit:
        return product > limit
    return Decimal(repr(need)) * tasks > Decimal(repr(limit))


def fitting_types(spec: JobSpec, types: Iterable[MachineType]) -> list[str]:
    """Returns the names of the machine types that the job allows and on which a task of it fits."""
    return [
        machine_type.name
        for machine_type in types
        if (spec.types is None or machine_type.name in spec.types)
        and (spec.zone is None or spec.zone in machine_type.zones)
        and spec.cpus <= machine_type.cpus
        and spec.gpus <= machine_type.gpus
        and spec.ram_gb <= machine_type.ram_gb
    ]


def unknown_team(name: str) -> JobRefusal:
    """Returns the refusal of a job of a team that does not exist."""
    return JobRefusal(RefusalKind.UNKNOWN_TEAM, f"unknown team {name[:MAX_REPEATED]}")


def fits_no_machine() -> JobRefusal:
    """Returns the refusal of a job for which there are no machines."""
    return JobRefusal(RefusalKind.FITS_NO_MACHINE, "a task fits no allowed machine type")
