"""Tracks the demand for each model at this data plane: decayed rates and waiting requests. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mulleinhatch.data_plane.admission_queue import ModelQueue
from mulleinhatch.data_plane.registry_snapshot import ModelKey
from mulleinhatch.messages.cluster import ModelDemand
from mulleinhatch.messages.parsing import MAX_COUNT

RATE_DECAY_S = 8.0  # Time constant of the exponential decay.
MIN_REPORTED_RATE_PER_S = 0.01  # A model with a lower rate and no waiting requests is neither reported nor tracked.
MAX_REPORTED_MODELS = 32  # Per report.
LOWEST_PRIORITY = 9  # Reported if no request waits.


@dataclass
class _Rate:
    """Requests per second and their value per second, decayed exponentially."""

    requests: float = 0.0
    value: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float, value: float) -> None:
        self.decay(now)
        self.requests += 1.0 / RATE_DECAY_S
        self.value += value / RATE_DECAY_S

    def decay(self, now: float) -> None:
        factor = math.exp((self.updated_at - now) / RATE_DECAY_S)
        self.requests, self.value, self.updated_at = self.requests * factor, self.value * factor, now


class DemandTracker:
    """The demand for each model at one data plane."""

    def __init__(self) -> None:
        self._rates: dict[ModelKey, _Rate] = {}

    def record_request(self, model_key: ModelKey, value: float, now: float) -> None:
        """Count an arriving request, including one that will be rejected.

        Args:
            model_key: Requested model.
            value: Value of a timely response, by the request's class.
            now: Loop time.
        """
        rate = self._rates.get(model_key)
        if rate is None:
            rate = self._rates[model_key] = _Rate(updated_at=now)
        rate.add(now, value)

    def urgent_report(
        self, model_keys: Iterable[ModelKey], queues: Mapping[ModelKey, ModelQueue], now: float
    ) -> list[ModelDemand]:
        """Return the demand for models that no backend can serve, to be reported immediately."""
        demands = []
        for model_key in model_keys:
            rate = self._rates.get(model_key)
            if rate is not None:
                rate.decay(now)
                demands.append(_demand(model_key, rate, queues.get(model_key), now))
        return demands

    def report(self, queues: Iterable[ModelQueue], now: float) -> list[ModelDemand]:
        """Return the regular report: models with the most waiting requests first, then those with the highest rates."""
        queue_by_model = {queue.model_key: queue for queue in queues if queue.model_key.model}
        demands = []
        for model_key, rate in list(self._rates.items()):
            rate.decay(now)
            queue = queue_by_model.get(model_key)
            if rate.requests < MIN_REPORTED_RATE_PER_S and (queue is None or not queue.waiting):
                del self._rates[model_key]
                continue
            demands.append(_demand(model_key, rate, queue, now))
        demands.sort(key=lambda demand: (-demand.pending_requests, -demand.rate))
        return demands[:MAX_REPORTED_MODELS]


def _demand(model_key: ModelKey, rate: _Rate, queue: ModelQueue | None, now: float) -> ModelDemand:
    waiting = queue.waiting if queue is not None else []
    return ModelDemand(
        service=model_key.service,
        model=model_key.model,
        adapter=model_key.adapter,
        pending_requests=len(waiting),
        rate=rate.requests,
        value_rate=rate.value,
        running=queue.running if queue is not None else 0,
        oldest_wait_ms=int(1000 * max((now - pending.arrived_at for pending in waiting), default=0.0)),
        least_remaining_ms=int(1000 * max(0.0, min((pending.deadline - now for pending in waiting), default=0.0))),
        priority=min((min(MAX_COUNT, pending.priority) for pending in waiting), default=LOWEST_PRIORITY),
    )
