"""The routes of the hosts of a configuration: immutable, and found by the path however many a host has."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from immutables import Map

from mulleinhatch.configuration.route import Route
from mulleinhatch.configuration.value_counts import ValueCounts
from mulleinhatch.steps import Steps

ROUTES_PER_STEP = 256


@dataclass(frozen=True)
class HostRoutes:
    """The routes of one host.

    Attributes:
        by_prefix: The routes by path prefix.
        lengths: The lengths of their prefixes, the longest first.
        length_counts: How many prefixes have each length.
    """

    by_prefix: Map[str, Route] = field(default_factory=Map)
    lengths: tuple[int, ...] = ()
    length_counts: ValueCounts[int] = field(default_factory=ValueCounts)

    def find(self, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        for length in self.lengths:
            route = self.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None

    def changed_steps(self, added: Iterable[Route], removed: Iterable[Route]) -> Steps[HostRoutes]:
        """Return the routes after some were removed and others, whose prefixes are free then, added."""
        by_prefix = self.by_prefix.mutate()
        former, new = {}, {}
        for number, route in enumerate(removed):
            if number % ROUTES_PER_STEP == ROUTES_PER_STEP - 1:
                yield
            if by_prefix.pop(route.path_prefix, None) is not None:
                former[route.path_prefix] = len(route.path_prefix)
        for number, route in enumerate(added):
            if number % ROUTES_PER_STEP == ROUTES_PER_STEP - 1:
                yield
            if route.path_prefix not in by_prefix:
                new[route.path_prefix] = len(route.path_prefix)
            by_prefix[route.path_prefix] = route
        length_counts = yield from self.length_counts.adjusted_steps(new.values(), former.values())
        lengths = tuple(sorted(length_counts, reverse=True))
        return HostRoutes(by_prefix.finish(), lengths, length_counts)


NO_HOST_ROUTES = HostRoutes()


def changed_hosts_steps(
    hosts: Map[str, HostRoutes], added: Iterable[Route], removed: Iterable[Route]
) -> Steps[Map[str, HostRoutes]]:
    """Return the routes by host after some were removed and others added."""
    added_by_host = yield from _by_host_steps(added)
    removed_by_host = yield from _by_host_steps(removed)
    changed = hosts.mutate()
    for host in dict.fromkeys((*removed_by_host, *added_by_host)):
        yield
        routes = changed.get(host, NO_HOST_ROUTES)
        routes = yield from routes.changed_steps(added_by_host.get(host, ()), removed_by_host.get(host, ()))
        if routes.by_prefix:
            changed[host] = routes
        else:
            changed.pop(host, None)
    return changed.finish()


def _by_host_steps(routes: Iterable[Route]) -> Steps[dict[str, list[Route]]]:
    by_host: dict[str, list[Route]] = {}
    for number, route in enumerate(routes):
        if number % ROUTES_PER_STEP == ROUTES_PER_STEP - 1:
            yield
        by_host.setdefault(route.host, []).append(route)
    return by_host
