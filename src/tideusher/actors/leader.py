"""The leader: connects the scheduling engine to the state service, the cloud and the workers."""

from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.event import AsyncResult

from tideusher.actors.base import Actor
from tideusher.actors.cloud import Cloud
from tideusher.actors.command_sender import CommandSender
from tideusher.actors.committer import Committer
from tideusher.actors.election import Election
from tideusher.actors.halts import ForeignHaltSender
from tideusher.actors.prober import Prober
from tideusher.actors.store import Store
from tideusher.clock import Clock, to_s, to_us
from tideusher.config import Config, Policy
from tideusher.core.decide import reachability
from tideusher.core.decide.bounds import may_answer
from tideusher.core.decide.pass_failures import PassFailures, Remedy
from tideusher.core.decide.start_lease import WithheldStarts, start_lease_valid
from tideusher.core.decide.succession import Candidate, TimerLag, all_read_pages
from tideusher.core.lead import explain
from tideusher.core.lead.cluster import Cluster
from tideusher.core.lead.engine import Engine
from tideusher.core.lead.soft_state import ReceivedSoftState, apply_contacts, newer, reason_unusable
from tideusher.core.lead.soft_state import collect as collect_soft_state
from tideusher.core.lead.soft_state import restore as restore_soft_state
from tideusher.core.lead.standby import Standby
from tideusher.core.model import keys
from tideusher.core.model.cluster_state import ClusterState
from tideusher.core.model.contacts import LocalContacts, WorkerContacts
from tideusher.core.model.records import OPEN, RETURNING, Machine
from tideusher.core.model.rentals import Rental
from tideusher.invariants import Invariants, Rule
from tideusher.metrics import Metrics
from tideusher.wire import cloud as cloud_wire
from tideusher.wire import workers
from tideusher.wire.peers import SoftState

TICK_US = 150_000
#: Interval between requests of the cloud's machine list while it may reveal a mass failure that nothing else shows.
LIST_INTERVAL_US = 1_500_000
#: Minimum interval between rebuilds of the soft state that a leader sends to its standbys.
SOFT_STATE_REFRESH_US = 500_000
#: The phases of a takeover in their order. The duration of each is logged and measured from the election.
PHASES = ("check read", "check records", "first decision", "first start")
#: Interval at which a standby compares part of its cluster state with the records.
AUDIT_US = 1_000_000
#: A timer that fires later than this means that the whole process was paused while its clocks ran on.
PROCESS_PAUSE_US = 2_000_000
#: Messages whose handlers change nothing, and those that change a standby's cluster state. An exception in any other
#: handler may leave the leader's cluster state half changed.
READ_ONLY_MESSAGES = frozenset({"question", "cancelled_here", "not_loaded"})
STANDBY_MESSAGES = frozenset({"follow", "audit"})
#: Delay before a rental or return that the cloud did not answer is repeated.
CLOUD_RETRY_S = 1.0
#: How long a gateway waits for the leader's answer to a report before it answers by itself.
REPORT_TIMEOUT_US = 1_000_000


class Leader(Actor):
    """Owns an engine while this node leads and a standby while it does not."""

    def __init__(
        self,
        config: Config,
        policy: Policy,
        clock: Clock,
        store: Store,
        election: Election,
        cloud: Cloud,
        metrics: Metrics,
    ) -> None:
        super().__init__("leader")
        self._config, self._policy, self._clock = config, policy, clock
        self._store, self._election, self._cloud = store, election, cloud
        self._metrics = metrics
        self._engine: Engine | None = None
        self._standby = Standby(config, policy, clock.wall_us, self._record_of, lambda: store.mirror)
        self._step_scheduled = False  # is a step of the standby scheduled?
        self._peer_candidates: Callable[[], list[Candidate]] = list
        self._contacts = WorkerContacts(LocalContacts(to_us(config.settings.workers.report_s)))
        self._received_soft_state: ReceivedSoftState | None = None  # the newest soft state reported by a leader
        self._soft_state: SoftState | None = None  # what we report as leader, rebuilt twice a second
        self._soft_state_us = 0
        self._tokens: list[int] = []  # of the last two leaderships, ours or not
        self._engine_count = 0  # number of engines that this process has run
        self._last_token = 0  # token of the last engine
        self._withheld_starts = WithheldStarts()
        self._failures, self._invariants = PassFailures(), Invariants(metrics)
        self._pending_phases: list[str] = []  # phases of our takeover that are not finished yet
        #: Smoothed delay of this process's timers.
        self.lag = TimerLag(TICK_US)
        self._last_timer_us: int | None = None
        self._loading = False
        self._listing_requested_us = 0  # when the cloud's machine list was last requested
        self._controller_only_zones: Callable[[], set[str]] = set
        self._peer_reads_state: Callable[[str], bool] = lambda node: True
        max_sockets = config.settings.resources.max_sockets
        self._command_sender = CommandSender(
            max_sockets, self.spawn, lambda token, body: self.tell("answered", token, body)
        )
        self._halt_sender = ForeignHaltSender(clock, max_sockets, self.spawn)
        self._prober = Prober(clock, self.spawn, self.tell, self._command_sender)
        self._committer = Committer(store, self.tell)

    def start(self) -> None:
        super().start()
        self._store.listen(self._on_change)
        self.every(TICK_US, "timer_tick")
        self.every(AUDIT_US, "audit")
        self.every(to_us(self._policy.ledger__gather_s), "gather")
        self.every(to_us(max(2.0, self._config.settings.cloud.list_lag_s)), "survey")

    @property
    def _cluster(self) -> Cluster | None:
        return self._engine.cluster if self._engine is not None else None

    def set_controller_only_zones(self, zones_source: Callable[[], set[str]]) -> None:
        """Sets the source of the zones where a connected controller has lost contact with all of its workers."""
        self._controller_only_zones = zones_source

    def set_reachability(self, reads_state: Callable[[str], bool]) -> None:
        """Sets the check whether another controller is connected and reaches the state service."""
        self._peer_reads_state = reads_state

    def set_peer_candidates(self, candidates: Callable[[], list[Candidate]]) -> None:
        """Sets the source of the connected controllers, which shows which record formats they read."""
        self._peer_candidates = candidates

    def set_contacts(self, contacts: WorkerContacts) -> None:
        """Sets the table of the workers' last contact with each controller."""
        self._contacts = contacts

    def withhold_starts(self, job: str) -> None:
        """Starts no task of a job for a time, under any token: its user cancels it at another controller or here."""
        self._withheld_starts.withhold(job, self._clock.now_us())

    def receive_soft_state(self, soft: SoftState) -> None:
        """Keeps the newest soft state that a leader reported: what no record holds."""
        self._received_soft_state = newer(self._received_soft_state, soft, self._clock.now_us())

    def soft(self) -> SoftState | None:
        """Returns the soft state for our standbys; None if we do not lead."""
        engine, now_us = self._engine, self._clock.now_us()
        if engine is None:
            return None
        if (
            self._soft_state is None
            or self._soft_state.token != engine.token
            or now_us - self._soft_state_us > SOFT_STATE_REFRESH_US
        ):
            self._soft_state, self._soft_state_us = collect_soft_state(engine, now_us), now_us
        return self._soft_state

    def behind(self) -> int | None:
        """Returns the number of changes that the standby has yet to apply; None if it has no cluster state."""
        if self._engine is not None:
            return 0
        return self._standby.behind if self._standby.cluster_state is not None else None

    def _on_change(self, key: str, value: object, stamp: int) -> None:
        if key == keys.LEADER and value is not None:
            self._tokens = [*self._tokens[-1:], stamp]
        if self._engine is None:
            if self._standby.changed(key, value, stamp):
                self._follow()
        elif key.startswith(keys.JOB_PREFIX):
            self.tell("job", key[len(keys.JOB_PREFIX) :], value, stamp)

    # ---------------------------------------------------------------- standby

    def _follow(self) -> None:
        if not self._step_scheduled:
            self._step_scheduled = True
            self.tell("follow")

    def on_follow(self) -> None:
        """Applies one step of the pending changes; the next is scheduled behind what else waits in the event loop."""
        self._step_scheduled = False
        if self._standby.apply_step(self._clock.now_us()):
            self._step_scheduled = True
            gevent.spawn_later(0, self.tell, "follow")

    def on_audit(self) -> None:
        """Compares a few records with the standby's cluster state, and rebuilds it if they differ."""
        if self._engine is not None or not self._store.loaded.is_set():
            return
        if self._standby.cluster_state is None:
            self._standby.begin(self._clock.now_us())
        elif self._standby.audit(self._clock.now_us()):
            self._metrics.count("standby_rebuilds")
        if self._standby.behind:
            self._follow()
        now_us = self._clock.now_us()
        cluster_state = self._standby.cluster_state
        if cluster_state is not None:
            for zone in self._contacts.all_reporting_zones(lambda name: _zone_of(cluster_state, name), now_us):
                cluster_state.zones.heard(zone, now_us)

    # ---------------------------------------------------------------- leadership

    def on_tick(self) -> None:
        """Follows the election; runs a scheduling pass if something changed."""
        token = self._election.token
        engine = self._engine
        if engine is not None and engine.token != token:
            self._step_down(engine)
            engine = None
        if engine is None:
            if token is not None and not self._loading:
                self._loading = True
                self._store.lead(True)
                self.spawn(self._take_over, token)
            return
        now_us = self._clock.now_us()
        self._share_records(engine.cluster)
        self._check_machines(engine, now_us)
        self._after_pass_step(engine, engine.tick(now_us))

    def _step_down(self, engine: Engine) -> None:
        """Drops decisions that were not written, and follows the records as a standby again."""
        self.log.info("stepped down: token %d, engine %d", engine.token, self._engine_count)
        self._engine = None
        self._command_sender.forget_all()
        self._standby.begin(self._clock.now_us())
        self._follow()
        self._store.lead(False)

    def failed(self, message: str, error: Exception) -> None:
        """Discards a cluster state that a failed handler may have left half changed.

        A standby rebuilds its own. A leader ends its term, so nothing more is decided on it.
        """
        if message in STANDBY_MESSAGES and self._engine is None:
            self._metrics.count("standby_rebuilds")
            self._standby.invalidate()
            return
        if message in READ_ONLY_MESSAGES or self._election.token is None:
            return
        remedy = self._failures.failed(error, self._clock.now_us())
        kind = type(error.__cause__ or error).__name__
        self._metrics.count("pass_failures", kind)
        self.log.error(
            "%s ended with %s (%s); remedy: %s", message, kind, error, remedy.name.lower().replace("_", " ")
        )
        self._loading = False
        if self._engine is not None:
            self._step_down(self._engine)
        else:
            self._standby.begin(self._clock.now_us())
        self._election.end_term(leave=remedy is Remedy.STEP_DOWN)

    def _share_records(self, cluster: Cluster) -> None:
        """Lets the records of small jobs share pages once all controllers can read them."""
        shared = cluster.pages.open or cluster.pages.fenced
        share = self._policy.records__shared and all_read_pages(
            len(self._config.peers), self._peer_candidates(), shared
        )
        cluster.share_records(share)

    def _value_of(self, key: str) -> Any:
        stored = self._store.mirror.get(key)
        return stored.value if stored is not None else None

    def on_timer_tick(self) -> None:
        """Runs a tick by the timer, and measures how late the timer fired."""
        now_us = self._clock.now_us()
        delay_us, self._last_timer_us = now_us - (self._last_timer_us or now_us) - TICK_US, now_us
        if delay_us > PROCESS_PAUSE_US:
            self._handle_pause(delay_us, now_us)
        self.lag.fired(now_us)
        self._resign_if_slow(self._engine)
        self.on_tick()

    def _handle_pause(self, for_us: int, now_us: int) -> None:
        """Handles a pause of the whole process.

        Workers were not silent in that time as far as we can tell, and we lead only once a read confirms it.
        """
        self.log.info("process paused for %.1f s: silence of workers counts from now", to_s(for_us))
        self._metrics.count("stood_still")
        self._contacts.own.process_paused(for_us, now_us)
        cluster_state = (
            self._engine.cluster.cluster_state if self._engine is not None else self._standby.cluster_state
        )
        if cluster_state is not None:
            cluster_state.zones.process_paused(now_us)
        self._election.process_paused(for_us, now_us)

    def _resign_if_slow(self, engine: Engine | None) -> None:
        if engine is not None and self._election.token == engine.token:
            why = self._election.step_down_reason()
            if why:
                self.log.info("resign from the leadership: %s", why)
                self._metrics.count("leaderships_given_up")
                self.spawn(self._election.resign)

    def on_continue_pass(self, engine: Engine) -> None:
        """Runs one step of a scheduling pass; the next is scheduled behind what else waits in the event loop.

        A pass in one step blocked a leader of 570 machines for 0.1 s.
        """
        if engine is self._engine:  # otherwise we stepped down meanwhile
            self._after_pass_step(engine, engine.continue_pass())

    def _after_pass_step(self, engine: Engine, more: bool) -> None:
        if more:
            gevent.spawn_later(0, self.tell, "continue_pass", engine)
        else:
            self._finish_phase("first decision")
        self._act(engine)

    def _finish_phase(self, name: str) -> None:
        """Records the end of a phase of our takeover, if it is the next one expected."""
        if self._pending_phases and self._pending_phases[0] == name:
            del self._pending_phases[0]
            since_s = to_s(self._clock.now_us() - self._election.elected_us)
            self._metrics.observe_takeover_phase(name.replace(" ", "_"), since_s)
            self.log.info("takeover: %s finished %.2f s after the election", name, since_s)

    def _check_machines(self, engine: Engine, now_us: int) -> None:
        """Handles machines that the cloud has reclaimed or that are silent.

        Runs once a tick: after each report of a large fleet it took most of a core.
        """
        cluster = engine.cluster
        for machine in cluster.health.taken(now_us):
            cluster.request_return(machine, "the cloud has reclaimed it")
        worker_settings = self._config.settings.workers
        lease_us, report_us = to_us(worker_settings.lease_s), to_us(worker_settings.report_s)
        machines = list(cluster.machines.values())

        def last_contact_us(machine: Machine) -> int:
            contact = self._contacts.last(machine.name, now_us)
            return contact[0] if contact is not None else 0

        for machine, why in reachability.machines_out_of_contact(
            machines, lease_us, report_us, now_us, cluster.health.boot_us, last_contact_us
        ):
            cluster.request_return(machine, why)
        for machine in machines:
            if machine.tasks and reachability.stopped_reporting(machine, report_us, last_contact_us, now_us):
                engine.reports.release_unstarted(machine, "its machine does not report", now_us)
        cluster.mass_failures.controller_only_zones = self._controller_only_zones()
        review = cluster.review_silent_machines(now_us, self._prober.under_way)
        for probe in review.probes:
            self._prober.begin(cluster.token, probe.machine)
        if review.list_due and now_us - self._listing_requested_us > LIST_INTERVAL_US:
            self._request_listing(cluster.token)

    def _take_over(self, token: int) -> None:
        """Starts the takeover after a read newer than our election, so nothing that older leaders wrote is missed.

        Writes that they still have in flight can no longer apply: each is guarded by their token.
        """
        try:
            if self._store.sync() and self._election.token == token:
                self._pending_phases = list(PHASES)
                self._finish_phase("check read")
                self.tell("take_over", token)
            else:
                self.tell("not_loaded")
        except Exception:
            self.tell("not_loaded")
            raise

    def on_not_loaded(self) -> None:
        """Handles a failed read before a takeover; the next tick tries again."""
        self._loading = False

    def on_take_over(self, token: int) -> None:
        """Applies the pending changes in steps, then leads with the standby's cluster state."""
        now_us = self._clock.now_us()
        if self._election.token != token:
            self._loading = False
            return
        caught_up = self._standby.catch_up(now_us)
        if caught_up is None:
            gevent.spawn_later(0, self.tell, "take_over", token)
            return
        self._loading = False
        if token <= self._last_token:
            # `Election._set_leading` prevents this; the check guards against any other path to a second term.
            self._invariants.violated(
                Rule.ONE_TERM, f"token {token} again, after engine {self._engine_count} led with it"
            )
            self._election.end_term()
            return
        self._engine_count, self._last_token = self._engine_count + 1, token
        self._engine = Engine(
            self._config,
            self._policy,
            token,
            now_us,
            self._clock.wall_us,
            self._metrics,
            self._record_of,
            cluster_state=caught_up.cluster_state,
            value_of=self._value_of,
        )
        self._finish_phase("check records")
        apply_contacts(self._engine, self._contacts, now_us)
        self._restore_soft_state(self._engine, token, now_us)
        cluster = self._engine.cluster
        cluster.failures = self._failures
        self._metrics.count("leaderships")
        self.log.info(
            "took over with token %d, engine %d: %d jobs, %d machines, %d records applied late; %s",
            token, self._engine_count, len(cluster.jobs), len(cluster.machines), caught_up.late,
            self._store.describe_last_read(),
        )  # fmt: skip
        self.on_survey()
        self.on_tick()

    def _restore_soft_state(self, engine: Engine, token: int, now_us: int) -> None:
        earlier_tokens = [other for other in self._tokens if other != token]
        why = reason_unusable(self._received_soft_state, earlier_tokens[-1] if earlier_tokens else None, now_us)
        if why:
            self.log.info("takeover: soft state not used: %s", why)
        elif self._received_soft_state is not None:
            used = restore_soft_state(engine, self._received_soft_state, now_us)
            self.log.info(
                "takeover: %d entries of soft state used, %.1f s old",
                used,
                to_s(now_us - self._received_soft_state.at_us),
            )
        self._metrics.count("soft_facts", "refused" if why else "used")

    def _record_of(self, job_id: str) -> dict[str, Any] | None:
        stored = self._store.mirror.get(keys.job_key(job_id))
        return None if stored is None else stored.value

    # ---------------------------------------------------------------- inputs

    def on_job(self, job_id: str, value: dict | None, stamp: int) -> None:
        """Applies a change of a job's own record."""
        if self._engine is not None:
            self._engine.cluster.job_changed(job_id, value, stamp, self._clock.now_us())
            self._act(self._engine)

    def on_cancelled_elsewhere(self, job_id: str) -> None:
        """Applies a cancellation reported by another controller, which we may not be able to read ourselves."""
        if self._engine is not None:
            self._engine.cluster.cancelled_by_peer(job_id, self._clock.now_us())
            self._act(self._engine)

    def on_cancelled_here(self, job_id: str) -> None:
        """Stops the tasks of a job that a user cancelled here, if the leader cannot learn of the cancellation now."""
        leader, cluster_state = self._election.leader(), self._standby.cluster_state
        if self._engine is not None or cluster_state is None or leader is None or self._peer_reads_state(leader[0]):
            return
        job = cluster_state.jobs.get(job_id)
        if job is not None:
            self._halt_sender.halt(job, leader[1], self._address_of)

    def _address_of(self, machine: str) -> str:
        """Returns the address at which any controller last had contact with the machine; empty if none had."""
        contact = self._contacts.last(machine, self._clock.now_us())
        return contact[1] if contact is not None else ""

    def answer_reports(self, reports: list[workers.Report]) -> AsyncResult:
        """Requests the commands for reports that arrived together, while their gateway waits."""
        return self.ask("reports", reports, self._clock.now_us())

    def on_reports(self, reports: list[workers.Report], asked_us: int) -> list[workers.Commands | None]:
        """Answers reports, and writes and acts on what they change once for all of them.

        None for a report that we may not answer, or that its gateway has answered by itself meanwhile: processing
        those too would keep a late leader late.
        """
        engine, now_us = self._engine, self._clock.now_us()
        if (
            engine is None
            or now_us - asked_us > REPORT_TIMEOUT_US
            or engine.token != self._election.token
            or not may_answer(self._config, self._store.contact_us, now_us)
        ):
            return [None] * len(reports)
        answers = [self._commands_for(engine, report, now_us) for report in reports]
        if self._pending_phases and any(
            c.op == "run" for answer in answers if answer is not None for c in answer.commands
        ):
            self._finish_phase("first start")
        self._act(engine)
        return answers

    def _commands_for(self, engine: Engine, report: workers.Report, now_us: int) -> workers.Commands | None:
        if report.token > engine.token:
            return None
        commands = self._failures.apply_input(
            f"report of {report.machine}",
            now_us,
            lambda: engine.reports.answer(report, now_us, lambda job: self._may_start(engine, job, now_us)),
        )
        return workers.Commands(engine.token, commands) if commands is not None else None

    def _may_start(self, engine: Engine, job: str, now_us: int) -> bool:
        """True if tasks of the job may be started by the answer to a report that came before `now_us`.

        The mirror decides, and not the cluster state: that may not have applied yet what the newest read showed.
        """
        why = self._start_refusal(engine, job, now_us)
        if why:
            self._metrics.count("starts_withheld", why)
        return not why

    def _start_refusal(self, engine: Engine, job: str, now_us: int) -> str:
        record = self._record_of(job)
        if not start_lease_valid(self._store.contact_us, now_us):
            return "stale_read"
        if self._store.stamp_of(keys.LEADER) != engine.token:
            return "deposed"
        if record is None or record["st"] != OPEN:
            return "ended"
        return "cancelling" if self._withheld_starts.is_withheld(job, now_us) else ""

    def on_gather(self) -> None:
        """Adds the charges of the last interval to the ledger."""
        if self._cluster is not None:
            self._cluster.charge_usage(self._clock.now_us())

    def on_survey(self) -> None:
        """Requests machine types and the machine list, and returns machines that are overdue to boot."""
        cluster = self._cluster
        if cluster is None:
            return
        token = cluster.token
        self._cloud.submit(Cloud.READ, self._cloud.types, lambda r: self.tell("types", token, r))
        self._request_listing(token)
        now_us = self._clock.now_us()
        for machine in cluster.health.overdue(now_us):
            cluster.request_return(
                machine, "it did not boot while others of its kind did, or within the maximum boot time"
            )

    def _request_listing(self, token: int) -> None:
        requested_us = self._listing_requested_us = self._clock.now_us()
        self._cloud.submit(
            Cloud.READ, self._cloud.machines, lambda listing: self.tell("listed", token, listing, requested_us)
        )

    def on_types(self, token: int, types: list[cloud_wire.MachineType] | None) -> None:
        """Applies machine types and prices."""
        if self._cluster is not None and self._cluster.token == token and types:
            self._cluster.set_types(types)

    def on_listed(self, token: int, listing: list[cloud_wire.ListedMachine] | None, requested_us: int) -> None:
        """Applies the cloud's list of machines, which was requested at `requested_us`."""
        engine = self._engine
        if engine is not None and engine.token == token and listing is not None:
            engine.cluster.listed(listing, self._clock.now_us(), requested_us)
            self._act(engine)

    def oldest_waits(self) -> dict[tuple[str, str], float]:
        """Returns the wait in seconds of the oldest waiting job by class and by team; empty if we do not lead."""
        return explain.oldest_waits(self._cluster) if self._cluster is not None else {}

    def on_question(self, what: str, arg: str) -> Any:
        """Answers a query of an operator or a user; None if we cannot."""
        engine, now_us = self._engine, self._clock.now_us()
        if engine is None:
            return None
        cluster = engine.cluster
        if what == "why":
            return explain.explain_job(cluster, arg, now_us, engine.scheduler.obstacles)
        if what == "teams":
            return explain.teams(cluster)
        if what == "falls":
            return explain.mass_failures(cluster)
        if what == "machines":
            return explain.machines(cluster, now_us)
        return None

    # ---------------------------------------------------------------- acting

    def _act(self, engine: Engine) -> None:
        """Writes what changed and carries out the engine's orders; rentals and returns in them are persisted."""
        # A leader that has read that another one leads writes nothing more: comparing its own state with what its
        # successor wrote would report invariant violations that are none.
        batch = engine.batch(self._clock.now_us()) if self._store.stamp_of(keys.LEADER) == engine.token else None
        if batch is not None:
            self.spawn(self._committer.commit, engine, batch)
        token, orders = engine.token, engine.orders()
        for rental in orders.rent:
            self._rent(token, rental)
        for first in range(0, len(orders.to_return), cloud_wire.MAX_MACHINES_PER_RETURN):
            self._return_machines(token, orders.to_return[first : first + cloud_wire.MAX_MACHINES_PER_RETURN])
        for machine, commands in orders.direct.items():
            # A machine that has not reported to us has an address if another controller or the cloud's list gave one.
            if machine.address and machine.phase != RETURNING:
                self._command_sender.send(machine, token, commands)

    def _return_machines(self, token: int, machines: list[Machine]) -> None:
        names = [machine.name for machine in machines]
        self._cloud.submit(
            Cloud.RETURN,
            lambda: self._cloud.request_return(names),
            lambda answer: self.tell("returned", token, machines, answer),
        )

    def _rent(self, token: int, rental: Rental) -> None:
        request = cloud_wire.RentRequest(rental.name, rental.type, rental.zone, rental.spot, rental.count)
        self._cloud.submit(
            Cloud.RENT, lambda: self._cloud.rent(request), lambda r: self.tell("rented", token, rental, r)
        )

    def on_rented(self, token: int, rental: Rental, names: list[str] | None) -> None:
        """Applies the answer to a rental; one that the cloud did not answer is repeated under the same name."""
        engine = self._engine
        if engine is None or engine.token != token:
            return
        now_us = self._clock.now_us()
        renting = engine.cluster.renting
        if names:
            subject = f"answer to rental {rental.name}"
            self._failures.apply_input(subject, now_us, lambda: renting.rented(rental, names, now_us))
        elif names is not None:
            renting.refused(rental, now_us)
        if not rental.answered and not rental.given_up:
            gevent.spawn_later(CLOUD_RETRY_S, self.tell, "rent_again", token, rental)
        self._act(engine)

    def on_rent_again(self, token: int, rental: Rental) -> None:
        """Repeats a rental that was not answered; its name makes the request idempotent."""
        if self._cluster is not None and self._cluster.token == token:
            self._rent(token, rental)

    def on_returned(self, token: int, machines: list[Machine], names: list[str] | None) -> None:
        """Applies a confirmed return; one that was not confirmed is repeated."""
        engine = self._engine
        if engine is None or engine.token != token:
            return
        cluster = engine.cluster
        cluster.returned(names or [], self._clock.now_us())
        unconfirmed = [machine for machine in machines if cluster.machines.get(machine.name) is machine]
        if unconfirmed:
            gevent.spawn_later(CLOUD_RETRY_S, self.tell, "return_again", token, unconfirmed)
        for name in names or ():
            self._command_sender.forget(name)
        self._act(engine)

    def on_return_again(self, token: int, machines: list[Machine]) -> None:
        """Queues a return again that the cloud did not confirm."""
        if self._cluster is not None and self._cluster.token == token:
            self._cluster.to_return += [m for m in machines if m.phase == RETURNING]

    # ---------------------------------------------------------------- direct calls to workers

    def on_answered(self, token: int, body: bytes) -> None:
        """Applies the report in the answer to a direct call, like one that the worker sent itself."""
        engine = self._engine
        if engine is None or engine.token != token:
            return
        try:
            report = workers.decode_report(body)
        except msgspec.DecodeError as error:
            self.log.error("bad answer of a worker: %s", error)
            return
        now_us = self._clock.now_us()
        subject = f"report of {report.machine}"
        self._failures.apply_input(subject, now_us, lambda: engine.reports.apply(report, now_us))
        self._act(engine)

    def on_found(self, token: int, machine: Machine) -> None:
        """Records that a probe reached a machine."""
        if self._cluster is not None and self._cluster.token == token:
            self._cluster.mass_failures.answered(machine, self._clock.now_us())

    def on_unanswered(self, token: int, machine: Machine, taken: bool, called_us: int) -> None:
        """Records a probe without an answer; `taken`: a connection was made. The next review decides what follows."""
        cluster, now_us = self._cluster, self._clock.now_us()
        if cluster is not None and cluster.token == token and cluster.health.is_suspect(machine, now_us):
            cluster.mass_failures.unanswered(machine, taken, called_us, now_us)

    # ---------------------------------------------------------------- persistence

    def on_commit_failed(self, engine: Engine, error: Exception) -> None:
        """Ends the term after an unexpected error: the outcome of the transaction is unknown."""
        if engine is self._engine:
            raise error

    def on_batch_committed(self, engine: Engine, revision: int) -> None:
        """Handles a committed batch: its effects may become visible."""
        if engine is self._engine:
            engine.batch_committed(revision, self._clock.now_us())
            self._act(engine)

    def on_batch_refused(self, engine: Engine) -> None:
        """Splits a batch that will never be accepted as it stands."""
        if engine is self._engine:
            engine.batch_refused(self._store.stamp_of, self._clock.now_us())
            self._act(engine)

    def writes_set_apart(self) -> int:
        """Returns the number of records that the state service refuses; 0 if we do not lead."""
        return len(self._cluster.write_queue.refused) if self._cluster is not None else 0

    def on_unwritable(self, engine: Engine) -> None:
        """Records that the state service did not accept a write."""
        engine.mark_unwritable()

    def on_batch_failed(self, engine: Engine, synced: bool, lost: bool, unknown: bool) -> None:
        """Reads after a failed batch, then writes again what still holds. `unknown`: it may still be applied."""
        if engine is not self._engine or lost:
            return
        if not synced:
            self.spawn(self._committer.read_again, engine, unknown)
            return
        engine.batch_failed(self._store.stamp_of, unknown)
        self._act(engine)


def _zone_of(cluster_state: ClusterState, machine: str) -> str | None:
    found = cluster_state.machines.get(machine)
    return found.zone if found is not None else None
