"""The scheduling pass: place what fits, stop what must yield, rent what is missing, return what idles."""

from collections.abc import Callable, Collection, Hashable, Iterator
from dataclasses import dataclass

from tideusher.clock import SECOND_US, to_s, to_us
from tideusher.core.decide.gang_reservations import GangReservations, Request
from tideusher.core.decide.mass_failures import HUNG
from tideusher.core.decide.order import order_jobs, urgency_us
from tideusher.core.decide.pass_failures import PassFailed
from tideusher.core.decide.placement import Demand, FreeCapacity, PlacementCache
from tideusher.core.decide.preempt import Offers, PreemptibleTasks, capacity_after_stops, choose_victims
from tideusher.core.decide.recovery import NO_PRECEDENCE
from tideusher.core.decide.refusal_cache import RefusalCache, placement_constraints
from tideusher.core.decide.task_failures import at_fault
from tideusher.core.lead.cluster import Cluster
from tideusher.core.model.records import BOOTING, NO_CAPACITY, OPEN, UP, Job, Machine, Task

RESERVE_S = 12.0
MOVE_ONE_OF = 40
#: After so many looks at machines a pass lets others have their turn.
PIECE_LOOKS = 1000
#: A job that failed on so many machines is at fault itself, and avoids none.
AVOIDED = 4
#: After a pass the next one rests so long for each piece beyond the first few, and for each job that waited: in a
#: flood passes in a row would take all of a core, and find again and again what they found before.
REST_FREE, REST_PIECE_US, PAUSE_PER_JOB_US = 50, 3_000, 400
SET_ASIDE = "its next try: a pass failed on it"
MOVED = "hardly used; its tasks moved to others"


@dataclass(frozen=True, slots=True)
class _Terms:
    """What decides on which machines a job's next tasks may be placed."""

    kind: Hashable  # the same for all jobs for which the same machines are free
    avoid: Collection[str]  # machines on which it has failed
    enough: bool  # may it use the warm room?
    short: Demand | None  # ordinary machines with so much room are left to those that wait for them
    beside: bool  # must it leave the CPUs beside free cards alone?

    @property
    def plain(self) -> bool:
        """Is no machine kept from it that is free to others of its rights?"""
        return self.enough and self.short is None


class Scheduler:
    """Decides on a Cluster; every change goes through the cluster's own transitions."""

    def __init__(self, cluster: Cluster, now_us: int) -> None:
        self._c = cluster
        self._spare_gpus = 0.0
        self._gathering = GangReservations()
        self._placement_cache: PlacementCache | None = None
        self._place: dict[str, int] = {}  # of each waiting job in the queue
        self._nothing = RefusalCache()  # what found no room in this pass
        self._opened = 0  # as of which change that may have opened room
        self._favoured: set[str] = set()  # jobs for which machines are kept: they look for themselves
        #: The least that work waits for which runs on ordinary machines only; None: no such work waits.
        self._ordinary_short: Demand | None = None
        self._next_move_us = now_us + to_us(2 * cluster.config.settings.workers.lease_s)
        self._objectives = {
            o.job_class: o.within_s
            for o in cluster.config.settings.objectives
            if o.kind == "wait" and o.job_class and o.within_s
        }

    def schedule(self, now_us: int) -> None:
        """One pass without a pause."""
        for _ in self.pass_steps(now_us):
            pass

    def pause_us(self, pass_steps: int) -> int:
        """How long after the beginning of a pass of so many pieces the next one may begin.

        A program's own instance (`tideusher.embed`) is driven by the program, and waits for nothing.
        """
        if not self._c.rents_machines:
            return 0
        return REST_PIECE_US * max(0, pass_steps - REST_FREE) + PAUSE_PER_JOB_US * len(self._place)

    def pass_steps(self, now_us: int) -> Iterator[None]:
        """One pass: place what fits, stop what must yield, rent what is missing, return what idles.

        It pauses after PIECE_LOOKS looks at machines, and between its parts, so that reports, renewals
        and users do not wait for all of it. At each pause the picture is whole; what others change
        meanwhile (a job cancelled, a machine being returned) is looked at again before it is used, and
        the pass goes on in the order of the queue that it began with. A job that comes meanwhile is in
        the next pass.
        """
        self._c.dirty = False
        for zone, heard, of, waited_us in self._c.takeover_readiness.step(now_us):
            self._c.metrics.observe_takeover_phase("heard", to_s(waited_us))
            self._c.log.info("check heard: %d of %d machines of %s, after %.1f s", heard, of, zone, to_s(waited_us))
        self._c.limits.step(now_us)
        self._c.recovery.step()
        while self._c.conditions.step(now_us):
            yield
        if not self._c.fleet.types:
            return
        for machine in list(self._c.machines.values()):
            if machine.suspect_since_us:
                self._c.check_failures(machine, now_us)
            if machine.reserved:
                job = self._c.jobs.get(machine.reserved)
                if job is None or job.pending <= 0 or now_us > machine.reserved_until_us:
                    machine.reserved = ""
        waiting = [job for job in self._c.active.values() if job.waits]
        self._place = {}
        if not waiting and not self._c.rents_machines:
            return  # and nothing to rent or to give back for others
        within = self._within_guarantee()
        wall_us = self._c.wall_us()
        queue = order_jobs(
            waiting,
            self._c.ledger.ratio,
            lambda job: job.spec.id in within,
            self._c.policy.margin,
            lambda job: urgency_us(job, self._objectives.get(job.spec.job_class), wall_us),
            self._c.recovery.precedence,
        )
        recovering = self._c.recovery.waiting() > 0
        fresh_us = to_us(3 * self._c.config.settings.workers.report_s + 1)
        avoid_placement = self._c.mass_failures.avoid_placement
        usable = [
            m
            for m in self._c.machines.values()
            if _usable(m)
            and now_us - m.last_report_us < fresh_us
            and m.free_cpus > 0
            and not avoid_placement(m, now_us)
        ]
        used_gpus = sum(usage[1] for usage in self._c.usage.values())
        # While work that a fall took still waits, no room is kept for work that may come.
        self._c.fleet.refresh_warm(now_us, 0.0 if recovering else used_gpus)
        self._place = {job.spec.id: place for place, job in enumerate(queue)}
        least = Demand.least_of(job.spec for job in waiting)
        holding = [m for m in usable if least.fits(m.free_cpus, m.free_gpus, m.free_ram_gb)]
        room = FreeCapacity(holding, self._c.policy.placement__parts)
        # Nothing but the pass itself changes what is free on own machines while it is made.
        plain = not self._c.rents_machines and not self._gathering.held and not any(m.reserved for m in holding)
        self._placement_cache = PlacementCache(holding, self._c.policy.placement__parts) if plain else None
        held = self._gathering.held
        self._nothing.clear()
        self._favoured = {m.reserved for m in holding if m.reserved} | {job.spec.id for job in held.values()}
        free_gpus = sum(m.free_gpus for m in usable if not m.spot and m.name not in held)
        self._spare_gpus = free_gpus - self._c.fleet.reserve_gpus()
        yield
        unplaced: list[tuple[Job, int]] = []
        looks = 0
        for job in queue:
            if not job.waits:
                continue
            left, looked = self._place_or_fail(job, room, now_us)
            if left:
                unplaced.append((job, left))
            looks += len(holding) if looked else 1
            if looks >= PIECE_LOOKS:
                looks = 0
                yield
        unplaced = _still_wait(unplaced)
        short = [job.spec for job, _ in unplaced if not job.spec.spot]
        self._ordinary_short = Demand.least_of(short) if short else None
        # What is stopped while nothing can be started is stopped for nobody; what is stopped before the fleet
        # is heard again makes room that is there already.
        if self._c.writable and self._c.takeover_readiness.all_zones_ready():
            self._preempt(unplaced, now_us)
        yield
        unplaced = _still_wait(unplaced)
        holding = [m for m in holding if _usable(m)]
        patience_us = to_us(self._c.policy.gather__patience_s)
        requests = self._gathering.update(
            unplaced,
            holding,
            self._c.machines.values(),
            self._offer(now_us),
            lambda job: max(0, wall_us - job.submitted_us - patience_us),
            now_us,
            # One that is silent or mute would be held, and the gang would wait for it.
            lambda m: m.phase == BOOTING or (now_us - m.last_report_us < fresh_us and not avoid_placement(m, now_us)),
        )
        yield
        requests = [request for request in requests if request.job.waits]
        if self._c.rents_machines:
            self._plan_fleet(requests, now_us)
            yield
            self._thin_out(now_us)

    def _offer(self, now_us: int) -> Callable[[Job, str], int]:
        return lambda job, zone: self._c.fleet.offer(job.spec, zone, now_us)

    def _within_guarantee(self) -> set[str]:
        """Jobs that fit their team's guarantee along with the team's earlier unfinished jobs."""
        sums: dict[str, list[float]] = {}
        within = set()
        for job in sorted(self._c.active.values(), key=lambda j: (j.submitted_us, j.spec.id)):
            if job.status != OPEN:
                continue
            if self._c.is_guest(job.spec.team):
                continue
            team = self._c.teams[job.spec.team]
            total = sums.setdefault(team.name, [0.0, 0.0])
            tasks = min(job.spec.tasks, job.spec.at_once or job.spec.tasks)
            total[0] += job.spec.cpus * tasks
            total[1] += job.spec.gpus * tasks
            if (not team.cpus or total[0] <= team.cpus + 1e-9) and (not team.gpus or total[1] <= team.gpus + 1e-9):
                within.add(job.spec.id)
        return within

    def _quota_room(self, job: Job) -> int:
        """How many more tasks the limits of its team and its own allow; tasks not proven gone count."""
        team = self._c.teams.get(job.spec.team)
        if team is None:
            return 0
        usage = self._c.usage[team.name]
        room = [job.pending]
        if job.spec.at_once is not None:
            room.append(job.spec.at_once - len(job.live))
        if team.cpus_max and job.spec.cpus:
            room.append(int((team.cpus_max - usage[0] + 1e-6) / job.spec.cpus))
        if team.gpus_max and job.spec.gpus:
            room.append(int((team.gpus_max - usage[1] + 1e-6) / job.spec.gpus))
        return max(0, min(room))

    def _place_or_fail(self, job: Job, room: FreeCapacity, now_us: int) -> tuple[int, bool]:
        """`_place_job` for all but jobs that are set aside; raises PassFailed, which names the job, for any error."""
        if self._c.failures.is_quarantined(job.spec.id, now_us):
            job.waiting_reason = SET_ASIDE
            return 0, False
        try:
            return self._place_job(job, room, now_us)
        except Exception as error:
            raise PassFailed(job.spec.id) from error

    def _place_job(self, job: Job, room: FreeCapacity, now_us: int) -> tuple[int, bool]:
        """Place what can be placed of a job; returns how many more tasks wait for a machine, and if it looked."""
        count = self._startable(job, now_us)
        if not count:
            return 0, False
        tries = at_fault(job)  # nothing is rented or stopped for it
        terms = self._terms(job, count, now_us)
        if self._opened != self._c.capacity_changes:
            self._opened = self._c.capacity_changes
            self._nothing.clear()
        whole = count if job.is_gang else 1
        if job.spec.id not in self._favoured and self._nothing.refuses(terms.kind, job.spec, whole):
            job.waiting_reason = told_failing(job) if tries else NO_CAPACITY
            return (0 if tries else count), False
        placed = self._place_tasks(job, count, terms, room, now_us)
        if not placed and not (job.live or terms.avoid):
            self._nothing.refused(terms.kind, job.spec, whole)
        left = count - placed
        if tries:
            job.waiting_reason = told_failing(job)
            return 0, True
        if left:
            job.waiting_reason = NO_CAPACITY
        elif job.pending > 0:
            job.waiting_reason = _limit_of(job)
        return left, True

    def _startable(self, job: Job, now_us: int) -> int:
        """How many tasks of it may start now, if there is room; if none, `waiting_reason` says why."""
        tries = at_fault(job)
        if now_us < job.not_before_us:
            job.waiting_reason = told_failing(job) if tries else "a pause after failed starts"
            return 0
        if job.is_gang and job.live and not job.is_forming:
            job.waiting_reason = "the end of its last attempt"
            return 0
        count = self._quota_room(job)
        if not count or (job.is_gang and count < job.pending):
            job.waiting_reason = _limit_of(job)
            return 0
        if tries and not job.is_gang:  # one task at a time shows if it still fails
            if job.live:
                job.waiting_reason = told_failing(job)
                return 0
            return 1
        return count

    def _terms(self, job: Job, count: int, now_us: int) -> _Terms:
        """On which machines the job's next tasks may be placed."""
        spec = job.spec
        failed = job.error_machines or ()
        # Of own machines there may be few: where each has failed once, none is avoided.
        most = AVOIDED if self._c.rents_machines else min(AVOIDED, len(self._c.machines))
        avoid = failed if len(failed) < most else ()
        # Classes without a claim to the warm room may not eat it up.
        enough = self._c.fleet.is_warm(spec.job_class) or spec.gpus * count <= self._spare_gpus
        # What may run on spot would soon be stopped again on room that others wait for: on one grown
        # deployment every fourth array task was, with all that it had done.
        short = self._ordinary_short if spec.spot and self._c.fleet.spot_available(spec, now_us) else None
        # Tasks without a card would take the CPUs beside free cards, and leave the warm room in name only: a guest's
        # thousands of small ones did. Beside cards in use they find room enough.
        beside = not spec.gpus and bool(self._c.fleet.warm) and not self._c.fleet.is_warm(spec.job_class)
        return _Terms(
            (placement_constraints(spec), spec.image, beside, enough, short is None), avoid, enough, short, beside
        )

    def _free_to(self, job: Job, terms: _Terms) -> Callable[[Machine], bool]:
        """May the job's tasks be placed on a machine, if they fit there? Asked of most machines for each job."""
        name, avoid, short, beside = job.spec.id, terms.avoid, terms.short, terms.beside

        def free_to_it(machine: Machine) -> bool:
            if beside and not machine.spot and machine.free_gpus > 0:
                return False
            if short is not None and not machine.spot:
                if short.fits(machine.free_cpus, machine.free_gpus, machine.free_ram_gb):
                    return False
            return (
                _usable(machine)
                and machine.name not in avoid
                and machine.reserved in ("", name)
                and self._gathering.may_use(job, machine, self._place)
            )

        return free_to_it

    def _place_tasks(self, job: Job, count: int, terms: _Terms, room: FreeCapacity, now_us: int) -> int:
        """Give up to so many tasks their places; returns how many have one now."""
        spec, limit, before = job.spec, job.zone_limit, 0
        free_to_it = self._free_to(job, terms)

        def not_warm(machine: Machine) -> bool:
            return free_to_it(machine) and (machine.spot or self._gathering.held.get(machine.name) is job)

        shelved = (
            self._placement_cache.place(job, count) if self._placement_cache is not None and terms.plain else None
        )
        if shelved is not None:
            machines = shelved
        else:
            machines = room.place(job, count, job.is_gang, free_to_it if terms.enough else not_warm, limit)
        partly = not (terms.enough or job.is_gang) and len(machines) < count
        if partly and self._spare_gpus >= spec.gpus > 0:
            part = min(count - len(machines), int(self._spare_gpus / spec.gpus))
            if machines:
                before = self._assign(job, machines, now_us)
            machines = room.place(job, part, False, lambda m: free_to_it(m) and not m.spot, limit)
        self._spare_gpus -= spec.gpus * sum(not m.spot for m in machines)
        return before + (self._assign(job, machines, now_us) if machines else 0)

    def _assign(self, job: Job, machines: list[Machine], now_us: int) -> int:
        placed = self._c.assign(job, machines, now_us)
        if self._placement_cache is not None:
            self._placement_cache.changed(machines)
        return placed

    def _preempt(self, unplaced: list[tuple[Job, int]], now_us: int) -> None:
        if not unplaced:
            return
        stops = 0
        avoid_placement = self._c.mass_failures.avoid_placement
        usable = [m for m in self._c.machines.values() if _usable(m) and not avoid_placement(m, now_us)]
        coming_free = capacity_after_stops(usable)
        coming = sum(
            m.free_gpus for m in self._c.machines.values() if m.phase == BOOTING and not m.drain_reason and not m.spot
        )
        stoppable = PreemptibleTasks(
            self._c.active.values(), self._c.standing, self._c.min_run_us, self._c.policy, now_us
        )

        def lost_us(task: Task) -> int:
            if task.running_us is None or task.job.is_service:
                return 0
            spent = now_us - task.running_us
            return min(spent, to_us(task.job.spec.save_s)) if task.job.spec.checkpoint_s else spent

        offers, nothing = Offers(lost_us), RefusalCache()
        # What is held for a gang is no room for others' stops: machines that had been emptied for it were kept for
        # one after the other of them, and stood idle.
        held = self._gathering.held
        free = [m for m in usable if not m.reserved and m.name not in held]
        kept = [m for m in usable if not m.reserved and m.name in held]
        reserved = {m.reserved for m in usable if m.reserved} | {job.spec.id for job in held.values()}
        for job, count in unplaced:
            if stops >= self._c.policy.preempt__max_stops:
                return
            if not self._c.min_run_us(job):
                continue
            need = job.spec.gpus * count
            # What a fall took from critical work does not wait for a boot while others have room.
            if coming >= need > 0 and self._c.recovery.precedence(job) == NO_PRECEDENCE:
                coming -= need  # booting room holds it
                continue
            victims = stoppable.of(job, self._c.standing(job.spec.team, job.spec))
            own = job.spec.id
            asks, whole = (placement_constraints(job.spec), id(victims)), count if job.is_gang else 1
            if own not in reserved and nothing.refuses(asks, job.spec, whole):
                continue
            theirs = [m for m in kept if self._gathering.may_use(job, m, self._place)]
            free_for = free + theirs + ([m for m in usable if m.reserved == own] if own in reserved else [])
            machines, stopped = choose_victims(job, count, free_for, coming_free, victims, offers)
            if machines or stopped:
                nothing.clear()
            elif not job.live:
                nothing.refused(asks, job.spec, whole)
            for machine in machines:
                # Kept for this job until its room is whole, or what it stops would only make way for
                # the next request in the queue.
                machine.reserved = job.spec.id
                machine.reserved_until_us = now_us + to_us(RESERVE_S)
            for task in stopped:
                minimum = self._c.min_run_us(task.job)
                kind = "protected" if minimum else "unprotected"
                self._c.metrics.count("preemptions", kind)
                grace = task.job.spec.save_s + 1.0 if task.job.spec.checkpoint_s else 0.0
                over = "past its protected time" if minimum else "without protected time"
                self._c.halt(
                    task, grace, f"it is {over} and job {job.spec.id} of team {job.spec.team} needs the room"
                )
                stops += 1
            if stopped:
                stoppable.changed()
                offers.changed()
            if machines:
                free = [m for m in free if not m.reserved]
                kept = [m for m in kept if not m.reserved]

    def _consolidate(self, now_us: int) -> None:
        """Move the replicas of thinly used machines onto others, so that they can be returned.

        Services come and go and leave machines with one replica each. A move costs its replica a
        few seconds, so it is made only while nothing waits, onto room that has the image already,
        and for one machine in MOVE_ONE_OF at a time: what a move costs is a share of all replicas,
        and one machine at a time would never empty a large fleet.
        """
        if (
            now_us < self._next_move_us
            or not self._c.settled(now_us)
            or not self._c.takeover_readiness.all_zones_ready()
        ):
            return
        if self._c.write_queue.waiting > self._c.config.settings.state.txn_ops:
            return  # moves would wait for their write
        if any(job.is_service and job.waits for job in self._c.active.values()):
            return
        steady_us = to_us(self._c.policy.fleet__move_after_s)
        up = [m for m in self._c.machines.values() if _usable(m) and not m.reserved]
        moving = sum(m.drain_reason == MOVED and m.phase == UP for m in self._c.machines.values())
        quota = max(1, len(up) // MOVE_ONE_OF) - moving
        sources = [
            m
            for m in up
            if m.tasks
            and 2 * (m.gpus - m.free_gpus) <= m.gpus
            and all(
                t.job.is_service
                and not t.job.blocked
                and t.running_us is not None
                and now_us - t.running_us > steady_us
                for t in m.tasks.values()
            )
        ]
        self._next_move_us = now_us + SECOND_US
        # Of a job one machine's tasks move at a time: where each may go depends on where the others are,
        # and two that moved at once have both gone to the zone that had room for one.
        moving_jobs = {job.spec.id for job in self._c.active.values() for t in job.live.values() if t.move_to}
        holding = [m for m in up if m.tasks and m.free_gpus > 0 and not m.fetching]
        for source in sorted(sources, key=lambda m: (m.gpus - m.free_gpus, m.name)):
            if quota <= 0:
                return
            jobs = {task.job.spec.id for task in source.tasks.values()}
            if source.reserved or jobs & moving_jobs:  # reserved: it became the target of another
                continue
            others = [m for m in holding if m is not source and not m.drain_reason and not m.reserved]
            targets = self._targets(source, others)
            if targets and not self._c.fleet.unmet_without(source, [m for m in up if not m.drain_reason]):
                source.drain_reason = MOVED
                self._next_move_us = now_us + to_us(self._c.policy.fleet__move_pause_s)
                quota -= 1
                moving_jobs |= jobs
                for task, target in targets.items():
                    target.reserved = task.job.spec.id
                    target.reserved_until_us = now_us + to_us(RESERVE_S)
                    task.move_to = target
                    self._c.halt(task, 0.0, "its machine is hardly used and is given back; it moves to another")

    def _targets(self, source: Machine, others: list[Machine]) -> dict[Task, Machine]:
        """A machine that has the image for each task of the source; empty if one finds none."""
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

    def _plan_fleet(self, requests: list[Request], now_us: int) -> None:
        asked = [(r.type, r.zone, r.spot, r.count) for r in self._c.renting.asked()]
        # What the cloud takes in a second is asked at a time. A queue of many small rentals reached it
        # half a minute late when a whole fleet was wanted; what has to wait is asked for in one.
        room = max(2, int(self._c.config.settings.cloud.rps)) - len(asked)
        if room > 0:
            avoid_placement = self._c.mass_failures.avoid_placement
            # No room is soon to come of a machine that is silent, unless it hangs: those mostly go on before
            # one rented in their place would be up.
            # Nor of one that others overtook while it boots.
            late = self._c.health.boots.late
            machines = [
                m
                for m in self._not_held()
                if not late(m, now_us) and (m.phase != UP or m.probe_result == HUNG or not avoid_placement(m, now_us))
            ]
            for wish in self._c.fleet.plan(now_us, requests, machines, asked)[:room]:
                self._c.renting.rent(wish)

    def _thin_out(self, now_us: int) -> None:
        """Give back what is hardly used or idles."""
        self._consolidate(now_us)
        for machine in self._c.machines.values():
            if machine.drain_reason == MOVED and machine.phase == UP and not machine.tasks:
                self._c.request_return(machine, MOVED)
        for machine, reason in self._c.fleet.surplus(now_us, self._not_held()):
            if self._c.takeover_readiness.zone_ready(machine.zone):
                self._c.request_return(machine, reason)

    def _not_held(self) -> list[Machine]:
        """All machines but those whose room is held for a gang."""
        return [m for m in self._c.machines.values() if m.name not in self._gathering.held]


def told_failing(job: Job) -> str:
    """What a job waits for that fails wherever it is tried."""
    return f"its next try: it failed on {len(job.error_machines or ())} machines, and nothing of it was ever done"


def _limit_of(job: Job) -> str:
    """Which limit keeps more of the job from starting."""
    at_once = job.spec.at_once
    if at_once is not None and len(job.live) >= at_once:
        return f"its own limit of {at_once} at once"
    return "its team's limit"


def _still_wait(unplaced: list[tuple[Job, int]]) -> list[tuple[Job, int]]:
    """After a pause: some may be over; nothing is stopped or rented for them."""
    return [(job, min(left, job.pending)) for job, left in unplaced if job.waits]


def _usable(machine: Machine) -> bool:
    """May work be placed on the machine? One whose return was asked in a pause never again (safety 5)."""
    return machine.phase == UP and not machine.drain_reason and not machine.suspect_since_us
