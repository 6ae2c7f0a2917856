"""Inject faults into machines, links and disks: in any order within the tolerance, and some beyond it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any

from mulleinhatch.control_plane import shutdown
from mulleinhatch.simulation.control_plane.machines import Machine

CATCH_UP_S = 4.0  # how long a machine that is back still counts as lost
GRACE_S = 8.0


class Fault(Enum):
    """A fault that can be injected. The values appear in a history's events."""

    KILL = "kill"
    POWER = "power"
    WIPE = "wipe"
    ISOLATE = "cut"
    ISOLATE_ONE_WAY = "one way"
    ISOLATE_PAIR = "one pair"
    FREEZE = "freeze"
    SLOW_DISK = "slow disk"
    STALLED_DISK = "stalled disk"
    FULL_DISK = "full disk"
    REFUSED_FOLDER_SYNC = "refused folder sync"
    TERMINATE = "term"
    REPLACE = "replace"
    PLANNED_REPLACE = "planned replace"
    WIPE_AND_POWER_OF_ALL_OTHERS = "wipe and power of all others"
    KILL_ALL = "kill all"
    POWER_ALL = "power all"
    PARTITION = "halves"
    POWER_OF_SOME = "power of some"
    DATA_PLANES = "data planes"


OVERLAPPING = (Fault.KILL_ALL, Fault.POWER_ALL, Fault.PARTITION, Fault.POWER_OF_SOME, Fault.DATA_PLANES)
SINGLE = tuple(fault for fault in Fault if fault not in OVERLAPPING)  # within the tolerance, each at one machine


class FaultInjector:
    """Draws random faults, injects them, and marks which machines count as lost.

    Attributes:
        armed: The machine that loses its disk at the next acknowledgement, when all others lose power.
    """

    def __init__(self, world: Any) -> None:
        self._world = world
        self.armed: Machine | None = None
        self._handlers: dict[Fault, Callable[[Any, float], Coroutine[Any, Any, None]]] = {
            Fault.KILL: self._kill,
            Fault.POWER: self._power,
            Fault.WIPE: self._wipe,
            Fault.ISOLATE: self._isolate,
            Fault.ISOLATE_ONE_WAY: self._isolate_one_way,
            Fault.ISOLATE_PAIR: self._isolate_pair,
            Fault.FREEZE: self._freeze,
            Fault.SLOW_DISK: self._slow_disk,
            Fault.STALLED_DISK: self._stalled_disk,
            Fault.FULL_DISK: self._full_disk,
            Fault.REFUSED_FOLDER_SYNC: self._refused_folder_sync,
            Fault.TERMINATE: self._terminate,
            Fault.REPLACE: self._replace,
            Fault.PLANNED_REPLACE: self._planned_replace,
            Fault.WIPE_AND_POWER_OF_ALL_OTHERS: self._wipe_and_power_of_all_others,
            Fault.KILL_ALL: self._kill_all,
            Fault.POWER_ALL: self._power_all,
            Fault.PARTITION: self._partition,
            Fault.POWER_OF_SOME: self._power_of_some,
            Fault.DATA_PLANES: self._restart_data_plane,
        }

    async def run(self) -> None:
        """Inject faults until the fault period ends."""
        world = self._world
        while world.loop.time() < world.plan.fault_period_s:
            await asyncio.sleep(self._pause())
            if world.rng.random() < world.plan.overlapping_fraction:
                self._inject(world.rng.choice(OVERLAPPING), None)
            elif (machine := self._next()) is not None:
                self._inject(world.rng.choice(SINGLE), machine)

    def _pause(self) -> float:
        """Return the time until the next fault: random, or until just after the tolerance allows one again."""
        world = self._world
        free_at = max((machine.lost_until for machine in world.machines), default=0.0)
        if world.rng.random() < 0.5 and 0 < free_at - world.loop.time() < 12.0:
            return free_at - world.loop.time() + 0.001
        return world.rng.uniform(0.2, 5.0)

    def _next(self) -> Machine | None:
        world = self._world
        if world.lost() >= world.plan.tolerated or self.armed is not None:
            return None
        now = world.loop.time()
        candidates = [
            machine
            for machine in world.machines
            if machine.node is not None and machine.lost_until <= now and not machine.retiring
        ]
        return world.rng.choice(candidates) if candidates else None

    def _inject(self, fault: Fault, machine: Machine | None) -> None:
        for_s = self._world.rng.uniform(0.2, 4.0)
        self._world.note(f"{fault.value} {'' if machine is None else machine.number} for {for_s:.1f}")
        if machine is not None:
            machine.lost_until = 1e9  # until the fault has ended
        self._world.loop.start(self._handlers[fault](machine, for_s))

    def _start_recovery(self, machine: Machine) -> None:
        machine.lost_until = self._world.loop.time() + CATCH_UP_S
        self._world.record_core_event()

    def _start(self, machine: Machine) -> None:
        if machine.node is None and not machine.removed:
            machine.start()
        self._start_recovery(machine)

    # Losses of one machine.

    async def _down(self, machine: Machine, for_s: float, wipe: bool) -> None:
        self._world.record_core_event()
        machine.stop(wipe)
        await asyncio.sleep(for_s)
        self._start(machine)

    async def _kill(self, machine: Machine, for_s: float) -> None:
        await self._down(machine, min(for_s, 1.0), wipe=False)

    async def _power(self, machine: Machine, for_s: float) -> None:
        await self._down(machine, for_s, wipe=False)

    async def _wipe(self, machine: Machine, for_s: float) -> None:
        await self._down(machine, for_s, wipe=True)

    async def _wipe_and_power_of_all_others(self, machine: Machine, for_s: float) -> None:
        """Wipe one disk and cut the power of all others at the next acknowledgement, if one comes soon."""
        self.armed = machine
        await asyncio.sleep(6.0)
        if self.armed is machine:
            self.armed = None
            machine.lost_until = 0.0

    def on_acknowledged(self) -> None:
        """Inject the fault that waits for the acknowledgement of a change."""
        machine, self.armed = self.armed, None
        if machine is not None:
            self._world.note(f"disk of {machine.number} lost, power of all others")
            self._world.loop.start(self._strike(machine))

    async def _strike(self, machine: Machine) -> None:
        machine.stop(wipe=True)
        await self._all_down(self._world.machines, self._world.rng.uniform(0.1, 2.0), planes=True)

    async def _freeze(self, machine: Machine, for_s: float) -> None:
        process = machine.process
        process.frozen = True
        self._world.record_core_event()
        await asyncio.sleep(for_s)
        self._world.loop.thaw(process)
        self._start_recovery(machine)

    async def _terminate(self, machine: Machine, for_s: float) -> None:
        await self._leave(machine)
        await asyncio.sleep(min(1.0, for_s))
        self._start(machine)

    async def _leave(self, machine: Machine) -> bool:
        """Shut a machine down; return whether it ended by that and by no other fault."""
        self._world.record_core_event()
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
        self._world.record_core_event()
        return has_ended

    async def _replace(self, machine: Machine, for_s: float) -> None:
        """Remove a machine for good; an empty one starts later at another address."""
        self._world.record_core_event()
        machine.stop(wipe=True)
        machine.removed = True
        await asyncio.sleep(for_s)
        self._world.add_machine(machine)

    async def _planned_replace(self, machine: Machine, for_s: float) -> None:
        """Start a new machine, then shut the old one down and discard its disk.

        No machine counts as lost meanwhile, not even when the old one ends.
        """
        successor = self._world.add_machine(machine)
        machine.lost_until, machine.retiring = 0.0, True
        await asyncio.sleep(CATCH_UP_S + 0.1 * for_s)
        if machine.process is None or machine.lost_until > self._world.loop.time():
            self._start_recovery(successor)  # the old machine was lost before it could hand over
        if not await self._leave(machine):
            machine.retiring = False  # it lost power while it shut down: it starts again, and stays
            return
        machine.removed, machine.records = True, []
        self._world.remove(machine)

    # Links.

    async def _disconnect_links(self, machine: Machine, others: list[Any], for_s: float, both: bool = True) -> None:
        links = self._world.links
        self._world.record_core_event()
        for other in others:
            links.disconnect(machine, other, both)
        await asyncio.sleep(for_s)
        for other in others:
            links.reconnect(machine, other, both)
        self._start_recovery(machine)

    def _other_machines(self, machine: Machine) -> list[Any]:
        return [other for other in self._world.machines if other is not machine]

    async def _isolate(self, machine: Machine, for_s: float) -> None:
        await self._disconnect_links(machine, self._other_machines(machine), for_s)

    async def _isolate_one_way(self, machine: Machine, for_s: float) -> None:
        await self._disconnect_links(machine, self._other_machines(machine), for_s, both=False)

    async def _isolate_pair(self, machine: Machine, for_s: float) -> None:
        await self._disconnect_links(machine, [self._world.rng.choice(self._other_machines(machine))], for_s)

    async def _partition(self, _: None, for_s: float) -> None:
        world = self._world
        half = world.rng.sample(world.machines, len(world.machines) // 2)
        pairs = [(machine, other) for machine in half for other in world.machines if other not in half]
        world.record_core_event()
        for machine, other in pairs:
            world.links.disconnect(machine, other)
        await asyncio.sleep(for_s)
        for machine, other in pairs:
            world.links.reconnect(machine, other)
        for machine in world.machines:
            machine.lost_until = max(machine.lost_until, world.loop.time() + CATCH_UP_S)
        world.record_core_event()

    # Disks.

    async def _disk(self, machine: Machine, for_s: float, **fault: Any) -> None:
        normal = {name: getattr(machine, name) for name in fault}
        self._world.record_core_event()
        for name, value in fault.items():
            setattr(machine, name, value)
        await asyncio.sleep(for_s)
        for name, value in normal.items():
            setattr(machine, name, value)
        self._start_recovery(machine)

    async def _slow_disk(self, machine: Machine, for_s: float) -> None:
        await self._disk(machine, for_s, slowdown=30.0)

    async def _stalled_disk(self, machine: Machine, for_s: float) -> None:
        await self._disk(machine, for_s, stalled=True)

    async def _full_disk(self, machine: Machine, for_s: float) -> None:
        await self._disk(machine, for_s, full=True)

    async def _refused_folder_sync(self, machine: Machine, for_s: float) -> None:
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
            await self._strike(other)

    async def _rewrite(self, machine: Machine) -> None:
        await asyncio.sleep(0.05)
        machine.node.log_compactor.rewrite_due = True
        try:
            await machine.node.log_compactor.compact()
        except OSError:
            pass

    # Faults beyond the tolerance: no disk is lost.

    async def _all_down(self, machines: list[Machine], for_s: float, planes: bool) -> None:
        world = self._world
        world.record_core_event()
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
        world.record_core_event()

    async def _kill_all(self, _: None, for_s: float) -> None:
        await self._all_down(self._world.machines, min(1.0, for_s), planes=False)

    async def _power_all(self, _: None, for_s: float) -> None:
        await self._all_down(self._world.machines, for_s, planes=self._world.rng.random() < 0.5)

    async def _power_of_some(self, _: None, for_s: float) -> None:
        world = self._world
        some = world.rng.sample(world.machines, world.rng.randint(1, len(world.machines)))
        await self._all_down(some, for_s, planes=False)

    async def _restart_data_plane(self, _: None, for_s: float) -> None:
        plane = self._world.rng.choice(self._world.planes)
        plane.stop()
        await asyncio.sleep(for_s)
        if plane.process is None:
            plane.start()
