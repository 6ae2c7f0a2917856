"""Orders to backends: what one says, and one that a backend carries out. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


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
    reason: str = ""
    reserved_for: str = ""  # the model for which an unload makes room
    follow_up: Order | None = None  # its load, where this unload makes room enough


@dataclass
class OrderInFlight:
    """An order that a backend carries out, or may."""

    order: Order
    started_at: float
    expected_at: float
    revision: int  # the backend's count of orders before it
    is_response_lost: bool = False
    is_follow_up_sending: bool = False  # the load that needs the room is being sent
    is_assumed_done: bool = False  # an adapter that arrives within milliseconds: told as present before a report shows it
