"""The HTTP face of a node: routes requests of users, workers and health checks."""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from gevent.pywsgi import WSGIServer

from tideusher.actors.gateway import Gateway
from tideusher.actors.handler import Handler
from tideusher.actors.peers import Peers
from tideusher.actors.questions import Questions
from tideusher.actors.replies import Reply, refusal, retry_later
from tideusher.actors.users import Users
from tideusher.config import split_address
from tideusher.wire.jobs import MAX_BODY

REASONS = {
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

#: Requests of users that are served at a time. Reports and health checks do not count and are never refused for them.
MAX_USER_REQUESTS = 256

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class BadBody(Exception):
    """A body that cannot be read to its end: broken framing, or a client that hung up in it."""


class Web:
    """A WSGI application. Whatever is asked, it answers at once or as soon as the answer is known."""

    def __init__(
        self,
        bind: str,
        users: Users,
        gateway: Gateway,
        questions: Questions,
        peers: Peers,
        metrics: Callable[[], bytes],
        in_contact: Callable[[], bool],
        healthy: Callable[[], bool],
    ) -> None:
        self._users, self._gateway, self._questions, self._peers = users, gateway, questions, peers
        self._metrics, self._in_contact, self._healthy = metrics, in_contact, healthy
        self._user_requests = 0
        self._server = WSGIServer(split_address(bind), self, log=None, error_log=None, handler_class=Handler)

    def start(self) -> None:
        """Begin to accept connections."""
        self._server.start()

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        try:
            reply = self._route(method, path, environ)
        except BadBody as error:
            # Not an error of this node: as one it had the user told to come back with the same body, and
            # each client that hung up filled the log with a traceback.
            self._users.log.debug("%s %s: %s", method, path, error)
            reply = Reply(400, {"error": str(error)}, [("Connection", "close")])
        except Exception:
            self._users.log.exception("%s %s failed", method, path)
            reply = refusal(503, "an error of this node")
        body = reply.body if isinstance(reply.body, bytes) else msgspec.json.encode(reply.body)
        start_response(
            REASONS[reply.status],
            [("Content-Type", "application/json"), ("Content-Length", str(len(body))), *reply.headers],
        )
        return [body]

    def _route(self, method: str, path: str, environ: dict[str, Any]) -> Reply:
        if path == "/checkin":
            if method != "POST":
                return refusal(405, "POST only")
            answer = self._gateway.handle(_read(environ))
            return Reply(answer.status, answer.body)
        if path == "/healthz":
            return Reply(200, b"{}") if self._healthy() else refusal(503, "this node cannot take requests")
        if path in ("/work", "/pbs") or path.startswith("/work/"):
            if self._user_requests >= MAX_USER_REQUESTS:
                return refusal(503, "too many requests at once")
            self._user_requests += 1
            try:
                return self._for_user(method, path, environ)
            finally:
                self._user_requests -= 1
        if path in ("/teams", "/machines", "/falls", "/metrics") or path.startswith("/why/"):
            if method != "GET":
                return refusal(405, "GET only")
            if path == "/metrics":
                return Reply(200, self._metrics())
            if path.startswith("/why/"):
                return self._questions.answer("why", path[len("/why/") :])
            return self._questions.answer(path[1:])
        return refusal(404, "no such path")

    def _for_user(self, method: str, path: str, environ: dict[str, Any]) -> Reply:
        body = self._body(environ)
        if body is None:
            return refusal(400, "the body is over 64 KiB")
        alone = not self._in_contact()
        passed_on = self._through_peer(method, path, body) if alone else None
        if passed_on is not None:
            return passed_on
        reply = self._users.handle(method, path, body)
        if reply.status != 503 or alone:  # peers that had nothing to say just now are not asked again
            return reply
        return self._through_peer(method, path, body) or reply

    def _through_peer(self, method: str, path: str, body: bytes) -> Reply | None:
        """What we cannot decide, a peer that reaches the state service may: any node may answer."""
        try:
            answer = self._peers.forward_request(method, path, body.decode())
        except UnicodeDecodeError:
            return None
        if answer is None or answer.status not in REASONS:
            return None
        return Reply(answer.status, bytes(answer.body), retry_later(answer.status))

    @staticmethod
    def _body(environ: dict[str, Any]) -> bytes | None:
        """The body, or None if it is over the limit."""
        body = _read(environ, MAX_BODY + 1)
        return None if len(body) > MAX_BODY else body


def _read(environ: dict[str, Any], limit: int = -1) -> bytes:
    """Up to `limit` bytes of the body (-1: all); raises BadBody."""
    try:
        return environ["wsgi.input"].read(limit)
    except OSError as error:
        raise BadBody(f"the body cannot be read: {error}") from None
