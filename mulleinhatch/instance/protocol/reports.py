"""Reports to the directory: one datagram each."""

from __future__ import annotations

LISTED_FOR_S = 3.0  # how long the directory keeps an entry after its last report


def report(name: str, is_open: bool) -> bytes:
    """Return the datagram that says whether an instance takes work.

    >>> report("n3", True)
    b'PULSE n3 open'
    """
    return f"PULSE {name} {'open' if is_open else 'closed'}".encode()
