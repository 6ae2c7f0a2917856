"""Faults of links between control-plane nodes."""

from __future__ import annotations

import asyncio
from typing import Any

from mulleinhatch.simulation.control_plane.fault_actions import CATCH_UP_S, FaultActions
from mulleinhatch.simulation.control_plane.machines import Machine


class LinkFaults(FaultActions):
    """Isolated machines, disconnected pairs and partitions."""

    async def _disconnect_links(self, machine: Machine, others: list[Any], for_s: float, both: bool = True) -> None:
        links = self._world.links
        self._world.record_fault_event()
        for other in others:
            links.disconnect(machine, other, both)
        await asyncio.sleep(for_s)
        for other in others:
            links.reconnect(machine, other, both)
        self._start_recovery(machine)

    async def isolate(self, machine: Machine, for_s: float) -> None:
        """Disconnect a machine from all others."""
        await self._disconnect_links(machine, self._other_machines(machine), for_s)

    async def isolate_one_way(self, machine: Machine, for_s: float) -> None:
        """Lose all messages from a machine to the others."""
        await self._disconnect_links(machine, self._other_machines(machine), for_s, both=False)

    async def isolate_pair(self, machine: Machine, for_s: float) -> None:
        """Disconnect a machine from one other."""
        await self._disconnect_links(machine, [self._world.rng.choice(self._other_machines(machine))], for_s)

    async def partition(self, _: None, for_s: float) -> None:
        """Partition the control-plane nodes into two halves."""
        world = self._world
        half = world.rng.sample(world.machines, len(world.machines) // 2)
        pairs = [(machine, other) for machine in half for other in world.machines if other not in half]
        world.record_fault_event()
        for machine, other in pairs:
            world.links.disconnect(machine, other)
        await asyncio.sleep(for_s)
        for machine, other in pairs:
            world.links.reconnect(machine, other)
        for machine in world.machines:
            machine.lost_until = max(machine.lost_until, world.loop.time() + CATCH_UP_S)
        world.record_fault_event()
