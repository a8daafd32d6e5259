"""A job keeps away from a machine on which it failed for a time only, and is never left without any machine."""

import pytest

from standins import LeaderHarness, job
from tideusher.clock import SECOND_US
from tideusher.core.decide.task_failures import LAST_AVOIDED_US, at_fault, avoided_machines, avoided_until_us
from tideusher.core.lead.soft_state import ReceivedSoftState, collect, restore
from tideusher.core.model.records import MachineFailures

#: No job may wait longer beside a machine that fits and has room (the users' page on meetings of troubles).
LONGEST_WAIT_S = 90


class Host:
    """A machine that reports every second and fails what it starts until a given time."""

    def __init__(self, harness, name="host-1"):
        self.harness, self.name, self.serial = harness, name, 1
        self.sound_us = 0  # from when on what it starts does not fail
        harness.report(name, 1)

    def pass_second(self):
        """Lets a second pass with a report and a pass of the scheduler."""
        harness = self.harness
        harness.clock.pass_s(1.0)
        self.serial += 1
        faulty = harness.clock.us < self.sound_us
        machine = harness.cluster.machines[self.name]
        listed = [
            (task.name, task.attempt, "exited" if faulty else "running", "error" if faulty else None)
            for task in machine.tasks.values()
            if task.sent and (task.job.spec.id != "req-900001" or not faulty)
        ]
        harness.report(self.name, self.serial, *listed)
        harness.scheduler.schedule(harness.clock.now_us())
        harness.commit()


@pytest.mark.parametrize("faulty_s", [4, 8, 30, 135])
def test_job_that_failed_on_the_only_machine_runs_there_soon_after_that_is_sound(faulty_s):
    """The machine was left out for ever: the job waited beside it until it was cancelled."""
    harness = LeaderHarness()
    host = Host(harness)
    harness.place(job("service", 1, id="req-900001", estimate_s=0.0, team="blue"))
    host.pass_second()
    host.sound_us = harness.clock.us + faulty_s * SECOND_US
    spec = job()
    placed = harness.submit(spec)
    for _ in range(faulty_s + 1):
        host.pass_second()
    assert placed.failures
    for _ in range(LONGEST_WAIT_S):
        host.pass_second()
    assert placed.live and placed.live[0].state == "running"


def test_machine_is_avoided_for_a_growing_time_that_has_an_end():
    first, second, last = (avoided_until_us(MachineFailures(times, 0)) for times in (1, 2, 1000))
    assert 0 < first < second < last == LAST_AVOIDED_US < LONGEST_WAIT_S * SECOND_US
    harness = LeaderHarness()
    one = harness.submit(job())
    one.record_failure_on("host-1", 0)
    one.record_failure_on("host-2", 5 * SECOND_US)
    assert avoided_machines(one, first - 1) == {"host-1", "host-2"} and avoided_machines(one, first) == {"host-2"}


def test_job_that_met_three_faulty_machines_gets_another_once_they_are_gone():
    """It counted as the one at fault, for which nothing was rented: its machines went back and it waited for ever."""
    harness = LeaderHarness()
    placed = harness.submit(job())
    for name in ("host-7", "host-8", "host-9"):
        placed.record_failure_on(name, harness.clock.us)
    assert at_fault(placed)
    harness.scheduler.schedule(harness.clock.now_us())
    harness.commit()
    rentals = list(harness.cluster.rentals.values())
    assert sum(rental.count for rental in rentals) == 1
    for _ in range(5):  # the machine is asked for once
        harness.clock.pass_s(1.0)
        harness.scheduler.schedule(harness.clock.now_us())
    assert list(harness.cluster.rentals.values()) == rentals


def test_next_leader_avoids_a_machine_for_the_rest_of_the_time_only():
    harness = LeaderHarness()
    spec = job()
    harness.place(spec)
    engine = harness.engine()
    one = engine.cluster.jobs[spec.id]
    one.record_failure_on("host-1", harness.clock.us, times=2)
    until_us = avoided_until_us(one.error_machines["host-1"])
    harness.clock.pass_s(3.0)
    soft = collect(engine, harness.clock.us)
    received = ReceivedSoftState(soft, harness.clock.us)
    harness.clock.pass_s(2.0)
    following = harness.engine()
    assert restore(following, received, harness.clock.us)
    inherited = following.cluster.jobs[spec.id]
    assert inherited.error_machines["host-1"].times == 2
    assert avoided_until_us(inherited.error_machines["host-1"]) == until_us
