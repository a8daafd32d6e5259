"""Wire formats: rejection of malformed input, and framing independent of packet boundaries."""

import msgspec
import pytest

from standins import job
from tideusher.wire import peers, workers
from tideusher.wire.jobs import InvalidJob
from tideusher.wire.submissions import parse_job

VALID = msgspec.to_builtins(job("gang", 2, deadline_s=30.0))


def body(**changes):
    fields = {**VALID, **changes}
    return msgspec.json.encode({name: value for name, value in fields.items() if value is not ...})


def test_valid_submission_decodes_with_unknown_and_null_fields():
    spec = parse_job(body(colour="red", hulls=None, harbor=None, due_s=None))
    assert (spec.tasks, spec.shape, spec.types, spec.zone, spec.deadline_s) == (2, "gang", None, None, None)


@pytest.mark.parametrize(
    "malformed",
    [
        b"{",
        b"[]",
        b"\xff\xfe",
        body(pieces=...),
        body(pieces="2"),
        body(pieces=0),
        body(pieces=100_001),
        body(pieces=True),
        body(cores=-1.0),
        body(one_zone="yes"),
        body(shape="array"),
        body(rank="top"),
        body(ref="job-1"),
        body(ref="req-1/2"),
        body(owner=""),
        body(bundle="x" * 70_000),
    ],
)
def test_malformed_submission_is_rejected_with_a_one_line_reason(malformed):
    with pytest.raises(InvalidJob) as rejection:
        parse_job(malformed)
    assert str(rejection.value) and "\n" not in str(rejection.value)


def test_reports_and_commands_use_the_platforms_names_on_the_wire():
    report = workers.decode_report(
        b'{"berth":"host-1","addr":"1:2","hull":"g8","harbor":"a","loaned":true,"watch":1,"tally":88,"helm":41,'
        b'"recall_s":null,"pieces":[{"piece":"req-1/3","launch":2,"status":"exited","cause":"done"}],"new":1}'
    )
    assert (report.session, report.serial, report.token, report.tasks[0].attempt) == (1, 88, 41, 2)
    answer = workers.encode(workers.Commands(41, [workers.halt("req-1/3", 2, 10.0), workers.run("req-1/4", 1)]))
    assert msgspec.json.decode(answer) == {
        "helm": 41,
        "orders": [
            {"order": "halt", "piece": "req-1/3", "launch": 2, "ebb_s": 10.0},
            {"order": "run", "piece": "req-1/4", "launch": 1},
        ],
    }


def test_frames_decode_independent_of_packet_boundaries():
    sent = [
        peers.Hello("n1", True),
        peers.ForwardReport(7, msgspec.Raw(b'{"a":[1,2]}')),
        peers.Ask(8, "why", "req-1"),
    ]
    data = b"".join(map(peers.frame, sent))
    for size in (1, 3, 1000):
        decoder, received = peers.MessageDecoder(), []
        for at in range(0, len(data), size):
            received += decoder.feed(data[at : at + size])
        assert [type(m) for m in received] == [type(m) for m in sent]
        assert bytes(received[1].body) == b'{"a":[1,2]}' and received[2].arg == "req-1"


@pytest.mark.parametrize(
    "data", [b"x:abc,", b"99999999:", b"3:{}},", b"2:{};", b'16:{"kind":"bogus"},', b"123456789"]
)
def test_malformed_frame_raises_frame_error(data):
    with pytest.raises(peers.FrameError):
        peers.MessageDecoder().feed(data)
