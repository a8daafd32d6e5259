"""Amounts that nothing can be computed with are accepted if the protocol allows them, and harm nobody."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins import TYPE, FakeClock, LeaderHarness, job, make_config
from test_edges import ScriptedStore
from tideusher.actors.users import Users
from tideusher.clock import SECOND_US
from tideusher.config import ConfigError, load_config
from tideusher.core.lead import explain
from tideusher.core.lead.reports import Reports
from tideusher.core.model.job_record import accepted_value, open_value, sent_amounts
from tideusher.core.model.keys import job_key
from tideusher.core.model.records import OPEN
from tideusher.playground.servers import SETTINGS
from tideusher.wire.amounts import DURATION, RESOURCE
from tideusher.wire.cloud import ListedMachine
from tideusher.wire.jobs import AMOUNTS, InvalidJob, JobSpec, check_job, computable
from tideusher.wire.state import Guard, Put
from tideusher.wire.submissions import parse_job
from tideusher.wire.workers import Report

LARGEST, SMALLEST = 1.7976931348623157e308, 5e-324
#: Every double from 0 on.
DOUBLES = st.floats(min_value=0.0, allow_nan=False, allow_infinity=False, allow_subnormal=True)


# At the door


@pytest.mark.parametrize("field", AMOUNTS, ids=lambda field: field.name)
@pytest.mark.parametrize("amount", [-1.0, -SMALLEST, float("nan"), float("inf")])
def test_amount_that_is_no_number_of_at_least_0_is_refused_with_its_field(field, amount):
    spec = msgspec.structs.replace(job(), **{field.attribute: amount})
    with pytest.raises(InvalidJob, match=f"^{field.name} must be a number of at least 0$") as refusal:
        check_job(spec)
    assert refusal.value.field == field.name


@pytest.mark.parametrize("shape", ["batch", "gang"])
@pytest.mark.parametrize("amount", [SMALLEST, 1e-60, 1e-9, 1e12, LARGEST])
@pytest.mark.parametrize("field", AMOUNTS, ids=lambda field: field.name)
def test_sound_job_with_an_amount_outside_the_bounds_runs_beside_others_or_fits_no_machine(field, amount, shape):
    """A job with the largest double as a duration made every pass of every leader fail; then it was refused."""
    odd = msgspec.structs.replace(job(shape, 1, team="blue"), **{field.attribute: amount})
    parsed = parse_job(msgspec.json.encode(odd))
    value = accepted_value(parsed, 0)
    if not field.above_means_none or amount < 1.0:
        assert sent_amounts(value) == {field.name: amount}
    counted = getattr(msgspec.convert(value["spec"], JobSpec), field.attribute)
    assert counted is None or (field.bounds.contain(counted) and counted > 0)
    users_reply = door().submit(msgspec.json.encode(odd))
    if amount > 1.0 and field.bounds is RESOURCE:
        assert users_reply.status == 422
        return
    assert users_reply.status == 201
    assert run_beside(odd, value) == ["running", "running"]


def door():
    """Returns the user API of a controller that has nothing else to do."""
    return Users(make_config(), FakeClock(), ScriptedStore(), conditions=True)


def test_deadline_of_the_largest_double_is_none():
    """Some clients send it for "no deadline"."""
    spec = msgspec.structs.replace(job(), deadline_s=LARGEST)
    assert parse_job(msgspec.json.encode(spec)).deadline_s is None
    assert check_job(msgspec.structs.replace(spec, deadline_s=900.0)).deadline_s == 900.0


@pytest.mark.parametrize("line", ["gpus_max = 1e300", "gpus = -1.0", "cpus = inf"])
def test_settings_with_amounts_outside_their_bounds_are_refused(tmp_path, line):
    path = tmp_path / "a.toml"
    text = SETTINGS.format(port=1, peer=2, cloud=3, state=4)
    path.write_text(text.replace('{ name = "red", gpus = 8.0, gpus_max = 12.0 }', f'{{ name = "red", {line} }}'))
    with pytest.raises(ConfigError, match=line.split()[0]):
        load_config(str(path))


# Behind the door: stored by an earlier version


def serve(harness, hosts, serials, seconds):
    """Lets machines report and passes run."""
    for _ in range(seconds):
        harness.clock.pass_s(1.0)
        for host in hosts:
            serials[host] = serials.get(host, 1) + 1
            machine = harness.cluster.machines.get(host)
            tasks = machine.tasks.values() if machine is not None else ()
            harness.report(host, serials[host], *((t.name, t.attempt, "running", None) for t in tasks if t.sent))
        harness.see_jobs()
        harness.scheduler.schedule(harness.clock.now_us())
        harness.cluster.charge_usage(harness.clock.now_us())
        harness.commit()


def run_beside(odd, value=None):
    """Runs a good job beside a stored one, through a takeover, a lost machine and a cancellation.

    `value`: the record of the odd job; the default is that of an earlier version, with its amounts as they are.
    """
    harness, serials, hosts = LeaderHarness(), {}, ["host-1", "host-2"]
    for host in hosts:
        harness.report(host, 1)
    value = value or open_value(odd, harness.clock.wall_us())
    assert harness.state.txn([Guard(job_key(odd.id), 0)], [Put(job_key(odd.id), value)])
    harness.see_jobs()
    good = job("batch", 2, estimate_s=500.0)
    harness.submit(good)
    serve(harness, hosts, serials, 4)
    harness.elect()
    serve(harness, hosts, serials, 3)
    for task in list(harness.cluster.jobs[odd.id].live.values()):
        harness.cluster.lost(task, "its machine does not have it", harness.clock.now_us())
    serve(harness, hosts, serials, 2)
    if harness.state.record_of(odd.id)["st"] == OPEN:  # a task may be over its limit at once
        assert explain.explain_job(harness.cluster, odd.id, harness.clock.now_us())["job"] == odd.id
        assert harness.state.cancel(odd.id)
    serve(harness, hosts, serials, 2)
    return [task.state for task in harness.cluster.jobs[good.id].live.values()]


#: Only a service has no limit.
SHAPES_AND_FIELDS = [
    (shape, field)
    for shape in ("batch", "gang", "service")
    for field in AMOUNTS
    if (shape, field.name) != ("service", "limit_s")
]


@pytest.mark.parametrize("amount", [SMALLEST, 1e-9, LARGEST])
@pytest.mark.parametrize(("shape", "field"), SHAPES_AND_FIELDS, ids=lambda part: getattr(part, "name", part))
def test_stored_job_with_any_amount_leaves_the_others_as_they_are(shape, field, amount):
    odd = msgspec.structs.replace(job(shape, 1, team="blue"), **{field.attribute: amount})
    assert run_beside(odd) == ["running", "running"]


@settings(max_examples=60, deadline=None)
@given(st.fixed_dictionaries({field.attribute: DOUBLES for field in AMOUNTS}), st.sampled_from(["batch", "gang"]))
def test_stored_job_with_drawn_amounts_leaves_the_others_as_they_are(amounts, shape):
    odd = msgspec.structs.replace(job(shape, 2, team="blue"), **amounts)
    assert run_beside(odd) == ["running", "running"]


@given(st.fixed_dictionaries({field.attribute: DOUBLES for field in AMOUNTS}))
def test_computable_amounts_are_within_their_bounds_and_the_others_unchanged(amounts):
    spec = msgspec.structs.replace(job(), **amounts)
    taken = computable(spec)
    for field in AMOUNTS:
        before, after = getattr(spec, field.attribute), getattr(taken, field.attribute)
        assert after is None or field.bounds.contain(after)
        assert after == before or not field.bounds.contain(before)
    assert computable(taken) is taken


TYPE_AMOUNTS = ["cpus", "gpus", "ram_gb", "cache_gb", "fetch_gb_per_s", "boot_s", "price", "spot_price"]


@pytest.mark.parametrize("amount", [-1.0, float("nan"), float("inf")])
@pytest.mark.parametrize("name", TYPE_AMOUNTS)
def test_machine_type_with_an_amount_that_is_no_number_is_not_used_and_the_others_are(name, amount):
    harness = LeaderHarness()
    odd = msgspec.structs.replace(TYPE, name="odd", **{name: amount})
    harness.cluster.set_types([odd, TYPE])
    assert list(harness.cluster.cluster_state.types) == [TYPE.name]
    assert harness.place(job()).live


@pytest.mark.parametrize("amount", [SMALLEST, 1e-300, 1e12, LARGEST])
@pytest.mark.parametrize("name", TYPE_AMOUNTS)
def test_machine_type_with_any_sound_amount_is_used_with_no_more_than_it_has(name, amount):
    """Left out for an amount, it made every job that fits it "fit no machine", which is final."""
    harness = LeaderHarness()
    odd = msgspec.structs.replace(TYPE, **{name: amount})
    harness.cluster.set_types([odd])
    counted = harness.cluster.cluster_state.types[TYPE.name]
    assert all(getattr(counted, one) <= getattr(odd, one) for one in ("cpus", "gpus", "ram_gb"))
    fits = name not in ("cpus", "gpus", "ram_gb") or amount > 1.0
    assert bool(harness.place(job()).live) == fits
    harness.scheduler.schedule(harness.clock.now_us())
    harness.cluster.charge_usage(harness.clock.now_us())


@pytest.mark.parametrize("recall_s", [SMALLEST, LARGEST, -5.0])
def test_report_with_any_time_until_the_machine_is_taken_away_is_answered(recall_s):
    """An answer that fails renews no lease: the machine's tasks were lost with it."""
    harness = LeaderHarness()
    harness.place(job())
    report = Report("host-1", "127.0.0.1:9", "m4", "a", False, 1, 2, harness.cluster.token, recall_s)
    assert Reports(harness.cluster).answer(report, harness.clock.now_us()) is not None


@pytest.mark.parametrize("age_s", [SMALLEST, LARGEST, -5.0])
def test_list_of_machines_with_any_age_is_taken(age_s):
    harness = LeaderHarness()
    harness.place(job())
    machines = [ListedMachine(name, "127.0.0.1:9", "m4", "a", False, "running", age_s) for name in ("host-1", "new")]
    harness.cluster.listed(machines, harness.clock.now_us())
    assert harness.cluster.machines["host-1"].listed == "running"
    assert ("new" in harness.cluster.machines) == (age_s == LARGEST)  # long listed, and no rental names it


def test_bounds():
    assert DURATION.contain(0.0) and DURATION.contain(1e9) and not DURATION.contain(float("nan"))
    assert [RESOURCE.clamp(one) for one in (-1.0, 0.0, SMALLEST, 4.0, LARGEST)] == [0.0, 0.0, 1e-6, 4.0, 1e9]
    assert round(DURATION.most * SECOND_US) < 1 << 60 and make_config().settings.workers.cancel_s < DURATION.most
