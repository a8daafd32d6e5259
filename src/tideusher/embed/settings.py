"""Settings of an embedded instance: its machines and teams, declared by the program or in a TOML file."""

import tomllib

import msgspec

from tideusher.config import (
    CloudSettings,
    Config,
    ConfigError,
    DeploymentSettings,
    Endpoints,
    StateSettings,
    Team,
    WorkerSettings,
)
from tideusher.wire.cloud import MachineType

#: Longest time between two reports of a machine, in seconds; it also reports on each change.
REPORT_S = 1.0


class MachineKind(msgspec.Struct, frozen=True):
    """A kind of machine. `cpus` and `gpus` are counts; `ram_gb` is in GB."""

    name: str
    cpus: float
    gpus: float = 0.0
    ram_gb: float = 0.0


class Card(msgspec.Struct, frozen=True):
    """A machine that the program owns: its name, kind and zone."""

    machine: str
    kind: str
    zone: str = "here"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings. A team's `gpus` and `cpus` are its guarantee, `*_max` its limit; 0 means none."""

    kinds: list[MachineKind]
    machines: list[Card]
    teams: list[Team]

    def check(self) -> "Settings":
        """Returns itself; raises ConfigError that names the invalid or inconsistent setting."""
        kinds = {kind.name for kind in self.kinds}
        names: set[str] = set()
        for card in self.machines:
            if card.kind not in kinds:
                raise ConfigError(f"machine {card.machine}: unknown machine kind {card.kind!r}")
            if card.machine in names:
                raise ConfigError(f"machine {card.machine} is declared twice")
            names.add(card.machine)
        for kind in self.kinds:
            if min(kind.cpus, kind.gpus, kind.ram_gb) < 0:
                raise ConfigError(f"kind {kind.name}: negative amount")
        return self

    def types(self) -> list[MachineType]:
        """Returns the machine kinds as the engine's machine types; none can be rented in any zone."""
        return [MachineType(kind.name, kind.cpus, kind.gpus, kind.ram_gb) for kind in self.kinds]

    def config(self) -> Config:
        """Returns the engine's configuration: no external services; only the transaction size limits writes."""
        site = DeploymentSettings(
            size=1,
            zones=sorted({card.zone for card in self.machines}),
            workers=WorkerSettings(REPORT_S, 10.0, 30.0, 5.0, 30.0),
            state=StateSettings(1e9, 1e9, 1 << 20, 1 << 20),
            cloud=CloudSettings(1e9, 1.0),
            teams=list(self.teams),
        )
        return Config("embedded", "", "", "", Endpoints("", ""), site)


def load_settings(path: str) -> Settings:
    """Reads settings from a TOML file; raises ConfigError with file and field."""
    try:
        with open(path, "rb") as file:
            return msgspec.convert(tomllib.load(file), Settings).check()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from None
