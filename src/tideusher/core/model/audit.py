"""Compares a standby's cluster state with the records of the state service, some records at a time."""

from collections.abc import Iterable, Mapping
from typing import Any, Protocol

from tideusher.core.model import keys
from tideusher.core.model.ledger import Ledger
from tideusher.core.model.placements import Placements
from tideusher.core.model.records import CHUNK_TASKS, OPEN, RETURNING, Job, Machine, read_chunk
from tideusher.core.model.rentals import Rental

#: Jobs of a differing page that are named in the log.
MAX_JOBS_NAMED = 3


class AuditedState(Protocol):
    """The parts of the cluster state that are compared."""

    jobs: dict[str, Job]
    active: dict[str, Job]
    machines: dict[str, Machine]
    rentals: dict[str, Rental]
    usage: dict[str, list[float]]
    mass_failures: dict[str, tuple[dict[str, Any], int]]
    unsettled: dict[str, None]
    orphans: dict[str, int]
    stamps: dict[str, int]
    ledger: Ledger
    placements: Placements

    @property
    def types(self) -> Iterable[str]:
        """The names of the machine types."""

    @property
    def teams(self) -> Iterable[str]:
        """The names of the teams."""

    def value_on_machines(self, job_id: str, tasks: dict[str, Any]) -> dict[str, Any] | None:
        """The own record of a job with tasks on known machines; None if that does not contain the spec."""


def comparable(cluster_state: AuditedState) -> dict[str, Any]:
    """Returns the state that derives from records as plain values; equal for a replica and a rebuild."""
    return {
        "jobs": {
            name: {
                "status": job.status,
                "stamp": job.stamp if job.status == OPEN else 0,  # stamps of final records are not kept
                "tasks": job.spec.tasks,
                "hold": job.hold,
                "over": (job.done_count, job.failed_count),
                "chunks": {n: (c.attempts, c.done, c.failed, c.stamp) for n, c in sorted(job.chunks.items())},
                "live": {i: (t.attempt, t.machine.name, t.began_s) for i, t in sorted(job.live.items())},
                "next": job.next_pending(CHUNK_TASKS),
                "stops": job.stops,
            }
            for name, job in sorted(cluster_state.jobs.items())
        },
        "active": sorted(cluster_state.active),
        "machines": {
            name: (
                machine.rental,
                machine.phase == RETURNING,
                (machine.cpus, machine.gpus, machine.ram_gb),
                sorted(machine.tasks),
                tuple(round(v, 6) for v in (machine.free_cpus, machine.free_gpus, machine.free_ram_gb)),
            )
            for name, machine in sorted(cluster_state.machines.items())
        },
        "rentals": {name: rental.value() for name, rental in sorted(cluster_state.rentals.items())},
        "usage": {team: [round(v, 6) for v in use] for team, use in cluster_state.usage.items() if any(use)},
        "types": sorted(cluster_state.types),
        "charged": {team: round(cluster_state.ledger.charged(team), 3) for team in cluster_state.teams},
        "falls": sorted(cluster_state.mass_failures),
        "unsettled": sorted(cluster_state.unsettled),
        "orphans": sorted(cluster_state.orphans.items()),
        "stamps": dict(sorted(cluster_state.stamps.items())),
    }


def matches(cluster_state: AuditedState, key: str, value: Any) -> bool:
    """Returns whether the state agrees with this record; it does not after a missed transition."""
    if key.startswith(keys.CHUNK_PREFIX):
        return _matches_chunk(cluster_state, key, value)
    if key.startswith(keys.PAGE_PREFIX):
        return cluster_state.placements.page(key) == value and not _differing_in_page(cluster_state, key, value)
    if key.startswith(keys.JOB_PREFIX):
        return _matches_job(cluster_state, key[len(keys.JOB_PREFIX) :], value)
    if key.startswith(keys.RENTAL_PREFIX):
        return _matches_rental(cluster_state, key[len(keys.RENTAL_PREFIX) :], value)
    return True


def describe_mismatch(cluster_state: AuditedState, key: str, value: Any) -> str:
    """Describes a record that differs from the state: its key, and of a page the differing jobs and their records."""
    if not key.startswith(keys.PAGE_PREFIX) or cluster_state.placements.page(key) != value:
        return key
    jobs = [f"{job_id} {value[job_id]}" for job_id in _differing_in_page(cluster_state, key, value)]
    return f"{key} ({', '.join(jobs[:MAX_JOBS_NAMED])})"


def _matches_job(cluster_state: AuditedState, job_id: str, value: dict[str, Any]) -> bool:
    job = cluster_state.jobs.get(job_id)
    if job is None:
        return value["st"] != OPEN
    return job.status == value["st"] and (job.status != OPEN or job.spec.tasks == value["spec"]["pieces"])


def _matches_rental(cluster_state: AuditedState, name: str, value: dict[str, Any]) -> bool:
    rental = cluster_state.rentals.get(name)
    if rental is None:
        return False
    known = rental.answered, rental.machines, rental.returning
    if known != (value["answered"], value["machines"], value["returning"]):
        return False
    return all(host in cluster_state.machines for host in rental.machines)


def _differing_in_page(cluster_state: AuditedState, key: str, value: dict[str, Any]) -> list[str]:
    """Returns the jobs whose record in the page differs from the state."""
    jobs_in_page = [job_id for job_id in value if cluster_state.placements.is_in(job_id, key)]
    return [job_id for job_id in jobs_in_page if not _matches_page_member(cluster_state, job_id, value[job_id])]


def _matches_chunk(cluster_state: AuditedState, key: str, value: dict[str, Any]) -> bool:
    job_id, number = keys.split_chunk_key(key)
    job = cluster_state.jobs.get(job_id)
    if job is None:
        return key in cluster_state.orphans and cluster_state.value_on_machines(job_id, value) is None
    return _matches_tasks(job, number, value, cluster_state.machines)


def _matches_page_member(cluster_state: AuditedState, job_id: str, value: dict[str, Any]) -> bool:
    job = cluster_state.jobs.get(job_id)
    if job is not None:
        return _matches_tasks(job, 0, value, cluster_state.machines)
    return cluster_state.value_on_machines(job_id, value) is None


def _matches_tasks(job: Job, number: int, value: dict[str, Any], machines: Mapping[str, Machine]) -> bool:
    known = job.chunks.get(number)
    chunk, places = read_chunk(number, value, 0)
    finished = (chunk.attempts, chunk.done, chunk.failed)
    if known is None or (known.attempts, known.done, known.failed) != finished:
        return False
    indexes = range(number * CHUNK_TASKS, (number + 1) * CHUNK_TASKS)
    live = {i: (t.attempt, t.machine.name) for i in indexes if (t := job.live.get(i)) is not None}
    return live == {i: place[:2] for i, place in places.items() if place[1] in machines}
