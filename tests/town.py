"""Several whole controllers, workers, users and a state service with troubles, in one process and in simulated time.

The controllers are real `Node`s with all their greenlets. Simulated are time (sleeps, timeouts), the state service's
and the cloud's answers, the links between controllers, and the workers: nothing waits for real, a seed decides all.
"""

import heapq
import itertools
import random
from types import SimpleNamespace

import gevent
import gevent.event
import msgspec
from gevent.event import Event

from standins import FakeClock, Rules, make_config
from tideusher import node as node_module
from tideusher.actors import cloud as cloud_actor
from tideusher.actors import leader as leader_actor
from tideusher.actors import store as store_actor
from tideusher.actors.http import CallFailed
from tideusher.clock import SECOND_US
from tideusher.config import Peer, Policy, StateSettings
from tideusher.core.picture import keys
from tideusher.node import Node
from tideusher.playground.servers import Specs, StateServer
from tideusher.playground.standins import TYPE, StateStandIn, WorkerStandIn
from tideusher.wire import cloud, peers, workers

SPAWN, YIELD = gevent.spawn, gevent.sleep


class Hours:
    """Simulated time for gevent: greenlets that sleep or wait with a limit are woken when the clock gets there."""

    def __init__(self, monkeypatch):
        self.clock, self._due, self._count = FakeClock(), [], itertools.count()
        self._all = []
        hours = self

        class Timeout(BaseException):
            def __init__(self, seconds=None, exception=None):
                self._seconds, self._exception, self._on = seconds, exception, True

            def __enter__(self):
                mine = gevent.getcurrent()
                if self._seconds is not None:
                    hours.later(self._seconds, lambda: self._on and mine.throw(self))
                return self

            def __exit__(self, kind, value, trace):
                self._on = False
                return value is self and self._exception is False

        monkeypatch.setattr(gevent, "sleep", self.sleep)
        monkeypatch.setattr(gevent, "spawn", self.spawn)
        monkeypatch.setattr(gevent, "spawn_later", lambda s, f, *a: self.spawn(self._after, s, f, *a))
        monkeypatch.setattr(gevent, "Timeout", Timeout)

    def spawn(self, function, *args):
        self._all.append(SPAWN(function, *args))
        return self._all[-1]

    def _after(self, seconds, function, *args):
        self.sleep(seconds)
        function(*args)

    def sleep(self, seconds=0):
        if seconds <= 0:
            YIELD(0)
            return
        event = Event()
        self.later(seconds, event.set)
        event.wait()

    def later(self, seconds, call):
        due = self.clock.us + max(1, round(seconds * SECOND_US))
        heapq.heappush(self._due, (due, next(self._count), call))

    def run(self, seconds):
        end_us = self.clock.us + round(seconds * SECOND_US)
        while True:
            gevent.idle()
            if not self._due or self._due[0][0] > end_us:
                self.clock.us = end_us
                return
            self.clock.us = self._due[0][0]
            while self._due and self._due[0][0] <= self.clock.us:
                gevent.get_hub().loop.run_callback(heapq.heappop(self._due)[2])

    def end(self, greenlets=None):
        for one in greenlets or self._all:
            one.kill(block=False)


class Service(StateServer):
    """The state service: out for all, refusing one, slow, or carrying transactions out late and unanswered."""

    def __init__(self, town):
        super().__init__(town.hours.clock, StateStandIn(4096))
        self.town, self.state = town, self._state
        self.out, self.refused, self.slow_s, self.late = False, set(), 0.0, 0.0
        self._out_us = 0

    def outage(self, seconds):
        """For all; every lease gets its full time again."""
        self.out, now_us = True, self._clock.now_us()
        for number, (ends, ttl) in self._leases.items():
            if ends > now_us:
                self._leases[number] = (ends + round(seconds * SECOND_US) + ttl, ttl)
        self.town.hours.later(seconds, lambda: setattr(self, "out", False))

    def request(self, node, method, path, data):
        self._expire()
        hours = self.town.hours
        if self.slow_s:
            hours.sleep(self.slow_s * self.town.rng.random())
        if self.out or node in self.refused:
            return 503, b"{}"
        where, _, query = path.partition("?")
        if where == "/txn" and self.town.rng.random() < self.late:
            hours.later(2 + 10 * self.town.rng.random(), lambda: self.out or self._route(method, where, {}, data))
            hours.sleep(3.0)
            raise CallFailed("no answer")
        asked = {name: [value] for name, _, value in (part.partition("=") for part in query.split("&"))}
        asked["wait_ms"] = ["0"]
        status, answer = self._route(method, where, asked, data or b"")
        return status, msgspec.json.encode(answer)


class Wire:
    """One way of a link between two controllers; what is sent while it is cut is lost."""

    def __init__(self, town, ends, take):
        self._town, self._ends, self._take, self.line = town, ends, take, 0

    def put(self, frame):
        if not self._town.cut(*self._ends):
            messages = peers.Unframer().feed(frame)
            self._town.hours.later(self._town.delay_s, lambda: gevent.spawn(self._take, messages))
        return True


class Town:
    """`nodes` controllers in two zones, and machines that are up from the start."""

    def __init__(self, monkeypatch, seed=0, nodes=3, machines=6, zones="ab", tick_s=0.5, **settings):
        self.rng, self.hours = random.Random(seed), Hours(monkeypatch)
        self.clock = self.hours.clock
        self.service = Service(self)
        self.delay_s, self.tick_s, self.report_s = 0.001, tick_s, 1.0
        self.cuts, self.frozen, self.deaf = set(), {}, set()  # pairs or nodes; nodes; machines
        self.calls = True  # do direct calls reach workers?
        self.zone_of = {f"n{number}": zones[number % len(zones)] for number in range(nodes)}
        self.copies = 0.0  # the share of reports of which a copy comes later
        town = self

        class Client:
            """Calls of a controller: to the state service, or to a worker's address."""

            def __init__(self, address, timeout_s=3.0, keep=4):
                self.address = address

            def call(self, method, path, body=None, timeout_s=None):
                return town.call(self.address, method, path, body)

        for module in (store_actor, leader_actor, cloud_actor):
            monkeypatch.setattr(module, "HttpClient", Client)
        drawn = SimpleNamespace(random=self.rng.random, getrandbits=self.rng.getrandbits)
        monkeypatch.setattr(node_module, "random", SimpleNamespace(Random=lambda: drawn))
        self.settings = {"state": StateSettings(400.0, 200.0, 4.0, 8), **settings}
        self.names = [f"n{number}" for number in range(nodes)]
        self.specs = Specs(self.service.state)
        self.workers, self.lives, self.nodes, self.count = {}, {}, {}, itertools.count(1)
        self.rented = {}
        self.rules, self.accepted, self.told, self.asked = None, {}, {}, set()
        for name in self.names:
            self.begin(name)
        self.rules = Rules(self.nodes["n0"]._config, self.specs)
        self.lease_s = self.rules.config.settings.workers.lease_s
        for number in range(machines):
            self.rent(f"m-{number}", "ab"[number % 2], False, 1, boots_s=0.0)
        self.hours.spawn(self._judge)

    # controllers

    def begin(self, name):
        """A life of a controller begins, with an empty memory."""
        config = make_config(size=len(self.names), **self.settings)
        config.node, config.zone = name, self.zone_of[name]
        config.endpoints.state = name  # whose calls these are
        config.peers = [Peer(other, self.zone_of[other], "127.0.0.1:9") for other in self.names if other != name]
        first = len(self.hours._all)
        node = self.nodes[name] = Node(config, Policy(), self.clock)
        node.cloud.submit = lambda kind, call, then: self.hours.later(0.1, lambda: then(call()))
        node.cloud.types = lambda: [TYPE]
        node.cloud.machines = self._listed
        node.cloud.rent = lambda wish: self.rent(wish.name, wish.zone, wish.spot, wish.count)
        node.cloud.give_back = self._give_back
        for part in (node.store, node.election, node.leader):
            part.start()
        for other, link in node.peers.links.items():
            self.hours.spawn(self._link, node, name, other, link)
        node.peers._handler, node.peers._reports = node._answer, node._answer_reports
        self.lives[name] = self.hours._all[first:]

    def _link(self, node, name, other, link):
        while self.nodes.get(name) is node:
            peer = self.nodes.get(other)
            if link._outbox is None and peer is not None and not self.cut(name, other):
                back = Wire(self, (other, name), link.take)
                hear = peer.peers.take
                link._outbox = Wire(self, (name, other), lambda said, hear=hear, back=back: hear(said, back))
                link._peer_life = peer
            if link._outbox is not None:
                if link._peer_life is not peer:
                    link._outbox = link.said = link._heard_us = None
                    node._told(other, None)
                else:
                    link._outbox.put(peers.frame(node._hello()))
            gevent.sleep(0.5)

    def end(self, name, back_s=None):
        """The process is killed; it may be back after a while."""
        self.nodes.pop(name)
        self.hours.end(self.lives[name])
        if back_s is not None:
            self.hours.later(back_s, lambda: self.begin(name))

    def cut(self, one, other):
        return one in self.cuts or other in self.cuts or frozenset((one, other)) in self.cuts

    def leader(self):
        """The controller that the state service says leads; empty: none."""
        return self.service.state.items.get(keys.LEADER, ({"node": ""}, 0))[0]["node"]

    def call(self, address, method, path, body):
        if address in self.names or address == "127.0.0.1:4":
            return self.service.request(address, method, path, body)
        worker = self.workers.get(address)
        if worker is None or worker.dead or worker.name in self.deaf or not self.calls:
            self.hours.sleep(1.5)
            raise CallFailed("silent", unsent=True)
        status = 200
        if path == "/do":
            orders = msgspec.json.decode(body, type=workers.DirectCommands)
            status = 200 if (orders.session, orders.token >= worker.token) == (worker.session, True) else 409
            if status == 200:
                worker.token = orders.token
                for command in orders.commands:
                    worker.execute(command)
        return status, workers.encode(self._said(worker))

    # machines

    def _listed(self):
        return [
            cloud.Listed(w.name, w.name, TYPE.name, w.zone, w.spot, "running", 50.0) for w in self.workers.values()
        ]

    def rent(self, charter, zone, spot, count, boots_s=3.0):
        if charter not in self.rented:
            self.rented[charter] = [f"host-{next(self.count):06d}" for _ in range(count)]
            for name in self.rented[charter]:
                self.hours.later(boots_s, lambda name=name: self.hours.spawn(self._live, name, zone, spot))
        return self.rented[charter]

    def _give_back(self, names):
        for name in names:
            self.rented[name] = []
            if name in self.workers:
                self.workers.pop(name).dead = True
        return names

    def _said(self, worker):
        return msgspec.structs.replace(worker.report(), address=worker.name)

    def _live(self, name, zone, spot):
        if self.rented.get(name) == []:
            return
        worker = self.workers[name] = WorkerStandIn(
            name, zone, spot, self.specs, lease_s=self.lease_s, answered_us=self.clock.now_us()
        )
        at = self.rng.randrange(len(self.names))
        while not worker.dead:
            node, pause_s = self.names[at % len(self.names)], self.report_s * (0.8 + 0.4 * self.rng.random())
            answer, sent_us = None, self.clock.now_us()
            report = self._said(worker)
            body = workers.encode(report)
            if self.rng.random() < self.copies:
                self.hours.later(2 + 10 * self.rng.random(), lambda body=body: gevent.spawn(self._copy, body))
            with gevent.Timeout(4.0, False):
                answer = self._ask(node, body)
            if answer is None or worker.name in self.deaf or answer.status not in (200, 421):
                at, pause_s = at + 1, 1.0
            elif answer.status == 421:
                to = msgspec.json.decode(answer.body).get("harbormaster")
                at, pause_s = (self.names.index(to), 0.1) if to in self.names else (at + 1, 1.0)
            else:
                worker.answer(workers.decode_commands(answer.body), sent_us, report.session)
            gevent.sleep(pause_s)

    def _ask(self, node, body):
        """A report's way to a controller: nothing comes of it while that one is away or stands still."""
        if node not in self.nodes or ("workers", node) in self.cuts:
            gevent.sleep(9.0)
        while self.frozen.get(node, 0) > self.clock.now_us():
            gevent.sleep(0.1)
        return self.nodes[node].gateway.handle(body)

    def _copy(self, body):
        node = self.rng.choice(self.names)
        if node in self.nodes:
            self._ask(node, body)

    # users

    def ask(self, node, method, path, body=b""):
        """What a user of that controller is told; None: nothing in five seconds."""
        with gevent.Timeout(5.0, False):
            if node in self.nodes:
                return self.nodes[node].users.handle(method, path, body)
        return None

    def _tell(self, job, status, before=None):
        """A user was told; `before`: what it had been told when it asked."""
        if before in ("done", "withdrawn") and status != before:
            self.broken = AssertionError(f"went_back {job}: {before} -> {status}")
        if status in ("done", "withdrawn"):
            self.told[job] = status
        if status == "done" and len(self.rules.done_tasks.get(job, ())) != self.specs[job].tasks:
            self.broken = AssertionError(f"not_done {job}")
        if status == "withdrawn" and job not in self.asked:
            self.broken = AssertionError(f"went_back {job}: nobody cancelled it")

    def submit(self, spec, node=None):
        """Until it is accepted, anywhere: as users do."""
        self.hours.spawn(self._submit, spec, node)
        return spec

    def _submit(self, spec, node):
        body = msgspec.json.encode(spec)
        for _ in range(60):
            reply = self.ask(node or self.rng.choice(self.names), "POST", "/work", body)
            if reply is not None and reply.status in (200, 201):
                self.accepted[spec.id] = self.clock.now_us()
                return
            gevent.sleep(1.0)

    def cancel(self, spec, node=None):
        self.asked.add(spec.id)
        self.hours.spawn(self._cancel, spec.id, node)

    def _cancel(self, job, node):
        for _ in range(60):
            before = self.told.get(job)
            reply = self.ask(node or self.rng.choice(self.names), "POST", f"/work/{job}/abort")
            if reply is not None and reply.status == 200:
                if reply.body.status == "withdrawn":
                    self.rules.cancelled_us.setdefault(job, self.clock.now_us())
                self._tell(job, reply.body.status, before)
                return
            gevent.sleep(1.0)

    def poll(self, job, node=None):
        before = self.told.get(job)
        reply = self.ask(node or self.rng.choice(self.names), "GET", f"/work/{job}")
        if reply is None or reply.status == 503:
            return None
        if reply.status != 200:
            self.broken = AssertionError(f"forgotten {job}: {reply.status}")
            return None
        self._tell(job, reply.body.status, before)
        return reply.body.status

    # the rules, on what is there

    def on_machines(self, job):
        return [(w, t) for w in self.workers.values() for t in w.on_machine() if t.job == job]

    def waits(self, job):
        """Is the leader's reason for it not running one that more time would mend?"""
        cluster = self.nodes[self.leader()].leader._cluster
        return cluster is not None and job in cluster.jobs

    def _judge(self):
        while True:
            gevent.sleep(self.tick_s)
            now_us, began = self.clock.now_us(), []
            try:
                self.rules.check(list(self.workers.values()), [], now_us)  # before a lease that ends now ends them
            except AssertionError as error:
                self.broken = error
                return
            for worker in list(self.workers.values()):
                began += [(worker, task) for task in worker.pass_time(now_us, self.tick_s, self._whole)]
                for task in worker.tasks.values():
                    if task.state == "exited" and task.cause == "done":
                        spec = self.specs[task.job]
                        indexes = range(spec.tasks) if spec.shape == "gang" else (task.index,)
                        self.rules.done_tasks.setdefault(task.job, set()).update(indexes)
            try:
                self.rules.check(list(self.workers.values()), began, now_us)
                self.rules.check_state(self.service.state)
            except AssertionError as error:
                self.broken = error
                return

    broken = None

    def run(self, seconds):
        """Time passes; a rule that breaks meanwhile fails the test."""
        self.hours.run(seconds)
        if self.broken is not None:
            raise self.broken

    def _whole(self, task):
        here = [t for _, t in self.on_machines(task.job) if t.attempt == task.attempt]
        return len({t.index for t in here}) == self.specs[task.job].tasks

    def close(self):
        self.hours.end()
