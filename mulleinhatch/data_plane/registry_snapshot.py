"""What a data plane knows of configuration and backends: immutable snapshots, swapped whole. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from mulleinhatch.configuration.routes import RouteTable
from mulleinhatch.messages.cluster import Backend

MAX_DEREGISTERED_IDS = 2048  # ids of backends that left, so that a source that lags does not bring one back
UNCONFIRMED_GRACE_S = 6.0  # a backend that a new source of the list does not know is kept so long


@dataclass(frozen=True)
class ModelName:
    """A model of a service, with an adapter or without."""

    service: str
    model: str = ""
    adapter: str = ""


@dataclass(frozen=True)
class RegisteredBackend:
    """One backend. `models` holds the adapters of each model present; `loads` when (steady clock) what was ordered is
    expected."""

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

    def has_model(self, name: ModelName) -> bool:
        if not name.model:
            return True
        adapters = self.models.get(name.model)
        if adapters is None or (name.model, "") in self.unloads:
            return False
        return not name.adapter or (name.adapter in adapters and (name.model, name.adapter) not in self.unloads)


def backend_from_message(backend: Backend, now: float) -> RegisteredBackend:
    loads = {(load.model, load.adapter): now + load.remaining_ms / 1000.0 for load in backend.loads}
    ends_at = now + backend.remaining_ms / 1000.0 if backend.remaining_ms else float("inf")
    return RegisteredBackend(
        backend.id,
        backend.service,
        backend.address,
        backend.zone,
        max(1, backend.slots),
        backend.draining,
        backend.silent,
        {model.name: frozenset(model.adapters) for model in backend.models},
        loads,
        ends_at,
        frozenset((load.model, load.adapter) for load in backend.unloads),
    )


@dataclass(frozen=True)
class RegistrySnapshot:
    """All backends by id, and by service."""

    by_id: Mapping[str, RegisteredBackend] = field(default_factory=dict)
    by_service: Mapping[str, tuple[RegisteredBackend, ...]] = field(default_factory=dict)
    unconfirmed: Mapping[str, float] = field(default_factory=dict)  # since when a new source has not told of them
    left: Mapping[str, None] = field(default_factory=dict)  # backends that said that they leave, the newest last

    def updated(self, backends: Iterable[Backend], whole: bool, now: float, left: Iterable[str] = ()) -> RegistrySnapshot:
        """The list after news. A whole list from a new source that leaves a backend out is no proof that it is gone: that
        source may just have started. It goes when it stays left out."""
        by_id, unconfirmed = dict(self.by_id), dict(self.unconfirmed)
        told = {backend.id for backend in backends}
        all_left = {**self.left, **dict.fromkeys(left)}
        if whole:
            for backend_id in by_id:
                if backend_id not in told:
                    unconfirmed.setdefault(backend_id, now)
        for backend in backends:
            unconfirmed.pop(backend.id, None)
            if backend.gone:
                by_id.pop(backend.id, None)
            else:
                by_id[backend.id] = backend_from_message(backend, now)
            if backend.gone or backend.draining:
                all_left[backend.id] = None
        for backend_id in all_left:
            if backend_id in by_id and not by_id[backend_id].draining:
                by_id[backend_id] = replace(by_id[backend_id], draining=True)
        for backend_id, since in list(unconfirmed.items()):
            if backend_id not in by_id or now - since > UNCONFIRMED_GRACE_S:
                by_id.pop(backend_id, None)
                del unconfirmed[backend_id]
        for backend_id in list(all_left)[:-MAX_DEREGISTERED_IDS]:
            del all_left[backend_id]
        return _listed(by_id, unconfirmed, all_left)


def _listed(by_id: dict[str, RegisteredBackend], unconfirmed: dict[str, float], left: dict[str, None]) -> RegistrySnapshot:
    by_service: dict[str, list[RegisteredBackend]] = {}
    for backend_id in sorted(by_id):
        by_service.setdefault(by_id[backend_id].service, []).append(by_id[backend_id])
    return RegistrySnapshot(by_id, {service: tuple(backends) for service, backends in by_service.items()}, unconfirmed, left)


@dataclass(frozen=True)
class ControlPlaneSnapshot:
    """All that the data plane acts by."""

    table: RouteTable = field(default_factory=RouteTable)
    backends: RegistrySnapshot = field(default_factory=RegistrySnapshot)
    data_planes: int = 1
    authoritative: bool = False
