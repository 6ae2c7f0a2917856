"""Polls backends for their reports and applies these to the leader's state."""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus

from mulleinhatch.control_plane.placement.backend_report import BackendReport, parse_report
from mulleinhatch.control_plane.placement.backend_state import BackendState
from mulleinhatch.control_plane.placement.interfaces import TaskRunner
from mulleinhatch.control_plane.placement.order import OrderInFlight
from mulleinhatch.control_plane.placement.published_holdings import HoldingsPublisher
from mulleinhatch.messages.cluster import Backend
from mulleinhatch.networking.http_client import HttpCallError, HttpClient

LOG = logging.getLogger(__name__)
REPORT_TIMEOUT_S = 0.6  # of a request for a report
POLL_INTERVAL_S = 0.12  # between polls of a backend whose order should be complete
POLL_BACKOFF_S = 1.0  # pause after a failed poll, per consecutive failure
MAX_POLL_BACKOFF_S = 4.0


class ReportPoller:
    """Requests reports from backends whose state is unknown or whose order should be complete.

    Args:
        tasks: Runs the polls in the background.
        http_client: Client for requests to backends.
        clock: Monotonic time in seconds.
        publisher: Publishes the state after a report was applied.
        on_report: Called after a report has been applied.
    """

    def __init__(
        self,
        tasks: TaskRunner,
        http_client: HttpClient,
        clock: Callable[[], float],
        publisher: HoldingsPublisher,
        on_report: Callable[[], None],
    ) -> None:
        self._tasks, self._http_client, self._clock = tasks, http_client, clock
        self._publisher, self._on_report = publisher, on_report

    def poll_if_due(self, backend: Backend, state: BackendState, now: float) -> None:
        """Start a poll in the background if a report is needed and no poll is running."""
        if state.needs_report(now) and not state.is_polling and now >= state.next_poll_at:
            state.is_polling = True
            self._tasks.start_task(self._poll(backend, state))

    async def _poll(self, backend: Backend, state: BackendState) -> None:
        polled_at = self._clock()
        try:
            report = await self._request_report(backend)
        finally:
            state.is_polling = False
        now = self._clock()
        if report is None:
            state.poll_failures += 1
            state.next_poll_at = now + min(MAX_POLL_BACKOFF_S, POLL_BACKOFF_S * state.poll_failures)
            return
        state.poll_failures = 0
        state.next_poll_at = now + POLL_INTERVAL_S
        self._apply(backend, state, report, polled_at, now)

    async def _request_report(self, backend: Backend) -> BackendReport | None:
        """Return the backend's report, or None if the call failed or the response is not a valid report."""
        try:
            response = await self._http_client.request(backend.address, "GET", "/report", b"", REPORT_TIMEOUT_S)
            return parse_report(response.body) if response.status == HTTPStatus.OK else None
        except (HttpCallError, ValueError):
            self._http_client.forget(backend.address)
            return None

    def _apply(self, backend: Backend, state: BackendState, report: BackendReport, polled_at: float, now: float) -> None:
        """Apply a report, unless it may show the state before the order in flight was executed."""
        in_flight = state.in_flight
        if in_flight is not None:
            # Race: a follow-up load may be sent while this report is on its way. Applying the report would clear the unload,
            # and the handler of the load's response would find no order to replace.
            if report.is_busy or in_flight.is_follow_up_sending or not in_flight.is_completed_by(report, polled_at):
                return
            self._log_completion(backend, in_flight, now)
            state.in_flight = None
        state.apply_report(report, now)
        self._publisher.publish(backend.id, state)
        self._on_report()

    @staticmethod
    def _log_completion(backend: Backend, in_flight: OrderInFlight, now: float) -> None:
        order = in_flight.order
        fields = {"backend": backend.id, "operation": order.operation.value, "model": order.model, "adapter": order.adapter}
        # The phrase is parsed by benchmarks.lost_value, also in logs of older versions.
        LOG.info("order ended", extra=fields | {"took_s": round(now - in_flight.started_at, 3)})
