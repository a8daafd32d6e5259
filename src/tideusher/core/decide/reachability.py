"""Does a worker that reports hear what it is answered, and does one that answers calls report? Pure.

Its reports may arrive while answers and direct commands to it are lost. Whatever it is told to start then never does,
and was told it again and again; and nothing that an older leader placed there is ever proven gone, since it never
shows our token. Elapsed time frees nothing here either: work that it never began goes elsewhere by its own reports,
and a machine that has not heard us for longer than its lease is returned, which is the proof for the rest.

A worker may reach no controller while calls reach it. Such a mute one can be told to stop, never to start anything,
and its lease runs out. What was placed there and never told goes elsewhere; for the rest, calls under our token prove
what is gone. It is returned after its lease and as long as a replacement takes.
"""

from collections.abc import Callable, Iterable, Iterator

from tideusher.clock import SECOND_US, to_s
from tideusher.core.model.records import UP, Machine

#: So many answers in a row without effect, and the worker is taken for deaf; after a rest it is tried again.
DEAF_AFTER = 3
REST_US = 10 * SECOND_US
#: So many reports in a row that do not come, and it may be mute.
MUTE_REPORTS = 3


def record_ignored_answer(machine: Machine, report_us: int, now_us: int) -> bool:
    """An answer had no effect: is the worker deaf?

    Reports that a cut held up come all at once when it is over, and none of their answers had time to arrive: they
    count as one. All machines of a zone would else get no work for the first seconds after its cut.
    """
    if machine.ignored_answers and now_us - machine.ignored_answer_us < report_us // 2:
        return False
    machine.ignored_answers += 1
    machine.ignored_answer_us = now_us
    if machine.ignored_answers < DEAF_AFTER:
        return False
    machine.unresponsive_until_us = now_us + REST_US
    return True


def record_effective_answer(machine: Machine) -> None:
    """An answer was carried out."""
    machine.ignored_answers = machine.unresponsive_until_us = 0


def mark_unproven(machine: Machine, now_us: int) -> None:
    """Nothing is known of it but a report from before it can have heard us."""
    machine.unresponsive_until_us = now_us + REST_US


def stopped_reporting(machine: Machine, report_us: int, heard_us: Callable[[Machine], int], now_us: int) -> bool:
    """Has it not reported for some reports, though it did before? Whether calls reach it is not asked.

    `heard_us`: when any controller heard it last. One that reports to a controller from which nothing comes to us is
    kept alive by that one: it was once taken for mute, and returned with what it ran.
    """
    since_us = now_us - MUTE_REPORTS * report_us - SECOND_US
    return 0 < machine.last_report_us < since_us and heard_us(machine) < since_us


def is_unresponsive(machine: Machine, now_us: int) -> bool:
    """Is nothing to be placed there, as it would not be begun?"""
    return now_us < machine.unresponsive_until_us


def machines_out_of_contact(
    machines: Iterable[Machine],
    lease_us: int,
    report_us: int,
    now_us: int,
    boot_us: Callable[[Machine], int] = lambda machine: 0,
    heard_us: Callable[[Machine], int] = lambda machine: 0,
) -> Iterator[tuple[Machine, str]]:
    """Machines to return, with the reason: what they hold is of an older leader, and was not answered for a lease; or
    calls reach them, and no controller heard them for a lease and as long as another one boots."""
    for machine in machines:
        if machine.phase == UP and 0 < machine.last_report_us < machine.last_contact_us:
            since_us = now_us - lease_us - boot_us(machine)
            called = now_us - machine.last_contact_us < lease_us
            if called and machine.last_report_us < since_us and heard_us(machine) < since_us:
                silent_s = to_s(now_us - machine.last_report_us)
                yield machine, f"calls reach it and it has not reported for {silent_s:.0f} s"
                continue
        behind_us = now_us - machine.behind_us if machine.behind_us else 0
        heard = now_us - machine.last_contact_us < lease_us
        if machine.phase == UP and machine.tasks and heard and behind_us > lease_us + 2 * report_us:
            yield machine, f"it reports and has heard no answer of this leader for {to_s(behind_us):.0f} s"
