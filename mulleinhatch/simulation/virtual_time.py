"""An asyncio event loop in virtual time: the clock jumps to the next timer and one seed gives one history.

Tasks may belong to a `Process`, which can be frozen while time passes, or killed between any two steps.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import selectors
from collections.abc import Callable, Coroutine, Iterator
from typing import Any


class EventQueue:
    """The clock and the event queue of a simulated world: events run by time, simultaneous ones in the order scheduled."""

    def __init__(self) -> None:
        self.now = 0.0
        self.turn = 0
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: float, act: Callable[..., None], *arguments: Any) -> None:
        """Schedule `act(*arguments)` at a virtual time in seconds."""
        self.turn += 1
        heapq.heappush(self.events, (when, self.turn, act, arguments))

    def run_until(self, until: float) -> Iterator[None]:
        """Run the events up to `until` one by one; yield after each, so that the caller can check invariants."""
        while self.events and self.events[0][0] <= until:
            self.now, _, act, arguments = heapq.heappop(self.events)
            act(*arguments)
            yield


class Process:
    """A group of tasks that fail together.

    A dead process runs no further step; a frozen one runs none until it is thawed.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.frozen = self.dead = False
        self.parked: list[tuple[list[asyncio.Handle], Callable[..., Any], tuple[Any, ...], contextvars.Context]] = []


PROCESS: contextvars.ContextVar[Process | None] = contextvars.ContextVar("process", default=None)


class _SocketlessSelector(selectors.SelectSelector):
    """A selector without sockets: waiting advances the loop's clock instead."""

    def __init__(self) -> None:
        super().__init__()
        self.loop: VirtualLoop | None = None

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is scheduled")
        self.loop.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is in seconds from 0 and advances only to the next timer."""

    def __init__(self) -> None:
        self.now = 0.0
        selector = _SocketlessSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def start(self, work: Coroutine[Any, Any, Any], process: Process | None = None) -> asyncio.Task[Any]:
        """Create a task that belongs to `process`, or to no process."""
        context = contextvars.copy_context()
        context.run(PROCESS.set, process)
        return self.create_task(work, context=context)

    def thaw(self, process: Process) -> None:
        """Resume a frozen process: callbacks that became due meanwhile run now, in their order."""
        process.frozen = False
        parked, process.parked = process.parked, []
        for handles, callback, args, context in parked:
            self.call_soon(self._late, handles[0], callback, args, context=context)

    @staticmethod
    def _late(handle: asyncio.Handle, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        if not handle.cancelled():
            callback(*args)

    def call_soon(self, callback: Callable[..., Any], *args: Any, context: contextvars.Context | None = None) -> asyncio.Handle:
        """Schedule a callback that runs only while its process is alive and not frozen."""
        return self._gate(super().call_soon, callback, args, context)

    def call_at(
        self, when: float, callback: Callable[..., Any], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a timer that fires only while its process is alive and not frozen."""
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
