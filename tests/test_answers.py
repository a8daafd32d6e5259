"""Answers of all nodes to users are never older than earlier answers of any node (docs/compound-faults.md).

The simulated cluster records all answers of all nodes: no answer may fall behind what any user was told before the
request was sent. With lost answers a transaction is executed at once, and only its answer never arrives.
"""

from types import SimpleNamespace

import msgspec
import pytest

from standins import TYPE, FakeClock, StateStandIn, job, make_config
from tideusher.actors.election import Election
from tideusher.actors.replies import Reply
from tideusher.actors.store import Conflict, Store, Unavailable
from tideusher.actors.users import Users
from tideusher.config import Policy
from tideusher.core.model import keys
from tideusher.core.model.job_record import open_value
from tideusher.core.model.mirror import MirroredValue
from tideusher.core.model.records import JOB_DONE
from tideusher.metrics import Metrics
from tideusher.wire import state
from tideusher.wire.jobs import JobStatus


class Node:
    """A node's store over the shared state; the test decides how old its mirror is."""

    def __init__(self, stand_in):
        self.state, self.mirror, self.clock = stand_in, {}, FakeClock()
        self.while_txn, self.answers = lambda: None, True
        self.syncs = 0
        self.sync()

    def describe_last_read(self):
        return "as scripted"

    def sync(self, timeout_s=0.0):
        self.syncs += 1
        if self.answers:
            self.mirror = {key: MirroredValue(value, stamp) for key, (value, stamp) in self.state.items.items()}
        return self.answers

    def stamp_of(self, key):
        return self.mirror[key].stamp if key in self.mirror else 0

    def tasks_of(self, job_id, number):
        stored = self.mirror.get(keys.chunk_key(job_id, number))
        return stored.value if stored else None

    def txn(self, guards, writes, patience_s=None):
        if not self.answers:
            raise Unavailable("cut")
        revision = self.state.txn(guards, writes)
        if revision is None:
            raise Conflict([guards[0].key])
        for write in writes:
            self.mirror[write.key] = MirroredValue(write.value, revision)
        self.while_txn()
        return revision


@pytest.fixture
def node():
    stand_in = StateStandIn()
    stand_in.items[keys.TYPES] = ([msgspec.to_builtins(TYPE)], 1)
    return Node(stand_in)


def body(spec, **changes):
    return msgspec.json.encode({**msgspec.to_builtins(spec), **changes})


# Right after acceptance: one node knows the job, another has not read it yet


@pytest.mark.parametrize(
    "changes",
    [
        {"bundle": "x" * 5000},  # without a read this was 400: an accepted job was reported as malformed
        {"owner": "nobody"},
        {"gpus": 99.0},
        {"pieces": "x"},
        {"bundle": None},
    ],
)
def test_repeated_submission_with_any_body_gets_the_state_at_a_node_that_has_not_read_the_job(node, changes):
    spec, users = job(), Users(make_config(), node.clock, node)
    node.state.submit(spec, 0)  # through another node, a millisecond ago
    reply = users.submit(body(spec, **changes))
    assert (reply.status, reply.body.status) == (200, "pending")
    node.mirror.pop(keys.job_key(spec.id))
    node.answers = False
    reply = users.submit(body(spec, **changes))
    assert reply.status == 503 and ("Retry-After", "1") in reply.headers


def test_repeated_submission_gets_the_state_at_a_node_without_machine_types(node):
    spec, users = job(), Users(make_config(), node.clock, node)
    node.state.items.pop(keys.TYPES)
    node.sync()
    assert users.submit(body(spec)).status == 503
    node.state.submit(spec, 0)
    assert users.submit(body(spec)).status == 200


def test_slow_acceptance_answers_with_the_current_state_of_the_job(node):
    """Other nodes read the job at once: a user who knew of its cancellation was then told that it is pending."""
    spec, users = job(), Users(make_config(), node.clock, node)

    def cancel_at_another_node():
        node.clock.pass_s(1.0)
        assert node.state.cancel(spec.id)  # another node has confirmed it to its user

    node.while_txn = cancel_at_another_node
    assert users.submit(body(spec)).body.status == "withdrawn"


def test_acceptance_overtaken_by_own_reads_answers_with_what_they_showed(node):
    spec, users = job(), Users(make_config(), node.clock, node)
    node.while_txn = lambda: node.state.cancel(spec.id) and node.sync()
    assert users.submit(body(spec)).body.status == "withdrawn"


def test_prompt_acceptance_costs_no_read(node):
    users, before = Users(make_config(), node.clock, node), node.syncs
    assert users.submit(body(job())).status == 201 and node.syncs == before


def test_repeated_cancellation_after_a_lost_answer_reaches_the_workers(node):
    """The first request was executed. The repeat found the job cancelled and did not call its workers, whose leader
    could not read the state service."""
    spec, users, called = job(), Users(make_config(), node.clock, node), []
    users.on_cancelled = called.append
    users.submit(body(spec))

    def lost(guards, writes, patience_s=None):
        node.state.txn(guards, writes)
        raise Unavailable("no answer")

    node.txn = lost
    assert users.cancel(spec.id).status == 503 and not called
    assert users.cancel(spec.id).body.status == "withdrawn" and called == [spec.id]


# A full read whose pages are of different revisions


class Pages:
    """The state service for a client whose watch position is lost: full reads in pages, with changes between them."""

    def __init__(self, store):
        self.stand_in, self.between, self.log = StateStandIn(), lambda name: None, []
        store._client = self
        self.lost = False

    def call(self, method, path, body=None, timeout_s=None):
        where, _, query = path.partition("?")
        asked = dict(part.split("=") for part in query.split("&"))
        if where == "/watch":
            since = int(asked["since"])
            if self.lost and since < self.stand_in.tide:
                self.lost = False
                return 410, b"{}"
            log = [one for one in self.log if one["stamp"] > since]
            return 200, msgspec.json.encode({"tide": self.stand_in.tide, "log": log})
        names = sorted(key for key in self.stand_in.items if key > asked.get("since", ""))
        items = [state.Item(key, *self.stand_in.items[key]) for key in names[:1]]
        answer = msgspec.json.encode(state.Items(items, self.stand_in.tide, len(names) > 1))
        self.between(names[0] if names else "")
        return 200, answer

    def change(self, key, value):
        write = state.Put(key, value) if value is not None else state.Delete(key)
        revision = self.stand_in.txn([], [write])
        event = {"set": key, "value": value} if value is not None else {"remove": key}
        self.log.append({**event, "stamp": revision})


def test_full_read_during_which_a_job_ends_loses_no_done_task(monkeypatch):
    """The job's record was read before it ended, its chunk after: two tasks were reported done, and then none."""
    clock = FakeClock()
    store = Store(make_config(), clock, Metrics())
    pages, spec = Pages(store), job("batch", 2)
    chunk, record = keys.chunk_key(spec.id, 0), keys.job_key(spec.id)
    first, last = sorted([chunk, record])
    pages.change(record, open_value(spec, 0))
    pages.change(chunk, {"n": 2, "d": "3"})
    store._load()
    users = Users(make_config(), clock, store)
    store.sync = lambda timeout_s=0.0: store._poll(0) or True
    assert users.poll(spec.id).body.done == 2

    def end(name):
        if name == first:
            pages.change(record, {"st": JOB_DONE, "at": 0, "n": 2})
            pages.change(chunk, None)

    pages.between, pages.lost = end, True
    pages.change("t/x", 1)
    assert users.poll(spec.id).body.status == "done"


# Requests to all nodes within milliseconds


def run_day(sim, service=lambda sim: None, seconds=60):
    """Runs jobs that end or are cancelled, some at their last moment, with frequent polls at all nodes."""
    sim.looks, sim.cancels_at_end = True, 0.3
    specs = []
    for second in range(seconds):
        if second < seconds - 25:
            tasks = sim.rng.choice([1, 1, 2])
            spec = sim.submit(job("batch", tasks, estimate_s=sim.rng.choice([1.0, 4.0, 12.0]), gpus=0.5))
            specs.append(spec)
            if sim.rng.random() < 0.25:
                sim.time.later(sim.rng.random() * 0.2, lambda s=spec: sim.cancel(s))  # at once
        for spec in [one for one in specs if one.id in sim.accepted and one.id not in sim.told][:6]:
            sim.time.spawn(sim.poll, spec.id)
        service(sim)
        sim.run(1.0)
    sim.run(30.0)
    ends = [sim.told.get(spec.id) for spec in specs]
    assert ends.count("withdrawn") > 3
    return specs, ends


def slow_service(sim):
    sim.service.slow_s = 1.2


def lost_answers(sim):
    sim.service.at_once = 0.3


def late_writes(sim):
    sim.service.late = 0.2


def refused_node(sim):
    sim.service.refused = {sim.rng.choice(sim.names)} if sim.rng.random() < 0.5 else set()


def leader_restarts(sim):
    if sim.rng.random() < 0.1 and sim.leader() in sim.nodes:
        sim.end(sim.leader(), back_s=0.2)


@pytest.mark.parametrize("fault", [None, slow_service, lost_answers, late_writes, refused_node, leader_restarts])
def test_no_node_answers_with_older_state_than_any_earlier_answer(sim, fault):
    _, ends = run_day(sim(), fault or (lambda sim: None))
    assert ends.count("done") > 3


def test_answers_from_an_old_mirror_are_detected(sim, monkeypatch):
    """The planted fault: nodes answer from their mirrors without a read."""
    monkeypatch.setattr(Store, "sync", lambda store, timeout_s=2.0: True)
    with pytest.raises(AssertionError, match="went_back|forgotten"):
        run_day(sim(), slow_service)


def test_acceptance_answered_pending_after_a_cancellation_is_detected(sim, monkeypatch):
    accept = Users.accept

    def pending(users, spec, more=()):
        reply = accept(users, spec, more)
        return Reply(200, JobStatus(spec.id, "pending")) if reply.status == 200 else reply

    monkeypatch.setattr(Users, "accept", pending)
    with pytest.raises(AssertionError, match="went_back"):
        run_day(sim())


# Transactions that are executed at once and whose answer is lost


def task_records(write):
    """Returns the task records in a write, from a key of their own or a page."""
    key = write.get("set", "")
    if key.startswith(keys.PAGE_PREFIX):
        return list(write["value"].values())
    return [write["value"]] if key.startswith(keys.CHUNK_PREFIX) else []


KINDS = {
    "election": lambda write: write.get("set") == keys.LEADER,
    "acceptance": lambda write: write.get("set", "").startswith(keys.JOB_PREFIX) and write["value"]["st"] == "open",
    "cancellation": lambda write: (
        write.get("set", "").startswith(keys.JOB_PREFIX) and write["value"]["st"] == "cancelled"
    ),
    "assignment": lambda write: any("a" in record for record in task_records(write)),
    "completion": lambda write: any("d" in record for record in task_records(write)),
    "done": lambda write: write.get("set", "").startswith(keys.JOB_PREFIX) and write["value"]["st"] == "done",
    "removal": lambda write: write.get("remove", "").startswith((keys.CHUNK_PREFIX, keys.PAGE_PREFIX)),
    "rental": lambda write: write.get("set", "").startswith(keys.RENTAL_PREFIX) and not write["value"]["answered"],
    "rental answered": lambda write: write.get("set", "").startswith(keys.RENTAL_PREFIX)
    and write["value"]["machines"],
    "returning": lambda write: write.get("set", "").startswith(keys.RENTAL_PREFIX) and write["value"]["returning"],
    "adoption": lambda write: write.get("set", "").startswith(keys.RENTAL_PREFIX + "adopted-"),
    "fence": lambda write: write.get("set") == keys.FENCE,
    "charges": lambda write: write.get("set") == keys.RATIOS,
}


def lose_answers(sim, kind, times=2):
    """Loses the answers to the next transactions of the kind; returns the list of nodes that lost one."""
    lost = []

    def loses_answer(node, writes):
        if len(lost) < times and any(KINDS[kind](write) for write in writes):
            lost.append(node)
            return True
        return False

    sim.service.loses = loses_answer
    return lost


@pytest.mark.parametrize("kind", KINDS)
def test_transaction_whose_answer_is_lost_is_neither_undone_nor_repeated(sim, kind):
    """All other nodes read what it wrote and answer users meanwhile."""
    sim = sim(machines=2)
    lost = lose_answers(sim, kind)
    if kind == "fence":
        inner, lost = sim.service.loses, lose_answers(sim, "assignment", 1)
        first = sim.service.loses
        sim.service.loses = lambda node, writes: first(node, writes) or inner(node, writes)
    sim.looks, specs = True, []
    for number in range(14):
        specs.append(sim.submit(job("batch", 2, estimate_s=3.0, gpus=2.0, team=("red", "blue")[number % 2])))
        sim.run(1.0)
        if number % 4 == 3:
            sim.cancel(specs[-1])
        if number == 5 and kind == "election":
            sim.end(sim.leader(), back_s=0.2)
        if number == 7 and kind == "adoption":
            sim.rent("unknown", "a", False, 1, boots_s=0.0)
    sim.run(60.0)
    assert lost, "the transaction never came"
    for spec in specs:
        assert sim.told.get(spec.id) or poll(sim, spec) in ("done", "withdrawn"), spec.id
    rentals = {name: hosts for name, hosts in sim.rented.items() if not name.startswith("m-") and hosts}
    assert len(rentals) <= 8, rentals
    cluster = sim.nodes[sim.leader()].leader._cluster
    assert all(not any(abs(part) > 1e-9 for part in use) for use in cluster.usage.values())


def poll(sim, spec, node=None):
    got = []
    sim.time.spawn(lambda: got.append(sim.poll(spec.id, node)))
    sim.run(6.0)
    return got[0]


def test_leader_whose_election_answer_is_lost_leads_as_soon_as_it_reads_its_key(sim):
    """It waited three seconds for the answer, in which it held the leadership and did nothing."""
    sim = sim()
    lost = lose_answers(sim, "election", 1)
    sim.end(sim.leader(), back_s=5.0)
    for _ in range(100):
        sim.run(0.1)
        if lost:
            break
    assert lost
    sim.run(1.0)
    assert sim.leader() == lost[0] and sim.nodes[lost[0]].leader._cluster is not None


def test_election_is_reported_once_whichever_of_answer_and_watch_is_first():
    elected = []
    store = SimpleNamespace(mirror={}, listen=lambda listener: None, contact_us=0)
    config, clock = make_config(), FakeClock()
    rng = SimpleNamespace(getrandbits=lambda bits: 7, random=lambda: 0.5)
    election = Election(config, Policy(), store, clock, rng)
    election.set_sources(election._own_candidate, list, elected.append)
    election._on_change(keys.LEADER, {"node": "n0", "nonce": "7"}, 41)
    election._set_leading(41)
    election._on_change(keys.LEADER, {"node": "n0", "nonce": "8"}, 42)  # of a previous run, or of another controller
    assert elected == [41] and election.token == 41 and election.elected_us == clock.now_us()


def test_node_without_state_service_refuses_within_the_time_for_which_users_wait(sim):
    """Its peers read the state, but their answers never arrive: each had a timeout of its own, twice, in a row."""
    sim = sim(nodes=7)
    spec = sim.submit(job(estimate_s=60.0))
    sim.run(3.0)
    one = next(name for name in sim.names if name != sim.leader())
    sim.service.refused.add(one)
    sim.run(4.0)
    links = sim.nodes[one].peers.links.values()
    for link in links:
        link.ask = lambda make, timeout_s: sim.time.sleep(timeout_s)
    answers = []

    def ask():
        began_us = sim.clock.us
        answers.append((sim.ask(one, "GET", f"/work/{spec.id}"), sim.clock.us - began_us))

    sim.time.spawn(ask)
    sim.run(5.0)
    ((reply, took_us),) = answers
    assert reply[0] == 503 and took_us < 2_000_000
