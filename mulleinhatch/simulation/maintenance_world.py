"""Maintenance in virtual time, on any world of gossip cores: real maintenance cores, simulated disks and clocks.

A machine that gets a permit goes out of service and restarts when its work is done. `InvariantBrokenError` is raised when more
machines are out by permit than the bound allows.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from mulleinhatch.instance.maintenance.core import MaintenanceBounds, MaintenanceCoordinator, MaintenanceState
from mulleinhatch.instance.maintenance.paxos_register import VoterState
from mulleinhatch.instance.maintenance.schedule import MaintenanceRequest
from mulleinhatch.simulation.gossip_world import GossipWorld, Node, Plan
from mulleinhatch.simulation.instance_world import InvariantBrokenError


class MaintenanceMixin:
    """Adds maintenance cores to a `GossipWorld`; it must precede the world in the list of bases."""

    def ready(self, most: int, voters: int, disks: bool, work_duration_s: float) -> None:
        """Set up the disks, permits and counters.

        Args:
            most: Machines that may be out of service at a time.
            voters: Number of voters.
            disks: Whether voters persist their state.
            work_duration_s: Seconds that the work on a machine takes.
        """
        self.disks: dict[str, VoterState | None] = {node.name: None for node in self.nodes}
        self.voters_have_disks, self.work_duration_s, self.most_out, self.most = disks, work_duration_s, 0, most
        self.permits = MaintenanceBounds(tuple(f"n{place}" for place in range(voters)), most, most, "z")
        self.cores: dict[str, MaintenanceCoordinator] = {}
        self.out_of_service: set[str] = set()  # machines that left by a permit and have not returned
        self.maintenance_counts: Counter[str] = Counter()
        self.maintenance_candidates: set[str] = set()
        self.unfit: set[str] = set()

    def start(self, node: Node) -> None:
        """Start the node with a maintenance core that loads its voter state from the disk."""
        if node.core:
            return
        super().start(node)
        self.out_of_service.discard(node.name)

        def persist(voter_state: VoterState) -> None:
            self.disks[node.name] = voter_state

        self.cores[node.name] = MaintenanceCoordinator(
            self.permits,
            node.core,
            node.incarnations * 100 + node.place,
            node.clock(self.now),
            self.disks[node.name] if self.voters_have_disks else None,
            persist if self.voters_have_disks else None,
        )

    def _send_heartbeat(self, node: Node, incarnation: int, again: bool = True) -> None:
        if node.core and node.incarnations == incarnation and not node.stalled:
            core = self.cores[node.name]
            if (
                node.name in self.maintenance_candidates
                and not self.maintenance_counts[node.name]
                and core.state is MaintenanceState.SERVING
            ):
                core.request_maintenance(MaintenanceRequest(node.name, "z", "kernel", self.work_duration_s, 0.0))
            self._send(node, core.tick(node.clock(self.now), self.now + node.offset, node.name not in self.unfit))
            self._check_permit(node)
        super()._send_heartbeat(node, incarnation, again)

    def _receive(self, node: Node, data: bytes) -> None:
        if node.core:
            super()._receive(node, data)
            self._send(node, self.cores[node.name].take_outgoing())
            self._check_permit(node)

    def _check_permit(self, node: Node) -> None:
        if self.cores[node.name].state is MaintenanceState.LEAVING and node.name not in self.out_of_service:
            self.maintenance_counts[node.name] += 1
            self.out_of_service.add(node.name)
            self.most_out = max(self.most_out, len(self.out_of_service))
            if len(self.out_of_service) > self.most:
                raise InvariantBrokenError(
                    f"at {self.now:.2f} {' and '.join(sorted(self.out_of_service))} are out, {self.most} may be"
                )
            self.go_out_of_service(node)

    def go_out_of_service(self, node: Node) -> None:
        """Stop the node and restart it when its work is done."""
        node.core = None
        self.at(self.now + self.work_duration_s, self.start, node)


class MaintenanceWorld(MaintenanceMixin, GossipWorld):
    """A gossip world whose machines request maintenance windows."""

    def __init__(
        self,
        count: int,
        script: str = "",
        most: int = 1,
        voters: int = 3,
        seed: int = 1,
        disks: bool = True,
        work_duration_s: float = 1.0,
    ) -> None:
        super().__init__(Plan(count, script, until=1e9, budgets=(), seed=seed))
        self.ready(most, voters, disks, work_duration_s)


def request_maintenance_of_all(world: Any) -> None:
    """Let every machine request a maintenance window at its next heartbeat."""
    world.maintenance_candidates = {node.name for node in world.nodes}
