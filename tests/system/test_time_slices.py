"""Long calculations on an event loop: what runs in one turn, in which order, and how they end."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.steps import Steps

SLICE_S = 0.005
STEP_S = 0.002


class Slices(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.processor_s = 0.0
        self.turn, self.steps_by_turn = 0, {}
        self.slicer = TimeSlicer(LoopWatch(), SLICE_S, lambda: self.processor_s)

    def work(self, name: str, count: int) -> Steps[str]:
        for _ in range(count):
            self.processor_s += STEP_S
            self.steps_by_turn.setdefault(self.turn, []).append(name)
            yield
        return f"{name} is done"

    async def count_turns(self) -> None:
        while True:
            await asyncio.sleep(0)
            self.turn += 1

    async def run_beside_counter(self, *calculations: tuple[str, int]) -> list[str]:
        counter = asyncio.create_task(self.count_turns())
        results = await asyncio.gather(*(self.slicer.run(name, self.work(name, count)) for name, count in calculations))
        counter.cancel()
        return results

    # Guards against work that holds the loop for longer than a slice, however large it is.
    async def test_one_turn_runs_at_most_a_slice_and_a_step(self):
        self.assertEqual(await self.run_beside_counter(("a", 30)), ["a is done"])
        self.assertEqual({len(steps) for steps in self.steps_by_turn.values()}, {3})

    # Guards against a turn that grows with the number of calculations under way.
    async def test_several_calculations_share_the_turns(self):
        results = await self.run_beside_counter(("a", 30), ("b", 30), ("c", 6))
        self.assertEqual(results, ["a is done", "b is done", "c is done"])
        self.assertLessEqual(max(len(steps) for steps in self.steps_by_turn.values()), 3)
        self.assertEqual([set(steps) for steps in list(self.steps_by_turn.values())[:4]], [{"a"}, {"b"}, {"c"}, {"a"}])

    async def test_short_work_does_not_wait_for_another_turn(self):
        running = asyncio.create_task(self.slicer.run("a", self.work("a", 2)))
        await asyncio.sleep(0)
        self.assertTrue(running.done())

    async def test_an_error_ends_the_calculation_and_lets_others_go_on(self):
        def fail() -> Steps[None]:
            yield
            raise ValueError("a defect")

        with self.assertRaises(ValueError):
            await self.slicer.run("failing", fail())
        self.assertEqual(await self.slicer.run("a", self.work("a", 1)), "a is done")

    async def test_a_cancelled_calculation_is_closed_and_lets_others_go_on(self):
        steps = self.work("a", 1000)
        running = asyncio.create_task(self.slicer.run("a", steps))
        await asyncio.sleep(0)
        running.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await running
        self.assertRaises(StopIteration, next, steps)
        self.assertEqual(await self.slicer.run("b", self.work("b", 10)), "b is done")

    async def test_the_watch_is_told_what_runs(self):
        watch = mock.MagicMock(spec=LoopWatch)
        await TimeSlicer(watch, SLICE_S, lambda: self.processor_s).run("a check", self.work("a", 4))
        self.assertEqual(watch.activity.call_args_list, [mock.call("a check")] * 2)


class Progress(unittest.IsolatedAsyncioTestCase):
    async def test_the_status_shows_what_is_under_way_and_its_processor_time(self):
        processor_s = 0.0

        def work() -> Steps[None]:
            nonlocal processor_s
            for _ in range(4):
                processor_s += SLICE_S
                yield

        slicer = TimeSlicer(LoopWatch(), SLICE_S, lambda: processor_s)
        running = [asyncio.ensure_future(slicer.run(name, work())) for name in ("a check", "an encoding")]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        first, second = slicer.status()
        self.assertEqual((first["work"], second["work"]), ("a check", "an encoding"))
        self.assertGreaterEqual(first["processor_ms"], 1000 * SLICE_S)
        running[1].cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self.assertEqual(slicer.status(), [])


if __name__ == "__main__":
    unittest.main()
