"""The one Actor base: an inbox, a greenlet that serves it, and questions with answers."""

import logging
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.queue import SimpleQueue


class Actor:
    """Owns its state; other greenlets speak to it with `tell` and `ask`.

    A message is the name of an `on_*` method with its arguments. Handlers run one at a time and
    must not block: I/O goes to a helper greenlet (`spawn`) that tells the actor how it ended.
    """

    def __init__(self, name: str) -> None:
        self.log = logging.getLogger(name)
        self._inbox: SimpleQueue = SimpleQueue()

    def start(self) -> None:
        """Begin serving the inbox."""
        gevent.spawn(self._serve)

    def tell(self, message: str, *args: Any) -> None:
        """Send a message without waiting."""
        self._inbox.put((message, args, None))

    def ask(self, message: str, *args: Any) -> AsyncResult:
        """Send a message; the result of its handler arrives in the returned AsyncResult."""
        answer: AsyncResult = AsyncResult()
        self._inbox.put((message, args, answer))
        return answer

    def spawn(self, function: Callable[..., Any], *args: Any) -> None:
        """Run I/O beside the inbox; an error there is logged and never ends the process."""
        gevent.spawn(self._guarded, function, *args)

    def every(self, period_us: int, message: str) -> None:
        """Send oneself a message again and again."""

        def beat() -> None:
            while True:
                gevent.sleep(period_us / 1e6)
                self.tell(message)

        gevent.spawn(beat)

    def failed(self, message: str, error: Exception) -> None:
        """The handler of a message ended with this; for actors that have to do more about it than log it."""

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
