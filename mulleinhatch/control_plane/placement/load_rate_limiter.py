"""How many loads from the weight store may still begin: a sliding window and a steady pace. Pure."""

from __future__ import annotations

from collections import deque


class LoadRateLimiter:
    """
    >>> limiter = LoadRateLimiter(5.0); limiter.configure(2.0)
    >>> for _ in range(9): limiter.record(0.0)
    >>> limiter.available(0.1), limiter.available(5.1)
    (1, 10)
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._loads_per_s = 1.0
        self._started_at: deque[float] = deque()

    def configure(self, loads_per_s: float) -> None:
        self._loads_per_s = loads_per_s

    @property
    def _limit(self) -> int:
        return max(1, int(self._loads_per_s * self._window_s))

    def available(self, now: float) -> int:
        recent = [started_at for started_at in self._started_at if started_at > now - self._window_s]
        self._started_at = deque(recent)
        return self._limit - len(recent)

    def record(self, now: float) -> None:
        """A load from the store began, by whose order ever."""
        self._started_at.append(now)
