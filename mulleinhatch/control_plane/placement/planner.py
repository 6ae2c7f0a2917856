"""Plans the next orders from the holdings of backends and the demand for models and adapters. Pure.

A backend carries out one order at a time, so a plan has at most one order for each. Requested models that are loaded nowhere
come first, then further replicas of busy models. Models and adapters of least value are evicted.
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
        store_loads_available: How many loads from the weight store may start now.
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
        """Return the next orders, at most one for each backend."""
        self._models.plan_reserved_loads()
        # Adapters come before further models: an adapter order keeps its backend busy for milliseconds only.
        self._adapters.plan()
        self._models.plan_replicas()
        return self._draft.orders
