"""Supervision of background tasks: restarts those that must not end, and cancels and awaits all of them at shutdown."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

LOG = logging.getLogger(__name__)
RESTART_DELAY_S = 0.5


async def supervise(name: str, work: Callable[[], Awaitable[None]], restart_delay_s: float = RESTART_DELAY_S) -> None:
    """Run `work` repeatedly until cancelled, with a delay after each end.

    An OSError (a full disk, a lost connection) is expected in operation and logged as a warning. Any other exception is a
    defect and logged with its traceback.

    Args:
        name: The task's name in the log.
        work: A coroutine function that should not return.
        restart_delay_s: Seconds between an end and the next start.
    """
    while True:
        try:
            await work()
            LOG.error("a background task ended and is restarted", extra={"task": name})
        except OSError as error:
            LOG.warning("a background task met an I/O error and is restarted", extra={"task": name, "error": str(error)})
        except Exception:
            LOG.exception("a background task failed and is restarted", extra={"task": name})
        await asyncio.sleep(restart_delay_s)


async def run_until_stopped(stopped: asyncio.Event, *work: Coroutine[Any, Any, None]) -> None:
    """Run coroutines as tasks until `stopped` is set or one of them ends; then cancel and await all of them.

    Raises:
        Exception: The exception of a task that failed before `stopped` was set.
    """
    tasks = [asyncio.create_task(coroutine) for coroutine in work]
    stop = asyncio.create_task(stopped.wait())
    try:
        await asyncio.wait([*tasks, stop], return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            if task.done():
                task.result()
    finally:
        for task in (*tasks, stop):
            task.cancel()
        await asyncio.gather(*tasks, stop, return_exceptions=True)
