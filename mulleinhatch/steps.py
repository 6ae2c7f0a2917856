"""Long calculations as generators: pure code yields between two steps, and its caller decides when to go on.

A caller in an event loop runs them by a `TimeSlicer`, which lets the loop answer between two slices. Any other caller runs them
by `complete`.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar

Value = TypeVar("Value")
Steps = Generator[None, None, Value]  # yields between steps, returns the result


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
