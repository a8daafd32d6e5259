"""A client of the service, for programs and the command line. Needs the wire package only, not the controller."""

import http.client
from typing import TYPE_CHECKING, Any

import msgspec

from tideusher.wire.jobs import JobSpec, JobStatus
from tideusher.wire.scripts import ScriptAccepted, ScriptRequest, StoredScript

if TYPE_CHECKING:
    from tideusher.pbs import Profile
    from tideusher.pbs.translate import RunSettings


class ServiceError(Exception):
    """The service rejected the request or could not be reached; the message is one line for users."""

    def __init__(self, reason: str, status: int | None = None) -> None:
        super().__init__(reason)
        self.status = status


class Client:
    """A client of one node. All methods raise ServiceError."""

    def __init__(self, node: str, timeout_s: float = 5.0) -> None:
        host, _, port = node.rpartition(":")
        if not host or not port.isdigit():
            raise ServiceError(f"{node!r} is not host:port")
        self._host, self._port, self._timeout_s = host, int(port), timeout_s

    def submit(self, spec: JobSpec | bytes) -> JobStatus:
        """Submits a job and returns its state."""
        body = spec if isinstance(spec, bytes) else msgspec.json.encode(spec)
        return msgspec.json.decode(self._call("POST", "/work", body), type=JobStatus)

    def status(self, job: str) -> JobStatus:
        """Returns the job's state."""
        return msgspec.json.decode(self._call("GET", f"/work/{job}"), type=JobStatus)

    def cancel(self, job: str) -> JobStatus:
        """Cancels the job and returns its final state."""
        return msgspec.json.decode(self._call("POST", f"/work/{job}/abort"), type=JobStatus)

    def hold(self, job: str, by: str | None = None) -> JobStatus:
        """Holds the job: no further task starts until it is released; running tasks continue."""
        body = msgspec.json.encode({"by": by} if by else {})
        return msgspec.json.decode(self._call("POST", f"/work/{job}/hold", body), type=JobStatus)

    def release(self, job: str) -> JobStatus:
        """Releases a held job."""
        return msgspec.json.decode(self._call("POST", f"/work/{job}/release", b"{}"), type=JobStatus)

    def shrink(self, job: str, tasks: int) -> JobStatus:
        """Reduces a service to `tasks` replicas (at least 1); those with the lowest indexes are kept."""
        body = msgspec.json.encode({"pieces": tasks})
        return msgspec.json.decode(self._call("POST", f"/work/{job}/shrink", body), type=JobStatus)

    def submit_script(self, request: ScriptRequest) -> ScriptAccepted:
        """Submits a PBS script; if the ref is already known, returns the state of that job."""
        from tideusher.pbs.ids import pbs_id

        response: dict[str, Any] = msgspec.json.decode(
            self._call("POST", "/pbs", msgspec.json.encode(request)), type=dict
        )
        return msgspec.convert({"id": pbs_id(request.ref), **response}, ScriptAccepted)

    def profile(self) -> "Profile":
        """Returns the profile by which the service translates PBS scripts."""
        from tideusher.pbs import Profile

        return msgspec.json.decode(self._call("GET", "/pbs"), type=Profile)

    def script(self, job: str) -> "tuple[RunSettings, bytes]":
        """Returns how to run the job's script, and its text as it was submitted."""
        from tideusher.pbs.storage import Damaged, unpack

        stored: StoredScript = msgspec.json.decode(self._call("GET", f"/work/{job}/script"), type=StoredScript)
        try:
            return unpack([{"z": stored.packed}])
        except Damaged as error:
            raise ServiceError(f"the script of {job}: {error}") from None

    def explain(self, job: str) -> dict[str, Any]:
        """Returns why the job waits and why its tasks were stopped."""
        return msgspec.json.decode(self._call("GET", f"/why/{job}"))

    def teams(self) -> list[dict[str, Any]]:
        """Returns the teams with their ratios, charges and guarantees."""
        return msgspec.json.decode(self._call("GET", "/teams"))

    def machines(self) -> list[dict[str, Any]]:
        """Returns the machines of the fleet."""
        return msgspec.json.decode(self._call("GET", "/machines"))

    def falls(self) -> list[dict[str, Any]]:
        """Returns the recorded mass failures of machines, newest first."""
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
