"""What must hold: an assertion in debug runs; in release runs (`python -O`) a count, and service goes on."""

from __future__ import annotations

from collections import Counter

VIOLATIONS: Counter[str] = Counter()


def check(condition: object, what: str) -> None:
    assert condition, what
    if not condition:
        VIOLATIONS[what] += 1
