"""The replicated control state: configuration, change digests, departed backends and the leader. Pure.

`check` reports what a change would do to the committed state; `apply` executes a committed entry. Two replicas that applied the
same entries hold the same state. The size is bounded: neither memory nor snapshots grow with the number of changes.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any

from result import Err, Ok, Result

from mulleinhatch.configuration.document import (
    EMPTY,
    Document,
    accept_complete,
    accept_patch_steps,
    change_digest,
    read_complete_steps,
    read_object_steps,
    replaced_items_steps,
)
from mulleinhatch.configuration.encoding import joined, json_chunks
from mulleinhatch.configuration.item_list import Item
from mulleinhatch.configuration.patching import apply_patch_steps
from mulleinhatch.configuration.reference_index import ReferenceIndex
from mulleinhatch.errors import ConfigurationError, ReplicationError
from mulleinhatch.messages.cluster import Entry, Snapshot
from mulleinhatch.replication.parsed_bodies import ParsedBodies
from mulleinhatch.steps import Steps, complete


class EntryKind(IntEnum):
    """What an entry does. The numbers are stored and sent."""

    CONFIGURATION = 1  # body: a complete configuration as JSON
    PATCH = 2  # body: a patch of the configuration as JSON
    LEADER = 3  # body: the identity of the new placement leader; the entry's index is its fencing token
    DEPARTURE = 4  # body: a JSON list of the ids of backends that leave


CONFIGURATION_KINDS = (EntryKind.CONFIGURATION, EntryKind.PATCH)
# Number of changes that are recognised when they are sent again: about nine hours of changes at the target rate.
MAX_DIGESTS = 2048
# Number of patches that a data plane can receive one by one; a data plane further behind gets the complete configuration.
MAX_RECENT_PATCHES = 64
# A departed backend serves for a few seconds, and its heartbeats are at most seconds late: older ids are not needed.
MAX_DEPARTED_BACKENDS = 1024


class ChangeOutcome(Enum):
    """Why a configuration change is not appended to the log."""

    ALREADY_APPLIED = "already applied"
    INVALID = "invalid"
    CONFLICT = "conflict"
    HISTORY_COMPACTED = "history compacted"  # it may have been applied so long ago that its digest was dropped

    @property
    def http_status(self) -> int:
        """The HTTP status by which the operator API reports this outcome."""
        return _HTTP_STATUS[self]


_HTTP_STATUS = {
    ChangeOutcome.ALREADY_APPLIED: 200,
    ChangeOutcome.INVALID: 400,
    ChangeOutcome.CONFLICT: 412,
    ChangeOutcome.HISTORY_COMPACTED: 503,
}


class LogGapError(ReplicationError):
    """An entry does not directly follow the last applied one."""

    def __init__(self, applied_index: int, entry_index: int) -> None:
        super().__init__(f"entry {entry_index} does not follow the last applied entry {applied_index}")


@dataclass(frozen=True)
class Rejection:
    """A change that is not appended: the outcome, and a message that says what to do."""

    outcome: ChangeOutcome
    message: str


@dataclass(frozen=True)
class Change:
    """A checked configuration change.

    Attributes:
        kind: The kind of its entry.
        body: The body of its entry.
        digest: Identifies the change when it is sent again.
        document: The configuration that results from it.
    """

    kind: EntryKind
    body: bytes
    digest: str
    document: Document

    def as_complete(self) -> Change:
        """Return the same change as a complete configuration; it is recognised as the same when it is sent again."""
        return Change(EntryKind.CONFIGURATION, self.document.to_json(), self.digest, self.document)


@dataclass(frozen=True)
class _Prepared:
    """The configuration that a large change leads to, from before it is committed.

    Attributes:
        kind: The kind of its entry.
        body: The body of its entry.
        base: The configuration that it changes.
        document: The configuration that results from it.
        replaced: The items of `base` that `document` no longer has.
    """

    kind: int
    body: bytes
    base: Document
    document: Document
    replaced: list[Item]

    def is_of(self, entry: Entry, base: Document) -> bool:
        """Return whether it is what an entry makes of a configuration."""
        return base is self.base and entry.kind == self.kind and entry.body == self.body


class ControlState:
    """The state after the entry with `index`.

    Attributes:
        index: Index of the last applied entry.
        epoch: Epoch of the last applied entry.
        document: The configuration in force.
        digests: Digests of applied changes with the versions they created, oldest first.
        leader: Identity of the placement leader, empty before the first one.
        fencing_token: Index of the entry that made it the leader.
        departed_backends: Ids of departed backends with the indexes of their entries, oldest first.
        forgotten_version: Changes up to this version may have been applied although their digests were dropped.
        recent: Recent patches with the versions they were applied to.
        parsed_bodies: Bodies of entries and snapshots that will be applied soon.
        replaced_items: Items of former configurations; the caller of `apply` releases them in steps.
    """

    def __init__(self) -> None:
        self.index = 0
        self.epoch = 0
        self.document = EMPTY
        self.digests: dict[str, int] = {}
        self.leader = ""
        self.fencing_token = 0
        self.departed_backends: dict[str, int] = {}
        self.forgotten_version = 0
        self.recent: list[tuple[int, Entry]] = []
        self.parsed_bodies = ParsedBodies()
        self.replaced_items: list[Item] = []
        self._prepared: _Prepared | None = None
        self._references = ReferenceIndex()  # used at the head, where changes are checked

    # Checking.

    def check(self, method: str, base: int | None, body: bytes) -> Result[Change, Rejection]:
        """Check a change at once; see `check_steps`."""
        return complete(self.check_steps(method, base, body))

    def check_steps(self, method: str, base: int | None, body: bytes) -> Steps[Result[Change, Rejection]]:
        """Check whether a change may be appended after the state as it is when the check begins.

        Args:
            method: PUT for a complete configuration, PATCH for a patch.
            base: The version that the change builds on; None where the request has no If-Match.
            body: The body of the request.
        """
        current = self.document
        digest = change_digest(method, body)
        if digest in self.digests:
            return _reject(ChangeOutcome.ALREADY_APPLIED, "already applied")
        if base is not None and base != current.version and base >= self.forgotten_version:
            return _reject_base(current)  # not read: whatever it contains, it can't have been applied before
        if isinstance(read := (yield from read_object_steps(body)), Err):
            return _reject(ChangeOutcome.INVALID, str(read.err_value))
        version = read.ok_value.get("version")
        if isinstance(version, int) and version <= self.forgotten_version:
            return _reject(ChangeOutcome.HISTORY_COMPACTED, "so old a change may have been taken; read the configuration")
        if base is None:
            return _reject(ChangeOutcome.INVALID, "If-Match must give the version that the change builds on, 0 for the first")
        if base != current.version:
            return _reject_base(current)
        if method == "PUT":
            document = yield from read_complete_steps(read.ok_value, current.version)
        else:
            document = yield from apply_patch_steps(current, read.ok_value, self._references)
        if isinstance(document, Err):
            return _reject(ChangeOutcome.INVALID, str(document.err_value))
        kind = EntryKind.CONFIGURATION if method == "PUT" else EntryKind.PATCH
        replaced = yield from replaced_items_steps(current, document.ok_value)
        self._prepared = _Prepared(kind, body, current, document.ok_value, replaced)
        return Ok(Change(kind, body, digest, document.ok_value))

    # Applying.

    def prepare_steps(self, entry: Entry) -> Steps[None]:
        """Do most of the work of applying a large change before it is committed."""
        yield from self.parsed_bodies.read_steps(entry.body)
        value, base = self.parsed_bodies.get(entry.body), self.document
        if value is None:
            return
        document = yield from _accept_steps(base, entry.kind, value)
        if isinstance(document, Ok):
            replaced = yield from replaced_items_steps(base, document.ok_value)
            self._prepared = _Prepared(entry.kind, entry.body, base, document.ok_value, replaced)

    def apply(self, entry: Entry) -> None:
        """Apply the committed entry that follows the last applied one.

        Raises:
            LogGapError: The entry does not directly follow the last applied one.
        """
        if entry.index != self.index + 1:
            raise LogGapError(self.index, entry.index)
        if entry.kind == EntryKind.LEADER:
            self.leader, self.fencing_token = entry.body.decode(), entry.index
        elif entry.kind == EntryKind.DEPARTURE:
            self._apply_departure(entry)
        else:
            self._apply_change(entry)
        self.index, self.epoch = entry.index, entry.epoch

    def _apply_departure(self, entry: Entry) -> None:
        for backend_id in json.loads(entry.body):
            self.departed_backends.setdefault(backend_id, entry.index)
        while len(self.departed_backends) > MAX_DEPARTED_BACKENDS:
            del self.departed_backends[next(iter(self.departed_backends))]

    def _apply_change(self, entry: Entry) -> None:
        if (document := self._document_after(entry)) is None:
            return  # the head checked the change against this same state; a change that does not follow it never takes effect
        if entry.kind == EntryKind.PATCH:
            self.recent.append((self.document.version, entry))
        else:
            self.recent.clear()
        del self.recent[:-MAX_RECENT_PATCHES]
        self.document = document
        self._record_digest(entry.digest)

    def _document_after(self, entry: Entry) -> Document | None:
        prepared, self._prepared = self._prepared, None
        if prepared is not None and prepared.is_of(entry, self.document):
            self.parsed_bodies.discard(entry.body)
            self.replaced_items += prepared.replaced
            return prepared.document
        value = self.parsed_bodies.take(entry.body)
        return complete(_accept_steps(self.document, entry.kind, value)).unwrap_or(None)

    def _record_digest(self, digest: str) -> None:
        self.digests[digest] = self.document.version
        while len(self.digests) > MAX_DIGESTS:
            oldest = next(iter(self.digests))
            self.forgotten_version = max(self.forgotten_version, self.digests.pop(oldest))

    # Distribution.

    def departed_since(self, index: int) -> list[str]:
        """Return the backends whose departure was recorded after an index."""
        return [backend_id for backend_id, recorded_at in self.departed_backends.items() if recorded_at > index]

    @property
    def departure_index(self) -> int:
        """Index of the newest departure entry, 0 where there is none."""
        return next(reversed(self.departed_backends.values()), 0)

    def patches_since(self, version: int) -> list[bytes] | None:
        """Return the bodies of the patches that lead from a version to the current one.

        Returns:
            The bodies in order; None where the complete configuration is needed.
        """
        for position, (patched_version, _) in enumerate(self.recent):
            if patched_version == version:
                return [entry.body for _, entry in self.recent[position:]]
        return None

    # Snapshots.

    def snapshot(self) -> Snapshot:
        """Return a snapshot of the state at once; see `snapshot_steps`."""
        return complete(self.snapshot_steps())

    def snapshot_steps(self) -> Steps[Snapshot]:
        """Return a snapshot of the state as it is at the first step; `recent` is not part of it."""
        document = self.document
        snapshot = Snapshot(
            index=self.index,
            epoch=self.epoch,
            configuration_version=document.version,
            digests=[f"{digest} {version}" for digest, version in self.digests.items()],
            leader=self.leader,
            fencing_token=self.fencing_token,
            departed_backends=[f"{backend_id} {index}" for backend_id, index in self.departed_backends.items()],
            forgotten_version=self.forgotten_version,
        )
        snapshot.configuration = yield from joined(json_chunks(document.value))
        return snapshot

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state by that of a snapshot."""
        self.index, self.epoch = snapshot.index, snapshot.epoch
        value = self.parsed_bodies.take(snapshot.configuration) if snapshot.configuration else EMPTY.value
        self.document = Document(snapshot.configuration_version, value)
        pairs = (text.split(" ") for text in snapshot.digests)
        self.digests = {digest: int(version) for digest, version in pairs}
        self.leader, self.fencing_token = snapshot.leader, snapshot.fencing_token
        departures = (text.rpartition(" ") for text in snapshot.departed_backends)
        self.departed_backends = {backend_id: int(index) for backend_id, _, index in departures}
        self.forgotten_version = snapshot.forgotten_version
        self.recent = []


def _accept_steps(base: Document, kind: int, value: Any) -> Steps[Result[Document, ConfigurationError]]:
    """Return the configuration after a change that was validated when it was proposed."""
    if kind == EntryKind.CONFIGURATION:
        return accept_complete(value, base.version)
    return (yield from accept_patch_steps(base, value))


def _reject_base(current: Document) -> Err[Rejection]:
    return _reject(ChangeOutcome.CONFLICT, f"version {current.version} is current; read it and build on it")


def _reject(outcome: ChangeOutcome, message: str) -> Err[Rejection]:
    return Err(Rejection(outcome, message))
