"""The settings of a scale run, a TOML file: what is run, with which load and which faults, and whether that can be.

Times are in seconds, or milliseconds where the name says so; amounts are those of the protocol.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from tideusher.config import CloudSettings, ProcessResources, StateSettings, WorkerSettings
from tideusher.scale.errors import ScaleError
from tideusher.wire.jobs import BATCH, SERVICE

#: The users' bound: a few hundred processes, all roles together.
MAX_PROCESSES = 300
#: Workers that one process can serve: their addresses share the last two bytes.
MAX_WORKERS_A_PROCESS = 60_000
#: Hosts and real workers are told apart by the second byte of their addresses.
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
    """Base of all tables: an unknown name is refused, it is likely a slip."""


class ControlSettings(Strict, frozen=True):
    """The controllers: how many, and what the platform grants each of them."""

    controllers: Annotated[int, msgspec.Meta(ge=1, le=MAX_CONTROLLERS)]
    restart_s: NotNegative = 3.0
    cores: Positive = 1.0
    ram_mb: Positive = 256.0
    max_sockets: AtLeastOne = 2000

    def resources(self) -> ProcessResources:
        """As the controllers' settings file has it."""
        return ProcessResources(self.cores, self.ram_mb, self.max_sockets)


class FleetSettings(Strict, frozen=True):
    """The workers: how many, where, and by how many processes they are played."""

    workers: AtLeastOne
    regions: AtLeastOne = 1
    zones_per_region: AtLeastOne = 1
    racks_per_zone: AtLeastOne = 10
    hollow_processes: AtLeastOne = 2
    real_workers: Count = 1
    spot_share: Share = 0.0


class MachineSettings(Strict, frozen=True):
    """What each machine has."""

    cpus: Positive = 12.0
    gpus: NotNegative = 2.0
    ram_gb: Positive = 48.0
    boot_s: NotNegative = 5.0
    fetch_gb_per_s: Positive = 0.2
    cache_gb: Positive = 100.0
    price: Positive = 6.0


class LinkSettings(Strict, frozen=True):
    """One-way delays between two hosts."""

    same_zone_ms: NotNegative = 0.2
    cross_zone_ms: NotNegative = 0.5
    cross_region_ms: NotNegative = 20.0


class StateLimits(Strict, frozen=True):
    """What the stand-in of the state service takes, and how long an answer needs."""

    rps: Positive = 90.0
    write_rps: Positive = 25.0
    value_kb: Positive = 8.0
    txn_ops: AtLeastOne = 12
    latency_ms: NotNegative = 6.0
    region: Count = 0

    def settings(self) -> StateSettings:
        """As the controllers' settings file has it."""
        return StateSettings(self.rps, self.write_rps, self.value_kb, self.txn_ops)


class CloudLimits(Strict, frozen=True):
    """What the stand-in of the cloud takes."""

    rps: Positive = 5.0
    list_lag_s: NotNegative = 5.0
    latency_ms: NotNegative = 80.0

    def settings(self) -> CloudSettings:
        """As the controllers' settings file has it."""
        return CloudSettings(self.rps, self.list_lag_s)


class WorkerTimes(Strict, frozen=True):
    """Timings of workers, as the controllers are told."""

    report_s: Positive = 2.5
    lease_s: Positive = 16.0
    gang_wait_s: Positive = 40.0
    gang_peer_s: Positive = 4.0
    cancel_s: Positive = 46.0

    def settings(self) -> WorkerSettings:
        """As the controllers' settings file has it."""
        return WorkerSettings(self.report_s, self.lease_s, self.gang_wait_s, self.gang_peer_s, self.cancel_s)


class TeamSettings(Strict, frozen=True):
    """So many teams with the same guarantee and limit; 0 means none."""

    count: AtLeastOne = 1
    cpus: NotNegative = 0.0
    cpus_max: NotNegative = 0.0
    gpus: NotNegative = 0.0
    gpus_max: NotNegative = 0.0


class JobClass(Strict, frozen=True):
    """Jobs of one class: their shape, how many come, and how long their tasks run."""

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
    one_zone: bool = False
    in_a_zone: bool = False  # each job names a zone that it may run in
    spread: bool = False
    spot: bool = False
    checkpoint_s: NotNegative = 0.0
    save_s: NotNegative = 0.0


#: Faults of the state service.
STATE_FAULTS = ("state_out", "state_refuse", "state_slow", "state_late", "state_lost")
#: Faults of machines that stay where they are.
MACHINE_FAULTS = ("hang", "deaf", "mute", "recall")
#: Faults of what workers and controllers send each other.
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
    "hang",
    "deaf",
    "mute",
    "recall",
    "copies",
    "late_calls",
]


class Fault(Strict, frozen=True):
    """What goes wrong, or comes at once, at a time.

    machine: `count` machines stop; rack: one rack does; zone: all of one zone do, with its controllers, and nothing
    is to be had there for `for_s`; controller: `count` of them are killed and come back; leader: the one that leads
    is; regions: `region` and `other` lose each other for `for_s`; replace: from then on machines stop at a rate of
    `per_day`; burst: `count` jobs of a class are submitted.

    Of controllers, `target` says which: kill, and back after `back_s`; pause: stopped by a signal for `for_s`; cut:
    one `link` of theirs refuses connections or holds what is sent (`mode`).
    Of the state service: state_out (503 for all), state_refuse (503 for the target), state_slow (up to `delay_s` for
    each request), state_late (that `share` of transactions gets no answer and is carried out later), state_lost (only
    their answers are lost).
    Of `count` machines: hang (no report, calls wait), deaf (they hear nothing), mute (they reach no controller),
    recall (spot ones: taken after `for_s`). Of messages: copies (of that `share` of reports one comes again later),
    late_calls (that share of direct calls is held up).
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
    target: Target = "leader"  # at that moment; that of `number`; each of them
    number: Count = 0
    back_s: NotNegative = 1.0
    link: Link = "state"
    mode: Mode = "refuse"
    share: Share = 0.3
    delay_s: NotNegative = 0.5


class UserSettings(Strict, frozen=True):
    """What users do besides submitting, polling and cancelling once.

    close_looks: after that share of answers that tell of something new, the user asks at all controllers within
    milliseconds, and repeats the submission there; hasty: that share of cancellations follows the acceptance within
    fifty milliseconds; repeats: that share of cancellations is given at all controllers.
    """

    close_looks: Share = 0.0
    hasty: Share = 0.0
    repeats: Share = 0.0
    poll_s: Positive = 5.0


class Allowance(Strict, frozen=True):
    """What a worker may spend on control."""

    core_share: Positive = 0.045
    memory_mb: Positive = 32.0
    bytes_per_s: Positive = 9000.0


class ScaleSettings(Strict, frozen=True):
    """One scale run."""

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
    quiet_s: NotNegative = 0.0  # at the end, when all faults are over and nothing is submitted or cancelled any more
    faults: list[Fault] = []
    allowance: Allowance = Allowance()

    @property
    def zones(self) -> int:
        """In all regions."""
        return self.fleet.regions * self.fleet.zones_per_region

    @property
    def worker_processes(self) -> int:
        """Processes that play workers: hollow ones, and real ones of one machine each."""
        return self.fleet.hollow_processes + self.fleet.real_workers

    @property
    def processes(self) -> int:
        """All that a run starts, and itself: controllers, workers, state service, links and users."""
        return self.control.controllers + self.worker_processes + 4


def load_scale_settings(path: str) -> ScaleSettings:
    """Read and check a file; raises ScaleError with one line that names the file and the setting."""
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
    """Why the run cannot be made, each reason a line."""
    return [*_bad_sizes(settings), *_bad_classes(settings), *_bad_faults(settings)]


def _bad_sizes(settings: ScaleSettings) -> list[str]:
    fleet, found = settings.fleet, []
    hollow = fleet.workers - fleet.real_workers
    if hollow < fleet.hollow_processes:
        found.append(f"fleet.workers = {fleet.workers} leaves {hollow} for {fleet.hollow_processes} hollow processes")
    elif hollow > fleet.hollow_processes * MAX_WORKERS_A_PROCESS:
        found.append(f"fleet.workers = {fleet.workers}: a process serves {MAX_WORKERS_A_PROCESS} at the most")
    if settings.worker_processes > MAX_WORKER_PROCESSES:
        found.append(f"fleet: {settings.worker_processes} processes of workers, {MAX_WORKER_PROCESSES} are possible")
    if settings.processes > MAX_PROCESSES:
        found.append(f"the run takes {settings.processes} processes, {MAX_PROCESSES} are allowed")
    if settings.state.region >= fleet.regions:
        found.append(f"state.region = {settings.state.region}: there are {fleet.regions} regions")
    if settings.workers.cancel_s <= settings.workers.lease_s:
        found.append("workers.cancel_s must be above workers.lease_s")
    return found


def _bad_classes(settings: ScaleSettings) -> list[str]:
    machine, teams, found = settings.machine, settings.teams, []
    names = [one.name for one in settings.classes]
    if len(set(names)) < len(names):
        found.append("classes: a name stands twice")
    for one in settings.classes:
        where = f"classes.{one.name}"
        if one.weights and len(one.weights) != len(one.sizes):
            found.append(f"{where}: {len(one.sizes)} sizes and {len(one.weights)} weights")
        if one.cpus > machine.cpus or one.gpus > machine.gpus or one.ram_gb > machine.ram_gb:
            found.append(f"{where}: a task fits no machine")
        if one.cancelled and one.shape == SERVICE:
            found.append(f"{where}: cancelled goes with batches and gangs")
        whole = max(one.sizes) if one.shape != BATCH else 1
        for kind, amount, limit in (("cpus", one.cpus, teams.cpus_max), ("gpus", one.gpus, teams.gpus_max)):
            if limit and whole * amount > limit:
                found.append(f"{where}: {whole * amount:g} {kind} at once, a team's limit is {limit:g}")
    return found


def _bad_faults(settings: ScaleSettings) -> list[str]:
    names, found = {one.name for one in settings.classes}, []
    for number, fault in enumerate(settings.faults):
        where = f"faults.{number} ({fault.kind})"
        if fault.at_s >= settings.duration_s:
            found.append(f"{where}: at_s = {fault.at_s:g} is after the end")
        if fault.kind in ("zone", "rack") and fault.zone >= settings.zones:
            found.append(f"{where}: zone = {fault.zone}, there are {settings.zones}")
        if fault.kind == "regions" and (
            max(fault.region, fault.other) >= settings.fleet.regions or fault.region == fault.other
        ):
            found.append(f"{where}: region = {fault.region} and other = {fault.other} are no two regions")
        if fault.kind == "controller" and fault.count > settings.control.controllers:
            found.append(f"{where}: count = {fault.count}, there are {settings.control.controllers}")
        if fault.number >= settings.control.controllers:
            found.append(f"{where}: number = {fault.number}, there are {settings.control.controllers} controllers")
        if fault.kind == "burst" and fault.job_class not in names:
            found.append(f"{where}: class = {fault.job_class!r} is none of the classes")
    return found
