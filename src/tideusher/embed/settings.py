"""What an embedded instance owns and for whom: machines and teams, declared by the program or in TOML."""

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

#: Machines of the program report when something changes, and at least this often.
REPORT_S = 1.0


class MachineKind(msgspec.Struct, frozen=True):
    """A kind of machine. `cpus` and `gpus` are counts, `ram_gb` GB."""

    name: str
    cpus: float
    gpus: float = 0.0
    ram_gb: float = 0.0


class Card(msgspec.Struct, frozen=True):
    """One machine that the program owns: its name, kind and zone."""

    machine: str
    kind: str
    zone: str = "here"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that is declared. A team's `gpus` and `cpus` are its guarantee, `*_max` its limit; 0 means none."""

    kinds: list[MachineKind]
    machines: list[Card]
    teams: list[Team]

    def check(self) -> "Settings":
        """Itself; raises ConfigError naming what does not fit together."""
        kinds = {kind.name for kind in self.kinds}
        seen: set[str] = set()
        for one in self.machines:
            if one.kind not in kinds:
                raise ConfigError(f"machine {one.machine}: there is no kind {one.kind!r}")
            if one.machine in seen:
                raise ConfigError(f"machine {one.machine} is declared twice")
            seen.add(one.machine)
        for kind in self.kinds:
            if min(kind.cpus, kind.gpus, kind.ram_gb) < 0:
                raise ConfigError(f"kind {kind.name}: an amount is below 0")
        return self

    def types(self) -> list[MachineType]:
        """The kinds as the engine knows them; none can be rented anywhere."""
        return [MachineType(kind.name, kind.cpus, kind.gpus, kind.ram_gb) for kind in self.kinds]

    def config(self) -> Config:
        """The engine's settings: no outside service, no limit of writes but the size of a transaction."""
        site = DeploymentSettings(
            size=1,
            zones=sorted({one.zone for one in self.machines}),
            workers=WorkerSettings(REPORT_S, 10.0, 30.0, 5.0, 30.0),
            state=StateSettings(1e9, 1e9, 1 << 20, 1 << 20),
            cloud=CloudSettings(1e9, 1.0),
            teams=list(self.teams),
        )
        return Config("embedded", "", "", "", Endpoints("", ""), site)


def load_settings(path: str) -> Settings:
    """Read settings from TOML; raises ConfigError with file and field."""
    try:
        with open(path, "rb") as file:
            return msgspec.convert(tomllib.load(file), Settings).check()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from None
