"""A failing disk or a defect in one background task must not end the process or its other tasks."""

from __future__ import annotations

import asyncio
import logging
import unittest

from mulleinhatch.control_plane.placement.controller import PlacementController
from mulleinhatch.process.settings import Bounds
from mulleinhatch.process.supervision import run_until_stopped, supervise
from mulleinhatch.simulation.virtual_time import VirtualLoop


class Supervision(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)

    def test_work_that_raises_or_ends_is_restarted(self):
        started_at = []

        async def work() -> None:
            started_at.append(self.loop.time())
            if len(started_at) < 3:
                raise OSError("full") if len(started_at) == 1 else ValueError("a fault")

        async def main() -> None:
            task = asyncio.ensure_future(supervise("work", work, 1.0))
            await asyncio.sleep(3.5)
            task.cancel()

        self.loop.run_until_complete(main())
        self.assertEqual(started_at, [0.0, 1.0, 2.0, 3.0])


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


class FullDiskNode:
    """A node whose leadership claims fail because its disk is full."""

    on_store_load = None

    async def claim_leadership(self) -> int:
        raise OSError(28, "No space left on device")


class LeadershipClaims(unittest.IsolatedAsyncioTestCase):
    async def test_claim_fails_when_the_disk_is_full(self):
        """Found by randomized tests: a control-plane node with a full disk terminated itself when it claimed leadership."""
        controller = PlacementController(FullDiskNode(), None, lambda: 0.0, Bounds())
        self.assertEqual(await controller.leadership.claim(), 0)


if __name__ == "__main__":
    unittest.main()
