"""A configuration as the operator sends it: reading, checks by `schema`, patches.

`Document` is immutable. Errors are `ConfigurationError` in a `Result`; the message names the item, the key and the remedy.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result
from schema import And, Optional, Or, Schema, SchemaError

ROUTE_KINDS = ("safe", "unsafe", "streaming")
ITEM_KINDS = ("routes", "services")


class ConfigurationError(ValueError):
    """A configuration that can't be taken; the message names what to correct."""


def _is_prefix(text: str) -> bool:
    return text.startswith("/") and text.endswith("/")


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)


NUMBER = And(_is_number, error="{!r} must be a number")
NOT_NEGATIVE = And(_is_number, lambda value: value >= 0, error="{!r} must be a number, 0 or more")
NAME = And(str, len, error="{!r} must be a text that is not empty")
WEIGHTED_SERVICE_SCHEMA = Schema({"service": NAME, "weight": NOT_NEGATIVE, Optional(str): object})
ROUTE_SCHEMA = Schema(
    {
        "name": NAME,
        "host": NAME,
        "path_prefix": And(str, _is_prefix, error="path_prefix {!r} must begin and end with a slash"),
        Optional("kind"): Or(*ROUTE_KINDS, error="kind {!r} must be safe, unsafe or streaming"),
        "timeout_ms": And(_is_number, lambda value: value > 0, error="timeout_ms {!r} must be above 0"),
        Optional("target_latency_ms"): NOT_NEGATIVE,
        Optional("priority"): NOT_NEGATIVE,
        Optional("max_attempts"): NOT_NEGATIVE,
        Optional("gap_aim_ms"): NOT_NEGATIVE,
        Optional("service"): NAME,
        Optional("traffic_split"): [WEIGHTED_SERVICE_SCHEMA],
        Optional(str): object,
    }
)
SERVICE_SCHEMA = Schema(
    {
        "name": NAME,
        Optional("health_check_path"): str,
        Optional("connection_limit"): NOT_NEGATIVE,
        Optional("engine"): Or(None, dict, error="engine must be an object"),
        Optional(str): object,
    }
)
ITEM_SCHEMAS = {"routes": ROUTE_SCHEMA, "services": SERVICE_SCHEMA}


@dataclass(frozen=True)
class Document:
    """A complete configuration that passed all checks. `value` is not to be changed."""

    version: int
    value: Mapping[str, Any]

    def to_json(self) -> bytes:
        return json.dumps(self.value, separators=(",", ":")).encode()


EMPTY = Document(0, {"version": 0, "routes": [], "services": []})


def change_digest(method: str, body: bytes) -> str:
    """By which a change that is sent again is known."""
    return hashlib.sha256(method.encode() + b" " + body).hexdigest()[:32]


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        raise ValueError("a key stands twice in one object")
    return value


def read_json(body: bytes) -> Result[dict[str, Any], ConfigurationError]:
    """An object of JSON, each key once."""
    try:
        value = json.loads(body, object_pairs_hook=_reject_duplicate_keys)
    except (ValueError, RecursionError) as error:
        return Err(ConfigurationError(f"the body is no JSON that can be read whole ({error}); send it again complete"))
    if not isinstance(value, dict):
        return Err(ConfigurationError("the body must be one JSON object"))
    return Ok(value)


def _version_of(value: Mapping[str, Any], current: int) -> Result[int, ConfigurationError]:
    version = value.get("version")
    if not isinstance(version, int) or isinstance(version, bool) or version <= current:
        return Err(ConfigurationError(f"version {version!r} must be a whole number above {current}; number it higher"))
    return Ok(version)


def _check_items(kind: str, items: Any) -> Result[None, ConfigurationError]:
    if not isinstance(items, list):
        return Err(ConfigurationError(f"{kind} must be a list"))
    for item in items:
        try:
            ITEM_SCHEMAS[kind].validate(item)
        except SchemaError as error:
            name = item.get("name") if isinstance(item, dict) else item
            why = " ".join(str(part) for part in error.autos if part) if not any(error.errors) else error.code
            return Err(ConfigurationError(f"{kind}: item {name!r}: {why}; correct it and send the change again"))
    return Ok(None)


def weighted_services(route: Mapping[str, Any]) -> list[tuple[str, float]]:
    """The services of a route with their weights."""
    split = route.get("traffic_split")
    if split:
        return [(share["service"], share["weight"]) for share in split]
    return [(route["service"], 1.0)] if route.get("service") else []


def _check_references(value: Mapping[str, Any]) -> Result[None, ConfigurationError]:
    for kind in ITEM_KINDS:
        names = [item["name"] for item in value[kind]]
        if len(set(names)) != len(names):
            return Err(ConfigurationError(f"{kind}: two items share a name; give each its own"))
    services = {service["name"] for service in value["services"]}
    places = set()
    for route in value["routes"]:
        shares = weighted_services(route)
        name = route["name"]
        if not shares:
            return Err(ConfigurationError(f"route {name!r} names no service; set service or traffic_split"))
        if sum(weight for _, weight in shares) <= 0:
            return Err(ConfigurationError(f"route {name!r}: the weights sum to 0; give one service a weight above 0"))
        unknown = [service for service, _ in shares if service not in services]
        if unknown:
            return Err(ConfigurationError(f"route {name!r} names the unknown service {unknown[0]!r}; add it under services"))
        place = route["host"].lower(), route["path_prefix"]
        if place in places:
            return Err(ConfigurationError(f"route {name!r}: another route has the same host and path_prefix; change one"))
        places.add(place)
    return Ok(None)


def _validate(version: int, value: dict[str, Any], changed: Mapping[str, Any]) -> Result[Document, ConfigurationError]:
    for kind in ITEM_KINDS:
        if isinstance(items := _check_items(kind, changed.get(kind, [])), Err):
            return items
    if isinstance(references := _check_references(value), Err):
        return references
    return Ok(Document(version, value))


def _check_limits(value: Mapping[str, Any]) -> Result[None, ConfigurationError]:
    limits = value.get("limits", {})
    if not isinstance(limits, dict) or not all(_is_number(figure) for figure in limits.values()):
        return Err(ConfigurationError("limits must be an object of numbers"))
    return Ok(None)


def read_complete(value: dict[str, Any], current: int) -> Result[Document, ConfigurationError]:
    """A complete configuration, to follow version `current`."""
    if isinstance(version := _version_of(value, current), Err):
        return version
    if isinstance(limits := _check_limits(value), Err):
        return limits
    complete = {**value, "routes": value.get("routes", []), "services": value.get("services", [])}
    if not all(isinstance(complete[kind], list) for kind in ITEM_KINDS):
        return Err(ConfigurationError("routes and services must be lists"))
    return _validate(version.ok_value, complete, complete)


def _merge(items: list[dict[str, Any]], upsert: Iterable[dict[str, Any]], remove: Iterable[str]) -> list[dict[str, Any]]:
    merged = {item["name"]: item for item in items}
    for name in remove:
        merged.pop(name, None)
    for item in upsert:
        merged[item["name"]] = item
    return list(merged.values())


def _patch_lists(value: Mapping[str, Any], key: str) -> Result[dict[str, list[Any]], ConfigurationError]:
    lists = value.get(key, {})
    if not isinstance(lists, dict) or not all(kind in ITEM_KINDS and isinstance(items, list) for kind, items in lists.items()):
        return Err(ConfigurationError(f"{key} must hold lists under routes and services"))
    return Ok(lists)


def apply_patch(document: Document, value: dict[str, Any]) -> Result[Document, ConfigurationError]:
    """The configuration after a patch: `upsert` adds or replaces items by name, `remove` drops names."""
    if isinstance(version := _version_of(value, document.version), Err):
        return version
    if isinstance(upsert := _patch_lists(value, "upsert"), Err):
        return upsert
    if isinstance(remove := _patch_lists(value, "remove"), Err):
        return remove
    for kind, items in upsert.ok_value.items():
        if isinstance(checked := _check_items(kind, items), Err):
            return checked
    changed = {
        kind: _merge(document.value[kind], upsert.ok_value.get(kind, ()), remove.ok_value.get(kind, ())) for kind in ITEM_KINDS
    }
    complete = {**document.value, **changed, "version": version.ok_value}
    if "limits" in value:
        if isinstance(limits := _check_limits(value), Err):
            return limits
        complete["limits"] = value["limits"]
    return _validate(version.ok_value, complete, {})
