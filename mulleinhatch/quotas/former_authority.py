"""Computes when the authority of a lost quota owner ended, from the voters that confirmed its view. Pure.

An owner A of view e grants while a majority of the voters of e, itself included, have confirmed e to it within the authority's
duration, counted from when A sent the request. The owner B of view e + 1 may grant from `ended_at` on, because:
1. The voters counted here are a majority of the voters of e without A. Any majority that A may have includes one of them.
2. Each of them has stored e + 1 or a later view durably and no longer confirms e. It reported how long ago it last confirmed
   any view to A's address, or its process's uptime, so A requested its last confirmation before (receipt of the answer - age).
3. So A has no majority from max(receipt - age) + the duration on. `CLOCK_MARGIN_S` allows for different clock rates.
4. Owners of views before e have no majority once the duration has passed since the decision of e. B learned of e later, so
   `QuotaOwner.shorten_wait` lets B grant no earlier than the duration after that.
If anything fails, B waits the full time.

Source: C. Gray and D. Cheriton, "Leases" (SOSP 1989): the grantor of a lease knows when it expires.
"""

from __future__ import annotations

from collections.abc import Iterable

CLOCK_MARGIN_S = 0.05


class FormerAuthority:
    """The voters' answers about one former owner.

    >>> authority = FormerAuthority(epoch=3, voters=["b", "c"], majority=2, authority_s=1.0)
    >>> authority.record("b", epoch=3, age_s=2.0, received_at=10.0)
    >>> authority.ended_at is None
    True
    >>> authority.record("c", epoch=3, age_s=1.5, received_at=10.0)
    >>> authority.ended_at
    9.55

    Args:
        epoch: The epoch of the view after the owner's.
        voters: Identities of the voters of the owner's view, except those at the owner's address.
        majority: The number of voters that form a majority of that view.
        authority_s: How long a confirmation is valid.
    """

    def __init__(self, epoch: int, voters: Iterable[str], majority: int, authority_s: float) -> None:
        self._epoch, self._voters = epoch, frozenset(voters)
        self._majority, self._authority_s = majority, authority_s
        self._confirmed_at: dict[str, float] = {}  # by voter: an upper bound

    def record(self, voter: str, epoch: int, age_s: float, received_at: float) -> None:
        """Record an answer if it is from a voter that no longer confirms the owner's view.

        Args:
            voter: Identity of the voter.
            epoch: The epoch of the newest view that the voter knows.
            age_s: Minimum time since the voter last confirmed a view to the owner, in seconds.
            received_at: When the answer was received, in seconds of this process's monotonic clock.
        """
        if epoch >= self._epoch and voter in self._voters and age_s >= 0:
            self._confirmed_at[voter] = max(received_at - age_s, self._confirmed_at.get(voter, received_at - age_s))

    @property
    def ended_at(self) -> float | None:
        """The time from which the owner is certain to have no majority; None if too few voters answered."""
        if len(self._confirmed_at) < self._majority:
            return None
        return max(self._confirmed_at.values()) + self._authority_s + CLOCK_MARGIN_S
