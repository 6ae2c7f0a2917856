"""Decide when the interpreter looks for unreachable cycles among old objects.

Such a full collection visits every object that has lived for a while, in one turn of the event loop: with tens of thousands of
routes it takes tenths of a second. Configurations have no cycles; their objects are freed when nobody refers to them, also
while they are exempt from collections.
"""

from __future__ import annotations

import asyncio
import gc
import time
from collections.abc import Callable

from mulleinhatch.process.loop_watch import LoopWatch

FULL_COLLECTION_INTERVAL_S = 60.0
MAX_FULL_COLLECTION_S = 0.02
YOUNG_GENERATIONS = 1  # the argument of `gc.collect` for all generations but the oldest
NEVER = 1_000_000_000  # a threshold that is not reached


class GarbageCollection:
    """Runs full collections at fixed times, and exempts what large calculations leave behind.

    Args:
        watch: Told when a collection runs.
        processor_time: Returns the processor time that the thread has used, in seconds.
    """

    def __init__(self, watch: LoopWatch, processor_time: Callable[[], float] = time.thread_time) -> None:
        self._watch, self._processor_time = watch, processor_time

    def start(self) -> None:
        """Exempt the objects that exist, and switch automatic full collections off; younger objects are still collected."""
        gc.freeze()
        young, middle, _ = gc.get_threshold()
        gc.set_threshold(young, middle, NEVER)

    def exempt_old_objects(self) -> None:
        """Exempt the objects that exist from collections, after a calculation that left many of them."""
        with self._watch.activity("garbage collection"):
            gc.collect(YOUNG_GENERATIONS)
            gc.freeze()

    def collect(self) -> None:
        """Run a full collection; if it takes long, exempt what it left from the next one."""
        with self._watch.activity("garbage collection"):
            began_at = self._processor_time()
            gc.collect()
            if self._processor_time() - began_at > MAX_FULL_COLLECTION_S:
                gc.freeze()

    async def run(self) -> None:
        """Collect at each interval."""
        while True:
            await asyncio.sleep(FULL_COLLECTION_INTERVAL_S)
            self.collect()
