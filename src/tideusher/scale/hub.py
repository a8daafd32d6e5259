"""The hub of a scale run: the coordinator's connections to all other processes, by process name."""

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
    """Sends messages to processes by name, and passes on the messages it receives from them."""

    def __init__(self, address: str, handle: Callable[[str, Message], None]) -> None:
        self._on_message = handle
        self._outboxes: dict[str, Queue[bytes]] = {}
        self._received = Event()
        self.counted: dict[str, Counted] = {}
        self._server = StreamServer(split_address(address), self._receive)

    def start(self) -> None:
        """Starts to accept connections; raises OSError if the address is in use."""
        self._server.start()

    def stop(self) -> None:
        """Stops accepting connections and abandons the open ones."""
        self._server.stop(timeout=0)

    def send(self, name: str, message: HubMessage) -> None:
        """Sends a message to a process; does nothing if that process is not connected."""
        outbox = self._outboxes.get(name)
        if outbox is not None:
            outbox.put(frame(message))  # type: ignore[arg-type]

    def broadcast(self, message: HubMessage, names: Iterable[str] | None = None) -> None:
        """Sends a message to the named processes, or to all connected processes."""
        for name in list(self._outboxes) if names is None else names:
            self.send(name, message)

    def missing(self, names: set[str]) -> set[str]:
        """Returns the names of those processes that are not connected (yet)."""
        return names - set(self._outboxes)

    def wait_counted(self, names: set[str], timeout_s: float) -> set[str]:
        """Waits until all these processes have sent their counts; returns those that have not."""
        with gevent.Timeout(timeout_s, False):
            while not names <= set(self.counted):
                self._received.clear()
                self._received.wait()
        return names - set(self.counted)

    def _receive(self, connection: socket.socket, _address: object) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        decoder, name = MessageDecoder(), ""
        try:
            while data := connection.recv(_RECEIVE_BYTES):
                for message in decoder.feed(data):
                    if isinstance(message, Ready):
                        name = message.name
                        self._outboxes[name] = Queue()
                        gevent.spawn(self._send_queued, connection, self._outboxes[name])
                    elif isinstance(message, Counted):
                        self.counted[message.name] = message
                    else:
                        self._on_message(name, message)
                    self._received.set()
        except (OSError, FrameError):
            pass
        self._outboxes.pop(name, None)

    @staticmethod
    def _send_queued(connection: socket.socket, outbox: "Queue[bytes]") -> None:
        try:
            while True:
                connection.sendall(outbox.get())
        except OSError:
            pass
