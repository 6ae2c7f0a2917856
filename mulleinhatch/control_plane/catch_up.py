"""Bring a node outside the chain up to date, so that the chain may take it in."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mulleinhatch.control_plane.log_compaction import LogCompactor
from mulleinhatch.control_plane.node_status import NodeStatus
from mulleinhatch.control_plane.snapshot_transfer import SnapshotFetcher
from mulleinhatch.replication.chain import Replica

RETRY_S = 0.1


class CatchUp:
    """Fetches a snapshot while this node is outside the chain, and compacts its log while it is inside.

    Args:
        request_heartbeat: Called when this node has caught up, so that its peers learn of it at once.
    """

    def __init__(
        self,
        replica: Replica,
        status: NodeStatus,
        fetcher: SnapshotFetcher,
        compactor: LogCompactor,
        request_heartbeat: Callable[[], None],
    ) -> None:
        self._replica, self._status, self._fetcher, self._compactor = replica, status, fetcher, compactor
        self._request_heartbeat = request_heartbeat

    async def run(self) -> None:
        """Check forever whether there is anything to fetch or to compact."""
        while True:
            await asyncio.sleep(RETRY_S)
            if self._replica.position >= 0:
                await self._compact()
            elif self._replica.view.epoch and not self._status.has_chain_snapshot:
                await self._catch_up()

    async def _compact(self) -> None:
        try:
            await self._compactor.compact()
        except OSError:
            pass  # the former file has the same content; the next check tries again

    async def _catch_up(self) -> None:
        if not await self._fetcher.fetch():
            return
        # A view change may have taken this node into the chain while the snapshot was written.
        self._status.has_chain_snapshot = self._replica.position < 0
        self._request_heartbeat()
