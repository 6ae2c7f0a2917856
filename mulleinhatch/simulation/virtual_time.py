"""An asyncio event loop in virtual time: the clock jumps to the next timer and one seed gives one history.

Tasks may belong to a `Process`, which can be frozen while time passes, or killed between any two steps.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import selectors
from collections import deque
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass
from typing import Any

from mulleinhatch.simulation.processor_model import Processor


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


@dataclass(frozen=True)
class _DueCallback:
    """A callback of a process that could not run when it became due."""

    handles: list[asyncio.Handle]  # one, by which the callback may be cancelled
    callback: Callable[..., Any]
    args: tuple[Any, ...]
    context: contextvars.Context


class Process:
    """A group of tasks that fail together.

    A dead process runs no further step; a frozen one runs none until it is thawed.

    Args:
        name: The name of the process.
        share: Its share of a core; 0 where its work takes no time.
        period_s: The period of its quota, as for `Processor`.
    """

    def __init__(self, name: str, share: float = 0.0, period_s: float = 0.0) -> None:
        self.name = name
        self.frozen = self.dead = False
        self.parked: list[_DueCallback] = []  # while it is frozen
        self.processor = Processor(share, period_s) if share else None
        self.queued: deque[_DueCallback] = deque()  # while it is busy

    def processor_time(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        return self.processor.time() if self.processor is not None else 0.0


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
        for due in parked:
            self.call_soon(self._late, due.handles[0], due.callback, due.args, context=due.context)

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
                process.parked.append(_DueCallback(handles, callback, args, own))
            elif process.dead:
                return
            elif process.processor is None:
                callback(*args)
            else:
                self._run_when_idle(process, _DueCallback(handles, callback, args, own))

        handles.append(schedule(gated, context=own))
        return handles[0]

    def _run_when_idle(self, process: Process, due: _DueCallback) -> None:
        """Run a callback of a process whose work takes time, after those that became due before it."""
        if process.queued or process.processor.busy_until > self.now:
            process.queued.append(due)
            if len(process.queued) == 1:
                self._schedule_queue(process)
        else:
            process.processor.run(self.now, due.callback, due.args)

    def _schedule_queue(self, process: Process) -> None:
        # The queue belongs to no process: it must also be emptied while the process is frozen.
        context = contextvars.copy_context()
        context.run(PROCESS.set, None)
        self.call_at(process.processor.busy_until, self._run_queue, process, context=context)

    def _run_queue(self, process: Process) -> None:
        if process.dead:
            process.queued.clear()
        if process.frozen:
            process.parked += process.queued
            process.queued.clear()
        while process.queued and process.processor.busy_until <= self.now:
            due = process.queued.popleft()
            if not due.handles[0].cancelled():
                due.context.run(process.processor.run, self.now, due.callback, due.args)
        if process.queued:
            self._schedule_queue(process)
