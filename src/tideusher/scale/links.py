"""A process that plays the links between controllers, and from them to the state service and the cloud.

Each direction delays what it carries. While two regions have lost each other, what is under way between them is held
and delivered in order afterwards, and new connections are accepted by nobody else than the link.
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

_CHUNK_BYTES = 1 << 16


class Links:
    """All forwarding listeners of a run."""

    def __init__(self, layout: Layout, clock: Clock) -> None:
        self._layout, self._clock = layout, clock
        self._cut: list[tuple[int, int]] = []
        self._link_cuts = LinkCuts([])
        self._open: dict[socket.socket, Forward] = {}
        self._changed = Event()
        self.traffic: dict[str, Traffic] = defaultdict(Traffic)

    def start(self) -> None:
        """Listen at the address of each link."""
        for forward in self._layout.forwards():
            StreamServer(
                split_address(forward.listen), lambda sock, _, forward=forward: self._carry(sock, forward)
            ).start()

    def handle(self, message: Message) -> None:
        """Regions lose or find each other."""
        if isinstance(message, Cut):
            self._cut = message.pairs
        elif isinstance(message, LinkCuts):
            self._link_cuts = message
            for sock in [sock for sock, forward in self._open.items() if self._refuses(forward)]:
                sock.close()
        self._changed.set()
        self._changed.clear()

    def counted(self) -> Counted:
        """What was carried, by the roles at the ends."""
        return Counted("links", traffic=dict(self.traffic))

    def _found_cut(self, forward: Forward) -> LinkCut | None:
        ends = [forward.controller, *([forward.other] if forward.other is not None else [])]
        return next((cut for end in ends if (cut := self._link_cuts.find(end, forward.link)) is not None), None)

    def _refuses(self, forward: Forward) -> bool:
        cut = self._found_cut(forward)
        return cut is not None and not cut.hold

    def _holds(self, forward: Forward) -> bool:
        cut = self._found_cut(forward)
        return cut is not None and cut.hold

    def _wait_for_way(self, forward: Forward) -> None:
        while is_cut(self._cut, forward.source.region, forward.target.region) or self._holds(forward):
            self._changed.wait()

    def _carry(self, near: socket.socket, forward: Forward) -> None:
        self._wait_for_way(forward)
        if self._refuses(forward):
            near.close()
            return
        try:
            far = socket.create_connection(split_address(forward.to), source_address=_source(forward))
        except OSError:
            near.close()
            return
        self._open[near], self._open[far] = forward, forward
        near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        ways = [gevent.spawn(self._one_way, near, far, forward), gevent.spawn(self._one_way, far, near, forward)]
        gevent.joinall(ways)
        del self._open[near], self._open[far]
        near.close()
        far.close()

    def _one_way(self, source: socket.socket, target: socket.socket, forward: Forward) -> None:
        delay_us = self._layout.delay_us(forward.source, forward.target)
        waiting: deque[tuple[int, bytes]] = deque()
        came = Event()
        sender = gevent.spawn(self._deliver, waiting, came, target, forward)
        while True:
            try:
                data = source.recv(_CHUNK_BYTES)
            except OSError:
                data = b""
            if data:
                self.traffic[forward.name].add(len(data))
            waiting.append((self._clock.now_us() + delay_us, data))
            came.set()
            if not data or sender.ready():
                break
        sender.join()

    def _deliver(
        self, waiting: deque[tuple[int, bytes]], came: Event, target: socket.socket, forward: Forward
    ) -> None:
        while True:
            came.wait()
            came.clear()
            while waiting:
                due_us, data = waiting.popleft()
                left_us = due_us - self._clock.now_us()
                if left_us > 0:
                    gevent.sleep(to_s(left_us))
                self._wait_for_way(forward)
                try:
                    if not data:
                        target.shutdown(socket.SHUT_WR)
                        return
                    target.sendall(data)
                except OSError:
                    return


def _source(forward: Forward) -> tuple[str, int] | None:
    return (forward.speaks_from, 0) if forward.speaks_from else None


def main(arguments: list[str]) -> None:
    """`links FILE`"""
    layout = Layout(load_scale_settings(arguments[0]))
    links = Links(layout, Clock())
    links.start()
    HubLink(layout.hub, "links").serve(links.handle, links.counted)


if __name__ == "__main__":
    run_role(main)
