"""A core machine's replica at work: appends go to disk, then down the chain; the file is written anew when it is long."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mulleinhatch.control_plane.state_store import REWRITE_AT, backends_record, commit_record, entry_records, settled_record
from mulleinhatch.messages.cluster import AppendRequest, AppendResponse, Member
from mulleinhatch.replication.chain import NEVER, Write
from mulleinhatch.replication.state import CHANGES
from mulleinhatch.storage.records import Record, RecordKind

if TYPE_CHECKING:
    from mulleinhatch.control_plane.node import CoreNode

APPEND_S = 1.0
RETRY_S = 0.1
COMMIT_WAIT_S = 0.6  # how long an append's answer waits for the rest of the chain
LOOK_S = 0.5  # between two looks at a successor that has nothing to hear
ENTRIES_BEFORE_SNAPSHOT = 128


class ReplicatedLog:
    """Carries out what `core.replica` decides; `lock` is held while entries go to disk."""

    def __init__(self, core: CoreNode) -> None:
        self._core = core
        self.lock = asyncio.Lock()
        self.rewrite_due = False  # the file is to be written anew at the next look

    async def write(self, write: Write) -> None:
        """Makes a write last, and counts it. The lock is held. OSError where the disk refuses: nothing counts then."""
        core, records = self._core, []
        if write.snapshot is not None:
            records.append(Record(RecordKind.SNAPSHOT, bytes(write.snapshot)))
        records += entry_records(write.entries)
        if records:
            records.append(commit_record(core.replica.committed))
            await core.disk.append(records)
        core.replica.written(write)
        if write.snapshot is not None:
            core.state.restore(write.snapshot)
            core.backends_left()
        self.apply()

    async def propose(self, kind: int, body: bytes, digest: str, epoch: int) -> int:
        """Appends an entry at the head; its index, 0 where we do not lead in `epoch` any more. The lock is held."""
        replica = self._core.replica
        if not replica.is_head or epoch != self._core.view.epoch:
            return 0
        write = replica.propose(kind, body, digest)
        await self.write(write)
        self._core.wake()
        return write.entries[0].index

    def apply(self) -> None:
        """Applies what is committed."""
        core = self._core
        before = core.state.index
        while core.state.index < core.replica.committed:
            core.state.apply(core.replica.entry(core.state.index + 1))
        if core.state.index != before:
            core.backends_left()
            core.changed()

    def change_pending(self) -> bool:
        """Whether a change of the configuration is written here and not committed yet."""
        replica = self._core.replica
        return any(entry.kind in CHANGES for entry in replica.entries[replica.committed - replica.base.index :])

    # From the predecessor.

    async def on_append(self, request: AppendRequest) -> AppendResponse:
        core = self._core
        if request.epoch > core.view.epoch:
            return core.replica.answer(False)
        async with self.lock:
            write = core.replica.receive(request)
            if write is None:
                return core.replica.answer(False)
            await self.write(write)
            if request.epoch != core.view.epoch:
                return core.replica.answer(False)
            await self._settle(request)
            if request.epoch != core.view.epoch:
                return core.replica.answer(False)
            core.replica.received(request)
            self.apply()
        core.wake()
        last = core.replica.last
        await core.until(lambda: core.replica.committed >= last or request.epoch != core.view.epoch, COMMIT_WAIT_S)
        return core.replica.answer(request.epoch == core.view.epoch)

    async def _settle(self, request: AppendRequest) -> None:
        """The append that brings all that our predecessor holds: that we are settled is on disk before it counts."""
        replica = self._core.replica
        if not replica.settled and replica.last >= request.sender_last:
            await self._core.disk.append([settled_record(True)])

    # To the successor.

    async def supply_forever(self) -> None:
        """Keeps the successor supplied with what it lacks."""
        core = self._core
        while True:
            successor, epoch = core.replica.successor, core.view.epoch
            if successor is None:
                await core.moved(1.0)
                continue
            try:
                await self._supply(successor, epoch)
            except OSError:
                core.caller.forget(successor.internal_address)
                await core.moved(RETRY_S)

    async def _supply(self, successor: Member, epoch: int) -> None:
        """Sends appends until the view changes; CallFailed where the successor is out of reach."""
        core, replica = self._core, self._core.replica
        held, told, settled = replica.last, -1, False
        while epoch == core.view.epoch:
            known = 0 <= told >= replica.committed and held >= replica.last and settled is replica.settled
            if known and replica.committed >= replica.last:
                await core.moved(LOOK_S)
                if self._fell_back(successor):
                    told = -1
                continue
            request = replica.append_for(held)
            answer = await core.ask(successor.internal_address, "append", request, AppendResponse(), APPEND_S + COMMIT_WAIT_S)
            if answer.newest.epoch > core.view.epoch:
                await core.learn(answer.newest)
                return
            if epoch != core.view.epoch:
                return
            if not answer.accepted:
                held = min(answer.last_index, replica.last)
                await core.moved(RETRY_S / 4)
                continue
            held, told = min(answer.last_index, replica.last), request.committed
            settled = request.sender_last != NEVER
            if answer.committed > replica.committed:
                replica.commit_to(answer.committed)
                self.apply()
            elif replica.committed < replica.last:
                await core.moved(RETRY_S)  # the rest of the chain took longer than the answer waits: asked again
            await self.compact()

    def _fell_back(self, successor: Member) -> bool:
        """Whether the successor says that it knows less of what is committed than it was told: it started anew."""
        peer = self._core.peers.by_identity.get(successor.identity)
        return peer is not None and peer.epoch == self._core.view.epoch and peer.committed < self._core.replica.committed

    # The file.

    async def compact(self) -> None:
        """Takes a new snapshot, and writes the file anew, when they got long."""
        core = self._core
        behind = core.state.index - core.replica.base.index
        if behind < ENTRIES_BEFORE_SNAPSHOT and core.disk.size < REWRITE_AT and not self.rewrite_due:
            return
        async with self.lock:
            kept = core.replica.compact(core.state.snapshot())
            records = [
                Record(RecordKind.IDENTITY, core.member.identity.encode()),
                Record(RecordKind.SNAPSHOT, bytes(core.replica.base)),
                *entry_records(kept),
                commit_record(core.replica.committed),
            ]
            async with core.votes.lock:
                records += core.votes.records()
                records.append(backends_record(core.registry.present()))
                await core.disk.rewrite(records)
        self.rewrite_due = False
