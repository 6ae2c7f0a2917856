"""Immutable counts of values, for what has to be known of all items: which values occur, and which is the largest."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

from immutables import Map

Value = TypeVar("Value", bound=Hashable)


class ValueCounts(Generic[Value]):
    """How often each value occurs.

    >>> counts = ValueCounts().adjusted(added=[3, 5, 5], removed=[])
    >>> sorted(counts.adjusted(added=[], removed=[3, 5]))
    [5]
    """

    __slots__ = ("_counts",)

    def __init__(self, counts: Map[Value, int] = Map()) -> None:  # noqa: B008 (immutable)
        self._counts = counts

    def __iter__(self) -> Iterable[Value]:
        return iter(self._counts)

    def __len__(self) -> int:
        return len(self._counts)

    def __contains__(self, value: object) -> bool:
        return value in self._counts

    def adjusted(self, added: Iterable[Value], removed: Iterable[Value]) -> ValueCounts[Value]:
        """Return the counts after values were added and others, which occurred, removed."""
        with self._counts.mutate() as counts:
            for value in added:
                counts[value] = counts.get(value, 0) + 1
            for value in removed:
                if counts[value] == 1:
                    del counts[value]
                else:
                    counts[value] -= 1
            return ValueCounts(counts.finish())
