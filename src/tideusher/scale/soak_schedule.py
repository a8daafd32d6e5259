"""A run of the soak, drawn from its seed alone: its fleet, its jobs, and faults that overlap. Pure."""

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

#: Before the first fault; at the end, when all are over; and where nothing is judged that needs a quiet end.
CALM_S, QUIET_S, SHORT_QUIET_S = 10.0, 34.0, 8.0
#: From one group of faults to the next.
GROUPS_APART_S = (5.0, 11.0)
#: Faults of a group begin within so long of each other.
WITHIN_S = 3.0
#: Every tenth seed has so many workers, others between these.
MANY_WORKERS, MANY_EACH = 300, 10
WORKERS = (20, 48)
MOST_HANG_S = 12.0
#: Tasks that outlive `cancel_s` by far: only these show a cancellation of which somebody was not told.
LONG_S = 120.0
#: Up to so many workers a larger fleet has more jobs, beyond it larger ones; what the state service takes.
PARTS_OF = 400
SMALL_STATE = StateLimits(rps=200.0, write_rps=50.0, latency_ms=3.0)
LARGE_STATE = StateLimits(rps=500.0, write_rps=90.0, latency_ms=3.0)
#: Bursts of work come so far apart; of 40 machines one is replaced this often.
BURSTS_APART_S, REPLACED_S = (2.0, 6.0), 4.0
_DAY_S = 86_400.0

Draw = Callable[[random.Random, float, int], list[Fault]]


@dataclass(frozen=True, slots=True)
class Plan:
    """What is asked of a run beside its seed."""

    seed: int
    duration_s: float
    port: int
    workers: int | None = None
    quiet_s: float = QUIET_S

    @property
    def last_s(self) -> float:
        """When the last fault is over."""
        return self.duration_s - self.quiet_s


def draw(plan: Plan) -> ScaleSettings:
    """The run's settings."""
    rng = random.Random(f"soak/{plan.seed}")
    controllers = rng.choice((3, 3, 3, 5))
    many = plan.seed % MANY_EACH == 0
    workers = rng.randint(*WORKERS)
    workers = plan.workers or (MANY_WORKERS if many else workers)
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
        state=SMALL_STATE if workers < PARTS_OF else LARGE_STATE,
        cloud=CloudLimits(rps=10.0, list_lag_s=2.0, latency_ms=50.0),
        workers=WorkerTimes(report_s=1.0, lease_s=7.0, gang_wait_s=15.0, gang_peer_s=3.0, cancel_s=20.0),
        teams=TeamSettings(count=3, gpus=workers * 0.4, gpus_max=max(16.0, workers * 0.7)),
        users=UserSettings(close_looks=0.5, hasty=0.3, repeats=0.5, poll_s=1.5),
        classes=classes(workers),
        faults=faults(rng, plan.last_s, controllers) + churn(rng, plan.last_s, workers),
    )


def _part(workers: int) -> float:
    """How many times as many jobs there are as for 40 workers; beyond a few hundred they are larger, not more."""
    return min(workers, PARTS_OF) / 40


def classes(workers: int) -> list[JobClass]:
    """Work of every kind, for about as many machines as there are."""
    part = _part(workers)
    wider = max(1, workers // PARTS_OF)

    def some(name: str, shape: Shape, priority: Priority, sizes: list[int], initial: int, **more: Any) -> JobClass:
        more["per_minute"] *= part
        if shape == BATCH and sizes != [1]:
            sizes = [size * wider for size in sizes]
        return JobClass(name, shape, priority, sizes, images=3, initial=round(initial * part), **more)

    return [
        some("serve", "service", "critical", [1, 2, 3], 5, per_minute=4, cpus=4.0, gpus=1.0),
        some("apart", "service", "critical", [2, 4], 3, per_minute=2, cpus=3.0, gpus=1.0, spread=True),
        some("spot", "batch", "standard", [1, 3, 6], 4, per_minute=16, cpus=4.0, gpus=1.0, run_s=8.0, spot=True,
             cancelled=0.25),
        some("bound", "batch", "urgent", [1, 2, 4], 2, per_minute=12, cpus=3.0, gpus=1.0, run_s=6.0, in_a_zone=True,
             cancelled=0.25),
        some("gang", "gang", "urgent", [2, 4], 2, per_minute=6, cpus=5.0, gpus=2.0, run_s=9.0, one_zone=True,
             cancelled=0.25, checkpoint_s=5.0, save_s=1.0),
        some("long", "batch", "standard", [1, 2], 3, per_minute=10, cpus=2.0, run_s=LONG_S, cancelled=0.8),
        some("small", "batch", "best_effort", [1], 4, per_minute=40, cpus=1.0, run_s=3.0, spot=True, cancelled=0.25),
    ]  # fmt: skip


def churn(rng: random.Random, last_s: float, workers: int) -> list[Fault]:
    """Work that comes at once and machines that are replaced, so that something is rented at all times."""
    part = _part(workers)
    found = [Fault(CALM_S, "replace", per_day=_DAY_S / REPLACED_S * part)]
    at_s = CALM_S
    while at_s < last_s:
        name = rng.choice([one.name for one in classes(workers) if one.shape != SERVICE])
        found.append(Fault(at_s, "burst", count=max(2, round(rng.randint(2, 8) * part)), job_class=name))
        at_s += rng.uniform(*BURSTS_APART_S)
    return found


# ---------------------------------------------------------------- faults


def faults(rng: random.Random, last_s: float, controllers: int) -> list[Fault]:
    """Groups of two or three that overlap, one after the other; leaders that change in series among them."""
    found: list[Fault] = []
    at_s = CALM_S
    while at_s < last_s - 4.0:
        group: list[Fault] = []
        for one in rng.sample(KINDS, rng.choice((1, 2, 2, 3))):
            group += one(rng, at_s + WITHIN_S * rng.random(), controllers)
        found += [fault for fault in group if _ends_s(fault) < last_s]
        at_s += rng.uniform(*GROUPS_APART_S)
    return sorted(found, key=lambda fault: fault.at_s)


def _ends_s(fault: Fault) -> float:
    return fault.at_s + (fault.for_s if fault.kind not in ("kill", "machine") else fault.back_s)


def _aimed(rng: random.Random, fault: Fault, controllers: int, at_all: bool = False) -> list[Fault]:
    """At the leader, half of the time, else at any controller or, perhaps, at all of them."""
    target: Target = rng.choice(("leader", "leader", "one", "all" if at_all else "one"))
    return [msgspec.structs.replace(fault, target=target, number=rng.randrange(controllers))]


def _kill(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
    return _aimed(rng, Fault(at_s, "kill", back_s=rng.choice((0.05, 0.5, 3.0))), controllers, at_all=True)


def _pause(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
    for_s = rng.choice((1.0, 2.5, 4.0, 6.0, 12.0, 20.0))
    return _aimed(rng, Fault(at_s, "pause", for_s=for_s), controllers, at_all=True)


def _pause_in_outage(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
    """What an outage does to a leadership shows when its leader goes on."""
    out_s = rng.uniform(4.0, 9.0)
    pause = Fault(at_s + 0.5 + rng.random(), "pause", for_s=out_s - 2.0 * rng.random())
    return [Fault(at_s, "state_out", for_s=out_s), pause]


def _leaders_in_series(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
    kinds: list[FaultKind] = [rng.choice(("kill", "pause")) for _ in range(3)]
    return [Fault(at_s + 2.5 * number, kind, for_s=4.0, back_s=0.2) for number, kind in enumerate(kinds)]


def _cut(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
    link: Link = rng.choice(("state", "peers", "peers", "cloud", "workers", "users"))
    mode: Mode = rng.choice(("refuse", "hold"))
    return _aimed(rng, Fault(at_s, "cut", for_s=rng.uniform(2.0, 10.0), link=link, mode=mode), controllers)


def _state(kind: FaultKind) -> Draw:
    def drawn(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
        for_s, share, delay_s = rng.uniform(2.0, 9.0), rng.choice((0.1, 0.3, 0.6)), rng.choice((0.2, 1.0))
        return _aimed(rng, Fault(at_s, kind, for_s=for_s, share=share, delay_s=delay_s), controllers)

    return drawn


def _machines(kind: FaultKind) -> Draw:
    def drawn(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
        return [Fault(at_s, kind, for_s=rng.uniform(2.0, MOST_HANG_S), count=rng.randint(1, 6))]

    return drawn


def _messages(kind: FaultKind) -> Draw:
    def drawn(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
        return [Fault(at_s, kind, for_s=rng.uniform(4.0, 12.0), share=rng.choice((0.1, 0.3)))]

    return drawn


def _zone(rng: random.Random, at_s: float, controllers: int) -> list[Fault]:
    return [Fault(at_s, "zone", zone=rng.randrange(3), for_s=rng.uniform(2.0, 6.0))]


KINDS: tuple[Draw, ...] = (
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
    _machines("machine"),
    _machines("hang"),
    _machines("deaf"),
    _machines("mute"),
    _machines("recall"),
    _messages("copies"),
    _messages("late_calls"),
    _zone,
)
