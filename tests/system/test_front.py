"""Clients' connections, byte by byte, against a transport in memory."""

from __future__ import annotations

import asyncio
import unittest

from mulleinhatch.configuration.routes import Limits
from mulleinhatch.data_plane.front import ClientSession, Front
from mulleinhatch.networking.http_streaming import Head, parse_response_head

REQUEST = b"POST /a/b HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\nbody"


class Socket:
    def setsockopt(self, *_: object) -> None:
        """Options mean nothing in memory."""


class Transport(asyncio.Transport):
    def __init__(self) -> None:
        super().__init__({"socket": Socket()})
        self.out = b""
        self.closed = self.aborted = self.paused = False

    def write(self, data: bytes) -> None:
        self.out += data

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = self.aborted = True

    def is_closing(self) -> bool:
        return self.closed

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False


class Running:
    """An exchange that the test answers itself."""

    def __init__(self, session: ClientSession, head: Head, body: bytes) -> None:
        self.session, self.head, self.body = session, head, body
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True

    def on_writable(self, writable: bool) -> None:
        """Nothing is held back here."""


class Sessions(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.exchanges: list[Running] = []
        self.front = Front(lambda: Limits(max_header_bytes=400, max_body_bytes=50), self.begin)

    def begin(self, session: ClientSession, head: Head, body: bytes) -> Running:
        self.exchanges.append(Running(session, head, body))
        return self.exchanges[-1]

    def connect(self) -> tuple[ClientSession, Transport]:
        session, transport = ClientSession(self.front), Transport()
        session.connection_made(transport)
        return session, transport

    async def test_a_request_that_comes_byte_by_byte_is_taken_once_whole(self):
        session, _ = self.connect()
        for at in range(len(REQUEST)):
            self.assertEqual(self.exchanges, [])
            session.data_received(REQUEST[at : at + 1])
        self.assertEqual((len(self.exchanges), self.exchanges[0].body), (1, b"body"))

    async def test_a_body_in_chunks_is_put_together(self):
        session, _ = self.connect()
        head = REQUEST.replace(b"Content-Length: 4", b"Transfer-Encoding: chunked").removesuffix(b"body")
        session.data_received(head + b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n")
        self.assertEqual(self.exchanges[0].body, b"body")

    async def test_a_second_request_waits_for_the_first_answer(self):
        session, transport = self.connect()
        session.data_received(REQUEST)
        session.data_received(REQUEST.replace(b"Request-Id: 1", b"Request-Id: 2"))
        self.assertEqual(len(self.exchanges), 1)
        session.refuse(503, "not run", 0.5)
        await asyncio.sleep(0)
        self.assertEqual(len(self.exchanges), 2)
        self.assertEqual(self.exchanges[1].head.first[b"request-id"], b"2")
        self.assertIn(b"Retry-After: 0.50\r\n", transport.out)
        self.assertFalse(transport.closed)

    async def test_what_is_no_request_or_too_long_gets_one_answer_and_the_end(self):
        faults = {
            400: b"NONSENSE\r\n\r\n",
            413: REQUEST.replace(b"Content-Length: 4", b"Content-Length: 51"),
            431: b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 500,
        }
        for status, data in faults.items():
            session, transport = self.connect()
            session.data_received(data)
            self.assertTrue(transport.out.startswith(b"HTTP/1.1 %d " % status), transport.out)
            self.assertTrue(transport.closed, status)
        self.assertEqual(self.exchanges, [])

    async def test_a_request_hidden_between_two_lengths_is_refused(self):
        session, transport = self.connect()
        session.data_received(REQUEST.replace(b"Host: x\r\n", b"Host: x\r\nTransfer-Encoding: chunked\r\n"))
        self.assertTrue(transport.out.startswith(b"HTTP/1.1 400 "))
        self.assertEqual(self.exchanges, [])

    async def test_a_stream_that_is_cut_does_not_look_complete(self):
        session, transport = self.connect()
        session.data_received(REQUEST)
        head = parse_response_head(
            b"HTTP/1.1 200 OK\r\nServer-Signature: s\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        session.write_head(head, None)
        session.write_body(b"id: 1\n\n")
        session.break_off()
        self.assertTrue(transport.aborted)
        self.assertNotIn(b"0\r\n\r\n", transport.out)
        self.assertIn(b"Server-Signature: s\r\n", transport.out)
        self.assertNotIn(b"Connection: close", transport.out)

    async def test_a_client_that_leaves_cancels_its_request(self):
        session, _ = self.connect()
        session.data_received(REQUEST)
        session.connection_lost(None)
        self.assertTrue(self.exchanges[0].cancelled)

    async def test_while_leaving_each_answer_is_the_last_of_its_connection(self):
        session, transport = self.connect()
        session.data_received(REQUEST)
        self.front.leaving = True
        session.refuse(503, "not run", 0.5)
        self.assertIn(b"Connection: close\r\n", transport.out)
        self.assertTrue(transport.closed)


if __name__ == "__main__":
    unittest.main()
