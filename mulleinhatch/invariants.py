"""Run-time invariants: an assertion in debug runs; under `python -O` a violation is counted and service continues."""

from __future__ import annotations

from collections import Counter

VIOLATIONS: Counter[str] = Counter()


def check(condition: object, what: str) -> None:
    """Assert that `condition` holds; under `python -O` count a violation under the description `what` instead."""
    assert condition, what
    if not condition:
        VIOLATIONS[what] += 1
