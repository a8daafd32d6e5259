"""The store: overlapping answers of watches in any order, the write budget and its shares, and the write queue."""

import msgspec
import pytest

from standins import FakeClock, make_config
from tideusher.actors.rate_limits import DemandRate, TokenBucket
from tideusher.actors.store import Store, Throttled
from tideusher.core.model import keys
from tideusher.core.model.write_queue import Entry, WriteQueue
from tideusher.metrics import Metrics
from tideusher.wire import state


@pytest.fixture
def store():
    return Store(make_config(), FakeClock(), Metrics())


def watch_answer(tide, *log):
    return 200, msgspec.json.encode({"tide": tide, "log": list(log)})


def answer_commit(store, tide):
    """Has the store's next transactions committed at this revision."""
    store.call = lambda *args, **kwargs: (200, msgspec.json.encode({"tide": tide}))


def test_overtaken_answer_restores_no_removed_key(store):
    # A removed key restored from a late answer blocked every transaction of the next leader.
    put = {"set": "t/x", "value": 1, "stamp": 5}
    removed = {"remove": "t/x", "stamp": 8}

    def overtaken(*args, **kwargs):
        store.call = lambda *args, **kwargs: watch_answer(9, put, removed)
        store._poll(0)  # a second read, sent later and answered first
        return watch_answer(6, put)

    store.call = overtaken
    store._poll(2000)
    assert store.mirror == {} and store.stamp_of("t/x") == 0 and store.revision == 9


def test_own_writes_are_visible_at_once_and_older_answers_do_not_undo_them(store):
    answer_commit(store, 12)
    store.txn([], [state.Put("t/x", "new")])
    store.call = lambda *args, **kwargs: watch_answer(11, {"set": "t/x", "value": "old", "stamp": 10})
    store._poll(0)
    assert store.mirror["t/x"].value == "new" and store.revision == 11
    answer_commit(store, 14)
    store.txn([], [state.Delete("t/x")])
    store.call = lambda *args, **kwargs: watch_answer(13, {"set": "t/x", "value": "mid", "stamp": 13})
    store._poll(0)
    assert "t/x" not in store.mirror


def test_contact_time_is_when_the_read_was_sent(store):
    def slow(*args, **kwargs):
        store._clock.pass_s(1.0)
        return watch_answer(1)

    store.call = slow
    sent_us = store._clock.now_us()
    store._poll(0)
    assert store.contact_us == sent_us


def test_token_bucket_passes_a_burst_and_then_keeps_its_rate():
    clock = FakeClock()
    bucket = TokenBucket(2.0, clock, burst=5.0)
    assert [bucket.wait_s(1) for _ in range(5)] == [0.0] * 5
    assert bucket.wait_s(1) == pytest.approx(0.5)
    bucket.refund(1)
    clock.pass_s(0.5)
    assert bucket.wait_s(1) == 0.0
    clock.pass_s(100.0)
    bucket.drain()
    assert bucket.wait_s(1) == pytest.approx(0.5)


def test_write_over_the_maximum_wait_is_refused_unsent_and_one_that_got_429_is_resent(store, monkeypatch):
    sent, slept = [], []
    monkeypatch.setattr("tideusher.actors.store.gevent.sleep", slept.append)

    class Service:
        answers = [(429, b""), (200, b'{"tide": 1}')]

        def call(self, method, path, body, timeout_s):
            sent.append(path)
            return self.answers.pop(0)

    store._client = Service()
    assert store.txn([], []) == 1 and sent == ["/txn", "/txn"] and slept == [0.2]
    store._writes.wait_s(1000)
    with pytest.raises(Throttled):
        store.txn([], [], patience_s=1.0)
    assert len(sent) == 2


def test_recreated_record_keeps_its_place_in_the_queue_and_its_effects():
    queue, effects = WriteQueue("t/leader", 1, 8), []
    old, new = Entry("t/m/a", lambda: None, 7), Entry("t/m/a", lambda: {"v": 1}, 0)
    queue.enqueue(old, lambda: effects.append("old"), urgent=False)
    queue.enqueue(new, lambda: effects.append("new"))
    batch = queue.next_batch(8)
    assert [(g.key, g.stamp) for g in batch.guards] == [("t/leader", 1), ("t/m/a", 7)]
    assert [write.value for write in batch.writes] == [{"v": 1}]
    queue.batch_committed(9)
    assert effects == ["old", "new"] and new.stamp == 9 and queue.waiting == 0


def write_rate(leader, demands, node="n0"):
    """Returns the writes a second that this node of three may make."""
    config = make_config()  # 50 writes a second for all nodes together
    config.node = node
    store = Store(config, FakeClock(), Metrics())
    answer_commit(store, 1)
    store.txn([], [state.Put(keys.LEADER, {"node": leader})], budget=False)
    store.lead(leader == node)
    store.set_demand_source(lambda: demands)
    store._share_writes()
    store._writes.drain()
    return 10 / store._writes.wait_s(10)


def test_unused_writes_of_other_nodes_are_shared():
    """With fixed shares a node refused hundreds of requests while the state service was nearly idle."""
    assert write_rate("n1", {}) == pytest.approx(11.25)  # a node that is not connected leaves nothing
    assert write_rate("n1", {"n1": 0.0, "n2": 0.0}) == pytest.approx(11.25 + 0.8 * (13.75 + 11.25))
    assert write_rate("n1", {"n1": 13.75, "n2": 11.25}) == pytest.approx(11.25)
    assert write_rate("n1", {"n1": 0.0, "n2": 30.0}) == pytest.approx(11.25 + 0.8 * 13.75 / 2)
    assert write_rate("n0", {"n1": 0.0, "n2": 30.0}) == pytest.approx(27.5 + 0.8 * 11.25 / 2)


@pytest.mark.parametrize("wants", [(0.0, 0.0, 0.0), (60.0, 0.0, 0.0), (60.0, 60.0, 0.0), (60.0, 60.0, 60.0)])
def test_shares_never_exceed_the_total_write_rate(wants):
    nodes = ("n0", "n1", "n2")
    rates = []
    for node, wanted in zip(nodes, wants, strict=True):
        demands = {other: wants[number] for number, other in enumerate(nodes) if other != node}
        rates.append(min(write_rate("n1", demands, node), wanted))
    assert sum(rates) <= 50.0


def test_demand_decays():
    clock = FakeClock()
    demand = DemandRate(clock)
    demand.add(10)
    demand.add(10)
    assert demand.rate() == 20
    clock.pass_s(1.0)
    assert 7 < demand.rate() < 8
    clock.pass_s(9.0)
    assert demand.rate() < 0.01


def test_user_write_goes_before_a_waiting_batch_of_the_leader(store, monkeypatch):
    """After a mass failure the leader's writes queue for half a minute; users of its node were refused meanwhile."""
    waits = []

    class Service:
        def call(self, method, path, body, timeout_s):
            return 200, b'{"tide": 1}'

    def sleep(seconds):
        waits.append(seconds)
        if len(waits) == 1:  # a user's write arrives while the leader's batch waits
            store.txn([], [state.Put("t/j/req-1", {})], patience_s=0.1)

    store._client = Service()
    store.lead(True)
    store._writes._tokens = 0.0
    monkeypatch.setattr("tideusher.actors.store.gevent.sleep", sleep)
    store.txn([], [state.Put(f"t/r/{n}", {}) for n in range(12)])
    assert waits[0] == pytest.approx(12 / 27.5) and waits[1] == pytest.approx(1 / 27.5)
    store._writes.wait_s(100)  # writes already sent cannot be overtaken
    with pytest.raises(Throttled):
        store.txn([], [state.Put("t/j/req-2", {})], patience_s=0.1)


def test_urgent_writes_leave_a_part_of_each_batch_to_others():
    queue = WriteQueue("t/leader", 1, 8)
    for n in range(20):
        queue.enqueue(Entry(f"t/m/{n}", lambda: {}, 1), urgent=False)
    for n in range(3):
        queue.enqueue(Entry(f"t/r/{n}", lambda: {}, 1))
    batch = queue.next_batch(8, lazy=2)
    assert [entry.key for entry in batch.entries] == ["t/r/0", "t/r/1", "t/r/2", "t/m/0", "t/m/1"]
    queue.batch_committed(5)
    assert len(queue.next_batch(8, lazy=0).entries) == 1  # at least one in each batch
