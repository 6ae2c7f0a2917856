"""Routes client requests by the current configuration and wires the components that serve them.

The path of a request: `listener` reads it, `Router.begin` finds its route and service, `quota_client` grants it a permit if
its tenant has a limit, `request_scheduler` queues it (`admission_queue`), `request_lifecycle` sends it to the backend that
`backend_selection` picks (`attempt`), and `response_relay` forwards the response.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Result

from mulleinhatch.configuration.route import Route
from mulleinhatch.configuration.routes import RouteTable
from mulleinhatch.data_plane.access import Access, AccessDenied, decide_access
from mulleinhatch.data_plane.admission_queue import AdmissionQueue, PendingRequest
from mulleinhatch.data_plane.attempt import AttemptResources
from mulleinhatch.data_plane.backend_health import BackendHealthTracker
from mulleinhatch.data_plane.backend_selection import BackendSelector
from mulleinhatch.data_plane.client_timeouts import ClientTimeouts
from mulleinhatch.data_plane.connection_pool import ConnectionPool
from mulleinhatch.data_plane.control_plane_snapshot import ControlPlaneSnapshot
from mulleinhatch.data_plane.demand_tracker import DemandTracker
from mulleinhatch.data_plane.model_readiness import DEFAULT_RETRY_AFTER_S, ModelReadiness
from mulleinhatch.data_plane.model_versions import ModelVersions
from mulleinhatch.data_plane.priority_classes import PriorityClassTable, build_priority_classes
from mulleinhatch.data_plane.quota_client import QuotaClient
from mulleinhatch.data_plane.registry_snapshot import ModelKey
from mulleinhatch.data_plane.request_context import RequestContext, ResponseWriter
from mulleinhatch.data_plane.request_lifecycle import ClientRequest, RequestServices
from mulleinhatch.data_plane.request_log import RequestLog
from mulleinhatch.data_plane.request_permit import PermitServices
from mulleinhatch.data_plane.request_scheduler import RequestScheduler
from mulleinhatch.data_plane.retry_budget import RetryBudget
from mulleinhatch.data_plane.traffic_split import WeightedRoundRobin
from mulleinhatch.networking.http_client import HttpClient
from mulleinhatch.networking.http_streaming import Head
from mulleinhatch.process.settings import Settings
from mulleinhatch.tenants.tenant_table import LimitedTenants

SWEEP_INTERVAL_S = 0.1
POOL_SWEEP_INTERVAL_S = 1.0
# Reported value of a request of the highest class; the lowest counts 1. The configuration has only ranks, no values.
MAX_REQUEST_VALUE = 3.0


class Router:
    """Finds the route and service of each request and hands it to the scheduler.

    Args:
        settings: Settings of this data plane.
        loop: Clock and timers.
        on_missing_model: Called with a requested model that no backend can serve.
        http: Client for calls to control-plane nodes; a new one is created if None.
    """

    def __init__(
        self,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        on_missing_model: Callable[[ModelKey], None],
        http: HttpClient | None = None,
    ) -> None:
        clock = self._clock = loop.time
        self.snapshot = ControlPlaneSnapshot()
        self._priority_classes = PriorityClassTable()
        self.health = BackendHealthTracker()
        self.pool = ConnectionPool()
        self.demand = DemandTracker()
        self._traffic_splits = WeightedRoundRobin(settings.name)
        self._timeouts = ClientTimeouts()
        versions = ModelVersions(settings.bounds.version_s)
        self._selector = BackendSelector(clock, self.health, self.pool, settings.zone, versions)
        self._readiness = ModelReadiness(clock, self._selector, self.health)
        self.queue = AdmissionQueue(self._selector.available_slots, self._readiness.ready_in_s)
        self.request_log = RequestLog(clock, self._timeouts)
        self._scheduler = RequestScheduler(
            loop, self.queue, self._selector, self._readiness, self._timeouts, self.request_log, on_missing_model
        )
        self.quotas = QuotaClient(settings, http or HttpClient(), loop)
        bounds = settings.bounds
        self._services = RequestServices(
            loop,
            self._scheduler,
            AttemptResources(loop, self.pool, self._selector, self.health),
            RetryBudget(bounds.retry_budget_ratio, bounds.retry_budget_slack, bounds.budget_window_s),
            self.request_log,
            self._count_data_planes,
            PermitServices(self.quotas, clock, self._count_data_planes, self._timeouts.is_probable_retry),
            self._recheck_access,
        )
        self._configuration_apply_s = bounds.configuration_apply_s
        self._pool_swept_at = 0.0

    def _count_data_planes(self) -> int:
        return self.snapshot.data_planes

    # Called by the listener.

    def begin(self, session: ResponseWriter, head: Head, body: bytes) -> ClientRequest | None:
        """Start a client's request.

        Args:
            session: Connection that the response is written to.
            head: The request's head.
            body: The complete request body.

        Returns:
            The request, or None if it was answered immediately.
        """
        table = self.snapshot.table
        if not table.version:
            return self._answer(session, head, 503, "no configuration yet", DEFAULT_RETRY_AFTER_S)
        if not self._scheduler.accepts_requests():
            return self._answer(session, head, 503, "not run: this instance ends", DEFAULT_RETRY_AFTER_S)
        access = self._decide_access(table, head)
        if isinstance(access, Err):
            denied = access.err_value
            self.request_log.denied(denied)
            return self._answer(session, head, denied.status, denied.message, denied.retry_after_s)
        now, route, tenant = self._clock(), access.ok_value.route, access.ok_value.tenant
        deadline = self._timeouts.deadline(route, head, now)
        service, classes = self._choose_service(route), self._priority_classes
        context = RequestContext(session, head, body, route, service, deadline, table, tenant, classes)
        request = ClientRequest(self._services, context)
        request.submit(self._admit)
        return None if request.is_finished else request

    def _answer(self, session: ResponseWriter, head: Head, status: int, message: str, retry_after_s: float | None) -> None:
        """Answer a request on its arrival."""
        request_id = head.field_values.get(b"request-id", b"").decode("latin-1")
        self.request_log.ended_at_once(request_id, status, message, self.snapshot.table.version)
        session.respond_error(status, message, retry_after_s)

    def _decide_access(self, table: RouteTable, head: Head) -> Result[Access, AccessDenied]:
        return decide_access(table, head, self.snapshot.is_current(self._clock(), self._configuration_apply_s))

    def _recheck_access(self, context: RequestContext) -> AccessDenied | None:
        """Check a request's access again right before it is sent, if the configuration has changed since its arrival.

        Returns:
            Why the request may no longer run, or None.
        """
        table = self.snapshot.table
        if table is context.table:
            return None
        access = self._decide_access(table, context.head)
        if isinstance(access, Err):
            return access.err_value
        # The route and service stay as chosen; the access rules of a configuration apply to every request sent after it.
        context.bind(table, access.ok_value.tenant, self._priority_classes)
        return None

    def _choose_service(self, route: Route) -> str:
        if len(route.weighted_services) == 1:
            return route.weighted_services[0][0]
        return self._traffic_splits.next(route.name, route.weighted_services)

    def _admit(self, request: ClientRequest) -> None:
        self._record_demand(request.context)
        self._scheduler.admit(request)

    def _record_demand(self, context: RequestContext) -> None:
        if context.model_key.model:
            value = max(1.0, MAX_REQUEST_VALUE - context.route.priority)
            self.demand.record_request(context.model_key, value, self._clock())

    def _apply_classes(self, table: RouteTable) -> None:
        """Apply the priority classes of a new configuration, also to waiting requests."""
        self._priority_classes = classes = build_priority_classes(table)

        def rank(pending: PendingRequest) -> int:
            context = pending.handle.context
            tenant = context.tenant and table.tenants.by_name.get(context.tenant.name, context.tenant)
            return classes.class_of(context.route, tenant).rank

        self.queue.configure(classes.classes(), rank)

    # Called by the process.

    def apply_snapshot(self, snapshot: ControlPlaneSnapshot) -> None:
        """Switch to a new snapshot of the configuration and the registry."""
        if snapshot.table is not self.snapshot.table:
            self._apply_classes(snapshot.table)
            self._traffic_splits.keep_only(snapshot.table.routes)
            self._readiness.update(snapshot.table.services)
        self.snapshot = snapshot
        table = snapshot.table
        self.quotas.update(snapshot.control_epoch, snapshot.control_addresses, table.version, LimitedTenants(table.tenants))
        self._selector.update(snapshot.backends, snapshot.data_planes)
        self._scheduler.start_ready()

    def sweep(self) -> None:
        """Reject or start waiting requests; once a second, drop stale state and log served requests.

        Runs every `SWEEP_INTERVAL_S`.
        """
        now = self._clock()
        self._scheduler.sweep()
        if now - self._pool_swept_at > POOL_SWEEP_INTERVAL_S:
            self._pool_swept_at = now
            self.pool.sweep(set(self.snapshot.backends.by_id))
            self.queue.prune()
            self.health.prune(now)
            self.request_log.flush()

    def begin_shutdown(self, ends_at: float) -> None:
        """Reject the requests that can't be completed before the process exits.

        Args:
            ends_at: Loop time at which the process exits.
        """
        self._scheduler.begin_shutdown(ends_at)
        self.sweep()

    def end_shutdown(self) -> None:
        """Answer all requests that are still unfinished, right before the process exits."""
        self._scheduler.end_shutdown()
