"""Parses and validates the heartbeats of backends. Pure.

Most heartbeats of a backend differ from the previous one only in a few numbers. The full schema is applied to a body whose
other fields have changed; in a repeated body only those numbers are checked again.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result
from schema import And, Optional, Or, Schema, SchemaError

from mulleinhatch.configuration.document import read_json
from mulleinhatch.messages.cluster import Backend, LoadedModel
from mulleinhatch.messages.parsing import MAX_COUNT

MAX_CACHED_BACKENDS = 4096  # above the target number of backends; when it is reached, the cache is cleared
CHANGING_FIELDS = ("sequence", "cold_remaining_ms", "remaining_ms")  # numbers that change with every heartbeat


def _is_count(value: Any) -> bool:
    return isinstance(value, int) and 0 <= value <= MAX_COUNT


def _is_duration(value: Any) -> bool:
    """Return whether a value is a number of milliseconds that a message can carry; NaN and infinities are not."""
    return isinstance(value, (int, float)) and -MAX_COUNT <= value <= MAX_COUNT


NON_NEGATIVE_INT = And(_is_count, error="{!r} must be a whole number from 0 to 2^63 - 1")
DURATION_MS = And(_is_duration, error="{!r} must be a number of milliseconds")
MODEL_SCHEMA = Schema({"name": str, Optional("version"): NON_NEGATIVE_INT, Optional("adapters"): [str], Optional(str): object})
HEARTBEAT_SCHEMA = Schema(
    {
        "service": And(str, len),
        "address": And(str, lambda text: ":" in text),
        Optional("zone"): str,
        Optional("version"): object,
        Optional("slots"): NON_NEGATIVE_INT,
        Optional("state"): Or("ready", "draining"),
        Optional("cold_remaining_ms"): DURATION_MS,
        Optional("remaining_ms"): Or(None, DURATION_MS),
        Optional("models"): [MODEL_SCHEMA],
        "sequence": NON_NEGATIVE_INT,
        Optional(str): object,
    }
)


@dataclass(frozen=True)
class ValidatedFields:
    """The fields of a backend's last valid heartbeat, except `CHANGING_FIELDS`.

    Attributes:
        text: Their `repr`, which identifies a repeated body (1, 1.0 and true differ in it).
        models: The models that the heartbeat listed.
    """

    text: str
    models: list[LoadedModel]


class HeartbeatParser:
    """Parses heartbeats and caches the last valid one of each backend."""

    def __init__(self) -> None:
        self._validated: dict[str, ValidatedFields] = {}

    def parse(self, backend_id: str, body: bytes) -> Result[Backend, str]:
        """Parse and validate the JSON body of a heartbeat.

        Returns:
            The record for the registry, or an error message that names the invalid field.
        """
        if isinstance(parsed := read_json(body), Err):
            return Err(str(parsed.err_value))
        payload = parsed.ok_value
        text = repr({name: value for name, value in payload.items() if name not in CHANGING_FIELDS})
        validated = self._validated.get(backend_id)
        if validated is None or validated.text != text or not _are_changing_fields_valid(payload):
            try:
                HEARTBEAT_SCHEMA.validate(payload)
            except SchemaError as error:
                return Err(f"instance {backend_id}: {_describe(error)}; correct that field")
            validated = self._cache_heartbeat(backend_id, text, payload)
        return Ok(_build_backend(backend_id, payload, validated.models))

    def _cache_heartbeat(self, backend_id: str, text: str, payload: dict[str, Any]) -> ValidatedFields:
        if len(self._validated) >= MAX_CACHED_BACKENDS:
            self._validated.clear()
        models = [_build_model(model) for model in payload.get("models", ())]
        validated = self._validated[backend_id] = ValidatedFields(text, models)
        return validated


def _describe(error: SchemaError) -> str:
    """Return the schema's error text, including the key of the invalid field."""
    return " ".join(dict.fromkeys(text for text in (*error.autos, *error.errors) if text))


def _are_changing_fields_valid(payload: dict[str, Any]) -> bool:
    """Return whether the numbers satisfy the schema; if False, the schema decides and words the error."""
    remaining_ms = payload.get("remaining_ms")
    return (
        _is_count(payload.get("sequence"))
        and _is_duration(payload.get("cold_remaining_ms", 0))
        and (remaining_ms is None or _is_duration(remaining_ms))
    )


def _build_backend(backend_id: str, payload: dict[str, Any], models: list[LoadedModel]) -> Backend:
    return Backend(
        id=backend_id,
        service=payload["service"],
        address=payload["address"],
        zone=payload.get("zone", ""),
        version=str(payload.get("version", "")),
        slots=payload.get("slots", 0),
        draining=payload.get("state") == "draining",
        sequence=payload["sequence"],
        models=models,
        cold_remaining_ms=max(0, int(payload.get("cold_remaining_ms", 0))),
        remaining_ms=max(0, int(payload.get("remaining_ms") or 0)),
    )


def _build_model(payload: dict[str, Any]) -> LoadedModel:
    return LoadedModel(name=payload["name"], version=payload.get("version", 0), adapters=list(payload.get("adapters", ())))
