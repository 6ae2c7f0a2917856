"""Rendezvous (highest random weight) hashing: a key ranks candidates by a hash of the key and each candidate's name.

Source: D. Thaler, C. V. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998).
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rendezvous_weight(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key: uniform over 64 bits, and the same in every process.

    >>> rendezvous_weight("a", "b") == rendezvous_weight("a", "b") != rendezvous_weight("b", "a")
    True
    """
    return int.from_bytes(hashlib.blake2b(f"{key}\x00{candidate}".encode(), digest_size=8).digest(), "big")


def rank_by_weight(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates by descending weight. Adding a candidate does not change the order of the others.

    >>> three, four = rank_by_weight("k", ["a", "b", "c"]), rank_by_weight("k", ["a", "b", "c", "d"])
    >>> [name for name in four if name != "d"] == three
    True
    """
    return sorted(candidates, key=lambda candidate: (rendezvous_weight(key, candidate), candidate), reverse=True)
