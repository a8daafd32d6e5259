"""Location of the record of each job's first tasks, tracked from the changes of the state service.

The record is stored under a key of its own or as a member of a shared page (`pages`); the newest one counts.

A record moves from one key to another in a single transaction, but a reader of the changes gets one key after the
other, and a reader of single keys may find both or neither. So a record that disappears from its key while its job is
open is in transit: its last content applies until it is found under another key.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from tideusher.core.model import keys


@dataclass(slots=True)
class Placement:
    """The newest record of a job's first tasks."""

    key: str  # key that it is stored under; empty: in transit to another
    value: Any
    stamp: int


class Placements:
    """All pages and the newest record of each job, as of the changes applied so far."""

    def __init__(self, is_open: Callable[[str], bool]) -> None:
        """`is_open`: returns whether a job is open as far as is known here."""
        self._is_open = is_open
        self._pages: dict[str, Mapping[str, Any]] = {}
        self._newest: dict[str, Placement] = {}

    def first(self, job: str) -> Any:
        """Returns the newest record of the job's first tasks; None if there is none."""
        placement = self._newest.get(job)
        return placement.value if placement is not None else None

    def page(self, key: str) -> Mapping[str, Any] | None:
        """Returns the members of a page as last applied."""
        return self._pages.get(key)

    def is_in(self, job: str, key: str) -> bool:
        """Returns whether the newest record of the job's first tasks is stored under this key."""
        known = self._newest.get(job)
        return known is not None and known.key == key

    def pages(self) -> Iterator[tuple[str, Mapping[str, Any]]]:
        """Iterates over the pages with their members."""
        return iter(self._pages.items())

    def pages_by_job(self) -> dict[str, str]:
        """Returns the page key of each job whose newest record is in a page."""
        return {job: placement.key for job, placement in self._newest.items() if placement.key in self._pages}

    def page_changed(self, key: str, value: Mapping[str, Any] | None, stamp: int) -> list[tuple[str, Any]]:
        """Applies a page, changed or removed (None); returns jobs whose record changed, with it (None: removed)."""
        before, now = self._pages.get(key, {}), value or {}
        if value is None:
            self._pages.pop(key, None)
        else:
            self._pages[key] = value
        changed: list[tuple[str, Any]] = []
        for job, record in now.items():
            known = self._newest.get(job)
            if known is not None and known.stamp > stamp:
                continue
            self._newest[job] = Placement(key, record, stamp)
            if known is None or known.value != record:
                changed.append((job, record))
        changed += [(job, None) for job in before if job not in now and self._left_key(job, key)]
        return changed

    def own_changed(self, job: str, value: Any, stamp: int) -> bool:
        """Applies a job's own record, changed or removed (None); returns False if it is not the newest record."""
        key = keys.chunk_key(job, 0)
        known = self._newest.get(job)
        if value is None:
            return known is None or self._left_key(job, key)
        if known is not None and known.stamp > stamp:
            return False
        self._newest[job] = Placement(key, value, stamp)
        return True

    def job_ended(self, job: str) -> bool:
        """Handles the end of a job: drops a record in transit; returns True if there was one."""
        known = self._newest.get(job)
        if known is None or known.key:
            return False
        del self._newest[job]
        return True

    def _left_key(self, job: str, key: str) -> bool:
        """Handles that a key no longer holds the job's record; returns True if it was removed, not in transit."""
        known = self._newest.get(job)
        if known is None or known.key != key:
            return False
        if self._is_open(job):
            known.key = ""
            return False
        del self._newest[job]
        return True
