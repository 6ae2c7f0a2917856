"""The placement controller: reconciles the models at backends with the demand of data planes.

The controller runs on every control-plane node and acts only on the placement leader. It wires these modules:

| responsibility | module |
| --- | --- |
| which node may issue orders, and with which fencing token | `leadership` |
| demand of all data planes | `demand` |
| the leader's state of each backend | `backend_state`, `backend_report`, `report_poller` |
| which orders to issue | `planner`, `value`, `backend_view`, `load_rate_limiter` |
| sending orders | `order`, `order_client`, `order_dispatch` |
| notifying data planes | `published_holdings` |
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable

from mulleinhatch.configuration.routes import EngineSpec, ServiceBuilder
from mulleinhatch.control_plane.placement.backend_state import BackendState
from mulleinhatch.control_plane.placement.demand import DemandAggregator
from mulleinhatch.control_plane.placement.interfaces import ClusterMember
from mulleinhatch.control_plane.placement.leadership import PlacementLeadership
from mulleinhatch.control_plane.placement.load_rate_limiter import LoadRateLimiter
from mulleinhatch.control_plane.placement.order_client import OrderClient
from mulleinhatch.control_plane.placement.order_dispatch import OrderDispatcher
from mulleinhatch.control_plane.placement.planner import Planner
from mulleinhatch.control_plane.placement.published_holdings import HoldingsPublisher
from mulleinhatch.control_plane.placement.report_poller import ReportPoller
from mulleinhatch.leadership.lease import LeaseState
from mulleinhatch.messages.cluster import Backend, DemandReport, DemandResponse
from mulleinhatch.networking.http_client import HttpClient
from mulleinhatch.process.settings import Bounds

LOG = logging.getLogger(__name__)
RECONCILE_INTERVAL_S = 0.1
FOLLOWER_INTERVAL_S = 0.5  # interval on a node that may not lead; a new view triggers a pass at once
RECONCILE_PAUSE_FACTOR = 5.0  # a pass is followed by a pause of this many times its duration, up to one interval
ASSUMED_PREVIOUS_LOADS = 3  # store loads that the previous leader may have started without publishing them
ASSUMED_LOAD_AGE_FRACTION = 0.6  # assumed age of these loads, as a fraction of the rate limiter's window


class PlacementController:
    """Runs the reconcile loop and wires the placement modules.

    Args:
        node: The control-plane node.
        http_client: Client for requests to backends.
        clock: Monotonic time in seconds.
        bounds: The lease duration, the window of the weight store's load rate limit, and whether backends enforce fencing.
    """

    def __init__(self, node: ClusterMember, http_client: HttpClient, clock: Callable[[], float], bounds: Bounds) -> None:
        self._node, self._clock, self._window_s = node, clock, bounds.ceiling_window_s
        self.demand = DemandAggregator()
        self.leadership = PlacementLeadership(node, clock, bounds.lease_s, bounds.fenced)
        self._store_loads = LoadRateLimiter(bounds.ceiling_window_s)
        self._publisher = HoldingsPublisher(node, clock, self.leadership)
        self._reconcile_soon = asyncio.Event()
        self._poller = ReportPoller(node, http_client, clock, self._publisher, self._reconcile_soon.set)
        self._client = OrderClient(node, http_client, clock, self.leadership)
        self._dispatcher = OrderDispatcher(node, clock, self._client, self.leadership, self._publisher, self._store_loads)
        self._backend_states: dict[str, BackendState] = {}
        self._disk_models: dict[str, set[str]] = {}  # models on the disk of the backend at each address
        self._service_builder = ServiceBuilder()
        self._started_at = clock()

    @property
    def recent_orders(self) -> deque[dict[str, str]]:
        """Return the latest orders, each with the reason it was issued for."""
        return self._dispatcher.recent_orders

    def idle_s(self) -> float:
        """Return the seconds since this control-plane node last issued an order."""
        return self._client.idle_s()

    def record_store_load(self) -> None:
        """Count a load from the weight store, whichever node ordered it."""
        self._store_loads.record(self._clock())

    async def on_demand(self, report: DemandReport) -> DemandResponse:
        """Handle a data plane's demand report; the response says whether this control-plane node leads placement."""
        for invalid in self.demand.merge_report(report, self._clock()):
            fields = {"data_plane": invalid.data_plane, "model": invalid.model, "reason": str(invalid)}
            LOG.warning("ignored invalid demand figures of a data plane", extra=fields)
        if any(entry.pending_requests for entry in report.demand):
            self._reconcile_soon.set()
        return DemandResponse(accepted=self.leadership.is_acting)

    def on_change(self) -> None:
        """Request a pass, because the configuration has changed or a new view may have changed which node leads."""
        self._reconcile_soon.set()

    async def run(self) -> None:
        """Reconcile at each interval, and at once after a report, a new view, or demand with pending requests."""
        interval_s = RECONCILE_INTERVAL_S
        while True:
            try:
                async with asyncio.timeout(interval_s):
                    await self._reconcile_soon.wait()
            except TimeoutError:
                pass
            self._reconcile_soon.clear()
            started_at = self._clock()
            await self.reconcile()
            interval_s = FOLLOWER_INTERVAL_S if self.leadership.is_following else RECONCILE_INTERVAL_S
            duration_s = self._clock() - started_at
            await asyncio.sleep(min(RECONCILE_INTERVAL_S, RECONCILE_PAUSE_FACTOR * duration_s))

    async def reconcile(self) -> None:
        """Claim leadership if it is vacant; on the leader, poll backends and issue orders."""
        lease_state = self.leadership.observe()
        if lease_state is LeaseState.CLAIMING:
            is_first_claim = not self._node.state.leader
            if await self.leadership.acquire():
                self._start_leading(is_first_claim)
        elif lease_state is LeaseState.LEADER:
            self._reconcile_services()

    def _start_leading(self, is_first_claim: bool) -> None:
        """Discard all backend state, because the previous leader's orders in flight are unknown."""
        LOG.info("acquired placement leadership", extra={"fencing_token": self.leadership.token})
        self._backend_states.clear()
        self._publisher.reset()
        if is_first_claim:
            return
        assumed_at = self._clock() - min(ASSUMED_LOAD_AGE_FRACTION * self._window_s, self._clock() - self._started_at)
        for _ in range(ASSUMED_PREVIOUS_LOADS):
            self._store_loads.record(assumed_at)

    def _reconcile_services(self) -> None:
        now = self._clock()
        document = self._node.state.document
        for service in self._service_builder.build(document).values():
            if service.engine is not None:
                self._reconcile_service(service.name, service.engine, now)

    def _reconcile_service(self, service: str, engine: EngineSpec, now: float) -> None:
        backends = self._available_backends(service)
        for backend in backends.values():
            self._observe_backend(backend, now)
        demand = self.demand.totals(service, now)
        if not demand:
            return
        self._store_loads.configure(engine.loads_per_s)
        views = [
            self._backend_states[backend.id].to_view(backend, self._disk_models[backend.address], now)
            for backend in backends.values()
        ]
        for order in Planner(engine, views, demand, now, self._store_loads.available(now)).plan():
            # An order issued earlier in this pass may have exhausted the limit: publishing a store load counts it.
            if order.from_store and self._store_loads.available(now) <= 0:
                continue
            backend_id = order.backend_id
            self._dispatcher.issue(backends[backend_id], self._backend_states[backend_id], order, now)

    def _available_backends(self, service: str) -> dict[str, Backend]:
        backends = [entry.backend for entry in self._node.registry.entries.values()]
        return {
            backend.id: backend
            for backend in backends
            if backend.service == service and not backend.gone and not backend.silent
        }

    def _observe_backend(self, backend: Backend, now: float) -> None:
        """Record the models on the backend's disk and poll the backend if its state is unknown or out of date."""
        disk_models = self._disk_models.setdefault(backend.address, set())
        disk_models.update(model.name for model in backend.models)
        state = self._backend_states.get(backend.id)
        if state is None:
            state = self._backend_states[backend.id] = BackendState()
        self._poller.poll_if_due(backend, state, now)
