"""Users: submissions, polls and cancellations, answered by any node (docs/safety.md, 7)."""

import logging
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Annotated, Any

import msgspec

from tideusher.actors.replies import Reply, refusal
from tideusher.actors.store import Conflict, NoLease, Store, Throttled, Unavailable
from tideusher.clock import Clock, to_us
from tideusher.config import Config
from tideusher.core.decide.conditions import unsatisfiable_reason
from tideusher.core.model import keys
from tideusher.core.model.job_record import held_value, holder, open_value, shrunk_value
from tideusher.core.model.records import CHUNK_TASKS, JOB_CANCELLED, JOB_DONE, OPEN
from tideusher.metrics import Metrics
from tideusher.wire import jobs as wire
from tideusher.wire.cloud import MachineType
from tideusher.wire.jobs import InvalidJob, JobSpec, JobStatus
from tideusher.wire.state import Guard, Put, Write

if TYPE_CHECKING:
    from tideusher.actors.scripts import Scripts
    from tideusher.pbs.profile import Profile

#: Who would have to wait longer for the state service's budget is told at once to come back.
PATIENCE_S = 2.0
#: An acceptance that took longer may have been overtaken: other nodes read it at once, and their users went on.
PROMPT_US = to_us(0.1)


class HoldRequest(msgspec.Struct):
    """The body of a hold; all of it may be missing."""

    by: str = "its user"


class ShrinkRequest(msgspec.Struct):
    """The body of a request to make a service smaller."""

    tasks: Annotated[int, msgspec.Meta(ge=1)] = msgspec.field(name="pieces")


class Users:
    """Stateless beside the mirror: every acceptance and cancellation is a guarded transaction."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        store: Store,
        conditions: bool = False,
        profile: "Profile | None" = None,
        metrics: Metrics | None = None,
    ) -> None:
        self.log = logging.getLogger("users")
        self._config, self._profile, self._metrics = config, profile, metrics or Metrics()
        self._scripts: Scripts | None = None
        self._conditions = conditions  # are jobs with conditions taken (`jobs.conditions`)?
        self._clock, self._store = clock, store
        #: Whom to tell of a job that was cancelled here.
        self.on_cancelled: Callable[[str], None] = lambda job_id: None
        self._max_value = int(config.settings.state.value_kb * 1024)
        self._teams = {team.name: team for team in config.settings.teams}
        self._types_value: Any = None
        self._types: list[MachineType] = []

    def handle(self, method: str, path: str, body: bytes) -> Reply:
        """Answer a request for a job's submission, state or cancellation."""
        if path == "/pbs":
            return self._script_request(method, body)
        if path == "/work":
            return self.submit(body) if method == "POST" else refusal(405, "POST only")
        name, _, action = path[len("/work/") :].partition("/")
        if not action:
            return self.poll(name) if method == "GET" else refusal(405, "GET only")
        if action == "abort":
            return self.cancel(name) if method == "POST" else refusal(405, "POST only")
        if action == "script":
            return self._script(name) if method == "GET" else refusal(405, "GET only")
        if action == "shrink":
            return self.shrink(name, body) if method == "POST" else refusal(405, "POST only")
        if action in ("hold", "release"):
            return self.hold(name, action, body) if method == "POST" else refusal(405, "POST only")
        return refusal(404, "no such path")

    # ---------------------------------------------------------------- PBS scripts

    def _script_service(self) -> "Scripts | None":
        if self._scripts is None and self._profile is not None:
            from tideusher.actors.scripts import Scripts  # with the first script, not at each start

            self._scripts = Scripts(self._config, self._clock, self._store, self, self._profile)
        return self._scripts

    def _script_request(self, method: str, body: bytes) -> Reply:
        scripts = self._script_service()
        if scripts is None:
            return refusal(404, "PBS scripts are not taken here (no pbs.* settings)")
        if method == "GET":
            return scripts.profile()
        return scripts.submit(body) if method == "POST" else refusal(405, "GET and POST only")

    def _script(self, job_id: str) -> Reply:
        scripts = self._script_service()
        if scripts is None or not wire.JOB_ID.fullmatch(job_id):
            return refusal(404, "no such script")
        return scripts.fetch(job_id)

    # ---------------------------------------------------------------- POST /work

    def submit(self, body: bytes) -> Reply:
        """Accept a job once it is in the state service, never before."""
        try:
            spec = wire.parse_job(body)
        except InvalidJob as error:
            known = self.known_ref(body)
            if known is not None:
                return known
            self.log.info("refused a submission: %s", error)
            return refusal(400, str(error))
        return self.accept(spec)

    def accept(self, spec: JobSpec, more: Sequence[Write] = ()) -> Reply:
        """Accept a job that is well-formed, with what else is to be written together with it."""
        if self._store.mirror.get(keys.job_key(spec.id)) is not None:
            return self._state(spec.id)
        self._metrics.job("asked", spec.job_class, spec.team if spec.team in self._teams else "unknown")
        key, value = keys.job_key(spec.id), open_value(spec, self._clock.wall_us())
        problem = self._cannot_run(spec) or self._cannot_wait(spec)
        if problem is None and len(msgspec.json.encode(value)) > self._max_value:
            # The state service would refuse it each time; the user must not be told to come back.
            problem = 400, "the job's description is too long"
        if problem is not None:
            status, reason = problem
            # Only a read can tell that this is not a repeat of a job that another node has just accepted.
            if not self._store.sync():
                return refusal(503, "the state service does not answer")
            if key in self._store.mirror:
                return self._state(spec.id)
            self.log.info("refused %s: %s", spec.id, reason)
            return refusal(status, reason)
        sent_us = self._clock.now_us()
        try:
            revision = self._store.txn([Guard(key, 0)], [Put(key, value), *more], patience_s=PATIENCE_S)
        except Conflict:
            return self._state(spec.id)
        except Throttled:
            self.log.info("could not accept %s now: too many changes at once", spec.id)
            return refusal(503, "too many changes at once")
        except (Unavailable, NoLease) as error:
            self.log.info("could not accept %s now: %s", spec.id, error)
            return refusal(503, "the state service does not answer")
        self.log.info("accepted %s of %s: %s of %d", spec.id, spec.team, spec.shape, spec.tasks)
        self._metrics.job("accepted", spec.job_class, spec.team)
        if self._clock.now_us() - sent_us > PROMPT_US or self._store.stamp_of(key) > revision:
            # Others read it while our answer was under way: a user who was told of its end by one of them was then
            # told here that it is pending.
            return self._state(spec.id)
        return Reply(201, JobStatus(spec.id, wire.PENDING))

    def known_ref(self, body: bytes) -> Reply | None:
        """A repeated `ref` gets the job's state whatever its body says."""
        try:
            raw = msgspec.json.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return None
        ref = raw.get("ref") if isinstance(raw, dict) else None
        if not isinstance(ref, str) or not wire.JOB_ID.fullmatch(ref):
            return None
        if self._store.mirror.get(keys.job_key(ref)) is None:
            if not self._store.sync():
                return refusal(503, "the state service does not answer")
            if self._store.mirror.get(keys.job_key(ref)) is None:
                return None
        return self._state(ref)

    def _cannot_run(self, spec: JobSpec) -> tuple[int, str] | None:
        team = self._teams.get(spec.team)
        if team is None:
            return 422, f"unknown team {spec.team}"
        at_once = 1 if spec.shape == wire.BATCH else spec.tasks
        for name, need, limit in (("CPUs", spec.cpus, team.cpus_max), ("GPUs", spec.gpus, team.gpus_max)):
            if limit and need * at_once > limit + 1e-9:
                return 422, f"the job needs {need * at_once:g} {name}, team {team.name} may use {limit:g}"
        types = self._known_types()
        if not types:
            return 503, "the machine types are not known yet"
        fitting = [
            t
            for t in types
            if (spec.types is None or t.name in spec.types)
            and (spec.zone is None or spec.zone in t.zones)
            and t.cpus + 1e-9 >= spec.cpus
            and t.gpus + 1e-9 >= spec.gpus
            and t.ram_gb + 1e-9 >= spec.ram_gb
        ]
        return None if fitting else (422, "a task fits no allowed machine type")

    def _cannot_wait(self, spec: JobSpec) -> tuple[int, str] | None:
        """Can what the job waits for not be promised, or never come?

        No guard is needed on those that it names: one that ends while this job is accepted is read by
        the leader, which sees this job's record only after that of every job it names.
        """
        if not spec.conditional:
            return None
        if not self._conditions:
            return 422, "hold, not_before, after, at_once and limit_s are not switched on here (jobs.conditions)"
        after = spec.after or []
        for fresh in (False, True):
            missing = [one.job for one in after if keys.job_key(one.job) not in self._store.mirror]
            if missing and not fresh and not self._store.sync():
                return 503, "the state service does not answer"
        if missing:
            return 422, f"it is to start after {missing[0]}, and there is no such job"
        for one in after:
            reason = unsatisfiable_reason(one, self._store.mirror[keys.job_key(one.job)].value)
            if reason:
                return 422, reason
        return None

    def _known_types(self) -> list[MachineType]:
        stored = self._store.mirror.get(keys.TYPES)
        if stored is not None and stored.value is not self._types_value:
            self._types_value = stored.value
            self._types = msgspec.convert(stored.value, list[MachineType])
        return self._types

    # ---------------------------------------------------------------- GET and abort

    def poll(self, job_id: str) -> Reply:
        """The job's state; 404 only after a read that was sent after the question came."""
        if not wire.JOB_ID.fullmatch(job_id):
            return refusal(404, "no such job")
        return self._state(job_id)

    def _state(self, job_id: str) -> Reply:
        key = keys.job_key(job_id)
        stored = self._store.mirror.get(key)
        if stored is None or stored.value["st"] == OPEN:
            # Another node may know more: a non-final answer needs a fresh read. Final ones stay.
            if not self._store.sync():
                return refusal(503, "the state service does not answer")
            stored = self._store.mirror.get(key)
        if stored is None:
            return refusal(404, "no such job")
        value = stored.value
        if value["st"] == JOB_DONE:
            return Reply(200, JobStatus(job_id, wire.DONE, value["n"], 0))
        if value["st"] == JOB_CANCELLED:
            return Reply(200, JobStatus(job_id, wire.CANCELLED, 0, 0, why=value.get("why")))
        done, running = self._count(job_id, value["spec"]["pieces"])
        status = wire.RUNNING if running else wire.PENDING
        self.log.debug("told %s %s, %d done: %s", job_id, status, done, self._store.describe_last_read())
        return Reply(200, JobStatus(job_id, status, done, running, held=holder(value) or None))

    def _count(self, job_id: str, tasks: int) -> tuple[int, int]:
        done = running = 0
        for number in range(-(-tasks // CHUNK_TASKS)):
            record = self._store.tasks_of(job_id, number)
            if record is not None:
                done += int(record.get("d", "0"), 16).bit_count()
                running += len(record.get("a", ()))
        return done, running

    def cancel(self, job_id: str) -> Reply:
        """Cancel; told to the user only when no start can be committed any more."""

        def cancelled(value: dict[str, Any]) -> dict[str, Any]:
            # Whoever waits for the job's begin must know later whether there was one.
            begun = {"b": 1} if self._store.tasks_of(job_id, 0) is not None else {}
            return {**value, "st": JOB_CANCELLED, **begun}

        reply = self._change(job_id, cancelled, "cancelled") or Reply(200, JobStatus(job_id, wire.CANCELLED))
        if reply.status == 200 and reply.body.status == wire.CANCELLED:
            # A repeat too: the first try may have been carried out and only its answer lost, or another node that
            # told its user may have ended before it could call anybody.
            self.on_cancelled(job_id)
        return reply

    def hold(self, job_id: str, action: str, body: bytes) -> Reply:
        """Hold a job or let it go on. Told to the user only when no start can be committed any more.

        What was committed by then goes on: a hold stops nothing, it lets nothing more start.
        """
        if not self._conditions:
            return refusal(422, "holds are not switched on here (jobs.conditions)")
        by = ""
        if action == "hold":
            try:
                by = msgspec.json.decode(body or b"{}", type=HoldRequest).by
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
                return refusal(400, str(error))
            if not 0 < len(by) <= wire.MAX_NAME or not by.isprintable():
                return refusal(400, f"by must be 1 to {wire.MAX_NAME} printable characters")
        told = "held" if by else "released"
        return self._changed(job_id, lambda value: held_value(value, by), told)

    def shrink(self, job_id: str, body: bytes) -> Reply:
        """Let a service have fewer replicas, the first ones; the others are stopped, and freed by proof."""
        if not self._conditions:
            return refusal(422, "services are not made smaller here (jobs.conditions)")
        try:
            tasks: int = msgspec.json.decode(body, type=ShrinkRequest).tasks
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return refusal(400, str(error))
        stored = self._store.mirror.get(keys.job_key(job_id))
        if stored is not None and stored.value["st"] == OPEN and stored.value["spec"]["shape"] != wire.SERVICE:
            return refusal(409, f"{job_id} is no service")
        return self._changed(
            job_id,
            lambda value: shrunk_value(value, tasks) if value["spec"]["shape"] == wire.SERVICE else value,
            f"made smaller ({tasks})",
        )

    def _changed(self, job_id: str, change: Callable[[dict[str, Any]], dict[str, Any]], told: str) -> Reply:
        """The answer to a change that only an open job can have."""
        reply = self._change(job_id, change, told)
        if reply is None:
            return self._state(job_id)
        if reply.status == 200:
            return refusal(409, f"{job_id} is {reply.body.status} already")
        return reply

    def _change(self, job_id: str, change: Callable[[dict[str, Any]], dict[str, Any]], told: str) -> Reply | None:
        """Change an open job's record; its final state or a refusal, and None if the change is through."""
        if not wire.JOB_ID.fullmatch(job_id):
            return refusal(404, "no such job")
        key = keys.job_key(job_id)
        for _ in range(4):
            stored = self._store.mirror.get(key)
            if stored is None or stored.value["st"] == OPEN:
                if not self._store.sync():
                    return refusal(503, "the state service does not answer")
                stored = self._store.mirror.get(key)
            if stored is None:
                return refusal(404, "no such job")
            if stored.value["st"] == JOB_DONE:
                return Reply(200, JobStatus(job_id, wire.DONE))
            if stored.value["st"] == JOB_CANCELLED:
                return Reply(200, JobStatus(job_id, wire.CANCELLED))
            changed = change(stored.value)
            if changed == stored.value:
                return None
            try:
                self._store.txn([Guard(key, stored.stamp)], [Put(key, changed)], patience_s=PATIENCE_S)
            except Conflict:
                continue
            except (Unavailable, NoLease):
                break
            self.log.info("%s %s for its user", told, job_id)
            return None
        return refusal(503, "the state service does not answer")
