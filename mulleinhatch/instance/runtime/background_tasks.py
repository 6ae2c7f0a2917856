"""Background tasks that must not end unnoticed: a failed one is logged, counted and restarted after a growing pause.

An exception in a task that nobody awaits ends the task for good, and is reported only when the task is collected, if at all. An
instance whose report loop ended that way would be removed from the directory and never listed again.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from mulleinhatch.instance.runtime.callbacks import CounterIncrement
from mulleinhatch.random_source import RandomSource

LOG = logging.getLogger(__name__)
MIN_RESTART_PAUSE_S, MAX_RESTART_PAUSE_S = 0.05, 2.0  # seconds until a failed task is restarted; doubled with each failure
HEALTHY_AFTER_S = 10.0  # seconds; a task that ran longer is restarted after the shortest pause


class BackgroundTasks:
    """Runs tasks until they are cancelled: `run_forever` for a permanent one, `run_every` for a periodic one.

    Args:
        count: Increments a counter.
        seed: Seed of the jitter of the pauses.
    """

    def __init__(self, count: CounterIncrement, seed: int) -> None:
        self.count, self.draw = count, RandomSource(seed).below
        self.running: set[asyncio.Task[None]] = set()

    def run_forever(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run a task and restart it when it fails."""
        task = asyncio.ensure_future(self._keep_running(name, work))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def run_every(self, name: str, seconds: float, work: Callable[[], None]) -> None:
        """Call a function periodically; a failed call does not stop later ones."""

        async def repeat() -> None:
            while True:
                try:
                    work()
                except Exception:
                    self._record_failure(name)
                await asyncio.sleep(seconds)

        self.run_forever(name, repeat)

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
        LOG.exception("unexpected exception", extra={"fields": {"at": name}})

    def handle_loop_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log and count an exception in a callback or timer; the exception handler of the event loop."""
        self.count("errors_inside")
        LOG.error(
            "unexpected exception", exc_info=context.get("exception"), extra={"fields": {"at": context.get("message", "loop")}}
        )

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self.running:
            task.cancel()
