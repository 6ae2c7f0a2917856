"""This data plane's share of each service's retry budget. Pure.

The budget applies to all data planes together over a sliding window: retries may not exceed `ratio` x requests + `slack`. Each
data plane spends at most its share of the slack plus the ratio of its own requests, so that the total stays within the budget
without coordination.
"""

from __future__ import annotations

from collections import deque

RATIO_FRACTION = 0.8  # Fraction of the ratio that is used, because the window slides and requests are counted elsewhere.
SLACK_FRACTION = 0.6  # Fraction of the slack that is used, divided among the data planes.


class RetryBudget:
    """The retry budget of each service.

    >>> budget = RetryBudget(0.2, 10.0, 10.0)
    >>> [budget.try_spend("s", 1.0, 2) for _ in range(4)], budget.try_spend("s", 12.0, 2)
    ([True, True, True, False], True)

    Args:
        ratio: Retries allowed per request, for all data planes together.
        slack: Additional retries allowed per window, for all data planes together.
        window_s: Length of the sliding window.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio, self._slack, self._window_s = ratio * RATIO_FRACTION, slack * SLACK_FRACTION, window_s
        self._requests: dict[str, deque[float]] = {}  # Times by service.
        self._retries: dict[str, deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count the first send of a request to a backend."""
        self._requests.setdefault(service, deque()).append(now)

    def try_spend(self, service: str, now: float, data_plane_count: int) -> bool:
        """Count a retry if the budget allows it.

        Args:
            service: Service that the request is for.
            now: Loop time.
            data_plane_count: Number of data planes that share the budget.

        Returns:
            Whether the retry may be sent.
        """
        allowed = self._slack / max(1, data_plane_count) + self._ratio * self._count_recent(self._requests, service, now)
        if self._count_recent(self._retries, service, now) + 1 > allowed:
            return False
        self._retries.setdefault(service, deque()).append(now)
        return True

    def _count_recent(self, times_by_service: dict[str, deque[float]], service: str, now: float) -> int:
        times = times_by_service.get(service)
        if not times:
            return 0
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return len(times)
