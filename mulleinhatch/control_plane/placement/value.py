"""The value of having a model loaded, in request value per second. Pure.

The common unit makes first loads, further replicas and evictions comparable.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

from mulleinhatch.control_plane.placement.backend_view import BackendView
from mulleinhatch.control_plane.placement.demand import AggregatedDemand

RUNNING_PER_REPLICA = 8.0  # running requests that one replica should carry
REPLICA_ROUNDING = 0.7  # a further replica is desired once it would have 0.3 of a full load
MIN_RATE_PER_S = 0.02  # a lower request rate does not count as demand
PENDING_VALUE_PER_S = 2.0  # value per second of a pending request, in addition to that of arrivals
SURPLUS_REPLICA_FACTOR = 0.5  # fraction of a replica's value that counts if there are more replicas than desired
LAST_REPLICA_VALUE_PER_S = 0.05  # value of a last replica without demand: keeping it may save a later load


class ModelValue:
    """Values of the models of one service in one planning pass.

    Args:
        backends: The backends that are serving.
        demand: Demand by model.
    """

    def __init__(self, backends: Sequence[BackendView], demand: Mapping[str, AggregatedDemand]) -> None:
        self._demand, self._backends = demand, len(backends)
        self._replicas = Counter(model for backend in backends for model in backend.retained_models())

    def replicas(self, model: str) -> int:
        """Return the number of backends that have a model and are not unloading it, or are to load it."""
        return self._replicas[model]

    def record_eviction(self, model: str) -> None:
        """Subtract a replica that this pass unloads, which raises the value of the remaining ones."""
        self._replicas[model] -= 1

    def demand_value(self, model: str) -> float:
        """Return the value per second of a model's arrivals and pending requests."""
        demand = self._demand.get(model)
        return demand.value + PENDING_VALUE_PER_S * demand.pending if demand is not None else 0.0

    def desired_replicas(self, model: str) -> int:
        """Return the number of replicas that a model should have, at most one per backend."""
        demand = self._demand.get(model)
        if demand is None or (not demand.pending and demand.rate < MIN_RATE_PER_S):
            return 0
        return max(1, min(self._backends, int(demand.running / RUNNING_PER_REPLICA + REPLICA_ROUNDING)))

    def needs_replica(self, model: str) -> bool:
        """Return whether a model should have one more replica, capacity permitting."""
        return self.replicas(model) < self.desired_replicas(model)

    def gain(self, model: str, is_reserved: bool = False) -> float:
        """Return the value per second that one more replica would add.

        Args:
            model: The model.
            is_reserved: Whether `replicas` counts this replica already, because memory is reserved for it.
        """
        return self.demand_value(model) / (self.replicas(model) - is_reserved + 1)

    def loss(self, model: str) -> float:
        """Return the value per second lost if one backend unloads a model."""
        replicas, value = max(1, self.replicas(model)), self.demand_value(model)
        if replicas == 1:
            return value + LAST_REPLICA_VALUE_PER_S
        return (SURPLUS_REPLICA_FACTOR if replicas > self.desired_replicas(model) + 1 else 1.0) * value / replicas
