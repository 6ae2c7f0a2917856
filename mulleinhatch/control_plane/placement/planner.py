"""Plans the next orders from what backends have loaded and the demand for models and adapters. Pure.

A backend executes one order at a time, so a plan has at most one order per backend. Requested models without a replica come
first, then further replicas of busy models. The least valuable models and adapters are evicted.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from mulleinhatch.configuration.routes import EngineSpec
from mulleinhatch.control_plane.placement.adapter_planner import AdapterPlanner
from mulleinhatch.control_plane.placement.backend_view import BackendView
from mulleinhatch.control_plane.placement.demand import AggregatedDemand
from mulleinhatch.control_plane.placement.model_planner import ModelPlanner
from mulleinhatch.control_plane.placement.order import Order
from mulleinhatch.control_plane.placement.plan_draft import PlanDraft


class Planner:
    """One planning pass over one service.

    Args:
        engine: The service's models and the limits of its backends.
        backends: The service's backends.
        demand: Demand by model.
        now: Monotonic time in seconds.
        store_loads_available: The number of loads from the weight store that may start now.
    """

    def __init__(
        self,
        engine: EngineSpec,
        backends: Sequence[BackendView],
        demand: Mapping[str, AggregatedDemand],
        now: float,
        store_loads_available: int,
    ) -> None:
        self._draft = PlanDraft(engine, backends, demand, now)
        self._models = ModelPlanner(self._draft, store_loads_available)
        self._adapters = AdapterPlanner(self._draft)

    def plan(self) -> list[Order]:
        """Return the next orders, at most one per backend."""
        self._models.plan_reserved_loads()
        # Adapters come before further replicas, because an adapter order occupies its backend for milliseconds only.
        self._adapters.plan()
        self._models.plan_replicas()
        return self._draft.orders
