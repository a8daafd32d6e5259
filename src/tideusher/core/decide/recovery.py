"""Tracks what a mass failure took, and the order in which it is rebuilt. Pure; its record outlives the leader.

The names of the machines to return are written as a few values for the entire mass failure, not as one for each of
the hundred rentals that the machines belong to: at 25 writes a second those alone took seven seconds before the first
task could restart. A later leader that finds them requests their return again and uses none of them (safety 5).

Records, metrics, log lines and what users see call a mass failure a "fall".
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Protocol

from tideusher.clock import SECOND_US, to_s
from tideusher.config import Config
from tideusher.core.model import keys
from tideusher.core.model.records import CRITICAL, OPEN, RETURNING, Job, Machine
from tideusher.core.model.write_queue import Entry, WriteQueue
from tideusher.invariants import Invariants, Rule
from tideusher.metrics import Metrics

LOST_ALL, LOST_SOME, NO_PRECEDENCE = 0, 1, 2
#: Machines of a zone that are found failed within this time of each other belong to one mass failure.
GROUPING_US = 15 * SECOND_US
#: Mass failures kept on record, and jobs kept on the record of each, those that lost most.
RECORDS_KEPT, JOBS_KEPT = 16, 40
#: The share of a value's size limit that is used, and the bytes reserved for one machine's name.
VALUE_SHARE, NAME_BYTES = 0.6, 24


@dataclass(slots=True, eq=False)
class MassFailure:
    """Machines of one zone that failed together, from the first silence until all jobs that they ran have recovered.

    Times are wall-clock times. `parts`: by part number, the written names whose return is not confirmed.
    """

    name: str
    zone: str
    began_us: int
    known_us: int
    evidence: str
    machines: int = 0
    tasks: int = 0
    jobs: dict[str, int] = field(default_factory=dict)  # tasks lost, by job
    recovered_at_us: dict[str, int] = field(default_factory=dict)  # by job: when it recovered or ended
    recovered_jobs: int = 0  # jobs that have recovered or ended since
    recovery_us: int = 0  # when the last of them did; 0: some have not
    parts: dict[int, list[str]] = field(default_factory=dict)
    last_part: int = 0  # the highest part number so far: none is used twice

    def value(self) -> dict[str, Any]:
        """Returns the plain record, as persisted."""
        most_affected = sorted(self.jobs.items(), key=lambda item: (-item[1], item[0]))[:JOBS_KEPT]
        return {
            "zone": self.zone,
            "began": self.began_us,
            "known": self.known_us,
            "why": self.evidence,
            "machines": self.machines,
            "tasks": self.tasks,
            "jobs": dict(most_affected),
            "back": {job: self.recovered_at_us[job] for job, _ in most_affected if job in self.recovered_at_us},
            "of": len(self.jobs),
            "whole": self.recovered_jobs,
            "whole_at": self.recovery_us,
        }


def read_mass_failure(name: str, value: dict[str, Any]) -> MassFailure:
    """Reads what MassFailure.value wrote. Jobs that were not kept on record are lost."""
    return MassFailure(
        name,
        value["zone"],
        value["began"],
        value["known"],
        value["why"],
        value["machines"],
        value["tasks"],
        dict(value["jobs"]),
        dict(value.get("back", {})),
        value["whole"],
        value["whole_at"],
    )


def describe_mass_failure(name: str, value: dict[str, Any]) -> dict[str, Any]:
    """Returns a record as shown to users."""
    whole_at = value["whole_at"]
    return {
        "fall": name,
        "zone": value["zone"],
        "began_s": round(to_s(value["began"]), 1),
        "known_after_s": round(to_s(value["known"] - value["began"]), 1),
        "evidence": value["why"],
        "machines": value["machines"],
        "tasks_lost": value["tasks"],
        "jobs": value["of"],
        "jobs_whole": value["whole"],
        "whole_after_s": round(to_s(whole_at - value["began"]), 1) if whole_at else None,
        "most_lost": value["jobs"],
        "whole_again_after_s": {
            job: round(to_s(at - value["began"]), 1) for job, at in value.get("back", {}).items()
        },
    }


@dataclass(slots=True)
class _AffectedJob:
    """A job that lost tasks, and how many of them have not been placed again yet."""

    mass_failure: MassFailure
    unplaced: int = 0


class Machines(Protocol):
    """The part of the leader's state used here: machines, jobs, and access to their records."""

    token: int
    config: Config
    jobs: dict[str, Job]
    machines: dict[str, Machine]
    write_queue: WriteQueue
    metrics: Metrics
    invariants: Invariants
    wall_us: Callable[[], int]
    log: logging.Logger

    def mark_returning(self, machine: Machine, reason: str) -> None:
        """Mark a machine as returning; it is never used again."""

    def ask_cloud_to_return(self, machine: Machine) -> None:
        """Request from the cloud a return that is on record."""


class Recovery:
    """Owns the current and recorded mass failures, and the jobs that have not recovered."""

    def __init__(self, cluster: Machines) -> None:
        self._c = cluster
        self.mass_failures: dict[str, MassFailure] = {}
        self._count = 0
        self._affected: dict[str, _AffectedJob] = {}  # jobs that lost tasks and have not recovered
        self._entries: dict[str, Entry] = {}

    # ---------------------------------------------------------------- a mass failure

    def return_failed(self, zone: str, machines: Iterable[tuple[Machine, str]], now_us: int) -> None:
        """Return machines that failed together: the names are persisted in few values before the cloud is called."""
        machines = [(machine, why) for machine, why in machines if machine.phase != RETURNING]
        if not machines:
            return
        silent_us = max((now_us - machine.last_us for machine, _ in machines if machine.last_us), default=0)
        mass_failure = self._current_or_new(zone, silent_us, machines[0][1])
        mass_failure.machines += len(machines)
        self._c.metrics.count("fall_machines", zone, len(machines))
        self._c.log.info("fall %s: %d machines of %s, %s", mass_failure.name, len(machines), zone, machines[0][1])
        # Machines with the most urgent tasks come first.
        machines.sort(key=lambda item: min((t.job.spec.rank for t in item[0].tasks.values()), default=99))
        size = max(1, int(self._c.config.settings.state.value_kb * 1024 * VALUE_SHARE / NAME_BYTES))
        while machines:
            number = self._open_part(mass_failure, size)
            names = mass_failure.parts.setdefault(number, [])
            chunk, machines = machines[: size - len(names)], machines[size - len(names) :]
            for machine, why in chunk:
                self._c.mark_returning(machine, f"{why} (fall {mass_failure.name})")
                machine.mass_failure = mass_failure.name
                names.append(machine.name)
            self._c.write_queue.enqueue(
                self._part_entry(mass_failure, number), partial(self._ask_cloud, [machine for machine, _ in chunk])
            )
        self._write(mass_failure)

    def _open_part(self, mass_failure: MassFailure, size: int) -> int:
        """Returns the number of the last part if it is unwritten and has space for more names, else of a new one.

        Calls time out over several seconds: one part per review would again be a write for every few machines.
        """
        last = max(mass_failure.parts, default=0)
        if last and self._part_entry(mass_failure, last).dirty and len(mass_failure.parts[last]) < size:
            return last
        mass_failure.last_part = max(mass_failure.last_part, last) + 1
        return mass_failure.last_part

    def recent(self, zone: str) -> bool:
        """True if a mass failure of this zone was just detected: the rest of its machines are found one by one."""
        wall_us = self._c.wall_us()
        return any(failure.zone == zone and wall_us - failure.known_us < GROUPING_US for failure in self._own())

    def _own(self) -> Iterable[MassFailure]:
        """Yields the mass failures that this leader found: each leader counts from one."""
        return (
            mass_failure
            for mass_failure in self.mass_failures.values()
            if mass_failure.name.startswith(f"{self._c.token}-")
        )

    def _new_name(self) -> str:
        """Returns an unused name.

        Overwriting a record would forget its machines, which would be used although they are being returned.
        """
        while True:
            self._count += 1
            name = f"{self._c.token}-{self._count}"
            if name not in self.mass_failures:
                return name
            found = f"fall {name} already exists, and token {self._c.token} would give its name to another"
            self._c.invariants.violated(Rule.FALL_NAME, found)

    def _ask_cloud(self, machines: list[Machine]) -> None:
        for machine in machines:
            self._c.ask_cloud_to_return(machine)

    def _current_or_new(self, zone: str, silent_us: int, why: str) -> MassFailure:
        wall_us = self._c.wall_us()
        for mass_failure in self._own():
            if mass_failure.zone == zone and wall_us - mass_failure.known_us < GROUPING_US:
                return mass_failure
        mass_failure = MassFailure(self._new_name(), zone, wall_us - silent_us, wall_us, why)
        self.mass_failures[mass_failure.name] = mass_failure
        self._c.metrics.count("falls", zone)
        self._c.metrics.observe_mass_failure_detection(zone, to_s(silent_us))
        for old in list(self.mass_failures.values())[:-RECORDS_KEPT]:
            if not old.parts and not self._is_recovering(old):
                del self.mass_failures[old.name]
                self._write(old)
        return mass_failure

    # ---------------------------------------------------------------- losses and recovery

    def lost(self, job: Job, fall_name: str) -> None:
        """Record that a task of the job is proven gone with a machine of the mass failure."""
        mass_failure = self.mass_failures.get(fall_name)
        if mass_failure is None or job.status != OPEN:
            return
        mass_failure.tasks += 1
        mass_failure.jobs[job.spec.id] = mass_failure.jobs.get(job.spec.id, 0) + 1
        mass_failure.recovery_us = 0
        affected = self._affected.setdefault(job.spec.id, _AffectedJob(mass_failure))
        affected.mass_failure = mass_failure
        affected.unplaced += 1
        if mass_failure.recovered_at_us.pop(job.spec.id, None) is not None:
            mass_failure.recovered_jobs -= 1  # it had recovered, and lost more tasks
        self._c.metrics.count("fall_tasks_lost", mass_failure.zone)

    def returned(self, machine: Machine) -> None:
        """Record a confirmed return; a part is deleted with its last machine."""
        mass_failure = self.mass_failures.get(machine.mass_failure)
        if mass_failure is None:
            return
        for number, names in list(mass_failure.parts.items()):
            if machine.name in names:
                names.remove(machine.name)
                if not names:
                    del mass_failure.parts[number]
                    self._c.write_queue.enqueue(self._part_entry(mass_failure, number), urgent=False)
        if not mass_failure.parts:
            self._write(mass_failure)

    def step(self) -> None:
        """Record which jobs have recovered. The cost depends on the jobs that lost tasks, not on all open jobs."""
        done: dict[str, MassFailure] = {}
        for job_id, affected in list(self._affected.items()):
            job = self._c.jobs.get(job_id)
            if job is None or job.status != OPEN or (affected.unplaced <= 0 and self._all_running(job)):
                del self._affected[job_id]
                affected.mass_failure.recovered_jobs += 1
                affected.mass_failure.recovered_at_us[job_id] = self._c.wall_us()
                done[affected.mass_failure.name] = affected.mass_failure
        for mass_failure in done.values():
            if not self._is_recovering(mass_failure):
                mass_failure.recovery_us = self._c.wall_us()
                self._c.metrics.observe_recovery(
                    mass_failure.zone, to_s(mass_failure.recovery_us - mass_failure.began_us)
                )
                self._c.log.info(
                    "fall %s: all %d jobs that lost tasks are whole again, %.0f s after it began",
                    mass_failure.name, len(mass_failure.jobs), to_s(mass_failure.recovery_us - mass_failure.began_us),
                )  # fmt: skip
                self._write(mass_failure)

    def _is_recovering(self, mass_failure: MassFailure) -> bool:
        """True if a job whose latest loss was in this mass failure has not recovered."""
        return any(affected.mass_failure is mass_failure for affected in self._affected.values())

    @staticmethod
    def _all_running(job: Job) -> bool:
        return all(task.running_us is not None for task in job.live.values())

    def mass_failure_of(self, job: Job) -> MassFailure | None:
        """Returns the mass failure that the job is still recovering from."""
        affected = self._affected.get(job.spec.id)
        return affected.mass_failure if affected is not None else None

    def placed(self, job: Job, count: int) -> None:
        """Record that `count` tasks of the job were placed."""
        affected = self._affected.get(job.spec.id) if self._affected else None
        if affected is not None:
            affected.unplaced -= count

    def still_waiting(self, mass_failure: MassFailure) -> list[Job]:
        """Returns open jobs whose latest loss was here and that have not recovered, by the tasks lost."""
        jobs = [
            self._c.jobs[name]
            for name, affected in self._affected.items()
            if affected.mass_failure is mass_failure and name in self._c.jobs
        ]
        return sorted(jobs, key=lambda job: (-mass_failure.jobs.get(job.spec.id, 0), job.spec.id))

    def waiting(self) -> int:
        """Returns how many lost tasks wait to be placed again, of jobs that may be placed now."""
        count = 0
        for name, affected in self._affected.items():
            job = self._c.jobs.get(name)
            if affected.unplaced > 0 and job is not None and job.waits:
                count += min(affected.unplaced, job.pending)
        return count

    def precedence(self, job: Job) -> int:
        """Returns the rebuild order of a job: services that lost all tasks, then those that lost some, then the rest.

        Only the highest rank has precedence: it may preempt whatever else would take the capacity, so placing that
        first would be wasted.
        """
        if job.spec.id not in self._affected or not job.is_service or job.spec.rank != CRITICAL:
            return NO_PRECEDENCE
        return LOST_SOME if job.live else LOST_ALL

    # ---------------------------------------------------------------- records

    def load(self, items: Iterable[tuple[str, dict[str, Any], int]]) -> None:
        """Load the mass failures on record: (key, value, stamp). Their remaining machines are marked as returning.

        The caller requests the return of all machines marked so.
        """
        parts = []
        for key, value, stamp in items:
            name, number = keys.split_fall_key(key)
            if number:
                parts.append((name, number, value, stamp))
                continue
            self.mass_failures[name] = read_mass_failure(name, value)
            self._entry(self.mass_failures[name]).stamp = stamp
        for name, number, value, stamp in parts:
            mass_failure = self.mass_failures.get(name)
            if mass_failure is None:  # its own record was not written; what its parts name is returned
                wall_us = self._c.wall_us()
                mass_failure = self.mass_failures[name] = MassFailure(
                    name, value["zone"], wall_us, wall_us, "an earlier leader found it"
                )
            remaining = [m for host in value["hosts"] if (m := self._c.machines.get(host)) is not None]
            mass_failure.parts[number] = [machine.name for machine in remaining]
            self._part_entry(mass_failure, number).stamp = stamp
            for machine in remaining:
                self._c.mark_returning(machine, f"it failed (fall {name}); its return was requested")
                machine.mass_failure = name
            if not remaining:
                del mass_failure.parts[number]
                self._c.write_queue.enqueue(self._part_entry(mass_failure, number), urgent=False)
        for mass_failure in self.mass_failures.values():
            for job_id in mass_failure.jobs if not mass_failure.recovery_us else ():
                job = self._c.jobs.get(job_id)
                if job is not None and job.status == OPEN and job_id not in mass_failure.recovered_at_us:
                    self._affected[job_id] = _AffectedJob(mass_failure, min(mass_failure.jobs[job_id], job.pending))

    def _write(self, mass_failure: MassFailure) -> None:
        self._c.write_queue.enqueue(self._entry(mass_failure), urgent=False)

    def _entry(self, mass_failure: MassFailure) -> Entry:
        key = keys.fall_key(mass_failure.name, 0)
        if key not in self._entries:
            self._entries[key] = Entry(
                key, lambda: mass_failure.value() if mass_failure.name in self.mass_failures else None, 0
            )
        return self._entries[key]

    def _part_entry(self, mass_failure: MassFailure, number: int) -> Entry:
        key = keys.fall_key(mass_failure.name, number)
        if key not in self._entries:

            def value() -> dict[str, Any] | None:
                hosts = mass_failure.parts.get(number)
                return {"zone": mass_failure.zone, "hosts": hosts} if hosts else None

            self._entries[key] = Entry(key, value, 0)
        return self._entries[key]
