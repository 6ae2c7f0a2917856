"""Handles requests of operators to read and change the configuration."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from mulleinhatch.control_plane.api.responses import error_response, unavailable_response
from mulleinhatch.control_plane.configuration_changes import ConfigurationResult, ResultKind
from mulleinhatch.networking.http_server import HttpServerRequest, HttpServerResponse
from mulleinhatch.replication.state import ControlState

REJECTION_STATUS = {ResultKind.INVALID: HTTPStatus.BAD_REQUEST, ResultKind.CONFLICT: HTTPStatus.PRECONDITION_FAILED}


class ConfigurationNode(Protocol):
    """The part of the node that `OperatorApi` uses; `ControlPlaneNode` satisfies it."""

    state: ControlState

    async def read_configuration(self) -> ConfigurationResult:
        """Return the newest configuration, or the reason why it cannot be served."""

    async def change_configuration(self, method: str, base: int | None, body: bytes) -> ConfigurationResult:
        """Replace (PUT) or patch (PATCH) the configuration version `base`."""


class OperatorApi:
    """Serves /configuration."""

    def __init__(self, node: ConfigurationNode) -> None:
        self._node = node

    async def handle_configuration(self, request: HttpServerRequest) -> HttpServerResponse:
        """Handle GET, PUT and PATCH of the configuration; a change carries its base version in `If-Match`."""
        if request.method == "GET":
            return await self._read()
        if request.method not in ("PUT", "PATCH"):
            return error_response(HTTPStatus.METHOD_NOT_ALLOWED, "use GET, PUT or PATCH")
        result = await self._node.change_configuration(request.method, _parse_base_version(request), request.body)
        if result.kind is ResultKind.OK:
            return HttpServerResponse.of_json(HTTPStatus.OK, {"version": self._node.state.document.version})
        return _unserved_response(result)

    async def _read(self) -> HttpServerResponse:
        result = await self._node.read_configuration()
        if result.kind is ResultKind.OK:
            return HttpServerResponse(HTTPStatus.OK, result.text)
        return _unserved_response(result)


def _unserved_response(result: ConfigurationResult) -> HttpServerResponse:
    """Return the response to a request that was not served."""
    if result.kind is ResultKind.REDIRECT:
        location = f"http://{result.control_address}/configuration"
        return error_response(HTTPStatus.TEMPORARY_REDIRECT, result.message, {"Location": location})
    if result.kind is ResultKind.RETRY:
        return unavailable_response(result.message)
    return error_response(REJECTION_STATUS[result.kind], result.message)


def _parse_base_version(request: HttpServerRequest) -> int | None:
    base = request.headers.get("if-match", "").strip().strip('"')
    return int(base) if base.isdigit() else None
