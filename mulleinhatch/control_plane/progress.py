"""Wait for a condition on shared state of one event loop, re-evaluated whenever the state makes progress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class ProgressCondition:
    """A condition variable for tasks of one event loop.

    Writers of shared state call `notify_progress`; readers wait until a predicate on that state holds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._event = asyncio.Event()  # set and replaced on each notification

    def notify_progress(self) -> None:
        """Wake all waiting tasks, so that each evaluates its predicate again."""
        event, self._event = self._event, asyncio.Event()
        event.set()

    async def wait_for_progress(self, timeout_s: float) -> None:
        """Return on the next notification, or after `timeout_s` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        except TimeoutError:
            pass

    async def wait_for(self, predicate: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until `predicate` holds.

        Returns:
            Whether it held within `timeout_s` seconds.
        """
        deadline = self._clock() + timeout_s
        while not predicate():
            remaining_s = deadline - self._clock()
            if remaining_s <= 0:
                return False
            await self.wait_for_progress(remaining_s)
        return True
