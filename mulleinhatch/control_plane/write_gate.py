"""The conditions under which the head of the chain accepts writes of operators, leaders and backends."""

from __future__ import annotations

import asyncio

from mulleinhatch.replication.chain import Replica


class WriteGate:
    """Admits writes at the head of a chain that is long enough.

    Attributes:
        change_lock: Held by one configuration change or leadership claim at a time, from its check to its end.
    """

    def __init__(self, replica: Replica, machines_tolerated: int) -> None:
        self._replica, self._machines_tolerated = replica, machines_tolerated
        self.change_lock = asyncio.Lock()

    def can_accept_writes(self) -> bool:
        """Return whether this node is the head, has the complete log, and leads more replicas than may be lost at once."""
        is_long_enough = len(self._replica.view.chain) > self._machines_tolerated
        return self._replica.is_head and self._replica.log_complete and is_long_enough
