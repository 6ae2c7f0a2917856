"""What the planner sees of backends: what each holds, what orders bring and take, the room that is taken. Pure; sizes in MB."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from mulleinhatch.configuration.routes import EngineSpec


class Operation(Enum):
    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True)
class Order:
    """One order to one backend, with why it is given."""

    backend_id: str
    operation: Operation
    model: str
    adapter: str = ""
    from_store: bool = False
    expected_s: float = 0.0
    why: str = ""
    reserve: str = ""  # the model for which an unload makes room
    then: Order | None = None  # its load, where this unload makes room enough


@dataclass
class Holding:
    """A model at a backend."""

    adapters: set[str] = field(default_factory=set)
    since: float = 0.0


@dataclass
class BackendView:
    """What the planner sees of one backend. `held_before` are models that its own disk has."""

    id: str
    address: str
    models: dict[str, Holding]
    held_before: set[str]
    free: bool  # no order is under way and what it holds is known
    serving: bool  # it will stay, and is heard of
    coming: set[tuple[str, str]] = field(default_factory=set)  # what orders under way will bring
    leaving: set[tuple[str, str]] = field(default_factory=set)  # what they will take away
    reserved: str = ""  # the model for which room was made

    def staying(self) -> set[str]:
        """Models that it holds and keeps, or will hold."""
        coming = {model for model, adapter in self.coming if not adapter}
        leaving = {model for model, adapter in self.leaving if not adapter}
        reserved = {self.reserved} if self.reserved else set()
        return (set(self.models) | coming | reserved) - leaving

    def standing_adapters(self) -> set[tuple[str, str]]:
        """Adapters that it holds and keeps, or will hold, each with its model."""
        held = {(model, adapter) for model, holding in self.models.items() for adapter in holding.adapters}
        return (held - self.leaving) | {pair for pair in self.coming if pair[1]}


def model_mb(model: str, holding: Holding, engine: EngineSpec) -> float:
    """Memory of a model with its adapters; one that the configuration does not name counts as the largest that it names."""
    facts = engine.models.get(model)
    if facts is None:
        return max((known.weights_mb for known in engine.models.values() if known.weights_mb < math.inf), default=0.0)
    return facts.weights_mb + len(holding.adapters) * facts.adapter_size_mb


def used_mb(backend: BackendView, engine: EngineSpec) -> float:
    """Memory that a backend's models and adapters take, with what is under way."""
    total = sum(model_mb(model, holding, engine) for model, holding in backend.models.items())
    for model, adapter in backend.coming:
        facts = engine.models.get(model)
        if facts is None or (model in backend.models and (not adapter or adapter in backend.models[model].adapters)):
            continue
        total += facts.adapter_size_mb if adapter else facts.weights_mb
    return total


def used_adapters(backend: BackendView) -> int:
    """Places for adapters that are taken, with what is under way."""
    held = {(model, adapter) for model, holding in backend.models.items() for adapter in holding.adapters}
    return len(held | {pair for pair in backend.coming if pair[1]})
