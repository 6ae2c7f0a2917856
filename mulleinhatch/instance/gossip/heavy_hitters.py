"""Who asks most, in bounded room: a Space-Saving sketch (Metwally, Agrawal, El Abbadi 2005) that fades.

A plain dict by tenant grows with every name that callers make up; this holds `room` names, and whoever asks for more than
`total / room` is among them. Each count carries how much of it may be another's.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

FADE_EVERY = 1.0  # seconds
FADE = 0.7  # of each count that is left after it: a rate over some 3 s


class Loud(NamedTuple):
    name: str
    rate: float  # a second, at the most
    over: float  # of which so much may be others'


class Loudest:
    """
    >>> loudest = Loudest(room=3)
    >>> for turn in range(40):
    ...     for name in ("a", "a", "b", f"passing {turn}"):
    ...         loudest.add(0.1 * turn, name)
    >>> [loud.name for loud in loudest.most(4.0, 2)], len(loudest.counts)
    (['a', 'b'], 3)
    """

    def __init__(self, room: int) -> None:
        self.room = room
        self.counts: dict[str, list[float]] = {}  # by name: count, of which others'
        self.line: list[tuple[float, str]] = []  # a heap: counts as they stood when it was looked at last
        self.faded_at: float | None = None
        self.weight = 0.0  # seconds that a count covers, faded as they are

    def add(self, now: float, name: str, count: float = 1.0) -> None:
        self._fade(now)
        held = self.counts.get(name)
        if held is not None:
            held[0] += count
        elif len(self.counts) < self.room:
            self.counts[name] = [count, 0.0]
            heapq.heappush(self.line, (count, name))
        else:
            # The least gives its place, and its count: so nobody's is ever told too low.
            floor, least = self.line[0]
            while self.counts[least][0] > floor:
                heapq.heapreplace(self.line, (self.counts[least][0], least))
                floor, least = self.line[0]
            del self.counts[least]
            self.counts[name] = [floor + count, floor]
            heapq.heapreplace(self.line, (floor + count, name))

    def _fade(self, now: float) -> None:
        if self.faded_at is None:
            self.faded_at = now
        while now - self.faded_at >= FADE_EVERY:
            self.faded_at += FADE_EVERY
            if self.weight > 3.3 and not self.counts:
                self.faded_at = now
                break
            self.weight = FADE * (self.weight + FADE_EVERY)
            self.counts = {
                name: [FADE * count, FADE * over] for name, (count, over) in self.counts.items() if FADE * count >= 0.05
            }
            self.line = sorted((count, name) for name, (count, _) in self.counts.items())

    def most(self, now: float, places: int) -> list[Loud]:
        """The loudest first; those of whom most may be others' are left out."""
        self._fade(now)
        span = self.weight + max(0.05, now - (self.faded_at if self.faded_at is not None else now))
        loud = [Loud(name, count / span, over / span) for name, (count, over) in self.counts.items() if over <= 0.5 * count]
        return sorted(loud, key=lambda one: (-one.rate, one.name))[:places]
