"""Detects workers that can be reached in one direction only. Pure.

A worker's reports may arrive while the answers and direct commands to it are lost. It then never starts what it is
sent, however often that is repeated, and nothing that an older leader placed there is ever proven gone, because its
reports never carry this leader's token. Elapsed time alone frees nothing: tasks that it never began are placed
elsewhere on the strength of its own reports, and a machine that received no answer for longer than its lease is
returned, which is the proof for the rest.

Conversely, calls may reach a worker that reaches no controller. Such a worker can be told to stop tasks but never to
start any, and its lease runs out. Tasks placed there whose start was never sent go elsewhere; for the others, calls
under this leader's token prove what is gone. The machine is returned after its lease plus the time that a replacement
takes to boot.
"""

from collections.abc import Callable, Iterable, Iterator

from tideusher.clock import SECOND_US, to_s
from tideusher.core.model.records import UP, Machine

#: After this many ignored answers in a row the worker counts as unresponsive; after the pause it is tried again.
UNRESPONSIVE_AFTER = 3
RETRY_PAUSE_US = 10 * SECOND_US
#: After this many missing reports in a row the worker may be unable to report.
MISSING_REPORTS = 3


def record_ignored_answer(machine: Machine, report_us: int, now_us: int) -> bool:
    """Record that an answer had no effect; returns True if the worker now counts as unresponsive.

    Reports that a network partition held up arrive all at once when it ends, before any of their answers could
    arrive, so they count as one. Otherwise no machine of the zone would get work for the first seconds after a
    partition.
    """
    if machine.ignored_answers and now_us - machine.ignored_answer_us < report_us // 2:
        return False
    machine.ignored_answers += 1
    machine.ignored_answer_us = now_us
    if machine.ignored_answers < UNRESPONSIVE_AFTER:
        return False
    machine.unresponsive_until_us = now_us + RETRY_PAUSE_US
    return True


def record_effective_answer(machine: Machine) -> None:
    """Record that the worker carried out an answer."""
    machine.ignored_answers = machine.unresponsive_until_us = 0


def mark_unproven(machine: Machine, now_us: int) -> None:
    """Withhold work from a machine whose only report was sent before it can have received an answer of ours."""
    machine.unresponsive_until_us = now_us + RETRY_PAUSE_US


def stopped_reporting(machine: Machine, report_us: int, heard_us: Callable[[Machine], int], now_us: int) -> bool:
    """True if a machine that used to report has missed several reports, whether or not calls reach it.

    `heard_us`: when any controller last received a report of it. A machine may be kept alive by a controller from
    which nothing reaches us; one such machine was once taken for unable to report, and returned with its tasks.
    """
    since_us = now_us - MISSING_REPORTS * report_us - SECOND_US
    return 0 < machine.last_report_us < since_us and heard_us(machine) < since_us


def is_unresponsive(machine: Machine, now_us: int) -> bool:
    """True if nothing is to be placed on the machine because it would not be started."""
    return now_us < machine.unresponsive_until_us


def machines_out_of_contact(
    machines: Iterable[Machine],
    lease_us: int,
    report_us: int,
    now_us: int,
    boot_us: Callable[[Machine], int] = lambda machine: 0,
    heard_us: Callable[[Machine], int] = lambda machine: 0,
) -> Iterator[tuple[Machine, str]]:
    """Yields the machines to return, each with the reason.

    Either the machine holds tasks of an older leader and received no answer for a lease, or calls reach it and no
    controller has received a report of it for a lease plus the boot time of a replacement.
    """
    for machine in machines:
        if machine.phase == UP and 0 < machine.last_report_us < machine.last_contact_us:
            since_us = now_us - lease_us - boot_us(machine)
            reached = now_us - machine.last_contact_us < lease_us
            if reached and machine.last_report_us < since_us and heard_us(machine) < since_us:
                silent_s = to_s(now_us - machine.last_report_us)
                yield machine, f"calls reach it and it has not reported for {silent_s:.0f} s"
                continue
        behind_us = now_us - machine.behind_us if machine.behind_us else 0
        in_contact = now_us - machine.last_contact_us < lease_us
        if machine.phase == UP and machine.tasks and in_contact and behind_us > lease_us + 2 * report_us:
            yield machine, f"it reports and has received no answer of this leader for {to_s(behind_us):.0f} s"
