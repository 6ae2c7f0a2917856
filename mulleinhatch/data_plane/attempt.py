"""One attempt to send a request to one backend: connects, sends, and reports the outcome to the request."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import Protocol

from mulleinhatch.data_plane.backend_health import BackendHealthTracker
from mulleinhatch.data_plane.backend_selection import BackendSelector
from mulleinhatch.data_plane.connection_pool import ConnectionPool
from mulleinhatch.data_plane.registry_snapshot import RegisteredBackend
from mulleinhatch.data_plane.request_context import RequestContext
from mulleinhatch.data_plane.request_headers import backend_fields
from mulleinhatch.data_plane.request_state import MISDIRECTED
from mulleinhatch.data_plane.response_relay import ResponseRelay
from mulleinhatch.data_plane.send import Settlement
from mulleinhatch.networking.http_connection import ClientConnection
from mulleinhatch.networking.http_streaming import Head, write_request

LOG = logging.getLogger(__name__)


class AttemptObserver(Protocol):
    """Notified of an attempt's progress; `request_lifecycle.ClientRequest` implements it."""

    def may_send(self) -> bool:
        """Return whether the tenant's quota allows the request to be written now. Called right before the write."""

    def on_permit_expired(self) -> None:
        """The request was not written because `may_send` returned False."""

    def on_sent(self) -> None:
        """The request is about to be written to a connection."""

    def on_first_byte(self, latency_s: float) -> None:
        """The response's body started `latency_s` after the request was sent."""

    def on_rejected_by_backend(self, attempt: Attempt, was_overloaded: bool) -> None:
        """The backend did not execute the request."""

    def on_unreachable(self, attempt: Attempt) -> None:
        """No byte of the request reached the backend."""

    def on_failed(self, attempt: Attempt) -> None:
        """The attempt failed; the request may have executed."""

    def on_completed(self, status: int) -> None:
        """The complete response was forwarded; `status` is its status."""


@dataclass(frozen=True, slots=True)
class AttemptResources:
    """Components of the data plane that are shared by all attempts."""

    loop: asyncio.AbstractEventLoop
    pool: ConnectionPool
    selector: BackendSelector
    health: BackendHealthTracker


class Attempt:
    """One attempt to send a request to one backend. Its `ResponseRelay` reads the response and reports how it ended.

    Args:
        context: Data of the request.
        backend: Backend that the request is sent to.
        resources: Shared components of the data plane.
        observer: Notified of the outcome, exactly once unless the attempt is abandoned.
    """

    __slots__ = (
        "_connect_task",
        "_connection",
        "_current_send",
        "_is_counted",
        "_is_paused",
        "_observer",
        "_relay",
        "_resources",
        "_sent_at",
        "backend",
        "context",
        "is_finished",
    )

    def __init__(
        self, context: RequestContext, backend: RegisteredBackend, resources: AttemptResources, observer: AttemptObserver
    ) -> None:
        self.context, self.backend = context, backend
        self._resources, self._observer = resources, observer
        self._relay = ResponseRelay(context, self, resources.loop)
        self._connection: ClientConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self.is_finished = False
        self._is_paused = False  # The client does not read.
        self._is_counted = False  # Whether it counts as running at the backend.
        self._sent_at = 0.0
        # From here on the request counts as executed by the backend, until the send is settled otherwise.
        self._current_send = context.state.begin_send(backend.id, resources.loop.time())

    # Sending.

    def start(self) -> None:
        """Send the request on an idle connection, or on a new one."""
        connection = self._resources.pool.acquire(self.backend.id, self.context.request_id)
        if connection is not None:
            self._send(connection)
        else:
            self._connect_task = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        try:
            connection = await self._resources.pool.open(self.backend.address)
        except OSError:
            if not self.is_finished:
                self.is_finished = True
                self.record_failure()
                self._report_unreachable()
            return
        if self.is_finished:
            # Race: the request was cancelled or its deadline passed while the connection was being opened.
            connection.close()
        elif not self._resources.selector.is_routable(self.backend):
            # Race: the backend started to drain or was deregistered while the connection was being opened.
            connection.close()
            self.is_finished = True
            self._report_unreachable()
        else:
            self._send(connection)

    def _report_unreachable(self) -> None:
        self._settle(Settlement.UNREACHABLE)
        self._observer.on_unreachable(self)

    def _settle(self, settlement: Settlement, head: Head | None = None) -> None:
        self._current_send.settle(settlement, self._resources.loop.time(), head)

    def _send(self, connection: ClientConnection) -> None:
        if not self._observer.may_send():
            # Race: the permit expired while the request waited or the process was suspended. Nothing is sent.
            self.is_finished = True
            self._resources.pool.put_back(self.backend.id, connection)
            self._settle(Settlement.NO_PERMIT)
            self._observer.on_permit_expired()
            return
        context, loop = self.context, self._resources.loop
        self._connection = connection
        self._current_send.connection, self._current_send.reuse = connection.number, connection.requests
        last_event_id = context.event_filter.last_event_id if context.event_filter is not None else b""
        remaining_s = context.deadline - loop.time()
        fields = backend_fields(
            context.head,
            remaining_s,
            self.backend.id,
            context.priority_class.field_value,
            last_event_id,
            context.requires_keys,
            context.tenant,
        )
        self._resources.health.record_started(self.backend.id)
        self._observer.on_sent()
        self._is_counted = True
        self._sent_at = loop.time()
        request = write_request(context.head.method, context.head.target, fields, context.body)
        connection.send(request, self._relay, context.request_id)
        if self._is_paused:
            connection.pause(True)
        else:
            self._restart_stall_timer()

    def _restart_stall_timer(self) -> None:
        if self.context.event_filter is not None:
            self._relay.restart_stall_timer()

    def pause(self, is_paused: bool) -> None:
        """Pause or resume reading the response, also before the request is sent; without effect once it is complete."""
        self._is_paused = is_paused
        if self._connection is None:
            return
        self._connection.pause(is_paused)
        if is_paused:
            self._relay.cancel_stall_timer()  # The client holds the stream up, not the backend.
        else:
            self._restart_stall_timer()

    def abandon(self) -> None:
        """Stop the attempt without notifying the observer, as the response is no longer needed."""
        self._settle(Settlement.ABANDONED)
        self.finish()
        if self._connect_task is not None:
            self._connect_task.cancel()
        self.close_connection()

    # Called by the relay, in the order of a response's lifecycle.

    def record_first_byte(self) -> None:
        """Measure the time to the first byte of the response's body."""
        now = self._resources.loop.time()
        latency_s = now - self._sent_at
        self._resources.health.record_latency(self.backend.id, latency_s, now)
        self._observer.on_first_byte(latency_s)

    def has_alternative(self) -> bool:
        """Return whether the request may run again and another backend is available for it."""
        context = self.context
        return context.state.may_run_again and self._resources.selector.has_alternative(context.model_key, self.backend)

    def close_connection(self) -> None:
        """Close the connection, if there is one, without reporting its loss."""
        if self._connection is not None:
            self._connection.close()

    def release_connection(self, head: Head) -> None:
        """Return the connection to the pool after a complete response; from here on it may serve another request."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self._resources.pool.release(self.backend.id, connection, head)

    def finish(self) -> None:
        """Mark the attempt as finished: it no longer counts as running at the backend."""
        self.is_finished = True
        if self._is_counted:
            self._is_counted = False
            self._resources.health.record_finished(self.backend.id)
        self._relay.cancel_stall_timer()

    def record_success(self) -> None:
        """Mark the backend as healthy after a complete response."""
        self._resources.health.record_success(self.backend.id)

    def record_failure(self) -> None:
        """Count a failure of the backend, which starts its cooldown."""
        self._resources.health.record_failure(self.backend.id, self._resources.loop.time())

    def report_rejection(self, head: Head) -> None:
        """Report that the backend did not execute the request, according to its response head."""
        backend, context, health = self.backend, self.context, self._resources.health
        now = self._resources.loop.time()
        self._settle(Settlement.NOT_EXECUTED, head)
        LOG.info(
            "backend rejected a request without executing it",
            extra={
                "request_id": context.request_id_text,
                "model": context.model_key.model,
                "adapter": context.model_key.adapter,
                "running": health.of(backend.id).running,
                **self._current_send.log_fields(self._current_send.started_at, now),
            },
        )
        if head.status == MISDIRECTED:
            answered_by = head.field_values.get(b"instance-id", b"").decode("latin-1")
            health.record_misdirected(backend, answered_by, context.model_key, now)
        else:
            health.record_overload(backend, context.model_key, now)
        self._observer.on_rejected_by_backend(self, was_overloaded=head.status != MISDIRECTED)

    def report_failed(self, settlement: Settlement, head: Head | None = None) -> None:
        """Report that the attempt failed; the request may have executed. `head` is that of its response, None without one."""
        self._settle(settlement, head)
        self._observer.on_failed(self)

    def report_completed(self, head: Head) -> None:
        """Report that the complete response was forwarded."""
        self._settle(Settlement.COMPLETED, head)
        self._observer.on_completed(head.status)
