"""Polling backends for reports: when a report is requested, when it is applied, and the backoff after failures."""

from __future__ import annotations

import json
import unittest
from types import SimpleNamespace

from mulleinhatch.control_plane.placement.backend_report import BackendReport, parse_report
from mulleinhatch.control_plane.placement.backend_state import LOADED_LONG_AGO, BackendState
from mulleinhatch.control_plane.placement.order import Operation, Order, OrderInFlight
from mulleinhatch.control_plane.placement.report_poller import MAX_POLL_BACKOFF_S, POLL_BACKOFF_S, POLL_INTERVAL_S, ReportPoller
from mulleinhatch.networking.http_client import HttpCallError

BACKEND = SimpleNamespace(id="i", address="i:1")
LOAD = Order("i", Operation.LOAD, "b", expected_s=2.0)


class Polling(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        self.started = []
        self.published: list[str] = []
        self.forgotten: list[str] = []
        self.reports = 0
        self.state = BackendState()
        self.poller = ReportPoller(
            SimpleNamespace(start_task=self.started.append),
            self,
            lambda: self.now,
            SimpleNamespace(publish=lambda backend_id, state: self.published.append(backend_id)),
            self.count_report,
        )

    def count_report(self) -> None:
        self.reports += 1

    async def request(self, address: str, method: str, path: str, body: bytes, timeout: float) -> SimpleNamespace:
        self.assertEqual((method, path), ("GET", "/report"))
        if isinstance(self.response, Exception):
            raise self.response
        return self.response

    def forget(self, address: str) -> None:
        self.forgotten.append(address)

    async def poll(self, response) -> bool:
        """Poll if due and handle the given response; return whether a poll was due."""
        self.response = response
        self.poller.poll_if_due(BACKEND, self.state, self.now)
        if not self.started:
            return False
        await self.started.pop()
        return True

    @staticmethod
    def report(*models: str, busy: bool = False, sequence: int = 1) -> SimpleNamespace:
        value = {"models": [{"name": name} for name in models], "busy": busy, "sequence": sequence}
        return SimpleNamespace(status=200, body=json.dumps(value).encode())

    async def test_first_report_makes_the_backend_known(self):
        self.assertTrue(await self.poll(self.report("a", sequence=4)))
        self.assertTrue(self.state.is_idle())
        self.assertEqual((self.state.revision, self.state.models["a"].loaded_at), (4, LOADED_LONG_AGO))
        self.assertEqual((self.published, self.reports), (["i"], 1))

    async def test_known_idle_backend_is_not_polled(self):
        await self.poll(self.report("a"))
        self.now += 10.0
        self.assertFalse(await self.poll(self.report("a")))

    async def test_backend_is_polled_while_it_executes_an_order_of_another_node(self):
        await self.poll(self.report("a", busy=True))
        self.assertFalse(self.state.is_idle())
        self.assertFalse(await self.poll(self.report("a")))
        self.now += POLL_INTERVAL_S
        self.assertTrue(await self.poll(self.report("a")))
        self.assertTrue(self.state.is_idle())

    async def test_failures_back_off_up_to_a_limit(self):
        failures = [
            HttpCallError("i:1", "refused"),
            SimpleNamespace(status=500, body=b""),
            SimpleNamespace(status=200, body=b"[]"),
        ]
        for count, failure in enumerate([*failures, *failures], 1):
            with self.subTest(count=count):
                self.assertTrue(await self.poll(failure))
                self.assertAlmostEqual(self.state.next_poll_at - self.now, min(MAX_POLL_BACKOFF_S, POLL_BACKOFF_S * count))
                self.now = self.state.next_poll_at
        self.assertEqual(len(self.forgotten), 4)
        self.assertFalse(self.state.is_known)

    async def test_report_resets_the_failure_count(self):
        for response in (HttpCallError("i:1", "refused"), self.report("a", busy=True), HttpCallError("i:1", "refused")):
            self.assertTrue(await self.poll(response))
            pause_s = self.state.next_poll_at - self.now
            self.now = self.state.next_poll_at
        self.assertAlmostEqual(pause_s, POLL_BACKOFF_S)

    async def test_one_poll_at_a_time(self):
        self.response = self.report("a")
        self.poller.poll_if_due(BACKEND, self.state, self.now)
        self.poller.poll_if_due(BACKEND, self.state, self.now)
        self.assertEqual(len(self.started), 1)
        await self.started.pop()

    async def test_report_from_before_the_order_is_ignored(self):
        self.state = BackendState(is_known=True, revision=1, in_flight=OrderInFlight(LOAD, 99.0, 100.0, 1))
        self.assertTrue(await self.poll(self.report("a", sequence=1)))
        self.assertIsNotNone(self.state.in_flight)
        self.assertEqual(self.reports, 0)

    async def test_report_after_the_order_completes_it(self):
        self.state = BackendState(is_known=True, revision=1, in_flight=OrderInFlight(LOAD, 99.0, 100.0, 1))
        self.assertTrue(await self.poll(self.report("b", sequence=2)))
        self.assertIsNone(self.state.in_flight)
        self.assertEqual((self.state.models["b"].loaded_at, self.reports), (100.0, 1))

    async def test_report_is_ignored_while_a_follow_up_is_being_sent(self):
        in_flight = OrderInFlight(LOAD, 99.0, 100.0, 1, is_follow_up_sending=True)
        self.state = BackendState(is_known=True, revision=1, in_flight=in_flight)
        self.assertTrue(await self.poll(self.report("b", sequence=2)))
        self.assertIs(self.state.in_flight, in_flight)


class OrderCompletion(unittest.TestCase):
    def test_order_without_a_new_revision_expires_when_it_is_overdue(self):
        report = BackendReport({}, False, 1)
        in_flight = OrderInFlight(LOAD, 10.0, 12.0, 1)
        self.assertFalse(in_flight.is_completed_by(report, 17.9))
        self.assertTrue(in_flight.is_completed_by(report, 18.1))

    def test_order_whose_response_was_lost_expires_sooner(self):
        report = BackendReport({}, False, 1)
        in_flight = OrderInFlight(LOAD, 10.0, 12.0, 1, is_response_lost=True)
        self.assertFalse(in_flight.is_completed_by(report, 12.1))
        self.assertTrue(in_flight.is_completed_by(report, 12.2))

    def test_body_that_is_not_a_report_is_rejected(self):
        for body in (b"", b"[]", b'{"models":[{}]}', b'{"models":3}', b'{"sequence":"x"}'):
            with self.subTest(body=body), self.assertRaises(ValueError):
                parse_report(body)


if __name__ == "__main__":
    unittest.main()
