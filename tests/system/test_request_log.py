"""Log lines about late and rejected requests: their fields, and that `benchmarks.lost_value` can parse them."""

from __future__ import annotations

import json
import logging
import unittest
from types import SimpleNamespace

from benchmarks.lost_value import lost_requests, read_lines
from mulleinhatch.configuration.route import Route
from mulleinhatch.data_plane.access import AccessDenied
from mulleinhatch.data_plane.client_timeouts import ClientTimeouts
from mulleinhatch.data_plane.request_context import RequestContext
from mulleinhatch.data_plane.request_log import RequestLog
from mulleinhatch.data_plane.wait_reason import WaitReason
from mulleinhatch.networking.http_streaming import parse_request_head

HEAD = b"POST / HTTP/1.1\r\nModel: m/a1\r\nRequest-Id: 7\r\n\r\n"
LOGGED_KEYS = ("request_id", "route", "priority", "model", "adapter", "wait_reason", "is_probable_retry", "sends")
STANDARD_ATTRIBUTES = frozenset(logging.makeLogRecord({}).__dict__)


def route(timeout_s: float = 5.0) -> Route:
    return Route("r", "h", "/", "safe", timeout_s, 0.5, 1, 2, False, 0.0, (("s", 1.0),))


def formatted(record: logging.LogRecord) -> str:
    """Format a log record as the benchmark prints it."""
    fields = {key: value for key, value in record.__dict__.items() if key not in STANDARD_ATTRIBUTES}
    return f"  3.25 front-1 {json.dumps({'message': record.getMessage(), **fields})}"


class RequestLogLines(unittest.TestCase):
    def setUp(self):
        self.timeouts = ClientTimeouts()
        self.log = RequestLog(lambda: 10.0, self.timeouts)

    def request(self, arrived_at: float = 9.0, deadline: float = 14.0) -> SimpleNamespace:
        context = RequestContext(SimpleNamespace(), parse_request_head(HEAD), b"", route(), "s", deadline)
        return SimpleNamespace(context=context, pending=SimpleNamespace(arrived_at=arrived_at), wait_reason=WaitReason.LOADING)

    def lines(self, act) -> list[str]:
        with self.assertLogs("mulleinhatch.data_plane.request_log") as captured:
            act()
        return [formatted(record) for record in captured.records]

    def test_late_response_can_be_parsed(self):
        lines = self.lines(lambda: self.log.late(self.request(), 2.0, 0.5))
        [(at, record)] = read_lines(lines)
        self.assertEqual(at, 3.25)
        for key in LOGGED_KEYS:
            self.assertIn(key, record)
        [lost] = lost_requests([(at, record)])
        self.assertEqual((lost.late, lost.cause, lost.model, lost.priority), (True, WaitReason.LOADING.value, "m", 1))
        [slow] = lost_requests(read_lines(self.lines(lambda: self.log.late(self.request(), 2.0, 1.5))))
        self.assertEqual(slow.cause, "slow at the backend")

    def test_rejection_can_be_parsed_and_is_stored_for_the_status_page(self):
        lines = self.lines(lambda: self.log.not_served(self.request(), "due", 0.25))
        [lost] = lost_requests(read_lines(lines))
        self.assertEqual((lost.late, lost.cause, lost.is_probable_retry), (False, WaitReason.LOADING.value, False))
        expected = {"request_id": "7", "route": "r", "model": "m/a1", "why": "due", "held_s": 1.0, "retry_after_s": 0.25}
        self.assertEqual(list(self.log.recent_rejections), [expected])

    def test_the_rejection_counter_matches_the_list_of_rejections(self):
        self.lines(lambda: [self.log.not_served(self.request(), why, 0.25) for why in ("due", "no stub could be reached")])
        self.log.failed()
        self.log.over_quota()
        self.log.denied(AccessDenied(401, "no key"))
        for _ in range(2):
            self.log.denied(AccessDenied(503, "not current", 0.3))
        self.log.denied(AccessDenied(404, "no route"))  # Not counted: anyone can request an unknown path.
        self.assertEqual(
            self.log.counters,
            {
                "served": 0,
                "refused": len(self.log.recent_rejections),
                "failed": 1,
                "over_quota": 1,
                "unauthorized": 1,
                "out_of_touch": 2,
            },
        )

    def test_a_request_with_less_time_than_others_of_its_route_is_a_probable_retry(self):
        self.timeouts.deadline(route(), parse_request_head(HEAD), 0.0)
        lines = self.lines(lambda: self.log.not_served(self.request(arrived_at=10.0, deadline=14.0), "due", 0.25))
        self.assertTrue(lost_requests(read_lines(lines))[0].is_probable_retry)


class Timeouts(unittest.TestCase):
    def test_deadline_is_the_clients_capped_by_the_routes(self):
        timeouts = ClientTimeouts()
        heads = [
            HEAD,
            HEAD.replace(b"Model:", b"Request-Deadline: 1500\r\nModel:"),
            HEAD.replace(b"Model:", b"Request-Deadline: 9000\r\nModel:"),
        ]
        self.assertEqual([timeouts.deadline(route(), parse_request_head(head), 1.0) for head in heads], [6.0, 2.5, 6.0])
        self.assertTrue(timeouts.is_probable_retry(route(), 4.2))
        self.assertFalse(timeouts.is_probable_retry(route(), 4.3))


if __name__ == "__main__":
    unittest.main()
