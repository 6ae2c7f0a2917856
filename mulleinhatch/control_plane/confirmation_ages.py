"""Tracks when this voter last confirmed a view to each control-plane node, which bounds that node's remaining authority. Pure.

Source: C. Gray and D. Cheriton, "Leases" (SOSP 1989): the grantor of a lease knows when it expires.
"""

from __future__ import annotations

from collections.abc import Iterable

MAX_AGE_MS = 2**31  # limit of the message field


class ConfirmationAges:
    """The time of the last confirmation of any view, by address.

    >>> ages = ConfirmationAges(started_at=10.0)
    >>> ages.record("a:1", 12.0)
    >>> ages.ages_ms(["a:1", "b:1"], now=12.5)
    [500, 2500]

    Args:
        started_at: When this process started; a previous process may have confirmed views until then, but not later.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._confirmed_at: dict[str, float] = {}  # by internal address

    def record(self, address: str, now: float) -> None:
        """Record that any view was confirmed to the control-plane node at an internal address."""
        self._confirmed_at[address] = now

    def ages_ms(self, addresses: Iterable[str], now: float) -> list[int]:
        """Return for each address the minimum time since this voter confirmed a view to it, rounded down."""
        since = (self._confirmed_at.get(address, self._started_at) for address in addresses)
        return [int(min(MAX_AGE_MS, max(0.0, 1000.0 * (now - confirmed_at)))) for confirmed_at in since]
