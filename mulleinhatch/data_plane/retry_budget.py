"""This data plane's part of each service's retry budget. Pure.

The rule counts all data planes together over a sliding window: retries stay within `ratio` x the requests + `slack`. Each
data plane spends at most its part of the slack and the ratio of its own requests, so that the sum stays within the rule
whatever the others do.
"""

from __future__ import annotations

from collections import deque

RATIO_FRACTION = 0.8  # of the ratio: the rule's window slides, and counts requests elsewhere than here
SLACK_FRACTION = 0.6  # of the slack, divided by the data planes


class RetryBudget:
    """The retry budget of each service.

    >>> budget = RetryBudget(0.2, 10.0, 10.0)
    >>> [budget.try_spend("s", 1.0, 2) for _ in range(4)], budget.try_spend("s", 12.0, 2)
    ([True, True, True, False], True)

    Args:
        ratio: Retries a request that the rule allows to all data planes.
        slack: Further retries a window that the rule allows to all data planes together.
        window_s: Length of the sliding window.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio, self._slack, self._window_s = ratio * RATIO_FRACTION, slack * SLACK_FRACTION, window_s
        self._requests: dict[str, deque[float]] = {}  # times, by service
        self._retries: dict[str, deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request that is sent to a backend for the first time."""
        self._requests.setdefault(service, deque()).append(now)

    def try_spend(self, service: str, now: float, data_plane_count: int) -> bool:
        """Count one more retry if the budget allows it.

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
