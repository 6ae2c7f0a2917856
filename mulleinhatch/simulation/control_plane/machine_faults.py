"""Faults of one machine: crashes, power losses, emptied disks, pauses, shutdowns and replacements."""

from __future__ import annotations

import asyncio
from typing import Any

from mulleinhatch.control_plane import shutdown
from mulleinhatch.simulation.control_plane.fault_actions import CATCH_UP_S, FaultActions
from mulleinhatch.simulation.control_plane.machines import Machine

GRACE_S = 8.0


class MachineFaults(FaultActions):
    """Faults of one machine."""

    def __init__(self, world: Any) -> None:
        super().__init__(world)
        self._armed: Machine | None = None  # loses its disk at the next acknowledgement, while all others lose power

    @property
    def is_armed(self) -> bool:
        """Whether a fault waits for the next acknowledgement."""
        return self._armed is not None

    async def _stop_and_restart(self, machine: Machine, for_s: float, wipe: bool) -> None:
        self._world.record_fault_event()
        machine.stop(wipe)
        await asyncio.sleep(for_s)
        self._start(machine)

    async def kill(self, machine: Machine, for_s: float) -> None:
        """Kill the process; it restarts soon."""
        await self._stop_and_restart(machine, min(for_s, 1.0), wipe=False)

    async def power(self, machine: Machine, for_s: float) -> None:
        """Cut the power; the process restarts when the power returns."""
        await self._stop_and_restart(machine, for_s, wipe=False)

    async def wipe(self, machine: Machine, for_s: float) -> None:
        """Cut the power and empty the disk."""
        await self._stop_and_restart(machine, for_s, wipe=True)

    async def freeze(self, machine: Machine, for_s: float) -> None:
        """Pause the process."""
        process = machine.process
        process.frozen = True
        self._world.record_fault_event()
        await asyncio.sleep(for_s)
        self._world.loop.thaw(process)
        self._start_recovery(machine)

    async def terminate(self, machine: Machine, for_s: float) -> None:
        """Shut the process down, then start it again."""
        await self._leave(machine)
        await asyncio.sleep(min(1.0, for_s))
        self._start(machine)

    async def _leave(self, machine: Machine) -> bool:
        """Shut a machine down; return whether the shutdown, and no other fault, ended it."""
        self._world.record_fault_event()
        process = machine.process
        if process is None:
            return False
        leaving = self._world.loop.start(shutdown.leave(machine.node, GRACE_S), process)
        end = self._world.loop.time() + GRACE_S
        while not leaving.done() and self._world.loop.time() < end and machine.process is process:
            await asyncio.sleep(0.05)
        has_ended = machine.process is process
        if has_ended:
            machine.stop()
        self._world.record_fault_event()
        return has_ended

    async def replace(self, machine: Machine, for_s: float) -> None:
        """Remove a machine for good; an empty one starts later at another address."""
        self._world.record_fault_event()
        machine.stop(wipe=True)
        machine.removed = True
        await asyncio.sleep(for_s)
        self._world.add_machine(machine)

    async def planned_replace(self, machine: Machine, for_s: float) -> None:
        """Start a new machine, then shut the old one down and discard its disk.

        No machine counts as lost meanwhile, not even when the old one ends.
        """
        successor = self._world.add_machine(machine)
        machine.lost_until, machine.retiring = 0.0, True
        await asyncio.sleep(CATCH_UP_S + 0.1 * for_s)
        if machine.process is None or machine.lost_until > self._world.loop.time():
            self._start_recovery(successor)  # the old machine was lost before it could hand over
        if not await self._leave(machine):
            machine.retiring = False  # it lost power during the shutdown, so it restarts and stays
            return
        machine.removed, machine.records = True, []
        self._world.remove(machine)

    async def wipe_and_power_of_all_others(self, machine: Machine, for_s: float) -> None:
        """Wipe one disk and cut the power of all others at the next acknowledgement, if one comes soon."""
        self._armed = machine
        await asyncio.sleep(6.0)
        if self._armed is machine:
            self._armed = None
            machine.lost_until = 0.0

    def on_acknowledged(self) -> None:
        """Inject the fault that waits for the acknowledgement of a change."""
        machine, self._armed = self._armed, None
        if machine is not None:
            self._world.note(f"disk of {machine.number} lost, power of all others")
            self._world.loop.start(self._wipe_and_power_off(machine))
