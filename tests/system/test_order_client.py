"""The HTTP request of an order."""

from __future__ import annotations

import json
import unittest
from types import SimpleNamespace

from mulleinhatch.control_plane.placement.leadership import NEVER_ISSUED_S
from mulleinhatch.control_plane.placement.order import ORDER_TIMEOUT_S, Operation, Order
from mulleinhatch.control_plane.placement.order_client import FencedOffError, OrderClient, OrderResponse
from mulleinhatch.networking.http_client import HttpCallError

BACKEND = SimpleNamespace(id="i-1", address="i:1")


class SendOrder(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        self.requests: list[tuple] = []
        self.error: HttpCallError | None = None
        node = SimpleNamespace(member=SimpleNamespace(name="core-1"))
        self.client = OrderClient(node, self, lambda: self.now, self)
        self.token, self.is_rejected = 9, False

    def is_token_rejected(self) -> bool:
        return self.is_rejected

    async def request(self, *arguments) -> SimpleNamespace:
        self.requests.append(arguments)
        if self.error is not None:
            raise self.error
        return SimpleNamespace(status=202)

    async def test_order_names_its_revision_issuer_and_fencing_token(self):
        response = await self.client.send(BACKEND, Order("i-1", Operation.LOAD, "m"), 5)
        self.assertEqual(response, OrderResponse(202, 9))
        address, method, path, body, timeout_s, content_type, fields = self.requests[0]
        self.assertEqual((address, method, path, timeout_s), ("i:1", "POST", "/order", ORDER_TIMEOUT_S))
        self.assertEqual((content_type, fields), ("application/json", ((b"Expect-Instance", b"i-1"),)))
        self.assertEqual(
            json.loads(body),
            {"operation": "load", "model": "m", "if_revision": 5, "holder": "core-1", "fence_token": 9},
        )

    async def test_sends_nothing_with_a_token_that_a_backend_rejected(self):
        self.is_rejected = True
        with self.assertRaisesRegex(FencedOffError, "token 9 was rejected"):
            await self.client.send(BACKEND, Order("i-1", Operation.LOAD, "m"), 5)
        self.assertEqual(self.requests, [])

    async def test_order_for_an_adapter_names_it(self):
        await self.client.send(BACKEND, Order("i-1", Operation.UNLOAD, "m", "x"), 5)
        order = json.loads(self.requests[0][3])
        self.assertEqual((order["operation"], order["model"], order["adapter"]), ("unload", "m", "x"))

    async def test_idle_time_also_counts_from_an_order_without_a_response(self):
        self.assertEqual(self.client.idle_s(), NEVER_ISSUED_S)
        self.error = HttpCallError("i:1", "no answer")
        with self.assertRaises(HttpCallError):
            await self.client.send(BACKEND, Order("i-1", Operation.LOAD, "m"), 5)
        self.now += 2.0
        self.assertEqual(self.client.idle_s(), 2.0)


if __name__ == "__main__":
    unittest.main()
