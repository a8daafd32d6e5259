"""Reads and checks the settings of a scale run: a TOML file with the cluster, its load and the faults.

Times are in seconds, or in milliseconds where the name ends in `_ms`; other amounts have the units of the protocol.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from tideusher.config import CloudSettings, ProcessResources, StateSettings, WorkerSettings
from tideusher.scale.errors import ScaleError
from tideusher.wire.jobs import BATCH, SERVICE

#: The users' bound on all processes of a run, of all roles together: a few hundred.
MAX_PROCESSES = 300
#: Workers that one process can serve: only the last two bytes of their addresses differ.
MAX_WORKERS_PER_PROCESS = 60_000
#: Hosts and real workers are distinguished by the second byte of their addresses.
MAX_WORKER_PROCESSES = 180
MAX_CONTROLLERS = 200

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Shape = Literal["batch", "gang", "service"]
Priority = Literal["critical", "urgent", "standard", "best_effort"]
Target = Literal["leader", "one", "all"]
Link = Literal["state", "peers", "cloud", "workers", "users"]
Mode = Literal["refuse", "hold"]
Count = Annotated[int, msgspec.Meta(ge=0)]
AtLeastOne = Annotated[int, msgspec.Meta(ge=1)]


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all tables: an unknown name is rejected, since it is most likely a typing error."""


class ControlSettings(Strict, frozen=True):
    """The number of controllers and the resources that the platform grants each of them."""

    controllers: Annotated[int, msgspec.Meta(ge=1, le=MAX_CONTROLLERS)]
    restart_s: NotNegative = 3.0
    cores: Positive = 1.0
    ram_mb: Positive = 256.0
    max_sockets: AtLeastOne = 2000

    def resources(self) -> ProcessResources:
        """Returns these values in the form of the controllers' settings file."""
        return ProcessResources(self.cores, self.ram_mb, self.max_sockets)


class FleetSettings(Strict, frozen=True):
    """The number of workers, their placement, and the number of processes that simulate them."""

    workers: AtLeastOne
    regions: AtLeastOne = 1
    zones_per_region: AtLeastOne = 1
    racks_per_zone: AtLeastOne = 10
    hollow_processes: AtLeastOne = 2
    real_workers: Count = 1
    spot_share: Share = 0.0


class MachineSettings(Strict, frozen=True):
    """The resources, start-up times and price of each machine."""

    cpus: Positive = 12.0
    gpus: NotNegative = 2.0
    ram_gb: Positive = 48.0
    boot_s: NotNegative = 5.0
    fetch_gb_per_s: Positive = 0.2
    cache_gb: Positive = 100.0
    price: Positive = 6.0


class LinkSettings(Strict, frozen=True):
    """One-way network delays between two hosts."""

    same_zone_ms: NotNegative = 0.2
    cross_zone_ms: NotNegative = 0.5
    cross_region_ms: NotNegative = 20.0


class StateLimits(Strict, frozen=True):
    """The limits of the simulated state service and the latency of its answers."""

    rps: Positive = 90.0
    write_rps: Positive = 25.0
    value_kb: Positive = 8.0
    txn_ops: AtLeastOne = 12
    latency_ms: NotNegative = 6.0
    region: Count = 0

    def settings(self) -> StateSettings:
        """Returns these values in the form of the controllers' settings file."""
        return StateSettings(self.rps, self.write_rps, self.value_kb, self.txn_ops)


class CloudLimits(Strict, frozen=True):
    """The limits of the simulated cloud, the lag of its lists and the latency of its answers."""

    rps: Positive = 5.0
    list_lag_s: NotNegative = 5.0
    latency_ms: NotNegative = 80.0

    def settings(self) -> CloudSettings:
        """Returns these values in the form of the controllers' settings file."""
        return CloudSettings(self.rps, self.list_lag_s)


class WorkerTimes(Strict, frozen=True):
    """Timings of workers, as in the settings of the controllers."""

    report_s: Positive = 2.5
    lease_s: Positive = 16.0
    gang_wait_s: Positive = 40.0
    gang_peer_s: Positive = 4.0
    cancel_s: Positive = 46.0

    def settings(self) -> WorkerSettings:
        """Returns these values in the form of the controllers' settings file."""
        return WorkerSettings(self.report_s, self.lease_s, self.gang_wait_s, self.gang_peer_s, self.cancel_s)


class TeamSettings(Strict, frozen=True):
    """The number of teams, and the guarantee and limit that each of them has; 0 means none."""

    count: AtLeastOne = 1
    cpus: NotNegative = 0.0
    cpus_max: NotNegative = 0.0
    gpus: NotNegative = 0.0
    gpus_max: NotNegative = 0.0


#: The longest time from a submission to its cancellation, where a class says nothing else.
CANCEL_WITHIN_S = 30.0


class JobClass(Strict, frozen=True):
    """A class of jobs: their shape and sizes, how many are submitted, and how long their tasks run."""

    name: Annotated[str, msgspec.Meta(min_length=1)]
    shape: Shape
    priority: Priority
    sizes: Annotated[list[AtLeastOne], msgspec.Meta(min_length=1)]
    weights: list[Positive] = []
    cpus: Positive = 1.0
    gpus: NotNegative = 0.0
    ram_gb: Positive = 1.0
    run_s: Positive = 60.0
    image_gb: NotNegative = 1.0
    images: AtLeastOne = 8
    initial: Count = 0
    per_minute: NotNegative = 0.0
    cancelled: Share = 0.0
    cancel_within_s: Positive = CANCEL_WITHIN_S  # users cancel at some time up to this after the submission
    one_zone: bool = False
    in_a_zone: bool = False  # each job is restricted to a zone
    spread: bool = False
    spot: bool = False
    checkpoint_s: NotNegative = 0.0
    save_s: NotNegative = 0.0


#: Faults of the state service.
STATE_FAULTS = ("state_out", "state_refuse", "state_slow", "state_late", "state_lost", "state_late_answer")
#: Faults of machines that do not stop the machine at once.
MACHINE_FAULTS = ("hang", "deaf", "mute", "recall")
#: Faults of the messages between workers and controllers.
MESSAGE_FAULTS = ("copies", "late_calls")


FaultKind = Literal[
    "machine",
    "rack",
    "zone",
    "controller",
    "leader",
    "regions",
    "replace",
    "burst",
    "kill",
    "pause",
    "cut",
    "state_out",
    "state_refuse",
    "state_slow",
    "state_late",
    "state_lost",
    "state_late_answer",
    "hang",
    "deaf",
    "mute",
    "recall",
    "copies",
    "late_calls",
]


class Fault(Strict, frozen=True):
    """A fault, or a burst of jobs, at a time of the run.

    machine: `count` machines stop; rack: the machines of a rack stop; zone: the machines and controllers of a zone
    stop, and nothing can be rented there for `for_s`; controller: `count` controllers are killed and restarted;
    leader: the leading controller is killed and restarted; regions: `region` and `other` are disconnected from each
    other for `for_s`; replace: from then on machines stop at a rate of `per_day`; burst: `count` jobs of a class are
    submitted.

    Of controllers, selected by `target`: kill (restarted after `back_s`), pause (stopped by a signal for `for_s`),
    cut (one `link` of theirs refuses connections or holds what is sent, see `mode`).
    Of the state service: state_out (503 for all), state_refuse (503 for the target), state_slow (up to `delay_s` more
    for each request), state_late (a `share` of transactions gets no answer and is executed later), state_lost (a
    `share` of transactions is executed but its answers are lost), state_late_answer (a `share` of transactions is
    executed at once and answered up to `delay_s` later, while all other requests are answered at once).
    Of `count` machines: hang (no reports, calls wait), deaf (they receive nothing), mute (they reach no controller),
    recall (spot machines, which the cloud takes back after `for_s`). Of messages: copies (a `share` of reports is
    delivered a second time later), late_calls (a `share` of direct calls is delayed).
    """

    at_s: NotNegative
    kind: FaultKind
    count: AtLeastOne = 1
    for_s: Positive = 30.0
    zone: Count = 0
    region: Count = 0
    other: Count = 1
    per_day: Positive = 1.0
    job_class: str = msgspec.field(name="class", default="")
    target: Target = "leader"  # the leader at that moment; controller `number`; all controllers
    number: Count = 0
    back_s: NotNegative = 1.0
    link: Link = "state"
    mode: Mode = "refuse"
    share: Share = 0.3
    delay_s: NotNegative = 0.5


class UserSettings(Strict, frozen=True):
    """The behaviour of users beyond submitting, polling and cancelling once.

    close_looks: the share of answers with news after which the user queries all controllers within milliseconds and
    repeats the submission there; hasty: the share of cancellations that follow the acceptance within fifty
    milliseconds; repeats: the share of cancellations that are sent to all controllers.
    """

    close_looks: Share = 0.0
    hasty: Share = 0.0
    repeats: Share = 0.0
    poll_s: Positive = 5.0


class Allowance(Strict, frozen=True):
    """The resources that a worker may spend on control, rather than on tasks."""

    core_share: Positive = 0.045
    memory_mb: Positive = 32.0
    bytes_per_s: Positive = 9000.0


class ScaleSettings(Strict, frozen=True):
    """The settings of a scale run."""

    name: str
    duration_s: Positive
    control: ControlSettings
    fleet: FleetSettings
    classes: Annotated[list[JobClass], msgspec.Meta(min_length=1)]
    seed: int = 1
    port: Annotated[int, msgspec.Meta(ge=1024, le=65000)] = 21000
    machine: MachineSettings = MachineSettings()
    links: LinkSettings = LinkSettings()
    state: StateLimits = StateLimits()
    cloud: CloudLimits = CloudLimits()
    workers: WorkerTimes = WorkerTimes()
    teams: TeamSettings = TeamSettings()
    users: UserSettings = UserSettings()
    quiet_s: NotNegative = 0.0  # at the end: all faults are over, and no job is submitted or cancelled any more
    faults: list[Fault] = []
    allowance: Allowance = Allowance()

    @property
    def zones(self) -> int:
        """Returns the number of zones over all regions."""
        return self.fleet.regions * self.fleet.zones_per_region

    @property
    def worker_processes(self) -> int:
        """Returns the number of processes for workers: hollow ones, and real ones with one machine each."""
        return self.fleet.hollow_processes + self.fleet.real_workers

    @property
    def processes(self) -> int:
        """Returns the number of processes: controllers, workers, state service, links, users and the run itself."""
        return self.control.controllers + self.worker_processes + 4


def load_scale_settings(path: str) -> ScaleSettings:
    """Reads and checks a settings file; raises ScaleError with one line that names the file and the setting."""
    try:
        raw = tomllib.loads(Path(path).read_text("utf-8"))
    except OSError as error:
        raise ScaleError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScaleError(f"{path}: not TOML: {error}") from None
    try:
        settings = msgspec.convert(raw, ScaleSettings)
        for reason in impossible(settings):
            raise ScaleError(f"{path}: {reason}")
    except msgspec.ValidationError as error:
        raise ScaleError(f"{path}: {error}") from None
    return settings


def impossible(settings: ScaleSettings) -> list[str]:
    """Returns the reasons why the run cannot be started, each of them one line."""
    return [*_check_sizes(settings), *_check_classes(settings), *_check_faults(settings)]


def _check_sizes(settings: ScaleSettings) -> list[str]:
    fleet, problems = settings.fleet, []
    hollow = fleet.workers - fleet.real_workers
    if hollow < fleet.hollow_processes:
        problems.append(
            f"fleet.workers = {fleet.workers} leaves {hollow} for {fleet.hollow_processes} hollow processes"
        )
    elif hollow > fleet.hollow_processes * MAX_WORKERS_PER_PROCESS:
        problems.append(f"fleet.workers = {fleet.workers}: a process can serve at most {MAX_WORKERS_PER_PROCESS}")
    if settings.worker_processes > MAX_WORKER_PROCESSES:
        problems.append(
            f"fleet: {settings.worker_processes} processes for workers, at most {MAX_WORKER_PROCESSES} are possible"
        )
    if settings.processes > MAX_PROCESSES:
        problems.append(f"the run needs {settings.processes} processes, at most {MAX_PROCESSES} are allowed")
    if settings.state.region >= fleet.regions:
        problems.append(f"state.region = {settings.state.region}: there are {fleet.regions} regions")
    if settings.workers.cancel_s <= settings.workers.lease_s:
        problems.append("workers.cancel_s must be above workers.lease_s")
    return problems


def _check_classes(settings: ScaleSettings) -> list[str]:
    machine, teams, problems = settings.machine, settings.teams, []
    names = [job_class.name for job_class in settings.classes]
    if len(set(names)) < len(names):
        problems.append("classes: duplicate name")
    for job_class in settings.classes:
        where = f"classes.{job_class.name}"
        if job_class.weights and len(job_class.weights) != len(job_class.sizes):
            problems.append(f"{where}: {len(job_class.sizes)} sizes and {len(job_class.weights)} weights")
        if job_class.cpus > machine.cpus or job_class.gpus > machine.gpus or job_class.ram_gb > machine.ram_gb:
            problems.append(f"{where}: a task fits no machine")
        if job_class.cancelled and job_class.shape == SERVICE:
            problems.append(f"{where}: cancelled is only possible for batches and gangs")
        tasks_at_once = max(job_class.sizes) if job_class.shape != BATCH else 1
        for kind, amount, limit in (
            ("cpus", job_class.cpus, teams.cpus_max),
            ("gpus", job_class.gpus, teams.gpus_max),
        ):
            if limit and tasks_at_once * amount > limit:
                problems.append(f"{where}: {tasks_at_once * amount:g} {kind} at once, a team's limit is {limit:g}")
    return problems


def _check_faults(settings: ScaleSettings) -> list[str]:
    names, problems = {job_class.name for job_class in settings.classes}, []
    for number, fault in enumerate(settings.faults):
        where = f"faults.{number} ({fault.kind})"
        if fault.at_s >= settings.duration_s:
            problems.append(f"{where}: at_s = {fault.at_s:g} is after the end")
        if fault.kind in ("zone", "rack") and fault.zone >= settings.zones:
            problems.append(f"{where}: zone = {fault.zone}, there are {settings.zones}")
        if fault.kind == "regions" and (
            max(fault.region, fault.other) >= settings.fleet.regions or fault.region == fault.other
        ):
            problems.append(f"{where}: region = {fault.region} and other = {fault.other} are no two regions")
        if fault.kind == "controller" and fault.count > settings.control.controllers:
            problems.append(f"{where}: count = {fault.count}, there are {settings.control.controllers}")
        if fault.number >= settings.control.controllers:
            problems.append(f"{where}: number = {fault.number}, there are {settings.control.controllers} controllers")
        if fault.kind == "burst" and fault.job_class not in names:
            problems.append(f"{where}: class = {fault.job_class!r} is none of the classes")
    return problems
