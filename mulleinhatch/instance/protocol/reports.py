"""Reports to the directory: one datagram each."""

from __future__ import annotations

LISTED_FOR = 3.0  # seconds that an entry outlives its last report


def report(name: str, is_open: bool) -> bytes:
    """
    >>> report("n3", True)
    b'PULSE n3 open'
    """
    return f"PULSE {name} {'open' if is_open else 'closed'}".encode()
