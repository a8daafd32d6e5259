"""Direct calls: commands that the leader sends to its workers ahead of their next reports."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from tideusher.actors.call_queue import CallQueue
from tideusher.actors.http import CallFailed, HttpClient
from tideusher.core.model.records import Machine
from tideusher.wire import workers

#: Connections to workers may use one part in this many of the process's sockets.
SOCKET_SHARE_DIVISOR = 8
CALL_TIMEOUT_S = 2.0


class Destination(NamedTuple):
    """A worker, and the token under which it is called."""

    machine: Machine
    token: int


class CommandSender:
    """Calls workers, each on one connection at a time: otherwise many calls would wait for one that hangs."""

    def __init__(self, max_sockets: int, spawn: Callable[..., Any], answered: Callable[[int, bytes], None]) -> None:
        """`answered` is called with the token of a call and the report in its answer."""
        self.log = logging.getLogger("leader")
        self._max_kept = max_sockets // SOCKET_SHARE_DIVISOR
        self._answered = answered
        self._clients: dict[str, tuple[str, HttpClient]] = {}  # by machine, with its address
        self._queue: CallQueue[Destination] = CallQueue(
            spawn, lambda destination, commands: self.call(*destination, commands)
        )

    def __len__(self) -> int:
        """Returns the number of workers that are being called or wait for a call."""
        return len(self._queue)

    def send(self, machine: Machine, token: int, commands: list[workers.Command]) -> None:
        """Queues commands for the worker."""
        self._queue.put(Destination(machine, token), commands)
        self._queue.begin()

    def forget(self, machine: str) -> None:
        """Drops the connection to a machine that is gone."""
        self._clients.pop(machine, None)

    def forget_all(self) -> None:
        """Drops all connections; for a leader that steps down."""
        self._clients.clear()

    def call(self, machine: Machine, token: int, commands: list[workers.Command], session: int | None = None) -> None:
        """Sends commands at once; they are repeated in the answer to the next report, so a loss is harmless.

        A worker that reports to another controller, such as an old leader, may be in a session that we do not know.
        Its refusal holds the session, and the call is repeated once with it.
        """
        for part in workers.split_commands(commands) or [[]]:  # without commands it tells the worker our token
            known = machine.session if session is None else session
            if not self._call_part(machine, token, part, known):
                return

    def _call_part(self, machine: Machine, token: int, commands: list[workers.Command], session: int) -> bool:
        """Sends commands that fit into one request; returns whether they were carried out."""
        for _ in range(2):
            body = workers.encode(workers.DirectCommands(token, session, commands))
            try:
                status, answer = self._client(machine).call("POST", "/do", body)
                report = workers.decode_report(answer) if status in (200, 409) else None
            except CallFailed as error:
                self.log.debug("no answer of %s: %s", machine.name, error)
                return False
            except msgspec.DecodeError as error:
                self.log.error("bad answer of %s: %s", machine.name, error)
                return False
            if report is None or report.token > token:
                return False
            self._answered(token, answer)
            if status == 200 or report.session == session:
                return status == 200
            session = report.session
        return False

    def _client(self, machine: Machine) -> HttpClient:
        address, client = self._clients.get(machine.name, ("", None))
        if client is None or address != machine.address:
            # The number of kept connections is bounded: the process's sockets are needed for the workers' reports.
            kept = int(machine.name in self._clients or len(self._clients) < self._max_kept)
            client = HttpClient(machine.address, CALL_TIMEOUT_S, keep=kept)
            if kept:
                self._clients[machine.name] = machine.address, client
        return client
