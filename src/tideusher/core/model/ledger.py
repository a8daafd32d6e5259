"""What teams are charged, in a sliding window, and the ratio that ranks them.

The charge of a task is its largest share of its machine's CPUs, GPUs or memory, per second: one
unit is one machine for one second. A team's ratio is its windowed charge over its guarantee (a share
of the fleet) times the fleet's capacity times the window. Protected minimum runtimes are charged in
full when the task is placed: a swarm of submissions therefore cannot sort on a ratio that its own
first starts have not reached yet. What a task runs beyond its minimum is charged as it accrues.
Zero-runtime work is never charged: it is the free tier.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from tideusher.clock import SECOND_US, to_us
from tideusher.config import Policy, Team
from tideusher.core.model.records import Job, Machine, Task

#: Teams without a guarantee sort behind every ratio that a charge can reach.
NO_GUARANTEE = 1e12
#: The most slots of a window; the part of the written value that they may take, and bytes of a team and of a slot.
SLOTS, VALUE_PART, TEAM_BYTES, SLOT_BYTES = 60, 0.8, 64, 9
#: The name in the written value that tells of the value itself.
ABOUT = ""
#: A new leader charges what still runs for at most so long without a written charge: leaders may change sooner than
#: they gather, many times in a row.
GAP_MOST_US = 600 * SECOND_US


def share(job: Job, machine: Machine) -> float:
    """The task's largest share of the machine."""
    spec = job.spec
    return max(
        spec.cpus / machine.cpus if machine.cpus else 0.0,
        spec.gpus / machine.gpus if machine.gpus else 0.0,
        spec.ram_gb / machine.ram_gb if machine.ram_gb else 0.0,
    )


class Ledger:
    """Charges per team in slots of the time of day, so that whoever leads next ages them as we would have.

    A window holds up to SLOTS slots, fewer where the one value that is written could not hold them; the oldest
    slot counts as far as it is still inside. The same charges give the same ratio whatever changes of leader lay
    between them.
    """

    def __init__(
        self, teams: Iterable[Team], policy: Policy, now_us: int, wall_us: int = 0, value_bytes: int | None = None
    ) -> None:
        self._teams = {team.name: team for team in teams}
        self._policy = policy
        self._window_us = to_us(policy.ledger__window_s)
        most = SLOTS
        self._value_bytes = value_bytes
        if value_bytes is not None:
            most = int(value_bytes * VALUE_PART / max(1, len(self._teams)) - TEAM_BYTES) // SLOT_BYTES
        self._slot_us = max(1, self._window_us // max(1, min(SLOTS, most)))
        self._slots: dict[str, dict[int, float]] = {name: {} for name in self._teams}
        self._totals: dict[str, float] = dict.fromkeys(self._teams, 0.0)
        self._gathered_us = now_us
        self._wall_ahead_us = wall_us - now_us  # the time of day at a steady time of ours, fixed while we lead
        self._fleet_gpus = 0.0
        self._fleet_cpus = 0.0
        self._fleet_machines = 0.0

    @property
    def until_us(self) -> int:
        """Until when (steady time) running tasks are charged."""
        return self._gathered_us

    def set_fleet(self, machines: Iterable[Machine]) -> None:
        """The capacity that guarantees are a share of."""
        self._fleet_gpus = self._fleet_cpus = 0.0
        self._fleet_machines = 0.0
        for machine in machines:
            self._fleet_gpus += machine.gpus
            self._fleet_cpus += machine.cpus
            self._fleet_machines += 1

    def charge(self, team: str, amount: float, now_us: int) -> None:
        """Add machine-seconds to a team's present slot."""
        slots = self._slots.get(team)
        if slots is None or amount == 0.0:
            return
        number = (now_us + self._wall_ahead_us) // self._slot_us
        slots[number] = slots.get(number, 0.0) + amount
        self._totals[team] += amount

    def charge_start(self, task: Task, min_run_us: int, now_us: int, again: bool = False) -> None:
        """Charge the protected runtime up front, once a task: the entry penalty of a swarm.

        `again`: the leader that charged it first could not write that down.
        """
        if min_run_us and (again or task.job.charge_once(task.index)):
            ahead_us = min(min_run_us, to_us(self._policy.ledger__window_s))
            if task.job.is_service:
                # A service's estimate is its cap; only what it holds in one gathering interval is
                # owed for sure, the rest accrues, or one replica would outweigh a day of batches.
                ahead_us = to_us(self._policy.ledger__gather_s)
            self.charge(task.job.spec.team, share(task.job, task.machine) * ahead_us / SECOND_US, now_us)

    def gather(self, tasks: Iterable[tuple[Task, int]], now_us: int) -> None:
        """Charge running tasks for the time since the last gathering; (task, minimum runtime) pairs."""
        since_us, self._gathered_us = self._gathered_us, now_us
        for task, min_run_us in tasks:
            if not min_run_us or task.running_us is None:
                continue  # the free tier, or not running yet
            begin_us = max(since_us, task.running_us)
            if not task.job.is_service:
                begin_us = max(begin_us, task.running_us + min_run_us)  # the minimum is paid already
            if now_us > begin_us:
                amount = share(task.job, task.machine) * (now_us - begin_us) / SECOND_US
                self.charge(task.job.spec.team, amount, now_us)
        self._expire(now_us)

    def _expire(self, now_us: int) -> None:
        """Drop slots that have left the window, and add up the rest anew: rounding must not gather either."""
        since = (now_us + self._wall_ahead_us - self._window_us) / self._slot_us
        oldest = int(since // 1)
        for name, slots in self._slots.items():
            for number in [number for number in slots if number < oldest]:
                del slots[number]
            left = slots.get(oldest, 0.0) * (oldest + 1 - since)
            self._totals[name] = left + sum(amount for number, amount in slots.items() if number > oldest)

    def guaranteed_machines(self, team: str) -> float:
        """The team's guarantee as a number of machines of the present fleet's make."""
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
        """Windowed charge over guaranteed machine time in the window; the lowest goes first."""
        record = self._teams.get(team)
        if record is None or not (record.gpus or record.cpus):
            return NO_GUARANTEE
        machines = self.guaranteed_machines(team)
        if not machines:
            return 0.0
        return self._totals[team] / (machines * self._policy.ledger__window_s)

    def charged(self, team: str) -> float:
        """Machine-seconds charged in the window."""
        return self._totals.get(team, 0.0)

    def to_value(self, now_us: int) -> dict[str, Any]:
        """All teams' windowed charges and ratios as the one value that the leader writes, with their slots.

        Under a name that no team has: how long a slot is, and until when was charged, by the time of day. Teams
        without a charge are left out. Where the value cannot hold the others, those with the least are written
        without slots, then not at all: of 500 teams the whole was five times what a value may hold, and no write of
        the leader's got through any more.
        """
        value: dict[str, Any] = {
            ABOUT: {"slot_us": self._slot_us, "until_us": self._gathered_us + self._wall_ahead_us}
        }
        room = (self._value_bytes or 1 << 62) - len(msgspec.json.encode(value))
        for name in sorted(self._slots, key=lambda name: (-self._totals[name], name)):
            slots = self._slots[name]
            if not slots:
                continue
            plain: list[Any] = [round(self._totals[name], 1), round(min(self.ratio(name), 1e6), 4)]
            first = min(slots)
            slotted = [*plain, first, [round(slots.get(number, 0.0), 1) for number in range(first, max(slots) + 1)]]
            for row in (slotted, plain):
                size = len(msgspec.json.encode({name: row}))
                if size < room:
                    value[name], room = row, room - size
                    break
        return value

    def restore(self, value: dict[str, Any], now_us: int, wall_us: int) -> None:
        """Take over what the last leader wrote: charges in their slots, and from when on nothing is charged yet.

        A value without slots is an older version's; its charges count as made now.
        """
        self._wall_ahead_us = wall_us - now_us
        about = value.get(ABOUT, {})
        width_us = about.get("slot_us", self._slot_us)
        until_us = about.get("until_us", wall_us) - self._wall_ahead_us
        self._gathered_us = min(now_us, max(until_us, now_us - GAP_MOST_US))
        for name in self._slots:
            slots = self._slots[name] = {}
            self._totals[name] = 0.0
            row = value.get(name)
            if row is None:
                continue  # nothing is charged to it, or too little to be written
            if len(row) < 4:
                self.charge(name, float(row[0]), now_us)
                continue
            for number, amount in enumerate(row[3], row[2]):
                # Slots of another width (its leader had another window) go where their end falls.
                own = number if width_us == self._slot_us else ((number + 1) * width_us - 1) // self._slot_us
                slots[own] = slots.get(own, 0.0) + amount
        self._expire(now_us)
