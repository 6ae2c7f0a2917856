"""The client for calls between processes: a response settles its own call only, on real sockets."""

from __future__ import annotations

import asyncio
import unittest

from mulleinhatch.networking.http_client import HttpCallError, HttpClient
from mulleinhatch.networking.http_streaming import write_response

SLOW_S, TIMEOUT_S = 0.3, 0.1


class EchoServer:
    """Answers each request with its body; `/slow` only after `SLOW_S` seconds."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).lower().split(b"\r\n")
                fields = dict(line.split(b": ", 1) for line in lines[1:] if b": " in line)
                body = await reader.readexactly(int(fields[b"content-length"]))
                if lines[0].startswith(b"post /slow"):
                    await asyncio.sleep(SLOW_S)
                writer.write(write_response(200, [], body))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


class Calls(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        server = await asyncio.start_server(EchoServer().serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.client = HttpClient()
        self.addCleanup(self.client.forget, self.address)

    async def call(self, path: str, body: bytes, timeout_s: float = 2.0) -> bytes:
        return (await self.client.request(self.address, "POST", path, body, timeout_s)).body

    async def test_the_late_response_of_a_call_that_timed_out_settles_no_later_call(self):
        self.assertEqual(await self.call("/fast", b"first"), b"first")
        with self.assertRaises(HttpCallError) as caught:
            await self.call("/slow", b"late", TIMEOUT_S)
        self.assertTrue(caught.exception.sent)
        await asyncio.sleep(SLOW_S)
        self.assertEqual(await self.call("/fast", b"second"), b"second")

    async def test_the_late_response_of_a_cancelled_call_settles_no_later_call(self):
        self.assertEqual(await self.call("/fast", b"first"), b"first")
        task = asyncio.ensure_future(self.call("/slow", b"late"))
        await asyncio.sleep(TIMEOUT_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(await self.call("/fast", b"second"), b"second")

    async def test_only_a_call_that_wrote_nothing_says_so(self):
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        with self.assertRaises(HttpCallError) as closed:
            await self.client.request(address, "POST", "/x", b"", 2.0)
        server.close()
        await server.wait_closed()
        with self.assertRaises(HttpCallError) as refused:
            await self.client.request(address, "POST", "/x", b"", 2.0)
        self.assertEqual((closed.exception.sent, refused.exception.sent), (True, False))


if __name__ == "__main__":
    unittest.main()
