"""The mirror under answers of the state service in any order, compared with a model of the service.

The failure: the answer to a transaction came after a read that had passed it, and put a removed key back into the
mirror. Every transaction of that controller's next leadership failed on that key (review/5; docs/safety.md, 13).
"""

import random
from dataclasses import dataclass, field

import gevent
import msgspec
from gevent.event import Event

from standins import FakeClock, make_config
from test_record_orders import Records, agrees
from tideusher.actors.store import Conflict, Store, Unavailable
from tideusher.config import Policy, StateSettings
from tideusher.core.lead.standby import Standby
from tideusher.core.model import keys
from tideusher.core.model.placements import Placements
from tideusher.metrics import Metrics
from tideusher.playground.standins import StateStandIn
from tideusher.wire.state import Delete, Guard, Put

#: Seeds of each property test.
ORDERS = 1000
#: Steps of one order: changes by others, requests sent, carried out and answered.
STEPS = 60
KEYS = [f"t/x/{name}" for name in "abcde"]
#: Keys in one page of a full read.
PAGE_KEYS = 2


@dataclass(eq=False)
class Request:
    """A request of the store: it is carried out at one moment and answered at a later one."""

    method: str
    path: str
    body: bytes | None
    answer: tuple[int, bytes] | None = None
    revision: int = 0  # of the service when the request was carried out
    answered: Event = field(default_factory=Event)


class ServiceModel:
    """The state service with its whole history. The test decides when requests are carried out and answered."""

    def __init__(self, state=None, rng=None):
        self.state, self.rng = state or StateStandIn(), rng or random.Random(0)
        self.log, self.first_kept, self.pending = [], 0, []

    def note(self, changes):
        """Appends (key, value or None) of the newest revision to the history."""
        for key, value in changes:
            self.log.append((self.state.tide, key, value))

    def change(self, writes):
        """Changes keys for another client."""
        self.state.txn([], [Put(key, value) if value is not None else Delete(key) for key, value in writes])
        self.note(writes)

    # the store's client

    def call(self, method, path, body=None, timeout_s=None):
        request = Request(method, path, body)
        self.pending.append(request)
        getattr(gevent.getcurrent(), "requests", []).append(request)
        request.answered.wait()
        return request.answer

    def carry_out(self, request):
        status, body = self._execute(request)
        request.answer, request.revision = (status, msgspec.json.encode(body)), self.state.tide

    def respond(self, request):
        self.pending.remove(request)
        request.answered.set()
        gevent.idle()

    def _execute(self, request):
        where, _, query = request.path.partition("?")
        asked = dict(part.split("=") for part in query.split("&")) if query else {}
        if where == "/txn":
            return self._transaction(msgspec.json.decode(request.body))
        if where == "/watch":
            return self._changes(int(asked["since"]))
        names = sorted(
            key for key in self.state.items if key.startswith(asked["under"]) and key > asked.get("since", "")
        )
        items = [
            {"key": key, "value": self.state.items[key][0], "stamp": self.state.items[key][1]}
            for key in names[:PAGE_KEYS]
        ]
        return 200, {"items": items, "tide": self.state.tide, "truncated": len(names) > PAGE_KEYS}

    def _transaction(self, raw):
        guards = [Guard(guard["key"], guard["stamp"]) for guard in raw["guards"]]
        writes = [(write.get("set") or write["remove"], write.get("value")) for write in raw["writes"]]
        failed = [guard.key for guard in guards if self.state.stamp_of(guard.key) != guard.stamp]
        if failed:
            return 409, {"failed": failed, "tide": self.state.tide}
        self.change(writes)
        return 200, {"tide": self.state.tide}

    def _changes(self, since):
        if since < self.first_kept:
            return 410, {"tide": self.state.tide}
        log = [
            {"set": key, "value": value, "stamp": stamp} if value is not None else {"remove": key, "stamp": stamp}
            for stamp, key, value in self.log
            if stamp > since
        ]
        self.rng.shuffle(log)  # the protocol promises no order
        return 200, {"tide": self.state.tide, "log": log}

    # checks

    def states_since(self, key, revision):
        """Returns the stamps of all states of a key from a revision on; 0: it does not exist."""
        stamps = [(0, 0)] + [
            (stamp, stamp if value is not None else 0) for stamp, changed, value in self.log if changed == key
        ]
        before = [state for stamp, state in stamps if stamp <= revision][-1]
        return {before} | {state for stamp, state in stamps if stamp > revision}


class Order:
    """One order of changes, requests and answers, drawn from a seed."""

    def __init__(self, seed, service=None):
        self.rng = random.Random(seed)
        self.service = service or ServiceModel(rng=self.rng)
        self.service.rng = self.rng
        self.store = Store(make_config(state=StateSettings(1e6, 1e6, 4.0, 8)), FakeClock(), Metrics())
        self.store._client = self.service
        self.greenlets, self.passed = [], 0
        self.told, self.older, self.wrong = {}, [], []
        self.store.listen(self._on_change)
        self.spawn(self.store._load)
        self.finish()

    def _on_change(self, key, value, stamp):
        if stamp <= self.told.get(key, (0, None))[0]:
            self.older.append((key, stamp, self.told[key]))
        self.told[key] = (stamp, value)

    def spawn(self, call, *args):
        def run():
            try:
                call(*args)
            except (Conflict, Unavailable):
                return
            reads = [request for request in greenlet.requests if request.path != "/txn"]
            if reads:  # a full read tells of the time of its first page, at the least
                last = reads[-1] if reads[-1].path.startswith("/watch") else reads[0]
                self.passed = max(self.passed, last.revision)

        greenlet = gevent.spawn(run)
        greenlet.requests = []
        self.greenlets.append(greenlet)
        gevent.idle()

    def own_write(self):
        written = self.rng.sample(KEYS, self.rng.choice((1, 1, 2, 3)))
        guards = [Guard(key, self.store.stamp_of(key)) for key in written if self.rng.random() < 0.5]
        self.spawn(self.store.txn, guards, [Put(key, self.rng.random()) if value else Delete(key)
                                            for key, value in self._drawn(written)])  # fmt: skip

    def other_write(self):
        self.service.change([(key, value or None) for key, value in self._drawn(self.rng.sample(KEYS, 2))])

    def _drawn(self, written):
        return [(key, self.rng.random() if self.rng.random() < 0.6 else 0) for key in written]

    def step(self):
        drawn, waiting = self.rng.random(), self.service.pending
        if drawn < 0.15:
            self.other_write()
        elif drawn < 0.3:
            self.own_write()
        elif drawn < 0.45:
            self.spawn(self.store._poll, 0)
        elif drawn < 0.48:
            self.service.first_kept = self.service.state.tide  # watches from an earlier revision get 410
        elif waiting:
            request = self.rng.choice(waiting)
            if request.answer is None:
                self.service.carry_out(request)
            elif self.rng.random() < 0.5:
                self.service.respond(request)
        self.check()

    def check(self):
        """Notes each key whose mirrored state a completed read has passed."""
        for key in KEYS:
            if self.store.stamp_of(key) not in self.service.states_since(key, self.passed):
                self.wrong.append((key, self.store.stamp_of(key), self.passed))

    def finish(self):
        """Has all requests carried out and answered, in any order."""
        while self.service.pending:
            request = self.rng.choice(self.service.pending)
            if request.answer is None:
                self.service.carry_out(request)
            self.service.respond(request)
            self.check()

    def read(self):
        self.spawn(self.store._poll, 0)
        self.finish()

    def mirrored(self):
        return {key: (stored.value, stored.stamp) for key, stored in self.store.mirror.items()}


def play(seed):
    order = Order(seed)
    for _ in range(STEPS):
        order.step()
    order.finish()
    order.read()
    return order


def test_no_order_of_answers_brings_back_what_a_read_has_passed():
    wrong, older, different = [], [], []
    for seed in range(ORDERS):
        order = play(seed)
        wrong += [seed] * bool(order.wrong)
        older += [seed] * bool(order.older)
        told = {key: value for key, (_, value) in order.told.items() if value is not None}
        expected = order.service.state.read_all()
        different += [seed] * (order.mirrored() != expected or told != {k: v for k, (v, _) in expected.items()})
    assert (wrong, older, different) == ([], [], [])


class RecordService(ServiceModel):
    """The service with the records of a leader (`test_record_orders`), which another controller writes."""

    def __init__(self, rng):
        self.records = Records()
        super().__init__(self.records.state, rng)
        for spec in self.records.specs:
            key = keys.job_key(spec.id)
            self.log.append((self.state.stamp_of(key), key, self.state.value_of(key)))

    def draw(self):
        """Returns a change that a leader may make of the records."""
        drawn, hosts = self.rng.random(), self.rng.choice((None, {"host-1": False}, {"host-1": True}))
        if drawn < 0.4:
            return "rental", self.rng.choice(("1-1", "adopted-host-1")), hosts
        if drawn < 0.8:
            record = self.rng.choice(((0, 0), (1, 0), (1, 1)))
            places = self.rng.choice(({}, {0: "host-1"}, {1: "host-2"}))
            return "tasks", record, self.rng.random() < 0.5, places, self.rng.choice((0, 1))
        if drawn < 0.95:
            return "removed", self.rng.choice(((0, 0), (1, 0), (1, 1)))
        return "cancelled", self.rng.choice((0, 1))

    def all_keys(self):
        """Returns the keys of all records but rentals, which a leader's term keeps others from changing."""
        jobs = [spec.id for spec in self.records.specs]
        chunks = [keys.chunk_key(job, number) for job in jobs for number in (0, 1)]
        return [*map(keys.job_key, jobs), *chunks, keys.page_key(0)]

    def writes_of(self, step):
        """Returns the writes that a step consists of, without carrying them out."""
        found = []
        self.records.write = lambda *writes: found.extend(writes) or []
        try:
            self.records.step(*step)
        finally:
            del self.records.write
        return found


class RecordOrder(Order):
    """An order in which this controller was the leader for a time: late answers are of its own writes."""

    def __init__(self, seed):
        super().__init__(seed, RecordService(random.Random(seed)))
        records, store = self.service.records, self.store
        harness = records.harness
        self.standby = Standby(make_config(), Policy(), harness.clock.wall_us, self._record_of, lambda: store.mirror)
        self.standby.begin(harness.clock.now_us())
        store.listen(self.standby.changed)
        self.apply()

    def _record_of(self, job_id):
        stored = self.store.mirror.get(keys.job_key(job_id))
        return stored.value if stored is not None else None

    def apply(self):
        while self.standby.apply_step(self.service.records.harness.clock.now_us()):
            pass

    def other_write(self):
        step = self.service.draw()
        changed = self.service.records.step(*step)
        self.service.note(changed)

    def own_write(self):
        step = self.service.draw()
        writes = self.service.writes_of(step) if step[0] != "cancelled" else []
        if writes:
            guards = [Guard(key, self.service.state.stamp_of(key)) for key in self.service.all_keys()]
            self.spawn(self.store.txn, guards, [Put(k, v) if v is not None else Delete(k) for k, v in writes])


def test_a_standby_and_the_placements_follow_late_answers():
    """Cluster state and placements equal a rebuild from the service's records once all answers have come."""
    for seed in range(ORDERS // 4):
        order = RecordOrder(seed)
        for _ in range(STEPS):
            order.step()
            if order.rng.random() < 0.3:
                order.apply()
        order.finish()
        order.read()
        order.apply()
        assert not order.older, seed
        assert order.mirrored() == order.service.state.read_all(), seed
        agrees(order.service.records, order.standby.cluster_state)
        rebuilt = Placements(order.store._is_open)
        for key, (value, stamp) in order.service.state.read_all().items():
            if key.startswith(keys.PAGE_PREFIX):
                rebuilt.page_changed(key, value, stamp)
            elif key.startswith(keys.CHUNK_PREFIX) and key.endswith("/0"):
                rebuilt.own_changed(keys.split_chunk_key(key)[0], value, stamp)
        for spec in order.service.records.specs:
            assert order.store.placements.first(spec.id) == rebuilt.first(spec.id), seed
