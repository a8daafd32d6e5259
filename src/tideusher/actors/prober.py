"""Calls to silent machines: whether a connection can be opened tells a dead machine from a hung one."""

import logging
from collections.abc import Callable
from typing import Any

import gevent
import msgspec

from tideusher.actors.command_sender import CommandSender
from tideusher.actors.http import CallFailed, HttpClient
from tideusher.clock import Clock
from tideusher.core.model.records import Machine
from tideusher.wire import workers

PROBE_TIMEOUT_S = 1.5


class Prober:
    """Probes machines, each in a greenlet of its own, and tells the leader what it found."""

    def __init__(
        self, clock: Clock, spawn: Callable[..., Any], tell: Callable[..., None], command_sender: CommandSender
    ) -> None:
        """`tell` sends the leader one of the messages `found`, `unanswered` and `answered`."""
        self.log = logging.getLogger("leader")
        self._clock, self._spawn, self._tell, self._command_sender = clock, spawn, tell, command_sender
        #: The machines that are being probed.
        self.under_way: set[str] = set()

    def begin(self, token: int, machine: Machine) -> None:
        """Begins to probe a machine under our token."""
        self.under_way.add(machine.name)
        self._spawn(self.probe, token, machine)

    def probe(self, token: int, machine: Machine) -> None:
        """Calls a machine on a new connection."""
        called_us = self._clock.now_us()
        try:
            if not machine.address:  # no controller has reported one since our election
                gevent.sleep(PROBE_TIMEOUT_S)
                self._tell("unanswered", token, machine, False, called_us)
                return
            try:
                status, body = HttpClient(machine.address, PROBE_TIMEOUT_S, keep=0).call("GET", "/show")
            except CallFailed as error:
                self._tell("unanswered", token, machine, error.refused or not error.unsent, called_us)
                return
            self._tell("found", token, machine)
            if status == 200:
                self._handle_answer(machine, token, body)
        finally:
            self.under_way.discard(machine.name)

    def _handle_answer(self, machine: Machine, token: int, body: bytes) -> None:
        """Sends our token to a worker that answers calls and does not report.

        Only then does a task that it no longer lists prove that what an older leader placed there is gone.
        """
        try:
            report = workers.decode_report(body)
        except msgspec.DecodeError as error:
            self.log.error("bad answer of a worker: %s", error)
            return
        self._tell("answered", token, body)
        if report.token < token:
            self._command_sender.call(machine, token, [], report.session)
