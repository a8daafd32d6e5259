"""Charges of teams in a sliding window, and the usage ratio by which teams are ranked.

The charge of a task per second is its largest share of its machine's CPUs, GPUs or memory: one unit is
one machine for one second. A team's ratio is its charge in the window divided by its guarantee (a share
of the fleet) times the fleet's capacity times the window. Protected minimum runtimes are charged in full
when the task is placed, so that a burst of submissions cannot be ranked by a ratio that does not include
its own first starts yet. Runtime beyond the minimum is charged as it accrues. Tasks without a protected
minimum runtime are never charged: they are the free tier.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from tideusher.clock import SECOND_US, to_us
from tideusher.config import Policy, Team
from tideusher.core.model.records import Job, Machine, Task

#: Ratio of teams without a guarantee: higher than any that charges can reach, so they rank last.
NO_GUARANTEE = 1e12
#: Maximum slots of a window; share of the written value that slots may take; bytes of a team and of a slot in it.
MAX_SLOTS, SLOTS_VALUE_SHARE, TEAM_BYTES, SLOT_BYTES = 60, 0.8, 64, 9
#: Name of the metadata in the written value; no team has it.
METADATA = ""
#: Longest time without a written charge that a new leader charges for running tasks: several leaders in a row may be
#: replaced before they write charges.
MAX_UNCHARGED_GAP_US = 600 * SECOND_US


def share(job: Job, machine: Machine) -> float:
    """Returns the task's largest share of the machine."""
    spec = job.spec
    return max(
        spec.cpus / machine.cpus if machine.cpus else 0.0,
        spec.gpus / machine.gpus if machine.gpus else 0.0,
        spec.ram_gb / machine.ram_gb if machine.ram_gb else 0.0,
    )


class Ledger:
    """Charges per team in slots by time of day, so that they expire the same way under a later leader.

    A window has up to MAX_SLOTS slots, fewer if the written value could not hold them; the oldest slot counts in
    proportion to its part inside the window. The same charges give the same ratio regardless of changes of leader
    in between.
    """

    def __init__(
        self, teams: Iterable[Team], policy: Policy, now_us: int, wall_us: int = 0, value_bytes: int | None = None
    ) -> None:
        self._teams = {team.name: team for team in teams}
        self._policy = policy
        self._window_us = to_us(policy.ledger__window_s)
        max_slots = MAX_SLOTS
        self._value_bytes = value_bytes
        if value_bytes is not None:
            max_slots = int(value_bytes * SLOTS_VALUE_SHARE / max(1, len(self._teams)) - TEAM_BYTES) // SLOT_BYTES
        self._slot_us = max(1, self._window_us // max(1, min(MAX_SLOTS, max_slots)))
        self._slots: dict[str, dict[int, float]] = {name: {} for name in self._teams}
        self._totals: dict[str, float] = dict.fromkeys(self._teams, 0.0)
        self._charged_until_us = now_us
        self._wall_offset_us = wall_us - now_us  # time of day less steady time, fixed while leading
        self._fleet_gpus = 0.0
        self._fleet_cpus = 0.0
        self._fleet_machines = 0.0

    @property
    def until_us(self) -> int:
        """Steady time up to which running tasks are charged."""
        return self._charged_until_us

    def set_fleet(self, machines: Iterable[Machine]) -> None:
        """Sets the fleet's capacity, of which guarantees are a share."""
        self._fleet_gpus = self._fleet_cpus = 0.0
        self._fleet_machines = 0.0
        for machine in machines:
            self._fleet_gpus += machine.gpus
            self._fleet_cpus += machine.cpus
            self._fleet_machines += 1

    def charge(self, team: str, amount: float, now_us: int) -> None:
        """Adds machine-seconds to a team's present slot."""
        slots = self._slots.get(team)
        if slots is None or amount == 0.0:
            return
        number = (now_us + self._wall_offset_us) // self._slot_us
        slots[number] = slots.get(number, 0.0) + amount
        self._totals[team] += amount

    def charge_start(self, task: Task, min_run_us: int, now_us: int, again: bool = False) -> None:
        """Charges the protected minimum runtime in advance, once per task, so that a burst of starts pays at once.

        `again`: charge it although it was charged, as the leader that did so could not write the charge.
        """
        if min_run_us and (again or task.job.mark_start_charged(task.index)):
            advance_us = min(min_run_us, to_us(self._policy.ledger__window_s))
            if task.job.is_service:
                # The estimate of a service is its cap. Only one charging interval is certain to be used; the rest
                # accrues, as otherwise one replica would outweigh a day of batch tasks.
                advance_us = to_us(self._policy.ledger__gather_s)
            self.charge(task.job.spec.team, share(task.job, task.machine) * advance_us / SECOND_US, now_us)

    def charge_usage(self, tasks: Iterable[tuple[Task, int]], now_us: int) -> None:
        """Charges running tasks, as (task, minimum runtime) pairs, for the time since the last call."""
        since_us, self._charged_until_us = self._charged_until_us, now_us
        for task, min_run_us in tasks:
            if not min_run_us or task.running_us is None:
                continue  # free tier, or not running yet
            begin_us = max(since_us, task.running_us)
            if not task.job.is_service:
                begin_us = max(begin_us, task.running_us + min_run_us)  # the minimum is paid already
            if now_us > begin_us:
                amount = share(task.job, task.machine) * (now_us - begin_us) / SECOND_US
                self.charge(task.job.spec.team, amount, now_us)
        self._expire(now_us)

    def _expire(self, now_us: int) -> None:
        """Drops slots that have left the window and sums up the others, so that rounding errors do not accumulate."""
        since = (now_us + self._wall_offset_us - self._window_us) / self._slot_us
        oldest = int(since // 1)
        for name, slots in self._slots.items():
            for number in [number for number in slots if number < oldest]:
                del slots[number]
            oldest_amount = slots.get(oldest, 0.0) * (oldest + 1 - since)
            self._totals[name] = oldest_amount + sum(amount for number, amount in slots.items() if number > oldest)

    def guaranteed_machines(self, team: str) -> float:
        """Returns the team's guarantee as a number of average machines of the present fleet."""
        record = self._teams.get(team)
        if record is None or not self._fleet_machines:
            return 0.0
        shares = [0.0]
        if record.gpus and self._fleet_gpus:
            shares.append(record.gpus / self._fleet_gpus)
        if record.cpus and self._fleet_cpus:
            shares.append(record.cpus / self._fleet_cpus)
        return max(shares) * self._fleet_machines

    def ratio(self, team: str) -> float:
        """Returns the charge over the guaranteed machine time in the window; the lowest ratio goes first."""
        record = self._teams.get(team)
        if record is None or not (record.gpus or record.cpus):
            return NO_GUARANTEE
        machines = self.guaranteed_machines(team)
        if not machines:
            return 0.0
        return self._totals[team] / (machines * self._policy.ledger__window_s)

    def charged(self, team: str) -> float:
        """Returns the machine-seconds charged in the window."""
        return self._totals.get(team, 0.0)

    def to_value(self, now_us: int) -> dict[str, Any]:
        """Encodes all teams' charges and ratios, with their slots, as the single value that the leader writes.

        The metadata under METADATA is the length of a slot and the time of day up to which tasks are charged. Teams
        without a charge are omitted. If the value cannot hold the others, those with the lowest charges are written
        without slots, then not at all: with 500 teams the complete value was five times the size limit, and all the
        leader's writes were refused.
        """
        value: dict[str, Any] = {
            METADATA: {"slot_us": self._slot_us, "until_us": self._charged_until_us + self._wall_offset_us}
        }
        free_bytes = (self._value_bytes or 1 << 62) - len(msgspec.json.encode(value))
        for name in sorted(self._slots, key=lambda name: (-self._totals[name], name)):
            slots = self._slots[name]
            if not slots:
                continue
            plain: list[Any] = [round(self._totals[name], 1), round(min(self.ratio(name), 1e6), 4)]
            first = min(slots)
            slotted = [*plain, first, [round(slots.get(number, 0.0), 1) for number in range(first, max(slots) + 1)]]
            for row in (slotted, plain):
                size = len(msgspec.json.encode({name: row}))
                if size < free_bytes:
                    value[name], free_bytes = row, free_bytes - size
                    break
        return value

    def restore(self, value: dict[str, Any], now_us: int, wall_us: int) -> None:
        """Restores the charges that the last leader wrote, and the time up to which tasks are charged.

        A value without slots was written by an older version; its charges count as made now.
        """
        self._wall_offset_us = wall_us - now_us
        metadata = value.get(METADATA, {})
        slot_us = metadata.get("slot_us", self._slot_us)
        until_us = metadata.get("until_us", wall_us) - self._wall_offset_us
        self._charged_until_us = min(now_us, max(until_us, now_us - MAX_UNCHARGED_GAP_US))
        for name in self._slots:
            slots = self._slots[name] = {}
            self._totals[name] = 0.0
            row = value.get(name)
            if row is None:
                continue  # no charges, or too few to be written
            if len(row) < 4:
                self.charge(name, float(row[0]), now_us)
                continue
            for number, amount in enumerate(row[3], row[2]):
                # A slot of another width (written with another window) goes into the slot that contains its end.
                slot = number if slot_us == self._slot_us else ((number + 1) * slot_us - 1) // self._slot_us
                slots[slot] = slots.get(slot, 0.0) + amount
        self._expire(now_us)
