"""What the leader of placement knows of one backend. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from mulleinhatch.control_plane.placement.backend_report import BackendReport
from mulleinhatch.control_plane.placement.backend_view import BackendView, HostedModel
from mulleinhatch.control_plane.placement.order import Operation, OrderInFlight
from mulleinhatch.messages.cluster import Backend

LOADED_LONG_AGO = -1e9  # load time of models that were present before the first report under this leader


@dataclass
class BackendState:
    """What the leader knows of one backend; it starts empty with each term of leadership.

    Times are monotonic seconds.

    Attributes:
        models: Models by name as the latest report showed them.
        revision: The backend's count of orders, according to the latest report.
        is_known: Whether a report arrived under this leader and no order was rejected since.
        in_flight: The order that the backend carries out, or may.
        next_poll_at: The earliest time of the next poll.
        is_polling: Whether a poll is running.
        has_foreign_order: Whether the backend carries out an order that this leader did not issue.
        poll_failures: Failed polls in a row.
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
        """Return whether a report would tell something new: the state is unknown or an order should be complete."""
        is_order_due = self.in_flight is not None and now >= self.in_flight.expected_at
        return not self.is_known or self.has_foreign_order or is_order_due

    def apply_report(self, report: BackendReport, now: float) -> None:
        """Take over what a report shows, when no order of this leader is in flight.

        Args:
            report: The backend's report.
            now: Time at which models that are new count as loaded, unless this is the first report.
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
            disk_models: Models that the backend's disk has.
            now: Time by which a reservation may have expired.
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
