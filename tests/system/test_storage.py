"""Test the control state file: truncation and damage at every byte, failed appends and rewrites, and the restored state."""

from __future__ import annotations

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from mulleinhatch.control_plane.state_store import commit_record, entry_records, replay
from mulleinhatch.messages.cluster import Entry, Snapshot, View, VoterState
from mulleinhatch.storage import append_log as append_log_module
from mulleinhatch.storage.append_log import LOG_NAME, AppendLog
from mulleinhatch.storage.records import MAGIC, ForeignFileError, Record, RecordKind, decode_log, encode_record

RECORDS = [Record(RecordKind.IDENTITY, b"disk-1"), Record(RecordKind.ENTRY, b"x" * 300), Record(RecordKind.COMMIT, b"12345678")]


class RecordFormatTest(unittest.TestCase):
    def test_truncated_file_yields_the_complete_records_before_the_end(self):
        data = MAGIC + b"".join(encode_record(record) for record in RECORDS)
        ends = [len(MAGIC)]
        for record in RECORDS:
            ends.append(ends[-1] + len(encode_record(record)))
        for size in range(len(data) + 1):
            contents = decode_log(data[:size])
            complete = sum(end <= size for end in ends[1:])
            self.assertEqual(contents.records, RECORDS[:complete], size)
            self.assertLessEqual(contents.valid_size, size)

    def test_reading_stops_at_a_flipped_bit(self):
        data = bytearray(MAGIC + b"".join(encode_record(record) for record in RECORDS))
        first = len(MAGIC) + len(encode_record(RECORDS[0]))
        for offset in range(first, len(data)):
            damaged = bytearray(data)
            damaged[offset] ^= 0x10
            records = decode_log(bytes(damaged)).records
            self.assertEqual(records, RECORDS[: len(records)], offset)
            self.assertLess(len(records), len(RECORDS))

    def test_foreign_file_is_rejected(self):
        with self.assertRaises(ForeignFileError):
            decode_log(b"something else altogether")


class AppendLogTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.mkdtemp(dir=os.environ.get("TMPDIR"))
        self.path = Path(self.directory) / LOG_NAME

    def open(self):
        log = AppendLog(self.directory)
        self.addCleanup(log.close)
        return log, log.open()

    def test_appended_records_are_read_again(self):
        log, records = self.open()
        self.assertEqual(records, [])
        log.append(RECORDS[:2])
        log.append(RECORDS[2:])
        self.assertEqual(self.open()[1], RECORDS)

    def test_torn_end_is_truncated_and_overwritten(self):
        log, _ = self.open()
        log.append(RECORDS)
        size = self.path.stat().st_size
        with open(self.path, "ab") as file:
            file.write(encode_record(RECORDS[1])[:50])
        reopened, records = self.open()
        self.assertEqual(records, RECORDS)
        self.assertEqual(self.path.stat().st_size, size)
        reopened.append(RECORDS[:1])
        self.assertEqual(self.open()[1], [*RECORDS, RECORDS[0]])

    def test_failed_append_leaves_nothing_behind(self):
        log, _ = self.open()
        log.append(RECORDS[:1])
        with (
            mock.patch.object(append_log_module.os, "fdatasync", side_effect=OSError(28, "no space")),
            self.assertRaises(OSError),
        ):
            log.append(RECORDS[1:2])
        log.append(RECORDS[2:])
        self.assertEqual(self.open()[1], [RECORDS[0], RECORDS[2]])

    def test_failed_rewrite_leaves_the_old_file(self):
        for step in ("fsync", "replace"):
            log, _ = self.open()
            log.rewrite(RECORDS)
            with mock.patch.object(append_log_module.os, step, side_effect=OSError(5, "gone")), self.assertRaises(OSError):
                log.rewrite(RECORDS[:1])
            self.assertEqual(self.open()[1], RECORDS, step)

    def test_rewrite_syncs_the_file_before_and_the_directory_after_the_rename(self):
        log, _ = self.open()
        calls = []
        real = {name: getattr(os, name) for name in ("fsync", "replace")}
        with (
            mock.patch.object(
                append_log_module.os, "fsync", side_effect=lambda number: (calls.append("fsync"), real["fsync"](number))
            ),
            mock.patch.object(
                append_log_module.os, "replace", side_effect=lambda *a: (calls.append("replace"), real["replace"](*a))
            ),
        ):
            log.rewrite(RECORDS)
        self.assertEqual(calls, ["fsync", "replace", "fsync"])


class ReplayTest(unittest.TestCase):
    def test_state_restored_from_records(self):
        entries = [Entry(index=index, epoch=1, kind=1, body=b"{}") for index in (3, 4, 5)]
        records = [
            Record(RecordKind.IDENTITY, b"disk-9"),
            Record(RecordKind.VOTER, bytes(VoterState(view=View(epoch=7)))),
            Record(RecordKind.SNAPSHOT, bytes(Snapshot(index=2, epoch=1))),
            *entry_records(entries),
            commit_record(4),
        ]
        state = replay(records)
        self.assertEqual((state.identity, state.voter.view.epoch, state.snapshot.index, state.committed), ("disk-9", 7, 2, 4))
        self.assertEqual([entry.index for entry in state.entries], [3, 4, 5])

    def test_rewritten_entry_replaces_the_entries_from_its_index_on(self):
        old = [Entry(index=index, epoch=1) for index in (1, 2, 3)]
        state = replay(entry_records([*old, Entry(index=2, epoch=4)]))
        self.assertEqual([(entry.index, entry.epoch) for entry in state.entries], [(1, 1), (2, 4)])


if __name__ == "__main__":
    unittest.main()
