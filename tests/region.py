"""A simulation of two zones whose machines die, hang or are cut off, under one leader, in steps of 0.25 s."""

import msgspec

from standins import LeaderHarness, Rules, make_config
from tideusher.config import Policy, WorkerSettings
from tideusher.core.lead.reports import Reports
from tideusher.core.lead.scheduler import Scheduler
from tideusher.playground.standins import TYPE, WorkerStandIn
from tideusher.wire.cloud import ListedMachine
from tideusher.wire.workers import Commands

UP, DEAD, HANGS, CUT_OFF = "up", "dead", "hangs", "cut"
MUTE = "mute"  # its controller has ended: it answers calls but reports to no controller yet
STEP_S = 0.25
LIST_DELAY_S = 30.0


class Region(LeaderHarness):
    """Machines report every two seconds; a call to a silent machine fails after 1.5 s, as in the leader."""

    def __init__(self, a=20, b=20, boot_s=20.0, idle_s=1e6):
        super().__init__(make_config(workers=WorkerSettings(2.0, 13.0, 40.0, 5.0, 38.0)))
        self.specs, self.workers, self.states, self.since = {}, {}, {}, {}
        self.rules = Rules(self.cluster.config, self.specs)
        self.calls, self.booting, self.rented, self.gone = {}, [], {}, {}
        self.cloud_answers, self.leads, self.list_lag_s = True, True, 2.0
        self.lists, self.writes, self.none_left = True, True, set()  # (zone, spot) without capacity in the cloud
        self.idle_s = idle_s
        self.write_rate, self.budget, self.written = None, 0.0, 0
        self.boot_s, self.steps, self.most_calls, self.asked_list = boot_s, 0, 0, 0
        self.types()
        for number in range(a + b):
            self.add(f"host-{number:03d}", "a" if number < a else "b")
        self.run(4)

    def types(self):
        self.cluster.fleet._policy = Policy(fleet__idle_s=self.idle_s)
        self.cluster.set_types([msgspec.structs.replace(TYPE, boot_s=self.boot_s)])

    def add(self, name, zone, spot=False):
        worker = WorkerStandIn(name, zone, spot, self.specs, lease_s=13.0, answered_us=self.clock.now_us())
        self.workers[name] = worker
        self.states[name] = UP

    def start(self, *specs):
        for spec in specs:
            self.specs[spec.id] = spec
            self.submit(spec)
        self.run(6)

    def set_state(self, names, what):
        for name in list(names):
            if name in self.workers:
                self.states[name], self.since[name] = what, self.clock.now_us()
                self.workers[name].dead = what == DEAD

    def machines_in(self, zone):
        return [name for name, worker in self.workers.items() if worker.zone == zone]

    def running_tasks(self, spec):
        """Returns how many tasks of the job are on machines that are up."""
        here = (t for n, w in self.workers.items() if self.states[n] == UP for t in w.on_machine())
        return sum(task.job == spec.id for task in here)

    def next_leader(self):
        self.elect()
        self.types()
        self.calls.clear()
        self.cluster.to_return  # noqa: B018  its inherited returns are requested in the next step

    def run(self, seconds, until=lambda: False):
        """Let time pass; returns the seconds until the condition held."""
        for step in range(round(seconds / STEP_S)):
            self._step()
            if until():
                return (step + 1) * STEP_S
        return seconds

    def _step(self):
        self.steps += 1
        self.clock.pass_s(STEP_S)
        self.budget = min(self.budget + (self.write_rate or 0) * STEP_S, self.write_rate or 0)
        now = self.clock.now_us()
        for due, name, zone, spot in [b for b in self.booting if b[0] <= now]:
            self.booting.remove((due, name, zone, spot))
            if name not in self.gone:
                self.add(name, zone, spot)
        began = []
        for number, (name, worker) in enumerate(sorted(self.workers.items())):
            if self.states[name] == UP and self.leads and (self.steps + number) % 8 == 0:
                report = worker.report()
                commands = Commands(self.cluster.token, Reports(self.cluster).answer(report, now))
                worker.answer(commands, now, report.session)
            if self.states[name] in (UP, CUT_OFF, MUTE) and (self.steps + number) % 4 == 0:
                began += [(worker, task) for task in worker.pass_time(now, 1.0, self._is_complete)]
        self.rules.check(list(self.workers.values()), began, now)
        if self.leads:
            self._lead(now)

    def commit(self):
        """Commit as the leader's actor does; with a write rate, no more than that in any second."""
        self.cluster.writable = self.writes
        if not self.writes:
            return
        if self.write_rate is None:
            super().commit()
            return
        while self.budget >= 1:
            lazy = 2 if self.cluster.recovery.waiting() else None
            batch = self.cluster.write_queue.next_batch(min(8, int(self.budget)), lazy)
            if batch is None:
                return
            self.budget -= len(batch.writes)
            self.written += len(batch.writes)
            revision = self.state.txn(batch.guards, batch.writes)
            assert revision is not None
            self.cluster.write_queue.batch_committed(revision)

    def _is_complete(self, task):
        ready = {
            t.index
            for n, w in self.workers.items()
            for t in w.on_machine()
            if (t.job, t.attempt) == (task.job, task.attempt) and self.states[n] != HANGS
        }
        return len(ready) == self.specs[task.job].tasks

    def _lead(self, now):
        cluster = self.cluster
        for name, due in list(self.calls.items()):
            if due <= now:
                del self.calls[name]
                machine, state = cluster.machines.get(name), self.states.get(name, DEAD)
                if machine is not None and state in (UP, MUTE):
                    cluster.mass_failures.answered(machine, now)
                    Reports(cluster).apply(self.workers[name].report(), now)
                elif machine is not None and cluster.health.is_suspect(machine, now):
                    cluster.mass_failures.unanswered(machine, state == HANGS, due - 1_500_000, now)
        review = cluster.review_silent_machines(now, set(self.calls))
        for probe in review.probes:
            wait_s = 0.0 if self.states.get(probe.machine.name) in (UP, MUTE) else 1.5
            self.calls[probe.machine.name] = now + round(wait_s * 1e6)
        self.most_calls = max(self.most_calls, len(self.calls))
        self.asked_list += review.list_due
        if self.lists and (review.list_due or self.steps % 8 == 0):
            self._list(now)
        self.scheduler.schedule(now)
        self.commit()
        cluster.direct.clear()
        self._cloud(now)
        self.commit()

    def _list(self, now):
        listing = []
        for name, worker in self.workers.items():
            failed = self.states[name] == DEAD and now - self.since[name] > (LIST_DELAY_S + self.list_lag_s) * 1e6
            status = "failed" if failed else "running"
            listing.append(ListedMachine(name, "127.0.0.1:9", "m4", worker.zone, worker.spot, status, 100.0))
        self.cluster.listed(listing, now)

    def _cloud(self, now):
        cluster = self.cluster
        for rental in list(cluster.to_rent):
            if (rental.zone, rental.spot) in self.none_left:
                cluster.renting.refused(rental, now)
                cluster.to_rent.remove(rental)
        for rental in cluster.to_rent:
            if rental.name not in self.rented:
                self.rented[rental.name] = [f"new-{rental.name}-{n:02d}" for n in range(rental.count)]
                for name in self.rented[rental.name]:
                    self.booting.append((now + round(self.boot_s * 1e6), name, rental.zone, rental.spot))
            cluster.renting.rented(rental, self.rented[rental.name], now)
        cluster.to_rent.clear()
        if not self.cloud_answers:
            return
        names = [machine.name for machine in cluster.to_return]
        cluster.to_return.clear()
        for name in names:
            self.gone[name] = self.states.get(name, "booting")
            if name in self.workers:
                self.workers.pop(name).dead = True
        cluster.returned(names, now)

    def fresh_scheduler(self):
        self.scheduler = Scheduler(self.cluster, self.clock.now_us())
