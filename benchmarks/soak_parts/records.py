"""Records of a soak: requests of clients, runs at backends, versions of the configuration, disturbances.

All times are in seconds of one monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

Interval = tuple[float, float]


@dataclass
class ClientRequest:
    """One request as its client observed it.

    Attributes:
        id: Its `Request-Id`.
        front: Name of the data plane that it was sent to.
        route: Name of the route in the configuration.
        path: Its path.
        body: The body that it carried.
        key: The API key that it carried, empty for none.
        claimed_tenant: The `Tenant` field that the client itself sent, empty for none.
        tokens: Its cost if a quota counts tokens.
        sent_at: The time just before it was written.
        ended_at: When its response was complete, its connection was closed or the client timed out.
        status: Status of the response, 0 without one.
        signature: `Server-Signature` of the response.
        answer: Body of the response.
        answered_id: `Request-Id` of the response.
        is_complete: Whether the complete response arrived.
        is_cut: Whether the connection ended before the complete response.
        is_abandoned: Whether the client timed out.
    """

    id: str
    front: str
    route: str
    path: str
    body: bytes
    key: str
    claimed_tenant: str
    tokens: int
    sent_at: float
    ended_at: float = math.inf
    status: int = 0
    signature: str = ""
    answer: bytes = b""
    answered_id: str = ""
    is_complete: bool = False
    is_cut: bool = False
    is_abandoned: bool = False


@dataclass(frozen=True)
class BackendRun:
    """One execution of a request at a backend.

    Attributes:
        id: `Request-Id` of the request.
        at: When the backend had read it completely and began to execute it.
        backend: Signature of the backend.
        service: Service of the backend.
        method: Method as it arrived.
        target: Target as it arrived.
        body: Body as it arrived.
        fields: Header fields as they arrived, names in lower case.
        raw: All bytes of the message as they arrived, with chunk lines and trailers.
    """

    id: str
    at: float
    backend: str
    service: str
    method: bytes
    target: bytes
    body: bytes
    fields: tuple[tuple[bytes, bytes], ...]
    raw: bytes = b""

    def values(self, name: bytes) -> list[bytes]:
        """Return the values of all fields of one lower-case name."""
        return [value for field_name, value in self.fields if field_name == name]


@dataclass
class Version:
    """One version of the configuration that the operator sent.

    Attributes:
        number: Its version number.
        document: The complete configuration that results from it.
        sent_at: When it was first sent.
        acknowledged_at: When it was acknowledged, infinite before that.
    """

    number: int
    document: Mapping[str, Any]
    sent_at: float
    acknowledged_at: float = math.inf
    key_owners: dict[str, str] = field(init=False)
    limits: dict[str, tuple[float, float]] = field(init=False)
    routes: frozenset[str] = field(init=False)
    public_routes: frozenset[str] = field(init=False)

    def __post_init__(self) -> None:
        tenants = self.document["tenants"]
        self.key_owners = {key: tenant["name"] for tenant in tenants for key in tenant["api_keys"]}
        self.limits = {tenant["name"]: (tenant.get("rate_per_s", 0), tenant.get("burst", 0)) for tenant in tenants}
        self.routes = frozenset(route["name"] for route in self.document["routes"])
        self.public_routes = frozenset(route["name"] for route in self.document["routes"] if route.get("public"))


@dataclass(frozen=True)
class Disturbance:
    """A fault of one process or backend, from the first signal until it ran again.

    Attributes:
        process: Name of the process or backend.
        kind: Kind of the fault, such as "kill".
        began_at: When the first signal was sent.
        ended_at: When it ran again.
        is_planned: Whether it was announced (SIGTERM, SIGHUP, a backend that left); it must not lose accepted requests.
    """

    process: str
    kind: str
    began_at: float
    ended_at: float
    is_planned: bool


@dataclass
class Observations:
    """Everything that one soak recorded.

    Attributes:
        fronts: Names of the data planes.
        cores: Names of the control-plane nodes.
        requests: All requests of the clients.
        runs: All runs at backends.
        versions: All versions that were sent, in order.
        disturbances: All faults of processes and backends.
        broken_off: IDs of requests whose response was interrupted by a crash of the backend.
        operator_failures: Valid changes that were rejected.
        unrecovered: Failures to recover after the faults.
        leaks: Places where a key or a digest of one was found.
        largest_stall_s: The longest stall of the soak's own event loop.
        largest_stall_processor_s: Processor time that the soak's own thread used in that stall.
    """

    fronts: list[str] = field(default_factory=list)
    cores: list[str] = field(default_factory=list)
    requests: list[ClientRequest] = field(default_factory=list)
    runs: list[BackendRun] = field(default_factory=list)
    versions: list[Version] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    broken_off: set[str] = field(default_factory=set)
    operator_failures: list[str] = field(default_factory=list)
    unrecovered: list[str] = field(default_factory=list)
    leaks: list[str] = field(default_factory=list)
    largest_stall_s: float = 0.0
    largest_stall_processor_s: float = 0.0
