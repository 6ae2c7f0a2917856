"""Replace a long log by a snapshot, and rewrite the state file with what is still needed."""

from __future__ import annotations

from mulleinhatch.control_plane.registry import BackendRegistry
from mulleinhatch.control_plane.replicated_log import ReplicatedLog
from mulleinhatch.control_plane.state_store import (
    REWRITE_THRESHOLD_BYTES,
    StateStore,
    backends_record,
    commit_record,
    entry_records,
)
from mulleinhatch.control_plane.view_change import ViewChanger
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.storage.records import Record, RecordKind

ENTRIES_BEFORE_SNAPSHOT = 128


class LogCompactor:
    """Compacts the log when it has many entries or the state file is large.

    Attributes:
        rewrite_due: Whether the next call of `compact` rewrites the file regardless of its size.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        state_store: StateStore,
        view_changer: ViewChanger,
        registry: BackendRegistry,
        slicer: TimeSlicer,
    ) -> None:
        self._log, self._state_store, self._view_changer, self._registry = log, state_store, view_changer, registry
        self._slicer = slicer
        self.rewrite_due = False

    def _is_due(self) -> bool:
        applied = self._log.state.index - self._log.replica.base.index
        return applied >= ENTRIES_BEFORE_SNAPSHOT or self._state_store.size >= REWRITE_THRESHOLD_BYTES or self.rewrite_due

    async def compact(self) -> None:
        """Take a snapshot and rewrite the file, if the log or the file has grown long.

        Raises:
            OSError: The new file could not be written; the old one stays in use.
        """
        if not self._is_due():
            return
        replica = self._log.replica
        # Before the lock is taken: entries are written while a large state is encoded.
        snapshot = await self._slicer.run("encoding of a snapshot for the disk", self._log.state.snapshot_steps())
        async with self._log.lock:
            if not self._is_due() or not replica.base.index <= snapshot.index <= replica.committed:
                return  # meanwhile the log was compacted, or another snapshot was installed
            remaining = replica.compact(snapshot)
            records = [
                Record(RecordKind.IDENTITY, replica.identity.encode()),
                Record(RecordKind.SNAPSHOT, bytes(replica.base)),
                *entry_records(remaining),
                commit_record(replica.committed),
            ]
            # A vote that is written while the file is replaced would be lost with the old file.
            async with self._view_changer.lock:
                records += self._view_changer.records()
                records.append(backends_record(self._registry.present_backends()))
                await self._state_store.rewrite(records)
        self.rewrite_due = False
