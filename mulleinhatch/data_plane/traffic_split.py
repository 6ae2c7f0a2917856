"""Which service of a route's `traffic_split` gets the next request: smooth weighted round robin. Pure.

Each service gains its weight with each request; the one that has gained most is chosen and pays the total of all weights. After
any number of requests each has had its share to within a request or two, where random draws would scatter by the square root
of the number.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

ServiceWeights = tuple[tuple[str, float], ...]


class WeightedRoundRobin:
    """The order of one data plane, for each route.

    Args:
        seed: Name of the data plane. It determines where the order begins, so that the data planes do not all begin alike.
    """

    def __init__(self, seed: str) -> None:
        self._seed = seed
        self._gains: dict[str, tuple[ServiceWeights, list[float]]] = {}  # by route: its weights and each service's gain

    def next(self, route: str, weights: ServiceWeights) -> str:
        """Return the service for the next request of a route; the order begins anew when the route's weights change."""
        known = self._gains.get(route)
        if known is None or known[0] != weights:
            known = self._gains[route] = weights, self._initial_gains(route, weights)
        gains = known[1]
        for index, (_, weight) in enumerate(weights):
            gains[index] += weight
        chosen = max(range(len(weights)), key=lambda index: (gains[index], weights[index][1]))
        gains[chosen] -= sum(weight for _, weight in weights)
        return weights[chosen][0]

    def _initial_gains(self, route: str, weights: ServiceWeights) -> list[float]:
        """Return gains whose sum is zero, as somewhere in the middle of an order."""
        total = sum(weight for _, weight in weights)
        draws = [crc32(f"{self._seed}/{route}/{service}".encode()) / 2**32 for service, _ in weights]
        mean = sum(draws) / len(draws)
        return [(draw - mean) * total if weight else 0.0 for draw, (_, weight) in zip(draws, weights)]

    def keep_only(self, routes: Iterable[str]) -> None:
        """Forget routes that are no longer configured."""
        kept = set(routes)
        for route in [route for route in self._gains if route not in kept]:
            del self._gains[route]
