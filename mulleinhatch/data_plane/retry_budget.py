"""This instance's part of each service's retry budget. Pure.

The rule counts all instances together over a sliding window: repeats stay within `ratio` x the requests + `slack`.
Each instance
spends at most its part of the slack and the ratio of its own requests, so that the sum stays within whatever the others do.
"""

from __future__ import annotations

from collections import deque

RATIO_FRACTION = 0.8  # of the ratio: windows slide, and requests are counted elsewhere than here
SLACK_FRACTION = 0.6  # of the slack, divided by the instances


class RetryBudget:
    """
    >>> budget = RetryBudget(0.2, 10.0, 10.0)
    >>> [budget.take("s", 1.0, 2) for _ in range(4)], budget.take("s", 12.0, 2)
    ([True, True, True, False], True)
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio, self._slack, self._window = ratio * RATIO_FRACTION, slack * SLACK_FRACTION, window_s
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def request(self, service: str, now: float) -> None:
        """A client's request was sent to a backend for the first time."""
        self._requests.setdefault(service, deque()).append(now)

    def take(self, service: str, now: float, instances: int) -> bool:
        """Whether one more repeat may be sent now; it is counted if so."""
        allowed = self._slack / max(1, instances) + self._ratio * self._recent(self._requests, service, now)
        if self._recent(self._repeats, service, now) + 1 > allowed:
            return False
        self._repeats.setdefault(service, deque()).append(now)
        return True

    def _recent(self, times_of: dict[str, deque[float]], service: str, now: float) -> int:
        times = times_of.get(service)
        if not times:
            return 0
        while times and times[0] <= now - self._window:
            times.popleft()
        return len(times)
