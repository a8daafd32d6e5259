"""Shared placement records: places and results of many small jobs in few values of the state service.

A page is one value that holds, for each of its jobs, the chunk record of its tasks (`records.chunk_value`), which is
otherwise stored under a key of its own. Only the leader writes pages. They contain nothing of a job's own record: a
cancellation writes that one, and it guards each new place (docs/safety.md, 1).

An older version does not read pages and would start the tasks in them again. So while there are pages, the fence that
all transactions of a leader guard holds `null`: an older version takes that for a missing key and guards it as such,
so each of its transactions is refused (docs/safety.md, 10).
"""

from collections.abc import Callable, Iterable, Mapping, Set
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import msgspec

from tideusher.core.model import keys

#: New members are added to a page up to this share of the limit: members grow by completions and stops.
FILL_SHARE = 0.875
#: A page of which this share is obsolete is written for that reason alone.
COMPACTION_SHARE = 0.5
#: Value of the fence, as written, while there are pages.
NULL = msgspec.Raw(b"null")

ReadValue = Callable[[str], Any]


def member_size(member: str, value: Any) -> int:
    """Returns the bytes that a member takes in its page: its name, its value and the separators."""
    return len(member) + len(msgspec.json.encode(value)) + len('"":,')


def is_fenced(value: Any, stamp: int) -> bool:
    """Returns whether a stored fence excludes older versions; this version reads `null` as an empty value."""
    return stamp > 0 and not value


@dataclass(slots=True, eq=False)
class Page:
    """A page as it is stored, with the size of each member."""

    number: int
    stamp: int = 0  # 0: it is not stored
    members: dict[str, Any] = field(default_factory=dict)
    sizes: dict[str, int] = field(default_factory=dict)
    size: int = len("{}")
    obsolete: set[str] = field(default_factory=set)  # members that the next write leaves out

    @property
    def key(self) -> str:
        """The key that it is stored under."""
        return keys.page_key(self.number)

    @property
    def kept_size(self) -> int:
        """Size in bytes without the obsolete members."""
        return self.size - sum(self.sizes[member] for member in self.obsolete)

    def hold(self, members: Mapping[str, Any], stamp: int, unwanted: Set[str]) -> None:
        """Sets the stored content, and which members of it are obsolete."""
        self.stamp, self.members = stamp, dict(members)
        self.sizes = {member: member_size(member, value) for member, value in members.items()}
        self.size = len("{}") + sum(self.sizes.values())
        self.obsolete = {member for member in members if member in unwanted}

    @property
    def needs_compaction(self) -> bool:
        """True if the obsolete share alone justifies a write."""
        return bool(self.obsolete) and self.kept_size - len("{}") <= (1 - COMPACTION_SHARE) * self.size


class Pages:
    """All pages of a leader, and the page of each job."""

    def __init__(self, limit: Callable[[], int], read: ReadValue) -> None:
        """`limit`: maximum bytes of a value, evaluated for each write; `read`: last read value of a key."""
        self._limit, self._read = limit, read
        self._pages: dict[int, Page] = {}
        self._pages_by_job: dict[str, Page] = {}
        self._to_compact: dict[int, Page] = {}
        self._accepted_limit: int | None = None  # the limit that refusals show; None: there was none
        self._dropped: set[str] = set()  # members dropped since the transaction in flight was built
        #: True if jobs may be stored in pages; otherwise those in pages move to records of their own.
        self.open = False
        #: True if the stored fence excludes older versions.
        self.fenced = False

    def load(
        self, stored: Iterable[tuple[str, Mapping[str, Any], int]], pages_by_job: Mapping[str, str], fenced: bool
    ) -> None:
        """Loads the stored pages; `pages_by_job` names the page of each job. Other members are obsolete."""
        self.fenced = fenced
        for key, members, stamp in stored:
            page = self._pages[keys.page_number(key)] = Page(keys.page_number(key))
            page.hold(members, stamp, {member for member in members if pages_by_job.get(member) != key})
            self._link_members(page)

    @property
    def limit(self) -> int:
        """Maximum size of a page in bytes."""
        return self._limit() if self._accepted_limit is None else min(self._limit(), self._accepted_limit)

    def refused(self, pages: Iterable[tuple[Page, Mapping[str, Any]]]) -> bool:
        """Handles that pages with these members were refused: halves the limit; False if that changes nothing.

        The service may have a lower limit than announced. Records that no page takes have keys of their own.
        """
        largest = max((len(msgspec.json.encode(members)) for _, members in pages if members), default=0)
        if not largest or not self.limit:
            return False
        self._accepted_limit = min(largest, self.limit) // 2
        return True

    @property
    def any(self) -> bool:
        """True if there is any page."""
        return bool(self._pages)

    @property
    def pages_by_job(self) -> Mapping[str, Page]:
        """The page of each job that is stored in one."""
        return self._pages_by_job

    def home(self, member: str) -> Page | None:
        """Returns the page that holds the record of a job's tasks; None if none does."""
        return self._pages_by_job.get(member)

    def stored(self, member: str) -> Any:
        """Returns the record of the job's tasks in its page; None if there is none."""
        page = self._pages_by_job.get(member)
        return page.members.get(member) if page is not None else None

    def begin_batch(self) -> None:
        """Starts building a transaction from the present pages."""
        self._dropped.clear()

    def drop_member(self, member: str) -> None:
        """Marks a member as obsolete: the next write of its page leaves it out."""
        page = self._pages_by_job.pop(member, None)
        if page is None:
            return
        self._dropped.add(member)
        page.obsolete.add(member)
        self._note_compaction(page)

    def _note_compaction(self, page: Page) -> None:
        if page.needs_compaction:
            self._to_compact[page.number] = page

    def pages_to_compact(self) -> list[Page]:
        """Returns the pages whose obsolete members justify a write."""
        found = [page for page in self._to_compact.values() if page.needs_compaction]
        self._to_compact = {page.number: page for page in found}
        return found

    # ---------------------------------------------------------------- free space

    def emptiest(self, size: int, excluding: Iterable[Page]) -> Page:
        """Returns the page with the most free space if a new member fits, else a new page."""
        excluded = {page.number for page in excluding}
        candidates = [page for page in self._pages.values() if page.number not in excluded]
        best = min(candidates, key=lambda page: (page.kept_size, page.number), default=None)
        if best is not None and best.kept_size + size <= FILL_SHARE * self.limit:
            return best
        return self.new_page(excluding)

    def new_page(self, excluding: Iterable[Page]) -> Page:
        """Returns a page that is neither stored yet nor one of the excluded."""
        excluded = {page.number for page in excluding}
        return Page(next(number for number in count() if number not in self._pages and number not in excluded))

    # ---------------------------------------------------------------- outcome of a write

    def mark_written(self, pages: Iterable[tuple[Page, Mapping[str, Any]]], revision: int) -> None:
        """Records that one transaction stored these pages with these members."""
        pages = list(pages)
        for page, members in pages:
            self._unlink_members(page)
            page.hold(members, revision if members else 0, self._dropped)
        for page, _ in pages:
            self._link_members(page)

    def leave_behind(self, left: Iterable[tuple[Page, str]]) -> None:
        """Marks the stale copies of members that moved out of pages which were not written with that."""
        for page, member in left:
            if self._pages_by_job.get(member) not in (page, None) and member in page.members:
                page.obsolete.add(member)
                self._note_compaction(page)

    def reread(self, pages: Iterable[Page], stamp_of: Callable[[str], int]) -> None:
        """Resets pages of a transaction with unknown outcome to what a newer read shows: all were written or none."""
        pages = list(pages)
        for page in pages:
            self._unlink_members(page)
        for page in pages:
            page.hold(self._read(page.key) or {}, stamp_of(page.key), page.obsolete | self._dropped)
            self._link_members(page)

    def reread_fence(self, stamp_of: Callable[[str], int]) -> None:
        """Resets the fence after a transaction with unknown outcome."""
        self.fenced = is_fenced(self._read(keys.FENCE), stamp_of(keys.FENCE))

    def _unlink_members(self, page: Page) -> None:
        for member in [member for member in page.members if self._pages_by_job.get(member) is page]:
            del self._pages_by_job[member]

    def _link_members(self, page: Page) -> None:
        if page.stamp:
            self._pages[page.number] = page
        else:
            self._pages.pop(page.number, None)
        for member in page.members:
            if member not in page.obsolete:
                self._pages_by_job[member] = page
        self._note_compaction(page)
