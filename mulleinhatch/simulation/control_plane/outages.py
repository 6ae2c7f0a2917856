"""Outages beyond the tolerance of the control plane, in which no disk is lost."""

from __future__ import annotations

import asyncio

from mulleinhatch.simulation.control_plane.fault_actions import FaultActions


class Outages(FaultActions):
    """Crashes and power losses of several machines at once, and restarts of data planes."""

    async def kill_all(self, _: None, for_s: float) -> None:
        """Kill all control-plane processes at once."""
        await self._power_cycle(self._world.machines, min(1.0, for_s), planes=False)

    async def power_all(self, _: None, for_s: float) -> None:
        """Cut the power of all control-plane nodes, and sometimes of the data planes."""
        await self._power_cycle(self._world.machines, for_s, planes=self._world.rng.random() < 0.5)

    async def power_of_some(self, _: None, for_s: float) -> None:
        """Cut the power of a random set of machines."""
        world = self._world
        some = world.rng.sample(world.machines, world.rng.randint(1, len(world.machines)))
        await self._power_cycle(some, for_s, planes=False)

    async def restart_data_plane(self, _: None, for_s: float) -> None:
        """Kill one data plane; it restarts later."""
        plane = self._world.rng.choice(self._world.planes)
        plane.stop()
        await asyncio.sleep(for_s)
        if plane.process is None:
            plane.start()
