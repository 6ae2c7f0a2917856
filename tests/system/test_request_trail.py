"""The log lines of one request tell each send, its backend and connection, what settled it, and the client's status."""

from __future__ import annotations

import asyncio
import logging
import unittest

from tests.system.exchange_sockets import Backend, ExchangeTestCase

REQUEST_LOG = "mulleinhatch.data_plane.request_log"


class RequestTrail(ExchangeTestCase):
    async def trail(self, route: str, *scripts: str) -> logging.LogRecord:
        """Send one request to backends with the given scripts and return its `request ended` line."""
        with self.assertLogs(REQUEST_LOG) as captured:
            async with self.data_plane(*(Backend([script]) for script in scripts)) as address:
                await self.send_request(address, route, b"r1")
        [record] = [record for record in captured.records if record.getMessage() == "request ended"]
        self.assertEqual(record.request_id, "r1")
        return record

    async def test_a_served_request_tells_its_send_and_status(self):
        with self.assertLogs(REQUEST_LOG) as captured:
            async with self.data_plane(Backend(["respond"])) as address:
                for request_id in (b"r1", b"r2"):
                    await self.send_request(address, "unsafe", request_id)
                self.router.request_log.flush()
        [record] = captured.records
        self.assertEqual(record.getMessage(), "requests served by their first send")
        (first_id, *first), (second_id, *second) = record.requests
        self.assertEqual((first_id, second_id), ("r1", "r2"))
        version = self.router.snapshot.table.version
        for reuse, (status, held_s, backend, connection, *more) in enumerate((first, second)):
            self.assertEqual((status, backend, more), (200, "i-0", [reuse, "length", version]))
            self.assertGreater(held_s, 0.0)
            self.assertEqual(connection, first[3])

    async def test_a_request_that_a_second_send_served_tells_both(self):
        with self.assertLogs(REQUEST_LOG) as captured:
            await self.exchange("safe", "failure")
        [record] = captured.records
        self.assertEqual((record.end, record.status), ("a backend's response was forwarded", 200))
        first, second = record.attempts
        self.assertEqual((first["settled_by"], first["status"]), ("response broken off or unusable", 500))
        self.assertEqual((second["settled_by"], second["status"]), ("complete response", 200))
        self.assertEqual((first["framing"], second["framing"]), ("length", "length"))
        self.assertNotEqual(first["connection"], second["connection"])

    async def test_a_rejected_request_tells_every_send_and_503(self):
        record = await self.trail("unsafe", "not_executed", "not_executed")
        self.assertEqual((record.end, record.status), ("answered by this data plane", 503))
        # Each backend is asked once or, if the test runs slowly, again after its cooldown.
        self.assertIn([send["send"] for send in record.attempts], ([1, 2], [1, 2, 3], [1, 2, 3, 4]))
        self.assertEqual({send["settled_by"] for send in record.attempts}, {"rejected without execution"})
        self.assertEqual({send["backend"] for send in record.attempts}, {"i-0", "i-1"})

    async def test_a_lost_connection_and_an_unusable_response_are_told_apart(self):
        lost = await self.trail("unsafe", "reset")
        self.assertEqual((lost.status, lost.attempts[0]["settled_by"]), (502, "connection ended without a response"))
        self.assertEqual(lost.attempts[0]["framing"], "")
        unusable = await self.trail("unsafe", "partial_body")
        self.assertEqual((unusable.status, unusable.attempts[0]["settled_by"]), (502, "response broken off or unusable"))
        self.assertEqual(unusable.attempts[0]["status"], 200)

    async def test_a_reset_stream_has_no_status(self):
        record = await self.trail("stream", "truncated_stream")
        self.assertEqual((record.end, record.status), ("the response had started and was reset", 0))
        self.assertEqual(record.attempts[0]["framing"], "last chunk")

    async def test_a_client_that_left_is_told(self):
        backend = Backend(["execute"])
        with self.assertLogs(REQUEST_LOG) as captured:
            async with self.data_plane(backend) as address:
                _, writer = await asyncio.open_connection(*address)
                writer.write(b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n")
                await backend.arrived.wait()
                writer.close()
                await backend.peer_closed.wait()
        [record] = [record for record in captured.records if record.getMessage() == "request ended"]
        self.assertEqual((record.end, record.status), ("the client closed its connection", 0))
        self.assertEqual(record.attempts[0]["settled_by"], "abandoned by this data plane")

    # The configuration of the test is not known to be current, so an unknown route gets 503 and not 404.
    async def test_a_request_that_is_answered_on_its_arrival_is_told(self):
        with self.assertLogs(REQUEST_LOG) as captured:
            async with self.data_plane(Backend(["respond"])) as address:
                await self.send_request(address, "unknown", b"r1")
                self.router.request_log.flush()
        [record] = captured.records
        self.assertEqual(record.getMessage(), "requests that ended without a send")
        [(request_id, status, _, reason, version)] = record.requests
        self.assertEqual((request_id, status, version), ("r1", 503, self.router.snapshot.table.version))
        self.assertTrue(reason)


if __name__ == "__main__":
    unittest.main()
