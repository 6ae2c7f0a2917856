"""A core machine outside the chain takes the chain's state, so that the chain may take it in."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from mulleinhatch.messages.cluster import Member, SnapshotRequest, SnapshotResponse
from mulleinhatch.replication.chain import LogWrite

if TYPE_CHECKING:
    from mulleinhatch.control_plane.node import CoreNode

LOG = logging.getLogger(__name__)
RETRY_S = 0.1
SNAPSHOT_S = 1.0  # for the answer: some 100 KB at most, and another member can be asked


class CatchUp:
    """`done` tells that we hold a snapshot of the chain that was taken in the view in force."""

    def __init__(self, node: CoreNode) -> None:
        self._node = node
        self.done = False

    async def run(self) -> None:
        node = self._node
        while True:
            await asyncio.sleep(RETRY_S)
            if node.replica.position >= 0:
                await self._compact()
            elif node.view.epoch and not self.done:
                await self._from_any()

    async def _compact(self) -> None:
        try:
            await self._node.replicated_log.compact()
        except OSError:
            pass  # the file in force holds the same; tried again at the next look

    async def _from_any(self) -> None:
        node = self._node
        for member in reversed(node.view.chain):
            if not node.peers.is_alive(member.identity, node.clock()):
                continue  # one without power would be waited for
            try:
                if await self._from(member):
                    return
            except OSError:
                continue

    async def _from(self, member: Member) -> bool:
        node, epoch = self._node, self._node.view.epoch
        request = SnapshotRequest(epoch=epoch)
        answer = await node.call(member.internal_address, "snapshot", request, SnapshotResponse(), SNAPSHOT_S)
        await node.learn_view(answer.newest)
        if not answer.available or node.view.epoch != epoch:
            return False
        async with node.replicated_log.lock:
            if node.replica.position >= 0 or node.view.epoch != epoch:
                return False
            await node.replicated_log.write(LogWrite(snapshot=answer.snapshot, truncate_to=0))
            self.done = node.replica.position < 0
        LOG.info("caught up", extra={"index": node.replica.last_index, "epoch": epoch})
        node.request_heartbeat()
        return True

    async def on_snapshot(self, request: SnapshotRequest) -> SnapshotResponse:
        node = self._node
        available = request.epoch == node.view.epoch and node.replica.position >= 0 and node.replica.is_current
        answer = SnapshotResponse(available=available, newest=node.view)
        if available:
            answer.snapshot = node.state.snapshot()
        return answer
