"""Changes of the configuration that are under way: each is carried out once, however often its operator sends it.

An operator repeats a change that has no answer after a second. The repetition joins the change under way; it neither starts the
check anew nor loses its place behind other changes. A change goes on when nobody waits for it any more.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from mulleinhatch.control_plane.background_tasks import BackgroundTasks

MAX_ONGOING = 16  # twice the orders that operators have under way at once
Outcome = TypeVar("Outcome")


@dataclass(frozen=True)
class ChangeKey:
    """What makes two requests the same change: the version that it builds on, and the digest of method and body."""

    base: int | None
    digest: str


class OngoingChanges(Generic[Outcome]):
    """Runs changes in the background and gives their outcome to all requests for them."""

    def __init__(self, tasks: BackgroundTasks) -> None:
        self._tasks = tasks
        self._outcomes: dict[ChangeKey, asyncio.Future[Outcome]] = {}

    async def join(self, key: ChangeKey, work: Callable[[], Coroutine[Any, Any, Outcome]], timeout_s: float) -> Outcome | None:
        """Start a change unless it is under way, and wait for its outcome.

        Returns:
            The outcome; None where it takes longer than `timeout_s`, or where too many changes are under way.
        """
        outcome = self._outcomes.get(key)
        if outcome is None:
            if len(self._outcomes) >= MAX_ONGOING:
                return None
            outcome = self._outcomes[key] = asyncio.get_running_loop().create_future()
            self._tasks.start(self._run(key, work, outcome))
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(outcome)
        except TimeoutError:
            return None

    async def _run(
        self, key: ChangeKey, work: Callable[[], Coroutine[Any, Any, Outcome]], outcome: asyncio.Future[Outcome]
    ) -> None:
        try:
            result = await work()
        except asyncio.CancelledError:
            outcome.cancel()
            raise
        except Exception as error:
            outcome.set_exception(error)
            return
        finally:
            del self._outcomes[key]
        outcome.set_result(result)
