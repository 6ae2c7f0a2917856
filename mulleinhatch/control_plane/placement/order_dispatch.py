"""Issues orders to backends and handles their responses.

A backend executes one order at a time. An order without a response may have been accepted, so it counts as in flight until a
report shows a higher revision or enough time has passed (`OrderInFlight.is_completed_by`).
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

from mulleinhatch.control_plane.placement.backend_state import BackendState
from mulleinhatch.control_plane.placement.interfaces import TaskRunner
from mulleinhatch.control_plane.placement.leadership import PlacementLeadership
from mulleinhatch.control_plane.placement.load_rate_limiter import LoadRateLimiter
from mulleinhatch.control_plane.placement.order import REPORT_LAG_S, Operation, Order, OrderInFlight
from mulleinhatch.control_plane.placement.order_client import FencedOffError, OrderClient, OrderResponse
from mulleinhatch.control_plane.placement.published_holdings import HoldingsPublisher
from mulleinhatch.control_plane.placement.report_poller import POLL_BACKOFF_S, POLL_INTERVAL_S
from mulleinhatch.messages.cluster import Backend
from mulleinhatch.networking.http_client import HttpCallError

LOG = logging.getLogger(__name__)
FOLLOW_UP_RETRY_DELAYS_S = (0.05, 0.05, 0.1)  # before each attempt to send a load right after its unload
RESERVATION_S = 4.0  # how long the memory that an unload frees stays reserved for the model to load
MAX_RECENT_ORDERS = 50  # the number of orders that `/status` lists


class OrderDispatcher:
    """Issues orders, sends the load that follows an unload, and keeps recent orders for operators.

    Args:
        tasks: Sends orders in the background.
        clock: Monotonic time in seconds.
        client: Sends an order to a backend.
        leadership: Checked again right before each order is sent.
        publisher: Notifies data planes of orders in flight.
        store_loads: Limits loads from the weight store.
    """

    def __init__(
        self,
        tasks: TaskRunner,
        clock: Callable[[], float],
        client: OrderClient,
        leadership: PlacementLeadership,
        publisher: HoldingsPublisher,
        store_loads: LoadRateLimiter,
    ) -> None:
        self._tasks, self._clock, self._client = tasks, clock, client
        self._leadership, self._publisher, self._store_loads = leadership, publisher, store_loads
        self.recent_orders: deque[dict[str, str]] = deque(maxlen=MAX_RECENT_ORDERS)

    def issue(self, backend: Backend, state: BackendState, order: Order, now: float) -> None:
        """Record an order as in flight, publish it, and send it in the background."""
        state.in_flight = OrderInFlight(order, now, now + order.expected_s, state.revision)
        if order.reserved_for:
            state.reserved_for, state.reserved_until = order.reserved_for, now + RESERVATION_S
        elif order.operation is Operation.LOAD and order.model == state.reserved_for:
            state.reserved_for = ""
        self._record(backend, order)
        self._publisher.publish(backend.id, state)
        self._tasks.start_task(self._send(backend, state, order))

    def _record(self, backend: Backend, order: Order) -> None:
        fields = {"operation": order.operation.value, "model": order.model, "adapter": order.adapter}
        LOG.info("issued an order to a backend", extra={"backend": backend.id} | fields | {"reason": order.reason})
        self.recent_orders.append({"stub": backend.id} | fields | {"why": order.reason})  # JSON keys of `/status`

    async def _send(self, backend: Backend, state: BackendState, order: Order) -> None:
        in_flight = state.in_flight
        # Race: leadership may be lost between the decision and the start of this task. The order was not sent, so drop it.
        if not self._leadership.confirm():
            state.in_flight = None
            return
        try:
            response = await self._client.send(backend, order, state.revision)
        except HttpCallError as error:
            self._handle_lost_response(backend, in_flight, error)
        except FencedOffError:
            state.in_flight = None
        else:
            self._handle_response(backend, state, in_flight, response)

    def _handle_lost_response(self, backend: Backend, in_flight: OrderInFlight, error: HttpCallError) -> None:
        """Keep an order without a response in flight, because the backend may have accepted it."""
        self._client.discard_connections(backend)
        in_flight.is_response_lost = True
        in_flight.expected_at = self._clock() + REPORT_LAG_S
        order = in_flight.order
        fields = {"backend": backend.id, "operation": order.operation.value, "model": order.model, "error": str(error)}
        LOG.info("no response to an order; polling the backend to learn whether it was accepted", extra=fields)

    def _handle_response(
        self, backend: Backend, state: BackendState, in_flight: OrderInFlight, response: OrderResponse
    ) -> None:
        if response.status == HTTPStatus.ACCEPTED:
            self._handle_acceptance(backend, state, in_flight)
        else:
            self._handle_rejection(backend, state, in_flight, response)

    def _handle_acceptance(self, backend: Backend, state: BackendState, in_flight: OrderInFlight) -> None:
        order = in_flight.order
        in_flight.expected_at = self._clock() + order.expected_s + REPORT_LAG_S / 3
        if order.follow_up is not None:
            self._tasks.start_task(self._follow_unload(backend, state, in_flight, order.follow_up))
        elif order.adapter and order.operation is Operation.LOAD:
            self._tasks.start_task(self._assume_done_when_due(backend, state, in_flight))

    def _handle_rejection(
        self, backend: Backend, state: BackendState, in_flight: OrderInFlight, response: OrderResponse
    ) -> None:
        """Drop an order that the backend did not accept, and poll the backend before the next order."""
        now, order, status = self._clock(), in_flight.order, response.status
        fields = {"backend": backend.id, "operation": order.operation.value, "model": order.model, "adapter": order.adapter}
        LOG.info("backend did not start an order", extra=fields | {"status": status})
        if status == HTTPStatus.PRECONDITION_FAILED:
            self._leadership.revoke(response.token)
        state.in_flight, state.is_known = None, False
        # 200: the backend already has the ordered state; 409: its revision differs. The next report resolves both.
        is_stale = status in (HTTPStatus.OK, HTTPStatus.CONFLICT)
        state.next_poll_at = now + (POLL_INTERVAL_S if is_stale else POLL_BACKOFF_S)
        self._publisher.publish(backend.id, state)

    async def _follow_unload(self, backend: Backend, state: BackendState, unload: OrderInFlight, load: Order) -> None:
        """Send the load that needs the freed memory, without waiting for a report that shows the completed unload.

        A backend that is still unloading rejects the load. After the last attempt the planner takes over and issues
        the load again once a report shows the freed memory.
        """
        for delay_s in FOLLOW_UP_RETRY_DELAYS_S:
            await asyncio.sleep(delay_s)
            # Race: while this task slept, a report may have completed the unload or leadership may have been lost.
            if state.in_flight is not unload or not self._leadership.confirm():
                return
            if load.from_store and self._store_loads.available(self._clock()) <= 0:
                return
            if await self._send_follow_up(backend, state, unload, load):
                return

    async def _send_follow_up(self, backend: Backend, state: BackendState, unload: OrderInFlight, load: Order) -> bool:
        """Send the load after an unload; return True if no further attempt is needed.

        None is needed if the backend accepted the load or may have accepted it, or if a backend has seen a higher fencing
        token: then another leader decides how to use the freed memory.
        """
        now = self._clock()
        in_flight = OrderInFlight(load, now, now + load.expected_s, state.revision + 1)
        unload.is_follow_up_sending = True
        try:
            response = await self._client.send(backend, load, in_flight.revision)
        except HttpCallError as error:
            self._replace_unload(backend, state, in_flight)
            self._handle_lost_response(backend, in_flight, error)
            return True
        except FencedOffError:
            return True
        finally:
            unload.is_follow_up_sending = False
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            self._leadership.revoke(response.token)
            return True
        if response.status != HTTPStatus.ACCEPTED:
            fields = {"backend": backend.id, "status": response.status, "model": load.model}
            LOG.info("backend rejected a load while still unloading; retrying", extra=fields)
            return False
        self._replace_unload(backend, state, in_flight)
        self._handle_acceptance(backend, state, in_flight)
        return True

    def _replace_unload(self, backend: Backend, state: BackendState, load: OrderInFlight) -> None:
        """Mark the unload in flight as complete and make the load the order in flight."""
        unloaded = state.in_flight.order.model
        state.models = {name: hosted for name, hosted in state.models.items() if name != unloaded}
        state.in_flight, state.revision, state.reserved_for = load, load.revision, ""
        self._record(backend, load.order)
        self._publisher.publish(backend.id, state)

    async def _assume_done_when_due(self, backend: Backend, state: BackendState, in_flight: OrderInFlight) -> None:
        """Publish an adapter as loaded when its load should be complete, before a report shows it.

        Adapters load within milliseconds. A backend that has not finished rejects the requests, which are then retried.
        """
        await asyncio.sleep(in_flight.order.expected_s)
        if state.in_flight is in_flight:
            in_flight.is_assumed_done = True
            self._publisher.publish(backend.id, state)
