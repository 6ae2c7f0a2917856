"""Why a request was late or not served: what kept it from a backend when it arrived. Pure; for logs and for who reads them."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from mulleinhatch.data_plane.registry_snapshot import ModelName, RegisteredBackend


class WaitReason(Enum):
    """What stood between a request and a backend at its arrival."""

    NONE = "a stub could take it"  # what made it late lies at the backend
    LIMIT = "held at the running limit"
    LOADING = "its model is being loaded"
    LOADING_ADAPTER = "its adapter is being loaded"
    NOT_PLACED = "its model stands nowhere and no load is known"
    ADAPTER_NOT_PLACED = "its adapter stands nowhere and no load is known"
    COOLING_DOWN = "the stubs that hold it are left out after failures"
    UNKNOWN_BACKENDS = "no stub of the service is known"


def wait_reason_of(name: ModelName, backends: Iterable[RegisteredBackend], usable: bool) -> WaitReason:
    """The delay of a request for `name`; `usable` tells whether a backend that holds it may be asked now."""
    backends = [backend for backend in backends if not backend.draining and not backend.silent]
    if usable:
        return WaitReason.NONE
    if not backends:
        return WaitReason.UNKNOWN_BACKENDS
    if any(backend.has_model(name) for backend in backends):
        return WaitReason.COOLING_DOWN
    with_model = any(name.model in backend.models for backend in backends)
    under_way = {pair for backend in backends for pair in backend.loads}
    if name.adapter and with_model:
        return WaitReason.LOADING_ADAPTER if (name.model, name.adapter) in under_way else WaitReason.ADAPTER_NOT_PLACED
    return WaitReason.LOADING if (name.model, "") in under_way else WaitReason.NOT_PLACED
