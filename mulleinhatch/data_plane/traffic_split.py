"""Selects the service of a route's `traffic_split` for each request, by smooth weighted round robin. Pure.

Each request adds every service's weight to its current weight; the service with the largest current weight is chosen, and the
sum of all weights is subtracted from its current weight. After any number of requests, each service has received its share to
within one or two requests; with random draws, the deviation would grow with the square root of the number of requests.
A service of weight 0 is never chosen.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass
from zlib import crc32

ServiceWeights = tuple[tuple[str, float], ...]


@dataclass(frozen=True)
class _Sequence:
    """The state of one route's sequence.

    Attributes:
        weights: The weights that it belongs to.
        usable: Those above 0.
        current_weights: The current weight of each usable service.
    """

    weights: ServiceWeights
    usable: ServiceWeights
    current_weights: list[float]


class WeightedRoundRobin:
    """The sequence of services of each route, on one data plane.

    Args:
        seed: Name of the data plane. It determines the start of each sequence, so that data planes do not start with the same
            service.
    """

    def __init__(self, seed: str) -> None:
        self._seed = seed
        self._sequences: dict[str, _Sequence] = {}  # by route

    def next(self, route: str, weights: ServiceWeights) -> str:
        """Return the service for the next request of a route; the sequence restarts when the route's weights change.

        Args:
            route: The name of the route.
            weights: Its services with their weights, one of them above 0 at least.
        """
        sequence = self._sequences.get(route)
        if sequence is None or sequence.weights != weights:
            usable = tuple(pair for pair in weights if pair[1] > 0)
            sequence = self._sequences[route] = _Sequence(weights, usable, self._initial_weights(route, usable))
        usable, current_weights = sequence.usable, sequence.current_weights
        for index, (_, weight) in enumerate(usable):
            current_weights[index] += weight
        chosen = max(range(len(usable)), key=lambda index: (current_weights[index], usable[index][1]))
        current_weights[chosen] -= sum(weight for _, weight in usable)
        return usable[chosen][0]

    def _initial_weights(self, route: str, weights: ServiceWeights) -> list[float]:
        """Return initial current weights with a sum of zero, as they occur in the middle of a sequence."""
        total = sum(weight for _, weight in weights)
        draws = [crc32(f"{self._seed}/{route}/{service}".encode()) / 2**32 for service, _ in weights]
        mean = sum(draws) / len(draws)
        return [(draw - mean) * total for draw in draws]

    def keep_only(self, routes: Container[str]) -> None:
        """Drop routes that are no longer configured."""
        for route in [route for route in self._sequences if route not in routes]:
            del self._sequences[route]
