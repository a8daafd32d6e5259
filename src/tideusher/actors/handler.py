"""The HTTP connection handler: gevent's, without the parts that no code here uses.

Reports of workers are most of a controller's requests, and most of the cost of a report was not its answer: headers
were parsed as those of mail, a log line was formatted and discarded, and head and body left in two packets.
"""

from collections.abc import Iterator
from typing import Any, BinaryIO

from gevent.pywsgi import WSGIHandler

MAX_LINE_BYTES = 16 * 1024
MAX_HEADERS = 100
MAX_SINGLE_WRITE_BYTES = 16 * 1024


class RequestHeaders:
    """The header lines of one request, with the interface that gevent's handler expects.

    A request whose end could be read in two ways (request smuggling) is refused: a second length or transfer coding,
    a folded line, a malformed name.
    """

    def __init__(self, file: BinaryIO, *_: Any) -> None:
        self.status = ""  # if not empty, the reason to refuse the request
        self._values: dict[str, str] = {}
        for _number in range(MAX_HEADERS + 1):
            line = file.readline(MAX_LINE_BYTES + 1)
            if line in (b"\r\n", b"\n", b""):
                return
            name, colon, value = line.decode("latin-1").partition(":")
            key = name.lower()
            if len(line) > MAX_LINE_BYTES:
                self.status = "Line too long"
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

    def _headers(self) -> Iterator[tuple[str, str]]:
        for name, value in self.headers.items():
            if "_" not in name and name not in ("content-type", "content-length"):
                yield "HTTP_" + name.replace("-", "_").upper(), value

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
