"""What the leader of placement knows of one backend. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from mulleinhatch.control_plane.placement.backend_view import HostedModel
from mulleinhatch.control_plane.placement.order import OrderInFlight


@dataclass
class BackendState:
    """What the holder knows of one backend."""

    models: dict[str, HostedModel] = field(default_factory=dict)
    revision: int = 0
    is_known: bool = False  # a report came since we hold the role
    in_flight: OrderInFlight | None = None
    next_poll_at: float = 0.0
    is_polling: bool = False
    has_foreign_order: bool = False  # it carries out an order that is not ours
    poll_failures: int = 0
    reserved_for: str = ""  # the model for which room was made here
    reserved_until: float = 0.0
