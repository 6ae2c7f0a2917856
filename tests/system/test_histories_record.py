"""The campaign of histories resumes from its record and ignores records of other sources or settings."""

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


def fake_play_all(setting: Setting, seeds: Iterable[int], workers: int) -> Iterator[PlayedHistory]:
    for seed in seeds:
        yield PlayedHistory(setting, seed, ["an invariant"] if seed == 7 else [], 5, 0.1)


class CampaignTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "record" / "histories.jsonl"

    def run_seeds(self, setting: Setting, seeds: range) -> list[int]:
        with mock.patch.object(histories, "play_all", side_effect=fake_play_all) as play_all:
            outcome = campaign(setting, seeds, 1, self.path)
        self.assertEqual([history.seed for history in outcome], list(seeds))
        return list(play_all.call_args.args[1])

    def test_runs_only_histories_that_are_not_recorded(self):
        self.assertEqual(self.run_seeds(SETTING, range(3)), [0, 1, 2])
        self.assertEqual(self.run_seeds(SETTING, range(5)), [3, 4])
        self.assertEqual(self.run_seeds(replace(SETTING, text="text-2"), range(2)), [0, 1])
        self.assertEqual(self.run_seeds(replace(SETTING, machines=5), range(2)), [0, 1])

    def test_history_of_a_truncated_line_is_run_again(self):
        self.run_seeds(SETTING, range(3))
        self.path.write_text(self.path.read_text()[:-20])
        self.assertEqual(sorted(read_record(self.path, SETTING)), [0, 1])

    def test_violation_is_recorded_with_its_seed(self):
        self.run_seeds(SETTING, range(6, 9))
        violating_seeds = [seed for seed, history in read_record(self.path, SETTING).items() if history.violations]
        self.assertEqual(violating_seeds, [7])


if __name__ == "__main__":
    unittest.main()
