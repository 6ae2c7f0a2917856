"""Calls between processes whose response is cut where its connection is closed in order, as by a crash, on real sockets."""

from __future__ import annotations

import asyncio
import json
import unittest
from types import SimpleNamespace

from mulleinhatch.control_plane.placement.order import Operation, Order
from mulleinhatch.control_plane.placement.order_client import OrderClient
from mulleinhatch.control_plane.placement.report_poller import ReportPoller
from mulleinhatch.data_plane.control_plane_client import ControlPlaneClient
from mulleinhatch.messages.cluster import Backend, PollResponse
from mulleinhatch.networking.http_client import HttpCallError, HttpClient
from mulleinhatch.networking.http_streaming import write_response
from tests.system.exchange_sockets import SETTINGS, reset

TIMEOUT_S = 2.0
LOAD = Order("i-1", Operation.LOAD, "m")
REPORT = json.dumps({"models": [], "busy": False, "sequence": 4}).encode()
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


def registry(*backend_ids: str) -> PollResponse:
    backends = [Backend(id=name, service="s", address=f"127.0.0.1:{number}") for number, name in enumerate(backend_ids, 1)]
    return PollResponse(authoritative=True, epoch=3, registry_source="s", is_full_registry=True, backends=backends)


class CutTransfers(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.answers: list[bytes] = []
        self.is_reset = False
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request with the next answer and end the connection."""
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line)
            await reader.readexactly(int(fields[b"content-length"]))
            writer.write(self.answers.pop(0))
            await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        if self.is_reset:
            await asyncio.sleep(0.02)
            reset(writer)
        writer.close()

    async def call(self, client: HttpClient, answer: bytes) -> bytes:
        self.answers.append(answer)
        return (await client.request(self.address, "POST", "/x", b"", TIMEOUT_S)).body

    # Guards against an internal message whose cut looks whole: protobuf does not tell its own end.
    async def test_a_response_without_a_length_is_not_complete(self):
        for answer in (UNFRAMED_HEAD, UNFRAMED_HEAD + b"part"):
            with self.assertRaisesRegex(HttpCallError, "length") as caught:
                await self.call(HttpClient(), answer)
            self.assertTrue(caught.exception.sent)
        self.assertEqual(await self.call(HttpClient(), write_response(200, [], b"whole")), b"whole")

    async def test_a_response_with_a_length_that_is_cut_is_not_complete(self):
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
        for answer in (write_response(200, [], b"whole")[:-1], chunked):
            with self.assertRaises(HttpCallError):
                await self.call(HttpClient(accepts_close_delimited=True), answer)

    async def test_where_it_is_accepted_a_response_without_a_length_is_complete_unless_it_is_reset(self):
        client = HttpClient(accepts_close_delimited=True)
        self.assertEqual(await self.call(client, UNFRAMED_HEAD + b"whole"), b"whole")
        self.is_reset = True
        with self.assertRaises(HttpCallError):
            await self.call(client, UNFRAMED_HEAD + b"whole")

    # Guards against a registry that was cut between two backends: those that did not arrive counted as gone.
    async def test_a_registry_that_was_cut_drops_no_backend(self):
        loop = asyncio.get_running_loop()
        link = ControlPlaneClient(SETTINGS, HttpClient(), loop.time, lambda snapshot: None)
        whole = bytes(registry("i-1", "i-2", "i-3"))
        self.answers.append(write_response(200, [(b"Connection", b"close")], whole))
        await link._poll_round([self.address])
        self.assertEqual(sorted(link.snapshot.backends.by_id), ["i-1", "i-2", "i-3"])
        self.answers.append(UNFRAMED_HEAD + bytes(registry("i-1")))  # The bytes of the whole response up to a field's end.
        with self.assertRaisesRegex(HttpCallError, "length"):
            await link._poll(self.address)
        self.assertEqual(link.snapshot.backends.unconfirmed, {})  # An unconfirmed backend is dropped soon.

    def order_client(self) -> OrderClient:
        node = SimpleNamespace(member=SimpleNamespace(name="core-1"))
        leadership = SimpleNamespace(token=9, is_token_rejected=lambda: False)
        http_client = HttpClient(accepts_close_delimited=True)
        return OrderClient(node, http_client, asyncio.get_running_loop().time, leadership)

    # Guards against an order that counts as done by a late report whose cut can't be told from a response.
    async def test_a_cut_report_in_place_of_a_response_settles_no_order(self):
        backend = SimpleNamespace(id="i-1", address=self.address)
        for cut in range(1, len(REPORT) + 1):
            self.answers.append(UNFRAMED_HEAD + REPORT[:cut])
            with self.assertRaises(HttpCallError):
                await self.order_client().send(backend, LOAD, 4)

    async def test_an_order_is_accepted_by_a_response_without_a_length(self):
        backend = SimpleNamespace(id="i-1", address=self.address)
        for status in (202, 409):
            self.answers.append(UNFRAMED_HEAD.replace(b"200", b"%d" % status))
            self.assertEqual((await self.order_client().send(backend, LOAD, 4)).status, status)

    async def test_a_report_without_a_length_counts_only_whole(self):
        poller = ReportPoller(None, HttpClient(accepts_close_delimited=True), lambda: 0.0, None, lambda: None)
        backend = SimpleNamespace(id="i-1", address=self.address)
        for cut in range(len(REPORT) + 1):
            self.answers.append(UNFRAMED_HEAD + REPORT[:cut])
            report = await poller._request_report(backend)
            self.assertEqual(report is not None, cut == len(REPORT), cut)


if __name__ == "__main__":
    unittest.main()
