"""Edge cases of user requests, gateways, settings and the command line, with simulated stores and leaders."""

import io
import json
import math

import msgspec
import pytest
from click.testing import CliRunner

from standins import TYPE, FakeClock, LeaderHarness, StateStandIn, job, make_config
from tideusher.actors.connections import Connections
from tideusher.actors.gateway import Gateway
from tideusher.actors.leader import Leader
from tideusher.actors.replies import Reply
from tideusher.actors.store import Conflict, Throttled, Unavailable
from tideusher.actors.users import Users
from tideusher.cli import main
from tideusher.config import ConfigError, Policy, Team, load_config, load_policy
from tideusher.core.lead import explain
from tideusher.core.model import keys
from tideusher.core.model.job_record import open_value
from tideusher.core.model.mirror import MirroredValue
from tideusher.core.model.records import JOB_CANCELLED, JOB_DONE
from tideusher.metrics import Metrics
from tideusher.web import MAX_USER_REQUESTS, Web
from tideusher.wire.peers import ReportAnswer
from tideusher.wire.state import Item, Items
from tideusher.wire.workers import Commands, Report, TaskReport, encode


class ScriptedStore:
    """A node's store on a simulated state service that the test can make unreachable."""

    def __init__(self) -> None:
        self.state, self.mirror, self.up, self.syncs = StateStandIn(), {}, True, 0
        self.contact_us, self.throttled = 0, False
        self.state.items[keys.TYPES] = ([msgspec.to_builtins(TYPE)], 1)
        self.sync()

    def describe_last_read(self):
        return "as scripted"

    def sync(self, timeout_s=0.0):
        self.syncs += 1
        if self.up:
            self.mirror = {key: MirroredValue(value, stamp) for key, (value, stamp) in self.state.items.items()}
        return self.up

    def tasks_of(self, job_id, number):
        stored = self.mirror.get(keys.chunk_key(job_id, number))
        return stored.value if stored else None

    def stamp_of(self, key):
        return self.mirror[key].stamp if key in self.mirror else 0

    def call(self, method, path):
        if not self.up:
            raise Unavailable("cut")
        prefix = path.partition("under=")[2].partition("&")[0]
        items = [Item(k, v, s) for k, (v, s) in sorted(self.state.items.items()) if k.startswith(prefix)]
        return 200, msgspec.json.encode(Items(items, self.state.tide))

    def txn(self, guards, writes, patience_s=None):
        if not self.up:
            raise Unavailable("cut")
        if self.throttled:
            raise Throttled("the budget of writes is spent")
        revision = self.state.txn(guards, writes)
        if revision is None:
            raise Conflict([guards[0].key])
        self.sync()
        return revision


@pytest.fixture
def store():
    return ScriptedStore()


@pytest.fixture
def users(store):
    return Users(make_config(), FakeClock(), store)


def body(spec, **changes):
    return msgspec.json.encode({**msgspec.to_builtins(spec), **changes})


# Users


def test_repeated_submission_gets_the_first_jobs_state_whatever_its_body(users):
    spec = job()
    assert users.submit(body(spec)).status == 201
    for repeat in (body(spec), body(spec, owner="nobody"), body(spec, pieces="x")):
        reply = users.submit(repeat)
        assert (reply.status, reply.body.status) == (200, "pending")


@pytest.mark.parametrize(
    "fields, status",
    [
        ({"team": "nobody"}, 422),
        ({"gpus": 5.0}, 422),
        ({"zone": "c"}, 422),
        ({"types": ["huge"]}, 422),
        ({"shape": "gang", "tasks": 13}, 422),
        ({"tasks": 13}, 201),  # an array may exceed the team's limit: its tasks run one after another
    ],
)
def test_job_that_can_never_run_is_rejected_on_submission(users, fields, status):
    assert users.submit(body(job(**fields))).status == status


def test_job_with_texts_longer_than_a_record_is_stored_with_short_ones_and_can_be_cancelled(users, store):
    """The protocol bounds the body only; the state service's stand-in refuses a value over 4 KiB."""
    long = job(image="x" * 50_000, job_class="\U0001f600" * 3_000)
    other = msgspec.structs.replace(long, id="req-000555", image="x" * 50_001)
    assert users.submit(body(long)).status == users.submit(body(other)).status == 201
    spec, other_spec = (store.state.record_of(one.id)["spec"] for one in (long, other))
    assert spec["bundle"] != other_spec["bundle"] and spec["jobclass"] == other_spec["jobclass"]
    assert users.cancel(long.id).body.status == "withdrawn"


def test_job_that_allows_more_types_than_a_record_holds_is_stored_with_those_that_fit(users, store):
    spec = job(types=[f"type-{number:04d}" for number in range(2_000)] + [TYPE.name])
    assert users.submit(body(spec)).status == 201
    assert store.state.record_of(spec.id)["spec"]["hulls"] == [TYPE.name]


@pytest.mark.parametrize(
    "fields, status",
    [
        ({"cpus": 16.0}, 201),
        ({"cpus": math.nextafter(16.0, 17.0)}, 422),
        ({"ram_gb": 64.0000000001}, 422),
        ({"shape": "gang", "tasks": 3, "gpus": 0.1, "team": "tenth"}, 201),  # 0.30000000000000004 as doubles
        ({"shape": "gang", "tasks": 3, "gpus": math.nextafter(0.1, 1.0), "team": "tenth"}, 422),
        ({"shape": "gang", "tasks": 100_000, "gpus": 1e-320, "team": "tenth"}, 201),
        ({"shape": "gang", "tasks": 100_000, "gpus": 1e308, "team": "tenth"}, 422),
    ],
)
def test_fit_and_limit_hold_at_the_edge_of_a_double(store, fields, status):
    config = make_config(teams=[Team("red"), Team("tenth", gpus=0.1, gpus_max=0.3)])
    assert Users(config, FakeClock(), store).submit(body(job(**fields))).status == status


def test_refusal_is_counted_by_kind_and_its_log_names_job_field_and_value(store, caplog):
    caplog.set_level("INFO")
    metrics = Metrics()
    users = Users(make_config(), FakeClock(), store, metrics=metrics)
    for refused in (body(job(id="req-000901"), cores="x" * 500), b"{", body(job(team="nobody")), b" " * 70_000):
        assert users.submit(refused).status in (400, 422)
    counted = {label: count for (name, label), count in metrics.counts.items() if name == "submissions_refused"}
    assert counted == {"field": 1, "no_json": 1, "unknown_team": 1, "too_long": 1}
    first = next(record.getMessage() for record in caplog.records if "req-000901" in record.getMessage())
    assert "cores is 'xxx" in first and len(first) < 250 and "\n" not in first


def test_missing_knowledge_is_503_with_retry_after(users, store):
    store.state.items.pop(keys.TYPES)
    store.sync()
    assert users.submit(body(job())).status == 503
    store.up = False
    for reply in (users.submit(body(job())), users.poll("req-000777"), users.cancel("req-000777")):
        assert reply.status == 503 and ("Retry-After", "1") in reply.headers


def test_throttled_request_gets_503_at_once_and_a_retry_succeeds(users, store):
    spec, store.throttled = job(), True
    reply = users.submit(body(spec))
    assert reply.status == 503 and ("Retry-After", "1") in reply.headers
    store.throttled = False
    assert users.submit(body(spec)).status == 201
    store.throttled = True
    assert users.cancel(spec.id).status == 503


def test_404_requires_a_read_and_final_states_do_not(users, store):
    before = store.syncs
    assert users.poll("req-999999").status == 404 and store.syncs > before
    store.mirror[keys.job_key("req-000001")] = MirroredValue({"st": JOB_DONE, "at": 0, "n": 3}, 9)
    store.up = False
    assert users.poll("req-000001").body.status == "done"
    assert users.cancel("req-000001").body.status == "done"


def test_poll_never_reports_an_older_state_than_another_node_did(users, store):
    spec = job()
    users.submit(body(spec))
    stale = dict(store.mirror)
    store.state.cancel(spec.id)  # by another node, which has reported it to its user
    store.mirror = stale
    assert users.poll(spec.id).body.status == "withdrawn"
    store.mirror, store.up = stale, False
    assert users.poll(spec.id).status == 503


def test_cancel_of_a_job_that_ended_first_reports_done(users, store):
    spec = job()
    users.submit(body(spec))
    stale = dict(store.mirror)
    store.state.items[keys.job_key(spec.id)] = ({"st": JOB_DONE, "at": 0, "n": 1}, 99)
    store.mirror = stale
    assert users.cancel(spec.id).body.status == "done"


def connections():
    return Connections(FakeClock(), 100, 6.0)


def call(web, method, path, data=b""):
    responses = []
    environ = {"REQUEST_METHOD": method, "PATH_INFO": path, "wsgi.input": io.BytesIO(data)}
    (content,) = web(environ, lambda status, headers: responses.append((int(status[:3]), dict(headers))))
    return responses[0][0], json.loads(content), responses[0][1]


def test_node_without_the_state_service_forwards_to_a_peer_or_responds_503_at_once(users, store):
    peer_answer = ReportAnswer(1, True, msgspec.Raw(b'{"ref":"req-000001","status":"withdrawn"}'), 200)
    peers = Part(forward_request=lambda method, path, body: peer_answer)
    web = Web("127.0.0.1:0", users, Part(), Part(), peers, Part(), lambda: store.up, lambda: True, connections())
    assert call(web, "GET", "/work/req-000001")[0] == 404  # a node in contact answers itself
    store.up = False
    assert call(web, "GET", "/work/req-000001")[:2] == (200, {"ref": "req-000001", "status": "withdrawn"})
    peers.forward_request = lambda method, path, body: None
    status, _, headers = call(web, "POST", "/work", body(job()))
    assert status == 503 and headers["Retry-After"] == "1"


@pytest.mark.parametrize(
    "method, path, status",
    [
        ("GET", "/work", 405),
        ("PUT", "/work/req-000001", 405),
        ("GET", "/work/req-000001/abort", 405),
        ("GET", "/nowhere", 404),
        ("GET", "/work/req-000001/else", 404),
        ("GET", "/checkin", 405),
        ("POST", "/teams", 405),
        ("GET", "/healthz", 200),
    ],
)
def test_status_codes_of_paths_and_methods(users, method, path, status):
    peers = Part(forward_request=lambda method, path, body: None)
    web = Web("127.0.0.1:0", users, Part(), Part(), peers, Part(), lambda: True, lambda: True, connections())
    assert call(web, method, path)[0] == status
    assert call(web, "POST", "/work", b"x" * 70_000)[0] == 400


def test_requests_over_the_concurrency_limit_get_503_and_workers_are_still_served(users):
    peers = Part(forward_request=lambda method, path, body: None)
    reports = Part(handle=lambda body: Part(status=200, body=b"{}"))
    web = Web("127.0.0.1:0", users, reports, Part(), peers, Part(), lambda: True, lambda: True, connections())
    answers = []

    def handle_with_concurrent_requests(path):
        """Sends a user's, a health and a worker's request while a user's request is being served."""
        answers.append(call(web, "GET", "/work/req-000002"))
        answers.append(call(web, "GET", "/healthz"))
        answers.append(call(web, "POST", "/checkin", b"{}"))
        return Reply(200, {})

    web._users = Part(handle=lambda method, path, body: handle_with_concurrent_requests(path), log=users.log)
    web._user_requests = MAX_USER_REQUESTS - 1  # this request reaches the limit, the next exceeds it
    assert call(web, "GET", "/work/req-000001")[0] == 200
    assert [answer[0] for answer in answers] == [503, 200, 200] and answers[0][2]["Retry-After"] == "1"
    web._user_requests -= 1
    web._users = users
    assert call(web, "GET", "/work/req-000001")[0] == 404 and web._user_requests == MAX_USER_REQUESTS - 2


# Gateways


class ScriptedLink:
    def __init__(self, peer, answer):
        self.peer, self.answer, self.up, self.deaf, self.round_trip_us = peer, answer, True, False, 0

    def usable(self):
        return self.up

    def ask(self, make, timeout_s):
        return self.answer


class Part:
    """A stub of an actor with the given attributes."""

    def __init__(self, **attributes):
        self.__dict__.update(attributes)


@pytest.fixture
def gateway_setup(store):
    clock = FakeClock()
    store.contact_us = clock.now_us()
    answer = ReportAnswer(1, True, msgspec.Raw(encode(Commands(41))))
    link = ScriptedLink(Part(name="n1", zone="b"), answer)
    election = Part(leader=lambda: ("n1", 41))
    peers = Part(links={"n1": link}, reported_leader=lambda: ("", 0))
    gateway = Gateway(make_config(), clock, store, election, Part(), peers)
    return Part(gateway=gateway, clock=clock, link=link, store=store, election=election, peers=peers)


def report(zone="a", token=41, *tasks):
    return encode(Report("host-1", "1:2", "m4", zone, False, 1, 5, token, None, list(tasks)))


def test_workers_are_redirected_to_a_live_controller_of_their_zone(gateway_setup):
    assert gateway_setup.gateway.handle(report("b")).status == 421
    gateway_setup.clock.pass_s(8.0)
    gateway_setup.link.up = False
    assert gateway_setup.gateway.handle(report("b")).status == 200
    assert gateway_setup.gateway.handle(report("a")).body == encode(Commands(41))


def test_isolated_gateway_extends_leases_halts_cancelled_tasks_and_starts_nothing(gateway_setup):
    gateway_setup.link.up = False
    spec = job()
    gateway_setup.store.mirror[keys.job_key(spec.id)] = MirroredValue({**open_value(spec, 0), "st": JOB_CANCELLED}, 5)
    answer = gateway_setup.gateway.handle(report("a", 41, TaskReport(f"{spec.id}/0", 1, "running")))
    commands = json.loads(answer.body)
    assert answer.status == 200 and commands["helm"] == 41
    assert [(o["order"], o["piece"]) for o in commands["orders"]] == [("halt", f"{spec.id}/0")]


def test_isolated_gateway_stops_answering_before_an_unknown_cancel_would_be_late(gateway_setup):
    gateway_setup.link.up = False
    timings = make_config().settings.workers
    gateway_setup.clock.pass_s(timings.cancel_s - timings.lease_s - 2.0)
    assert gateway_setup.gateway.handle(report()).status == 200
    gateway_setup.clock.pass_s(2.0)
    assert gateway_setup.gateway.handle(report()).status == 503


def test_report_with_a_higher_token_gets_503_until_that_leader_is_known(gateway_setup):
    assert gateway_setup.gateway.handle(report("a", 42)).status == 503
    gateway_setup.election.leader = lambda: ("n1", 42)
    assert gateway_setup.gateway.handle(report("a", 42)).status == 200
    assert gateway_setup.gateway.handle(b"{").status == 400


def test_leader_without_contact_stops_answering_as_early_as_an_isolated_gateway(gateway_setup):
    # A leader that alone had lost the state service once kept cancelled tasks running past their deadline.
    harness = LeaderHarness()
    election = Part(token=harness.cluster.token)
    store = Part(contact_us=harness.clock.now_us(), listen=lambda f: None, lead=lambda leads: None)
    leader = Leader(make_config(), Policy(), harness.clock, store, election, Part(), Metrics())
    leader._engine = harness.engine()
    first, second = (Report("host-1", "1:2", "m4", "a", False, 1, serial, election.token) for serial in (1, 2))
    leader._act = lambda engine: None
    assert leader.on_reports([first], harness.clock.now_us())[0].token == election.token
    harness.clock.pass_s(14.0)
    assert leader.on_reports([second], harness.clock.now_us()) == [None]


def test_node_cut_off_from_the_state_service_follows_the_leader_reported_by_peers(gateway_setup):
    gateway_setup.peers.reported_leader = lambda: ("n1", 43)
    gateway_setup.clock.pass_s(100.0)
    assert gateway_setup.gateway.handle(report("a", 42)).body == encode(Commands(41))  # the answer of that leader
    gateway_setup.link.up = False
    assert gateway_setup.gateway.handle(report("a", 42)).status == 503


# Explanations


def test_waiting_and_stopped_jobs_are_explained_also_by_the_next_leader():
    harness = LeaderHarness()
    spec = job("batch", 3, gpus=4.0, team="red")
    placed = harness.place(spec)
    explanation = explain.explain_job(harness.cluster, spec.id, harness.clock.now_us())
    assert any("room on a machine" in reason for reason in explanation["reasons"])
    harness.report("host-1", 2)
    harness.report("host-1", 3, (f"{spec.id}/0", 1, "running", None))
    task = placed.live[0]
    harness.cluster.halt(task, 0.0, "job req-9 of team blue needs the room")
    harness.report("host-1", 4, (f"{spec.id}/0", 1, "exited", "stopped"))
    harness.commit()
    harness.elect()
    explanation = explain.explain_job(harness.cluster, spec.id, harness.clock.now_us())
    assert [s["reason"] for s in explanation["stops"]] == ["job req-9 of team blue needs the room"]
    assert {row["team"] for row in explain.teams(harness.cluster)} == {"red", "blue", "poor"}
    assert [row["machine"] for row in explain.machines(harness.cluster, 0)] == ["host-1"]


# Settings and the command line


def test_invalid_settings_are_reported_with_the_field(tmp_path):
    path = tmp_path / "a.toml"
    path.write_text('host_name = "n0"\nsite = "a"\nbind = "x"\ncluster_listen = "1:2"\n[endpoints]\n[settings]\n')
    with pytest.raises(ConfigError, match="cloud"):
        load_config(str(path))
    properties = tmp_path / "a.properties"
    properties.write_text("# ours\npreempt.margin = 0.2\n")
    assert load_policy(str(properties)).margin == 0.2
    for text, name in (
        ("preempt.marign = 1", "marign"),
        ("fleet.idle_s = soon", "fleet"),
        ("fleet.idle_s = -1", "idle"),
    ):
        properties.write_text(text)
        with pytest.raises(ConfigError, match=name):
            load_policy(str(properties))


@pytest.mark.parametrize(
    "arguments, code, words",
    [
        (["status", "req-1", "--node", "127.0.0.1:1"], 1, "cannot reach 127.0.0.1:1"),
        (["status", "req-1", "--node", "nowhere"], 1, "not host:port"),
        (["check-config", "--config", "/nonexistent.toml"], 2, "/nonexistent.toml: No such file"),
        (["serve", "--config", "/nonexistent.toml"], 2, "/nonexistent.toml: No such file"),
        (["status"], 2, "Missing argument"),
        (["teams", "--bogus"], 2, "No such option"),
    ],
)
def test_invalid_calls_print_one_line_and_exit_non_zero(arguments, code, words):
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == code and words in result.output and "Traceback" not in result.output
