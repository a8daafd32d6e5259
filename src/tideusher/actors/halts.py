"""Halts for workers of another leader, which cannot be told of a cancellation that was confirmed here.

Halts of what is cancelled are right under any token, and the bound of safety 6 does not rest on them.
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

#: The workers of a job are called again so soon at the earliest: users repeat themselves faster than that.
CALLED_AGAIN_US = 2 * SECOND_US
CALL_S = 1.5


class HaltsForOthers:
    """Calls workers, so many at once that the process keeps sockets for its users."""

    def __init__(self, clock: Clock, max_sockets: int, spawn: Callable[..., Any]) -> None:
        self.log = logging.getLogger("leader")
        self._clock = clock
        self._queue: CallQueue[str] = CallQueue(
            spawn, self._call, max(1, max_sockets // SOCKET_SHARE_DIVISOR)
        )  # by address
        self._token = 0  # the newest that we were told of: a worker drops what carries an older one than it has seen
        self._called_us: dict[str, int] = {}  # by job

    def halt(self, job: Job, token: int, address_of: Callable[[str], str]) -> None:
        """Tell all workers that have tasks of the job; `address_of` a machine is empty where nobody knows it."""
        now_us = self._clock.now_us()
        self._called_us = {name: at for name, at in self._called_us.items() if now_us - at < CALLED_AGAIN_US}
        if job.spec.id in self._called_us:
            return
        self._called_us[job.spec.id], told = now_us, 0
        self._token = max(self._token, token)
        for task in job.live.values():
            address = address_of(task.machine.name)
            if address:
                told += 1
                self._queue.put(address, [workers.halt(task.name, task.attempt, 0.0)])
        if told:
            self.log.info("stop %d tasks of %s for its leader, which cannot be told", told, job.spec.id)
        self._queue.begin()

    def _call(self, address: str, commands: list[workers.Command]) -> None:
        client = HttpClient(address, CALL_S, keep=0)
        try:
            _, answer = client.call("GET", "/show")
            session = workers.decode_report(answer).session
            client.call("POST", "/do", workers.encode(workers.DirectCommands(self._token, session, commands)))
        except CallFailed as error:
            self.log.debug("%s: %s", address, error)
        except msgspec.DecodeError as error:
            self.log.error("bad answer of %s: %s", address, error)
