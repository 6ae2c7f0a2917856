"""Items that expire without a timer: two generations, of which the older one is dropped as a whole."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Generation = TypeVar("Generation", bound=dict)  # maps items to what a subclass keeps for each


class ExpiringItems(Generic[Generation]):
    """Items added during the last one to two spans, in two generations.

    Args:
        generation_type: Creates an empty generation.
        span: Seconds after which a new generation begins.
        capacity: Maximum number of items of a generation; a full one is replaced early.
    """

    def __init__(self, generation_type: type[Generation], span: float, capacity: int) -> None:
        self._generation_type = generation_type
        self.span, self.capacity, self.rotated_at = span, capacity, 0.0
        self.current, self.previous = generation_type(), generation_type()

    def _rotate(self, now: float) -> None:
        """Start a new generation if the current one is one span old; drop the current one, too, if it is two spans old."""
        if now - self.rotated_at >= self.span:
            if now - self.rotated_at >= 2.0 * self.span:
                self.current = self._generation_type()
            self._begin_generation(now)

    def _begin_generation(self, now: float) -> None:
        self.previous, self.current, self.rotated_at = self.current, self._generation_type(), now

    def contains(self, now: float, item: Hashable) -> bool:
        """Return whether the item was added recently and not removed."""
        self._rotate(now)
        return item in self.current or item in self.previous

    def __len__(self) -> int:
        return len(self.current) + len(self.previous)
