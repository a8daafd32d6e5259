"""Builds transactions within the limits of the state service on changes, guards and bytes.

An entry is written to a key of its own or into a page that it shares with others. Writing a page for one of its
members also writes the other changed members and leaves out the obsolete ones.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from tideusher.core.model.entries import Effect, Entry
from tideusher.core.model.pages import FILL_SHARE, Page, Pages, member_size
from tideusher.wire.state import Delete, Guard, Put

#: Guards that the state service accepts per change.
GUARDS_PER_CHANGE = 4
#: Bytes for values, of the 64 KiB of a transaction.
MAX_VALUE_BYTES = 48 * 1024


@dataclass(slots=True, eq=False)
class PageDraft:
    """A page as it will be written; members not in `changes` stay as they are stored."""

    page: Page
    size: int
    changes: dict[str, Any] = field(default_factory=dict)  # None: the member leaves this page

    def members(self) -> dict[str, Any]:
        """Returns the members to write."""
        kept = {m: v for m, v in self.page.members.items() if m not in self.changes and m not in self.page.obsolete}
        return kept | {member: value for member, value in self.changes.items() if value is not None}

    def change(self, member: str, value: Any) -> None:
        """Sets the new value of a member; None removes it."""
        self.size += self.growth(member, value)
        self.changes[member] = value

    def growth(self, member: str, value: Any) -> int:
        """Returns by how many bytes the page grows with that."""
        if member in self.changes:
            before = 0 if self.changes[member] is None else member_size(member, self.changes[member])
        elif member in self.page.obsolete:
            before = 0
        else:
            before = self.page.sizes.get(member, 0)
        return (0 if value is None else member_size(member, value)) - before


@dataclass(slots=True)
class Batch:
    """A transaction, with the effects that run once it is committed."""

    entries: list[Entry]
    guards: list[Guard]
    writes: list[Put | Delete]
    effects: list[list[Effect]]  # of each entry
    #: Keys of entries that have records of their own once it is committed; the others are in pages or deleted.
    own: set[str] = field(default_factory=set)
    #: Whether the fence that it writes excludes older versions; None: it does not write the fence.
    fence_excludes_old: bool | None = None
    #: The pages that it writes, with their new members.
    pages: list[tuple[Page, dict[str, Any]]] = field(default_factory=list)
    #: Members that it copies out of pages which it does not write, with these pages.
    left_behind: list[tuple[Page, str]] = field(default_factory=list)
    #: The entry for which it does so; it is written later.
    prepares: Entry | None = None


class TransactionDraft:
    """A transaction under construction."""

    def __init__(self, base_guards: list[Guard], pages: Pages, max_changes: int, max_guards: int) -> None:
        self._pages, self.max_changes, self._max_guards = pages, max_changes, max_guards
        self._guards = {guard.key: guard for guard in base_guards}
        self._entries: list[Entry] = []
        self._own: dict[str, tuple[Entry, Any]] = {}  # records under keys of their own; value None: delete
        self._drafts: dict[int, PageDraft] = {}
        #: Pages from which members move to other pages, in the order in which that began.
        self._move_sources: list[PageDraft] = []
        #: New page of each member that this transaction moves unchanged.
        self._moved: dict[str, Page] = {}
        self._bytes = 0
        self._left_behind: list[tuple[Page, str]] = []
        #: As in `Batch`.
        self.fence_excludes_old: bool | None = None
        self.prepares: Entry | None = None

    @property
    def changes(self) -> int:
        """Number of puts and deletes so far."""
        return len(self._own) + len(self._drafts)

    @property
    def entries(self) -> int:
        """Number of entries so far."""
        return len(self._entries)

    @property
    def full(self) -> bool:
        """True if no further change fits."""
        return self.changes >= self.max_changes or self._bytes > MAX_VALUE_BYTES

    @property
    def empty(self) -> bool:
        """True if it writes nothing."""
        return not self.changes

    # ---------------------------------------------------------------- one entry

    def add(self, entry: Entry, value: Any) -> bool:
        """Adds a write of this value for the entry; returns False if it does not fit into this transaction."""
        plan = self._plan(entry, value)
        if plan is None:
            self.prepares = entry if self._left_behind else None
            return False
        self._apply_plan(plan, entry, value)
        self._entries.append(entry)
        return True

    def _apply_plan(self, plan: "_Plan", entry: Entry, value: Any) -> None:
        self._guards.update((guard.key, guard) for guard in plan.guards)
        if plan.writes_own:
            self._own[entry.key] = (entry, value)
            self._bytes += len(msgspec.json.encode(value))
        elif plan.clears_own:
            self._own[entry.key] = (entry, None)
        if plan.source is not None and plan.source is not plan.target:
            if plan.target is not None:
                self._mark_move_source(plan.source)
            self._change_member(plan.source, entry.member, None)
        if plan.target is not None:
            self._add_draft(plan.target)
            self._change_member(plan.target, entry.member, value)

    def _plan(self, entry: Entry, value: Any) -> "_Plan | None":
        source = self._page_of(entry.member)
        to_page = value is not None and bool(entry.member) and self._may_be_in_page(entry.member, value)
        plan = _Plan(source)
        if source is not None:
            if not self._add_page(source):
                return None
            source = plan.source = self._page_of(entry.member)  # a page over the limit may have moved it out
        if to_page:
            plan.target = self._target_page(entry.member, value, source)
            plan.clears_own = entry.stamp > 0
            guards = entry.extra_guards() if _has_new_place(value, self._pages.stored(entry.member)) else []
        else:
            plan.writes_own = value is not None
            plan.clears_own = value is None and entry.stamp > 0
            guards = entry.extra_guards()
        plan.guards = [guard for guard in guards if guard.key not in self._guards]
        if plan.writes_own or plan.clears_own:
            plan.guards.append(Guard(entry.key, entry.stamp))
        return plan if self._fits(plan, entry, value) else None

    def _page_of(self, member: str) -> Page | None:
        """Returns the page of the member after this transaction as built so far."""
        return (self._moved.get(member) or self._pages.home(member)) if member else None

    def _may_be_in_page(self, member: str, value: Any) -> bool:
        old_versions_excluded = self._pages.fenced if self.fence_excludes_old is None else self.fence_excludes_old
        return (
            self._pages.open and old_versions_excluded and len("{}") + member_size(member, value) <= self._pages.limit
        )

    def _target_page(self, member: str, value: Any, source: Page | None) -> Page:
        """Returns the page to write the member to: its present one unless the member no longer fits there."""
        if source is not None:
            draft = self._drafts[source.number]
            if draft.size + draft.growth(member, value) <= self._pages.limit:
                return source
        return self._page_with_space(member_size(member, value), source)

    def _page_with_space(self, size: int, excluded: Page | None) -> Page:
        return self._drafted_page_with_space(size, excluded) or self._pages.emptiest(size, self.drafted())

    def _drafted_page_with_space(self, size: int, excluded: Page | None) -> Page | None:
        space = FILL_SHARE * self._pages.limit - size
        for draft in self._drafts.values():
            if draft.page is not excluded and draft not in self._move_sources and draft.size <= space:
                return draft.page
        return None

    def _fits(self, plan: "_Plan", entry: Entry, value: Any) -> bool:
        more_pages = int(plan.target is not None and plan.target.number not in self._drafts)
        own = int(plan.writes_own or plan.clears_own)
        size = len(msgspec.json.encode(value)) if value is not None else 0
        if plan.target is not None and more_pages:
            size += plan.target.kept_size
        if self.changes + own + more_pages > self.max_changes:
            return False
        if len(self._guards) + len(plan.guards) + more_pages > self._max_guards:
            return False
        return self.empty or self._bytes + size <= MAX_VALUE_BYTES

    # ---------------------------------------------------------------- pages

    def drafted(self) -> list[Page]:
        """Returns the pages that the transaction writes."""
        return [draft.page for draft in self._drafts.values()]

    def add_page(self, page: Page) -> bool:
        """Writes a page without its obsolete members; returns False if it does not fit into this transaction."""
        return self._add_page(page)

    def _add_page(self, page: Page) -> bool:
        """Adds the page to the transaction; returns False if it does not fit.

        From a page over the limit all excess members move out in the same transaction. If these are too many for one,
        a transaction copies some of them to other pages; the page is written by a later one.
        """
        if page.number in self._drafts:
            return True
        limit, size = self._pages.limit, page.kept_size
        excess: list[str] = []
        if size > limit:
            excess, size = _largest_members(page, size - round(FILL_SHARE * limit))
        page_count = 1 + _pages_needed([page.sizes[member] for member in excess], FILL_SHARE * limit)
        if self.changes + page_count > self.max_changes or len(self._guards) + page_count > self._max_guards:
            if self.empty and excess:
                self._copy_out(page, excess)
            return False
        if not self.empty and self._bytes + page.kept_size > MAX_VALUE_BYTES:
            return False
        self._add_draft(page)
        for member in excess:
            self._move_member(member, page.members[member], page)
        return True

    def _copy_out(self, page: Page, members: list[str]) -> None:
        """Copies as many of these members to other pages as the transaction takes, and leaves the page as it is.

        The newer copy of a member counts for every reader (`placements`), and the older one is left out when the page
        is written.
        """
        self._guards[page.key] = Guard(page.key, page.stamp)
        for member in members:
            size = member_size(member, page.members[member])
            target = self._drafted_page_with_space(size, page)
            if target is None:
                if self.full or len(self._guards) >= self._max_guards:
                    return
                target = self._pages.new_page([*self.drafted(), page])
                self._add_draft(target)
            self._change_member(target, member, page.members[member])
            self._left_behind.append((page, member))

    def _add_draft(self, page: Page) -> None:
        """Adds the page without its obsolete members, unless it was added already."""
        if page.number in self._drafts:
            return
        self._drafts[page.number] = PageDraft(page, page.kept_size)
        self._guards[page.key] = Guard(page.key, page.stamp)
        self._bytes += page.kept_size

    def _move_member(self, member: str, value: Any, page: Page) -> None:
        """Moves a member unchanged to another page."""
        self._mark_move_source(page)
        target = self._drafted_page_with_space(member_size(member, value), page) or self._pages.new_page(
            self.drafted()
        )
        self._add_draft(target)
        self._change_member(page, member, None)
        self._change_member(target, member, value)
        self._moved[member] = target

    def _mark_move_source(self, page: Page) -> None:
        """Marks the page as the source of a move: no member moves into it from now on."""
        draft = self._drafts[page.number]
        if draft not in self._move_sources:
            self._move_sources.append(draft)

    def _change_member(self, page: Page, member: str, value: Any) -> None:
        draft = self._drafts[page.number]
        self._bytes += draft.growth(member, value)
        draft.change(member, value)

    # ---------------------------------------------------------------- the transaction

    def batch(self) -> Batch:
        """Returns the finished transaction.

        When a member moves between two keys, the key that receives it is written first, so that a reader that
        applies the changes one by one always sees the member in at least one place.
        """
        writes: list[Put | Delete] = [Put(e.key, value) for e, value in self._own.values() if value is not None]
        pages = [(draft.page, draft.members()) for draft in self._pages_in_write_order()]
        writes += [Put(page.key, members) if members else Delete(page.key) for page, members in pages]
        writes += [Delete(entry.key) for entry, value in self._own.values() if value is None]
        effects = [entry.effects for entry in self._entries]
        for entry in self._entries:
            entry.effects, entry.dirty = [], False
        own = {entry.key for entry, value in self._own.values() if value is not None}
        return Batch(
            self._entries,
            list(self._guards.values()),
            writes,
            effects,
            own,
            self.fence_excludes_old,
            pages,
            self._left_behind,
            self.prepares,
        )

    def _pages_in_write_order(self) -> Iterator[PageDraft]:
        """Yields the pages in write order.

        No member moves into a page that is the source of a move, so these come last, the earliest source at the end.
        """
        yield from (draft for draft in self._drafts.values() if draft not in self._move_sources)
        yield from reversed(self._move_sources)


@dataclass(slots=True)
class _Plan:
    """How to write one entry."""

    source: Page | None  # its present page, which is written too
    target: Page | None = None  # the page to write it to
    writes_own: bool = False
    clears_own: bool = False
    guards: list[Guard] = field(default_factory=list)


def _has_new_place(value: dict[str, Any], stored: dict[str, Any] | None) -> bool:
    """Returns whether the value has a place that is not on record yet; when a task began is no part of its place."""
    before = (stored or {}).get("a", {})
    return any(list(place[:2]) != list(before.get(index, ())[:2]) for index, place in value.get("a", {}).items())


def _pages_needed(sizes: list[int], space: float) -> int:
    """Returns how many pages members of these sizes need, packed first-fit in decreasing size."""
    free: list[float] = []
    for size in sorted(sizes, reverse=True):
        number = next((number for number, rest in enumerate(free) if size <= rest), len(free))
        if number == len(free):
            free.append(space)
        free[number] -= size
    return len(free)


def _largest_members(page: Page, excess: int) -> tuple[list[str], int]:
    """Returns the fewest members that take at least `excess` bytes, and the size of the page without them."""
    chosen: list[str] = []
    size = page.kept_size
    for member in sorted(page.members, key=lambda name: -page.sizes[name]):
        if excess <= 0:
            break
        if member not in page.obsolete:
            chosen.append(member)
            excess, size = excess - page.sizes[member], size - page.sizes[member]
    return chosen, size
