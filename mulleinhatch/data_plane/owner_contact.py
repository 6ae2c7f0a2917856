"""Tracks which control-plane nodes answer quota queries, and when tenants of a silent one will have tokens again. Pure.

| control-plane node | becomes | when |
| --- | --- | --- |
| in contact | slow | a query to it has been unanswered for `SLOW_ANSWER_S` |
| in contact, slow | lost | a query times out, or it answers that it has no majority contact |
| lost, slow | in contact | it sends an authoritative response |
| any | forgotten | a view without it is in force |

The control plane replaces a lost node within a known time (`membership.view_timing`), counted from the first query that the
node did not answer. Once that time is exceeded, the expected remaining time is the time by which the replacement is overdue.
"""

from __future__ import annotations

from collections.abc import Collection

from mulleinhatch.membership.view_timing import HANDOVER_S

SLOW_ANSWER_S = 0.1  # an answer normally takes milliseconds; after this time it will probably not come
OWNER_COOLDOWN_S = 0.5  # a node that did not answer is queried last for this time
MIN_EXPECTED_S = 0.1


class OwnerContact:
    """Contact of one data plane with the control-plane nodes that it queries.

    >>> contact = OwnerContact()
    >>> contact.on_sent("a:1", 0.0)
    >>> contact.expected_s("a:1", 0.05) is None, round(contact.expected_s("a:1", 0.15), 2)
    (True, 2.15)
    >>> contact.on_lost("a:1", 0.0, 0.25), contact.is_lost("a:1"), contact.avoided(0.3), contact.avoided(0.8)
    (True, True, {'a:1'}, set())
    >>> contact.on_ended("a:1", 0.0)
    >>> contact.on_answered("a:1"), contact.expected_s("a:1", 0.9) is None
    (True, True)
    """

    def __init__(self) -> None:
        self._sent_at: dict[str, list[float]] = {}  # by address: send times of queries in flight, oldest first
        self._lost_since: dict[str, float] = {}  # by address
        self._avoided_until: dict[str, float] = {}  # by address

    def in_flight(self, address: str) -> int:
        """Return the number of queries to an address that are in flight."""
        return len(self._sent_at.get(address, ()))

    def on_sent(self, address: str, now: float) -> None:
        """Record that a query was sent."""
        self._sent_at.setdefault(address, []).append(now)

    def on_ended(self, address: str, sent_at: float) -> None:
        """Record that a query was answered or failed."""
        self._sent_at[address].remove(sent_at)
        if not self._sent_at[address]:
            del self._sent_at[address]

    def on_lost(self, address: str, sent_at: float, now: float) -> bool:
        """Record a query without an authoritative response; return whether the address was not lost before."""
        self._avoided_until[address] = now + OWNER_COOLDOWN_S
        is_new = address not in self._lost_since
        self._lost_since.setdefault(address, sent_at)
        return is_new

    def on_answered(self, address: str) -> bool:
        """Record an authoritative response; return whether the address was lost."""
        self._avoided_until.pop(address, None)
        return self._lost_since.pop(address, None) is not None

    def keep_only(self, addresses: Collection[str]) -> None:
        """Forget the nodes that are not in a new view."""
        for by_address in (self._lost_since, self._avoided_until):
            for address in [address for address in by_address if address not in addresses]:
                del by_address[address]

    def is_lost(self, address: str) -> bool:
        """Return whether its last query got no authoritative response."""
        return address in self._lost_since

    def lost(self) -> list[str]:
        """Return the lost addresses."""
        return sorted(self._lost_since)

    def avoided(self, now: float) -> set[str]:
        """Return the addresses that are queried last at present."""
        return {address for address, until in self._avoided_until.items() if now < until}

    def expected_s(self, address: str, now: float) -> float | None:
        """Return in how many seconds a successor of an owner that does not answer is expected to grant tokens.

        Returns:
            The seconds, or None while the address is not known to be slow or lost.
        """
        since = self._lost_since.get(address)
        if since is None:
            sent_at = self._sent_at.get(address)
            if not sent_at or now - sent_at[0] < SLOW_ANSWER_S:
                return None
            since = sent_at[0]
        return max(MIN_EXPECTED_S, abs(since + HANDOVER_S - now))
