"""The users' jobs of a scale run, derived from its seed: a job's id is enough to compute its description."""

import random
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from tideusher.clock import to_us
from tideusher.scale.layout import Layout
from tideusher.scale.settings import JobClass, ScaleSettings
from tideusher.wire.jobs import GANG, SERVICE, JobSpec

#: Digits of a job's number in its id, which follow the number of its class.
_NUMBER_DIGITS = 7
#: Tasks run from 0.5 to 1.5 times the run time of their class.
_MIN_RUN_FACTOR, _RUN_FACTOR_RANGE = 0.5, 1.0


@dataclass(frozen=True, slots=True, order=True)
class Submission:
    """When a user submits a job and, unless `cancel_us` is None, cancels it."""

    at_us: int
    job: str
    cancel_us: int | None = None


class _DrawnValues(NamedTuple):
    tasks: int
    team: int
    image: int
    zone: int


class Workload:
    """Descriptions of jobs by id, and the schedule of their submissions."""

    def __init__(self, settings: ScaleSettings) -> None:
        self._settings, self._zones = settings, Layout(settings).zones
        self._specs: dict[str, JobSpec] = {}

    def job_class(self, job: str) -> JobClass:
        """Returns the class of a job; raises IndexError or ValueError for an id that is not of this run."""
        return self._settings.classes[int(job[len("req-") : -_NUMBER_DIGITS])]

    def spec(self, job: str) -> JobSpec:
        """Returns the description of a job."""
        spec = self._specs.get(job)
        if spec is None:
            spec = self._specs[job] = self._build_spec(job, self.job_class(job))
        return spec

    def run_us(self, job: str, index: int) -> int:
        """Returns the run time of a task once it has started; all tasks of a gang run equally long."""
        spec, job_class = self.spec(job), self.job_class(job)
        member = 0 if spec.shape == GANG else index
        return to_us(job_class.run_s * (_MIN_RUN_FACTOR + _RUN_FACTOR_RANGE * self._uniform_value(job, member)))

    def submissions(self) -> list[Submission]:
        """Returns all submissions of the run, ordered by time."""
        submissions = []
        for number, job_class in enumerate(self._settings.classes):
            rng = random.Random(f"{self._settings.seed}/{number}/arrivals")
            for count, at_s in enumerate(self._arrival_times_s(job_class, rng)):
                cancel = rng.random() < job_class.cancelled
                cancel_us = to_us(at_s + rng.random() * job_class.cancel_within_s) if cancel else None
                submissions.append(Submission(to_us(at_s), _job_id(number, count), cancel_us))
        return sorted(submissions)

    def _arrival_times_s(self, job_class: JobClass, rng: random.Random) -> list[float]:
        """Returns the arrival times of a class: the initial jobs, the Poisson arrivals and the bursts."""
        times = [0.0] * job_class.initial
        at_s = 0.0
        while job_class.per_minute:
            at_s += rng.expovariate(job_class.per_minute / 60)
            if at_s >= self._settings.duration_s:
                break
            times.append(at_s)
        for fault in self._settings.faults:
            if fault.kind == "burst" and fault.job_class == job_class.name:
                times += [fault.at_s] * fault.count
        return times

    def _build_spec(self, job: str, job_class: JobClass) -> JobSpec:
        drawn = self._draw_values(job, job_class)
        return JobSpec(
            id=job,
            job_class=job_class.name,
            team=team_name(drawn.team),
            shape=job_class.shape,
            priority=job_class.priority,
            tasks=drawn.tasks,
            cpus=job_class.cpus,
            gpus=job_class.gpus,
            ram_gb=job_class.ram_gb,
            image=f"{job_class.name}-{drawn.image}",
            image_gb=job_class.image_gb,
            one_zone=job_class.one_zone,
            zone=self._zones[drawn.zone] if job_class.in_a_zone else None,
            spread=job_class.spread,
            spot=job_class.spot,
            estimate_s=0.0 if job_class.shape == SERVICE else job_class.run_s,
            checkpoint_s=job_class.checkpoint_s,
            save_s=job_class.save_s,
        )

    def _draw_values(self, job: str, job_class: JobClass) -> _DrawnValues:
        rng = random.Random(f"{self._settings.seed}/{job}")
        tasks = rng.choices(job_class.sizes, job_class.weights or None)[0]
        team, image = rng.randrange(self._settings.teams.count), rng.randrange(job_class.images)
        return _DrawnValues(tasks, team, image, rng.randrange(len(self._zones)))

    def _uniform_value(self, job: str, index: int) -> float:
        return xxhash.xxh64_intdigest(f"{job}/{index}".encode(), self._settings.seed) / 2**64


def team_name(number: int) -> str:
    """Name of a team, such as `team-007`."""
    return f"team-{number:03d}"


def _job_id(class_number: int, count: int) -> str:
    return f"req-{class_number}{count:0{_NUMBER_DIGITS}d}"
