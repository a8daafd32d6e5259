"""The users' jobs of a scale run, all derived from its seed: whoever knows a job's id knows its description."""

import random
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from tideusher.clock import to_us
from tideusher.scale.layout import Layout
from tideusher.scale.settings import JobClass, ScaleSettings
from tideusher.wire.jobs import GANG, SERVICE, JobSpec

#: An id is the class's number and the job's within it.
_DIGITS = 7
#: Tasks run from half to one and a half times their class's time.
_LEAST, _SPREAD = 0.5, 1.0
_CANCEL_WITHIN_S = 30.0


@dataclass(frozen=True, slots=True, order=True)
class Submission:
    """A job that a user submits, and perhaps cancels."""

    at_us: int
    job: str
    cancel_us: int | None = None


class _Draw(NamedTuple):
    tasks: int
    team: int
    image: int
    zone: int


class Workload:
    """Jobs by their id, and when which of them come."""

    def __init__(self, settings: ScaleSettings) -> None:
        self._settings, self._zones = settings, Layout(settings).zones
        self._specs: dict[str, JobSpec] = {}

    def job_class(self, job: str) -> JobClass:
        """The class of a job; raises IndexError or ValueError for an id that is none of ours."""
        return self._settings.classes[int(job[len("req-") : -_DIGITS])]

    def spec(self, job: str) -> JobSpec:
        """A job's description."""
        spec = self._specs.get(job)
        if spec is None:
            spec = self._specs[job] = self._describe(job, self.job_class(job))
        return spec

    def run_us(self, job: str, index: int) -> int:
        """How long a task runs once it has begun; a gang's all run as long."""
        spec, one = self.spec(job), self.job_class(job)
        member = 0 if spec.shape == GANG else index
        return to_us(one.run_s * (_LEAST + _SPREAD * self._uniform(job, member)))

    def submissions(self) -> list[Submission]:
        """All jobs of the run in the order in which they come."""
        found = []
        for number, one in enumerate(self._settings.classes):
            rng = random.Random(f"{self._settings.seed}/{number}/arrivals")
            for count, at_s in enumerate(self._times(one, rng)):
                cancel = rng.random() < one.cancelled
                cancel_us = to_us(at_s + rng.random() * _CANCEL_WITHIN_S) if cancel else None
                found.append(Submission(to_us(at_s), _job_id(number, count), cancel_us))
        return sorted(found)

    def _times(self, one: JobClass, rng: random.Random) -> list[float]:
        """Those that are there at the start, those that keep coming, and the bursts."""
        times = [0.0] * one.initial
        at_s = 0.0
        while one.per_minute:
            at_s += rng.expovariate(one.per_minute / 60)
            if at_s >= self._settings.duration_s:
                break
            times.append(at_s)
        for fault in self._settings.faults:
            if fault.kind == "burst" and fault.job_class == one.name:
                times += [fault.at_s] * fault.count
        return times

    def _describe(self, job: str, one: JobClass) -> JobSpec:
        drawn = self._draw(job, one)
        return JobSpec(
            id=job,
            job_class=one.name,
            team=team_name(drawn.team),
            shape=one.shape,
            priority=one.priority,
            tasks=drawn.tasks,
            cpus=one.cpus,
            gpus=one.gpus,
            ram_gb=one.ram_gb,
            image=f"{one.name}-{drawn.image}",
            image_gb=one.image_gb,
            one_zone=one.one_zone,
            zone=self._zones[drawn.zone] if one.in_a_zone else None,
            spread=one.spread,
            spot=one.spot,
            estimate_s=0.0 if one.shape == SERVICE else one.run_s,
            checkpoint_s=one.checkpoint_s,
            save_s=one.save_s,
        )

    def _draw(self, job: str, one: JobClass) -> _Draw:
        rng = random.Random(f"{self._settings.seed}/{job}")
        tasks = rng.choices(one.sizes, one.weights or None)[0]
        team, image = rng.randrange(self._settings.teams.count), rng.randrange(one.images)
        return _Draw(tasks, team, image, rng.randrange(len(self._zones)))

    def _uniform(self, job: str, index: int) -> float:
        return xxhash.xxh64_intdigest(f"{job}/{index}".encode(), self._settings.seed) / 2**64


def team_name(number: int) -> str:
    """`team-007`"""
    return f"team-{number:03d}"


def _job_id(class_number: int, count: int) -> str:
    return f"req-{class_number}{count:0{_DIGITS}d}"
