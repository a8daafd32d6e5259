"""What happened around an instance, line by line, and whether it may happen so.

Events are told in the order in which the program saw them; `crash` ends all that ran. Judged: nothing
acknowledged is lost, no card is used by two at a moment, no place is given beyond a machine's room, no
attempt's number is used twice, what was done or cancelled stays so and is not started again.
"""

from collections import defaultdict

from tideusher.config import Team
from tideusher.embed import Card, MachineKind, Settings
from tideusher.playground.standins import TYPE

#: What tests and the killing tool run an instance on; here, as that tool is to need no test runner.
KIND = MachineKind(TYPE.name, TYPE.cpus, TYPE.gpus, TYPE.ram_gb)
TEAMS = [Team("red", gpus=8.0, gpus_max=12.0), Team("blue", gpus=8.0, gpus_max=12.0)]
SETTINGS = Settings([KIND], [Card(f"host-{n}", KIND.name, "ab"[n % 2]) for n in range(4)], TEAMS)


class BadHistory(AssertionError):
    """A rule was broken; the text says which and by what."""


class History:
    """Checks while it is told."""

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
            raise BadHistory(f"{job} starts and is {self.final[job]}")
        if (job, index) in self.running:
            raise BadHistory(f"{job}/{index} runs twice")
        if attempt in self.attempts[job, index]:
            raise BadHistory(f"{job}/{index} is started twice as attempt {attempt}")
        self.attempts[job, index].add(attempt)
        if len(cards) != gpus or any(not 0 <= card < self.gpus[machine] for card in cards):
            raise BadHistory(f"{job}/{index} has cards {cards} of {machine} and asks for {gpus}")
        used = {card for _, where, others in self.running.values() if where == machine for card in others}
        if used & set(cards):
            raise BadHistory(f"{job}/{index} and another use a card of {machine}: {sorted(used & set(cards))}")
        self.running[job, index] = attempt, machine, tuple(cards)

    def stop(self, job, index):
        self.running.pop((job, index), None)

    def crash(self):
        self.crashes += 1
        self.running.clear()

    def end(self, job, status):
        if self.final.setdefault(job, status) != status:
            raise BadHistory(f"{job} was {self.final[job]} and is {status}")

    def reopened(self, status_of):
        """`status_of(job)`: its state after a recovery; None if it is not known."""
        for job in self.accepted:
            status = status_of(job)
            if status is None:
                raise BadHistory(f"{job} was acknowledged and is lost")
            if job in self.final and status != self.final[job]:
                raise BadHistory(f"{job} was {self.final[job]} and is {status}")
