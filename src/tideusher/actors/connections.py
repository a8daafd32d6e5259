"""The open connections of users and workers: one that stays idle is closed, and there are never too many.

A request has to arrive within the time for which users wait for an answer; one that is sent more slowly is closed.

A machine that is gone sends no end of its connection, and a client may keep one for ever. Each is a socket of this
process, which has only so many: once none is left no worker and no user gets in.
"""

import itertools
import socket
from collections.abc import Iterable
from typing import Any, Protocol

import gevent
from gevent.pywsgi import WSGIServer

from tideusher.actors.handler import Handler
from tideusher.clock import SECOND_US, Clock, to_s, to_us

#: A connection on which nothing was asked for so many leases of a worker is closed: its machine is gone by then.
IDLE_LEASES = 3
#: The shortest time after which such a connection is closed.
MIN_IDLE_US = 30 * SECOND_US
#: A user's connection that has had a request may be idle for longer: load balancers keep connections for later users.
USER_IDLE_US = 600 * SECOND_US
#: After its first line a request has to be here within the time after which users give up.
MAX_RECEIVING_US = 5 * SECOND_US
#: How often requests that arrive too slowly are looked for.
RECEIVING_LOOK_S = 1.0
#: Share of the process's sockets that connections from outside may take; the others are for calls of our own.
SERVED_SOCKET_SHARE = 0.9
#: After so many seconds without a packet the system probes a connection, at this interval and so many times.
KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES = 10, 5, 3
#: Number of looks for idle connections within the limit.
LOOKS_PER_LIMIT = 6
NEW, WORKER, USER = "new", "worker", "user"


class Connection(Protocol):
    """An open connection."""

    #: Whether all of the request that keeps it busy is here.
    has_arrived: bool

    def close(self) -> None:
        """Closes it; whoever reads from it is told of its end."""


class Connections:
    """The open connections by the time of their last activity."""

    def __init__(self, clock: Clock, max_sockets: int, lease_s: float) -> None:
        self._clock = clock
        self._limit_us = max(MIN_IDLE_US, to_us(IDLE_LEASES * lease_s))
        self._max_open = max(1, int(max_sockets * SERVED_SOCKET_SHARE))
        # By connection: when it became idle, or busy; the longest one first.
        self._idle: dict[Connection, int] = {}
        self._busy: dict[Connection, int] = {}
        self._kinds: dict[Connection, str] = {}

    def opened(self, connection: Connection) -> None:
        """Adds a connection; if there are too many now, the one that has been idle for longest is closed."""
        if len(self._kinds) >= self._max_open and self._idle:
            self._close(next(iter(self._idle)))
        self._kinds[connection] = NEW
        self.idle(connection)

    def idle(self, connection: Connection, kind: str = "") -> None:
        """Notes that the connection waits for a request; `kind`: of the last one, if there was one."""
        if connection not in self._kinds:
            return
        self._busy.pop(connection, None)
        self._idle.pop(connection, None)
        self._idle[connection] = self._clock.now_us()
        self._kinds[connection] = kind or self._kinds[connection]

    def busy(self, connection: Connection) -> None:
        """Notes that a request has begun."""
        if self._idle.pop(connection, None) is not None:
            self._busy[connection] = self._clock.now_us()

    def closed(self, connection: Connection) -> None:
        """Forgets a connection that has ended."""
        for known in (self._idle, self._busy, self._kinds):
            known.pop(connection, None)

    def close_stale(self) -> int:
        """Closes the connections without any activity within their limit; returns how many."""
        now_us = self._clock.now_us()
        limit_us, user_limit_us = now_us - self._limit_us, now_us - USER_IDLE_US
        stale = [
            connection
            for connection in _before(limit_us, self._idle)
            if self._kinds[connection] != USER or self._idle[connection] <= user_limit_us
        ]
        stale += _before(limit_us, self._busy)
        for connection in stale:
            self._close(connection)
        return len(stale) + self.close_slow()

    def close_slow(self) -> int:
        """Closes the connections whose request has not arrived in time; returns how many."""
        begun = _before(self._clock.now_us() - MAX_RECEIVING_US, self._busy)
        slow = [connection for connection in begun if not connection.has_arrived]
        for connection in slow:
            self._close(connection)
        return len(slow)

    def by_kind(self) -> dict[str, int]:
        """Returns the number of open connections by kind."""
        counts = dict.fromkeys((NEW, WORKER, USER), 0)
        for kind in self._kinds.values():
            counts[kind] += 1
        return counts

    def watch(self) -> None:
        """Closes stale and slow connections from now on."""
        looks_per_stale_look = max(1, round(to_s(self._limit_us) / LOOKS_PER_LIMIT / RECEIVING_LOOK_S))
        for look in itertools.count(1):
            gevent.sleep(RECEIVING_LOOK_S)
            if look % looks_per_stale_look == 0:
                self.close_stale()
            else:
                self.close_slow()

    def _close(self, connection: Connection) -> None:
        self.closed(connection)
        connection.close()


def _before(limit_us: int, connections: dict[Connection, int]) -> Iterable[Connection]:
    """Returns the connections whose last activity was before a time; the longest one comes first."""
    found = []
    for connection, since_us in connections.items():
        if since_us > limit_us:
            break
        found.append(connection)
    return found


class CountedHandler(Handler):
    """Serves one connection and tells the server's `Connections` of its activity."""

    def handle(self) -> None:
        """Serves requests until the connection ends."""
        connections: Connections = self.server.connections
        connections.opened(self)
        try:
            super().handle()
        finally:
            connections.closed(self)

    def read_requestline(self) -> str:
        """Waits for the next request."""
        connections: Connections = self.server.connections
        path = getattr(self, "path", None)
        connections.idle(self, "" if path is None else WORKER if path == "/checkin" else USER)
        line: str = super().read_requestline()
        connections.busy(self)
        self.has_arrived = False
        return line

    def close(self) -> None:
        """Closes the connection; the greenlet that reads from it gets its end."""
        sock = self.__dict__.get("socket")
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # the other side has closed it already


class CountedServer(WSGIServer):
    """A WSGI server with bounded connections."""

    def __init__(self, address: tuple[str, int], application: Any, connections: Connections) -> None:
        super().__init__(address, application, log=None, error_log=None, handler_class=CountedHandler)
        self.connections = connections

    def handle(self, sock: Any, address: Any) -> None:
        """Serves one connection."""
        _keep_alive(sock)
        super().handle(sock, address)


def _keep_alive(sock: Any) -> None:
    """Has the system probe the connection while it is idle."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
