"""Who asks how often, and what was asked before, both in bounded memory.

`HeavyCallers` is the space-saving sketch (Metwally, Agrawal, El Abbadi: "Efficient computation of frequent and top-k
elements in data streams", 2005): a caller without a count takes over the smallest one, and inherits it as its error.
"""

from __future__ import annotations

from collections.abc import Hashable
from hashlib import blake2b
from heapq import heapify, heappop, heappush, nlargest


class HeavyCallers:
    """Counts of the callers that ask most, halved by `halve`; any caller above 1/room of the total is among them.

    >>> callers = HeavyCallers(2)
    >>> for caller in [7, 7, 7, 8, 9]:
    ...     callers.add(caller)
    >>> callers.most_frequent(1), callers.at_most(9), callers.at_least(9), len(callers)
    ([(7, 3)], 2, 1, 2)
    """

    def __init__(self, capacity: int) -> None:
        if capacity < 1:
            raise ValueError("room: at least one caller must fit")
        self.capacity, self.total = capacity, 0
        self.counts: dict[Hashable, int] = {}
        self.errors: dict[Hashable, int] = {}
        self.order: list[tuple[int, int, Hashable]] = []  # counts as they were: the least is put right at need
        self.sequence = 0

    def add(self, caller: Hashable, times: int = 1) -> None:
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
        """The least count goes. An entry of the heap holds the count of long ago: only one that is still true
        is the least, the others go back in with what they have now."""
        while True:
            was, _, caller = heappop(self.order)
            count = self.counts[caller]
            if count == was:
                del self.counts[caller]
                self.errors.pop(caller, None)
                return count
            self._push(caller)

    def halve(self) -> None:
        """Halves all: who was loud a while ago counts for less. What falls to nothing is dropped."""
        self.counts = {caller: count // 2 for caller, count in self.counts.items() if count > 1}
        self.errors = {caller: error // 2 for caller, error in self.errors.items() if error > 1 and caller in self.counts}
        self.total //= 2
        self.order = [(count, sequence, caller) for sequence, (caller, count) in enumerate(self.counts.items())]
        self.sequence = len(self.order)
        heapify(self.order)

    def at_most(self, caller: Hashable) -> int:
        return self.counts.get(caller, 0)

    def at_least(self, caller: Hashable) -> int:
        return self.counts.get(caller, 0) - self.errors.get(caller, 0)

    def most_frequent(self, count: int) -> list[tuple[Hashable, int]]:
        return nlargest(count, self.counts.items(), key=lambda item: item[1])

    def __len__(self) -> int:
        return len(self.counts)


def fingerprint(caller: int, request_type: str, tenant: str, key: str, body: bytes) -> bytes:
    """What two tries of one op have in common where nothing marks them: 16 bytes."""
    return blake2b(f"{caller} {request_type} {tenant} {key} ".encode() + body, digest_size=16).digest()


class ExpiringSet:
    """What was seen in the last one to two spans, `capacity` entries in each of two generations at most.

    >>> recent = ExpiringSet(span=5.0, capacity=2)
    >>> recent.add(0.0, "a"); recent.contains(4.0, "a"), recent.contains(6.0, "a"), recent.contains(11.0, "a")
    (True, True, False)
    >>> recent.add(11.0, "b"); recent.add(11.0, "c"); recent.add(11.0, "d"); len(recent), recent.contains(11.0, "b")
    (3, True)
    """

    def __init__(self, span: float, capacity: int) -> None:
        self.span, self.capacity, self.rotated_at = span, capacity, 0.0
        self.current: dict[Hashable, None] = {}
        self.previous: dict[Hashable, None] = {}

    def _rotate(self, now: float) -> None:
        if now - self.rotated_at >= self.span:
            self.previous = self.current if now - self.rotated_at < 2.0 * self.span else {}
            self.current, self.rotated_at = {}, now

    def add(self, now: float, item: Hashable) -> None:
        self._rotate(now)
        if len(self.current) >= self.capacity and item not in self.current:
            self.previous, self.current, self.rotated_at = self.current, {}, now
        self.current[item] = None

    def contains(self, now: float, item: Hashable) -> bool:
        self._rotate(now)
        return item in self.current or item in self.previous

    def __len__(self) -> int:
        return len(self.current) + len(self.previous)
