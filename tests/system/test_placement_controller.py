"""The placement reconcile loop against a backend that follows its API's rules, in virtual time."""

from __future__ import annotations

import logging
import math
import unittest

from mulleinhatch.control_plane.placement.controller import ASSUMED_PREVIOUS_LOADS, PlacementController
from mulleinhatch.control_plane.placement.leadership import NEVER_ISSUED_S
from mulleinhatch.messages.cluster import DemandReport, ModelDemand
from mulleinhatch.process.settings import Bounds
from mulleinhatch.simulation.virtual_time import VirtualLoop
from tests.system.placement_fakes import PlacementCase, fake_node


class Reconciliation(PlacementCase):
    def test_at_most_one_order_is_in_flight_at_a_backend(self):
        script = self.play()
        self.assertEqual(self.controller.recent_orders[0]["operation"], "unload")
        self.assertEqual([order["operation"] for order in self.controller.recent_orders], ["unload", "load"])
        self.assertEqual(len(script.accepted), 2)

    def test_idle_time_counts_from_the_latest_order(self):
        script = self.play()
        self.assertLess(self.controller.idle_s(), script.loop.now - script.accepted[-1][0] + 0.1)

    def test_holdings_are_published_under_the_fencing_token(self):
        self.play()
        backend = self.node.registry.entries["i"].backend
        self.assertEqual([model.name for model in backend.models], ["b"])
        self.assertEqual(backend.order_revision >> 32, 1)


class DemandReports(unittest.TestCase):
    def setUp(self):
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.node = fake_node(self.loop)
        self.controller = PlacementController(self.node, None, self.loop.time, Bounds())

    def run_in_loop(self, work):
        return self.loop.run_until_complete(work)

    def test_response_says_whether_this_node_leads(self):
        report = DemandReport("n", [])
        self.assertFalse(self.run_in_loop(self.controller.on_demand(report)).accepted)
        self.run_in_loop(self.controller.reconcile())
        self.assertTrue(self.run_in_loop(self.controller.on_demand(report)).accepted)

    def test_impossible_demand_is_ignored_and_logged_with_its_data_plane(self):
        report = DemandReport("n", [ModelDemand("s", "b", "", 0, math.nan, 0.0)])
        with self.assertLogs("mulleinhatch.control_plane.placement.controller", logging.WARNING) as logs:
            self.run_in_loop(self.controller.on_demand(report))
        self.assertEqual((logs.records[0].data_plane, logs.records[0].model), ("n", "b"))
        self.assertEqual(self.controller.demand.totals("s", 0.0), {})

    def test_new_leader_counts_loads_that_a_former_leader_may_have_started(self):
        for former_leader, loads in (("", 0), ("me", ASSUMED_PREVIOUS_LOADS)):
            with self.subTest(former_leader=former_leader):
                node = fake_node(self.loop)
                node.state.leader = former_leader
                controller = PlacementController(node, None, self.loop.time, Bounds())
                before = controller._store_loads.available(self.loop.now)
                self.run_in_loop(controller.reconcile())
                self.assertTrue(controller.leadership.is_acting)
                self.assertEqual(before - controller._store_loads.available(self.loop.now), loads)

    def test_node_without_orders_reports_the_longest_idle_time(self):
        self.assertEqual(self.controller.idle_s(), NEVER_ISSUED_S)


if __name__ == "__main__":
    unittest.main()
