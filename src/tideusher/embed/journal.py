"""An append-only journal with snapshots: keys, values and one revision a record.

A record is `length, its check, checksum, payload`; both checks are seeded with the record's revision, so
that none can be lost, doubled or moved unseen, and a length that was changed is not taken for a record
that breaks off. Recovery reads the newest snapshot and the records after it, up to the last whole one. A
record that breaks off is the end of a write that was never acknowledged, and is cut off; one that is whole
and wrong is damage, and is not passed over (`Damaged`). After any error of the system nothing more is
written: what is on the disk then is for the next opening to find out.
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
RECORD = struct.Struct("<IIQ")  # length of the payload, the check of that, the payload's checksum
MAX_RECORD = 1 << 28
SNAPSHOT_MAGIC = b"TIDESNAP"
SNAPSHOT_HEAD = struct.Struct("<8sHQQ")  # magic, format, revision, checksum of the rest
#: Format 1 was not compressed.
FORMAT = 2

Items = dict[str, tuple[Any, int]]
Change = tuple[str, Any]  # a key and its value; None removes it

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode
_NAME = re.compile(r"(journal|snapshot)-([0-9]{20})")


def _path(directory: str, kind: str, revision: int) -> str:
    return os.path.join(directory, f"{kind}-{revision:020d}")


class Lock:
    """One opener of a directory at a time; it ends with the process, however that ends."""

    def __init__(self, directory: str) -> None:
        path = os.path.join(directory, "lock")
        self._fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            holder = os.read(self._fd, 64).decode("ascii", "replace").strip()
            os.close(self._fd)
            raise Locked(f"{directory}: process {holder or '?'} has it open") from None
        os.ftruncate(self._fd, 0)
        os.pwrite(self._fd, str(os.getpid()).encode(), 0)

    def leave_to_parent(self) -> None:
        """In a child: let go of the descriptor, not of the lock."""
        os.close(self._fd)

    def release(self) -> None:
        """Let others open the directory."""
        fcntl.flock(self._fd, fcntl.LOCK_UN)
        os.close(self._fd)


class Journal:
    """Owns the files of one directory. Not safe for threads; its owner takes care of that."""

    def __init__(self, directory: str, disk: Disk | None = None, repair: bool = False) -> None:
        """Lock, and recover. `repair`: cut off what is damaged at the end instead of refusing it."""
        self._directory, self._disk = directory, disk or Disk()
        os.makedirs(directory, mode=0o700, exist_ok=True)
        self._lock = Lock(directory)
        self._held = True
        self._failed = ""
        self._waiting: list[bytes] = []
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
        """Apply changes and queue their record; returns its revision. Nothing is kept before `sync`."""
        self._check()
        changes = list(changes)
        payload = _encode(changes)
        if len(payload) > MAX_RECORD:
            raise StorageError(f"{self._directory}: a record of {len(payload)} bytes is too long")
        self.revision += 1
        self._apply(changes)
        self._waiting.append(_head(payload, self.revision) + payload)
        return self.revision

    def sync(self) -> None:
        """All that was appended is on the disk when this returns; raises StorageError, and is closed then."""
        self._check()
        if not self._waiting:
            return
        data = b"".join(self._waiting)
        self._waiting.clear()
        with self._guarded():
            self._disk.write(self._fd, data)
            self._disk.sync(self._fd)
        self.log_bytes += len(data)

    def snapshot(self) -> None:
        """Write all items to a new snapshot, begin a new journal after it, and remove what they replace.

        Each step leaves a directory that recovers to the same items: the snapshot counts once it is
        renamed, and until the new journal is there the old one, which ends at the snapshot, goes on.
        """
        self.sync()
        body = zstandard.ZstdCompressor(level=3).compress(
            _encode([[key, value, stamp] for key, (value, stamp) in self.items.items()])
        )
        head = SNAPSHOT_HEAD.pack(
            SNAPSHOT_MAGIC, FORMAT, self.revision, xxhash.xxh3_64_intdigest(body, self.revision)
        )
        with self._guarded():
            self._write_file("snapshot", head + body)
            self._begin_log()
            self._clear_up()
        self.snapshot_bytes = len(body)

    def close(self) -> None:
        """Let go of the files. What was appended and not synced is lost, as it was acknowledged to nobody."""
        self._failed = self._failed or "it is closed"
        if self._let_go():
            self._lock.release()

    def leave_to_parent(self) -> None:
        """In a child after a fork: forget the files without touching them."""
        self._failed = "it is the parent's"
        if self._let_go():
            self._lock.leave_to_parent()

    def _let_go(self) -> bool:
        """Close the journal's file; False if that was done before."""
        held, self._held = self._held, False
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
        return held

    def _check(self) -> None:
        if self._failed:
            raise Closed(f"{self._directory}: {self._failed}")

    def _guarded(self) -> "_Guard":
        return _Guard(self)

    def fail(self, error: OSError) -> StorageError:
        """No later write may follow one of which we do not know what is on the disk."""
        self._failed = f"a write failed before ({error.strerror or error}); open it again"
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

    def _begin_log(self) -> None:
        """A new journal that begins after the present revision."""
        self._write_file("journal", HEAD.pack(MAGIC, self.revision))
        fd = os.open(_path(self._directory, "journal", self.revision), os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        old, self._fd, self.log_bytes = self._fd, fd, HEAD.size
        if old >= 0:
            os.close(old)

    def _clear_up(self) -> None:
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
        files = [one for one in self._files() if not one[2].endswith(".new")]
        snapshots = [one for one in files if one[0] == "snapshot"]
        logs = [one for one in files if one[0] == "journal"]
        if snapshots:
            self.revision = snapshots[-1][1]
            self._read_snapshot(snapshots[-1][2])
        elif logs and logs[0][1]:
            raise Damaged(f"{self._directory}: there is no snapshot before revision {logs[0][1]}")
        for _, first, path in logs:
            if first >= self.revision or path == logs[-1][2]:
                self._replay(path, first, repair, last=path == logs[-1][2])
        with self._guarded():
            if not logs or logs[-1][1] < (snapshots[-1][1] if snapshots else 0):
                self._begin_log()  # it ended between the snapshot and its journal
            else:
                self._fd = os.open(logs[-1][2], os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
                self.log_bytes = os.fstat(self._fd).st_size

    def _read_snapshot(self, path: str) -> None:
        data = _read(path)
        if len(data) < SNAPSHOT_HEAD.size:
            raise Damaged(f"{path}: it is too short for a snapshot")
        magic, version, revision, checksum = SNAPSHOT_HEAD.unpack_from(data)
        body = data[SNAPSHOT_HEAD.size :]
        if magic != SNAPSHOT_MAGIC or revision != self.revision:
            raise Damaged(f"{path}: it is no snapshot of revision {self.revision}")
        if not 1 <= version <= FORMAT:
            raise Damaged(f"{path}: format {version} is unknown; this version reads formats up to {FORMAT}")
        if xxhash.xxh3_64_intdigest(body, revision) != checksum:
            raise Damaged(f"{path}: its checksum is wrong")
        rows = _decode(zstandard.ZstdDecompressor().decompress(body) if version >= 2 else body)
        self.items = {key: (value, stamp) for key, value, stamp in rows}
        self.snapshot_bytes = len(body)

    def _replay(self, path: str, first: int, repair: bool, last: bool) -> None:
        data = _read(path)
        if len(data) < HEAD.size or HEAD.unpack_from(data) != (MAGIC, first):
            raise Damaged(f"{path}: it is no journal after revision {first}")
        at, revision = HEAD.size, first
        while at < len(data):
            payload, reason = _record_at(data, at, revision + 1)
            if payload is None:
                if not (last and (repair or not reason)):
                    raise Damaged(f"{path}: {reason or 'it breaks off'} at byte {at}, after revision {revision}")
                with self._guarded():
                    os.truncate(path, at)
                    self._disk.sync_directory(self._directory)
                return
            at += RECORD.size + len(payload)
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
    """Turns an error of the system into StorageError, and bars the journal."""

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


def _length_check(length: int, revision: int) -> int:
    return xxhash.xxh32_intdigest(length.to_bytes(4, "little"), revision & 0xFFFFFFFF)


def _head(payload: bytes, revision: int) -> bytes:
    checksum = xxhash.xxh3_64_intdigest(payload, revision)
    return RECORD.pack(len(payload), _length_check(len(payload), revision), checksum)


def _record_at(data: bytes, at: int, revision: int) -> tuple[bytes | None, str]:
    """The payload of the record at `at`; else None and why it is wrong (empty: it only breaks off there)."""
    rest = len(data) - at
    if rest < RECORD.size or not any(data[at : at + RECORD.size + 1]):
        # Too short, or zeros: a file that was made longer before its data came.
        return None, "" if not any(data[at:]) or rest < RECORD.size else "zeros with data behind them"
    length, check, checksum = RECORD.unpack_from(data, at)
    if check != _length_check(length, revision):
        return None, "a record whose length was changed"
    payload = data[at + RECORD.size : at + RECORD.size + length]
    if len(payload) < length:
        return None, ""
    if xxhash.xxh3_64_intdigest(payload, revision) != checksum:
        return None, "a record with a wrong checksum"
    return payload, ""
