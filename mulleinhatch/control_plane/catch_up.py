"""A core machine outside the chain takes the chain's state, so that the chain may take it in."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from mulleinhatch.messages.cluster import Member, SnapshotRequest, SnapshotResponse
from mulleinhatch.replication.chain import Write

if TYPE_CHECKING:
    from mulleinhatch.control_plane.node import CoreNode

LOG = logging.getLogger(__name__)
RETRY_S = 0.1
SNAPSHOT_S = 1.0  # for the answer: some 100 KB at most, and another member can be asked


class CatchUp:
    """`done` tells that we hold a snapshot of the chain that was taken in the view in force."""

    def __init__(self, core: CoreNode) -> None:
        self._core = core
        self.done = False

    async def run(self) -> None:
        core = self._core
        while True:
            await asyncio.sleep(RETRY_S)
            if core.replica.position >= 0:
                await self._compact()
            elif core.view.epoch and not self.done:
                await self._from_any()

    async def _compact(self) -> None:
        try:
            await self._core.log.compact()
        except OSError:
            pass  # the file in force holds the same; tried again at the next look

    async def _from_any(self) -> None:
        core = self._core
        for member in reversed(core.view.chain):
            if not core.peers.alive(member.identity, core.clock()):
                continue  # one without power would be waited for
            try:
                if await self._from(member):
                    return
            except OSError:
                continue

    async def _from(self, member: Member) -> bool:
        core, epoch = self._core, self._core.view.epoch
        request = SnapshotRequest(epoch=epoch)
        answer = await core.ask(member.internal_address, "snapshot", request, SnapshotResponse(), SNAPSHOT_S)
        await core.learn(answer.newest)
        if not answer.available or core.view.epoch != epoch:
            return False
        async with core.log.lock:
            if core.replica.position >= 0 or core.view.epoch != epoch:
                return False
            await core.log.write(Write(snapshot=answer.snapshot, truncate_to=0))
            self.done = core.replica.position < 0
        LOG.info("caught up", extra={"index": core.replica.last, "epoch": epoch})
        core.beat_soon()
        return True

    async def on_snapshot(self, request: SnapshotRequest) -> SnapshotResponse:
        core = self._core
        available = request.epoch == core.view.epoch and core.replica.position >= 0 and core.replica.current
        answer = SnapshotResponse(available=available, newest=core.view)
        if available:
            answer.snapshot = core.state.snapshot()
        return answer
