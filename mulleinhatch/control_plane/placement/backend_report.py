"""A backend's report of its models and its running order. Pure."""

from __future__ import annotations

import json
from dataclasses import dataclass


@dataclass(frozen=True)
class BackendReport:
    """The part of a backend's report that placement uses.

    Attributes:
        models: Adapters by model.
        is_busy: Whether an order is running.
        revision: How many orders the backend has accepted.
    """

    models: dict[str, set[str]]
    is_busy: bool
    revision: int


def parse_report(body: bytes) -> BackendReport:
    """Parse the body of a backend's response to `GET /report`.

    Raises:
        ValueError: The body is no report.
    """
    value = json.loads(body)
    try:
        models = {model["name"]: set(model.get("adapters", ())) for model in value.get("models", ())}
        return BackendReport(models, bool(value.get("busy")), int(value.get("sequence", 0)))
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"no report: {error!r}") from None
