"""Rendezvous (highest random weight) hashing: each asker ranks all candidates by a hash of both names."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def weight(asker: str, candidate: str) -> int:
    """
    >>> weight("a", "b") == weight("a", "b") != weight("b", "a")
    True
    """
    return int.from_bytes(hashlib.blake2b(f"{asker}\x00{candidate}".encode(), digest_size=8).digest(), "big")


def ranked(asker: str, candidates: Iterable[str]) -> list[str]:
    """The candidates from the highest weight down.

    >>> one, two = ranked("k", ["a", "b", "c"]), ranked("k", ["a", "b", "c", "d"])
    >>> [name for name in two if name != "d"] == one
    True
    """
    return sorted(candidates, key=lambda candidate: (weight(asker, candidate), candidate), reverse=True)
