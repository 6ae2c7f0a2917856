"""The bucket of one tenant at the node that owns it. Pure."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from mulleinhatch.messages.cluster import QuotaLevel
from mulleinhatch.quotas.limits import (
    QuotaBounds,
    bucket_capacity,
    largest_request,
    longest_use_s,
    refill_rate,
    returned_capacity,
)
from mulleinhatch.quotas.token_bucket import TokenBucket
from mulleinhatch.tenants.tenant import QuotaLimit

HANDOVER_TIMEOUT_S = 0.3  # timeout of a former owner's response; a later one would be useless
AHEAD_RESERVE_FRACTION = 0.5  # fraction of the capacity; only tokens above this level are granted in advance


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
