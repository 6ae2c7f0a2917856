"""Plans loads and unloads of models. Pure; sizes in MB, times in seconds."""

from __future__ import annotations

from typing import NamedTuple

from mulleinhatch.configuration.routes import ModelSpec
from mulleinhatch.control_plane.placement.backend_view import BackendView, model_mb, used_mb
from mulleinhatch.control_plane.placement.order import Operation, Order
from mulleinhatch.control_plane.placement.plan_draft import EVICTION_GAIN_FACTOR, PlanDraft
from mulleinhatch.membership.rendezvous import rendezvous_weight

MIN_RESIDENCE_S = 1.5  # no eviction this soon after a load, so that the requests queued for the model are served
DISK_LOAD_S = 1.0  # expected time of a load from the backend's own disk
UNLOAD_S = 0.1  # expected time of an unload
UNLOAD_COST_S = 0.2  # cost of each unload that must precede a load
ADAPTER_DISTURBANCE_S = 0.5  # cost of a load per adapter request per second, which the busy backend delays


class _Candidate(NamedTuple):
    """A backend that could load a model; a tuple because each pass creates one per pair of model and backend.

    Attributes:
        cost: Seconds until the model is loaded, plus the value per second lost by evictions and the cost of delayed
            adapter orders.
        tie_break: Orders backends of equal cost; the order differs from model to model.
        backend: The backend.
        evictions: Models to unload first, cheapest first.
    """

    cost: float
    tie_break: float
    backend: BackendView
    evictions: list[str]


class ModelPlanner:
    """Places replicas of models.

    Args:
        draft: The plan to add orders to.
        store_loads_available: The number of loads from the weight store that may start now.
    """

    def __init__(self, draft: PlanDraft, store_loads_available: int) -> None:
        self._draft, self._store_loads_available = draft, store_loads_available
        # Local references, because a pass reads these for each pair of model and backend.
        self._engine, self._demand, self._value, self._now = draft.engine, draft.demand, draft.value, draft.now
        # Caches of values that a pass reads for each pair of model and backend but that depend on only one of them.
        self._free_mb: dict[str, float] = {}  # by backend; valid for the whole pass, because views do not change
        self._losses: dict[str, float] = {}  # by model; valid until an eviction is planned
        self._ranked_models: dict[str, list[str]] = {}  # by backend; valid until an eviction is planned
        self._adapter_rates: dict[str, float] = {}  # by backend; valid until an eviction is planned

    def plan_reserved_loads(self) -> None:
        """Load models for which an earlier unload has freed memory."""
        for backend in self._draft.backends:
            spec = self._engine.models.get(backend.reserved_for)
            if spec is None or not backend.is_idle or backend.reserved_for in backend.models:
                continue
            if not self._can_load(backend, spec.name):
                continue
            evictions = self._evictions_for(backend, spec)
            if evictions is not None:
                self._append(backend, spec, evictions)

    def plan_replicas(self) -> None:
        """Place one more replica of each model that needs one: models without any replica first, then by demand."""
        value, models = self._value, self._engine.models
        missing = [model for model in self._demand if model in models and value.needs_replica(model)]
        missing.sort(key=lambda model: (value.replicas(model) > 0, -value.demand_value(model), model))
        for model in missing:
            self._plan_replica(models[model])

    def _plan_replica(self, spec: ModelSpec) -> None:
        best: _Candidate | None = None
        for backend in self._draft.orderable_backends():
            candidate = self._candidate(backend, spec)
            # The first two fields are cost and tie break; of equal candidates the first one wins.
            if candidate is not None and (best is None or candidate[:2] < best[:2]):
                best = candidate
        if best is not None:
            self._append(best.backend, spec, best.evictions)

    def _candidate(self, backend: BackendView, spec: ModelSpec) -> _Candidate | None:
        """Return the backend as a candidate for the model's next replica, or None if it can't load the model now."""
        model = spec.name
        if backend.reserved_for or model in backend.models or (model, "") in backend.loading:
            return None
        if not self._can_load(backend, model):
            return None
        evictions = self._evictions_for(backend, spec)
        if evictions is None:
            return None
        cost = self._cost(backend, spec, evictions)
        return _Candidate(cost, -rendezvous_weight(model, backend.address) / 2**64, backend, evictions)

    def _can_load(self, backend: BackendView, model: str) -> bool:
        """Return whether the model is on the backend's disk or a load from the weight store may start."""
        return model in backend.disk_models or self._store_loads_available > 0

    @staticmethod
    def _load_s(backend: BackendView, spec: ModelSpec) -> float:
        return DISK_LOAD_S if spec.name in backend.disk_models else spec.load_s

    def _cost(self, backend: BackendView, spec: ModelSpec, evictions: list[str]) -> float:
        delay_s = self._load_s(backend, spec) + UNLOAD_COST_S * len(evictions)
        loss = sum(self._loss(model) for model in evictions)
        return delay_s + loss + ADAPTER_DISTURBANCE_S * self._adapter_rate(backend)

    def _adapter_rate(self, backend: BackendView) -> float:
        """Return the adapter requests per second that may need adapter orders on this backend."""
        rate = self._adapter_rates.get(backend.id)
        if rate is None:
            demand, value = self._demand, self._value
            rate = self._adapter_rates[backend.id] = sum(
                sum(adapter.rate for adapter in demand[model].adapters.values()) / max(1, value.replicas(model))
                for model in backend.models
                if model in demand
            )
        return rate

    def _loss(self, model: str) -> float:
        loss = self._losses.get(model)
        if loss is None:
            loss = self._losses[model] = self._value.loss(model)
        return loss

    def _free_memory_mb(self, backend: BackendView) -> float:
        free_mb = self._free_mb.get(backend.id)
        if free_mb is None:
            free_mb = self._free_mb[backend.id] = self._engine.weights_mb - used_mb(backend, self._engine)
        return free_mb

    def _evictions_for(self, backend: BackendView, spec: ModelSpec) -> list[str] | None:
        """Return the models to unload so that a model fits, cheapest first.

        Returns:
            An empty list if the model fits already; None if it can't fit or if the evictions would lose too much value.
        """
        engine, value = self._engine, self._value
        free_mb = self._free_memory_mb(backend) - spec.weights_mb
        if free_mb >= 0:
            return []
        evictions, loss = [], 0.0
        gain = value.gain(spec.name, backend.reserved_for == spec.name)
        for model in self._by_loss(backend):
            demand, hosted = self._demand.get(model), backend.models[model]
            if demand is not None and demand.pending and value.replicas(model) <= 1:
                continue  # requests are queued for the last replica
            if self._now - hosted.loaded_at < MIN_RESIDENCE_S:
                continue
            loss += self._loss(model)
            if EVICTION_GAIN_FACTOR * loss > gain:
                return None
            evictions.append(model)
            free_mb += model_mb(model, hosted, engine)
            if free_mb >= 0:
                return evictions
        return None

    def _by_loss(self, backend: BackendView) -> list[str]:
        """Return the models of a backend that are not being unloaded, in ascending order of their eviction's loss."""
        ranked = self._ranked_models.get(backend.id)
        if ranked is None:
            models = (model for model in backend.models if (model, "") not in backend.unloading)
            ranked = self._ranked_models[backend.id] = sorted(models, key=lambda model: (self._loss(model), model))
        return ranked

    def _append(self, backend: BackendView, spec: ModelSpec, evictions: list[str]) -> None:
        """Plan the load, or the first unload that it needs."""
        load = self._load_order(backend, spec)
        if not evictions:
            self._store_loads_available -= load.from_store
            self._draft.append(load)
            return
        unload = Order(
            backend.id,
            Operation.UNLOAD,
            evictions[0],
            expected_s=UNLOAD_S,
            reason=f"makes room for {spec.name}",
            reserved_for=spec.name,
            follow_up=load if len(evictions) == 1 else None,
        )
        self._draft.append(unload)
        # The eviction changes the value of the remaining replicas.
        for cache in (self._losses, self._ranked_models, self._adapter_rates):
            cache.clear()

    def _load_order(self, backend: BackendView, spec: ModelSpec) -> Order:
        value = self._value
        return Order(
            backend.id,
            Operation.LOAD,
            spec.name,
            from_store=spec.name not in backend.disk_models,
            expected_s=self._load_s(backend, spec),
            reason=f"value {value.demand_value(spec.name):.2f}, copies {value.replicas(spec.name)}",
        )
