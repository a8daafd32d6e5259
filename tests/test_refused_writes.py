"""A transaction that the state service refuses as it stands: what is refused is found, and nothing waits behind it.

The failure: a refusal (400) was taken for a lost answer, and the same transaction went first again, for ever: one
record that was too large stopped all work (review/1, review/4).
"""

import random

import msgspec
import pytest

from standins import FakeClock, job, make_config
from tideusher.actors.store import LeaseExpired, Refused, Store, Throttled, Unavailable
from tideusher.clock import SECOND_US
from tideusher.core.lead.explain import explain_job
from tideusher.core.model import keys
from tideusher.core.model.records import CHUNK_TASKS
from tideusher.core.model.refused_writes import FIRST_PAUSE_US, LAST_PAUSE_US
from tideusher.core.model.write_queue import Entry, WriteQueue
from tideusher.metrics import Metrics
from tideusher.playground.standins import StateStandIn
from tideusher.wire.state import Put

OPS = 8


class Writer:
    """A write queue on a state service that refuses transactions with one of `bad` keys, or with more than `ops`."""

    def __init__(self, ops=OPS):
        self.state, self.bad, self.ops, self.now_us = StateStandIn(), set(), OPS, 0
        self.queue = WriteQueue(keys.LEADER, self.state.elect("n0"), ops)
        self.stored, self.refusals = [], 0

    def put(self, key, value=1, **fields):
        entry = Entry(key, lambda: value, 0, **fields)
        self.queue.enqueue(entry, lambda: self.stored.append(key))
        return entry

    def write_all(self):
        while (batch := self.queue.next_batch(OPS, now_us=self.now_us)) is not None:
            if len(batch.writes) > self.ops or self.bad & {write.key for write in batch.writes}:
                self.refusals += 1
                self.queue.batch_refused(self.state.stamp_of, self.now_us)
            else:
                self.queue.batch_committed(self.state.txn(batch.guards, batch.writes))

    def wait(self, microseconds):
        self.now_us += microseconds
        self.write_all()


@pytest.mark.parametrize("seed", range(20))
def test_all_but_the_refused_records_are_written(seed):
    rng, writer = random.Random(seed), Writer()
    names = [f"t/x/{number}" for number in range(rng.randint(1, 40))]
    writer.bad = set(rng.sample(names, min(len(names), rng.choice([1, 1, 3]))))
    entries = {name: writer.put(name) for name in names}
    writer.write_all()
    assert sorted(writer.stored) == sorted(set(names) - writer.bad)
    assert all(entries[name].dirty and not writer.queue.is_written(entries[name]) for name in writer.bad)
    assert len(writer.queue.refused) == len(writer.bad) and writer.refusals <= 8 * len(writer.bad)
    writer.bad = set()
    writer.wait(FIRST_PAUSE_US)
    assert sorted(writer.stored) == sorted(names) and not len(writer.queue.refused)


def test_a_refused_record_is_tried_again_alone_with_growing_pauses():
    writer = Writer()
    writer.bad = {"t/x/bad"}
    writer.put("t/x/bad")
    tried = []
    for second in range(300):
        before, writer.now_us = writer.refusals, second * SECOND_US
        writer.put(f"t/x/{second}")
        writer.write_all()
        tried += [second] * (writer.refusals - before)
    pauses = [after - before for before, after in zip(tried[2:], tried[3:], strict=False)]
    assert len(writer.stored) == 300 and pauses[:6] == [4, 8, 16, 32, 60, 60] and LAST_PAUSE_US == 60 * SECOND_US


def test_a_service_that_takes_fewer_changes_gets_all_of_them():
    writer = Writer()
    writer.ops = 3
    names = [f"t/x/{number}" for number in range(40)]
    for name in names:
        writer.put(name)
    writer.write_all()
    assert sorted(writer.stored) == sorted(names) and not len(writer.queue.refused)


def test_what_must_come_after_a_refused_record_waits_and_follows_it():
    writer = Writer()
    writer.bad = {"t/m/1-1"}
    writer.put("t/m/1-1")
    # A place on a machine of the rental.
    place = writer.put("t/r/req-1/0", owner="req-1", depends_on=lambda: ["t/m/1-1"])
    writer.put("t/r/req-2/0", owner="req-2")
    writer.write_all()
    assert writer.stored == ["t/r/req-2/0"]
    writer.bad = {"t/r/req-1/0"}
    writer.wait(FIRST_PAUSE_US)
    assert writer.stored == ["t/r/req-2/0", "t/m/1-1"]
    place.depends_on = lambda: ["t/m/1-2"]  # another machine, whose rental is refused as well
    writer.bad.add("t/m/1-2")
    writer.put("t/m/1-2")
    before = writer.refusals
    writer.wait(LAST_PAUSE_US)
    assert writer.refusals > before and "t/r/req-1/0" not in writer.stored
    writer.bad = {"t/r/req-1/0"}
    writer.wait(LAST_PAUSE_US)
    assert writer.stored[2:] == ["t/m/1-2"]
    writer.put("t/r/req-1/1", owner="req-1")  # of the same job
    writer.put("t/r/req-2/1", owner="req-2")
    writer.write_all()
    assert writer.stored[3:] == ["t/r/req-2/1"]
    writer.bad = set()
    writer.wait(LAST_PAUSE_US)
    assert writer.stored[4:] == ["t/r/req-1/0", "t/r/req-1/1"]


def test_a_refused_record_that_is_replaced_or_no_longer_needed_stops_nothing():
    writer = Writer()
    writer.bad = {"t/x/bad"}
    writer.put("t/x/bad", value=2)
    writer.write_all()
    writer.queue.enqueue(Entry("t/x/bad", lambda: None, 0))  # its record was dropped, and is not stored
    writer.wait(FIRST_PAUSE_US)
    assert not len(writer.queue.refused) and writer.stored == ["t/x/bad"]


def test_a_refused_record_that_may_not_be_written_any_more_stops_nothing():
    """The failure: it was neither written nor dropped, and no transaction came after it."""
    writer, valid = Writer(), [True]
    writer.bad = {"t/x/bad"}
    writer.put("t/x/bad", valid=lambda: valid[0])
    writer.write_all()
    valid[0] = False
    writer.put("t/x/other")
    writer.wait(FIRST_PAUSE_US)
    assert writer.stored == ["t/x/other"] and not len(writer.queue.refused)


def test_answers_to_transactions_are_told_apart():
    store = Store(make_config(), FakeClock(), Metrics())
    for status, answer, kind in (
        (400, b'{"error":"too large"}', Refused),
        (413, b"", Refused),
        (400, b'{"error":"no such lease"}', LeaseExpired),
        (429, b"", Throttled),
        (500, b"", Unavailable),
    ):
        store._client.call = lambda *asked, status=status, answer=answer: (status, answer)
        with pytest.raises(kind) as error:
            store.txn([], [Put("t/x", {})], budget=False)
        assert error.type is kind
    assert store._metrics.counts["state_refusals", "400"] == 1


def test_one_refused_job_is_told_and_the_others_run(sim):
    """The service refuses whatever holds the record of one job; jobs beside it start and end, before and after."""
    sim = sim(machines=8)
    odd = sim.submit(job("batch", CHUNK_TASKS + 2, cpus=0.5, gpus=0.0, estimate_s=5.0))  # in records of its own
    sim.run(3.0)
    refuse_records_of(sim.service, odd.id)
    others = [sim.submit(job("batch", 2, estimate_s=5.0)) for _ in range(6)]
    late = sim.submit(job("batch", 1, estimate_s=900.0))
    sim.run(30.0)
    assert all(len(sim.rules.done_tasks.get(spec.id, ())) == 2 for spec in others) and sim.on_machines(late.id)
    engine = sim.nodes[sim.leader()].leader._engine
    assert engine.cluster.metrics.counts["writes_refused", "tasks of a job"] >= 1
    said = explain_job(engine.cluster, odd.id, sim.clock.us)["reasons"]
    assert any(f"refuses its record {keys.CHUNK_PREFIX}{odd.id}/" in line for line in said)
    assert sim.nodes[sim.leader()].leader.writes_set_apart() == 1
    del sim.service._txn
    sim.run(70.0)
    assert (
        len(sim.rules.done_tasks.get(odd.id, ())) == odd.tasks
        and not sim.nodes[sim.leader()].leader.writes_set_apart()
    )


def test_limits_that_nobody_announced_are_found_out(sim):
    """Pages of 3 KB and transactions of eight changes, then a service that takes 0.8 KB and three changes."""
    sim = sim(machines=20)
    services = [sim.submit(job("service", 1 + n % 2, gpus=0.0, cpus=0.5, estimate_s=0.0)) for n in range(100)]
    arrays = [sim.submit(job("batch", 10, gpus=0.0, cpus=1.0, estimate_s=30.0)) for _ in range(4)]
    sim.run(20.0)
    assert all(sim.on_machines(spec.id) for spec in services + arrays)
    original = sim.service._txn

    def txn(guards, writes):
        sizes = [len(msgspec.json.encode(write.value)) for write in writes if isinstance(write, Put)]
        too_large = len(writes) > 3 or max(sizes, default=0) > 800
        return (400, {"error": "too large"}) if too_large else original(guards, writes)

    sim.service._txn = txn
    late = sim.submit(job("batch", 4, gpus=0.0, cpus=1.0, estimate_s=5.0))
    sim.run(60.0)
    done = []
    sim.time.spawn(lambda: done.extend(sim.poll(spec.id) for spec in [*arrays, late]))
    sim.run(2.0)
    assert done == ["done"] * 5 and not sim.nodes[sim.leader()].leader.writes_set_apart()


def refuse_records_of(service, name):
    original = service._txn

    def txn(guards, writes):
        held = [write for write in writes if isinstance(write, Put) and name in msgspec.json.encode(write).decode()]
        return (400, {"error": "too large"}) if held else original(guards, writes)

    service._txn = txn
