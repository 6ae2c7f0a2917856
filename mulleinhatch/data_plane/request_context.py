"""The facts of one client request that its attempts and their relays share. Pure."""

from __future__ import annotations

from typing import Protocol

from mulleinhatch.configuration.routes import Route, RouteTable
from mulleinhatch.data_plane.event_stream import EventStreamFilter
from mulleinhatch.data_plane.priority_classes import PriorityClass, PriorityClassTable
from mulleinhatch.data_plane.registry_snapshot import ModelKey
from mulleinhatch.data_plane.request_headers import quota_tokens, read_prompt
from mulleinhatch.data_plane.request_state import RequestState
from mulleinhatch.networking.http_streaming import Head
from mulleinhatch.tenants.tenant import Tenant

NO_PRIORITY_CLASSES = PriorityClassTable()


class ResponseWriter(Protocol):
    """Where the response to a client goes; `listener.ClientSession` implements it."""

    def write_head(self, head: Head, length: int | None) -> None:
        """Forward a backend's response head; `length` is None where the body's length is unknown."""

    def write_body(self, data: bytes) -> None:
        """Forward a chunk of the body."""

    def finish(self) -> None:
        """Mark the response as complete."""

    def respond_error(self, status: int, message: str, retry_after_s: float | None = None) -> None:
        """Answer with an error of the data plane's own."""

    def abort(self) -> None:
        """Reset the connection, so that the client does not take a truncated response for a complete one."""


class RequestContext:
    """One client request: what was asked for, where the response goes, and how far its execution is known.

    Args:
        response_writer: Where the response goes.
        head: The client's request head.
        body: The complete request body.
        route: Matching route.
        service: Service chosen by the route's traffic split.
        deadline: Loop time at which the client or the route gives the request up.
        table: The configuration by which it may run.
        tenant: Whose key it carries, None where there is none.
        priority_classes: The priority classes of `table`.
    """

    # One object a request, read by each attempt and relay: slots keep the lookups cheap.
    __slots__ = (
        "body",
        "deadline",
        "event_filter",
        "head",
        "model_key",
        "priority_class",
        "prompt",
        "request_id",
        "response_writer",
        "route",
        "service",
        "state",
        "table",
        "tenant",
    )

    def __init__(
        self,
        response_writer: ResponseWriter,
        head: Head,
        body: bytes,
        route: Route,
        service: str,
        deadline: float,
        table: RouteTable | None = None,
        tenant: Tenant | None = None,
        priority_classes: PriorityClassTable = NO_PRIORITY_CLASSES,
    ) -> None:
        self.response_writer, self.head, self.body = response_writer, head, body
        self.route, self.service, self.deadline = route, service, deadline
        self.bind(table, tenant, priority_classes)
        self.prompt = read_prompt(head)
        self.request_id = head.first.get(b"request-id", b"")
        self.model_key = ModelKey(service, self.prompt.model, self.prompt.adapter)
        is_resumable = route.is_streaming and route.is_resumable
        self.state = RequestState(route.is_idempotent, is_resumable, route.max_attempts)
        self.event_filter = EventStreamFilter(head.first.get(b"last-event-id", b"")) if is_resumable else None

    def bind(self, table: RouteTable | None, tenant: Tenant | None, priority_classes: PriorityClassTable) -> None:
        """Set the configuration by which the request may run, and what follows from it."""
        self.table, self.tenant = table, tenant
        self.priority_class: PriorityClass = priority_classes.class_of(self.route, tenant)

    @property
    def account(self) -> str:
        """Whom it counts against in the queue: the tenant, or the last section of the prompt where there is none."""
        return self.tenant.name if self.tenant is not None else self.prompt.account

    @property
    def asks_for_keys(self) -> bool:
        """Whether tenants are configured."""
        return self.table is not None and self.table.tenants.asks_for_keys

    @property
    def quota_tokens(self) -> int:
        """What it costs its tenant's quota, in the tenant's unit; 0 where it has no tenant."""
        return quota_tokens(self.head, self.tenant) if self.tenant is not None else 0

    @property
    def request_id_text(self) -> str:
        """The request's id as text, for log lines."""
        return self.request_id.decode("latin-1")
