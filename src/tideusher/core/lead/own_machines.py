"""MachineOwner of the embedding program: transitions that only an embedded instance has (docs/embed.md)."""

from collections.abc import Iterable
from typing import Protocol

from tideusher.core.model.records import RETURNING, Machine, Task
from tideusher.core.model.rentals import Rental


class MachineOwner(Protocol):
    """The part of the cluster that this module needs."""

    rents_machines: bool
    rentals: dict[str, Rental]
    machines: dict[str, Machine]

    def add_machine(self, name: str, rental: Rental, now_us: int) -> Machine:
        """Adds a machine that the rental brought and that was not known before."""

    def mark_returning(self, machine: Machine, reason: str) -> None:
        """Excludes the machine from further work."""

    def halt(self, task: Task, grace_s: float, reason: str) -> None:
        """Stops a task."""

    def returned(self, names: Iterable[str], now_us: int) -> None:
        """Removes the machines and everything on them."""


class OwnMachines:
    """Transitions of machines that are neither rented nor returned, and that only this process knows."""

    def __init__(self, cluster: MachineOwner) -> None:
        self._c = cluster

    def add(self, machines: Iterable[tuple[str, str, str]], now_us: int) -> None:
        """Adds permanent machines, each given as (name, type, zone)."""
        self._c.rents_machines = False
        for name, kind, zone in machines:
            rental = Rental(f"own-{name}", kind, zone, False, 1, answered=True)
            self._c.rentals[rental.name] = rental
            self._c.add_machine(name, rental, now_us)

    def withdraw(self, name: str, reason: str, grace_s: float) -> None:
        """Withdraws a machine: its tasks are stopped, and it is removed once all of them are gone."""
        machine = self._c.machines.get(name)
        if machine is None or machine.phase == RETURNING:
            return
        self._c.mark_returning(machine, reason)
        for task in list(machine.tasks.values()):
            for member in list(task.job.live.values()) if task.job.is_gang else [task]:
                self._c.halt(member, grace_s, reason)

    def remove_drained(self, now_us: int) -> list[str]:
        """Removes withdrawn machines without tasks; returns their names."""
        if self._c.rents_machines:
            return []
        names = [m.name for m in self._c.machines.values() if m.phase == RETURNING and not m.tasks]
        if names:
            self._c.returned(names, now_us)
        return names

    def refresh_contact(self, now_us: int) -> None:
        """Sets the last contact of all machines to now: they live as long as the program itself."""
        for machine in self._c.machines.values():
            machine.last_contact_us = machine.last_report_us = now_us
