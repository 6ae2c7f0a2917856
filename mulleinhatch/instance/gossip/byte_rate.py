"""Leaky bucket that measures how far recent traffic exceeded a rate."""

from __future__ import annotations

HEADER_BYTES = 28  # IPv4 and UDP headers of a datagram


class ByteRate:
    """Bytes sent and received above a rate in bytes per second."""

    def __init__(self, rate: float, now: float) -> None:
        self.rate, self.updated_at, self.excess = rate, now, 0.0

    def add(self, now: float, size: int) -> None:
        """Count one datagram of `size` bytes."""
        self.excess = max(0.0, self.excess - self.rate * max(0.0, now - self.updated_at)) + size + HEADER_BYTES
        self.updated_at = max(self.updated_at, now)
