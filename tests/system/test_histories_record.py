"""The campaign of histories: it resumes from its record, and a record of another text or setting counts for nothing."""

from __future__ import annotations

import tempfile
import unittest
from collections.abc import Iterable, Iterator
from dataclasses import replace
from pathlib import Path
from unittest import mock

from benchmarks import histories
from benchmarks.histories import PlayedHistory, Setting, campaign, read_record

SETTING = Setting("text-1", 3, 1, 1, 0)


def played(setting: Setting, seeds: Iterable[int], workers: int) -> Iterator[PlayedHistory]:
    for seed in seeds:
        yield PlayedHistory(setting, seed, ["an invariant"] if seed == 7 else [], 5, 0.1)


class Campaign(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "record" / "histories.jsonl"

    def seeds_played(self, setting: Setting, seeds: range) -> list[int]:
        with mock.patch.object(histories, "play_all", side_effect=played) as play_all:
            outcome = campaign(setting, seeds, 1, self.path)
        self.assertEqual([history.seed for history in outcome], list(seeds))
        return list(play_all.call_args.args[1])

    def test_plays_only_what_the_record_lacks(self):
        self.assertEqual(self.seeds_played(SETTING, range(3)), [0, 1, 2])
        self.assertEqual(self.seeds_played(SETTING, range(5)), [3, 4])
        self.assertEqual(self.seeds_played(replace(SETTING, text="text-2"), range(2)), [0, 1])
        self.assertEqual(self.seeds_played(replace(SETTING, machines=5), range(2)), [0, 1])

    def test_a_line_that_was_cut_off_is_played_again(self):
        self.seeds_played(SETTING, range(3))
        self.path.write_text(self.path.read_text()[:-20])
        self.assertEqual(sorted(read_record(self.path, SETTING)), [0, 1])

    def test_a_violation_is_kept_with_its_seed(self):
        self.seeds_played(SETTING, range(6, 9))
        broken = [seed for seed, history in read_record(self.path, SETTING).items() if history.violations]
        self.assertEqual(broken, [7])


if __name__ == "__main__":
    unittest.main()
