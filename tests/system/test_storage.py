"""The control plane's file: cut at every byte, damaged at every byte, rewritten with the process killed at every step."""

from __future__ import annotations

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from mulleinhatch.control_plane.state_store import commit_record, entry_records, replay
from mulleinhatch.messages.cluster import Entry, Snapshot, View, VoterState
from mulleinhatch.storage import append_log as journal_module
from mulleinhatch.storage.append_log import LOG_NAME, AppendLog
from mulleinhatch.storage.records import MAGIC, ForeignFileError, Record, RecordKind, decode_log, encode_record

RECORDS = [Record(RecordKind.IDENTITY, b"disk-1"), Record(RecordKind.ENTRY, b"x" * 300), Record(RecordKind.COMMIT, b"12345678")]


class RecordBytes(unittest.TestCase):
    def test_cut_at_every_byte_gives_the_whole_records_before_the_cut(self):
        data = MAGIC + b"".join(encode_record(record) for record in RECORDS)
        ends = [len(MAGIC)]
        for record in RECORDS:
            ends.append(ends[-1] + len(encode_record(record)))
        for cut in range(len(data) + 1):
            contents = decode_log(data[:cut])
            whole = sum(end <= cut for end in ends[1:])
            self.assertEqual(contents.records, RECORDS[:whole], cut)
            self.assertLessEqual(contents.valid_size, cut)

    def test_a_flipped_bit_ends_the_reading_there(self):
        data = bytearray(MAGIC + b"".join(encode_record(record) for record in RECORDS))
        first = len(MAGIC) + len(encode_record(RECORDS[0]))
        for at in range(first, len(data)):
            damaged = bytearray(data)
            damaged[at] ^= 0x10
            records = decode_log(bytes(damaged)).records
            self.assertEqual(records, RECORDS[: len(records)], at)
            self.assertLess(len(records), len(RECORDS))

    def test_another_file_is_refused(self):
        with self.assertRaises(ForeignFileError):
            decode_log(b"something else altogether")


class JournalFile(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.mkdtemp(dir=os.environ.get("TMPDIR"))
        self.path = Path(self.folder) / LOG_NAME

    def open(self):
        journal = AppendLog(self.folder)
        self.addCleanup(journal.close)
        return journal, journal.open()

    def test_what_was_appended_is_read_again(self):
        journal, found = self.open()
        self.assertEqual(found, [])
        journal.append(RECORDS[:2])
        journal.append(RECORDS[2:])
        self.assertEqual(self.open()[1], RECORDS)

    def test_a_torn_end_is_cut_off_and_written_over(self):
        journal, _ = self.open()
        journal.append(RECORDS)
        size = self.path.stat().st_size
        with open(self.path, "ab") as file:
            file.write(encode_record(RECORDS[1])[:50])
        again, found = self.open()
        self.assertEqual(found, RECORDS)
        self.assertEqual(self.path.stat().st_size, size)
        again.append(RECORDS[:1])
        self.assertEqual(self.open()[1], [*RECORDS, RECORDS[0]])

    def test_a_refused_append_leaves_nothing_behind(self):
        journal, _ = self.open()
        journal.append(RECORDS[:1])
        with mock.patch.object(journal_module.os, "fdatasync", side_effect=OSError(28, "no space")), self.assertRaises(OSError):
            journal.append(RECORDS[1:2])
        journal.append(RECORDS[2:])
        self.assertEqual(self.open()[1], [RECORDS[0], RECORDS[2]])

    def test_a_rewrite_that_fails_at_any_step_leaves_the_old_file(self):
        for step in ("fsync", "replace"):
            journal, _ = self.open()
            journal.rewrite(RECORDS)
            with mock.patch.object(journal_module.os, step, side_effect=OSError(5, "gone")), self.assertRaises(OSError):
                journal.rewrite(RECORDS[:1])
            self.assertEqual(self.open()[1], RECORDS, step)

    def test_a_rewrite_syncs_the_new_file_before_its_name_and_the_folder_after(self):
        journal, _ = self.open()
        calls = []
        real = {name: getattr(os, name) for name in ("fsync", "replace")}
        with (
            mock.patch.object(
                journal_module.os, "fsync", side_effect=lambda number: (calls.append("fsync"), real["fsync"](number))
            ),
            mock.patch.object(
                journal_module.os, "replace", side_effect=lambda *a: (calls.append("replace"), real["replace"](*a))
            ),
        ):
            journal.rewrite(RECORDS)
        self.assertEqual(calls, ["fsync", "replace", "fsync"])


class Replay(unittest.TestCase):
    def test_state_that_records_make(self):
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

    def test_an_entry_written_again_replaces_those_from_its_place_on(self):
        old = [Entry(index=index, epoch=1) for index in (1, 2, 3)]
        state = replay(entry_records([*old, Entry(index=2, epoch=4)]))
        self.assertEqual([(entry.index, entry.epoch) for entry in state.entries], [(1, 1), (2, 4)])


if __name__ == "__main__":
    unittest.main()
