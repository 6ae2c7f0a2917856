"""The quota permit of one client request, from its acquisition to its use or return.

A request of a tenant with a limit needs a valid permit when it enters the queue, when it starts, and when it is written. A
permit is consumed by a send after which the request may have executed; if the backend reports that it did not execute the
request, the permit stays valid.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from result import Err

from mulleinhatch.configuration.route import Route
from mulleinhatch.data_plane.permit_patience import RATE_OVERCOMMIT, Patience
from mulleinhatch.data_plane.permit_waits import Outcome, PermitWait
from mulleinhatch.data_plane.request_context import RequestContext
from mulleinhatch.quotas.balance import Permit
from mulleinhatch.tenants.tenant import Tenant


class PermitSource(Protocol):
    """Grants permits from the tenants' quotas; `quota_client.QuotaClient` implements it."""

    def acquire(
        self, tenant: str, tokens: int, patience: Patience, on_outcome: Callable[[Outcome], None]
    ) -> Outcome | PermitWait:
        """Return a permit or a refusal, or a pending wait for one of them."""

    def redeem(self, permit: Permit) -> bool:
        """Spend a permit on a request that is about to be written; return whether the request may be written."""

    def reinstate(self, permit: Permit) -> None:
        """Restore a spent permit after a backend reported that it did not execute the request."""

    def refund(self, permit: Permit) -> None:
        """Return the permit of a finished request to the quota; does nothing if the request may have executed."""

    def try_defer(self, tenant: Tenant, tokens: int, data_planes: int) -> bool:
        """Return whether a request may be queued without a permit; if so, the caller must call `end_deferral` later."""

    def end_deferral(self, tenant: Tenant, tokens: int) -> None:
        """Drop the deferral of a request that acquires its permit now, or has ended."""


@dataclass(frozen=True, slots=True)
class PermitServices:
    """What the permits of all requests of a data plane share."""

    source: PermitSource
    clock: Callable[[], float]
    data_plane_count: Callable[[], int]  # Number of data planes that share the quotas.
    # Returns whether a request is probably a retry, given its route and the seconds left at its arrival.
    is_probable_retry: Callable[[Route, float], bool] = lambda route, remaining_s: False


class RequestPermit:
    """The permit of one request; most requests have no limited tenant and need none.

    Args:
        services: Source of the permits, clock and estimates.
        context: Data of the request.
        arrived_at: Loop time of its arrival.
        on_refused: Called with the seconds after which the client should retry, if the quota has no tokens.
    """

    __slots__ = ("_arrived_at", "_context", "_deferred_for", "_on_refused", "_permit", "_services", "_wait", "_was_queued")

    def __init__(
        self, services: PermitServices, context: RequestContext, arrived_at: float, on_refused: Callable[[float], None]
    ) -> None:
        self._services, self._context, self._arrived_at, self._on_refused = services, context, arrived_at, on_refused
        self._permit: Permit | None = None
        self._wait: PermitWait | None = None
        self._deferred_for: tuple[Tenant, int] | None = None  # Tenant and tokens, while it is queued without a permit.
        self._was_queued = False  # Whether it was queued before it had a permit, or until its permit expired.

    @property
    def is_needed(self) -> bool:
        """Whether the request has a limited tenant and a cost above 0. New configurations may change it."""
        tenant = self._context.tenant
        return tenant is not None and tenant.limit is not None and self._context.quota_tokens > 0

    def is_usable(self) -> bool:
        """Return whether there is a permit that covers the request now."""
        permit, context = self._permit, self._context
        if permit is None or permit.tenant != context.tenant.name or permit.tokens < context.quota_tokens:
            return False
        return permit.is_usable(self._services.clock())

    # Acquiring.

    def try_defer(self) -> bool:
        """Return whether the request may be queued without a permit, which it then acquires when it starts."""
        tenant, tokens = self._context.tenant, self._context.quota_tokens
        if not self._services.source.try_defer(tenant, tokens, self._services.data_plane_count()):
            return False
        self._deferred_for, self._was_queued = (tenant, tokens), True
        return True

    def expired_in_queue(self) -> None:
        """Record that the request waited so long that its permit expired, or was deferred."""
        self._was_queued = True

    def acquire(self, proceed: Callable[[], None]) -> None:
        """Call `proceed` as soon as there is a usable permit, or none is needed."""
        self._end_deferral()
        if not self.is_needed or self.is_usable():
            proceed()
            return
        self.refund()
        context = self._context
        outcome = self._services.source.acquire(
            context.tenant.name,
            context.quota_tokens,
            self._patience(),
            lambda late_outcome: self._on_outcome(late_outcome, proceed),
        )
        if isinstance(outcome, PermitWait):
            self._wait = outcome
        else:
            self._on_outcome(outcome, proceed)

    def _patience(self) -> Patience:
        """Return how long the request may wait for a permit."""
        context, services = self._context, self._services
        return Patience(
            self._arrived_at,
            context.route.target_latency_s,
            context.deadline,
            services.is_probable_retry(context.route, context.deadline - self._arrived_at),
            RATE_OVERCOMMIT * context.tenant.limit.rate_per_s / max(1, services.data_plane_count()),
            self._was_queued,
        )

    def _on_outcome(self, outcome: Outcome, proceed: Callable[[], None]) -> None:
        self._wait = None
        if isinstance(outcome, Err):
            self._on_refused(outcome.err_value.retry_after_s)
        else:
            self._permit = outcome.ok_value
            proceed()

    # Use and return.

    def redeem(self) -> bool:
        """Spend the permit on the write that follows; return whether the request may be written."""
        if not self.is_needed:
            return True
        return self.is_usable() and self._services.source.redeem(self._permit)

    def reinstate(self) -> None:
        """Make the permit valid again, because the backend did not execute the request."""
        if self._permit is not None:
            self._services.source.reinstate(self._permit)

    def consume(self) -> None:
        """Give the permit up, because the request may have executed."""
        self._permit = None

    def refund(self) -> None:
        """Return the permit to the quota."""
        if self._permit is not None:
            self._services.source.refund(self._permit)
            self._permit = None

    def end(self) -> None:
        """End the use of the quota, because the request has ended."""
        self._end_deferral()
        if self._wait is not None:
            self._wait.cancel()
            self._wait = None
        self.refund()

    def _end_deferral(self) -> None:
        if self._deferred_for is not None:
            self._services.source.end_deferral(*self._deferred_for)
            self._deferred_for = None
