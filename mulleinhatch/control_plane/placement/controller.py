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
from mulleinhatch.control_plane.placement.backend_state import BackendState, Report, UnderWay, read_report
from mulleinhatch.control_plane.placement.demand import Demand
from mulleinhatch.control_plane.placement.holdings import BackendView, Holding, Operation, Order
from mulleinhatch.control_plane.placement.load_rate_limiter import LoadRateLimiter
from mulleinhatch.control_plane.placement.planner import Planner
from mulleinhatch.leadership.lease import LeaderLease, LeadershipObservation, LeaseState
from mulleinhatch.messages.cluster import Backend, DemandReport, DemandResponse, LoadedModel, PendingLoad
from mulleinhatch.networking.http_client import CallError, HttpClient, HttpResponse
from mulleinhatch.networking.http_server import JSON_TYPE
from mulleinhatch.process.settings import Bounds

LOG = logging.getLogger(__name__)
TICK_S = 0.1
LOOK_PART = 5.0  # a look is followed by this many times its length without one, a tick at most
FOLLOW_S = (0.05, 0.05, 0.1)  # pauses before the tries of a load that needs the room of an unload
ORDER_S = 0.8  # for the answer to an order
REPORT_S = 0.6  # for the answer to a report
LOOK_AGAIN_S = 0.12  # between reports while an order should be done
SETTLE_S = 0.35  # reports show the state of some hundred ms earlier
TELL_MS = 150  # from the end of an order to the data planes' hearing of it
UNKNOWN_LOADS = 3  # loads that a former holder may have begun without our hearing of them
LOGGED = 50
NEVER = -1e9
NO_ORDER_S = 1e5  # told by a process that gave no order since its start
RESERVED_S = 4.0  # how long room that was made is kept for its model
REST_S = 1.0  # a backend that did not answer is left alone so long
GIVE_UP_S = 6.0  # beyond what an order should take: then it counts as never taken
REVISION_SHIFT = 32  # fencing token above, count of changes below


class PlacementController:
    """The role's work on one core machine; it acts only while it holds the role."""

    def __init__(self, node: CoreNode, caller: HttpClient, clock: Callable[[], float], bounds: Bounds) -> None:
        lease_s, window_s, self._fenced = bounds.lease_s, bounds.ceiling_window_s, bounds.fenced
        self._node, self._caller, self._clock = node, caller, clock
        self.role = LeaderLease(lease_s)
        self.demand = Demand()
        self._ceiling, self._window_s, self._started_at = LoadRateLimiter(window_s), window_s, clock()
        self._work: dict[str, BackendState] = {}
        self._held_before: dict[str, set[str]] = {}  # by address: what a backend's own disk has
        self._table = RouteTable()
        self._last_order_at = NEVER
        self._changes = 0
        self._soon = asyncio.Event()
        self.log: deque[dict[str, str]] = deque(maxlen=LOGGED)  # the latest orders, with why they were given

    def record_store_load(self) -> None:
        """Count a load from the weight store that began now, whoever ordered it."""
        self._ceiling.note(self._clock())

    def _started_for(self) -> float:
        """Seconds since this process started, at most a window: what was begun before is not remembered."""
        return min(0.6 * self._window_s, self._clock() - self._started_at)

    # The role.

    def idle_s(self) -> float:
        """How long this machine has given no order."""
        return min(NO_ORDER_S, self._clock() - self._last_order_at)

    async def run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    await self._soon.wait()
            except TimeoutError:
                pass
            self._soon.clear()
            begun = self._clock()
            await self._look()
            await asyncio.sleep(min(TICK_S, LOOK_PART * (self._clock() - begun)))

    async def _look(self) -> None:
        state = self.role.observe(self._observe_leadership(), self._clock())
        if state is LeaseState.CLAIMING:
            first = not self._node.state.leader
            token = await self._claim()
            self.role.claimed(token)
            if self.role.acting:
                self._begin(first)
        elif state is LeaseState.ACTING:
            self._act()

    async def _claim(self) -> int:
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
        if reached and former.epoch >= node.view.epoch and former.orders_idle_s >= NO_ORDER_S:
            reached = False  # started anew and knows that it does not lead: it has given no order and will give none
        return LeadershipObservation(
            node.replica.is_head and node.has_majority_contact() and not node.leaving,
            node.member.identity,
            node.state.leader,
            node.state.fencing_token,
            idle,
            self._fenced and not reached,
        )

    def _begin(self, first: bool) -> None:
        """The role is ours: nothing is known of what the former holder had under way."""
        LOG.info("holds the orders", extra={"token": self.role.token})
        self._work.clear()
        self._changes = 0
        if not first:
            for _ in range(UNKNOWN_LOADS):
                self._ceiling.note(self._clock() - self._started_for())

    async def on_demand(self, report: DemandReport) -> DemandResponse:
        """A data plane tells what is asked for there."""
        for unusable in self.demand.take(report, self._clock()):
            LOG.warning("demand left out", extra={"why": str(unusable)})
        if any(one.held for one in report.demand):
            self._soon.set()
        return DemandResponse(taken=self.role.acting)

    # One look.

    def _act(self) -> None:
        now = self._clock()
        document = self._node.state.document
        if self._table.version != document.version:
            self._table = build_table(document)
        for service in self._table.services.values():
            if service.engine is not None:
                self._act_for(service.name, service.engine, now)

    def _act_for(self, service: str, engine: Engine, now: float) -> None:
        backends = [
            entry.backend
            for entry in self._node.registry.entries.values()
            if entry.backend.service == service and not entry.backend.gone and not entry.backend.silent
        ]
        for backend in backends:
            self._remember(backend)
            self._follow(backend, now)
        wanted = self.demand.totals(service, now)
        if not wanted:
            return
        self._ceiling.configure(engine.loads_per_s)
        views = [self._view(backend, now) for backend in backends]
        for order in Planner(engine, views, wanted, now, self._ceiling.room(now)).plan():
            backend = next(backend for backend in backends if backend.id == order.backend_id)
            if order.from_store and self._ceiling.room(now) <= 0:
                continue
            self._give(backend, order, now)

    def _remember(self, backend: Backend) -> None:
        held = self._held_before.setdefault(backend.address, set())
        held.update(model.name for model in backend.models)

    def _view(self, backend: Backend, now: float) -> BackendView:
        work = self._work[backend.id]
        coming: set[tuple[str, str]] = set()
        leaving: set[tuple[str, str]] = set()
        if work.under_way is not None:
            order = work.under_way.order
            (coming if order.operation is Operation.LOAD else leaving).add((order.model, order.adapter))
        free = work.known and work.under_way is None and not work.busy_elsewhere
        reserved = work.reserved if now < work.reserved_until else ""
        return BackendView(
            backend.id,
            backend.address,
            work.models,
            self._held_before.get(backend.address, set()),
            free,
            not backend.draining and not backend.remaining_ms,
            coming,
            leaving,
            reserved,
        )

    def _follow(self, backend: Backend, now: float) -> None:
        """Asks for a report where one is needed."""
        work = self._work.get(backend.id)
        if work is None:
            work = self._work[backend.id] = BackendState()
        due = not work.known or work.busy_elsewhere or (work.under_way is not None and now >= work.under_way.expected_at)
        if due and not work.looking and now >= work.look_at:
            work.looking = True
            self._node.start_task(self._look_at(backend, work))

    async def _look_at(self, backend: Backend, work: BackendState) -> None:
        asked_at = self._clock()
        try:
            answer = await self._caller.request(backend.address, "GET", "/report", b"", REPORT_S)
            report = read_report(answer.body) if answer.status == 200 else None
        except (CallError, ValueError):
            self._caller.forget(backend.address)
            report = None
        finally:
            work.looking = False
        now = self._clock()
        if report is None:
            work.failures += 1
            work.look_at = now + min(4.0, REST_S * work.failures)
            return
        work.failures = 0
        work.look_at = now + LOOK_AGAIN_S
        self._take_report(backend, work, report, asked_at, now)

    def _take_report(self, backend: Backend, work: BackendState, report: Report, asked_at: float, now: float) -> None:
        under_way = work.under_way
        if under_way is not None:
            if report.busy or under_way.followed or not self._ended(under_way, report, asked_at):
                return
            order = under_way.order
            told = {"backend": backend.id, "operation": order.operation.value, "model": order.model, "adapter": order.adapter}
            LOG.info("order ended", extra=told | {"took_s": round(now - under_way.begun, 3)})
            work.under_way = None
        arrived = now if work.known else NEVER  # what stood before we looked has stood for long, as far as we know
        work.busy_elsewhere = report.busy and under_way is None
        work.known = True
        work.revision = report.revision
        work.models = {
            name: Holding(adapters, work.models[name].since if name in work.models else arrived)
            for name, adapters in report.models.items()
        }
        self._tell(backend, work)
        self._soon.set()

    @staticmethod
    def _ended(under_way: UnderWay, report: Report, asked_at: float) -> bool:
        """Whether a report that shows no work under way speaks of the time after the order."""
        if report.revision > under_way.revision:
            return True
        waited = asked_at - under_way.begun
        return waited > (GIVE_UP_S + under_way.expected_at - under_way.begun if under_way.certain else SETTLE_S + ORDER_S + 1.0)

    def _tell(self, backend: Backend, work: BackendState) -> None:
        """Where models stand now, and what is under way, for all data planes."""
        self._changes += 1
        models, loads, unloads = dict(work.models), [], []
        if work.under_way is not None:
            order = work.under_way.order
            if work.under_way.assumed and order.model in models:
                held = models[order.model]
                models[order.model] = Holding(held.adapters | {order.adapter}, held.since)
            elif order.operation is Operation.LOAD:
                remaining = max(0.0, work.under_way.expected_at - self._clock())
                loads.append(
                    PendingLoad(
                        model=order.model,
                        adapter=order.adapter,
                        remaining_ms=int(1000 * remaining) + TELL_MS,
                        from_store=order.from_store,
                    )
                )
            else:
                unloads.append(PendingLoad(model=order.model, adapter=order.adapter))
        told = [
            LoadedModel(name=name, version=0, adapters=sorted(holding.adapters)) for name, holding in sorted(models.items())
        ]
        revision = (self.role.token << REVISION_SHIFT) + self._changes
        if self._node.registry.record_holdings(backend.id, told, loads, unloads, revision):
            self._node.request_heartbeat()

    # Orders.

    def _give(self, backend: Backend, order: Order, now: float) -> None:
        work = self._work[backend.id]
        work.under_way = UnderWay(order, now, now + order.expected_s, work.revision)
        if order.reserve:
            work.reserved, work.reserved_until = order.reserve, now + RESERVED_S
        elif order.operation is Operation.LOAD and order.model == work.reserved:
            work.reserved = ""
        self._note(backend, order)
        self._tell(backend, work)
        self._node.start_task(self._send(backend, work, order))

    def _note(self, backend: Backend, order: Order) -> None:
        """For who asks which orders were given, and why."""
        told = {
            "backend": backend.id,
            "operation": order.operation.value,
            "model": order.model,
            "adapter": order.adapter,
            "why": order.why,
        }
        LOG.info("order", extra=told)
        self.log.append(told)

    async def _send(self, backend: Backend, work: BackendState, order: Order) -> None:
        under_way = work.under_way
        if not self._acts():
            work.under_way = None
            return
        try:
            answer = await self._post(backend, order, work.revision)
        except CallError as error:
            self._unanswered(backend, under_way, error)
            return
        self._answered(backend, work, under_way, answer)

    def _acts(self) -> bool:
        return self.role.observe(self._observe_leadership(), self._clock()) is LeaseState.ACTING

    async def _post(self, backend: Backend, order: Order, revision: int) -> HttpResponse:
        """Sends one order that holds for a count of orders only; CallFailed where no answer comes."""
        body = {
            "operation": order.operation.value,
            "model": order.model,
            "if_revision": revision,
            "holder": self._node.member.name,
            "fence_token": self.role.token,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        self._last_order_at = self._clock()
        expected = ((b"Expect-Instance", backend.id.encode()),)
        return await self._caller.request(
            backend.address, "POST", "/order", json.dumps(body).encode(), ORDER_S, JSON_TYPE, expected
        )

    def _unanswered(self, backend: Backend, under_way: UnderWay, error: CallError) -> None:
        """An order that got no answer may have been taken."""
        self._caller.forget(backend.address)
        under_way.certain = False
        under_way.expected_at = self._clock() + SETTLE_S
        LOG.info("order without an answer", extra={"backend": backend.id, "error": str(error)})

    async def _follow_up(self, backend: Backend, work: BackendState, unload: UnderWay) -> None:
        """Gives the load for which an unload makes room without waiting for the report that shows the unload's end: a backend
        that still unloads rejects it, and after some tries the load is given once a report shows room."""
        for pause in FOLLOW_S:
            await asyncio.sleep(pause)
            load = unload.order.then
            if work.under_way is not unload or not self._acts() or (load.from_store and self._ceiling.room(self._clock()) <= 0):
                return
            if await self._followed(backend, work, unload, load):
                return

    async def _followed(self, backend: Backend, work: BackendState, unload: UnderWay, load: Order) -> bool:
        """Sends the load after an unload; whether the backend took it, or may have."""
        now = self._clock()
        under_way = UnderWay(load, now, now + load.expected_s, work.revision + 1)
        unload.followed = True
        try:
            answer = await self._post(backend, load, under_way.revision)
        except CallError as error:
            self._take_over(backend, work, under_way)
            self._unanswered(backend, under_way, error)
            return True
        finally:
            unload.followed = False
        if answer.status != 202:
            LOG.info("load waits for the unload", extra={"backend": backend.id, "status": answer.status, "model": load.model})
            return False
        self._take_over(backend, work, under_way)
        self._answered(backend, work, under_way, answer)
        return True

    def _take_over(self, backend: Backend, work: BackendState, load: UnderWay) -> None:
        """The load is under way in place of the unload before it."""
        work.models = {name: holding for name, holding in work.models.items() if name != work.under_way.order.model}
        work.under_way, work.revision, work.reserved = load, load.revision, ""
        self._note(backend, load.order)
        self._tell(backend, work)

    async def _assume(self, backend: Backend, work: BackendState, under_way: UnderWay) -> None:
        """A backend that took the order for an adapter has it before its report shows it; one that is late sends requests
        back."""
        await asyncio.sleep(under_way.order.expected_s)
        if work.under_way is under_way:
            under_way.assumed = True
            self._tell(backend, work)

    def _answered(self, backend: Backend, work: BackendState, under_way: UnderWay, answer: HttpResponse) -> None:
        now = self._clock()
        if answer.status == 202:
            under_way.expected_at = now + under_way.order.expected_s + SETTLE_S / 3
            if under_way.order.then is not None:
                self._node.start_task(self._follow_up(backend, work, under_way))
            elif under_way.order.adapter and under_way.order.operation is Operation.LOAD:
                self._node.start_task(self._assume(backend, work, under_way))
            return
        LOG.info("order not begun", extra={"backend": backend.id, "status": answer.status, "order": str(under_way.order)})
        if answer.status == 412:
            self.role.outranked()
        work.under_way, work.known = None, False
        work.look_at = now + (REST_S if answer.status not in (200, 409) else LOOK_AGAIN_S)
        self._tell(backend, work)
