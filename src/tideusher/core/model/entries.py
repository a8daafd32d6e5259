"""Records that wait to be written by the leader."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from tideusher.wire.state import Guard

Effect = Callable[[], None]


@dataclass(slots=True, eq=False)
class Entry:
    """A record that the leader owns, and its pending effects."""

    key: str
    value: Callable[[], Any]  # None: the key is to be deleted
    stamp: int  # stamp of the record under its own key; 0: there is none
    extra_guards: Callable[[], list[Guard]] = list  # further guards, such as the job's own key
    effects: list[Effect] = field(default_factory=list)
    dirty: bool = False
    valid: Callable[[], bool] = lambda: True  # False: the write is obsolete and is dropped
    settled: Effect = lambda: None  # called after each write of the entry
    owner: str = ""  # the job that the record belongs to
    depends_on: Callable[[], Iterable[str]] = tuple  # keys whose records must be stored before this one
    member: str = ""  # its name in a shared page; empty: always stored under a key of its own
