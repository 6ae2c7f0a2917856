"""Answer backends: parse their heartbeats (PUT /instances/ID) and record their departures (DELETE /instances/ID)."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

from result import Err, Ok, Result
from schema import And, Optional, Or, Schema, SchemaError

from mulleinhatch.configuration.document import read_json
from mulleinhatch.control_plane.api.responses import empty_response, error_response, no_majority_response
from mulleinhatch.control_plane.backend_handoff import BackendHandoff
from mulleinhatch.control_plane.registry import BackendRegistry
from mulleinhatch.messages.cluster import Backend, LoadedModel
from mulleinhatch.networking.http_server import HttpServerRequest, HttpServerResponse

NON_NEGATIVE_INT = And(int, lambda value: value >= 0)
MODEL_SCHEMA = Schema({"name": str, Optional("version"): NON_NEGATIVE_INT, Optional("adapters"): [str], Optional(str): object})
HEARTBEAT_SCHEMA = Schema(
    {
        "service": And(str, len),
        "address": And(str, lambda text: ":" in text),
        Optional("zone"): str,
        Optional("version"): object,
        Optional("slots"): NON_NEGATIVE_INT,
        Optional("state"): Or("ready", "draining"),
        Optional("cold_remaining_ms"): Or(int, float),
        Optional("remaining_ms"): Or(int, float, None),
        Optional("models"): [MODEL_SCHEMA],
        "sequence": NON_NEGATIVE_INT,
        Optional(str): object,
    }
)


def parse_backend_heartbeat(backend_id: str, body: bytes) -> Result[Backend, str]:
    """Parse and validate the JSON body of a heartbeat.

    Returns:
        The record for the registry, or a message that names the faulty field.
    """
    if isinstance(parsed := read_json(body), Err):
        return Err(str(parsed.err_value))
    payload = parsed.ok_value
    try:
        HEARTBEAT_SCHEMA.validate(payload)
    except SchemaError as error:
        return Err(f"instance {backend_id}: {error.code}; correct that field")
    return Ok(_build_backend(backend_id, payload))


def _build_backend(backend_id: str, payload: dict[str, Any]) -> Backend:
    return Backend(
        id=backend_id,
        service=payload["service"],
        address=payload["address"],
        zone=payload.get("zone", ""),
        version=str(payload.get("version", "")),
        slots=payload.get("slots", 0),
        draining=payload.get("state") == "draining",
        sequence=payload["sequence"],
        models=[_build_model(model) for model in payload.get("models", ())],
        cold_remaining_ms=int(payload.get("cold_remaining_ms", 0)),
        remaining_ms=int(payload.get("remaining_ms") or 0),
    )


def _build_model(payload: dict[str, Any]) -> LoadedModel:
    return LoadedModel(name=payload["name"], version=payload.get("version", 0), adapters=list(payload.get("adapters", ())))


class BackendNode(Protocol):
    """What the backends' interface needs of the node; `CoreNode` satisfies it."""

    registry: BackendRegistry
    backend_handoff: BackendHandoff

    def request_heartbeat(self) -> None:
        """Send a heartbeat to the peers as soon as possible."""

    async def wait_for_majority_contact(self) -> bool:
        """Return whether a majority of voters confirms this node's view."""

    async def record_departure(self, backend_id: str) -> bool:
        """Return whether every replica of the chain has persisted that a backend leaves."""


class BackendApi:
    """Serves /instances/ID."""

    def __init__(self, node: BackendNode, clock: Callable[[], float]) -> None:
        self._node = node
        self._clock = clock

    async def handle_instance(self, request: HttpServerRequest, backend_id: str) -> HttpServerResponse:
        """Answer a heartbeat or a departure of one backend."""
        if not backend_id or "/" in backend_id:
            return error_response(HTTPStatus.NOT_FOUND, "name one instance: /instances/ID")
        if request.method == "DELETE":
            return await self._handle_departure(backend_id)
        if request.method != "PUT":
            return error_response(HTTPStatus.METHOD_NOT_ALLOWED, "use PUT or DELETE")
        parsed = parse_backend_heartbeat(backend_id, request.body)
        if isinstance(parsed, Err):
            return error_response(HTTPStatus.BAD_REQUEST, parsed.err_value)
        return await self._handle_heartbeat(parsed.ok_value)

    async def _handle_departure(self, backend_id: str) -> HttpServerResponse:
        """Record that a backend has ended or ends now; acknowledge it only after the record is replicated."""
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
