"""PBS scripts sent to a node: translated by its profile, then accepted like any job (docs/pbs.md).

Imported with the first script; a node without scripts never loads this module or its dependencies.
"""

import logging
from collections.abc import Callable, Sequence
from datetime import UTC, datetime, timedelta, timezone
from typing import TYPE_CHECKING, Protocol

import msgspec

from tideusher.actors.replies import Reply, refusal
from tideusher.actors.store import WRITE_BURST_SHARE, Store, Unavailable
from tideusher.clock import Clock, to_s
from tideusher.config import Config
from tideusher.core.model import keys
from tideusher.pbs import Refusal, read_script, translate
from tideusher.pbs.ids import pbs_id
from tideusher.pbs.storage import Damaged, ScriptTooLarge, decompress_text, pack
from tideusher.wire import jobs as wire
from tideusher.wire import state
from tideusher.wire.scripts import ScriptAccepted, ScriptRequest, StoredScript
from tideusher.wire.state import Put

if TYPE_CHECKING:
    from tideusher.pbs import Profile

MAX_UTC_OFFSET_S = 86_399
_decode: Callable[[bytes], ScriptRequest] = msgspec.json.Decoder(ScriptRequest).decode


class JobAcceptance(Protocol):
    """The methods of `Users` that scripts need."""

    log: logging.Logger

    def accept(self, spec: wire.JobSpec, more: Sequence[state.Write] = ()) -> Reply:
        """Accepts a job; `more` holds further writes for the same transaction."""

    def poll(self, job_id: str) -> Reply:
        """Returns the job's state."""

    def known_ref(self, body: bytes) -> Reply | None:
        """Returns the state of the job that the body names, if it is known."""


class Scripts:
    """Translates scripts by the profile; jobs are accepted by `Users`, so scripts have no rules of their own."""

    def __init__(self, config: Config, clock: Clock, store: Store, users: JobAcceptance, profile: "Profile") -> None:
        self._clock, self._store, self._users, self._profile = clock, store, users, profile
        self._max_value_bytes = int(config.settings.state.value_kb * 1024)
        # One write is the job's own record. A script may not need more writes than a node's burst: the transaction
        # would never fit the budget within the time for which users wait, and the script would be refused for ever.
        limits = config.settings.state
        self._max_values = max(1, min(limits.txn_ops, int(limits.write_rps * WRITE_BURST_SHARE)) - 1)

    def profile(self) -> Reply:
        """Returns the profile, for clients that translate scripts before they submit them."""
        return Reply(200, self._profile)

    def submit(self, body: bytes) -> Reply:
        """Translates and accepts a script. One accepted before gets its job's state, whatever it holds now."""
        try:
            request = _decode(body)
            if not wire.JOB_ID.fullmatch(request.ref):
                raise msgspec.ValidationError("ref must look like req-000412")
            if (request.script is None) == (request.packed is None):
                raise msgspec.ValidationError("exactly one of script and packed must hold the script")
            if abs(request.utc_offset_s) > MAX_UTC_OFFSET_S:
                raise msgspec.ValidationError("utc_offset_s is more than a day")
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return self._users.known_ref(body) or refusal(400, str(error) or "it is nested too deeply")
        if self._store.mirror.get(keys.job_key(request.ref)) is not None:
            return self._users.poll(request.ref)
        try:
            text = request.script.encode() if request.script is not None else decompress_text(request.packed or "")
            zone = timezone(timedelta(seconds=request.utc_offset_s)) if request.utc_offset_s else UTC
            now = datetime.fromtimestamp(to_s(self._clock.wall_us()), zone)
            script = read_script(text, request.file, request.options)
            submission = translate(script, self._profile, request.ref, now, request.environment)
            values = pack(submission.run, text, self._max_value_bytes, self._max_values)
        except (Refusal, ScriptTooLarge, Damaged, UnicodeEncodeError) as error:
            reason = f"{request.file}:0: {error}" if not isinstance(error, Refusal) else str(error)
            self._users.log.info("script refused: %s", reason)
            return self._users.known_ref(body) or refusal(400, reason)
        spec = submission.spec
        parts = [Put(keys.script_key(spec.id, number), value) for number, value in enumerate(values)]
        reply = self._users.accept(spec, parts)
        if reply.status == 201:
            name = pbs_id(spec.id, array=spec.array is not None)
            reply = Reply(201, ScriptAccepted(spec.id, wire.PENDING, name, submission.waived, submission.notes))
        return reply

    def fetch(self, job_id: str) -> Reply:
        """Returns the script of a job, for whoever runs its tasks."""
        try:
            status, answer = self._store.call("GET", f"/keys?under={keys.script_prefix(job_id)}&most=1000")
        except Unavailable:
            return refusal(503, "the state service does not answer")
        items = state.decode_items(answer).items if status == 200 else []
        if not items:
            return refusal(404, "no script is kept for this job")
        items.sort(key=lambda item: keys.script_number(item.key))
        return Reply(200, StoredScript(job_id, "".join(item.value["z"] for item in items)))
