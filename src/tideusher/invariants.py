"""Invariants that are checked at run time.

A violation is logged as an error with what was found, and counted by rule (`invariant_violations_total`). The code
that detects one does not carry out the action that would follow. Any violation fails a test (`tests/conftest.py`).
"""

import logging
from enum import StrEnum

from tideusher.metrics import Metrics

LOGGER_NAME = "invariants"


class Rule(StrEnum):
    """The invariants; the value is the label under which violations are counted."""

    ONE_TERM = "one_term"  # a process leads with a token at most once
    RENTAL_NAME = "rental_name"  # the name of a new rental was never used before
    FALL_NAME = "fall_name"  # the name of a new mass failure was never used before
    RENTAL_KIND = "rental_kind"  # the kind of machine that a recorded rental requests never changes
    RENTAL_MACHINES = "rental_machines"  # a machine belongs to at most one rental
    MACHINE_KIND = "machine_kind"  # a machine's record agrees with its reports and with the cloud's list
    PLACE = "place"  # a task is placed only on a machine where it may start
    MIRROR = "mirror"  # what was read since explains why the state service refused a transaction
    START = "start"  # `run` is sent only to a machine where the task may start


class Invariants:
    """Counts and logs violations of invariants."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics, self._log = metrics, logging.getLogger(LOGGER_NAME)

    def violated(self, rule: Rule, found: str) -> None:
        """Records a violation; `found` describes the contradiction."""
        self._metrics.count("invariant_violations", rule.value)
        self._log.error("%s: %s", rule.value, found)
