"""The route table of one configuration: an immutable snapshot that a data plane replaces as a whole."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from mulleinhatch.configuration.built_items import BuiltItems, ItemChanges
from mulleinhatch.configuration.document import Document
from mulleinhatch.configuration.tenants import tenants_of
from mulleinhatch.configuration.validation import weighted_services
from mulleinhatch.steps import Steps, complete
from mulleinhatch.tenants.tenant_table import LOCKED, NO_TENANTS, TenantTable

DEFAULT_CONNECTION_LIMIT = 1024
DEFAULT_HEALTH_CHECK_PATH = "/health"
ROUTES_PER_STEP = 1024
HOSTS_PER_STEP = 64


@dataclass(frozen=True)
class Route:
    """One route.

    Attributes:
        name: The name in the configuration.
        host: The host that it matches, in lower case.
        path_prefix: Begins and ends with a slash.
        kind: "safe", "unsafe" or "streaming".
        timeout_s: Seconds after which a request fails.
        target_latency_s: The target latency; the timeout where the configuration sets none.
        priority: A lower number is more important.
        max_attempts: How often a request may be sent to a backend, at least 1.
        is_resumable: Whether another backend can resume an event stream.
        target_gap_s: The target for the longest gap between two events of a stream, 0 for none.
        weighted_services: The services that receive the requests, with their weights.
        is_public: Whether requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    is_resumable: bool
    target_gap_s: float
    weighted_services: tuple[tuple[str, float], ...]
    is_public: bool = False

    @property
    def is_streaming(self) -> bool:
        """Whether the response is an event stream."""
        return self.kind == "streaming"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "safe" or (self.is_streaming and self.is_resumable)


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
        hosts: The routes of each host, the longest path prefix first.
        target_s_by_priority: The longest target latency of the routes of each priority, in seconds.
        has_public_routes: Whether some route needs no API key.
        services: The services by name.
        limits: Limits on what a client may send.
        tenants: The tenants and their keys.
    """

    version: int = 0
    routes: Mapping[str, Route] = field(default_factory=dict)
    hosts: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    target_s_by_priority: Mapping[int, float] = field(default_factory=dict)
    has_public_routes: bool = False
    services: Mapping[str, Service] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    tenants: TenantTable = NO_TENANTS

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path, or None."""
        for route in self.hosts.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class RouteTableBuilder:
    """Builds the route tables of successive configurations; what did not change is taken from the table before."""

    def __init__(self) -> None:
        self._routes: BuiltItems[Route] = BuiltItems(_build_route)
        self._services: BuiltItems[Service] = BuiltItems(_build_service)
        self._hosts: dict[str, tuple[Route, ...]] = {}

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
        services = yield from self._services.update_steps(document.value["services"])
        limits = _build_limits(document.value.get("limits", {}))
        routes = yield from self._routes.update_steps(document.value["routes"])
        self._hosts = yield from _updated_hosts(self._hosts, routes)
        target_s_by_priority = yield from _longest_targets(routes.by_name.values())
        return RouteTable(
            version=document.version,
            routes=routes.by_name,
            hosts=self._hosts,
            target_s_by_priority=target_s_by_priority,
            has_public_routes=any(route.is_public for route in routes.by_name.values()),
            services=services.by_name,
            limits=limits,
            tenants=tenants,
        )


def build_route_table(document: Document, tenants: TenantTable | None = None) -> RouteTable:
    """Return the route table of a validated configuration at once; see `RouteTableBuilder.build_steps`."""
    return complete(RouteTableBuilder().build_steps(document, tenants))


class ServiceBuilder:
    """Builds the services of successive configurations; those that did not change are not built again."""

    def __init__(self) -> None:
        self._services: BuiltItems[Service] = BuiltItems(_build_service)

    def build(self, document: Document) -> Mapping[str, Service]:
        """Return the services of a validated configuration by name."""
        return complete(self._services.update_steps(document.value["services"])).by_name


def _updated_hosts(hosts: Mapping[str, tuple[Route, ...]], changes: ItemChanges[Route]) -> Steps[dict[str, tuple[Route, ...]]]:
    """Return the routes of each host after a change, the longest path prefix first."""
    updated = dict(hosts)
    changed: dict[str, dict[str, Route]] = {}  # the routes of each changed host, by name
    for route in (*changes.removed, *changes.added):
        if route.host not in changed:
            changed[route.host] = {other.name: other for other in hosts.get(route.host, ())}
    for number, route in enumerate(changes.removed):
        if number % ROUTES_PER_STEP == 0:
            yield
        changed[route.host].pop(route.name, None)
    for number, route in enumerate(changes.added):
        if number % ROUTES_PER_STEP == 0:
            yield
        changed[route.host][route.name] = route
    for number, (host, routes) in enumerate(changed.items()):
        if number % HOSTS_PER_STEP == 0:
            yield
        if routes:
            updated[host] = tuple(sorted(routes.values(), key=lambda route: -len(route.path_prefix)))
        else:
            del updated[host]
    return updated


def _longest_targets(routes: Iterable[Route]) -> Steps[dict[int, float]]:
    """Return the longest target latency of each priority, in seconds."""
    target_s: dict[int, float] = {}
    for number, route in enumerate(routes):
        if number % ROUTES_PER_STEP == 0:
            yield
        target_s[route.priority] = max(route.target_latency_s, target_s.get(route.priority, 0.0))
    return target_s


def _build_route(item: Mapping[str, Any]) -> Route:
    timeout_s = item["timeout_ms"] / 1000.0
    return Route(
        name=item["name"],
        host=item["host"].lower(),
        path_prefix=item["path_prefix"],
        kind=item.get("kind", "unsafe"),
        timeout_s=timeout_s,
        target_latency_s=item.get("target_latency_ms", 0) / 1000.0 or timeout_s,
        priority=int(item.get("priority", 0)),
        max_attempts=max(1, int(item.get("max_attempts", 1))),
        is_resumable=bool(item.get("resumable", False)),
        target_gap_s=item.get("gap_aim_ms", 0) / 1000.0,
        weighted_services=tuple(weighted_services(item)),
        is_public=item.get("public") is True,
    )


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
