"""Commits the leader's transactions, one at a time, and tells the leader how each of them ended."""

import logging
from collections.abc import Callable

import gevent

from tideusher.actors.store import Conflict, LeaseExpired, Refused, Store, Throttled, Unavailable
from tideusher.core.lead.engine import Engine
from tideusher.core.model import keys
from tideusher.core.model.write_queue import Batch

#: The pauses before the read that follows a transaction without an answer, and before a failed read is repeated.
UNANSWERED_PAUSE_S, READ_AGAIN_PAUSE_S = 0.3, 0.5


class Committer:
    """Nothing else is written while a batch is in flight, so the leader is told however that ends."""

    def __init__(self, store: Store, tell: Callable[..., None]) -> None:
        """`tell` sends the leader a message that begins with `batch_`, or `unwritable` or `commit_failed`."""
        self.log = logging.getLogger("leader")
        self._store, self._tell = store, tell

    def commit(self, engine: Engine, batch: Batch) -> None:
        """Commits a batch."""
        try:
            self._try_to_commit(engine, batch)
        except Exception as error:
            self._tell("commit_failed", engine, error)
            raise

    def _try_to_commit(self, engine: Engine, batch: Batch) -> None:
        """Commits, and tells the leader once the mirror is newer than the transaction."""
        try:
            revision = self._store.txn(batch.guards, batch.writes)
        except Conflict as conflict:
            self.log.info("transaction refused: guards failed on %s", ", ".join(conflict.failed))
            synced = self._store.sync()
            lost = keys.LEADER in conflict.failed
            self._tell("batch_failed", engine, synced, lost, False)
        except Refused as error:
            self.log.info("transaction of %d changes refused as it stands: %s", len(batch.writes), error)
            self._tell("batch_refused", engine)
        except (Unavailable, LeaseExpired) as error:
            self.log.info("transaction not confirmed: %s", error)
            self._tell("unwritable", engine)
            gevent.sleep(UNANSWERED_PAUSE_S)
            self._tell("batch_failed", engine, self._store.sync(), False, not isinstance(error, Throttled))
        else:
            self._tell("batch_committed", engine, revision)

    def read_again(self, engine: Engine, unknown: bool) -> None:
        """Reads again after a failed batch; `sync` returns False on any failure."""
        gevent.sleep(READ_AGAIN_PAUSE_S)
        self._tell("batch_failed", engine, self._store.sync(), False, unknown)
