"""The quota tokens that one data plane holds: grants with an expiry, and permits that are taken out of them. Pure.

At any time a token is in exactly one place: in a grant, in a permit, on its way back to the owner, or used. All times are loop
times in seconds. A grant's lifetime counts from before the query was sent, so it expires here before it does at the owner.

| permit | becomes | when |
| --- | --- | --- |
| reserved | redeemed | its request is about to be written, before the expiry |
| reserved | refunded | its request ends without having been written |
| redeemed | reserved | the backend reports that it did not execute the request |

A redeemed permit whose request may have run stays redeemed.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

MIN_USE_S = 0.1  # no permit is taken from a grant closer to its expiry: the request would rarely be written in time


class PermitState(Enum):
    """The state of a permit; the values say where its tokens are."""

    RESERVED = "its request is not written yet"
    REDEEMED = "its request was written"
    REFUNDED = "given back"


@dataclass(slots=True, eq=False)
class Permit:
    """The tokens of one request. Only `QuotaBalance` modifies it.

    Attributes:
        tenant: Name of the tenant that the tokens belong to.
        tokens: Number of tokens.
        expires_at: The request must not be written at or after this time.
        state: The state of the permit.
    """

    tenant: str
    tokens: int
    expires_at: float
    state: PermitState = PermitState.RESERVED

    def is_usable(self, now: float) -> bool:
        """Return whether a request may be written with this permit."""
        return self.state is PermitState.RESERVED and now < self.expires_at


@dataclass(frozen=True, slots=True)
class QuotaExceeded:
    """There are no tokens for a request.

    Attributes:
        retry_after_s: Seconds after which the client should retry.
    """

    retry_after_s: float


@dataclass(slots=True)
class _Grant:
    tokens: int
    expires_at: float


class QuotaBalance:
    """Grants and permits of all tenants at one data plane.

    >>> balance = QuotaBalance()
    >>> balance.add_grant("t", 100, 0.5, now=0.0)
    >>> permit = balance.try_spend("t", 80, now=0.1).ok_value
    >>> balance.try_spend("t", 80, now=0.1).is_err(), balance.redeem(permit, now=0.2), balance.redeem(permit, now=0.2)
    (True, True, False)
    >>> balance.prune(now=0.5)
    >>> balance.take_returns("t"), balance.take_returns("t")
    (20, 0)
    """

    def __init__(self) -> None:
        self._grants: dict[str, list[_Grant]] = {}  # by tenant, in order of expiry
        self._returns: dict[str, int] = {}  # by tenant: unused tokens that can no longer be used here

    def add_grant(self, tenant: str, tokens: int, expires_at: float, now: float) -> None:
        """Add tokens that the owner granted. Tokens that have already expired go to the returns."""
        if tokens <= 0:
            return
        if now >= expires_at:
            self._returns[tenant] = self._returns.get(tenant, 0) + tokens
            return
        grants = self._grants.setdefault(tenant, [])
        grants.append(_Grant(tokens, expires_at))
        grants.sort(key=lambda grant: grant.expires_at)

    def try_spend(self, tenant: str, tokens: int, now: float) -> Result[Permit, QuotaExceeded]:
        """Take the tokens of one request out of the grants, in order of expiry.

        Returns:
            The permit, which expires with the earliest grant that it draws on, or an error if the grants do not suffice.
        """
        usable = [grant for grant in self._grants.get(tenant, ()) if now + MIN_USE_S <= grant.expires_at]
        if tokens <= 0 or sum(grant.tokens for grant in usable) < tokens:
            return Err(QuotaExceeded(0.0))
        permit = Permit(tenant, tokens, usable[0].expires_at)
        missing = tokens
        for grant in usable:
            taken = min(missing, grant.tokens)
            grant.tokens -= taken
            missing -= taken
            if not missing:
                break
        self._grants[tenant] = [grant for grant in self._grants[tenant] if grant.tokens]
        return Ok(permit)

    def redeem(self, permit: Permit, now: float) -> bool:
        """Use a permit for a request that is about to be written.

        Returns:
            Whether the request may be written.
        """
        if not permit.is_usable(now):
            return False
        permit.state = PermitState.REDEEMED
        return True

    def reinstate(self, permit: Permit) -> None:
        """Make a permit usable again after a backend confirmed that it did not execute the request."""
        if permit.state is PermitState.REDEEMED:
            permit.state = PermitState.RESERVED

    def refund(self, permit: Permit, now: float) -> None:
        """Refund a permit whose request was not written; no effect on one that was redeemed or refunded before."""
        if permit.state is PermitState.RESERVED:
            permit.state = PermitState.REFUNDED
            self.add_grant(permit.tenant, permit.tokens, permit.expires_at, now)

    def take_returns(self, tenant: str) -> int:
        """Return the tokens that go back to the owner and forget them: they are sent at most once."""
        return self._returns.pop(tenant, 0)

    def tenants_with_returns(self) -> list[str]:
        """Return the tenants for which `take_returns` has tokens."""
        return list(self._returns)

    def live_tokens(self, tenant: str, now: float) -> int:
        """Return the tokens in grants of a tenant that have not expired."""
        return sum(grant.tokens for grant in self._grants.get(tenant, ()) if now < grant.expires_at)

    def stored_tokens(self, tenant: str) -> int:
        """Return the tokens of a tenant in all grants and returns, not counting those in permits."""
        return sum(grant.tokens for grant in self._grants.get(tenant, ())) + self._returns.get(tenant, 0)

    def prune(self, now: float) -> None:
        """Move the tokens of expired grants to the returns."""
        for tenant, grants in list(self._grants.items()):
            expired = sum(grant.tokens for grant in grants if now >= grant.expires_at)
            if expired:
                self._returns[tenant] = self._returns.get(tenant, 0) + expired
                grants = self._grants[tenant] = [grant for grant in grants if now < grant.expires_at]
            if not grants:
                del self._grants[tenant]

    def keep_only(self, tenants: Container[str]) -> None:
        """Drop the grants and returns of all other tenants, which the configuration no longer contains."""
        for tokens_by_tenant in (self._grants, self._returns):
            for tenant in [tenant for tenant in tokens_by_tenant if tenant not in tenants]:
                del tokens_by_tenant[tenant]
