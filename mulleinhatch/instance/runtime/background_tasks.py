"""Background work that must not die unseen: what fails is logged, counted and started anew, with a pause that grows.

An exception in a task that nobody awaits ends it for good and says so when it is collected, if at all: an instance whose
report loop ended so is delisted, and never heard of again.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from mulleinhatch.random_source import RandomSource

LOG = logging.getLogger(__name__)
FIRST_PAUSE, LAST_PAUSE = 0.05, 2.0  # seconds before a task that failed runs again, doubled in between
SOUND_FOR = 10.0  # seconds after which a task counts as sound again


class Tasks:
    """`keep` for what is to go on until the end, `every` for what is done again and again."""

    def __init__(self, count: Callable[[str], None], seed: int) -> None:
        self.count, self.draw = count, RandomSource(seed).below
        self.running: set[asyncio.Task[None]] = set()

    def keep(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        task = asyncio.ensure_future(self._kept(name, work))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def every(self, name: str, seconds: float, work: Callable[[], None]) -> None:
        """One failing turn costs that turn alone."""

        async def turns() -> None:
            while True:
                try:
                    work()
                except Exception:
                    self._failed(name)
                await asyncio.sleep(seconds)

        self.keep(name, turns)

    async def _kept(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        loop, pause = asyncio.get_running_loop(), FIRST_PAUSE
        while True:
            since = loop.time()
            try:
                await work()
                return
            except Exception:
                self._failed(name)
            pause = FIRST_PAUSE if loop.time() - since > SOUND_FOR else min(LAST_PAUSE, 2.0 * pause)
            await asyncio.sleep(pause * (0.5 + self.draw(1000) / 1000.0))

    def _failed(self, name: str) -> None:
        self.count("errors_inside")
        LOG.exception("error inside", extra={"fields": {"at": name}})

    def loop_failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """For the loop's callbacks and timers, as its handler of exceptions."""
        self.count("errors_inside")
        LOG.error("error inside", exc_info=context.get("exception"), extra={"fields": {"at": context.get("message", "loop")}})

    def cancel(self) -> None:
        for task in self.running:
            task.cancel()
