"""A simulated data plane around the real `QuotaBalance`: it queries owners, spends permits and returns unused tokens."""

from __future__ import annotations

from dataclasses import dataclass, field

from mulleinhatch.messages.cluster import QuotaGrant, QuotaNeed
from mulleinhatch.quotas.balance import Permit, QuotaBalance
from mulleinhatch.quotas.demand import QuotaDemand

MAX_ATTEMPTS = 2  # queries sent for one request


@dataclass
class PendingRequest:
    """A request that waits for a permit.

    Attributes:
        tokens: Its cost.
        arrived_at: When it arrived.
        attempts: Queries sent for it.
    """

    tokens: int
    arrived_at: float
    attempts: int = 0


@dataclass
class Query:
    """One query to an owner.

    Attributes:
        address: The control-plane node that is queried.
        pending: The requests that need tokens.
        waiting: The requests that still wait for the response.
        sent_at: When it was sent, in simulation time.
        is_over: Whether it was answered or abandoned.
    """

    address: str
    pending: list[PendingRequest]
    waiting: list[PendingRequest]
    sent_at: float
    is_over: bool = False


@dataclass
class Holder:
    """One data plane; each restart increments `incarnation` and loses the balance.

    Attributes:
        name: Its name.
        clock_offset_s: Offset of its clock from simulation time.
        epoch: Epoch of the newest view that it knows.
        chain: Internal addresses of that view's chain.
    """

    name: str
    clock_offset_s: float
    epoch: int = 0
    chain: tuple[str, ...] = ()
    frozen_until: float = 0.0
    incarnation: int = 1
    balance: QuotaBalance = field(default_factory=QuotaBalance)
    demand: QuotaDemand = field(default_factory=QuotaDemand)

    def clock(self, now: float) -> float:
        """Return the time on the data plane's monotonic clock."""
        return now + self.clock_offset_s

    def restart(self, clock_offset_s: float) -> None:
        """Reset everything but the name and the known view."""
        self.incarnation += 1
        self.clock_offset_s = clock_offset_s
        self.balance, self.demand = QuotaBalance(), QuotaDemand()

    def learn_view(self, epoch: int, chain: tuple[str, ...]) -> None:
        """Use a view unless a newer one is known."""
        if epoch >= self.epoch and chain:
            self.epoch, self.chain = epoch, chain

    def try_spend(self, tenant: str, tokens: int, now: float) -> Permit | None:
        """Return a permit for a request, None if there are not enough tokens."""
        permit = self.balance.try_spend(tenant, tokens, self.clock(now))
        if permit.is_err():
            return None
        self.demand.record_admitted(tenant, tokens, self.clock(now))
        return permit.ok_value

    def need(self, tenant: str, pending: list[PendingRequest], lifetime_s: float, now: float) -> QuotaNeed:
        """Return the need to send; the tokens that it returns leave the balance."""
        self.balance.prune(self.clock(now))
        return QuotaNeed(
            tenant=tenant,
            request_tokens=[request.tokens for request in pending],
            ahead_tokens=self.demand.tokens_ahead(tenant, lifetime_s, self.clock(now)),
            returned_tokens=self.balance.take_returns(tenant),
        )

    def add_grant(self, tenant: str, grant: QuotaGrant, query: Query, counts_from: float, now: float) -> None:
        """Add a grant whose lifetime counts from a simulation time."""
        expires_at = self.clock(counts_from) + grant.lifetime_ms / 1000
        requested = sum(request.tokens for request in query.pending[: grant.granted_requests])
        self.balance.add_grant(tenant, requested, expires_at, self.clock(now))
        self.balance.add_grant(tenant, grant.ahead_tokens, expires_at, self.clock(now))
