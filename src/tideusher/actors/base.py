"""The base class of all actors: an inbox, a greenlet that serves it, and requests with answers."""

import logging
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.queue import SimpleQueue


class Actor:
    """An object that owns its state; other greenlets send it messages with `tell` and `ask`.

    A message is the name of an `on_*` method with its arguments. Handlers run one at a time and
    must not block: I/O runs in a helper greenlet (`spawn`) that sends the result as a message.
    """

    def __init__(self, name: str) -> None:
        self.log = logging.getLogger(name)
        self._inbox: SimpleQueue = SimpleQueue()

    def start(self) -> None:
        """Starts to serve the inbox."""
        gevent.spawn(self._serve)

    def tell(self, message: str, *args: Any) -> None:
        """Sends a message without waiting."""
        self._inbox.put((message, args, None))

    def ask(self, message: str, *args: Any) -> AsyncResult:
        """Sends a message; the returned AsyncResult gets the result of its handler."""
        answer: AsyncResult = AsyncResult()
        self._inbox.put((message, args, answer))
        return answer

    def spawn(self, function: Callable[..., Any], *args: Any) -> None:
        """Runs a function in a helper greenlet; an exception there is logged and never ends the process."""
        gevent.spawn(self._guarded, function, *args)

    def every(self, period_us: int, message: str) -> None:
        """Sends this actor a message periodically."""

        def timer() -> None:
            while True:
                gevent.sleep(period_us / 1e6)
                self.tell(message)

        gevent.spawn(timer)

    def failed(self, message: str, error: Exception) -> None:
        """Called when the handler of a message raised an exception; for actors that must do more than log it."""

    def _guarded(self, function: Callable[..., Any], *args: Any) -> None:
        try:
            function(*args)
        except Exception:
            self.log.exception("a helper of this actor failed")

    def _serve(self) -> None:
        while True:
            message, args, answer = self._inbox.get()
            try:
                result = getattr(self, "on_" + message)(*args)
            except Exception as error:
                self.log.exception("message %s failed", message)
                self._guarded(self.failed, message, error)
                if answer is not None:
                    answer.set_exception(error)
                continue
            if answer is not None:
                answer.set(result)
