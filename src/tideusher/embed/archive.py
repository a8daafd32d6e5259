"""The archive of finished jobs: an SQLite table with one checksum per row, looked up by job name.

The journal holds open jobs. Finished ones are archived before the next snapshot omits them, so that memory use and
recovery time depend on open jobs and not on history. A row may be written twice, but its contents never change.
"""

import os
import sqlite3
from collections.abc import Iterable
from typing import Any

import msgspec
import xxhash

from tideusher.embed.errors import Damaged, StorageError

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode


class Archive:
    """An archive file, opened on the first write or lookup."""

    def __init__(self, directory: str) -> None:
        self._path = os.path.join(directory, "finished.sqlite")
        self._db: sqlite3.Connection | None = None

    def put(self, records: Iterable[tuple[str, dict[str, Any]]]) -> None:
        """Stores final records durably. Raises StorageError."""
        rows = [(name, *_row(name, record)) for name, record in records]
        try:
            with self._open() as db:
                db.executemany("INSERT OR REPLACE INTO finished VALUES (?, ?, ?)", rows)
        except sqlite3.Error as error:
            raise StorageError(f"{self._path}: {error}") from None

    def get(self, name: str) -> dict[str, Any] | None:
        """Returns a finished job's record, or None. Raises Damaged."""
        if self._db is None and not os.path.exists(self._path):
            return None
        try:
            row = self._open().execute("SELECT body, sum FROM finished WHERE name = ?", (name,)).fetchone()
        except sqlite3.Error as error:
            raise Damaged(f"{self._path}: {error}") from None
        if row is None:
            return None
        if xxhash.xxh3_64_digest(name.encode() + row[0]) != row[1]:
            raise Damaged(f"{self._path}: the checksum of {name} is wrong")
        return _decode(row[0])

    def close(self) -> None:
        """Closes the file."""
        if self._db is not None:
            self._db.close()
            self._db = None

    def leave_to_parent(self) -> None:
        """In a forked child: drops the connection, as SQLite connections must be neither used nor closed there."""
        self._db = None

    def _open(self) -> sqlite3.Connection:
        if self._db is None:
            # The owner's lock serializes access from different threads.
            self._db = sqlite3.connect(self._path, check_same_thread=False)
            self._db.execute("PRAGMA journal_mode = WAL")
            self._db.execute("PRAGMA synchronous = FULL")
            self._db.execute(
                "CREATE TABLE IF NOT EXISTS finished (name TEXT PRIMARY KEY, body BLOB, sum BLOB) WITHOUT ROWID"
            )
        return self._db


def _row(name: str, record: dict[str, Any]) -> tuple[bytes, bytes]:
    body = _encode(record)
    return body, xxhash.xxh3_64_digest(name.encode() + body)
