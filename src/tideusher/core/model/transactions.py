"""What one transaction is to write, put together within the limits of the state service: changes, conditions, bytes.

An entry is written to a key of its own, or into a page that it shares with others. A page that is written for one of
them takes along what else of it has changed, and leaves out what nobody wants any more.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from tideusher.core.model.entries import Effect, Entry
from tideusher.core.model.pages import FILLED, Page, Pages, member_size
from tideusher.wire.state import Delete, Guard, Put

#: The state service takes so many conditions for each change that it takes.
GUARDS_A_CHANGE = 4
#: Of the 64 KiB of a transaction this much is for values.
MAX_VALUE_BYTES = 48 * 1024


@dataclass(slots=True, eq=False)
class PageDraft:
    """A page as it is to be: what is not named in `changes` stays as it is stored."""

    page: Page
    size: int
    changes: dict[str, Any] = field(default_factory=dict)  # None: it is not in this page any more

    def members(self) -> dict[str, Any]:
        """What it is to hold."""
        kept = {m: v for m, v in self.page.members.items() if m not in self.changes and m not in self.page.over}
        return kept | {member: value for member, value in self.changes.items() if value is not None}

    def change(self, member: str, value: Any) -> None:
        """The member is to be like this; None: not there."""
        self.size += self.growth(member, value)
        self.changes[member] = value

    def growth(self, member: str, value: Any) -> int:
        """How many bytes more the page has with that."""
        if member in self.changes:
            before = 0 if self.changes[member] is None else member_size(member, self.changes[member])
        elif member in self.page.over:
            before = 0
        else:
            before = self.page.sizes.get(member, 0)
        return (0 if value is None else member_size(member, value)) - before


@dataclass(slots=True)
class Batch:
    """What one transaction writes, with the effects that may be told once it is through."""

    entries: list[Entry]
    guards: list[Guard]
    writes: list[Put | Delete]
    effects: list[list[Effect]]  # of each entry
    #: Entries that are in records of their own once it is through; the others are in pages, or nowhere.
    own: set[str] = field(default_factory=set)
    #: Does it write the fence so that older versions are kept out? None: it does not write the fence.
    fences: bool | None = None
    #: The pages that it writes, and what each of them holds then.
    pages: list[tuple[Page, dict[str, Any]]] = field(default_factory=list)


class Draft:
    """A transaction that is being put together."""

    def __init__(self, base: list[Guard], pages: Pages, most_changes: int, most_guards: int) -> None:
        self._pages, self._most_changes, self._most_guards = pages, most_changes, most_guards
        self._guards = {guard.key: guard for guard in base}
        self._entries: list[Entry] = []
        self._own: dict[str, tuple[Entry, Any]] = {}  # records of their own: the value, None to remove it
        self._drafts: dict[int, PageDraft] = {}
        #: Pages from which something moves to others, in the order in which that began.
        self._shedding: list[PageDraft] = []
        #: Where members are to be that this transaction moves as they are.
        self._moved: dict[str, Page] = {}
        self._bytes = 0
        #: As in `Batch`.
        self.fences: bool | None = None

    @property
    def changes(self) -> int:
        """Puts and deletes so far."""
        return len(self._own) + len(self._drafts)

    @property
    def full(self) -> bool:
        """Is there no room for one more change?"""
        return self.changes >= self._most_changes or self._bytes > MAX_VALUE_BYTES

    @property
    def empty(self) -> bool:
        """Does it write nothing?"""
        return not self.changes

    # ---------------------------------------------------------------- one entry

    def add(self, entry: Entry, value: Any) -> bool:
        """Write this value for the entry; False if there is no room for that in this transaction."""
        plan = self._plan(entry, value)
        if plan is None:
            return False
        self._carry_out(plan, entry, value)
        self._entries.append(entry)
        return True

    def _carry_out(self, plan: "_Plan", entry: Entry, value: Any) -> None:
        self._guards.update((guard.key, guard) for guard in plan.guards)
        if plan.writes_own:
            self._own[entry.key] = (entry, value)
            self._bytes += len(msgspec.json.encode(value))
        elif plan.clears_own:
            self._own[entry.key] = (entry, None)
        if plan.home is not None and plan.home is not plan.target:
            if plan.target is not None:
                self._shed(plan.home)
            self._change(plan.home, entry.member, None)
        if plan.target is not None:
            self._begin(plan.target)
            self._change(plan.target, entry.member, value)

    def _plan(self, entry: Entry, value: Any) -> "_Plan | None":
        home = self._home(entry.member)
        to_page = value is not None and bool(entry.member) and self._may_share(entry.member, value)
        plan = _Plan(home)
        if home is not None:
            if not self._open(home):
                return None
            home = plan.home = self._home(entry.member)  # it may have been moved out of a page that is too large
        if to_page:
            plan.target = self._target(entry.member, value, home)
            plan.clears_own = entry.stamp > 0
            guards = entry.extra_guards() if _places_anew(value, self._pages.stored(entry.member)) else []
        else:
            plan.writes_own = value is not None
            plan.clears_own = value is None and entry.stamp > 0
            guards = entry.extra_guards()
        plan.guards = [guard for guard in guards if guard.key not in self._guards]
        if plan.writes_own or plan.clears_own:
            plan.guards.append(Guard(entry.key, entry.stamp))
        return plan if self._has_room(plan, entry, value) else None

    def _home(self, member: str) -> Page | None:
        """Where the member is once this transaction is through as it stands."""
        return (self._moved.get(member) or self._pages.home(member)) if member else None

    def _may_share(self, member: str, value: Any) -> bool:
        kept_out = self._pages.fenced if self.fences is None else self.fences
        return self._pages.open and kept_out and len("{}") + member_size(member, value) <= self._pages.limit

    def _target(self, member: str, value: Any, home: Page | None) -> Page:
        """Where the member is to be: it stays where it is unless it has grown too large for that page."""
        if home is not None:
            draft = self._drafts[home.number]
            if draft.size + draft.growth(member, value) <= self._pages.limit:
                return home
        return self._page_for(member_size(member, value), home)

    def _page_for(self, size: int, not_this: Page | None) -> Page:
        return self._drafted_with_room(size, not_this) or self._pages.roomiest(size, self.drafted())

    def _drafted_with_room(self, size: int, not_this: Page | None) -> Page | None:
        room = FILLED * self._pages.limit - size
        for draft in self._drafts.values():
            if draft.page is not not_this and draft not in self._shedding and draft.size <= room:
                return draft.page
        return None

    def _has_room(self, plan: "_Plan", entry: Entry, value: Any) -> bool:
        more_pages = int(plan.target is not None and plan.target.number not in self._drafts)
        own = int(plan.writes_own or plan.clears_own)
        size = len(msgspec.json.encode(value)) if value is not None else 0
        if plan.target is not None and more_pages:
            size += plan.target.kept_size
        if self.changes + own + more_pages > self._most_changes:
            return False
        if len(self._guards) + len(plan.guards) + more_pages > self._most_guards:
            return False
        return self.empty or self._bytes + size <= MAX_VALUE_BYTES

    # ---------------------------------------------------------------- pages

    def drafted(self) -> list[Page]:
        """The pages that are to be written."""
        return [draft.page for draft in self._drafts.values()]

    def add_page(self, page: Page) -> bool:
        """Write a page for what it need not hold any more; False if there is no room."""
        return self._open(page)

    def _open(self, page: Page) -> bool:
        """Have the page written; one that is over the limit moves out what is too much, at once or not at all."""
        if page.number in self._drafts:
            return True
        limit, size = self._pages.limit, page.kept_size
        excess: list[str] = []
        if size > limit:
            excess, size = _largest(page, size - round(FILLED * limit))
        more = 1 + _pages_for([page.sizes[member] for member in excess], FILLED * limit)
        if self.changes + more > self._most_changes or len(self._guards) + more > self._most_guards:
            return False
        if not self.empty and self._bytes + page.kept_size > MAX_VALUE_BYTES:
            return False
        self._begin(page)
        for member in excess:
            self._move(member, page.members[member], page)
        return True

    def _begin(self, page: Page) -> None:
        """Write the page as it is, less what nobody wants, if it is not to be written already."""
        if page.number in self._drafts:
            return
        self._drafts[page.number] = PageDraft(page, page.kept_size)
        self._guards[page.key] = Guard(page.key, page.stamp)
        self._bytes += page.kept_size

    def _move(self, member: str, value: Any, page: Page) -> None:
        """What is stored of a member goes to another page as it is."""
        self._shed(page)
        target = self._drafted_with_room(member_size(member, value), page) or self._pages.fresh(self.drafted())
        self._begin(target)
        self._change(page, member, None)
        self._change(target, member, value)
        self._moved[member] = target

    def _shed(self, page: Page) -> None:
        """Something moves from this page to another: from now on nothing moves into it."""
        draft = self._drafts[page.number]
        if draft not in self._shedding:
            self._shedding.append(draft)

    def _change(self, page: Page, member: str, value: Any) -> None:
        draft = self._drafts[page.number]
        self._bytes += draft.growth(member, value)
        draft.change(member, value)

    # ---------------------------------------------------------------- the transaction

    def batch(self) -> Batch:
        """The transaction.

        Of two keys between which something moves the one that gains it comes first: whoever follows the changes one
        by one never sees it nowhere.
        """
        writes: list[Put | Delete] = [Put(e.key, value) for e, value in self._own.values() if value is not None]
        pages = [(draft.page, draft.members()) for draft in self._in_order()]
        writes += [Put(page.key, members) if members else Delete(page.key) for page, members in pages]
        writes += [Delete(entry.key) for entry, value in self._own.values() if value is None]
        effects = [entry.effects for entry in self._entries]
        for entry in self._entries:
            entry.effects, entry.dirty = [], False
        own = {entry.key for entry, value in self._own.values() if value is not None}
        return Batch(self._entries, list(self._guards.values()), writes, effects, own, self.fences, pages)

    def _in_order(self) -> Iterator[PageDraft]:
        """Nothing moves into a page that sheds: those come last, the one that began to first at the very end."""
        yield from (draft for draft in self._drafts.values() if draft not in self._shedding)
        yield from reversed(self._shedding)


@dataclass(slots=True)
class _Plan:
    """How one entry is written."""

    home: Page | None  # where it is now, which is written as well
    target: Page | None = None  # where it is to be
    writes_own: bool = False
    clears_own: bool = False
    guards: list[Guard] = field(default_factory=list)


def _places_anew(value: dict[str, Any], stored: dict[str, Any] | None) -> bool:
    """Does the value hold a place that is not on record yet? The time at which a task began is no part of a place."""
    before = (stored or {}).get("a", {})
    return any(list(place[:2]) != list(before.get(index, ())[:2]) for index, place in value.get("a", {}).items())


def _pages_for(sizes: list[int], room: float) -> int:
    """How many pages hold members of these sizes, the largest put first into the first page with room."""
    left: list[float] = []
    for size in sorted(sizes, reverse=True):
        number = next((number for number, rest in enumerate(left) if size <= rest), len(left))
        if number == len(left):
            left.append(room)
        left[number] -= size
    return len(left)


def _largest(page: Page, excess: int) -> tuple[list[str], int]:
    """The fewest members that take so many bytes, and the size of the page without them."""
    chosen: list[str] = []
    size = page.kept_size
    for member in sorted(page.members, key=lambda one: -page.sizes[one]):
        if excess <= 0:
            break
        if member not in page.over:
            chosen.append(member)
            excess, size = excess - page.sizes[member], size - page.sizes[member]
    return chosen, size
