"""Placement and loopback addresses of the processes of a scale run: controllers, services, links and workers.

All addresses are in 127.0.0.0/8. Traffic between two controllers, or between a controller and the state service or
the cloud, passes through the links process, which has an address for each pair. Workers and users connect to
controllers directly and wait for the delay of the link themselves.
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
    """The zone and region of a host."""

    zone: int
    region: int


@dataclass(frozen=True, slots=True)
class Forward:
    """A link that is simulated by a forwarding listener."""

    listen: str
    to: str
    source: Place
    target: Place
    name: str  # the roles at its ends, under which its traffic is counted
    controller: int  # the controller that owns the link
    link: str  # its name in faults: state, cloud or peers
    other: int | None = None  # the controller at its other end
    source_address: str = ""  # source address of the forwarded connections; empty: any


class Layout:
    """The layout of a run. It is derived from the settings alone, so that all processes compute the same one."""

    def __init__(self, settings: ScaleSettings) -> None:
        self._settings = settings
        self._port = settings.port
        per_region = settings.fleet.zones_per_region
        self.zones = [f"r{zone // per_region}-z{zone % per_region}" for zone in range(settings.zones)]

    # ---------------------------------------------------------------- places

    def place(self, zone: int) -> Place:
        """Returns the place of a zone, given by its number."""
        return Place(zone, zone // self._settings.fleet.zones_per_region)

    def place_of(self, zone_name: str) -> Place:
        """Returns the place of a zone, given by its name."""
        return self.place(self.zones.index(zone_name))

    def controller_place(self, number: int) -> Place:
        """Returns the place of a controller: round robin over the regions, and within a region over its zones."""
        fleet = self._settings.fleet
        region = number % fleet.regions
        zone = number // fleet.regions % fleet.zones_per_region
        return self.place(region * fleet.zones_per_region + zone)

    @property
    def services(self) -> Place:
        """The place of the state service and the cloud's API, which belong to a region but to no zone."""
        region = self._settings.state.region
        return Place(-1, region)

    def delay_us(self, one: Place, other: Place) -> int:
        """Returns the one-way delay between two places."""
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
        """Address of the hub, to which all processes of the run connect."""
        return f"{HUB_HOST}:{self._port}"

    @property
    def cloud(self) -> str:
        """Address of the cloud's API, without a link in between."""
        return f"{HUB_HOST}:{self._port + 1}"

    @property
    def state(self) -> str:
        """Address of the state service, without a link in between."""
        return f"{HUB_HOST}:{self._port + 2}"

    def controller(self, number: int) -> str:
        """Address of a controller for users and workers."""
        return f"127.1.0.{number + 1}:{self._port + 3}"

    def controller_at(self, host: str) -> int | None:
        """Returns the number of the controller with this host address, or None."""
        return int(host.rpartition(".")[2]) - 1 if host.startswith("127.1.0.") else None

    def controller_peers(self, number: int) -> str:
        """Address at which a controller listens for its peers."""
        return f"127.1.0.{number + 1}:{self._port + 4}"

    def controller_name(self, number: int) -> str:
        """Node name of a controller: `c0`, `c1`, ..."""
        return f"c{number}"

    def worker(self, process: int, number: int) -> str:
        """Address of a worker: a host number in the network of its process."""
        net = _FIRST_WORKER_NET + process
        return f"127.{net}.{number // _HOSTS_IN_NET}.{number % _HOSTS_IN_NET + 1}:{self.worker_port + process}"

    @property
    def worker_port(self) -> int:
        """Base port of the workers. Those of process N listen at this port plus N, each at its own host address."""
        return self._port + 10

    def _link(self, source: int, target: int) -> str:
        return f"127.2.{source + 1}.{target + 1}:{self._port + 5}"

    def peer_link(self, source: int, target: int) -> str:
        """Address that controller `source` is given for controller `target`."""
        return self._link(source, target)

    def state_link(self, source: int) -> str:
        """Address that a controller is given for the state service."""
        return self._link(source, _STATE)

    def cloud_link(self, source: int) -> str:
        """Address that a controller is given for the cloud."""
        return self._link(source, _CLOUD)

    def forwards(self) -> list[Forward]:
        """Returns all links that are simulated by forwarding."""
        count, forwards = self._settings.control.controllers, []
        for source in range(count):
            place = self.controller_place(source)
            service_links = (
                (self.state_link(source), self.state, "state"),
                (self.cloud_link(source), self.cloud, "cloud"),
            )
            for listen, to, link in service_links:
                own = split_address(self.controller(source))[0]
                role = f"controller-{link}"
                forwards.append(Forward(listen, to, place, self.services, role, source, link, source_address=own))
            for target in range(count):
                if target != source:
                    forwards.append(
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
        return forwards
