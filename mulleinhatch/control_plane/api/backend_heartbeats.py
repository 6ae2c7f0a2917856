"""Handles requests of backends: heartbeats (PUT /instances/ID) and departures (DELETE /instances/ID)."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from result import Err

from mulleinhatch.control_plane.api.heartbeat_parser import HeartbeatParser
from mulleinhatch.control_plane.api.responses import empty_response, error_response, no_majority_response
from mulleinhatch.control_plane.backend_handoff import BackendHandoff
from mulleinhatch.control_plane.registry import BackendRegistry
from mulleinhatch.messages.cluster import Backend
from mulleinhatch.networking.http_server import HttpServerRequest, HttpServerResponse


class BackendNode(Protocol):
    """The part of the node that `BackendApi` uses; `ControlPlaneNode` satisfies it."""

    registry: BackendRegistry
    backend_handoff: BackendHandoff

    def request_heartbeat(self) -> None:
        """Send a heartbeat to the peers as soon as possible."""

    async def wait_for_majority_contact(self) -> bool:
        """Wait until a majority of voters confirms this node's view; return whether it did."""

    async def record_departure(self, backend_id: str) -> bool:
        """Record the departure of a backend; return whether every replica of the chain has persisted it."""


class BackendApi:
    """Serves /instances/ID."""

    def __init__(self, node: BackendNode, clock: Callable[[], float]) -> None:
        self._node = node
        self._clock = clock
        self._parser = HeartbeatParser()

    async def handle_instance(self, request: HttpServerRequest, backend_id: str) -> HttpServerResponse:
        """Handle a heartbeat or a departure of one backend."""
        if not backend_id or "/" in backend_id:
            return error_response(HTTPStatus.NOT_FOUND, "name one instance: /instances/ID")
        if request.method == "DELETE":
            return await self._handle_departure(backend_id)
        if request.method != "PUT":
            return error_response(HTTPStatus.METHOD_NOT_ALLOWED, "use PUT or DELETE")
        parsed = self._parser.parse(backend_id, request.body)
        if isinstance(parsed, Err):
            return error_response(HTTPStatus.BAD_REQUEST, parsed.err_value)
        return await self._handle_heartbeat(parsed.ok_value)

    async def _handle_departure(self, backend_id: str) -> HttpServerResponse:
        """Record that a backend has shut down or is shutting down; acknowledge it only after the record is replicated."""
        is_recorded = await self._node.record_departure(backend_id)
        self._node.registry.deregister(backend_id, self._clock())
        self._node.request_heartbeat()
        return empty_response() if is_recorded else no_majority_response()

    async def _handle_heartbeat(self, backend: Backend) -> HttpServerResponse:
        node = self._node
        is_new = backend.id not in node.registry.entries
        if node.registry.merge(backend, self._clock()):
            node.backend_handoff.record_change(backend.id)
        if is_new:
            node.request_heartbeat()
        if backend.draining and not await node.record_departure(backend.id):
            return no_majority_response()
        return empty_response() if await node.wait_for_majority_contact() else no_majority_response()
