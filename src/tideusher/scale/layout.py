"""Who is where, and at which loopback address: regions, zones, racks, controllers, links and workers.

All addresses are of 127.0.0.0/8. What lies between two controllers, or between a controller and the state service or
the cloud, goes through the process of links, which has an address for each pair; workers and users reach controllers
directly and wait for the delay of the link themselves.
"""

from dataclasses import dataclass

from tideusher.config import split_address
from tideusher.scale.settings import ScaleSettings

HUB_HOST = "127.0.0.1"
_STATE, _CLOUD = 250, 251
_FIRST_WORKER_NET = 64
_HOSTS_IN_NET = 250


@dataclass(frozen=True, slots=True)
class Place:
    """Where a host stands."""

    zone: int
    region: int


@dataclass(frozen=True, slots=True)
class Forward:
    """One link that is played by a forwarding listener."""

    listen: str
    to: str
    source: Place
    target: Place
    name: str  # the roles at its ends, for the count of bytes
    controller: int  # whose link it is
    link: str  # as faults name it: state, cloud or peers
    other: int | None = None  # the controller at its other end
    speaks_from: str = ""  # the address that the far end sees; empty: any


class Layout:
    """Derived from the settings alone, so that every process of a run finds the same."""

    def __init__(self, settings: ScaleSettings) -> None:
        self._settings = settings
        self._port = settings.port
        per_region = settings.fleet.zones_per_region
        self.zones = [f"r{zone // per_region}-z{zone % per_region}" for zone in range(settings.zones)]

    # ---------------------------------------------------------------- places

    def place(self, zone: int) -> Place:
        """A zone with its region."""
        return Place(zone, zone // self._settings.fleet.zones_per_region)

    def place_of(self, zone_name: str) -> Place:
        """The same by the zone's name."""
        return self.place(self.zones.index(zone_name))

    def controller_place(self, number: int) -> Place:
        """Controllers take turns over the regions, and within a region over its zones."""
        fleet = self._settings.fleet
        region = number % fleet.regions
        zone = number // fleet.regions % fleet.zones_per_region
        return self.place(region * fleet.zones_per_region + zone)

    @property
    def services(self) -> Place:
        """The state service and the cloud's interface, which belong to a region and to no zone."""
        region = self._settings.state.region
        return Place(-1, region)

    def delay_us(self, one: Place, other: Place) -> int:
        """How long a packet is on its way."""
        links = self._settings.links
        if one.region != other.region:
            delay_ms = links.cross_region_ms
        elif one.zone != other.zone:
            delay_ms = links.cross_zone_ms
        else:
            delay_ms = links.same_zone_ms
        return round(delay_ms * 1000)

    # ---------------------------------------------------------------- addresses

    @property
    def hub(self) -> str:
        """Where all processes of the run report to."""
        return f"{HUB_HOST}:{self._port}"

    @property
    def cloud(self) -> str:
        """The cloud's interface itself."""
        return f"{HUB_HOST}:{self._port + 1}"

    @property
    def state(self) -> str:
        """The state service itself."""
        return f"{HUB_HOST}:{self._port + 2}"

    def controller(self, number: int) -> str:
        """Where users and workers find a controller."""
        return f"127.1.0.{number + 1}:{self._port + 3}"

    def controller_at(self, host: str) -> int | None:
        """Which controller has this host address; None: no controller."""
        return int(host.rpartition(".")[2]) - 1 if host.startswith("127.1.0.") else None

    def controller_peers(self, number: int) -> str:
        """Where a controller listens for the others."""
        return f"127.1.0.{number + 1}:{self._port + 4}"

    def controller_name(self, number: int) -> str:
        """`c0`, `c1`, ..."""
        return f"c{number}"

    def worker(self, process: int, number: int) -> str:
        """A worker's address: its process's network, and a host number in it."""
        net = _FIRST_WORKER_NET + process
        return f"127.{net}.{number // _HOSTS_IN_NET}.{number % _HOSTS_IN_NET + 1}:{self.worker_port + process}"

    @property
    def worker_port(self) -> int:
        """Workers of process N listen at this port and N, each at an address of its own."""
        return self._port + 10

    def _link(self, source: int, target: int) -> str:
        return f"127.2.{source + 1}.{target + 1}:{self._port + 5}"

    def peer_link(self, source: int, target: int) -> str:
        """What controller `source` takes for the address of controller `target`."""
        return self._link(source, target)

    def state_link(self, source: int) -> str:
        """What a controller takes for the state service's address."""
        return self._link(source, _STATE)

    def cloud_link(self, source: int) -> str:
        """What a controller takes for the cloud's address."""
        return self._link(source, _CLOUD)

    def forwards(self) -> list[Forward]:
        """All links that are played by forwarding."""
        count, found = self._settings.control.controllers, []
        for source in range(count):
            place = self.controller_place(source)
            ways = ((self.state_link(source), self.state, "state"), (self.cloud_link(source), self.cloud, "cloud"))
            for listen, to, link in ways:
                own = split_address(self.controller(source))[0]
                role = f"controller-{link}"
                found.append(Forward(listen, to, place, self.services, role, source, link, speaks_from=own))
            for target in range(count):
                if target != source:
                    found.append(
                        Forward(
                            self.peer_link(source, target),
                            self.controller_peers(target),
                            place,
                            self.controller_place(target),
                            "controller-controller",
                            source,
                            "peers",
                            target,
                        )
                    )
        return found
