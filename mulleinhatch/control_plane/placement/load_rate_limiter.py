"""Limits the rate of loads from the shared weight store over a sliding window. Pure."""

from __future__ import annotations

from collections import deque


class LoadRateLimiter:
    """Counts the loads that started within the window, whichever node ordered them.

    At least one load in each window is always allowed.

    >>> limiter = LoadRateLimiter(5.0); limiter.configure(2.0)
    >>> for _ in range(9): limiter.record(0.0)
    >>> limiter.available(0.1), limiter.available(5.1)
    (1, 10)

    Args:
        window_s: Length of the window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._loads_per_s = 1.0
        self._started_at: deque[float] = deque()

    def configure(self, loads_per_s: float) -> None:
        """Set the average rate that the window allows."""
        self._loads_per_s = loads_per_s

    @property
    def _limit(self) -> int:
        return max(1, int(self._loads_per_s * self._window_s))

    def available(self, now: float) -> int:
        """Return how many more loads may start now, or a number below one if none may."""
        recent = [started_at for started_at in self._started_at if started_at > now - self._window_s]
        self._started_at = deque(recent)
        return self._limit - len(recent)

    def record(self, now: float) -> None:
        """Count a load that started at the given time."""
        self._started_at.append(now)
