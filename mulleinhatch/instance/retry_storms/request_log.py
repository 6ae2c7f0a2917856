"""Who asks how often, and what was asked before, both in bounded memory.

`HeavyCallers` is the space-saving sketch (Metwally, Agrawal, El Abbadi: "Efficient computation of frequent and top-k
elements in data streams", 2005): a caller without a count takes over the smallest one, and inherits it as its error.
"""

from __future__ import annotations

from collections.abc import Hashable
from hashlib import blake2b
from heapq import heapify, heappop, heappush, nlargest


class HeavyCallers:
    """Counts of the callers that ask most, halved by `fade`; any caller above 1/room of the total is among them.

    >>> callers = HeavyCallers(2)
    >>> for caller in [7, 7, 7, 8, 9]:
    ...     callers.add(caller)
    >>> callers.most(1), callers.at_most(9), callers.surely(9), len(callers)
    ([(7, 3)], 2, 1, 2)
    """

    def __init__(self, room: int) -> None:
        if room < 1:
            raise ValueError("room: at least one caller must fit")
        self.room, self.total = room, 0
        self.counts: dict[Hashable, int] = {}
        self.errors: dict[Hashable, int] = {}
        self.order: list[tuple[int, int, Hashable]] = []  # counts as they were: the least is put right at need
        self.turn = 0

    def add(self, caller: Hashable, times: int = 1) -> None:
        self.total += times
        counts = self.counts
        if caller in counts:
            counts[caller] += times
            return
        least = self._evict() if len(counts) >= self.room else 0
        counts[caller] = least + times
        if least:
            self.errors[caller] = least
        self._push(caller)

    def _push(self, caller: Hashable) -> None:
        self.turn += 1
        heappush(self.order, (self.counts[caller], self.turn, caller))

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

    def fade(self) -> None:
        """Halves all: who was loud a while ago counts for less. What falls to nothing is dropped."""
        self.counts = {caller: count // 2 for caller, count in self.counts.items() if count > 1}
        self.errors = {caller: error // 2 for caller, error in self.errors.items() if error > 1 and caller in self.counts}
        self.total //= 2
        self.order = [(count, turn, caller) for turn, (caller, count) in enumerate(self.counts.items())]
        self.turn = len(self.order)
        heapify(self.order)

    def at_most(self, caller: Hashable) -> int:
        return self.counts.get(caller, 0)

    def surely(self, caller: Hashable) -> int:
        return self.counts.get(caller, 0) - self.errors.get(caller, 0)

    def most(self, count: int) -> list[tuple[Hashable, int]]:
        return nlargest(count, self.counts.items(), key=lambda item: item[1])

    def __len__(self) -> int:
        return len(self.counts)


def fingerprint(caller: int, op_type: str, tenant: str, key: str, body: bytes) -> bytes:
    """What two tries of one op have in common where nothing marks them: 16 bytes."""
    return blake2b(f"{caller} {op_type} {tenant} {key} ".encode() + body, digest_size=16).digest()


class Lately:
    """What was seen in the last one to two spans, `room` entries in each of two generations at most.

    >>> lately = Lately(span=5.0, room=2)
    >>> lately.add(0.0, "a"); lately.seen(4.0, "a"), lately.seen(6.0, "a"), lately.seen(11.0, "a")
    (True, True, False)
    >>> lately.add(11.0, "b"); lately.add(11.0, "c"); lately.add(11.0, "d"); len(lately), lately.seen(11.0, "b")
    (3, True)
    """

    def __init__(self, span: float, room: int) -> None:
        self.span, self.room, self.turned = span, room, 0.0
        self.new: dict[Hashable, None] = {}
        self.old: dict[Hashable, None] = {}

    def _turn(self, now: float) -> None:
        if now - self.turned >= self.span:
            self.old = self.new if now - self.turned < 2.0 * self.span else {}
            self.new, self.turned = {}, now

    def add(self, now: float, what: Hashable) -> None:
        self._turn(now)
        if len(self.new) >= self.room and what not in self.new:
            self.old, self.new, self.turned = self.new, {}, now
        self.new[what] = None

    def seen(self, now: float, what: Hashable) -> bool:
        self._turn(now)
        return what in self.new or what in self.old

    def __len__(self) -> int:
        return len(self.new) + len(self.old)
