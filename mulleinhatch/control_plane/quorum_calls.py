"""Answers to one question that was sent to several machines, in the order in which they come."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Iterable
from typing import Any


class QuorumCall:
    """`next` gives the next answer, None when no more will come; machines that can't be reached give none."""

    def __init__(self, asked: Iterable[Awaitable[Any]]) -> None:
        self._queue: asyncio.Queue[Any] = asyncio.Queue()
        self._tasks = [asyncio.ensure_future(self._wait(one)) for one in asked]
        self._left = len(self._tasks)

    async def _wait(self, asked: Awaitable[Any]) -> None:
        answer = None
        try:
            answer = await asked
        except OSError:
            pass
        finally:
            self._queue.put_nowait(answer)

    async def next(self) -> Any:
        while self._left:
            self._left -= 1
            answer = await self._queue.get()
            if answer is not None:
                return answer
        return None

    def leave(self) -> None:
        """The others may end their work; nobody waits for them."""
