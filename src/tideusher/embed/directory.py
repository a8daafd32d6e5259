"""Persistent state of an instance in a directory; the counterpart of the daemon's state service.

Guards and stamps work as in the state service, so the engine's writes are the same. Open jobs are in memory and in
the journal; final records move to the archive at each snapshot, before the snapshot omits them.
"""

from collections.abc import Callable, Sequence
from typing import Any

from tideusher.core.model import keys
from tideusher.core.model.records import OPEN
from tideusher.embed.archive import Archive
from tideusher.embed.disk import Disk
from tideusher.embed.journal import Items, Journal
from tideusher.wire.state import Guard, Put, Write

#: A snapshot is due when the journal is GROWTH times as long as the last snapshot, and at least LEAST_BYTES long.
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
        """The items of open jobs, and of jobs that ended since the last snapshot."""
        return self.journal.items

    def stamp_of(self, key: str) -> int:
        """Returns the revision of a key's last change; 0 if the key does not exist."""
        return self.items.get(key, (None, 0))[1]

    def record_of(self, job: str) -> dict[str, Any] | None:
        """Returns a job's record from memory or the archive, or None."""
        item = self.items.get(keys.job_key(job))
        return item[0] if item is not None else self._archive.get(job)

    def write(self, guards: Sequence[Guard], writes: Sequence[Write]) -> int | None:
        """Queues a transaction; returns its revision, or None if a guard failed. Durable only after `sync`."""
        if any(self.stamp_of(guard.key) != guard.stamp for guard in guards):
            return None
        return self.journal.append([(w.key, w.value) if isinstance(w, Put) else (w.key, None) for w in writes])

    def sync(self) -> None:
        """Makes all queued transactions durable; raises StorageError."""
        self.journal.sync()

    def tidy(self, busy: Callable[[str], bool]) -> bool:
        """Archives finished jobs and writes a snapshot if the journal has grown enough; True if it did.

        `busy` returns whether a finished job still has writes pending: such a job stays in the journal.
        """
        journal = self.journal
        if journal.log_bytes < max(self._snapshot_bytes, GROWTH * journal.snapshot_bytes):
            return False
        finished = {
            name: value
            for key, (value, _) in self.items.items()
            if key.startswith(keys.JOB_PREFIX)
            and value["st"] != OPEN
            and not busy(name := key[len(keys.JOB_PREFIX) :])
        }
        if finished:
            self._archive.put(finished.items())
            for name in finished:
                del self.items[keys.job_key(name)]  # made durable by the snapshot below
        journal.snapshot()
        return True

    def close(self) -> None:
        """Closes the files and unlocks the directory."""
        self._archive.close()
        self.journal.close()

    def leave_to_parent(self) -> None:
        """In a forked child: leaves the files and the lock to the parent."""
        self._archive.leave_to_parent()
        self.journal.leave_to_parent()
