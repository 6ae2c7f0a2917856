"""Why a request had to wait for a backend on arrival; logged for late and rejected requests. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from mulleinhatch.data_plane.registry_snapshot import ModelKey, RegisteredBackend


class WaitReason(Enum):
    """Why a request could not be sent to a backend on arrival. The values are part of log lines."""

    NONE = "a backend was available"  # A late response is due to the backend's latency.
    LIMIT = "waited at the running limit"
    LOADING = "the model is being loaded"
    LOADING_ADAPTER = "the adapter is being loaded"
    NOT_PLACED = "no backend holds the model and no load is known"
    ADAPTER_NOT_PLACED = "no backend holds the adapter and no load is known"
    COOLING_DOWN = "the backends that hold it are cooling down after failures"
    NO_BACKEND = "no backend of the service is registered"


def wait_reason_of(model_key: ModelKey, backends: Iterable[RegisteredBackend], is_available: bool) -> WaitReason:
    """Determine why a request has to wait.

    Args:
        model_key: Requested model.
        backends: Registered backends of the service.
        is_available: Whether a backend that holds the model can be used now.
    """
    if is_available:
        return WaitReason.NONE
    backends = [backend for backend in backends if not backend.draining and not backend.silent]
    if not backends:
        return WaitReason.NO_BACKEND
    if any(backend.has_model(model_key) for backend in backends):
        return WaitReason.COOLING_DOWN
    has_base_model = any(model_key.model in backend.models for backend in backends)
    loading = {load for backend in backends for load in backend.loads}
    if model_key.adapter and has_base_model:
        return WaitReason.LOADING_ADAPTER if (model_key.model, model_key.adapter) in loading else WaitReason.ADAPTER_NOT_PLACED
    return WaitReason.LOADING if (model_key.model, "") in loading else WaitReason.NOT_PLACED
