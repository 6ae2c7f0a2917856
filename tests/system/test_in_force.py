"""Real processes whose control plane is lost while the configuration changes; the judge of these runs on synthetic records."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from multiprocessing import get_context
from pathlib import Path

import pytest

from benchmarks.in_force import BOUNDS, MIN_JUDGED
from benchmarks.in_force_parts.defects import PlantedDefect
from benchmarks.in_force_parts.judge import Judge
from benchmarks.in_force_parts.records import Answer, Outage, RunRecords, SentVersion
from benchmarks.in_force_parts.run import Run, RunSize

CORES = ["control-0", "control-1", "control-2"]
SHORT = RunSize(seconds=8.0, data_planes=2, kinds=("kill",), longest_pause_s=4.0, recovery_s=4.0)
SEEDS_PER_DEFECT = 5
SIZES = {
    PlantedDefect.KEEP_FIRST_ADDRESSES: RunSize(seconds=1.0, data_planes=2, kinds=("replace all away",), longest_pause_s=1.0)
}


def judged_run(seed: int, size: RunSize) -> tuple[list[str], Judge]:
    """Return what a run violated, and the judge that found it."""
    with tempfile.TemporaryDirectory(prefix="mulleinhatch-in-force-") as folder:
        records = asyncio.run(Run(Path(folder), seed, size, BOUNDS).run())
    judge = Judge(records, BOUNDS, size.control_planes)
    return judge.report(), judge


def finds(defect: PlantedDefect) -> bool:
    """Return whether one of a few runs with a planted defect has a violation."""
    size = replace(SIZES.get(defect, SHORT), defect=defect)
    return any(judged_run(seed, size)[0] for seed in range(1, 1 + SEEDS_PER_DEFECT))


@pytest.mark.processes
class InForceTest(unittest.TestCase):
    # Guards against requests that are handled as only an older configuration allows (CONFIG) while nodes are lost.
    def test_lost_and_replaced_nodes_keep_no_older_configuration_in_force(self):
        size = RunSize(seconds=10.0, data_planes=3, kinds=("kill", "replace silent"), longest_pause_s=6.0, recovery_s=4.0)
        violations, judge = judged_run(3, size)
        self.assertEqual(violations, [])
        self.assertGreater(judge.judged["judged, short bound"], MIN_JUDGED)

    # Guards against checks that nothing can fail.
    def test_each_planted_defect_is_found(self):
        defects = [defect for defect in PlantedDefect if defect is not PlantedDefect.NONE]
        with ProcessPoolExecutor(len(defects), get_context("spawn")) as executor:
            for defect, is_found in zip(defects, executor.map(finds, defects)):
                with self.subTest(defect.value):
                    self.assertTrue(is_found)


class JudgeTest(unittest.TestCase):
    def setUp(self):
        self.records = RunRecords(fronts=["data-0"], cores=list(CORES))
        self.records.versions += [SentVersion(1, "first", 0.0, 0.1), SentVersion(3, "second", 10.0, 10.1)]

    def answer(self, number: int, sent_at: float, status: int = 200, service: str = "first") -> None:
        self.records.answers.append(Answer("data-0", number, sent_at, sent_at + 0.01, status, service))

    def violations(self) -> list[int]:
        """Return the versions whose bounds the answers violate."""
        return [one.version.number for one in Judge(self.records, BOUNDS, len(CORES)).violations()]

    def test_answers_by_the_newest_version_violate_nothing(self):
        self.answer(1, 9.0)
        self.answer(3, 12.2)
        self.answer(1, 12.2, 404, "")
        self.answer(0, 12.2, service="second")
        self.assertEqual(self.violations(), [])

    def test_answers_by_the_version_before_violate_nothing_within_the_bound(self):
        self.answer(1, 12.0)
        self.answer(3, 12.0, 404, "")
        self.answer(0, 12.0, service="first")
        self.assertEqual(self.violations(), [])

    def test_a_dropped_route_that_is_served_is_a_violation(self):
        self.answer(1, 12.2)
        self.assertEqual(self.violations(), [3])

    def test_an_added_route_that_is_not_served_is_a_violation(self):
        self.answer(3, 12.2, 404, "")
        self.assertEqual(self.violations(), [3])

    def test_a_moved_route_that_goes_to_its_former_service_is_a_violation(self):
        self.answer(0, 12.2, service="first")
        self.assertEqual(self.violations(), [3])

    # Guards against a data plane that is behind for good and refuses the newest routes, which no single probe shows.
    def test_a_data_plane_that_serves_none_of_the_newest_routes_is_found(self):
        for number in range(30):
            self.answer(3, 12.2 + 0.1 * number, 503, "")
        judge = Judge(self.records, BOUNDS, len(CORES))
        self.assertEqual([(one.front, one.probes) for one in judge.unserved_spans()], [("data-0", 30)])
        self.assertEqual(len(judge.report()), 1)

    def test_newest_routes_may_be_refused_within_the_bound_and_out_of_contact(self):
        for number in range(20):
            self.answer(3, 12.2 + 0.1 * number, 503, "")
        self.answer(3, 14.3)
        self.records.outages.append(Outage("data-0", "kill", 15.0, 15.5))
        for number in range(30):
            self.answer(3, 15.5 + 0.1 * number, 503, "")
        self.assertEqual(Judge(self.records, BOUNDS, len(CORES)).unserved_spans(), [])

    def test_a_disturbed_core_stretches_the_bound_and_a_lost_majority_lifts_it(self):
        self.records.outages.append(Outage("control-0", "kill", 11.0, 12.0))
        self.answer(1, 14.0)
        self.assertEqual(self.violations(), [])
        self.records.versions[1].acknowledged_at = 6.5
        self.records.versions[1].sent_at = 6.4
        self.assertEqual(self.violations(), [3])
        self.records.outages.append(Outage("control-1", "kill", 11.0, 12.0))
        self.assertEqual(self.violations(), [])

    def test_a_disturbed_data_plane_is_not_judged(self):
        self.records.outages.append(Outage("data-0", "kill", 9.0, 9.5))
        self.answer(1, 12.2)
        self.assertEqual(self.violations(), [])

    def test_after_a_loss_of_all_nodes_contact_takes_twice_as_long(self):
        self.records.outages += [Outage(name, "power", 10.2, 11.0) for name in CORES]
        self.records.closings.append(11.0)
        self.answer(1, 17.0)
        self.assertEqual(self.violations(), [])
        self.answer(1, 17.4)
        self.assertEqual(self.violations(), [3])

    def test_lags_are_counted_from_the_acknowledgement_to_the_first_sign(self):
        self.answer(1, 10.0)
        self.answer(3, 10.6)
        self.assertAlmostEqual(Judge(self.records, BOUNDS, len(CORES)).lags_s()[-1], 9.9)
        self.assertAlmostEqual(Judge(self.records, BOUNDS, len(CORES)).lags_s()[0], 0.5)


if __name__ == "__main__":
    unittest.main()
