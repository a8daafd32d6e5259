"""Leader election by a key that is bound to a lease. The key's stamp at the election is the leader's fencing token.

Safety does not rely on clocks: every transaction of a leader guards the key's stamp, and workers drop commands with a
lower token. The lease only decides how soon another node may stand for election.

A token is used for one term only: a controller that has ended a term never leads under its token again, even if the
key still exists. The names of a leader's rentals and its requests in flight are unique by its token only if a single
engine uses it; a second engine under the same token gave other rentals the same names (docs/safety.md, 1).
"""

import random
from collections.abc import Callable
from typing import Any

import gevent

from tideusher.actors.store import Conflict, LeaseExpired, Store, Unavailable, lease_of
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
from tideusher.core.model.mirror import MirroredValue
from tideusher.core.model.pages import is_fenced
from tideusher.wire import state

#: How long after the end of its lease a request sent by a previous run of this controller may still arrive.
PREVIOUS_RUN_GRACE_US = SECOND_US


class Election:
    """Stands for election whenever the key is free; renews the lease while it is ours."""

    def __init__(self, config: Config, policy: Policy, store: Store, clock: Clock, rng: random.Random) -> None:
        import logging

        self.log = logging.getLogger("election")
        self._node, self._store, self._clock, self._rng = config.node, store, clock, rng
        self._ttl_s = policy.leader__lease_s
        self._lease: int | None = None
        self._nonce = f"{rng.getrandbits(64):x}"
        #: Our token while we lead, otherwise None.
        self.token: int | None = None
        self._last_token = 0  # the highest token that we ever led with
        #: When we were last elected (steady time).
        self.elected_us = 0
        self._leadership: Leadership | None = None  # the known leadership of another controller
        self._checked_once = False  # have we checked once who leads?
        self._leaderless_since_us: int | None = None  # steady time since when nobody leads
        self._cooldown_until_us = 0
        #: Time of the last pause that may have cost the lease; a read sent since then confirms who leads.
        self._unconfirmed_since_us: int | None = None
        self._started_us = clock.now_us()
        self._size = config.settings.size
        self._own_candidate: Callable[[], Candidate] = lambda: Candidate(config.node, config.zone, True, behind=0)
        self._peer_candidates: Callable[[], list[Candidate]] = list
        self._on_elected: Callable[[int], None] = lambda token: None

    def start(self) -> None:
        """Starts to take part in elections."""
        self._store.listen(self._on_change)
        gevent.spawn(self._run)

    def _on_change(self, key: str, value: Any, stamp: int) -> None:
        """Leads as soon as our own key is read, even if the answer to our transaction was lost."""
        if (
            key == keys.LEADER
            and value is not None
            and value.get("nonce") == self._nonce
            and not self._leadership_unconfirmed()
        ):
            self._set_leading(stamp)

    def _set_leading(self, token: int) -> None:
        """Starts or continues to lead under a token; one of a term that we ended is ignored."""
        self._leaderless_since_us, self._leadership = None, None
        if token <= self._last_token:
            return
        self.log.info("%s leads with token %d", self._node, token)
        self.elected_us, self.token, self._last_token = self._clock.now_us(), token, token
        self._on_elected(token)

    def _handle_own_key(self, stored: MirroredValue) -> None:
        """Handles a key with our nonce: we lead, or it is left from a term that we ended.

        In the latter case we stand for election in its place, or remove the key if another controller is to lead.
        """
        self._set_leading(stored.stamp)
        if self.token is None and self.rests():
            self._remove_leader_key(stored.stamp)
        elif self.token is None:
            self.log.info("stand for election again: token %d is of a term that we ended", stored.stamp)
            # This is not a takeover on evidence, so the count of those stays.
            self._stand_for_election(stored.stamp, stored.value.get("early", 0))

    def set_sources(
        self, ours: Callable[[], Candidate], others: Callable[[], list[Candidate]], elected: Callable[[int], None]
    ) -> None:
        """Sets the sources of our own and the other candidates, and the callback for our token once we lead."""
        self._own_candidate, self._peer_candidates, self._on_elected = ours, others, elected

    def process_paused(self, for_us: int, now_us: int) -> None:
        """Handles a pause of the process. If our lease may have expired, we lead only once a read confirms it."""
        if for_us >= to_us(self._ttl_s):
            self._unconfirmed_since_us, self.token, self._lease = now_us, None, None

    def _leadership_unconfirmed(self) -> bool:
        contact_us = self._store.contact_us
        if (
            self._unconfirmed_since_us is not None
            and contact_us is not None
            and contact_us >= self._unconfirmed_since_us
        ):
            self._unconfirmed_since_us = None
        return self._unconfirmed_since_us is not None

    def rests(self) -> bool:
        """True during the cooldown after we stepped down."""
        return self._clock.now_us() < self._cooldown_until_us

    def step_down_reason(self) -> str:
        """Returns why we should step down; empty if we should not."""
        if self.token is None or self.rests():
            return ""
        return step_down_reason(
            self._own_candidate(), self._peer_candidates(), self._clock.now_us() - self.elected_us
        )

    def end_term(self, leave: bool = False) -> None:
        """Ends our term: the next one is under another token, or another controller's if we `leave`."""
        if leave:
            self._cooldown_until_us = self._clock.now_us() + STEP_DOWN_COOLDOWN_US
        self.token = None

    def resign(self) -> None:
        """Leaves the leadership to another controller: removes our key, so the next in line can stand at once."""
        token, self._cooldown_until_us = self.token, self._clock.now_us() + STEP_DOWN_COOLDOWN_US
        if token is not None:
            self._remove_leader_key(token)

    def successor(self) -> str:
        """Returns the first in line if the leader ended now, as far as we know; empty if there is none."""
        leader, token = self.leader() or ("", 0)
        order = succession_order(
            [
                candidate
                for candidate in [self._own_candidate(), *self._peer_candidates()]
                if candidate.node != leader
            ],
            token,
        )
        return order[0] if order else ""

    def leader(self) -> tuple[str, int] | None:
        """Returns (node, token) of the leader according to the mirror."""
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
            except (Unavailable, LeaseExpired) as error:
                self.log.info("not elected: %s", error or "the lease has expired")
                gevent.sleep(0.2 + 0.2 * self._rng.random())
                self._store.sync()
            except Exception:
                self.log.exception("check of the leadership failed")
                gevent.sleep(1.0)

    def _handle_no_leader(self) -> None:
        self.token, now_us, self._checked_once = None, self._clock.now_us(), True
        if self._leaderless_since_us is None:
            self._leaderless_since_us = now_us
        token = self._leadership.token if self._leadership is not None else 0
        if now_us - self._leaderless_since_us < election_delay_us(
            self._own_candidate(), self._peer_candidates(), token
        ):
            gevent.sleep(0.05)  # candidates ahead of us in the succession order stand first
            return
        self._stand_for_election(0, 0)

    def _handle_other_leader(self, stored: MirroredValue) -> None:
        now_us = self._clock.now_us()
        if self._leadership is None or self._leadership.token != stored.stamp:
            self._leadership = Leadership(stored.value["node"], stored.stamp, now_us, stored.value.get("early", 0))
        checked_before, self._checked_once = self._checked_once, True
        if self._leadership.node == self._node and (
            not checked_before or now_us - self._started_us < to_us(self._ttl_s) + PREVIOUS_RUN_GRACE_US
        ):
            # The leader is a previous run of this controller: it ended, so its lease need not be waited for. If we
            # restarted within a fraction of a second, its election may even succeed after our first check; its lease
            # is not renewed, so that is limited in time. After that time the leader is left alone: two controllers
            # given the same name by mistake would otherwise end each other's leadership for ever.
            self.log.info("a previous run of this controller leads; its leadership is ended")
            self._remove_leader_key(stored.stamp)
            return
        reason = takeover_reason(
            self._leadership, self._own_candidate(), self._peer_candidates(), self._size, now_us
        ) or self._format_conflict(self._leadership)
        if reason:
            self.log.info("take the leadership from %s: %s", self._leadership.node, reason)
            self._stand_for_election(stored.stamp, early_after(self._leadership, now_us))

    def _format_conflict(self, leadership: Leadership) -> str:
        """Returns why the leader cannot commit: its version cannot read shared pages. Empty if it can."""
        fence = self._store.mirror.get(keys.FENCE)
        if fence is None or not is_fenced(fence.value, fence.stamp) or not self._own_candidate().in_contact:
            return ""
        return (
            "it does not read shared records"
            if leader_cannot_read_pages(leadership.node, self._peer_candidates())
            else ""
        )

    def _remove_leader_key(self, token: int) -> None:
        """Removes the leader key if it still has this token as its stamp."""
        try:
            self._store.txn([state.Guard(keys.LEADER, token)], [state.Delete(keys.LEADER)], budget=False)
        except Conflict:
            self._store.sync()
        except (Unavailable, LeaseExpired) as error:
            self.log.info("leader key not removed: %s", error)

    def _stand_for_election(self, replaced_token: int, early: int) -> None:
        """Stands for election. `replaced_token`: the token of the leadership that we replace; 0 if there is none.

        It may be a term of our own that we ended. Requests in flight under the replaced token are refused from then.
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
                [state.Guard(keys.LEADER, replaced_token)], [state.Put(keys.LEADER, value, self._lease)], budget=False
            )
            self._lead_unless_replaced(token)
        except Conflict:
            self._store.sync()
        except LeaseExpired:
            self._lease = None
            raise

    def _lead_unless_replaced(self, token: int) -> None:
        """Leads under the token of an election, unless a read has shown that the key changed since."""
        stored = self._store.mirror.get(keys.LEADER)
        if stored is not None and stored.stamp == token:
            self._set_leading(token)
        else:
            self.log.info("elected with token %d, and replaced before the answer came", token)

    def _renew(self) -> None:
        while True:
            gevent.sleep(self._ttl_s / 4)
            try:
                self._renew_lease()
            except Unavailable as error:
                self.log.debug("lease not renewed: %s", error)
            except Exception:
                self.log.exception("renewal of the lease failed")

    def _renew_lease(self) -> None:
        """Renews our lease if we have one; an answer that comes after we have taken another says nothing of that."""
        lease = self._lease
        if lease is None:
            return
        status, _ = self._store.call("POST", f"/holds/{lease}/extend", {}, budget=False, timeout_s=self._ttl_s / 2)
        if status == 404 and self._lease == lease:
            self.log.info("our lease has expired")
            self._lease = None
