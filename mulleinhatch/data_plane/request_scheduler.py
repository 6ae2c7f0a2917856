"""Starts requests in the order of the admission queue and rejects those that can't be served in time."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from mulleinhatch.data_plane.admission_queue import (
    DEFAULT_SERVICE_S,
    RESPONSE_MARGIN_S,
    AdmissionQueue,
    Rejection,
    RejectionReason,
)
from mulleinhatch.data_plane.backend_selection import BackendSelector
from mulleinhatch.data_plane.client_timeouts import EARLY_ANSWER_FRACTION, ClientTimeouts, stream_abandoned_after_s
from mulleinhatch.data_plane.model_readiness import ModelReadiness
from mulleinhatch.data_plane.registry_snapshot import ModelKey
from mulleinhatch.data_plane.request_lifecycle import ClientRequest
from mulleinhatch.data_plane.request_log import RequestLog
from mulleinhatch.data_plane.wait_reason import WaitReason, wait_reason_of

SHUTDOWN_RESPONSE_MARGIN_S = 0.4  # Respond this long before the process exits, so that the response reaches the client.
SHUTDOWN_ACCEPT_S = 2.8  # A request accepted later than this after SIGTERM might not complete before the process exits.
RETRY_AFTER_MARGIN_S = 0.08


class RequestScheduler:
    """Tracks all unfinished requests and decides when each one starts.

    Args:
        loop: Clock and timers.
        queue: Orders and bounds the waiting requests.
        selector: Knows which backends are available.
        readiness: Estimates when a model can be served.
        timeouts: Detects probable retries.
        request_log: Counts rejections.
        on_missing_model: Called with a requested model that no backend can serve.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        queue: AdmissionQueue,
        selector: BackendSelector,
        readiness: ModelReadiness,
        timeouts: ClientTimeouts,
        request_log: RequestLog,
        on_missing_model: Callable[[ModelKey], None],
    ) -> None:
        self._loop, self._queue, self._selector, self._readiness = loop, queue, selector, readiness
        self._timeouts, self._request_log, self._on_missing_model = timeouts, request_log, on_missing_model
        self._requests: set[ClientRequest] = set()
        self._is_starting = False
        self._answer_before = math.inf  # Loop time by which waiting requests must be answered at shutdown.
        self._accepts_until = math.inf

    def accepts_requests(self) -> bool:
        """Return whether a request that arrives now can be completed before the process exits."""
        return self._loop.time() <= self._accepts_until

    # Arrival.

    def track(self, request: ClientRequest) -> None:
        """Track a request, so that it is answered in time at shutdown."""
        self._requests.add(request)
        self._limit_wait(request)

    def admit(self, request: ClientRequest) -> None:
        """Queue a client's request; it may be started or rejected immediately."""
        now, model_key, pending = self._loop.time(), request.context.model_key, request.pending
        self.track(request)
        if request.context.route.is_streaming:
            pending.deadline = min(pending.deadline, pending.arrived_at + stream_abandoned_after_s(request.context.route))
        if model_key.model:
            delay_s = EARLY_ANSWER_FRACTION * request.context.route.target_latency_s
            self._loop.call_later(delay_s, self._check_feasibility, request)
        rejection = self._queue.enqueue(pending, now)
        is_available = bool(self._selector.available(model_key, now))
        request.wait_reason = wait_reason_of(model_key, self._selector.registered(model_key.service), is_available)
        if model_key.model and not is_available:
            self._on_missing_model(model_key)
        if rejection is not None:
            self._reject(request, rejection)
            return
        self.start_ready()
        if request.wait_reason is WaitReason.NONE and not request.is_finished and not pending.is_started:
            request.wait_reason = WaitReason.LIMIT

    def _check_feasibility(self, request: ClientRequest) -> None:
        """Reject a request whose model can't be ready within its latency target.

        Runs shortly after the arrival, when the placement leader has published whether it loads the model. An early rejection
        with an estimate of the model's readiness is worth more than a late response. A probable retry stays queued if it can
        still be served before its deadline.
        """
        now, pending, context = self._loop.time(), request.pending, request.context
        if request.is_finished or pending.is_started or context.state.written_sends:
            return
        ready_in_s = self._readiness.ready_in_s(context.model_key)
        if ready_in_s <= 0.0 or now + ready_in_s + DEFAULT_SERVICE_S <= pending.arrived_at + context.route.target_latency_s:
            return
        is_retry = self._timeouts.is_probable_retry(context.route, context.deadline - pending.arrived_at)
        if is_retry and now + ready_in_s + RESPONSE_MARGIN_S < pending.deadline:
            return
        self._reject(request, Rejection(RejectionReason.NO_BACKEND_IN_TIME, ready_in_s + RETRY_AFTER_MARGIN_S))

    def _reject(self, request: ClientRequest, rejection: Rejection) -> None:
        request.reject(rejection)

    # Starting.

    def start_ready(self) -> None:
        """Start the requests that the queue releases now."""
        if self._is_starting:
            return  # Not reentrant: a started request that ends immediately calls this method again.
        self._is_starting = True
        try:
            for pending in self._queue.start_next(self._loop.time()):
                pending.handle.start()
        finally:
            self._is_starting = False

    def sweep(self) -> None:
        """Reject waiting requests that can no longer be served in time, and start those that the queue releases now."""
        for pending, rejection in self._queue.remove_expired(self._loop.time()):
            self._reject(pending.handle, rejection)
        self.start_ready()

    # Called by a request (`request_lifecycle.Scheduler`).

    def requeue(self, request: ClientRequest) -> None:
        """Put a started request back into the queue because no backend was available."""
        self._queue.requeue(request.pending, self._loop.time())

    def retry(self, request: ClientRequest) -> None:
        """Queue a request that a backend did not serve for another backend; it keeps its arrival time."""
        rejection = self._queue.enqueue(request.pending, self._loop.time())
        if rejection is not None:
            request.reject(rejection)
        else:
            self.start_ready()

    def resume(self, request: ClientRequest) -> None:
        """Queue an accepted request again that released its slot without being sent; it keeps its arrival time."""
        self._queue.restore(request.pending)
        self.start_ready()

    def attempt_finished(self, request: ClientRequest, is_completed: bool, was_overloaded: bool) -> None:
        """Free the slot of a request and start the next one."""
        self._queue.finish(request.pending, self._loop.time(), is_completed, was_overloaded)
        self._loop.call_soon(self.start_ready)

    def remove(self, request: ClientRequest) -> None:
        """Forget a finished request."""
        self._queue.remove(request.pending)
        self._requests.discard(request)

    def retry_after_s(self, request: ClientRequest) -> float:
        """Estimate the seconds after which the client should retry."""
        return self._readiness.retry_after_s(request.context.model_key)

    def has_backend(self, request: ClientRequest) -> bool:
        """Return whether a backend can take the request now."""
        return bool(self._selector.available(request.context.model_key, self._loop.time()))

    # Shutdown.

    def begin_shutdown(self, ends_at: float) -> None:
        """Reject the requests that can't be started in time, so that clients retry elsewhere before the process exits.

        Args:
            ends_at: Loop time at which the process exits.
        """
        self._answer_before = ends_at - SHUTDOWN_RESPONSE_MARGIN_S
        self._accepts_until = self._loop.time() + SHUTDOWN_ACCEPT_S
        for request in list(self._requests):
            self._limit_wait(request)

    def end_shutdown(self) -> None:
        """Answer all unfinished requests: a close without an answer would not tell that they may have executed."""
        for request in list(self._requests):
            request.end_for_shutdown()

    def _limit_wait(self, request: ClientRequest) -> None:
        request.pending.deadline = min(request.pending.deadline, self._answer_before)
        request.answer_before(self._answer_before)
