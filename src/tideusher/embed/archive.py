"""Finished jobs, out of memory: a table of an SQLite file, a checksum a row, looked up by name.

The journal keeps what is open; what is over goes here before the next snapshot leaves it out, so that
memory and recovery follow open jobs and not history. A row may be written twice and is never changed.
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
    """One file, opened when something is first written or looked up."""

    def __init__(self, directory: str) -> None:
        self._path = os.path.join(directory, "finished.sqlite")
        self._db: sqlite3.Connection | None = None

    def put(self, records: Iterable[tuple[str, dict[str, Any]]]) -> None:
        """Keep final records; on the disk when this returns. Raises StorageError."""
        rows = [(name, *_row(name, record)) for name, record in records]
        try:
            with self._open() as db:
                db.executemany("INSERT OR REPLACE INTO finished VALUES (?, ?, ?)", rows)
        except sqlite3.Error as error:
            raise StorageError(f"{self._path}: {error}") from None

    def get(self, name: str) -> dict[str, Any] | None:
        """A finished job's record, or None. Raises Damaged."""
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
        """Let go of the file."""
        if self._db is not None:
            self._db.close()
            self._db = None

    def leave_to_parent(self) -> None:
        """In a child after a fork: SQLite's connections must not be used there, nor closed."""
        self._db = None

    def _open(self) -> sqlite3.Connection:
        if self._db is None:
            # The owner's lock lets one thread at a time in here.
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
