"""The most active tenants in bounded memory: a Space-Saving sketch with exponential decay.

A plain dict by tenant grows with each name that clients invent. The sketch holds a fixed number of names, and a tenant with
more than `total / capacity` requests is always among them. Each count has an error bound: the part that may belong to others.

Source: Metwally, Agrawal, El Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data Streams" (2005).
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

DECAY_INTERVAL_S = 1.0
DECAY = 0.7  # factor applied to each count per interval, so that rates cover about 3 s
MAX_DECAYED_SPAN_S = 3.3  # once the span exceeds this and no counts are left, further decay changes nothing
MIN_COUNT = 0.05  # names whose count decays below this are dropped


class HeavyHitter(NamedTuple):
    """A tenant with its rate."""

    name: str
    rate: float  # upper bound in requests per second
    error: float  # upper bound of the part of the rate that may belong to others


class HeavyHitters:
    """Counts by name, for at most `capacity` names.

    >>> hitters = HeavyHitters(capacity=3)
    >>> for turn in range(40):
    ...     for name in ("a", "a", "b", f"passing {turn}"):
    ...         hitters.add(0.1 * turn, name)
    >>> [hitter.name for hitter in hitters.top(4.0, 2)], len(hitters.counts)
    (['a', 'b'], 3)
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.counts: dict[str, list[float]] = {}  # by name: the count and its error bound
        self.queue: list[tuple[float, str]] = []  # a heap of counts as of their last comparison
        self.decayed_at: float | None = None
        self.span_s = 0.0  # time that the counts cover, with the same decay

    def add(self, now: float, name: str, count: float = 1.0) -> None:
        """Count requests of a tenant."""
        self._decay(now)
        entry = self.counts.get(name)
        if entry is not None:
            entry[0] += count
        elif len(self.counts) < self.capacity:
            self.counts[name] = [count, 0.0]
            heapq.heappush(self.queue, (count, name))
        else:
            # The new name replaces the least active one and inherits its count, so that no count is ever too low.
            floor, least = self.queue[0]
            while self.counts[least][0] > floor:
                heapq.heapreplace(self.queue, (self.counts[least][0], least))
                floor, least = self.queue[0]
            del self.counts[least]
            self.counts[name] = [floor + count, floor]
            heapq.heapreplace(self.queue, (floor + count, name))

    def _decay(self, now: float) -> None:
        if self.decayed_at is None:
            self.decayed_at = now
        while now - self.decayed_at >= DECAY_INTERVAL_S:
            self.decayed_at += DECAY_INTERVAL_S
            if self.span_s > MAX_DECAYED_SPAN_S and not self.counts:
                self.decayed_at = now
                break
            self.span_s = DECAY * (self.span_s + DECAY_INTERVAL_S)
            self.counts = {
                name: [DECAY * count, DECAY * error]
                for name, (count, error) in self.counts.items()
                if DECAY * count >= MIN_COUNT
            }
            self.queue = sorted((count, name) for name, (count, _) in self.counts.items())

    def top(self, now: float, limit: int) -> list[HeavyHitter]:
        """Return the most active names, highest rate first, except those whose error bound exceeds half of the count."""
        self._decay(now)
        span_s = self.span_s + max(0.05, now - (self.decayed_at if self.decayed_at is not None else now))
        hitters = [
            HeavyHitter(name, count / span_s, error / span_s)
            for name, (count, error) in self.counts.items()
            if error <= 0.5 * count
        ]
        return sorted(hitters, key=lambda hitter: (-hitter.rate, hitter.name))[:limit]
