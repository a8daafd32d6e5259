"""Decides what it proves that the cloud's list of machines leaves out one of ours. Pure.

A list describes a time before its arrival, by at most twice `list_lag_s` (PROTOCOL, GET /rentals). A machine that
exists at that time is in it, whether it boots, runs, has failed or is behind a cut: only deleted and taken machines
are left out. So a machine of which nothing was heard since the list was requested, and which was rented before the
earliest time that the list can describe, is gone.

That is enough to return the machine. Nothing is freed by it: the confirmed return is the proof (docs/safety.md, 3).
"""

from collections.abc import Iterable, Set

from tideusher.clock import SECOND_US
from tideusher.core.model.records import RETURNING, Machine

#: A list is older than its request by at most this multiple of the stated lag.
MAX_LAG_FACTOR = 2
#: Allowance for the drift of clocks and the time that a rental takes to be answered.
MARGIN_US = SECOND_US


def left_out(machines: Iterable[Machine], listed: Set[str], requested_us: int, lag_us: int) -> list[Machine]:
    """Returns the machines that are gone, by a list that was requested at this time; `listed`: the names in it."""
    described_us = requested_us - MAX_LAG_FACTOR * lag_us - MARGIN_US
    return [
        machine
        for machine in machines
        if machine.name not in listed
        and machine.phase != RETURNING
        and machine.rented_us < described_us
        and machine.last_us < requested_us
    ]
