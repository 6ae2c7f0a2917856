"""Garbage collection beside large configurations."""

from __future__ import annotations

import asyncio
import gc
import unittest
import weakref
from typing import Any
from unittest import mock

from mulleinhatch.process import garbage_collection
from mulleinhatch.process.garbage_collection import MAX_FULL_COLLECTION_S, GarbageCollection
from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.process.time_slices import LONG_CALCULATION_S, SLICE_S, TimeSlicer
from mulleinhatch.steps import Steps

OLDEST_GENERATION = 2
OBJECTS = 200_000


def build_many(objects: list[list[int]]) -> Steps[None]:
    """Build many objects that live long."""
    while len(objects) < OBJECTS:
        objects.extend([number] for number in range(1000))
        yield


class Cycle:
    """An object that refers to itself."""

    def __init__(self) -> None:
        self.itself = self


class Collections(unittest.TestCase):
    def setUp(self):
        thresholds = gc.get_threshold()
        self.addCleanup(gc.set_threshold, *thresholds)
        self.addCleanup(gc.unfreeze)
        self.full_collections = 0
        gc.callbacks.append(self.on_collection)
        self.addCleanup(gc.callbacks.remove, self.on_collection)
        self.processor_s = 0.0
        self.collection = GarbageCollection(LoopWatch(), lambda: self.processor_s)

    def on_collection(self, phase: str, info: dict[str, Any]) -> None:
        self.full_collections += phase == "start" and info["generation"] == OLDEST_GENERATION

    def run_calculation(self, slices: int, objects: list[list[int]]) -> None:
        times = iter(range(10**6))  # the clock of the slicer: each step takes a slice
        slicer = TimeSlicer(
            LoopWatch(),
            processor_time=lambda: SLICE_S * next(times),
            on_long_calculation=self.collection.exempt_old_objects,
        )
        asyncio.run(slicer.run("a calculation", build_many(objects) if slices > 1 else iter_once()))

    # Guards against collections of 0.1 to 0.6 s in one turn of the loop while a configuration of 44,000 routes is built.
    def test_no_full_collection_runs_in_a_large_calculation_and_its_objects_are_exempt_afterwards(self):
        self.collection.start()
        frozen, objects = gc.get_freeze_count(), []
        self.run_calculation(OBJECTS // 1000, objects)
        self.assertEqual(self.full_collections, 0)
        self.assertGreaterEqual(gc.get_freeze_count() - frozen, OBJECTS)

    def test_a_short_calculation_exempts_nothing(self):
        self.assertGreater(LONG_CALCULATION_S, SLICE_S)
        with mock.patch.object(garbage_collection.gc, "freeze") as freeze:
            self.run_calculation(1, [])
        freeze.assert_not_called()

    def test_cycles_among_old_objects_are_collected_at_each_interval(self):
        self.collection.start()
        cycle = Cycle()
        gone = weakref.ref(cycle)
        gc.collect(garbage_collection.YOUNG_GENERATIONS)  # it is old now
        del cycle
        gc.collect(garbage_collection.YOUNG_GENERATIONS)
        self.assertIsNotNone(gone())
        self.collection.collect()
        self.assertIsNone(gone())

    def test_what_a_slow_full_collection_leaves_is_exempt_from_the_next(self):
        for seconds, freezes in ((MAX_FULL_COLLECTION_S, 0), (2 * MAX_FULL_COLLECTION_S, 1)):
            self.processor_s = 0.0
            advance = mock.Mock(side_effect=lambda *_, seconds=seconds: self.advance(seconds))
            with mock.patch.object(garbage_collection, "gc", mock.Mock(collect=advance)) as collector:
                self.collection.collect()
            self.assertEqual(collector.freeze.call_count, freezes)

    def advance(self, seconds: float) -> None:
        self.processor_s += seconds


def iter_once() -> Steps[None]:
    """Return a calculation of one step."""
    yield


if __name__ == "__main__":
    unittest.main()
