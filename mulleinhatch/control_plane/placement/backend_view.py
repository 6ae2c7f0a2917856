"""What the planner sees of backends: what each holds, what orders bring and take, the room that is taken. Pure; sizes in MB."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from mulleinhatch.configuration.routes import Engine


@dataclass
class HostedModel:
    """A model at a backend."""

    adapters: set[str] = field(default_factory=set)
    loaded_at: float = 0.0


@dataclass
class BackendView:
    """What the planner sees of one backend. `disk_models` are models that its own disk has."""

    id: str
    address: str
    models: dict[str, HostedModel]
    disk_models: set[str]
    is_idle: bool  # no order is under way and what it holds is known
    is_serving: bool  # it will stay, and is heard of
    loading: set[tuple[str, str]] = field(default_factory=set)  # what orders under way will bring
    unloading: set[tuple[str, str]] = field(default_factory=set)  # what they will take away
    reserved_for: str = ""  # the model for which room was made

    def retained_models(self) -> set[str]:
        """Models that it holds and keeps, or will hold."""
        loading = {model for model, adapter in self.loading if not adapter}
        unloading = {model for model, adapter in self.unloading if not adapter}
        reserved = {self.reserved_for} if self.reserved_for else set()
        return (set(self.models) | loading | reserved) - unloading

    def retained_adapters(self) -> set[tuple[str, str]]:
        """Adapters that it holds and keeps, or will hold, each with its model."""
        hosted_adapters = {(model, adapter) for model, hosted in self.models.items() for adapter in hosted.adapters}
        return (hosted_adapters - self.unloading) | {pair for pair in self.loading if pair[1]}


def model_mb(model: str, hosted: HostedModel, engine: Engine) -> float:
    """Memory of a model with its adapters; one that the configuration does not name counts as the largest that it names."""
    model_facts = engine.models.get(model)
    if model_facts is None:
        return max((known.weights_mb for known in engine.models.values() if known.weights_mb < math.inf), default=0.0)
    return model_facts.weights_mb + len(hosted.adapters) * model_facts.adapter_size_mb


def used_mb(backend: BackendView, engine: Engine) -> float:
    """Memory that a backend's models and adapters take, with what is under way."""
    total = sum(model_mb(model, hosted, engine) for model, hosted in backend.models.items())
    for model, adapter in backend.loading:
        model_facts = engine.models.get(model)
        if model_facts is None or (model in backend.models and (not adapter or adapter in backend.models[model].adapters)):
            continue
        total += model_facts.adapter_size_mb if adapter else model_facts.weights_mb
    return total


def used_adapters(backend: BackendView) -> int:
    """Places for adapters that are taken, with what is under way."""
    hosted_adapters = {(model, adapter) for model, hosted in backend.models.items() for adapter in hosted.adapters}
    return len(hosted_adapters | {pair for pair in backend.loading if pair[1]})
