"""HTTP answers to users and operators."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class Reply:
    """An HTTP answer to a user or an operator."""

    status: int
    body: Any
    headers: list[tuple[str, str]] = field(default_factory=list)


def refusal(status: int, reason: str) -> Reply:
    """Returns a refusal with its reason."""
    return Reply(status, {"error": reason}, retry_later(status))


def retry_later(status: int) -> list[tuple[str, str]]:
    """Returns the Retry-After header of a status that allows a retry: such requests are refused, not queued."""
    return [("Retry-After", "1")] if status in (429, 503) else []
