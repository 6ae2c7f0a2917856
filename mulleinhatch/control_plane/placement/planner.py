"""Which models and adapters should stand where: from what backends hold and what is asked for to the next orders. Pure.

Each backend carries out one order at a time, so the plan names at most one order for each. A model that is wanted and stands
nowhere comes first, then further copies of busy ones; what makes room is what is worth least. Sizes in MB, times in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from mulleinhatch.configuration.routes import Engine, ModelFacts
from mulleinhatch.control_plane.placement.backend_view import BackendView, model_mb, used_adapters, used_mb
from mulleinhatch.control_plane.placement.demand import AggregatedDemand
from mulleinhatch.control_plane.placement.order import Operation, Order
from mulleinhatch.control_plane.placement.value import MIN_RATE_PER_S, PENDING_VALUE_PER_S, ModelValue
from mulleinhatch.membership.rendezvous import weight

EVICTION_GAIN_FACTOR = 3.0  # what stands is worth this much more than what would come: nothing comes and goes for noise
MIN_RESIDENCE_S = 1.5  # a model stays so long after its load, that who waited for it is served
DISK_LOAD_S = 1.0  # a load from the backend's own disk, as far as is known
UNLOAD_COST_S = 0.2  # that each unload before a load costs, in seconds
ADAPTER_DISTURBANCE_S = 0.5  # seconds that a load is dearer for each request a second for adapters at that backend


class Planner:
    """One look at one service."""

    def __init__(
        self,
        engine: Engine,
        backends: Sequence[BackendView],
        demand: Mapping[str, AggregatedDemand],
        now: float,
        store_loads_available: int,
    ) -> None:
        self.engine, self.demand, self.now, self.store_loads_available = engine, demand, now, store_loads_available
        self.backends = [backend for backend in backends if backend.is_serving]
        self.orders: list[Order] = []
        self._ordered: set[str] = set()
        self.value = ModelValue(self.backends, demand)
        self._placed_adapters = {pair for backend in self.backends for pair in backend.retained_adapters()}

    def plan(self) -> list[Order]:
        """At most one order for each backend."""
        self._plan_reserved_loads()
        self._plan_adapters()
        for model in self._models_needing_replicas():
            self._plan_replica(model)
        return self.orders

    def _models_needing_replicas(self) -> list[str]:
        """Models that need another copy: those that stand nowhere first, the most wanted first."""
        value = self.value
        missing = [model for model in self.demand if model in self.engine.models and value.needs_replica(model)]
        return sorted(missing, key=lambda model: (value.replicas(model) > 0, -value.demand_value(model), model))

    # Models.

    def _plan_reserved_loads(self) -> None:
        """Where room was made for a model it is loaded next."""
        for backend in self.backends:
            facts = self.engine.models.get(backend.reserved_for)
            if facts is None or not backend.is_idle or backend.reserved_for in backend.models:
                continue
            if self.store_loads_available <= 0 and facts.name not in backend.disk_models:
                continue
            evictions = self._evictions_for(backend, facts)
            if evictions is not None:
                self._append_model_order(backend, facts, evictions)

    def _plan_replica(self, model: str) -> None:
        facts = self.engine.models[model]
        best: tuple[float, float, BackendView, list[str]] | None = None
        for backend in self.backends:
            if (
                not backend.is_idle
                or backend.id in self._ordered
                or backend.reserved_for
                or model in backend.models
                or (model, "") in backend.loading
            ):
                continue
            on_disk = model in backend.disk_models
            if not on_disk and self.store_loads_available <= 0:
                continue
            evictions = self._evictions_for(backend, facts)
            if evictions is None:
                continue
            cost = self._placement_cost_s(backend, facts, on_disk, evictions)
            key = (cost, -weight(model, backend.address) / 2**64)
            if best is None or key < best[:2]:
                best = (*key, backend, evictions)
        if best is not None:
            self._append_model_order(best[2], facts, best[3])

    def _placement_cost_s(self, backend: BackendView, facts: ModelFacts, on_disk: bool, evictions: list[str]) -> float:
        """Of a placement at a backend: seconds until it stands, with what gives way and what is disturbed counted as such."""
        delay = (DISK_LOAD_S if on_disk else facts.load_s) + UNLOAD_COST_S * len(evictions)
        return (
            delay
            + sum(self.value.loss(eviction) for eviction in evictions)
            + ADAPTER_DISTURBANCE_S * self._adapter_rate(backend)
        )

    def _append_model_order(self, backend: BackendView, facts: ModelFacts, evictions: list[str]) -> None:
        load = self._load_order(backend, facts)
        if not evictions:
            self.store_loads_available -= load.from_store
            self._append(load)
            return
        reason = f"makes room for {facts.name}"
        follow_up = load if len(evictions) == 1 else None
        self._append(
            Order(
                backend.id,
                Operation.UNLOAD,
                evictions[0],
                expected_s=0.1,
                reason=reason,
                reserved_for=facts.name,
                follow_up=follow_up,
            )
        )

    def _load_order(self, backend: BackendView, facts: ModelFacts) -> Order:
        on_disk = facts.name in backend.disk_models
        reason = f"value {self.value.demand_value(facts.name):.2f}, copies {self.value.replicas(facts.name)}"
        expected_s = DISK_LOAD_S if on_disk else facts.load_s
        return Order(backend.id, Operation.LOAD, facts.name, from_store=not on_disk, expected_s=expected_s, reason=reason)

    def _append(self, order: Order) -> None:
        self.orders.append(order)
        self._ordered.add(order.backend_id)
        if order.operation is Operation.UNLOAD and not order.adapter:
            self.value.record_eviction(order.model)

    def _adapter_rate(self, backend: BackendView) -> float:
        """Requests a second for adapters that may need an order at this backend."""
        return sum(
            sum(adapter.rate for adapter in self.demand[model].adapters.values()) / max(1, self.value.replicas(model))
            for model in backend.models
            if model in self.demand
        )

    def _evictions_for(self, backend: BackendView, facts: ModelFacts) -> list[str] | None:
        """Models whose going makes room for one, cheapest first; None where that costs more than it brings."""
        free_mb = self.engine.weights_mb - used_mb(backend, self.engine) - facts.weights_mb
        if free_mb >= 0:
            return []
        evictions, lost_value = [], 0.0
        gain = self.value.gain(facts.name, backend.reserved_for == facts.name)
        evictable = sorted(
            (model for model in backend.models if (model, "") not in backend.unloading),
            key=lambda model: (self.value.loss(model), model),
        )
        for model in evictable:
            hosted, demand = backend.models[model], self.demand.get(model)
            if demand is not None and demand.pending and self.value.replicas(model) <= 1:
                continue
            if self.now - hosted.loaded_at < MIN_RESIDENCE_S:
                continue
            lost_value += self.value.loss(model)
            if EVICTION_GAIN_FACTOR * lost_value > gain:
                return None
            evictions.append(model)
            free_mb += model_mb(model, hosted, self.engine)
            if free_mb >= 0:
                return evictions
        return None

    # Adapters.

    def _plan_adapters(self) -> None:
        missing = []
        for model, model_demand in self.demand.items():
            for adapter, demand in model_demand.adapters.items():
                if (demand.pending or demand.rate >= MIN_RATE_PER_S) and not self._is_adapter_placed(model, adapter):
                    missing.append((-demand.pending, -demand.value, model, adapter))
        for _, _, model, adapter in sorted(missing):
            self._plan_adapter(model, adapter)

    def _is_adapter_placed(self, model: str, adapter: str) -> bool:
        return (model, adapter) in self._placed_adapters

    def _plan_adapter(self, model: str, adapter: str) -> None:
        facts = self.engine.models.get(model)
        hosts = [
            backend
            for backend in self.backends
            if model in backend.models
            and (model, "") not in backend.unloading
            and backend.is_idle
            and backend.id not in self._ordered
        ]
        if facts is None or not hosts:
            return
        with_capacity = [
            backend
            for backend in hosts
            if used_adapters(backend) < self.engine.adapter_slots
            and used_mb(backend, self.engine) + facts.adapter_size_mb <= self.engine.weights_mb
        ]
        if with_capacity:
            backend = min(
                with_capacity, key=lambda backend: (used_adapters(backend), -weight(f"{model}/{adapter}", backend.address))
            )
            self._append(Order(backend.id, Operation.LOAD, model, adapter, expected_s=0.05, reason="adapter wanted"))
            return
        self._evict_adapter(hosts, model, adapter)

    def _evict_adapter(self, hosts: Iterable[BackendView], model: str, adapter: str) -> None:
        gain = self._adapter_value(model, adapter)
        best: tuple[float, BackendView, str, str] | None = None
        for backend in hosts:
            for other, hosted in backend.models.items():
                for name in hosted.adapters:
                    lost_value = self._adapter_value(other, name)
                    if best is None or lost_value < best[0]:
                        best = (lost_value, backend, other, name)
        if best is not None and EVICTION_GAIN_FACTOR * best[0] < gain:
            self._append(
                Order(
                    best[1].id, Operation.UNLOAD, best[2], best[3], expected_s=0.05, reason=f"makes room for {model}/{adapter}"
                )
            )

    def _adapter_value(self, model: str, adapter: str) -> float:
        model_demand = self.demand.get(model)
        demand = model_demand.adapters.get(adapter) if model_demand is not None else None
        return demand.value + PENDING_VALUE_PER_S * demand.pending if demand is not None else 0.0
