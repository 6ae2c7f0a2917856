"""The priority classes of a configuration, which determine the order in which requests start. Pure.

Without tenants, the class of a request is its route's priority. With tenants, classes are ordered by the pair of tenant
priority and route priority: the tenant's priority comes first, the route's priority decides between equal tenants:

| tenant priority | route priority | class |
| --- | --- | --- |
| 0, or none, or no tenant on a public route | 0 | 0 |
| 0 | 2 | 1 |
| 1 | 0 | 2 |
| 1 | 2 | 3 |

The table is built once per configuration; each request takes two lookups.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass

from mulleinhatch.configuration.route import Route
from mulleinhatch.configuration.routes import RouteTable
from mulleinhatch.data_plane.request_headers import MAX_PRIORITY
from mulleinhatch.tenants.tenant import Tenant

DEFAULT_TENANT_PRIORITY = 0  # For tenants without a priority and for requests without a tenant.
MAX_CLASSES = 256  # Bounds the queue's cost whatever the configuration; if there are more pairs, adjacent ones share a class.


@dataclass(frozen=True, slots=True)
class PriorityClass:
    """The class of one request.

    Attributes:
        rank: Class in the admission queue, 0 is the highest.
        field_value: Value of the `Priority` field sent to backends, 0 to `MAX_PRIORITY`.
    """

    rank: int
    field_value: int


@dataclass(frozen=True, slots=True)
class PriorityClassTable:
    """The priority classes of one configuration.

    Attributes:
        tenant_priorities: Distinct priorities of the tenants in ascending order, empty without tenants.
        route_priorities: Distinct priorities of the routes in ascending order.
        target_s_by_route_priority: Longest latency target of the routes of each priority, in seconds.
    """

    tenant_priorities: tuple[int, ...] = ()
    route_priorities: tuple[int, ...] = ()
    target_s_by_route_priority: tuple[float, ...] = ()

    def class_of(self, route: Route, tenant: Tenant | None) -> PriorityClass:
        """Return the class of a request.

        A priority of an older configuration that this one lacks counts as the next lower priority that it has.

        Args:
            route: Matching route.
            tenant: Tenant whose key the request carries, None if there is none.
        """
        if not self.tenant_priorities:
            return PriorityClass(route.priority, min(MAX_PRIORITY, route.priority))
        rank = self._rank(
            _position(self.tenant_priorities, _priority(tenant)), _position(self.route_priorities, route.priority)
        )
        count = len(self.tenant_priorities) * len(self.route_priorities)
        return PriorityClass(_scale_rank(rank, count, MAX_CLASSES), _scale_rank(rank, count, MAX_PRIORITY + 1))

    def classes(self) -> list[tuple[int, float]]:
        """Return the rank and the longest latency target (in seconds) of each class, for the admission queue."""
        if not self.tenant_priorities:
            return list(zip(self.route_priorities, self.target_s_by_route_priority, strict=True))
        count = len(self.tenant_priorities) * len(self.route_priorities)
        target_s_by_rank: dict[int, float] = {}
        for tenant_position in range(len(self.tenant_priorities)):
            for position, target_s in enumerate(self.target_s_by_route_priority):
                rank = _scale_rank(self._rank(tenant_position, position), count, MAX_CLASSES)
                target_s_by_rank[rank] = max(target_s, target_s_by_rank.get(rank, 0.0))
        return list(target_s_by_rank.items())

    def _rank(self, tenant_position: int, route_position: int) -> int:
        return tenant_position * len(self.route_priorities) + route_position


def build_priority_classes(table: RouteTable) -> PriorityClassTable:
    """Return the priority classes of a configuration."""
    route_priorities = tuple(sorted(table.target_s_by_priority))
    return PriorityClassTable(
        _tenant_priorities(table.tenants.priorities, table.has_public_routes),
        route_priorities,
        tuple(table.target_s_by_priority[priority] for priority in route_priorities),
    )


def _tenant_priorities(configured: Iterable[int | None], has_public_routes: bool) -> tuple[int, ...]:
    priorities = {_with_default(priority) for priority in configured}
    if priorities and has_public_routes:
        priorities.add(DEFAULT_TENANT_PRIORITY)
    return tuple(sorted(priorities))


def _priority(tenant: Tenant | None) -> int:
    return _with_default(None if tenant is None else tenant.priority)


def _with_default(priority: int | None) -> int:
    return DEFAULT_TENANT_PRIORITY if priority is None else priority


def _position(priorities: tuple[int, ...], priority: int) -> int:
    return min(bisect_left(priorities, priority), max(0, len(priorities) - 1))


def _scale_rank(rank: int, count: int, max_ranks: int) -> int:
    """Scale a rank out of `count` to one out of at most `max_ranks`, preserving the order.

    >>> [_scale_rank(rank, 4, 10) for rank in range(4)], [_scale_rank(rank, 20, 10) for rank in (0, 1, 2, 19)]
    ([0, 1, 2, 3], [0, 0, 1, 9])
    """
    return rank if count <= max_ranks else rank * max_ranks // count
