"""Parses the reports in which backends list their models and say whether an order is running. Pure."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from mulleinhatch.messages.parsing import MAX_COUNT


@dataclass(frozen=True)
class BackendReport:
    """The fields of a backend's report that placement uses.

    Attributes:
        models: The loaded adapters by model.
        is_busy: Whether an order is running.
        revision: The number of orders that the backend has accepted.
        versions: The version of the weights by model.
    """

    models: dict[str, set[str]]
    is_busy: bool
    revision: int
    versions: dict[str, int] = field(default_factory=dict)


def parse_report(body: bytes) -> BackendReport:
    """Parse the body of a backend's response to `GET /report`.

    Raises:
        ValueError: The body is not a valid report.
    """
    value = json.loads(body)
    try:
        models = {model["name"]: set(model.get("adapters", ())) for model in value.get("models", ())}
        versions = {model["name"]: _count(model.get("version", 0)) for model in value.get("models", ())}
        return BackendReport(models, bool(value.get("busy")), _count(value.get("sequence", 0)), versions)
    except (AttributeError, KeyError, TypeError, OverflowError) as error:
        raise ValueError(f"invalid report: {error!r}") from None


def is_json(body: bytes) -> bool:
    """Return whether a body is a whole JSON document. An object or a list that was cut is none.

    >>> is_json(b'{"message":"in progress"}'), is_json(b'{"message":"in pro'), is_json(b"")
    (True, False, False)
    """
    try:
        json.loads(body)
    except ValueError:
        return False
    return True


def is_report(body: bytes) -> bool:
    """Return whether the body of a response is a report.

    >>> is_report(b'{"models":[],"busy":false,"sequence":2}'), is_report(b'{"message":"in progress"}'), is_report(b"")
    (True, False, False)
    """
    try:
        value = json.loads(body)
    except ValueError:
        return False
    return isinstance(value, dict) and "sequence" in value


def _count(value: Any) -> int:
    """Return the value as an integer that messages between control-plane nodes can carry.

    Raises:
        ValueError: The value is not such an integer.
    """
    count = int(value)
    if not 0 <= count <= MAX_COUNT:
        raise ValueError(f"{value!r} is not a whole number from 0 to 2^63 - 1")
    return count
