"""One replica's log of entries and its place in the chain of the view in force.

A replica appends what its predecessor sends, in order, and passes on what its successor lacks; what the tail holds
is committed.
An append counts once the caller has synced it: `append` and `on_append` return what is to be written, `on_persisted` tells
that it lasts.

| event | in the view's epoch | otherwise |
| --- | --- | --- |
| append from the predecessor | entries behind our last are taken, others are known already | refused, with our newest view |
| gap before the entries | refused with our last index; the predecessor sends from there, or a snapshot | refused |
| view changes | committed stays; at the tail all that is successor_last_index is committed | |
"""

from __future__ import annotations

from dataclasses import dataclass

from mulleinhatch.consensus.paxos import identities
from mulleinhatch.messages.cluster import AppendRequest, AppendResponse, Entry, Member, Snapshot, View

MAX_ENTRIES_PER_APPEND = 64
# Sent as `sender_last` by a replica whose own log may be incomplete: no receiver reaches it, so none considers its log complete.
UNREACHABLE_INDEX = 2**63


@dataclass(frozen=True)
class LogWrite:
    """What must last before the answer: entries, or a snapshot that replaces all before it."""

    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    truncate_to: int | None = None


class Replica:
    """The log of one core machine. Indexes count entries from 1; `last_index` is the newest that is synced here."""

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.view = View()
        self.base = Snapshot()
        self.entries: list[Entry] = []
        self.committed = 0
        self.log_complete = False
        # Each entry that was on disk when the process started may have been acknowledged before.
        self._last_index_at_start = 0

    # State.

    @property
    def last_index(self) -> int:
        """Index of the last entry that is persisted here."""
        return self.base.index + len(self.entries)

    @property
    def is_current(self) -> bool:
        """Whether what is committed here shows all that was acknowledged in this view so far, or before it."""
        return self.log_complete and self.committed >= min(self._last_index_at_start, self.last_index)

    @property
    def position(self) -> int:
        """Place in the chain, -1 outside it."""
        chain = identities(self.view.chain)
        return chain.index(self.identity) if self.identity in chain else -1

    @property
    def is_head(self) -> bool:
        """Whether this replica is the first of the chain."""
        return self.position == 0

    @property
    def is_tail(self) -> bool:
        """Whether this replica is the last of the chain."""
        return self.position >= 0 and self.position == len(self.view.chain) - 1

    @property
    def predecessor(self) -> Member | None:
        """The replica that sends appends to this one."""
        return self.view.chain[self.position - 1] if self.position > 0 else None

    @property
    def successor(self) -> Member | None:
        """The replica to which this one sends appends."""
        return self.view.chain[self.position + 1] if self.position >= 0 and not self.is_tail else None

    def entry_at(self, index: int) -> Entry:
        """Return the entry with an index after `base`."""
        return self.entries[index - self.base.index - 1]

    # Start and view changes.

    def restore(self, view: View, snapshot: Snapshot, entries: list[Entry], committed: int, log_complete: bool) -> None:
        """What the disk holds."""
        self.view, self.base, self.entries = view, snapshot, entries
        self.log_complete = log_complete and self.position >= 0
        self.committed = max(snapshot.index, min(committed, self.last_index))
        self._last_index_at_start = self.last_index

    def bootstrap(self) -> None:
        """The first view of a first start: nothing was committed before it."""
        self.log_complete = self.position >= 0

    def adopt_view(self, view: View) -> None:
        """A decided view takes force. Who stays in the chain stays settled: all that is committed has its acknowledgement. Who
        joins is settled once it holds what its predecessor held; who is outside is not."""
        was_inside = self.position >= 0
        self.view = view
        if self.position < 0 or not was_inside:
            self.log_complete = False
            self._last_index_at_start = 0
        self._commit_at_tail()

    # Writes.

    def propose(self, kind: int, body: bytes, digest: str) -> LogWrite:
        """A new entry at the head, to be written and then told by `on_persisted`."""
        entry = Entry(index=self.last_index + 1, epoch=self.view.epoch, kind=kind, body=body, digest=digest)
        return LogWrite(entries=(entry,))

    def on_append(self, request: AppendRequest) -> LogWrite | None:
        """What an append from the predecessor asks to be written; None where it is refused. An empty write is taken, too."""
        predecessor = self.predecessor
        if request.epoch != self.view.epoch or predecessor is None or predecessor.identity != request.sender:
            return None
        if request.snapshot.index > self.last_index:
            return LogWrite(snapshot=request.snapshot, entries=tuple(request.entries))
        if request.previous_index > self.last_index:
            return None
        return self._new_entries(request.entries)

    def _new_entries(self, entries: list[Entry]) -> LogWrite:
        """Return the entries that are not here yet; an entry of another epoch at the same index truncates the log there."""
        new_entries = []
        truncate_to = None
        for entry in entries:
            if entry.index <= self.base.index:
                continue
            if entry.index <= self.last_index and truncate_to is None:
                if self.entry_at(entry.index).epoch == entry.epoch:
                    continue
                truncate_to = entry.index - 1
            new_entries.append(entry)
        return LogWrite(entries=tuple(new_entries), truncate_to=truncate_to)

    def on_persisted(self, write: LogWrite) -> None:
        """A write lasts on this disk."""
        if write.snapshot is not None:
            self._install(write.snapshot, is_truncated=write.truncate_to is not None)
        elif write.truncate_to is not None:
            del self.entries[max(0, write.truncate_to - self.base.index) :]
        for entry in write.entries:
            if entry.index == self.last_index + 1:
                self.entries.append(entry)
        self._commit_at_tail()

    def _install(self, snapshot: Snapshot, is_truncated: bool) -> None:
        self.base, self.entries = snapshot, []
        self.committed = snapshot.index if is_truncated else max(self.committed, snapshot.index)

    def on_append_persisted(self, request: AppendRequest) -> None:
        """After the write of `on_append` lasts: the sender had `committed` entries committed."""
        self.log_complete = self.log_complete or self.last_index >= request.sender_last
        self.commit_to(request.committed)
        self._commit_at_tail()

    def commit_to(self, index: int) -> None:
        """Raise the committed index, to the last entry here at most."""
        self.committed = max(self.committed, min(index, self.last_index))

    def _commit_at_tail(self) -> None:
        if self.is_tail and self.log_complete:
            self.committed = self.last_index

    # Messages.

    def build_response(self, accepted: bool) -> AppendResponse:
        """Return the response to an append."""
        return AppendResponse(accepted=accepted, last_index=self.last_index, committed=self.committed, newest=self.view)

    def build_append(self, successor_last_index: int) -> AppendRequest:
        """What the successor lacks, which holds entries up to `successor_last_index`."""
        snapshot = Snapshot()
        if successor_last_index < self.base.index:
            snapshot, successor_last_index = self.base, self.base.index
        first = min(max(0, successor_last_index - self.base.index), len(self.entries))
        return AppendRequest(
            epoch=self.view.epoch,
            sender=self.identity,
            previous_index=self.base.index + first,
            entries=self.entries[first : first + MAX_ENTRIES_PER_APPEND],
            snapshot=snapshot,
            committed=self.committed,
            sender_last=self.last_index if self.log_complete else UNREACHABLE_INDEX,
        )

    def compact(self, snapshot: Snapshot) -> list[Entry]:
        """Takes a snapshot of the committed state as the new base; the entries that stay behind it."""
        remaining = self.entries[snapshot.index - self.base.index :]
        self.base, self.entries = snapshot, remaining
        return remaining
