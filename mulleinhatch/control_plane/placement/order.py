"""Orders to backends, and the state of an order in flight. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mulleinhatch.control_plane.placement.backend_report import BackendReport

ORDER_TIMEOUT_S = 0.8  # for the response to an order
REPORT_LAG_S = 0.35  # a report may show a state of the backend that is this old
ORDER_OVERDUE_S = 6.0  # an accepted order whose revision does not appear counts as not executed this long after its due time
LOST_RESPONSE_MARGIN_S = 1.0  # added to timeout and report lag, before an order without a response counts as not accepted


class Operation(Enum):
    """What an order does; the value is its name in the backend's API."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True)
class Order:
    """One order to one backend.

    Attributes:
        backend_id: The backend's id.
        operation: Load or unload.
        model: The model, or the adapter's base model.
        adapter: The adapter, or "" for the model itself.
        from_store: Whether the load reads the shared weight store, whose load rate is limited.
        expected_s: The expected duration in seconds.
        reason: Why the order was issued; shown to operators.
        reserved_for: The model that an unload frees memory for.
        follow_up: The load to send right after this unload; None unless the unload frees enough memory for it.
    """

    backend_id: str
    operation: Operation
    model: str
    adapter: str = ""
    from_store: bool = False
    expected_s: float = 0.0
    reason: str = ""
    reserved_for: str = ""
    follow_up: Order | None = None


@dataclass
class OrderInFlight:
    """An order that a backend is executing or may be executing.

    Times are monotonic seconds.

    Attributes:
        order: The order.
        started_at: When it was issued.
        expected_at: When it should be complete.
        revision: The number of orders that the backend had accepted before this one.
        is_response_lost: Whether no response arrived, so that it is unknown whether the backend accepted the order.
        is_follow_up_sending: Whether the load that follows this unload is being sent.
        is_assumed_done: Whether the adapter is published as loaded although no report has shown it yet.
    """

    order: Order
    started_at: float
    expected_at: float
    revision: int
    is_response_lost: bool = False
    is_follow_up_sending: bool = False
    is_assumed_done: bool = False

    def is_completed_by(self, report: BackendReport, polled_at: float) -> bool:
        """Return whether a report without a running order shows the state after this order has completed or failed.

        Args:
            report: A report that shows no running order.
            polled_at: When the report was requested.
        """
        if report.revision > self.revision:
            return True
        waited_s = polled_at - self.started_at
        if self.is_response_lost:
            return waited_s > REPORT_LAG_S + ORDER_TIMEOUT_S + LOST_RESPONSE_MARGIN_S
        return waited_s > ORDER_OVERDUE_S + self.expected_at - self.started_at
