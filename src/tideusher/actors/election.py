"""One leader: a key bound to a lease. Its stamp at the election is the token of that leadership.

Nothing here relies on clocks for safety: every transaction of a leader guards the key's stamp, and
workers drop what carries a lower token. The lease only decides how soon another node may try.

A token is held once: a controller that has let go of a leadership never leads under its token again, also where the
key is still there. What a leader counts (rentals), keeps in memory and has under way is unique by its token only as
long as one engine has it; a second one under the same token named other rentals alike (docs/safety.md, 1).
"""

import random
from collections.abc import Callable
from typing import Any

import gevent

from tideusher.actors.store import Conflict, MirroredValue, NoLease, Store, Unavailable, lease_of
from tideusher.clock import SECOND_US, Clock, to_us
from tideusher.config import Config, Policy
from tideusher.core.decide.succession import (
    STEP_DOWN_COOLDOWN_US,
    Candidate,
    Leadership,
    early_after,
    election_delay_us,
    leader_cannot_read_pages,
    step_down_reason,
    succession_order,
    takeover_reason,
)
from tideusher.core.model import keys
from tideusher.core.model.pages import is_fenced
from tideusher.wire import state

#: What an earlier life of this controller has sent may land so long after its lease would have ended.
PREVIOUS_RUN_GRACE_US = SECOND_US


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
        self._last_token = 0  # the highest that we ever led with
        #: When we were elected last (steady time).
        self.elected_us = 0
        self._reign: Leadership | None = None  # of another
        self._begun = False  # have we looked once who leads?
        self._leaderless_since_us: int | None = None  # since when nobody leads
        self._rests_until_us = 0
        self._doubts_us: int | None = None  # since when what we know of the leadership is too old
        self._born_us = clock.now_us()
        self._size = config.settings.size
        self._own_candidate: Callable[[], Candidate] = lambda: Candidate(config.node, config.zone, True, behind=0)
        self._peer_candidates: Callable[[], list[Candidate]] = list
        self._elected: Callable[[int], None] = lambda token: None

    def start(self) -> None:
        """Begin to run for the leadership."""
        self._store.listen(self._on_change)
        gevent.spawn(self._run)

    def _on_change(self, key: str, value: Any, stamp: int) -> None:
        """Our own key is there: we lead, also while the answer to our request is lost and still waited for."""
        if (
            key == keys.LEADER
            and value is not None
            and value.get("nonce") == self._nonce
            and not self._leadership_unconfirmed()
        ):
            self._leads(stamp)

    def _leads(self, token: int) -> None:
        """Lead under a token from now on, or go on; under one that we let go of, never again."""
        self._leaderless_since_us, self._reign = None, None
        if token <= self._last_token:
            return
        self.log.info("%s leads with token %d", self._node, token)
        self.elected_us, self.token, self._last_token = self._clock.now_us(), token, token
        self._elected(token)

    def _handle_own_key(self, stored: MirroredValue) -> None:
        """The key holds our name: we lead, or it is of a leadership of ours that we let go of.

        That one we stand anew in place of, or end it if another is to lead.
        """
        self._leads(stored.stamp)
        if self.token is None and self.rests():
            self._remove(stored.stamp)
        elif self.token is None:
            self.log.info("stand anew: token %d is ours and was let go of", stored.stamp)
            self._stand(stored.stamp, stored.value.get("early", 0))  # it is no change on evidence

    def set_sources(
        self, ours: Callable[[], Candidate], others: Callable[[], list[Candidate]], elected: Callable[[int], None]
    ) -> None:
        """Where to ask how this controller and the others stand, and whom to tell that we lead."""
        self._own_candidate, self._peer_candidates, self._elected = ours, others, elected

    def process_paused(self, for_us: int, now_us: int) -> None:
        """The process did nothing for so long: if our lease may have ended, we lead only once a read says so."""
        if for_us >= to_us(self._ttl_s):
            self._doubts_us, self.token, self._lease = now_us, None, None

    def _leadership_unconfirmed(self) -> bool:
        contact_us = self._store.contact_us
        if self._doubts_us is not None and contact_us is not None and contact_us >= self._doubts_us:
            self._doubts_us = None
        return self._doubts_us is not None

    def rests(self) -> bool:
        """Did we give up the leadership just now?"""
        return self._clock.now_us() < self._rests_until_us

    def step_down_reason(self) -> str:
        """Why we give up our leadership; empty: we do not."""
        if self.token is None or self.rests():
            return ""
        return step_down_reason(
            self._own_candidate(), self._peer_candidates(), self._clock.now_us() - self.elected_us
        )

    def end_term(self, leave: bool = False) -> None:
        """End our leadership: whatever is decided next is decided under another token, or elsewhere if we `leave`."""
        if leave:
            self._rests_until_us = self._clock.now_us() + STEP_DOWN_COOLDOWN_US
        self.token = None

    def resign(self) -> None:
        """Leave the leadership to another; whoever is next stands at once."""
        token, self._rests_until_us = self.token, self._clock.now_us() + STEP_DOWN_COOLDOWN_US
        if token is not None:
            self._remove(token)

    def successor(self) -> str:
        """Who stands first if the leader ends now, as far as we know; empty: nobody that we hear."""
        leader, token = self.leader() or ("", 0)
        order = succession_order(
            [one for one in [self._own_candidate(), *self._peer_candidates()] if one.node != leader], token
        )
        return order[0] if order else ""

    def leader(self) -> tuple[str, int] | None:
        """(node, token) of the leader as far as the mirror knows."""
        stored = self._store.mirror.get(keys.LEADER)
        return (stored.value["node"], stored.stamp) if stored else None

    def _run(self) -> None:
        self._store.loaded.wait()
        gevent.spawn(self._renew)
        while True:
            stored = self._store.mirror.get(keys.LEADER)
            try:
                if self._leadership_unconfirmed():
                    gevent.sleep(0.1)
                elif stored is None:
                    self._handle_no_leader()
                elif stored.value.get("nonce") == self._nonce:
                    self._handle_own_key(stored)
                    gevent.sleep(0.1)
                else:
                    self._leaderless_since_us = self.token = None
                    self._handle_other_leader(stored)
                    gevent.sleep(0.1)
            except (Unavailable, NoLease) as error:
                self.log.info("not elected: %s", error or "the lease ran out")
                gevent.sleep(0.2 + 0.2 * self._rng.random())
                self._store.sync()
            except Exception:
                self.log.exception("could not look after the leadership")
                gevent.sleep(1.0)

    def _handle_no_leader(self) -> None:
        self.token, now_us, self._begun = None, self._clock.now_us(), True
        if self._leaderless_since_us is None:
            self._leaderless_since_us = now_us
        token = self._reign.token if self._reign is not None else 0
        if now_us - self._leaderless_since_us < election_delay_us(
            self._own_candidate(), self._peer_candidates(), token
        ):
            gevent.sleep(0.05)  # whoever stands before us is let go first
            return
        self._stand(0, 0)

    def _handle_other_leader(self, stored: MirroredValue) -> None:
        now_us = self._clock.now_us()
        if self._reign is None or self._reign.token != stored.stamp:
            self._reign = Leadership(stored.value["node"], stored.stamp, now_us, stored.value.get("early", 0))
        begun, self._begun = self._begun, True
        if self._reign.node == self._node and (
            not begun or now_us - self._born_us < to_us(self._ttl_s) + PREVIOUS_RUN_GRACE_US
        ):
            # An earlier life of this very controller: it ended, and its lease need not run out. A request of it to
            # lead may even land after we looked first, when we are back within a fraction of a second; its lease is
            # not renewed, so not for long. Later than that it is left alone: two that were given one name by mistake
            # would else end each other's leadership for ever.
            self.log.info("an earlier life of this controller leads; its leadership is ended")
            self._remove(stored.stamp)
            return
        why = takeover_reason(
            self._reign, self._own_candidate(), self._peer_candidates(), self._size, now_us
        ) or self._shut_out(self._reign)
        if why:
            self.log.info("take the leadership from %s: %s", self._reign.node, why)
            self._stand(stored.stamp, early_after(self._reign, now_us))

    def _shut_out(self, leadership: Leadership) -> str:
        """Is the leader an older version, none of whose transactions can go through while records share pages?"""
        fence = self._store.mirror.get(keys.FENCE)
        if fence is None or not is_fenced(fence.value, fence.stamp) or not self._own_candidate().in_contact:
            return ""
        return (
            "it does not read shared records"
            if leader_cannot_read_pages(leadership.node, self._peer_candidates())
            else ""
        )

    def _remove(self, token: int) -> None:
        """End a leadership, if it is still the one of this token."""
        try:
            self._store.txn([state.Guard(keys.LEADER, token)], [state.Delete(keys.LEADER)], budget=False)
        except Conflict:
            self._store.sync()
        except (Unavailable, NoLease) as error:
            self.log.info("leadership not ended: %s", error)

    def _stand(self, instead_of: int, early: int) -> None:
        """Run for the leadership: `instead_of` 0 if nobody has it, else the token of whom we take it from.

        That may be a leadership of our own that we let go of. Whatever was under way under its token is refused then.
        """
        if self._lease is None:
            body = state.LeaseRequest(round(self._ttl_s * 1000))
            status, answer = self._store.call("POST", "/holds", body, budget=False)
            if status not in (200, 201):
                raise Unavailable(f"POST /holds: {status}")
            self._lease = lease_of(answer)
        value = {"node": self._node, "nonce": self._nonce, **({"early": early} if early else {})}
        try:
            token = self._store.txn(
                [state.Guard(keys.LEADER, instead_of)], [state.Put(keys.LEADER, value, self._lease)], budget=False
            )
            self._leads(token)
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
            except Exception:
                self.log.exception("lease not renewed")
