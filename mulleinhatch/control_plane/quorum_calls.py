"""Send one request to several machines and consume the responses in the order of their arrival."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Iterable
from typing import Any


class QuorumCall:
    """Concurrent calls whose caller stops reading responses once it has a quorum.

    Calls that nobody reads any more run to their end: their requests were sent and may have an effect.
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

    async def next(self) -> Any:
        """Return the next response, None when no more will come. A call that fails with `OSError` has no response."""
        while self._remaining:
            self._remaining -= 1
            response = await self._responses.get()
            if response is not None:
                return response
        return None
