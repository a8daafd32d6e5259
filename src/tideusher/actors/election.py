"""One leader: a key bound to a lease. Its stamp at the election is the token of that leadership.

Nothing here relies on clocks for safety: every transaction of a leader guards the key's stamp, and
workers drop what carries a lower token. The lease only decides how soon another node may try.
"""

import random

import gevent

from tideusher.actors.store import Conflict, NoLease, Store, Unavailable
from tideusher.clock import Clock
from tideusher.config import Config, Policy
from tideusher.core.picture import keys
from tideusher.wire import state


class Election:
    """Runs for the leadership whenever the key is free; renews while it is ours."""

    def __init__(self, config: Config, policy: Policy, store: Store, clock: Clock, rng: random.Random) -> None:
        import logging

        self.log = logging.getLogger("election")
        self._node, self._store, self._clock, self._rng = config.node, store, clock, rng
        self._ttl_s = policy.leader__lease_s
        self._lease: int | None = None
        self._nonce = f"{rng.getrandbits(64):x}"
        #: Our token while we lead, else None.
        self.token: int | None = None

    def start(self) -> None:
        """Begin to run for the leadership."""
        gevent.spawn(self._run)

    def leader(self) -> tuple[str, int] | None:
        """(node, token) of the leader as far as the mirror knows."""
        stored = self._store.mirror.get(keys.LEADER)
        return (stored.value["node"], stored.stamp) if stored else None

    def _run(self) -> None:
        self._store.loaded.wait()
        gevent.spawn(self._renew)
        while True:
            stored = self._store.mirror.get(keys.LEADER)
            if stored is not None:
                mine = stored.value.get("nonce") == self._nonce
                self.token = stored.stamp if mine else None
                gevent.sleep(0.1)
                continue
            self.token = None
            try:
                self._stand()
            except (Unavailable, NoLease) as error:
                self.log.info("not elected: %s", error or "the lease ran out")
                gevent.sleep(0.2 + 0.2 * self._rng.random())
                self._store.sync()

    def _stand(self) -> None:
        if self._lease is None:
            body = state.LeaseRequest(round(self._ttl_s * 1000))
            status, answer = self._store.call("POST", "/holds", body, budget=False)
            if status not in (200, 201):
                raise Unavailable(f"POST /holds: {status}")
            self._lease = state.decode_lease(answer).id
        value = {"node": self._node, "nonce": self._nonce}
        try:
            token = self._store.txn(
                [state.Guard(keys.LEADER, 0)], [state.Put(keys.LEADER, value, self._lease)], budget=False
            )
            self.log.info("%s leads with token %d", self._node, token)
        except Conflict:
            self._store.sync()
        except NoLease:
            self._lease = None
            raise

    def _renew(self) -> None:
        while True:
            gevent.sleep(self._ttl_s / 4)
            if self._lease is None:
                continue
            try:
                status, _ = self._store.call(
                    "POST", f"/holds/{self._lease}/extend", {}, budget=False, timeout_s=self._ttl_s / 2
                )
                if status == 404:
                    self.log.info("our lease ran out")
                    self._lease = None
            except Unavailable as error:
                self.log.debug("lease not renewed: %s", error)
