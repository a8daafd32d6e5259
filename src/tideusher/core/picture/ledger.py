"""What teams are charged, in a sliding window, and the ratio that ranks them.

The charge of a task is its largest share of its machine's CPUs, GPUs or memory, per second: one
unit is one machine for one second. A team's ratio is its windowed charge over its guarantee (a share
of the fleet) times the fleet's capacity times the window. Protected minimum runtimes are charged in
full when the task is placed: a swarm of submissions therefore cannot sort on a ratio that its own
first starts have not reached yet. What a task runs beyond its minimum is charged as it accrues.
Zero-runtime work is never charged: it is the free tier.
"""

from collections import deque
from collections.abc import Iterable
from typing import Any

from tideusher.clock import SECOND_US, to_us
from tideusher.config import Policy, Team
from tideusher.core.picture.records import Job, Machine, Task

#: Teams without a guarantee sort behind every ratio that a charge can reach.
NO_GUARANTEE = 1e12


def share(job: Job, machine: Machine) -> float:
    """The task's largest share of the machine."""
    spec = job.spec
    return max(
        spec.cpus / machine.cpus if machine.cpus else 0.0,
        spec.gpus / machine.gpus if machine.gpus else 0.0,
        spec.ram_gb / machine.ram_gb if machine.ram_gb else 0.0,
    )


class Ledger:
    """Charges per team in buckets of one gathering interval, newest last."""

    def __init__(self, teams: Iterable[Team], policy: Policy, now_us: int) -> None:
        self._teams = {team.name: team for team in teams}
        self._policy = policy
        self._window_us = to_us(policy.ledger__window_s)
        self._buckets: dict[str, deque[list[float]]] = {name: deque() for name in self._teams}
        self._totals: dict[str, float] = dict.fromkeys(self._teams, 0.0)
        self._gathered_us = now_us
        self._fleet_gpus = 0.0
        self._fleet_cpus = 0.0
        self._fleet_machines = 0.0

    def set_fleet(self, machines: Iterable[Machine]) -> None:
        """The capacity that guarantees are a share of."""
        self._fleet_gpus = self._fleet_cpus = 0.0
        self._fleet_machines = 0.0
        for machine in machines:
            self._fleet_gpus += machine.gpus
            self._fleet_cpus += machine.cpus
            self._fleet_machines += 1

    def charge(self, team: str, amount: float, now_us: int) -> None:
        """Add machine-seconds to a team's newest bucket."""
        buckets = self._buckets.get(team)
        if buckets is None or amount == 0.0:
            return
        step = to_us(self._policy.ledger__gather_s)
        if not buckets or now_us - buckets[-1][0] >= step:
            buckets.append([now_us, 0.0])
        buckets[-1][1] += amount
        self._totals[team] += amount

    def charge_start(self, task: Task, min_run_us: int, now_us: int) -> None:
        """Charge the protected runtime up front, once a task: the entry penalty of a swarm."""
        if min_run_us and task.job.charge_once(task.index):
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
        for name, buckets in self._buckets.items():
            while buckets and buckets[0][0] <= now_us - self._window_us:
                self._totals[name] -= buckets.popleft()[1]

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
        """All teams' windowed charges and ratios as the one value that the leader writes."""
        return {name: [round(self._totals[name], 1), round(min(self.ratio(name), 1e6), 4)] for name in self._teams}

    def restore(self, value: dict[str, Any], now_us: int) -> None:
        """Take over the charges that the last leader wrote; their age within the window is not kept."""
        for name, pair in value.items():
            if name in self._buckets:
                self._buckets[name].clear()
                self._totals[name] = 0.0
                self.charge(name, float(pair[0]), now_us)
