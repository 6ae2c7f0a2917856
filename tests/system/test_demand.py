"""The sums of data planes' reports, played as traces: partial reports, reports that grow old, lines that can't be true."""

import math
import unittest

from mulleinhatch.control_plane.placement.demand import REPORT_TTL_S, DemandAggregator
from mulleinhatch.messages.cluster import DemandReport, ModelDemand


def line(model: str, held: int = 0, rate: float = 0.0, running: int = 0, adapter: str = "") -> ModelDemand:
    return ModelDemand("s", model, adapter, held, rate, 2.0 * rate, running=running)


class Reports(unittest.TestCase):
    def setUp(self):
        self.demand = DemandAggregator()

    def test_a_partial_report_replaces_its_lines_and_leaves_the_others(self):
        self.demand.merge_report(DemandReport("n1", [line("m", held=3, running=2), line("k", running=5)]), 0.0)
        self.demand.merge_report(DemandReport("n1", [line("m", held=4, running=1)], partial=True), 0.1)
        totals = self.demand.totals("s", 0.1)
        self.assertEqual((totals["m"].pending, totals["m"].running, totals["k"].running), (4, 1, 5))
        self.demand.merge_report(DemandReport("n1", [line("m", running=1)]), 1.0)
        totals = self.demand.totals("s", 1.0)
        self.assertEqual((totals["m"].pending, totals.get("k", None) and totals["k"].running), (0, None))

    def test_sums_are_empty_when_all_reports_are_old(self):
        for node in ("n1", "n2", "n3"):
            self.demand.merge_report(DemandReport(node, [line("m", held=2, running=3, rate=0.3, adapter="a")]), 0.0)
        self.assertEqual(self.demand.totals("s", 1.0)["m"].adapters["a"].running, 9)
        self.assertEqual(self.demand.totals("s", REPORT_TTL_S + 0.1), {})

    def test_lines_that_can_not_be_true_are_left_out_and_the_others_count(self):
        bad = [line("m", rate=math.nan), line("k", rate=math.inf), line("j", rate=-1.0), line("", held=1)]
        invalid = self.demand.merge_report(DemandReport("n1", [*bad, line("good", held=2, rate=0.1)]), 0.0)
        self.assertEqual([line.model for line in invalid], ["m", "k", "j", ""])
        self.assertIn("look at that data plane", str(invalid[0]))
        self.assertEqual({name: total.pending for name, total in self.demand.totals("s", 0.1).items()}, {"good": 2})


if __name__ == "__main__":
    unittest.main()
