"""Which backend a started request goes to.

Among the backends that hold the model, the one that hosts the prompt's shared prefix is preferred while it is not expected to
respond much later than the others; else the backend that is expected to respond first.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence

from mulleinhatch.data_plane.backend_health import BackendHealthTracker
from mulleinhatch.data_plane.connection_pool import ConnectionPool
from mulleinhatch.data_plane.model_versions import ModelVersions
from mulleinhatch.data_plane.registry_snapshot import ModelKey, RegisteredBackend, RegistrySnapshot
from mulleinhatch.membership.rendezvous import rendezvous_weight

COST_PER_RUNNING_REQUEST_S = 0.1  # what one more request of ours at a backend costs those after it
NEW_CONNECTION_COST_S = 0.03  # opening a connection, with what it costs the backend
OTHER_ZONE_COST_S = 0.01  # crossing zones, with what the bytes cost
PREFIX_AFFINITY_S = 0.2  # a backend with the prefix may be expected to respond so much later than the best
SLOT_OVERCOMMIT = 1.5  # of an even part of the backends' slots: clients are not spread evenly over data planes


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
        candidates: Backends that hold the model and may be used.
        health: Load and latency of each.
        prefix: Identifier of the prompt's shared prefix, empty for none.
        zone: Zone of this data plane.
        model_key: Model that is asked for.
        idle: Backends with an idle connection; None where that does not matter.
        now: Loop time.
        extra_cost_s: Returns what speaks against a backend besides, in seconds.

    Returns:
        The backend, None where there is no candidate.
    """
    if not candidates:
        return None

    def expected_s(backend: RegisteredBackend) -> float:
        connecting = NEW_CONNECTION_COST_S if idle is not None and backend.id not in idle else 0.0
        crossing = OTHER_ZONE_COST_S if backend.zone != zone else 0.0
        queueing = COST_PER_RUNNING_REQUEST_S * health.of(backend.id).running
        return health.expected_latency_s(backend.id, now) + queueing + connecting + crossing + extra_cost_s(backend)

    if prefix and len(candidates) > 1:
        key = f"{model_key.model}/{model_key.adapter}/{prefix}"
        home = max(candidates, key=lambda backend: rendezvous_weight(key, backend.id))  # rendezvous hashing
        if expected_s(home) <= min(expected_s(backend) for backend in candidates) + PREFIX_AFFINITY_S:
            return home

    def cost(backend: RegisteredBackend) -> tuple[float, bool, bool, float]:
        load = expected_s(backend) if model_key.model else health.of(backend.id).running / backend.slots
        return load, idle is not None and backend.id not in idle, backend.zone != zone, random.random()

    return min(candidates, key=cost)


class BackendSelector:
    """Selects backends by the registry snapshot in force and this data plane's own measurements.

    Args:
        clock: Loop time in seconds.
        health: Load, latency and failures of each backend.
        pool: Tells which backends have an idle connection.
        zone: Zone of this data plane.
        versions: Tells which backends have older weights than others.
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
        """Use a new snapshot of the registry."""
        self._registry, self._data_plane_count = registry, data_plane_count
        self._health.keep_only(registry.by_id)
        self._versions.update(registry.by_id.values(), self._clock())

    def registered(self, service: str) -> Sequence[RegisteredBackend]:
        """Return all backends of a service, usable or not."""
        return self._registry.by_service.get(service, ())

    def available(self, model_key: ModelKey, now: float) -> list[RegisteredBackend]:
        """Return the backends that hold a model and may be used now."""
        return self._health.serving(self._registry.by_service.get(model_key.service, ()), model_key, now)

    def available_slots(self, model_key: ModelKey) -> float:
        """Return this data plane's part of the slots of the backends that hold a model."""
        slots = sum(backend.slots for backend in self.available(model_key, self._clock()))
        return SLOT_OVERCOMMIT * slots / self._data_plane_count if slots else 0.0

    def select(self, model_key: ModelKey, prefix: str, rejected_by: Collection[str]) -> RegisteredBackend | None:
        """Select the backend for a request.

        Args:
            model_key: Model that is asked for.
            prefix: Identifier of the prompt's shared prefix.
            rejected_by: Backends that did not serve the request already; used again only where there is no other.

        Returns:
            The backend, None where none is available.
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
