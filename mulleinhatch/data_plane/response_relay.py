"""Forwards a backend's response to the client as it arrives.

A relay is the `ResponseSink` of one attempt's connection, so that a body chunk passes from the connection to the client's
session without intermediate objects. The route determines the mode: a plain response is buffered until it is complete or too
long; a stream is forwarded byte for byte; a resumable stream is forwarded in complete events, each exactly once.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from mulleinhatch.data_plane.event_stream import EventBoundary, may_be_event_stream
from mulleinhatch.data_plane.request_context import RequestContext
from mulleinhatch.data_plane.request_state import ResponseVerdict, classify_response
from mulleinhatch.data_plane.send import Settlement
from mulleinhatch.networking.http_connection import Loss
from mulleinhatch.networking.http_streaming import Head

# A resumable stream without an event for the longest of these times is resumed at another backend.
STREAM_STALL_TIMEOUT_S = 2.0
STALL_TIMEOUT_GAPS = 4.0  # Multiple of the route's usual gap between events.
STALL_TIMEOUT_TARGETS = 0.75  # Fraction of the route's latency target; applies before the response head only.
MAX_BUFFERED_BODY_BYTES = 1 << 18  # Longer plain responses are forwarded without further buffering.


class RelayedAttempt(Protocol):
    """The attempt as seen by its relay; `attempt.Attempt` implements it."""

    is_finished: bool

    def record_first_byte(self) -> None:
        """Measure the time to the first byte of the body."""

    def has_alternative(self) -> bool:
        """Return whether the request may run again and another backend is available for it."""

    def close_connection(self) -> None:
        """Close the backend's connection."""

    def release_connection(self, head: Head) -> None:
        """Return the backend's connection to the pool."""

    def finish(self) -> None:
        """Mark the attempt as finished."""

    def record_success(self) -> None:
        """Count a complete response."""

    def record_failure(self) -> None:
        """Count a failure of the backend."""

    def report_rejection(self, head: Head) -> None:
        """Report that the backend did not execute the request."""

    def report_failed(self, settlement: Settlement, head: Head | None = None) -> None:
        """Report that the attempt failed; the request may have executed. `head` is that of its response, None without one."""

    def report_completed(self, head: Head) -> None:
        """Report a complete response."""


class ResponseRelay:
    """Reads one response and writes it to the client's connection.

    Args:
        context: Data of the request.
        attempt: Attempt that the response belongs to.
        loop: Clock and timers.
    """

    # One object per attempt; `on_body` runs for every event of a stream, and slots keep its lookups cheap.
    __slots__ = (
        "_attempt",
        "_buffer",
        "_buffered_bytes",
        "_context",
        "_event_boundary",
        "_event_filter",
        "_has_first_byte",
        "_head",
        "_loop",
        "_response_writer",
        "_stall_timer",
        "_verdict",
    )

    def __init__(self, context: RequestContext, attempt: RelayedAttempt, loop: asyncio.AbstractEventLoop) -> None:
        self._context, self._attempt, self._loop = context, attempt, loop
        self._response_writer, self._event_filter = context.response_writer, context.event_filter
        self._head: Head | None = None
        self._verdict: ResponseVerdict | None = None
        self._buffer: list[bytes] | None = None  # Chunks of a plain response whose head is not forwarded yet.
        self._buffered_bytes = 0
        self._event_boundary: EventBoundary | None = None  # Of a stream that ends with its connection.
        self._has_first_byte = False
        self._stall_timer: asyncio.TimerHandle | None = None

    # Called by the connection.

    def expects(self, head: Head) -> bool:
        """Return whether a response head belongs to this request, not to an earlier one on the connection."""
        request_id = self._context.request_id
        return not request_id or head.field_values.get(b"request-id") == request_id

    def on_head(self, head: Head) -> None:
        """Decide from the response head how the body is handled."""
        route, state = self._context.route, self._context.state
        self._head = head
        self._verdict = classify_response(head.status, head.field_values, route.is_idempotent)
        if self._verdict is ResponseVerdict.NOT_EXECUTED:
            return
        if self._verdict is ResponseVerdict.UNUSABLE:
            self._attempt.close_connection()
            self.on_loss(Loss.BROKEN)
        elif not route.is_streaming or head.status >= 300:
            self._buffer = []
        else:
            if head.until_close and may_be_event_stream(head.field_values.get(b"content-type", b"")):
                self._event_boundary = EventBoundary()
            if not state.is_response_started:
                self._forward_head(head.length)

    def on_body(self, data: bytes) -> None:
        """Forward or buffer a chunk of the body."""
        if self._verdict is ResponseVerdict.NOT_EXECUTED:
            return
        if not self._has_first_byte:
            self._has_first_byte = True
            self._attempt.record_first_byte()
        if self._event_boundary is not None:
            self._event_boundary.feed(data)
        if self._buffer is not None:
            self._append_to_buffer(data)
        elif self._event_filter is not None:
            self.restart_stall_timer()
            events = self._event_filter.feed(data)
            if events:
                self._response_writer.write_body(events)
        else:
            self._response_writer.write_body(data)

    def on_end(self) -> None:
        """Finish the attempt after a complete response, or after a stream whose connection was closed within an event."""
        attempt, head = self._attempt, self._head
        if attempt.is_finished:
            return
        if self._event_boundary is not None and not self._event_boundary.is_reached:
            self.on_loss(Loss.BROKEN)
            return
        attempt.finish()
        attempt.release_connection(head)
        if self._verdict is ResponseVerdict.NOT_EXECUTED:
            attempt.report_rejection(head)
            return
        attempt.record_success()
        if self._must_discard(head):
            attempt.report_failed(Settlement.UNUSABLE, head)
            return
        self._forward_rest()
        attempt.report_completed(head)

    def on_loss(self, loss: Loss) -> None:
        """Finish the attempt after its connection was lost or received bytes that are not a valid response."""
        attempt = self._attempt
        if attempt.is_finished:
            return
        attempt.finish()
        attempt.record_failure()
        if self._verdict is ResponseVerdict.NOT_EXECUTED:
            attempt.report_rejection(self._head)
        else:
            settlement = Settlement.NO_RESPONSE if loss is Loss.NO_RESPONSE else Settlement.UNUSABLE
            attempt.report_failed(settlement, self._head)

    # Forwarding.

    def _forward_head(self, length: int | None) -> None:
        self._context.state.is_response_started = True
        # Another backend may continue a resumable stream, so its total length is unknown.
        self._response_writer.write_head(self._head, None if self._event_filter is not None else length)

    def _append_to_buffer(self, data: bytes) -> None:
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_BUFFERED_BODY_BYTES:
            self._forward_buffer(self._head.length)

    def _forward_buffer(self, length: int | None) -> None:
        buffer, self._buffer = self._buffer, None
        self._forward_head(length)
        for data in buffer:
            if data:
                self._response_writer.write_body(data)

    def _forward_rest(self) -> None:
        if self._buffer is not None:
            self._forward_buffer(self._buffered_bytes)
        elif self._event_filter is not None and self._event_filter.partial_event:
            self._response_writer.write_body(self._event_filter.partial_event)

    def _must_discard(self, head: Head) -> bool:
        """Return whether a complete error response is discarded instead of being forwarded.

        It is reported as a failed attempt, so that the retry rules for maybe-executed requests apply.
        """
        is_response_started = self._context.state.is_response_started
        if head.status >= 300 and is_response_started and self._event_filter is not None:
            return True  # An error response instead of the rest of the stream.
        return head.status >= 500 and not is_response_started and self._attempt.has_alternative()

    # Stalled streams.

    def restart_stall_timer(self) -> None:
        """Start the timer for the next event of a resumable stream; on expiry, the stream is resumed at another backend."""
        if self._stall_timer is not None:
            self._stall_timer.cancel()
        route = self._context.route
        timeout_s = max(STREAM_STALL_TIMEOUT_S, STALL_TIMEOUT_GAPS * route.target_gap_s)
        if self._head is None:
            timeout_s = max(timeout_s, STALL_TIMEOUT_TARGETS * route.target_latency_s)
        self._stall_timer = self._loop.call_later(timeout_s, self._on_stall)

    def cancel_stall_timer(self) -> None:
        """Cancel the timer for the next event."""
        if self._stall_timer is not None:
            self._stall_timer.cancel()

    def _on_stall(self) -> None:
        attempt = self._attempt
        if not attempt.is_finished and attempt.has_alternative():
            # `on_loss` records a second failure, so a stall doubles the cooldown.
            attempt.record_failure()
            attempt.close_connection()
            self.on_loss(Loss.BROKEN)
