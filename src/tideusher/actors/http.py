"""A small HTTP/1.1 client over gevent sockets: http.client on persistent connections.

Every call has a timeout, and its failure states whether the request may have been executed: other systems may act on
a request long after the call timed out.
"""

import http.client

import gevent
from gevent import socket

from tideusher.config import split_address


class CallFailed(Exception):
    """There was no response. The request may have been, or may still be, executed unless `unsent`.

    `refused`: the other machine itself refused the connection, so it is running.
    """

    def __init__(self, reason: str, unsent: bool = False, refused: bool = False) -> None:
        super().__init__(reason)
        self.unsent, self.refused = unsent, refused


class HttpClient:
    """Makes calls to one address. Idle connections are reused; a failed one is closed."""

    def __init__(self, address: str, timeout_s: float, keep: int = 4) -> None:
        self._address = split_address(address)
        self._timeout_s = timeout_s
        self._keep = keep
        self._idle: list[http.client.HTTPConnection] = []

    def call(
        self, method: str, path: str, body: bytes | None = None, timeout_s: float | None = None
    ) -> tuple[int, bytes]:
        """Sends one request; returns status and body, or raises CallFailed."""
        limit = timeout_s or self._timeout_s
        reused = bool(self._idle)
        connection = self._idle.pop() if reused else None
        sent = False
        try:
            with gevent.Timeout(limit):
                if connection is None:
                    connection = self._connect()
                sent = True
                connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
                response = connection.getresponse()
                data = response.read()
        except (OSError, http.client.HTTPException, gevent.Timeout) as error:
            if connection is not None:
                connection.close()
            refused = isinstance(error, ConnectionRefusedError)
            raise CallFailed(f"{method} {path}: {type(error).__name__}: {error}", not sent, refused) from None
        except BaseException:
            if connection is not None:
                connection.close()
            raise
        if response.will_close or len(self._idle) >= self._keep:
            connection.close()
        else:
            self._idle.append(connection)
        return response.status, data

    def _connect(self) -> http.client.HTTPConnection:
        # A gevent socket and a numeric address need no resolver, hence no thread pool.
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.connect(self._address)
        except BaseException:
            sock.close()
            raise
        connection = http.client.HTTPConnection(*self._address)
        connection.auto_open = 0  # http.client must not reconnect by itself: it would use a blocking socket
        connection.sock = sock
        return connection
