"""One controller: creates its actors and connects them."""

import logging
import os
import random
import sys
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
from gevent.event import Event

from tideusher.actors.cloud import Cloud
from tideusher.actors.confirmations import Confirmations
from tideusher.actors.connections import Connections
from tideusher.actors.election import Election
from tideusher.actors.gateway import MAX_READ_US, Gateway
from tideusher.actors.leader import Leader
from tideusher.actors.peers import Peers
from tideusher.actors.questions import QueryService
from tideusher.actors.store import Store
from tideusher.actors.users import Users
from tideusher.clock import Clock, to_s, to_us
from tideusher.config import Config, Policy
from tideusher.core.decide.cancellations import TOLD, Cancellations
from tideusher.core.decide.succession import Candidate
from tideusher.core.model import keys
from tideusher.core.model.contacts import LocalContacts, WorkerContacts
from tideusher.core.model.records import JOB_CANCELLED
from tideusher.metrics import Metrics
from tideusher.web import Web
from tideusher.wire import peers as peer_wire
from tideusher.wire import workers

if TYPE_CHECKING:
    from tideusher.pbs.profile import Profile

CONTACT_TIMEOUT_US = to_us(3.0)
#: Share of the process's memory for the larger bodies of requests.
BODY_MEMORY_SHARE = 1 / 16


class Node:
    """Builds and runs one controller."""

    def __init__(
        self, config: Config, policy: Policy, clock: Clock | None = None, profile: "Profile | None" = None
    ) -> None:
        level = {"error": logging.ERROR, "debug": logging.DEBUG}.get(os.environ.get("LOG_LEVEL", ""), logging.INFO)
        time = "%(created).3f " if os.environ.get("LOG_TIME") else ""  # the platform adds its own to each line
        logging.basicConfig(stream=sys.stderr, level=level, format=f"{time}%(levelname).1s %(name)s: %(message)s")
        self.log = logging.getLogger("node")
        self._config, self._clock = config, clock or Clock()
        rng = random.Random()
        self.metrics = Metrics()
        self.store = Store(config, self._clock, self.metrics)
        self.election = Election(config, policy, self.store, self._clock, rng)
        self.cloud = Cloud(config, self._clock, self.metrics)
        self.leader = Leader(config, policy, self._clock, self.store, self.election, self.cloud, self.metrics)
        self.own = LocalContacts(to_us(config.settings.workers.report_s))
        self.peers = Peers(config, self._clock, self._heartbeat, self._answer_heartbeat, self._told)
        self.contacts = WorkerContacts(self.own, self.peers.is_connected)
        self.leader.set_contacts(self.contacts)
        self.election.set_sources(self._own_candidate, self.peers.candidates, lambda token: self.leader.tell("tick"))
        self.store.set_demand_source(self.peers.write_demands)
        #: Cancellations are kept for twice `cancel_s`: a task still running after that broke the limit already.
        settings = config.settings
        self.cancellations = Cancellations(to_us(2 * settings.workers.cancel_s), settings.state.write_rps)
        self.store.listen(self._record_cancelled)
        self.gateway = Gateway(
            config, self._clock, self.store, self.election, self.leader, self.peers, self.own, self.cancellations
        )
        self.leader.set_controller_only_zones(self._zones_without_reports)
        self.confirmations = Confirmations(
            self._clock, self.store, self.election, self.cancellations, self._ask_to_withhold, self.metrics
        )
        self.users = Users(
            config, self._clock, self.store, policy.jobs__conditions, profile, self.metrics, self.confirmations
        )
        self.users.on_cancelled = lambda job_id: self.leader.tell("cancelled_here", job_id)
        self.leader.set_reachability(self.peers.reads_state)
        self.leader.set_peer_candidates(self.peers.candidates)
        self.connections = Connections(self._clock, settings.resources.max_sockets, settings.workers.lease_s)
        query_service = QueryService(config, self.store, self.election, self.leader, self.peers)
        self.web = Web(
            config.bind,
            self.users,
            self.gateway,
            query_service,
            self.peers,
            self._metrics_text,
            self.in_contact,
            self.healthy,
            self.connections,
            int(settings.resources.ram_mb * BODY_MEMORY_SHARE * (1 << 20)),
        )

    def run(self) -> None:
        """Serves until the process is killed."""
        gevent.get_hub().NOT_ERROR += (OSError,)  # a connection reset by a peer is not logged as an error
        for part in (self.store, self.election, self.cloud, self.leader):
            part.start()
        self.peers.start(self._answer, self._answer_reports)
        self.web.start()
        self.log.info("%s in %s serves on %s", self._config.node, self._config.zone, self._config.bind)
        Event().wait()

    def _heartbeat(self) -> peer_wire.Hello:
        """Builds our heartbeat; the answer to one holds more fields (`_answer_heartbeat`)."""
        node, token = self.election.leader() or ("", 0)
        demand = round(self.store.demand(), 1)
        heartbeat = peer_wire.Hello(self._config.node, self.in_contact(), node, token, demand, self.gateway.deaf())
        heartbeat.pages = heartbeat.withholds = True
        if not self.in_contact(MAX_READ_US):
            heartbeat.read = max(self.store.revision, self.cancellations.told)
        return heartbeat

    def _answer_heartbeat(self, received: peer_wire.Hello, line: int) -> tuple[peer_wire.Hello, int]:
        heartbeat, ours = self._heartbeat(), self._own_candidate()
        if received.read:
            # A controller that alone cannot read the state service learns here which jobs its workers must stop.
            heartbeat.read, heartbeat.cancelled = self.store.revision, self.cancellations.since(received.read)
            if len(heartbeat.cancelled) >= TOLD:
                heartbeat.read = min(heartbeat.read, heartbeat.cancelled[-1][1])
        heartbeat.seen, line = self.own.news(line, self._clock.now_us())
        heartbeat.behind, heartbeat.lost, heartbeat.rests = ours.behind, ours.lost, ours.rests
        heartbeat.lag_ms = ours.lag_us // 1000
        heartbeat.soft = self.leader.soft()
        return heartbeat, line

    def _told(self, node: str, heartbeat: peer_wire.Hello | None) -> None:
        """Handles a heartbeat of another controller; None: its connection ended."""
        if heartbeat is None:
            self.contacts.lost(node)
            return
        now_us = self._clock.now_us()
        self.contacts.told(node, heartbeat.seen, now_us)
        for job, stamp in heartbeat.cancelled:
            if self.cancellations.learn(job, stamp, now_us):
                self.log.info("%s reports that %s is cancelled", node, job)
                self.leader.tell("cancelled_elsewhere", job)
        if heartbeat.in_contact:
            self.cancellations.told = max(self.cancellations.told, heartbeat.read)
        if heartbeat.soft is not None:
            self.leader.receive_soft_state(heartbeat.soft)

    def _record_cancelled(self, key: str, value: Any, stamp: int) -> None:
        if key.startswith(keys.JOB_PREFIX) and value is not None and value["st"] == JOB_CANCELLED:
            self.cancellations.learn(key[len(keys.JOB_PREFIX) :], stamp, self._clock.now_us())

    def _ask_to_withhold(self, node: str, job: str) -> bool:
        """Asks the leader, which may be this controller, to start no task of a job; True if it promises that."""
        if node == self._config.node:
            self.leader.withhold_starts(job)
            return True
        return self.peers.ask_to_withhold(node, job)

    def _own_candidate(self) -> Candidate:
        """Returns this controller as a candidate for the leadership."""
        node, token = self.election.leader() or ("", 0)
        lost = token if token and self.peers.refuses_connections(node) else 0
        return Candidate(
            self._config.node,
            self._config.zone,
            self.in_contact(),
            self.gateway.deaf(),
            self.leader.behind(),
            self.leader.lag.us,
            lost,
            self.election.rests(),
            reads_pages=True,
        )

    def _zones_without_reports(self) -> set[str]:
        return self.peers.zones_without_reports() | ({self._config.zone} if self.gateway.deaf() else set())

    def in_contact(self, within_us: int = CONTACT_TIMEOUT_US) -> bool:
        """True if a read that the state service answered was sent within this time."""
        contact_us = self.store.contact_us
        return contact_us is not None and self._clock.now_us() - contact_us < within_us

    def healthy(self) -> bool:
        """True if this node can serve requests at least as well as any other.

        In an outage that all nodes share, nothing is gained if one leaves the load balancer; a node that alone is cut
        off should leave. One that is connected to no other controller either must assume that it alone is cut off:
        otherwise users kept coming to a node that could only answer 503.
        """
        if not self.store.loaded.is_set():
            return False
        shared = not self.peers.any_reads_state() and (self.peers.any_connected() or not self.peers.links)
        return self.in_contact() or shared

    def _metrics_text(self) -> bytes:
        self.metrics.gauges["leads"] = float(self.election.token is not None)
        self.metrics.gauges["leads_token"] = float(self.election.token or 0)
        self.metrics.gauges["writes_set_apart"] = float(self.leader.writes_set_apart())
        self.metrics.gauges["read_revision"] = float(self.store.revision)
        self.metrics.gauges["read_age_seconds"] = self.store.read_age_s()
        self.metrics.gauges["in_contact"] = float(self.in_contact())
        ours = self._own_candidate()
        self.metrics.gauges["first_in_line"] = float(self.election.successor() == self._config.node)
        self.metrics.gauges["standby_follows"] = float(ours.behind is not None)
        self.metrics.gauges["standby_behind_records"] = float(ours.behind or 0)
        self.metrics.gauges["timer_lag_seconds"] = to_s(ours.lag_us)
        self.metrics.gauges["leader_lost"] = float(ours.lost != 0)
        self.metrics.gauges["mirrored_keys"] = float(len(self.store.mirror))
        open_connections = {("open_connections", kind): n for kind, n in self.connections.by_kind().items()}
        self.metrics.labelled_gauges = self.leader.oldest_waits() | open_connections
        return self.metrics.text()

    def _answer(self, message: peer_wire.Message) -> peer_wire.Message | None:
        if isinstance(message, peer_wire.Ask):
            answer = self.leader.ask("question", message.what, message.arg).get()
            body = msgspec.Raw(msgspec.json.encode(answer))
            return peer_wire.ReportAnswer(message.id, answer is not None, body)
        if isinstance(message, peer_wire.WithholdStarts):
            self.leader.withhold_starts(message.job)
            return peer_wire.ReportAnswer(message.id, True)
        if isinstance(message, peer_wire.UserRequest):
            reply = self.users.handle(message.method, message.path, message.body.encode())
            return peer_wire.ReportAnswer(
                message.id, True, msgspec.Raw(msgspec.json.encode(reply.body)), reply.status
            )
        return None

    def _answer_reports(self, forwarded: list[peer_wire.ForwardReport]) -> list[peer_wire.ReportAnswer]:
        """Answers reports forwarded by gateways with the leader's commands, in one request to the leader."""
        reports: list[workers.Report] = []
        answers: list[peer_wire.ReportAnswer] = []
        known = []
        for message in forwarded:
            try:
                reports.append(workers.decode_report(bytes(message.body)))
                known.append(message.id)
            except msgspec.DecodeError:
                answers.append(peer_wire.ReportAnswer(message.id, False))
        for number, commands in zip(known, self.leader.answer_reports(reports).get(), strict=True):
            body = msgspec.Raw(workers.encode(commands)) if commands is not None else msgspec.Raw(b"null")
            answers.append(peer_wire.ReportAnswer(number, commands is not None, body))
        return answers
