"""The server for calls between processes: only a request whose end is known reaches a handler, on real sockets."""

from __future__ import annotations

import asyncio
import unittest

from mulleinhatch.networking.http_server import HttpServer, HttpServerRequest, HttpServerResponse
from mulleinhatch.testing.instance_harness import free_port
from tests.system.exchange_sockets import Response, read_response, reset

TIMEOUT_S = 5.0
PIECE_PAUSE_S = 0.02
BODY = b"abcd"


class RequestBodies(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.bodies: list[bytes] = []
        self.address = f"127.0.0.1:{free_port()}"
        HttpServer(asyncio.get_running_loop()).listen(self.address, self.handle)

    async def handle(self, request: HttpServerRequest) -> HttpServerResponse:
        self.bodies.append(request.body)
        return HttpServerResponse(200)

    async def send(self, *pieces: bytes, method: bytes = b"POST") -> Response:
        """Send the head's further lines and the body in pieces; return the response."""
        reader, writer = await asyncio.open_connection(*self.address.split(":"))
        async with asyncio.timeout(TIMEOUT_S):
            writer.write(method + b" /x HTTP/1.1\r\nHost: h\r\n")
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(PIECE_PAUSE_S)
            response = await read_response(reader)
        writer.close()
        return response

    async def test_a_body_with_a_length_or_in_chunks_arrives_whole(self):
        for pieces in (
            (b"Content-Length: 4\r\n\r\nabcd",),
            (b"Content-Length: 4\r\n\r\na", b"bcd"),
            (b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", b"2\r\ncd\r\n", b"0\r\n\r\n"),
        ):
            self.bodies.clear()
            self.assertEqual(((await self.send(*pieces)).status, self.bodies), (200, [BODY]), pieces)

    async def test_a_request_that_has_no_body_needs_no_length(self):
        for method in (b"GET", b"DELETE"):
            self.assertEqual((await self.send(b"\r\n", method=method)).status, 200)
        self.assertEqual(self.bodies, [b"", b""])

    # Guards against a part of a body that counts as whole: without a length, its first segment was taken for all of it.
    async def test_a_body_whose_end_is_not_told_reaches_no_handler(self):
        for head, status in (
            (b"", 411),
            (b"Content-Length: -1\r\n", 400),
            (b"Transfer-Encoding: Chunked\r\n", 400),
            (b"Transfer-Encoding: gzip, chunked\r\n", 400),
        ):
            response = await self.send(head + b"\r\n2\r\nab\r\n", b"2\r\ncd\r\n0\r\n\r\n")
            self.assertEqual((response.status, self.bodies), (status, []), head)

    # Guards against a body that a closed connection cuts and that counts as whole.
    async def test_a_body_that_is_cut_reaches_no_handler(self):
        for body in (b"Content-Length: 4\r\n\r\nabc", b"Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n"):
            for is_reset in (False, True):
                _, writer = await asyncio.open_connection(*self.address.split(":"))
                writer.write(b"POST /x HTTP/1.1\r\nHost: h\r\n" + body)
                await writer.drain()
                await asyncio.sleep(PIECE_PAUSE_S)
                reset(writer) if is_reset else writer.close()
        self.assertEqual((await self.send(b"Content-Length: 4\r\n\r\nabcd")).status, 200)
        self.assertEqual(self.bodies, [BODY])


class LargeBodies(RequestBodies):
    LIMIT = 100_000

    async def asyncSetUp(self):
        self.bodies = []
        self.address = f"127.0.0.1:{free_port()}"
        self.server = HttpServer(asyncio.get_running_loop())
        self.server.listen(self.address, self.handle, self.LIMIT)

    async def test_a_body_of_the_limit_arrives_and_a_larger_one_is_refused_before_it_is_sent(self):
        response = await self.send(b"Content-Length: %d\r\n\r\n" % self.LIMIT, bytes(self.LIMIT))
        self.assertEqual((response.status, len(self.bodies[0])), (200, self.LIMIT))
        response = await self.send(b"Content-Length: %d\r\n\r\n" % (self.LIMIT + 1))
        self.assertEqual((response.status, len(self.bodies)), (413, 1))

    # Guards against chunks that are collected without end.
    async def test_chunks_beyond_the_limit_are_refused_and_dropped(self):
        chunk = b"8000\r\n" + bytes(0x8000) + b"\r\n"
        response = await self.send(b"Transfer-Encoding: chunked\r\n\r\n", *[chunk] * 8)
        self.assertEqual((response.status, self.bodies), (413, []))

    async def test_small_requests_on_one_connection_do_not_add_up(self):
        reader, writer = await asyncio.open_connection(*self.address.split(":"))
        for _ in range(6):
            writer.write(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 40000\r\n\r\n" + bytes(40000))
            async with asyncio.timeout(TIMEOUT_S):
                self.assertEqual((await read_response(reader)).status, 200)
        writer.close()

    # Guards against large bodies whose connections are cut: each left what had arrived in memory for good.
    async def test_what_arrived_of_a_cut_request_is_forgotten(self):
        parsers = [component.http for component in self.server._root.components if hasattr(component, "http")]
        for _ in range(3):
            _, writer = await asyncio.open_connection(*self.address.split(":"))
            writer.write(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n" + bytes(50000))
            await writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)
            writer.close()
        await asyncio.sleep(5 * PIECE_PAUSE_S)
        for parser in parsers:
            self.assertEqual((parser._buffers, parser._clients), ({}, {}))


if __name__ == "__main__":
    unittest.main()
