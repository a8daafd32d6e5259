"""A queue of commands to many destinations, with one call to each at a time."""

from collections.abc import Callable, Hashable
from typing import Any, Generic, TypeVar

from tideusher.wire.workers import Command

K = TypeVar("K", bound=Hashable)


class CallQueue(Generic[K]):
    """Commands by destination. Those added while a call to their destination is in progress go with the next call.

    A destination is marked as called when the call is decided on, not when its greenlet first runs. Queued commands
    are sent however the call before them ends, so none is lost with it.
    """

    def __init__(
        self, spawn: Callable[..., Any], call: Callable[[K, list[Command]], None], max_calls: int | None = None
    ) -> None:
        """`spawn` runs a function in the background; `call` sends commands; `max_calls`: concurrent calls allowed."""
        self._spawn, self._call, self._max_calls = spawn, call, max_calls
        self._waiting: dict[K, list[Command]] = {}
        self._called: set[K] = set()

    def __len__(self) -> int:
        """Returns the number of destinations that are being called or wait for a call."""
        return len(self._called | self._waiting.keys())

    def put(self, destination: K, commands: list[Command]) -> None:
        """Queues commands; one that is queued already is not added twice."""
        waiting = self._waiting.setdefault(destination, [])
        waiting += [command for command in commands if command not in waiting]

    def begin(self) -> None:
        """Starts calls to destinations with queued commands, up to the maximum number of calls."""
        for destination in [queued for queued in self._waiting if queued not in self._called]:
            if self._max_calls is not None and len(self._called) >= self._max_calls:
                return
            self._called.add(destination)
            self._spawn(self._run_call, destination, self._waiting.pop(destination))

    def _run_call(self, destination: K, commands: list[Command]) -> None:
        try:
            self._call(destination, commands)
        finally:
            self._called.discard(destination)
            self.begin()
