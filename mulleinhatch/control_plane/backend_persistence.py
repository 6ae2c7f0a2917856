"""Keep the list of backends on disk, to bridge the time after a restart until the backends' heartbeats arrive."""

from __future__ import annotations

import asyncio

from mulleinhatch.control_plane.registry import BackendRegistry
from mulleinhatch.control_plane.state_store import StateStore, backends_record, commit_record
from mulleinhatch.replication.chain import Replica

PERSIST_INTERVAL_S = 1.0
NOTHING_PERSISTED = -1


class BackendPersistence:
    """Writes the list of backends whenever the registry changed.

    After a failed write it writes again in each interval, to notice when the disk has recovered.
    """

    def __init__(self, registry: BackendRegistry, state_store: StateStore, replica: Replica) -> None:
        self._registry, self._state_store, self._replica = registry, state_store, replica
        self._persisted_cursor = NOTHING_PERSISTED

    async def run(self) -> None:
        """Check for changes forever."""
        self._persisted_cursor = NOTHING_PERSISTED
        while True:
            await asyncio.sleep(PERSIST_INTERVAL_S)
            try:
                await self._persist()
            except OSError:
                self._persisted_cursor = NOTHING_PERSISTED

    async def _persist(self) -> None:
        if self._registry.cursor != self._persisted_cursor:
            self._persisted_cursor = self._registry.cursor
            await self._state_store.append([backends_record(self._registry.present_backends())])
        elif self._state_store.failed:
            await self._state_store.append([commit_record(self._replica.committed)])
