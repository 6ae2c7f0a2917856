"""The route table of one configuration: an immutable snapshot that a data plane replaces as a whole."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from immutables import Map

from mulleinhatch.configuration.built_items import BuiltItems
from mulleinhatch.configuration.document import Document
from mulleinhatch.configuration.host_routes import NO_HOST_ROUTES, HostRoutes, changed_hosts_steps
from mulleinhatch.configuration.route import Route, build_route
from mulleinhatch.configuration.tenants import tenants_of
from mulleinhatch.configuration.value_counts import ValueCounts
from mulleinhatch.steps import Steps, complete
from mulleinhatch.tenants.tenant_table import LOCKED, NO_TENANTS, TenantTable

DEFAULT_CONNECTION_LIMIT = 1024
DEFAULT_HEALTH_CHECK_PATH = "/health"


@dataclass(frozen=True)
class ModelSpec:
    """A model as configured.

    Attributes:
        name: The name of the model.
        weights_mb: The size of its weights in MB.
        load_s: Seconds that a load from the weight store takes.
        adapters: The number of its adapters.
        adapter_size_mb: The size of an adapter in MB.
    """

    name: str
    weights_mb: float
    load_s: float
    adapters: int
    adapter_size_mb: float


@dataclass(frozen=True)
class EngineSpec:
    """The model server configuration of the backends of a service.

    Attributes:
        slots: Requests that a backend runs concurrently.
        weights_mb: The memory of a backend for weights in MB.
        adapter_slots: Adapters that a backend can hold.
        loads_per_s: Loads from the weight store that may begin per second.
        kv_cache_tokens: The size of a backend's prefix cache in tokens.
        models: The models by name.
    """

    slots: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    kv_cache_tokens: int
    models: Mapping[str, ModelSpec]


@dataclass(frozen=True)
class Service:
    """A service as configured; `engine` is None where its backends serve no models."""

    name: str
    connection_limit: int
    health_check_path: str
    engine: EngineSpec | None


@dataclass(frozen=True)
class Limits:
    """Limits on what a client may send, in bytes and seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class RouteTable:
    """Routes, services, limits and tenants of one configuration version.

    Attributes:
        version: The configuration's version.
        routes: The routes by name.
        hosts: The routes of each host.
        target_s_by_priority: The longest target latency of the routes of each priority, in seconds.
        has_public_routes: Whether some route needs no API key.
        services: The services by name.
        limits: Limits on what a client may send.
        tenants: The tenants and their keys.
    """

    version: int = 0
    routes: Mapping[str, Route] = field(default_factory=dict)
    hosts: Mapping[str, HostRoutes] = field(default_factory=dict)
    target_s_by_priority: Mapping[int, float] = field(default_factory=dict)
    has_public_routes: bool = False
    services: Mapping[str, Service] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    tenants: TenantTable = NO_TENANTS

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path, or None."""
        return self.hosts.get(host, NO_HOST_ROUTES).find(path)


class RouteTableBuilder:
    """Builds the route tables of successive configurations; what did not change is taken from the table before.

    Attributes:
        replaced: The routes that the newest table replaced in the one before.
    """

    def __init__(self) -> None:
        self.replaced: list[Route] = []
        self._routes: BuiltItems[Route] = BuiltItems(build_route)
        self._services = ServiceBuilder()
        self._hosts: Map[str, HostRoutes] = Map()
        self._properties: ValueCounts[tuple[int, float, bool]] = ValueCounts()  # priority, target latency, whether it is public

    def build_steps(self, document: Document, tenants: TenantTable | None = None) -> Steps[RouteTable]:
        """Return the route table of a validated configuration.

        Args:
            document: The configuration.
            tenants: Its tenants, from a `TenantTableBuilder`; if omitted, a configuration with tenants accepts no key.

        Raises:
            AttributeError, KeyError, OverflowError, TypeError, ValueError: It is not valid; a new builder is needed.
        """
        if tenants is None:
            tenants = LOCKED if tenants_of(document.value) else NO_TENANTS
        services = yield from self._services.build_steps(document)
        limits = _build_limits(document.value.get("limits", {}))
        routes = yield from self._routes.update_steps(document.value["routes"])
        self._hosts = yield from changed_hosts_steps(self._hosts, routes.added, routes.removed)
        self.replaced = routes.removed
        added, removed = map(_properties_of, routes.added), map(_properties_of, routes.removed)
        self._properties = yield from self._properties.adjusted_steps(added, removed)
        return RouteTable(
            version=document.version,
            routes=routes.by_name,
            hosts=self._hosts,
            # Of the same priority, the longest target is the last.
            target_s_by_priority=dict(sorted((priority, target_s) for priority, target_s, _ in self._properties)),
            has_public_routes=any(is_public for _, _, is_public in self._properties),
            services=services,
            limits=limits,
            tenants=tenants,
        )


def build_route_table(document: Document, tenants: TenantTable | None = None) -> RouteTable:
    """Return the route table of a validated configuration at once; see `RouteTableBuilder.build_steps`."""
    return complete(RouteTableBuilder().build_steps(document, tenants))


class ServiceBuilder:
    """Builds the services of successive configurations; those that did not change are not built again."""

    def __init__(self) -> None:
        self._built: BuiltItems[Service] = BuiltItems(_build_service)
        self._items: Sequence[Mapping[str, Any]] = ()
        self._services: dict[str, Service] = {}

    def build(self, document: Document) -> Mapping[str, Service]:
        """Return the services of a validated configuration by name at once; see `build_steps`."""
        return complete(self.build_steps(document))

    def build_steps(self, document: Document) -> Steps[Mapping[str, Service]]:
        """Return the services of a validated configuration by name, in its order; the same mapping if they are the same."""
        items = document.value["services"]
        if items is not self._items:
            by_name = (yield from self._built.update_steps(items)).by_name
            self._services = {item["name"]: by_name[item["name"]] for item in items}
            self._items = items
        return self._services


def _properties_of(route: Route) -> tuple[int, float, bool]:
    return route.priority, route.target_latency_s, route.is_public


def _build_service(item: Mapping[str, Any]) -> Service:
    return Service(
        name=item["name"],
        connection_limit=int(item.get("connection_limit", DEFAULT_CONNECTION_LIMIT)),
        health_check_path=item.get("health_check_path", DEFAULT_HEALTH_CHECK_PATH),
        engine=_build_engine(item.get("engine")),
    )


def _build_engine(value: Mapping[str, Any] | None) -> EngineSpec | None:
    if not value:
        return None
    models = [_build_model(item) for item in value.get("models") or () if isinstance(item, Mapping)]
    return EngineSpec(
        slots=max(1, int(_usable_number(value.get("slots"), 1.0, 1.0))),
        weights_mb=_usable_number(value.get("weights_mb"), 0.0, 0.0),
        adapter_slots=int(_usable_number(value.get("adapter_slots"), 0.0, 0.0)),
        loads_per_s=_usable_number(value.get("loads_per_s"), 1.0, 0.0),
        kv_cache_tokens=int(_usable_number(value.get("kv_cache_tokens"), 0.0, 0.0)),
        models={model.name: model for model in models if model.name},
    )


def _build_model(item: Mapping[str, Any]) -> ModelSpec:
    """Return a model. One with an unusable size gets an infinite size: it is never loaded, and other models still are."""
    return ModelSpec(
        name=str(item.get("name", "")),
        weights_mb=_usable_number(item.get("weights_mb"), 0.0, math.inf),
        load_s=_usable_number(item.get("load_s"), 1.0, 1.0),
        adapters=int(_usable_number(item.get("adapters"), 0.0, 0.0)),
        adapter_size_mb=_usable_number(item.get("adapter_size_mb"), 0.0, math.inf),
    )


def _build_limits(value: Mapping[str, Any]) -> Limits:
    default = Limits()
    return Limits(
        max_header_bytes=int(value.get("max_header_bytes", default.max_header_bytes)),
        max_body_bytes=int(value.get("max_body_bytes", default.max_body_bytes)),
        header_timeout_s=value.get("header_timeout_ms", 1000 * default.header_timeout_s) / 1000.0,
        idle_timeout_s=value.get("idle_timeout_ms", 1000 * default.idle_timeout_s) / 1000.0,
    )


def _usable_number(value: Any, default: float, unusable: float) -> float:
    """Return a value that is a finite number of at least 0, `default` for a missing value, `unusable` for any other.

    >>> _usable_number(2, 1.0, 0.0), _usable_number(None, 1.0, 0.0), _usable_number(-2, 1.0, 0.0), _usable_number("x", 1.0, 0.0)
    (2.0, 1.0, 0.0, 0.0)
    """
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < math.inf:
        return unusable
    return float(value)
