"""Why a request was late or not served: what kept it from a stub when it arrived. Pure; for logs and for who reads them."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from mulleinhatch.data_plane.snapshot import KnownStub, ModelName


class Delay(Enum):
    """What stood between a request and a stub at its arrival."""

    NONE = "a stub could take it"  # what made it late lies at the stub
    LIMIT = "held at the running limit"
    LOADING = "its model is being loaded"
    LOADING_ADAPTER = "its adapter is being loaded"
    UNORDERED = "its model stands nowhere and no load is known"
    UNORDERED_ADAPTER = "its adapter stands nowhere and no load is known"
    RESTING = "the stubs that hold it are left out after failures"
    UNKNOWN_STUBS = "no stub of the service is known"


def delay_of(name: ModelName, stubs: Iterable[KnownStub], usable: bool) -> Delay:
    """The delay of a request for `name`; `usable` tells whether a stub that holds it may be asked now."""
    stubs = [stub for stub in stubs if not stub.draining and not stub.silent]
    if usable:
        return Delay.NONE
    if not stubs:
        return Delay.UNKNOWN_STUBS
    if any(stub.holds(name) for stub in stubs):
        return Delay.RESTING
    with_model = any(name.model in stub.models for stub in stubs)
    under_way = {pair for stub in stubs for pair in stub.loads}
    if name.adapter and with_model:
        return Delay.LOADING_ADAPTER if (name.model, name.adapter) in under_way else Delay.UNORDERED_ADAPTER
    return Delay.LOADING if (name.model, "") in under_way else Delay.UNORDERED
