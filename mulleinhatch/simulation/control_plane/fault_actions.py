"""Shared steps of all simulated faults: losing, restarting and recovering machines."""

from __future__ import annotations

import asyncio
from typing import Any

from mulleinhatch.simulation.control_plane.machines import Machine

CATCH_UP_S = 4.0  # how long a recovered machine still counts as lost


class FaultActions:
    """Base class of the fault kinds. Each public method injects one fault and returns when it has ended."""

    def __init__(self, world: Any) -> None:
        self._world = world

    def _start_recovery(self, machine: Machine) -> None:
        machine.lost_until = self._world.loop.time() + CATCH_UP_S
        self._world.record_fault_event()

    def _start(self, machine: Machine) -> None:
        if machine.node is None and not machine.removed:
            machine.start()
        self._start_recovery(machine)

    def _other_machines(self, machine: Machine) -> list[Any]:
        return [other for other in self._world.machines if other is not machine]

    async def _wipe_and_power_off(self, machine: Machine) -> None:
        if self._world.closing.is_over:
            return  # no disk is lost after the closing
        machine.stop(wipe=True)
        await self._power_cycle(self._world.machines, self._world.rng.uniform(0.1, 2.0), planes=True)

    async def _power_cycle(self, machines: list[Machine], for_s: float, planes: bool) -> None:
        world = self._world
        world.record_fault_event()
        for machine in machines:
            machine.stop()
        for plane in world.planes if planes else []:
            plane.stop()
        await asyncio.sleep(for_s)
        for machine in machines:
            if machine.node is None and not machine.removed:
                machine.start()
        for machine in world.machines:
            machine.lost_until = max(machine.lost_until if machine.lost_until < 1e8 else 0.0, world.loop.time() + CATCH_UP_S)
        for plane in world.planes if planes else []:
            plane.start()
        world.record_fault_event()
