"""Routes requests at the `control` address to the interface that handles them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any, Protocol

from mulleinhatch.control_plane.api.backend_heartbeats import BackendApi, BackendNode
from mulleinhatch.control_plane.api.operator import ConfigurationNode, OperatorApi
from mulleinhatch.control_plane.api.paths import CONFIGURATION_PATH, INSTANCES_PREFIX, STATUS_PATH
from mulleinhatch.control_plane.api.responses import error_response
from mulleinhatch.networking.http_server import HttpServerRequest, HttpServerResponse


class ControlNode(ConfigurationNode, BackendNode, Protocol):
    """The part of the node that both interfaces at the `control` address use; `ControlPlaneNode` satisfies it."""


class ControlApi:
    """Serves operators and backends.

    Args:
        node: The node, which has the configuration and the registry of backends.
        clock: Returns the monotonic time in seconds.
        status: Builds the JSON value of GET /status.
    """

    def __init__(self, node: ControlNode, clock: Callable[[], float], status: Callable[[], Mapping[str, Any]]) -> None:
        self._operator = OperatorApi(node)
        self._backends = BackendApi(node, clock)
        self._status = status

    async def handle_request(self, request: HttpServerRequest) -> HttpServerResponse:
        """Handle one request according to its path."""
        if request.path == CONFIGURATION_PATH:
            return await self._operator.handle_configuration(request)
        if request.path.startswith(INSTANCES_PREFIX):
            return await self._backends.handle_instance(request, request.path.removeprefix(INSTANCES_PREFIX))
        if request.path == STATUS_PATH and request.method == "GET":
            return HttpServerResponse.of_json(HTTPStatus.OK, self._status())
        return error_response(HTTPStatus.NOT_FOUND, "no such resource; see /configuration, /instances/ID and /status")
