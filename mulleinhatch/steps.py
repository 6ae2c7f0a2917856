"""Long calculations as generators: pure code yields between two steps, and its caller decides when to go on.

A caller in an event loop runs them by a `TimeSlicer`, which lets the loop answer between two slices. Any other caller runs them
by `complete`.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import Any, TypeVar

Value = TypeVar("Value")
RELEASED_PER_STEP = 256
Steps = Generator[None, None, Value]  # yields between steps, returns the result


def release_steps(objects: list[Any]) -> Steps[None]:
    """Drop the references of a list a few at a time: freeing many objects at once would take long.

    >>> objects = list(range(600))
    >>> complete(release_steps(objects)), objects
    (None, [])
    """
    while objects:
        del objects[-RELEASED_PER_STEP:]
        yield


def complete(steps: Steps[Value]) -> Value:
    """Run all steps of a calculation at once, and return its result.

    >>> def add_up(numbers):
    ...     total = 0
    ...     for number in numbers:
    ...         total += number
    ...         yield
    ...     return total
    >>> complete(add_up([1, 2, 3]))
    6
    """
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
