"""What must hold: an assertion in debug runs; in release runs (`python -O`) a count, and service goes on."""

from __future__ import annotations

from collections import Counter

BROKEN: Counter[str] = Counter()


def must_hold(condition: object, what: str) -> None:
    assert condition, what
    if not condition:
        BROKEN[what] += 1
