"""Machines that are the program's own: the transitions that only an embedded instance has (docs/embed.md)."""

from collections.abc import Iterable
from typing import Protocol

from tideusher.core.model.records import RETURNING, Machine, Task
from tideusher.core.model.rentals import Rental


class Machines(Protocol):
    """What this needs of the leader's picture."""

    rents_machines: bool
    rentals: dict[str, Rental]
    machines: dict[str, Machine]

    def add_machine(self, name: str, rental: Rental, now_us: int) -> Machine:
        """The rental brought a machine that was not known."""

    def mark_returning(self, machine: Machine, reason: str) -> None:
        """No work goes there from now on."""

    def halt(self, task: Task, grace_s: float, reason: str) -> None:
        """Have a task stopped."""

    def returned(self, names: Iterable[str], now_us: int) -> None:
        """The machines and everything on them are gone."""


class OwnMachines:
    """Machines that are neither rented nor given back, and known to nobody but this process."""

    def __init__(self, cluster: Machines) -> None:
        self._c = cluster

    def add(self, machines: Iterable[tuple[str, str, str]], now_us: int) -> None:
        """Machines that are there for good: (name, type, zone)."""
        self._c.rents_machines = False
        for name, kind, zone in machines:
            rental = Rental(f"own-{name}", kind, zone, False, 1, answered=True)
            self._c.rentals[rental.name] = rental
            self._c.add_machine(name, rental, now_us)

    def withdraw(self, name: str, reason: str, grace_s: float) -> None:
        """A machine is not to be used any more: what runs there is stopped, and it leaves when all is gone."""
        machine = self._c.machines.get(name)
        if machine is None or machine.phase == RETURNING:
            return
        self._c.mark_returning(machine, reason)
        for task in list(machine.tasks.values()):
            for member in list(task.job.live.values()) if task.job.is_gang else [task]:
                self._c.halt(member, grace_s, reason)

    def remove_drained(self, now_us: int) -> list[str]:
        """Withdrawn machines on which nothing is any more are gone from now on; returns their names."""
        if self._c.rents_machines:
            return []
        names = [m.name for m in self._c.machines.values() if m.phase == RETURNING and not m.tasks]
        if names:
            self._c.returned(names, now_us)
        return names

    def refresh_contact(self, now_us: int) -> None:
        """They live as long as their program: they are as good as heard at any moment."""
        for machine in self._c.machines.values():
            machine.last_contact_us = machine.last_report_us = now_us
