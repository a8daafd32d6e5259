"""The HTTP connection handler: gevent's, without the parts that no code here uses, and with bounds on what it reads.

Reports of workers are most of a controller's requests, and most of the cost of a report was not its answer: headers
were parsed as those of mail, a log line was formatted and discarded, and head and body left in two packets.
"""

from collections.abc import Iterator
from typing import Any, BinaryIO

import gevent
from gevent.pywsgi import Input, WSGIHandler

MAX_LINE_BYTES = 16 * 1024
MAX_HEADERS = 100
#: Bytes of all header lines of a request.
MAX_HEAD_BYTES = 24 * 1024
MAX_SINGLE_WRITE_BYTES = 16 * 1024
#: Bytes of a body in chunks with their framing: a chunk of one byte has six.
MAX_CHUNKED_BYTES = 512 * 1024
#: Bytes of a chunked body after which other connections are served; gevent reads its framing byte by byte.
CHUNKED_BYTES_PER_TURN = 16 * 1024
#: Bytes of a body over the limit that are taken and dropped.
MAX_DROPPED_BYTES = 256 * 1024
#: Key of a request's environment: the handler of its connection.
HANDLER = "tideusher.handler"


class ChunkedBytes:
    """The bytes of a body in chunks, up to a limit; raises OSError beyond it."""

    def __init__(self, file: BinaryIO) -> None:
        self._file, self._bytes, self._turn_bytes = file, 0, 0

    def read(self, size: int) -> bytes:
        """Reads up to `size` bytes."""
        data = self._file.read(size)
        self._count(data)
        return data

    def readline(self, size: int) -> bytes:
        """Reads a line of up to `size` bytes."""
        data = self._file.readline(size)
        self._count(data)
        return data

    def _count(self, data: bytes) -> None:
        self._bytes += len(data)
        self._turn_bytes += len(data)
        if self._bytes > MAX_CHUNKED_BYTES:
            raise OSError("the chunks of the body are too many")
        if self._turn_bytes > CHUNKED_BYTES_PER_TURN:
            self._turn_bytes = 0
            gevent.sleep(0)


def leave_unread(body: Any) -> bool:
    """Leaves what is unread of a request's body but for a bounded part, which is dropped; False if all was read.

    The connection has to be closed then. What is sent meanwhile is read for a while: closing a connection with unread
    data resets it, and the client might not read the answer.
    """
    if not isinstance(body, Input):
        return False
    if body.chunked_input:
        return body.chunk_length != 0
    if body.position >= (body.content_length or 0):
        return False
    body.content_length = min(body.content_length, body.position + MAX_DROPPED_BYTES)
    return True


class RequestHeaders:
    """The header lines of one request, with the interface that gevent's handler expects.

    A request whose end could be read in two ways (request smuggling) is refused: a second length or transfer coding,
    a folded line, a malformed name.
    """

    def __init__(self, file: BinaryIO, *_: Any) -> None:
        self.status = ""  # if not empty, the reason to refuse the request
        self._values: dict[str, str] = {}
        head_bytes = 0
        for _number in range(MAX_HEADERS + 1):
            line = file.readline(MAX_LINE_BYTES + 1)
            head_bytes += len(line)
            if line in (b"\r\n", b"\n", b""):
                return
            name, colon, value = line.decode("latin-1").partition(":")
            key = name.lower()
            if len(line) > MAX_LINE_BYTES or head_bytes > MAX_HEAD_BYTES:
                self.status = "Headers too long"
            elif not colon or not name or name != name.strip() or " " in name:
                self.status = "Malformed header"
            elif key not in self._values:
                self._values[key] = value.strip()
                continue
            elif key in ("content-length", "transfer-encoding"):
                self.status = "More than one " + key
            else:
                self._values[key] += "," + value.strip()
                continue
            return
        self.status = "Too many headers"

    def get(self, name: str, default: str | None = None) -> str | None:
        """Returns the value of a header; the name is case-insensitive."""
        return self._values.get(name.lower(), default)

    getheader = get

    def __delitem__(self, name: str) -> None:
        del self._values[name.lower()]

    @property
    def typeheader(self) -> str | None:
        """The content type of the body."""
        return self._values.get("content-type")

    def items(self) -> Iterator[tuple[str, str]]:
        """Yields all headers, names in lower case."""
        yield from self._values.items()


class Handler(WSGIHandler):
    """Serves one connection. Answers leave in one packet, and no access log is formatted."""

    MessageClass = RequestHeaders
    #: Whether all of the request is here.
    has_arrived = False

    def _headers(self) -> Iterator[tuple[str, str]]:
        for name, value in self.headers.items():
            if "_" not in name and name not in ("content-type", "content-length"):
                yield "HTTP_" + name.replace("-", "_").upper(), value

    def get_environ(self) -> dict[str, Any]:
        """Returns the request for the application."""
        environ: dict[str, Any] = super().get_environ()
        body = self.wsgi_input
        if body.chunked_input:
            body.rfile = ChunkedBytes(body.rfile)
        elif not self.content_length:
            self.has_arrived = True
        environ[HANDLER] = self
        return environ

    def log_request(self) -> None:
        """Logs nothing: decisions on requests are logged where they are made."""

    def _write_with_headers(self, data: bytes) -> None:
        if len(data) > MAX_SINGLE_WRITE_BYTES:  # copying a large body costs more than a second system call
            super()._write_with_headers(data)
            return
        self.headers_sent = True
        self.finalize_headers()
        lines = [b"HTTP/1.1 " + self.status, *(name + b": " + value for name, value in self.response_headers)]
        self._sendall(b"\r\n".join([*lines, b"", data]))
