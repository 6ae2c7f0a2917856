"""Answer operators: read and change the configuration."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from mulleinhatch.control_plane.api.responses import error_response, unavailable_response
from mulleinhatch.control_plane.configuration_changes import ChangeAnswer
from mulleinhatch.networking.http_server import HttpServerRequest, HttpServerResponse
from mulleinhatch.replication.state import ControlState


class ConfigurationNode(Protocol):
    """What the operator's interface needs of the node; `CoreNode` satisfies it."""

    state: ControlState

    async def read_configuration(self) -> tuple[ChangeAnswer, bytes]:
        """Return an outcome and, if its status is 200, the newest configuration as JSON."""

    async def change_configuration(self, method: str, base: int | None, body: bytes) -> ChangeAnswer:
        """Replace (PUT) or patch (PATCH) the configuration version `base`."""


class OperatorApi:
    """Serves /configuration."""

    def __init__(self, node: ConfigurationNode) -> None:
        self._node = node

    async def handle_configuration(self, request: HttpServerRequest) -> HttpServerResponse:
        """Answer GET, PUT and PATCH of the configuration; a change names its base version in `If-Match`."""
        if request.method == "GET":
            return await self._read()
        if request.method not in ("PUT", "PATCH"):
            return error_response(HTTPStatus.METHOD_NOT_ALLOWED, "use GET, PUT or PATCH")
        answer = await self._node.change_configuration(request.method, _parse_base_version(request), request.body)
        return self._change_response(answer)

    async def _read(self) -> HttpServerResponse:
        answer, text = await self._node.read_configuration()
        if answer.status == HTTPStatus.OK:
            return HttpServerResponse(HTTPStatus.OK, text)
        return self._change_response(answer)

    def _change_response(self, answer: ChangeAnswer) -> HttpServerResponse:
        if answer.status == HTTPStatus.OK:
            return HttpServerResponse.of_json(HTTPStatus.OK, {"version": self._node.state.document.version})
        if answer.status == HTTPStatus.TEMPORARY_REDIRECT:
            return error_response(HTTPStatus.TEMPORARY_REDIRECT, answer.message, {"Location": answer.location})
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            return unavailable_response(answer.message)
        return error_response(answer.status, answer.message)


def _parse_base_version(request: HttpServerRequest) -> int | None:
    base = request.headers.get("if-match", "").strip().strip('"')
    return int(base) if base.isdigit() else None
