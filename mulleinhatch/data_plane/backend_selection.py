"""Selects the backend for a started request.

Among the backends that hold the model, the one that hosts the prompt's shared prefix is preferred unless it is expected to
respond much later than the others; otherwise, the backend with the lowest expected latency is chosen.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence

from mulleinhatch.data_plane.backend_health import BackendHealthTracker
from mulleinhatch.data_plane.connection_pool import ConnectionPool
from mulleinhatch.data_plane.model_versions import ModelVersions
from mulleinhatch.data_plane.registry_snapshot import ModelKey, RegisteredBackend, RegistrySnapshot
from mulleinhatch.membership.rendezvous import rendezvous_weight

COST_PER_RUNNING_REQUEST_S = 0.1  # Added for each request that this data plane runs at a backend.
NEW_CONNECTION_COST_S = 0.03  # Opening a connection, including the backend's cost.
OTHER_ZONE_COST_S = 0.01  # Crossing zones, including the cost of the traffic.
PREFIX_AFFINITY_S = 0.2  # Extra expected latency accepted at the backend that hosts the prefix.
SLOT_OVERCOMMIT = 1.5  # Multiple of an even share of the slots: clients are not spread evenly over data planes.


def choose_backend(
    candidates: Sequence[RegisteredBackend],
    health: BackendHealthTracker,
    prefix: str,
    zone: str,
    model_key: ModelKey,
    idle: Collection[str] | None = None,
    now: float = 0.0,
    extra_cost_s: Callable[[RegisteredBackend], float] = lambda backend: 0.0,
) -> RegisteredBackend | None:
    """Choose the backend for a request.

    Args:
        candidates: Usable backends that hold the model.
        health: Load and latency of each backend.
        prefix: Identifier of the prompt's shared prefix, empty for none.
        zone: Zone of this data plane.
        model_key: Requested model.
        idle: Backends with an idle connection; None to ignore the cost of new connections.
        now: Loop time.
        extra_cost_s: Returns additional costs of a backend, in seconds.

    Returns:
        The backend, or None if there is no candidate.
    """
    if not candidates:
        return None

    def expected_s(backend: RegisteredBackend) -> float:
        connect_cost = NEW_CONNECTION_COST_S if idle is not None and backend.id not in idle else 0.0
        zone_cost = OTHER_ZONE_COST_S if backend.zone != zone else 0.0
        queue_cost = COST_PER_RUNNING_REQUEST_S * health.of(backend.id).running
        return health.expected_latency_s(backend.id, now) + queue_cost + connect_cost + zone_cost + extra_cost_s(backend)

    if prefix and len(candidates) > 1:
        key = f"{model_key.model}/{model_key.adapter}/{prefix}"
        preferred = max(candidates, key=lambda backend: rendezvous_weight(key, backend.id))  # Rendezvous hashing.
        if expected_s(preferred) <= min(expected_s(backend) for backend in candidates) + PREFIX_AFFINITY_S:
            return preferred

    def cost(backend: RegisteredBackend) -> tuple[float, bool, bool, float]:
        load = expected_s(backend) if model_key.model else health.of(backend.id).running / backend.slots
        return load, idle is not None and backend.id not in idle, backend.zone != zone, random.random()

    return min(candidates, key=cost)


class BackendSelector:
    """Selects backends from the current registry snapshot and this data plane's own measurements.

    Args:
        clock: Loop time in seconds.
        health: Load, latency and failures of each backend.
        pool: Knows which backends have an idle connection.
        zone: Zone of this data plane.
        versions: Knows which backends have older weights than others.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        health: BackendHealthTracker,
        pool: ConnectionPool,
        zone: str,
        versions: ModelVersions | None = None,
    ) -> None:
        self._clock, self._health, self._pool, self._zone = clock, health, pool, zone
        self._versions = versions or ModelVersions()
        self._registry = RegistrySnapshot()
        self._data_plane_count = 1

    def update(self, registry: RegistrySnapshot, data_plane_count: int) -> None:
        """Switch to a new snapshot of the registry."""
        self._registry, self._data_plane_count = registry, data_plane_count
        self._health.keep_only(registry.by_id)
        self._versions.update(registry.by_id.values(), self._clock())

    def registered(self, service: str) -> Sequence[RegisteredBackend]:
        """Return all registered backends of a service, usable or not."""
        return self._registry.by_service.get(service, ())

    def available(self, model_key: ModelKey, now: float) -> list[RegisteredBackend]:
        """Return the backends that hold a model and can be used now."""
        return self._health.serving(self._registry.by_service.get(model_key.service, ()), model_key, now)

    def available_slots(self, model_key: ModelKey) -> float:
        """Return this data plane's share of the slots of the available backends that hold a model."""
        slots = sum(backend.slots for backend in self.available(model_key, self._clock()))
        return SLOT_OVERCOMMIT * slots / self._data_plane_count if slots else 0.0

    def select(self, model_key: ModelKey, prefix: str, rejected_by: Collection[str]) -> RegisteredBackend | None:
        """Select the backend for a request.

        Args:
            model_key: Requested model.
            prefix: Identifier of the prompt's shared prefix.
            rejected_by: Backends that have already failed to serve the request; used again only if there is no other.

        Returns:
            The backend, or None if none is available.
        """
        now = self._clock()
        available = self.available(model_key, now)
        candidates = [backend for backend in available if backend.id not in rejected_by] or available
        candidates = self._versions.without_outdated(candidates, model_key, now)
        idle = {backend.id for backend in candidates if self._pool.has_idle(backend.id)}

        def extra_cost_s(backend: RegisteredBackend) -> float:
            return self._versions.extra_cost_s(backend, model_key, now)

        return choose_backend(candidates, self._health, prefix, self._zone, model_key, idle, now, extra_cost_s)

    def has_alternative(self, model_key: ModelKey, backend: RegisteredBackend) -> bool:
        """Return whether another backend than this one is available for a model."""
        return any(other.id != backend.id for other in self.available(model_key, self._clock()))

    def is_routable(self, backend: RegisteredBackend) -> bool:
        """Return whether the backend is still registered and not draining."""
        registered = self._registry.by_id.get(backend.id)
        return registered is not None and not registered.draining
