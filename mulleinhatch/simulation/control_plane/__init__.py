"""Simulate the control plane in virtual time: the real nodes, APIs and clients of data planes, on virtual disks and networks.

Faults (losses, replacements, partitions, failing disks) are injected in any order, and invariants are checked from outside, by
the responses to clients. `play(seed)` returns a `History`; a seed determines it completely. Each injected `Defect` must
violate an invariant in some history.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine
from typing import Any

from mulleinhatch.simulation.control_plane.defects import Defect, planted
from mulleinhatch.simulation.control_plane.history_plan import HistoryPlan
from mulleinhatch.simulation.control_plane.invariant_checks import History
from mulleinhatch.simulation.control_plane.world import World
from mulleinhatch.simulation.virtual_time import VirtualLoop

__all__ = ["Defect", "History", "World", "play", "play_calm", "play_script", "play_throttled"]
CALM_SHARES = (0.3, 0.6)  # of a core: what the smallest deployments give a control plane
THROTTLED_SHARES = (0.1, 0.15)
THROTTLED_CHANGE_ROUTES = (280, 12_000)
QUOTA_PERIOD_S = 0.1  # of control groups
Script = Callable[[World], Coroutine[Any, Any, None]]


class _Errors(logging.Handler):
    """Records each exception that the code logs as a violation."""

    def __init__(self, history: History) -> None:
        super().__init__(logging.ERROR)
        self._history = history

    def emit(self, record: logging.LogRecord) -> None:
        if record.exc_info and record.exc_info[1] is not None:
            self._history.violations.append(f"error in the code: {record.exc_info[1]!r}")


def play(
    seed: int,
    machines: int = 3,
    tolerated: int = 1,
    defect: Defect = Defect.NONE,
    sync_duration_s: tuple[float, float] = HistoryPlan.sync_duration_s,
    with_faults: bool = True,
    zones: int = 1,
    zones_tolerated: int = 0,
) -> History:
    """Play one history of random users and faults; see `HistoryPlan` for the parameters."""

    async def begin(world: World) -> None:
        await world.play(with_faults)

    plan = HistoryPlan(machines, tolerated, defect, sync_duration_s, zones=zones, zones_tolerated=zones_tolerated)
    return _run(begin, seed, plan)


def play_calm(
    seed: int, machines: int = 3, tolerated: int = 1, defect: Defect = Defect.NONE, processor_share: float = 0.0
) -> History:
    """Play one history without faults in which work takes processor time, and operators send large changes.

    Args:
        processor_share: Share of a core of each control-plane node; 0 for one that the seed draws.
    """

    async def begin(world: World) -> None:
        await world.play_calm()

    share = processor_share or random.Random(seed).uniform(*CALM_SHARES)
    plan = HistoryPlan(
        machines, tolerated, defect, message_loss_probability=0.0, large_change_fraction=0.3, processor_share=share
    )
    return _run(begin, seed, plan)


def play_throttled(seed: int, machines: int = 3, tolerated: int = 1, defect: Defect = Defect.NONE) -> History:
    """Play one history without faults on small quotas of processor time, each spent at once in every tenth of a second."""

    async def begin(world: World) -> None:
        await world.play_calm()

    plan = HistoryPlan(
        machines,
        tolerated,
        defect,
        message_loss_probability=0.0,
        large_change_fraction=0.2,
        large_change_routes=THROTTLED_CHANGE_ROUTES,
        processor_share=random.Random(seed).uniform(*THROTTLED_SHARES),
        quota_period_s=QUOTA_PERIOD_S,
    )
    return _run(begin, seed, plan)


def _run(begin: Script, seed: int, plan: HistoryPlan) -> History:
    loop, history = VirtualLoop(), History(seed)
    asyncio.set_event_loop(loop)
    loop.set_exception_handler(lambda _, context: _record_exception(history, context))
    log, handler = logging.getLogger("mulleinhatch"), _Errors(history)
    level, propagate = log.level, log.propagate
    log.addHandler(handler)
    log.setLevel(logging.ERROR)
    log.propagate = False
    random.seed(seed)
    try:
        with planted(plan.defect):
            world = World(history, loop, plan)
            loop.run_until_complete(begin(world))
    finally:
        log.removeHandler(handler)
        log.setLevel(level)
        log.propagate = propagate
        _end(loop, world)
    return history


def play_script(
    script: Script,
    seed: int = 1,
    machines: int = 3,
    tolerated: int = 1,
    defect: Defect = Defect.NONE,
    zones: int = 1,
    zones_tolerated: int = 0,
    processor_share: float = 0.0,
) -> History:
    """Play one history whose events come from a script, on a control plane that has just started."""

    async def begin(world: World) -> None:
        await world.start()
        await script(world)

    plan = HistoryPlan(
        machines, tolerated, defect, zones=zones, zones_tolerated=zones_tolerated, processor_share=processor_share
    )
    return _run(begin, seed, plan)


def _record_exception(history: History, context: dict) -> None:
    error = context.get("exception")
    if error is not None and not isinstance(error, (OSError, asyncio.CancelledError)):
        history.violations.append(f"error in the code: {error!r}")


def _end(loop: VirtualLoop, world: World) -> None:
    for machine in world.machines:
        machine.stop()
    for plane in world.planes:
        plane.stop()
    loop.set_exception_handler(lambda _, context: None)
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    asyncio.set_event_loop(None)
    loop.close()
