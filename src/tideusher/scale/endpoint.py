"""A process's connection to the hub. The process ends when the connection does."""

import os
import signal
import sys
from collections.abc import Callable

import gevent
from gevent import socket

from tideusher.config import split_address
from tideusher.scale.messages import Counted, Finish, HubMessage, Message, MessageDecoder, Ready, frame

_RECEIVE_BYTES = 1 << 16


class HubLink:
    """Sends messages to the hub, and passes received ones to a handler."""

    def __init__(self, address: str, name: str) -> None:
        self._name = name
        self._socket = socket.create_connection(split_address(address))
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._unsent = bytearray()
        self._flushing = False

    def send(self, message: HubMessage) -> None:
        """Queues a message; queued messages are sent in order on the next turn of the event loop."""
        self._unsent += frame(message)  # type: ignore[arg-type]
        if not self._flushing:
            self._flushing = True
            gevent.spawn(self._flush)

    def _flush(self) -> None:
        while self._unsent:
            data = bytes(self._unsent)
            self._unsent.clear()
            self._socket.sendall(data)
        self._flushing = False

    def serve(self, handle: Callable[[Message], None], counted: Callable[[], Counted]) -> None:
        """Reports the process as ready, then handles messages until the run is over or the connection is closed."""
        decoder = MessageDecoder()
        self.send(Ready(self._name))
        while True:
            data = self._socket.recv(_RECEIVE_BYTES)
            if not data:
                return  # the hub has ended, and the run with it
            for message in decoder.feed(data):
                if isinstance(message, Finish):
                    self.send(counted())
                    self._flush()
                    return
                handle(message)


def run_role(main: Callable[[list[str]], None]) -> None:
    """Runs one process of a scale run. It ignores interrupts: the hub handles them and ends all processes."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        main(sys.argv[1:])
    except (ConnectionError, BrokenPipeError):
        pass  # the hub is gone
    sys.stderr.flush()
    os._exit(0)
