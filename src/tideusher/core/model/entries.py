"""One record that a leader owns, as it waits to be written."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tideusher.wire.state import Guard

Effect = Callable[[], None]


@dataclass(slots=True, eq=False)
class Entry:
    """One key that the leader owns."""

    key: str
    value: Callable[[], Any]  # None: the key is to be removed
    stamp: int  # of the record of its own; 0: there is none
    extra_guards: Callable[[], list[Guard]] = list  # more guards, such as the job's own key
    effects: list[Effect] = field(default_factory=list)
    dirty: bool = False
    valid: Callable[[], bool] = lambda: True  # false: the write has lost its point and is dropped
    settled: Effect = lambda: None  # after each write of it, whoever asked for that
    owner: str = ""  # the job whose record it is
    member: str = ""  # the name under which it may be kept in a shared page; empty: always in a record of its own
