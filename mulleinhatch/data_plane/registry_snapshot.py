"""Immutable snapshots of the registered backends and the models that they hold. Pure."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace

from mulleinhatch.messages.cluster import Backend

MAX_DEREGISTERED_IDS = 2048  # Ids remembered so that a lagging control-plane node does not restore a deregistered backend.
UNCONFIRMED_GRACE_S = 6.0  # How long a backend that a new control-plane node does not list is kept.


@dataclass(frozen=True)
class ModelKey:
    """A model of a service, with or without an adapter; `model` is empty for a service without models."""

    service: str
    model: str = ""
    adapter: str = ""


@dataclass(frozen=True)
class RegisteredBackend:
    """One backend as described by the registry. Times are loop times in seconds.

    Attributes:
        id: Identifier of the process; a restarted backend has a new one.
        service: Service that it belongs to.
        address: Host and port.
        zone: Failure domain.
        slots: Number of requests that it executes concurrently.
        draining: Whether it accepts no new requests.
        silent: Whether it has stopped sending heartbeats.
        models: Adapters that it holds, by model.
        loads: Expected end of each load in progress, by model and adapter.
        ends_at: When it is going to be removed, infinite if unknown.
        unloads: Models and adapters that are being unloaded.
        versions: Version of the weights of each model that it holds.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    silent: bool
    models: Mapping[str, frozenset[str]]
    loads: Mapping[tuple[str, str], float]
    ends_at: float
    unloads: frozenset[tuple[str, str]] = frozenset()
    versions: Mapping[str, int] = field(default_factory=dict)

    def has_model(self, model_key: ModelKey) -> bool:
        """Return whether the backend holds a model, and its adapter if one is named, and is not unloading it."""
        if not model_key.model:
            return True
        adapters = self.models.get(model_key.model)
        if adapters is None or (model_key.model, "") in self.unloads:
            return False
        return not model_key.adapter or (
            model_key.adapter in adapters and (model_key.model, model_key.adapter) not in self.unloads
        )


def backend_from_message(message: Backend, now: float) -> RegisteredBackend:
    """Convert a backend of a control-plane node's message; remaining times become loop times."""
    return RegisteredBackend(
        id=message.id,
        service=message.service,
        address=message.address,
        zone=message.zone,
        slots=max(1, message.slots),
        draining=message.draining,
        silent=message.silent,
        models={model.name: frozenset(model.adapters) for model in message.models},
        loads={(load.model, load.adapter): now + load.remaining_ms / 1000.0 for load in message.loads},
        ends_at=now + message.remaining_ms / 1000.0 if message.remaining_ms else float("inf"),
        unloads=frozenset((unload.model, unload.adapter) for unload in message.unloads),
        versions={model.name: model.version for model in message.models},
    )


@dataclass(frozen=True)
class RegistrySnapshot:
    """A snapshot of all registered backends.

    Attributes:
        by_id: Backends by identifier.
        by_service: Backends of each service, ordered by identifier.
        unconfirmed: Loop time since which a backend has been missing from a new node's complete list, by identifier.
        deregistered: Identifiers of draining or deregistered backends, latest last (an ordered set).
    """

    by_id: Mapping[str, RegisteredBackend] = field(default_factory=dict)
    by_service: Mapping[str, tuple[RegisteredBackend, ...]] = field(default_factory=dict)
    unconfirmed: Mapping[str, float] = field(default_factory=dict)
    deregistered: Mapping[str, None] = field(default_factory=dict)

    def updated(
        self, backends: Collection[Backend], is_complete: bool, now: float, deregistered: Iterable[str] = ()
    ) -> RegistrySnapshot:
        """Return the registry after an update from a control-plane node.

        A backend that a new control-plane node's complete list lacks is not necessarily gone: that node may just have
        started. The backend is removed after it has been unlisted for `UNCONFIRMED_GRACE_S`.

        Args:
            backends: Backends that changed, or all of them.
            is_complete: Whether `backends` is the complete list.
            now: Loop time.
            deregistered: Identifiers of backends that were marked draining or deregistered.
        """
        by_id, unconfirmed = dict(self.by_id), dict(self.unconfirmed)
        all_deregistered = {**self.deregistered, **dict.fromkeys(deregistered)}
        if is_complete:
            listed = {backend.id for backend in backends}
            for backend_id in by_id:
                if backend_id not in listed:
                    unconfirmed.setdefault(backend_id, now)
        for backend in backends:
            unconfirmed.pop(backend.id, None)
            if backend.gone:
                by_id.pop(backend.id, None)
            else:
                by_id[backend.id] = backend_from_message(backend, now)
            if backend.gone or backend.draining:
                all_deregistered[backend.id] = None
        _mark_draining(by_id, all_deregistered)
        _remove_unconfirmed(by_id, unconfirmed, now)
        for backend_id in list(all_deregistered)[:-MAX_DEREGISTERED_IDS]:
            del all_deregistered[backend_id]
        return RegistrySnapshot(by_id, _group_by_service(by_id), unconfirmed, all_deregistered)


def _mark_draining(by_id: dict[str, RegisteredBackend], deregistered: Iterable[str]) -> None:
    """Mark deregistered backends as draining even if a lagging control-plane node lists them as ready."""
    for backend_id in deregistered:
        if backend_id in by_id and not by_id[backend_id].draining:
            by_id[backend_id] = replace(by_id[backend_id], draining=True)


def _remove_unconfirmed(by_id: dict[str, RegisteredBackend], unconfirmed: dict[str, float], now: float) -> None:
    for backend_id, since in list(unconfirmed.items()):
        if backend_id not in by_id or now - since > UNCONFIRMED_GRACE_S:
            by_id.pop(backend_id, None)
            del unconfirmed[backend_id]


def _group_by_service(by_id: Mapping[str, RegisteredBackend]) -> dict[str, tuple[RegisteredBackend, ...]]:
    by_service: dict[str, list[RegisteredBackend]] = {}
    for backend_id in sorted(by_id):
        by_service.setdefault(by_id[backend_id].service, []).append(by_id[backend_id])
    return {service: tuple(backends) for service, backends in by_service.items()}
