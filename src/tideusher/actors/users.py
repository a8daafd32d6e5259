"""The user API: submissions, polls and cancellations, answered by any node (docs/safety.md, 7)."""

import logging
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Annotated, Any

import msgspec

from tideusher.actors.admission import Admission, NotKnownYet
from tideusher.actors.confirmations import Confirmations, PromiseRequest
from tideusher.actors.replies import Reply, refusal
from tideusher.actors.store import Conflict, LeaseExpired, Store, Throttled, Unavailable
from tideusher.clock import Clock, to_us
from tideusher.config import Config
from tideusher.core.decide.admission import JobRefusal, RefusalKind
from tideusher.core.model import keys
from tideusher.core.model.job_record import (
    accepted_value,
    cancelled_value,
    held_value,
    holder,
    reserved_size,
    short_text,
    shortened,
    shrunk_value,
    without_extras,
)
from tideusher.core.model.records import CHUNK_TASKS, JOB_CANCELLED, JOB_DONE, OPEN
from tideusher.metrics import Metrics
from tideusher.wire import jobs as wire
from tideusher.wire.jobs import InvalidJob, JobSpec, JobStatus
from tideusher.wire.state import Guard, Put, Write
from tideusher.wire.submissions import parse_submission

if TYPE_CHECKING:
    from tideusher.actors.scripts import Scripts
    from tideusher.pbs.profile import Profile

#: A request that would wait longer for the write budget is refused at once, with a Retry-After.
MAX_BUDGET_WAIT_S = 2.0
#: Why a cancellation that is stored is not told yet.
UNCONFIRMED = "its cancellation is stored and cannot be confirmed yet"
#: Characters of a user's value in a log line.
MAX_SHOWN = 80
#: After a slower acceptance the job's state is read again: other nodes read it at once, and users act on it.
PROMPT_ACCEPTANCE_US = to_us(0.1)


class HoldRequest(msgspec.Struct):
    """The body of a hold request; it may be empty."""

    by: str = "its user"


class ShrinkRequest(msgspec.Struct):
    """The body of a request to reduce the replicas of a service."""

    tasks: Annotated[int, msgspec.Meta(ge=1)] = msgspec.field(name="pieces")


class Users:
    """Handles requests of users. Keeps no state but the mirror: every change is a guarded transaction."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        store: Store,
        conditions: bool = False,
        profile: "Profile | None" = None,
        metrics: Metrics | None = None,
        confirmations: Confirmations | None = None,
    ) -> None:
        """Without `confirmations` a cancellation is told as soon as it is stored."""
        self.log = logging.getLogger("users")
        self._config, self._profile, self._metrics = config, profile, metrics or Metrics()
        self._scripts: Scripts | None = None
        self._conditions = conditions  # are jobs with conditions accepted (`jobs.conditions`)?
        self._clock, self._store, self._confirmations = clock, store, confirmations
        #: Called with the name of each job that was cancelled here.
        self.on_cancelled: Callable[[str], None] = lambda job_id: None
        self._max_value_bytes = int(config.settings.state.value_kb * 1024)
        self._teams = {team.name: team for team in config.settings.teams}
        self._admission = Admission(config.settings.teams, store, conditions)

    def handle(self, method: str, path: str, body: bytes) -> Reply:
        """Routes a request on jobs by its path and method."""
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
            from tideusher.actors.scripts import Scripts  # imported with the first script, not at each start

            self._scripts = Scripts(self._config, self._clock, self._store, self, self._profile)
        return self._scripts

    def _script_request(self, method: str, body: bytes) -> Reply:
        scripts = self._script_service()
        if scripts is None:
            return refusal(404, "PBS scripts are not accepted here (no pbs.* settings)")
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
        """Accepts a job once it is in the state service, never before."""
        try:
            submission = parse_submission(body, self._conditions)
        except InvalidJob as error:
            return self.known_ref(body) or self._refuse_malformed(body, error)
        reply = self.accept(submission.spec)
        if submission.ignored and reply.status == 201:
            self.log.info("%s has fields that are ignored: %s", submission.spec.id, ", ".join(submission.ignored))
            reply.body.ignored = list(submission.ignored)
        return reply

    def accept(self, spec: JobSpec, more: Sequence[Write] = ()) -> Reply:
        """Accepts a well-formed job; `more` holds further writes for the same transaction."""
        key = keys.job_key(spec.id)
        if self._store.mirror.get(key) is not None:
            return self._state(spec.id)
        job_class = short_text(spec.job_class)
        self._metrics.count_job("asked", job_class, spec.team if spec.team in self._teams else "unknown")
        try:
            never = self._admission.refusal_of(spec)
        except NotKnownYet as error:
            return self._state_of_repeat(spec.id) or refusal(503, str(error))
        value = accepted_value(spec, self._clock.wall_us())
        if never is None and reserved_size(value) > self._max_value_bytes:
            value = accepted_value(shortened(spec, self._admission.fitting_types(spec)), self._clock.wall_us())
        if never is None and reserved_size(value) > self._max_value_bytes:
            # The state service would refuse it, or its cancellation, every time: the user must not be told to retry.
            never = JobRefusal(RefusalKind.TOO_LONG, "the job's description is too long")
        if never is not None:
            return self._refuse(spec.id, never)
        sent_us = self._clock.now_us()
        try:
            revision = self._store.txn([Guard(key, 0)], [Put(key, value), *more], patience_s=MAX_BUDGET_WAIT_S)
        except Conflict:
            return self._state(spec.id)
        except Throttled:
            self.log.info("could not accept %s now: too many changes at once", spec.id)
            return refusal(503, "too many changes at once")
        except (Unavailable, LeaseExpired) as error:
            self.log.info("could not accept %s now: %s", spec.id, error)
            return refusal(503, "the state service does not answer")
        self.log.info("accepted %s of %s: %s of %d", spec.id, spec.team, spec.shape, spec.tasks)
        self._metrics.count_job("accepted", job_class, spec.team)
        if self._clock.now_us() - sent_us > PROMPT_ACCEPTANCE_US or self._store.stamp_of(key) > revision:
            # Other nodes may have read the job before our answer came. Without the new read a user who had learned
            # from one of them that it ended was then told here that it is pending.
            return self._state(spec.id)
        return Reply(201, JobStatus(spec.id, wire.PENDING))

    def known_ref(self, body: bytes) -> Reply | None:
        """Returns the job's state if the body's `ref` is known, whatever else it holds; None if it is not."""
        ref = _decoded_object(body).get("ref")
        if not isinstance(ref, str) or not wire.JOB_ID.fullmatch(ref):
            return None
        return self._state(ref) if keys.job_key(ref) in self._store.mirror else self._state_of_repeat(ref)

    def _refuse_malformed(self, body: bytes, error: InvalidJob) -> Reply:
        """Refuses a malformed submission; the log names job, field and value."""
        fields = _decoded_object(body)
        kind = RefusalKind.FIELD if error.field else RefusalKind.NO_JSON
        self._metrics.count("submissions_refused", RefusalKind.TOO_LONG if len(body) > wire.MAX_BODY else kind)
        job, value = _shown(fields.get("ref")), _shown(fields.get(error.field))
        self.log.info("submission refused: %s; job %s, %s is %s", error, job, error.field or "nothing", value)
        return refusal(400, str(error))

    def _refuse(self, job_id: str, never: JobRefusal) -> Reply:
        """Refuses a job that can never run, unless it is known."""
        repeat = self._state_of_repeat(job_id)
        if repeat is not None:
            return repeat
        self._metrics.count("submissions_refused", never.kind)
        self.log.info("refused %s: %s", job_id, never.reason)
        return refusal(400 if never.kind == RefusalKind.TOO_LONG else 422, never.reason)

    def _state_of_repeat(self, job_id: str) -> Reply | None:
        """Returns the job's state if it is known; only a read shows that another node has not just accepted it."""
        if not self._store.sync():
            return refusal(503, "the state service does not answer")
        return self._state(job_id) if keys.job_key(job_id) in self._store.mirror else None

    # ---------------------------------------------------------------- GET and abort

    def poll(self, job_id: str) -> Reply:
        """Returns the job's state; 404 only after a read that was sent after the request came."""
        if not wire.JOB_ID.fullmatch(job_id):
            return refusal(404, "no such job")
        return self._state(job_id)

    def _state(self, job_id: str) -> Reply:
        key = keys.job_key(job_id)
        stored = self._store.mirror.get(key)
        if stored is None or stored.value["st"] == OPEN:
            # Another node may have newer state, so a non-final answer needs a fresh read. Final states never change.
            if not self._store.sync():
                return refusal(503, "the state service does not answer")
            stored = self._store.mirror.get(key)
        if stored is None:
            return refusal(404, "no such job")
        value = stored.value
        if value["st"] == JOB_DONE:
            return Reply(200, JobStatus(job_id, wire.DONE, value["n"], 0))
        if value["st"] == JOB_CANCELLED:
            if not self._is_confirmed(job_id):
                return refusal(503, UNCONFIRMED)
            return Reply(200, JobStatus(job_id, wire.CANCELLED, 0, 0, why=value.get("why")))
        done, running = self._count_tasks(job_id, value["spec"]["pieces"])
        status = wire.RUNNING if running else wire.PENDING
        self.log.debug("answered poll of %s: %s, %d done; %s", job_id, status, done, self._store.describe_last_read())
        return Reply(200, JobStatus(job_id, status, done, running, held=holder(value) or None))

    def _is_confirmed(self, job_id: str) -> bool:
        """Waits a short time until users may be told of a cancellation that is stored; False if they may not yet."""
        return self._confirmations is None or self._confirmations.confirmed(job_id)

    def _count_tasks(self, job_id: str, tasks: int) -> tuple[int, int]:
        done = running = 0
        for number in range(-(-tasks // CHUNK_TASKS)):
            record = self._store.tasks_of(job_id, number)
            if record is not None:
                done += int(record.get("d", "0"), 16).bit_count()
                running += len(record.get("a", ()))
        return done, running

    def cancel(self, job_id: str) -> Reply:
        """Cancels a job; confirmed to the user only when no task of it can start any more."""

        def cancelled(value: dict[str, Any]) -> dict[str, Any]:
            # Jobs that wait for this one to start must be able to tell later whether it did.
            changed = cancelled_value(value, begun=self._store.tasks_of(job_id, 0) is not None)
            return changed if self._fits(changed) else without_extras(changed)

        # The leader is asked meanwhile, so that its promise is there when the cancellation is stored.
        request = self._request_promise(job_id)
        changed = self._change_open_job(job_id, cancelled, "cancelled", same_leader=True)
        reply = changed or Reply(200, JobStatus(job_id, wire.CANCELLED))
        if reply.status == 200 and reply.body.status == wire.CANCELLED:
            # Also for a repeated request: the first may have been executed and only its answer lost, or the node
            # that confirmed it may have ended before it could call any worker.
            self.on_cancelled(job_id)
            if self._confirmations is not None and request is not None:
                return reply if self._confirmations.wait(job_id, request) else refusal(503, UNCONFIRMED)
        return reply

    def _fits(self, value: dict[str, Any]) -> bool:
        """True if the state service takes a record of this size."""
        return len(msgspec.json.encode(value)) <= self._max_value_bytes

    def _request_promise(self, job_id: str) -> PromiseRequest | None:
        """Asks the leader to start nothing of a job that is about to be cancelled; None if it can't be cancelled."""
        stored = self._store.mirror.get(keys.job_key(job_id))
        is_done = stored is not None and stored.value["st"] == JOB_DONE
        if self._confirmations is None or is_done or not wire.JOB_ID.fullmatch(job_id):
            return None
        return self._confirmations.request(job_id)

    def hold(self, job_id: str, action: str, body: bytes) -> Reply:
        """Holds or releases a job; a hold is confirmed to the user only when no start can be committed any more.

        Tasks committed before go on: a hold stops nothing, it only prevents further starts.
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
        verb = "held" if by else "released"
        return self._answer_change(job_id, lambda value: held_value(value, by), verb)

    def shrink(self, job_id: str, body: bytes) -> Reply:
        """Reduces a service to its first replicas; the others are stopped, and freed once they are proven gone."""
        if not self._conditions:
            return refusal(422, "services cannot be made smaller here (jobs.conditions)")
        try:
            tasks: int = msgspec.json.decode(body, type=ShrinkRequest).tasks
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return refusal(400, str(error))
        stored = self._store.mirror.get(keys.job_key(job_id))
        if stored is not None and stored.value["st"] == OPEN and stored.value["spec"]["shape"] != wire.SERVICE:
            return refusal(409, f"{job_id} is not a service")
        return self._answer_change(
            job_id,
            lambda value: shrunk_value(value, tasks) if value["spec"]["shape"] == wire.SERVICE else value,
            f"made smaller ({tasks})",
        )

    def _answer_change(self, job_id: str, change: Callable[[dict[str, Any]], dict[str, Any]], verb: str) -> Reply:
        """Answers a change that only an open job can undergo."""
        reply = self._change_open_job(job_id, change, verb)
        if reply is None:
            return self._state(job_id)
        if reply.status == 200 and reply.body.status == wire.CANCELLED and not self._is_confirmed(job_id):
            return refusal(503, UNCONFIRMED)
        if reply.status == 200:
            return refusal(409, f"{job_id} is {reply.body.status} already")
        return reply

    def _change_open_job(
        self, job_id: str, change: Callable[[dict[str, Any]], dict[str, Any]], verb: str, same_leader: bool = False
    ) -> Reply | None:
        """Changes an open job's record; returns its final state or a refusal, or None if the change was committed.

        With `same_leader` it is committed only if the leader on record is the one that this node knows.
        """
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
            if not self._fits(changed):
                return refusal(422, f"the record of {job_id} has no room for that")
            guards = [Guard(key, stored.stamp)]
            if same_leader:
                guards.append(Guard(keys.LEADER, self._store.stamp_of(keys.LEADER)))
            try:
                self._store.txn(guards, [Put(key, changed)], patience_s=MAX_BUDGET_WAIT_S)
            except Conflict:
                continue
            except (Unavailable, LeaseExpired):
                break
            self.log.info("%s %s for its user", verb, job_id)
            return None
        return refusal(503, "the state service does not answer")


def _decoded_object(body: bytes) -> dict[str, Any]:
    """Returns the fields of a body that is a JSON object; none of any other."""
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return {}
    return fields if isinstance(fields, dict) else {}


def _shown(value: Any) -> str:
    """Returns a value of a user's for a log line, cut to a length."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN else text[:MAX_SHOWN] + "..."
