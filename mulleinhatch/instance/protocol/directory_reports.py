"""Reports to the directory, one datagram each."""

from __future__ import annotations

ENTRY_LIFETIME_S = 3.0  # how long the directory keeps an entry after its last report


def write_report(name: str, is_open: bool) -> bytes:
    """Return the datagram that reports whether an instance accepts requests.

    >>> write_report("n3", True)
    b'PULSE n3 open'
    """
    return f"PULSE {name} {'open' if is_open else 'closed'}".encode()
