"""Compares the placements of an embedded instance and of a daemon over HTTP that get the same jobs.

Usage: `python tools/compare_loopback.py --rounds N`, with `PYTHONPATH=src:tests`.
The daemon consists of its real parts (store, users, leader) with the state service's stand-in on loopback. This
tool drives only its clock and its ticks, so that both see the same times. Placements are compared after each round.
"""

import itertools
import tempfile
from typing import Any

import click
import gevent
import msgspec
from gevent.pywsgi import WSGIServer

import test_embed
from standins import TYPE, LeaderHarness, make_config
from tideusher.actors.base import Actor
from tideusher.actors.leader import Leader
from tideusher.actors.store import Store
from tideusher.actors.users import Users
from tideusher.clock import SECOND_US, Clock
from tideusher.config import CloudSettings, Endpoints, Policy, StateSettings
from tideusher.metrics import Metrics
from tideusher.playground.servers import StateServer
from tideusher.playground.standins import StateStandIn
from tideusher.wire.workers import Report, TaskReport

PORTS = itertools.count(18932)


class IdleCloud:
    """A cloud that answers nothing: the fleet stays as it is."""

    types = machines = None

    def submit(self, *_: Any) -> None:
        """Drop the request; no answer ever comes."""


class Election:
    """An election whose leader and token never change."""

    def __init__(self, token: int) -> None:
        self.token = token

    def leader(self) -> tuple[str, int]:
        return "n0", self.token


class LoopbackDaemon(test_embed.Daemon):
    """The daemon's real parts, used through the calls of users and workers, in the rounds of the test's daemon."""

    def __init__(self) -> None:
        self.harness = LeaderHarness()
        self.state = StateStandIn(1 << 20)
        self.state.txn([], [])
        token = self.state.elect("n0")
        server, port = StateServer(Clock(), self.state), next(PORTS)
        WSGIServer(("127.0.0.1", port), server, log=None).start()
        config = make_config(
            state=StateSettings(1e9, 1e9, 64.0, 500), cloud=CloudSettings(1e9, 1.0), teams=test_embed.TEAMS
        )
        config.endpoints = Endpoints("127.0.0.1:1", f"127.0.0.1:{port}")
        clock = self.harness.clock
        self.store = Store(config, clock, Metrics())
        self.store._load()
        self.users = Users(config, clock, self.store, conditions=True)
        self.leader = Leader(config, Policy(), clock, self.store, Election(token), IdleCloud(), Metrics())  # type: ignore[arg-type]
        self.store.listen(self.leader._on_change)
        Actor.start(self.leader)
        self.leader._loading = True
        self.leader.ask("take_over", token).get()
        assert self.leader._engine is not None
        self.engine = self.leader._engine
        self.cluster = self.engine.cluster
        self.cluster.set_types([msgspec.structs.replace(TYPE, zones=[])])
        self.drain()
        self.gathered_us, self.tasks, self.requests = clock.us, {}, 0
        self.serial = dict.fromkeys((card.machine for card in test_embed.SETTINGS.machines), 0)
        self.zones = {card.machine: card.zone for card in test_embed.SETTINGS.machines}
        self.report()
        self.cluster.rents_machines = False
        for machine in self.cluster.machines.values():
            machine.images["program"] = 0.0

    def drain(self) -> None:
        """Wait until all work in progress is written and acted on."""
        queue = self.cluster.write_queue
        while True:
            gevent.sleep(0)
            if queue.waiting and not queue._in_flight:
                self.leader._act(self.engine)
            if not (queue.waiting or queue._in_flight or self.engine._pass or not self.leader._inbox.empty()):
                return

    def report(self) -> bool:
        """Report all machines and execute the answered commands; True if a task changed."""
        reports = []
        for name in self.serial:
            self.serial[name] += 1
            listed = [TaskReport(task, *state) for (host, task), state in sorted(self.tasks.items()) if host == name]
            token = self.engine.token
            reports.append(
                Report(name, "127.0.0.1:9", "m4", self.zones[name], False, 1, self.serial[name], token, None, listed)
            )
        changed = False
        for name, commands in zip(self.serial, self.leader.answer_reports(reports).get(), strict=True):
            changed = self.execute(name, commands.commands) or changed
        return changed

    def settle(self) -> None:
        """Report and tick until nothing changes; tasks that were saving their state then exit."""
        saving = True
        while saving:
            busy = True
            while busy:
                busy = self.report()
                self.leader.ask("tick").get()
                self.drain()
                busy = busy or self.cluster.dirty or any(task.sent is None for task in self.placed())
                busy = busy or any(
                    task.halt_grace_s is not None and self.tasks[task.machine.name, task.name][1] == "running"
                    for task in self.placed()
                )
            saving = [key for key, state in self.tasks.items() if state[1] == "flushing"]
            for key in saving:
                self.tasks[key] = (self.tasks[key][0], "exited", "stopped")

    def round(self, specs: Any, ended: Any, cancelled: Any) -> None:
        if self.harness.clock.us - self.gathered_us >= 5 * SECOND_US:
            self.gathered_us = self.harness.clock.us
            self.leader.ask("gather").get()
        for key, state in list(self.tasks.items()):
            if key[1] in ended:
                self.tasks[key] = (state[0], "exited", "done")
        self.settle()
        for name in sorted(cancelled):
            assert self.users.cancel(name).status == 200
            self.drain()
            self.settle()
        for spec in specs:
            reply = self.users.submit(msgspec.json.encode(spec))
            assert reply.status == 201, reply
        self.drain()
        self.settle()


@click.command()
@click.option("--rounds", default=200, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(rounds: int, seed: int) -> None:
    """Compare and print how much was compared; a difference ends the run with an error."""
    test_embed.Daemon = LoopbackDaemon  # type: ignore[misc]
    jobs, placed = test_embed.compare(tempfile.mkdtemp(), seed, rounds)
    print(f"seed {seed}: {rounds} rounds, {jobs:,} jobs, {placed:,} placements compared over loopback: no difference")


if __name__ == "__main__":
    main()
