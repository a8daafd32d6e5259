"""A client of the service, for programs and the command line. Needs the wire package, not the daemon."""

import http.client
from typing import TYPE_CHECKING, Any

import msgspec

from tideusher.wire.jobs import JobSpec, JobStatus
from tideusher.wire.scripts import ScriptAccepted, ScriptRequest, StoredScript

if TYPE_CHECKING:
    from tideusher.pbs import Profile
    from tideusher.pbs.translate import Run


class ServiceError(Exception):
    """The service refused or could not be reached; the text is one line for people."""

    def __init__(self, reason: str, status: int | None = None) -> None:
        super().__init__(reason)
        self.status = status


class Client:
    """Calls to one node."""

    def __init__(self, node: str, timeout_s: float = 5.0) -> None:
        host, _, port = node.rpartition(":")
        if not host or not port.isdigit():
            raise ServiceError(f"{node!r} is not host:port")
        self._host, self._port, self._timeout_s = host, int(port), timeout_s

    def submit(self, spec: JobSpec | bytes) -> JobStatus:
        """Submit a job; returns its state."""
        body = spec if isinstance(spec, bytes) else msgspec.json.encode(spec)
        return msgspec.json.decode(self._call("POST", "/work", body), type=JobStatus)

    def status(self, job: str) -> JobStatus:
        """The job's state."""
        return msgspec.json.decode(self._call("GET", f"/work/{job}"), type=JobStatus)

    def cancel(self, job: str) -> JobStatus:
        """Cancel the job; returns its final state."""
        return msgspec.json.decode(self._call("POST", f"/work/{job}/abort"), type=JobStatus)

    def hold(self, job: str, by: str | None = None) -> JobStatus:
        """Let nothing more of the job start until it is released; what runs goes on."""
        body = msgspec.json.encode({"by": by} if by else {})
        return msgspec.json.decode(self._call("POST", f"/work/{job}/hold", body), type=JobStatus)

    def release(self, job: str) -> JobStatus:
        """Let a held job go on."""
        return msgspec.json.decode(self._call("POST", f"/work/{job}/release", b"{}"), type=JobStatus)

    def shrink(self, job: str, tasks: int) -> JobStatus:
        """Let a service have fewer replicas (at least 1): the first ones stay."""
        body = msgspec.json.encode({"pieces": tasks})
        return msgspec.json.decode(self._call("POST", f"/work/{job}/shrink", body), type=JobStatus)

    def submit_script(self, request: ScriptRequest) -> ScriptAccepted:
        """Submit a PBS script; one that is known by its ref already gives that job's state."""
        from tideusher.pbs.ids import pbs_id

        taken: dict[str, Any] = msgspec.json.decode(
            self._call("POST", "/pbs", msgspec.json.encode(request)), type=dict
        )
        return msgspec.convert({"id": pbs_id(request.ref), **taken}, ScriptAccepted)

    def profile(self) -> "Profile":
        """What the service adds to PBS scripts."""
        from tideusher.pbs import Profile

        return msgspec.json.decode(self._call("GET", "/pbs"), type=Profile)

    def script(self, job: str) -> "tuple[Run, bytes]":
        """How to run the job's script, and its text as it was submitted."""
        from tideusher.pbs.storage import Damaged, unpack

        kept: StoredScript = msgspec.json.decode(self._call("GET", f"/work/{job}/script"), type=StoredScript)
        try:
            return unpack([{"z": kept.packed}])
        except Damaged as error:
            raise ServiceError(f"the script of {job}: {error}") from None

    def explain(self, job: str) -> dict[str, Any]:
        """Why the job waits, and why its tasks were stopped."""
        return msgspec.json.decode(self._call("GET", f"/why/{job}"))

    def teams(self) -> list[dict[str, Any]]:
        """Ratios, charges and guarantees."""
        return msgspec.json.decode(self._call("GET", "/teams"))

    def machines(self) -> list[dict[str, Any]]:
        """The fleet."""
        return msgspec.json.decode(self._call("GET", "/machines"))

    def falls(self) -> list[dict[str, Any]]:
        """Falls of many machines on record, the newest first."""
        return msgspec.json.decode(self._call("GET", "/falls"))

    def _call(self, method: str, path: str, body: bytes | None = None) -> bytes:
        connection = http.client.HTTPConnection(self._host, self._port, timeout=self._timeout_s)
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise ServiceError(f"cannot reach {self._host}:{self._port}: {error}") from None
        finally:
            connection.close()
        if response.status in (200, 201):
            return data
        try:
            reason = msgspec.json.decode(data).get("error", "")
        except (msgspec.DecodeError, AttributeError):
            reason = ""
        raise ServiceError(reason or f"the node answered {response.status}", response.status)
