"""Own the tasks that a node starts without awaiting them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

LOG = logging.getLogger(__name__)


class BackgroundTasks:
    """Keeps references to running tasks, so that none is garbage collected, and logs unexpected failures."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine in the background. An `OSError` (disk or network) counts as an expected failure."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None and not isinstance(task.exception(), OSError):
            LOG.error("a background task failed", exc_info=task.exception())
