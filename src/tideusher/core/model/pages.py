"""Shared placement records: places and ends of many small jobs in few values of the state service.

A page is one value: for each job the record of its tasks (`records.chunk_value`), which has its own key otherwise.
Only the leader writes pages. Nothing of a job's own record is in them: a cancellation writes that one, and it guards
each new place (docs/safety.md, 1).

An older version does not read pages, and would start again what is on record there. So while there are any, the fence
that each of a leader's transactions guards holds `null`: an older version takes that for a key which is not there,
guards it as such, and every transaction of it is refused (docs/safety.md, 10).
"""

from collections.abc import Callable, Iterable, Mapping, Set
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import msgspec

from tideusher.core.model import keys

#: New members are put into a page up to this part of the limit: what is there grows by completions and stops.
FILLED = 0.875
#: A page of which this part is of jobs that are over is written only for that.
WORN = 0.5
#: As written: what the fence holds while there are pages.
NULL = msgspec.Raw(b"null")

ReadValue = Callable[[str], Any]


def member_size(member: str, value: Any) -> int:
    """Bytes that a member takes in its page: its name, its value and what separates them."""
    return len(member) + len(msgspec.json.encode(value)) + len('"":,')


def is_fenced(value: Any, stamp: int) -> bool:
    """Does a stored fence keep older versions out? Read by us, `null` is an empty value."""
    return stamp > 0 and not value


@dataclass(slots=True, eq=False)
class Page:
    """One value as it is stored, with the size of each member."""

    number: int
    stamp: int = 0  # 0: it is not stored
    members: dict[str, Any] = field(default_factory=dict)
    sizes: dict[str, int] = field(default_factory=dict)
    size: int = len("{}")
    over: set[str] = field(default_factory=set)  # members that are wanted no more: left out at the next write

    @property
    def key(self) -> str:
        """Where it is stored."""
        return keys.page_key(self.number)

    @property
    def kept_size(self) -> int:
        """Bytes without the members that are wanted no more."""
        return self.size - sum(self.sizes[member] for member in self.over)

    def hold(self, members: Mapping[str, Any], stamp: int, unwanted: Set[str]) -> None:
        """It is stored like this now, and these are wanted no more."""
        self.stamp, self.members = stamp, dict(members)
        self.sizes = {member: member_size(member, value) for member, value in members.items()}
        self.size = len("{}") + sum(self.sizes.values())
        self.over = {member for member in members if member in unwanted}

    @property
    def worn(self) -> bool:
        """Is so much of it wanted no more that it is worth a write?"""
        return bool(self.over) and self.kept_size - len("{}") <= (1 - WORN) * self.size


class Pages:
    """All pages of a leader, and in which of them each job's tasks are on record."""

    def __init__(self, limit: Callable[[], int], read: ReadValue) -> None:
        """`limit`: how many bytes a value may have, asked anew for each write; `read`: a key's value as last read."""
        self._limit, self._read = limit, read
        self._pages: dict[int, Page] = {}
        self._homes: dict[str, Page] = {}
        self._worn: dict[int, Page] = {}
        self._given_up: set[str] = set()  # members that were since the transaction under way was put together
        #: May jobs be put into pages? Else what is there moves to records of its own.
        self.open = False
        #: Does the stored fence keep older versions out?
        self.fenced = False

    def load(
        self, stored: Iterable[tuple[str, Mapping[str, Any], int]], pages_by_job: Mapping[str, str], fenced: bool
    ) -> None:
        """Take over what is stored; `pages_by_job` names the page of each job. Other members are obsolete."""
        self.fenced = fenced
        for key, members, stamp in stored:
            page = self._pages[keys.page_number(key)] = Page(keys.page_number(key))
            page.hold(members, stamp, {member for member in members if pages_by_job.get(member) != key})
            self._settle(page)

    @property
    def limit(self) -> int:
        """Bytes that a page may have."""
        return self._limit()

    @property
    def any(self) -> bool:
        """Is there any page?"""
        return bool(self._pages)

    @property
    def pages_by_job(self) -> Mapping[str, Page]:
        """The page of each job that is in one."""
        return self._homes

    def home(self, member: str) -> Page | None:
        """The page in which a job's tasks are on record; None: in none."""
        return self._homes.get(member)

    def stored(self, member: str) -> Any:
        """What that page says of them; None: nothing."""
        page = self._homes.get(member)
        return page.members.get(member) if page is not None else None

    def put_together(self) -> None:
        """A transaction is put together from what is known now."""
        self._given_up.clear()

    def drop_member(self, member: str) -> None:
        """Nobody wants the member any more: it is left out when its page is written next."""
        page = self._homes.pop(member, None)
        if page is None:
            return
        self._given_up.add(member)
        page.over.add(member)
        self._note_worn(page)

    def _note_worn(self, page: Page) -> None:
        if page.worn:
            self._worn[page.number] = page

    def take_worn(self) -> list[Page]:
        """Pages that are worth a write for what they need not hold any more."""
        found = [page for page in self._worn.values() if page.worn]
        self._worn = {page.number: page for page in found}
        return found

    # ---------------------------------------------------------------- room

    def roomiest(self, size: int, not_these: Iterable[Page]) -> Page:
        """The page with the most room, if it has enough for a new member; else a new one."""
        excluded = {page.number for page in not_these}
        candidates = [page for page in self._pages.values() if page.number not in excluded]
        best = min(candidates, key=lambda page: (page.kept_size, page.number), default=None)
        if best is not None and best.kept_size + size <= FILLED * self.limit:
            return best
        return self.fresh(not_these)

    def fresh(self, not_these: Iterable[Page]) -> Page:
        """A page that is not stored yet, nor one of these."""
        excluded = {page.number for page in not_these}
        return Page(next(number for number in count() if number not in self._pages and number not in excluded))

    # ---------------------------------------------------------------- what became of a write

    def written(self, pages: Iterable[tuple[Page, Mapping[str, Any]]], revision: int) -> None:
        """These pages were stored, all at once, with these members each."""
        pages = list(pages)
        for page, members in pages:
            self._leave_homes(page)
            page.hold(members, revision if members else 0, self._given_up)
        for page, _ in pages:
            self._settle(page)

    def reread(self, pages: Iterable[Page], stamp_of: Callable[[str], int]) -> None:
        """It is not known whether these pages were written: they are as a newer read says, all of them or none."""
        pages = list(pages)
        for page in pages:
            self._leave_homes(page)
        for page in pages:
            page.hold(self._read(page.key) or {}, stamp_of(page.key), page.over | self._given_up)
            self._settle(page)

    def reread_fence(self, stamp_of: Callable[[str], int]) -> None:
        """It is not known whether the fence was written."""
        self.fenced = is_fenced(self._read(keys.FENCE), stamp_of(keys.FENCE))

    def _leave_homes(self, page: Page) -> None:
        for member in [member for member in page.members if self._homes.get(member) is page]:
            del self._homes[member]

    def _settle(self, page: Page) -> None:
        if page.stamp:
            self._pages[page.number] = page
        else:
            self._pages.pop(page.number, None)
        for member in page.members:
            if member not in page.over:
                self._homes[member] = page
        self._note_worn(page)
