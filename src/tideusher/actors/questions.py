"""Queries of users and operators to any node: answered by the leader, or from the mirror if it is out of reach."""

from typing import Any

import gevent
import msgspec

from tideusher.actors.election import Election
from tideusher.actors.leader import Leader
from tideusher.actors.peers import Peers
from tideusher.actors.replies import Reply, refusal
from tideusher.actors.store import Store
from tideusher.config import Config
from tideusher.core.decide.recovery import describe_mass_failure
from tideusher.core.lead.explain import describe_end, describe_stops
from tideusher.core.model import keys
from tideusher.core.model.records import JOB_CANCELLED, JOB_DONE
from tideusher.wire.peers import Ask

LEADER_TIMEOUT_S = 1.5


class QueryService:
    """Answers queries by the leader or from the mirror."""

    def __init__(self, config: Config, store: Store, election: Election, leader: Leader, peers: Peers) -> None:
        self._node, self._store, self._election = config.node, store, election
        self._leader, self._peers = leader, peers

    def answer(self, topic: str, subject: str = "") -> Reply:
        """Returns the answer, or a refusal with the reason."""
        body = self._from_leader(topic, subject)
        if body is not None:
            return Reply(200, body)
        if topic == "why":
            return self._from_mirror(subject)
        if topic == "falls":
            return self._mass_failures()
        return refusal(503, "the leader cannot be reached at the moment")

    def _from_leader(self, topic: str, subject: str) -> bytes | None:
        known_leader = self._election.leader()
        if known_leader is None:
            return None
        if known_leader[0] == self._node:
            with gevent.Timeout(LEADER_TIMEOUT_S, False):
                answer = self._leader.ask("question", topic, subject).get()
                return None if answer is None else msgspec.json.encode(answer)
            return None
        link = self._peers.links.get(known_leader[0])
        if link is None or not link.usable():
            return None
        reply = link.ask(lambda number: Ask(number, topic, subject), LEADER_TIMEOUT_S)
        return bytes(reply.body) if reply is not None and reply.ok else None

    def _mass_failures(self) -> Reply:
        """Returns the recorded mass failures that the mirror holds."""
        if not self._store.loaded.is_set():
            return refusal(503, "the state service does not answer")
        records = [item for item in self._store.mirror.items() if item[0].startswith(keys.FALL_PREFIX)]
        records.sort(key=lambda item: -item[1].stamp)
        entries = [(*keys.split_fall_key(key), stored.value) for key, stored in records]
        return Reply(200, [describe_mass_failure(name, value) for name, number, value in entries if number == 0])

    def _from_mirror(self, job_id: str) -> Reply:
        """Explains a job from the mirror: how it ended and which of its tasks were stopped."""
        job_id = job_id.partition("/")[0]
        stored = self._store.mirror.get(keys.job_key(job_id))
        if stored is None:
            if not self._store.sync():
                return refusal(503, "the state service does not answer")
            stored = self._store.mirror.get(keys.job_key(job_id))
            if stored is None:
                return refusal(404, "no such job")
        tasks = self._store.tasks_of(job_id, 0)
        status = stored.value["st"]
        reason = {
            JOB_DONE: "It is done.",
            JOB_CANCELLED: describe_end(stored.value.get("why", "")),
        }.get(status, "It is accepted; the leader cannot be reached at the moment to explain what it waits for.")
        stops: list[dict[str, Any]] = (tasks if tasks is not None else stored.value).get("w", [])
        answer = {"job": job_id, "status": status, "reasons": [reason], "stops": describe_stops(stops)}
        return Reply(200, answer)
