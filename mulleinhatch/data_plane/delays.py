"""Why a request was late or not served: what kept it from a backend when it arrived. Pure; for logs and for who reads them."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from mulleinhatch.data_plane.snapshot import KnownBackend, ModelName


class Delay(Enum):
    """What stood between a request and a backend at its arrival."""

    NONE = "a stub could take it"  # what made it late lies at the backend
    LIMIT = "held at the running limit"
    LOADING = "its model is being loaded"
    LOADING_ADAPTER = "its adapter is being loaded"
    UNORDERED = "its model stands nowhere and no load is known"
    UNORDERED_ADAPTER = "its adapter stands nowhere and no load is known"
    RESTING = "the stubs that hold it are left out after failures"
    UNKNOWN_BACKENDS = "no stub of the service is known"


def delay_of(name: ModelName, backends: Iterable[KnownBackend], usable: bool) -> Delay:
    """The delay of a request for `name`; `usable` tells whether a backend that holds it may be asked now."""
    backends = [backend for backend in backends if not backend.draining and not backend.silent]
    if usable:
        return Delay.NONE
    if not backends:
        return Delay.UNKNOWN_BACKENDS
    if any(backend.holds(name) for backend in backends):
        return Delay.RESTING
    with_model = any(name.model in backend.models for backend in backends)
    under_way = {pair for backend in backends for pair in backend.loads}
    if name.adapter and with_model:
        return Delay.LOADING_ADAPTER if (name.model, name.adapter) in under_way else Delay.UNORDERED_ADAPTER
    return Delay.LOADING if (name.model, "") in under_way else Delay.UNORDERED
