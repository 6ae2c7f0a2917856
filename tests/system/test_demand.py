"""Totals of the demand reports of data planes: partial reports, expired reports, impossible entries."""

import math
import unittest

from mulleinhatch.control_plane.placement.demand import REPORT_TTL_S, DemandAggregator
from mulleinhatch.messages.cluster import DemandReport, ModelDemand


def entry(model: str, pending: int = 0, rate: float = 0.0, running: int = 0, adapter: str = "") -> ModelDemand:
    return ModelDemand("s", model, adapter, pending, rate, 2.0 * rate, running=running)


class DemandTotals(unittest.TestCase):
    def setUp(self):
        self.demand = DemandAggregator()

    def test_partial_report_replaces_its_entries_and_keeps_the_others(self):
        self.demand.merge_report(DemandReport("n1", [entry("m", pending=3, running=2), entry("k", running=5)]), 0.0)
        self.demand.merge_report(DemandReport("n1", [entry("m", pending=4, running=1)], partial=True), 0.1)
        totals = self.demand.totals("s", 0.1)
        self.assertEqual((totals["m"].pending, totals["m"].running, totals["k"].running), (4, 1, 5))
        self.demand.merge_report(DemandReport("n1", [entry("m", running=1)]), 1.0)
        totals = self.demand.totals("s", 1.0)
        self.assertEqual((totals["m"].pending, totals.get("k", None) and totals["k"].running), (0, None))

    def test_totals_are_empty_when_all_reports_have_expired(self):
        for node in ("n1", "n2", "n3"):
            self.demand.merge_report(DemandReport(node, [entry("m", pending=2, running=3, rate=0.3, adapter="a")]), 0.0)
        self.assertEqual(self.demand.totals("s", 1.0)["m"].adapters["a"].running, 9)
        self.assertEqual(self.demand.totals("s", REPORT_TTL_S + 0.1), {})

    def test_impossible_entries_are_ignored_and_the_others_count(self):
        bad = [entry("m", rate=math.nan), entry("k", rate=math.inf), entry("j", rate=-1.0), entry("", pending=1)]
        invalid = self.demand.merge_report(DemandReport("n1", [*bad, entry("good", pending=2, rate=0.1)]), 0.0)
        self.assertEqual([item.model for item in invalid], ["m", "k", "j", ""])
        self.assertIn("look at that data plane", str(invalid[0]))
        self.assertEqual({name: total.pending for name, total in self.demand.totals("s", 0.1).items()}, {"good": 2})


if __name__ == "__main__":
    unittest.main()
