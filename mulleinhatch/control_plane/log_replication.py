"""Send the log down the chain: each replica sends its successor the entries that it lacks.

An append without a response is sent again after a short timeout, which doubles with each failure because the successor's disk
may be slow. Responses of a former view are not awaited.

Source: van Renesse and Schneider, "Chain Replication for Supporting High Throughput and Availability", OSDI 2004.
"""

from __future__ import annotations

import asyncio

from mulleinhatch.control_plane.internal_client import InternalClient
from mulleinhatch.control_plane.log_compaction import LogCompactor
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.control_plane.replicated_log import COMMIT_WAIT_S, ReplicatedLog
from mulleinhatch.control_plane.view_change import ViewChanger
from mulleinhatch.messages.cluster import AppendRequest, AppendResponse, Member
from mulleinhatch.replication.chain import UNREACHABLE_INDEX

# Added to COMMIT_WAIT_S: the minimum applies after each response, and is doubled after each failure up to the maximum.
MIN_APPEND_TIMEOUT_S = 0.25
MAX_APPEND_TIMEOUT_S = 1.35
RETRY_S = 0.1
IDLE_CHECK_S = 0.5  # interval of checks whether a successor that has all entries has restarted
NO_SUCCESSOR_WAIT_S = 1.0
UNKNOWN = -1


class LogReplicator:
    """Sends log entries to the successor in the chain."""

    def __init__(
        self,
        log: ReplicatedLog,
        peers: Peers,
        client: InternalClient,
        view_changer: ViewChanger,
        compactor: LogCompactor,
    ) -> None:
        self._log, self._peers, self._client = log, peers, client
        self._view_changer, self._compactor = view_changer, compactor
        self._append_timeout_s = MIN_APPEND_TIMEOUT_S
        self._awaited_append: asyncio.Timeout | None = None  # ends the wait for a response when the view changes

    def on_view_changed(self) -> None:
        """Stop waiting for the response to an append of the former view: it is ignored, and may never arrive."""
        timeout, self._awaited_append = self._awaited_append, None  # an expired timeout must not be rescheduled
        if timeout is not None:
            timeout.reschedule(asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Replicate to whichever node is the successor, until cancelled."""
        replica, progress = self._log.replica, self._log.progress
        while True:
            successor, epoch = replica.successor, replica.view.epoch
            if successor is None:
                await progress.wait_for_progress(NO_SUCCESSOR_WAIT_S)
                continue
            try:
                await self._replicate_to(successor, epoch)
            except OSError:
                self._client.forget(successor.internal_address)
                await progress.wait_for_progress(RETRY_S)

    async def _replicate_to(self, successor: Member, epoch: int) -> None:
        """Send appends until the view changes.

        Raises:
            OSError: The successor is unreachable, or a write to this node's disk failed.
        """
        replica, progress = self._log.replica, self._log.progress
        successor_last, successor_committed, log_complete_sent = replica.last_index, UNKNOWN, False
        while epoch == replica.view.epoch:
            is_up_to_date = (
                0 <= successor_committed >= replica.committed
                and successor_last >= replica.last_index
                and log_complete_sent is replica.log_complete
            )
            if is_up_to_date and replica.committed >= replica.last_index:
                await progress.wait_for_progress(IDLE_CHECK_S)
                if self._has_restarted(successor):
                    successor_committed = UNKNOWN
                continue
            request = replica.build_append(successor_last)
            response = await self._send(successor, request)
            if response is None:
                return
            if response.newest.epoch > replica.view.epoch:
                await self._view_changer.learn_view(response.newest)
                return
            if epoch != replica.view.epoch:
                return
            successor_last = min(response.last_index, replica.last_index)
            if not response.accepted:
                await progress.wait_for_progress(RETRY_S / 4)
                continue
            successor_committed = request.committed
            log_complete_sent = request.sender_last != UNREACHABLE_INDEX
            if response.committed > replica.committed:
                replica.commit_to(response.committed)
                self._log.apply()
            elif replica.committed < replica.last_index:
                # The rest of the chain took longer than the successor waited before its response: send another append.
                await progress.wait_for_progress(RETRY_S)
            await self._compactor.compact()

    async def _send(self, successor: Member, request: AppendRequest) -> AppendResponse | None:
        """Return the response to an append, None where the view changed while it was awaited.

        Raises:
            OSError: No response arrived in time.
        """
        timeout_s = self._append_timeout_s + COMMIT_WAIT_S
        self._append_timeout_s = min(2.0 * self._append_timeout_s, MAX_APPEND_TIMEOUT_S)
        try:
            async with asyncio.timeout(None) as self._awaited_append:
                response = await self._client.call(successor.internal_address, "append", request, AppendResponse, timeout_s)
        except TimeoutError:
            if request.epoch == self._log.replica.view.epoch:
                raise
            return None
        finally:
            self._awaited_append = None
        self._append_timeout_s = MIN_APPEND_TIMEOUT_S
        return response

    def _has_restarted(self, successor: Member) -> bool:
        """Return whether the successor reports a lower committed index than it was sent: it restarted from older state."""
        peer = self._peers.by_identity.get(successor.identity)
        if peer is None:
            return False
        return peer.epoch == self._log.replica.view.epoch and peer.committed < self._log.replica.committed
