"""The leader: runs an engine over the state service, the cloud and the workers' reports."""

from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.event import AsyncResult

from tideusher.actors.base import Actor
from tideusher.actors.cloud import Cloud
from tideusher.actors.command_sender import CommandSender
from tideusher.actors.election import Election
from tideusher.actors.halts import HaltsForOthers
from tideusher.actors.http import CallFailed, HttpClient
from tideusher.actors.store import Conflict, NoLease, Store, Throttled, Unavailable
from tideusher.clock import Clock, to_s, to_us
from tideusher.config import Config, Policy
from tideusher.core.decide import reachability
from tideusher.core.decide.bounds import may_answer
from tideusher.core.decide.pass_failures import PassFailures, Remedy
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
from tideusher.core.model.records import RETURNING, Machine
from tideusher.core.model.rentals import Rental
from tideusher.core.model.write_queue import Batch
from tideusher.invariants import Invariants, Rule
from tideusher.metrics import Metrics
from tideusher.wire import cloud as cloud_wire
from tideusher.wire import workers
from tideusher.wire.peers import SoftState

TICK_US = 150_000
#: The cloud's list is asked for this often while it may tell of a fall that nothing else tells of.
LIST_AGAIN_US = 1_500_000
PROBE_S = 1.5
#: A leader makes anew what it tells its standbys this often at most.
SOFT_US = 500_000
#: The phases of a takeover, in their order; each is logged and measured from the election.
PHASES = ("check read", "check records", "first decision", "first start")
#: How often a controller that does not lead compares some of what it followed with the records.
AUDIT_US = 1_000_000
#: A timer that fires so much later than it should tells that the whole process stood still, its clocks running on.
PROCESS_PAUSE_US = 2_000_000
#: Messages whose handlers change nothing, and those that change a standby's picture. After an exception in any other
#: the leader's picture may be half changed.
READING = frozenset({"question", "cancelled_here", "not_loaded"})
FOLLOWING = frozenset({"follow", "audit"})
#: What was not answered is asked again after this time.
ASK_AGAIN_S = 1.0
#: How long a gateway waits for the answer to a report before it answers alone.
REPORT_WAITS_US = 1_000_000


class Leader(Actor):
    """Owns an Engine while this node leads; forgets it when it does not."""

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
        self._following = False  # is a piece of following under way?
        self._standings: Callable[[], list[Candidate]] = list
        self._contacts = WorkerContacts(LocalContacts(to_us(config.settings.workers.report_s)))
        self._told: ReceivedSoftState | None = None  # what the last leader told that no record holds
        self._soft: SoftState | None = None  # what we tell as a leader, made anew twice a second
        self._soft_us = 0
        self._tokens: list[int] = []  # of the last two leaderships
        self._terms = 0  # how many engines this process has had
        self._last_token = 0  # of the last of them
        self._failures, self._invariants = PassFailures(), Invariants(metrics)
        self._phases: list[str] = []  # of our takeover, those still to come
        #: How late our timers fire.
        self.lag = TimerLag(TICK_US)
        self._beat_us: int | None = None
        self._loading = False
        self._probing: set[str] = set()
        self._listed_us = 0  # when the cloud's list was asked for
        self._deaf_zones: Callable[[], set[str]] = set
        self._reads: Callable[[str], bool] = lambda node: True
        max_sockets = config.settings.resources.max_sockets
        self._sending = CommandSender(max_sockets, self.spawn, lambda token, body: self.tell("answered", token, body))
        self._halts = HaltsForOthers(clock, max_sockets, self.spawn)

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

    def hear_deaf(self, deaf_zones: Callable[[], set[str]]) -> None:
        """Where to ask in which zones a controller that we hear hears none of its workers."""
        self._deaf_zones = deaf_zones

    def set_reachability(self, reads: Callable[[str], bool]) -> None:
        """Where to ask whether another controller is heard, and reaches the state service."""
        self._reads = reads

    def hear_standings(self, candidates: Callable[[], list[Candidate]]) -> None:
        """Where to ask which versions the other controllers are of, as far as they are heard."""
        self._standings = candidates

    def set_contacts(self, contacts: WorkerContacts) -> None:
        """Where to ask which workers each controller hears."""
        self._contacts = contacts

    def hear_soft(self, soft: SoftState) -> None:
        """A leader told what no record holds."""
        self._told = newer(self._told, soft, self._clock.now_us())

    def soft(self) -> SoftState | None:
        """What we tell our standbys; None: we do not lead."""
        engine, now_us = self._engine, self._clock.now_us()
        if engine is None:
            return None
        if self._soft is None or self._soft.token != engine.token or now_us - self._soft_us > SOFT_US:
            self._soft, self._soft_us = collect_soft_state(engine, now_us), now_us
        return self._soft

    def behind(self) -> int | None:
        """Changes that we have yet to apply to the picture that we follow; None: we follow none."""
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

    # ---------------------------------------------------------------- following

    def _follow(self) -> None:
        if not self._following:
            self._following = True
            self.tell("follow")

    def on_follow(self) -> None:
        """One piece of what changed; the next comes when the loop has looked at what else there is to do."""
        self._following = False
        if self._standby.apply_step(self._clock.now_us()):
            self._following = True
            gevent.spawn_later(0, self.tell, "follow")

    def on_audit(self) -> None:
        """Is what was followed still what the records say? A few of them each time."""
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
        """Follow the election; run a scheduling pass when something changed."""
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
        self._look_after(engine, now_us)
        self._after_piece(engine, engine.tick(now_us))

    def _step_down(self, engine: Engine) -> None:
        """Forget what was decided and not written, and follow the records again."""
        self.log.info("stepped down from token %d, engine %d", engine.token, self._terms)
        self._engine = None
        self._sending.forget_all()
        self._standby.begin(self._clock.now_us())
        self._follow()
        self._store.lead(False)

    def failed(self, message: str, error: Exception) -> None:
        """Nobody decides on a picture that may be half changed, or follows with it."""
        if message in FOLLOWING and self._engine is None:
            self._metrics.count("standby_rebuilds")
            self._standby.invalidate()
            return
        if message in READING or self._election.token is None:
            return
        remedy = self._failures.failed(error, self._clock.now_us())
        kind = type(error.__cause__ or error).__name__
        self._metrics.count("pass_failures", kind)
        self.log.error("%s ended with %s (%s): %s", message, kind, error, remedy.name.lower().replace("_", " "))
        self._loading = False
        if self._engine is not None:
            self._step_down(self._engine)
        else:
            self._standby.begin(self._clock.now_us())
        self._election.end_term(leave=remedy is Remedy.STEP_DOWN)

    def _share_records(self, cluster: Cluster) -> None:
        """Small jobs' records share pages once all controllers read them."""
        shared = cluster.pages.open or cluster.pages.fenced
        wanted = self._policy.records__shared and all_read_pages(len(self._config.peers), self._standings(), shared)
        cluster.share_records(wanted)

    def _value_of(self, key: str) -> Any:
        stored = self._store.mirror.get(key)
        return stored.value if stored is not None else None

    def on_timer_tick(self) -> None:
        """A tick by the timer: how late it comes tells how slow we are."""
        now_us = self._clock.now_us()
        late_us, self._beat_us = now_us - (self._beat_us or now_us) - TICK_US, now_us
        if late_us > PROCESS_PAUSE_US:
            self._stood_still(late_us, now_us)
        self.lag.fired(now_us)
        self._give_way(self._engine)
        self.on_tick()

    def _stood_still(self, for_us: int, now_us: int) -> None:
        """Nothing believed of the time before counts: no silence, and no leadership until a read shows it."""
        self.log.info("stood still for %.1f s: silence counts from now", to_s(for_us))
        self._metrics.count("stood_still")
        self._contacts.own.process_paused(for_us, now_us)
        cluster_state = (
            self._engine.cluster.cluster_state if self._engine is not None else self._standby.cluster_state
        )
        if cluster_state is not None:
            cluster_state.zones.process_paused(now_us)
        self._election.process_paused(for_us, now_us)

    def _give_way(self, engine: Engine | None) -> None:
        if engine is not None and self._election.token == engine.token:
            why = self._election.step_down_reason()
            if why:
                self.log.info("give up the leadership: %s", why)
                self._metrics.count("leaderships_given_up")
                self.spawn(self._election.resign)

    def on_continue_pass(self, engine: Engine) -> None:
        """One piece of a pass. The next comes when the loop has looked at what else there is to do.

        Of a whole pass a leader of 570 machines once did nothing else for 0.1 s.
        """
        if engine is self._engine:  # else we stepped down in between
            self._after_piece(engine, engine.continue_pass())

    def _after_piece(self, engine: Engine, more: bool) -> None:
        if more:
            gevent.spawn_later(0, self.tell, "continue_pass", engine)
        else:
            self._phase("first decision")
        self._act(engine)

    def _phase(self, name: str) -> None:
        """A phase of our takeover is over, if it is the next one."""
        if self._phases and self._phases[0] == name:
            del self._phases[0]
            since_s = to_s(self._clock.now_us() - self._election.elected_us)
            self._metrics.observe_takeover_phase(name.replace(" ", "_"), since_s)
            self.log.info("%s %.2f s after the election", name, since_s)

    def _look_after(self, engine: Engine, now_us: int) -> None:
        """Machines taken back or silent. Done at ticks: after each report of a fleet it cost most of a core."""
        cluster = engine.cluster
        for machine in cluster.health.taken(now_us):
            cluster.request_return(machine, "the cloud has taken it back")
        workers_ = self._config.settings.workers
        lease_us, report_us = to_us(workers_.lease_s), to_us(workers_.report_s)
        machines = list(cluster.machines.values())

        def heard_us(machine: Machine) -> int:
            seen = self._contacts.last(machine.name, now_us)
            return seen[0] if seen is not None else 0

        for machine, why in reachability.machines_out_of_contact(
            machines, lease_us, report_us, now_us, cluster.health.boot_us, heard_us
        ):
            cluster.request_return(machine, why)
        for machine in machines:
            if machine.tasks and reachability.stopped_reporting(machine, report_us, heard_us, now_us):
                engine.reports.release_unstarted(machine, "its machine does not report", now_us)
        cluster.mass_failures.controller_only_zones = self._deaf_zones()
        look = cluster.review_silent_machines(now_us, self._probing)
        for probe in look.probes:
            self._probing.add(probe.machine.name)
            self.spawn(self._probe, cluster.token, probe.machine)
        if look.list_due and now_us - self._listed_us > LIST_AGAIN_US:
            self._ask_list(cluster.token)

    def _take_over(self, token: int) -> None:
        """Load only after a read that is newer than our election: nothing older leaders wrote is missed.

        What they had under way then can never apply any more: each of their writes is guarded by their token.
        """
        try:
            if self._store.sync() and self._election.token == token:
                self._phases = list(PHASES)
                self._phase("check read")
                self.tell("take_over", token)
            else:
                self.tell("not_loaded")
        except Exception:
            self.tell("not_loaded")
            raise

    def on_not_loaded(self) -> None:
        """The read before taking over failed; the next tick tries again."""
        self._loading = False

    def on_take_over(self, token: int) -> None:
        """Apply what is left, in pieces, and lead on the picture that was followed."""
        now_us = self._clock.now_us()
        if self._election.token != token:
            self._loading = False
            return
        caught = self._standby.catch_up(now_us)
        if caught is None:
            gevent.spawn_later(0, self.tell, "take_over", token)
            return
        self._loading = False
        if token <= self._last_token:
            # The election sees to that (`Election._leads`); whatever else might lead here again does not.
            self._invariants.violated(Rule.ONE_TERM, f"token {token} again, after engine {self._terms} led with it")
            self._election.end_term()
            return
        self._terms, self._last_token = self._terms + 1, token
        self._engine = Engine(
            self._config,
            self._policy,
            token,
            now_us,
            self._clock.wall_us,
            self._metrics,
            self._record_of,
            cluster_state=caught.cluster_state,
            value_of=self._value_of,
        )
        self._phase("check records")
        apply_contacts(self._engine, self._contacts, now_us)
        self._use_soft(self._engine, token, now_us)
        cluster = self._engine.cluster
        cluster.failures = self._failures
        self._metrics.count("leaderships")
        self.log.info(
            "took over with token %d, engine %d: %d jobs, %d machines, %d records late; %s",
            token, self._terms, len(cluster.jobs), len(cluster.machines), caught.late,
            self._store.describe_last_read(),
        )  # fmt: skip
        self.on_survey()
        self.on_tick()

    def _use_soft(self, engine: Engine, token: int, now_us: int) -> None:
        before = [other for other in self._tokens if other != token]
        why = reason_unusable(self._told, before[-1] if before else None, now_us)
        if why:
            self.log.info("check soft facts: not used, as %s", why)
        elif self._told is not None:
            used = restore_soft_state(engine, self._told, now_us)
            self.log.info("check soft facts: %d used, %.1f s old", used, to_s(now_us - self._told.at_us))
        self._metrics.count("soft_facts", "refused" if why else "used")

    def _record_of(self, job_id: str) -> dict[str, Any] | None:
        stored = self._store.mirror.get(keys.job_key(job_id))
        return None if stored is None else stored.value

    # ---------------------------------------------------------------- inputs

    def on_job(self, job_id: str, value: dict | None, stamp: int) -> None:
        """A job's own key changed."""
        if self._engine is not None:
            self._engine.cluster.job_changed(job_id, value, stamp, self._clock.now_us())
            self._act(self._engine)

    def on_cancelled_elsewhere(self, job_id: str) -> None:
        """Another controller tells that a job is cancelled, which we may not be able to read."""
        if self._engine is not None:
            self._engine.cluster.cancelled_by_peer(job_id, self._clock.now_us())
            self._act(self._engine)

    def on_cancelled_here(self, job_id: str) -> None:
        """We told a user that a job is cancelled. If its leader cannot hear of that now, its workers do from us."""
        known, cluster_state = self._election.leader(), self._standby.cluster_state
        if self._engine is not None or cluster_state is None or known is None or self._reads(known[0]):
            return
        job = cluster_state.jobs.get(job_id)
        if job is not None:
            self._halts.halt(job, known[1], self._address_of)

    def _address_of(self, machine: str) -> str:
        """Where some controller last heard the machine; empty: none did."""
        seen = self._contacts.last(machine, self._clock.now_us())
        return seen[1] if seen is not None else ""

    def answer_reports(self, reports: list[workers.Report]) -> AsyncResult:
        """Ask for the commands to reports that came together, while their gateway waits."""
        return self.ask("reports", reports, self._clock.now_us())

    def on_reports(self, reports: list[workers.Report], asked_us: int) -> list[workers.Commands | None]:
        """What the reports change is written and acted on once. None: we are not entitled to answer, or the
        gateway has answered alone meanwhile; to read those too would keep a late leader late.
        """
        engine, now_us = self._engine, self._clock.now_us()
        if (
            engine is None
            or now_us - asked_us > REPORT_WAITS_US
            or engine.token != self._election.token
            or not may_answer(self._config, self._store.contact_us, now_us)
        ):
            return [None] * len(reports)
        answers = [self._commands_for(engine, report, now_us) for report in reports]
        if self._phases and any(c.op == "run" for answer in answers if answer is not None for c in answer.commands):
            self._phase("first start")
        self._act(engine)
        return answers

    def _commands_for(self, engine: Engine, report: workers.Report, now_us: int) -> workers.Commands | None:
        if report.token > engine.token:
            return None
        commands = self._failures.apply_input(
            f"report of {report.machine}", now_us, lambda: engine.reports.answer(report, now_us)
        )
        return workers.Commands(engine.token, commands) if commands is not None else None

    def on_gather(self) -> None:
        """Charges of the last interval reach the ledger."""
        if self._cluster is not None:
            self._cluster.gather(self._clock.now_us())

    def on_survey(self) -> None:
        """Read types and the machine list; look after silent and overdue machines."""
        cluster = self._cluster
        if cluster is None:
            return
        token = cluster.token
        self._cloud.submit(Cloud.READ, self._cloud.types, lambda r: self.tell("types", token, r))
        self._ask_list(token)
        now_us = self._clock.now_us()
        for machine in cluster.health.overdue(now_us):
            cluster.request_return(machine, "it did not come up while others of its kind did, or in all patience")

    def _ask_list(self, token: int) -> None:
        self._listed_us = self._clock.now_us()
        self._cloud.submit(Cloud.READ, self._cloud.machines, lambda r: self.tell("listed", token, r))

    def on_types(self, token: int, types: list[cloud_wire.MachineType] | None) -> None:
        """Machine types and prices."""
        if self._cluster is not None and self._cluster.token == token and types:
            self._cluster.set_types(types)

    def on_listed(self, token: int, listing: list[cloud_wire.ListedMachine] | None) -> None:
        """The cloud's list of machines."""
        engine = self._engine
        if engine is not None and engine.token == token and listing is not None:
            engine.cluster.listed(listing, self._clock.now_us())
            self._act(engine)

    def oldest_waits(self) -> dict[tuple[str, str], float]:
        """For how long the oldest job that waits does so, by class and by team; empty if we do not lead."""
        return explain.oldest_waits(self._cluster) if self._cluster is not None else {}

    def on_question(self, what: str, arg: str) -> Any:
        """A question of an operator or a user; None if we cannot answer it."""
        cluster, now_us = self._cluster, self._clock.now_us()
        if cluster is None:
            return None
        if what == "why":
            return explain.explain_job(cluster, arg, now_us)
        if what == "teams":
            return explain.teams(cluster)
        if what == "falls":
            return explain.mass_failures(cluster)
        if what == "machines":
            return explain.machines(cluster, now_us)
        return None

    # ---------------------------------------------------------------- acting

    def _act(self, engine: Engine) -> None:
        """Write what changed, and carry out what may be done. Rentals and returns get here only when persisted."""
        # A leader that has read that another leads writes nothing more: to compare what it believes with what that
        # one wrote would show breaches that are none.
        batch = engine.batch() if self._store.stamp_of(keys.LEADER) == engine.token else None
        if batch is not None:
            self.spawn(self._commit, engine, batch)
        token, orders = engine.token, engine.orders()
        for rental in orders.rent:
            self._rent(token, rental)
        for first in range(0, len(orders.request_return), cloud_wire.MAX_MACHINES_PER_RETURN):
            self._give_back(token, orders.request_return[first : first + cloud_wire.MAX_MACHINES_PER_RETURN])
        for machine, commands in orders.direct.items():
            # One that has yet to report to us has an address if another controller hears it, or the cloud lists it.
            if machine.address and machine.phase != RETURNING:
                self._sending.send(machine, token, commands)

    def _give_back(self, token: int, machines: list[Machine]) -> None:
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
        """A rental was answered, refused, or must be asked again under the same name."""
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
            gevent.spawn_later(ASK_AGAIN_S, self.tell, "rent_again", token, rental)
        self._act(engine)

    def on_rent_again(self, token: int, rental: Rental) -> None:
        """Repeat a rental whose answer never came: under its name it cannot rent twice."""
        if self._cluster is not None and self._cluster.token == token:
            self._rent(token, rental)

    def on_returned(self, token: int, machines: list[Machine], names: list[str] | None) -> None:
        """A return was confirmed, or must be asked again."""
        engine = self._engine
        if engine is None or engine.token != token:
            return
        cluster = engine.cluster
        cluster.returned(names or [], self._clock.now_us())
        left = [machine for machine in machines if cluster.machines.get(machine.name) is machine]
        if left:
            gevent.spawn_later(ASK_AGAIN_S, self.tell, "return_again", token, left)
        for name in names or ():
            self._sending.forget(name)
        self._act(engine)

    def on_return_again(self, token: int, machines: list[Machine]) -> None:
        """The cloud did not confirm a return."""
        if self._cluster is not None and self._cluster.token == token:
            self._cluster.to_return += [m for m in machines if m.phase == RETURNING]

    # ---------------------------------------------------------------- workers, directly

    def on_answered(self, token: int, body: bytes) -> None:
        """The report in the answer to direct commands is as good as one that the worker sent."""
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
        self._failures.apply_input(subject, now_us, lambda: engine.reports.look(report, now_us))
        self._act(engine)

    def _probe(self, token: int, machine: Machine) -> None:
        """Call a machine directly, on a connection of its own: whether one can be made tells death from a hang."""
        called_us = self._clock.now_us()
        try:
            if not machine.address:  # nobody has told us of it since our election
                gevent.sleep(PROBE_S)
                self.tell("unanswered", token, machine, False, called_us)
                return
            try:
                status, body = HttpClient(machine.address, PROBE_S, keep=0).call("GET", "/show")
            except CallFailed as error:
                self.tell("unanswered", token, machine, error.refused or not error.unsent, called_us)
                return
            self.tell("found", token, machine)
            if status == 200:
                self._answered_call(machine, token, body)
        finally:
            self._probing.discard(machine.name)

    def _answered_call(self, machine: Machine, token: int, body: bytes) -> None:
        """One that answers calls and does not report learns our token by a call: only then is what it lists no more
        proven gone of what an older leader placed there."""
        try:
            report = workers.decode_report(body)
        except msgspec.DecodeError as error:
            self.log.error("bad answer of a worker: %s", error)
            return
        self.tell("answered", token, body)
        if report.token < token:
            self._sending.call(machine, token, [], report.session)

    def on_found(self, token: int, machine: Machine) -> None:
        """A call reached a machine."""
        if self._cluster is not None and self._cluster.token == token:
            self._cluster.mass_failures.answered(machine, self._clock.now_us())

    def on_unanswered(self, token: int, machine: Machine, taken: bool, called_us: int) -> None:
        """A call reached nobody, or somebody who did not answer. What that means the next look says."""
        cluster, now_us = self._cluster, self._clock.now_us()
        if cluster is not None and cluster.token == token and cluster.health.is_suspect(machine, now_us):
            cluster.mass_failures.unanswered(machine, taken, called_us, now_us)

    # ---------------------------------------------------------------- persisting

    def _commit(self, engine: Engine, batch: Batch) -> None:
        """One transaction. Nothing else is written while it is under way, so however it ends the actor is told."""
        try:
            self._try_to_commit(engine, batch)
        except Exception as error:
            self.tell("commit_failed", engine, error)
            raise

    def on_commit_failed(self, engine: Engine, error: Exception) -> None:
        """Nobody knows what became of the transaction under way."""
        if engine is self._engine:
            raise error

    def _try_to_commit(self, engine: Engine, batch: Batch) -> None:
        """Tell the actor how it went after the mirror is newer than the transaction."""
        try:
            revision = self._store.txn(batch.guards, batch.writes)
        except Conflict as conflict:
            self.log.info("transaction refused: %s changed", ", ".join(conflict.failed))
            synced = self._store.sync()
            lost = keys.LEADER in conflict.failed
            self.tell("batch_failed", engine, synced, lost, False)
        except (Unavailable, NoLease) as error:
            self.log.info("transaction not confirmed: %s", error)
            self.tell("unwritable", engine)
            gevent.sleep(0.3)
            self.tell("batch_failed", engine, self._store.sync(), False, not isinstance(error, Throttled))
        else:
            self.tell("batch_committed", engine, revision)

    def on_batch_committed(self, engine: Engine, revision: int) -> None:
        """A batch is through: its effects may be told."""
        if engine is self._engine:
            engine.batch_committed(revision, self._clock.now_us())
            self._act(engine)

    def on_unwritable(self, engine: Engine) -> None:
        """The state service did not take a write."""
        engine.mark_unwritable()

    def on_batch_failed(self, engine: Engine, synced: bool, lost: bool, unknown: bool) -> None:
        """A batch failed: read first, then write again what still holds. `unknown`: it may yet be carried out."""
        if engine is not self._engine or lost:
            return
        if not synced:
            self.spawn(self._sync_again, engine, unknown)
            return
        engine.batch_failed(self._store.stamp_of, unknown)
        self._act(engine)

    def _sync_again(self, engine: Engine, unknown: bool) -> None:
        gevent.sleep(0.5)
        self.tell("batch_failed", engine, self._store.sync(), False, unknown)  # `sync` says False whatever it met


def _zone_of(cluster_state: ClusterState, machine: str) -> str | None:
    known = cluster_state.machines.get(machine)
    return known.zone if known is not None else None
