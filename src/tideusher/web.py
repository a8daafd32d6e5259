"""The HTTP server of a node: routes requests of users, operators, workers and health checks."""

from collections.abc import Callable, Iterable
from typing import Any

import gevent
import msgspec

from tideusher.actors.connections import Connections, CountedServer
from tideusher.actors.gateway import Gateway
from tideusher.actors.handler import HANDLER, leave_unread
from tideusher.actors.peers import Peers
from tideusher.actors.questions import QueryService
from tideusher.actors.replies import Reply, refusal, retry_later
from tideusher.actors.users import Users
from tideusher.config import split_address
from tideusher.wire.jobs import MAX_BODY
from tideusher.wire.workers import MAX_LINE_BYTES

STATUS_LINES = {
    200: "200 OK",
    201: "201 Created",
    400: "400 Bad Request",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    409: "409 Conflict",
    421: "421 Misdirected Request",
    422: "422 Unprocessable Content",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
}

#: Maximum of concurrent requests of users. Reports and health checks do not count, and are never refused for it.
MAX_USER_REQUESTS = 256

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


#: A larger body is read only if there is memory for it; reports and submissions are rarely larger.
SMALL_BODY_BYTES = 4 * 1024
#: Memory for larger bodies that are read or answered at a time.
MAX_BODY_BYTES = 8 * 1024 * 1024
CLOSE = ("Connection", "close")


class UnreadableBody(Exception):
    """The body cannot be read to its end: it is too large, its framing is broken, or the client disconnected."""


class Web:
    """The WSGI application of a node."""

    def __init__(
        self,
        bind: str,
        users: Users,
        gateway: Gateway,
        questions: QueryService,
        peers: Peers,
        metrics: Callable[[], bytes],
        in_contact: Callable[[], bool],
        healthy: Callable[[], bool],
        connections: Connections,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._users, self._gateway, self._query_service, self._peers = users, gateway, questions, peers
        self._metrics, self._in_contact, self._healthy = metrics, in_contact, healthy
        self._user_requests = 0
        self._body_bytes, self._max_body_bytes = 0, max_body_bytes
        self._connections = connections
        self._server = CountedServer(split_address(bind), self, connections)

    def start(self) -> None:
        """Starts to accept connections."""
        self._server.start()
        gevent.spawn(self._connections.watch)

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        try:
            reply = self._route("GET" if method == "HEAD" else method, path, environ)
        except UnreadableBody as error:
            # Not an error of this node: treated as one, it got a 503, for which clients retry with the same body,
            # and each client that disconnected left a traceback in the log.
            self._users.log.debug("%s %s: %s", method, path, error)
            reply = Reply(400, {"error": str(error)}, [CLOSE])
        except Exception:
            self._users.log.exception("%s %s failed", method, path)
            reply = refusal(503, "internal error of this node")
        headers = [*reply.headers, CLOSE] if leave_unread(environ.get("wsgi.input")) else reply.headers
        body = _with_short_lines(reply.body if isinstance(reply.body, bytes) else msgspec.json.encode(reply.body))
        start_response(
            STATUS_LINES[reply.status],
            [("Content-Type", "application/json"), ("Content-Length", str(len(body))), *headers],
        )
        return [] if method == "HEAD" else [body]

    def _route(self, method: str, path: str, environ: dict[str, Any]) -> Reply:
        if path == "/checkin":
            if method != "POST":
                return refusal(405, "POST only")
            return self._serve_body(environ, self._answer_report)
        if path == "/healthz":
            return Reply(200, b"{}") if self._healthy() else refusal(503, "this node cannot take requests")
        if path in ("/work", "/pbs") or path.startswith("/work/"):
            return self._serve_body(environ, lambda body: self._serve_user(method, path, body))
        if path in ("/teams", "/machines", "/falls", "/metrics") or path.startswith("/why/"):
            if method != "GET":
                return refusal(405, "GET only")
            if path == "/metrics":
                return Reply(200, self._metrics())
            if path.startswith("/why/"):
                return self._query_service.answer("why", path[len("/why/") :])
            return self._query_service.answer(path[1:])
        return refusal(404, "no such path")

    def _serve_body(self, environ: dict[str, Any], answer: Callable[[bytes], Reply]) -> Reply:
        """Reads the body within its bounds and answers the request."""
        size = _announced_bytes(environ)
        if size > MAX_BODY:
            raise UnreadableBody("the body is over 64 KiB")
        kept_bytes = size if size > SMALL_BODY_BYTES else 0
        if self._body_bytes + kept_bytes > self._max_body_bytes:
            return refusal(503, "too many large requests at once")
        self._body_bytes += kept_bytes
        try:
            return answer(_read(environ))
        finally:
            self._body_bytes -= kept_bytes

    def _answer_report(self, body: bytes) -> Reply:
        answer = self._gateway.handle(body)
        return Reply(answer.status, answer.body)

    def _serve_user(self, method: str, path: str, body: bytes) -> Reply:
        if self._user_requests >= MAX_USER_REQUESTS:
            return refusal(503, "too many requests at once")
        self._user_requests += 1
        try:
            return self._answer_user(method, path, body)
        finally:
            self._user_requests -= 1

    def _answer_user(self, method: str, path: str, body: bytes) -> Reply:
        out_of_contact = not self._in_contact()
        forwarded = self._forward_to_peer(method, path, body) if out_of_contact else None
        if forwarded is not None:
            return forwarded
        reply = self._users.handle(method, path, body)
        if reply.status != 503 or out_of_contact:  # peers that had no answer just now are not asked again
            return reply
        return self._forward_to_peer(method, path, body) or reply

    def _forward_to_peer(self, method: str, path: str, body: bytes) -> Reply | None:
        """Forwards a request that we cannot answer to a peer that reaches the state service; None if none answers."""
        try:
            answer = self._peers.forward_request(method, path, body.decode())
        except UnicodeDecodeError:
            return None
        if answer is None or answer.status not in STATUS_LINES:
            return None
        return Reply(answer.status, bytes(answer.body), retry_later(answer.status))


def _with_short_lines(body: bytes) -> bytes:
    """Returns a JSON body that is too long for one line with a line for each value."""
    if len(body) <= MAX_LINE_BYTES or body[:1] not in (b"{", b"["):
        return body
    return msgspec.json.format(body, indent=1)


def _announced_bytes(environ: dict[str, Any]) -> int:
    """Returns how large the body may be: as its head says, or the limit if it comes in chunks."""
    if environ.get("HTTP_TRANSFER_ENCODING"):
        return MAX_BODY
    return int(environ.get("CONTENT_LENGTH") or 0)


def _read(environ: dict[str, Any]) -> bytes:
    """Reads the body; raises UnreadableBody, also if it is over the limit."""
    try:
        body: bytes = environ["wsgi.input"].read(MAX_BODY + 1)
    except OSError as error:
        raise UnreadableBody(f"the body cannot be read: {error}") from None
    if len(body) > MAX_BODY:
        raise UnreadableBody("the body is over 64 KiB")
    handler = environ.get(HANDLER)
    if handler is not None:
        handler.has_arrived = True
    return body
