"""Sends orders to backends over HTTP."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from mulleinhatch.control_plane.placement.backend_report import is_json, is_report
from mulleinhatch.control_plane.placement.interfaces import LeadershipSource
from mulleinhatch.control_plane.placement.leadership import NEVER_ISSUED_S, PlacementLeadership
from mulleinhatch.control_plane.placement.order import ORDER_TIMEOUT_S, Order
from mulleinhatch.errors import LeadershipError
from mulleinhatch.messages.cluster import Backend
from mulleinhatch.networking.http_client import HttpCallError, HttpClient, HttpResponse
from mulleinhatch.networking.http_server import JSON_TYPE

NEVER = -1e9  # earlier than any clock reading


class FencedOffError(LeadershipError):
    """A backend has rejected the current fencing token; no order is sent until a new claim is committed."""


@dataclass(frozen=True)
class OrderResponse:
    """A backend's response to an order.

    Attributes:
        status: The HTTP status.
        token: The fencing token that the order carried.
    """

    status: int
    token: int


class OrderClient:
    """Encodes orders, sends them with the leader's fencing token, and records when the latest was sent.

    Args:
        source: The control-plane node, whose name orders carry.
        http_client: Client for requests to backends.
        clock: Monotonic time in seconds.
        leadership: Source of the fencing token.
    """

    def __init__(
        self,
        source: LeadershipSource,
        http_client: HttpClient,
        clock: Callable[[], float],
        leadership: PlacementLeadership,
    ) -> None:
        self._source, self._http_client, self._clock, self._leadership = source, http_client, clock, leadership
        self._last_sent_at = NEVER

    def idle_s(self) -> float:
        """Return the seconds since the latest order was sent, at most `NEVER_ISSUED_S`."""
        return min(NEVER_ISSUED_S, self._clock() - self._last_sent_at)

    async def send(self, backend: Backend, order: Order, revision: int) -> OrderResponse:
        """Send an order, which the backend accepts only if its revision matches.

        Args:
            backend: The backend; the order is addressed to this incarnation of it (`Expect-Instance`).
            order: The order.
            revision: The number of orders that the backend has accepted before this one.

        Raises:
            FencedOffError: A backend has rejected the current token; the order was not sent.
            HttpCallError: No response of its own arrived; the backend may have accepted the order.
        """
        token = self._leadership.token
        if self._leadership.is_token_rejected():
            raise FencedOffError(f"fencing token {token} was rejected; claim leadership again before the next order")
        body = {
            "operation": order.operation.value,
            "model": order.model,
            "if_revision": revision,
            "holder": self._source.member.name,
            "fence_token": token,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        self._last_sent_at = self._clock()
        expected_instance = ((b"Expect-Instance", backend.id.encode()),)
        response = await self._http_client.request(
            backend.address, "POST", "/order", json.dumps(body).encode(), ORDER_TIMEOUT_S, JSON_TYPE, expected_instance
        )
        if response.status != HTTPStatus.ACCEPTED:
            # Responses to orders name no order: a second copy of this rejection must not settle a later one.
            self.discard_connections(backend)
        if response.status == HTTPStatus.OK:
            self._check_is_no_report(backend, response)
        return OrderResponse(response.status, token)

    @staticmethod
    def _check_is_no_report(backend: Backend, response: HttpResponse) -> None:
        """Raise HttpCallError if a body is a report, or was cut before that could be told."""
        if is_report(response.body):
            raise HttpCallError(backend.address, "a report arrived in place of the response")
        if response.head.until_close and not is_json(response.body):
            raise HttpCallError(backend.address, "the response has no length and may be a part of a report")

    def discard_connections(self, backend: Backend) -> None:
        """Close pooled connections to a backend whose further responses could be taken for those to other orders."""
        self._http_client.forget(backend.address)
