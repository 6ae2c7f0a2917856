"""Backends as the planner sees them: models, orders in flight, memory and adapter slots in use. Pure; sizes in MB."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from mulleinhatch.configuration.routes import EngineSpec


@dataclass
class HostedModel:
    """A model that is loaded at a backend.

    Attributes:
        adapters: Its adapters that are loaded.
        loaded_at: When it was first reported, in monotonic seconds.
        version: The version of its weights.
    """

    adapters: set[str] = field(default_factory=set)
    loaded_at: float = 0.0
    version: int = 0


@dataclass
class BackendView:
    """A backend as the planner sees it. The pair (model, "") denotes the model itself, (model, adapter) an adapter.

    Attributes:
        id: The backend's id.
        address: Its address; rendezvous hashing of it breaks ties between equal backends.
        models: The loaded models by name.
        disk_models: Models on its own disk, which load fast and without the weight store.
        is_idle: Whether it can take an order: its state is known and no order is in flight.
        is_serving: Whether it is neither draining nor about to be terminated.
        loading: The models and adapters that an order in flight loads.
        unloading: The models and adapters that an order in flight unloads.
        reserved_for: The model that an unload has freed memory for, or "".
    """

    id: str
    address: str
    models: dict[str, HostedModel]
    disk_models: set[str]
    is_idle: bool
    is_serving: bool
    loading: set[tuple[str, str]] = field(default_factory=set)
    unloading: set[tuple[str, str]] = field(default_factory=set)
    reserved_for: str = ""

    def retained_models(self) -> set[str]:
        """Return the models that are loaded and not being unloaded, are being loaded, or have memory reserved."""
        loading = {model for model, adapter in self.loading if not adapter}
        unloading = {model for model, adapter in self.unloading if not adapter}
        reserved = {self.reserved_for} if self.reserved_for else set()
        return (set(self.models) | loading | reserved) - unloading

    def retained_adapters(self) -> set[tuple[str, str]]:
        """Return the (model, adapter) pairs that are loaded and not being unloaded, or are being loaded."""
        hosted_adapters = {(model, adapter) for model, hosted in self.models.items() for adapter in hosted.adapters}
        return (hosted_adapters - self.unloading) | {pair for pair in self.loading if pair[1]}


def model_mb(model: str, hosted: HostedModel, engine: EngineSpec) -> float:
    """Return the memory in MB of a model and its adapters.

    A model that is not in the configuration counts as large as the largest configured model.
    """
    spec = engine.models.get(model)
    if spec is None:
        return max((known.weights_mb for known in engine.models.values() if known.weights_mb < math.inf), default=0.0)
    return spec.weights_mb + len(hosted.adapters) * spec.adapter_size_mb


def used_mb(backend: BackendView, engine: EngineSpec) -> float:
    """Return the memory in MB of a backend's models and adapters, including those being loaded."""
    total = sum(model_mb(model, hosted, engine) for model, hosted in backend.models.items())
    for model, adapter in backend.loading:
        spec = engine.models.get(model)
        if spec is None or (model in backend.models and (not adapter or adapter in backend.models[model].adapters)):
            continue
        total += spec.adapter_size_mb if adapter else spec.weights_mb
    return total


def used_adapters(backend: BackendView) -> int:
    """Return the number of adapter slots in use, including adapters being loaded."""
    hosted_adapters = {(model, adapter) for model, hosted in backend.models.items() for adapter in hosted.adapters}
    return len(hosted_adapters | {pair for pair in backend.loading if pair[1]})
