"""Core machines in virtual time: the real `CoreNode`, interfaces and `ControlPlaneClient`s on stand-in disks and a
stand-in network, with losses, replacements, cuts and disks in trouble in any order. What must hold is checked from outside, by
what was answered.

`play(seed)` gives a `History`; one seed is one history. A planted `Defect` must make some history fail.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine
from typing import Any

from mulleinhatch.simulation.control_plane.defects import Defect, planted
from mulleinhatch.simulation.control_plane.invariant_checks import History
from mulleinhatch.simulation.control_plane.world import World
from mulleinhatch.simulation.virtual_time import VirtualLoop

__all__ = ["Defect", "History", "World", "play", "play_script"]
SYNC_S = (0.001, 0.008)
TROUBLE_S = 25.0
PACE_S = (0.05, 0.8)  # between two changes of one operator
OVERLAPPING_PART = 0.15  # of the troubles: those beyond the tolerance


class _Errors(logging.Handler):
    """Errors with a traceback that the code logs: each breaks the history."""

    def __init__(self, history: History) -> None:
        super().__init__(logging.ERROR)
        self._history = history

    def emit(self, record: logging.LogRecord) -> None:
        if record.exc_info and record.exc_info[1] is not None:
            self._history.broken.append(f"error in the code: {record.exc_info[1]!r}")


def play(
    seed: int,
    machines: int = 3,
    tolerated: int = 1,
    defect: Defect = Defect.NONE,
    sync_s: tuple[float, float] = SYNC_S,
    troubled: bool = True,
    trouble_s: float = TROUBLE_S,
    pace_s: tuple[float, float] = PACE_S,
    overlapping_part: float = OVERLAPPING_PART,
) -> History:
    """One history of `trouble_s` virtual seconds and some more."""

    async def begin(world: World) -> None:
        await world.play(troubled)

    return _played(begin, seed, machines, tolerated, defect, sync_s, trouble_s, pace_s, overlapping_part)


def _played(
    begin: Callable[[World], Coroutine[Any, Any, None]],
    seed: int,
    machines: int,
    tolerated: int,
    defect: Defect,
    sync_s: tuple[float, float],
    trouble_s: float,
    pace_s: tuple[float, float],
    overlapping_part: float,
) -> History:
    loop, history = VirtualLoop(), History(seed)
    asyncio.set_event_loop(loop)
    loop.set_exception_handler(lambda _, context: _note_exception(history, context))
    log, handler = logging.getLogger("mulleinhatch"), _Errors(history)
    level, propagate = log.level, log.propagate
    log.addHandler(handler)
    log.setLevel(logging.ERROR)
    log.propagate = False
    random.seed(seed)
    try:
        with planted(defect):
            world = World(history, loop, machines, tolerated, defect, sync_s, trouble_s, pace_s, overlapping_part)
            loop.run_until_complete(begin(world))
    finally:
        log.removeHandler(handler)
        log.setLevel(level)
        log.propagate = propagate
        _end(loop, world)
    return history


def play_script(
    script: Callable[[World], Coroutine[Any, Any, None]],
    seed: int = 1,
    machines: int = 3,
    tolerated: int = 1,
    defect: Defect = Defect.NONE,
) -> History:
    """One history in which a script does what is to happen, on a core that has just started."""

    async def begin(world: World) -> None:
        await world.start()
        await script(world)

    return _played(begin, seed, machines, tolerated, defect, SYNC_S, TROUBLE_S, PACE_S, 0.0)


def _note_exception(history: History, context: dict) -> None:
    error = context.get("exception")
    if error is not None and not isinstance(error, (OSError, asyncio.CancelledError)):
        history.broken.append(f"error in the code: {error!r}")


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
