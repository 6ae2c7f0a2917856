"""What a model's standing is worth, in worth of requests a second: one quantity for loads, copies and what gives way. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

from mulleinhatch.control_plane.placement.backend_view import BackendView
from mulleinhatch.control_plane.placement.demand import AggregatedDemand

RUNNING_PER_REPLICA = 8.0  # requests under way that one copy should carry
REPLICA_ROUNDING = 0.7  # a further copy before the others are quite full
MIN_RATE_PER_S = 0.02  # requests a second that count as demand
PENDING_VALUE_PER_S = 2.0  # a second: what a held request counts beside requests that are expected
SURPLUS_REPLICA_SHARE = 0.5  # of a copy's share of the value where there are more than needed
LAST_REPLICA_VALUE_PER_S = 0.05  # a second: what the only copy of a model nobody asks for just now is worth


class ModelValue:
    """Values at one look at one service."""

    def __init__(self, backends: Sequence[BackendView], demand: Mapping[str, AggregatedDemand]) -> None:
        self._demand, self._backends = demand, len(backends)
        self._replicas = Counter(model for backend in backends for model in backend.retained_models())

    def replicas(self, model: str) -> int:
        """Backends that hold a model and keep it, or will."""
        return self._replicas[model]

    def record_eviction(self, model: str) -> None:
        """A copy goes by an order of this look: the next one is worth more."""
        self._replicas[model] -= 1

    def demand_value(self, model: str) -> float:
        """What is asked for now, and what is held."""
        demand = self._demand.get(model)
        return demand.value + PENDING_VALUE_PER_S * demand.pending if demand is not None else 0.0

    def desired_replicas(self, model: str) -> int:
        """Copies that should stand."""
        demand = self._demand.get(model)
        if demand is None or (not demand.pending and demand.rate < MIN_RATE_PER_S):
            return 0
        return max(1, min(self._backends, int(demand.running / RUNNING_PER_REPLICA + REPLICA_ROUNDING)))

    def needs_replica(self, model: str) -> bool:
        """Whether a model should have one more copy, were there room."""
        return self.replicas(model) < self.desired_replicas(model)

    def gain(self, model: str, is_reserved: bool = False) -> float:
        """What one more copy brings; `reserved` where one that is counted is this one."""
        return self.demand_value(model) / (self.replicas(model) - is_reserved + 1)

    def loss(self, model: str) -> float:
        """What is lost where one backend gives a model up."""
        replicas, value = max(1, self.replicas(model)), self.demand_value(model)
        if replicas == 1:
            return value + LAST_REPLICA_VALUE_PER_S
        return (SURPLUS_REPLICA_SHARE if replicas > self.desired_replicas(model) + 1 else 1.0) * value / replicas
