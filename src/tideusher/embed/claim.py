"""Cards of a cluster inside a program: granted for a time, under a fence, and given back by the program's word.

The program runs as a task of a service; its place is its claim (docs/embed.md tells what else was weighed).
So the claim is work of its team like any other, and the cluster frees it as it frees any task: by proof.
What is left to this module is to stop in time: what was granted is used only while its lease, less a margin,
runs on the steady clock, and what was lost once is never used again under the same fence.
"""

import logging
import socket
from dataclasses import dataclass

from tideusher.clock import Clock, to_us
from tideusher.embed.errors import EmbedError
from tideusher.embed.instance import Instance
from tideusher.embed.settings import Card
from tideusher.wire import claims as wire

#: What may pass between the look at the lease and the end of what was started or stopped after it.
MARGIN_S = 1.0


class ClaimRefused(EmbedError):
    """The keeper does not speak with this program; the text says why."""


@dataclass(slots=True)
class Grant:
    """One grant, as long as anything of it may be in use."""

    told: wire.Granted
    until_us: int
    lost: str = ""  # why it must not be used any more; empty: it may
    grace_s: float = 0.0

    @property
    def name(self) -> str:
        """The machine's name inside the instance: another one under each fence."""
        return f"{self.told.machine}#{self.told.fence}"


class Claims:
    """Which grants may be used at this moment. No I/O; the clock is passed in."""

    def __init__(self, clock: Clock, margin_s: float = MARGIN_S) -> None:
        self._clock, self._margin_us = clock, to_us(margin_s)
        self.grants: dict[int, Grant] = {}  # by fence
        self._highest = 0

    def take(self, message: wire.Message) -> Grant | None:
        """Learn what the keeper says; returns a grant that is new. Late and repeated messages change nothing."""
        if isinstance(message, wire.Granted):
            if message.fence <= self._highest:
                return None  # late, or told again
            for grant in self.grants.values():
                self._lose(grant, f"fence {message.fence} was granted after it", 0.0)
            self._highest = message.fence
            grant = self.grants[message.fence] = Grant(message, message.until_us)
            return grant
        if isinstance(message, wire.Alive | wire.Notice):
            known = self.grants.get(message.fence)
            if known is None:
                return None
            if isinstance(message, wire.Alive):
                known.until_us = max(known.until_us, message.until_us)
            else:
                self._lose(known, message.reason, message.grace_s)
        return None

    def _lose(self, grant: Grant, reason: str, grace_s: float) -> None:
        if not grant.lost:
            grant.lost, grant.grace_s = reason, grace_s

    def usable(self, name: str) -> bool:
        """May something be started there now? A lease that has run into its margin is lost for good."""
        grant = next((grant for grant in self.grants.values() if grant.name == name), None)
        if grant is None:
            return False
        if self._clock.now_us() + self._margin_us >= grant.until_us:
            self._lose(grant, "its lease was not renewed", 0.0)
        return not grant.lost

    def lost(self) -> list[Grant]:
        """Grants that must not be used any more, by their leases too."""
        return [grant for grant in self.grants.values() if not self.usable(grant.name)]

    def gone(self, fence: int) -> None:
        """Nothing of the program uses it any more."""
        del self.grants[fence]


class ClaimLink:
    """The connection to the keeper, and what it means to an instance. `step` is to be called like the instance's."""

    def __init__(self, sock: socket.socket, claims: Claims, program: str = "") -> None:
        """Say hello; `sock` is connected, and the link's from now on."""
        self.log = logging.getLogger("tideusher.embed")
        self._sock, self._claims, self._frames = sock, claims, wire.frames()
        self._instance: Instance | None = None
        self._open = True
        sock.setblocking(False)
        self._send(wire.Hello(wire.VERSION, program))

    def serve(self, instance: Instance) -> None:
        """The instance whose machines the grants are; it was made with `guard=claims.usable`."""
        self._instance = instance

    @property
    def connected(self) -> bool:
        """Can the keeper still renew anything?"""
        return self._open

    def step(self) -> None:
        """Hear the keeper, withdraw what is lost, tell what is gone. Raises ClaimRefused."""
        instance = self._instance
        assert instance is not None, "serve comes first"
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
        found: list[wire.Message] = []
        while self._open:
            try:
                data = self._sock.recv(65536)
                if not data:
                    self._close("the keeper is gone")
                found += self._frames.feed(data)
            except BlockingIOError:
                break
            except (OSError, wire.FrameError) as error:
                self._close(str(error))
        return found

    def _send(self, message: wire.Message) -> None:
        try:
            if self._open:
                self._sock.sendall(wire.frame(message))
        except OSError as error:
            self._close(str(error))

    def _close(self, reason: str) -> None:
        """Nothing is lost by this alone: what was granted ends with its lease."""
        self._open = False
        self._sock.close()
        self.log.info("the connection to the keeper is closed: %s", reason)
