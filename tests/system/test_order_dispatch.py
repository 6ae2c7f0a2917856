"""Orders to a backend that follows its API's rules: an unload, the load that follows it, lost responses."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

from mulleinhatch.control_plane.placement.backend_state import BackendState
from mulleinhatch.control_plane.placement.load_rate_limiter import LoadRateLimiter
from mulleinhatch.control_plane.placement.order import Operation, Order
from mulleinhatch.control_plane.placement.order_client import FencedOffError, OrderResponse
from mulleinhatch.control_plane.placement.order_dispatch import RESERVATION_S, OrderDispatcher
from tests.system.placement_fakes import REPORT_DELAY_S, PlacementCase

BACKEND = SimpleNamespace(id="i", address="i:1")


class UnloadAndLoad(PlacementCase):
    def test_load_follows_unload_before_a_report_shows_its_completion(self):
        script = self.play()
        (unloaded_at, *_), (loaded_at, *_) = script.accepted[:2]
        self.assertEqual([order[1:] for order in script.accepted[:2]], [("unload", "a"), ("load", "b")])
        self.assertLess(loaded_at - unloaded_at, REPORT_DELAY_S)
        self.assertEqual(script.models, {"b"})
        self.assertFalse(script.has_crashed)

    def test_load_is_retried_while_the_unload_waits_for_running_requests(self):
        script = self.play(unload_s=1.5)
        self.assertEqual([order[1:] for order in script.accepted[:2]], [("unload", "a"), ("load", "b")])
        self.assertGreaterEqual(script.accepted[1][0] - script.accepted[0][0], 1.5)
        self.assertIn(409, script.statuses)
        self.assertFalse(script.has_crashed)

    def test_load_whose_response_is_lost_counts_as_accepted(self):
        script = self.play(until=9.0, lost_responses={2})
        self.assertEqual([order[1:] for order in script.accepted].count(("load", "b")), 1)
        self.assertFalse(script.has_crashed)

    def test_unload_whose_response_is_lost_is_followed_after_a_report(self):
        script = self.play(until=9.0, lost_responses={1})
        self.assertEqual(script.models, {"b"})
        self.assertFalse(script.has_crashed)


class FakeLeadership:
    """Leads until `leads` is cleared or leadership is revoked."""

    def __init__(self) -> None:
        self.leads = True
        self.revoked = 0

    def confirm(self) -> bool:
        return self.leads

    def revoke(self, rejected_token: int) -> None:
        self.revoked += 1
        self.rejected_token = rejected_token
        self.leads = False


class OrderResponses(unittest.IsolatedAsyncioTestCase):
    """One order with a response chosen by the test; `issue` runs the background task that sends it."""

    def setUp(self):
        self.sent: list[tuple[Order, int]] = []
        self.published: list[BackendState] = []
        self.started = []
        self.leadership = FakeLeadership()
        self.state = BackendState(is_known=True, revision=7)
        self.dispatcher = OrderDispatcher(
            SimpleNamespace(start_task=self.started.append),
            lambda: 100.0,
            self,
            self.leadership,
            SimpleNamespace(publish=lambda backend_id, state: self.published.append(state)),
            LoadRateLimiter(5.0),
        )

    async def send(self, backend, order: Order, revision: int) -> OrderResponse:
        self.sent.append((order, revision))
        if self.status is None:
            raise FencedOffError("rejected before")
        return OrderResponse(self.status, 9)

    async def issue(self, status: int, order: Order) -> None:
        self.status = status
        self.dispatcher.issue(BACKEND, self.state, order, 100.0)
        await self.started.pop(0)

    async def test_accepted_order_stays_in_flight(self):
        order = Order("i", Operation.LOAD, "b", expected_s=2.0)
        await self.issue(202, order)
        self.assertEqual(self.sent, [(order, 7)])
        self.assertIs(self.state.in_flight.order, order)
        self.assertGreater(self.state.in_flight.expected_at, 102.0)
        self.assertFalse(self.state.is_idle())

    async def test_rejected_order_is_dropped_and_the_backend_polled_again(self):
        for status, pause_s in ((409, 0.12), (200, 0.12), (503, 1.0)):
            with self.subTest(status=status):
                self.state.is_known = True
                await self.issue(status, Order("i", Operation.LOAD, "b"))
                self.assertIsNone(self.state.in_flight)
                self.assertFalse(self.state.is_known)
                self.assertEqual(self.state.next_poll_at, 100.0 + pause_s)
        self.assertEqual(self.leadership.revoked, 0)

    async def test_rejection_of_the_fencing_token_revokes_leadership(self):
        await self.issue(412, Order("i", Operation.LOAD, "b"))
        self.assertEqual((self.leadership.revoked, self.leadership.rejected_token), (1, 9))

    async def test_follow_up_load_is_not_retried_after_its_token_was_rejected(self):
        load = Order("i", Operation.LOAD, "b")
        await self.issue(202, Order("i", Operation.UNLOAD, "a", reserved_for="b", follow_up=load))
        self.status = 412
        with mock.patch("asyncio.sleep", mock.AsyncMock()):
            await self.started.pop(0)
        self.assertEqual([order.model for order, _ in self.sent], ["a", "b"])
        self.assertEqual((self.leadership.revoked, self.leadership.rejected_token), (1, 9))

    async def test_order_that_the_client_does_not_send_is_dropped(self):
        await self.issue(None, Order("i", Operation.LOAD, "b"))
        self.assertIsNone(self.state.in_flight)

    async def test_sends_no_order_after_leadership_is_lost(self):
        self.leadership.leads = False
        await self.issue(202, Order("i", Operation.LOAD, "b"))
        self.assertEqual(self.sent, [])
        self.assertIsNone(self.state.in_flight)

    async def test_unload_reserves_the_freed_memory_until_its_model_is_ordered(self):
        await self.issue(202, Order("i", Operation.UNLOAD, "a", reserved_for="b"))
        self.assertEqual((self.state.reserved_for, self.state.reserved_until), ("b", 100.0 + RESERVATION_S))
        await self.issue(202, Order("i", Operation.LOAD, "c"))
        self.assertEqual(self.state.reserved_for, "b")
        await self.issue(202, Order("i", Operation.LOAD, "b"))
        self.assertEqual(self.state.reserved_for, "")

    async def test_recent_orders_name_operation_and_reason(self):
        await self.issue(202, Order("i", Operation.LOAD, "b", "x", reason="adapter wanted"))
        self.started.pop(0).close()
        self.assertEqual(
            list(self.dispatcher.recent_orders),
            [{"stub": "i", "operation": "load", "model": "b", "adapter": "x", "why": "adapter wanted"}],
        )


if __name__ == "__main__":
    unittest.main()
