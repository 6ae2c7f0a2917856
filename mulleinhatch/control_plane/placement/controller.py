"""Carries out the plan: the holder of orders sends them to backends, follows each to its end, and tells where models stand.

What a backend holds is believed from its reports. An order without an answer may have been taken: it counts as coming
until a report
shows another count of orders, or enough time has passed.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections import deque
from collections.abc import Callable

from mulleinhatch.configuration.routes import Engine, RouteTable, build_table
from mulleinhatch.control_plane.node import CoreNode
from mulleinhatch.control_plane.placement.backend_report import BackendReport, parse_report
from mulleinhatch.control_plane.placement.backend_state import BackendState
from mulleinhatch.control_plane.placement.backend_view import BackendView, HostedModel
from mulleinhatch.control_plane.placement.demand import DemandAggregator
from mulleinhatch.control_plane.placement.load_rate_limiter import LoadRateLimiter
from mulleinhatch.control_plane.placement.order import Operation, Order, OrderInFlight
from mulleinhatch.control_plane.placement.planner import Planner
from mulleinhatch.leadership.lease import LeaderLease, LeadershipObservation, LeaseState
from mulleinhatch.messages.cluster import Backend, DemandReport, DemandResponse, LoadedModel, PendingLoad
from mulleinhatch.networking.http_client import CallError, HttpClient, HttpResponse
from mulleinhatch.networking.http_server import JSON_TYPE
from mulleinhatch.process.settings import Bounds

LOG = logging.getLogger(__name__)
RECONCILE_INTERVAL_S = 0.1
RECONCILE_REST_FACTOR = 5.0  # a look is followed by this many times its length without one, a tick at most
FOLLOW_UP_RETRY_DELAYS_S = (0.05, 0.05, 0.1)  # pauses before the tries of a load that needs the room of an unload
ORDER_TIMEOUT_S = 0.8  # for the answer to an order
REPORT_TIMEOUT_S = 0.6  # for the answer to a report
POLL_INTERVAL_S = 0.12  # between reports while an order should be done
REPORT_LAG_S = 0.35  # reports show the state of some hundred ms earlier
PUBLISH_DELAY_MS = 150  # from the end of an order to the data planes' hearing of it
ASSUMED_PREVIOUS_LOADS = 3  # loads that a former holder may have begun without our hearing of them
RECENT_ORDERS = 50
NEVER = -1e9
NEVER_ISSUED_S = 1e5  # fields by a process that gave no order since its start
RESERVATION_S = 4.0  # how long room that was made is kept for its model
POLL_BACKOFF_S = 1.0  # a backend that did not answer is left alone so long
ORDER_OVERDUE_S = 6.0  # beyond what an order should take: then it counts as never taken
REVISION_TOKEN_SHIFT_BITS = 32  # fencing token above, count of changes below


class PlacementController:
    """The role's backend_state on one core machine; it acts only while it holds the role."""

    def __init__(self, node: CoreNode, caller: HttpClient, clock: Callable[[], float], bounds: Bounds) -> None:
        lease_s, window_s, self._fenced = bounds.lease_s, bounds.ceiling_window_s, bounds.fenced
        self._node, self._caller, self._clock = node, caller, clock
        self.lease = LeaderLease(lease_s)
        self.demand = DemandAggregator()
        self._store_load_limiter, self._window_s, self._started_at = LoadRateLimiter(window_s), window_s, clock()
        self._backend_states: dict[str, BackendState] = {}
        self._disk_models: dict[str, set[str]] = {}  # by address: what a backend's own disk has
        self._table = RouteTable()
        self._last_order_at = NEVER
        self._changes = 0
        self._reconcile_soon = asyncio.Event()
        self.recent_orders: deque[dict[str, str]] = deque(maxlen=RECENT_ORDERS)  # the latest orders, with why they were given

    def record_store_load(self) -> None:
        """Counts a load from the weight store, whichever machine ordered it."""
        self._store_load_limiter.record(self._clock())

    def _started_for(self) -> float:
        """Seconds since this process started, at most a window: what was begun before is not remembered."""
        return min(0.6 * self._window_s, self._clock() - self._started_at)

    # The role.

    def idle_s(self) -> float:
        """How long this machine has given no order."""
        return min(NEVER_ISSUED_S, self._clock() - self._last_order_at)

    async def run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(RECONCILE_INTERVAL_S):
                    await self._reconcile_soon.wait()
            except TimeoutError:
                pass
            self._reconcile_soon.clear()
            begun = self._clock()
            await self.reconcile()
            await asyncio.sleep(min(RECONCILE_INTERVAL_S, RECONCILE_REST_FACTOR * (self._clock() - begun)))

    async def reconcile(self) -> None:
        state = self.lease.observe(self._observe_leadership(), self._clock())
        if state is LeaseState.CLAIMING:
            first = not self._node.state.leader
            token = await self.claim()
            self.lease.claimed(token)
            if self.lease.acting:
                self._start_leading(first)
        elif state is LeaseState.ACTING:
            self._reconcile_services()

    async def claim(self) -> int:
        """The token of a claim; 0 where the core could not take it, as with a disk that refuses."""
        try:
            return await self._node.claim_leadership()
        except OSError:
            return 0

    def _observe_leadership(self) -> LeadershipObservation:
        node = self._node
        former = node.peers.by_identity.get(node.state.leader)
        idle = former.orders_idle_s if former is not None and former.leaving else 0.0
        reached = former is not None and node.peers.is_alive(node.state.leader, self._clock()) and not former.leaving
        if reached and former.epoch >= node.view.epoch and former.orders_idle_s >= NEVER_ISSUED_S:
            reached = False  # started anew and knows that it does not lead: it has given no order and will give none
        return LeadershipObservation(
            node.replica.is_head and node.has_majority_contact() and not node.leaving,
            node.member.identity,
            node.state.leader,
            node.state.fencing_token,
            idle,
            self._fenced and not reached,
        )

    def _start_leading(self, first: bool) -> None:
        """The role is ours: nothing is known of what the former holder had under way."""
        LOG.info("holds the orders", extra={"token": self.lease.token})
        self._backend_states.clear()
        self._changes = 0
        if not first:
            for _ in range(ASSUMED_PREVIOUS_LOADS):
                self._store_load_limiter.record(self._clock() - self._started_for())

    async def on_demand(self, report: DemandReport) -> DemandResponse:
        """A data plane tells what is asked for there."""
        for invalid in self.demand.merge_report(report, self._clock()):
            LOG.warning("demand left out", extra={"why": str(invalid)})
        if any(entry.held for entry in report.demand):
            self._reconcile_soon.set()
        return DemandResponse(taken=self.lease.acting)

    # One look.

    def _reconcile_services(self) -> None:
        now = self._clock()
        document = self._node.state.document
        if self._table.version != document.version:
            self._table = build_table(document)
        for service in self._table.services.values():
            if service.engine is not None:
                self._reconcile_service(service.name, service.engine, now)

    def _reconcile_service(self, service: str, engine: Engine, now: float) -> None:
        backends = [
            entry.backend
            for entry in self._node.registry.entries.values()
            if entry.backend.service == service and not entry.backend.gone and not entry.backend.silent
        ]
        for backend in backends:
            self._remember_disk_models(backend)
            self._poll_if_due(backend, now)
        demand = self.demand.totals(service, now)
        if not demand:
            return
        self._store_load_limiter.configure(engine.loads_per_s)
        views = [self._view(backend, now) for backend in backends]
        for order in Planner(engine, views, demand, now, self._store_load_limiter.available(now)).plan():
            backend = next(backend for backend in backends if backend.id == order.backend_id)
            if order.from_store and self._store_load_limiter.available(now) <= 0:
                continue
            self.issue(backend, order, now)

    def _remember_disk_models(self, backend: Backend) -> None:
        disk_models = self._disk_models.setdefault(backend.address, set())
        disk_models.update(model.name for model in backend.models)

    def _view(self, backend: Backend, now: float) -> BackendView:
        backend_state = self._backend_states[backend.id]
        coming: set[tuple[str, str]] = set()
        leaving: set[tuple[str, str]] = set()
        if backend_state.in_flight is not None:
            order = backend_state.in_flight.order
            (coming if order.operation is Operation.LOAD else leaving).add((order.model, order.adapter))
        free = backend_state.is_known and backend_state.in_flight is None and not backend_state.has_foreign_order
        reserved = backend_state.reserved_for if now < backend_state.reserved_until else ""
        return BackendView(
            backend.id,
            backend.address,
            backend_state.models,
            self._disk_models.get(backend.address, set()),
            free,
            not backend.draining and not backend.remaining_ms,
            coming,
            leaving,
            reserved,
        )

    def _poll_if_due(self, backend: Backend, now: float) -> None:
        """Asks for a report where one is needed."""
        backend_state = self._backend_states.get(backend.id)
        if backend_state is None:
            backend_state = self._backend_states[backend.id] = BackendState()
        due = (
            not backend_state.is_known
            or backend_state.has_foreign_order
            or (backend_state.in_flight is not None and now >= backend_state.in_flight.expected_at)
        )
        if due and not backend_state.is_polling and now >= backend_state.next_poll_at:
            backend_state.is_polling = True
            self._node.start_task(self._poll_report(backend, backend_state))

    async def _poll_report(self, backend: Backend, backend_state: BackendState) -> None:
        asked_at = self._clock()
        try:
            answer = await self._caller.request(backend.address, "GET", "/report", b"", REPORT_TIMEOUT_S)
            report = parse_report(answer.body) if answer.status == 200 else None
        except (CallError, ValueError):
            self._caller.forget(backend.address)
            report = None
        finally:
            backend_state.is_polling = False
        now = self._clock()
        if report is None:
            backend_state.poll_failures += 1
            backend_state.next_poll_at = now + min(4.0, POLL_BACKOFF_S * backend_state.poll_failures)
            return
        backend_state.poll_failures = 0
        backend_state.next_poll_at = now + POLL_INTERVAL_S
        self._apply_report(backend, backend_state, report, asked_at, now)

    def _apply_report(
        self, backend: Backend, backend_state: BackendState, report: BackendReport, asked_at: float, now: float
    ) -> None:
        in_flight = backend_state.in_flight
        if in_flight is not None:
            if report.is_busy or in_flight.is_follow_up_sending or not self._is_completed(in_flight, report, asked_at):
                return
            order = in_flight.order
            fields = {"backend": backend.id, "operation": order.operation.value, "model": order.model, "adapter": order.adapter}
            LOG.info("order ended", extra=fields | {"took_s": round(now - in_flight.started_at, 3)})
            backend_state.in_flight = None
        arrived = now if backend_state.is_known else NEVER  # what stood before we looked has stood for long, as far as we know
        backend_state.has_foreign_order = report.is_busy and in_flight is None
        backend_state.is_known = True
        backend_state.revision = report.revision
        backend_state.models = {
            name: HostedModel(adapters, backend_state.models[name].loaded_at if name in backend_state.models else arrived)
            for name, adapters in report.models.items()
        }
        self.publish_holdings(backend, backend_state)
        self._reconcile_soon.set()

    @staticmethod
    def _is_completed(in_flight: OrderInFlight, report: BackendReport, asked_at: float) -> bool:
        """Whether a report that shows no backend_state under way speaks of the time after the order."""
        if report.revision > in_flight.revision:
            return True
        waited = asked_at - in_flight.started_at
        return waited > (
            ORDER_OVERDUE_S + in_flight.expected_at - in_flight.started_at
            if not in_flight.is_response_lost
            else REPORT_LAG_S + ORDER_TIMEOUT_S + 1.0
        )

    def publish_holdings(self, backend: Backend, backend_state: BackendState) -> None:
        """Where models stand now, and what is under way, for all data planes."""
        self._changes += 1
        models, loads, unloads = dict(backend_state.models), [], []
        if backend_state.in_flight is not None:
            order = backend_state.in_flight.order
            if backend_state.in_flight.is_assumed_done and order.model in models:
                hosted = models[order.model]
                models[order.model] = HostedModel(hosted.adapters | {order.adapter}, hosted.loaded_at)
            elif order.operation is Operation.LOAD:
                remaining = max(0.0, backend_state.in_flight.expected_at - self._clock())
                loads.append(
                    PendingLoad(
                        model=order.model,
                        adapter=order.adapter,
                        remaining_ms=int(1000 * remaining) + PUBLISH_DELAY_MS,
                        from_store=order.from_store,
                    )
                )
            else:
                unloads.append(PendingLoad(model=order.model, adapter=order.adapter))
        fields = [
            LoadedModel(name=name, version=0, adapters=sorted(holding.adapters)) for name, holding in sorted(models.items())
        ]
        revision = (self.lease.token << REVISION_TOKEN_SHIFT_BITS) + self._changes
        if self._node.registry.record_holdings(backend.id, fields, loads, unloads, revision):
            self._node.request_heartbeat()

    # Orders.

    def issue(self, backend: Backend, order: Order, now: float) -> None:
        backend_state = self._backend_states[backend.id]
        backend_state.in_flight = OrderInFlight(order, now, now + order.expected_s, backend_state.revision)
        if order.reserved_for:
            backend_state.reserved_for, backend_state.reserved_until = order.reserved_for, now + RESERVATION_S
        elif order.operation is Operation.LOAD and order.model == backend_state.reserved_for:
            backend_state.reserved_for = ""
        self._record(backend, order)
        self.publish_holdings(backend, backend_state)
        self._node.start_task(self._send(backend, backend_state, order))

    def _record(self, backend: Backend, order: Order) -> None:
        """For who asks which orders were given, and why."""
        fields = {
            "backend": backend.id,
            "operation": order.operation.value,
            "model": order.model,
            "adapter": order.adapter,
            "why": order.reason,
        }
        LOG.info("order", extra=fields)
        self.recent_orders.append(fields)

    async def _send(self, backend: Backend, backend_state: BackendState, order: Order) -> None:
        in_flight = backend_state.in_flight
        if not self._confirm_leadership():
            backend_state.in_flight = None
            return
        try:
            answer = await self._post(backend, order, backend_state.revision)
        except CallError as error:
            self._handle_lost_response(backend, in_flight, error)
            return
        self._handle_response(backend, backend_state, in_flight, answer)

    def _confirm_leadership(self) -> bool:
        return self.lease.observe(self._observe_leadership(), self._clock()) is LeaseState.ACTING

    async def _post(self, backend: Backend, order: Order, revision: int) -> HttpResponse:
        """Sends one order that holds for a count of orders only; CallFailed where no answer comes."""
        body = {
            "operation": order.operation.value,
            "model": order.model,
            "if_revision": revision,
            "holder": self._node.member.name,
            "fence_token": self.lease.token,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        self._last_order_at = self._clock()
        expected = ((b"Expect-Instance", backend.id.encode()),)
        return await self._caller.request(
            backend.address, "POST", "/order", json.dumps(body).encode(), ORDER_TIMEOUT_S, JSON_TYPE, expected
        )

    def _handle_lost_response(self, backend: Backend, in_flight: OrderInFlight, error: CallError) -> None:
        """An order that got no answer may have been taken."""
        self._caller.forget(backend.address)
        in_flight.is_response_lost = True
        in_flight.expected_at = self._clock() + REPORT_LAG_S
        LOG.info("order without an answer", extra={"backend": backend.id, "error": str(error)})

    async def _follow_unload(self, backend: Backend, backend_state: BackendState, unload: OrderInFlight) -> None:
        """Gives the load for which an unload makes room without waiting for the report that shows the unload's end: a backend
        that still unloads rejects it, and after some tries the load is given once a report shows room."""
        for pause in FOLLOW_UP_RETRY_DELAYS_S:
            await asyncio.sleep(pause)
            load = unload.order.follow_up
            if (
                backend_state.in_flight is not unload
                or not self._confirm_leadership()
                or (load.from_store and self._store_load_limiter.available(self._clock()) <= 0)
            ):
                return
            if await self._send_follow_up(backend, backend_state, unload, load):
                return

    async def _send_follow_up(self, backend: Backend, backend_state: BackendState, unload: OrderInFlight, load: Order) -> bool:
        """Sends the load after an unload; whether the backend took it, or may have."""
        now = self._clock()
        in_flight = OrderInFlight(load, now, now + load.expected_s, backend_state.revision + 1)
        unload.is_follow_up_sending = True
        try:
            answer = await self._post(backend, load, in_flight.revision)
        except CallError as error:
            self._replace_in_flight(backend, backend_state, in_flight)
            self._handle_lost_response(backend, in_flight, error)
            return True
        finally:
            unload.is_follow_up_sending = False
        if answer.status != 202:
            LOG.info("load waits for the unload", extra={"backend": backend.id, "status": answer.status, "model": load.model})
            return False
        self._replace_in_flight(backend, backend_state, in_flight)
        self._handle_response(backend, backend_state, in_flight, answer)
        return True

    def _replace_in_flight(self, backend: Backend, backend_state: BackendState, load: OrderInFlight) -> None:
        """The load is under way in place of the unload before it."""
        backend_state.models = {
            name: holding for name, holding in backend_state.models.items() if name != backend_state.in_flight.order.model
        }
        backend_state.in_flight, backend_state.revision, backend_state.reserved_for = load, load.revision, ""
        self._record(backend, load.order)
        self.publish_holdings(backend, backend_state)

    async def _assume_done_when_due(self, backend: Backend, backend_state: BackendState, in_flight: OrderInFlight) -> None:
        """A backend that took the order for an adapter has it before its report shows it; one that is late sends requests
        back."""
        await asyncio.sleep(in_flight.order.expected_s)
        if backend_state.in_flight is in_flight:
            in_flight.is_assumed_done = True
            self.publish_holdings(backend, backend_state)

    def _handle_response(
        self, backend: Backend, backend_state: BackendState, in_flight: OrderInFlight, answer: HttpResponse
    ) -> None:
        now = self._clock()
        if answer.status == 202:
            in_flight.expected_at = now + in_flight.order.expected_s + REPORT_LAG_S / 3
            if in_flight.order.follow_up is not None:
                self._node.start_task(self._follow_unload(backend, backend_state, in_flight))
            elif in_flight.order.adapter and in_flight.order.operation is Operation.LOAD:
                self._node.start_task(self._assume_done_when_due(backend, backend_state, in_flight))
            return
        LOG.info("order not begun", extra={"backend": backend.id, "status": answer.status, "order": str(in_flight.order)})
        if answer.status == 412:
            self.lease.outranked()
        backend_state.in_flight, backend_state.is_known = None, False
        backend_state.next_poll_at = now + (POLL_BACKOFF_S if answer.status not in (200, 409) else POLL_INTERVAL_S)
        self.publish_holdings(backend, backend_state)
