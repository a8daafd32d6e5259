"""Reports of workers: passed to the leader, or answered alone so that no trouble empties a zone.

A worker reports to a controller of its own zone where one lives. That node passes the report on and
carries the leader's commands back. Where the leader cannot be asked, the node answers by itself with
the current token and halts for cancelled jobs, never with `run`: leases stay alive, nothing starts.
Without contact to the state service this lasts at most `cancel_s - lease_s` less a margin, for a
cancellation that we cannot see must still end its tasks in time (docs/safety.md, 6).
"""

import logging
from dataclasses import dataclass

import gevent
import msgspec

from tideusher.actors.election import Election
from tideusher.actors.leader import REPORT_WAITS_US, Leader
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

FORWARD_S = to_s(REPORT_WAITS_US)
#: Over a slow link its answers are waited for as long as they take, and some more; a worker gives up after 4 s.
ROUNDS, FORWARD_MOST_S = 1.5, 3.0
#: A read is under way for a second at most where nothing changes: with none for longer, it may be we who are refused.
READ_US = to_us(1.5)


@dataclass(frozen=True)
class Answer:
    """An HTTP answer to a worker."""

    status: int
    body: bytes


class Gateway:
    """Decides per report who answers it."""

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
        self._own = own or LocalContacts(to_us(config.settings.workers.report_s))
        self._cancellations = cancellations or Cancellations(0)

    def deaf(self) -> bool:
        """Have all workers that reported here fallen silent?"""
        return self._report_monitor.deaf(self._clock.now_us())

    def handle(self, body: bytes) -> Answer:
        """Answer one report. One that is passed on is read as far as that needs; the leader reads it whole."""
        try:
            return self._handle(workers.decode_report_head(body), body)
        except (msgspec.DecodeError, RecursionError) as error:
            self.log.error("refused a report: %s", error)
            return Answer(400, b'{"error":"malformed report"}')

    def _handle(self, report: workers.ReportHead, body: bytes) -> Answer:
        now_us = self._clock.now_us()
        self._report_monitor.heard(now_us)
        other = self._better_node(report)
        if other is not None:
            return Answer(421, workers.encode(workers.Redirect(other)))
        self._own.heard(report.machine, report.zone, report.address, now_us)
        known = self._known()
        if known is None or report.token > known[1]:
            self._store.sync(1.5)  # somebody leads whom we have not heard of
            known = self._known()
        if known is not None and report.token <= known[1]:
            answer = self._from_leader(known[0], body)
            if answer is not None:
                return Answer(200, self._rectified(known[0], answer, body))
        return self._alone(workers.decode_report(body))

    def _known(self) -> tuple[str, int] | None:
        """The newest leadership we know of: our mirror's, or one that a peer has told of."""
        told = self._peers.reported_leader()
        known = self._election.leader()
        return told if told[1] > (known[1] if known else 0) else known

    def _better_node(self, report: workers.ReportHead) -> str | None:
        """A controller of the worker's zone that hears workers, when we are not in it."""
        if report.zone == self._config.zone:
            return None
        doors = [
            RedirectTarget(link.peer.name, link.peer.zone, link.deaf)
            for link in self._peers.links.values()
            if link.usable()
        ]
        return self._redirect_policy.redirect_target(report.machine, report.zone, doors, self._clock.now_us())

    def _from_leader(self, node: str, body: bytes) -> bytes | None:
        if node == self._config.node:
            report = workers.decode_report(body)
            with gevent.Timeout(FORWARD_S, False):
                (commands,) = self._leader.answer_reports([report]).get()
                return workers.encode(commands) if commands is not None else None
            return None
        link = self._peers.links.get(node)
        if link is None or not link.usable():
            return None
        # Over links of half a second each way no answer of the leader ever reached a worker: leases were kept by
        # gateways alone, and nothing started.
        wait_s = min(FORWARD_MOST_S, max(FORWARD_S, ROUNDS * to_s(link.round_trip_us)))
        answer = link.ask(lambda number: ForwardReport(number, msgspec.Raw(body)), wait_s)
        return bytes(answer.body) if answer is not None and answer.ok else None

    def _alone(self, report: workers.Report) -> Answer:
        if not may_answer(self._config, self._store.contact_us, self._clock.now_us()):
            return Answer(503, b'{"error":"no contact to the state service"}')
        known = self._known()
        token = known[1] if known is not None else report.token
        if report.token > token:
            return Answer(503, b'{"error":"a newer leader is not known here yet"}')
        self.log.debug("answer %s alone, token %d: %s", report.machine, token, self._store.describe_last_read())
        return Answer(200, workers.encode(workers.Commands(token, halts(report, self._cancelled))))

    def _cancelled(self, job_id: str) -> bool:
        """Does the state service, or a controller that reads it, say that the job is cancelled?"""
        stored = self._store.mirror.get(keys.job_key(job_id))
        return job_id in self._cancellations or (stored is not None and stored.value["st"] == JOB_CANCELLED)

    def _rectified(self, leader: str, answer: bytes, body: bytes) -> bytes:
        """A leader may not know yet what we do: above all one that the state service refuses alone."""
        now_us, contact_us = self._clock.now_us(), self._store.contact_us

        def reads() -> bool:
            if leader != self._config.node:
                return self._peers.reads(leader)
            return contact_us is not None and now_us - contact_us <= READ_US

        if not self._cancellations.may_be_unknown_to_leader(reads, now_us):
            return answer
        commands, report = workers.decode_commands(answer), workers.decode_report(body)
        return workers.encode(enforce_cancellations(commands, report, self._cancelled))
