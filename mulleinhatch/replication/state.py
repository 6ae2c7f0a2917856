"""The state that the chain replicates: the configuration, digests of the changes taken, the backends that leave, and the
holder of orders. Pure, and bounded: neither memory nor snapshots grow with the number of changes.

`check` says what a change would do on the committed state; `apply` carries out a committed entry. Two replicas that applied the
same entries hold the same state."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import IntEnum

from result import Err, Ok, Result

from mulleinhatch.configuration.document import (
    EMPTY,
    ConfigurationError,
    Document,
    apply_patch,
    change_digest,
    read_complete,
    read_json,
)
from mulleinhatch.messages.cluster import Entry, Snapshot


class EntryKind(IntEnum):
    """What an entry does."""

    CONFIGURATION = 1  # body: a whole configuration as JSON
    PATCH = 2  # body: a patch of it as JSON
    LEADER = 3  # body: the identity that gives orders from here on; the entry's index is its fencing token
    DEPARTURE = 4  # body: a JSON list of the ids of backends that leave


CONFIGURATION_KINDS = (EntryKind.CONFIGURATION, EntryKind.PATCH)
MAX_DIGESTS = 2048  # changes that are known when they are sent again: some nine hours of the target's rate
MAX_RECENT_PATCHES = 64  # patches that are told on as they came; who is further behind gets the whole configuration
MAX_DEPARTED_BACKENDS = (
    1024  # backends that left: each serves on for seconds only, and its heartbeats come seconds late at most
)


class ChangeOutcome(IntEnum):
    """What becomes of a change that an operator sends."""

    ALREADY_APPLIED = 200
    INVALID = 400
    CONFLICT = 412
    HISTORY_COMPACTED = 503  # it may have been taken so long ago that nothing is known of it any more

    @property
    def http_status(self) -> int:
        """Return the HTTP status by which the operator API reports this outcome."""
        return int(self)


@dataclass(frozen=True)
class Rejection:
    outcome: ChangeOutcome
    message: str


@dataclass(frozen=True)
class Change:
    """An operator's change: `kind` and body for the entry, the version that it builds on, and what it makes."""

    kind: EntryKind
    body: bytes
    digest: str
    document: Document


class ControlState:
    def __init__(self) -> None:
        self.index = 0
        self.epoch = 0
        self.document = EMPTY
        self.digests: dict[str, int] = {}  # of the changes taken, with their versions
        self.leader = ""
        self.fencing_token = 0
        self.departed_backends: dict[
            str, int
        ] = {}  # backends that said that they leave, with the index of the entry, the newest last
        self.forgotten_version = 0  # changes up to this version may have been taken without being known any more
        self.recent: list[tuple[int, Entry]] = []  # patches with the versions that they followed

    def check(self, method: str, base: int | None, body: bytes) -> Result[Change, Rejection]:
        """Whether a change may be appended after the state as it stands."""
        digest = change_digest(method, body)
        if digest in self.digests:
            return Err(Rejection(ChangeOutcome.ALREADY_APPLIED, "taken before"))
        if isinstance(read := read_json(body), Err):
            return Err(Rejection(ChangeOutcome.INVALID, str(read.err_value)))
        version = read.ok_value.get("version")
        if isinstance(version, int) and version <= self.forgotten_version:
            return Err(
                Rejection(ChangeOutcome.HISTORY_COMPACTED, "so old a change may have been taken; read the configuration")
            )
        if base is None:
            return Err(
                Rejection(ChangeOutcome.INVALID, "If-Match must give the version that the change builds on, 0 for the first")
            )
        made = self._make(method, read.ok_value)
        if isinstance(made, Err):
            outcome = ChangeOutcome.INVALID if base == self.document.version else ChangeOutcome.CONFLICT
            return Err(Rejection(outcome, str(made.err_value)))
        if base != self.document.version:
            return Err(
                Rejection(ChangeOutcome.CONFLICT, f"version {self.document.version} is current; read it and build on it")
            )
        kind = EntryKind.CONFIGURATION if method == "PUT" else EntryKind.PATCH
        return Ok(Change(kind, body, digest, made.ok_value))

    def _make(self, method: str, value: dict) -> Result[Document, ConfigurationError]:
        return read_complete(value, self.document.version) if method == "PUT" else apply_patch(self.document, value)

    def apply(self, entry: Entry) -> None:
        """Carries out the committed entry that follows."""
        assert entry.index == self.index + 1
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

    def departed_since(self, index: int) -> list[str]:
        """Backends of which entries behind an index say that they leave."""
        return [backend_id for backend_id, at in self.departed_backends.items() if at > index]

    @property
    def departure_index(self) -> int:
        """The newest entry that tells of a backend that leaves, 0 where there is none."""
        return next(reversed(self.departed_backends.values()), 0)

    def _apply_change(self, entry: Entry) -> None:
        method = "PUT" if entry.kind == EntryKind.CONFIGURATION else "PATCH"
        made = self._make(method, json.loads(entry.body))
        if isinstance(made, Err):
            return  # checked on this very state by the head; nothing is in force that was refused
        if entry.kind == EntryKind.PATCH:
            self.recent.append((self.document.version, entry))
        else:
            self.recent.clear()
        del self.recent[:-MAX_RECENT_PATCHES]
        self.document = made.ok_value
        self.digests[entry.digest] = self.document.version
        while len(self.digests) > MAX_DIGESTS:
            oldest = next(iter(self.digests))
            self.forgotten_version = max(self.forgotten_version, self.digests.pop(oldest))

    def patches_since(self, version: int) -> list[bytes] | None:
        """Bodies of the patches that lead from `version` to the one in force; None where a whole one is needed."""
        for place, (before, _) in enumerate(self.recent):
            if before == version:
                return [entry.body for _, entry in self.recent[place:]]
        return None

    def snapshot(self) -> Snapshot:
        return Snapshot(
            index=self.index,
            epoch=self.epoch,
            configuration_version=self.document.version,
            configuration=self.document.to_json(),
            digests=[f"{digest} {version}" for digest, version in self.digests.items()],
            leader=self.leader,
            fencing_token=self.fencing_token,
            departed_backends=[f"{backend_id} {index}" for backend_id, index in self.departed_backends.items()],
            forgotten_version=self.forgotten_version,
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Takes a snapshot in place of all that was known."""
        self.index, self.epoch = snapshot.index, snapshot.epoch
        value = json.loads(snapshot.configuration) if snapshot.configuration else EMPTY.value
        self.document = Document(snapshot.configuration_version, value)
        pairs = (text.split(" ") for text in snapshot.digests)
        self.digests = {digest: int(version) for digest, version in pairs}
        self.leader, self.fencing_token = snapshot.leader, snapshot.fencing_token
        left = (text.rpartition(" ") for text in snapshot.departed_backends)
        self.departed_backends = {backend_id: int(index) for backend_id, _, index in left}
        self.forgotten_version = snapshot.forgotten_version
        self.recent = []
