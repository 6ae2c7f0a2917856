"""The replicated log of one node: entries are written to disk before they count, and applied once committed."""

from __future__ import annotations

import asyncio
from typing import Protocol

from mulleinhatch.control_plane.progress import ProgressCondition
from mulleinhatch.control_plane.state_store import StateStore, commit_record, entry_records, log_complete_record
from mulleinhatch.messages.cluster import AppendRequest, AppendResponse
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.replication.chain import LogWrite, Replica
from mulleinhatch.replication.state import CONFIGURATION_KINDS, ControlState
from mulleinhatch.steps import Steps
from mulleinhatch.storage.records import Record, RecordKind

COMMIT_WAIT_S = 0.25  # how long the response to an append waits for the commit by the rest of the chain


class StateListener(Protocol):
    """Reacts to changes of the replicated state."""

    def on_snapshot_installed(self) -> None:
        """Handle that a snapshot replaced the state; entries after it may be applied next."""

    def on_entries_applied(self) -> None:
        """Handle that committed entries were applied."""


class ReplicatedLog:
    """Does the I/O for the pure `Replica`: writes to disk, and applies committed entries to the state.

    Attributes:
        replica: The log and this node's position in the chain.
        state: The state that results from the committed entries.
        progress: Notified when entries are written or committed.
        lock: Held while entries are written.
    """

    def __init__(
        self,
        replica: Replica,
        state: ControlState,
        state_store: StateStore,
        progress: ProgressCondition,
        listener: StateListener,
        slicer: TimeSlicer,
    ) -> None:
        self.replica, self.state, self.progress = replica, state, progress
        self._state_store, self._listener, self._slicer = state_store, listener, slicer
        self.lock = asyncio.Lock()

    async def write(self, write: LogWrite) -> None:
        """Make a write durable, then apply it to the replica. The caller holds the lock.

        Raises:
            OSError: The disk write failed; it has no effect on the log.
        """
        records = []
        if write.snapshot is not None:
            await self._prepare(self.state.parsed_bodies.read_steps(write.snapshot.configuration))
            records.append(Record(RecordKind.SNAPSHOT, bytes(write.snapshot)))
        records += entry_records(write.entries)
        if records:
            records.append(commit_record(self.replica.committed))
            await self._state_store.append(records)
        self.replica.on_persisted(write)
        if write.snapshot is not None:
            self.state.restore(write.snapshot)
            self._listener.on_snapshot_installed()
        self.apply()

    async def propose(self, kind: int, body: bytes, digest: str, epoch: int) -> int:
        """Append an entry at the head of the chain. The caller holds the lock.

        Returns:
            The entry's index, 0 where this node is not the head in `epoch` any more.

        Raises:
            OSError: The entry could not be written to disk.
        """
        if not self.replica.is_head or epoch != self.replica.view.epoch:
            return 0
        write = self.replica.propose(kind, body, digest)
        await self.write(write)
        self.progress.notify_progress()
        return write.entries[0].index

    def apply(self) -> None:
        """Apply committed entries to the state."""
        applied_before = self.state.index
        while self.state.index < self.replica.committed:
            self.state.apply(self.replica.entry_at(self.state.index + 1))
        if self.state.index != applied_before:
            self._listener.on_entries_applied()

    def has_pending_change(self) -> bool:
        """Return whether the log has a change of the configuration that is not committed yet."""
        replica = self.replica
        return any(entry.kind in CONFIGURATION_KINDS for entry in replica.entries[replica.committed - replica.base.index :])

    async def on_append(self, request: AppendRequest) -> AppendResponse:
        """Write the entries that the predecessor in the chain sent, and wait up to `COMMIT_WAIT_S` until they are committed.

        The view can change while an entry is written: the request's epoch is compared after each await, so that entries of
        a former view never commit in the new one.
        """
        replica = self.replica
        if request.epoch > replica.view.epoch:
            return replica.build_response(False)
        async with self.lock:
            write = replica.on_append(request)
            if write is None:
                return replica.build_response(False)
            if replica.is_tail or request.committed > replica.last_index:  # they are applied as soon as they are on its disk
                await self._read_bodies(write)
            await self.write(write)
            if request.epoch != replica.view.epoch:
                return replica.build_response(False)
            await self._persist_log_complete(request)
            if request.epoch != replica.view.epoch:
                return replica.build_response(False)
            replica.on_append_persisted(request)
            self.apply()
        self.progress.notify_progress()
        await self._read_bodies(write)  # while the successor writes them
        last = replica.last_index
        await self.progress.wait_for(lambda: replica.committed >= last or request.epoch != replica.view.epoch, COMMIT_WAIT_S)
        return replica.build_response(request.epoch == replica.view.epoch)

    async def _read_bodies(self, write: LogWrite) -> None:
        for entry in write.entries:
            if entry.kind in CONFIGURATION_KINDS:
                await self._prepare(self.state.prepare_steps(entry))

    async def _prepare(self, steps: Steps[None]) -> None:
        """Prepare an entry or a snapshot in slices, so that it takes effect quickly."""
        await self._slicer.run("reading of a replicated configuration", steps)

    async def _persist_log_complete(self, request: AppendRequest) -> None:
        """Persist that the log is complete before it takes effect, if the append brings the last entry of the predecessor."""
        if not self.replica.log_complete and self.replica.last_index >= request.sender_last:
            await self._state_store.append([log_complete_record(True)])
