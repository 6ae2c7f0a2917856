"""What was measured over time, in fixed buckets that are used again: below the decisions and the storm books."""

from __future__ import annotations

BUCKET_S, BUCKET_COUNT = 0.25, 10  # what "recent" means: long against a run, short against a slowdown


class SlidingWindow:
    """What was added lately, in fixed buckets of time that are used again.

    >>> ring = SlidingWindow(width=1.0, count=2)
    >>> ring.add(0.5, 3.0); ring.add(1.5, 4.0); ring.total(1.9), ring.total(2.1), ring.total(9.0)
    (7.0, 4.0, 0.0)
    """

    def __init__(self, width: float = BUCKET_S, count: int = BUCKET_COUNT) -> None:
        self.width, self.buckets, self.place = width, [0.0] * count, 0

    def _turn(self, now: float) -> None:
        place = int(now / self.width)
        if place > self.place:
            for stale in range(max(self.place + 1, place - len(self.buckets) + 1), place + 1):
                self.buckets[stale % len(self.buckets)] = 0.0
            self.place = place

    def add(self, now: float, amount: float) -> None:
        self._turn(now)
        self.buckets[self.place % len(self.buckets)] += amount

    def total(self, now: float) -> float:
        self._turn(now)
        return sum(self.buckets)
