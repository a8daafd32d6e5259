"""Chunk records that cannot be applied completely yet.

A record is held if it has a place on a machine that no rental names (yet, or any more), or if its job is unknown
because it is over or its own record has not been applied. When the machine or the job becomes known the record is
applied again, so the cluster state depends only on the records and not on the order in which they arrived.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple


class RecordName(NamedTuple):
    """Identifies a chunk record: its job and its number."""

    job: str
    number: int


@dataclass(frozen=True, slots=True)
class HeldRecord:
    """A record as it was read; `stamp` 0 if it is in a page."""

    value: dict[str, Any]
    stamp: int

    @property
    def machines(self) -> set[str]:
        """The machines on which it has places."""
        return {place[1] for place in self.value.get("a", {}).values()}


class HeldRecords:
    """Held records by their job and by the machines that they name."""

    def __init__(self) -> None:
        self._of_job: dict[str, dict[int, HeldRecord]] = {}
        self._on_machine: dict[str, set[RecordName]] = {}

    def __contains__(self, name: RecordName) -> bool:
        return name.number in self._of_job.get(name.job, ())

    def get(self, name: RecordName) -> HeldRecord | None:
        """Returns the record; None if it is not held."""
        return self._of_job.get(name.job, {}).get(name.number)

    def hold(self, name: RecordName, record: HeldRecord) -> None:
        """Holds the record in place of an older one."""
        self.drop(name)
        self._of_job.setdefault(name.job, {})[name.number] = record
        for machine in record.machines:
            self._on_machine.setdefault(machine, set()).add(name)

    def drop(self, name: RecordName) -> None:
        """Releases a record that was applied completely or no longer exists."""
        records = self._of_job.get(name.job)
        record = records.pop(name.number, None) if records is not None else None
        if record is None:
            return
        if not records:
            del self._of_job[name.job]
        for machine in record.machines:
            names = self._on_machine[machine]
            names.discard(name)
            if not names:
                del self._on_machine[machine]

    def of_job(self, job: str) -> Iterable[tuple[int, HeldRecord]]:
        """Returns the held records of the job, sorted by number."""
        return sorted(self._of_job.get(job, {}).items())

    def on_machine(self, machine: str) -> list[RecordName]:
        """Returns the held records that have places on the machine."""
        return sorted(self._on_machine.get(machine, ()))
