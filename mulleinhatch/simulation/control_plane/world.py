"""One simulated history: machines, links, clients, faults and invariant checks on one virtual clock."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from mulleinhatch.simulation.control_plane.clients import Backend, DataPlane, Operator, Reader
from mulleinhatch.simulation.control_plane.closing import Closing
from mulleinhatch.simulation.control_plane.fault_actions import CATCH_UP_S
from mulleinhatch.simulation.control_plane.faults import FaultInjector
from mulleinhatch.simulation.control_plane.history_plan import HistoryPlan
from mulleinhatch.simulation.control_plane.invariant_checks import History, InvariantChecker
from mulleinhatch.simulation.control_plane.machines import Machine
from mulleinhatch.simulation.control_plane.majority_watch import MajorityWatch
from mulleinhatch.simulation.control_plane.network import Links, Network
from mulleinhatch.simulation.virtual_time import Process, VirtualLoop

RECOVERY_S = 12.0  # after the last fault the control plane must answer within this time
CHECK_INTERVAL_S = 0.1
MAX_CLAIM_INTERVAL_S = 1.7
STARTUP_S = 2.0


class World:
    """The shared state of one history.

    Attributes:
        first: Whether the control plane starts for the first time.
    """

    def __init__(self, history: History, loop: VirtualLoop, plan: HistoryPlan) -> None:
        self.history, self.loop, self.plan = history, loop, plan
        self.rng = random.Random(history.seed)
        self.links = Links()
        self.first = True
        self.machines = [Machine(number, self) for number in range(plan.machines)]
        self._numbers = plan.machines
        self._fault_event_at = 0.0
        self.planes = [DataPlane(self, number) for number in range(2)]
        self.checker = InvariantChecker(self, history)
        self.faults = FaultInjector(self)
        self.majority = MajorityWatch(self)
        self.closing = Closing(self)

    def note(self, text: str) -> None:
        """Add an event to the history."""
        self.history.events.append(f"{self.loop.time():8.3f} {text}")

    # Machines.

    def seeds(self) -> tuple[str, ...]:
        """Return the control addresses of the first three machines, as the settings files name them."""
        return tuple(machine.control_address for machine in self.machines[:3])

    def network_client(self, endpoint: Any, process: Process) -> Any:
        """Return the network client of one process."""
        return Network(self, endpoint, process)

    def machine_at(self, address: str) -> Machine | None:
        """Return the machine at a control or internal address."""
        return next((machine for machine in self.machines if address in (machine.internal, machine.control_address)), None)

    def add_machine(self, former: Machine) -> Machine:
        """Start an empty machine at a new address, which replaces a machine that is or will be removed."""
        machine = Machine(self._numbers, self, former.zone)
        self.majority.on_disk_emptied(machine)
        self._numbers += 1
        if former.removed:
            self.machines[self.machines.index(former)] = machine
        else:
            self.machines.append(machine)
        machine.start()
        machine.lost_until = self.loop.time() + CATCH_UP_S
        self.record_fault_event()
        self.note(f"{machine.number} comes for {former.number}")
        return machine

    def remove(self, machine: Machine) -> None:
        """Remove a machine that was shut down for good."""
        self.machines.remove(machine)

    def lost(self) -> int:
        """Return the number of machines that count as lost now."""
        now = self.loop.time()
        return sum(machine.node is None or machine.lost_until > now for machine in self.machines)

    def record_fault_event(self) -> None:
        """Record that a fault hit the control plane or ended."""
        self._fault_event_at = self.loop.time()

    def is_control_plane_stable(self, since: float) -> bool:
        """Return whether no fault hit the control plane since a time, and a majority of its nodes run and are in contact."""
        return self._fault_event_at < since and self.majority.has_majority()

    def is_connected(self, plane: DataPlane, since: float) -> bool:
        """Return whether a data plane has run since a time."""
        return plane.process is not None and plane.started_at < since

    def on_acknowledgement(self) -> None:
        """Handle that a change was acknowledged to an operator."""
        self.faults.on_acknowledged()
        self.closing.on_acknowledged()

    # The history.

    async def start(self) -> None:
        """Start all machines and data planes for the first time."""
        for machine in self.machines:
            machine.start()
            machine.lost_until = CATCH_UP_S
        for plane in self.planes:
            plane.start()
        await asyncio.sleep(0.05)
        self.first = False
        self.loop.start(self._check_forever())
        self.loop.start(self._claim_forever())
        await asyncio.sleep(STARTUP_S)

    async def play(self, with_faults: bool) -> None:
        """Play a history with clients and, if wanted, random faults; check the recovery at the end."""
        await self.start()
        clients = [Operator(self, "one").run(), Operator(self, "two").run(), Reader(self).run()]
        clients += [Backend(self, number).run() for number in range(2)]
        await asyncio.gather(*clients, *([self.faults.run(), self.closing.run()] if with_faults else []))
        await self._verify_recovery()

    async def play_calm(self) -> None:
        """Play a history with clients and without faults, from when all machines are in the chain."""
        await self.start()
        await asyncio.sleep(CATCH_UP_S)
        epoch = self.newest_epoch()
        clients = [Operator(self, "one").run(), Operator(self, "two").run(), Reader(self).run(), Backend(self, 0).run()]
        await asyncio.gather(*clients)
        self.checker.check_calm(epoch)
        self.checker.check_end()

    def newest_epoch(self) -> int:
        """Return the epoch of the newest view of a running node."""
        return max(machine.node.view.epoch for machine in self.machines if machine.node is not None)

    async def _check_forever(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.majority.observe(CHECK_INTERVAL_S)
            self.checker.check()

    async def _claim_forever(self) -> None:
        """Let machines at the head of the chain claim the leadership at random times."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, MAX_CLAIM_INTERVAL_S))
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
        """Check that the control plane answers after all faults, and has all acknowledged changes and no rejected one."""
        await asyncio.sleep(9.0)  # operations in progress end: a shutdown may take its grace period
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
            self.checker.record_violation("no read is answered after all faults")
            return
        await self._verify_change_accepted(end)
        self.checker.check_end()

    async def _verify_change_accepted(self, end: float) -> None:
        """Check that the control plane accepts a change again."""
        operator = Operator(self, "last")
        while self.loop.time() < end:
            await Reader(self).read()
            sent = operator.change(self.checker.assumed_version)
            self.checker.record_submission(sent)
            await operator.send_until_answered(sent)
            if sent.acknowledged_at >= 0:
                return
        self.checker.record_violation("no change is acknowledged after all faults")
