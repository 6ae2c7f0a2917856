"""Plans loads and unloads of adapters. Pure; sizes in MB."""

from __future__ import annotations

from collections.abc import Sequence

from mulleinhatch.control_plane.placement.backend_view import BackendView, used_adapters, used_mb
from mulleinhatch.control_plane.placement.order import Operation, Order
from mulleinhatch.control_plane.placement.plan_draft import EVICTION_GAIN_FACTOR, PlanDraft
from mulleinhatch.control_plane.placement.value import MIN_RATE_PER_S, PENDING_VALUE_PER_S
from mulleinhatch.membership.rendezvous import rendezvous_weight

ADAPTER_ORDER_S = 0.05  # expected time of loading or unloading an adapter


class AdapterPlanner:
    """Places each requested adapter on one backend that has the adapter's model loaded.

    Args:
        draft: The plan to add orders to.
    """

    def __init__(self, draft: PlanDraft) -> None:
        self._draft = draft
        self._placed = {pair for backend in draft.backends for pair in backend.retained_adapters()}

    def plan(self) -> None:
        """Plan a load for each requested adapter that no backend has, in descending order of pending requests."""
        missing = [
            (-demand.pending, -demand.value, model, adapter)
            for model, model_demand in self._draft.demand.items()
            for adapter, demand in model_demand.adapters.items()
            if (demand.pending or demand.rate >= MIN_RATE_PER_S) and (model, adapter) not in self._placed
        ]
        for _, _, model, adapter in sorted(missing):
            self._plan_adapter(model, adapter)

    def _plan_adapter(self, model: str, adapter: str) -> None:
        hosts = [
            backend
            for backend in self._draft.orderable_backends()
            if model in backend.models and (model, "") not in backend.unloading
        ]
        spec = self._draft.engine.models.get(model)
        if spec is None or not hosts:
            return
        with_capacity = [backend for backend in hosts if self._has_capacity(backend, spec.adapter_size_mb)]
        if not with_capacity:
            self._plan_eviction(hosts, model, adapter)
            return
        # Among equally loaded backends the rendezvous weight spreads adapters, with the same result in each pass.
        target = min(
            with_capacity,
            key=lambda backend: (used_adapters(backend), -rendezvous_weight(f"{model}/{adapter}", backend.address)),
        )
        self._draft.append(
            Order(target.id, Operation.LOAD, model, adapter, expected_s=ADAPTER_ORDER_S, reason="adapter wanted")
        )

    def _has_capacity(self, backend: BackendView, adapter_mb: float) -> bool:
        engine = self._draft.engine
        return used_adapters(backend) < engine.adapter_slots and used_mb(backend, engine) + adapter_mb <= engine.weights_mb

    def _plan_eviction(self, hosts: Sequence[BackendView], model: str, adapter: str) -> None:
        """Unload the least valuable adapter on the hosts if the requested one is worth enough more."""
        candidates = [
            (self._value(hosted_model, name), backend, hosted_model, name)
            for backend in hosts
            for hosted_model, hosted in backend.models.items()
            for name in hosted.adapters
        ]
        if not candidates:
            return
        loss, backend, evicted_model, evicted_adapter = min(candidates, key=lambda candidate: candidate[0])
        if EVICTION_GAIN_FACTOR * loss < self._value(model, adapter):
            reason = f"makes room for {model}/{adapter}"
            self._draft.append(
                Order(backend.id, Operation.UNLOAD, evicted_model, evicted_adapter, expected_s=ADAPTER_ORDER_S, reason=reason)
            )

    def _value(self, model: str, adapter: str) -> float:
        """Return the value per second of an adapter's demand."""
        model_demand = self._draft.demand.get(model)
        demand = model_demand.adapters.get(adapter) if model_demand is not None else None
        return demand.value + PENDING_VALUE_PER_S * demand.pending if demand is not None else 0.0
