"""Job submissions and the responses to them."""

import re
import sys
from collections.abc import Callable
from dataclasses import dataclass
from operator import attrgetter

import msgspec

from tideusher.wire.amounts import DURATION, IMAGE, RESOURCE, Bounds
from tideusher.wire.arrays import InvalidArray, parse_indexes

#: Bytes of a submission.
MAX_BODY = 64 * 1024
MAX_TASKS = 100_000
JOB_ID = re.compile(r"req-[0-9]{1,19}")
BATCH, GANG, SERVICE = "batch", "gang", "service"
#: Highest priority first; the position is the rank used for ordering and preemption.
PRIORITIES = ("critical", "urgent", "standard", "best_effort")
PENDING, RUNNING, DONE, CANCELLED = "pending", "running", "done", "withdrawn"
#: Kinds of dependencies on another job: it has started, succeeded, ended without success, or ended either way.
AFTER, AFTER_OK, AFTER_NOT_OK, AFTER_ANY = "after", "afterok", "afternotok", "afterany"
#: Dependencies of a job.
MAX_AFTER = 64
#: Characters of a job's name and of the name of who holds it.
MAX_NAME = 230
#: Times are Unix times in seconds, before the year 5139.
MAX_UNIX_TIME_S = 1e11


class InvalidJob(ValueError):
    """The submission is invalid; the message is a one-line reason for the user (HTTP 400).

    `field` is the name of the invalid field on the wire, empty if the body as a whole is invalid.
    """

    def __init__(self, reason: str, field: str = "") -> None:
        super().__init__(reason)
        self.field = field


class After(msgspec.Struct, frozen=True):
    """A dependency: the job that must have started or ended first, and which of the two (`on`)."""

    on: str
    job: str = msgspec.field(name="ref")


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job submission. Field renames map the platform's wire names to the terms used here."""

    id: str = msgspec.field(name="ref")
    job_class: str = msgspec.field(name="jobclass")
    team: str = msgspec.field(name="owner")
    shape: str
    priority: str = msgspec.field(name="rank")
    tasks: int = msgspec.field(name="pieces")
    cpus: float = msgspec.field(name="cores")
    gpus: float
    ram_gb: float
    image: str = msgspec.field(name="bundle")
    image_gb: float
    one_zone: bool
    spread: bool = msgspec.field(name="apart")
    spot: bool = msgspec.field(name="loaned")
    estimate_s: float = msgspec.field(name="expect_s")
    checkpoint_s: float = msgspec.field(name="mark_s")
    save_s: float = msgspec.field(name="stow_s")
    types: list[str] | None = msgspec.field(name="hulls", default=None)
    zone: str | None = msgspec.field(name="harbor", default=None)
    deadline_s: float | None = msgspec.field(name="due_s", default=None)
    #: Optional extension: the declared minimum runtime. If absent, it is derived from the shape.
    min_run_s: float | None = None
    #: Further extensions, not part of the platform's protocol; `docs/pbs.md` defines each of them.
    name: str | None = None  # display name
    hold: str | None = None  # the job is accepted in the held state; who holds it
    not_before: float | None = None  # earliest start, Unix time in seconds
    after: list[After] | None = None
    at_once: int | None = None  # batch only: the number of tasks that may be placed at the same time
    limit_s: float | None = None  # a task that runs longer is stopped and not restarted
    array: str | None = None  # batch only: the indexes of its tasks, such as 1,4,7-9:2

    @property
    def rank(self) -> int:
        """The position in PRIORITIES; 0 is the highest priority."""
        return PRIORITIES.index(self.priority)

    @property
    def has_extensions(self) -> bool:
        """True if the job uses a field beside the platform's protocol. Evaluated for each submission."""
        return not (
            self.name is self.hold is self.not_before is self.after is self.at_once is None
            and self.limit_s is self.array is self.min_run_s is None
        )

    @property
    def conditional(self) -> bool:
        """True if the job uses features that require the setting `jobs.conditions`."""
        conditions = (self.hold, self.not_before, self.after, self.at_once, self.limit_s)
        return any(value is not None for value in conditions)


@dataclass(frozen=True, slots=True)
class AmountField:
    """An amount of a job: its name on the wire and in JobSpec, and the bounds within which decisions count it.

    The protocol allows every number of at least 0. One outside the bounds is counted as the nearest one within.
    """

    name: str
    attribute: str
    bounds: Bounds
    above_means_none: bool = False  # it is taken for null


AMOUNTS = (
    AmountField("cores", "cpus", RESOURCE),
    AmountField("gpus", "gpus", RESOURCE),
    AmountField("ram_gb", "ram_gb", RESOURCE),
    AmountField("image_gb", "image_gb", IMAGE),
    AmountField("expect_s", "estimate_s", DURATION),
    AmountField("mark_s", "checkpoint_s", DURATION),
    AmountField("stow_s", "save_s", DURATION),
    AmountField("due_s", "deadline_s", DURATION, above_means_none=True),
    AmountField("min_run_s", "min_run_s", DURATION),
    AmountField("limit_s", "limit_s", DURATION),
)
_amounts_of = attrgetter(*(field.attribute for field in AMOUNTS))
_LEAST_COUNTED = max(field.bounds.least for field in AMOUNTS)
_MOST_COUNTED = min(field.bounds.most for field in AMOUNTS)


def check_job(spec: JobSpec) -> JobSpec:
    """Raises InvalidJob if a field is invalid, also one beside the protocol; returns the job as it is to be stored.

    A deadline above the bounds is none: some clients send the largest double for that.
    """
    if not JOB_ID.fullmatch(spec.id):
        raise InvalidJob("ref must look like req-000412", "ref")
    if spec.shape not in (BATCH, GANG, SERVICE):
        raise InvalidJob("shape must be batch, gang or service", "shape")
    if spec.priority not in PRIORITIES:
        raise InvalidJob("rank must be one of " + ", ".join(PRIORITIES), "rank")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise InvalidJob(f"pieces must be from 1 to {MAX_TASKS}", "pieces")
    if not _are_counted_as_sent(spec):
        for field in AMOUNTS:
            check_amount(field, getattr(spec, field.attribute))
    for name, text in (("jobclass", spec.job_class), ("owner", spec.team), ("bundle", spec.image)):
        if not text:
            raise InvalidJob(f"{name} must not be empty", name)
    if spec.has_extensions:
        for check in EXTENSION_CHECKS.values():
            check(spec)
    if spec.deadline_s is not None and spec.deadline_s > DURATION.most:
        return msgspec.structs.replace(spec, deadline_s=None)
    return spec


def check_amount(field: AmountField, amount: float | None) -> None:
    """Raises InvalidJob if the amount is no number of at least 0."""
    if amount is not None and not 0 <= amount <= sys.float_info.max:
        raise InvalidJob(f"{field.name} must be a number of at least 0", field.name)


def computable(spec: JobSpec) -> JobSpec:
    """Returns a job with the amounts that decisions count with: the nearest ones within their bounds.

    An amount above 0 stays above 0: as 0, a share of a machine would be free, however many tasks take it, and
    `mark_s` and `due_s` would mean "never" and "at once".
    """
    if _are_counted_as_sent(spec):
        return spec
    changes: dict[str, float | None] = {}
    for field in AMOUNTS:
        amount = getattr(spec, field.attribute)
        if amount is not None and not field.bounds.contain(amount):
            is_none = field.above_means_none and amount > field.bounds.most
            changes[field.attribute] = None if is_none else field.bounds.clamp(amount)
    return msgspec.structs.replace(spec, **changes) if changes else spec


def _are_counted_as_sent(spec: JobSpec) -> bool:
    """True if all amounts are within the bounds of each of them; False for NaN. Evaluated for each submission."""
    amounts = [amount for amount in _amounts_of(spec) if amount]
    return not amounts or (min(amounts) >= _LEAST_COUNTED and sum(amounts) <= _MOST_COUNTED)


def _check_text(name: str, text: str | None) -> None:
    if text is not None and (not 0 < len(text) <= MAX_NAME or not text.isprintable()):
        raise InvalidJob(f"{name} must be 1 to {MAX_NAME} printable characters", name)


def _check_not_before(spec: JobSpec) -> None:
    if spec.not_before is not None and not 0 <= spec.not_before < MAX_UNIX_TIME_S:  # also rejects NaN
        raise InvalidJob("not_before must be a Unix time in seconds (since 1970)", "not_before")


def _check_limit(spec: JobSpec) -> None:
    if spec.limit_s is None:
        return
    if not spec.limit_s > 0:
        raise InvalidJob("limit_s must be a number above 0", "limit_s")
    if spec.shape == SERVICE:
        raise InvalidJob("limit_s is not allowed for a service, which runs until it is cancelled", "limit_s")


def _check_at_once(spec: JobSpec) -> None:
    if spec.at_once is not None and (spec.at_once < 1 or spec.shape != BATCH):
        raise InvalidJob("at_once must be at least 1 and is allowed for a batch only", "at_once")


def _check_after(spec: JobSpec) -> None:
    after = spec.after or []
    if len(after) > MAX_AFTER:
        raise InvalidJob(f"after names {len(after)} jobs; {MAX_AFTER} are possible", "after")
    for dependency in after:
        if dependency.on not in (AFTER, AFTER_OK, AFTER_NOT_OK, AFTER_ANY):
            raise InvalidJob(f"after: {dependency.on!r} is not one of after, afterok, afternotok, afterany", "after")
        if not JOB_ID.fullmatch(dependency.job):
            raise InvalidJob("after: ref must look like req-000412", "after")


def _check_array(spec: JobSpec) -> None:
    if spec.array is None:
        return
    if spec.shape != BATCH:
        raise InvalidJob("array is allowed for a batch only", "array")
    try:
        indexes = parse_indexes(spec.array, MAX_TASKS)
    except InvalidArray as error:
        raise InvalidJob(f"array: {error}", "array") from None
    if len(indexes) != spec.tasks:
        raise InvalidJob(f"array names {len(indexes)} tasks, pieces says {spec.tasks}", "array")


#: The fields beside the protocol, each with the check that raises InvalidJob for an invalid value.
EXTENSION_CHECKS: dict[str, Callable[[JobSpec], None]] = {
    "name": lambda spec: _check_text("name", spec.name),
    "hold": lambda spec: _check_text("hold", spec.hold),
    "not_before": _check_not_before,
    "limit_s": _check_limit,
    "at_once": _check_at_once,
    "after": _check_after,
    "array": _check_array,
    "min_run_s": lambda spec: None,
}


class JobStatus(msgspec.Struct, omit_defaults=True):
    """Response to submissions, polls and cancellations."""

    id: str = msgspec.field(name="ref")
    status: str = ""
    done: int | None = None
    running: int | None = None
    #: Extensions, absent if not applicable: who holds the job, and why the service ended it.
    held: str | None = None
    why: str | None = None
    #: Extension, in the answer to a submission: fields beside the protocol that were not taken into account.
    ignored: list[str] | None = None
