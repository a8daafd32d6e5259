"""Does a worker that reports hear what it is answered? Pure.

Its reports may arrive while answers and direct commands to it are lost. Whatever it is told to start then never does,
and was told it again and again; and nothing that an older leader placed there is ever proven gone, since it never
shows our token. Elapsed time frees nothing here either: work that it never began goes elsewhere by its own reports,
and a machine that has not heard us for longer than its lease is returned, which is the proof for the rest.
"""

from collections.abc import Iterable, Iterator

from tideusher.clock import SECOND_US, to_s
from tideusher.core.picture.records import UP, Machine

#: So many answers in a row without effect, and the worker is taken for deaf; after a rest it is tried again.
DEAF_AFTER = 3
REST_US = 10 * SECOND_US


def missed(machine: Machine, report_us: int, now_us: int) -> bool:
    """An answer had no effect: is the worker deaf?

    Reports that a cut held up come all at once when it is over, and none of their answers had time to arrive: they
    count as one. All machines of a zone would else get no work for the first seconds after its cut.
    """
    if machine.missed and now_us - machine.missed_us < report_us // 2:
        return False
    machine.missed += 1
    machine.missed_us = now_us
    if machine.missed < DEAF_AFTER:
        return False
    machine.deaf_until_us = now_us + REST_US
    return True


def heeded(machine: Machine) -> None:
    """An answer was carried out."""
    machine.missed = machine.deaf_until_us = 0


def deaf(machine: Machine, now_us: int) -> bool:
    """Is nothing to be placed there, as it would not be begun?"""
    return now_us < machine.deaf_until_us


def unheard(machines: Iterable[Machine], lease_us: int, report_us: int, now_us: int) -> Iterator[tuple[Machine, str]]:
    """Machines to return, with the reason: what they hold is of an older leader, and was not answered for a lease."""
    for machine in machines:
        behind_us = now_us - machine.behind_us if machine.behind_us else 0
        heard = now_us - machine.reported_us < lease_us
        if machine.phase == UP and machine.tasks and heard and behind_us > lease_us + 2 * report_us:
            yield machine, f"it reports and has heard no answer of this leader for {to_s(behind_us):.0f} s"
