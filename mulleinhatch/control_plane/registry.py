"""The list of stubs: soft state on every core machine, told anew by the stubs' heartbeats. Pure.

Each record is ordered by its stub's own `sequence`; `gone` is final, as every start of a stub has a new id. A cursor counts
changes that a data plane must hear of, so that a poll is answered with just those.
"""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace

from mulleinhatch.messages.cluster import HeldModel, PendingLoad, Stub

SILENT_INTERVALS = 3.2  # heartbeats that may be missed before a stub counts as silent
RECALLED_S = 2.5  # a stub known from before a restart is believed so long
FORGET_S = 90.0  # a silent or gone stub is remembered so long


@dataclass
class Entry:
    """One stub with when it was last heard of (steady clock) and the cursor of its last change."""

    stub: Stub
    heard_at: float
    cursor: int = 0


def _told(stub: Stub) -> tuple:
    """What of a record matters to data planes."""
    return (
        stub.service,
        stub.address,
        stub.zone,
        stub.slots,
        stub.draining,
        stub.gone,
        stub.silent,
        tuple((model.name, model.version, tuple(sorted(model.adapters))) for model in stub.models),
        tuple((load.model, load.adapter) for load in stub.loads),
        tuple((load.model, load.adapter) for load in stub.unloads),
        stub.cold_remaining_ms > 0,
        stub.remaining_ms > 0,
    )


class BackendRegistry:
    """`on_change` hears the id of each stub whose record changed in a way that matters; `has_left` tells of an id whether the
    control state says that the stub leaves, whatever its records say."""

    def __init__(
        self, heartbeat_s: float, on_change: Callable[[str], None], has_left: Callable[[str], bool] = lambda stub_id: False
    ) -> None:
        self._has_left = has_left
        self.source = uuid.uuid4().hex[:12]
        self.cursor = 0
        self.urgent_cursor = 0  # of the newest change after which a stub must not be used any more, or is new
        self.entries: dict[str, Entry] = {}
        self._silent_after = SILENT_INTERVALS * heartbeat_s
        self._on_change = on_change
        self.on_store_load: Callable[[], None] = lambda: None  # a load from the weight store began somewhere

    def merge(self, stub: Stub, now: float) -> bool:
        """Takes a record if it is newer than what is known; whether it was."""
        if not stub.draining and self._has_left(stub.id):
            stub = replace(stub, draining=True)
        entry = self.entries.get(stub.id)
        if entry is None:
            entry = self.entries[stub.id] = Entry(replace(stub, silent=False), now - stub.age_ms / 1000.0)
            self._changed(entry)
            return True
        known = entry.stub
        if known.gone:
            return False
        if stub.sequence >= known.sequence:
            entry.heard_at = max(entry.heard_at, now - stub.age_ms / 1000.0)
        fresh = self._merged(known, stub)
        if fresh is known:
            return False
        self._replace(entry, fresh)
        return True

    @staticmethod
    def _merged(known: Stub, told: Stub) -> Stub:
        """What the stub says is ordered by its `sequence`, what was ordered of it by `order_revision`."""
        fresh = known
        if told.sequence > known.sequence:
            fresh = replace(
                told,
                silent=False,
                draining=told.draining or known.draining,
                loads=known.loads,
                unloads=known.unloads,
                order_revision=known.order_revision,
            )
        if told.order_revision > known.order_revision:
            fresh = replace(
                fresh, models=told.models, loads=told.loads, unloads=told.unloads, order_revision=told.order_revision
            )
        if told.gone:
            fresh = replace(fresh, gone=True)
        return fresh

    def recall(self, stub: Stub, now: float) -> None:
        """A stub that was present before a restart: believed until it should have been heard of again."""
        if stub.id not in self.entries:
            self.merge(
                replace(stub, sequence=0, loads=[], unloads=[], order_revision=0, age_ms=0),
                now - self._silent_after + RECALLED_S,
            )

    def present(self) -> list[Stub]:
        """What is worth keeping over a restart."""
        return [entry.stub for entry in self.entries.values() if not entry.stub.gone and not entry.stub.silent]

    def drain(self, stub_id: str) -> None:
        """The control state says that a stub leaves."""
        entry = self.entries.get(stub_id)
        if entry is not None and not entry.stub.draining:
            self._replace(entry, replace(entry.stub, draining=True))

    def leave(self, stub_id: str, now: float) -> None:
        """A stub said that it has ended."""
        entry = self.entries.get(stub_id)
        if entry is None:
            self.merge(Stub(id=stub_id, gone=True), now)
        elif not entry.stub.gone:
            self._replace(entry, replace(entry.stub, gone=True))

    def set_holdings(
        self, stub_id: str, models: list[HeldModel], loads: list[PendingLoad], unloads: list[PendingLoad], revision: int
    ) -> bool:
        """What a stub's report or an order under way says of what it holds; whether that is news."""
        entry = self.entries.get(stub_id)
        if entry is None or entry.stub.gone:
            return False
        return self._replace(entry, replace(entry.stub, models=models, loads=loads, unloads=unloads, order_revision=revision))

    def _replace(self, entry: Entry, stub: Stub) -> bool:
        changed = _told(entry.stub) != _told(stub)
        urgent = (entry.stub.draining, entry.stub.gone, entry.stub.silent) != (stub.draining, stub.gone, stub.silent)
        known = {load.model for load in entry.stub.loads if load.from_store}
        for load in stub.loads:
            if load.from_store and load.model not in known:
                self.on_store_load()
        entry.stub = stub
        if changed:
            self._changed(entry, urgent)
        return changed

    def _changed(self, entry: Entry, urgent: bool = True) -> None:
        self.cursor += 1
        entry.cursor = self.cursor
        if urgent:
            self.urgent_cursor = self.cursor
        self._on_change(entry.stub.id)

    def expire(self, now: float) -> None:
        """Marks stubs that have not been heard of, and forgets those long gone."""
        for stub_id, entry in list(self.entries.items()):
            silence = now - entry.heard_at
            if silence > FORGET_S:
                del self.entries[stub_id]
            elif silence > self._silent_after and not entry.stub.silent and not entry.stub.gone:
                self._replace(entry, replace(entry.stub, silent=True))

    def forgive(self, now: float) -> None:
        """After we stood still ourselves: silence before now is no news."""
        for entry in self.entries.values():
            if not entry.stub.silent:
                entry.heard_at = max(entry.heard_at, now - self._silent_after / 2)

    def since(self, source: str, cursor: int) -> tuple[bool, list[Stub]]:
        """Whether the list is whole, and the records that changed after a cursor."""
        whole = source != self.source
        if whole:
            return True, [entry.stub for entry in self.entries.values() if not entry.stub.gone]
        return False, [entry.stub for entry in self.entries.values() if entry.cursor > cursor]

    def for_peer(self, ids: set[str], now: float) -> list[Stub]:
        """Records for another core machine, with how long ago the stub was heard of."""
        return [
            replace(entry.stub, age_ms=max(0, int(1000 * (now - entry.heard_at))))
            for stub_id in sorted(ids)
            if (entry := self.entries.get(stub_id)) is not None
        ]
