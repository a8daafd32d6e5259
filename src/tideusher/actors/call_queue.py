"""What waits to be told to many destinations: one call to each at a time."""

from collections.abc import Callable, Hashable
from typing import Any, Generic, TypeVar

from tideusher.wire.workers import Command

K = TypeVar("K", bound=Hashable)


class CallQueue(Generic[K]):
    """Commands by destination. Those that come while a call to their destination is under way go with the next.

    A destination is taken when the call is decided on, not when its helper first runs; and what waits is called for
    however a call ends, so no command is lost with the call before it.
    """

    def __init__(
        self, spawn: Callable[..., Any], call: Callable[[K, list[Command]], None], most: int | None = None
    ) -> None:
        """`spawn` runs a function beside the caller; `call` tells a destination; `most`: so many calls at a time."""
        self._spawn, self._call, self._most = spawn, call, most
        self._waiting: dict[K, list[Command]] = {}
        self._called: set[K] = set()

    def __len__(self) -> int:
        """How many destinations are called or wait for it."""
        return len(self._called | self._waiting.keys())

    def put(self, destination: K, commands: list[Command]) -> None:
        """Tell these soon; a command that waits already is not told twice."""
        waiting = self._waiting.setdefault(destination, [])
        waiting += [command for command in commands if command not in waiting]

    def begin(self) -> None:
        """Begin calls to destinations for which something waits, as many as may be under way."""
        for destination in [one for one in self._waiting if one not in self._called]:
            if self._most is not None and len(self._called) >= self._most:
                return
            self._called.add(destination)
            self._spawn(self._serve, destination, self._waiting.pop(destination))

    def _serve(self, destination: K, commands: list[Command]) -> None:
        try:
            self._call(destination, commands)
        finally:
            self._called.discard(destination)
            self.begin()
