"""Where all processes of a scale run report: their connections by name."""

from collections.abc import Callable, Iterable

import gevent
from gevent import socket
from gevent.event import Event
from gevent.queue import Queue
from gevent.server import StreamServer

from tideusher.config import split_address
from tideusher.scale.messages import Counted, HubMessage, Message, MessageDecoder, Ready, frame
from tideusher.wire.netstrings import FrameError

_RECEIVE_BYTES = 1 << 16


class Hub:
    """Sends to processes by their names, and hands over what they say."""

    def __init__(self, address: str, handle: Callable[[str, Message], None]) -> None:
        self._handle = handle
        self._outboxes: dict[str, Queue[bytes]] = {}
        self._changed = Event()
        self.counted: dict[str, Counted] = {}
        self._server = StreamServer(split_address(address), self._serve)

    def start(self) -> None:
        """Begin to accept connections; raises OSError where the address is in use."""
        self._server.start()

    def stop(self) -> None:
        """Accept no more, and let go of those that are there."""
        self._server.stop(timeout=0)

    def send(self, name: str, message: HubMessage) -> None:
        """To one process; what has ended is passed over."""
        outbox = self._outboxes.get(name)
        if outbox is not None:
            outbox.put(frame(message))  # type: ignore[arg-type]

    def broadcast(self, message: HubMessage, names: Iterable[str] | None = None) -> None:
        """To all of these, or to all there are."""
        for name in list(self._outboxes) if names is None else names:
            self.send(name, message)

    def missing(self, names: set[str]) -> set[str]:
        """Those of these that do not serve (yet)."""
        return names - set(self._outboxes)

    def wait_counted(self, names: set[str], timeout_s: float) -> set[str]:
        """Wait until all of these have said what they counted; returns those that have not."""
        with gevent.Timeout(timeout_s, False):
            while not names <= set(self.counted):
                self._changed.clear()
                self._changed.wait()
        return names - set(self.counted)

    def _serve(self, connection: socket.socket, _address: object) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        unframer, name = MessageDecoder(), ""
        try:
            while data := connection.recv(_RECEIVE_BYTES):
                for message in unframer.feed(data):
                    if isinstance(message, Ready):
                        name = message.name
                        self._outboxes[name] = Queue()
                        gevent.spawn(self._deliver, connection, self._outboxes[name])
                    elif isinstance(message, Counted):
                        self.counted[message.name] = message
                    else:
                        self._handle(name, message)
                    self._changed.set()
        except (OSError, FrameError):
            pass
        self._outboxes.pop(name, None)

    @staticmethod
    def _deliver(connection: socket.socket, outbox: "Queue[bytes]") -> None:
        try:
            while True:
                connection.sendall(outbox.get())
        except OSError:
            pass
