"""What a backend answers when it is asked for its report. Pure."""

from __future__ import annotations

import json
from dataclasses import dataclass


@dataclass(frozen=True)
class BackendReport:
    """What a backend's report says that matters here."""

    models: dict[str, set[str]]
    is_busy: bool
    revision: int


def parse_report(body: bytes) -> BackendReport:
    """ValueError where it is none."""
    value = json.loads(body)
    try:
        models = {model["name"]: set(model.get("adapters", ())) for model in value.get("models", ())}
        return BackendReport(models, bool(value.get("busy")), int(value.get("sequence", 0)))
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"no report: {error!r}") from None
