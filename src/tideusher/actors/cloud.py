"""The client of the cloud: rents, returns and lists machines within the rate limit, and passes on the answers."""

from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.queue import PriorityQueue

from tideusher.actors.base import Actor
from tideusher.actors.http import CallFailed, HttpClient
from tideusher.actors.rate_limits import TokenBucket
from tideusher.clock import Clock
from tideusher.config import Config
from tideusher.metrics import Metrics
from tideusher.wire import cloud


class Cloud(Actor):
    """Makes queued calls by priority: rentals first, then returns, then reads."""

    RENT, RETURN, READ = 0, 1, 2

    def __init__(self, config: Config, clock: Clock, metrics: Metrics) -> None:
        super().__init__("cloud")
        self._metrics = metrics
        self._client = HttpClient(config.endpoints.cloud, timeout_s=5.0, keep=3)
        self._bucket = TokenBucket(config.settings.cloud.rps * 0.9, clock)
        self._queue: PriorityQueue = PriorityQueue()
        self._call_count = 0

    def start(self) -> None:
        for _ in range(3):
            gevent.spawn(self._work)

    def submit(self, kind: int, call: Callable[[], Any], on_result: Callable[[Any], None]) -> None:
        """Queues a call; `then` is called with its result, or None if there was no usable answer."""
        self._call_count += 1
        self._queue.put((kind, self._call_count, call, on_result))

    def _work(self) -> None:
        while True:
            kind, _, call, on_result = self._queue.get()
            pause_s = self._bucket.wait_s(1)
            if pause_s:
                gevent.sleep(pause_s)
            self._metrics.count("cloud_requests", ("rent", "return", "read")[kind])
            on_result(self._result_of(call))

    def _result_of(self, call: Callable[[], Any]) -> Any:
        """Makes a call; None if there was no usable answer. Any exception is logged, so the worker goes on."""
        try:
            return call()
        except CallFailed as error:
            self.log.info("no answer of the cloud: %s", error)
        except msgspec.DecodeError as error:
            self.log.error("bad answer of the cloud: %s", error)
        except Exception:
            self.log.exception("call to the cloud failed")
        return None

    def rent(self, request: cloud.RentRequest) -> list[str] | None:
        """Returns the names of the rented machines, empty without capacity; None: retry under the same name."""
        status, body = self._client.call("POST", "/rentals", cloud.encode(request))
        if status == 200:
            return cloud.decode_rented(body).machines
        if status == 503 and b"no capacity" in body:
            return []
        if status == 429:
            self._bucket.drain()
        self.log.debug("rental %s: status %d, %s", request.name, status, body[:100].decode("utf-8", "replace"))
        return None

    def request_return(self, names: list[str]) -> list[str] | None:
        """Returns the names if the cloud has confirmed that the machines are gone, otherwise None."""
        status, body = self._client.call("POST", "/rentals/return", cloud.encode(cloud.MachineNames(names)))
        if status == 200:
            return names
        if status == 429:
            self._bucket.drain()
        self.log.debug("return of machines: status %d, %s", status, body[:100].decode("utf-8", "replace"))
        return None

    def types(self) -> list[cloud.MachineType] | None:
        """Returns the machine types with current prices; None if there was no usable answer."""
        status, body = self._client.call("GET", "/machine_types")
        return cloud.decode_types(body).types if status == 200 else None

    def machines(self) -> list[cloud.ListedMachine] | None:
        """Returns the complete list, read page by page; None if any page failed."""
        found: list[cloud.ListedMachine] = []
        since = ""
        while True:
            after = f"since={since}&" if since else ""
            status, body = self._client.call("GET", f"/rentals?{after}most={cloud.MAX_MACHINES_PER_PAGE}")
            if status != 200:
                return None
            page = cloud.decode_list(body)
            found += page.machines
            if not page.more or not page.machines:
                return found
            since = page.machines[-1].name
            gevent.sleep(self._bucket.wait_s(1))
