"""The cost of a report in packets, greenlets and requests to the leader, and the handling of malformed input."""

import io

import gevent
import msgspec
import pytest
from gevent.pywsgi import WSGIServer

from standins import FakeClock, make_config
from tideusher.actors.connections import Connections
from tideusher.actors.gateway import Gateway
from tideusher.actors.handler import MAX_HEADERS, MAX_LINE_BYTES, Handler
from tideusher.actors.leader import REPORT_TIMEOUT_US, Leader
from tideusher.actors.peers import MAX_QUEUED_BYTES, Outbox, Peers
from tideusher.actors.users import Users
from tideusher.config import Policy
from tideusher.metrics import Metrics
from tideusher.web import Web
from tideusher.wire import peers as wire
from tideusher.wire import workers
from tideusher.wire.jobs import InvalidJob
from tideusher.wire.submissions import parse_job


class FakeSocket:
    """The socket of a connection: given input, and a list of the packets sent."""

    def __init__(self, data=b""):
        self.file, self.sent, self._sock = io.BytesIO(data), [], None

    def makefile(self, *_):
        return self.file

    def sendall(self, data):
        self.sent.append(bytes(data))

    def close(self):
        pass


def served(data, environs=None):
    def application(environ, start_response):
        body = environ["wsgi.input"].read()
        if environs is not None:
            environs.append(environ)
        start_response("200 OK", [("Content-Type", "application/json"), ("Content-Length", str(len(body)))])
        return [body]

    sock = FakeSocket(data)
    server = WSGIServer(("127.0.0.1", 0), application, log=None, error_log=None, handler_class=Handler)
    Handler(sock, ("10.0.0.9", 4711), server).handle()
    return sock.sent


def request(*lines, body=b"{}"):
    return b"\r\n".join([b"POST /checkin HTTP/1.1", *lines, b"Content-Length: %d" % len(body), b"", body])


def test_answer_leaves_in_one_packet_and_the_connection_stays_open():
    """Head and body left separately before: two packets and two system calls for each report."""
    environs = []
    sent = served(request(b"Host: a", b"X-Odd: 1", b"x-odd: 2") + request(b"Expect: nothing", body=b"[]"), environs)
    assert [packet.rpartition(b"\r\n\r\n")[2] for packet in sent] == [b"{}", b"[]"]
    assert all(packet.startswith(b"HTTP/1.1 200 OK\r\n") for packet in sent)
    assert environs[0]["HTTP_X_ODD"] == "1,2" and environs[0]["PATH_INFO"] == "/checkin"


def test_large_answer_arrives_completely():
    body = b"x" * 60_000
    (head, *rest) = served(request(body=body))
    assert head.startswith(b"HTTP/1.1 200") and b"".join([head, *rest]).endswith(b"\r\n\r\n" + body)


@pytest.mark.parametrize(
    "lines",
    [
        [b"Content-Length: 7"],  # followed by the correct one
        [b"Transfer-Encoding: chunked", b"Transfer-Encoding: identity"],
        [b"No colon here"],
        [b" Folded: yes"],
        [b"Content-Length : 2"],
        [b": nameless"],
        [b"Long: " + b"x" * MAX_LINE_BYTES],
        [b"H%d: 1" % n for n in range(MAX_HEADERS + 1)],
    ],
)
def test_request_with_an_ambiguous_end_is_refused(lines):
    environs = []
    (answer,) = served(request(*lines), environs)
    assert answer.startswith(b"HTTP/1.1 400") and not environs


def frames_in(packets):
    return wire.MessageDecoder().feed(b"".join(packets))


def test_frames_queued_together_leave_together_and_a_full_outbox_refuses():
    sock = FakeSocket()
    outbox = Outbox(sock)
    for number in range(20):
        assert outbox.put(wire.frame(wire.ReportAnswer(number, True)))
    gevent.sleep(0)
    assert len(sock.sent) == 1 and [m.id for m in frames_in(sock.sent)] == list(range(20))
    assert outbox.put(b"x" * MAX_QUEUED_BYTES)
    assert not outbox.put(b"x")  # at the limit; anything over it is refused at once, not held
    gevent.sleep(0)
    assert outbox.put(b"x")


def test_frames_of_two_writers_do_not_interleave():
    """The stream broke when a connection accepted part of a frame and then a frame of another writer."""

    class Slow(FakeSocket):
        def sendall(self, data):
            for at in range(0, len(data), 10):
                self.sent.append(data[at : at + 10])
                gevent.sleep(0)

    sock = Slow()
    outbox = Outbox(sock)

    def write(first):
        for number in range(first, first + 10):
            outbox.put(wire.frame(wire.ReportAnswer(number, True)))
            gevent.sleep(0)

    gevent.joinall([gevent.spawn(write, 0), gevent.spawn(write, 100)])
    while outbox._waiting:
        gevent.sleep(0)
    assert sorted(m.id for m in frames_in(sock.sent)) == [*range(10), *range(100, 110)]


def test_reports_that_arrive_together_are_one_request_to_the_leader():
    batch_sizes = []

    def reports(batch):
        batch_sizes.append(len(batch))
        return [wire.ReportAnswer(message.id, True) for message in batch]

    sock = FakeSocket()
    peers = Peers(make_config(), FakeClock(), lambda: wire.Hello("n0"))
    peers._reports = reports
    batch = [wire.ForwardReport(number, msgspec.Raw(b"{}")) for number in range(30)]
    peers.take([*batch, wire.Hello("n1")], Outbox(sock))
    gevent.sleep(0)
    gevent.sleep(0)
    assert batch_sizes == [30]
    assert len(sock.sent) <= 2 and len(frames_in(sock.sent)) == 31  # a heartbeat does not wait for reports


class NodeStub:
    """The parts of a node that the leader's actor needs."""

    token, contact_us = 7, 0

    def lead(self, leading):
        pass


class ClusterState:
    """An engine that answers each report with one command."""

    token = 7

    def __init__(self):
        self.cluster, self.reports, self.answered = self, self, 0

    def answer(self, report, now_us, may_start):
        self.answered += 1
        return [workers.forget("req-000001/0", self.answered)]


def test_reports_that_arrive_together_are_acted_on_once_and_a_newer_token_is_not_answered():
    clock, node = FakeClock(), NodeStub()
    node.contact_us = clock.now_us()
    leader = Leader(make_config(), Policy(), clock, node, node, None, Metrics())
    leader._engine = cluster_state = ClusterState()
    acted = []
    leader._act = acted.append
    report = [workers.Report(f"host-{n}", "a:1", "m4", "a", False, 1, 1, 7 + (n == 2)) for n in range(4)]
    answers = leader.on_reports(report, clock.now_us())
    assert [answer is None for answer in answers] == [False, False, True, False]
    assert acted == [cluster_state] and cluster_state.answered == 3
    # Their gateways have answered without the leader meanwhile; processing them too would keep a late leader late.
    assert leader.on_reports(report, clock.now_us() - REPORT_TIMEOUT_US - 1) == [None] * 4 and len(acted) == 1
    assert leader.on_reports(report, clock.now_us() - REPORT_TIMEOUT_US)[0] is not None
    node.token = 8
    assert leader.on_reports(report, clock.now_us()) == [None] * 4  # a deposed leader answers nothing


@pytest.mark.parametrize(
    "lines, body",
    [
        ([b"Transfer-Encoding: chunked"], b"zz\r\n"),  # no chunk length
        ([b"Transfer-Encoding: chunked"], b"5\r\nab"),  # disconnected inside a chunk
        ([b"Content-Length: 50"], b'{"ref":'),  # disconnected inside the body
    ],
)
@pytest.mark.parametrize("path", [b"/work", b"/checkin"])
def test_incomplete_body_gets_400_and_one_debug_line(path, lines, body, caplog, capfd):
    """It got 503, for which clients retry, and a traceback of 20 lines for each client that disconnected."""
    users, gateway = Users(make_config(), FakeClock(), None), Gateway(make_config(), FakeClock(), *[None] * 4)
    connections = Connections(FakeClock(), 1000, 20.0)
    web = Web("127.0.0.1:0", users, gateway, None, None, bytes, lambda: True, lambda: True, connections)
    caplog.set_level("DEBUG")
    sock = FakeSocket(b"\r\n".join([b"POST %s HTTP/1.1" % path, b"Host: a", *lines, b"", body]))
    server = WSGIServer(("127.0.0.1", 0), web, log=None, error_log=None, handler_class=Handler)
    Handler(sock, ("10.0.0.9", 4711), server).handle()
    (answer,) = sock.sent
    assert answer.startswith(b"HTTP/1.1 400") and b"Connection: close" in answer
    assert [record.levelname for record in caplog.records] == ["DEBUG"]
    assert capfd.readouterr().err == ""


def test_submission_nested_too_deeply_is_malformed():
    users = Users(make_config(), FakeClock(), None)
    for body in (b"[" * 60_000, b'{"ref":"req-000001","odd":' + b"[" * 60_000):
        assert users.submit(body).status == 400
    with pytest.raises(InvalidJob):
        parse_job(b'{"ref":' + b"[" * 60_000)
