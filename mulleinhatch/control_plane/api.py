"""The interfaces of the control plane: the operator's and the backends' at `control`, the instances' at the internal
address."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

from result import Err, Ok, Result
from schema import And, Optional, Or, Schema, SchemaError

from mulleinhatch.configuration.document import read_json
from mulleinhatch.control_plane.configuration_changes import ConfigurationResult, ResultKind
from mulleinhatch.control_plane.node import CoreNode
from mulleinhatch.messages import cluster
from mulleinhatch.networking.http_server import BINARY_TYPE, HttpServerRequest, HttpServerResponse

LOG = logging.getLogger(__name__)
INSTANCES, CONFIGURATION, STATUS = "/instances/", "/configuration", "/status"
CUT_OFF = "this machine is not in touch with the core; call another one"
RETRY_AFTER_S = "0.2"
CONFIGURATION_STATUS = {
    ResultKind.REDIRECT: 307,
    ResultKind.RETRY: 503,
    ResultKind.INVALID: 400,
    ResultKind.CONFLICT: 412,
}
NOT_NEGATIVE = And(int, lambda value: value >= 0)
MODEL_SCHEMA = Schema({"name": str, Optional("version"): NOT_NEGATIVE, Optional("adapters"): [str], Optional(str): object})
BACKEND_SCHEMA = Schema(
    {
        "service": And(str, len),
        "address": And(str, lambda text: ":" in text),
        Optional("zone"): str,
        Optional("version"): object,
        Optional("slots"): NOT_NEGATIVE,
        Optional("state"): Or("ready", "draining"),
        Optional("cold_remaining_ms"): Or(int, float),
        Optional("remaining_ms"): Or(int, float, None),
        Optional("models"): [MODEL_SCHEMA],
        "sequence": NOT_NEGATIVE,
        Optional(str): object,
    }
)


def read_backend(backend_id: str, body: bytes) -> Result[cluster.Backend, str]:
    """The record that a backend's heartbeat makes."""
    if isinstance(value := read_json(body), Err):
        return Err(str(value.err_value))
    told = value.ok_value
    try:
        BACKEND_SCHEMA.validate(told)
    except SchemaError as error:
        return Err(f"instance {backend_id}: {error.code}; correct that field")
    models = [
        cluster.LoadedModel(name=model["name"], version=model.get("version", 0), adapters=list(model.get("adapters", ())))
        for model in told.get("models", ())
    ]
    return Ok(
        cluster.Backend(
            id=backend_id,
            service=told["service"],
            address=told["address"],
            zone=told.get("zone", ""),
            version=str(told.get("version", "")),
            slots=told.get("slots", 0),
            draining=told.get("state") == "draining",
            sequence=told["sequence"],
            models=models,
            cold_remaining_ms=int(told.get("cold_remaining_ms", 0)),
            remaining_ms=int(told.get("remaining_ms") or 0),
        )
    )


def _error(status: int, message: str, headers: dict[str, str] | None = None) -> HttpServerResponse:
    return HttpServerResponse.of_json(status, {"error": message}, headers)


def _cut_off() -> HttpServerResponse:
    return _error(503, CUT_OFF, {"Retry-After": RETRY_AFTER_S})


def _configuration_error(result: ConfigurationResult) -> HttpServerResponse:
    """Map a configuration request that was not served to its HTTP response."""
    headers: dict[str, str] | None = None
    if result.kind is ResultKind.REDIRECT:
        headers = {"Location": f"http://{result.control_address}{CONFIGURATION}"}
    elif result.kind is ResultKind.RETRY:
        headers = {"Retry-After": RETRY_AFTER_S}
    return _error(CONFIGURATION_STATUS[result.kind], result.message, headers)


class ControlApi:
    """What backends and the operator call."""

    def __init__(self, node: CoreNode, clock: Callable[[], float], status: Callable[[], dict[str, Any]]) -> None:
        self._node, self._clock, self._status = node, clock, status

    async def answer(self, request: HttpServerRequest) -> HttpServerResponse:
        if request.path == CONFIGURATION:
            return await self._configuration(request)
        if request.path.startswith(INSTANCES):
            return await self._instance(request, request.path.removeprefix(INSTANCES))
        if request.path == STATUS and request.method == "GET":
            return HttpServerResponse.of_json(200, self._status())
        return _error(404, "no such resource; see /configuration, /instances/ID and /status")

    async def _configuration(self, request: HttpServerRequest) -> HttpServerResponse:
        if request.method == "GET":
            result = await self._node.read_configuration()
            return HttpServerResponse(200, result.text) if result.kind is ResultKind.OK else _configuration_error(result)
        if request.method not in ("PUT", "PATCH"):
            return _error(405, "use GET, PUT or PATCH")
        base = request.headers.get("if-match", "").strip().strip('"')
        number = int(base) if base.isdigit() else None
        result = await self._node.change_configuration(request.method, number, request.body)
        if result.kind is ResultKind.OK:
            return HttpServerResponse.of_json(200, {"version": self._node.state.document.version})
        return _configuration_error(result)

    async def _instance(self, request: HttpServerRequest, backend_id: str) -> HttpServerResponse:
        if not backend_id or "/" in backend_id:
            return _error(404, "name one instance: /instances/ID")
        if request.method == "DELETE":
            return await self._gone(backend_id)
        if request.method != "PUT":
            return _error(405, "use PUT or DELETE")
        read = read_backend(backend_id, request.body)
        if isinstance(read, Err):
            return _error(400, read.err_value)
        return await self._heartbeat(read.ok_value)

    async def _gone(self, backend_id: str) -> HttpServerResponse:
        """A backend that leaves without a word before, or that ends: acknowledged once it is recorded for good."""
        recorded = await self._node.record_departure(backend_id)
        self._node.registry.deregister(backend_id, self._clock())
        self._node.request_heartbeat()
        return HttpServerResponse.of_json(200, {}) if recorded else _cut_off()

    async def _heartbeat(self, backend: cluster.Backend) -> HttpServerResponse:
        node = self._node
        known = node.registry.entries.get(backend.id)
        if node.registry.merge(backend, self._clock()):
            node.backend_handoff.record_change(backend.id)
        if known is None:
            node.request_heartbeat()
        if backend.draining and not await node.record_departure(backend.id):
            return _cut_off()
        return HttpServerResponse.of_json(200, {}) if await node.confirm_leadership() else _cut_off()


Handler = Callable[[Any], Awaitable[Any]]


class InternalApi:
    """What instances ask of each other: betterproto messages by POST to /internal/NAME."""

    def __init__(self) -> None:
        self._handlers: dict[str, tuple[Callable[[], Any], Handler]] = {}

    def add(self, name: str, message: Callable[[], Any], handler: Handler) -> None:
        self._handlers[f"/internal/{name}"] = message, handler

    async def answer(self, request: HttpServerRequest) -> HttpServerResponse:
        found = self._handlers.get(request.path)
        if found is None or request.method != "POST":
            return _error(404, "no such message")
        message, handler = found
        try:
            asked = message().parse(request.body)
        except Exception as error:  # betterproto raises what its parser stumbles over
            LOG.warning("unreadable message", extra={"path": request.path, "error": repr(error)})
            return _error(400, "the message can't be read; both sides must run the same version")
        try:
            answer = await handler(asked)
        except OSError as error:
            return _error(503, f"{error}")
        return HttpServerResponse(200, bytes(answer), BINARY_TYPE)


def internal_api(node: CoreNode) -> InternalApi:
    """The messages between core machines."""
    api = InternalApi()
    api.add("heartbeat", cluster.Heartbeat, node.heartbeat_responder.on_heartbeat)
    api.add("prepare", cluster.PrepareRequest, node.view_changer.on_prepare)
    api.add("accept", cluster.AcceptRequest, node.view_changer.on_accept)
    api.add("confirm", cluster.ConfirmRequest, node.view_changer.on_confirm)
    api.add("append", cluster.AppendRequest, node.replicated_log.on_append)
    api.add("snapshot", cluster.SnapshotRequest, node.snapshot_server.on_snapshot)
    api.add("leave", cluster.LeaveRequest, node.backend_departures.on_leave)
    return api
