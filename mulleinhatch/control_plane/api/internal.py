"""Handles requests of the other processes of the system: betterproto messages, sent by POST to /internal/NAME."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from mulleinhatch.control_plane.api.paths import INTERNAL_PREFIX
from mulleinhatch.control_plane.api.responses import error_response
from mulleinhatch.control_plane.node import ControlPlaneNode
from mulleinhatch.messages import cluster
from mulleinhatch.messages.parsing import UnreadableMessageError, parse_message
from mulleinhatch.networking.http_server import BINARY_TYPE, HttpServerRequest, HttpServerResponse

LOG = logging.getLogger(__name__)
MessageHandler = Callable[[Any], Awaitable[Any]]


@dataclass(frozen=True)
class MessageRoute:
    """The message type of a request body and the coroutine function that handles the message."""

    message_type: Callable[[], Any]
    handler: MessageHandler


class InternalApi:
    """Parses a message, calls its handler and sends the message that the handler returns."""

    def __init__(self) -> None:
        self._routes: dict[str, MessageRoute] = {}

    def register(self, name: str, message_type: Callable[[], Any], handler: MessageHandler) -> None:
        """Serve a message type at /internal/`name`; if the handler raises OSError, the response is a 503."""
        self._routes[INTERNAL_PREFIX + name] = MessageRoute(message_type, handler)

    async def handle_request(self, request: HttpServerRequest) -> HttpServerResponse:
        """Handle one request: 404 for an unknown name, 400 for an unreadable body, 503 if the handler raises OSError."""
        route = self._routes.get(request.path)
        if route is None or request.method != "POST":
            return error_response(HTTPStatus.NOT_FOUND, "no such message")
        try:
            message = parse_message(route.message_type, request.body)
        except UnreadableMessageError as error:
            LOG.warning("rejected an internal message that cannot be parsed", extra={"path": request.path, "error": str(error)})
            return error_response(HTTPStatus.BAD_REQUEST, "the message can't be read; both sides must run the same version")
        try:
            response = await route.handler(message)
        except OSError as error:
            return error_response(HTTPStatus.SERVICE_UNAVAILABLE, f"{error}")
        return HttpServerResponse(HTTPStatus.OK, bytes(response), BINARY_TYPE)


def build_internal_api(node: ControlPlaneNode) -> InternalApi:
    """Return an interface that routes each message to the part of the node that handles it."""
    api = InternalApi()
    api.register("heartbeat", cluster.Heartbeat, node.heartbeat_responder.on_heartbeat)
    api.register("prepare", cluster.PrepareRequest, node.view_changer.on_prepare)
    api.register("accept", cluster.AcceptRequest, node.view_changer.on_accept)
    api.register("confirm", cluster.ConfirmRequest, node.view_changer.on_confirm)
    api.register("append", cluster.AppendRequest, node.replicated_log.on_append)
    api.register("snapshot", cluster.SnapshotRequest, node.snapshot_server.on_snapshot)
    api.register("leave", cluster.LeaveRequest, node.backend_departures.on_leave)
    return api
