"""A core machine's replica at work: appends go to disk, then down the chain; the file is written anew when it is long."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mulleinhatch.control_plane.state_store import (
    REWRITE_AT,
    backends_record,
    commit_record,
    entry_records,
    log_complete_record,
)
from mulleinhatch.messages.cluster import AppendRequest, AppendResponse, Member
from mulleinhatch.replication.chain import UNREACHABLE_INDEX, LogWrite
from mulleinhatch.replication.state import CONFIGURATION_KINDS
from mulleinhatch.storage.records import Record, RecordKind

if TYPE_CHECKING:
    from mulleinhatch.control_plane.node import CoreNode

APPEND_S = 1.0
RETRY_S = 0.1
COMMIT_WAIT_S = 0.6  # how long an append's answer waits for the rest of the chain
LOOK_S = 0.5  # between two looks at a successor that has nothing to hear
ENTRIES_BEFORE_SNAPSHOT = 128


class ReplicatedLog:
    """Carries out what `node.replica` decides; `lock` is held while entries go to disk."""

    def __init__(self, node: CoreNode) -> None:
        self._node = node
        self.lock = asyncio.Lock()
        self.rewrite_due = False  # the file is to be written anew at the next look

    async def write(self, write: LogWrite) -> None:
        """Makes a write last, and counts it. The lock is held. OSError where the disk refuses: nothing counts then."""
        node, records = self._node, []
        if write.snapshot is not None:
            records.append(Record(RecordKind.SNAPSHOT, bytes(write.snapshot)))
        records += entry_records(write.entries)
        if records:
            records.append(commit_record(node.replica.committed))
            await node.state_store.append(records)
        node.replica.on_persisted(write)
        if write.snapshot is not None:
            node.state.restore(write.snapshot)
            node.mark_departed_backends()
        self.apply()

    async def propose(self, kind: int, body: bytes, digest: str, epoch: int) -> int:
        """Appends an entry at the head; its index, 0 where we do not lead in `epoch` any more. The lock is held."""
        replica = self._node.replica
        if not replica.is_head or epoch != self._node.view.epoch:
            return 0
        write = replica.propose(kind, body, digest)
        await self.write(write)
        self._node.notify_progress()
        return write.entries[0].index

    def apply(self) -> None:
        """Applies what is committed."""
        node = self._node
        before = node.state.index
        while node.state.index < node.replica.committed:
            node.state.apply(node.replica.entry_at(node.state.index + 1))
        if node.state.index != before:
            node.mark_departed_backends()
            node.publish_change()

    def change_pending(self) -> bool:
        """Whether a change of the configuration is written here and not committed yet."""
        replica = self._node.replica
        return any(entry.kind in CONFIGURATION_KINDS for entry in replica.entries[replica.committed - replica.base.index :])

    # From the predecessor.

    async def on_append(self, request: AppendRequest) -> AppendResponse:
        node = self._node
        if request.epoch > node.view.epoch:
            return node.replica.build_response(False)
        async with self.lock:
            write = node.replica.on_append(request)
            if write is None:
                return node.replica.build_response(False)
            await self.write(write)
            if request.epoch != node.view.epoch:
                return node.replica.build_response(False)
            await self._mark_log_complete(request)
            if request.epoch != node.view.epoch:
                return node.replica.build_response(False)
            node.replica.on_append_persisted(request)
            self.apply()
        node.notify_progress()
        last = node.replica.last_index
        await node.wait_for(lambda: node.replica.committed >= last or request.epoch != node.view.epoch, COMMIT_WAIT_S)
        return node.replica.build_response(request.epoch == node.view.epoch)

    async def _mark_log_complete(self, request: AppendRequest) -> None:
        """The append that brings all that our predecessor holds: that we are settled is on disk before it counts."""
        replica = self._node.replica
        if not replica.log_complete and replica.last_index >= request.sender_last:
            await self._node.state_store.append([log_complete_record(True)])

    # To the successor.

    async def supply_forever(self) -> None:
        """Keeps the successor supplied with what it lacks."""
        node = self._node
        while True:
            successor, epoch = node.replica.successor, node.view.epoch
            if successor is None:
                await node.wait_for_progress(1.0)
                continue
            try:
                await self._supply(successor, epoch)
            except OSError:
                node.http_client.forget(successor.internal_address)
                await node.wait_for_progress(RETRY_S)

    async def _supply(self, successor: Member, epoch: int) -> None:
        """Sends appends until the view changes; CallFailed where the successor is out of reach."""
        node, replica = self._node, self._node.replica
        held, told, log_complete = replica.last_index, -1, False
        while epoch == node.view.epoch:
            known = 0 <= told >= replica.committed and held >= replica.last_index and log_complete is replica.log_complete
            if known and replica.committed >= replica.last_index:
                await node.wait_for_progress(LOOK_S)
                if self._fell_back(successor):
                    told = -1
                continue
            request = replica.build_append(held)
            answer = await node.call(successor.internal_address, "append", request, AppendResponse(), APPEND_S + COMMIT_WAIT_S)
            if answer.newest.epoch > node.view.epoch:
                await node.learn_view(answer.newest)
                return
            if epoch != node.view.epoch:
                return
            if not answer.accepted:
                held = min(answer.last_index, replica.last_index)
                await node.wait_for_progress(RETRY_S / 4)
                continue
            held, told = min(answer.last_index, replica.last_index), request.committed
            log_complete = request.sender_last != UNREACHABLE_INDEX
            if answer.committed > replica.committed:
                replica.commit_to(answer.committed)
                self.apply()
            elif replica.committed < replica.last_index:
                await node.wait_for_progress(RETRY_S)  # the rest of the chain took longer than the answer waits: asked again
            await self.compact()

    def _fell_back(self, successor: Member) -> bool:
        """Whether the successor says that it knows less of what is committed than it was told: it started anew."""
        peer = self._node.peers.by_identity.get(successor.identity)
        return peer is not None and peer.epoch == self._node.view.epoch and peer.committed < self._node.replica.committed

    # The file.

    async def compact(self) -> None:
        """Takes a new snapshot, and writes the file anew, when they got long."""
        node = self._node
        behind = node.state.index - node.replica.base.index
        if behind < ENTRIES_BEFORE_SNAPSHOT and node.state_store.size < REWRITE_AT and not self.rewrite_due:
            return
        async with self.lock:
            kept = node.replica.compact(node.state.snapshot())
            records = [
                Record(RecordKind.IDENTITY, node.member.identity.encode()),
                Record(RecordKind.SNAPSHOT, bytes(node.replica.base)),
                *entry_records(kept),
                commit_record(node.replica.committed),
            ]
            async with node.view_changer.lock:
                records += node.view_changer.records()
                records.append(backends_record(node.registry.present_backends()))
                await node.state_store.rewrite(records)
        self.rewrite_due = False
