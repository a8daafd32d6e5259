"""Where each job's first tasks are on record, as the changes of the state service tell.

That is a record of its own, or a member of a shared page (`pages`). The newest one counts.

A record moves from one key to another in a single transaction, but whoever follows sees one key after the other, and
whoever reads key by key may see both or neither. So a record that is gone from where it was while its job is open is
on its way: what it said holds until it is seen elsewhere.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from tideusher.core.model import keys


@dataclass(slots=True)
class Placement:
    """The newest record of a job's first tasks."""

    key: str  # under which key it is; empty: it is on its way to another
    value: Any
    stamp: int


class Placements:
    """All pages, and the newest record of each job, by the changes seen so far."""

    def __init__(self, is_open: Callable[[str], bool]) -> None:
        """`is_open`: is a job, as far as is known here, not over?"""
        self._is_open = is_open
        self._pages: dict[str, Mapping[str, Any]] = {}
        self._first: dict[str, Placement] = {}

    def first(self, job: str) -> Any:
        """The newest record of the job's first tasks; None: there is none."""
        placement = self._first.get(job)
        return placement.value if placement is not None else None

    def page(self, key: str) -> Mapping[str, Any] | None:
        """A page as it was last seen."""
        return self._pages.get(key)

    def is_in(self, job: str, key: str) -> bool:
        """Is the newest record of the job's first tasks under this key?"""
        known = self._first.get(job)
        return known is not None and known.key == key

    def pages(self) -> Iterator[tuple[str, Mapping[str, Any]]]:
        """Each page with its members."""
        return iter(self._pages.items())

    def pages_by_job(self) -> dict[str, str]:
        """The page of each job whose newest record is in one."""
        return {job: one.key for job, one in self._first.items() if one.key in self._pages}

    def page_changed(self, key: str, value: Mapping[str, Any] | None, stamp: int) -> list[tuple[str, Any]]:
        """A page is like this now, or gone (None); returns the jobs whose record changed, with that (None: gone)."""
        before, now = self._pages.get(key, {}), value or {}
        if value is None:
            self._pages.pop(key, None)
        else:
            self._pages[key] = value
        changed: list[tuple[str, Any]] = []
        for job, record in now.items():
            known = self._first.get(job)
            if known is not None and known.stamp > stamp:
                continue
            self._first[job] = Placement(key, record, stamp)
            if known is None or known.value != record:
                changed.append((job, record))
        changed += [(job, None) for job in before if job not in now and self._leaves(job, key)]
        return changed

    def own_changed(self, job: str, value: Any, stamp: int) -> bool:
        """The job's own record is like this now, or gone (None); False if that is not the newest record."""
        key = keys.chunk_key(job, 0)
        known = self._first.get(job)
        if value is None:
            return known is None or self._leaves(job, key)
        if known is not None and known.stamp > stamp:
            return False
        self._first[job] = Placement(key, value, stamp)
        return True

    def is_over(self, job: str) -> bool:
        """The job has ended; True if its record was gone already, and with it what it said."""
        known = self._first.get(job)
        if known is None or known.key:
            return False
        del self._first[job]
        return True

    def _leaves(self, job: str, key: str) -> bool:
        """The job's record is not under this key any more; True if it is nowhere, and not on its way either."""
        known = self._first.get(job)
        if known is None or known.key != key:
            return False
        if self._is_open(job):
            known.key = ""
            return False
        del self._first[job]
        return True
