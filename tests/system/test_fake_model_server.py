"""The fake model server's responses to orders, which follow the rules of the backend API that placement relies on."""

from __future__ import annotations

import unittest

from mulleinhatch.simulation.virtual_time import VirtualLoop
from mulleinhatch.testing.fake_model_server.config import Counters, FakeModelServerConfig
from mulleinhatch.testing.fake_model_server.model_store import DISK_LOAD_FACTOR, ModelStore

CONFIG = FakeModelServerConfig(
    "s", "127.0.0.1:1", weights_mb=100.0, adapter_slots=1, model_mb={"a": 60.0, "b": 60.0}, load_s=2.0
)


class Orders(unittest.TestCase):
    def setUp(self):
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.counters = Counters()
        self.running = 0
        self.store = ModelStore(CONFIG, self.counters, {"a": set()}, None, lambda: self.running)

    def order(self, operation: str, model: str, /, **more) -> int:
        order = {"operation": operation, "model": model, "holder": "core", "fence_token": 3, "if_revision": self.store.revision}
        status, _, work = self.store.accept(order | more)
        self.assertEqual(work is not None, status == 202)
        if work is not None:
            self.task = self.loop.create_task(work)
        return status

    def complete(self) -> float:
        """Run the accepted order to its end; return its duration in seconds."""
        started_at = self.loop.time()
        self.loop.run_until_complete(self.task)
        return self.loop.time() - started_at

    def test_order_without_issuer_token_or_known_operation_is_bad(self):
        for fault in ({"holder": ""}, {"fence_token": 0}, {"operation": "move"}):
            with self.subTest(fault=fault):
                self.assertEqual(self.order("load", "b", **fault), 400)

    def test_lower_token_and_other_revision_are_rejected(self):
        self.assertEqual(self.order("load", "b", if_revision=9), 409)
        self.assertEqual(self.order("unload", "b"), 200)
        self.assertEqual(self.order("load", "b", fence_token=2), 412)
        self.assertEqual(self.store.revision, 0)

    def test_one_order_at_a_time(self):
        self.assertEqual(self.order("unload", "a"), 202)
        self.assertEqual(self.order("load", "b"), 409)
        self.assertTrue(self.store.is_unloading("a", ""))
        self.complete()
        self.assertEqual((self.store.models, self.store.order, self.store.revision), ({}, None, 1))

    def test_unload_waits_for_running_requests(self):
        self.running = 1
        self.loop.call_later(0.5, setattr, self, "running", 0)
        self.order("unload", "a")
        self.assertGreaterEqual(self.complete(), 0.5)

    def test_load_from_local_disk_is_faster_and_bypasses_the_store(self):
        self.order("unload", "a")
        self.complete()
        self.order("load", "a")
        self.assertAlmostEqual(self.complete(), CONFIG.load_s * DISK_LOAD_FACTOR)
        self.assertEqual(self.counters.store_loads, 0)
        self.order("load", "b")
        self.assertAlmostEqual(self.complete(), CONFIG.load_s)
        self.assertEqual((self.counters.store_loads, self.counters.capacity_violations), (1, 1))

    def test_adapters_beyond_the_slots_count_as_violations(self):
        for adapter in ("x", "y"):
            self.assertEqual(self.order("load", "a", adapter=adapter), 202)
            self.complete()
        self.assertEqual((self.store.models, self.counters.capacity_violations), ({"a": {"x", "y"}}, 1))
        self.assertEqual(self.order("load", "a", adapter="x"), 200)


if __name__ == "__main__":
    unittest.main()
