"""Invariants asserted at run time: what must never be seen, if all else is right.

A breach is logged as an error with what was found and counted by its rule (`invariant_violations_total`); whoever
finds one does not carry out what would follow from it. The tests fail on each (`tests/conftest.py`).
"""

import logging
from enum import StrEnum

from tideusher.metrics import Metrics

LOGGER_NAME = "invariants"


class Rule(StrEnum):
    """What must hold, by the name under which a breach is counted."""

    ONE_TERM = "one_term"  # a token is led with once in a process
    RENTAL_NAME = "rental_name"  # a new rental's name was never used
    FALL_NAME = "fall_name"  # nor was a new fall's
    RENTAL_KIND = "rental_kind"  # what a rental on record asks for never changes
    RENTAL_MACHINES = "rental_machines"  # no two rentals brought one machine
    MACHINE_KIND = "machine_kind"  # a machine is what its record says, by its own word and the cloud's
    PLACE = "place"  # a task is placed only where it may start
    START = "start"  # `run` is told only where the task may start


class Invariants:
    """Counts and logs breaches."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics, self._log = metrics, logging.getLogger(LOGGER_NAME)

    def violated(self, rule: Rule, found: str) -> None:
        """A breach; `found` says what stands against what."""
        self._metrics.count("invariant_violations", rule.value)
        self._log.error("%s: %s", rule.value, found)
