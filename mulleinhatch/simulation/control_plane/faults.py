"""Inject faults into machines, links and disks: in any order within the tolerance, and some beyond it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any

from mulleinhatch.simulation.control_plane.disk_faults import DiskFaults
from mulleinhatch.simulation.control_plane.link_faults import LinkFaults
from mulleinhatch.simulation.control_plane.machine_faults import MachineFaults
from mulleinhatch.simulation.control_plane.machines import Machine
from mulleinhatch.simulation.control_plane.outages import Outages
from mulleinhatch.simulation.control_plane.zone_faults import ZoneFault, ZoneFaults


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
    """Draws random faults and injects them."""

    def __init__(self, world: Any) -> None:
        self._world = world
        self._machine_faults = MachineFaults(world)
        links, disks, outages = LinkFaults(world), DiskFaults(world), Outages(world)
        self._zone_faults = ZoneFaults(world)
        self._handlers: dict[Fault, Callable[[Any, float], Coroutine[Any, Any, None]]] = {
            Fault.KILL: self._machine_faults.kill,
            Fault.POWER: self._machine_faults.power,
            Fault.WIPE: self._machine_faults.wipe,
            Fault.ISOLATE: links.isolate,
            Fault.ISOLATE_ONE_WAY: links.isolate_one_way,
            Fault.ISOLATE_PAIR: links.isolate_pair,
            Fault.FREEZE: self._machine_faults.freeze,
            Fault.SLOW_DISK: disks.slow_disk,
            Fault.STALLED_DISK: disks.stalled_disk,
            Fault.FULL_DISK: disks.full_disk,
            Fault.REFUSED_FOLDER_SYNC: disks.refused_folder_sync,
            Fault.TERMINATE: self._machine_faults.terminate,
            Fault.REPLACE: self._machine_faults.replace,
            Fault.PLANNED_REPLACE: self._machine_faults.planned_replace,
            Fault.WIPE_AND_POWER_OF_ALL_OTHERS: self._machine_faults.wipe_and_power_of_all_others,
            Fault.KILL_ALL: outages.kill_all,
            Fault.POWER_ALL: outages.power_all,
            Fault.PARTITION: links.partition,
            Fault.POWER_OF_SOME: outages.power_of_some,
            Fault.DATA_PLANES: outages.restart_data_plane,
        }

    async def run(self) -> None:
        """Inject faults until the fault period ends."""
        world = self._world
        while world.loop.time() < world.plan.fault_period_s:
            await asyncio.sleep(self._pause())
            if world.closing.is_over:
                return
            if world.rng.random() < world.plan.overlapping_fraction:
                self._inject(world.rng.choice(OVERLAPPING), None)
            elif self._may_lose_zone():
                self._inject_zone_loss()
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
        if world.lost() >= world.plan.tolerated or self._machine_faults.is_armed:
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

    def _may_lose_zone(self) -> bool:
        """Return whether a zone is lost next: only where that is tolerated, and while nothing else is lost."""
        world, plan = self._world, self._world.plan
        if not plan.zones_tolerated or world.lost() or self._machine_faults.is_armed:
            return False
        return world.rng.random() < plan.zone_loss_fraction

    def _inject_zone_loss(self) -> None:
        world = self._world
        fault, for_s = world.rng.choice(list(ZoneFault)), world.rng.uniform(0.2, 4.0)
        zone = world.rng.choice(sorted({machine.zone for machine in world.machines}))
        world.note(f"{fault.value} {zone} for {for_s:.1f}")
        for machine in world.machines:
            if machine.zone == zone:
                machine.lost_until = 1e9  # until the fault has ended
        world.loop.start(self._zone_faults.inject(fault, zone, for_s))

    def on_acknowledged(self) -> None:
        """Inject the fault that waits for the acknowledgement of a change."""
        self._machine_faults.on_acknowledged()
