"""Send one request to several nodes and consume the responses in the order of their arrival."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Iterable
from typing import Any


class QuorumCall:
    """Concurrent calls whose caller stops reading responses once it has a quorum.

    Calls whose responses are no longer read still run to completion: their requests were sent and may have an effect.
    """

    def __init__(self, calls: Iterable[Awaitable[Any]]) -> None:
        self._responses: asyncio.Queue[Any] = asyncio.Queue()
        self._tasks = [asyncio.ensure_future(self._await(call)) for call in calls]
        self._remaining = len(self._tasks)

    async def _await(self, call: Awaitable[Any]) -> None:
        response = None
        try:
            response = await call
        except OSError:
            pass
        finally:
            self._responses.put_nowait(response)

    async def next(self, timeout_s: float | None = None) -> Any:
        """Return the next response; a call that fails with `OSError` is skipped.

        Args:
            timeout_s: Seconds to wait for it; None to wait until all calls have ended.

        Returns:
            The response, None where no more will arrive or none arrived in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._next()
        except TimeoutError:
            return None

    async def _next(self) -> Any:
        while self._remaining:
            response = await self._responses.get()
            self._remaining -= 1
            if response is not None:
                return response
        return None
