"""What arrived lately and how much of it was rejected; whether the whole fleet is full."""

from __future__ import annotations

from mulleinhatch.admission.request_table import RequestTable
from mulleinhatch.sliding_window import SlidingWindow

# Fraction of retries among arrivals from which the whole fleet counts as full: callers come back because others reject, too.
FLEET_FULL_RETRY_FRACTION = 0.25

# Free fraction of what the peers can serve under which the fleet counts as full, where the host tells it.
FLEET_FULL_FREE_FRACTION = 0.05

# Fraction of rejections among arrivals above which a full connection table turns callers away at less cost than rejections.
LOW_REJECTION_FRACTION = 0.1


class TrafficMeter:
    """Counts arrivals, retries and rejections of the last 2.5 seconds.

    Attributes:
        peer_free_fraction: Free fraction of what the peers can serve; below 0 where it is not known.
    """

    def __init__(self, table: RequestTable) -> None:
        self._table = table
        self._arrivals = SlidingWindow()
        self._retries = SlidingWindow()
        self._rejections = SlidingWindow()
        self.peer_free_fraction = -1.0

    def record_arrival(self, now: float, is_retry: bool) -> None:
        """Count a request that arrived."""
        self._arrivals.add(now, 1.0)
        self._retries.add(now, float(is_retry))

    def record_rejection(self) -> None:
        """Count a request that the controller rejected."""
        self._rejections.add(self._table.now, 1.0)

    def record_early_rejections(self, now: float, count: int) -> None:
        """Count retries that the host rejected before the controller heard of them."""
        for window in (self._arrivals, self._retries, self._rejections):
            window.add(now, float(count))

    def is_fleet_full(self) -> bool:
        """Return whether callers would find no capacity elsewhere either."""
        if self.peer_free_fraction >= 0.0:
            return self.peer_free_fraction < FLEET_FULL_FREE_FRACTION
        now = self._table.now
        return self._retries.total(now) > FLEET_FULL_RETRY_FRACTION * self._arrivals.total(now)

    def has_few_rejections(self, now: float) -> bool:
        """Return whether few of the arrivals are rejected."""
        return self._rejections.total(now) <= LOW_REJECTION_FRACTION * self._arrivals.total(now)
