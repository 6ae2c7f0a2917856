"""The placement leader's state of one backend. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from mulleinhatch.control_plane.placement.backend_report import BackendReport
from mulleinhatch.control_plane.placement.backend_view import BackendView, HostedModel
from mulleinhatch.control_plane.placement.order import Operation, OrderInFlight
from mulleinhatch.messages.cluster import Backend

LOADED_LONG_AGO = -1e9  # load time of models that the first report of a term shows: they may be evicted at once


@dataclass
class BackendState:
    """The leader's state of one backend; each leadership term starts with an empty one.

    Times are monotonic seconds.

    Attributes:
        models: Models by name, from the latest report.
        revision: The number of orders that the backend has accepted, from the latest report.
        is_known: Whether a report has arrived in this term and no order was rejected since then.
        in_flight: The order that the backend is executing or may be executing.
        next_poll_at: The earliest time of the next poll.
        is_polling: Whether a poll is running.
        has_foreign_order: Whether the backend is executing an order that this leader did not issue.
        poll_failures: The number of consecutive failed polls.
        reserved_for: The model that memory was freed for, or "".
        reserved_until: When the reservation expires.
    """

    models: dict[str, HostedModel] = field(default_factory=dict)
    revision: int = 0
    is_known: bool = False
    in_flight: OrderInFlight | None = None
    next_poll_at: float = 0.0
    is_polling: bool = False
    has_foreign_order: bool = False
    poll_failures: int = 0
    reserved_for: str = ""
    reserved_until: float = 0.0

    def is_idle(self) -> bool:
        """Return whether the backend can take an order."""
        return self.is_known and self.in_flight is None and not self.has_foreign_order

    def needs_report(self, now: float) -> bool:
        """Return whether to poll: the state is unknown, a foreign order is running, or an order should be complete."""
        is_order_due = self.in_flight is not None and now >= self.in_flight.expected_at
        return not self.is_known or self.has_foreign_order or is_order_due

    def apply_report(self, report: BackendReport, now: float) -> None:
        """Update the state from a report; no order of this leader may be in flight.

        Args:
            report: The backend's report.
            now: The load time of models that are new in this report, unless it is the first one.
        """
        loaded_at = now if self.is_known else LOADED_LONG_AGO
        self.has_foreign_order = report.is_busy
        self.is_known = True
        self.revision = report.revision
        self.models = {
            name: HostedModel(
                adapters, self.models[name].loaded_at if name in self.models else loaded_at, report.versions.get(name, 0)
            )
            for name, adapters in report.models.items()
        }

    def to_view(self, backend: Backend, disk_models: set[str], now: float) -> BackendView:
        """Return the backend as the planner sees it.

        Args:
            backend: The backend's registry record.
            disk_models: Models on the backend's disk.
            now: The current time, which decides whether a reservation has expired.
        """
        loading: set[tuple[str, str]] = set()
        unloading: set[tuple[str, str]] = set()
        if self.in_flight is not None:
            order = self.in_flight.order
            (loading if order.operation is Operation.LOAD else unloading).add((order.model, order.adapter))
        return BackendView(
            backend.id,
            backend.address,
            self.models,
            disk_models,
            self.is_idle(),
            not backend.draining and not backend.remaining_ms,
            loading,
            unloading,
            self.reserved_for if now < self.reserved_until else "",
        )
