"""Which service of a route's `traffic_split` gets the next request: smooth weighted round robin. Pure.

Each service gains its weight with each request, and the one that has gained most is chosen and pays for all. After any
number of requests each has had its share to within a request or two; draws by chance would scatter by the root of the
number.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

Shares = tuple[tuple[str, float], ...]


class WeightedRoundRobin:
    """The order of one instance. `seed` (its name) says where it begins, so that instances do not begin all alike."""

    def __init__(self, seed: str) -> None:
        self._seed = seed
        self._gained: dict[str, tuple[Shares, list[float]]] = {}  # by route

    def next(self, route: str, shares: Shares) -> str:
        """The service for the next request of a route; an order begins anew when its shares change."""
        known = self._gained.get(route)
        if known is None or known[0] != shares:
            known = self._gained[route] = shares, self._beginning(route, shares)
        gained = known[1]
        for place, (_, weight) in enumerate(shares):
            gained[place] += weight
        chosen = max(range(len(shares)), key=lambda place: (gained[place], shares[place][1]))
        gained[chosen] -= sum(weight for _, weight in shares)
        return shares[chosen][0]

    def _beginning(self, route: str, shares: Shares) -> list[float]:
        """Gains that sum to nothing, as somewhere in the middle of an order."""
        total = sum(weight for _, weight in shares)
        draws = [crc32(f"{self._seed}/{route}/{service}".encode()) / 2**32 for service, _ in shares]
        mean = sum(draws) / len(draws)
        return [(draw - mean) * total if weight else 0.0 for draw, (_, weight) in zip(draws, shares)]

    def keep_only(self, routes: Iterable[str]) -> None:
        """Forgets routes that are gone."""
        kept = set(routes)
        for route in [route for route in self._gained if route not in kept]:
            del self._gained[route]
