"""A failing disk or a defect in one background task must not end the process or its other tasks."""

from __future__ import annotations

import asyncio
import logging
import unittest

from mulleinhatch.control_plane.placement.controller import PlacementController
from mulleinhatch.process.settings import Bounds
from mulleinhatch.process.supervision import run_until_stopped, supervise
from mulleinhatch.simulation.virtual_time import VirtualLoop


class Supervised(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)

    def test_work_that_raises_or_ends_is_restarted(self):
        begun = []

        async def work() -> None:
            begun.append(self.loop.time())
            if len(begun) < 3:
                raise OSError("full") if len(begun) == 1 else ValueError("a fault")

        async def main() -> None:
            task = asyncio.ensure_future(supervise("work", work, 1.0))
            await asyncio.sleep(3.5)
            task.cancel()

        self.loop.run_until_complete(main())
        self.assertEqual(begun, [0.0, 1.0, 2.0, 3.0])


class RunUntilStopped(unittest.IsolatedAsyncioTestCase):
    async def forever(self) -> None:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    def setUp(self):
        self.cancelled = 0

    async def test_cancels_and_awaits_all_tasks_when_stopped(self):
        stopped = asyncio.Event()
        asyncio.get_running_loop().call_soon(stopped.set)
        await run_until_stopped(stopped, self.forever(), self.forever())
        self.assertEqual(self.cancelled, 2)

    async def test_raises_the_error_of_a_failed_task_and_cancels_the_others(self):
        async def fail() -> None:
            raise ValueError("a fault")

        with self.assertRaisesRegex(ValueError, "a fault"):
            await run_until_stopped(asyncio.Event(), self.forever(), fail())
        self.assertEqual(self.cancelled, 1)


class RefusingCore:
    """A node whose disk is full, as far as a claim needs it."""

    on_store_load = None

    async def claim_leadership(self) -> int:
        raise OSError(28, "No space left on device")


class Claims(unittest.IsolatedAsyncioTestCase):
    async def test_a_claim_that_the_disk_refuses_is_no_claim(self):
        """Found by a hunt: a control plane ended itself when its disk was full as it claimed the orders."""
        orders = PlacementController(RefusingCore(), None, lambda: 0.0, Bounds())
        self.assertEqual(await orders.leadership.claim(), 0)


if __name__ == "__main__":
    unittest.main()
