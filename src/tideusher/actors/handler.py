"""How one HTTP connection is served: gevent's handler, less what no one here reads.

Reports of workers are most of what a controller does, and most of a report's cost was not its answer:
headers parsed as those of mail, a log line formatted and thrown away, head and body in two packets.
"""

from collections.abc import Iterator
from typing import Any, BinaryIO

from gevent.pywsgi import WSGIHandler

MAX_LINE = 16 * 1024
MAX_HEADERS = 100
ONE_PACKET = 16 * 1024


class RequestHeaders:
    """The header lines of one request, as gevent's handler asks for them.

    A request of which two readers could find different ends is refused: a second length or transfer
    coding, a folded line, a name that is no name.
    """

    def __init__(self, file: BinaryIO, *_: Any) -> None:
        self.status = ""  # not empty: why the request is refused
        self._values: dict[str, str] = {}
        for _number in range(MAX_HEADERS + 1):
            line = file.readline(MAX_LINE + 1)
            if line in (b"\r\n", b"\n", b""):
                return
            name, colon, value = line.decode("latin-1").partition(":")
            key = name.lower()
            if len(line) > MAX_LINE:
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
        """The value of a header, by its name in any case."""
        return self._values.get(name.lower(), default)

    getheader = get

    def __delitem__(self, name: str) -> None:
        del self._values[name.lower()]

    @property
    def typeheader(self) -> str | None:
        """What kind of body comes."""
        return self._values.get("content-type")

    def items(self) -> Iterator[tuple[str, str]]:
        """All headers, names in lower case."""
        yield from self._values.items()


class Handler(WSGIHandler):
    """One connection. Answers leave in one packet, and nothing is formatted for a log that is off."""

    MessageClass = RequestHeaders

    def _headers(self) -> Iterator[tuple[str, str]]:
        for name, value in self.headers.items():
            if "_" not in name and name not in ("content-type", "content-length"):
                yield "HTTP_" + name.replace("-", "_").upper(), value

    def log_request(self) -> None:
        """Requests are not logged one by one; what is decided on them is."""

    def _write_with_headers(self, data: bytes) -> None:
        if len(data) > ONE_PACKET:  # to copy a large body costs more than a second call
            super()._write_with_headers(data)
            return
        self.headers_sent = True
        self.finalize_headers()
        lines = [b"HTTP/1.1 " + self.status, *(name + b": " + value for name, value in self.response_headers)]
        self._sendall(b"\r\n".join([*lines, b"", data]))
