"""The load balancer in front of the controllers: distributes users' requests over healthy ones, round robin."""

import gevent

from tideusher.actors.http import CallFailed, HttpClient
from tideusher.clock import to_s
from tideusher.scale.layout import Layout
from tideusher.scale.messages import LinkCuts, is_cut

PROBE_INTERVAL_S = 1.0
_IDLE_CONNECTIONS = 64
_REQUEST_TIMEOUT_S = 5.0


class Balancer:
    """Chooses among the healthy controllers that are reachable from the users' region, round robin."""

    def __init__(self, layout: Layout, controllers: int) -> None:
        numbers, users = range(controllers), layout.services
        places = [layout.controller_place(number) for number in numbers]
        self._clients = [HttpClient(layout.controller(n), _REQUEST_TIMEOUT_S, _IDLE_CONNECTIONS) for n in numbers]
        self._regions = [place.region for place in places]
        self._region = users.region
        self._delays_s = [to_s(layout.delay_us(users, place)) for place in places]
        self._healthy = [False] * controllers
        self._next_number = 0
        self.cut: list[tuple[int, int]] = []
        self.link_cuts = LinkCuts([])

    def start(self) -> None:
        """Starts the health checks: one per controller and PROBE_INTERVAL_S."""
        for number in range(len(self._clients)):
            gevent.spawn(self._probe, number)

    def _probe(self, number: int) -> None:
        while True:
            try:
                status, _ = self._clients[number].call("GET", "/healthz", timeout_s=1.0)
                self._healthy[number] = status == 200
            except CallFailed:
                self._healthy[number] = False
            gevent.sleep(PROBE_INTERVAL_S)

    def call(self, method: str, path: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """Sends a request to the next healthy controller; raises CallFailed."""
        count = len(self._clients)
        for step in range(count):
            number = (self._next_number + step) % count
            if self._healthy[number] and self._is_reachable(number):
                self._next_number = number + 1
                return self.call_at(number, method, path, body, timeout_s)
        raise CallFailed("no healthy controller is reachable", unsent=True)

    def call_at(self, number: int, method: str, path: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """Sends a request to the given controller, healthy or not; raises CallFailed."""
        if not self._is_reachable(number):
            raise CallFailed("the controller is unreachable", unsent=True)
        gevent.sleep(2 * self._delays_s[number])
        return self._clients[number].call(method, path, body, timeout_s)

    def _is_reachable(self, number: int) -> bool:
        if self.link_cuts.find(number, "users") is not None:
            return False
        return not is_cut(self.cut, self._region, self._regions[number])
