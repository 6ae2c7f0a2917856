"""The registry of backends: soft state on every control-plane node, rebuilt from the backends' heartbeats. Pure.

A cursor counts the changes to fields that data planes use, so that a poll returns only records changed since the previous poll.
"""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import NamedTuple

from mulleinhatch.control_plane.registry.record_merge import merge_records, published_fields
from mulleinhatch.messages.cluster import Backend, LoadedModel, PendingLoad

SILENT_AFTER_HEARTBEATS = 3.2  # intervals without a heartbeat after which a backend is marked as silent
RESTORED_GRACE_S = 2.5  # a backend restored from disk is marked as silent if it sends no heartbeat in this time
FORGET_AFTER_S = 90.0  # a silent or gone backend is removed this long after its last heartbeat


@dataclass
class RegistryEntry:
    """One backend.

    Attributes:
        backend: The merged record.
        last_heartbeat_at: The monotonic time, in seconds, of the last heartbeat to any control-plane node.
        cursor: The registry's cursor at the last change to a field that data planes use.
        encoded: The most recently encoded record and its encoding.
    """

    backend: Backend
    last_heartbeat_at: float
    cursor: int = 0
    encoded: tuple[Backend, bytes] | None = None

    def encode(self) -> bytes:
        """Return the encoded record, which is encoded only once, no matter how many data planes receive it."""
        if self.encoded is None or self.encoded[0] is not self.backend:
            self.encoded = (self.backend, bytes(self.backend))
        return self.encoded[1]


class RegistryChanges(NamedTuple):
    """Records for one data plane.

    Attributes:
        is_complete: Whether these are all records rather than those that changed after the data plane's cursor.
        entries: The entries of the records.
    """

    is_complete: bool
    entries: list[RegistryEntry]

    @property
    def backends(self) -> list[Backend]:
        """The records."""
        return [entry.backend for entry in self.entries]

    def encode(self) -> list[bytes]:
        """Return the encoded records."""
        return [entry.encode() for entry in self.entries]


class BackendRegistry:
    """Holds one record per backend and notifies its owner of changes.

    Args:
        heartbeat_s: The interval of the backends' heartbeats.
        on_change: Called with the id of each backend whose published fields changed.
        has_left: Returns whether the replicated control state records the departure of a backend id; such a backend is
            draining, whatever its heartbeats say.
        on_store_load: Called when a backend begins to load a model from the weight store, whichever node ordered it.

    Attributes:
        source: A random id of this registry; a cursor is valid only for the source that issued it.
        cursor: The number of changes to fields that data planes use.
        urgent_cursor: The cursor of the last change that data planes need at once: a new backend, or one that became
            draining, gone or silent, or stopped being so.
    """

    def __init__(
        self,
        heartbeat_s: float,
        on_change: Callable[[str], None],
        has_left: Callable[[str], bool] = lambda backend_id: False,
        on_store_load: Callable[[], None] = lambda: None,
    ) -> None:
        self._has_left = has_left
        self._on_store_load = on_store_load
        self.source = uuid.uuid4().hex[:12]
        self.cursor = 0
        self.urgent_cursor = 0
        self.entries: dict[str, RegistryEntry] = {}
        self._silent_after_s = SILENT_AFTER_HEARTBEATS * heartbeat_s
        self._on_change = on_change

    def merge(self, backend: Backend, now: float) -> bool:
        """Merge a record from a heartbeat and return whether it contained anything newer."""
        if not backend.draining and self._has_left(backend.id):
            backend = replace(backend, draining=True)
        last_heartbeat_at = now - backend.age_ms / 1000.0
        entry = self.entries.get(backend.id)
        if entry is None:
            entry = self.entries[backend.id] = RegistryEntry(replace(backend, silent=False), last_heartbeat_at)
            self._changed(entry)
            return True
        current = entry.backend
        if current.gone:
            return False
        if backend.sequence >= current.sequence:
            entry.last_heartbeat_at = max(entry.last_heartbeat_at, last_heartbeat_at)
        merged = merge_records(current, backend)
        if merged is current:
            return False
        self._replace(entry, merged)
        return True

    def restore(self, backend: Backend, now: float) -> None:
        """Add a backend that was registered before a restart; it becomes silent unless it sends a heartbeat soon."""
        if backend.id not in self.entries:
            self.merge(
                replace(backend, sequence=0, loads=[], unloads=[], order_revision=0, age_ms=0),
                now - self._silent_after_s + RESTORED_GRACE_S,
            )

    def present_backends(self) -> list[Backend]:
        """Return the records to persist for the next restart: those that are neither gone nor silent."""
        return [entry.backend for entry in self.entries.values() if not entry.backend.gone and not entry.backend.silent]

    def mark_draining(self, backend_id: str) -> None:
        """Mark a backend as draining because the control state records its departure."""
        entry = self.entries.get(backend_id)
        if entry is not None and not entry.backend.draining:
            self._replace(entry, replace(entry.backend, draining=True))

    def deregister(self, backend_id: str, now: float) -> None:
        """Mark a backend as gone; an unknown one is added, so that a late heartbeat does not register it again."""
        entry = self.entries.get(backend_id)
        if entry is None:
            self.merge(Backend(id=backend_id, gone=True), now)
        elif not entry.backend.gone:
            self._replace(entry, replace(entry.backend, gone=True))

    def record_holdings(
        self, backend_id: str, models: list[LoadedModel], loads: list[PendingLoad], unloads: list[PendingLoad], revision: int
    ) -> bool:
        """Record the models of a backend as the placement leader knows them.

        Args:
            backend_id: The backend.
            models: The models that it has loaded.
            loads: The loads in progress.
            unloads: The unloads in progress.
            revision: The `order_revision` of these holdings.

        Returns:
            Whether the published fields changed.
        """
        entry = self.entries.get(backend_id)
        if entry is None or entry.backend.gone:
            return False
        return self._replace(
            entry, replace(entry.backend, models=models, loads=loads, unloads=unloads, order_revision=revision)
        )

    def _replace(self, entry: RegistryEntry, backend: Backend) -> bool:
        previous = entry.backend
        is_changed = published_fields(previous) != published_fields(backend)
        is_urgent = (previous.draining, previous.gone, previous.silent) != (backend.draining, backend.gone, backend.silent)
        self._report_store_loads(previous, backend)
        entry.backend = backend
        if is_changed:
            self._changed(entry, is_urgent)
        return is_changed

    def _report_store_loads(self, previous: Backend, backend: Backend) -> None:
        known_models = {load.model for load in previous.loads if load.from_store}
        for load in backend.loads:
            if load.from_store and load.model not in known_models:
                self._on_store_load()

    def _changed(self, entry: RegistryEntry, is_urgent: bool = True) -> None:
        self.cursor += 1
        entry.cursor = self.cursor
        if is_urgent:
            self.urgent_cursor = self.cursor
        self._on_change(entry.backend.id)

    def expire(self, now: float) -> None:
        """Mark backends without recent heartbeats as silent, and remove those that have been gone or silent for long."""
        for backend_id, entry in list(self.entries.items()):
            silent_s = now - entry.last_heartbeat_at
            if silent_s > FORGET_AFTER_S:
                del self.entries[backend_id]
            elif silent_s > self._silent_after_s and not entry.backend.silent and not entry.backend.gone:
                self._replace(entry, replace(entry.backend, silent=True))

    def extend_grace_period(self, now: float) -> None:
        """Give backends time to send heartbeats after a pause of this process, which may have missed earlier ones."""
        for entry in self.entries.values():
            if not entry.backend.silent:
                entry.last_heartbeat_at = max(entry.last_heartbeat_at, now - self._silent_after_s / 2)

    def changes_since(self, source: str, cursor: int) -> RegistryChanges:
        """Return the records that changed after a cursor, or all that are not gone if the cursor is from another source."""
        if source != self.source:
            return RegistryChanges(True, [entry for entry in self.entries.values() if not entry.backend.gone])
        return RegistryChanges(False, [entry for entry in self.entries.values() if entry.cursor > cursor])

    def records_for_peer(self, ids: set[str], now: float) -> list[Backend]:
        """Return the records of some ids for another control-plane node, with the age of the last heartbeat as `age_ms`."""
        return [
            replace(entry.backend, age_ms=max(0, int(1000 * (now - entry.last_heartbeat_at))))
            for backend_id in sorted(ids)
            if (entry := self.entries.get(backend_id)) is not None
        ]
