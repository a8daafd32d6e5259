"""Draws the settings of a soak run from its seed alone: fleet, job classes and overlapping faults. Pure functions."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from tideusher.scale.settings import (
    CloudLimits,
    ControlSettings,
    Fault,
    FaultKind,
    FleetSettings,
    JobClass,
    Link,
    LinkSettings,
    MachineSettings,
    Mode,
    Priority,
    ScaleSettings,
    Shape,
    StateLimits,
    Target,
    TeamSettings,
    UserSettings,
    WorkerTimes,
)
from tideusher.wire.jobs import BATCH, SERVICE

#: Fault-free time before the first fault, after the last one, and after the last one if no checked rule needs a quiet
#: end.
CALM_S, QUIET_S, SHORT_QUIET_S = 10.0, 34.0, 8.0
#: Time from the start of one group of faults to the next.
GROUP_INTERVAL_S = (5.0, 11.0)
#: Faults of a group begin within this time of each other.
GROUP_SPREAD_S = 3.0
#: Workers of every tenth seed, and the range for other seeds.
LARGE_FLEET_WORKERS, LARGE_FLEET_EVERY = 300, 10
WORKERS = (20, 48)
#: Longest duration of a fault of machines.
MAX_MACHINE_FAULT_S = 12.0
#: Run time far beyond `cancel_s`: only such tasks reveal that a cancellation did not reach everyone.
LONG_RUN_S = 120.0
#: Jobs that are cancelled between their place and their start, which takes up to `report_s`: a start then follows the
#: confirmation within moments, if any does.
BRIEF, BRIEF_S = "brief", 1.5
#: Up to this many workers a larger fleet gets more jobs, beyond it larger ones. Fleets below it run with the small
#: limits of the state service, others with the large ones.
MORE_JOBS_UP_TO = 400
SMALL_STATE = StateLimits(rps=200.0, write_rps=50.0, latency_ms=3.0)
LARGE_STATE = StateLimits(rps=500.0, write_rps=90.0, latency_ms=3.0)
#: Time between bursts of work, and between replacements of a machine in a fleet of 40.
BURST_INTERVAL_S, REPLACE_INTERVAL_S = (2.0, 6.0), 4.0
_DAY_S = 86_400.0

Draw = Callable[[random.Random, float, int], list[Fault]]


@dataclass(frozen=True, slots=True)
class Plan:
    """Seed and parameters of a run."""

    seed: int
    duration_s: float
    port: int
    workers: int | None = None
    quiet_s: float = QUIET_S

    @property
    def last_s(self) -> float:
        """Time by which the last fault is over."""
        return self.duration_s - self.quiet_s


def draw(plan: Plan) -> ScaleSettings:
    """Returns the settings of the run."""
    rng = random.Random(f"soak/{plan.seed}")
    controllers = rng.choice((3, 3, 3, 5))
    large_fleet = plan.seed % LARGE_FLEET_EVERY == 0
    workers = rng.randint(*WORKERS)
    workers = plan.workers or (LARGE_FLEET_WORKERS if large_fleet else workers)
    return ScaleSettings(
        name=f"soak-{plan.seed}",
        duration_s=plan.duration_s,
        quiet_s=plan.quiet_s,
        seed=plan.seed,
        port=plan.port,
        control=ControlSettings(controllers, restart_s=rng.choice((0.2, 1.0, 3.0))),
        fleet=FleetSettings(workers, zones_per_region=3, hollow_processes=2 + workers // 300, real_workers=0),
        machine=MachineSettings(boot_s=rng.choice((1.0, 2.0, 5.0)), fetch_gb_per_s=1.0),
        links=LinkSettings(same_zone_ms=0.1, cross_zone_ms=rng.choice((0.3, 3.0))),
        state=SMALL_STATE if workers < MORE_JOBS_UP_TO else LARGE_STATE,
        cloud=CloudLimits(rps=10.0, list_lag_s=2.0, latency_ms=50.0),
        workers=WorkerTimes(report_s=1.0, lease_s=7.0, gang_wait_s=15.0, gang_peer_s=3.0, cancel_s=20.0),
        teams=TeamSettings(count=3, gpus=workers * 0.4, gpus_max=max(16.0, workers * 0.7)),
        users=UserSettings(close_looks=0.5, hasty=0.3, repeats=0.5, poll_s=1.5),
        classes=classes(workers),
        faults=faults(rng, plan.last_s, controllers) + churn(rng, plan.last_s, workers),
    )


def _job_scale(workers: int) -> float:
    """Returns the number of jobs relative to 40 workers. It is capped: jobs of larger fleets get larger instead."""
    return min(workers, MORE_JOBS_UP_TO) / 40


def classes(workers: int) -> list[JobClass]:
    """Returns job classes of every kind, sized to load about all machines of the fleet."""
    scale = _job_scale(workers)
    size_factor = max(1, workers // MORE_JOBS_UP_TO)

    def sized(
        name: str, shape: Shape, priority: Priority, sizes: list[int], initial: int, **options: Any
    ) -> JobClass:
        options["per_minute"] *= scale
        if shape == BATCH and sizes != [1]:
            sizes = [size * size_factor for size in sizes]
        return JobClass(name, shape, priority, sizes, images=3, initial=round(initial * scale), **options)

    return [
        sized("serve", "service", "critical", [1, 2, 3], 5, per_minute=4, cpus=4.0, gpus=1.0),
        sized("apart", "service", "critical", [2, 4], 3, per_minute=2, cpus=3.0, gpus=1.0, spread=True),
        sized("spot", "batch", "standard", [1, 3, 6], 4, per_minute=16, cpus=4.0, gpus=1.0, run_s=8.0, spot=True,
              cancelled=0.25),
        sized("bound", "batch", "urgent", [1, 2, 4], 2, per_minute=12, cpus=3.0, gpus=1.0, run_s=6.0, in_a_zone=True,
              cancelled=0.25),
        sized("gang", "gang", "urgent", [2, 4], 2, per_minute=6, cpus=5.0, gpus=2.0, run_s=9.0, one_zone=True,
              cancelled=0.25, checkpoint_s=5.0, save_s=1.0),
        sized("long", "batch", "standard", [1, 2], 3, per_minute=10, cpus=2.0, run_s=LONG_RUN_S, cancelled=0.8),
        sized("small", "batch", "best_effort", [1], 4, per_minute=40, cpus=1.0, run_s=3.0, spot=True, cancelled=0.25),
        sized(BRIEF, "batch", "critical", [1], 4, per_minute=60, cpus=0.1, gpus=0.05, ram_gb=0.1, run_s=LONG_RUN_S,
              image_gb=0.001, cancelled=1.0, cancel_within_s=BRIEF_S),
    ]  # fmt: skip


def churn(rng: random.Random, last_s: float, workers: int) -> list[Fault]:
    """Returns bursts of work and machine replacements, so that rentals are in progress at all times."""
    scale = _job_scale(workers)
    found = [Fault(CALM_S, "replace", per_day=_DAY_S / REPLACE_INTERVAL_S * scale)]
    at_s = CALM_S
    while at_s < last_s:
        finite = [job_class.name for job_class in classes(workers) if job_class.shape != SERVICE]
        name = rng.choice([job_class for job_class in finite if job_class != BRIEF])
        found.append(Fault(at_s, "burst", count=max(2, round(rng.randint(2, 8) * scale)), job_class=name))
        at_s += rng.uniform(*BURST_INTERVAL_S)
    return found


# ---------------------------------------------------------------- faults


def faults(rng: random.Random, last_s: float, controllers: int) -> list[Fault]:
    """Returns successive groups of one to three overlapping faults, among them series of leader changes."""
    found: list[Fault] = []
    at_s = CALM_S
    while at_s < last_s - 4.0:
        group: list[Fault] = []
        for draw_fault in rng.sample(FAULT_DRAWS, rng.choice((1, 2, 2, 3))):
            group += draw_fault(rng, at_s + GROUP_SPREAD_S * rng.random(), controllers)
        found += [fault for fault in group if _ends_s(fault) < last_s]
        at_s += rng.uniform(*GROUP_INTERVAL_S)
    return sorted(found, key=lambda fault: fault.at_s)


def _ends_s(fault: Fault) -> float:
    return fault.at_s + (fault.for_s if fault.kind not in ("kill", "machine") else fault.back_s)


def _targeted(rng: random.Random, fault: Fault, controllers: int, may_hit_all: bool = False) -> list[Fault]:
    """Targets the leader half of the time, else one controller or, with `may_hit_all`, sometimes all of them."""
    target: Target = rng.choice(("leader", "leader", "one", "all" if may_hit_all else "one"))
    return [msgspec.structs.replace(fault, target=target, number=rng.randrange(controllers))]


def _kill(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
    return _targeted(rng, Fault(at_s, "kill", back_s=rng.choice((0.05, 0.5, 3.0))), controllers, may_hit_all=True)


def _pause(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
    for_s = rng.choice((1.0, 2.5, 4.0, 6.0, 12.0, 20.0))
    return _targeted(rng, Fault(at_s, "pause", for_s=for_s), controllers, may_hit_all=True)


def _pause_in_outage(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
    """The leader is paused during an outage: what the outage does to its leadership shows when the leader resumes."""
    out_s = rng.uniform(4.0, 9.0)
    pause = Fault(at_s + 0.5 + rng.random(), "pause", for_s=out_s - 2.0 * rng.random())
    return [Fault(at_s, "state_out", for_s=out_s), pause]


def _leaders_in_series(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
    kinds: list[FaultKind] = [rng.choice(("kill", "pause")) for _ in range(3)]
    return [Fault(at_s + 2.5 * number, kind, for_s=4.0, back_s=0.2) for number, kind in enumerate(kinds)]


def _cut(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
    link: Link = rng.choice(("state", "peers", "peers", "cloud", "workers", "users"))
    mode: Mode = rng.choice(("refuse", "hold"))
    return _targeted(rng, Fault(at_s, "cut", for_s=rng.uniform(2.0, 10.0), link=link, mode=mode), controllers)


def _state(kind: FaultKind) -> Draw:
    def drawn(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
        for_s, share, delay_s = rng.uniform(2.0, 9.0), rng.choice((0.1, 0.3, 0.6)), rng.choice((0.2, 1.0))
        return _targeted(rng, Fault(at_s, kind, for_s=for_s, share=share, delay_s=delay_s), controllers)

    return drawn


def _late_answers(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
    """Transactions are answered late, each alone, while the others cannot connect to the leader and replace it."""
    share, delay_s = rng.choice((0.3, 0.6)), rng.choice((1.5, 2.5))
    late = Fault(at_s, "state_late_answer", for_s=9.0, share=share, delay_s=delay_s)
    cuts = [
        Fault(at_s + after_s + rng.random(), "cut", for_s=2.0, link="peers", mode="refuse", target="leader")
        for after_s in (0.5, 3.5, 6.5)
    ]
    return [late, *cuts]


def _machines(kind: FaultKind) -> Draw:
    def drawn(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
        return [Fault(at_s, kind, for_s=rng.uniform(2.0, MAX_MACHINE_FAULT_S), count=rng.randint(1, 6))]

    return drawn


def _messages(kind: FaultKind) -> Draw:
    def drawn(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
        return [Fault(at_s, kind, for_s=rng.uniform(4.0, 12.0), share=rng.choice((0.1, 0.3)))]

    return drawn


def _zone(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
    return [Fault(at_s, "zone", zone=rng.randrange(3), for_s=rng.uniform(2.0, 6.0))]


FAULT_DRAWS: tuple[Draw, ...] = (
    _kill,
    _kill,
    _pause,
    _pause,
    _pause_in_outage,
    _leaders_in_series,
    _cut,
    _cut,
    _cut,
    _state("state_out"),
    _state("state_refuse"),
    _state("state_slow"),
    _state("state_late"),
    _state("state_lost"),
    _late_answers,
    _machines("machine"),
    _machines("hang"),
    _machines("deaf"),
    _machines("mute"),
    _machines("recall"),
    _messages("copies"),
    _messages("late_calls"),
    _zone,
)
