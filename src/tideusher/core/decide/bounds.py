"""How long a node may keep workers alive without the state service (docs/safety.md, 6)."""

from tideusher.clock import to_us
from tideusher.config import Config


def may_answer(config: Config, contact_us: int | None, now_us: int) -> bool:
    """May a report be answered, given when our newest answered read of the state service was sent?

    Another node may have told a user of a cancellation right after that read. A worker that gets no
    answer any more ends its tasks within its lease, which must be over before `cancel_s` is. This holds
    for a leader just as for a gateway alone: a leader that only it could not reach the state service
    once kept cancelled tasks alive for as long as it was cut off.
    """
    workers = config.settings.workers
    limit_us = to_us(max(0.0, (workers.cancel_s - workers.lease_s) * 0.95 - 1.0))
    return contact_us is not None and now_us - contact_us <= limit_us
