"""HTTP answers to users and operators."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class Reply:
    """An HTTP answer to a user."""

    status: int
    body: Any
    headers: list[tuple[str, str]] = field(default_factory=list)


def refusal(status: int, reason: str) -> Reply:
    """A refusal in one line, at once."""
    return Reply(status, {"error": reason}, retry_later(status))


def retry_later(status: int) -> list[tuple[str, str]]:
    """What cannot be taken now is told when to come back, instead of being held."""
    return [("Retry-After", "1")] if status in (429, 503) else []
