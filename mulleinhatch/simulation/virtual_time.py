"""An asyncio loop whose clock jumps to the next timer: hours of waiting take no time, and the same seed gives the same
history. Tasks may belong to a `Process`, which can be frozen while time goes on, and killed in the middle of anything.
"""

from __future__ import annotations

import asyncio
import contextvars
import selectors
from collections.abc import Callable, Coroutine
from typing import Any


class Process:
    """What runs together: a killed one runs no further step, a frozen one none until it is thawed."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.frozen = self.dead = False
        self.parked: list[tuple[list[asyncio.Handle], Callable[..., Any], tuple[Any, ...], contextvars.Context]] = []


PROCESS: contextvars.ContextVar[Process | None] = contextvars.ContextVar("process", default=None)


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

    def start(self, work: Coroutine[Any, Any, Any], process: Process | None = None) -> asyncio.Task[Any]:
        """A task of a process; of none where it is left out."""
        context = contextvars.copy_context()
        context.run(PROCESS.set, process)
        return self.create_task(work, context=context)

    def thaw(self, process: Process) -> None:
        """A frozen process goes on: what should have happened meanwhile happens now, in its order."""
        process.frozen = False
        parked, process.parked = process.parked, []
        for handles, callback, args, context in parked:
            self.call_soon(self._late, handles[0], callback, args, context=context)

    @staticmethod
    def _late(handle: asyncio.Handle, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        if not handle.cancelled():
            callback(*args)

    def call_soon(self, callback: Callable[..., Any], *args: Any, context: contextvars.Context | None = None) -> asyncio.Handle:
        return self._gate(super().call_soon, callback, args, context)

    def call_at(
        self, when: float, callback: Callable[..., Any], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        at = super().call_at
        return self._gate(lambda gated, context: at(when, gated, context=context), callback, args, context)

    def _gate(
        self,
        schedule: Callable[..., Any],
        callback: Callable[..., Any],
        args: tuple[Any, ...],
        context: contextvars.Context | None,
    ) -> Any:
        process = (context or contextvars.copy_context()).get(PROCESS)
        if process is None:
            return schedule(lambda: callback(*args), context=context)
        own = context or contextvars.copy_context()
        handles: list[asyncio.Handle] = []

        def gated() -> None:
            if process.frozen:
                process.parked.append((handles, callback, args, own))
            elif not process.dead:
                callback(*args)

        handles.append(schedule(gated, context=own))
        return handles[0]
