"""Estimates how many tokens of each tenant a data plane requests in advance, from recent admissions. Pure.

Only admitted tokens and a bounded share of refused ones count. If all requested tokens counted, most of a tenant's tokens would
go to the data plane that receives most of its flood.
"""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass

AVERAGING_S = 1.0  # time constant of the moving averages
REFUSED_WEIGHT = 0.25  # weight of refused tokens relative to admitted ones
MAX_REFUSED_FRACTION = 0.5  # upper bound of the weighted refused tokens, as a fraction of the admitted ones
MIN_REQUESTS_AHEAD = 0.5  # requests expected within a grant's lifetime, below which no tokens are requested in advance


@dataclass(slots=True)
class _Demand:
    admitted_per_s: float = 0.0
    refused_per_s: float = 0.0
    mean_tokens: float = 0.0  # per request
    updated_at: float = 0.0


class QuotaDemand:
    """Moving averages of the tokens that were admitted and refused, by tenant.

    >>> demand = QuotaDemand()
    >>> for tick in range(100):
    ...     demand.record_admitted("busy", 100, 0.1 * tick)
    >>> demand.record_admitted("idle", 100, 9.9)
    >>> 400 < demand.tokens_ahead("busy", 0.5, 10.0) < 600, demand.tokens_ahead("idle", 0.4, 10.0)
    (True, 0)
    """

    def __init__(self) -> None:
        self._demand: dict[str, _Demand] = {}

    def record_admitted(self, tenant: str, tokens: int, now: float) -> None:
        """Record a request that got its tokens."""
        demand = self._decay(tenant, now)
        demand.admitted_per_s += tokens / AVERAGING_S
        demand.mean_tokens += 0.2 * (tokens - demand.mean_tokens) if demand.mean_tokens else tokens

    def record_refused(self, tenant: str, tokens: int, now: float) -> None:
        """Record a request that did not get its tokens."""
        self._decay(tenant, now).refused_per_s += tokens / AVERAGING_S

    def tokens_ahead(self, tenant: str, lifetime_s: float, now: float) -> int:
        """Return the tokens that requests are expected to need within `lifetime_s`, 0 if too few requests are expected."""
        if tenant not in self._demand:
            return 0
        demand = self._decay(tenant, now)
        refused_per_s = min(REFUSED_WEIGHT * demand.refused_per_s, MAX_REFUSED_FRACTION * demand.admitted_per_s)
        tokens = lifetime_s * (demand.admitted_per_s + refused_per_s)
        return int(tokens) if tokens >= MIN_REQUESTS_AHEAD * demand.mean_tokens else 0

    def keep_only(self, tenants: Container[str]) -> None:
        """Forget all other tenants."""
        self._demand = {tenant: demand for tenant, demand in self._demand.items() if tenant in tenants}

    def _decay(self, tenant: str, now: float) -> _Demand:
        demand = self._demand.setdefault(tenant, _Demand(updated_at=now))
        factor = math.exp(-max(0.0, now - demand.updated_at) / AVERAGING_S)
        demand.admitted_per_s *= factor
        demand.refused_per_s *= factor
        demand.updated_at = now
        return demand
