"""Injects the faults of a soak into its processes and backends; faults of different targets may overlap."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from typing import Any

from benchmarks.soak_parts.faults import Fault, draw_faults
from benchmarks.soak_parts.fleet import Fleet
from benchmarks.soak_parts.records import Disturbance
from mulleinhatch.testing.fake_model_server.registered_server import RegisteredServer

BACKEND_LEAVE_S = 1.0  # how long a leaving backend serves on


class FaultInjector:
    """Injects the faults that a seed draws.

    Args:
        fleet: The processes; it also receives the disturbances of backends.
        backends: The running backends by name.
        start_backend: Starts a new incarnation of a backend.
    """

    def __init__(
        self, fleet: Fleet, backends: Mapping[str, RegisteredServer], start_backend: Callable[[str], Awaitable[None]]
    ) -> None:
        self._fleet, self._backends, self._start_backend = fleet, backends, start_backend
        self._targets: set[str] = set()  # of faults in progress
        self._is_over = False
        self._tasks: set[asyncio.Task[Any]] = set()

    async def inject(self, seed: int, seconds: float) -> None:
        """Inject the faults of a seed; return when `seconds` have passed and all faults are over."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        processes = [*self._fleet.control_plane_names, *self._fleet.data_plane_names]
        for fault in draw_faults(seed, seconds, processes, sorted(self._backends)):
            await asyncio.sleep(max(0.0, started_at + fault.at_s - loop.time()))
            self._start_fault(fault)
        await asyncio.sleep(max(0.0, started_at + seconds - loop.time()))
        self._is_over = True
        while self._tasks:
            await asyncio.gather(*list(self._tasks))

    def crash_backend(self, name: str, down_s: float) -> bool:
        """Crash a backend now and start it again after `down_s` seconds.

        Returns:
            Whether it is done: the time of faults is not over, and the backend has no fault already.
        """
        return not self._is_over and self._start_fault(Fault(0.0, "crash", name, down_s))

    def _start_fault(self, fault: Fault) -> bool:
        """Start a fault unless its target has one already; return whether it was started."""
        if fault.target in self._targets:
            return False
        self._targets.add(fault.target)
        self._start_task(self._inject(fault))
        return True

    async def cancel(self) -> None:
        """Cancel the faults in progress."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _inject(self, fault: Fault) -> None:
        try:
            if fault.target in self._backends:
                await self._inject_backend_fault(fault)
            else:
                await self._fleet.inject(fault.target, fault.kind, fault.duration_s)
        finally:
            self._targets.discard(fault.target)

    async def _inject_backend_fault(self, fault: Fault) -> None:
        loop, backend = asyncio.get_running_loop(), self._backends[fault.target]
        began_at = loop.time()
        if fault.kind == "crash":
            await backend.crash()
        else:
            await backend.leave(BACKEND_LEAVE_S)
        await asyncio.sleep(fault.duration_s)
        await self._start_backend(fault.target)
        self._fleet.disturbances.append(Disturbance(fault.target, fault.kind, began_at, loop.time(), fault.kind == "leave"))
