"""Answers to users' questions: why a job waits, why its tasks stopped, and the state of teams and machines."""

from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Any

from tideusher.clock import to_s
from tideusher.core.decide.eligibility import Obstacle
from tideusher.core.decide.recovery import describe_mass_failure
from tideusher.core.lead.cluster import Cluster
from tideusher.core.model.records import BOOTING, JOB_CANCELLED, JOB_DONE, NO_CAPACITY, SEEN, Job
from tideusher.wire.arrays import parse_indexes
from tideusher.wire.jobs import AMOUNTS, MAX_TASKS
from tideusher.wire.workers import FETCHING, SAVING, WAITING

#: The most jobs that a list of dependencies names.
MAX_NAMED = 8
#: Returns what keeps a job off machines that have room for it at a time, with the number of machines.
ObstaclesOf = Callable[[Job, int], Mapping[Obstacle, int]]


def describe_stops(stops: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Formats the persisted record of stops for users."""
    return [
        {"at_s": round(to_s(s["at"]), 1), "task": s["task"], "machine": s["on"], "reason": s["why"]} for s in stops
    ]


def describe_end(why: str) -> str:
    """Returns how a job that was not done ended."""
    return f"The service ended it: {why}." if why else "Its user cancelled it."


def explain_job(
    cluster: Cluster, job_id: str, now_us: int, obstacles_of: ObstaclesOf = lambda job, now_us: {}
) -> dict[str, Any] | None:
    """Returns what the job waits for and why its tasks were stopped; None if this leader does not know the job.

    `req-000412/3` asks about one task, whose state comes first among the reasons.
    """
    job_id, _, number = job_id.partition("/")
    job = cluster.jobs.get(job_id)
    if job is None:
        return None
    own = _task(job, int(number)) if number.isdigit() and int(number) < job.spec.tasks else []
    answer = {
        "job": job_id,
        "team": job.spec.team,
        "status": job.status,
        "tasks": job.spec.tasks,
        "done": job.done_count,
        "placed": len(job.live),
        "reasons": own + _reasons(cluster, job, now_us, obstacles_of),
        "stops": describe_stops(job.stops),
    }
    more = {"name": job.spec.name, "array": job.spec.array, "amounts": _amounts(job)}
    return answer | {name: value for name, value in more.items() if value is not None}


def oldest_waits(cluster: Cluster) -> dict[tuple[str, str], float]:
    """Returns seconds since the submission of the oldest waiting job, by (gauge, class or team)."""
    waits: dict[tuple[str, str], float] = {}
    wall_us = cluster.wall_us()
    for job in cluster.active.values():
        if job.waits:
            waited_s = to_s(max(0, wall_us - job.submitted_us))
            for by, label in (("class", job.spec.job_class), ("team", job.spec.team)):
                key = (f"oldest_wait_seconds_by_{by}", label)
                waits[key] = max(waited_s, waits.get(key, 0.0))
    return waits


def _amounts(job: Job) -> dict[str, dict[str, float | None]] | None:
    """Returns the amounts that are counted with others than the user sent, by field; None if there are none."""
    sent = job.sent_amounts or {}
    return {
        field.name: {"sent": sent[field.name], "counted": getattr(job.spec, field.attribute)}
        for field in AMOUNTS
        if field.name in sent
    } or None


def _task(job: Job, index: int) -> list[str]:
    task = job.live.get(index)
    if job.is_done(index):
        state = "is done"
    elif job.is_over(index):
        state = f"was stopped, as it ran longer than its limit of {job.spec.limit_s:g} s"
    elif task is None:
        state = "waits"
    else:
        state = f"has its place on {task.machine.name} ({task.state or 'not yet confirmed'})"
    number = "" if job.spec.array is None else f" (number {parse_indexes(job.spec.array, MAX_TASKS)[index]})"
    return [f"Task {index}{number} {state}."]


def _reasons(cluster: Cluster, job: Job, now_us: int, obstacles_of: ObstaclesOf) -> list[str]:
    if job.status == JOB_CANCELLED:
        return [describe_end(job.why)[:-1] + "; what is left of it is being stopped."]
    if job.status == JOB_DONE:
        return ["It is done."]
    reasons = _blocks(cluster, job)
    mass_failure = cluster.recovery.mass_failure_of(job)
    if mass_failure is not None:
        reasons.append(
            f"Fall {mass_failure.name}, in which {mass_failure.machines} machines of {mass_failure.zone} "
            "went silent, took "
            f"{mass_failure.jobs.get(job.spec.id, 0)} of its tasks; not all of them run again."
        )
    if job.pending > 0 and not job.blocked:
        text = f"{job.pending} tasks wait for {job.waiting_reason}."
        booting = sum(
            m.phase == BOOTING and not m.drain_reason and m.allows(job.spec) for m in cluster.machines.values()
        )
        if booting and job.waiting_reason == NO_CAPACITY:
            text += f" {booting} machines that it may use are booting."
            late = sum(cluster.health.boots.late(m, now_us) and m.allows(job.spec) for m in cluster.machines.values())
            if late:
                text += f" {late} of them are late: machines rented after them are up, and others are rented instead."
        reasons.append(text)
        if job.waiting_reason == NO_CAPACITY:
            reasons += _describe_obstacles(obstacles_of(job, now_us), now_us)
        ratio = cluster.ledger.ratio(job.spec.team)
        ahead = {
            other.spec.team
            for other in cluster.active.values()
            if other.waits and cluster.ledger.ratio(other.spec.team) < ratio
        }
        if ahead:
            reasons.append(
                f"Team {job.spec.team} has used {ratio:.3f} of its budget; {len(ahead)} teams with waiting "
                "work have used less and go first."
            )
        if not cluster.is_writing(now_us) and cluster.write_queue.waiting:
            reasons.append("The state service does not take writes at the moment; nothing starts until it does.")
    reasons += _describe_refused_writes(cluster, job, now_us)
    for state, text in (
        (FETCHING, f"wait for image {job.spec.image} to be fetched"),
        (WAITING, "have their place and wait for the rest of their gang"),
        (SAVING, "were told to stop and are saving"),
    ):
        count = sum(task.state == state for task in job.live.values())
        if count:
            reasons.append(f"{count} tasks {text}.")
    unconfirmed = sum(task.phase != SEEN for task in job.live.values())
    if unconfirmed:
        reasons.append(f"{unconfirmed} tasks have a place; their machines have not confirmed them yet.")
    return reasons or [f"{len(job.live)} tasks run; nothing holds it up."]


def _describe_refused_writes(cluster: Cluster, job: Job, now_us: int) -> list[str]:
    """Returns which records of the job the state service refuses, and when they are tried again."""
    return [
        f"The state service refuses its record {refused.entry.key}; what depends on it waits. "
        f"It is tried again in {to_s(max(0, refused.until_us - now_us)):.0f} s."
        for refused in cluster.write_queue.refused.all()
        if refused.entry.owner == job.spec.id
    ]


def _describe_obstacles(obstacles: Mapping[Obstacle, int], now_us: int) -> list[str]:
    """Returns what keeps a job off machines that have room for it, the most frequent first."""
    lines = []
    for obstacle, count in sorted(obstacles.items(), key=lambda item: (-item[1], item[0].reason.value)):
        holder = f" ({obstacle.for_job})" if obstacle.for_job else ""
        left_s = to_s(max(0, obstacle.until_us - now_us)) if obstacle.until_us is not None else None
        end = f", for {left_s:.0f} s more at the most" if left_s is not None else ""
        lines.append(f"{count} machines with room for it {obstacle.reason.value}{holder}{end}.")
    return lines


def _blocks(cluster: Cluster, job: Job) -> list[str]:
    """Returns what keeps the job from starting, regardless of free capacity."""
    reasons = []
    if job.hold:
        reasons.append(f"It is held by {job.hold}; nothing more of it starts until it is released.")
    if job.start_after_us:
        at = datetime.fromtimestamp(to_s(job.start_after_us), UTC)
        reasons.append(f"It is not to start before {at:%Y-%m-%d %H:%M:%S} UTC.")
    for kind, ref in job.unmet[:MAX_NAMED]:
        other = cluster.jobs.get(ref)
        state = "not known here yet" if other is None else "held" if other.hold else other.status
        placed = f", {len(other.live)} of its tasks placed" if other is not None and other.live else ""
        reasons.append(f"It waits for {ref} ({kind}), which is {state}{placed}.")
    if len(job.unmet) > MAX_NAMED:
        reasons.append(f"It waits for {len(job.unmet) - MAX_NAMED} more jobs.")
    return reasons


def mass_failures(cluster: Cluster) -> list[dict[str, Any]]:
    """Returns the recorded mass failures, newest first, with the jobs that still wait and why."""
    rows = []
    for mass_failure in reversed(cluster.recovery.mass_failures.values()):
        incomplete = cluster.recovery.still_waiting(mass_failure)
        waits = {job.spec.id: _incomplete_reason(job) for job in incomplete[:MAX_NAMED]}
        rows.append(describe_mass_failure(mass_failure.name, mass_failure.value()) | {"still_waiting": waits})
    return rows


def _incomplete_reason(job: Job) -> str:
    """Returns why a job that lost tasks in a mass failure is not complete again."""
    if job.pending > 0:
        return f"{job.pending} tasks wait for {job.waiting_reason}"
    images = sum(task.running_us is None for task in job.live.values())
    return f"{images} tasks have a place and do not run yet"


def teams(cluster: Cluster) -> list[dict[str, Any]]:
    """Returns ratios, charges, guarantees and present use of all teams."""
    rows = []
    for team in cluster.teams.values():
        cpus, gpus = cluster.team_usage(team.name)
        rows.append(
            {
                "team": team.name,
                "ratio": round(cluster.ledger.ratio(team.name), 4) if team.gpus or team.cpus else None,
                "charged_machine_s": round(cluster.ledger.charged(team.name), 1),
                "guaranteed_gpus": team.gpus,
                "guaranteed_cpus": team.cpus,
                "limit_gpus": team.gpus_max,
                "limit_cpus": team.cpus_max,
                "used_gpus": round(gpus, 3),
                "used_cpus": round(cpus, 3),
            }
        )
    return rows


def machines(cluster: Cluster, now_us: int) -> list[dict[str, Any]]:
    """Returns the machines as the leader knows them."""
    return [
        {
            "machine": m.name,
            "type": m.type,
            "zone": m.zone,
            "spot": m.spot,
            "phase": m.phase,
            "tasks": len(m.tasks),
            "free_gpus": round(m.free_gpus, 3),
            "silent_s": round(to_s(now_us - m.last_contact_us), 1) if m.last_contact_us else None,
            "note": m.drain_reason or (f"kept for {m.reserved}" if m.reserved else "slow" if m.slow else ""),
        }
        for m in sorted(cluster.machines.values(), key=lambda m: m.name)
    ]
