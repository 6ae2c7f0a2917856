"""Data planes that were away while all control-plane nodes that they know were replaced, in real processes."""

from __future__ import annotations

import unittest
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from itertools import product
from multiprocessing import get_context

import pytest

from benchmarks.in_force_parts.fleet import SettingsUpdate
from benchmarks.in_force_parts.run import RunSize
from tests.system.test_in_force import judged_run

AWAY = RunSize(seconds=1.0, data_planes=3, kinds=("replace all away",), longest_pause_s=1.0)
SEED = 9601


@pytest.mark.processes
class LostContactTest(unittest.TestCase):
    maxDiff = None

    # Guards against a data plane that stays on an old configuration for good, as every address that it knows is gone (CONFIG).
    def test_a_data_plane_comes_back_after_all_known_nodes_were_replaced(self):
        ways = list(product(SettingsUpdate, (False, True)))
        sizes = [replace(AWAY, settings_update=update, are_absent_killed=is_killed) for update, is_killed in ways]
        with ProcessPoolExecutor(len(sizes), get_context("spawn")) as executor:
            runs = list(executor.map(judged_run, [SEED] * len(sizes), sizes))
        failed = {f"{way[0].value}, killed: {way[1]}": lines[:2] for way, (lines, _) in zip(ways, runs) if lines}
        self.assertEqual(failed, {})


if __name__ == "__main__":
    unittest.main()
