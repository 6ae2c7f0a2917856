"""Validate a configuration: each item by a schema, then the references between items.

Each check returns `Ok` or a `ConfigurationError` in `Err`; its message names the item, the key and the remedy. Checks whose
work grows with the configuration are `Steps`.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Container, Mapping
from typing import Any

from result import Err, Ok, Result
from schema import And, Optional, Or, Schema, SchemaError

from mulleinhatch.configuration.item_schema import ItemSchema
from mulleinhatch.errors import ConfigurationError
from mulleinhatch.messages.parsing import MAX_COUNT
from mulleinhatch.steps import Steps

ROUTE_KINDS = ("safe", "unsafe", "streaming")
ITEM_KINDS = ("routes", "services")
ITEMS_PER_STEP = 64  # in checks that take microseconds an item
MAX_FLOAT = sys.float_info.max
KEY_ERROR = re.compile(r"Key '([^']*)' error:")  # how the schema reports the key of an invalid value


def is_number(value: Any) -> bool:
    """Return whether a JSON value is a number that is finite as a float; a boolean is not a number.

    >>> [is_number(value) for value in (1, -0.5, True, "1", float("inf"), float("nan"), 10**400)]
    [True, True, False, False, False, False, False]
    """
    return isinstance(value, (int, float)) and not isinstance(value, bool) and -MAX_FLOAT <= value <= MAX_FLOAT


def _is_path_prefix(text: str) -> bool:
    return text.startswith("/") and text.endswith("/")


def _is_readable_engine(engine: Any) -> bool:
    """Return whether every data plane can build an engine; an invalid number of a model excludes only that model."""
    if not isinstance(engine, dict) or not isinstance(engine.get("models", []), (list, type(None))):
        return False
    items = [engine, *(model for model in engine.get("models") or () if isinstance(model, dict))]
    return all(abs(value) <= MAX_FLOAT for item in items for value in item.values() if isinstance(value, int))


def _has_finite_sum(targets: list[dict[str, Any]]) -> bool:
    return is_number(sum(float(target["weight"]) for target in targets))


NUMBER = And(is_number, error="{!r} must be a finite number")
NOT_NEGATIVE = And(is_number, lambda value: value >= 0, error="{!r} must be a finite number, 0 or more")
NAME = And(str, len, error="{!r} must be a text that is not empty")
WEIGHTED_SERVICE_SCHEMA = Schema({"service": NAME, "weight": NOT_NEGATIVE, Optional(str): object})
ROUTE_SCHEMA = ItemSchema(
    {
        "name": NAME,
        "host": NAME,
        "path_prefix": And(str, _is_path_prefix, error="path_prefix {!r} must begin and end with a slash"),
        "kind": Or(*ROUTE_KINDS, error="kind {!r} must be safe, unsafe or streaming"),
        "timeout_ms": And(is_number, lambda value: value > 0, error="timeout_ms {!r} must be a finite number above 0"),
        "target_latency_ms": NOT_NEGATIVE,
        "priority": And(NOT_NEGATIVE, lambda value: value <= MAX_COUNT, error="{!r} must be a number that is not so large"),
        "max_attempts": NOT_NEGATIVE,
        "gap_aim_ms": NOT_NEGATIVE,
        "service": NAME,
        "traffic_split": And(
            [WEIGHTED_SERVICE_SCHEMA], _has_finite_sum, error="traffic_split must be a list of services with finite weights"
        ),
        "public": Or(None, bool, error="public must be true or false"),
    },
    required=frozenset({"name", "host", "path_prefix", "timeout_ms"}),
    unique=frozenset({"name", "path_prefix"}),
)
SERVICE_SCHEMA = ItemSchema(
    {
        "name": NAME,
        "health_check_path": str,
        "connection_limit": NOT_NEGATIVE,
        "engine": Or(
            None, _is_readable_engine, error="engine must be an object, its models a list, and its numbers below 1e308"
        ),
    },
    required=frozenset({"name"}),
    unique=frozenset({"name"}),
)
ITEM_SCHEMAS = {"routes": ROUTE_SCHEMA, "services": SERVICE_SCHEMA}


def weighted_services(route: Mapping[str, Any]) -> list[tuple[str, float]]:
    """Return the services of a route item with their weights."""
    split = route.get("traffic_split")
    if split:
        return [(target["service"], target["weight"]) for target in split]
    return [(route["service"], 1.0)] if route.get("service") else []


def check_version(value: Mapping[str, Any], current: int) -> Result[int, ConfigurationError]:
    """Check that a document's version is above the current one."""
    version = value.get("version")
    if not isinstance(version, int) or isinstance(version, bool) or version <= current:
        return Err(ConfigurationError(f"version {version!r} must be a whole number above {current}; number it higher"))
    return Ok(version)


def check_proposed_version(value: Mapping[str, Any], current: int) -> Result[int, ConfigurationError]:
    """Check the version of a proposed document, including that the internal messages can carry it."""
    if isinstance(version := check_version(value, current), Err) or version.ok_value <= MAX_COUNT:
        return version
    return Err(ConfigurationError(f"version must be {MAX_COUNT} at most; number it lower"))


def check_items(kind: str, items: Any) -> Steps[Result[None, ConfigurationError]]:
    """Check the items under `routes` or `services` by their schema, one item a step."""
    if not isinstance(items, list):
        return Err(ConfigurationError(f"{kind} must be a list"))
    for item in items:
        yield
        try:
            ITEM_SCHEMAS[kind].validate(item)
        except SchemaError as error:
            name = item.get("name") if isinstance(item, dict) else item
            reason = " ".join(str(text) for text in error.autos if text) if not any(error.errors) else error.code
            where = _invalid_key(error)
            named = reason if where in reason else f"{where}: {reason}"
            return Err(ConfigurationError(f"{kind}: item {name!r}: {named}; correct it and send the change again"))
    return Ok(None)


def _invalid_key(error: SchemaError) -> str:
    """Return the key of the item whose value is invalid, empty where a key is missing."""
    found = (KEY_ERROR.fullmatch(text) for text in error.autos if text)
    return next((match.group(1) for match in found if match), "")


def check_references(value: Mapping[str, Any]) -> Steps[Result[None, ConfigurationError]]:
    """Check that names and addresses are unique, and that every route has a known service of positive weight."""
    for kind in ITEM_KINDS:
        names = [item["name"] for item in value[kind]]
        if len(set(names)) != len(names):
            return Err(ConfigurationError(f"{kind}: two items share a name; give each its own"))
    services = {service["name"] for service in value["services"]}
    addresses: set[tuple[str, str]] = set()
    for number, route in enumerate(value["routes"]):
        if number % ITEMS_PER_STEP == 0:
            yield
        if isinstance(checked := check_route_services(route, services), Err):
            return checked
        address = route_address(route)
        if address in addresses:
            return shared_address_error(route)
        addresses.add(address)
    return Ok(None)


def route_address(route: Mapping[str, Any]) -> tuple[str, str]:
    """Return the host, in lower case, and the path prefix of a route."""
    return route["host"].lower(), route["path_prefix"]


def shared_address_error(route: Mapping[str, Any]) -> Err[ConfigurationError]:
    """Return the error of a route at the address of another one."""
    name = route["name"]
    return Err(ConfigurationError(f"route {name!r}: another route has the same host and path_prefix; change one"))


def check_route_services(route: Mapping[str, Any], services: Container[str]) -> Result[None, ConfigurationError]:
    """Check that a route has known services whose weights have a positive sum."""
    name = route["name"]
    targets = weighted_services(route)
    if not targets:
        return Err(ConfigurationError(f"route {name!r} names no service; set service or traffic_split"))
    if sum(weight for _, weight in targets) <= 0:
        return Err(ConfigurationError(f"route {name!r}: the weights sum to 0; give one service a weight above 0"))
    unknown = [service for service, _ in targets if service not in services]
    if unknown:
        return Err(ConfigurationError(f"route {name!r} names the unknown service {unknown[0]!r}; add it under services"))
    return Ok(None)


def check_limits(value: Mapping[str, Any]) -> Result[None, ConfigurationError]:
    """Check that `limits`, where given, is an object of numbers."""
    limits = value.get("limits", {})
    if not isinstance(limits, dict) or not all(is_number(limit) for limit in limits.values()):
        return Err(ConfigurationError("limits must be an object of numbers"))
    return Ok(None)
