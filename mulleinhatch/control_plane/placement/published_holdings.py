"""Publishes the models and the orders in flight at each backend to data planes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from mulleinhatch.control_plane.placement.backend_state import BackendState
from mulleinhatch.control_plane.placement.interfaces import HoldingsTarget
from mulleinhatch.control_plane.placement.leadership import PlacementLeadership
from mulleinhatch.control_plane.placement.order import Operation
from mulleinhatch.messages.cluster import LoadedModel, PendingLoad

PUBLISH_DELAY_MS = 150  # from the completion of an order until data planes learn of it through report, heartbeat and poll
REVISION_TOKEN_SHIFT_BITS = 32  # a revision has the fencing token above these bits and a publication counter below


@dataclass
class Holdings:
    """The models at one backend, and the loads and unloads in flight there."""

    models: list[LoadedModel] = field(default_factory=list)
    loads: list[PendingLoad] = field(default_factory=list)
    unloads: list[PendingLoad] = field(default_factory=list)


def current_holdings(state: BackendState, now: float) -> Holdings:
    """Return the holdings that data planes should assume for a backend.

    An adapter whose load is assumed to be complete counts as loaded before a report confirms it.

    Args:
        state: The leader's state of the backend.
        now: Monotonic time in seconds.
    """
    models, holdings = dict(state.models), Holdings()
    if state.in_flight is not None:
        order = state.in_flight.order
        if state.in_flight.is_assumed_done and order.model in models:
            hosted = models[order.model]
            models[order.model] = replace(hosted, adapters=hosted.adapters | {order.adapter})
        elif order.operation is Operation.LOAD:
            remaining_s = max(0.0, state.in_flight.expected_at - now)
            holdings.loads.append(
                PendingLoad(
                    model=order.model,
                    adapter=order.adapter,
                    remaining_ms=int(1000 * remaining_s) + PUBLISH_DELAY_MS,
                    from_store=order.from_store,
                )
            )
        else:
            holdings.unloads.append(PendingLoad(model=order.model, adapter=order.adapter))
    holdings.models = [
        LoadedModel(name=name, version=hosted.version, adapters=sorted(hosted.adapters))
        for name, hosted in sorted(models.items())
    ]
    return holdings


class HoldingsPublisher:
    """Writes holdings to the registry, from which heartbeats and polls carry them to all data planes.

    Args:
        target: The control-plane node.
        clock: Monotonic time in seconds.
        leadership: Source of the fencing token that orders publications of successive leaders.
    """

    def __init__(self, target: HoldingsTarget, clock: Callable[[], float], leadership: PlacementLeadership) -> None:
        self._target, self._clock, self._leadership = target, clock, leadership
        self._publications = 0

    def reset(self) -> None:
        """Restart the publication counter for a new fencing token."""
        self._publications = 0

    def publish(self, backend_id: str, state: BackendState) -> None:
        """Publish the holdings of a backend, and request a heartbeat if any field that data planes use has changed."""
        self._publications += 1
        holdings = current_holdings(state, self._clock())
        revision = (self._leadership.token << REVISION_TOKEN_SHIFT_BITS) + self._publications
        if self._target.registry.record_holdings(backend_id, holdings.models, holdings.loads, holdings.unloads, revision):
            self._target.request_heartbeat()
