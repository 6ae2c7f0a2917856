"""Background work that must not die unseen: what fails is logged, counted and started anew, with a pause that grows.

An exception in a task that nobody awaits ends it for good and says so when it is collected, if at all: an instance whose
report loop ended so is delisted, and never heard of again.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from mulleinhatch.instance.runtime.callbacks import CounterIncrement
from mulleinhatch.random_source import Chance

LOG = logging.getLogger(__name__)
MIN_RESTART_PAUSE_S, MAX_RESTART_PAUSE_S = 0.05, 2.0  # seconds before a task that failed runs again, doubled in between
HEALTHY_AFTER_S = 10.0  # seconds after which a task counts as sound again


class BackgroundTasks:
    """`keep` for what is to go on until the end, `every` for what is done again and again."""

    def __init__(self, count: CounterIncrement, seed: int) -> None:
        self.count, self.draw = count, Chance(seed).below
        self.running: set[asyncio.Task[None]] = set()

    def keep(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        task = asyncio.ensure_future(self._keep_running(name, work))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def every(self, name: str, seconds: float, work: Callable[[], None]) -> None:
        """One failing turn costs that turn alone."""

        async def turns() -> None:
            while True:
                try:
                    work()
                except Exception:
                    self._record_failure(name)
                await asyncio.sleep(seconds)

        self.keep(name, turns)

    async def _keep_running(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        loop, pause = asyncio.get_running_loop(), MIN_RESTART_PAUSE_S
        while True:
            since = loop.time()
            try:
                await work()
                return
            except Exception:
                self._record_failure(name)
            pause = MIN_RESTART_PAUSE_S if loop.time() - since > HEALTHY_AFTER_S else min(MAX_RESTART_PAUSE_S, 2.0 * pause)
            await asyncio.sleep(pause * (0.5 + self.draw(1000) / 1000.0))

    def _record_failure(self, name: str) -> None:
        self.count("errors_inside")
        LOG.exception("error inside", extra={"fields": {"at": name}})

    def handle_loop_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """For the loop's callbacks and timers, as its handler of exceptions."""
        self.count("errors_inside")
        LOG.error("error inside", exc_info=context.get("exception"), extra={"fields": {"at": context.get("message", "loop")}})

    def cancel(self) -> None:
        for task in self.running:
            task.cancel()
