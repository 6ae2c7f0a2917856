"""Chance from a seed: the same seed draws the same everywhere, so pure modules may use it."""

from __future__ import annotations


class Chance:
    """A linear congruential generator of 64 bits (Knuth's multiplier), of which the high bits are drawn.

    >>> chance, again = Chance(7), Chance(7); [chance.below(10) for _ in range(5)] == [again.below(10) for _ in range(5)]
    True
    >>> 0.0 <= chance.part() < 1.0
    True
    """

    __slots__ = ("state",)

    def __init__(self, seed: int) -> None:
        self.state = seed % 2**64

    def below(self, count: int) -> int:
        return self._next() % count

    def part(self) -> float:
        return self._next() / 2**31

    def _next(self) -> int:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2**64
        return self.state >> 33
