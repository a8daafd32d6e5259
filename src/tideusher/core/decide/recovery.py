"""What a fall took, and in which order it is rebuilt. Pure; the record of it outlives the leader.

The names of the machines to be returned are written as a few values for the whole fall, not as one for each
of the hundred rentals that they came with: at 25 writes a second those alone took seven, before the first task
could start again. A later leader that finds them asks for their return again and uses none of them (safety 5).
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
#: Machines of a zone that are found within this time of each other belong to one fall.
SAME_US = 15 * SECOND_US
#: So many falls are kept on record, and of each so many of the jobs that lost most.
FALLS_KEPT, JOBS_KEPT = 16, 40
#: Of a value's size this part is used, and a machine's name takes so many bytes of it.
VALUE_PART, NAME_BYTES = 0.6, 24


@dataclass(slots=True, eq=False)
class MassFailure:
    """Machines of one zone that fell together, from the first silence until all that they held is whole again.

    Times are of the time of day. `parts`: names whose return is not confirmed, as they were written.
    """

    name: str
    zone: str
    began_us: int
    known_us: int
    evidence: str
    machines: int = 0
    tasks: int = 0
    jobs: dict[str, int] = field(default_factory=dict)  # tasks lost, by job
    back: dict[str, int] = field(default_factory=dict)  # when each of these was whole again, or over
    whole: int = 0  # jobs that have been whole again since, or are over
    whole_us: int = 0  # when the last of them was
    parts: dict[int, list[str]] = field(default_factory=dict)
    newest: int = 0  # the highest part's number so far: none is used twice

    def value(self) -> dict[str, Any]:
        """The plain record, as persisted."""
        most = sorted(self.jobs.items(), key=lambda item: (-item[1], item[0]))[:JOBS_KEPT]
        return {
            "zone": self.zone,
            "began": self.began_us,
            "known": self.known_us,
            "why": self.evidence,
            "machines": self.machines,
            "tasks": self.tasks,
            "jobs": dict(most),
            "back": {job: self.back[job] for job, _ in most if job in self.back},
            "of": len(self.jobs),
            "whole": self.whole,
            "whole_at": self.whole_us,
        }


def read_fall(name: str, value: dict[str, Any]) -> MassFailure:
    """The inverse of Fall.value. Jobs beyond those on record are not known any more."""
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
    """A record as told to people."""
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
class _Hurt:
    """A job that lost tasks, and how many of them have no new place yet."""

    mass_failure: MassFailure
    owed: int = 0


class Machines(Protocol):
    """What this needs of the leader's picture: machines, jobs, and the way to their records."""

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
        """It is never used again."""

    def ask_cloud_to_return(self, machine: Machine) -> None:
        """Have the cloud asked for a return that is on record."""


class Recovery:
    """Falls under way and on record, and the jobs that are not whole again."""

    def __init__(self, cluster: Machines) -> None:
        self._c = cluster
        self.mass_failures: dict[str, MassFailure] = {}
        self._count = 0
        self._hurt: dict[str, _Hurt] = {}  # jobs that lost tasks and are not whole again
        self._entries: dict[str, Entry] = {}

    # ---------------------------------------------------------------- a fall

    def return_failed(self, zone: str, machines: Iterable[tuple[Machine, str]], now_us: int) -> None:
        """Return machines that fell together: persisted in few values, then the cloud hears of them."""
        machines = [(machine, why) for machine, why in machines if machine.phase != RETURNING]
        if not machines:
            return
        silent_us = max((now_us - machine.last_us for machine, _ in machines if machine.last_us), default=0)
        mass_failure = self._fall_of(zone, silent_us, machines[0][1])
        mass_failure.machines += len(machines)
        self._c.metrics.count("fall_machines", zone, len(machines))
        self._c.log.info("fall %s: %d machines of %s, %s", mass_failure.name, len(machines), zone, machines[0][1])
        # Those first whose tasks are the most urgent to have back.
        machines.sort(key=lambda item: min((t.job.spec.rank for t in item[0].tasks.values()), default=99))
        size = max(1, int(self._c.config.settings.state.value_kb * 1024 * VALUE_PART / NAME_BYTES))
        while machines:
            number = self._part_with_room(mass_failure, size)
            names = mass_failure.parts.setdefault(number, [])
            some, machines = machines[: size - len(names)], machines[size - len(names) :]
            for machine, why in some:
                self._c.mark_returning(machine, f"{why} (fall {mass_failure.name})")
                machine.mass_failure = mass_failure.name
                names.append(machine.name)
            self._c.write_queue.enqueue(
                self._part_entry(mass_failure, number), partial(self._ask_cloud, [machine for machine, _ in some])
            )
        self._write(mass_failure)

    def _part_with_room(self, mass_failure: MassFailure, size: int) -> int:
        """The last part if it still waits to be written and holds more names, else a new one.

        Calls come back over seconds: a part for each look would again be a write for every few machines.
        """
        last = max(mass_failure.parts, default=0)
        if last and self._part_entry(mass_failure, last).dirty and len(mass_failure.parts[last]) < size:
            return last
        mass_failure.newest = max(mass_failure.newest, last) + 1
        return mass_failure.newest

    def recent(self, zone: str) -> bool:
        """Has a fall of this zone become known just now? The rest of it is found one by one."""
        wall_us = self._c.wall_us()
        return any(
            mass_failure.zone == zone and wall_us - mass_failure.known_us < SAME_US for mass_failure in self._ours()
        )

    def _ours(self) -> Iterable[MassFailure]:
        """Falls that this leader found: a later one's numbers begin anew."""
        return (
            mass_failure
            for mass_failure in self.mass_failures.values()
            if mass_failure.name.startswith(f"{self._c.token}-")
        )

    def _new_name(self) -> str:
        """Never one that is on record: its machines would be forgotten with it, and used although they return."""
        while True:
            self._count += 1
            name = f"{self._c.token}-{self._count}"
            if name not in self.mass_failures:
                return name
            found = f"a fall {name} is there already, and token {self._c.token} would name another so"
            self._c.invariants.violated(Rule.FALL_NAME, found)

    def _ask_cloud(self, machines: list[Machine]) -> None:
        for machine in machines:
            self._c.ask_cloud_to_return(machine)

    def _fall_of(self, zone: str, silent_us: int, why: str) -> MassFailure:
        wall_us = self._c.wall_us()
        for mass_failure in self._ours():
            if mass_failure.zone == zone and wall_us - mass_failure.known_us < SAME_US:
                return mass_failure
        mass_failure = MassFailure(self._new_name(), zone, wall_us - silent_us, wall_us, why)
        self.mass_failures[mass_failure.name] = mass_failure
        self._c.metrics.count("falls", zone)
        self._c.metrics.observe_mass_failure_detection(zone, to_s(silent_us))
        for old in list(self.mass_failures.values())[:-FALLS_KEPT]:
            if not old.parts and not self._mends(old):
                del self.mass_failures[old.name]
                self._write(old)
        return mass_failure

    # ---------------------------------------------------------------- what it took, and what is back

    def lost(self, job: Job, fall_name: str) -> None:
        """A task of the job is proven gone with a machine that fell."""
        mass_failure = self.mass_failures.get(fall_name)
        if mass_failure is None or job.status != OPEN:
            return
        mass_failure.tasks += 1
        mass_failure.jobs[job.spec.id] = mass_failure.jobs.get(job.spec.id, 0) + 1
        mass_failure.whole_us = 0
        hurt = self._hurt.setdefault(job.spec.id, _Hurt(mass_failure))
        hurt.mass_failure = mass_failure
        hurt.owed += 1
        if mass_failure.back.pop(job.spec.id, None) is not None:
            mass_failure.whole -= 1  # it was whole, and lost more
        self._c.metrics.count("fall_tasks_lost", mass_failure.zone)

    def returned(self, machine: Machine) -> None:
        """The machine's return is confirmed; with the last of a part its names are needed no more."""
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
        """Look which of the jobs that lost tasks are whole again. Costs what is hurt, not what is open."""
        done: dict[str, MassFailure] = {}
        for job_id, hurt in list(self._hurt.items()):
            job = self._c.jobs.get(job_id)
            if job is None or job.status != OPEN or (hurt.owed <= 0 and self._runs(job)):
                del self._hurt[job_id]
                hurt.mass_failure.whole += 1
                hurt.mass_failure.back[job_id] = self._c.wall_us()
                done[hurt.mass_failure.name] = hurt.mass_failure
        for mass_failure in done.values():
            if not self._mends(mass_failure):
                mass_failure.whole_us = self._c.wall_us()
                self._c.metrics.observe_recovery(
                    mass_failure.zone, to_s(mass_failure.whole_us - mass_failure.began_us)
                )
                self._c.log.info(
                    "fall %s: all %d jobs that lost tasks are whole again, %.0f s after it began",
                    mass_failure.name, len(mass_failure.jobs), to_s(mass_failure.whole_us - mass_failure.began_us),
                )  # fmt: skip
                self._write(mass_failure)

    def _mends(self, mass_failure: MassFailure) -> bool:
        """Is a job not whole again that this fall hurt last?"""
        return any(hurt.mass_failure is mass_failure for hurt in self._hurt.values())

    @staticmethod
    def _runs(job: Job) -> bool:
        return all(task.running_us is not None for task in job.live.values())

    def mass_failure_of(self, job: Job) -> MassFailure | None:
        """The fall that the job is still recovering from."""
        hurt = self._hurt.get(job.spec.id)
        return hurt.mass_failure if hurt is not None else None

    def placed(self, job: Job, count: int) -> None:
        """So many tasks of the job got places."""
        hurt = self._hurt.get(job.spec.id) if self._hurt else None
        if hurt is not None:
            hurt.owed -= count

    def still_waiting(self, mass_failure: MassFailure) -> list[Job]:
        """Open jobs that this fall hurt last and that are not whole again, those that lost most first."""
        jobs = [
            self._c.jobs[name]
            for name, hurt in self._hurt.items()
            if hurt.mass_failure is mass_failure and name in self._c.jobs
        ]
        return sorted(jobs, key=lambda job: (-mass_failure.jobs.get(job.spec.id, 0), job.spec.id))

    def waiting(self) -> int:
        """Tasks that a fall took and that wait for a new place, those of jobs that may have one now."""
        count = 0
        for name, hurt in self._hurt.items():
            job = self._c.jobs.get(name)
            if hurt.owed > 0 and job is not None and job.waits:
                count += min(hurt.owed, job.pending)
        return count

    def precedence(self, job: Job) -> int:
        """Before whom the job is rebuilt: services that lost all, then those that lost some, then everybody else.

        Only for the highest rank: it may stop what else would take the room, so that would go in vain.
        """
        if job.spec.id not in self._hurt or not job.is_service or job.spec.rank != CRITICAL:
            return NO_PRECEDENCE
        return LOST_SOME if job.live else LOST_ALL

    # ---------------------------------------------------------------- records

    def load(self, items: Iterable[tuple[str, dict[str, Any], int]]) -> None:
        """Take over the falls on record: (key, value, stamp). Machines of theirs that are still there are returning.

        Whoever calls this has the cloud asked for the return of all that is.
        """
        parts = []
        for key, value, stamp in items:
            name, number = keys.split_fall_key(key)
            if number:
                parts.append((name, number, value, stamp))
                continue
            self.mass_failures[name] = read_fall(name, value)
            self._entry(self.mass_failures[name]).stamp = stamp
        for name, number, value, stamp in parts:
            mass_failure = self.mass_failures.get(name)
            if mass_failure is None:  # its record was not written any more: what it named is returned all the same
                wall_us = self._c.wall_us()
                mass_failure = self.mass_failures[name] = MassFailure(
                    name, value["zone"], wall_us, wall_us, "an earlier leader found it"
                )
            here = [m for host in value["hosts"] if (m := self._c.machines.get(host)) is not None]
            mass_failure.parts[number] = [machine.name for machine in here]
            self._part_entry(mass_failure, number).stamp = stamp
            for machine in here:
                self._c.mark_returning(machine, f"it fell (fall {name}); its return was asked")
                machine.mass_failure = name
            if not here:
                del mass_failure.parts[number]
                self._c.write_queue.enqueue(self._part_entry(mass_failure, number), urgent=False)
        for mass_failure in self.mass_failures.values():
            for job_id in mass_failure.jobs if not mass_failure.whole_us else ():
                job = self._c.jobs.get(job_id)
                if job is not None and job.status == OPEN and job_id not in mass_failure.back:
                    self._hurt[job_id] = _Hurt(mass_failure, min(mass_failure.jobs[job_id], job.pending))

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
