"""A job whose record is as large as the state service takes: what it needs to grow by later has to fit.

The failure: a job within a few bytes of the limit of a value was accepted, and each request to cancel it got 503.
"""

import msgspec
import pytest

from standins import FakeClock, job, make_config
from test_answers import Node, body
from tideusher.actors.users import Users
from tideusher.core.model import keys
from tideusher.core.model.job_record import open_value, reserved_size
from tideusher.playground.standins import TYPE, StateStandIn
from tideusher.wire.jobs import After

LIMIT = 4096


@pytest.fixture
def node():
    stand_in = StateStandIn(LIMIT)
    stand_in.items[keys.TYPES] = ([msgspec.to_builtins(TYPE)], 1)
    return Node(stand_in)


def sized(missing, **fields):
    """Returns a job whose record, as accepted, is `missing` bytes under the limit."""
    padding = job(image="", **fields)
    size = len(msgspec.json.encode(open_value(padding, FakeClock().wall_us())))
    return msgspec.structs.replace(padding, image="x" * (LIMIT - missing - size))


def users_of(node):
    return Users(make_config(), node.clock, node, True)


@pytest.mark.parametrize("missing", range(-2, 24))
def test_what_is_accepted_can_be_cancelled(node, missing):
    users = users_of(node)
    spec = msgspec.structs.replace(sized(missing), id="req-000001")
    assert users.submit(body(spec)).status == 201  # no sentence of the protocol bounds its texts
    is_whole = reserved_size(open_value(spec, node.clock.wall_us())) <= LIMIT
    assert (node.state.items[keys.job_key(spec.id)][0]["spec"]["bundle"] == spec.image) == is_whole
    users._store.tasks_of = lambda name, number: {"n": 1}  # it has begun, which the record says too
    assert users.cancel(spec.id).body.status == "withdrawn"


def test_a_job_whose_conditions_do_not_fit_a_record_is_refused_and_nothing_is_stored(node):
    array = ",".join(map(str, range(0, 4_000, 2)))
    refused = users_of(node).accept(job("batch", 2_000, array=array))
    assert refused.status == 400 and "too long" in refused.body["error"]
    assert not [key for key in node.state.items if key.startswith(keys.JOB_PREFIX)]


@pytest.mark.parametrize("missing", [0, 3, 10])
def test_a_job_that_an_earlier_version_accepted_can_be_cancelled(node, missing):
    users = users_of(node)
    spec = sized(missing, name="nightly", after=[After("end", f"req-{n:06d}") for n in range(900_000, 900_002)])
    node.state.submit(spec, node.clock.wall_us())
    node.sync()
    assert users.cancel(spec.id).body.status == "withdrawn"
    stored = node.state.items[keys.job_key(spec.id)][0]["spec"]
    assert (stored["cores"], stored["owner"], stored["pieces"]) == (spec.cpus, spec.team, spec.tasks)


def test_a_hold_that_does_not_fit_is_refused_with_a_reason(node):
    users = users_of(node)
    spec = sized(60)
    assert users.submit(body(spec)).status == 201
    refused = users.hold(spec.id, "hold", msgspec.json.encode({"by": "y" * 200}))
    assert refused.status == 422 and "no room" in refused.body["error"]
    assert users.hold(spec.id, "hold", msgspec.json.encode({"by": "me"})).status == 200
