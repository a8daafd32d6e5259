"""The simulated cloud of a scale run: rentals, capacity and the delayed machine list. No I/O; uses a given clock."""

from collections import Counter, deque
from dataclasses import dataclass
from typing import Any

import msgspec

from tideusher.actors.rate_limits import TokenBucket
from tideusher.clock import Clock, to_s, to_us
from tideusher.scale.layout import Layout
from tideusher.scale.settings import ScaleSettings
from tideusher.wire import cloud
from tideusher.wire.cloud import MachineType

_BURST_S = 2.0


@dataclass(slots=True, eq=False)
class Rental:
    """A machine, from its rental until its return."""

    name: str
    process: int
    number: int
    address: str
    zone: str
    spot: bool
    rented_us: int
    up: bool = False
    failed: bool = False


class Cloud:
    """The rented machines by name. The caller boots and stops them."""

    def __init__(self, settings: ScaleSettings, layout: Layout, kind: MachineType, clock: Clock) -> None:
        self._settings, self._layout, self._kind, self._clock = settings, layout, kind, clock
        self.machines: dict[str, Rental] = {}
        self._charters: dict[str, list[str]] = {}
        self._assigned: Counter[int] = Counter()  # addresses of each process assigned so far; none is reused
        self._rented_in_process: Counter[int] = Counter()
        self._rented_in_zone: Counter[str] = Counter()
        self._lost_until_us: dict[str, int] = {}
        self._last_number = 0
        self._request_limit = TokenBucket(settings.cloud.rps, clock, settings.cloud.rps * _BURST_S)
        self._snapshots: deque[tuple[int, list[cloud.ListedMachine]]] = (
            deque()
        )  # snapshots for later list requests, each with the time it describes
        self.counts: Counter[str] = Counter()

    # ---------------------------------------------------------------- requests

    def admit(self) -> bool:
        """True if one more request is within the rate limit; counts the request as refused if not."""
        if self._request_limit.wait_s(1):
            self._request_limit.refund(1)
            self.counts["refused"] += 1
            return False
        return True

    def rent(self, request: cloud.RentRequest) -> list[Rental] | None:
        """Returns the machines of a new charter, [] for a repeated charter, None if there is no capacity."""
        if request.name in self._charters:
            return []
        rented: list[Rental] = []
        while len(rented) < min(request.count, cloud.MAX_MACHINES_PER_RENTAL) and self._has_capacity(request.zone):
            rented.append(self._create_rental(request))
        if not rented:
            self.counts["no capacity"] += 1
            return None
        self._charters[request.name] = [rental.name for rental in rented]
        return rented

    def charter(self, name: str) -> list[str]:
        """Returns the names of the machines rented under a charter."""
        return self._charters[name]

    def give_back(self, names: list[str]) -> list[Rental]:
        """Ends the rental of these machines; returns those that were rented."""
        ended = [self.machines.pop(name) for name in names if name in self.machines]
        for rental in ended:
            self._release(rental)
        return ended

    def page(self, since: str, most: int) -> cloud.MachineList:
        """Returns a page of the machine list as of `list_lag_s` ago; empty while there is no snapshot that old."""
        lag_us = to_us(self._settings.cloud.list_lag_s)
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= self._clock.now_us() - lag_us:
            self._snapshots.popleft()
        ready = self._snapshots and self._snapshots[0][0] <= self._clock.now_us() - lag_us
        listed = [machine for machine in (self._snapshots[0][1] if ready else []) if machine.name > since]
        most = min(most, cloud.MAX_MACHINES_PER_PAGE)
        return cloud.MachineList(listed[:most], len(listed) > most)

    def describe(self) -> None:
        """Records a snapshot of the machine list for later pages."""
        now_us = self._clock.now_us()
        self._snapshots.append((now_us, [self._list_entry(rental, now_us) for rental in self.machines.values()]))

    # ---------------------------------------------------------------- faults

    def in_zone(self, zone: str) -> list[Rental]:
        """Returns the running machines of a zone."""
        return [
            rental for rental in self.machines.values() if rental.zone == zone and rental.up and not rental.failed
        ]

    def in_rack(self, zone: str, rack: int) -> list[Rental]:
        """Returns the running machines of a rack. Machines are assigned to racks round-robin by number."""
        racks = self._settings.fleet.racks_per_zone
        return [rental for rental in self.in_zone(zone) if rental.number % racks == rack]

    def running(self) -> list[Rental]:
        """Returns the running machines."""
        return [rental for rental in self.machines.values() if rental.up and not rental.failed]

    def fail(self, machines: list[Rental]) -> None:
        """Marks machines as failed: later snapshots of the list show them as such."""
        for rental in machines:
            rental.failed = True

    def lose_zone(self, zone: str, for_us: int) -> None:
        """Makes a zone refuse rentals for this long."""
        self._lost_until_us[zone] = self._clock.now_us() + for_us

    # ---------------------------------------------------------------- capacity

    def _has_capacity(self, zone: str) -> bool:
        fleet, zones = self._settings.fleet, len(self._layout.zones)
        if self._lost_until_us.get(zone, 0) > self._clock.now_us() or zone not in self._layout.zones:
            return False
        share = -(-fleet.workers // zones)
        return self._rented_in_zone[zone] < share and sum(self._rented_in_zone.values()) < fleet.workers

    def _create_rental(self, request: cloud.RentRequest) -> Rental:
        process = self._choose_process()
        number = self._assigned[process]
        self._assigned[process] += 1
        self._rented_in_process[process] += 1
        self._rented_in_zone[request.zone] += 1
        self._last_number += 1
        name = f"host-{self._last_number:06d}"
        address = self._layout.worker(process, number)
        rental = Rental(name, process, number, address, request.zone, request.spot, self._clock.now_us())
        self.machines[name] = rental
        return rental

    def _choose_process(self) -> int:
        """Chooses a process: each real worker has its own, hollow workers go to the one with the fewest."""
        fleet = self._settings.fleet
        real = range(fleet.hollow_processes, fleet.hollow_processes + fleet.real_workers)
        hollow = range(fleet.hollow_processes)
        machines_per_process = -(-(fleet.workers - fleet.real_workers) // fleet.hollow_processes)
        free = [process for process in real if not self._rented_in_process[process]]
        if free and sum(self._rented_in_process[process] for process in hollow) >= machines_per_process:
            return free[0]  # once hollow workers are rented, so that a real worker joins a fleet that is up
        return min(hollow, key=lambda process: self._rented_in_process[process])

    def _release(self, rental: Rental) -> None:
        self._rented_in_process[rental.process] -= 1
        self._rented_in_zone[rental.zone] -= 1

    def _list_entry(self, rental: Rental, now_us: int) -> cloud.ListedMachine:
        status = cloud.FAILED if rental.failed else cloud.UP if rental.up else cloud.BOOTING
        held_s = to_s(now_us - rental.rented_us)
        return cloud.ListedMachine(
            rental.name, rental.address, self._kind.name, rental.zone, rental.spot, status, held_s
        )


def parse_rent(body: bytes) -> cloud.RentRequest:
    """Parses a rental request."""
    request: cloud.RentRequest = msgspec.json.decode(body, type=cloud.RentRequest)
    return request


def parse_names(body: bytes) -> list[str]:
    """Returns the machine names of a return request."""
    returned: Any = msgspec.json.decode(body, type=cloud.MachineNames)
    return list(returned.machines)
