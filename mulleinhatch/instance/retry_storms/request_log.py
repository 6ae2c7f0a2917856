"""The most frequent callers and the recently seen requests, both in bounded memory.

Source: Metwally, Agrawal, El Abbadi, "Efficient computation of frequent and top-k elements in data streams" (2005), the
space-saving sketch in `HeavyCallers`: a caller without a counter takes over the smallest one and inherits its count as error.
"""

from __future__ import annotations

from collections.abc import Hashable
from hashlib import blake2b
from heapq import heapify, heappop, heappush, nlargest

from mulleinhatch.instance.retry_storms.expiring_items import ExpiringItems


class HeavyCallers:
    """Counts of the most frequent callers; any caller above 1/capacity of the total is among them.

    Args:
        capacity: Number of counters.

    >>> callers = HeavyCallers(2)
    >>> for caller in [7, 7, 7, 8, 9]:
    ...     callers.add(caller)
    >>> callers.most_frequent(1), callers.upper_bound(9), callers.lower_bound(9), len(callers)
    ([(7, 3)], 2, 1, 2)
    """

    def __init__(self, capacity: int) -> None:
        if capacity < 1:
            raise ValueError("capacity must be at least 1")
        self.capacity, self.total = capacity, 0
        self.counts: dict[Hashable, int] = {}
        self.errors: dict[Hashable, int] = {}
        self.order: list[tuple[int, int, Hashable]] = []  # heap with the counts when pushed; corrected on eviction
        self.sequence = 0

    def add(self, caller: Hashable, times: int = 1) -> None:
        """Count requests of a caller."""
        self.total += times
        counts = self.counts
        if caller in counts:
            counts[caller] += times
            return
        least = self._evict() if len(counts) >= self.capacity else 0
        counts[caller] = least + times
        if least:
            self.errors[caller] = least
        self._push(caller)

    def _push(self, caller: Hashable) -> None:
        self.sequence += 1
        heappush(self.order, (self.counts[caller], self.sequence, caller))

    def _evict(self) -> int:
        """Remove the smallest counter and return its count.

        A heap entry holds the count at the time it was pushed. Only an entry that is still current is the smallest; others are
        pushed back with their current count.
        """
        while True:
            pushed_count, _, caller = heappop(self.order)
            count = self.counts[caller]
            if count == pushed_count:
                del self.counts[caller]
                self.errors.pop(caller, None)
                return count
            self._push(caller)

    def halve(self) -> None:
        """Halve all counts, so that old requests have less weight; counters that reach 0 are removed."""
        self.counts = {caller: count // 2 for caller, count in self.counts.items() if count > 1}
        self.errors = {caller: error // 2 for caller, error in self.errors.items() if error > 1 and caller in self.counts}
        self.total //= 2
        self.order = [(count, sequence, caller) for sequence, (caller, count) in enumerate(self.counts.items())]
        self.sequence = len(self.order)
        heapify(self.order)

    def upper_bound(self, caller: Hashable) -> int:
        """Return an upper bound of the requests of a caller that has a counter, 0 for others."""
        return self.counts.get(caller, 0)

    def lower_bound(self, caller: Hashable) -> int:
        """Return a lower bound of the requests of a caller."""
        return self.counts.get(caller, 0) - self.errors.get(caller, 0)

    def most_frequent(self, count: int) -> list[tuple[Hashable, int]]:
        """Return the `count` most frequent callers and their counts, largest first."""
        return nlargest(count, self.counts.items(), key=lambda item: item[1])

    def __len__(self) -> int:
        return len(self.counts)


def fingerprint(caller: int, request_type: str, tenant: str, key: str, body: bytes) -> bytes:
    """Return a 16-byte hash that is equal for all attempts of a request, marked as a retry or not."""
    return blake2b(f"{caller} {request_type} {tenant} {key} ".encode() + body, digest_size=16).digest()


class ExpiringSet(ExpiringItems[dict[Hashable, None]]):
    """Items seen during the last one to two spans, in two generations.

    Args:
        span: Seconds after which a new generation begins.
        capacity: Maximum number of items of a generation; a full one is replaced early.

    >>> recent = ExpiringSet(span=5.0, capacity=2)
    >>> recent.add(0.0, "a"); recent.contains(4.0, "a"), recent.contains(6.0, "a"), recent.contains(11.0, "a")
    (True, True, False)
    >>> recent.add(11.0, "b"); recent.add(11.0, "c"); recent.add(11.0, "d"); len(recent), recent.contains(11.0, "b")
    (3, True)
    """

    def __init__(self, span: float, capacity: int) -> None:
        super().__init__(dict, span, capacity)

    def add(self, now: float, item: Hashable) -> None:
        """Add an item at the time `now`."""
        self._rotate(now)
        if len(self.current) >= self.capacity and item not in self.current:
            self._begin_generation(now)
        self.current[item] = None
