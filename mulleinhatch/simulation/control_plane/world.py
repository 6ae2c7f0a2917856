"""One history: machines, links, operators, backends, data planes, troubles and checks, on one virtual clock."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from mulleinhatch.simulation.control_plane.clients import Backend, DataPlane, Operator, Reader
from mulleinhatch.simulation.control_plane.faults import CATCH_UP_S, FaultInjector
from mulleinhatch.simulation.control_plane.history_plan import HistoryPlan
from mulleinhatch.simulation.control_plane.invariant_checks import History, InvariantChecker
from mulleinhatch.simulation.control_plane.machines import Machine
from mulleinhatch.simulation.control_plane.network import Links, Network
from mulleinhatch.simulation.virtual_time import Process, VirtualLoop

RECOVERY_S = 12.0  # after all troubles: the core must answer again
CHECK_INTERVAL_S = 0.1
CLAIM_S = 1.7
FIRST_S = 2.0


class World:
    """What the parts of a history share."""

    def __init__(self, history: History, loop: VirtualLoop, plan: HistoryPlan) -> None:
        self.history, self.loop, self.plan = history, loop, plan
        self.rng = random.Random(history.seed)
        self.links = Links()
        self.first = True
        self.machines = [Machine(number, self) for number in range(plan.machines)]
        self._numbers = plan.machines
        self._core_event_at = 0.0
        self.planes = [DataPlane(self, number) for number in range(2)]
        self.checker = InvariantChecker(self, history)
        self.faults = FaultInjector(self)

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
        self.record_core_event()
        self.note(f"{machine.number} comes for {former.number}")
        return machine

    def remove(self, machine: Machine) -> None:
        self.machines.remove(machine)

    def lost(self) -> int:
        """Machines that count as lost now."""
        now = self.loop.time()
        return sum(machine.node is None or machine.lost_until > now for machine in self.machines)

    def record_core_event(self) -> None:
        self._core_event_at = self.loop.time()

    def is_core_stable(self, since: float) -> bool:
        """Whether nothing happened to the core after a moment, and more than half of it runs and is connected."""
        running = [one for one in self.machines if one.node is not None and not one.process.frozen]
        connected = max(
            (sum(self.links.open(one, other) and self.links.open(other, one) for other in running) for one in running),
            default=0,
        )
        return self._core_event_at < since and 2 * connected > len(self.machines)

    def is_connected(self, plane: DataPlane, since: float) -> bool:
        return plane.process is not None and plane.started_at < since

    def on_acknowledgement(self) -> None:
        self.faults.acknowledged()

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
        self.loop.start(self._check_forever())
        self.loop.start(self._claim_forever())
        await asyncio.sleep(FIRST_S)

    async def play(self, with_faults: bool) -> None:
        """A history with users, and troubles drawn by chance."""
        await self.start()
        users = [Operator(self, "one").run(), Operator(self, "two").run(), Reader(self).run()]
        users += [Backend(self, number).run() for number in range(2)]
        await asyncio.gather(*users, *([self.faults.run()] if with_faults else []))
        await self._verify_recovery()

    async def _check_forever(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.checker.check_now()

    async def _claim_forever(self) -> None:
        """Whoever leads claims the orders now and then, as a new holder does."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, CLAIM_S))
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
            self.checker.record_claim(token)

    async def _verify_recovery(self) -> None:
        """All are back; the core must answer, and hold what was acknowledged and nothing that was refused."""
        await asyncio.sleep(9.0)  # what is under way ends: a leave takes its grace period
        self.links.clear()
        for machine in self.machines:
            if machine.node is None:
                machine.start()
        end = self.loop.time() + RECOVERY_S
        reader, is_readable = Reader(self), False
        while self.loop.time() < end and not is_readable:
            await asyncio.sleep(0.3)
            is_readable = await reader.read()
        if not is_readable:
            self.checker.record_violation("no read is answered after all troubles are over")
            return
        await self._verify_change_accepted(end)
        self.checker.check_end()

    async def _verify_change_accepted(self, end: float) -> None:
        """A change must be taken again."""
        operator = Operator(self, "last")
        while self.loop.time() < end:
            await Reader(self).read()
            sent = operator.change(self.checker.assumed_version)
            self.checker.record_submission(sent)
            await operator.send_until_answered(sent)
            if sent.acknowledged_at >= 0:
                return
        self.checker.record_violation("no change is acknowledged after all troubles are over")
