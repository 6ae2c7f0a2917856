"""Sums over a sliding time window, in a ring of fixed-width buckets."""

from __future__ import annotations

# Default window of 2.5 s: long compared with a run, short compared with a slowdown.
BUCKET_S, BUCKET_COUNT = 0.25, 10


class SlidingWindow:
    """The sum of amounts added within the last `width_s` x `count` seconds, including the current bucket.

    >>> window = SlidingWindow(width_s=1.0, count=2)
    >>> window.add(0.5, 3.0); window.add(1.5, 4.0); window.total(1.9), window.total(2.1), window.total(9.0)
    (7.0, 4.0, 0.0)

    Args:
        width_s: Width of a bucket in seconds.
        count: Number of buckets.
    """

    def __init__(self, width_s: float = BUCKET_S, count: int = BUCKET_COUNT) -> None:
        self._width_s = width_s
        self._buckets = [0.0] * count
        self._newest = 0  # number of the newest bucket since time 0

    def add(self, now: float, amount: float) -> None:
        """Add an amount; `now` must not decrease between calls."""
        self._advance(now)
        self._buckets[self._newest % len(self._buckets)] += amount

    def total(self, now: float) -> float:
        """Return the sum at time `now`."""
        self._advance(now)
        return sum(self._buckets)

    def _advance(self, now: float) -> None:
        """Clear the buckets that have left the window."""
        newest = int(now / self._width_s)
        if newest > self._newest:
            for stale in range(max(self._newest + 1, newest - len(self._buckets) + 1), newest + 1):
                self._buckets[stale % len(self._buckets)] = 0.0
            self._newest = newest
