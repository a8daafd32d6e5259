"""Last contact of each worker with any controller, so that a new leader knows since when a worker is silent.

Controllers exchange the changes of their tables with heartbeats: a worker that is new, one that became silent, one
that reports again. In a stable fleet there are none, and after a mass failure there is one line per machine. Lines
carry ages instead of times, since clocks differ between controllers; the age counts from the arrival of the line.

This is soft state: on its own it never frees a place or returns a machine. It decides which machines to call, and
how early.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from tideusher.clock import SECOND_US
from tideusher.wire.peers import ReportedContact

#: Lines sent with one heartbeat; the others wait for the next one.
MAX_LINES_PER_HEARTBEAT = 200
#: A worker that was silent here for this long reports to another controller or to none, and is forgotten.
FORGET_AFTER_US = 60 * SECOND_US


@dataclass(slots=True, eq=False)
class _Worker:
    address: str
    zone: str
    last_us: int
    silent: bool
    line: int  # number of its newest change


class LocalContacts:
    """The workers that report to this controller."""

    def __init__(self, report_us: int) -> None:
        self._silent_us = report_us * 3 // 2
        self._workers: dict[str, _Worker] = {}
        self._last_line = 0

    def heard(self, machine: str, zone: str, address: str, now_us: int) -> None:
        """Records that a report arrived, whatever its answer."""
        known = self._workers.get(machine)
        if known is None:
            self._workers[machine] = _Worker(address, zone, now_us, False, self._next_line())
            return
        known.last_us = now_us
        if known.silent or known.address != address:
            known.silent, known.address, known.line = False, address, self._next_line()

    def _next_line(self) -> int:
        self._last_line += 1
        return self._last_line

    def news(self, since: int, now_us: int) -> tuple[list[ReportedContact], int]:
        """Returns the changes after line `since`, oldest first and limited in number, and the last line covered."""
        for name, worker in list(self._workers.items()):
            age_us = now_us - worker.last_us
            if age_us > FORGET_AFTER_US:
                del self._workers[name]
            elif age_us > self._silent_us and not worker.silent:
                worker.silent, worker.line = True, self._next_line()
        changed = sorted((worker.line, name) for name, worker in self._workers.items() if worker.line > since)
        lines = []
        for line, name in changed[:MAX_LINES_PER_HEARTBEAT]:
            worker, since = self._workers[name], line
            silent_ms = max(1, (now_us - worker.last_us) // 1000) if worker.silent else 0
            lines.append(ReportedContact(name, worker.address, silent_ms))
        return lines, since

    def process_paused(self, for_us: int, now_us: int) -> None:
        """Discounts a pause of this process, as workers may have reported during it."""
        for worker in self._workers.values():
            worker.last_us = min(now_us, worker.last_us + for_us)

    def last(self, machine: str) -> tuple[int, str] | None:
        """Returns when the machine last reported here, and its address."""
        worker = self._workers.get(machine)
        return (worker.last_us, worker.address) if worker is not None else None

    def reporting_zones(self, now_us: int) -> list[str]:
        """Returns the zones of workers that are not silent."""
        return list({w.zone for w in self._workers.values() if now_us - w.last_us <= self._silent_us})


@dataclass(slots=True, eq=False)
class _PeerTable:
    """Table of another controller: address of each worker and since when it is silent there (None: it is not)."""

    workers: dict[str, tuple[str, int | None]] = field(default_factory=dict)
    heartbeat_us: int = 0  # when its last heartbeat arrived


class WorkerContacts:
    """Last contact of workers with all controllers, as far as those have reported it."""

    def __init__(self, own: LocalContacts, is_connected: Callable[[str], bool] = lambda node: True) -> None:
        self.own = own
        self._is_connected = is_connected
        self._tables: dict[str, _PeerTable] = {}

    def told(self, node: str, lines: Iterable[ReportedContact], now_us: int) -> None:
        """Applies the changes that came with a heartbeat of another controller."""
        table = self._tables.setdefault(node, _PeerTable())
        table.heartbeat_us = now_us
        for line in lines:
            silent_us = now_us - line.silent_ms * 1000 if line.silent_ms else None
            table.workers[line.machine] = (line.address, silent_us)
        old_us = now_us - FORGET_AFTER_US
        for name in [n for n, (_, since_us) in table.workers.items() if since_us is not None and since_us < old_us]:
            del table.workers[name]

    def lost(self, node: str) -> None:
        """Handles the end of the connection to a controller.

        The workers that reported to it may report anywhere now; it sends its complete table when it reconnects.
        """
        table = self._tables.get(node)
        if table is not None:
            for name, (address, since_us) in table.workers.items():
                if since_us is None:
                    table.workers[name] = (address, table.heartbeat_us)

    def last(self, machine: str, now_us: int) -> tuple[int, str] | None:
        """Returns the latest contact of the machine with any controller, and its address; None if there is none.

        For a machine that is not silent at a connected controller this is now: a silence is never overestimated.
        """
        latest = self.own.last(machine)
        for node, table in self._tables.items():
            worker = table.workers.get(machine)
            if worker is None:
                continue
            address, since_us = worker
            if since_us is None:
                since_us = now_us if self._is_connected(node) else table.heartbeat_us
            if latest is None or since_us > latest[0]:
                latest = (since_us, address)
        return latest

    def all_reporting_zones(self, zone_of: Callable[[str], str | None], now_us: int) -> set[str]:
        """Returns the zones from which a worker reports to this or a connected controller at present."""
        zones: set[str | None] = set(self.own.reporting_zones(now_us))
        for node, table in self._tables.items():
            if self._is_connected(node):
                zones |= {zone_of(name) for name, (_, since_us) in table.workers.items() if since_us is None}
        return {zone for zone in zones if zone}


class ZoneContacts:
    """Since when each zone reports without a gap; kept by every controller, so that a new leader has it too."""

    def __init__(self, report_us: int) -> None:
        self._gap_us = 2 * report_us + SECOND_US // 2
        self._periods: dict[str, tuple[int, int]] = {}  # start of the gapless period and last report

    def heard(self, zone: str, now_us: int) -> None:
        """Records a report from a machine of the zone."""
        since_us, last_us = self._periods.get(zone, (now_us, now_us))
        self._periods[zone] = (since_us if now_us - last_us < self._gap_us else now_us, now_us)

    def process_paused(self, now_us: int) -> None:
        """Restarts all periods after a pause of this process: missing reports during it prove nothing."""
        self._periods = dict.fromkeys(self._periods, (now_us, now_us))

    def since_us(self, zone: str, now_us: int) -> int:
        """Returns since when the zone reports without a gap; now, if it never reported."""
        return self._periods.get(zone, (now_us, 0))[0]
