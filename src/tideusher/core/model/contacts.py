"""Which workers each controller hears, told to all others, so that a new leader knows since when one is silent.

A controller tells what changed in its own table: a worker that is new there, one that fell silent, one that is heard
again. In a calm fleet that is nothing at all, and after a fall it is one line a machine. Ages travel instead of
times, since no two clocks are the same; a line's age counts from its arrival.

These are soft facts: nothing is freed or returned for them alone. They say whom to call, and how early.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from tideusher.clock import SECOND_US
from tideusher.wire.peers import ReportedContact

#: So many lines leave with one heartbeat; more wait for the next.
MAX_LINES_PER_HEARTBEAT = 200
#: A worker that was silent for so long here reports elsewhere, or nowhere: it is left out.
FORGET_US = 60 * SECOND_US


@dataclass(slots=True, eq=False)
class _Worker:
    address: str
    zone: str
    last_us: int
    silent: bool
    line: int  # number of the newest change told of it


class LocalContacts:
    """The workers that report here."""

    def __init__(self, report_us: int) -> None:
        self._silent_us = report_us * 3 // 2
        self._workers: dict[str, _Worker] = {}
        self._lines = 0

    def heard(self, machine: str, zone: str, address: str, now_us: int) -> None:
        """A report came, whatever its answer."""
        known = self._workers.get(machine)
        if known is None:
            self._workers[machine] = _Worker(address, zone, now_us, False, self._next())
            return
        known.last_us = now_us
        if known.silent or known.address != address:
            known.silent, known.address, known.line = False, address, self._next()

    def _next(self) -> int:
        self._lines += 1
        return self._lines

    def news(self, since: int, now_us: int) -> tuple[list[ReportedContact], int]:
        """What changed after line `since`, oldest first and bounded, and the line up to which that goes."""
        for name, worker in list(self._workers.items()):
            age_us = now_us - worker.last_us
            if age_us > FORGET_US:
                del self._workers[name]
            elif age_us > self._silent_us and not worker.silent:
                worker.silent, worker.line = True, self._next()
        changed = sorted((worker.line, name) for name, worker in self._workers.items() if worker.line > since)
        lines = []
        for line, name in changed[:MAX_LINES_PER_HEARTBEAT]:
            worker, since = self._workers[name], line
            silent_ms = max(1, (now_us - worker.last_us) // 1000) if worker.silent else 0
            lines.append(ReportedContact(name, worker.address, silent_ms))
        return lines, since

    def process_paused(self, for_us: int, now_us: int) -> None:
        """We did not listen for so long until now: nobody was silent in that time as far as we can tell."""
        for worker in self._workers.values():
            worker.last_us = min(now_us, worker.last_us + for_us)

    def last(self, machine: str) -> tuple[int, str] | None:
        """When it was last heard here, and its address."""
        worker = self._workers.get(machine)
        return (worker.last_us, worker.address) if worker is not None else None

    def reporting_zones(self, now_us: int) -> list[str]:
        """The zones of workers that are not silent."""
        return list({w.zone for w in self._workers.values() if now_us - w.last_us <= self._silent_us})


@dataclass(slots=True, eq=False)
class _Table:
    """What one other controller told: each worker's address, and since when it is silent there (None: it is not)."""

    workers: dict[str, tuple[str, int | None]] = field(default_factory=dict)
    told_us: int = 0  # when it last spoke


class WorkerContacts:
    """What all controllers hear, as far as they told us."""

    def __init__(self, own: LocalContacts, is_connected: Callable[[str], bool] = lambda node: True) -> None:
        self.own = own
        self._speaks = is_connected  # is this other controller heard by us right now?
        self._tables: dict[str, _Table] = {}

    def told(self, node: str, lines: Iterable[ReportedContact], now_us: int) -> None:
        """A heartbeat of another controller came, with what changed there."""
        table = self._tables.setdefault(node, _Table())
        table.told_us = now_us
        for line in lines:
            silent_us = now_us - line.silent_ms * 1000 if line.silent_ms else None
            table.workers[line.machine] = (line.address, silent_us)
        old_us = now_us - FORGET_US
        for name in [n for n, (_, since_us) in table.workers.items() if since_us is not None and since_us < old_us]:
            del table.workers[name]

    def lost(self, node: str) -> None:
        """Its connection ended: whom it heard until then may report anywhere now, and it will tell anew."""
        table = self._tables.get(node)
        if table is not None:
            for name, (address, since_us) in table.workers.items():
                if since_us is None:
                    table.workers[name] = (address, table.told_us)

    def last(self, machine: str, now_us: int) -> tuple[int, str] | None:
        """When the machine was last heard by any controller, at the latest, and its address; None: nobody told.

        Of one that is not silent at a controller that speaks to us: now. Silence is never made longer than it is.
        """
        found = self.own.last(machine)
        for node, table in self._tables.items():
            worker = table.workers.get(machine)
            if worker is None:
                continue
            address, since_us = worker
            if since_us is None:
                since_us = now_us if self._speaks(node) else table.told_us
            if found is None or since_us > found[0]:
                found = (since_us, address)
        return found

    def all_reporting_zones(self, zone_of: Callable[[str], str | None], now_us: int) -> set[str]:
        """Zones of which some controller that speaks to us hears a worker right now."""
        zones: set[str | None] = set(self.own.reporting_zones(now_us))
        for node, table in self._tables.items():
            if self._speaks(node):
                zones |= {zone_of(name) for name, (_, since_us) in table.workers.items() if since_us is None}
        return {zone for zone in zones if zone}


class ZoneContacts:
    """Since when each zone is heard without a gap; followed, so that it does not begin anew with a leader."""

    def __init__(self, report_us: int) -> None:
        self._gap_us = 2 * report_us + SECOND_US // 2
        self._heard: dict[str, tuple[int, int]] = {}  # since when, and when last

    def heard(self, zone: str, now_us: int) -> None:
        """A machine of the zone has reported."""
        since_us, last_us = self._heard.get(zone, (now_us, now_us))
        self._heard[zone] = (since_us if now_us - last_us < self._gap_us else now_us, now_us)

    def process_paused(self, now_us: int) -> None:
        """We did not listen until now: that nobody was heard says nothing, and silence counts from here."""
        self._heard = dict.fromkeys(self._heard, (now_us, now_us))

    def since_us(self, zone: str, now_us: int) -> int:
        """Since when it is heard; now, if it never was."""
        return self._heard.get(zone, (now_us, 0))[0]
