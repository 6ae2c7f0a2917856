"""Holdings published to data planes: loaded models, orders in flight, revisions that grow with the fencing token."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from mulleinhatch.control_plane.placement.backend_state import BackendState
from mulleinhatch.control_plane.placement.backend_view import HostedModel
from mulleinhatch.control_plane.placement.order import Operation, Order, OrderInFlight
from mulleinhatch.control_plane.placement.published_holdings import PUBLISH_DELAY_MS, HoldingsPublisher, current_holdings


def state_with(order: Order | None = None, **in_flight) -> BackendState:
    state = BackendState(models={"b": HostedModel(), "a": HostedModel({"y", "x"})})
    if order is not None:
        state.in_flight = OrderInFlight(order, 10.0, 12.0, 1, **in_flight)
    return state


class CurrentHoldings(unittest.TestCase):
    def test_models_and_adapters_are_sorted(self):
        holdings = current_holdings(state_with(), 10.0)
        self.assertEqual([(model.name, model.adapters) for model in holdings.models], [("a", ["x", "y"]), ("b", [])])
        self.assertEqual((holdings.loads, holdings.unloads), ([], []))

    def test_load_in_flight_has_its_remaining_time(self):
        holdings = current_holdings(state_with(Order("i", Operation.LOAD, "c", from_store=True)), 11.5)
        (load,) = holdings.loads
        self.assertEqual((load.model, load.remaining_ms, load.from_store), ("c", 500 + PUBLISH_DELAY_MS, True))
        self.assertEqual([model.name for model in holdings.models], ["a", "b"])

    def test_overdue_load_has_no_negative_time(self):
        holdings = current_holdings(state_with(Order("i", Operation.LOAD, "c")), 99.0)
        self.assertEqual(holdings.loads[0].remaining_ms, PUBLISH_DELAY_MS)

    def test_unload_in_flight_keeps_its_model_until_a_report(self):
        holdings = current_holdings(state_with(Order("i", Operation.UNLOAD, "a")), 11.0)
        self.assertEqual(([unload.model for unload in holdings.unloads], len(holdings.models)), (["a"], 2))

    def test_adapter_assumed_to_be_loaded_counts_as_present(self):
        state = state_with(Order("i", Operation.LOAD, "a", "z"), is_assumed_done=True)
        holdings = current_holdings(state, 11.0)
        self.assertEqual((holdings.models[0].adapters, holdings.loads), (["x", "y", "z"], []))
        self.assertEqual(state.models["a"].adapters, {"x", "y"})


class Publishing(unittest.TestCase):
    def setUp(self):
        self.revisions: list[int] = []
        self.has_changed = True
        self.heartbeats = 0
        target = SimpleNamespace(registry=self, request_heartbeat=self.count_heartbeat)
        self.leadership = SimpleNamespace(token=3)
        self.publisher = HoldingsPublisher(target, lambda: 10.0, self.leadership)

    def record_holdings(self, backend_id, models, loads, unloads, revision) -> bool:
        self.revisions.append(revision)
        return self.has_changed

    def count_heartbeat(self) -> None:
        self.heartbeats += 1

    def test_revisions_increase_within_a_term_and_from_leader_to_leader(self):
        self.publisher.publish("i", state_with())
        self.publisher.publish("i", state_with())
        self.leadership.token = 4
        self.publisher.reset()
        self.publisher.publish("i", state_with())
        self.assertEqual(self.revisions, [(3 << 32) + 1, (3 << 32) + 2, (4 << 32) + 1])

    def test_heartbeat_is_requested_only_after_a_change(self):
        self.publisher.publish("i", state_with())
        self.has_changed = False
        self.publisher.publish("i", state_with())
        self.assertEqual(self.heartbeats, 1)


if __name__ == "__main__":
    unittest.main()
