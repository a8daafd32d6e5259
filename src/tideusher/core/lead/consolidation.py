"""Moves the replicas of sparsely used machines to others, so that the machines can be returned."""

from tideusher.clock import SECOND_US, to_us
from tideusher.core.decide.eligibility import is_usable
from tideusher.core.lead.cluster import Cluster
from tideusher.core.model.records import UP, Machine, Task

#: How long a machine stays reserved for the job that preempted tasks there or is to move a replica there.
RESERVATION_S = 12.0
#: Consolidation empties at most one in this many machines at a time.
CONSOLIDATION_DIVISOR = 40
CONSOLIDATED = "sparsely used; its tasks were moved to other machines"


class Consolidation:
    """Chooses machines to empty and the targets of their replicas, a few at a time."""

    def __init__(self, cluster: Cluster, now_us: int) -> None:
        self._cluster = cluster
        self._next_move_us = now_us + to_us(2 * cluster.config.settings.workers.lease_s)

    def step(self, now_us: int) -> None:
        """Moves the replicas of sparsely used machines to others, so that the machines can be returned.

        Services come and go and leave machines with one replica each. A move interrupts its replica for a
        few seconds, so it is made only while no service waits, to machines that have the image already, and for
        one machine in CONSOLIDATION_DIVISOR at a time: that bounds the share of replicas that are interrupted,
        while one machine at a time would never consolidate a large fleet.
        """
        if (
            now_us < self._next_move_us
            or not self._cluster.is_writing(now_us)
            or not self._cluster.takeover_readiness.all_zones_ready()
        ):
            return
        if self._cluster.write_queue.waiting > self._cluster.config.settings.state.txn_ops:
            return  # moves would wait for their writes
        if any(job.is_service and job.waits for job in self._cluster.active.values()):
            return
        min_steady_us = to_us(self._cluster.policy.fleet__move_after_s)
        up = [m for m in self._cluster.machines.values() if is_usable(m) and not m.reserved]
        moving = sum(m.drain_reason == CONSOLIDATED and m.phase == UP for m in self._cluster.machines.values())
        quota = max(1, len(up) // CONSOLIDATION_DIVISOR) - moving
        sources = [
            m
            for m in up
            if m.tasks
            and 2 * (m.gpus - m.free_gpus) <= m.gpus
            and all(
                t.job.is_service
                and not t.job.blocked
                and t.running_us is not None
                and now_us - t.running_us > min_steady_us
                for t in m.tasks.values()
            )
        ]
        self._next_move_us = now_us + SECOND_US
        # The tasks of a job move from one machine at a time: where each may go depends on where the others are,
        # and two that moved at once both went to a zone that had capacity for one.
        moving_jobs = {job.spec.id for job in self._cluster.active.values() for t in job.live.values() if t.move_to}
        candidates = [m for m in up if m.tasks and m.free_gpus > 0 and not m.fetching]
        for source in sorted(sources, key=lambda m: (m.gpus - m.free_gpus, m.name)):
            if quota <= 0:
                return
            jobs = {task.job.spec.id for task in source.tasks.values()}
            if source.reserved or jobs & moving_jobs:  # reserved: it is the target of another move
                continue
            others = [m for m in candidates if m is not source and not m.drain_reason and not m.reserved]
            targets = self._move_targets(source, others)
            if targets and not self._cluster.fleet.unmet_without(source, [m for m in up if not m.drain_reason]):
                source.drain_reason = CONSOLIDATED
                self._next_move_us = now_us + to_us(self._cluster.policy.fleet__move_pause_s)
                quota -= 1
                moving_jobs |= jobs
                for task, target in targets.items():
                    target.reserved = task.job.spec.id
                    target.reserved_until_us = now_us + to_us(RESERVATION_S)
                    task.move_to = target
                    self._cluster.halt(
                        task, 0.0, "its machine is sparsely used and is being returned; it moves to another"
                    )

    def _move_targets(self, source: Machine, others: list[Machine]) -> dict[Task, Machine]:
        """Returns for each task of the source a machine that has its image; empty if there is none for some task."""
        targets: dict[Task, Machine] = {}
        for task in source.tasks.values():
            spec = task.job.spec
            limit = task.job.zone_limit or spec.tasks
            zones = [targets.get(t, t.machine) for t in task.job.live.values() if t is not task]
            for machine in sorted(others, key=lambda m: (m.zone != source.zone, m.free_gpus, m.name)):
                if spec.image not in machine.images or not machine.allows(spec) or not machine.fits(spec):
                    continue
                if machine in targets.values() or sum(m.zone == machine.zone for m in zones) >= limit:
                    continue
                if spec.one_zone and any(m.zone != machine.zone for m in zones):
                    continue
                targets[task] = machine
                break
            else:
                return {}
        return targets

    def return_emptied(self) -> None:
        """Requests the return of the machines whose replicas have all moved."""
        for machine in self._cluster.machines.values():
            if machine.drain_reason == CONSOLIDATED and machine.phase == UP and not machine.tasks:
                self._cluster.request_return(machine, CONSOLIDATED)
