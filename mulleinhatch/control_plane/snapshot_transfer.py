"""Transfer a snapshot of the replicated state from the chain to a node outside it."""

from __future__ import annotations

import logging
from collections.abc import Callable

from mulleinhatch.control_plane.internal_client import InternalClient
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.control_plane.replicated_log import ReplicatedLog
from mulleinhatch.control_plane.view_change import ViewChanger
from mulleinhatch.messages.cluster import Member, SnapshotRequest, SnapshotResponse
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.replication.chain import LogWrite, Replica
from mulleinhatch.replication.state import ControlState

LOG = logging.getLogger(__name__)
SNAPSHOT_TIMEOUT_S = 1.0  # another replica can be tried afterwards


class SnapshotServer:
    """Serves snapshots of this replica's state."""

    def __init__(self, replica: Replica, state: ControlState, slicer: TimeSlicer) -> None:
        self._replica, self._state, self._slicer = replica, state, slicer

    async def on_snapshot(self, request: SnapshotRequest) -> SnapshotResponse:
        """Return a snapshot, if this node is a replica of the chain in the epoch of the request and its log is complete.

        The snapshot may lack entries that were acknowledged: after a power loss, a replica whose successor's disk is gone
        can't tell which of its entries are committed, and waiting for the lost successor would never end. The joining node
        gets these entries from its predecessor in the next view, and does not count as current before it knows that they are
        committed. A joining node of an earlier version would count as current at once, so only a current replica serves it.
        """
        if not self._may_serve(request):
            return SnapshotResponse(available=False, newest=self._replica.view)
        snapshot = await self._slicer.run("encoding of a snapshot for a peer", self._state.snapshot_steps())
        if not self._may_serve(request):  # the view changed meanwhile
            return SnapshotResponse(available=False, newest=self._replica.view)
        return SnapshotResponse(available=True, newest=self._replica.view, snapshot=snapshot)

    def _may_serve(self, request: SnapshotRequest) -> bool:
        replica = self._replica
        is_sufficient = replica.is_current or (replica.log_complete and request.awaits_commit)
        return request.epoch == replica.view.epoch and replica.position >= 0 and is_sufficient


class SnapshotFetcher:
    """Fetches a snapshot from a replica of the chain and installs it."""

    def __init__(
        self,
        clock: Callable[[], float],
        peers: Peers,
        client: InternalClient,
        view_changer: ViewChanger,
        log: ReplicatedLog,
    ) -> None:
        self._clock, self._peers, self._client, self._view_changer, self._log = clock, peers, client, view_changer, log

    async def fetch(self) -> bool:
        """Install a snapshot from the first replica that has one, starting at the tail.

        Returns:
            Whether a snapshot was installed.
        """
        for member in reversed(self._log.replica.view.chain):
            if not self._peers.is_alive(member.identity, self._clock()):
                continue  # the call to an unreachable node would take the whole timeout
            try:
                if await self._fetch_from(member):
                    return True
            except OSError:
                continue
        return False

    async def _fetch_from(self, member: Member) -> bool:
        replica, epoch = self._log.replica, self._log.replica.view.epoch
        request = SnapshotRequest(epoch=epoch, awaits_commit=True)
        response = await self._client.call(member.internal_address, "snapshot", request, SnapshotResponse, SNAPSHOT_TIMEOUT_S)
        await self._view_changer.learn_view(response.newest)
        if not response.available or replica.view.epoch != epoch:
            return False
        async with self._log.lock:
            # A view change may have added this node to the chain while the lock was awaited; its log is newer then.
            if replica.position >= 0 or replica.view.epoch != epoch:
                return False
            await self._log.write(LogWrite(snapshot=response.snapshot, truncate_to=0))
        LOG.info("installed a snapshot; ready to join the chain", extra={"index": replica.last_index, "view_epoch": epoch})
        return True
