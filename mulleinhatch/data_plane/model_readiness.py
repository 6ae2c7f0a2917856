"""Estimates when a backend will be able to serve a model, from the registry and this data plane's measurements."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from mulleinhatch.configuration.routes import Service
from mulleinhatch.data_plane.backend_health import BackendHealthTracker
from mulleinhatch.data_plane.backend_selection import BackendSelector
from mulleinhatch.data_plane.registry_snapshot import ModelKey, RegisteredBackend

DEFAULT_RETRY_AFTER_S = 0.3  # If there is no better estimate.
DEFAULT_MODEL_LOAD_S = 1.0  # If the configuration does not specify a model's load time.
PLACEMENT_LATENCY_S = 0.4  # From demand report to placement order, plus from the end of the load to its arrival in a snapshot.
ADAPTER_LOAD_S = 0.3
MIN_EXPECTED_LOAD_S = 0.05  # Estimate for an overdue load.


class ModelReadiness:
    """Estimates the seconds until a model can be served.

    Args:
        clock: Loop time in seconds.
        selector: Knows which backends are registered and available.
        health: Knows the cooldowns of the backends.
    """

    def __init__(self, clock: Callable[[], float], selector: BackendSelector, health: BackendHealthTracker) -> None:
        self._clock, self._selector, self._health = clock, selector, health
        self._services: Mapping[str, Service] = {}

    def update(self, services: Mapping[str, Service]) -> None:
        """Switch to the services of a new configuration."""
        self._services = services

    def ready_in_s(self, model_key: ModelKey) -> float:
        """Return the estimated seconds until a backend can serve a model, 0 if one can now."""
        now = self._clock()
        if self._selector.available(model_key, now):
            return 0.0
        backends = self._selector.registered(model_key.service)
        seconds = [
            *(
                self._health.of(backend.id).cooldown_until - now
                for backend in backends
                if self._is_cooling_down(backend, model_key)
            ),
            *(
                expected_at - now
                for backend in backends
                if not backend.draining
                for (model, adapter), expected_at in backend.loads.items()
                if model == model_key.model and adapter in ("", model_key.adapter)
            ),
        ]
        if not seconds:
            return self._unplaced_load_s(model_key)
        return min(max(MIN_EXPECTED_LOAD_S, remaining_s) for remaining_s in seconds)

    def retry_after_s(self, model_key: ModelKey) -> float:
        """Return the seconds after which a rejected client should retry."""
        return max(DEFAULT_RETRY_AFTER_S, self.ready_in_s(model_key))

    def _is_cooling_down(self, backend: RegisteredBackend, model_key: ModelKey) -> bool:
        is_misplaced = self._health.of(backend.id).is_misplaced
        return backend.has_model(model_key) and not backend.draining and not backend.silent and not is_misplaced

    def _unplaced_load_s(self, model_key: ModelKey) -> float:
        """Return the estimated seconds until a model that no backend holds or loads is placed and loaded."""
        if not model_key.model:
            return DEFAULT_RETRY_AFTER_S
        service = self._services.get(model_key.service)
        if service is None or service.engine is None:
            return DEFAULT_MODEL_LOAD_S
        if model_key.adapter and any(
            model_key.model in backend.models for backend in self._selector.registered(model_key.service)
        ):
            return ADAPTER_LOAD_S
        model_settings = service.engine.models.get(model_key.model)
        return (model_settings.load_s if model_settings is not None else DEFAULT_MODEL_LOAD_S) + PLACEMENT_LATENCY_S
