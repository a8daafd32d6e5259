"""The gateway for workers' reports: forwards them to the leader, or answers by itself if the leader does not.

A worker reports to a controller of its own zone if one is available. That node forwards the report and returns the
leader's commands. If the leader does not answer, the node answers by itself with the current token and with halts for
cancelled jobs, never with `run`: leases are renewed, so no outage empties a zone, and nothing starts. Without contact
with the state service this lasts at most `cancel_s - lease_s` less a margin, since a cancellation that we cannot read
must still end its tasks in time (docs/safety.md, 6).
"""

import logging
from dataclasses import dataclass

import gevent
import msgspec

from tideusher.actors.election import Election
from tideusher.actors.leader import REPORT_TIMEOUT_US, Leader
from tideusher.actors.peers import Peers
from tideusher.actors.store import Store
from tideusher.clock import Clock, to_s, to_us
from tideusher.config import Config
from tideusher.core.decide.bounds import may_answer
from tideusher.core.decide.cancellations import Cancellations, enforce_cancellations, halts
from tideusher.core.decide.routing import RedirectPolicy, RedirectTarget, ReportMonitor
from tideusher.core.model import keys
from tideusher.core.model.contacts import LocalContacts
from tideusher.core.model.records import JOB_CANCELLED
from tideusher.wire import workers
from tideusher.wire.peers import ForwardReport

FORWARD_TIMEOUT_S = to_s(REPORT_TIMEOUT_US)
#: On a slow link the timeout is a multiple of its round-trip time, with a maximum: a worker gives up after 4 s.
FORWARD_ROUND_TRIPS, MAX_FORWARD_TIMEOUT_S = 1.5, 3.0
#: A read takes a second at most if nothing changes. Without one for longer, this node may be refused by the service.
MAX_READ_US = to_us(1.5)


@dataclass(frozen=True)
class Answer:
    """An HTTP answer to a worker."""

    status: int
    body: bytes


class Gateway:
    """Decides for each report who answers it."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        store: Store,
        election: Election,
        leader: Leader,
        peers: Peers,
        own: LocalContacts | None = None,
        cancellations: Cancellations | None = None,
    ) -> None:
        self.log = logging.getLogger("gateway")
        self._config, self._clock = config, clock
        self._store, self._election, self._leader, self._peers = store, election, leader, peers
        self._redirect_policy = RedirectPolicy()
        self._report_monitor = ReportMonitor(config.settings.workers)
        self._local_contacts = own or LocalContacts(to_us(config.settings.workers.report_s))
        self._cancellations = cancellations or Cancellations(0)

    def deaf(self) -> bool:
        """True if all workers that reported here have fallen silent."""
        return self._report_monitor.deaf(self._clock.now_us())

    def handle(self, body: bytes) -> Answer:
        """Answers one report. Of a forwarded report only the head is decoded here; the leader decodes all of it."""
        try:
            return self._handle(workers.decode_report_head(body), body)
        except (msgspec.DecodeError, RecursionError) as error:
            self.log.error("report refused: %s", error)
            return Answer(400, b'{"error":"malformed report"}')

    def _handle(self, report: workers.ReportHead, body: bytes) -> Answer:
        now_us = self._clock.now_us()
        self._report_monitor.heard(now_us)
        target = self._redirect_target(report)
        if target is not None:
            return Answer(421, workers.encode(workers.Redirect(target)))
        self._local_contacts.heard(report.machine, report.zone, report.address, now_us)
        leader = self._known_leader()
        if leader is None or report.token > leader[1]:
            self._store.sync(1.5)  # there is a leader that we do not know yet
            leader = self._known_leader()
        if leader is not None and report.token <= leader[1]:
            answer = self._ask_leader(leader[0], body)
            if answer is not None:
                return Answer(200, self._with_cancellations(leader[0], answer, body))
        return self._answer_without_leader(workers.decode_report(body))

    def _known_leader(self) -> tuple[str, int] | None:
        """Returns the newest known leadership, from the mirror or reported by a peer."""
        reported = self._peers.reported_leader()
        leader = self._election.leader()
        return reported if reported[1] > (leader[1] if leader else 0) else leader

    def _redirect_target(self, report: workers.ReportHead) -> str | None:
        """Returns a controller of the worker's zone that receives reports, if we are in another zone."""
        if report.zone == self._config.zone:
            return None
        targets = [
            RedirectTarget(link.peer.name, link.peer.zone, link.deaf)
            for link in self._peers.links.values()
            if link.usable()
        ]
        return self._redirect_policy.redirect_target(report.machine, report.zone, targets, self._clock.now_us())

    def _ask_leader(self, node: str, body: bytes) -> bytes | None:
        if node == self._config.node:
            report = workers.decode_report(body)
            with gevent.Timeout(FORWARD_TIMEOUT_S, False):
                (commands,) = self._leader.answer_reports([report]).get()
                return workers.encode(commands) if commands is not None else None
            return None
        link = self._peers.links.get(node)
        if link is None or not link.usable():
            return None
        # With a fixed timeout, on links of half a second each way no answer of the leader ever reached a worker:
        # gateways renewed the leases by themselves, and nothing started.
        wait_s = min(MAX_FORWARD_TIMEOUT_S, max(FORWARD_TIMEOUT_S, FORWARD_ROUND_TRIPS * to_s(link.round_trip_us)))
        answer = link.ask(lambda number: ForwardReport(number, msgspec.Raw(body)), wait_s)
        return bytes(answer.body) if answer is not None and answer.ok else None

    def _answer_without_leader(self, report: workers.Report) -> Answer:
        if not may_answer(self._config, self._store.contact_us, self._clock.now_us()):
            return Answer(503, b'{"error":"no contact to the state service"}')
        leader = self._known_leader()
        token = leader[1] if leader is not None else report.token
        if report.token > token:
            return Answer(503, b'{"error":"a newer leader is not known here yet"}')
        self.log.debug(
            "answer report of %s without the leader, token %d: %s",
            report.machine,
            token,
            self._store.describe_last_read(),
        )
        return Answer(200, workers.encode(workers.Commands(token, halts(report, self._cancelled))))

    def _cancelled(self, job_id: str) -> bool:
        """True if the job is cancelled according to the state service or a controller that reads it."""
        stored = self._store.mirror.get(keys.job_key(job_id))
        return job_id in self._cancellations or (stored is not None and stored.value["st"] == JOB_CANCELLED)

    def _with_cancellations(self, leader: str, answer: bytes, body: bytes) -> bytes:
        """Enforces cancellations unknown to the leader, above all if it alone cannot read the state service."""
        now_us, contact_us = self._clock.now_us(), self._store.contact_us

        def reads_state() -> bool:
            if leader != self._config.node:
                return self._peers.reads_state(leader)
            return contact_us is not None and now_us - contact_us <= MAX_READ_US

        if not self._cancellations.may_be_unknown_to_leader(reads_state, now_us):
            return answer
        commands, report = workers.decode_commands(answer), workers.decode_report(body)
        return workers.encode(enforce_cancellations(commands, report, self._cancelled))
