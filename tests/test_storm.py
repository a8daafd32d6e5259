"""Seeded random faults over all of the leader's logic: no rule may break."""

import pytest

from standins import Harness, job
from tideusher.core.model import keys
from tideusher.core.model.records import JOB_DONE, OPEN


def random_job(h: Harness):
    r = h.rng
    shape = r.choice(["batch", "batch", "gang", "service"])
    return job(
        shape,
        tasks=r.choice([1, 2, 3, 5]) if shape != "batch" else r.choice([1, 4, 9]),
        team=r.choice(["red", "blue", "poor"]),
        priority={"batch": "standard", "gang": "urgent", "service": "critical"}[shape],
        one_zone=shape == "gang" and r.random() < 0.7,
        spread=shape == "service",
        spot=shape == "batch",
        zone=r.choice([None, None, "b"]) if shape == "batch" else None,
        estimate_s=float(r.choice([3, 10, 25])) if shape != "service" else 0.0,
        checkpoint_s=5.0 if shape == "gang" else 0.0,
        save_s=1.0 if shape == "gang" else 0.0,
        job_class={"service": "web"}.get(shape, "fit"),
    )


@pytest.mark.parametrize("shared", [False, True], ids=["own", "shared"])
@pytest.mark.parametrize("seed", range(12))
def test_no_rule_breaks_under_random_faults(seed, shared):
    h = Harness(seed, faults=0.12, shared=shared)
    submitted = []
    for second in range(240):
        if second < 160 and h.rng.random() < 0.25:
            submitted.append(h.submit(random_job(h)))
        if submitted and h.rng.random() < 0.04:
            h.cancel(h.rng.choice(submitted))
        if h.rng.random() < 0.02:
            h.new_leader()
        if h.workers and h.rng.random() < 0.02:
            h.rng.choice(list(h.workers.values())).dead = True
        if h.workers and h.rng.random() < 0.01:
            h.rng.choice(list(h.workers.values())).sick = True
        h.step()
    assert sum(len(tasks) for tasks in h.rules.done_tasks.values()) > 20


@pytest.mark.parametrize("shared", [False, True], ids=["own", "shared"])
def test_all_finite_jobs_end_once_the_faults_are_over(shared):
    h = Harness(99, faults=0.15, shared=shared)
    finite = [h.submit(job("batch", 9, spot=True, estimate_s=5.0)) for _ in range(3)]
    finite += [h.submit(job("gang", 4, one_zone=True, estimate_s=5.0, team="blue")) for _ in range(2)]
    for second in range(60):
        if second in (15, 35):
            h.new_leader()
        h.step()
    h.faults = 0.0
    for _ in range(150):
        h.step()
    assert {h.state.items[keys.job_key(spec.id)][0]["st"] for spec in finite} == {JOB_DONE}
    leftovers = [key for key in h.state.items if key.startswith((keys.CHUNK_PREFIX, keys.PAGE_PREFIX))]
    assert leftovers == []


def test_a_service_keeps_all_replicas_over_a_change_of_leader():
    h = Harness(5, faults=0.0)
    spec = h.submit(job("service", 4, spread=True, priority="critical", job_class="web", estimate_s=0.0))
    for _ in range(30):
        h.step()
    before = {(t.index, t.attempt) for w in h.workers.values() for t in w.on_machine()}
    assert len(before) == 4
    fleet = set(h.workers)
    h.new_leader()
    for _ in range(40):
        h.step()
    after = {(t.index, t.attempt) for w in h.workers.values() for t in w.on_machine()}
    # A new leader once took the inherited machines for ones that never booted, and returned them.
    assert after == before and fleet & set(h.workers)
    assert h.state.items[keys.job_key(spec.id)][0]["st"] == OPEN
