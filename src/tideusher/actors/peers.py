"""Links between controllers: netstrings of JSON over TCP, with heartbeats.

Each node opens one link to every other node and sends its requests on it; answers come back on the same link. A
silent link does not show that the other node is dead, only that the link cannot be used.
"""

import contextlib
import itertools
import logging
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import AsyncResult
from gevent.server import StreamServer

from tideusher.clock import Clock, to_s, to_us
from tideusher.config import Config, Peer, split_address
from tideusher.core.decide.succession import LOST_US, Candidate
from tideusher.wire import peers as wire

HEARTBEAT_S = 0.5
MAX_SILENCE_US = to_us(1.8)
REQUEST_TIMEOUT_S = 1.0
#: Delay before a closed link is opened again.
RECONNECT_DELAY_S = 0.3
#: A connection on which no whole message came for this long is closed; a heartbeat comes every HEARTBEAT_S.
MAX_FRAME_TIME_US = to_us(6.0)
#: A peer that has lost its connection opens another, while the end of the old one is not known here.
CONNECTIONS_PER_PEER, SPARE_CONNECTIONS = 2, 4

#: Bytes that may wait to be sent on one connection. A report that does not fit is answered at once by its gateway
#: alone: behind a network partition it would be too late anyway.
MAX_QUEUED_BYTES = 512 * 1024

#: Answers a heartbeat: returns the message, and the line up to which it reports worker contacts.
HeartbeatAnswer = Callable[[wire.Hello, int], tuple[wire.Hello, int]]
Handler = Callable[[wire.Message], wire.Message | None]
ReportsHandler = Callable[[list[wire.ForwardReport]], list[wire.ReportAnswer]]


class Outbox:
    """The send queue of one connection, written by a single greenlet.

    Frames that arrive while the event loop is busy leave together, and frames of several writers cannot interleave
    when the connection accepts only part of one.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._frames: list[bytes] = []
        self._waiting = 0
        self._writing = False
        self.line = 0  # up to which our worker contacts were reported to the other side

    def put(self, frame: bytes) -> bool:
        """Queues a frame; False if too much waits already."""
        if self._waiting + len(frame) > MAX_QUEUED_BYTES:
            return False
        self._frames.append(frame)
        self._waiting += len(frame)
        if not self._writing:
            self._writing = True
            gevent.spawn(self._write)
        return True

    def _write(self) -> None:
        try:
            while self._frames:
                data = b"".join(self._frames)
                self._frames.clear()
                self._sock.sendall(data)
                self._waiting -= len(data)
        except OSError:
            pass  # the reader of this connection finds it closed
        finally:
            self._writing = False


class Link:
    """Our own connection to one peer."""

    def __init__(
        self,
        peer: Peer,
        hello: Callable[[], wire.Hello],
        clock: Clock,
        on_heartbeat: Callable[[str, wire.Hello | None], None] = lambda name, message: None,
    ) -> None:
        self.peer = peer
        self.log = logging.getLogger("peers")
        self._hello, self._clock, self._tell = hello, clock, on_heartbeat
        self._outbox: Outbox | None = None
        self._was_connected = False
        #: Since when the peer has refused new connections after the last one ended; None if it has not.
        self.refused_us: int | None = None
        #: The peer's last heartbeat on this connection.
        self.said: wire.Hello | None = None
        self._heard_us: int | None = None
        self._request_ids = itertools.count(1)
        self._pending: dict[int, AsyncResult] = {}
        self.in_contact = False
        #: The newest leadership that the peer has reported: (node, token).
        self.told: tuple[str, int] = ("", 0)
        #: The peer's write demand a second.
        self.writes = 0.0
        #: Has the peer lost contact with all of its workers?
        self.deaf = False
        #: Round-trip time of the last heartbeat and its answer.
        self.round_trip_us = 0

    def usable(self) -> bool:
        """True if connected, with a message received within the silence limit."""
        return (
            self._outbox is not None
            and self._heard_us is not None
            and self._clock.now_us() - self._heard_us < MAX_SILENCE_US
        )

    def beat(self) -> bytes:
        """Returns the frame of a heartbeat to be sent now."""
        heartbeat = self._hello()
        heartbeat.sent = self._clock.now_us()
        return wire.frame(heartbeat)

    def start(self) -> None:
        """Starts to connect, and reconnects whenever the connection ends."""
        gevent.spawn(self._run)

    def ask(self, make: Callable[[int], wire.Message], timeout_s: float) -> wire.ReportAnswer | None:
        """Sends a request and waits for its answer; None if there is none in time."""
        outbox, number = self._outbox, next(self._request_ids)
        if outbox is None or not outbox.put(wire.frame(make(number))):
            return None
        result = self._pending[number] = AsyncResult()
        try:
            with gevent.Timeout(timeout_s, False):
                return result.get()
            return None
        finally:
            self._pending.pop(number, None)

    def _run(self) -> None:
        while True:
            try:
                self._connect()
            except Exception:
                self.log.exception("link to %s failed and is opened again", self.peer.name)
            gevent.sleep(RECONNECT_DELAY_S)

    def _connect(self) -> None:
        """Connects, and reads the peer's messages until the connection ends."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            with gevent.Timeout(1.0):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.connect(split_address(self.peer.address))
            self._outbox, self._was_connected, self.refused_us = Outbox(sock), True, None
            beat = gevent.spawn(self._send_heartbeats, self._outbox)
            try:
                self._read(sock)
            finally:
                beat.kill(block=False)
        except (OSError, gevent.Timeout, wire.FrameError) as error:
            self.log.debug("link to %s: %s", self.peer.name, error)
            if not isinstance(error, ConnectionRefusedError):
                self.refused_us = None
            elif self._was_connected and self.refused_us is None:
                self.refused_us = self._clock.now_us()
        finally:
            self._end(sock)

    def _end(self, sock: socket.socket) -> None:
        """Closes the connection: what the peer reported on it is no longer valid."""
        heartbeat, self.said = self.said, None
        self._outbox = self._heard_us = None
        self.in_contact = False
        sock.close()
        for result in list(self._pending.values()):
            result.set(None)
        if heartbeat is not None:
            self._tell(self.peer.name, None)

    def _send_heartbeats(self, outbox: Outbox) -> None:
        while True:
            outbox.put(self.beat())
            gevent.sleep(HEARTBEAT_S)

    def _read(self, sock: socket.socket) -> None:
        unframer = wire.MessageDecoder()
        while True:
            with gevent.Timeout(4.0):
                data = sock.recv(65536)
            if not data:
                return
            self.take(unframer.feed(data))

    def take(self, messages: list[wire.Message]) -> None:
        """Handles the messages of the peer on our own connection to it."""
        self._heard_us = self._clock.now_us()
        for message in messages:
            if isinstance(message, wire.Hello):
                if message.sent:
                    self.round_trip_us = self._heard_us - message.sent
                self.in_contact, self.writes, self.deaf = message.in_contact, message.writes, message.deaf
                if message.token > self.told[1]:
                    self.told = (message.leader, message.token)
                self.said = message
                self._tell(self.peer.name, message)
            elif isinstance(message, wire.ReportAnswer):
                result = self._pending.get(message.id)
                if result is not None:
                    result.set(message)


class IncomingConnections:
    """The connections of other controllers, so many that their unfinished frames fit the memory.

    Beyond that number the one that has been without a whole message for longest is closed.
    """

    def __init__(self, peers: int) -> None:
        self._most = CONNECTIONS_PER_PEER * peers + SPARE_CONNECTIONS
        self._open: dict[socket.socket, None] = {}  # the one that was heard least recently first

    def add(self, sock: socket.socket) -> None:
        """Adds a connection."""
        if len(self._open) >= self._most:
            oldest = next(iter(self._open))
            self.remove(oldest)
            with contextlib.suppress(OSError):
                oldest.shutdown(socket.SHUT_RDWR)
        self._open[sock] = None

    def heard(self, sock: socket.socket) -> None:
        """Notes a whole message."""
        if sock in self._open:
            del self._open[sock]
            self._open[sock] = None

    def remove(self, sock: socket.socket) -> None:
        """Forgets a connection that has ended."""
        self._open.pop(sock, None)


class Peers:
    """All links to other controllers, and the server that answers their requests."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        hello: Callable[[], wire.Hello],
        answer_heartbeat: HeartbeatAnswer | None = None,
        on_heartbeat: Callable[[str, wire.Hello | None], None] = lambda name, message: None,
    ) -> None:
        self.log = logging.getLogger("peers")
        self._clock = clock
        self._answer_heartbeat: HeartbeatAnswer = answer_heartbeat or (lambda received, line: (hello(), line))
        self.links = {peer.name: Link(peer, hello, clock, on_heartbeat) for peer in config.peers}
        self._handler: Handler = lambda message: None
        self._reports: ReportsHandler = lambda reports: []
        self._incoming = IncomingConnections(len(config.peers))
        self._server = StreamServer(split_address(config.peer_bind), self._serve)

    def start(self, handler: Handler, reports: ReportsHandler) -> None:
        """Listens and connects; `handler` answers a request, `reports` all reports that arrived together."""
        self._handler, self._reports = handler, reports
        self._server.start()
        for link in self.links.values():
            link.start()

    def reported_leader(self) -> tuple[str, int]:
        """Returns the newest leadership that any peer reported, for a node that cannot read the state service."""
        return max((link.told for link in self.links.values()), key=lambda told: told[1], default=("", 0))

    def forward_request(self, method: str, path: str, body: str) -> wire.ReportAnswer | None:
        """Has a user's request answered by a peer that reaches the state service; None if there is none.

        One timeout covers all peers: with a timeout for each, six slow peers in a row left a user without an answer
        within the time for which users wait.
        """
        until_us = self._clock.now_us() + to_us(REQUEST_TIMEOUT_S)
        for link in self.links.values():
            left_us = until_us - self._clock.now_us()
            if left_us > 0 and link.usable() and link.in_contact:
                answer = link.ask(lambda number: wire.UserRequest(number, method, path, body), to_s(left_us))
                if answer is not None and answer.ok:
                    return answer
        return None

    def ask_to_withhold(self, node: str, job: str) -> bool:
        """Asks the controller that leads to start no task of a job for a time; True if it promises that."""
        link = self.links.get(node)
        if link is None or not link.usable() or link.said is None or not link.said.withholds:
            return False
        answer = link.ask(lambda number: wire.WithholdStarts(number, job), REQUEST_TIMEOUT_S)
        return answer is not None and answer.ok

    def write_demands(self) -> dict[str, float]:
        """Returns the write demand a second of each connected peer."""
        return {name: link.writes for name, link in self.links.items() if link.usable()}

    def zones_without_reports(self) -> set[str]:
        """Returns the zones where a connected controller has lost contact with all of its workers."""
        return {link.peer.zone for link in self.links.values() if link.usable() and link.deaf}

    def is_connected(self, node: str) -> bool:
        """True if the link to this controller is usable right now."""
        link = self.links.get(node)
        return link is not None and link.usable()

    def candidates(self) -> list[Candidate]:
        """Returns every connected controller as a candidate for the leadership."""
        return [
            Candidate(
                name,
                link.peer.zone,
                heartbeat.in_contact,
                heartbeat.deaf,
                heartbeat.behind,
                heartbeat.lag_ms * 1000,
                heartbeat.lost,
                heartbeat.rests,
                heartbeat.pages,
            )
            for name, link in self.links.items()
            if link.usable() and (heartbeat := link.said) is not None
        ]

    def reads_state(self, node: str) -> bool:
        """True if this controller is connected and reaches the state service."""
        link = self.links.get(node)
        return link is not None and link.usable() and link.in_contact

    def any_connected(self) -> bool:
        """True if any other controller is connected."""
        return any(link.usable() for link in self.links.values())

    def refuses_connections(self, node: str) -> bool:
        """True if our connection to this controller ended and it has refused new ones for LOST_US."""
        link = self.links.get(node)
        return link is not None and link.refused_us is not None and self._clock.now_us() - link.refused_us >= LOST_US

    def any_reads_state(self) -> bool:
        """True if any connected controller reaches the state service."""
        return any(self.reads_state(node) for node in self.links)

    def _serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        self._incoming.add(sock)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._receive(sock)
        except wire.FrameError as error:
            self.log.error("frame from %s refused: %s", address[0], error)
        except (OSError, gevent.Timeout):
            pass
        finally:
            self._incoming.remove(sock)
            sock.close()

    def _receive(self, sock: socket.socket) -> None:
        """Handles what a peer sends; ends if no whole message has come for MAX_FRAME_TIME_US."""
        unframer, outbox = wire.MessageDecoder(), Outbox(sock)
        until_us = self._clock.now_us() + MAX_FRAME_TIME_US
        while True:
            with gevent.Timeout(max(0.0, to_s(until_us - self._clock.now_us()))):
                data = sock.recv(65536)
            if not data:
                return
            messages = unframer.feed(data)
            if messages:
                until_us = self._clock.now_us() + MAX_FRAME_TIME_US
                self._incoming.heard(sock)
                self.take(messages, outbox)

    def take(self, messages: list[wire.Message], outbox: Outbox) -> None:
        """Handles messages that arrived together on one connection, without waiting for their answers."""
        reports = []
        for message in messages:
            if isinstance(message, wire.Hello):
                heartbeat, line = self._answer_heartbeat(message, outbox.line)
                heartbeat.sent = message.sent
                if outbox.put(wire.frame(heartbeat)):
                    outbox.line = line
            elif isinstance(message, wire.ForwardReport):
                reports.append(message)
            else:
                gevent.spawn(self._answer, outbox, message)
        if reports:
            gevent.spawn(self._answer_reports, outbox, reports)

    def _answer(self, outbox: Outbox, message: wire.Message) -> None:
        try:
            answer = self._handler(message)
            if answer is not None:
                outbox.put(wire.frame(answer))
        except Exception:
            self.log.exception("answer to a request of a peer failed")

    def _answer_reports(self, outbox: Outbox, reports: list[wire.ForwardReport]) -> None:
        try:
            for answer in self._reports(reports):
                outbox.put(wire.frame(answer))
        except Exception:
            self.log.exception("answer to forwarded reports of a peer failed")
