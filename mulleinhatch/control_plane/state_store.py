"""The control plane's durable state: one journal, written by one thread so that the event loop never waits for the disk."""

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
REWRITE_THRESHOLD_BYTES = 4 << 20  # bytes from which the file is written anew, and at least twice what it would then hold
LOG_COMPLETE = b"\x01"
STALLED_S = 0.8  # a write that takes longer than this means that the disk is in trouble


@dataclass
class Restored:
    """What the disk held at start."""

    identity: str = ""
    voter: VoterState = field(default_factory=VoterState)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)
    committed: int = 0
    log_complete: bool = False
    backends: list[Backend] = field(default_factory=list)


def replay(records: list[Record]) -> Restored:
    """The state that a file of records makes."""
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
    return [Record(RecordKind.ENTRY, bytes(entry)) for entry in entries]


def log_complete_record(log_complete: bool) -> Record:
    return Record(RecordKind.LOG_COMPLETE, LOG_COMPLETE if log_complete else b"\x00")


def backends_record(backends: list[Backend]) -> Record:
    return Record(RecordKind.BACKENDS, bytes(Heartbeat(backends=backends)))


def commit_record(index: int) -> Record:
    return Record(RecordKind.COMMIT, index.to_bytes(8, "little"))


class StateStore:
    """Appends in the order of the calls. `stalled()` tells that the disk does not keep up or refuses writes."""

    def __init__(self, folder: str, clock: Callable[[], float], journal: AppendLog | None = None) -> None:
        self._journal = journal or AppendLog(folder)
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="disk")
        self._clock = clock
        self._begun: dict[int, float] = {}
        self._calls = 0
        self._failed = False

    def open(self, first_identity: str) -> Restored:
        """What the disk holds; an empty one gets `first_identity`, or a random one where that is empty."""
        restored = replay(self._journal.open())
        if not restored.identity:
            restored.identity = first_identity or uuid.uuid4().hex
            self._journal.append([Record(RecordKind.IDENTITY, restored.identity.encode())])
        return restored

    async def append(self, records: list[Record]) -> None:
        """Returns once the records last; OSError where the disk refuses."""
        await self._run(self._journal.append, records)

    async def rewrite(self, records: list[Record]) -> None:
        await self._run(self._journal.rewrite, records)

    async def _run(self, work: Callable[[list[Record]], None], records: list[Record]) -> None:
        self._calls += 1
        call = self._calls
        self._begun[call] = self._clock()
        try:
            await self._carry_out(work, records)
            self._failed = False
        except OSError as error:
            self._failed = True
            LOG.error("the disk refused a write; free space or replace the disk", extra={"error": str(error)})
            raise
        finally:
            del self._begun[call]

    async def _carry_out(self, work: Callable[[list[Record]], None], records: list[Record]) -> None:
        await asyncio.get_running_loop().run_in_executor(self._thread, work, records)

    def stalled(self) -> bool:
        now = self._clock()
        return self._failed or any(now - begun > STALLED_S for begun in self._begun.values())

    @property
    def failed(self) -> bool:
        """Whether the last write was refused."""
        return self._failed

    @property
    def size(self) -> int:
        return self._journal.size
