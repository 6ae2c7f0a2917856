"""The lifecycle of one client request, from its arrival to the end of its response.

A request waits in the admission queue, is sent to a backend by an `Attempt`, and ends with exactly one response to the client.
`request_state` decides the next step after each event; this module performs it.

If the request's quota permit (`request_permit`) has expired when it starts, the request gives up its slot and acquires a new
one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from mulleinhatch.data_plane.access import AccessDenied
from mulleinhatch.data_plane.admission_queue import PendingRequest, Rejection
from mulleinhatch.data_plane.attempt import Attempt, AttemptResources
from mulleinhatch.data_plane.request_context import RequestContext
from mulleinhatch.data_plane.request_log import RequestEnd, RequestLog
from mulleinhatch.data_plane.request_permit import PermitServices, RequestPermit
from mulleinhatch.data_plane.request_state import NextStep
from mulleinhatch.data_plane.retry_budget import RetryBudget
from mulleinhatch.data_plane.wait_reason import WaitReason

DEADLINE_GRACE_S = 0.05  # Added to the deadline, so that a response that is just arriving is still forwarded.
SHUTDOWN_REASON = "this instance ends"
MIN_SEND_TIME_S = 0.02  # A request with less time left is not retried.


class Scheduler(Protocol):
    """The scheduler as seen by a request; `request_scheduler.RequestScheduler` implements it."""

    def requeue(self, request: ClientRequest) -> None:
        """Put a started request back into the queue because no backend was available."""

    def retry(self, request: ClientRequest) -> None:
        """Queue a request for another backend; it keeps its arrival time."""

    def track(self, request: ClientRequest) -> None:
        """Register a request that is not queued yet."""

    def resume(self, request: ClientRequest) -> None:
        """Queue a request again that released its slot without being sent."""

    def attempt_finished(self, request: ClientRequest, is_completed: bool, was_overloaded: bool) -> None:
        """Free the request's slot and update the service rate."""

    def remove(self, request: ClientRequest) -> None:
        """Forget a finished request."""

    def retry_after_s(self, request: ClientRequest) -> float:
        """Estimate the seconds after which the client should retry."""

    def has_backend(self, request: ClientRequest) -> bool:
        """Return whether a backend can take the request now."""


@dataclass(frozen=True, slots=True)
class RequestServices:
    """Components of the data plane that are shared by all client requests."""

    loop: asyncio.AbstractEventLoop
    scheduler: Scheduler
    attempt_resources: AttemptResources
    retry_budget: RetryBudget
    request_log: RequestLog
    data_plane_count: Callable[[], int]  # Number of data planes that share the retry budget.
    permits: PermitServices
    # Checks a request's access against the current configuration; returns why it may no longer run, or None.
    recheck_access: Callable[[RequestContext], AccessDenied | None] = lambda context: None


class ClientRequest:
    """One client request. Observes its attempts as an `AttemptObserver` and is cancelled by its `ClientSession`.

    Args:
        services: Shared components of the data plane.
        context: Data of the request.
    """

    __slots__ = (
        "_attempt",
        "_deadline_timer",
        "_is_writable",
        "_services",
        "context",
        "is_finished",
        "pending",
        "permit",
        "rejected_by",
        "wait_reason",
    )

    def __init__(self, services: RequestServices, context: RequestContext) -> None:
        self._services, self.context = services, context
        route = context.route
        self.pending = PendingRequest(
            handle=self,
            model_key=context.model_key,
            priority=context.priority_class.rank,
            target_s=route.target_latency_s,
            account=context.account,
            arrived_at=services.loop.time(),
            deadline=context.deadline,
        )
        self._attempt: Attempt | None = None
        self._is_writable = True  # Whether the client reads.
        self.permit = RequestPermit(services.permits, context, self.pending.arrived_at, self._on_permit_refused)
        self.rejected_by: set[str] = set()  # Ids of backends that did not serve it; avoided while others are available.
        self.is_finished = False
        self.wait_reason = WaitReason.NONE  # Why no backend could take it when it arrived.
        self._deadline_timer = services.loop.call_at(context.deadline + DEADLINE_GRACE_S, self._on_deadline)

    def answer_before(self, shutdown_at: float) -> None:
        """Answer the request at `shutdown_at` (loop time) unless an attempt is in progress by then."""
        if shutdown_at < self.context.deadline and self._attempt is None and not self.is_finished:
            self._deadline_timer.cancel()
            self._deadline_timer = self._services.loop.call_at(shutdown_at, self._on_shutdown)

    def _on_shutdown(self) -> None:
        if self.is_finished:
            return
        if self._attempt is None:
            self._perform_step(self.context.state.no_backend(), SHUTDOWN_REASON)
        else:
            self._deadline_timer = self._services.loop.call_at(self.context.deadline + DEADLINE_GRACE_S, self._on_deadline)

    def end_for_shutdown(self) -> None:
        """Answer the request because the process exits now, whatever its attempt has reached."""
        if not self.is_finished:
            self._abandon_attempt()
            self._perform_step(self.context.state.no_backend(), SHUTDOWN_REASON)

    # The tenant's quota.

    def submit(self, admit: Callable[[ClientRequest], None]) -> None:
        """Acquire a quota permit if the tenant has a limit, then call `admit`; answer with 429 if the quota is exhausted.

        If no backend can take the request yet, it is admitted first, up to a bound, and acquires its permit when it starts.
        """
        if not self.permit.is_needed:
            admit(self)
            return
        self._services.scheduler.track(self)
        if not self._services.scheduler.has_backend(self) and self.permit.try_defer():
            admit(self)
        else:
            self._with_permit(admit)

    def _with_permit(self, proceed: Callable[[ClientRequest], None]) -> None:
        """Call `proceed` as soon as the request has a usable permit; while it waits for one, it holds no slot."""
        self.permit.acquire(lambda: proceed(self))

    def _on_permit_refused(self, retry_after_s: float) -> None:
        self._perform_step(self.context.state.no_permit(), "over the quota", retry_after_s)

    # Called by the scheduler.

    def start(self) -> None:
        """Send the request to a backend, or return it to the queue if none is available."""
        services, context = self._services, self.context
        if self.is_finished:
            # It ended after the queue had released it.
            services.scheduler.attempt_finished(self, is_completed=False, was_overloaded=False)
            return
        if (denied := services.recheck_access(context)) is not None:
            self._deny(denied)
            return
        backend = services.attempt_resources.selector.select(context.model_key, context.prompt.prefix, self.rejected_by)
        if backend is None:
            services.scheduler.requeue(self)
            return
        if self.permit.is_needed and not self.permit.is_usable():
            services.scheduler.attempt_finished(self, is_completed=False, was_overloaded=False)
            self.permit.expired_in_queue()
            self._with_permit(services.scheduler.resume)
            return
        if context.state.written_sends and not self._spend_retry():
            self._release_attempt()
            self._perform_step(context.state.no_backend(), "no budget for another stub")
            return
        self._attempt = Attempt(context, backend, services.attempt_resources, self)
        if not self._is_writable:
            self._attempt.pause(True)
        self._attempt.start()

    def _deny(self, denied: AccessDenied) -> None:
        """End a started request that may no longer run because its key or route has been removed from the configuration."""
        self._release_attempt()
        next_step = self.context.state.no_backend()
        if next_step is not NextStep.REJECT:
            self._perform_step(next_step, denied.message)
            return
        self._finish()
        self._services.request_log.denied(denied)
        self._services.request_log.ended(self, RequestEnd.ANSWERED, denied.status, denied.message)
        self.context.response_writer.respond_error(denied.status, denied.message, denied.retry_after_s)

    def _spend_retry(self) -> bool:
        services = self._services
        return services.retry_budget.try_spend(self.context.service, services.loop.time(), services.data_plane_count())

    def reject(self, rejection: Rejection) -> None:
        """Answer a request that the queue did not accept, or removed before it was started."""
        self._perform_step(self.context.state.no_backend(), rejection.reason.value, rejection.retry_after_s)

    # Called by the attempt.

    def may_send(self) -> bool:
        """Spend the permit on the write that follows; return whether the request may be written."""
        return self.permit.redeem()

    def on_permit_expired(self) -> None:
        """Acquire a new permit; no byte of the request was written."""
        self._release_attempt()
        self._with_permit(self._services.scheduler.resume)

    def on_sent(self) -> None:
        """Count the first send as a request in the retry budget."""
        if self.context.state.written_sends == 1:
            self._services.retry_budget.record_request(self.context.service, self._services.loop.time())

    def on_first_byte(self, latency_s: float) -> None:
        """Log a response that starts after the route's latency target."""
        waited_s = self._services.loop.time() - self.pending.arrived_at
        if waited_s > self.context.route.target_latency_s:
            self._services.request_log.late(self, waited_s, latency_s)

    def on_rejected_by_backend(self, attempt: Attempt, was_overloaded: bool) -> None:
        """Handle a backend's statement that it did not execute the request."""
        self.permit.reinstate()
        self._release_attempt(was_overloaded=was_overloaded)
        self.rejected_by.add(attempt.backend.id)
        self._perform_step(self.context.state.not_executed(), "no stub could take it")

    def on_unreachable(self, attempt: Attempt) -> None:
        """Handle a failed connect: no byte of the request reached the backend."""
        self._release_attempt()
        self.rejected_by.add(attempt.backend.id)
        self._perform_step(self.context.state.unreachable(len(self.rejected_by)), "no stub could be reached")

    def on_failed(self, attempt: Attempt) -> None:
        """Handle a failed attempt; the request may have executed."""
        self._release_attempt()
        self.permit.consume()
        self.rejected_by.add(attempt.backend.id)
        next_step = self.context.state.connection_lost()
        if next_step is NextStep.RETRY and self.context.event_filter is not None:
            self.context.event_filter.discard_partial_event()
        self._perform_step(next_step, "the stub broke off; whether it ran is not known")

    def on_completed(self, status: int) -> None:
        """Finish the request after its complete response was forwarded."""
        self._release_attempt(is_completed=True)
        self._finish()
        self.context.response_writer.finish()
        self._services.request_log.served()
        self._services.request_log.ended(self, RequestEnd.FORWARDED, status)

    def _release_attempt(self, is_completed: bool = False, was_overloaded: bool = False) -> None:
        self._attempt = None
        self._services.scheduler.attempt_finished(self, is_completed, was_overloaded)

    # Called by the client's session.

    def cancel(self) -> None:
        """Stop the request because its client disconnected, and free its backend immediately."""
        if not self.is_finished:
            self._abandon_attempt()
            self._finish()
            self._services.request_log.ended(self, RequestEnd.CLIENT_LEFT)

    def on_writable(self, is_writable: bool) -> None:
        """Pause reading from the backend while the client does not read."""
        self._is_writable = is_writable
        if self._attempt is not None:
            self._attempt.pause(not is_writable)

    # Completion.

    def _on_deadline(self) -> None:
        if self.is_finished:
            return
        self._abandon_attempt()
        self._perform_step(self.context.state.deadline_exceeded(), "the time is over")

    def _abandon_attempt(self) -> None:
        if self._attempt is not None:
            self._attempt.abandon()
            self._release_attempt()

    def _perform_step(self, next_step: NextStep, why: str, retry_after_s: float | None = None) -> None:
        """Perform the next step that the request's state machine decided on.

        Args:
            next_step: The step.
            why: Reason, included in the client's error message and in `reason` of log lines.
            retry_after_s: Seconds for `Retry-After` of a rejection; estimated if None.
        """
        if next_step is NextStep.RETRY:
            self._retry()
        elif next_step is NextStep.REJECT:
            self._respond_rejection(why, retry_after_s)
        elif next_step is NextStep.LIMIT:
            self._respond_limited(why, retry_after_s)
        elif next_step is NextStep.ABORT:
            self._finish()
            self._services.request_log.ended(self, RequestEnd.RESET, reason=why)
            self.context.response_writer.abort()
        else:
            self._respond_failure(504 if next_step is NextStep.TIME_OUT else 502, why)

    def _retry(self) -> None:
        if self._services.loop.time() + MIN_SEND_TIME_S > self.context.deadline:
            self._on_deadline()
        else:
            self._with_permit(self._services.scheduler.retry)

    def _respond_rejection(self, why: str, retry_after_s: float | None) -> None:
        if retry_after_s is None:
            retry_after_s = self._services.scheduler.retry_after_s(self)
        self._finish()
        self._services.request_log.not_served(self, why, retry_after_s)
        self._services.request_log.ended(self, RequestEnd.ANSWERED, 503, why)
        self.context.response_writer.respond_error(503, f"not run: {why}", retry_after_s)

    def _respond_limited(self, why: str, retry_after_s: float | None) -> None:
        self._finish()
        self._services.request_log.over_quota()
        self._services.request_log.ended(self, RequestEnd.ANSWERED, 429, why)
        self.context.response_writer.respond_error(429, f"not run: {why}", retry_after_s)

    def _respond_failure(self, status: int, why: str) -> None:
        self._finish()
        self._services.request_log.failed()
        self._services.request_log.ended(self, RequestEnd.ANSWERED, status, why)
        self.context.response_writer.respond_error(status, why)

    def _finish(self) -> None:
        self.is_finished = True
        self._deadline_timer.cancel()
        self.permit.end()
        self._services.scheduler.remove(self)
