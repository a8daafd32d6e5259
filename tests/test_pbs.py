"""PBS scripts: samples with their native jobs, arbitrary input, and submission through a node."""

import json
import re
from datetime import UTC, datetime, timedelta, timezone
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from standins import FakeClock, job, make_config
from test_edges import ScriptedStore
from tideusher.actors.users import Users
from tideusher.cli import main
from tideusher.client import Client, ServiceError
from tideusher.config import ConfigError, load_settings
from tideusher.core.model import keys
from tideusher.pbs import Refusal, read_script, translate
from tideusher.pbs.ids import BadId, parse_id, pbs_id
from tideusher.pbs.resources import (
    BadResource,
    parse_duration_s,
    parse_nodes,
    parse_place,
    parse_select,
    parse_size,
    split_list,
)
from tideusher.pbs.script import MAX_SCRIPT
from tideusher.pbs.storage import Damaged, ScriptTooLarge, compress_text, decompress_text, pack, unpack
from tideusher.pbs.translate import RunSettings
from tideusher.wire.arrays import parse_indexes
from tideusher.wire.submissions import parse_job

SAMPLES = Path(__file__).parent.parent / "samples" / "pbs"
PROFILE = load_settings(str(SAMPLES / "profile.properties")).profile
NOW = datetime(2027, 1, 2, 12, tzinfo=UTC)
MINIMAL = b"#PBS -l walltime=60\nrun\n"


def native(text, *options, now=NOW, file="a.pbs", **environment):
    return translate(read_script(text, file, options), PROFILE, "req-000412", now, environment)


def refusal(text, *options, file="a.pbs"):
    with pytest.raises(Refusal) as raised:
        native(text, *options, file=file)
    return str(raised.value)


def test_each_sample_translates_to_its_native_job_or_its_refusal():
    scripts = sorted(SAMPLES.glob("*.pbs"))
    assert len(scripts) >= 40
    for path in scripts:
        expected_refusal = path.with_suffix(".refusal")
        if expected_refusal.exists():
            assert refusal(path.read_bytes(), file=path.name) + "\n" == expected_refusal.read_text()
            continue
        submission = native(path.read_bytes(), file=path.name)
        actual = {
            "job": submission.spec,
            "run": submission.run,
            "waived": submission.waived,
            "notes": submission.notes,
        }
        actual = {name: part for name, part in msgspec.to_builtins(actual).items() if name in ("job", "run") or part}
        assert actual == json.loads(path.with_suffix(".json").read_text()), path.name
        assert parse_job(msgspec.json.encode(submission.spec)) == submission.spec


# Arbitrary input

WORDS = st.sampled_from(
    "select nodes place walltime mem pmem ncpus ngpus ppn gpus free pack scatter group=zone depend afterok afterany "
    "12:30 1:00:00:00 4gb 512mb 2 0 99999999999 0-9 1-9:2%3 1,4,7 412 412[3].tideusher x tiles train y n".split()
)
LETTERS = st.sampled_from("aAcCeFhIJjklmMNopPqrRStuvVWxXzdwfGTQ9-")
VALUE = st.lists(st.one_of(WORDS, st.sampled_from(list("=:,+%-'\"\\ #[]")), st.text(max_size=4)), max_size=6).map(
    "".join
)
NAME = st.sampled_from("select nodes place walltime mem pmem ncpus ngpus ppn gpus mpiprocs depend x".split())
PAIR = st.tuples(NAME, st.one_of(WORDS, VALUE)).map("=".join)
LIST = st.tuples(
    st.sampled_from(["-l ", "-l select=1:", "-l nodes=2:", "-W "]), st.lists(PAIR, min_size=1, max_size=3)
)
LINE = st.one_of(
    st.tuples(LIST, st.sampled_from(",:+")).map(lambda pair: f"#PBS {pair[0][0]}{pair[1].join(pair[0][1])}"),
    st.tuples(LETTERS, VALUE).map(lambda pair: f"#PBS -{pair[0]} {pair[1]}"),
    st.tuples(LETTERS, VALUE, LETTERS, VALUE).map(lambda p: f"#PBS -{p[0]}{p[1]} -{p[2]} {p[3]}"),
    st.sampled_from(["#PBS -l walltime=60", "#PBS -l select=2:ncpus=2:mem=2gb", "#PBS -q tiles -J 0-5", "run", ""]),
    st.text(max_size=20),
)
SCRIPT = st.one_of(
    st.tuples(st.lists(LINE, max_size=6), st.sampled_from(["\n", "\r\n", "\r"])).map(
        lambda pair: pair[1].join([*pair[0], "#PBS -l walltime=60", "run"]).encode("utf-8", "surrogatepass")
    ),
    st.binary(max_size=200),
)


@settings(derandomize=True, deadline=None, max_examples=400, database=None)
@given(SCRIPT, st.lists(st.one_of(VALUE, LETTERS.map("-{}".format)), max_size=4), st.text(max_size=10))
def test_any_input_gives_a_valid_job_or_a_one_line_refusal_with_its_location(text, options, file):
    try:
        submission = native(text, *options, file=file)
    except Refusal as refused:
        assert re.fullmatch(r".*:[0-9]+: .+", str(refused)) and str(refused).isprintable()
        return
    assert parse_job(msgspec.json.encode(submission.spec)) == submission.spec
    run, stored = unpack(pack(submission.run, text, 8192, 7))
    assert (run, stored) == (submission.run, text)


@settings(derandomize=True, deadline=None, max_examples=400, database=None)
@given(st.sampled_from(["", "1:ncpus=", "2:ngpus=", "1:mem=", "2:ppn=", "3:gpus=", "free:", "group="]), VALUE)
def test_any_text_parses_as_a_resource_or_gives_a_reason(front, text):
    for parse in (parse_select, parse_nodes, parse_place, parse_size, parse_duration_s, split_list):
        try:
            parse(front + text)
        except BadResource as error:
            assert str(error)


def test_script_with_64_kib_of_comments_is_read_and_stored():
    text = b"#!/bin/sh\n" + b"# why\n" * 11_000 + b"#PBS -N late -l walltime=60\nrun\n"
    assert len(text) > 65_536
    submission = native(text)
    assert submission.spec.name == "late" and len(pack(submission.run, text, 4096, 7)) == 1
    assert (
        refusal(b"# " + b"x" * MAX_SCRIPT)
        == f"a.pbs:0: the script has {MAX_SCRIPT + 2} bytes; {MAX_SCRIPT} are possible"
    )


def test_command_line_options_override_directives_and_are_named_when_refused():
    text = b"#PBS -N 'not valid' -q nowhere -l walltime=60,mem=1gb\nrun\n"
    spec = native(text, "-N", "mine", "-qtiles", "-l", "mem=2gb").spec
    assert (spec.name, spec.job_class, spec.ram_gb, spec.limit_s) == ("mine", "tile-render", 2.0, 60.0)
    assert refusal(MINIMAL, "-N", "a", "-q", "nowhere").startswith(
        "command line:2: -q nowhere: there is no such queue"
    )
    assert refusal(MINIMAL, "-l").startswith("command line:0: -l: the option has no value")
    other = b"#PBS -l walltime=1\n#BATCH -l walltime=70\nrun\n"
    assert native(other, "-C", "#BATCH").spec.limit_s == 70.0
    assert "command line only" in refusal(b"#PBS -C x\nrun\n")


@pytest.mark.parametrize(
    "at, expected",
    [
        ("1159", "2027-01-03 11:59:00"),
        ("1201", "2027-01-02 12:01:00"),
        ("011100", "2027-02-01 11:00:00"),
        ("12311100.30", "2027-12-31 11:00:30"),
        ("01011100", "2028-01-01 11:00:00"),
        ("2606011100", "2026-06-01 11:00:00"),
        ("203006011100", "2030-06-01 11:00:00"),
    ],
)
def test_partial_start_times_are_the_next_match_in_the_submitters_time_zone(at, expected):
    zone = timezone(timedelta(hours=9))
    spec = native(MINIMAL, "-a", at, now=NOW.replace(tzinfo=zone)).spec
    assert spec.not_before == datetime.fromisoformat(expected).replace(tzinfo=zone).timestamp()


def test_array_indexes_map_to_tasks_and_back():
    indexes = parse_indexes("1-9:3,20,30-31", 10)
    assert list(indexes) == [1, 4, 7, 20, 30, 31] and indexes[1:3] == [4, 7]
    assert [indexes.index(number) for number in indexes] == list(range(6))
    with pytest.raises(ValueError):
        indexes.index(2)


def test_job_names_convert_both_ways():
    for text, name in (("412", "req-000412"), ("412[].tideusher", "req-000412"), ("req-7", "req-7")):
        assert parse_id(text) == (name, None)
    assert parse_id("412[3].tideusher") == ("req-000412", 3)
    assert pbs_id("req-000412") == "412.tideusher" and pbs_id("req-000412", 3) == "412[3].tideusher"
    for native_only in ("req-7", "req-000000", "req-0000000412"):  # these have no PBS equivalent
        assert pbs_id(native_only) == native_only and parse_id(pbs_id(native_only)) == (native_only, None)
    for malformed in ("", "0412", "x", "412[3", "412.tide usher", "4" * 30):
        with pytest.raises(BadId):
            parse_id(malformed)


# Settings


@pytest.mark.parametrize(
    "old, new, words",
    [
        ("owner = red\npbs.queue.work.jobclass", "ownr = red\npbs.queue.work.jobclass", ":6: pbs.queue.work.ownr"),
        ("mem_gb = 4.0", "mem_gb = lots", ":10: pbs.queue.work.mem_gb: Expected `float`"),
        ("mem_gb = 4.0", "mem_gb = 0", ":10: pbs.queue.work.mem_gb"),
        ("pbs.queue.work.mem_gb = 4.0\n", "", ":6: pbs.queue.work.mem_gb: Object missing"),
        ("rank = urgent", "rank = high", "pbs.queue.train.rank: it must be one of"),
        ("default_queue = work", "default_queue = wrok", ":3: pbs.default_queue: there is no queue 'wrok'"),
        ("waive = -m", "waive = -l walltime,-N", "'-N' is honoured"),
        ("waive = -m", "wave = -m", ":4: pbs.wave: there is no such setting"),
        ("jobs.conditions = true", "jobs.conditions = maybe", ":2: Expected `bool`"),
        ("jobs.conditions = true", "", "needs jobs.conditions"),
        (
            "pbs.queue.work.mem_gb = 4.0\n",
            "pbs.queue.work.mem_gb = 4.0\n" * 2,
            ":11: pbs.queue.work.mem_gb is already set in line 10",
        ),
    ],
)
def test_invalid_setting_is_reported_with_its_line(tmp_path, old, new, words):
    text = (SAMPLES / "profile.properties").read_text()
    assert old in text
    path = tmp_path / "p.properties"
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(ConfigError) as error:
        load_settings(str(path))
    assert words in str(error.value) and "\n" not in str(error.value)


# Stored scripts


def test_stored_script_is_size_limited_complete_and_checked():
    noise = bytes(range(1, 256)) * 40
    values = pack(RunSettings("a"), noise, 128, 1000)
    assert len(values) > 1 and all(len(msgspec.json.encode(value)) <= 128 for value in values)
    assert unpack(values) == (RunSettings("a"), noise)
    for damaged in (values[:-1], values[1:], [{"z": "!"}], [{"z": compress_text(b"no line of JSON")}], []):
        with pytest.raises(Damaged):
            unpack(damaged)
    with pytest.raises(ScriptTooLarge, match=f"has {len(noise)} bytes"):
        pack(RunSettings("a"), noise, 128, 3)
    bomb = compress_text(b"\0" * (64 << 20))
    assert len(bomb) < 16_000
    with pytest.raises(Damaged, match="says to unpack to 67108864"):
        decompress_text(bomb)


# Through a node


@pytest.fixture
def store():
    return ScriptedStore()


@pytest.fixture
def users(store):
    config = make_config()
    return Users(config, FakeClock(), store, conditions=True, profile=PROFILE)


def post(users, **fields):
    return users.handle("POST", "/pbs", msgspec.json.encode({"ref": "req-000412", "file": "a.pbs", **fields}))


def test_script_is_accepted_once_and_stored_in_the_same_transaction(users, store):
    text = (SAMPLES / "waived.pbs").read_text()
    before = store.state.tide
    reply = post(users, script=text)
    assert (reply.status, reply.body.id, len(reply.body.waived)) == (201, "412.tideusher", 4)
    assert store.state.tide == before + 1
    assert keys.script_key("req-000412", 0) in store.state.items
    assert not keys.script_prefix("").startswith(keys.PREFIX)  # no node watches the scripts
    for repeat in (text, "#PBS -Q\n", "other"):
        assert post(users, script=repeat).body.status == "pending"
    assert store.state.tide == before + 1
    stored = users.handle("GET", "/work/req-000412/script", b"").body
    assert unpack([{"z": stored.packed}]) == (RunSettings("a.pbs"), text.encode())
    store.mirror = {}  # the node has not read the record yet, and the profile has changed since
    assert post(users, script="#PBS -Q\nrun").body.status == "pending"


def test_script_may_be_compressed_and_brings_options_and_variables(users):
    reply = post(users, packed=compress_text(MINIMAL), options=["-v", "A,B=2", "-J", "1-3"], environment={"A": "1"})
    assert reply.body.id == "412[].tideusher"
    run, text = unpack([{"z": users.handle("GET", "/work/req-000412/script", b"").body.packed}])
    assert run.variables == {"A": "1", "B": "2"} and text == MINIMAL


@pytest.mark.parametrize(
    "fields, words",
    [
        ({"script": "#PBS -Q\nrun"}, "a.pbs:1: -Q: there is no such option"),
        ({"script": "run \ud800"}, ""),
        ({"packed": "!"}, "a.pbs:0: not a packed script"),
        ({"packed": compress_text(b"\0" * (2 << 20))}, "a.pbs:0: it says to unpack"),
        ({}, "one of script and packed"),
        ({"script": "run", "ref": "412"}, "ref must look like"),
        ({"script": "run", "utc_offset_s": 100_000}, "utc_offset_s"),
        ({"script": "run", "options": "-N"}, "options"),
        ({"script": MINIMAL.decode() + "".join(f"{n * n * n:x}" for n in range(9000))}, "can be kept with a job"),
    ],
)
def test_invalid_script_request_gets_400_with_one_line(users, fields, words):
    body = json.dumps({"ref": "req-000412", "file": "a.pbs", **fields}).encode()
    reply = users.handle("POST", "/pbs", body)
    assert reply.status == 400 and words in reply.body["error"] and "\n" not in reply.body["error"]


def test_scripts_are_accepted_only_with_a_profile(store):
    users = Users(make_config(), FakeClock(), store, conditions=True)
    assert post(users, script="run").status == 404
    assert users.handle("GET", "/work/req-000412/script", b"").status == 404


def test_script_is_fetched_or_gets_503_while_the_state_service_is_unreachable(users, store):
    post(users, script=MINIMAL.decode())
    assert users.handle("GET", "/work/req-000413/script", b"").status == 404
    store.up = False
    assert users.handle("GET", "/work/req-000412/script", b"").status == 503


# The command line


@pytest.fixture
def run(users, monkeypatch):
    def answer(self, method, path, body=None):
        reply = users.handle(method, path, body or b"")
        if path.startswith("/why/"):
            return b'{"job":"req-000412","status":"open","reasons":["It waits."],"stops":[],"name":"a","tasks":1}'
        if reply.status not in (200, 201):
            raise ServiceError(reply.body["error"], reply.status)
        return msgspec.json.encode(reply.body)

    monkeypatch.setattr(Client, "_call", answer)

    def invoke(*words, text=None):
        result = CliRunner().invoke(main, ["pbs", *words], input=text)
        assert "Traceback" not in result.output and (
            result.exception is None or isinstance(result.exception, SystemExit)
        )
        return result.exit_code, result.stdout.strip(), result.stderr.strip()

    return invoke


def test_life_cycle_of_a_script_on_the_command_line(run):
    path = str(SAMPLES / "held.pbs")
    assert run("submit", "--ref", "req-000412", path) == (0, "412.tideusher", "")
    assert run("submit", "--ref", "req-000412", "-N", "again", path) == (0, "412.tideusher", "")
    assert run("stat", "412")[1].splitlines()[1].split()[:3] == ["412.tideusher", "a", "H"]
    assert "held" not in run("release", "412.tideusher")[1]
    assert run("hold", "412", "--by", "anna")[1].endswith("held by anna")
    assert run("script", "412")[1] == Path(path).read_text().strip()
    assert run("explain", "412")[1] == "req-000412: open\n  It waits."
    assert run("del", "412")[1] == "req-000412: withdrawn"
    assert run("stat", "412")[1].splitlines()[1].split()[2] == "F"


def test_native_service_is_held_released_and_shrunk_on_the_command_line(run, users):
    users.submit(msgspec.json.encode(job("service", 4)))
    (name,) = [key.rpartition("/")[2] for key in users._store.mirror if key.startswith(keys.JOB_PREFIX)]
    for words, output in (
        (["hold", name, "--by", "anna"], "held by anna"),
        (["release", name], "pending"),
        (["shrink", name, "2"], "pending"),
    ):
        result = CliRunner().invoke(main, words)
        assert result.exit_code == 0 and output in result.stdout
    assert users._store.mirror[keys.job_key(name)].value["spec"]["pieces"] == 2
    assert CliRunner().invoke(main, ["shrink", name, "0"]).exit_code == 2


def test_refusals_on_the_command_line_print_one_line_and_exit_2(run, monkeypatch):
    assert run("submit", str(SAMPLES / "refuse-output-files.pbs"))[:2] == (2, "")
    assert (
        run("submit", "-", text="#PBS -Q\nrun")[2].splitlines()[0]
        == "tideusher: STDIN:1: -Q: there is no such option"
    )
    assert run("submit", "-V", "-", text="run")[0] == 2
    assert "one SCRIPT" in run("submit", "-N", "x")[2]
    assert "No such file" in run("submit", "/nonexistent")[2]
    assert run("del", "412[3]")[0] == 2 and run("stat", "x")[0] == 2
    monkeypatch.setenv("HERE", "yes")
    profile = str(SAMPLES / "profile.properties")
    code, out, _ = run("translate", "--profile", profile, "-v", "HERE", str(SAMPLES / "select-gang.pbs"))
    assert code == 0 and parse_job(out.encode()).tasks == 4
    assert run("translate", str(SAMPLES / "select-gang.pbs"))[1] == out  # with the node's profile
    assert run("translate", "--profile", "/nonexistent", str(SAMPLES / "held.pbs"))[0] == 2
    assert run("submit", "-z", "-", text=MINIMAL.decode())[:2] == (0, "")
