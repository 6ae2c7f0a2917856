"""Run long calculations in short slices, so that the event loop answers heartbeats and requests between them.

However many calculations there are, one slice runs in each turn of the loop; they take turns.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TypeVar

from mulleinhatch.membership.view_timing import HEARTBEAT_S
from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.steps import Steps

Value = TypeVar("Value")
# Answering a heartbeat takes a few turns of the loop. On a tenth of a core, five turns of one slice each take a quarter second.
SLICE_S = HEARTBEAT_S / 60
LONG_CALCULATION_S = 10 * SLICE_S


class TimeSlicer:
    """Runs calculations on the event loop for at most one slice of processor time at once.

    A step is not interrupted: a calculation must yield more often than once a slice.

    Args:
        watch: Told what runs.
        slice_s: Processor time of a slice, in seconds.
        processor_time: Returns the processor time that the loop's thread has used, in seconds.
        on_long_calculation: Called at the end of a calculation that took `LONG_CALCULATION_S` or more of it.
    """

    def __init__(
        self,
        watch: LoopWatch,
        slice_s: float = SLICE_S,
        processor_time: Callable[[], float] = time.thread_time,
        on_long_calculation: Callable[[], None] = lambda: None,
    ) -> None:
        self._watch, self._slice_s, self._processor_time = watch, slice_s, processor_time
        self._on_long_calculation = on_long_calculation
        self._turn = asyncio.Lock()  # held for one slice and until the next turn; waiting calculations get it in order

    async def run(self, name: str, steps: Steps[Value]) -> Value:
        """Run a calculation to its end and return its result; if the caller is cancelled, the calculation is closed.

        Args:
            name: What the log says if a turn of the loop takes long.
            steps: The calculation.
        """
        slices = 0
        try:
            while True:
                async with self._turn:
                    with self._watch.activity(name):
                        self._run_slice(steps)
                    slices += 1
                    await asyncio.sleep(0)
        except _Finished as end:
            return end.value
        finally:
            steps.close()
            if slices * self._slice_s >= LONG_CALCULATION_S:
                self._on_long_calculation()

    def _run_slice(self, steps: Steps[Value]) -> None:
        """Run one slice.

        Raises:
            _Finished: The calculation has ended.
        """
        ends_at = self._processor_time() + self._slice_s
        while True:
            try:
                next(steps)
            except StopIteration as end:
                raise _Finished(end.value) from None
            if self._processor_time() >= ends_at:
                return


class _Finished(Exception):  # noqa: N818 (no error)
    """A calculation has ended; a coroutine must not let StopIteration pass."""

    def __init__(self, value: object) -> None:
        super().__init__()
        self.value = value
