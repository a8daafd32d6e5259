"""Checks the event history of an embedded instance against its invariants.

Events are recorded in the order in which the program saw them; `crash` ends all running tasks. Invariants: no
acknowledged job is lost, no GPU is used by two tasks at a time, no placement exceeds a machine's capacity, no
attempt number is used twice, and a job that is done or cancelled stays so and is not started again.
"""

from collections import defaultdict

from tideusher.config import Team
from tideusher.embed import Card, MachineKind, Settings
from tideusher.playground.standins import TYPE

#: Settings for tests and tools/kill_embed.py, which must not need a test runner and so takes them from here.
KIND = MachineKind(TYPE.name, TYPE.cpus, TYPE.gpus, TYPE.ram_gb)
TEAMS = [Team("red", gpus=8.0, gpus_max=12.0), Team("blue", gpus=8.0, gpus_max=12.0)]
SETTINGS = Settings([KIND], [Card(f"host-{n}", KIND.name, "ab"[n % 2]) for n in range(4)], TEAMS)


class BadHistory(AssertionError):
    """An invariant was violated; the message names the invariant and the event."""


class History:
    """Checks each event as it is recorded."""

    def __init__(self, gpus):
        self.gpus = gpus  # of each machine
        self.accepted, self.final = set(), {}
        self.running = {}  # (job, index) -> (attempt, machine, cards)
        self.attempts = defaultdict(set)
        self.starts = self.crashes = 0

    def accept(self, job):
        self.accepted.add(job)

    def start(self, job, index, attempt, machine, cards, gpus):
        self.starts += 1
        if job in self.final:
            raise BadHistory(f"{job} started although it is {self.final[job]}")
        if (job, index) in self.running:
            raise BadHistory(f"{job}/{index} runs twice")
        if attempt in self.attempts[job, index]:
            raise BadHistory(f"{job}/{index} is started twice as attempt {attempt}")
        self.attempts[job, index].add(attempt)
        if len(cards) != gpus or any(not 0 <= card < self.gpus[machine] for card in cards):
            raise BadHistory(f"{job}/{index} has GPUs {cards} of {machine} but requested {gpus}")
        cards_in_use = {
            card
            for _, other_machine, other_cards in self.running.values()
            if other_machine == machine
            for card in other_cards
        }
        if cards_in_use & set(cards):
            raise BadHistory(
                f"{job}/{index} shares GPUs of {machine} with another task: {sorted(cards_in_use & set(cards))}"
            )
        self.running[job, index] = attempt, machine, tuple(cards)

    def stop(self, job, index):
        self.running.pop((job, index), None)

    def crash(self):
        self.crashes += 1
        self.running.clear()

    def end(self, job, status):
        if self.final.setdefault(job, status) != status:
            raise BadHistory(f"{job} changed from {self.final[job]} to {status}")

    def reopened(self, status_of):
        """Checks all accepted jobs after a recovery; `status_of(job)` returns None for an unknown job."""
        for job in self.accepted:
            status = status_of(job)
            if status is None:
                raise BadHistory(f"{job} was acknowledged but is lost")
            if job in self.final and status != self.final[job]:
                raise BadHistory(f"{job} changed from {self.final[job]} to {status}")
