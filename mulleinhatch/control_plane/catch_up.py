"""Bring a node outside the chain up to date, so that it can join the chain."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mulleinhatch.control_plane.log_compaction import LogCompactor
from mulleinhatch.control_plane.node_status import NodeStatus
from mulleinhatch.control_plane.progress import ProgressCondition
from mulleinhatch.control_plane.snapshot_transfer import SnapshotFetcher
from mulleinhatch.replication.chain import Replica

RETRY_S = 0.1
COMPACTION_CHECK_S = 1.0  # replication compacts the log as it grows; this check retries after a failed write


class CatchUp:
    """Fetches a snapshot while this node is outside the chain, and compacts its log while it is inside.

    Args:
        progress: Notified when this node enters or leaves the chain.
        request_heartbeat: Called when this node has caught up, so that its peers learn of it at once.
    """

    def __init__(
        self,
        replica: Replica,
        status: NodeStatus,
        fetcher: SnapshotFetcher,
        compactor: LogCompactor,
        progress: ProgressCondition,
        request_heartbeat: Callable[[], None],
    ) -> None:
        self._replica, self._status, self._fetcher, self._compactor = replica, status, fetcher, compactor
        self._progress, self._request_heartbeat = progress, request_heartbeat

    async def run(self) -> None:
        """Check forever whether there is anything to fetch or to compact."""
        while True:
            if self._replica.position >= 0:
                await self._progress.wait_for(self._is_outside_chain, COMPACTION_CHECK_S)
            else:
                await asyncio.sleep(RETRY_S)
            if not self._is_outside_chain():
                await self._compact()
            elif self._replica.view.epoch and not self._status.has_chain_snapshot:
                await self._catch_up()

    def _is_outside_chain(self) -> bool:
        return self._replica.position < 0

    async def _compact(self) -> None:
        try:
            await self._compactor.compact()
        except OSError:
            pass  # the old file has the same content; the next check retries

    async def _catch_up(self) -> None:
        if not await self._fetcher.fetch():
            return
        # A view change may have added this node to the chain while the snapshot was written.
        self._status.has_chain_snapshot = self._replica.position < 0
        self._request_heartbeat()
