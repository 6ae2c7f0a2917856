"""Test the control state file under faults: each system call of open, append and rewrite fails once, or loses power.

A restart must find the state before or after the operation, and every record whose append returned."""

from __future__ import annotations

import errno
import itertools
import os
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from mulleinhatch.storage import append_log as append_log_module
from mulleinhatch.storage.append_log import LOG_NAME, REWRITE_NAME, AppendLog
from mulleinhatch.storage.records import MAGIC, ForeignFileError, Record, UnsupportedVersionError, decode_log

DIRECTORY = Path("/data")
FIRST, SECOND, THIRD, SNAPSHOT = (Record(kind, text) for kind, text in ((1, b"disk"), (3, b"one"), (3, b"two"), (4, b"both")))


class PowerLost(BaseException):
    """The machine loses power. A BaseException, so that AppendLog does not handle it as a failed call."""


class File:
    """An inode: its data, and the part of it that is durable."""

    def __init__(self) -> None:
        self.data, self.synced = bytearray(), b""


class FakeDisk:
    """A stand-in for `os` with the calls that AppendLog makes.

    Names and data are durable once synced; unsynced ones may or may not survive a power loss.
    """

    O_RDWR, O_CREAT, O_TRUNC, O_RDONLY = os.O_RDWR, os.O_CREAT, os.O_TRUNC, os.O_RDONLY
    SEEK_SET = os.SEEK_SET

    def __init__(self) -> None:
        self.names: dict[str, File] = {}
        self.synced_names: dict[str, File] = {}
        self.open_files: dict[int, list] = {}  # descriptor: [file or None for the directory, offset]
        self.calls = 0
        self.fail_at = self.power_off_at = -1
        self.descriptors = itertools.count(3)

    def _call(self) -> None:
        self.calls += 1
        if self.calls == self.power_off_at:
            raise PowerLost
        if self.calls == self.fail_at:
            raise OSError(errno.EIO, "injected fault")

    def open(self, path: os.PathLike | str, flags: int, mode: int = 0) -> int:
        self._call()
        number, name = next(self.descriptors), Path(path).name
        if Path(path) == DIRECTORY:
            self.open_files[number] = [None, 0]
            return number
        if name not in self.names:
            if not flags & os.O_CREAT:
                raise FileNotFoundError(errno.ENOENT, name)
            self.names[name] = File()
        if flags & os.O_TRUNC:
            self.names[name].data.clear()
        self.open_files[number] = [self.names[name], 0]
        return number

    def close(self, number: int) -> None:
        self._call()
        del self.open_files[number]

    def write(self, number: int, data: bytes) -> int:
        file, offset = self.open_files[number]
        written = max(1, len(data) // 2)
        file.data[offset : offset + written] = bytes(data[:written])
        self.open_files[number][1] = offset + written
        self._call()
        return written

    def read(self, number: int, size: int) -> bytes:
        self._call()
        file, offset = self.open_files[number]
        self.open_files[number][1] = min(len(file.data), offset + size)
        return bytes(file.data[offset : offset + size])

    def makedirs(self, _: os.PathLike, exist_ok: bool) -> None:
        """Do nothing: the directory exists."""

    def lseek(self, number: int, offset: int, _: int) -> None:
        self._call()
        self.open_files[number][1] = offset

    def ftruncate(self, number: int, size: int) -> None:
        self._call()
        file = self.open_files[number][0]
        del file.data[size:]
        file.data.extend(bytes(size - len(file.data)))

    def fsync(self, number: int) -> None:
        self._call()
        file = self.open_files[number][0]
        if file is None:
            self.synced_names = dict(self.names)
        else:
            file.synced = bytes(file.data)
            for name, other in self.names.items():  # syncing a new file makes its name durable too
                if other is file:
                    self.synced_names.setdefault(name, file)

    fdatasync = fsync

    def replace(self, source: os.PathLike, target: os.PathLike) -> None:
        self._call()
        self.names[Path(target).name] = self.names.pop(Path(source).name)

    def after_power_loss(self, keep_names: bool, keep_data: bool) -> FakeDisk:
        """Return the disk as a restart finds it, with or without unsynced names and data."""
        disk = FakeDisk()
        names = self.names if keep_names else self.synced_names
        for name, file in names.items():
            survivor = disk.names[name] = File()
            survivor.data = bytearray(file.data if keep_data else file.synced)
            survivor.synced = bytes(survivor.data)
        disk.synced_names = dict(disk.names)
        return disk

    def after_kill(self) -> FakeDisk:
        return self.after_power_loss(keep_names=True, keep_data=True)


def open_log(disk: FakeDisk) -> tuple[AppendLog, list[Record]]:
    """Open the log on a disk; return it with its records."""
    with use_disk(disk):
        log = AppendLog(str(DIRECTORY))
        return log, log.open()


def use_disk(disk: FakeDisk):
    """Replace `os` in the append log module by this disk."""
    return mock.patch.object(append_log_module, "os", disk)


def records_after_restart(disk: FakeDisk) -> list[Record]:
    return open_log(disk)[1]


class FaultTest(unittest.TestCase):
    def prepare(self) -> tuple[FakeDisk, AppendLog]:
        disk = FakeDisk()
        log, _ = open_log(disk)
        with use_disk(disk):
            log.append([FIRST, SECOND])
        disk.calls = 0
        return disk, log

    def count_calls(self, operation: Callable[[AppendLog], None]) -> int:
        disk, log = self.prepare()
        with use_disk(disk):
            operation(log)
        return disk.calls

    def check(self, disk: FakeDisk, allowed: tuple[list[Record], ...], where: object) -> None:
        for keep_names, keep_data in itertools.product((True, False), repeat=2):
            records = records_after_restart(disk.after_power_loss(keep_names, keep_data))
            self.assertIn(records, allowed, (where, keep_names, keep_data))

    def check_any_fault(self, operation: Callable[[AppendLog], None], after: list[Record]) -> None:
        """Fail each call of an operation once, append a record after it, and restart."""
        before = [FIRST, SECOND]
        for at in range(1, self.count_calls(operation) + 1):
            disk, log = self.prepare()
            disk.fail_at = at
            with use_disk(disk):
                try:
                    operation(log)
                    has_failed = False
                except OSError:
                    has_failed = True
                state = (before, after) if has_failed else (after,)
                self.check(disk, state, at)
                log.append([THIRD])
            self.check(disk, tuple([*records, THIRD] for records in state), (at, "appended"))

    def check_power_loss_at_any_call(self, operation: Callable[[AppendLog], None], after: list[Record]) -> None:
        for at in range(1, self.count_calls(operation) + 1):
            disk, log = self.prepare()
            disk.power_off_at = at
            with use_disk(disk), self.assertRaises(PowerLost):
                operation(log)
            for keep_names, keep_data in itertools.product((True, False), repeat=2):
                records = records_after_restart(disk.after_power_loss(keep_names, keep_data))
                self.assertIn(
                    records[:2] if after != [SNAPSHOT] else records, ([FIRST, SECOND], after), (at, keep_names, keep_data)
                )

    def test_append_with_any_call_failing(self):
        self.check_any_fault(lambda log: log.append([SNAPSHOT]), [FIRST, SECOND, SNAPSHOT])

    def test_rewrite_with_any_call_failing(self):
        """Regression: after a failed directory sync, the next acknowledged records were lost."""
        self.check_any_fault(lambda log: log.rewrite([SNAPSHOT]), [SNAPSHOT])

    def test_append_with_power_loss_at_any_call(self):
        self.check_power_loss_at_any_call(lambda log: log.append([SNAPSHOT]), [FIRST, SECOND, SNAPSHOT])

    def test_rewrite_with_power_loss_at_any_call(self):
        self.check_power_loss_at_any_call(lambda log: log.rewrite([SNAPSHOT]), [SNAPSHOT])

    def test_open_after_an_open_with_any_call_failing(self):
        disk, log = self.prepare()
        for at in range(1, 12):
            disk.calls, disk.fail_at = 0, at
            again = AppendLog(str(DIRECTORY))
            with use_disk(disk):
                try:
                    self.assertEqual(again.open(), [FIRST, SECOND], at)
                except OSError:
                    pass
            disk.fail_at = -1
            self.assertEqual(records_after_restart(disk.after_kill()), [FIRST, SECOND], at)
            self.check(disk, ([FIRST, SECOND],), at)

    def test_first_open_with_any_call_failing_or_losing_power(self):
        for at in range(1, 9):
            for fault in ("fail_at", "power_off_at"):
                disk = FakeDisk()
                setattr(disk, fault, at)
                with use_disk(disk):
                    try:
                        self.assertEqual(AppendLog(str(DIRECTORY)).open(), [])
                    except (OSError, PowerLost):
                        pass
                self.check(disk, ([],), (at, fault))

    @seed(20261202)
    @settings(max_examples=200, deadline=None, suppress_health_check=list(HealthCheck), database=None)
    @given(
        steps=st.lists(st.sampled_from(["append", "rewrite", "kill"]), min_size=1, max_size=8),
        fail_at=st.lists(st.integers(1, 60), max_size=4),
        keep_names=st.booleans(),
        keep_data=st.booleans(),
    )
    def test_any_sequence_of_calls_and_faults_keeps_durable_records(self, steps, fail_at, keep_names, keep_data):
        disk, log = self.prepare()
        durable, possible, number = [FIRST, SECOND], [[FIRST, SECOND]], itertools.count()
        failures = iter(sorted(set(fail_at)))
        disk.fail_at = next(failures, -1)
        for step in steps:
            record = Record(3, b"%d" % next(number))
            if disk.calls >= disk.fail_at > 0:
                disk.fail_at = next((at for at in failures if at > disk.calls), -1)
            if step == "kill":
                disk, log = disk.after_kill(), AppendLog(str(DIRECTORY))
            with use_disk(disk):
                try:
                    if step == "kill":
                        durable = log.open()
                        self.assertIn(durable, possible)
                    elif step == "append":
                        log.append([record])
                        durable = [*durable, record]
                    else:
                        log.rewrite([SNAPSHOT, record])
                        durable = [SNAPSHOT, record]
                    possible = [durable]
                except OSError:
                    after = [SNAPSHOT, record] if step == "rewrite" else [*durable, record]
                    possible = [*possible, after]
                    if step == "rewrite" and decode_log(bytes(disk.names[LOG_NAME].data)).records == after:
                        durable = after  # the rename took effect
        self.assertIn(records_after_restart(disk.after_power_loss(keep_names, keep_data)), possible)


class HeaderTest(unittest.TestCase):
    def test_header_with_zero_bytes_was_never_synced(self):
        """Regression after a power loss: each start rejected such a file as one of another program."""
        for lost in range(1, 2 ** len(MAGIC)):
            header = bytes(0 if lost >> position & 1 else byte for position, byte in enumerate(MAGIC))
            if header == MAGIC:
                continue  # the lost byte is zero in the header anyway
            self.assertEqual(decode_log(header + b"\0" * 40).records, [], header)

    def test_file_of_another_version_is_left_unchanged(self):
        disk = FakeDisk()
        disk.names[LOG_NAME] = File()
        disk.names[LOG_NAME].data = bytearray(b"MHCTL\x00\x02\n rest")
        with self.assertRaisesRegex(UnsupportedVersionError, "start the version that wrote it"):
            records_after_restart(disk)
        self.assertEqual(list(disk.names), [LOG_NAME])

    def test_foreign_file_is_moved_and_kept(self):
        with self.assertRaises(ForeignFileError):
            decode_log(b"something else altogether")
        disk = FakeDisk()
        disk.names[LOG_NAME] = File()
        disk.names[LOG_NAME].data = bytearray(b"something else altogether")
        with self.assertLogs("mulleinhatch.storage.append_log", "ERROR"):
            self.assertEqual(records_after_restart(disk), [])
        self.assertEqual(bytes(disk.names[f"{LOG_NAME}.foreign"].data), b"something else altogether")
        self.assertNotIn(REWRITE_NAME, disk.names)


if __name__ == "__main__":
    unittest.main()
