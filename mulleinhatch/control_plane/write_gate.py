"""The conditions under which the head of the chain accepts writes of operators, leaders and backends."""

from __future__ import annotations

import asyncio

from mulleinhatch.consensus.fault_tolerance import FaultTolerance
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.replication.chain import Replica


class WriteGate:
    """Admits writes at the head of a chain that keeps a replica after any tolerated loss.

    Attributes:
        change_lock: Held by one checked configuration change or leadership claim at a time, until it is committed.
    """

    def __init__(self, replica: Replica, peers: Peers, tolerance: FaultTolerance) -> None:
        self._replica, self._peers, self._tolerance = replica, peers, tolerance
        self.change_lock = asyncio.Lock()

    def can_accept_writes(self) -> bool:
        """Return whether this node is the head, has the complete log, and leads a chain that survives any tolerated loss."""
        return self._replica.is_head and self._replica.log_complete and self._keeps_replica()

    def _keeps_replica(self) -> bool:
        view = self._replica.view
        chain = [self._peers.latest_record(member) for member in view.chain]
        return self._tolerance.keeps_replica(chain, [*chain, *(self._peers.latest_record(member) for member in view.voters)])
