"""Claims: resources of a cluster that a program uses under a lease and a fencing token.

The program runs as a task of a service, and that task's placement is its claim (docs/embed.md describes the
alternatives). A claim thus counts as its team's work like any other, and the cluster frees it as it frees any task:
on proof that the task has ended. This module only has to stop in time: a grant is used only until its lease,
less a margin, expires on the monotonic clock, and a lost grant is never used again under the same fence.
"""

import logging
import socket
from dataclasses import dataclass

from tideusher.clock import Clock, to_us
from tideusher.embed.errors import EmbedError
from tideusher.embed.instance import Instance
from tideusher.embed.settings import Card
from tideusher.wire import claims as wire

#: Time allowed between checking the lease and completing a start or stop that follows the check, in seconds.
MARGIN_S = 1.0


class ClaimRefused(EmbedError):
    """The keeper refused this program; the message gives the reason."""


@dataclass(slots=True)
class Grant:
    """A granted machine, tracked until nothing of the program uses it any more."""

    told: wire.Granted
    until_us: int
    lost: str = ""  # the reason why it must not be used any more; empty while it is valid
    grace_s: float = 0.0

    @property
    def name(self) -> str:
        """The machine's name inside the instance; unique per fence."""
        return f"{self.told.machine}#{self.told.fence}"


class Claims:
    """Tracks which grants are currently usable. Does no I/O; the clock is passed in."""

    def __init__(self, clock: Clock, margin_s: float = MARGIN_S) -> None:
        self._clock, self._margin_us = clock, to_us(margin_s)
        self.grants: dict[int, Grant] = {}  # by fence
        self._highest_fence = 0

    def take(self, message: wire.Message) -> Grant | None:
        """Processes a message of the keeper; returns a new grant, if any. Ignores late and repeated messages."""
        if isinstance(message, wire.Granted):
            if message.fence <= self._highest_fence:
                return None  # late, or repeated
            for grant in self.grants.values():
                self._mark_lost(grant, f"superseded by fence {message.fence}", 0.0)
            self._highest_fence = message.fence
            grant = self.grants[message.fence] = Grant(message, message.until_us)
            return grant
        if isinstance(message, wire.Alive | wire.Notice):
            known = self.grants.get(message.fence)
            if known is None:
                return None
            if isinstance(message, wire.Alive):
                known.until_us = max(known.until_us, message.until_us)
            else:
                self._mark_lost(known, message.reason, message.grace_s)
        return None

    def _mark_lost(self, grant: Grant, reason: str, grace_s: float) -> None:
        if not grant.lost:
            grant.lost, grant.grace_s = reason, grace_s

    def usable(self, name: str) -> bool:
        """True if tasks may be started on this machine now. A lease that reaches its margin is permanently lost."""
        grant = next((grant for grant in self.grants.values() if grant.name == name), None)
        if grant is None:
            return False
        if self._clock.now_us() + self._margin_us >= grant.until_us:
            self._mark_lost(grant, "its lease was not renewed", 0.0)
        return not grant.lost

    def lost(self) -> list[Grant]:
        """Returns the grants that must not be used any more, including those whose lease has expired."""
        return [grant for grant in self.grants.values() if not self.usable(grant.name)]

    def gone(self, fence: int) -> None:
        """Forgets a grant that nothing of the program uses any more."""
        del self.grants[fence]


class ClaimLink:
    """Connects an instance to the keeper of its machine. `step` must be called as often as that of an instance."""

    def __init__(self, sock: socket.socket, claims: Claims, program: str = "") -> None:
        """Sends Hello on a connected socket, and takes ownership of it."""
        self.log = logging.getLogger("tideusher.embed")
        self._sock, self._claims, self._frames = sock, claims, wire.frames()
        self._instance: Instance | None = None
        self._connected = True
        sock.setblocking(False)
        self._send(wire.Hello(wire.VERSION, program))

    def serve(self, instance: Instance) -> None:
        """Sets the instance that uses the grants as machines; it must be created with `guard=claims.usable`."""
        self._instance = instance

    @property
    def connected(self) -> bool:
        """True while the connection is open, so that the keeper can renew leases."""
        return self._connected

    def step(self) -> None:
        """Processes messages, withdraws lost machines and reports unused grants as gone. Raises ClaimRefused."""
        instance = self._instance
        assert instance is not None, "serve must be called first"
        for message in self._receive():
            if isinstance(message, wire.Refused):
                self._close("refused")
                raise ClaimRefused(message.reason)
            grant = self._claims.take(message)
            if grant is not None:
                instance.add_machine(Card(grant.name, grant.told.kind, grant.told.zone))
        for grant in self._claims.lost():
            if grant.name in instance.machines():
                instance.withdraw_machine(grant.name, grant.lost, grant.grace_s)
        while instance.step():
            pass
        for grant in self._claims.lost():
            if grant.name not in instance.machines():
                self._claims.gone(grant.told.fence)
                self._send(wire.Gone(grant.told.fence))

    def _receive(self) -> list[wire.Message]:
        messages: list[wire.Message] = []
        while self._connected:
            try:
                data = self._sock.recv(65536)
                if not data:
                    self._close("closed by the keeper")
                messages += self._frames.feed(data)
            except BlockingIOError:
                break
            except (OSError, wire.FrameError) as error:
                self._close(str(error))
        return messages

    def _send(self, message: wire.Message) -> None:
        try:
            if self._connected:
                self._sock.sendall(wire.frame(message))
        except OSError as error:
            self._close(str(error))

    def _close(self, reason: str) -> None:
        """Closes the connection. Grants stay usable until their leases expire."""
        self._connected = False
        self._sock.close()
        self.log.info("connection to the keeper closed: %s", reason)
