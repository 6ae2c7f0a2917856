"""An asyncio loop whose clock jumps to the next timer: hours of waiting take no time, and the same seed gives the
same history."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any


class _NothingToPoll(selectors.SelectSelector):
    """No sockets: waiting for them moves the loop's clock."""

    def __init__(self) -> None:
        super().__init__()
        self.loop: VirtualLoop | None = None

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("every task waits for something that never comes")
        self.loop.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Seconds from 0; nothing but timers moves it."""

    def __init__(self) -> None:
        self.now = 0.0
        selector = _NothingToPoll()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now
