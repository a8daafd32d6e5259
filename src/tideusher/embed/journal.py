"""An append-only journal of key-value changes with snapshots; each record has its own revision.

A record is `length, length checksum, payload checksum, payload`. Both checksums are seeded with the record's
revision, so that lost, duplicated and moved records are detected, and a corrupted length is not mistaken for
a truncated record. Recovery reads the newest snapshot and the records after it, up to the last complete one. A
truncated record is the end of a write that was never acknowledged, and is cut off; a complete record with a
wrong checksum is corruption, and is never skipped (`Damaged`). After any system error nothing more is written,
because the contents of the disk are then unknown: the next opening reads them.
"""

import fcntl
import os
import re
import struct
from collections.abc import Iterable
from typing import Any

import msgspec
import xxhash
import zstandard

from tideusher.embed.disk import Disk
from tideusher.embed.errors import Closed, Damaged, Locked, StorageError

MAGIC = b"TIDEJNL1"
HEAD = struct.Struct("<8sQ")  # magic, revision before the first record
RECORD = struct.Struct("<IIQ")  # payload length, checksum of the length, checksum of the payload
MAX_RECORD = 1 << 28  # bytes
SNAPSHOT_MAGIC = b"TIDESNAP"
SNAPSHOT_HEAD = struct.Struct("<8sHQQ")  # magic, format, revision, checksum of the rest
#: Current snapshot format. Format 1 is not compressed.
FORMAT = 2

Items = dict[str, tuple[Any, int]]
Change = tuple[str, Any]  # a key and its value; None removes it

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode
_NAME = re.compile(r"(journal|snapshot)-([0-9]{20})")


def _path(directory: str, kind: str, revision: int) -> str:
    return os.path.join(directory, f"{kind}-{revision:020d}")


class Lock:
    """An exclusive lock on a directory; released when the process ends, however it ends."""

    def __init__(self, directory: str) -> None:
        path = os.path.join(directory, "lock")
        self._fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            holder = os.read(self._fd, 64).decode("ascii", "replace").strip()
            os.close(self._fd)
            raise Locked(f"{directory}: locked by process {holder or '?'}") from None
        os.ftruncate(self._fd, 0)
        os.pwrite(self._fd, str(os.getpid()).encode(), 0)

    def leave_to_parent(self) -> None:
        """In a forked child: closes the descriptor without unlocking."""
        os.close(self._fd)

    def release(self) -> None:
        """Unlocks the directory."""
        fcntl.flock(self._fd, fcntl.LOCK_UN)
        os.close(self._fd)


class Journal:
    """Owns the files of one directory. Not thread-safe; the owner must serialize calls."""

    def __init__(self, directory: str, disk: Disk | None = None, repair: bool = False) -> None:
        """Locks and recovers the directory. `repair`: truncate the last journal file where it is damaged."""
        self._directory, self._disk = directory, disk or Disk()
        os.makedirs(directory, mode=0o700, exist_ok=True)
        self._lock = Lock(directory)
        self._is_open = True
        self._closed_reason = ""
        self._unsynced: list[bytes] = []
        self._fd = -1
        self.items: Items = {}
        self.revision = 0
        self.log_bytes = self.snapshot_bytes = 0
        try:
            self._recover(repair)
        except BaseException:
            self.close()
            raise

    # ---------------------------------------------------------------- writing

    def append(self, changes: Iterable[Change]) -> int:
        """Applies changes and queues their record; returns its revision. Durable only after `sync`."""
        self._check_open()
        changes = list(changes)
        payload = _encode(changes)
        if len(payload) > MAX_RECORD:
            raise StorageError(f"{self._directory}: a record of {len(payload)} bytes is too large")
        self.revision += 1
        self._apply(changes)
        self._unsynced.append(_record_header(payload, self.revision) + payload)
        return self.revision

    def sync(self) -> None:
        """Writes all appended records to the disk; raises StorageError, after which the journal is closed."""
        self._check_open()
        if not self._unsynced:
            return
        data = b"".join(self._unsynced)
        self._unsynced.clear()
        with self._storage_errors():
            self._disk.write(self._fd, data)
            self._disk.sync(self._fd)
        self.log_bytes += len(data)

    def snapshot(self) -> None:
        """Writes all items to a new snapshot, starts a new journal file after it, and removes the files they replace.

        After each step the directory recovers to the same items: the snapshot is valid once it is renamed,
        and until the new journal file exists the old one, which ends at the snapshot, is continued.
        """
        self.sync()
        body = zstandard.ZstdCompressor(level=3).compress(
            _encode([[key, value, stamp] for key, (value, stamp) in self.items.items()])
        )
        head = SNAPSHOT_HEAD.pack(
            SNAPSHOT_MAGIC, FORMAT, self.revision, xxhash.xxh3_64_intdigest(body, self.revision)
        )
        with self._storage_errors():
            self._write_file("snapshot", head + body)
            self._start_journal()
            self._remove_obsolete()
        self.snapshot_bytes = len(body)

    def close(self) -> None:
        """Closes the files. Records that were not synced are lost; none of them was acknowledged."""
        self._closed_reason = self._closed_reason or "the journal is closed"
        if self._close_files():
            self._lock.release()

    def leave_to_parent(self) -> None:
        """In a forked child: closes the descriptors without changing the files or the lock."""
        self._closed_reason = "the journal belongs to the parent process"
        if self._close_files():
            self._lock.leave_to_parent()

    def _close_files(self) -> bool:
        """Closes the journal file; False if it was closed before."""
        was_open, self._is_open = self._is_open, False
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
        return was_open

    def _check_open(self) -> None:
        if self._closed_reason:
            raise Closed(f"{self._directory}: {self._closed_reason}")

    def _storage_errors(self) -> "_Guard":
        return _Guard(self)

    def fail(self, error: OSError) -> StorageError:
        """Blocks all later writes, as the contents of the disk are unknown after a failed one."""
        self._closed_reason = f"a write failed before ({error.strerror or error}); reopen the directory"
        return StorageError(f"{self._directory}: {error.strerror or error}")

    def _write_file(self, kind: str, data: bytes) -> None:
        path = _path(self._directory, kind, self.revision)
        fd = os.open(path + ".new", os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            self._disk.write(fd, data)
            self._disk.sync(fd)
        finally:
            os.close(fd)
        self._disk.replace(path + ".new", path)
        self._disk.sync_directory(self._directory)

    def _start_journal(self) -> None:
        """Starts a new journal file after the current revision."""
        self._write_file("journal", HEAD.pack(MAGIC, self.revision))
        fd = os.open(_path(self._directory, "journal", self.revision), os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        old, self._fd, self.log_bytes = self._fd, fd, HEAD.size
        if old >= 0:
            os.close(old)

    def _remove_obsolete(self) -> None:
        for _, revision, path in self._files():
            if revision < self.revision or path.endswith(".new"):
                self._disk.remove(path)

    # ---------------------------------------------------------------- recovery

    def _files(self) -> list[tuple[str, int, str]]:
        found = []
        for name in sorted(os.listdir(self._directory)):
            match = _NAME.match(name)
            if match:
                found.append((match[1], int(match[2]), os.path.join(self._directory, name)))
        return found

    def _recover(self, repair: bool) -> None:
        files = [file for file in self._files() if not file[2].endswith(".new")]
        snapshots = [file for file in files if file[0] == "snapshot"]
        logs = [file for file in files if file[0] == "journal"]
        if snapshots:
            self.revision = snapshots[-1][1]
            self._read_snapshot(snapshots[-1][2])
        elif logs and logs[0][1]:
            raise Damaged(f"{self._directory}: the snapshot before revision {logs[0][1]} is missing")
        for _, base_revision, path in logs:
            if base_revision >= self.revision or path == logs[-1][2]:
                self._replay(path, base_revision, repair, last=path == logs[-1][2])
        with self._storage_errors():
            if not logs or logs[-1][1] < (snapshots[-1][1] if snapshots else 0):
                self._start_journal()  # the process ended between writing the snapshot and its journal file
            else:
                self._fd = os.open(logs[-1][2], os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
                self.log_bytes = os.fstat(self._fd).st_size

    def _read_snapshot(self, path: str) -> None:
        data = _read(path)
        if len(data) < SNAPSHOT_HEAD.size:
            raise Damaged(f"{path}: too short for a snapshot")
        magic, version, revision, checksum = SNAPSHOT_HEAD.unpack_from(data)
        body = data[SNAPSHOT_HEAD.size :]
        if magic != SNAPSHOT_MAGIC or revision != self.revision:
            raise Damaged(f"{path}: not a snapshot of revision {self.revision}")
        if not 1 <= version <= FORMAT:
            raise Damaged(f"{path}: format {version} is unknown; this version reads formats up to {FORMAT}")
        if xxhash.xxh3_64_intdigest(body, revision) != checksum:
            raise Damaged(f"{path}: the checksum is wrong")
        rows = _decode(zstandard.ZstdDecompressor().decompress(body) if version >= 2 else body)
        self.items = {key: (value, stamp) for key, value, stamp in rows}
        self.snapshot_bytes = len(body)

    def _replay(self, path: str, base_revision: int, repair: bool, last: bool) -> None:
        data = _read(path)
        if len(data) < HEAD.size or HEAD.unpack_from(data) != (MAGIC, base_revision):
            raise Damaged(f"{path}: not a journal after revision {base_revision}")
        offset, revision = HEAD.size, base_revision
        while offset < len(data):
            payload, reason = _record_at(data, offset, revision + 1)
            if payload is None:
                if not (last and (repair or not reason)):
                    raise Damaged(
                        f"{path}: {reason or 'truncated record'} at byte {offset}, after revision {revision}"
                    )
                with self._storage_errors():
                    os.truncate(path, offset)
                    self._disk.sync_directory(self._directory)
                return
            offset += RECORD.size + len(payload)
            revision += 1
            if revision > self.revision:
                self.revision = revision
                self._apply(_decode(payload))

    def _apply(self, changes: Iterable[Change]) -> None:
        for key, value in changes:
            if value is None:
                self.items.pop(key, None)
            else:
                self.items[key] = (value, self.revision)


class _Guard:
    """Context manager that turns OSError into StorageError and blocks further writes to the journal."""

    def __init__(self, journal: Journal) -> None:
        self._journal = journal

    def __enter__(self) -> None:
        pass

    def __exit__(self, kind: object, error: BaseException | None, trace: object) -> None:
        if isinstance(error, OSError):
            raise self._journal.fail(error) from error


def _read(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read()


def _length_checksum(length: int, revision: int) -> int:
    return xxhash.xxh32_intdigest(length.to_bytes(4, "little"), revision & 0xFFFFFFFF)


def _record_header(payload: bytes, revision: int) -> bytes:
    checksum = xxhash.xxh3_64_intdigest(payload, revision)
    return RECORD.pack(len(payload), _length_checksum(len(payload), revision), checksum)


def _record_at(data: bytes, offset: int, revision: int) -> tuple[bytes | None, str]:
    """Returns the payload of the record at `offset`, or None and the error (empty: the record is only truncated)."""
    remaining = len(data) - offset
    if remaining < RECORD.size or not any(data[offset : offset + RECORD.size + 1]):
        # Too short, or zeros: the file was extended before its data was written.
        return None, "" if not any(data[offset:]) or remaining < RECORD.size else "zeros followed by data"
    length, length_checksum, checksum = RECORD.unpack_from(data, offset)
    if length_checksum != _length_checksum(length, revision):
        return None, "a record with a corrupted length"
    payload = data[offset + RECORD.size : offset + RECORD.size + length]
    if len(payload) < length:
        return None, ""
    if xxhash.xxh3_64_intdigest(payload, revision) != checksum:
        return None, "a record with a wrong checksum"
    return payload, ""
