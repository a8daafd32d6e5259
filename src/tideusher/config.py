"""Loads the platform's settings file (TOML) and the operators' settings (Java-style properties)."""

import re
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec

from tideusher.clock import to_us

if TYPE_CHECKING:
    from tideusher.pbs.profile import Profile


class ConfigError(ValueError):
    """A settings file is invalid; the message is one line that names the file and the field."""


class Peer(msgspec.Struct):
    """The name, zone and address of another controller."""

    name: str = msgspec.field(name="host_name")
    zone: str = msgspec.field(name="site")
    address: str = ""


class Endpoints(msgspec.Struct):
    """Addresses of the region's cloud API and state service."""

    cloud: str
    state: str


#: Amounts that can be computed with, in their units; durations reach thirty years.
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
PositiveAmount = Annotated[float, msgspec.Meta(gt=0, le=1e9)]


class Team(msgspec.Struct):
    """A team's guarantees (`cpus`, `gpus`) and limits (`*_max`); 0 means none."""

    name: str
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0


class Objective(msgspec.Struct):
    """A service-level objective set by the platform; unknown kinds are ignored."""

    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    within_s: Amount | None = None
    share: float | None = None


class WorkerSettings(msgspec.Struct):
    """Intervals and timeouts of workers."""

    report_s: PositiveAmount
    lease_s: PositiveAmount
    gang_wait_s: Amount
    gang_peer_s: Amount
    cancel_s: PositiveAmount


class NextStateSettings(msgspec.Struct):
    """Limits that the state service will have from some moment on; those not given stay as they are."""

    rps: PositiveAmount | None = None
    write_rps: PositiveAmount | None = None
    value_kb: PositiveAmount | None = None
    txn_ops: Annotated[int, msgspec.Meta(ge=1)] | None = None


class StateSettings(msgspec.Struct, omit_defaults=True):
    """Rate and size limits of the state service.

    Of the sizes `value_kb` and `txn_ops` the lower ones hold from the start where others are announced in `next`:
    what is larger would be refused from a moment that nobody tells.
    """

    rps: PositiveAmount
    write_rps: PositiveAmount
    value_kb: PositiveAmount
    txn_ops: Annotated[int, msgspec.Meta(ge=1)]
    next: NextStateSettings | None = None

    def __post_init__(self) -> None:
        if self.next is not None:
            self.value_kb = min(self.value_kb, self.next.value_kb or self.value_kb)
            self.txn_ops = min(self.txn_ops, self.next.txn_ops or self.txn_ops)

    @property
    def next_rates(self) -> "StateRates":
        """The rates to keep to once the service may have lowered them."""
        announced = self.next or NextStateSettings()
        return StateRates(
            min(self.rps, announced.rps or self.rps), min(self.write_rps, announced.write_rps or self.write_rps)
        )


class StateRates(NamedTuple):
    """Requests and changes a second that the state service takes from all controllers together."""

    rps: float
    write_rps: float


class CloudSettings(msgspec.Struct):
    """Rate limit of the cloud's API and the lag of its machine list."""

    rps: PositiveAmount
    list_lag_s: Amount


class ProcessResources(msgspec.Struct):
    """Resources that the platform grants this process."""

    cores: float = 1.0
    ram_mb: float = 256.0
    max_sockets: int = 1000


class DeploymentSettings(msgspec.Struct):
    """The `settings` table of the platform's file."""

    size: int
    zones: list[str]
    workers: WorkerSettings
    state: StateSettings
    cloud: CloudSettings
    teams: list[Team] = []
    objectives: list[Objective] = []
    clock_off_ms: float = 0.0
    resources: ProcessResources = msgspec.field(default_factory=ProcessResources)


class Config(msgspec.Struct):
    """The platform's settings file."""

    node: str = msgspec.field(name="host_name")
    zone: str = msgspec.field(name="site")
    bind: str = ""
    peer_bind: str = msgspec.field(name="cluster_listen", default="")
    endpoints: Endpoints = msgspec.field(default_factory=lambda: Endpoints("", ""))
    settings: DeploymentSettings = msgspec.field(default_factory=lambda: DeploymentSettings(0, [], *[None] * 3))  # type: ignore[arg-type]
    peers: list[Peer] = []


def split_address(address: str) -> tuple[str, int]:
    """Splits an address such as `10.0.0.1:8080` into host and port; raises ValueError."""
    host, _, port = address.rpartition(":")
    if not host:
        raise ValueError(f"{address!r} is not host:port")
    return host, int(port)


def load_config(path: str) -> Config:
    """Reads and validates the platform's file, ignoring unknown fields; raises ConfigError."""
    try:
        raw = tomllib.loads(Path(path).read_text("utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not valid TOML: {error}") from None
    for name in ("bind", "cluster_listen", "endpoints", "settings"):
        if name not in raw:
            raise ConfigError(f"{path}: field {name} is missing")
    try:
        config = msgspec.convert(raw, Config)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{path}: {error}") from None
    addresses = [
        ("bind", config.bind),
        ("cluster_listen", config.peer_bind),
        ("endpoints.cloud", config.endpoints.cloud),
        ("endpoints.state", config.endpoints.state),
        *((f"peers.{peer.name}.address", peer.address) for peer in config.peers),
    ]
    for name, address in addresses:
        try:
            split_address(address)
        except ValueError as error:
            raise ConfigError(f"{path}: field {name}: {error}") from None
    return config


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename=lambda n: n.replace("__", ".")):
    """The operators' scheduling settings.

    Names in the properties file have a dot where these have two underscores.
    """

    ledger__window_s: Annotated[float, msgspec.Meta(ge=1)] = 3600.0
    ledger__gather_s: Annotated[float, msgspec.Meta(ge=0.5)] = 5.0
    preempt__margin: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    preempt__stagger: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.25
    preempt__max_stops: Annotated[int, msgspec.Meta(ge=0)] = 8
    min_run__cap_s: Annotated[float, msgspec.Meta(ge=0)] = 3600.0
    min_run__service: Annotated[float, msgspec.Meta(ge=0)] = 3600.0
    min_run__gang_factor: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    min_run__batch_factor: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    placement__parts: Annotated[int, msgspec.Meta(ge=1)] = 2
    fleet__idle_s: Annotated[float, msgspec.Meta(ge=0)] = 25.0
    fleet__patience: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    fleet__move_after_s: Annotated[float, msgspec.Meta(ge=30)] = 40.0
    fleet__move_pause_s: Annotated[float, msgspec.Meta(ge=0)] = 12.0
    fleet__warm_quantile: Annotated[float, msgspec.Meta(ge=0)] = 1.3
    fleet__warm_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    fleet__warm_window_s: Annotated[float, msgspec.Meta(ge=21)] = 180.0
    fleet__boot_patience: Annotated[float, msgspec.Meta(ge=1.5)] = 3.0
    fleet__capacity_backoff_s: Annotated[float, msgspec.Meta(ge=0.1)] = 8.0
    fleet__silence_reports: Annotated[float, msgspec.Meta(ge=1.5)] = 2.5
    fleet__silence_floor_s: Annotated[float, msgspec.Meta(ge=0)] = 2.5
    gather__patience_s: Annotated[float, msgspec.Meta(ge=0)] = 60.0
    jobs__conditions: bool = False
    records__shared: bool = True
    leader__lease_s: Annotated[float, msgspec.Meta(ge=1, le=60)] = 3.0

    @property
    def margin(self) -> float:
        """The amount by which a ratio must be lower than another to count as clearly lower."""
        return self.preempt__margin

    def min_run_us(self, shape: str, estimate_s: float, declared_s: float | None) -> int:
        """Returns the protected minimum runtime of a job: declared or derived from its shape, up to the cap."""
        if declared_s is not None:
            min_run_s = declared_s
        elif shape == "service":
            min_run_s = self.min_run__service
        elif shape == "gang":
            min_run_s = estimate_s * self.min_run__gang_factor
        else:
            min_run_s = estimate_s * self.min_run__batch_factor
        return to_us(min(min_run_s, self.min_run__cap_s))


class OperatorSettings(NamedTuple):
    """The contents of a properties file."""

    policy: Policy
    profile: "Profile | None" = None  # None: PBS scripts are not accepted


def load_settings(path: str | None) -> OperatorSettings:
    """Reads the operators' properties; an unknown name raises ConfigError, as it is likely a typing error."""
    if path is None:
        return OperatorSettings(Policy())
    values, lines = _read_properties(path)
    policy_values = {name: value for name, value in values.items() if not name.startswith("pbs.")}
    profile = None
    try:
        policy = msgspec.convert(policy_values, Policy, strict=False)
        if len(policy_values) < len(values):
            from tideusher.pbs.profile import ProfileError, parse_profile

            try:
                profile = parse_profile(values)
            except ProfileError as error:
                raise ConfigError(f"{path}{_line_suffix(error.name, lines)}: {error}") from None
            if not policy.jobs__conditions:  # every script has a time limit, which is a condition
                raise ConfigError(f"{path}: pbs.default_queue needs jobs.conditions = true")
    except msgspec.ValidationError as error:
        names = re.findall(r"`(?:\$\.)?([^`]+)`", str(error))
        raise ConfigError(f"{path}{_line_suffix(names[-1] if names else '', lines)}: {error}") from None
    return OperatorSettings(policy, profile)


def load_policy(path: str | None) -> Policy:
    """Reads the operators' properties and returns those that are not about PBS scripts."""
    return load_settings(path).policy


def _line_suffix(name: str, lines: dict[str, int]) -> str:
    """Returns `:LINE` of a setting, for a missing one that of the first setting of its queue, or an empty string."""
    if name in lines:
        return f":{lines[name]}"
    first = min((line for other, line in lines.items() if other.startswith(name.rpartition(".")[0])), default=0)
    return f":{first}" if name and first else ""


def _read_properties(path: str) -> tuple[dict[str, str], dict[str, int]]:
    """Returns the values and the line numbers by name; a name that occurs twice raises ConfigError."""
    import javaproperties

    values: dict[str, str] = {}
    lines: dict[str, int] = {}
    number = 1
    try:
        with open(path, encoding="utf-8") as file:
            for part in javaproperties.parse(file):
                if isinstance(part, javaproperties.KeyValue):
                    if part.key in lines:
                        raise ConfigError(f"{path}:{number}: {part.key} is already set in line {lines[part.key]}")
                    values[part.key], lines[part.key] = part.value, number
                number += part.source.count("\n") or 1
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (javaproperties.InvalidUEscapeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not a properties file: {error}") from None
    return values, lines
