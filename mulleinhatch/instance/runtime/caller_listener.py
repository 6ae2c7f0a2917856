"""The client side over HTTP: requests become events, actions become responses.

Another protocol would be another listener with the same methods.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from mulleinhatch.instance.protocol import http_requests, http_responses
from mulleinhatch.instance.request_state_machine.events import Event
from mulleinhatch.instance.retry_storms.retry_admission import PUNCTUAL_TOLERANCE_S
from mulleinhatch.instance.runtime.callbacks import CounterIncrement, EarlyRejection, EventHandler
from mulleinhatch.instance.transport.connections import Connections
from mulleinhatch.networking import http_grammar

LOG = logging.getLogger(__name__)
STATUS_BY_CAUSE = {
    "tenant": 400,
    "id in use": 409,
    "key in use": 422,
}  # of requests that do not fit the deployment; 404 for all other causes


class ClientListener:
    """Receives requests and health checks of clients, and writes the answers.

    Args:
        max_connections: Maximum number of open connections.
        handle_event: Passes events to the reducer.
        count: Increments a counter.
        counters_text: Returns the counters as served under their path.
        reject_early: Decides about retries before they are read in full; None without retry storm detection.
        advice_level: Returns the advice level of rejections.
    """

    def __init__(
        self,
        max_connections: int,
        handle_event: EventHandler,
        count: CounterIncrement,
        counters_text: Callable[[], str],
        reject_early: EarlyRejection | None = None,
        advice_level: Callable[[], float | None] = lambda: None,
    ) -> None:
        self.handle_event, self.count, self.counters_text = handle_event, count, counters_text
        self.reject_early, self.advice_level = reject_early, advice_level
        self.connections = Connections(
            max_connections,
            http_requests.RequestReader,
            time.monotonic,
            observer=self,
        )
        self.closing_connections: set[int] = set()  # to be closed after the response, as the client asked
        self.is_leaving = False
        self.on_handover: Callable[[bytes], None] | None = None
        self.on_connected: Callable[[], None] | None = None
        self.fleet_status: Callable[[], bytes] | None = None

    def serve_fleet_status(self, fleet_status: Callable[[], bytes]) -> None:
        """Serve the status of the fleet, as the JSON that `fleet_status` returns."""
        self.fleet_status = fleet_status

    def accept_handovers(self, on_handover: Callable[[bytes], None]) -> None:
        """Accept requests that peers hand over; `on_handover` is called with the number of the offer that each one uses."""
        self.on_handover = on_handover

    def on_connection_accepted(self) -> None:
        """Report an accepted connection if a callback is set."""
        if self.on_connected:
            self.on_connected()

    def on_message(self, connection_id: int, method: bytes, path: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        """Route a complete request."""
        if fields.get(b"connection", b"").lower() == b"close":
            self.closing_connections.add(connection_id)
        try:
            self._route(connection_id, method, path.partition(b"?")[0], fields, body)
        except http_grammar.BadRequestError as error:
            self._write(connection_id, self._record_bad_request(connection_id, error))

    def _route(self, connection_id: int, method: bytes, path: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        if path.startswith(http_requests.REQUEST_PATH):
            if method != b"POST":
                raise http_grammar.BadRequestError("method", 405)
            *arguments, rank = http_requests.parse_request(path, fields, time.time())
            is_handed_over = http_requests.HANDOVER_FIELD in fields and self.on_handover is not None
            if is_handed_over:
                self.on_handover(fields[http_requests.HANDOVER_FIELD])
            self.handle_event(Event.REQUEST_RECEIVED, connection_id, *arguments, body, rank, is_handed_over)
        elif path == http_requests.HEALTH_PATH:
            self.handle_event(Event.HEALTH_CHECK_RECEIVED, connection_id)
        elif path == http_requests.COUNTERS_PATH:
            self._write(connection_id, 200, self.counters_text().encode())
        elif path == http_requests.FLEET_PATH and self.fleet_status:
            self._write(connection_id, 200, self.fleet_status())
        else:
            raise http_grammar.BadRequestError("path", 404)

    def _record_bad_request(self, connection_id: int, error: http_grammar.BadRequestError) -> int:
        """Count a bad request and return the status of its answer."""
        self.connections.record_bad_request(connection_id)
        self.count("bad_" + error.cause.replace(" ", "_"))
        LOG.debug("rejected a malformed request", extra={"fields": {"cause": error.cause, "status": error.status}})
        return error.status

    def on_malformed_message(self, connection_id: int, error: http_grammar.BadRequestError) -> None:
        """Answer and close the connection: it is unknown where its next request begins."""
        self.closing_connections.add(connection_id)
        self._write(connection_id, self._record_bad_request(connection_id, error))

    def on_slow_message(self, connection_id: int) -> None:
        """Answer a request that arrives too slowly."""
        self.on_malformed_message(connection_id, http_grammar.BadRequestError("slow sender", 408))

    def on_connection_lost(self, connection_id: int) -> None:
        """Record that the client disconnected."""
        self.closing_connections.discard(connection_id)
        self.handle_event(Event.CLIENT_DISCONNECTED, connection_id)

    def send_result(self, connection_id: int, result: bytes, level: float | None) -> None:
        """Answer with the result of a run."""
        self._write(connection_id, 200, result, level=level)

    def set_early_rejection(self, is_enabled: bool) -> None:
        """Set whether retries may be rejected before they are read in full."""
        self.connections.set_early_answers(bool(is_enabled and self.reject_early))

    def answer_early(self, connection_id: int, now: float, data: bytes, retry_at: float) -> tuple[bytes, float] | None:
        """Return the rejection of a retry and the time when its client may retry, or None to read the request.

        Args:
            retry_at: When the last answer on this connection told the client to retry; 0 if none did. Such a client is neither
                punctual nor too early.
        """
        arguments = None if self.is_leaving else http_requests.parse_plain_request(data)
        if arguments is None:
            return None
        is_too_early = now < retry_at - PUNCTUAL_TOLERANCE_S
        seconds = self.reject_early(
            now,
            *arguments,
            is_punctual=retry_at > 0.0 and not is_too_early,
            is_too_early=is_too_early,
            connection_id=connection_id,
            figures=partial(http_requests.parse_plain_figures, data),
        )
        if seconds is None:
            return None
        self.count("answers_429")
        return http_responses.write_retry_rejection(self.advice_level(), seconds), now + seconds

    def send_rejection(
        self, connection_id: int, retry_after_s: float, is_rejected_elsewhere: bool, level: float | None
    ) -> None:
        """Reject a request that was not executed."""
        if retry_after_s > 0.0:
            self.connections.record_retry_time(connection_id, time.monotonic() + retry_after_s)
        self._write(
            connection_id,
            503 if self.is_leaving else 429,
            level=level,
            hold_off=retry_after_s,
            not_elsewhere=is_rejected_elsewhere,
        )

    def send_failure(self, connection_id: int, level: float | None) -> None:
        """Answer that the request failed."""
        self._write(connection_id, 500, level=level)

    def send_invalid(self, connection_id: int, cause: str) -> None:
        """Answer a well-formed request that does not fit the deployment or the other open requests."""
        self._write(
            connection_id,
            self._record_bad_request(connection_id, http_grammar.BadRequestError(cause, STATUS_BY_CAUSE.get(cause, 404))),
        )

    def send_health(self, connection_id: int, is_healthy: bool, level: float | None) -> None:
        """Answer a health check."""
        self._write(connection_id, 200 if is_healthy else 503, level=level)

    def abandon_connection(self, connection_id: int) -> None:
        """Close a connection whose request continues on another one."""
        self.closing_connections.discard(connection_id)
        self.connections.abandon(connection_id)

    def _write(self, connection_id: int, status: int, body: bytes = b"", **fields: Any) -> None:
        is_last = connection_id in self.closing_connections
        self.closing_connections.discard(connection_id)
        pieces = http_responses.write_response(status, body, close=is_last or self.is_leaving, **fields)
        self.count(f"answers_{status}" if self.connections.respond(connection_id, pieces, is_last) else "answers_unsent")
