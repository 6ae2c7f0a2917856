"""Recent arrivals, retries and rejections, and whether the whole fleet is full."""

from __future__ import annotations

from mulleinhatch.admission.request_table import RequestTable
from mulleinhatch.sliding_window import SlidingWindow

# Fraction of retries among arrivals above which the fleet counts as full: clients retry here because other instances reject.
FLEET_FULL_RETRY_FRACTION = 0.25

# Free fraction of the peers' capacity below which the fleet counts as full, where the host reports it.
FLEET_FULL_FREE_FRACTION = 0.05

# Fraction of rejections among arrivals above which refusing connections at a full table is cheaper than rejecting requests.
LOW_REJECTION_FRACTION = 0.1


class TrafficMeter:
    """Counts arrivals, retries and rejections over the last 2.5 seconds.

    Attributes:
        peer_free_fraction: Free fraction of the peers' capacity; below 0 where it is unknown.
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
        """Count retries that the host rejected without passing them to the controller."""
        for window in (self._arrivals, self._retries, self._rejections):
            window.add(now, float(count))

    def is_fleet_full(self) -> bool:
        """Return whether clients would find no capacity elsewhere either."""
        if self.peer_free_fraction >= 0.0:
            return self.peer_free_fraction < FLEET_FULL_FREE_FRACTION
        now = self._table.now
        return self._retries.total(now) > FLEET_FULL_RETRY_FRACTION * self._arrivals.total(now)

    def has_few_rejections(self, now: float) -> bool:
        """Return whether few of the arrivals are rejected."""
        return self._rejections.total(now) <= LOW_REJECTION_FRACTION * self._arrivals.total(now)
