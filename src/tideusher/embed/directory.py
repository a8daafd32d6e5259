"""The state of an instance in a directory: what the state service is to the daemon.

Guards and stamps as there, so the engine's writes are the same. Open work is in memory and in the
journal; final records go to the archive at each snapshot, before the snapshot leaves them out.
"""

from collections.abc import Callable, Sequence
from typing import Any

from tideusher.core.model import keys
from tideusher.core.model.records import OPEN
from tideusher.embed.archive import Archive
from tideusher.embed.disk import Disk
from tideusher.embed.journal import Items, Journal
from tideusher.wire.state import Guard, Put, Write

#: A snapshot is due when the journal is so many times as long, and at least this long.
GROWTH, LEAST_BYTES = 2, 4 << 20


class Directory:
    """Owns the journal and the archive of one instance."""

    def __init__(
        self, path: str, disk: Disk | None = None, repair: bool = False, snapshot_bytes: int = LEAST_BYTES
    ) -> None:
        self.journal = Journal(path, disk, repair)
        self._archive = Archive(path)
        self._snapshot_bytes = snapshot_bytes

    @property
    def items(self) -> Items:
        """All that is open, and what ended since the last snapshot."""
        return self.journal.items

    def stamp_of(self, key: str) -> int:
        """The revision of a key's last change; 0: it does not exist."""
        return self.items.get(key, (None, 0))[1]

    def record_of(self, job: str) -> dict[str, Any] | None:
        """A job's own record, however long ago it ended."""
        item = self.items.get(keys.job_key(job))
        return item[0] if item is not None else self._archive.get(job)

    def write(self, guards: Sequence[Guard], writes: Sequence[Write]) -> int | None:
        """Queue a transaction; its revision, or None if a guard failed. On the disk after `sync`."""
        if any(self.stamp_of(guard.key) != guard.stamp for guard in guards):
            return None
        return self.journal.append([(w.key, w.value) if isinstance(w, Put) else (w.key, None) for w in writes])

    def sync(self) -> None:
        """What was written is kept from now on; raises StorageError."""
        self.journal.sync()

    def tidy(self, busy: Callable[[str], bool]) -> bool:
        """Archive and snapshot, if the journal has grown enough; True if it did.

        `busy` tells of a job that is over but has something left to write: it stays in the journal.
        """
        journal = self.journal
        if journal.log_bytes < max(self._snapshot_bytes, GROWTH * journal.snapshot_bytes):
            return False
        over = {
            name: value
            for key, (value, _) in self.items.items()
            if key.startswith(keys.JOB_PREFIX)
            and value["st"] != OPEN
            and not busy(name := key[len(keys.JOB_PREFIX) :])
        }
        if over:
            self._archive.put(over.items())
            for name in over:
                del self.items[keys.job_key(name)]  # the snapshot that follows is the record of this
        journal.snapshot()
        return True

    def close(self) -> None:
        """Let others open it."""
        self._archive.close()
        self.journal.close()

    def leave_to_parent(self) -> None:
        """In a child after a fork."""
        self._archive.leave_to_parent()
        self.journal.leave_to_parent()
