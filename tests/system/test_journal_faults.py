"""The control plane's file under faults: each system call of opening, appending and rewriting made to fail once, and the
power lost after every one; what a start then finds is the state before the call or after it, and all that was said to last."""

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

from mulleinhatch.storage import append_log as journal_module
from mulleinhatch.storage.append_log import LOG_NAME, REWRITE_NAME, AppendLog
from mulleinhatch.storage.records import MAGIC, ForeignFileError, Record, UnsupportedVersionError, decode_log

FOLDER = Path("/data")
FIRST, SECOND, THIRD, WHOLE = (Record(kind, text) for kind, text in ((1, b"disk"), (3, b"one"), (3, b"two"), (4, b"both")))


class PowerLost(BaseException):
    """The machine loses power: nothing of the process runs any more."""


class File:
    """An inode: what it holds, and what of it is on the platter."""

    def __init__(self) -> None:
        self.data, self.synced = bytearray(), b""


class FakeDisk:
    """The calls of `os` that the journal makes. Names and bytes last once synced; at a loss of power the rest may stay."""

    O_RDWR, O_CREAT, O_TRUNC, O_RDONLY = os.O_RDWR, os.O_CREAT, os.O_TRUNC, os.O_RDONLY
    SEEK_SET = os.SEEK_SET

    def __init__(self) -> None:
        self.names: dict[str, File] = {}
        self.synced_names: dict[str, File] = {}
        self.open_files: dict[int, list] = {}  # descriptor: file or None for the folder, place
        self.calls = 0
        self.fail_at = self.power_off_at = -1
        self.numbers = itertools.count(3)

    def _call(self) -> None:
        self.calls += 1
        if self.calls == self.power_off_at:
            raise PowerLost
        if self.calls == self.fail_at:
            raise OSError(errno.EIO, "made to fail")

    def open(self, path: os.PathLike | str, flags: int, mode: int = 0) -> int:
        self._call()
        number, name = next(self.numbers), Path(path).name
        if Path(path) == FOLDER:
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
        file, at = self.open_files[number]
        part = max(1, len(data) // 2)
        file.data[at : at + part] = bytes(data[:part])
        self.open_files[number][1] = at + part
        self._call()
        return part

    def read(self, number: int, size: int) -> bytes:
        self._call()
        file, at = self.open_files[number]
        self.open_files[number][1] = min(len(file.data), at + size)
        return bytes(file.data[at : at + size])

    def makedirs(self, _: os.PathLike, exist_ok: bool) -> None:
        """The folder is there."""

    def lseek(self, number: int, at: int, _: int) -> None:
        self._call()
        self.open_files[number][1] = at

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
            for name, other in self.names.items():  # a new file lasts with its own sync
                if other is file:
                    self.synced_names.setdefault(name, file)

    fdatasync = fsync

    def replace(self, source: os.PathLike, target: os.PathLike) -> None:
        self._call()
        self.names[Path(target).name] = self.names.pop(Path(source).name)

    def after_power_loss(self, names_kept: bool, data_kept: bool) -> FakeDisk:
        """What a start finds."""
        disk = FakeDisk()
        names = self.names if names_kept else self.synced_names
        for name, file in names.items():
            found = disk.names[name] = File()
            found.data = bytearray(file.data if data_kept else file.synced)
            found.synced = bytes(found.data)
        disk.synced_names = dict(disk.names)
        return disk

    def after_kill(self) -> FakeDisk:
        return self.after_power_loss(names_kept=True, data_kept=True)


def opened(disk: FakeDisk) -> tuple[AppendLog, list[Record]]:
    """A journal on a disk, with what it found."""
    with on(disk):
        journal = AppendLog(str(FOLDER))
        return journal, journal.open()


def on(disk: FakeDisk):
    """All calls of the journal's module go to this disk."""
    return mock.patch.object(journal_module, "os", disk)


def started(disk: FakeDisk) -> list[Record]:
    return opened(disk)[1]


class Faults(unittest.TestCase):
    def prepared(self) -> tuple[FakeDisk, AppendLog]:
        disk = FakeDisk()
        journal, _ = opened(disk)
        with on(disk):
            journal.append([FIRST, SECOND])
        disk.calls = 0
        return disk, journal

    def calls_of(self, work: Callable[[AppendLog], None]) -> int:
        disk, journal = self.prepared()
        with on(disk):
            work(journal)
        return disk.calls

    def check(self, disk: FakeDisk, allowed: tuple[list[Record], ...], where: object) -> None:
        for names_kept, data_kept in itertools.product((True, False), repeat=2):
            found = started(disk.after_power_loss(names_kept, data_kept))
            self.assertIn(found, allowed, (where, names_kept, data_kept))

    def after_any_fault(self, work: Callable[[AppendLog], None], after: list[Record]) -> None:
        """Fails each call of `work` once, appends a record behind it, and starts anew."""
        before = [FIRST, SECOND]
        for at in range(1, self.calls_of(work) + 1):
            disk, journal = self.prepared()
            disk.fail_at = at
            with on(disk):
                try:
                    work(journal)
                    refused = False
                except OSError:
                    refused = True
                state = (before, after) if refused else (after,)
                self.check(disk, state, at)
                journal.append([THIRD])
            self.check(disk, tuple([*records, THIRD] for records in state), (at, "appended"))

    def after_power_loss_at_any_call(self, work: Callable[[AppendLog], None], after: list[Record]) -> None:
        for at in range(1, self.calls_of(work) + 1):
            disk, journal = self.prepared()
            disk.power_off_at = at
            with on(disk), self.assertRaises(PowerLost):
                work(journal)
            for names_kept, data_kept in itertools.product((True, False), repeat=2):
                found = started(disk.after_power_loss(names_kept, data_kept))
                self.assertIn(found[:2] if after != [WHOLE] else found, ([FIRST, SECOND], after), (at, names_kept, data_kept))

    def test_any_call_of_an_append_fails(self):
        self.after_any_fault(lambda journal: journal.append([WHOLE]), [FIRST, SECOND, WHOLE])

    def test_any_call_of_a_rewrite_fails(self):
        """Shown with a folder sync that failed once: what was appended next, and said to last, was gone."""
        self.after_any_fault(lambda journal: journal.rewrite([WHOLE]), [WHOLE])

    def test_the_power_is_lost_at_any_call_of_an_append(self):
        self.after_power_loss_at_any_call(lambda journal: journal.append([WHOLE]), [FIRST, SECOND, WHOLE])

    def test_the_power_is_lost_at_any_call_of_a_rewrite(self):
        self.after_power_loss_at_any_call(lambda journal: journal.rewrite([WHOLE]), [WHOLE])

    def test_any_call_of_an_open_fails_and_the_next_open_finds_all(self):
        disk, journal = self.prepared()
        for at in range(1, 12):
            disk.calls, disk.fail_at = 0, at
            again = AppendLog(str(FOLDER))
            with on(disk):
                try:
                    self.assertEqual(again.open(), [FIRST, SECOND], at)
                except OSError:
                    pass
            disk.fail_at = -1
            self.assertEqual(started(disk.after_kill()), [FIRST, SECOND], at)
            self.check(disk, ([FIRST, SECOND],), at)

    def test_any_call_of_the_first_open_fails_or_loses_the_power(self):
        for at in range(1, 9):
            for fault in ("fail_at", "power_off_at"):
                disk = FakeDisk()
                setattr(disk, fault, at)
                with on(disk):
                    try:
                        self.assertEqual(AppendLog(str(FOLDER)).open(), [])
                    except (OSError, PowerLost):
                        pass
                self.check(disk, ([],), (at, fault))

    @seed(20261202)
    @settings(max_examples=200, deadline=None, suppress_health_check=list(HealthCheck), database=None)
    @given(
        steps=st.lists(st.sampled_from(["append", "rewrite", "kill"]), min_size=1, max_size=8),
        fail_at=st.lists(st.integers(1, 60), max_size=4),
        names_kept=st.booleans(),
        data_kept=st.booleans(),
    )
    def test_any_row_of_calls_and_faults_keeps_what_was_said_to_last(self, steps, fail_at, names_kept, data_kept):
        disk, journal = self.prepared()
        lasting, unsure, number = [FIRST, SECOND], [[FIRST, SECOND]], itertools.count()
        failures = iter(sorted(set(fail_at)))
        disk.fail_at = next(failures, -1)
        for step in steps:
            record = Record(3, b"%d" % next(number))
            if disk.calls >= disk.fail_at > 0:
                disk.fail_at = next((at for at in failures if at > disk.calls), -1)
            if step == "kill":
                disk, journal = disk.after_kill(), AppendLog(str(FOLDER))
            with on(disk):
                try:
                    if step == "kill":
                        lasting = journal.open()
                        self.assertIn(lasting, unsure)
                    elif step == "append":
                        journal.append([record])
                        lasting = [*lasting, record]
                    else:
                        journal.rewrite([WHOLE, record])
                        lasting = [WHOLE, record]
                    unsure = [lasting]
                except OSError:
                    after = [WHOLE, record] if step == "rewrite" else [*lasting, record]
                    unsure = [*unsure, after]
                    if step == "rewrite" and decode_log(bytes(disk.names[LOG_NAME].data)).records == after:
                        lasting = after  # it has the name already
        self.assertIn(started(disk.after_power_loss(names_kept, data_kept)), unsure)


class Headers(unittest.TestCase):
    def test_a_header_of_which_bytes_are_zero_was_never_synced(self):
        """Shown by a loss of power: such a file was taken for another's at each start, for good."""
        for lost in range(1, 2 ** len(MAGIC)):
            header = bytes(0 if lost >> place & 1 else byte for place, byte in enumerate(MAGIC))
            if header == MAGIC:
                continue  # the byte that was lost is zero in it
            self.assertEqual(decode_log(header + b"\0" * 40).records, [], header)

    def test_a_file_of_another_version_is_left_where_it_is(self):
        disk = FakeDisk()
        disk.names[LOG_NAME] = File()
        disk.names[LOG_NAME].data = bytearray(b"MHCTL\x00\x02\n rest")
        with self.assertRaisesRegex(UnsupportedVersionError, "start the version that wrote it"):
            started(disk)
        self.assertEqual(list(disk.names), [LOG_NAME])

    def test_a_foreign_file_is_set_aside_and_kept(self):
        with self.assertRaises(ForeignFileError):
            decode_log(b"something else altogether")
        disk = FakeDisk()
        disk.names[LOG_NAME] = File()
        disk.names[LOG_NAME].data = bytearray(b"something else altogether")
        with self.assertLogs("mulleinhatch.storage.append_log", "ERROR"):
            self.assertEqual(started(disk), [])
        self.assertEqual(bytes(disk.names[f"{LOG_NAME}.foreign"].data), b"something else altogether")
        self.assertNotIn(REWRITE_NAME, disk.names)


if __name__ == "__main__":
    unittest.main()
