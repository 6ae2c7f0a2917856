"""What the holder of orders knows of one backend: what its reports say, and the order that is under way there. Pure."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from mulleinhatch.control_plane.placement.holdings import Holding, Order


@dataclass
class UnderWay:
    """An order that a backend carries out, or may."""

    order: Order
    begun: float
    expected_at: float
    revision: int  # the backend's count of orders before it
    certain: bool = True
    followed: bool = False  # the load that needs the room is being sent
    assumed: bool = False  # an adapter that arrives within milliseconds: told as present before a report shows it


@dataclass
class BackendState:
    """What the holder knows of one backend."""

    models: dict[str, Holding] = field(default_factory=dict)
    revision: int = 0
    known: bool = False  # a report came since we hold the role
    under_way: UnderWay | None = None
    look_at: float = 0.0
    looking: bool = False
    busy_elsewhere: bool = False  # it carries out an order that is not ours
    failures: int = 0
    reserved: str = ""  # the model for which room was made here
    reserved_until: float = 0.0


@dataclass(frozen=True)
class Report:
    """What a backend's report says that matters here."""

    models: dict[str, set[str]]
    busy: bool
    revision: int


def read_report(body: bytes) -> Report:
    """ValueError where it is none."""
    value = json.loads(body)
    try:
        models = {model["name"]: set(model.get("adapters", ())) for model in value.get("models", ())}
        return Report(models, bool(value.get("busy")), int(value.get("sequence", 0)))
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"no report: {error!r}") from None
