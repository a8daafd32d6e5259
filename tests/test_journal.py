"""Storage of embedded instances: truncated and corrupted files, full and failing disks, snapshots, the archive."""

import errno
import os
import random
import shutil
import struct

import msgspec
import pytest
import xxhash

from tideusher.core.model import keys
from tideusher.core.model.records import JOB_DONE, OPEN
from tideusher.embed import Closed, Damaged, Locked, StorageError
from tideusher.embed.directory import Directory
from tideusher.embed.disk import Disk
from tideusher.embed.journal import HEAD, SNAPSHOT_HEAD, SNAPSHOT_MAGIC, Journal
from tideusher.wire.state import Guard, Put


class Crash(BaseException):
    """Simulates the end of the process."""


class FaultyDisk(Disk):
    """Fails, or crashes the process, at its nth call; a failing write has written part of its data."""

    def __init__(self, at, error=None, part=0.5):
        self.calls_left, self.error, self.part = at, error, part

    def _is_fault_due(self):
        self.calls_left -= 1
        return self.calls_left == 0

    def _raise(self):
        raise Crash if self.error is None else OSError(self.error, os.strerror(self.error))

    def write(self, fd, data):
        if self._is_fault_due():
            os.write(fd, data[: int(len(data) * self.part)])
            self._raise()
        super().write(fd, data)

    def _step(self, call, *args):
        due = self._is_fault_due()
        if due and self.part < 0.5:  # fail before the call takes effect; otherwise after it
            self._raise()
        call(*args)
        if due:
            self._raise()

    def sync(self, fd):
        self._step(super().sync, fd)

    def replace(self, source, target):
        self._step(super().replace, source, target)

    def remove(self, path):
        self._step(super().remove, path)

    def sync_directory(self, path):
        self._step(super().sync_directory, path)


def values_of(journal):
    return {key: value for key, (value, _) in journal.items.items()}


def newest_file(directory, kind):
    return str(directory / sorted(name for name in os.listdir(directory) if name.startswith(kind))[-1])


def write_journal(directory, count=20):
    journal = Journal(str(directory))
    for number in range(count):
        journal.append([(f"k{number % 7}", {"n": number}), ("gone", None if number % 2 else 1)])
    journal.sync()
    return journal


@pytest.mark.real_disk
def test_synced_records_are_recovered_with_their_stamps_and_others_are_not(tmp_path):
    journal = write_journal(tmp_path)
    items, revision = dict(journal.items), journal.revision
    journal.append([("late", 1)])
    journal.close()
    with pytest.raises(Closed):
        journal.append([("later", 1)])
    reopened = Journal(str(tmp_path))
    assert (reopened.items, reopened.revision) == (items, revision)
    assert reopened.append([("k0", None)]) == revision + 1
    reopened.snapshot()
    assert len(reopened._files()) == 2
    reopened.append([("after", True)])
    reopened.sync()
    reopened.close()
    last = Journal(str(tmp_path))
    assert last.items == reopened.items and last.items["after"] == (True, revision + 2)
    last.close()


def test_a_second_opener_is_refused_with_the_holders_pid_until_the_journal_is_closed(tmp_path):
    journal = write_journal(tmp_path)
    with pytest.raises(Locked, match=str(os.getpid())):
        Journal(str(tmp_path))
    journal.close()
    Journal(str(tmp_path)).close()


@pytest.mark.parametrize("cut", range(1, 60, 7))
def test_a_truncated_record_is_cut_off_and_the_others_are_recovered(tmp_path, cut):
    journal = write_journal(tmp_path)
    before = values_of(journal)
    journal.append([("torn", "x" * 40)])
    journal.sync()
    journal.close()
    path = newest_file(tmp_path, "journal")
    os.truncate(path, os.path.getsize(path) - cut)
    reopened = Journal(str(tmp_path))
    assert values_of(reopened) == before
    reopened.append([("more", 1)])
    reopened.sync()
    reopened.close()
    assert values_of(Journal(str(tmp_path))) == {**before, "more": 1}


def test_zeros_after_the_last_record_are_cut_off(tmp_path):
    journal = write_journal(tmp_path)
    before = values_of(journal)
    journal.close()
    path = newest_file(tmp_path, "journal")
    os.truncate(path, os.path.getsize(path) + 4096)
    assert values_of(Journal(str(tmp_path))) == before


def test_every_flipped_bit_is_detected(tmp_path):
    """A flipped bit is always reported as damage, so that no acknowledged record is lost silently."""
    write_journal(tmp_path / "a", 6).close()
    path = newest_file(tmp_path / "a", "journal")
    data = open(path, "rb").read()
    for bit in range(len(data) * 8):
        broken = bytearray(data)
        broken[bit // 8] ^= 1 << bit % 8
        with open(path, "wb") as file:
            file.write(broken)
        with pytest.raises(Damaged, match="journal"):
            Journal(str(tmp_path / "a"))
        if bit % 8 == 0 and bit > HEAD.size * 8:
            copy = shutil.copytree(tmp_path / "a", tmp_path / "b", dirs_exist_ok=True)
            Journal(str(copy), repair=True).close()  # on request, the records before the damage are recovered


def test_flipped_bits_and_unknown_formats_of_snapshots_are_reported(tmp_path):
    journal = write_journal(tmp_path)
    journal.snapshot()
    journal.close()
    path = newest_file(tmp_path, "snapshot")
    data = open(path, "rb").read()
    rng = random.Random(1)
    for bit in rng.sample(range(len(data) * 8), 200):
        broken = bytearray(data)
        broken[bit // 8] ^= 1 << bit % 8
        open(path, "wb").write(broken)
        with pytest.raises(Damaged, match="snapshot"):
            Journal(str(tmp_path))
    newer = bytearray(data)
    struct.pack_into("<H", newer, 8, 99)
    open(path, "wb").write(newer)
    with pytest.raises(Damaged, match="format 99 is unknown; this version reads formats up to 2"):
        Journal(str(tmp_path))


def test_an_older_snapshot_format_is_read(tmp_path):
    body = msgspec.msgpack.encode([["t/x", {"a": 1}, 7]])
    head = SNAPSHOT_HEAD.pack(SNAPSHOT_MAGIC, 1, 9, xxhash.xxh3_64_intdigest(body, 9))
    (tmp_path / f"snapshot-{9:020d}").write_bytes(head + body)
    journal = Journal(str(tmp_path))
    assert journal.items == {"t/x": ({"a": 1}, 7)} and journal.append([("k", 1)]) == 10


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("part", [0.0, 0.7])
def test_after_any_error_no_write_follows_and_no_acknowledged_record_is_lost(tmp_path, error, part):
    for at in range(1, 40):
        directory = tmp_path / str(at)
        synced, failed = {}, False
        try:
            journal = Journal(str(directory), FaultyDisk(at, error, part))
        except StorageError:
            continue
        for number in range(12):
            try:
                journal.append([(f"k{number}", number)])
                journal.sync()
                synced[f"k{number}"] = number
                if number % 5 == 4:
                    journal.snapshot()
            except StorageError as raised:
                assert os.strerror(error) in str(raised)
                failed = True
                break
        if failed:
            with pytest.raises(Closed, match="a write failed before"):
                journal.append([("k", 1)])
        journal.close()
        reopened = values_of(Journal(str(directory)))
        assert reopened.items() >= synced.items() and len(reopened) <= len(synced) + 1, at


@pytest.mark.parametrize("part", [0.0, 0.7])
def test_a_crash_at_any_call_loses_no_synced_record(tmp_path, part):
    ended = 0
    for at in range(1, 60):
        directory = tmp_path / str(at)
        synced, journal = {}, None
        try:
            journal = Journal(str(directory), FaultyDisk(at, None, part))
            for number in range(12):
                journal.append([(f"k{number}", number)])
                journal.sync()
                synced[f"k{number}"] = number
                if number % 3 == 2:
                    journal.snapshot()
        except Crash:
            ended += 1
        if journal is not None:
            journal.close()
        reopened = Journal(str(directory))
        assert values_of(reopened).items() >= synced.items() and len(reopened.items) <= len(synced) + 1, at
        reopened.close()
    assert ended > 30


# Finished jobs


def final_record(number):
    return {"st": JOB_DONE, "at": number, "n": 1}


def test_finished_jobs_move_from_memory_to_the_archive(tmp_path):
    directory = Directory(str(tmp_path), snapshot_bytes=1000)
    for number in range(100):
        value = final_record(number) if number % 10 else {"st": OPEN, "at": number}
        directory.write([], [Put(keys.job_key(f"req-{number}"), value)])
    directory.sync()
    assert directory.tidy(lambda job: job == "req-7") and len(directory.items) == 11
    assert directory.record_of("req-13") == final_record(13) and directory.record_of("req-7") == final_record(7)
    assert directory.record_of("req-10")["st"] == OPEN and directory.record_of("req-1000") is None
    assert not directory.tidy(lambda job: False)  # it has not grown since
    key = keys.job_key("req-10")
    assert directory.write([Guard(key, 1)], [Put(key, 1)]) is None
    directory.close()
    reopened = Directory(str(tmp_path))
    assert len(reopened.items) == 11 and reopened.record_of("req-99") == final_record(99)
    reopened.close()


def test_a_flipped_bit_of_an_archived_record_is_reported(tmp_path):
    directory = Directory(str(tmp_path), snapshot_bytes=1)
    directory.write([], [Put(keys.job_key("req-1"), final_record(123456))])
    directory.sync()
    directory.tidy(lambda job: False)
    directory.close()
    path = tmp_path / "finished.sqlite"
    data = path.read_bytes()
    body = msgspec.msgpack.encode(final_record(123456))
    assert data.count(body) == 1
    path.write_bytes(data.replace(body, body[:-1] + bytes([body[-1] ^ 1])))
    reopened = Directory(str(tmp_path))
    with pytest.raises(Damaged, match="the checksum of req-1 is wrong"):
        reopened.record_of("req-1")
