"""Faults of the disk of one machine."""

from __future__ import annotations

import asyncio
from typing import Any

from mulleinhatch.simulation.control_plane.fault_actions import CATCH_UP_S, FaultActions
from mulleinhatch.simulation.control_plane.machines import Machine


class DiskFaults(FaultActions):
    """Slow, stalled and full disks, and refused syncs of the folder."""

    async def _disk(self, machine: Machine, for_s: float, **fault: Any) -> None:
        normal = {name: getattr(machine, name) for name in fault}
        self._world.record_fault_event()
        for name, value in fault.items():
            setattr(machine, name, value)
        await asyncio.sleep(for_s)
        for name, value in normal.items():
            setattr(machine, name, value)
        self._start_recovery(machine)

    async def slow_disk(self, machine: Machine, for_s: float) -> None:
        """Let writes take 30 times as long."""
        await self._disk(machine, for_s, slowdown=30.0)

    async def stalled_disk(self, machine: Machine, for_s: float) -> None:
        """Let no write complete."""
        await self._disk(machine, for_s, stalled=True)

    async def full_disk(self, machine: Machine, for_s: float) -> None:
        """Let the disk refuse all writes."""
        await self._disk(machine, for_s, full=True)

    async def refused_folder_sync(self, machine: Machine, for_s: float) -> None:
        """Rewrite the file while folder syncs fail; then wipe another disk and cut the power of all others.

        A machine that went on writing to the unlinked former file would lose its records now.
        """
        if machine.node is not None:
            self._world.loop.start(self._rewrite(machine), machine.process)
        await self._disk(machine, for_s, refuse_folder_sync=True)
        await asyncio.sleep(CATCH_UP_S + 0.1)
        others = self._other_machines(machine)
        if self._world.lost() == 0:
            other = self._world.rng.choice(others)
            self._world.note(f"disk of {other.number} lost, power of all others")
            await self._wipe_and_power_off(other)

    async def _rewrite(self, machine: Machine) -> None:
        await asyncio.sleep(0.05)
        machine.node.log_compactor.rewrite_due = True
        try:
            await machine.node.log_compactor.compact()
        except OSError:
            pass
