"""The process that simulates the links between controllers, and from them to the state service and the cloud.

Each direction delays the data that it forwards. While two regions are partitioned, data in transit between them is
held and delivered in order afterwards; new connections are accepted by the link alone and not yet forwarded.
"""

from collections import defaultdict, deque

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from tideusher.clock import Clock, to_s
from tideusher.config import split_address
from tideusher.scale.endpoint import HubLink, run_role
from tideusher.scale.layout import Forward, Layout
from tideusher.scale.messages import Counted, Cut, LinkCut, LinkCuts, Message, Traffic, is_cut
from tideusher.scale.settings import load_scale_settings

_RECEIVE_BYTES = 1 << 16


class Links:
    """All forwarding listeners of a run, and the cuts that apply to them."""

    def __init__(self, layout: Layout, clock: Clock) -> None:
        self._layout, self._clock = layout, clock
        self._partitions: list[tuple[int, int]] = []
        self._link_cuts = LinkCuts([])
        self._connections: dict[socket.socket, Forward] = {}
        self._listeners: dict[Forward, StreamServer] = {}
        self._changed = Event()
        self.traffic: dict[str, Traffic] = defaultdict(Traffic)

    def start(self) -> None:
        """Listens on the address of each link."""
        for forward in self._layout.forwards():
            self._listen(forward)

    def _listen(self, forward: Forward) -> None:
        listener = StreamServer(split_address(forward.listen), lambda sock, _: self._forward(sock, forward))
        listener.start()
        self._listeners[forward] = listener

    def handle(self, message: Message) -> None:
        """Applies a change of the partitions or of the cut links, and closes connections that are now refused."""
        if isinstance(message, Cut):
            self._partitions = message.pairs
        elif isinstance(message, LinkCuts):
            self._link_cuts = message
            for forward in self._layout.forwards():
                self._refuse_or_listen(forward)
            for sock in [sock for sock, forward in self._connections.items() if self._refuses(forward)]:
                sock.close()
        self._changed.set()
        self._changed.clear()

    def _refuse_or_listen(self, forward: Forward) -> None:
        """Closes the listener of a link that refuses, so that the system refuses connections; opens the others."""
        if not self._refuses(forward):
            if forward not in self._listeners:
                self._listen(forward)
        elif forward in self._listeners:
            self._listeners.pop(forward).close()

    def counted(self) -> Counted:
        """Returns the forwarded traffic, by the roles at the ends."""
        return Counted("links", traffic=dict(self.traffic))

    def _find_cut(self, forward: Forward) -> LinkCut | None:
        controllers = [forward.controller, *([forward.other] if forward.other is not None else [])]
        return next(
            (
                cut
                for controller in controllers
                if (cut := self._link_cuts.find(controller, forward.link)) is not None
            ),
            None,
        )

    def _refuses(self, forward: Forward) -> bool:
        cut = self._find_cut(forward)
        return cut is not None and not cut.hold

    def _holds(self, forward: Forward) -> bool:
        cut = self._find_cut(forward)
        return cut is not None and cut.hold

    def _wait_until_open(self, forward: Forward) -> None:
        while is_cut(self._partitions, forward.source.region, forward.target.region) or self._holds(forward):
            self._changed.wait()

    def _forward(self, client: socket.socket, forward: Forward) -> None:
        self._wait_until_open(forward)
        if self._refuses(forward):
            client.close()
            return
        try:
            server = socket.create_connection(split_address(forward.to), source_address=_source_address(forward))
        except OSError:
            client.close()
            return
        self._connections[client], self._connections[server] = forward, forward
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        directions = [
            gevent.spawn(self._forward_direction, client, server, forward),
            gevent.spawn(self._forward_direction, server, client, forward),
        ]
        gevent.joinall(directions)
        del self._connections[client], self._connections[server]
        client.close()
        server.close()

    def _forward_direction(self, source: socket.socket, target: socket.socket, forward: Forward) -> None:
        delay_us = self._layout.delay_us(forward.source, forward.target)
        in_transit: deque[tuple[int, bytes]] = deque()
        arrived = Event()
        sender = gevent.spawn(self._deliver, in_transit, arrived, target, forward)
        while True:
            try:
                data = source.recv(_RECEIVE_BYTES)
            except OSError:
                data = b""
            if data:
                self.traffic[forward.name].add(len(data))
            in_transit.append((self._clock.now_us() + delay_us, data))
            arrived.set()
            if not data or sender.ready():
                break
        sender.join()

    def _deliver(
        self, in_transit: deque[tuple[int, bytes]], arrived: Event, target: socket.socket, forward: Forward
    ) -> None:
        while True:
            arrived.wait()
            arrived.clear()
            while in_transit:
                due_us, data = in_transit.popleft()
                left_us = due_us - self._clock.now_us()
                if left_us > 0:
                    gevent.sleep(to_s(left_us))
                self._wait_until_open(forward)
                try:
                    if not data:
                        target.shutdown(socket.SHUT_WR)
                        return
                    target.sendall(data)
                except OSError:
                    return


def _source_address(forward: Forward) -> tuple[str, int] | None:
    return (forward.source_address, 0) if forward.source_address else None


def main(arguments: list[str]) -> None:
    """Runs the process: `links FILE`."""
    layout = Layout(load_scale_settings(arguments[0]))
    links = Links(layout, Clock())
    links.start()
    HubLink(layout.hub, "links").serve(links.handle, links.counted)


if __name__ == "__main__":
    run_role(main)
