"""Plans loads and unloads of models. Pure; sizes in MB, times in seconds."""

from __future__ import annotations

from typing import NamedTuple

from mulleinhatch.configuration.routes import ModelSpec
from mulleinhatch.control_plane.placement.backend_view import BackendView, model_mb, used_mb
from mulleinhatch.control_plane.placement.order import Operation, Order
from mulleinhatch.control_plane.placement.plan_draft import EVICTION_GAIN_FACTOR, PlanDraft
from mulleinhatch.membership.rendezvous import rendezvous_weight

MIN_RESIDENCE_S = 1.5  # a model is not evicted for so long after its load, so that the requests that waited for it are served
DISK_LOAD_S = 1.0  # expected time of a load from the backend's own disk
UNLOAD_S = 0.1  # expected time of an unload
UNLOAD_COST_S = 0.2  # cost of each unload that a load needs first
ADAPTER_DISTURBANCE_S = 0.5  # cost of a load for each adapter request per second that the busy backend delays


class _Candidate(NamedTuple):
    """A backend that could load a model; a tuple, as a pass makes one for each pair of a model and a backend.

    Attributes:
        cost: Seconds until the model is loaded, plus the value per second that evictions lose and the disturbance of adapters.
        tie_break: Orders backends of equal cost, differently for each model.
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
        store_loads_available: How many loads from the weight store may start now.
    """

    def __init__(self, draft: PlanDraft, store_loads_available: int) -> None:
        self._draft, self._store_loads_available = draft, store_loads_available
        # Local references: a pass looks these up for each pair of a model and a backend.
        self._engine, self._demand, self._value, self._now = draft.engine, draft.demand, draft.value, draft.now
        # What a pass needs for each pair of a model and a backend, but depends on one of them alone.
        self._free_mb: dict[str, float] = {}  # by backend; views do not change within a pass
        self._losses: dict[str, float] = {}  # by model, until an eviction is planned
        self._ranked_models: dict[str, list[str]] = {}  # by backend, until an eviction is planned
        self._adapter_rates: dict[str, float] = {}  # by backend, until an eviction is planned

    def plan_reserved_loads(self) -> None:
        """Load models for which an earlier unload has freed memory."""
        for backend in self._draft.backends:
            facts = self._engine.models.get(backend.reserved_for)
            if facts is None or not backend.is_idle or backend.reserved_for in backend.models:
                continue
            if not self._can_load(backend, facts.name):
                continue
            evictions = self._evictions_for(backend, facts)
            if evictions is not None:
                self._append(backend, facts, evictions)

    def plan_replicas(self) -> None:
        """Place one more replica of each model that needs one: models without any replica first, then by demand."""
        value, models = self._value, self._engine.models
        missing = [model for model in self._demand if model in models and value.needs_replica(model)]
        missing.sort(key=lambda model: (value.replicas(model) > 0, -value.demand_value(model), model))
        for model in missing:
            self._plan_replica(models[model])

    def _plan_replica(self, facts: ModelSpec) -> None:
        best: _Candidate | None = None
        for backend in self._draft.orderable_backends():
            candidate = self._candidate(backend, facts)
            # Cost and tie break come first in the tuple; of equal candidates the first backend stays.
            if candidate is not None and (best is None or candidate[:2] < best[:2]):
                best = candidate
        if best is not None:
            self._append(best.backend, facts, best.evictions)

    def _candidate(self, backend: BackendView, facts: ModelSpec) -> _Candidate | None:
        """Return a backend as a candidate for a model's next replica, or None if it can't load the model now."""
        model = facts.name
        if backend.reserved_for or model in backend.models or (model, "") in backend.loading:
            return None
        if not self._can_load(backend, model):
            return None
        evictions = self._evictions_for(backend, facts)
        if evictions is None:
            return None
        cost = self._cost(backend, facts, evictions)
        return _Candidate(cost, -rendezvous_weight(model, backend.address) / 2**64, backend, evictions)

    def _can_load(self, backend: BackendView, model: str) -> bool:
        """Return whether the backend's disk has the model or the weight store may be read."""
        return model in backend.disk_models or self._store_loads_available > 0

    @staticmethod
    def _load_s(backend: BackendView, facts: ModelSpec) -> float:
        return DISK_LOAD_S if facts.name in backend.disk_models else facts.load_s

    def _cost(self, backend: BackendView, facts: ModelSpec, evictions: list[str]) -> float:
        delay_s = self._load_s(backend, facts) + UNLOAD_COST_S * len(evictions)
        loss = sum(self._loss(model) for model in evictions)
        return delay_s + loss + ADAPTER_DISTURBANCE_S * self._adapter_rate(backend)

    def _adapter_rate(self, backend: BackendView) -> float:
        """Return the requests per second for adapters that may need an order at this backend."""
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

    def _evictions_for(self, backend: BackendView, facts: ModelSpec) -> list[str] | None:
        """Return the models to unload so that a model fits, cheapest first.

        Returns:
            An empty list if the model fits already; None if it can't fit or if evictions lose too much against its gain.
        """
        engine, value = self._engine, self._value
        free_mb = self._free_memory_mb(backend) - facts.weights_mb
        if free_mb >= 0:
            return []
        evictions, loss = [], 0.0
        gain = value.gain(facts.name, backend.reserved_for == facts.name)
        for model in self._by_loss(backend):
            demand, hosted = self._demand.get(model), backend.models[model]
            if demand is not None and demand.pending and value.replicas(model) <= 1:
                continue  # requests wait for the last replica
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
        """Return the models that stay loaded at a backend, the one whose eviction loses least first."""
        ranked = self._ranked_models.get(backend.id)
        if ranked is None:
            models = (model for model in backend.models if (model, "") not in backend.unloading)
            ranked = self._ranked_models[backend.id] = sorted(models, key=lambda model: (self._loss(model), model))
        return ranked

    def _append(self, backend: BackendView, facts: ModelSpec, evictions: list[str]) -> None:
        """Order the load, or the first unload that it needs."""
        load = self._load_order(backend, facts)
        if not evictions:
            self._store_loads_available -= load.from_store
            self._draft.append(load)
            return
        unload = Order(
            backend.id,
            Operation.UNLOAD,
            evictions[0],
            expected_s=UNLOAD_S,
            reason=f"makes room for {facts.name}",
            reserved_for=facts.name,
            follow_up=load if len(evictions) == 1 else None,
        )
        self._draft.append(unload)
        # One replica fewer changes what the others are worth.
        for memo in (self._losses, self._ranked_models, self._adapter_rates):
            memo.clear()

    def _load_order(self, backend: BackendView, facts: ModelSpec) -> Order:
        value = self._value
        return Order(
            backend.id,
            Operation.LOAD,
            facts.name,
            from_store=facts.name not in backend.disk_models,
            expected_s=self._load_s(backend, facts),
            reason=f"value {value.demand_value(facts.name):.2f}, copies {value.replicas(facts.name)}",
        )
