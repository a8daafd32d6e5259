"""Complete controllers with workers, users and a faulty state service, in one process and in simulated time.

The controllers are real `Node`s with all their greenlets. Time (sleeps, timeouts), the answers of the state service
and the cloud, the links between controllers and the workers are simulated: nothing waits in real time, and the seed
determines the run.
"""

import contextlib
import heapq
import io
import itertools
import random
from collections import Counter
from types import SimpleNamespace

import gevent
import gevent.event
import msgspec
from gevent.event import Event

from standins import FakeClock, Rules, make_config
from tideusher import node as node_module
from tideusher.actors import cloud as cloud_actor
from tideusher.actors import command_sender as sender_module
from tideusher.actors import halts as halts_module
from tideusher.actors import prober as prober_module
from tideusher.actors import store as store_actor
from tideusher.actors.http import CallFailed
from tideusher.clock import SECOND_US
from tideusher.config import Peer, Policy, StateSettings
from tideusher.core.decide.placement import slots_in
from tideusher.core.model import keys
from tideusher.core.model.records import UP
from tideusher.node import Node
from tideusher.playground.servers import Specs, StateServer
from tideusher.playground.standins import TYPE, StateStandIn, WorkerStandIn
from tideusher.scale.answers import FINAL, Answers
from tideusher.scale.spelling import spell
from tideusher.wire import cloud, peers, workers
from tideusher.wire.jobs import CANCELLED, DONE

SPAWN, YIELD = gevent.spawn, gevent.sleep


def owner():
    """Returns the controller whose process the running greenlet belongs to; empty if none."""
    return getattr(gevent.getcurrent(), "owner", "")


class SimulatedTime:
    """Simulated time for gevent: greenlets that sleep or wait with a timeout are woken when the clock gets there.

    A greenlet belongs to the controller that spawned it. While that one's process is stopped (`stopped_until`), its
    greenlets do not wake: what was due meanwhile comes all at once when the process goes on, in the order in which it
    was due.
    """

    def __init__(self, monkeypatch):
        self.clock, self._due, self._count = FakeClock(), [], itertools.count()
        self._all, self.stopped_until = [], {}
        time = self

        class Timeout(BaseException):
            def __init__(self, seconds=None, exception=None):
                self._seconds, self._exception, self._on = seconds, exception, True

            def __enter__(self):
                mine = gevent.getcurrent()
                if self._seconds is not None:
                    name = owner()
                    time.later(self._seconds, lambda: time.when_awake(name, lambda: self._on and mine.throw(self)))
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
        self._all[-1].owner = owner()
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
        self.wait_awake(owner())

    # stopped processes

    def stop(self, name, for_s):
        """Stops the process, as with SIGSTOP; its clocks continue."""
        until_us = self.clock.us + round(for_s * SECOND_US)
        self.stopped_until[name] = max(until_us, self.stopped_until.get(name, 0))

    def is_stopped(self, name):
        return self.stopped_until.get(name, 0) > self.clock.us

    def wait_awake(self, name):
        """Waits until the process is not stopped."""
        while self.is_stopped(name):
            event = Event()
            self._at(self.stopped_until[name], event.set)
            event.wait()

    def when_awake(self, name, call):
        """Calls a function of a process at once, or when the process continues."""
        if self.is_stopped(name):
            self._at(self.stopped_until[name], lambda: self.when_awake(name, call))
        else:
            call()

    @contextlib.contextmanager
    def inside(self, name):
        """Has the running greenlet belong to this process for a while, so that it stops with it."""
        self.wait_awake(name)
        mine, before = gevent.getcurrent(), owner()
        mine.owner = name
        try:
            yield
        finally:
            mine.owner = before

    def later(self, seconds, call):
        self._at(self.clock.us + max(1, round(seconds * SECOND_US)), call)

    def _at(self, due_us, call):
        heapq.heappush(self._due, (due_us, next(self._count), call))

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
    """The state service: down, refusing a controller, slow, or executing unanswered transactions late or at once."""

    def __init__(self, sim):
        super().__init__(sim.time.clock, StateStandIn(4096))
        self.sim, self.state = sim, self._state
        self.out, self.refused, self.slow_s, self.late, self.at_once = False, set(), 0.0, 0.0, 0.0
        self.late_answers = 0.0  # share of transactions that are executed at once and answered late, each alone
        self.loses = lambda node, writes: False  # returns whether the answer to this transaction is lost
        self.counts = Counter()  # requests by path, and writes of transactions

    def outage(self, seconds):
        """Refuses all requests for a while; afterwards every lease has its full time again."""
        self.out, now_us = True, self._clock.now_us()
        for number, (ends, ttl) in self._leases.items():
            if ends > now_us:
                self._leases[number] = (ends + round(seconds * SECOND_US) + ttl, ttl)
        self.sim.time.later(seconds, lambda: setattr(self, "out", False))

    def request(self, node, method, path, data):
        self._expire()
        time = self.sim.time
        if self.slow_s:
            time.sleep(self.slow_s * self.sim.rng.random())
        if self.out or node in self.refused:
            return 503, b"{}"
        where, _, query = path.partition("?")
        self.counts[where.partition("/holds/")[1] or where] += 1
        if where == "/txn":
            writes = msgspec.json.decode(data)["writes"]
            self.counts["writes"] += len(writes)
            if self.loses(node, writes) or self.sim.rng.random() < self.at_once:
                self._route(method, where, {}, data)
                time.sleep(3.0)
                raise CallFailed("no answer")
        if where == "/txn" and self.sim.rng.random() < self.late:
            time.later(2 + 10 * self.sim.rng.random(), lambda: self.out or self._route(method, where, {}, data))
            time.sleep(3.0)
            raise CallFailed("no answer")
        if where == "/txn" and self.late_answers and self.sim.rng.random() < self.late_answers:
            answer = self._route(method, where, {}, data)
            time.sleep(0.2 + 2.3 * self.sim.rng.random())
            return answer[0], msgspec.json.encode(answer[1])
        asked = {name: [value] for name, _, value in (part.partition("=") for part in query.split("&"))}
        asked["wait_ms"] = ["0"]
        status, answer = self._route(method, where, asked, data or b"")
        return status, msgspec.json.encode(answer)


class Wire:
    """One direction of a link between two controllers; frames sent while it is cut are lost."""

    def __init__(self, sim, ends, take):
        self._sim, self._ends, self._deliver, self.line = sim, ends, take, 0

    def put(self, frame):
        if not self._sim.cut(*self._ends):
            messages = peers.MessageDecoder().feed(frame)
            self._sim.time.later(self._sim.delay_s, lambda: gevent.spawn(self._arrives, messages))
        return True

    def _arrives(self, messages):
        with self._sim.time.inside(self._ends[1]):
            self._deliver(messages)


class SimulatedCluster:
    """`nodes` controllers in two zones, and machines that are up from the start."""

    def __init__(self, monkeypatch, seed=0, nodes=3, machines=6, zones="ab", tick_s=0.5, fetch_s=2.0, **settings):
        self.rng, self.time = random.Random(seed), SimulatedTime(monkeypatch)
        self.spelling_rng = random.Random(f"{seed}/spelling")
        self.clock = self.time.clock
        self.service = Service(self)
        self.delay_s, self.tick_s, self.report_s, self.fetch_s = 0.001, tick_s, 1.0, fetch_s
        self.cuts, self.deaf = set(), set()  # cut pairs of nodes or nodes; machines that get no answers or calls
        self.mute, self.hanging = set(), {}  # machines that reach no controller; hanging ones with calls
        self.capacity = 1000  # machines of the cloud
        self.boot_s, self.for_next, self.kept_reports = 3.0, 0.0, []  # share of reports kept for the next leader
        self.cut_zones, self.held_reports, self.held_calls = set(), 0.0, 0.0  # and the shares delayed
        self.only_node = ""  # if not empty, the controller to which all workers report
        self.calls = True  # whether direct calls reach workers
        self.run_answers_held_s = 0.0  # how long an answer that starts a task is held up on its way
        self.hang_before_run_s = 0.0  # how long a machine hangs between such an answer and the start
        self.rentals_late_s = self.returns_late_s = 0.0  # how late, and without an answer, the cloud carries them out
        self.runs_executed = []  # (time, task) of each start that a machine carried out
        self.zone_of = {f"n{number}": zones[number % len(zones)] for number in range(nodes)}
        self.copies = 0.0  # share of reports of which a copy arrives later
        sim = self

        class Client:
            """HTTP client of a controller for calls to the state service or to workers."""

            def __init__(self, address, timeout_s=3.0, keep=4):
                self.address = address

            def call(self, method, path, body=None, timeout_s=None):
                return sim.call(self.address, method, path, body)

        for module in (store_actor, prober_module, cloud_actor, halts_module, sender_module):
            monkeypatch.setattr(module, "HttpClient", Client)
        drawn = SimpleNamespace(random=self.rng.random, getrandbits=self.rng.getrandbits)
        monkeypatch.setattr(node_module, "random", SimpleNamespace(Random=lambda: drawn))
        self.settings = {"state": StateSettings(400.0, 200.0, 4.0, 8), **settings}
        self.names = [f"n{number}" for number in range(nodes)]
        self.specs = Specs(self.service.state)
        self.workers, self.greenlets, self.nodes, self.count = {}, {}, {}, itertools.count(1)
        self.rented = {}
        self.rules, self.accepted, self.told = None, {}, {}
        self.answers = Answers(self._wrong_answer)
        self.cancels_at_end, self.looks, self.extra_jobs = 0.0, False, []
        for name in self.names:
            self.begin(name)
        self.rules = Rules(self.nodes["n0"]._config, self.specs)
        self.lease_s = self.rules.config.settings.workers.lease_s
        for number in range(machines):
            self.rent(f"m-{number}", "ab"[number % 2], False, 1, boots_s=0.0)
        self.time.spawn(self._check_rules)
        self.time.spawn(self._deliver_kept_reports)

    # controllers

    def begin(self, name):
        """Starts a controller with an empty memory."""
        config = make_config(size=len(self.names), **self.settings)
        config.node, config.zone = name, self.zone_of[name]
        config.endpoints.state = name  # identifies the caller
        config.peers = [Peer(other, self.zone_of[other], "127.0.0.1:9") for other in self.names if other != name]
        first = len(self.time._all)
        node = self.nodes[name] = Node(config, Policy(), self.clock)
        node.cloud.submit = lambda kind, *asked: self.time.later(0.1, lambda: self._cloud_answers(name, *asked))
        node.cloud.types = lambda: [TYPE]
        node.cloud.machines = self._listed
        node.cloud.rent = self._request_rental
        node.cloud.request_return = self._request_return
        with self.time.inside(name):
            for part in (node.store, node.election, node.leader):
                part.start()
            for other, link in node.peers.links.items():
                self.time.spawn(self._link, node, name, other, link)
        node.peers._handler, node.peers._reports = node._answer, node._answer_reports
        self.greenlets[name] = self.time._all[first:]

    def _cloud_answers(self, name, call, then):
        answer = call()
        self.time.when_awake(name, lambda: then(answer))

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
                    link._outbox.put(link.beat())
            gevent.sleep(0.5)

    def end(self, name, back_s=None):
        """Kills the process; with `back_s` it is started again after that time."""
        self.nodes.pop(name)
        self.time.stopped_until.pop(name, None)
        self.time.end(self.greenlets[name])
        if back_s is not None:
            self.time.later(back_s, lambda: self.begin(name))

    def pause(self, name, for_s):
        """Stops the process for a while, if it is running."""
        if name in self.nodes:
            self.time.stop(name, for_s)

    def cut(self, one, other):
        if one in self.cuts or other in self.cuts or frozenset((one, other)) in self.cuts:
            return True
        return not self.reaches(self.zone_of[one], self.zone_of[other])

    def reaches(self, one, other):
        """Returns whether two zones are connected; a zone that is cut off reaches only itself. "" is the region."""
        return one == other or not {one, other} & self.cut_zones

    def leader(self):
        """Returns the leader on record in the state service; empty if there is none."""
        return self.service.state.items.get(keys.LEADER, ({"node": ""}, 0))[0]["node"]

    def call(self, address, method, path, body):
        if address in self.names or address == "127.0.0.1:4":
            if not self.reaches(self.zone_of.get(address, ""), ""):
                self.time.sleep(1.5)
                raise CallFailed("no way")
            return self.service.request(address, method, path, body)
        worker = self.workers.get(address)
        if worker is None or worker.dead or worker.name in self.deaf or not self.calls or self._is_cut_off(worker):
            self.time.sleep(1.5)
            raise CallFailed("silent", unsent=True)
        if self.rng.random() < self.held_calls:
            # It arrives although its sender has timed out.
            self.time.later(2 + 4 * self.rng.random(), lambda: worker.dead or self._handle_call(worker, path, body))
            self.time.sleep(1.5)
            raise CallFailed("no answer")
        if worker.name in self.hanging:
            self.hanging[worker.name].append((path, body))
            self.time.sleep(1.5)
            raise CallFailed("it takes connections and says nothing")
        return self._handle_call(worker, path, body)

    def _is_cut_off(self, worker):
        """Returns whether the worker's zone is cut off; all callers count as outside of it."""
        return worker.zone in self.cut_zones

    def _handle_call(self, worker, path, body):
        status = 200
        if path == "/do":
            orders = msgspec.json.decode(body, type=workers.DirectCommands)
            status = 200 if (orders.session, orders.token >= worker.token) == (worker.session, True) else 409
            if status == 200:
                worker.token = orders.token
                for command in orders.commands:
                    worker.execute(command, self.clock.now_us())
        return status, workers.encode(self._report_of(worker))

    # machines

    def hang(self, name, for_s):
        """Stops the machine for a while: its tasks stay on it, and calls wait until it continues."""
        if name not in self.hanging:
            self.hanging[name] = []
            self.time.later(for_s, lambda: self._resume(name))

    def _resume(self, name):
        calls, worker = self.hanging.pop(name), self.workers.get(name)
        for path, body in calls if worker is not None and not worker.dead else ():
            self._handle_call(worker, path, body)

    def _deliver_kept_reports(self):
        """Delivers the kept reports to every controller when the next leader begins."""
        token = 0
        while True:
            gevent.sleep(0.1)
            now = self.service.state.stamp_of(keys.LEADER)
            if now not in (0, token):
                token, kept_reports, self.kept_reports = now, self.kept_reports, []
                for body, after_s in kept_reports:
                    for node in list(self.nodes):
                        self.time.later(after_s, lambda n=node, b=body: self.time.spawn(self._arrives, n, b))

    def _arrives(self, node, body):
        if node in self.nodes:
            self._ask(node, body)

    def _listed(self):
        return [
            cloud.ListedMachine(w.name, w.name, TYPE.name, w.zone, w.spot, "running", 50.0)
            for w in self.workers.values()
        ]

    def _request_rental(self, wish):
        """Rents at once, or later and without an answer."""

        def carry_out():
            return self.rent(wish.name, wish.zone, wish.spot, wish.count)

        return self._late(self.rentals_late_s, carry_out)

    def _request_return(self, names):
        """Takes machines back at once, or later and without an answer."""
        return self._late(self.returns_late_s, lambda: self._give_back(names))

    def _late(self, late_s, carry_out):
        if not late_s:
            return carry_out()
        self.time.later(late_s, carry_out)
        return None

    def restart_machine(self, name, after_s):
        """Ends a machine; after a time it is back under its name with nothing on it, and its worker begins anew."""
        worker = self.workers.pop(name)
        worker.dead = True
        self.time.later(after_s, lambda: self.time.spawn(self._run_worker, name, worker.zone, worker.spot))

    def rent(self, charter, zone, spot, count, boots_s=None):
        boots_s = self.boot_s if boots_s is None else boots_s
        if charter not in self.rented:
            used = sum(host not in self.rented for hosts in self.rented.values() for host in hosts)
            count = max(0, min(count, self.capacity - used))
            self.rented[charter] = [f"host-{next(self.count):06d}" for _ in range(count)]
            for name in self.rented[charter]:
                self.time.later(boots_s, lambda name=name: self.time.spawn(self._run_worker, name, zone, spot))
        return self.rented[charter]

    def _give_back(self, names):
        for name in names:
            self.rented[name] = []
            if name in self.workers:
                self.workers.pop(name).dead = True
        return names

    def _report_of(self, worker):
        return msgspec.structs.replace(worker.report(), address=worker.name)

    def _run_worker(self, name, zone, spot):
        if self.rented.get(name) == []:
            return
        worker = self.workers[name] = WorkerStandIn(
            name,
            zone,
            spot,
            self.specs,
            lease_s=self.lease_s,
            fetch_s=self.fetch_s,
            answered_us=self.clock.now_us(),
        )
        at = self.rng.randrange(len(self.names))
        while not worker.dead:
            node, pause_s = (
                self.only_node or self.names[at % len(self.names)],
                self.report_s * (0.8 + 0.4 * self.rng.random()),
            )
            while worker.name in self.hanging:
                gevent.sleep(0.1)
            answer, sent_us = None, self.clock.now_us()
            report = self._report_of(worker)
            body = workers.encode(report)
            if self.rng.random() < self.for_next:
                self.kept_reports.append((body, 0.0))
            held = self.rng.random() < self.held_reports
            if held:
                self.kept_reports.append((body, 1.0))  # delivered after the next leader has acted
            if self.rng.random() < self.copies:
                self.time.later(2 + 10 * self.rng.random(), lambda body=body: gevent.spawn(self._copy, body))
            with gevent.Timeout(4.0, False):
                lost = held or worker.name in self.mute or not self.reaches(worker.zone, self.zone_of[node])
                arriving = None if lost else self._ask(node, body)
                if arriving is not None and b'"run"' in arriving.body:
                    gevent.sleep(self.run_answers_held_s)
                    if self.hang_before_run_s:
                        self.hang(worker.name, self.hang_before_run_s)
                answer = arriving
            while worker.name in self.hanging:
                gevent.sleep(0.1)
            if answer is None or worker.name in self.deaf or answer.status not in (200, 421):
                at, pause_s = at + 1, 1.0
            elif answer.status == 421:
                to = msgspec.json.decode(answer.body).get("harbormaster")
                at, pause_s = (self.names.index(to), 0.1) if to in self.names else (at + 1, 1.0)
            else:
                commands = workers.decode_commands(answer.body)
                known = set(worker.tasks)
                worker.answer(commands, sent_us, report.session)
                self.runs_executed += [(self.clock.now_us(), key[0]) for key in worker.tasks.keys() - known]
            gevent.sleep(pause_s)

    def _ask(self, node, body):
        """Sends a report to a controller; no answer arrives while that is down or stopped."""
        if node not in self.nodes or ("workers", node) in self.cuts:
            gevent.sleep(9.0)
        with self.time.inside(node):
            while node not in self.nodes:  # it ended while it was stopped
                gevent.sleep(9.0)
            return self.nodes[node].gateway.handle(body)

    def _copy(self, body):
        node = self.rng.choice(self.names)
        if node in self.nodes:
            self._ask(node, body)

    # users

    def ask(self, node, method, path, body=b""):
        """Returns that controller's answer to a user as (status, body); None if there is none within five seconds."""
        with gevent.Timeout(5.0, False):
            if node in self.nodes and self.reaches(self.zone_of[node], ""):
                with self.time.inside(node):
                    if node not in self.nodes:
                        return None
                    reply = self.nodes[node].web._route(method, path, {"wsgi.input": io.BytesIO(body)})
                said = reply.body if isinstance(reply.body, bytes) else msgspec.json.encode(reply.body)
                return reply.status, msgspec.json.decode(said)
        return None

    def _wrong_answer(self, job, rule, what):
        self.broken = AssertionError(f"{rule} {job}: {what}")

    def _check_answer(self, job, reply, before):
        """Checks an answer; `before`: the answers known when the user asked, which no answer may contradict."""
        status, said = reply
        if status not in (200, 201) or "status" not in said:
            self.answers.refused(job, before, status, said)
            return None
        now = said["status"]
        changed = self.answers.told(job, before, now, said.get("done"), said)
        self.accepted.setdefault(job, self.clock.now_us())
        if now in FINAL:
            self.told.setdefault(job, now)
        if now == DONE and len(self.rules.done_tasks.get(job, ())) != self.specs[job].tasks:
            self.broken = AssertionError(f"not_done {job}")
        if now == CANCELLED:
            self.rules.cancelled_us.setdefault(job, self.clock.now_us())
        if self.looks and (changed or status == 201):
            self.ask_all_controllers(job)
        return now

    def _request(self, job, method, path, body=b"", node=None):
        before = self.answers.known(job)
        reply = self.ask(node or self.rng.choice(self.names), method, path, body)
        if reply is not None and path == "/work":
            self.answers.rejected(job, reply[0], reply[1])
        return None if reply is None else self._check_answer(job, reply, before)

    def submit(self, spec, node=None):
        """Submits a job as users do: repeatedly, to any controller, until it is accepted."""
        self.time.spawn(self._request_until_answered, spec.id, "POST", "/work", self.spelled(spec), node)
        return spec

    def spelled(self, spec):
        """Returns the job's submission, in another spelling each time."""
        return spell(spec, self.spelling_rng)

    def _request_until_answered(self, job, method, path, body, node):
        for _ in range(60):
            if self._request(job, method, path, body, node) is not None:
                return
            gevent.sleep(1.0)

    def cancel(self, spec, node=None):
        self.answers.cancels(spec.id)
        self.time.spawn(self._request_until_answered, spec.id, "POST", f"/work/{spec.id}/abort", b"", node)

    def poll(self, job, node=None):
        return self._request(job, "GET", f"/work/{job}", b"", node)

    def repeat_with_other_body(self, job, body, node):
        """Repeats a submission with another body; the answer must be the job's state or 503."""
        before = self.answers.known(job)
        reply = self.ask(node, "POST", "/work", body)
        if reply is not None:
            self._check_answer(job, reply, before)

    def ask_all_controllers(self, job):
        """Queries all controllers and repeats the submission there within milliseconds after an answer."""
        for number, name in enumerate(self.names * 3):
            body = self.spelled(self.specs[job])
            at_s = 0.001 * (1 + 7 * number) * (1 + self.rng.random())
            self.time.later(at_s, lambda n=name: self.time.spawn(self._request, job, "GET", f"/work/{job}", b"", n))
            self.time.later(at_s, lambda n=name, b=body: self.time.spawn(self._request, job, "POST", "/work", b, n))

    # checks of the rules

    def on_machines(self, job):
        return [(w, t) for w in self.workers.values() for t in w.on_machine() if t.job == job]

    def waits(self, job):
        """Returns whether the leader knows the job and lacks capacity for it (of a gang: for all in one zone)."""
        cluster = self.nodes[self.leader()].leader._cluster
        known = cluster.jobs.get(job) if cluster is not None else None
        if known is None:
            return False
        spec, team, team_usage = known.spec, cluster.teams.get(known.spec.team), cluster.team_usage(known.spec.team)
        count = known.pending if known.is_gang else 1
        if team is not None and team.gpus_max and team_usage[1] + count * spec.gpus > team.gpus_max + 1e-6:
            return True
        slots = Counter()
        for machine in cluster.machines.values():
            there = machine.phase == UP and not machine.drain_reason and machine.name in self.workers
            if there and machine.allows(spec) and machine.fits(spec) and known.may_join(machine.zone):
                slots[machine.zone] += slots_in(machine.free_cpus, machine.free_gpus, machine.free_ram_gb, spec)
        return max(slots.values() if spec.one_zone else [sum(slots.values())], default=0) < count

    def _check_rules(self):
        while True:
            gevent.sleep(self.tick_s)
            now_us, began = self.clock.now_us(), []
            try:
                self.rules.check(list(self.workers.values()), [], now_us)  # before a lease that expires now ends them
            except AssertionError as error:
                self.broken = error
                return
            for worker in [one for one in self.workers.values() if one.name not in self.hanging]:
                began += [(worker, task) for task in worker.pass_time(now_us, self.tick_s, self._all_there)]
                for task in worker.tasks.values():
                    if task.state == "exited" and task.cause == "done":
                        spec = self.specs[task.job]
                        indexes = range(spec.tasks) if spec.shape == "gang" else (task.index,)
                        known = self.rules.done_tasks.setdefault(task.job, set())
                        last = len(known) < spec.tasks
                        known.update(indexes)
                        if last and len(known) == spec.tasks and self.rng.random() < self.cancels_at_end:
                            self.cancel(spec)
            try:
                self.rules.check(list(self.workers.values()), began, now_us)
                self.rules.check_starts(began)
                self.rules.check_state(self.service.state)
                self._check_mirrors()
            except AssertionError as error:
                self.broken = error
                return

    def _check_mirrors(self):
        """Checks that a mirror which is complete to the service's newest revision holds the same keys and stamps."""
        state = self.service.state
        expected = {key: stamp for key, (_, stamp) in state.items.items() if key.startswith(keys.PREFIX)}
        for name, node in self.nodes.items():
            if node.store.revision == state.tide and node.store.loaded.is_set():
                mirrored = {key: stored.stamp for key, stored in node.store.mirror.items()}
                assert mirrored == expected, f"wrong mirror of {name}: {mirrored.items() ^ expected.items()}"

    broken = None

    def run(self, seconds):
        """Lets time pass; a rule violated meanwhile fails the test."""
        self.time.run(seconds)
        if self.broken is not None:
            raise self.broken

    def _all_there(self, task):
        here = [t for _, t in self.on_machines(task.job) if t.attempt == task.attempt]
        return len({t.index for t in here}) == self.specs[task.job].tasks

    def close(self):
        self.time.end()
