"""Immutable counts of values, for what has to be known of all items: which values occur, and which is the largest."""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator
from typing import Generic, TypeVar

from immutables import Map

from mulleinhatch.steps import Steps

Value = TypeVar("Value", bound=Hashable)
VALUES_PER_STEP = 1024


class ValueCounts(Generic[Value]):
    """How often each value occurs.

    >>> from mulleinhatch.steps import complete
    >>> counts = complete(ValueCounts().adjusted_steps(added=[3, 5, 5], removed=[]))
    >>> sorted(complete(counts.adjusted_steps(added=[], removed=[3, 5])))
    [5]
    """

    __slots__ = ("_counts",)

    def __init__(self, counts: Map[Value, int] = Map()) -> None:  # noqa: B008 (immutable)
        self._counts = counts

    def __iter__(self) -> Iterator[Value]:
        return iter(self._counts)

    def adjusted_steps(self, added: Iterable[Value], removed: Iterable[Value]) -> Steps[ValueCounts[Value]]:
        """Return the counts after values were added and others, which occurred, removed."""
        counts = self._counts.mutate()
        for number, value in enumerate(added):
            if number % VALUES_PER_STEP == VALUES_PER_STEP - 1:
                yield
            counts[value] = counts.get(value, 0) + 1
        for number, value in enumerate(removed):
            if number % VALUES_PER_STEP == VALUES_PER_STEP - 1:
                yield
            if counts[value] == 1:
                del counts[value]
            else:
                counts[value] -= 1
        return ValueCounts(counts.finish())
