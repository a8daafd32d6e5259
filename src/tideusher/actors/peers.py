"""Links between controllers: netstrings of JSON over TCP, with heartbeats.

Each node opens one link to every other node and asks its questions on it; answers come back on the
same link. A link that is silent says nothing about the other node's life, only that we cannot use it.
"""

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
SILENCE_US = to_us(1.8)
REQUEST_S = 1.0
#: A link that ended is made anew after this time.
RECONNECT_S = 0.3

#: What may wait to be sent on one connection. A report that finds more waiting is answered by its
#: gateway alone, at once: behind a cut it would be too late anyway.
MAX_WAITING = 512 * 1024

#: What is said in answer to a heartbeat: the message, and up to which line it tells of workers.
Answering = Callable[[wire.Hello, int], tuple[wire.Hello, int]]
Handler = Callable[[wire.Message], wire.Message | None]
ReportsHandler = Callable[[list[wire.ForwardReport]], list[wire.ReportAnswer]]


class Outbox:
    """What is to be sent on one connection, written by one greenlet.

    Frames that come while the loop serves other things leave together; and no two writers can put their
    frames into one another when the connection takes only part of one.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._frames: list[bytes] = []
        self._waiting = 0
        self._writing = False
        self.line = 0  # up to which the other side was told of our workers

    def put(self, frame: bytes) -> bool:
        """Send a frame soon; False, at once, if too much waits already."""
        if self._waiting + len(frame) > MAX_WAITING:
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
            pass  # whoever reads from this connection finds it closed
        finally:
            self._writing = False


class Link:
    """Our own connection to one peer."""

    def __init__(
        self,
        peer: Peer,
        hello: Callable[[], wire.Hello],
        clock: Clock,
        told: Callable[[str, wire.Hello | None], None] = lambda name, message: None,
    ) -> None:
        self.peer = peer
        self.log = logging.getLogger("peers")
        self._hello, self._clock, self._tell = hello, clock, told
        self._outbox: Outbox | None = None
        self._was_up = False
        #: Since when it refuses new connections, the last one having ended; None: it does not, or is only silent.
        self.refused_us: int | None = None
        #: Its last heartbeat.
        self.said: wire.Hello | None = None
        self._heard_us: int | None = None
        self._numbers = itertools.count(1)
        self._open: dict[int, AsyncResult] = {}
        self.in_contact = False
        #: The newest leadership that the peer has told of.
        self.told: tuple[str, int] = ("", 0)
        #: How many changes a second the peer wants to write.
        self.writes = 0.0
        #: Does the peer hear none of the workers that it had?
        self.deaf = False
        #: How long the last heartbeat and its answer were under way.
        self.round_trip_us = 0

    def usable(self) -> bool:
        """Connected, and heard from just now."""
        return (
            self._outbox is not None
            and self._heard_us is not None
            and self._clock.now_us() - self._heard_us < SILENCE_US
        )

    def beat(self) -> bytes:
        """A heartbeat, to be sent now."""
        said = self._hello()
        said.sent = self._clock.now_us()
        return wire.frame(said)

    def start(self) -> None:
        """Connect and keep connecting."""
        gevent.spawn(self._run)

    def ask(self, make: Callable[[int], wire.Message], timeout_s: float) -> wire.ReportAnswer | None:
        """Send a question and wait for its answer; None when there is none in time."""
        outbox, number = self._outbox, next(self._numbers)
        if outbox is None or not outbox.put(wire.frame(make(number))):
            return None
        result = self._open[number] = AsyncResult()
        try:
            with gevent.Timeout(timeout_s, False):
                return result.get()
            return None
        finally:
            self._open.pop(number, None)

    def _run(self) -> None:
        while True:
            try:
                self._connect()
            except Exception:
                self.log.exception("the link to %s is made anew", self.peer.name)
            gevent.sleep(RECONNECT_S)

    def _connect(self) -> None:
        """Connect, and read what the peer says until the connection ends."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            with gevent.Timeout(1.0):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.connect(split_address(self.peer.address))
            self._outbox, self._was_up, self.refused_us = Outbox(sock), True, None
            beat = gevent.spawn(self._beat, self._outbox)
            try:
                self._read(sock)
            finally:
                beat.kill(block=False)
        except (OSError, gevent.Timeout, wire.FrameError) as error:
            self.log.debug("link to %s: %s", self.peer.name, error)
            if not isinstance(error, ConnectionRefusedError):
                self.refused_us = None
            elif self._was_up and self.refused_us is None:
                self.refused_us = self._clock.now_us()
        finally:
            self._end(sock)

    def _end(self, sock: socket.socket) -> None:
        """The connection is over: nothing that the peer said on it holds any more."""
        said, self.said = self.said, None
        self._outbox = self._heard_us = None
        self.in_contact = False
        sock.close()
        for result in list(self._open.values()):
            result.set(None)
        if said is not None:
            self._tell(self.peer.name, None)

    def _beat(self, outbox: Outbox) -> None:
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
        """What the peer said on this connection."""
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
                result = self._open.get(message.id)
                if result is not None:
                    result.set(message)


class Peers:
    """All links, and the server that answers the others' questions."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        hello: Callable[[], wire.Hello],
        answering: Answering | None = None,
        told: Callable[[str, wire.Hello | None], None] = lambda name, message: None,
    ) -> None:
        self.log = logging.getLogger("peers")
        self._clock = clock
        self._answering: Answering = answering or (lambda heard, line: (hello(), line))
        self.links = {peer.name: Link(peer, hello, clock, told) for peer in config.peers}
        self._handler: Handler = lambda message: None
        self._reports: ReportsHandler = lambda reports: []
        self._server = StreamServer(split_address(config.peer_bind), self._serve)

    def start(self, handler: Handler, reports: ReportsHandler) -> None:
        """Listen and connect; `handler` answers a question, `reports` all reports that came together."""
        self._handler, self._reports = handler, reports
        self._server.start()
        for link in self.links.values():
            link.start()

    def reported_leader(self) -> tuple[str, int]:
        """The newest leadership that any peer has told of, for a node that the state service shuns."""
        return max((link.told for link in self.links.values()), key=lambda told: told[1], default=("", 0))

    def forward_request(self, method: str, path: str, body: str) -> wire.ReportAnswer | None:
        """Have a user's request answered by a peer that reaches the state service, if there is one.

        All of them together have as long as one: with six that were slow, one after the other, a user was told
        nothing in the time for which users wait.
        """
        until_us = self._clock.now_us() + to_us(REQUEST_S)
        for link in self.links.values():
            left_us = until_us - self._clock.now_us()
            if left_us > 0 and link.usable() and link.in_contact:
                answer = link.ask(lambda number: wire.UserRequest(number, method, path, body), to_s(left_us))
                if answer is not None and answer.ok:
                    return answer
        return None

    def demands(self) -> dict[str, float]:
        """What each peer that we hear wants to write a second."""
        return {name: link.writes for name, link in self.links.items() if link.usable()}

    def deaf_zones(self) -> set[str]:
        """Zones of which a controller that we hear hears none of the workers that it had."""
        return {link.peer.zone for link in self.links.values() if link.usable() and link.deaf}

    def is_connected(self, node: str) -> bool:
        """Is this controller heard by us right now?"""
        link = self.links.get(node)
        return link is not None and link.usable()

    def candidates(self) -> list[Candidate]:
        """Every other controller that we hear, as a possible leader."""
        return [
            Candidate(
                name,
                link.peer.zone,
                said.in_contact,
                said.deaf,
                said.behind,
                said.lag_ms * 1000,
                said.lost,
                said.rests,
                said.pages,
            )
            for name, link in self.links.items()
            if link.usable() and (said := link.said) is not None
        ]

    def reads(self, node: str) -> bool:
        """Is this controller heard by us, and does it reach the state service?"""
        link = self.links.get(node)
        return link is not None and link.usable() and link.in_contact

    def hears_any(self) -> bool:
        """Do we hear any other controller?"""
        return any(link.usable() for link in self.links.values())

    def refuses(self, node: str) -> bool:
        """Did our connection to this controller end, and does it refuse a new one, for long enough to say so?"""
        link = self.links.get(node)
        return link is not None and link.refused_us is not None and self._clock.now_us() - link.refused_us >= LOST_US

    def any_in_contact(self) -> bool:
        """Does any peer that we hear reach the state service?"""
        return any(self.reads(node) for node in self.links)

    def _serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        unframer, outbox = wire.MessageDecoder(), Outbox(sock)
        try:
            while True:
                with gevent.Timeout(6.0):
                    data = sock.recv(65536)
                if not data:
                    return
                self.take(unframer.feed(data), outbox)
        except wire.FrameError as error:
            self.log.error("refused a frame from %s: %s", address[0], error)
        except (OSError, gevent.Timeout):
            pass
        finally:
            sock.close()

    def take(self, messages: list[wire.Message], outbox: Outbox) -> None:
        """Answer what came together on one connection; nothing here waits."""
        reports = []
        for message in messages:
            if isinstance(message, wire.Hello):
                said, line = self._answering(message, outbox.line)
                said.sent = message.sent
                if outbox.put(wire.frame(said)):
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
            self.log.exception("could not answer a peer")

    def _answer_reports(self, outbox: Outbox, reports: list[wire.ForwardReport]) -> None:
        try:
            for answer in self._reports(reports):
                outbox.put(wire.frame(answer))
        except Exception:
            self.log.exception("could not answer the reports of a peer")
