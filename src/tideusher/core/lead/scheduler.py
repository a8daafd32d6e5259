"""The scheduling pass: places tasks, preempts others for them, rents missing machines and returns idle ones."""

from collections.abc import Callable, Iterator
from dataclasses import replace

from tideusher.clock import to_s, to_us
from tideusher.core.decide.eligibility import (
    Eligibility,
    Obstacle,
    PlacementTerms,
    Reason,
    is_usable,
    max_report_age_us,
)
from tideusher.core.decide.gang_reservations import Request
from tideusher.core.decide.order import order_jobs, urgency_us
from tideusher.core.decide.pass_failures import PassFailed
from tideusher.core.decide.placement import Demand, FreeCapacity, PlacementCache, slots_in
from tideusher.core.decide.preempt import Offers, PreemptibleTasks, capacity_after_stops, choose_victims
from tideusher.core.decide.recovery import NO_PRECEDENCE
from tideusher.core.decide.refusal_cache import RefusalCache, placement_constraints
from tideusher.core.decide.task_failures import at_fault, avoided_machines
from tideusher.core.lead.cluster import Cluster
from tideusher.core.lead.consolidation import RESERVATION_S, Consolidation
from tideusher.core.model.records import BOOTING, NO_CAPACITY, OPEN, UP, Job, Machine, Task

#: Machines examined before a pass yields to other greenlets.
MACHINES_PER_STEP = 1000
#: A job that failed on this many machines is itself at fault, and avoids none.
MAX_AVOIDED_MACHINES = 4
#: The pause after a pass, per step beyond the first `FREE_STEPS` and per waiting job: in a flood of jobs, passes run
#: back to back would use a complete core and repeat the same results.
FREE_STEPS, PAUSE_PER_STEP_US, PAUSE_PER_JOB_US = 50, 3_000, 400
QUARANTINED = "its next try: a scheduling pass failed on it"


class Scheduler:
    """Runs scheduling passes over a Cluster; every change goes through the cluster's own transitions."""

    def __init__(self, cluster: Cluster, now_us: int) -> None:
        self._c = cluster
        self._spare_gpus = 0.0
        self._placement_cache: PlacementCache | None = None
        self.eligibility = Eligibility(
            max_report_age_us(cluster.config.settings.workers.report_s),
            lambda machine, now_us: cluster.mass_failures.avoid_placement(machine, now_us),
            lambda machine, now_us: cluster.health.boots.late(machine, now_us),
            cluster.cluster_state.image_fetch_us,
        )
        self._gang_reservations, self._waits = self.eligibility.reservations, self.eligibility.waits
        self._refusals = RefusalCache()  # requests that found no capacity in this pass
        self._seen_capacity_changes = 0  # the cluster's capacity_changes as of the last check
        #: Jobs with reserved machines; the refusal cache does not apply to them.
        self._jobs_with_reservations: set[str] = set()
        #: The smallest demand among waiting jobs that run on ordinary machines only; None: no such job waits.
        self._ordinary_demand: Demand | None = None
        self._consolidation = Consolidation(cluster, now_us)
        self._objectives = {
            o.job_class: o.within_s
            for o in cluster.config.settings.objectives
            if o.kind == "wait" and o.job_class and o.within_s
        }

    def schedule(self, now_us: int) -> None:
        """Runs one complete pass without yielding."""
        for _ in self.pass_steps(now_us):
            pass

    def pause_us(self, pass_steps: int) -> int:
        """Returns the minimum time from the start of a pass of this many steps to the start of the next one.

        It is 0 for an embedded instance (`tideusher.embed`), which its program drives.
        """
        if not self._c.rents_machines:
            return 0
        waiting_jobs = len(self.eligibility.queue_positions)
        return PAUSE_PER_STEP_US * max(0, pass_steps - FREE_STEPS) + PAUSE_PER_JOB_US * waiting_jobs

    def pass_steps(self, now_us: int) -> Iterator[None]:
        """Runs one pass step by step: places tasks, preempts, rents missing machines and returns idle ones.

        It yields after examining PIECE_LOOKS machines and between its parts, so that reports, lease renewals
        and user requests do not wait for the complete pass. At each yield the cluster state is consistent.
        What changes meanwhile (a job is cancelled, a machine is being returned) is checked again before it is
        used, and the pass continues in the queue order that it began with. A job submitted meanwhile is
        considered in the next pass.
        """
        self._c.dirty = False
        for zone, reported, total, waited_us in self._c.takeover_readiness.step(now_us):
            self._c.metrics.observe_takeover_phase("heard", to_s(waited_us))
            self._c.log.info(
                "check heard: %d of %d machines of %s reported, after %.1f s", reported, total, zone, to_s(waited_us)
            )
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
        waiting = [job for job in self._c.active.values() if job.waits and not self._is_quarantined(job, now_us)]
        self._waits.update(waiting, now_us)
        self.eligibility.queue_positions = {}
        if not waiting and not self._c.rents_machines:
            return  # nothing waits, and embedded machines are neither rented nor returned
        within = self._within_guarantee()
        wall_us = self._c.wall_us()
        queue = order_jobs(
            waiting,
            self._c.ledger.ratio,
            lambda job: job.spec.id in within,
            self._c.policy.margin,
            lambda job: self._urgency_us(job, wall_us),
            self._c.recovery.precedence,
        )
        recovering = self._c.recovery.waiting() > 0
        usable = [
            m for m in self._c.machines.values() if m.free_cpus > 0 and self.eligibility.of_machine(m, now_us) is None
        ]
        used_gpus = sum(usage[1] for usage in self._c.usage.values())
        # While tasks lost in a mass failure still wait, no capacity is reserved for expected work.
        self._c.fleet.refresh_warm(now_us, 0.0 if recovering else used_gpus)
        self.eligibility.queue_positions = {job.spec.id: place for place, job in enumerate(queue)}
        least = Demand.least_of(job.spec for job in waiting)
        candidates = [m for m in usable if least.fits(m.free_cpus, m.free_gpus, m.free_ram_gb)]
        free_capacity = FreeCapacity(candidates, self._c.policy.placement__parts)
        # On embedded machines only the pass itself changes the free capacity while it runs.
        cacheable = (
            not self._c.rents_machines
            and not self._gang_reservations.held
            and not any(m.reserved for m in candidates)
        )
        self._placement_cache = PlacementCache(candidates, self._c.policy.placement__parts) if cacheable else None
        held = self._gang_reservations.held
        self._refusals.clear()
        self._jobs_with_reservations = {m.reserved for m in candidates if m.reserved} | {
            job.spec.id for job in held.values()
        }
        free_gpus = sum(m.free_gpus for m in usable if not m.spot and m.name not in held)
        self._spare_gpus = free_gpus - self._c.fleet.reserve_gpus()
        yield
        unplaced: list[tuple[Job, int]] = []
        examined = 0
        for job in queue:
            if not job.waits:
                continue
            left, has_examined = self._place_or_fail(job, free_capacity, now_us)
            if left:
                unplaced.append((job, left))
            examined += len(candidates) if has_examined else 1
            if examined >= MACHINES_PER_STEP:
                examined = 0
                yield
        unplaced = _still_pending(unplaced)
        short = [job.spec for job, _ in unplaced if not job.spec.spot]
        self._ordinary_demand = Demand.least_of(short) if short else None
        # While the state service takes no writes nothing could start in place of stopped tasks. Before the machines
        # have reported to this leader, the capacity to be freed may be free already.
        if self._c.writable and self._c.takeover_readiness.all_zones_ready():
            self._preempt(unplaced, now_us)
        yield
        unplaced = _still_pending(unplaced)
        candidates = [m for m in candidates if is_usable(m)]
        patience_us = to_us(self._c.policy.gather__patience_s)
        requests = self._gang_reservations.update(
            unplaced,
            candidates,
            self._c.machines.values(),
            self._zone_rating(now_us),
            lambda job: max(0, wall_us - job.submitted_us - patience_us),
            now_us,
            lambda m: self.eligibility.may_start_gang(m, now_us),
        )
        yield
        requests = [request for request in requests if request.job.waits]
        if self._c.rents_machines:
            self._plan_fleet(requests, now_us)
            yield
            self._shrink_fleet(now_us)

    def _is_quarantined(self, job: Job, now_us: int) -> bool:
        """True if an earlier pass failed on the job; sets `waiting_reason` then."""
        if not self._c.failures.jobs or not self._c.failures.is_quarantined(job.spec.id, now_us):
            return False
        job.waiting_reason = QUARANTINED
        return True

    def _urgency_us(self, job: Job, wall_us: int) -> int:
        try:
            return urgency_us(job, self._objectives.get(job.spec.job_class), wall_us)
        except Exception as error:
            raise PassFailed(job.spec.id) from error

    def _zone_rating(self, now_us: int) -> Callable[[Job, str], int]:
        """Returns a function that rates a zone's rentable machines for a job."""
        return lambda job, zone: self._c.fleet.offer(job.spec, zone, now_us)

    def _within_guarantee(self) -> set[str]:
        """Returns the jobs that fit their team's guarantee together with the team's earlier unfinished jobs."""
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

    def _quota_left(self, job: Job) -> int:
        """Returns how many more tasks the team's limits and the job's own allow; tasks not proven gone count."""
        team = self._c.teams.get(job.spec.team)
        if team is None:
            return 0
        usage = self._c.usage[team.name]
        allowed = [job.pending]
        if job.spec.at_once is not None:
            allowed.append(job.spec.at_once - len(job.live))
        if team.cpus_max and job.spec.cpus:
            allowed.append(int((team.cpus_max - usage[0] + 1e-6) / job.spec.cpus))
        if team.gpus_max and job.spec.gpus:
            allowed.append(int((team.gpus_max - usage[1] + 1e-6) / job.spec.gpus))
        return max(0, min(allowed))

    def _place_or_fail(self, job: Job, free_capacity: FreeCapacity, now_us: int) -> tuple[int, bool]:
        """Calls `_place_job`; turns any error into a PassFailed that names the job."""
        try:
            return self._place_job(job, free_capacity, now_us)
        except Exception as error:
            raise PassFailed(job.spec.id) from error

    def _place_job(self, job: Job, free_capacity: FreeCapacity, now_us: int) -> tuple[int, bool]:
        """Places the job's tasks as far as possible.

        Returns how many more tasks wait for a machine, and whether machines were examined.
        """
        count = self._startable(job, now_us)
        if not count:
            return 0, False
        job_at_fault = at_fault(job)  # if so, nothing is stopped for it, and a machine rented only if there is none
        terms = self._terms(job, count, now_us)
        if self._seen_capacity_changes != self._c.capacity_changes:
            self._seen_capacity_changes = self._c.capacity_changes
            self._refusals.clear()
        min_places = count if job.is_gang else 1
        attempts = [self._place_unless_refused(job, count, terms, free_capacity, now_us)]
        keeps_out = terms.keep_reserves or self._gang_reservations.released
        if not attempts[0] and keeps_out and self._waits.may_use_reserves(job, now_us):
            terms = terms.after_long_wait()
            attempts.append(self._place_unless_refused(job, min_places, terms, free_capacity, now_us))
        if all(placed is None for placed in attempts):
            job.waiting_reason = describe_failing_job(job) if job_at_fault else NO_CAPACITY
            return (0 if job_at_fault else count), False
        left = count - sum(placed or 0 for placed in attempts)
        if job_at_fault:
            job.waiting_reason = describe_failing_job(job)
            return (left if left and self._no_machine_could_hold(job, min_places) else 0), True
        if left:
            job.waiting_reason = NO_CAPACITY
        elif job.pending > 0:
            job.waiting_reason = _limit_of(job)
        return left, True

    def _place_unless_refused(
        self, job: Job, count: int, terms: PlacementTerms, free_capacity: FreeCapacity, now_us: int
    ) -> int | None:
        """Places up to `count` tasks; returns how many, None if an equal request found no capacity in this pass."""
        min_places = count if job.is_gang else 1
        if job.spec.id not in self._jobs_with_reservations and self._refusals.refuses(
            terms.request_kind, job.spec, min_places
        ):
            return None
        placed = self._place_tasks(job, count, terms, free_capacity, now_us)
        if not placed and not (job.live or terms.avoided_machines):
            self._refusals.refused(terms.request_kind, job.spec, min_places)
        return placed

    def _no_machine_could_hold(self, job: Job, tasks: int) -> bool:
        """True if the fleet, with all of its machines empty, could not hold this many of the job's tasks."""
        slots = 0
        for machine in self._c.machines.values():
            if machine.phase in (UP, BOOTING) and not machine.drain_reason and machine.allows(job.spec):
                slots += slots_in(machine.cpus, machine.gpus, machine.ram_gb, job.spec)
        return slots < tasks

    def _startable(self, job: Job, now_us: int) -> int:
        """Returns how many of the job's tasks may start now, given capacity; if none, sets `waiting_reason`."""
        job_at_fault = at_fault(job)
        if now_us < job.not_before_us:
            job.waiting_reason = describe_failing_job(job) if job_at_fault else "a pause after failed starts"
            return 0
        if job.is_gang and job.live and not job.is_forming:
            job.waiting_reason = "the end of its last attempt"
            return 0
        count = self._quota_left(job)
        if not count or (job.is_gang and count < job.pending):
            job.waiting_reason = _limit_of(job)
            return 0
        if job_at_fault and not job.is_gang:  # one task at a time shows whether it still fails
            if job.live:
                job.waiting_reason = describe_failing_job(job)
                return 0
            return 1
        return count

    def _terms(self, job: Job, count: int, now_us: int) -> PlacementTerms:
        """Returns the restrictions on the machines for the job's next tasks."""
        spec = job.spec
        failed = len(job.error_machines or ())
        # Embedded instances may have few machines: once the job failed on each of them, none is avoided.
        max_avoided = (
            MAX_AVOIDED_MACHINES if self._c.rents_machines else min(MAX_AVOIDED_MACHINES, len(self._c.machines))
        )
        avoid = avoided_machines(job, now_us) if failed < max_avoided else set()
        # Job classes without a warm reserve may not use up the reserve of others.
        may_use_warm = self._c.fleet.is_warm(spec.job_class) or spec.gpus * count <= self._spare_gpus
        # A job that may run on spot machines would soon be preempted on ordinary machines that others wait for: on
        # one large deployment that stopped every fourth array task, with all its progress lost.
        short = self._ordinary_demand if spec.spot and self._c.fleet.spot_available(spec, now_us) else None
        # Tasks without GPUs would take the CPUs of machines with free GPUs and make the warm reserve unusable, as a
        # guest team's thousands of small tasks did. Machines whose GPUs are in use have enough CPUs for them.
        avoid_free_gpu_hosts = (
            not spec.gpus and bool(self._c.fleet.warm) and not self._c.fleet.is_warm(spec.job_class)
        )
        return PlacementTerms(
            (placement_constraints(spec), spec.image, avoid_free_gpu_hosts, may_use_warm, short is None),
            avoid,
            may_use_warm,
            short,
            avoid_free_gpu_hosts,
        )

    def obstacles(self, job: Job, now_us: int) -> dict[Obstacle, int]:
        """Returns what keeps the job off machines that have room for it, with the number of machines."""
        terms = self._terms(job, job.pending, now_us)
        if self._waits.may_use_reserves(job, now_us):
            terms = terms.after_long_wait()
        return self.eligibility.obstacles(job, terms, self._c.machines.values(), now_us)

    def _place_tasks(
        self, job: Job, count: int, terms: PlacementTerms, free_capacity: FreeCapacity, now_us: int
    ) -> int:
        """Assigns machines to up to `count` tasks; returns how many were assigned."""
        spec, limit, before = job.spec, job.zone_limit, 0
        obstacle = self.eligibility.of_precautions(job, terms)
        cached = (
            self._placement_cache.place(job, count)
            if self._placement_cache is not None and terms.unrestricted
            else None
        )
        if cached is not None:
            machines = cached
        else:
            machines = free_capacity.place(job, count, job.is_gang, obstacle, limit)
        places_rest = not (terms.may_use_warm or job.is_gang) and len(machines) < count
        if places_rest and self._spare_gpus >= spec.gpus > 0:
            rest = min(count - len(machines), int(self._spare_gpus / spec.gpus))
            if machines:
                before = self._assign(job, machines, now_us)
            in_warm_reserve = self.eligibility.of_precautions(job, replace(terms, may_use_warm=True))
            machines = free_capacity.place(
                job, rest, False, lambda m: Reason.CONSTRAINTS if m.spot else in_warm_reserve(m), limit
            )
        self._spare_gpus -= spec.gpus * sum(not m.spot for m in machines)
        return before + (self._assign(job, machines, now_us) if machines else 0)

    def _assign(self, job: Job, machines: list[Machine], now_us: int) -> int:
        placed = self._c.assign(job, machines, now_us)
        if self._placement_cache is not None:
            self._placement_cache.changed(machines)
        return placed

    def _preempt(self, unplaced: list[tuple[Job, int]], now_us: int) -> None:
        """Stops tasks for waiting requests that may preempt them, and reserves the freed machines."""
        if not unplaced:
            return
        stops = 0
        avoid_placement = self._c.mass_failures.avoid_placement
        usable = [m for m in self._c.machines.values() if is_usable(m) and not avoid_placement(m, now_us)]
        stopping_capacity = capacity_after_stops(usable)
        booting_gpus = sum(
            m.free_gpus for m in self._c.machines.values() if m.phase == BOOTING and not m.drain_reason and not m.spot
        )
        stoppable = PreemptibleTasks(
            self._c.active.values(), self._c.standing, self._c.min_run_us, self._c.policy, now_us
        )

        def lost_us(task: Task) -> int:
            if task.running_us is None or task.job.is_service:
                return 0
            spent_us = now_us - task.running_us
            return min(spent_us, to_us(task.job.spec.save_s)) if task.job.spec.checkpoint_s else spent_us

        offers, refusals = Offers(lost_us), RefusalCache()
        # Machines reserved for a gang are not offered to other preempting jobs: machines emptied for a gang were once
        # reserved for one such job after another, and stood idle.
        held = self._gang_reservations.held
        free = [m for m in usable if not m.reserved and m.name not in held]
        gang_reserved = [m for m in usable if not m.reserved and m.name in held]
        reserved = {m.reserved for m in usable if m.reserved} | {job.spec.id for job in held.values()}
        for job, count in unplaced:
            if stops >= self._c.policy.preempt__max_stops:
                return
            if not self._c.min_run_us(job):
                continue
            need = job.spec.gpus * count
            # Critical tasks lost in a mass failure do not wait for a boot while others hold capacity.
            if booting_gpus >= need > 0 and self._c.recovery.precedence(job) == NO_PRECEDENCE:
                booting_gpus -= need  # it fits on booting machines
                continue
            victims = stoppable.of(job, self._c.standing(job.spec.team, job.spec))
            job_id = job.spec.id
            request_kind, min_places = (placement_constraints(job.spec), id(victims)), count if job.is_gang else 1
            if job_id not in reserved and refusals.refuses(request_kind, job.spec, min_places):
                continue
            usable_reserved = [
                m for m in gang_reserved if self._gang_reservations.may_use(job, m, self.eligibility.queue_positions)
            ]
            free_for = (
                free + usable_reserved + ([m for m in usable if m.reserved == job_id] if job_id in reserved else [])
            )
            machines, stopped = choose_victims(job, count, free_for, stopping_capacity, victims, offers)
            if machines or stopped:
                refusals.clear()
            elif not job.live:
                refusals.refused(request_kind, job.spec, min_places)
            for machine in machines:
                # Reserved until all the capacity that this job needs is free; else the next request in the queue
                # would take what was freed for it.
                machine.reserved = job.spec.id
                machine.reserved_until_us = now_us + to_us(RESERVATION_S)
            for task in stopped:
                minimum = self._c.min_run_us(task.job)
                kind = "protected" if minimum else "unprotected"
                self._c.metrics.count("preemptions", kind)
                grace_s = task.job.spec.save_s + 1.0 if task.job.spec.checkpoint_s else 0.0
                protection = "past its protected time" if minimum else "without protected time"
                self._c.halt(
                    task, grace_s, f"it is {protection} and job {job.spec.id} of team {job.spec.team} needs the room"
                )
                stops += 1
            if stopped:
                stoppable.changed()
                offers.changed()
            if machines:
                free = [m for m in free if not m.reserved]
                gang_reserved = [m for m in gang_reserved if not m.reserved]

    def _plan_fleet(self, requests: list[Request], now_us: int) -> None:
        """Rents machines for requests that the present and booting machines do not satisfy."""
        pending_rentals = [(r.type, r.zone, r.spot, r.count) for r in self._c.renting.asked()]
        # Only as many rentals as the cloud takes in a second are pending at a time; the rest is merged into later,
        # larger requests. Queued one by one, the many small rentals of a complete fleet were half a minute late.
        rentals_left = max(2, int(self._c.config.settings.cloud.rps)) - len(pending_rentals)
        if rentals_left > 0:
            machines = [m for m in self._c.machines.values() if self.eligibility.counts_for_rentals(m, now_us)]
            for planned in self._c.fleet.plan(now_us, requests, machines, pending_rentals)[:rentals_left]:
                self._c.renting.rent(planned)

    def _shrink_fleet(self, now_us: int) -> None:
        """Returns machines that idle, and consolidates those that are sparsely used."""
        self._consolidation.step(now_us)
        self._consolidation.return_emptied()
        unheld = [m for m in self._c.machines.values() if self.eligibility.may_return(m)]
        for machine, reason in self._c.fleet.surplus(now_us, unheld):
            if self._c.takeover_readiness.zone_ready(machine.zone):
                self._c.request_return(machine, reason)


def describe_failing_job(job: Job) -> str:
    """Returns the waiting reason of a job that fails on every machine."""
    return f"its next try: it failed on {len(job.error_machines or ())} machines and no task of it was ever done"


def _limit_of(job: Job) -> str:
    """Returns which limit keeps more of the job's tasks from starting."""
    at_once = job.spec.at_once
    if at_once is not None and len(job.live) >= at_once:
        return f"its own limit of {at_once} at once"
    return "its team's limit"


def _still_pending(unplaced: list[tuple[Job, int]]) -> list[tuple[Job, int]]:
    """Drops jobs that ended or were blocked during a yield, and caps the counts at what is still pending."""
    return [(job, min(left, job.pending)) for job, left in unplaced if job.waits]
