"""The cloud of a scale run: what is rented, what may be, and what the list says. Pure; time is passed in."""

from collections import Counter, deque
from dataclasses import dataclass
from typing import Any

import msgspec

from tideusher.actors.store import TokenBucket
from tideusher.clock import Clock, to_s, to_us
from tideusher.scale.layout import Layout
from tideusher.scale.settings import ScaleSettings
from tideusher.wire import cloud
from tideusher.wire.cloud import MachineType

_BURST_S = 2.0


@dataclass(slots=True, eq=False)
class Rental:
    """A machine from its rental until it is returned."""

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
    """Machines by name. The caller lets them boot and stop."""

    def __init__(self, settings: ScaleSettings, layout: Layout, kind: MachineType, clock: Clock) -> None:
        self._settings, self._layout, self._kind, self._clock = settings, layout, kind, clock
        self.machines: dict[str, Rental] = {}
        self._charters: dict[str, list[str]] = {}
        self._used: Counter[int] = Counter()  # addresses of each process that were ever given out
        self._living: Counter[int] = Counter()
        self._in_zone: Counter[str] = Counter()
        self._lost_until_us: dict[str, int] = {}
        self._last = 0
        self._calls = TokenBucket(settings.cloud.rps, clock, settings.cloud.rps * _BURST_S)
        self._lists: deque[tuple[int, list[cloud.ListedMachine]]] = (
            deque()
        )  # what lists will show, by the time they describe
        self.counts: Counter[str] = Counter()

    # ---------------------------------------------------------------- requests

    def admit(self) -> bool:
        """Is one more request within the limit?"""
        if self._calls.wait_s(1):
            self._calls.give_back(1)
            self.counts["refused"] += 1
            return False
        return True

    def rent(self, request: cloud.RentRequest) -> list[Rental] | None:
        """The machines of a new charter; of a repeated one none; None: there is no capacity."""
        if request.name in self._charters:
            return []
        rented: list[Rental] = []
        while len(rented) < min(request.count, cloud.MAX_MACHINES_PER_RENTAL) and self._has_room(request.zone):
            rented.append(self._add(request))
        if not rented:
            self.counts["no capacity"] += 1
            return None
        self._charters[request.name] = [one.name for one in rented]
        return rented

    def charter(self, name: str) -> list[str]:
        """What a charter was answered with."""
        return self._charters[name]

    def give_back(self, names: list[str]) -> list[Rental]:
        """Returned machines are gone; returns those that were there."""
        found = [self.machines.pop(name) for name in names if name in self.machines]
        for one in found:
            self._leave(one)
        return found

    def page(self, since: str, most: int) -> cloud.MachineList:
        """A page of the list, as it was some time ago."""
        lag_us = to_us(self._settings.cloud.list_lag_s)
        while len(self._lists) > 1 and self._lists[1][0] <= self._clock.now_us() - lag_us:
            self._lists.popleft()
        ready = self._lists and self._lists[0][0] <= self._clock.now_us() - lag_us
        listed = [one for one in (self._lists[0][1] if ready else []) if one.name > since]
        most = min(most, cloud.MAX_MACHINES_PER_PAGE)
        return cloud.MachineList(listed[:most], len(listed) > most)

    def describe(self) -> None:
        """Note what the list says of this moment."""
        now_us = self._clock.now_us()
        self._lists.append((now_us, [self._listed(one, now_us) for one in self.machines.values()]))

    # ---------------------------------------------------------------- faults

    def in_zone(self, zone: str) -> list[Rental]:
        """Machines of a zone that run."""
        return [one for one in self.machines.values() if one.zone == zone and one.up and not one.failed]

    def in_rack(self, zone: str, rack: int) -> list[Rental]:
        """Racks take machines in turn."""
        racks = self._settings.fleet.racks_per_zone
        return [one for one in self.in_zone(zone) if one.number % racks == rack]

    def running(self) -> list[Rental]:
        """Machines that run."""
        return [one for one in self.machines.values() if one.up and not one.failed]

    def fail(self, machines: list[Rental]) -> None:
        """They have stopped on their own; the list says so from now on."""
        for one in machines:
            one.failed = True

    def lose_zone(self, zone: str, for_us: int) -> None:
        """Nothing is to be had there for so long."""
        self._lost_until_us[zone] = self._clock.now_us() + for_us

    # ---------------------------------------------------------------- capacity

    def _has_room(self, zone: str) -> bool:
        fleet, zones = self._settings.fleet, len(self._layout.zones)
        if self._lost_until_us.get(zone, 0) > self._clock.now_us() or zone not in self._layout.zones:
            return False
        share = -(-fleet.workers // zones)
        return self._in_zone[zone] < share and sum(self._in_zone.values()) < fleet.workers

    def _add(self, request: cloud.RentRequest) -> Rental:
        process = self._process()
        number = self._used[process]
        self._used[process] += 1
        self._living[process] += 1
        self._in_zone[request.zone] += 1
        self._last += 1
        name = f"host-{self._last:06d}"
        address = self._layout.worker(process, number)
        one = Rental(name, process, number, address, request.zone, request.spot, self._clock.now_us())
        self.machines[name] = one
        return one

    def _process(self) -> int:
        """Real workers have a process each; of the hollow ones the emptiest is next."""
        fleet = self._settings.fleet
        real = range(fleet.hollow_processes, fleet.hollow_processes + fleet.real_workers)
        hollow = range(fleet.hollow_processes)
        full = -(-(fleet.workers - fleet.real_workers) // fleet.hollow_processes)
        free = [process for process in real if not self._living[process]]
        if free and sum(self._living[process] for process in hollow) >= full:
            return free[0]  # once the hollow ones have some, so that a real one sees a fleet that is up
        return min(hollow, key=lambda process: self._living[process])

    def _leave(self, one: Rental) -> None:
        self._living[one.process] -= 1
        self._in_zone[one.zone] -= 1

    def _listed(self, one: Rental, now_us: int) -> cloud.ListedMachine:
        status = cloud.FAILED if one.failed else cloud.UP if one.up else cloud.BOOTING
        held_s = to_s(now_us - one.rented_us)
        return cloud.ListedMachine(one.name, one.address, self._kind.name, one.zone, one.spot, status, held_s)


def parse_rent(body: bytes) -> cloud.RentRequest:
    """A rental request."""
    request: cloud.RentRequest = msgspec.json.decode(body, type=cloud.RentRequest)
    return request


def parse_names(body: bytes) -> list[str]:
    """The names in a return request."""
    returned: Any = msgspec.json.decode(body, type=cloud.MachineNames)
    return list(returned.machines)
