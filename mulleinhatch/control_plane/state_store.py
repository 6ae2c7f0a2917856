"""The durable state of a control-plane node: one append log.

A thread of its own writes the log, so that the event loop never waits on the disk.
"""

from __future__ import annotations

import asyncio
import logging
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from mulleinhatch.messages.cluster import Backend, Entry, Heartbeat, Snapshot, VoterState
from mulleinhatch.storage.append_log import AppendLog
from mulleinhatch.storage.records import Record, RecordKind

LOG = logging.getLogger(__name__)
REWRITE_THRESHOLD_BYTES = 4 << 20  # the file is rewritten from this size on; at least twice its size after a rewrite
LOG_COMPLETE, LOG_INCOMPLETE = b"\x01", b"\x00"
STALL_THRESHOLD_S = 0.8  # a write that takes longer means that the disk does not keep up


@dataclass
class Restored:
    """The persisted state at the start of the process."""

    identity: str = ""
    voter: VoterState = field(default_factory=VoterState)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)
    committed: int = 0
    log_complete: bool = False
    backends: list[Backend] = field(default_factory=list)


def replay(records: list[Record]) -> Restored:
    """Return the state that results from applying the records of a file in order."""
    state = Restored()
    for record in records:
        if record.kind == RecordKind.IDENTITY:
            state.identity = record.body.decode()
        elif record.kind == RecordKind.VOTER:
            state.voter = VoterState().parse(record.body)
        elif record.kind == RecordKind.SNAPSHOT:
            state.snapshot, state.entries = Snapshot().parse(record.body), []
            state.committed = state.snapshot.index
        elif record.kind == RecordKind.ENTRY:
            entry = Entry().parse(record.body)
            del state.entries[max(0, entry.index - 1 - state.snapshot.index) :]
            state.entries.append(entry)
        elif record.kind == RecordKind.COMMIT:
            state.committed = int.from_bytes(record.body, "little")
        elif record.kind == RecordKind.LOG_COMPLETE:
            state.log_complete = record.body == LOG_COMPLETE
        elif record.kind == RecordKind.BACKENDS:
            state.backends = Heartbeat().parse(record.body).backends
    return state


def entry_records(entries: tuple[Entry, ...] | list[Entry]) -> list[Record]:
    """Return the records of log entries."""
    return [Record(RecordKind.ENTRY, bytes(entry)) for entry in entries]


def log_complete_record(log_complete: bool) -> Record:
    """Return the record of whether the log is known to hold all entries committed before the view in force."""
    return Record(RecordKind.LOG_COMPLETE, LOG_COMPLETE if log_complete else LOG_INCOMPLETE)


def backends_record(backends: list[Backend]) -> Record:
    """Return the record of the list of backends."""
    return Record(RecordKind.BACKENDS, bytes(Heartbeat(backends=backends)))


def commit_record(index: int) -> Record:
    """Return the record of the commit index."""
    return Record(RecordKind.COMMIT, index.to_bytes(8, "little"))


class StateStore:
    """Writes records durably, in the order of the calls.

    Args:
        directory: The directory of the append log.
        clock: The monotonic clock, in seconds.
        append_log: Used instead of an append log in `directory`.
    """

    def __init__(self, directory: str, clock: Callable[[], float], append_log: AppendLog | None = None) -> None:
        self._append_log = append_log or AppendLog(directory)
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="disk")
        self._clock = clock
        self._started_at: dict[int, float] = {}  # start of each write in progress, by its number
        self._writes = 0
        self._failed = False

    def open(self, first_identity: str) -> Restored:
        """Read the disk; blocks.

        Args:
            first_identity: The identity for an empty disk; a random one is generated where this is empty.

        Raises:
            OSError: The disk can't be read or written.
        """
        restored = replay(self._append_log.open())
        if not restored.identity:
            restored.identity = first_identity or uuid.uuid4().hex
            self._append_log.append([Record(RecordKind.IDENTITY, restored.identity.encode())])
        return restored

    async def append(self, records: list[Record]) -> None:
        """Append records; return once they are durable.

        Raises:
            OSError: The disk write failed.
        """
        await self._write(self._append_log.append, records)

    async def rewrite(self, records: list[Record]) -> None:
        """Replace the file by one with just these records; return once it is durable.

        Raises:
            OSError: The disk write failed.
        """
        await self._write(self._append_log.rewrite, records)

    async def _write(self, operation: Callable[[list[Record]], None], records: list[Record]) -> None:
        self._writes += 1
        number = self._writes
        self._started_at[number] = self._clock()
        try:
            await self._run_in_thread(operation, records)
            self._failed = False
        except OSError as error:
            self._failed = True
            LOG.error("the disk refused a write; free space or replace the disk", extra={"error": str(error)})
            raise
        finally:
            del self._started_at[number]

    async def _run_in_thread(self, operation: Callable[[list[Record]], None], records: list[Record]) -> None:
        await asyncio.get_running_loop().run_in_executor(self._thread, operation, records)

    def stalled(self) -> bool:
        """Return whether the last disk write failed, or a write in progress takes longer than `STALL_THRESHOLD_S`."""
        now = self._clock()
        return self._failed or any(now - started_at > STALL_THRESHOLD_S for started_at in self._started_at.values())

    @property
    def failed(self) -> bool:
        """Whether the last disk write failed."""
        return self._failed

    @property
    def size(self) -> int:
        """The size of the file in bytes."""
        return self._append_log.size
