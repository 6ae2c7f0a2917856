"""The list of backends: soft state on every core machine, told anew by the backends' heartbeats. Pure.

Each record is ordered by its backend's own `sequence`; `gone` is final, as every start of a backend has a new id. A cursor
counts changes that a data plane must hear of, so that a poll is answered with just those.
"""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import NamedTuple

from mulleinhatch.control_plane.registry.record_merge import merge_records, published_fields
from mulleinhatch.messages.cluster import Backend, LoadedModel, PendingLoad

SILENT_AFTER_HEARTBEATS = 3.2  # heartbeats that may be missed before a backend counts as silent
RESTORED_GRACE_S = 2.5  # a backend known from before a restart is believed so long
FORGET_AFTER_S = 90.0  # a silent or gone backend is remembered so long


@dataclass
class RegistryEntry:
    """One backend with when it was last heard of (steady clock) and the cursor of its last change."""

    backend: Backend
    last_heartbeat_at: float
    cursor: int = 0


class RegistryChanges(NamedTuple):
    """Records for one data plane: all of them, or those that changed after its cursor."""

    is_complete: bool
    backends: list[Backend]


class BackendRegistry:
    """`on_change` hears the id of each backend whose record changed in a way that matters; `has_left` tells of an id whether
    the control state says that the backend leaves, whatever its records say."""

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
        self.urgent_cursor = 0  # of the newest change after which a backend must not be used any more, or is new
        self.entries: dict[str, RegistryEntry] = {}
        self._silent_after_s = SILENT_AFTER_HEARTBEATS * heartbeat_s
        self._on_change = on_change

    def merge(self, backend: Backend, now: float) -> bool:
        """Takes a record if it is newer than what is known; whether it was."""
        if not backend.draining and self._has_left(backend.id):
            backend = replace(backend, draining=True)
        entry = self.entries.get(backend.id)
        if entry is None:
            entry = self.entries[backend.id] = RegistryEntry(replace(backend, silent=False), now - backend.age_ms / 1000.0)
            self._changed(entry)
            return True
        current = entry.backend
        if current.gone:
            return False
        if backend.sequence >= current.sequence:
            entry.last_heartbeat_at = max(entry.last_heartbeat_at, now - backend.age_ms / 1000.0)
        merged = merge_records(current, backend)
        if merged is current:
            return False
        self._replace(entry, merged)
        return True

    def restore(self, backend: Backend, now: float) -> None:
        """A backend that was present before a restart: believed until it should have been heard of again."""
        if backend.id not in self.entries:
            self.merge(
                replace(backend, sequence=0, loads=[], unloads=[], order_revision=0, age_ms=0),
                now - self._silent_after_s + RESTORED_GRACE_S,
            )

    def present_backends(self) -> list[Backend]:
        """What is worth keeping over a restart."""
        return [entry.backend for entry in self.entries.values() if not entry.backend.gone and not entry.backend.silent]

    def mark_draining(self, backend_id: str) -> None:
        """The control state says that a backend leaves."""
        entry = self.entries.get(backend_id)
        if entry is not None and not entry.backend.draining:
            self._replace(entry, replace(entry.backend, draining=True))

    def deregister(self, backend_id: str, now: float) -> None:
        """A backend said that it has ended."""
        entry = self.entries.get(backend_id)
        if entry is None:
            self.merge(Backend(id=backend_id, gone=True), now)
        elif not entry.backend.gone:
            self._replace(entry, replace(entry.backend, gone=True))

    def record_holdings(
        self, backend_id: str, models: list[LoadedModel], loads: list[PendingLoad], unloads: list[PendingLoad], revision: int
    ) -> bool:
        """What a backend's report or an order under way says of what it holds; whether that is news."""
        entry = self.entries.get(backend_id)
        if entry is None or entry.backend.gone:
            return False
        return self._replace(
            entry, replace(entry.backend, models=models, loads=loads, unloads=unloads, order_revision=revision)
        )

    def _replace(self, entry: RegistryEntry, backend: Backend) -> bool:
        changed = published_fields(entry.backend) != published_fields(backend)
        urgent = (entry.backend.draining, entry.backend.gone, entry.backend.silent) != (
            backend.draining,
            backend.gone,
            backend.silent,
        )
        current = {load.model for load in entry.backend.loads if load.from_store}
        for load in backend.loads:
            if load.from_store and load.model not in current:
                self._on_store_load()
        entry.backend = backend
        if changed:
            self._changed(entry, urgent)
        return changed

    def _changed(self, entry: RegistryEntry, urgent: bool = True) -> None:
        self.cursor += 1
        entry.cursor = self.cursor
        if urgent:
            self.urgent_cursor = self.cursor
        self._on_change(entry.backend.id)

    def expire(self, now: float) -> None:
        """Marks backends that have not been heard of, and forgets those long gone."""
        for backend_id, entry in list(self.entries.items()):
            silent_s = now - entry.last_heartbeat_at
            if silent_s > FORGET_AFTER_S:
                del self.entries[backend_id]
            elif silent_s > self._silent_after_s and not entry.backend.silent and not entry.backend.gone:
                self._replace(entry, replace(entry.backend, silent=True))

    def extend_grace_period(self, now: float) -> None:
        """After we stood still ourselves: silence before now is no news."""
        for entry in self.entries.values():
            if not entry.backend.silent:
                entry.last_heartbeat_at = max(entry.last_heartbeat_at, now - self._silent_after_s / 2)

    def changes_since(self, source: str, cursor: int) -> RegistryChanges:
        """Whether the list is whole, and the records that changed after a cursor."""
        if source != self.source:
            return RegistryChanges(True, [entry.backend for entry in self.entries.values() if not entry.backend.gone])
        return RegistryChanges(False, [entry.backend for entry in self.entries.values() if entry.cursor > cursor])

    def records_for_peer(self, ids: set[str], now: float) -> list[Backend]:
        """Records for another core machine, with how long ago the backend was heard of."""
        return [
            replace(entry.backend, age_ms=max(0, int(1000 * (now - entry.last_heartbeat_at))))
            for backend_id in sorted(ids)
            if (entry := self.entries.get(backend_id)) is not None
        ]
