"""The owner's side of quotas: a bucket for each tenant that this node owns, from which it grants to data planes. Pure.

A tenant has one owner at a time, chosen by rendezvous hashing over the chain of the view in force. No state is durable: a new
owner waits until the former owner's authority has certainly ended and then starts with an empty bucket, so both together grant
no more than one bucket would have.

A handover avoids the wait. The owners A of view e and B of view e + 1 still grant no more than one bucket would, because:
1. In each epoch one address owns a tenant, and at most one process runs at an address at a time.
2. A closes the account when it puts e + 1 into force directly after e, and grants nothing for the tenant in e + 1. It hands the
   level over only afterwards and only while e + 1 is in force, so the reported level already excludes everything A granted.
3. A hands over once, and only after its own wait for the owner of e - 1 has ended, so no older owner still grants.
4. B uses the level once, only in e + 1, only before it has granted anything, and counts no refill between A's response and its
   receipt. So the bucket moves from A to B. If the response is lost, late or rejected, B waits and starts with an empty bucket.
5. If A becomes the owner again in a later view, it opens a new account: a closed account is never reopened.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from mulleinhatch.membership.rendezvous import rank_by_weight
from mulleinhatch.messages.cluster import QuotaGrant, QuotaLevel, QuotaNeed, QuotaRequest
from mulleinhatch.quotas.limits import (
    GRANT_LIFETIME_S,
    QuotaBounds,
    bucket_capacity,
    largest_request,
    longest_use_s,
    refill_rate,
    returned_capacity,
)
from mulleinhatch.quotas.owner_directory import OWNER_KEY_PREFIX
from mulleinhatch.quotas.token_bucket import TokenBucket
from mulleinhatch.tenants.tenant import QuotaLimit, Tenant

MIN_RETRY_S = 0.05
MAX_RETRY_S = 5.0
HANDOVER_TIMEOUT_S = 0.3  # timeout of a former owner's response; a later one would be useless
AHEAD_RESERVE_FRACTION = 0.5  # fraction of the capacity; only tokens above this level are granted in advance


@dataclass(frozen=True)
class OwnerView:
    """The state that determines ownership.

    Attributes:
        epoch: Epoch of the membership view in force; each view increments it by one.
        own_address: Internal address of this control-plane node.
        chain_addresses: Internal addresses of the view's chain.
    """

    epoch: int
    own_address: str
    chain_addresses: tuple[str, ...]


@dataclass(frozen=True)
class OwnershipChange:
    """Changes in the ownership of tenants with a limit.

    Attributes:
        taken_over: Names of the tenants that this node owns since the update.
        released: Names of the tenants that it no longer owns.
        former_owners: Names of the tenants taken over whose previous owner is known, by that owner's internal address.
    """

    taken_over: tuple[str, ...] = ()
    released: tuple[str, ...] = ()
    former_owners: Mapping[str, tuple[str, ...]] = field(default_factory=dict)


@dataclass
class GrantCounters:
    """Counters of the decisions for one tenant since it was taken over.

    Attributes:
        granted_requests: Requests that were granted.
        granted_tokens: Tokens of these requests.
        ahead_tokens: Tokens granted in advance of requests.
        refused_requests: Requests that were not granted; a retry counts again.
        returned_tokens: Tokens that were reported as unused.
        credited_tokens: Returned tokens that were put back into the bucket.
    """

    granted_requests: int = 0
    granted_tokens: int = 0
    ahead_tokens: int = 0
    refused_requests: int = 0
    returned_tokens: int = 0
    credited_tokens: int = 0


class QuotaAccount:
    """The bucket of one owned tenant, and a second bucket that bounds the tokens returned to it.

    Attributes:
        limit: The limit in force.
        owned_since: When this node became the owner.
        grants_from: Nothing is granted before this time.
        awaits_level_until: Until when the former owner may still report its remaining level.
        bucket: The tenant's bucket.
        counters: Counters of the decisions.
    """

    def __init__(
        self, limit: QuotaLimit, bounds: QuotaBounds, lifetime_s: float, owned_since: float, grants_from: float
    ) -> None:
        self.limit, self.owned_since = limit, owned_since
        self.awaits_level_until = -math.inf
        self.counters = GrantCounters()
        self._bounds, self._lifetime_s = bounds, lifetime_s
        self._reset(0.0, 0.0, grants_from)

    def _reset(self, level: float, returns_level: float, grants_from: float) -> None:
        self.grants_from = grants_from
        self.bucket = TokenBucket(*self._bucket_size(self.limit), level=level, updated_at=grants_from)
        # A separate bucket bounds what returns may add in any span, also across a change of owner. Half of the bound is its
        # capacity, the other half is gained within the span.
        self._returns = TokenBucket(*self._returns_size(self.limit), level=returns_level, updated_at=grants_from)

    def hand_over(self, tenant: str, now: float) -> QuotaLevel:
        """Return the remaining levels; the caller ensures that this account grants nothing more."""
        self.bucket.refill(now)
        self._returns.refill(now)
        return QuotaLevel(tenant=tenant, level=self.bucket.level, returns_level=self._returns.level)

    def adopt_level(self, level: QuotaLevel, now: float) -> bool:
        """Continue from the former owner's remaining level, starting now.

        Returns:
            Whether the level is used. It is not if this account may already have granted tokens, or if it is not finite.
        """
        if now >= self.grants_from or not (math.isfinite(level.level) and math.isfinite(level.returns_level)):
            return False
        self._reset(level.level, level.returns_level, now)
        return True

    def _bucket_size(self, limit: QuotaLimit) -> tuple[float, float]:
        return refill_rate(limit, self._bounds, self._lifetime_s), bucket_capacity(limit, self._bounds, self._lifetime_s)

    def _returns_size(self, limit: QuotaLimit) -> tuple[float, float]:
        half = 0.5 * returned_capacity(limit, self._bounds, self._lifetime_s)
        return half / (self._bounds.window_s + longest_use_s(self._lifetime_s)), half

    def set_limit(self, limit: QuotaLimit, now: float) -> None:
        """Put another limit into force at once; the level of the bucket stays, but is cut to a lower capacity."""
        if limit == self.limit:
            return
        self.limit = limit
        self.bucket.set_limit(*self._bucket_size(limit), now)
        self._returns.set_limit(*self._returns_size(limit), now)

    def put_back(self, tokens: int, now: float) -> None:
        """Credit returned tokens as far as the capacity and the bound on returns allow."""
        self.counters.returned_tokens += tokens
        self.bucket.refill(now)
        self._returns.refill(now)
        credited = int(max(0.0, min(tokens, self._returns.level, self.bucket.capacity - self.bucket.level)))
        if credited and self._returns.try_take(credited, now):
            self.bucket.put_back(credited, now)
            self.counters.credited_tokens += credited

    def start_earlier(self, grants_from: float, now: float) -> bool:
        """Start with an empty bucket at an earlier time, unless grants may have begun; return whether it does."""
        if now >= self.grants_from or grants_from >= self.grants_from:
            return False
        self._reset(0.0, 0.0, grants_from)
        return True

    def grant_requests(self, request_tokens: Sequence[int], now: float) -> int:
        """Grant whole requests in order until one is refused; return the number granted."""
        largest = largest_request(self.limit, self._bounds, self._lifetime_s)
        for position, tokens in enumerate(request_tokens):
            if tokens > largest or not self.bucket.try_take(tokens, now):
                self.counters.refused_requests += len(request_tokens) - position
                return position
            self.counters.granted_requests += 1
            self.counters.granted_tokens += tokens
        return len(request_tokens)

    def seconds_until(self, tokens: int, now: float) -> float:
        """Return the seconds until a refused request should be retried: fewer while the former owner's level may arrive."""
        wait_s = self.bucket.seconds_until(tokens, now)
        return min(wait_s, 0.5 * HANDOVER_TIMEOUT_S) if now < min(self.awaits_level_until, self.grants_from) else wait_s

    def grant_ahead(self, tokens: int, now: float) -> int:
        """Grant tokens in advance of requests, above `AHEAD_RESERVE_FRACTION` of the capacity; return the number granted."""
        self.bucket.refill(now)
        granted = max(0, min(tokens, int(self.bucket.level - AHEAD_RESERVE_FRACTION * self.bucket.capacity)))
        if not granted or not self.bucket.try_take(granted, now):
            return 0
        self.counters.ahead_tokens += granted
        return granted


class QuotaOwner:
    """Grants quota tokens of the tenants that this control-plane node owns.

    The caller checks before each call of `answer` that a majority confirmed the view of the last `update`.

    Args:
        bounds: The deployment's rule.
        takeover_s: How long after a new view the former owner may still grant.
        lifetime_s: The lifetime of a grant.
    """

    def __init__(self, bounds: QuotaBounds, takeover_s: float, lifetime_s: float = GRANT_LIFETIME_S) -> None:
        self.accounts: dict[str, QuotaAccount] = {}  # of the owned tenants that have a limit
        self._bounds, self._takeover_s, self._lifetime_s = bounds, takeover_s, lifetime_s
        self._lifetime_ms = int(1000 * lifetime_s)
        self._view = OwnerView(0, "", ())
        self._view_since = self._former_view_since = 0.0
        self._configuration_version = 0
        self._owned: dict[str, bool] = {}  # by configured tenant: whether this node owns it
        self._closed: dict[str, QuotaAccount] = {}  # owned in the previous view and not handed over yet

    def update(self, view: OwnerView, tenants: Mapping[str, Tenant], configuration_version: int, now: float) -> OwnershipChange:
        """Put a view and a configuration into force.

        An owner keeps its accounts only from one view to the directly following one: if an epoch was skipped, another node may
        have been the owner in between.

        Args:
            view: The view in force.
            tenants: The tenants of the configuration, by name.
            configuration_version: The version of the configuration.
            now: The monotonic time in seconds.

        Returns:
            The tenants with a limit that were taken over or released.
        """
        former_view, is_next = self._view, view.epoch == self._view.epoch + 1
        keeps_accounts = is_next or view.epoch == self._view.epoch
        self._use_view(view, tenants, now)
        self._configuration_version = configuration_version
        former = self.accounts
        self.accounts = {}
        for name, tenant in tenants.items():
            if tenant.limit is not None and self._owned[name]:
                account = former.get(name) if keeps_accounts else None
                self.accounts[name] = account or self._open_account(tenant.limit, now)
                self.accounts[name].set_limit(tenant.limit, now)
        self._close_accounts((former if is_next else self._closed) if keeps_accounts else {}, tenants, now)
        taken_over = tuple(sorted(name for name, account in self.accounts.items() if account is not former.get(name)))
        released = tuple(sorted(former.keys() - self.accounts.keys()))
        return OwnershipChange(taken_over, released, self._former_owners(taken_over, former_view, now) if is_next else {})

    def _close_accounts(self, accounts: Mapping[str, QuotaAccount], tenants: Mapping[str, Tenant], now: float) -> None:
        """Keep the accounts that another node now owns, with the limits in force, until it requests their levels."""
        self._closed = {}
        for name, account in accounts.items():
            tenant = tenants.get(name)
            if tenant is not None and tenant.limit is not None and not self._owned[name]:
                account.set_limit(tenant.limit, now)
                self._closed[name] = account

    def _former_owners(self, names: Sequence[str], former_view: OwnerView, now: float) -> dict[str, tuple[str, ...]]:
        """Return the tenants whose former owner will be queried for the level, by its address."""
        by_address: dict[str, tuple[str, ...]] = {}
        for name in names:
            address = owner_address(name, former_view.chain_addresses)
            if address not in ("", former_view.own_address):
                by_address[address] = (*by_address.get(address, ()), name)
                self.accounts[name].awaits_level_until = now + HANDOVER_TIMEOUT_S
        return by_address

    def hand_over(self, names: Sequence[str], epoch: int, now: float) -> list[QuotaLevel]:
        """Return the remaining levels of tenants that were owned in the previous view, each only once.

        Args:
            names: The tenants that another node owns in the view in force.
            epoch: The epoch of that view at the requester; nothing is returned if it differs from the epoch here.
            now: The monotonic time in seconds.
        """
        if epoch != self._view.epoch:
            return []
        ready = [name for name in dict.fromkeys(names) if name in self._closed and now >= self._closed[name].grants_from]
        return [self._closed.pop(name).hand_over(name, now) for name in ready]

    def adopt_levels(self, levels: Sequence[QuotaLevel], epoch: int, now: float) -> tuple[str, ...]:
        """Start granting at once from the remaining levels of the owners in the previous view.

        Args:
            levels: The levels in their responses.
            epoch: The epoch of the view in the request; no effect if another one is in force.
            now: The monotonic time in seconds.

        Returns:
            The names of the tenants whose wait has ended.
        """
        if epoch != self._view.epoch:
            return ()
        known = [level for level in levels if level.tenant in self.accounts]
        return tuple(level.tenant for level in known if self.accounts[level.tenant].adopt_level(level, now))

    def _use_view(self, view: OwnerView, tenants: Mapping[str, Tenant], now: float) -> None:
        """Compute which tenants are owned; hashes are computed only for a new view or for new names."""
        known = self._owned if view == self._view else {}
        if view != self._view:
            self._former_view_since = self._view_since
            self._view, self._view_since = view, now
        self._owned = {name: known[name] if name in known else self._is_owner(name) for name in tenants}

    def _open_account(self, limit: QuotaLimit, now: float) -> QuotaAccount:
        """Return an empty account; in a new view the former owner may still grant for `takeover_s`."""
        grants_from = max(now, self._view_since + self._takeover_s)
        return QuotaAccount(limit, self._bounds, self._lifetime_s, now, grants_from)

    def shorten_wait(self, names: Sequence[str], epoch: int, ended_at: float, now: float) -> tuple[str, ...]:
        """Start granting when the former owner's authority ended, if that is before the end of the wait.

        Args:
            names: Tenants of one former owner, which owned them in the previous view (`OwnershipChange.former_owners`).
            epoch: The epoch of the view in which they were taken over; no effect if another one is in force.
            ended_at: The time from which the former owner granted nothing (`FormerAuthority.ended_at`); may lie in the past.
            now: The monotonic time in seconds.

        Returns:
            The names of the tenants whose wait was shortened.
        """
        grants_from = max(ended_at, self._former_view_since + self._takeover_s)
        if epoch != self._view.epoch:
            return ()
        return tuple(name for name in names if name in self.accounts and self.accounts[name].start_earlier(grants_from, now))

    def _is_owner(self, name: str) -> bool:
        return owner_address(name, self._view.chain_addresses) == self._view.own_address

    def answer(self, request: QuotaRequest, now: float) -> list[QuotaGrant]:
        """Return a grant for each need of a data plane, in the order of the needs."""
        return [self._grant(need, request.configuration_version, now) for need in request.needs]

    def _grant(self, need: QuotaNeed, configuration_version: int, now: float) -> QuotaGrant:
        account = self.accounts.get(need.tenant)
        if account is not None:
            return self._grant_from(account, need, now)
        is_owned = self._owned.get(need.tenant)
        if is_owned is None:
            return self._answer_unknown(need, configuration_version)
        if not is_owned:
            return QuotaGrant(tenant=need.tenant, not_owner=True)
        return QuotaGrant(
            tenant=need.tenant,
            granted_requests=len(need.request_tokens),
            ahead_tokens=need.ahead_tokens,
            lifetime_ms=self._lifetime_ms,
        )

    def _grant_from(self, account: QuotaAccount, need: QuotaNeed, now: float) -> QuotaGrant:
        if need.returned_tokens:
            account.put_back(need.returned_tokens, now)
        grant = QuotaGrant(tenant=need.tenant, lifetime_ms=self._lifetime_ms)
        grant.granted_requests = account.grant_requests(need.request_tokens, now)
        if grant.granted_requests < len(need.request_tokens):
            wait_s = account.seconds_until(need.request_tokens[grant.granted_requests], now)
            grant.retry_after_ms = _retry_after_ms(wait_s)
        elif need.ahead_tokens:
            grant.ahead_tokens = account.grant_ahead(need.ahead_tokens, now)
        return grant

    def _answer_unknown(self, need: QuotaNeed, configuration_version: int) -> QuotaGrant:
        """Grant nothing for a tenant that is not configured here: the requester may know a newer configuration."""
        if not self._is_owner(need.tenant):
            return QuotaGrant(tenant=need.tenant, not_owner=True)
        wait_s = MIN_RETRY_S if configuration_version > self._configuration_version else MAX_RETRY_S
        return QuotaGrant(tenant=need.tenant, retry_after_ms=_retry_after_ms(wait_s))


def owner_address(tenant: str, addresses: Sequence[str]) -> str:
    """Return the internal address of a tenant's owner, empty if there are no addresses.

    Args:
        tenant: The tenant's name.
        addresses: Internal addresses of the chain of the view in force.
    """
    ranked = rank_by_weight(OWNER_KEY_PREFIX + tenant, addresses)
    return ranked[0] if ranked else ""


def _retry_after_ms(wait_s: float) -> int:
    return math.ceil(1000 * min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s)))
