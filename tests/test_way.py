"""What a report costs on its way, counted: packets, greenlets, questions. And what malformed input gets."""

import io

import gevent
import msgspec
import pytest
from gevent.pywsgi import WSGIServer

from standins import FakeClock, make_config
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
from tideusher.wire.jobs import InvalidJob, parse_job


class Wire:
    """A connection's socket: what comes in, and each packet that left."""

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

    sock = Wire(data)
    server = WSGIServer(("127.0.0.1", 0), application, log=None, error_log=None, handler_class=Handler)
    Handler(sock, ("10.0.0.9", 4711), server).handle()
    return sock.sent


def request(*lines, body=b"{}"):
    return b"\r\n".join([b"POST /checkin HTTP/1.1", *lines, b"Content-Length: %d" % len(body), b"", body])


def test_an_answer_leaves_in_one_packet_and_the_connection_goes_on():
    """Head and body once left apart: two packets and two system calls for each report."""
    environs = []
    sent = served(request(b"Host: a", b"X-Odd: 1", b"x-odd: 2") + request(b"Expect: nothing", body=b"[]"), environs)
    assert [packet.rpartition(b"\r\n\r\n")[2] for packet in sent] == [b"{}", b"[]"]
    assert all(packet.startswith(b"HTTP/1.1 200 OK\r\n") for packet in sent)
    assert environs[0]["HTTP_X_ODD"] == "1,2" and environs[0]["PATH_INFO"] == "/checkin"


def test_a_large_answer_arrives_whole():
    body = b"x" * 60_000
    (head, *rest) = served(request(body=body))
    assert head.startswith(b"HTTP/1.1 200") and b"".join([head, *rest]).endswith(b"\r\n\r\n" + body)


@pytest.mark.parametrize(
    "lines",
    [
        [b"Content-Length: 7"],  # and the right one behind it
        [b"Transfer-Encoding: chunked", b"Transfer-Encoding: identity"],
        [b"No colon here"],
        [b" Folded: yes"],
        [b"Content-Length : 2"],
        [b": nameless"],
        [b"Long: " + b"x" * MAX_LINE_BYTES],
        [b"H%d: 1" % n for n in range(MAX_HEADERS + 1)],
    ],
)
def test_a_request_whose_end_could_be_read_in_two_ways_is_refused(lines):
    environs = []
    (answer,) = served(request(*lines), environs)
    assert answer.startswith(b"HTTP/1.1 400") and not environs


def frames_in(packets):
    return wire.MessageDecoder().feed(b"".join(packets))


def test_frames_that_come_together_leave_together_and_a_full_outbox_says_so():
    sock = Wire()
    outbox = Outbox(sock)
    for number in range(20):
        assert outbox.put(wire.frame(wire.ReportAnswer(number, True)))
    gevent.sleep(0)
    assert len(sock.sent) == 1 and [m.id for m in frames_in(sock.sent)] == list(range(20))
    assert outbox.put(b"x" * MAX_QUEUED_BYTES)
    assert not outbox.put(b"x")  # at its bound; just over is refused at once, not held
    gevent.sleep(0)
    assert outbox.put(b"x")


def test_two_writers_do_not_put_their_frames_into_one_another():
    """A connection that took part of a frame and then another writer's once broke the stream."""

    class Slow(Wire):
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


def test_reports_that_come_in_one_piece_are_one_question_to_the_leader():
    asked = []

    def reports(batch):
        asked.append(len(batch))
        return [wire.ReportAnswer(message.id, True) for message in batch]

    sock = Wire()
    peers = Peers(make_config(), FakeClock(), lambda: wire.Hello("n0"))
    peers._reports = reports
    batch = [wire.ForwardReport(number, msgspec.Raw(b"{}")) for number in range(30)]
    peers.take([*batch, wire.Hello("n1")], Outbox(sock))
    gevent.sleep(0)
    gevent.sleep(0)
    assert asked == [30]
    assert len(sock.sent) <= 2 and len(frames_in(sock.sent)) == 31  # a heartbeat waits for no report


class Part:
    """Of a node what the leader's actor needs."""

    token, contact_us = 7, 0

    def lead(self, leading):
        pass


class ClusterState:
    """An engine whose cluster answers each report with one command."""

    token = 7

    def __init__(self):
        self.cluster, self.reports, self.answered = self, self, 0

    def answer(self, report, now_us):
        self.answered += 1
        return [workers.forget("req-000001/0", self.answered)]


def test_reports_that_came_together_are_acted_on_once_and_a_newer_token_is_not_answered():
    clock, part = FakeClock(), Part()
    part.contact_us = clock.now_us()
    leader = Leader(make_config(), Policy(), clock, part, part, None, Metrics())
    leader._engine = cluster_state = ClusterState()
    acted = []
    leader._act = acted.append
    report = [workers.Report(f"host-{n}", "a:1", "m4", "a", False, 1, 1, 7 + (n == 2)) for n in range(4)]
    answers = leader.on_reports(report, clock.now_us())
    assert [answer is None for answer in answers] == [False, False, True, False]
    assert acted == [cluster_state] and cluster_state.answered == 3
    # Their gateways have answered alone meanwhile: a leader that read them all the same would stay late.
    assert leader.on_reports(report, clock.now_us() - REPORT_TIMEOUT_US - 1) == [None] * 4 and len(acted) == 1
    assert leader.on_reports(report, clock.now_us() - REPORT_TIMEOUT_US)[0] is not None
    part.token = 8
    assert leader.on_reports(report, clock.now_us()) == [None] * 4  # deposed: it answers nothing


@pytest.mark.parametrize(
    "lines, body",
    [
        ([b"Transfer-Encoding: chunked"], b"zz\r\n"),  # no chunk length
        ([b"Transfer-Encoding: chunked"], b"5\r\nab"),  # hung up inside a chunk
        ([b"Content-Length: 50"], b'{"ref":'),  # hung up inside the body
    ],
)
@pytest.mark.parametrize("path", [b"/work", b"/checkin"])
def test_a_body_that_breaks_off_is_a_400_and_one_debug_line(path, lines, body, caplog, capfd):
    """It got 503, for which users come back, and a traceback of 20 lines for each client that hung up."""
    users, gateway = Users(make_config(), FakeClock(), None), Gateway(make_config(), FakeClock(), *[None] * 4)
    web = Web("127.0.0.1:0", users, gateway, None, None, bytes, lambda: True, lambda: True)
    caplog.set_level("DEBUG")
    sock = Wire(b"\r\n".join([b"POST %s HTTP/1.1" % path, b"Host: a", *lines, b"", body]))
    server = WSGIServer(("127.0.0.1", 0), web, log=None, error_log=None, handler_class=Handler)
    Handler(sock, ("10.0.0.9", 4711), server).handle()
    (answer,) = sock.sent
    assert answer.startswith(b"HTTP/1.1 400") and b"Connection: close" in answer
    assert [record.levelname for record in caplog.records] == ["DEBUG"]
    assert capfd.readouterr().err == ""


def test_a_submission_nested_beyond_reason_is_malformed():
    users = Users(make_config(), FakeClock(), None)
    for body in (b"[" * 60_000, b'{"ref":"req-000001","odd":' + b"[" * 60_000):
        assert users.submit(body).status == 400
    with pytest.raises(InvalidJob):
        parse_job(b'{"ref":' + b"[" * 60_000)
