"""Limits how long a node may keep workers alive without the state service (docs/safety.md, 6)."""

from tideusher.clock import to_us
from tideusher.config import Config


def may_answer(config: Config, contact_us: int | None, now_us: int) -> bool:
    """True if a report may be answered, given when this node's latest answered read of the state service was sent.

    Another node may have confirmed a cancellation to a user right after that read. A worker that gets no more answers
    ends its tasks within its lease, which must end before `cancel_s` does. This applies to a leader just as to a
    gateway: a leader that was the only node without the state service once kept cancelled tasks alive for as long as
    it was cut off.
    """
    workers = config.settings.workers
    limit_us = to_us(max(0.0, (workers.cancel_s - workers.lease_s) * 0.95 - 1.0))
    return contact_us is not None and now_us - contact_us <= limit_us
