"""A submission that is sound by the protocol is accepted and runs, however its author spells it."""

import random
from fractions import Fraction

import msgspec
import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from standins import TYPE, FakeClock, job, make_config
from test_edges import ScriptedStore
from tideusher.actors.users import Users
from tideusher.core.model import keys
from tideusher.scale.spelling import spell, spell_fields
from tideusher.wire.jobs import PRIORITIES, JobSpec, check_job, computable

#: The body that was refused; team and machine type are those of the simulated deployment.
REFUSED_BODY = (
    b'{"apart":false,"bundle":"img-102","cores":5.0,"due_s":null,'
    b'"expect_s":0.000000000000000000000000000000000000000000000000000000000001,"gpus":1.0,"harbor":null,'
    b'"hulls":["m4"],"image_gb":0.1,"jobclass":"curve-fit","loaned":true,"mark_s":0.0,"one_zone":false,'
    b'"owner":"red","pieces":3,"ram_gb":18.0,"rank":"standard","ref":"req-977276","shape":"batch","stow_s":0.0}'
)


def test_sound_job_whose_estimate_is_tiny_is_accepted_by_every_controller_and_done(sim):
    cluster = sim(machines=6)
    replies = []
    for name in cluster.names:
        cluster.time.spawn(lambda name=name: replies.append(cluster.ask(name, "POST", "/work", REFUSED_BODY)))
        cluster.run(1.0)
    assert [status for status, _ in replies] == [201, 200, 200], replies
    cluster.run(20.0)
    cluster.time.spawn(lambda: replies.append(cluster.ask("n1", "GET", "/work/req-977276")))
    cluster.run(1.0)
    assert replies[-1] == (200, {"ref": "req-977276", "status": "done", "done": 3, "running": 0})


def test_refused_body_is_accepted_through_a_controller_that_forwards_it_and_explained_with_both_amounts(sim):
    cluster = sim(machines=1)
    leader = cluster.leader()
    refused = next(name for name in cluster.names if name != leader)
    cluster.service.refused.add(refused)  # it alone does not reach the state service
    cluster.run(4.0)
    replies = []
    cluster.time.spawn(lambda: replies.append(cluster.ask(refused, "POST", "/work", REFUSED_BODY)))
    cluster.run(2.0)
    assert replies[0][0] == 201
    cluster.time.spawn(lambda: replies.append(cluster.ask(leader, "GET", "/why/req-977276")))
    cluster.run(1.0)
    assert replies[1][1]["amounts"] == {"expect_s": {"sent": 1e-60, "counted": 1e-6}}


# Submissions drawn from the protocol's own grammar

#: A failure is printed as drawn: the seed of a spelling can't be made smaller.
PHASES = (Phase.explicit, Phase.generate)
SEEDS = st.integers(0, 2**32)
#: Every double that an amount may be.
AMOUNTS = st.floats(min_value=0.0, allow_nan=False, allow_infinity=False, allow_subnormal=True)
TEXTS = st.text(st.characters(exclude_categories=("Cs",)), min_size=1, max_size=30)
SOUND_JOBS = st.builds(
    lambda number, shape, changes: job(shape, **{"id": f"req-{number:06d}", **changes}),
    st.integers(0, 10**19 - 1),
    st.sampled_from(["batch", "gang", "service"]),
    st.fixed_dictionaries(
        {
            "job_class": TEXTS,
            "image": TEXTS,
            "priority": st.sampled_from(PRIORITIES),
            "tasks": st.integers(1, 3),
            "cpus": st.floats(0.0, 4.0),
            "gpus": st.floats(0.0, 4.0),
            "ram_gb": st.floats(0.0, 64.0),
            "image_gb": AMOUNTS,
            "estimate_s": AMOUNTS,
            "checkpoint_s": AMOUNTS,
            "save_s": AMOUNTS,
            "deadline_s": st.none() | AMOUNTS,
            "types": st.sampled_from([None, ["m4"], ["m4", "m8", "m4"]]),
            "zone": st.sampled_from([None, "a", "b"]),
            "one_zone": st.booleans(),
            "spread": st.booleans(),
            "spot": st.booleans(),
        }
    ),
)


@pytest.mark.parametrize("conditions", [False, True])
@settings(max_examples=150, deadline=None, derandomize=True, phases=PHASES)
@given(spec=SOUND_JOBS, seed=SEEDS)
def test_sound_submission_is_accepted_and_a_repetition_in_another_spelling_is_the_same_job(conditions, spec, seed):
    rng = random.Random(seed)
    store = ScriptedStore()
    users = Users(make_config(), FakeClock(), store, conditions=conditions)
    first, repeat = spell(spec, rng), spell(spec, rng)
    reply = users.submit(first)
    assert (reply.status, reply.body.id) == (201, spec.id), (reply, first)
    again = users.submit(repeat)
    assert (again.status, again.body.id) == (200, spec.id), (again, repeat)
    assert [key for key in store.state.items if key.startswith(keys.JOB_PREFIX)] == [keys.job_key(spec.id)]
    stored = msgspec.convert(store.state.record_of(spec.id)["spec"], JobSpec)
    assert stored == computable(check_job(spec))


@settings(max_examples=150, deadline=None, derandomize=True, phases=PHASES)
@given(
    spec=SOUND_JOBS,
    needs=st.fixed_dictionaries({"cpus": AMOUNTS, "gpus": AMOUNTS, "ram_gb": AMOUNTS}),
    seed=SEEDS,
)
def test_resources_over_their_whole_range_are_accepted_or_fit_no_machine_or_limit(spec, needs, seed):
    rng = random.Random(seed)
    spec = msgspec.structs.replace(spec, **needs)
    reply = Users(make_config(), FakeClock(), ScriptedStore()).submit(spell(spec, rng))
    at_once = 1 if spec.shape == "batch" else spec.tasks
    fits = spec.cpus <= TYPE.cpus and spec.gpus <= TYPE.gpus and spec.ram_gb <= TYPE.ram_gb
    in_limit = Fraction(spec.gpus) * at_once <= 12
    assert reply.status == (201 if fits and in_limit else 422), (reply, spec)


MALFORMED = [
    *[lambda fields, name=name: fields.pop(name) for name in msgspec.to_builtins(job()) if name != "hulls"],
    *[lambda fields, name=name: fields.update({name: None}) for name in ("ref", "pieces", "cores", "loaned", "rank")],
    *[lambda fields, name=name: fields.update({name: -1e-300}) for name in ("cores", "expect_s", "stow_s", "due_s")],
    *[lambda fields, name=name: fields.update({name: "4.0"}) for name in ("cores", "pieces", "image_gb", "mark_s")],
    *[lambda fields, value=value: fields.update(pieces=value) for value in (0, 2.5, -1, 100_001, 1e300, True, [1])],
    lambda fields: fields.update(shape="array"),
    lambda fields: fields.update(rank="high"),
    lambda fields: fields.update(ref="req-"),
    lambda fields: fields.update(hulls="m4"),
    lambda fields: fields.update(hulls=["m4", 4]),
    lambda fields: fields.update(harbor=["a"]),
    lambda fields: fields.update(one_zone=0),
]


@settings(max_examples=200, deadline=None, derandomize=True, phases=PHASES)
@given(change=st.sampled_from(MALFORMED), seed=SEEDS)
def test_submission_with_a_missing_or_invalid_field_gets_400_and_one_line(change, seed):
    rng = random.Random(seed)
    fields = msgspec.to_builtins(job())
    change(fields)
    refused = refusal_of(spell_fields(fields, rng))
    assert "\n" not in refused and len(refused) < 300


BROKEN = [
    lambda body: body.strip()[:-1],
    lambda body: body + b"}",
    lambda body: body + body,
    lambda body: b"[" + body + b"]",
    lambda body: b"\xef\xbb\xbf" + body,
    lambda body: body.strip()[:-1] + b',"u":NaN}',
    lambda body: body.strip()[:-1] + b',"u":-Infinity}',
    lambda body: body.strip()[:-1] + b',"u":01}',
    lambda body: body.strip()[:-1] + b',"u":.5}',
    lambda body: body.strip()[:-1] + b",}",
    lambda body: body.strip()[:-1] + b",'u':1}",
    lambda body: body.strip()[:-1] + b',"u":"\xff"}',
    lambda body: body.strip()[:-1] + b',"u":"\xed\xa0\x80"}',
    lambda body: body.strip()[:-1] + b',"u":"\x01"}',
    lambda body: b"",
    lambda body: b"null",
    lambda body: body.decode().encode("utf-16"),
]


@settings(max_examples=150, deadline=None, derandomize=True, phases=PHASES)
@given(change=st.sampled_from(BROKEN), seed=SEEDS)
def test_body_that_is_no_json_object_gets_400_and_one_line(change, seed):
    rng = random.Random(seed)
    refused = refusal_of(change(spell(job(), rng)))
    assert "\n" not in refused and len(refused) < 300


def refusal_of(body):
    """Returns the reason with which a submission is refused as malformed."""
    store = ScriptedStore()
    reply = Users(make_config(), FakeClock(), store).submit(body)
    assert reply.status == 400, (reply, body)
    assert not [key for key in store.state.items if key.startswith(keys.JOB_PREFIX)]
    return reply.body["error"]
