"""What a data plane knows of configuration and stubs: immutable snapshots, swapped whole. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from mulleinhatch.configuration.routes import RouteTable
from mulleinhatch.messages.cluster import Stub

LEFT_KEPT = 2048  # ids of stubs that left, so that a source that lags does not bring one back
UNCONFIRMED_S = 6.0  # a stub that a new source of the list does not know is kept so long


@dataclass(frozen=True)
class ModelName:
    """A model of a service, with an adapter or without."""

    service: str
    model: str = ""
    adapter: str = ""


@dataclass(frozen=True)
class KnownStub:
    """One stub. `models` holds the adapters of each model present; `loads` when (steady clock) what was ordered is expected."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    silent: bool
    models: Mapping[str, frozenset[str]]
    loads: Mapping[tuple[str, str], float]
    ends_at: float  # when it is taken away, if it said so
    unloads: frozenset[tuple[str, str]] = frozenset()  # what is being taken away

    def holds(self, name: ModelName) -> bool:
        if not name.model:
            return True
        adapters = self.models.get(name.model)
        if adapters is None or (name.model, "") in self.unloads:
            return False
        return not name.adapter or (name.adapter in adapters and (name.model, name.adapter) not in self.unloads)


def known_stub(stub: Stub, now: float) -> KnownStub:
    loads = {(load.model, load.adapter): now + load.remaining_ms / 1000.0 for load in stub.loads}
    ends_at = now + stub.remaining_ms / 1000.0 if stub.remaining_ms else float("inf")
    return KnownStub(
        stub.id,
        stub.service,
        stub.address,
        stub.zone,
        max(1, stub.slots),
        stub.draining,
        stub.silent,
        {model.name: frozenset(model.adapters) for model in stub.models},
        loads,
        ends_at,
        frozenset((load.model, load.adapter) for load in stub.unloads),
    )


@dataclass(frozen=True)
class StubList:
    """All stubs by id, and by service."""

    by_id: Mapping[str, KnownStub] = field(default_factory=dict)
    by_service: Mapping[str, tuple[KnownStub, ...]] = field(default_factory=dict)
    unconfirmed: Mapping[str, float] = field(default_factory=dict)  # since when a new source has not told of them
    left: Mapping[str, None] = field(default_factory=dict)  # stubs that said that they leave, the newest last

    def updated(self, stubs: Iterable[Stub], whole: bool, now: float, left: Iterable[str] = ()) -> StubList:
        """The list after news. A whole list from a new source that leaves a stub out is no proof that it is gone: that source
        may just have started. It goes when it stays left out."""
        by_id, unconfirmed = dict(self.by_id), dict(self.unconfirmed)
        told = {stub.id for stub in stubs}
        all_left = {**self.left, **dict.fromkeys(left)}
        if whole:
            for stub_id in by_id:
                if stub_id not in told:
                    unconfirmed.setdefault(stub_id, now)
        for stub in stubs:
            unconfirmed.pop(stub.id, None)
            if stub.gone:
                by_id.pop(stub.id, None)
            else:
                by_id[stub.id] = known_stub(stub, now)
            if stub.gone or stub.draining:
                all_left[stub.id] = None
        for stub_id in all_left:
            if stub_id in by_id and not by_id[stub_id].draining:
                by_id[stub_id] = replace(by_id[stub_id], draining=True)
        for stub_id, since in list(unconfirmed.items()):
            if stub_id not in by_id or now - since > UNCONFIRMED_S:
                by_id.pop(stub_id, None)
                del unconfirmed[stub_id]
        for stub_id in list(all_left)[:-LEFT_KEPT]:
            del all_left[stub_id]
        return _listed(by_id, unconfirmed, all_left)


def _listed(by_id: dict[str, KnownStub], unconfirmed: dict[str, float], left: dict[str, None]) -> StubList:
    by_service: dict[str, list[KnownStub]] = {}
    for stub_id in sorted(by_id):
        by_service.setdefault(by_id[stub_id].service, []).append(by_id[stub_id])
    return StubList(by_id, {service: tuple(stubs) for service, stubs in by_service.items()}, unconfirmed, left)


@dataclass(frozen=True)
class Snapshot:
    """All that the data plane acts by."""

    table: RouteTable = field(default_factory=RouteTable)
    stubs: StubList = field(default_factory=StubList)
    data_planes: int = 1
    authoritative: bool = False
