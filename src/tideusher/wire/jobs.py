"""Jobs as users submit them, and the answers they get."""

import math
import re

import msgspec

MAX_BODY = 64 * 1024
MAX_TASKS = 100_000
JOB_ID = re.compile(r"req-[0-9]{1,19}")
BATCH, GANG, SERVICE = "batch", "gang", "service"
#: Highest priority first; the position is the rank used for ordering and preemption.
PRIORITIES = ("critical", "urgent", "standard", "best_effort")
PENDING, RUNNING, DONE, CANCELLED = "pending", "running", "done", "withdrawn"


class InvalidJob(ValueError):
    """The submission is malformed; the text is the one-line reason for the user (400)."""


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """One submission. Field renames translate the users' words."""

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
    #: Our optional addition: the declared minimum runtime. Absent, it is derived from the shape.
    min_run_s: float | None = None

    @property
    def rank(self) -> int:
        """0 is the highest priority."""
        return PRIORITIES.index(self.priority)


_decoder: msgspec.json.Decoder[JobSpec] = msgspec.json.Decoder(JobSpec)


def parse_job(body: bytes) -> JobSpec:
    """Decode and check a submission; raises InvalidJob with a reason fit for the user."""
    if len(body) > MAX_BODY:
        raise InvalidJob("the body is over 64 KiB")
    try:
        spec = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidJob(str(error)) from None
    except RecursionError:  # of a field that we do not know, thousands deep: as bad the next time
        raise InvalidJob("it is nested too deeply") from None
    _check(spec)
    return spec


def _check(spec: JobSpec) -> None:
    if not JOB_ID.fullmatch(spec.id):
        raise InvalidJob("ref must look like req-000412")
    if spec.shape not in (BATCH, GANG, SERVICE):
        raise InvalidJob("shape must be batch, gang or service")
    if spec.priority not in PRIORITIES:
        raise InvalidJob("rank must be one of " + ", ".join(PRIORITIES))
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise InvalidJob(f"pieces must be from 1 to {MAX_TASKS}")
    amounts = {
        "cores": spec.cpus,
        "gpus": spec.gpus,
        "ram_gb": spec.ram_gb,
        "image_gb": spec.image_gb,
        "expect_s": spec.estimate_s,
        "mark_s": spec.checkpoint_s,
        "stow_s": spec.save_s,
        "due_s": spec.deadline_s or 0.0,
        "min_run_s": spec.min_run_s or 0.0,
    }
    for name, amount in amounts.items():
        if not math.isfinite(amount) or amount < 0:
            raise InvalidJob(f"{name} must be a number of at least 0")
    for name, text in (("jobclass", spec.job_class), ("owner", spec.team), ("bundle", spec.image)):
        if not text:
            raise InvalidJob(f"{name} must not be empty")


class JobStatus(msgspec.Struct, omit_defaults=True):
    """The answer to submissions, polls and cancellations."""

    id: str = msgspec.field(name="ref")
    status: str = ""
    done: int | None = None
    running: int | None = None
