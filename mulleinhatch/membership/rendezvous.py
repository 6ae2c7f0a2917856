"""Rendezvous (highest random rendezvous_weight) hashing: each asker ranks all candidates by a hash of both names."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rendezvous_weight(key: str, candidate: str) -> int:
    """
    >>> rendezvous_weight("a", "b") == rendezvous_weight("a", "b") != rendezvous_weight("b", "a")
    True
    """
    return int.from_bytes(hashlib.blake2b(f"{key}\x00{candidate}".encode(), digest_size=8).digest(), "big")


def rank_by_weight(key: str, candidates: Iterable[str]) -> list[str]:
    """The candidates from the highest rendezvous_weight down.

    >>> one, two = rank_by_weight("k", ["a", "b", "c"]), rank_by_weight("k", ["a", "b", "c", "d"])
    >>> [name for name in two if name != "d"] == one
    True
    """
    return sorted(candidates, key=lambda candidate: (rendezvous_weight(key, candidate), candidate), reverse=True)
