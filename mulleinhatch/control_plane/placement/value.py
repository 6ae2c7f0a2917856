"""The value of having a model loaded, in request value per second. Pure.

One unit for first loads, further replicas and evictions makes them comparable.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

from mulleinhatch.control_plane.placement.backend_view import BackendView
from mulleinhatch.control_plane.placement.demand import AggregatedDemand

RUNNING_PER_REPLICA = 8.0  # running requests that one replica should carry
REPLICA_ROUNDING = 0.7  # a further replica is desired as soon as it would have 0.3 of a full share
MIN_RATE_PER_S = 0.02  # a lower request rate does not count as demand
PENDING_VALUE_PER_S = 2.0  # value per second of a pending request, beside the value of expected arrivals
SURPLUS_REPLICA_FACTOR = 0.5  # part of a replica's share of the value that counts if there are more replicas than desired
LAST_REPLICA_VALUE_PER_S = 0.05  # value of a last replica without demand: it saves a load later


class ModelValue:
    """Values of the models of one service in one planning pass.

    Args:
        backends: Backends that serve.
        demand: Demand by model.
    """

    def __init__(self, backends: Sequence[BackendView], demand: Mapping[str, AggregatedDemand]) -> None:
        self._demand, self._backends = demand, len(backends)
        self._replicas = Counter(model for backend in backends for model in backend.retained_models())

    def replicas(self, model: str) -> int:
        """Return how many backends have a model and keep it, or will have it."""
        return self._replicas[model]

    def record_eviction(self, model: str) -> None:
        """Count a replica as gone because this pass unloads it, which raises the value of the remaining ones."""
        self._replicas[model] -= 1

    def demand_value(self, model: str) -> float:
        """Return the value per second of a model's arrivals and pending requests."""
        demand = self._demand.get(model)
        return demand.value + PENDING_VALUE_PER_S * demand.pending if demand is not None else 0.0

    def desired_replicas(self, model: str) -> int:
        """Return how many replicas a model should have, at most one for each backend."""
        demand = self._demand.get(model)
        if demand is None or (not demand.pending and demand.rate < MIN_RATE_PER_S):
            return 0
        return max(1, min(self._backends, int(demand.running / RUNNING_PER_REPLICA + REPLICA_ROUNDING)))

    def needs_replica(self, model: str) -> bool:
        """Return whether a model should have one more replica, if there were capacity."""
        return self.replicas(model) < self.desired_replicas(model)

    def gain(self, model: str, is_reserved: bool = False) -> float:
        """Return the value per second that one more replica adds.

        Args:
            model: The model.
            is_reserved: Whether `replicas` counts this replica already, because memory is reserved for it.
        """
        return self.demand_value(model) / (self.replicas(model) - is_reserved + 1)

    def loss(self, model: str) -> float:
        """Return the value per second that is lost if one backend unloads a model."""
        replicas, value = max(1, self.replicas(model)), self.demand_value(model)
        if replicas == 1:
            return value + LAST_REPLICA_VALUE_PER_S
        return (SURPLUS_REPLICA_FACTOR if replicas > self.desired_replicas(model) + 1 else 1.0) * value / replicas
