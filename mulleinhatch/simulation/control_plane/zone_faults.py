"""Losses of a zone with all control-plane nodes in it."""

from __future__ import annotations

import asyncio
from enum import Enum

from mulleinhatch.simulation.control_plane.fault_actions import FaultActions
from mulleinhatch.simulation.control_plane.machines import Machine


class ZoneFault(Enum):
    """How a zone is lost. The values appear in a history's events."""

    POWER = "power of zone"
    WIPE = "disks of zone"
    ISOLATE = "cut off zone"


class ZoneFaults(FaultActions):
    """Power losses, emptied disks and partitions of all machines of a zone at once."""

    async def inject(self, fault: ZoneFault, zone: str, for_s: float) -> None:
        """Inject one fault and return when it has ended; the machines then recover."""
        machines = [machine for machine in self._world.machines if machine.zone == zone and not machine.removed]
        self._world.record_fault_event()
        if fault is ZoneFault.ISOLATE:
            await self._isolate(machines, for_s)
        else:
            await self._stop(machines, for_s, wipe=fault is ZoneFault.WIPE)

    async def _stop(self, machines: list[Machine], for_s: float, wipe: bool) -> None:
        for machine in machines:
            machine.stop(wipe)
        await asyncio.sleep(for_s)
        for machine in machines:
            self._start(machine)

    async def _isolate(self, machines: list[Machine], for_s: float) -> None:
        links = self._world.links
        pairs = [(machine, other) for machine in machines for other in self._world.machines if other not in machines]
        for machine, other in pairs:
            links.disconnect(machine, other)
        await asyncio.sleep(for_s)
        for machine, other in pairs:
            links.reconnect(machine, other)
        for machine in machines:
            self._start_recovery(machine)
