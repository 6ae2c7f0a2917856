"""One history: machines, links, operators, backends, data planes, troubles and checks, on one virtual clock."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from mulleinhatch.simulation.control_plane.clients import Backend, DataPlane, Operator, Reader
from mulleinhatch.simulation.control_plane.defects import Defect
from mulleinhatch.simulation.control_plane.faults import CATCH_UP_S, Troubles
from mulleinhatch.simulation.control_plane.invariant_checks import History, Watch
from mulleinhatch.simulation.control_plane.machines import Machine
from mulleinhatch.simulation.control_plane.network import Links, Network
from mulleinhatch.simulation.virtual_time import Process, VirtualLoop

RECOVERY_S = 12.0  # after all troubles: the core must answer again
LOOK_S = 0.1
CLAIM_S = 1.7
FIRST_S = 2.0


class World:
    """What the parts of a history share."""

    def __init__(
        self,
        history: History,
        loop: VirtualLoop,
        machines: int,
        tolerated: int,
        defect: Defect,
        sync_s: tuple[float, float],
        trouble_s: float,
        pace_s: tuple[float, float],
        overlapping_part: float,
    ) -> None:
        self.history, self.loop, self.tolerated, self.defect = history, loop, tolerated, defect
        self.sync_s, self.trouble_s, self.pace_s, self.overlapping_part = sync_s, trouble_s, pace_s, overlapping_part
        self.chance = random.Random(history.seed)
        self.links = Links()
        self.first = True
        self.machines = [Machine(number, self) for number in range(machines)]
        self._numbers = machines
        self._core_event_at = 0.0
        self.planes = [DataPlane(self, number) for number in range(2)]
        self.watch = Watch(self, history)
        self.troubles = Troubles(self)

    def note(self, text: str) -> None:
        self.history.events.append(f"{self.loop.time():8.3f} {text}")

    # Machines.

    def seeds(self) -> tuple[str, ...]:
        """Control addresses of three machines, as the operator's list stands."""
        return tuple(machine.control_address for machine in self.machines[:3])

    def caller(self, place: Any, process: Process) -> Any:
        return Network(self, place, process)

    def machine_at(self, address: str) -> Machine | None:
        return next((one for one in self.machines if address in (one.internal, one.control_address)), None)

    def add_machine(self, former: Machine) -> Machine:
        """An empty machine at an address of its own, in the place of one that is gone or will be."""
        machine = Machine(self._numbers, self)
        self._numbers += 1
        if former.removed:
            self.machines[self.machines.index(former)] = machine
        else:
            self.machines.append(machine)
        machine.start()
        machine.lost_until = self.loop.time() + CATCH_UP_S
        self.core_event()
        self.note(f"{machine.number} comes for {former.number}")
        return machine

    def remove(self, machine: Machine) -> None:
        self.machines.remove(machine)

    def lost(self) -> int:
        """Machines that count as lost now."""
        now = self.loop.time()
        return sum(machine.node is None or machine.lost_until > now for machine in self.machines)

    def core_event(self) -> None:
        self._core_event_at = self.loop.time()

    def core_calm(self, since: float) -> bool:
        """Whether nothing happened to the core after a moment, and more than half of it runs and is connected."""
        running = [one for one in self.machines if one.node is not None and not one.process.frozen]
        connected = max(
            (sum(self.links.open(one, other) and self.links.open(other, one) for other in running) for one in running),
            default=0,
        )
        return self._core_event_at < since and 2 * connected > len(self.machines)

    def in_touch(self, plane: DataPlane, since: float) -> bool:
        return plane.process is not None and plane.started_at < since

    def on_acknowledgement(self) -> None:
        self.troubles.acknowledged()

    # The history.

    async def start(self) -> None:
        """All machines and data planes start for the first time."""
        for machine in self.machines:
            machine.start()
            machine.lost_until = CATCH_UP_S
        for plane in self.planes:
            plane.start()
        await asyncio.sleep(0.05)
        self.first = False
        self.loop.start(self._look_forever())
        self.loop.start(self._claim_forever())
        await asyncio.sleep(FIRST_S)

    async def play(self, troubled: bool) -> None:
        """A history with users, and troubles drawn by chance."""
        await self.start()
        users = [Operator(self, "one").run(), Operator(self, "two").run(), Reader(self).run()]
        users += [Backend(self, number).run() for number in range(2)]
        await asyncio.gather(*users, *([self.troubles.run()] if troubled else []))
        await self._mark_log_complete()

    async def _look_forever(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            self.watch.look()

    async def _claim_forever(self) -> None:
        """Whoever leads claims the orders now and then, as a new holder does."""
        while True:
            await asyncio.sleep(self.chance.uniform(0.2, CLAIM_S))
            for machine in self.machines:
                if machine.node is None or machine.claiming is machine.process:
                    continue
                if machine.node.replica.is_head and machine.node.has_majority_contact():
                    machine.claiming = machine.process
                    self.loop.start(self._claim(machine), machine.process)

    async def _claim(self, machine: Machine) -> None:
        try:
            token = await machine.node.claim_leadership()
        except OSError:
            token = 0
        machine.claiming = None
        if token:
            self.watch.claimed(token)

    async def _mark_log_complete(self) -> None:
        """All are back; the core must answer, and hold what was acknowledged and nothing that was refused."""
        await asyncio.sleep(9.0)  # what is under way ends: a leave takes its grace period
        self.links.clear()
        for machine in self.machines:
            if machine.node is None:
                machine.start()
        end = self.loop.time() + RECOVERY_S
        reader, answered = Reader(self), False
        while self.loop.time() < end and not answered:
            await asyncio.sleep(0.3)
            answered = await reader.read()
        if not answered:
            self.watch.breaks("no read is answered after all troubles are over")
            return
        await self._last_change(end)
        self.watch.check_end()

    async def _last_change(self, end: float) -> None:
        """A change must be taken again."""
        operator = Operator(self, "last")
        while self.loop.time() < end:
            await Reader(self).read()
            sent = operator.change(self.watch.believed)
            self.watch.sends(sent)
            await operator.until_clear(sent)
            if sent.acknowledged_at >= 0:
                return
        self.watch.breaks("no change is acknowledged after all troubles are over")
