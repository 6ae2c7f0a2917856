"""The state that the model planner and the adapter planner share in one pass over one service. Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from mulleinhatch.configuration.routes import EngineSpec
from mulleinhatch.control_plane.placement.backend_view import BackendView
from mulleinhatch.control_plane.placement.demand import AggregatedDemand
from mulleinhatch.control_plane.placement.order import Operation, Order
from mulleinhatch.control_plane.placement.value import ModelValue

EVICTION_GAIN_FACTOR = 3.0  # an eviction must gain this many times its loss, so that noise in demand causes no orders


class PlanDraft:
    """The input of a planning pass and the orders planned so far.

    Args:
        engine: The service's models and the limits of its backends.
        backends: The service's backends; the draft excludes those that are not serving.
        demand: Demand by model.
        now: Monotonic time in seconds.

    Attributes:
        value: The value of models, updated by the evictions planned so far.
        orders: The orders planned so far, at most one per backend.
    """

    def __init__(
        self, engine: EngineSpec, backends: Sequence[BackendView], demand: Mapping[str, AggregatedDemand], now: float
    ) -> None:
        self.engine, self.demand, self.now = engine, demand, now
        self.backends = [backend for backend in backends if backend.is_serving]
        self.value = ModelValue(self.backends, demand)
        self.orders: list[Order] = []
        self._ordered_backends: set[str] = set()

    def orderable_backends(self) -> list[BackendView]:
        """Return the backends that can still take an order in this pass."""
        ordered = self._ordered_backends
        return [backend for backend in self.backends if backend.is_idle and backend.id not in ordered]

    def append(self, order: Order) -> None:
        """Add an order to the plan."""
        self.orders.append(order)
        self._ordered_backends.add(order.backend_id)
        if order.operation is Operation.UNLOAD and not order.adapter:
            self.value.record_eviction(order.model)
