"""A process's end of its connection to the hub: it ends with it."""

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
    """Sends to the hub, and hands what it says to a function."""

    def __init__(self, address: str, name: str) -> None:
        self._name = name
        self._socket = socket.create_connection(split_address(address))
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._unsent = bytearray()
        self._flushing = False

    def send(self, message: HubMessage) -> None:
        """Sent as soon as the loop comes round, in order."""
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
        """Say that this process is ready, and handle what the hub says until it says that the run is over."""
        unframer = MessageDecoder()
        self.send(Ready(self._name))
        while True:
            data = self._socket.recv(_RECEIVE_BYTES)
            if not data:
                return  # the hub has ended: so does the run
            for message in unframer.feed(data):
                if isinstance(message, Finish):
                    self.send(counted())
                    self._flush()
                    return
                handle(message)


def run_role(main: Callable[[list[str]], None]) -> None:
    """Run one process of a scale run; an interrupt is the hub's to handle, which ends all of them."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        main(sys.argv[1:])
    except (ConnectionError, BrokenPipeError):
        pass  # the hub is gone
    sys.stderr.flush()
    os._exit(0)
