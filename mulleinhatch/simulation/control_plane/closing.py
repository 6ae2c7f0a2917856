"""The closing fault: the tolerated number of disks is lost while every other machine loses power at the same moment."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from mulleinhatch.simulation.control_plane.fault_actions import FaultActions
from mulleinhatch.simulation.control_plane.machines import Machine

CLOSING_PERIOD_S = 4.0  # the closing happens within this time before the end of the fault period
ACKNOWLEDGEMENT_WAIT_S = 1.0  # how long it then waits for an acknowledgement, to happen right after it


class Closing(FaultActions):
    """Decides whether and when a history closes. Other faults may be in progress; no disk is lost afterwards.

    It has its own random source, so the history before it is the same as without a closing.

    Attributes:
        is_over: Whether the disks have been lost.
    """

    def __init__(self, world: Any) -> None:
        super().__init__(world)
        self._rng = random.Random(f"closing {world.history.seed}")
        self._is_armed = False
        self.is_over = False

    async def run(self) -> None:
        """Inject the fault near the end of the fault period, in a random fraction of the histories."""
        plan = self._world.plan
        if self._rng.random() >= plan.closing_fraction:
            return
        await asyncio.sleep(max(0.0, plan.fault_period_s - self._rng.uniform(0.0, CLOSING_PERIOD_S) - self._world.loop.time()))
        self._is_armed = True
        await asyncio.sleep(ACKNOWLEDGEMENT_WAIT_S)
        await self._inject_once()

    def on_acknowledged(self) -> None:
        """Inject the fault at once if it waits for an acknowledgement."""
        if self._is_armed and not self.is_over:
            self._world.loop.start(self._inject_once())

    async def _inject_once(self) -> None:
        victims = [] if self.is_over else self._draw_victims()
        self.is_over = True
        if not victims:
            return
        world = self._world
        world.note(f"closing: disks of {[machine.number for machine in victims]} lost, power of all others")
        for machine in victims:
            machine.stop(wipe=True)
            machine.empty()
        await self._power_cycle(world.machines, self._rng.uniform(0.1, 2.0), planes=self._rng.random() < 0.5)

    def _draw_victims(self) -> list[Machine]:
        """Return the machines that lose their disks: as many as the tolerance allows in addition to those already lost."""
        world = self._world
        counted = [machine for machine in world.machines if world.majority.counts(machine) and not machine.retiring]
        allowed = world.plan.tolerated - (len(world.machines) - len(counted))
        return self._rng.sample(counted, allowed) if 0 < allowed <= len(counted) else []
