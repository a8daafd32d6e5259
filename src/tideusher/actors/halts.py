"""Halts for workers of another controller's leadership, if that leader cannot learn of a cancellation confirmed here.

A halt of a cancelled task is correct under any token, and the bound of safety 6 does not rest on these halts.
"""

import logging
from collections.abc import Callable
from typing import Any

import msgspec

from tideusher.actors.call_queue import CallQueue
from tideusher.actors.command_sender import SOCKET_SHARE_DIVISOR
from tideusher.actors.http import CallFailed, HttpClient
from tideusher.clock import SECOND_US, Clock
from tideusher.core.model.records import Job
from tideusher.wire import workers

#: Minimum interval between calls for the same job: users repeat their requests faster than that.
REPEAT_INTERVAL_US = 2 * SECOND_US
CALL_TIMEOUT_S = 1.5


class ForeignHaltSender:
    """Calls workers, with a bounded number of calls at once so that sockets remain for users."""

    def __init__(self, clock: Clock, max_sockets: int, spawn: Callable[..., Any]) -> None:
        self.log = logging.getLogger("leader")
        self._clock = clock
        self._queue: CallQueue[str] = CallQueue(
            spawn, self._call, max(1, max_sockets // SOCKET_SHARE_DIVISOR)
        )  # by address
        self._token = 0  # the newest that we know: a worker drops commands with an older token than it has seen
        self._called_us: dict[str, int] = {}  # by job

    def halt(self, job: Job, token: int, address_of: Callable[[str], str]) -> None:
        """Stops the job's tasks on all their workers; `address_of` returns an empty text for an unknown address."""
        now_us = self._clock.now_us()
        self._called_us = {name: at for name, at in self._called_us.items() if now_us - at < REPEAT_INTERVAL_US}
        if job.spec.id in self._called_us:
            return
        self._called_us[job.spec.id], addressed = now_us, 0
        self._token = max(self._token, token)
        for task in job.live.values():
            address = address_of(task.machine.name)
            if address:
                addressed += 1
                self._queue.put(address, [workers.halt(task.name, task.attempt, 0.0)])
        if addressed:
            self.log.info("stop %d tasks of cancelled job %s: its leader cannot be reached", addressed, job.spec.id)
        self._queue.begin()

    def _call(self, address: str, commands: list[workers.Command]) -> None:
        client = HttpClient(address, CALL_TIMEOUT_S, keep=0)
        try:
            _, answer = client.call("GET", "/show")
            session = workers.decode_report(answer).session
            for part in workers.split_commands(commands):
                client.call("POST", "/do", workers.encode(workers.DirectCommands(self._token, session, part)))
        except CallFailed as error:
            self.log.debug("no answer of %s: %s", address, error)
        except msgspec.DecodeError as error:
            self.log.error("bad answer of %s: %s", address, error)
