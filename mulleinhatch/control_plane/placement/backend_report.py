"""A backend's report of its models and its running order. Pure."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from mulleinhatch.messages.parsing import MAX_COUNT


@dataclass(frozen=True)
class BackendReport:
    """The part of a backend's report that placement uses.

    Attributes:
        models: Adapters by model.
        is_busy: Whether an order is running.
        revision: How many orders the backend has accepted.
        versions: Version of the weights of each model.
    """

    models: dict[str, set[str]]
    is_busy: bool
    revision: int
    versions: dict[str, int] = field(default_factory=dict)


def parse_report(body: bytes) -> BackendReport:
    """Parse the body of a backend's response to `GET /report`.

    Raises:
        ValueError: The body is no report.
    """
    value = json.loads(body)
    try:
        models = {model["name"]: set(model.get("adapters", ())) for model in value.get("models", ())}
        versions = {model["name"]: _count(model.get("version", 0)) for model in value.get("models", ())}
        return BackendReport(models, bool(value.get("busy")), _count(value.get("sequence", 0)), versions)
    except (AttributeError, KeyError, TypeError, OverflowError) as error:
        raise ValueError(f"no report: {error!r}") from None


def _count(value: Any) -> int:
    """Return a whole number that the messages between control planes can carry.

    Raises:
        ValueError: The value is none.
    """
    count = int(value)
    if not 0 <= count <= MAX_COUNT:
        raise ValueError(f"{value!r} is no whole number from 0 to 2^63 - 1")
    return count
