"""The leader: feeds the cluster's picture, persists its changes, and carries out what it decides."""

from collections.abc import Iterator
from typing import Any

import gevent
import msgspec
from gevent.event import AsyncResult

from tideusher.actors.base import Actor
from tideusher.actors.cloud import Cloud
from tideusher.actors.election import Election
from tideusher.actors.http import CallFailed, HttpClient
from tideusher.actors.store import Conflict, NoLease, Store, Unavailable
from tideusher.clock import Clock, to_us
from tideusher.config import Config, Policy
from tideusher.core import explain, keys
from tideusher.core.bounds import may_answer
from tideusher.core.cluster import Cluster, Rental
from tideusher.core.keeper import Batch
from tideusher.core.records import RETURNING, UP, Machine
from tideusher.core.scheduler import Scheduler
from tideusher.metrics import Metrics
from tideusher.wire import cloud as cloud_wire
from tideusher.wire import workers

PASS_US = 150_000
#: How long a gateway waits for the answer to a report before it answers alone.
REPORT_WAITS_US = 1_000_000


class Leader(Actor):
    """Owns a Cluster while this node leads; forgets it when it does not."""

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
        self._cluster: Cluster | None = None
        self._scheduler: Scheduler
        self._loading = False
        self._probing: set[str] = set()
        self._direct: dict[str, HttpClient] = {}
        self._last_pass_us = 0
        self._pass: Iterator[None] | None = None  # the pass under way

    def start(self) -> None:
        super().start()
        self._store.listen(self._on_change)
        self.every(PASS_US, "tick")
        self.every(to_us(self._policy.ledger__gather_s), "gather")
        self.every(to_us(max(2.0, self._config.settings.cloud.list_lag_s)), "survey")

    def _on_change(self, key: str, value: object, stamp: int) -> None:
        if self._cluster is not None and key.startswith(keys.JOB_PREFIX):
            self.tell("job", key[len(keys.JOB_PREFIX) :], value, stamp)

    # ---------------------------------------------------------------- leadership

    def on_tick(self) -> None:
        """Follow the election; run a scheduling pass when something changed."""
        token = self._election.token
        cluster = self._cluster
        if cluster is not None and cluster.token != token:
            self.log.info("stepped down from token %d", cluster.token)
            self._cluster = cluster = self._pass = None
            self._store.lead(False)
        if cluster is None:
            if token is not None and not self._loading:
                self._loading = True
                self._store.lead(True)
                self.spawn(self._take_over, token)
            return
        now_us = self._clock.now_us()
        self._look_after(cluster, now_us)
        if self._pass is None and (cluster.dirty or now_us - self._last_pass_us > 1_000_000):
            self._last_pass_us = now_us
            self._pass = self._scheduler.pieces(now_us)
            self.on_go_on(self._pass)
        else:
            self._act(cluster)

    def on_go_on(self, the_pass: Iterator[None]) -> None:
        """One piece of a pass. The next comes when the loop has looked at what else there is to do.

        Of a whole pass a leader of 570 machines once did nothing else for 0.1 s.
        """
        cluster = self._cluster
        if cluster is None or the_pass is not self._pass:
            return  # we stepped down in between
        try:
            next(the_pass)
            gevent.spawn_later(0, self.tell, "go_on", the_pass)
        except StopIteration:
            self._pass = None
        except Exception:
            self._pass = None  # the next tick begins another
            raise
        self._act(cluster)

    def _look_after(self, cluster: Cluster, now_us: int) -> None:
        """Machines taken back or silent. Done at ticks: after each report of a fleet it cost most of a core."""
        for machine in cluster.health.taken(now_us):
            cluster.give_back(machine, "the cloud has taken it back")
        for machine in cluster.health.to_probe(now_us, self._probing):
            self._probing.add(machine.name)
            self.spawn(self._probe, cluster.token, machine)

    def _take_over(self, token: int) -> None:
        """Load only after a read that is newer than our election: nothing older leaders wrote is missed."""
        try:
            if self._store.sync() and self._election.token == token:
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
        """Build the picture from the mirror."""
        self._loading = False
        now_us = self._clock.now_us()
        cluster = Cluster(
            self._config, self._policy, token, now_us, self._clock.wall_us, self._metrics, self._record_of
        )
        cluster.load({key: (s.value, s.stamp) for key, s in self._store.mirror.items()}, now_us)
        self._cluster, self._scheduler = cluster, Scheduler(cluster, now_us)
        self._metrics.count("leaderships")
        self.log.info(
            "took over with token %d: %d jobs, %d machines", token, len(cluster.jobs), len(cluster.machines)
        )
        self.on_survey()

    def _record_of(self, job_id: str) -> dict[str, Any] | None:
        stored = self._store.mirror.get(keys.job_key(job_id))
        return None if stored is None else stored.value

    # ---------------------------------------------------------------- inputs

    def on_job(self, job_id: str, value: dict | None, stamp: int) -> None:
        """A job's own key changed."""
        if self._cluster is not None:
            self._cluster.job_changed(job_id, value, stamp, self._clock.now_us())
            self._act(self._cluster)

    def answer_reports(self, reports: list[workers.Report]) -> AsyncResult:
        """Ask for the commands to reports that came together, while their gateway waits."""
        return self.ask("reports", reports, self._clock.now_us())

    def on_reports(self, reports: list[workers.Report], asked_us: int) -> list[workers.Commands | None]:
        """What the reports change is written and acted on once. None: we are not entitled to answer, or the
        gateway has answered alone meanwhile; to read those too would keep a late leader late.
        """
        cluster, now_us = self._cluster, self._clock.now_us()
        if (
            cluster is None
            or now_us - asked_us > REPORT_WAITS_US
            or cluster.token != self._election.token
            or not may_answer(self._config, self._store.contact_us, now_us)
        ):
            return [None] * len(reports)
        answers = [
            workers.Commands(cluster.token, cluster.reports.answer(report, now_us))
            if report.token <= cluster.token
            else None
            for report in reports
        ]
        self._act(cluster)
        return answers

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
        self._cloud.submit(Cloud.READ, self._cloud.machines, lambda r: self.tell("listed", token, r))
        now_us = self._clock.now_us()
        for machine in cluster.health.overdue(now_us):
            cluster.give_back(machine, "it did not come up in time")

    def on_types(self, token: int, types: list[cloud_wire.MachineType] | None) -> None:
        """Machine types and prices."""
        if self._cluster is not None and self._cluster.token == token and types:
            self._cluster.set_types(types)

    def on_listed(self, token: int, listing: list[cloud_wire.Listed] | None) -> None:
        """The cloud's list of machines."""
        if self._cluster is not None and self._cluster.token == token and listing is not None:
            self._cluster.listed(listing, self._clock.now_us())
            self._act(self._cluster)

    def on_question(self, what: str, arg: str) -> Any:
        """A question of an operator or a user; None if we cannot answer it."""
        cluster, now_us = self._cluster, self._clock.now_us()
        if cluster is None:
            return None
        if what == "why":
            return explain.explain_job(cluster, arg, now_us)
        if what == "teams":
            return explain.teams(cluster)
        if what == "machines":
            return explain.machines(cluster, now_us)
        return None

    # ---------------------------------------------------------------- acting

    def _act(self, cluster: Cluster) -> None:
        """Carry out what the picture asks for. Rentals and returns get here only when persisted."""
        self._flush(cluster)
        token = cluster.token
        for rental in cluster.to_rent:
            self._rent(token, rental)
        cluster.to_rent.clear()
        while cluster.to_return:
            machines = cluster.to_return[: cloud_wire.MAX_RETURN]
            del cluster.to_return[: cloud_wire.MAX_RETURN]
            names = [machine.name for machine in machines]
            self._cloud.submit(
                Cloud.RETURN,
                lambda names=names: self._cloud.give_back(names),
                lambda r, machines=machines: self.tell("returned", token, machines, r),
            )
        if cluster.direct:
            by_machine: dict[Machine, list[workers.Command]] = {}
            for direct in cluster.direct:
                by_machine.setdefault(direct.machine, []).append(direct.command)
            cluster.direct.clear()
            for machine, commands in by_machine.items():
                if machine.address and machine.phase == UP:
                    self.spawn(self._send, machine, token, commands)

    def _rent(self, token: int, rental: Rental) -> None:
        request = cloud_wire.RentRequest(rental.name, rental.type, rental.zone, rental.spot, rental.count)
        self._cloud.submit(
            Cloud.RENT, lambda: self._cloud.rent(request), lambda r: self.tell("rented", token, rental, r)
        )

    def on_rented(self, token: int, rental: Rental, names: list[str] | None) -> None:
        """A rental was answered, refused, or must be asked again under the same name."""
        cluster = self._cluster
        if cluster is None or cluster.token != token:
            return
        now_us = self._clock.now_us()
        if names is None:
            gevent.spawn_later(1.0, self.tell, "rent_again", token, rental)
        elif names:
            cluster.rented(rental, names, now_us)
        else:
            cluster.refused(rental, now_us)
        self._act(cluster)

    def on_rent_again(self, token: int, rental: Rental) -> None:
        """Repeat a rental whose answer never came: under its name it cannot rent twice."""
        if self._cluster is not None and self._cluster.token == token:
            self._rent(token, rental)

    def on_returned(self, token: int, machines: list[Machine], names: list[str] | None) -> None:
        """A return was confirmed, or must be asked again."""
        cluster = self._cluster
        if cluster is None or cluster.token != token:
            return
        if names is None:
            gevent.spawn_later(1.0, self.tell, "return_again", token, machines)
            return
        cluster.returned(names, self._clock.now_us())
        for name in names:
            self._direct.pop(name, None)
        self._act(cluster)

    def on_return_again(self, token: int, machines: list[Machine]) -> None:
        """The cloud did not confirm a return."""
        if self._cluster is not None and self._cluster.token == token:
            self._cluster.to_return += [m for m in machines if m.phase == RETURNING]

    # ---------------------------------------------------------------- workers, directly

    def _client(self, machine: Machine) -> HttpClient:
        client = self._direct.get(machine.name)
        if client is None:
            client = self._direct[machine.name] = HttpClient(machine.address, timeout_s=2.0, keep=1)
        return client

    def _send(self, machine: Machine, token: int, commands: list[workers.Command]) -> None:
        """Send halts ahead of the next report; they are repeated in its answer, so a loss is harmless."""
        body = workers.encode(workers.DirectCommands(token, machine.session, commands))
        try:
            status, answer = self._client(machine).call("POST", "/do", body)
        except CallFailed as error:
            self.log.debug("%s: %s", machine.name, error)
            return
        if status == 200:
            self.tell("answered", token, answer)

    def on_answered(self, token: int, body: bytes) -> None:
        """The report in the answer to direct commands is as good as one that the worker sent."""
        cluster = self._cluster
        if cluster is None or cluster.token != token:
            return
        try:
            report = workers.decode_report(body)
        except msgspec.DecodeError as error:
            self.log.error("bad answer of a worker: %s", error)
            return
        cluster.reports.look(report, self._clock.now_us())
        self._act(cluster)

    def _probe(self, token: int, machine: Machine) -> None:
        """Ask a silent machine directly: a cut to its gateway must not look like its death."""
        try:
            alive, body = False, b""
            if machine.address:  # else nobody has told us of it since our election
                try:
                    status, body = self._client(machine).call("GET", "/show", timeout_s=1.5)
                    alive = status == 200
                except CallFailed:
                    pass
            if alive:
                self.tell("answered", token, body)
                gevent.sleep(1.0)
            else:
                gevent.sleep(0.5)
                self.tell("probe_failed", token, machine)
        finally:
            self._probing.discard(machine.name)

    def on_probe_failed(self, token: int, machine: Machine) -> None:
        """A silent machine did not answer: return it, if its zone is heard and only it is not."""
        cluster = self._cluster
        if cluster is None or cluster.token != token or not cluster.health.is_suspect(machine, self._clock.now_us()):
            return
        machine.probes_failed += 1
        now_us = self._clock.now_us()
        if machine.probes_failed >= 2 and cluster.health.zone_heard(machine.zone, now_us):
            cluster.give_back(machine, f"{cluster.health.silence(machine, now_us)} and does not answer")
            self._act(cluster)

    # ---------------------------------------------------------------- persisting

    def _flush(self, cluster: Cluster) -> None:
        batch = cluster.keeper.next_batch(self._config.settings.state.txn_ops)
        if batch is not None:
            self.spawn(self._commit, cluster, batch)

    def _commit(self, cluster: Cluster, batch: Batch) -> None:
        """One transaction; then tell the actor how it went, after the mirror is newer than it."""
        try:
            revision = self._store.txn(batch.guards, batch.writes)
        except Conflict as conflict:
            self.log.info("transaction refused: %s changed", ", ".join(conflict.failed))
            synced = self._store.sync()
            lost = keys.LEADER in conflict.failed
            self.tell("not_saved", cluster, synced, lost)
        except (Unavailable, NoLease) as error:
            self.log.info("transaction not confirmed: %s", error)
            self.tell("unwritable", cluster)
            gevent.sleep(0.3)
            self.tell("not_saved", cluster, self._store.sync(), False)
        else:
            self.tell("saved", cluster, revision)

    def on_saved(self, cluster: Cluster, revision: int) -> None:
        """A batch is through: its effects may be told."""
        if cluster is self._cluster:
            cluster.keeper.saved(revision)
            cluster.saved_us, cluster.writable = self._clock.now_us(), True
            self._act(cluster)

    def on_unwritable(self, cluster: Cluster) -> None:
        """The state service did not take a write: nothing more is stopped until it does."""
        cluster.writable = False

    def on_not_saved(self, cluster: Cluster, synced: bool, lost: bool) -> None:
        """A batch failed: read first, then write again what still holds."""
        if cluster is not self._cluster or lost:
            return
        if not synced:
            self.spawn(self._sync_again, cluster)
            return
        cluster.keeper.not_saved(self._store.stamp_of)
        self._act(cluster)

    def _sync_again(self, cluster: Cluster) -> None:
        gevent.sleep(0.5)
        self.tell("not_saved", cluster, self._store.sync(), False)
