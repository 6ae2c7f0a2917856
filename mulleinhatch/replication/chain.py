"""One replica's log and its position in the chain of the current view.

A replica appends the entries of its predecessor in order and sends its successor the entries that it lacks. Entries that the
tail has persisted are committed. The replica itself does no I/O: `propose` and `on_append` return a `LogWrite`, the caller
persists it and then calls `on_persisted`; only then are the entries part of the log.
"""

from __future__ import annotations

from dataclasses import dataclass

from mulleinhatch.consensus.paxos import identities
from mulleinhatch.messages.cluster import AppendRequest, AppendResponse, Entry, Member, Snapshot, View

MAX_ENTRIES_PER_APPEND = 64
# Sent as `sender_last` by a replica whose log may be incomplete: no log reaches this index, so no receiver's becomes complete.
UNREACHABLE_INDEX = 2**63


@dataclass(frozen=True)
class LogWrite:
    """Effect: what the caller must persist before it responds. An empty write needs no I/O.

    Attributes:
        entries: Entries to append.
        snapshot: Replaces the log and every entry in it.
        truncate_to: Entries above this index are removed first; they were never committed.
    """

    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    truncate_to: int | None = None


class Replica:
    """The log of one control-plane node. Indexes count entries from 1.

    | event | in the view's epoch | in another epoch |
    | --- | --- | --- |
    | `on_append`, entries follow the last index or overlap it | write the missing entries | reject, with this replica's view |
    | `on_append`, a gap before the entries | reject, with the last index: the predecessor resends from there | reject |
    | `on_append`, a snapshot beyond the last index | write the snapshot and the entries after it | reject |
    | `on_persisted` | add the entries to the log; at the tail, commit them | the same: the write is on disk |
    | `adopt_view` | committed entries stay; a tail with a complete log commits its whole log | |

    Attributes:
        identity: The identity of the node's disk.
        view: The current view.
        base: Snapshot of the state before `entries`.
        entries: Entries after `base`, without gaps.
        committed: Index of the last committed entry known here.
        log_complete: Whether the log is known to hold every entry that was committed before the current view.
    """

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.view = View()
        self.base = Snapshot()
        self.entries: list[Entry] = []
        self.committed = 0
        self.log_complete = False
        # Entries up to this index may have been acknowledged although this replica does not know that they are committed:
        # entries on disk when the process started, and entries that a joining replica received from its predecessor's log.
        self._last_unknown_index = 0

    # State.

    @property
    def last_index(self) -> int:
        """Index of the last entry that is persisted here."""
        return self.base.index + len(self.entries)

    @property
    def is_current(self) -> bool:
        """Whether the committed entries here include every write acknowledged so far, in this view or before it."""
        return self.log_complete and self.committed >= min(self._last_unknown_index, self.last_index)

    @property
    def position(self) -> int:
        """Position in the chain counted from the head, -1 outside it."""
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
        """Restore the state that the disk holds."""
        self.view, self.base, self.entries = view, snapshot, entries
        self.log_complete = log_complete and self.position >= 0
        self.committed = max(snapshot.index, min(committed, self.last_index))
        self._last_unknown_index = self.last_index

    def bootstrap(self) -> None:
        """Mark the log complete in the first view of a first start: nothing was committed before it."""
        self.log_complete = self.position >= 0

    def adopt_view(self, view: View) -> None:
        """Switch to a decided view.

        A replica that stays in the chain keeps `log_complete`: it has persisted every committed entry. The log of a joining
        replica becomes complete once it holds every entry of its predecessor; outside the chain a log is never complete.
        """
        was_inside = self.position >= 0
        self.view = view
        if self.position < 0 or not was_inside:
            self.log_complete = False
            self._last_unknown_index = 0
        self._commit_at_tail()

    # Writes.

    def propose(self, kind: int, body: bytes, digest: str) -> LogWrite:
        """Return the write of a new entry at the head; the caller persists it and calls `on_persisted`."""
        entry = Entry(index=self.last_index + 1, epoch=self.view.epoch, kind=kind, body=body, digest=digest)
        return LogWrite(entries=(entry,))

    def on_append(self, request: AppendRequest) -> LogWrite | None:
        """Check an append from the predecessor.

        Returns:
            The write to persist, which may be empty; None where the append is rejected.
        """
        predecessor = self.predecessor
        if request.epoch != self.view.epoch or predecessor is None or predecessor.identity != request.sender:
            return None
        if request.snapshot.index > self.last_index:
            return LogWrite(snapshot=request.snapshot, entries=tuple(request.entries))
        if request.previous_index > self.last_index:
            return None
        return self._new_entries(request.entries)

    def _new_entries(self, entries: list[Entry]) -> LogWrite:
        """Return the missing entries; an entry of another epoch at the same index truncates the log there."""
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
        """Update the log with a write that is on this node's disk."""
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
        """Adopt the predecessor's committed index, after the write that `on_append` returned is persisted."""
        if not self.log_complete and self.last_index >= request.sender_last:
            self.log_complete = True
            # The sender may not know either which of its entries were acknowledged: after a power loss, this may have been
            # known only to a replica whose disk is lost. This replica is current once the tail has committed them all.
            self._last_unknown_index = max(self._last_unknown_index, request.sender_last)
        self.commit_to(request.committed)
        self._commit_at_tail()

    def commit_to(self, index: int) -> None:
        """Raise the committed index, at most to the last entry of this log."""
        self.committed = max(self.committed, min(index, self.last_index))

    def _commit_at_tail(self) -> None:
        if self.is_tail and self.log_complete:
            self.committed = self.last_index

    # Messages.

    def build_response(self, accepted: bool) -> AppendResponse:
        """Return the response to an append."""
        return AppendResponse(accepted=accepted, last_index=self.last_index, committed=self.committed, newest=self.view)

    def build_append(self, successor_last_index: int) -> AppendRequest:
        """Return an append with up to MAX_ENTRIES_PER_APPEND missing entries, after a snapshot if the log starts later."""
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
        """Replace the entries up to a snapshot of committed state by it.

        Returns:
            The entries that remain after the snapshot.
        """
        remaining = self.entries[snapshot.index - self.base.index :]
        self.base, self.entries = snapshot, remaining
        return remaining
