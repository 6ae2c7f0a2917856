"""Run long calculations in short slices, so that the event loop answers heartbeats and requests between them.

However many calculations there are, one slice runs in each turn of the loop; they take turns.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from mulleinhatch.membership.view_timing import HEARTBEAT_S
from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.steps import Steps

Value = TypeVar("Value")
# Answering a heartbeat takes a few turns of the loop. On a tenth of a core, five turns of one slice each take a quarter second.
SLICE_S = HEARTBEAT_S / 60
LONG_CALCULATION_S = 10 * SLICE_S


@dataclass
class Calculation:
    """A calculation that is under way, or waits for its first slice.

    Attributes:
        name: What it does.
        processor_s: Processor time that it has used.
        slices: Number of its slices.
    """

    name: str
    processor_s: float = 0.0
    slices: int = 0


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
        self._calculations: list[Calculation] = []
        self._turn = asyncio.Lock()  # held for one slice and until the next turn; waiting calculations get it in order

    async def run(self, name: str, steps: Steps[Value]) -> Value:
        """Run a calculation to its end and return its result; if the caller is cancelled, the calculation is closed.

        Args:
            name: What the log says if a turn of the loop takes long.
            steps: The calculation.
        """
        calculation = Calculation(name)
        self._calculations.append(calculation)
        try:
            while True:
                async with self._turn:
                    with self._watch.activity(name):
                        self._run_slice(steps, calculation)
                    await asyncio.sleep(0)
        except _Finished as end:
            return end.value
        finally:
            steps.close()
            self._calculations.remove(calculation)
            if calculation.slices * self._slice_s >= LONG_CALCULATION_S:
                self._on_long_calculation()

    def status(self) -> list[dict[str, str | float]]:
        """Return the calculations that are under way, the one that began first in front, for a status page."""
        return [{"work": one.name, "processor_ms": round(1000.0 * one.processor_s, 1)} for one in self._calculations]

    def _run_slice(self, steps: Steps[Value], calculation: Calculation) -> None:
        """Run one slice.

        Raises:
            _Finished: The calculation has ended.
        """
        began_at = now = self._processor_time()
        try:
            while now < began_at + self._slice_s:
                next(steps)
                now = self._processor_time()
        except StopIteration as end:
            raise _Finished(end.value) from None
        calculation.processor_s += now - began_at
        calculation.slices += 1


class _Finished(Exception):  # noqa: N818 (no error)
    """A calculation has ended; a coroutine must not let StopIteration pass."""

    def __init__(self, value: object) -> None:
        super().__init__()
        self.value = value
