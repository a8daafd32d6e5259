"""Connections that nobody uses any more: closed in time, and fewer than the sockets of the process.

The failure: each of 16 machines that were taken back without a notice left a socket at its controller for ever; at
`max_sockets` no worker and no user got in any more (the second review).
"""

import gevent
import pytest
from gevent import socket

from standins import FakeClock
from tideusher.actors.connections import (
    MIN_IDLE_US,
    NEW,
    SERVED_SOCKET_SHARE,
    USER,
    USER_IDLE_US,
    WORKER,
    Connections,
    CountedServer,
)
from tideusher.web import Web

MAX_SOCKETS, LEASE_S = 20, 6.0
MAX_OPEN = int(MAX_SOCKETS * SERVED_SOCKET_SHARE)


class Site:
    """A server on loopback, and clients that keep their connections."""

    def __init__(self, application=None):
        self.clock = FakeClock()
        self.connections = Connections(self.clock, MAX_SOCKETS, LEASE_S)
        self.server = CountedServer(("127.0.0.1", 0), application or self.answer, self.connections)
        self.server.start()
        self.most = 0

    def answer(self, environ, start_response):
        environ["wsgi.input"].read()
        self.most = max(self.most, sum(self.connections.by_kind().values()))
        start_response("200 OK", [("Content-Length", "2")])
        return [b"{}"]

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.server.server_port), timeout=5.0)

    @staticmethod
    def ask(client, path, method="POST"):
        """Sends a request on a connection; returns the answer, empty if the connection was closed."""
        try:
            client.sendall(f"{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".encode())
            return client.recv(4096)
        except OSError:
            return b""


@pytest.fixture
def site():
    site = Site()
    yield site
    site.server.stop(timeout=1.0)


def test_ten_times_as_many_machines_as_sockets_come_and_go_and_users_are_answered(site):
    gone = []
    for number in range(10 * MAX_SOCKETS):
        machine = site.connect()
        assert site.ask(machine, "/checkin").startswith(b"HTTP/1.1 200"), number
        gone.append(machine)  # it is gone without an end of its connection
        site.clock.pass_s(0.1)
        if number % 10 == 0:
            user = site.connect()
            assert site.ask(user, "/work/req-000001", "GET").startswith(b"HTTP/1.1 200"), number
            user.close()
    gevent.sleep(0.05)
    assert site.most <= MAX_OPEN + 1 and sum(site.connections.by_kind().values()) <= MAX_OPEN


def test_a_machine_that_reports_keeps_its_connection_and_idle_ones_are_closed(site):
    reporting, idle, silent = site.connect(), site.connect(), site.connect()
    site.ask(idle, "/work/req-000001", "GET")
    gevent.sleep(0.05)
    for _ in range(round(MIN_IDLE_US / 1e6) + 2):
        assert site.ask(reporting, "/checkin").startswith(b"HTTP/1.1 200")
        gevent.sleep(0)
        site.clock.pass_s(1.0)
    assert site.connections.by_kind() == {NEW: 1, WORKER: 1, USER: 1}
    assert site.connections.close_stale() == 1
    gevent.sleep(0.05)
    assert site.connections.by_kind() == {NEW: 0, WORKER: 1, USER: 1}
    site.clock.us += USER_IDLE_US
    assert site.ask(reporting, "/checkin").startswith(b"HTTP/1.1 200")
    assert site.connections.close_stale() == 1
    gevent.sleep(0.05)
    assert site.connections.by_kind() == {NEW: 0, WORKER: 1, USER: 0}
    assert silent.recv(10) == b"" and idle.recv(10) == b""
    assert site.ask(reporting, "/checkin").startswith(b"HTTP/1.1 200")


def test_a_request_that_never_ends_is_closed_too(site):
    half = site.connect()
    half.sendall(b"POST /checkin HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n{")
    gevent.sleep(0.05)
    site.clock.us += MIN_IDLE_US
    assert site.connections.close_stale() == 1
    gevent.sleep(0.05)
    assert not sum(site.connections.by_kind().values())


def test_head_gets_an_answer_without_a_body_at_every_path():
    """A client that keeps its connection took the body for the next answer."""
    connections = Connections(FakeClock(), MAX_SOCKETS, LEASE_S)
    web = Web("127.0.0.1:0", None, None, None, None, lambda: b"metrics", lambda: True, lambda: True, connections)
    site = Site(web)
    try:
        client = site.connect()
        for path, status in (("/healthz", b"200"), ("/metrics", b"200"), ("/checkin", b"405"), ("/nowhere", b"404")):
            head = site.ask(client, path, "HEAD")
            assert head.startswith(b"HTTP/1.1 " + status) and head.endswith(b"\r\n\r\n"), path
            assert b"Content-Length: 0" not in head
        assert site.ask(client, "/metrics", "GET").endswith(b"\r\n\r\nmetrics")
    finally:
        site.server.stop(timeout=1.0)
