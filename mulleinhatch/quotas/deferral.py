"""Requests that are queued before they have quota tokens, because no backend can take them yet. Pure.

Tokens acquired on arrival would expire while a request waits for a model to be loaded, and the owner credits returned tokens
only up to a bound. So a queued request acquires its tokens when it is about to start, as long as the data plane's share of the
tenant's rate covers all such requests. Beyond that, requests acquire tokens on arrival, and those above the limit are refused.
"""

from __future__ import annotations

# Limit of deferred tokens over all data planes, in seconds of the tenant's rate: about what arrives at half the rate while a
# model is loaded.
MAX_DEFERRED_S = 2.0


class DeferredTokens:
    """Tokens of queued requests that were not acquired yet, by tenant.

    >>> deferred = DeferredTokens()
    >>> deferred.try_add("t", 100, 100.0, 2), deferred.try_add("t", 1, 100.0, 2), deferred.try_add("u", 100, 100.0, 2)
    (True, False, True)
    >>> deferred.remove("t", 100)
    >>> deferred.try_add("t", 50, 100.0, 2), deferred.try_add("t", 50, 100.0, 2), deferred.try_add("t", 1, 100.0, 2)
    (True, True, False)
    """

    def __init__(self) -> None:
        self._tokens: dict[str, int] = {}

    def try_add(self, tenant: str, tokens: int, rate_per_s: float, data_planes: int) -> bool:
        """Add a request that is queued without tokens if the bound allows it; one request per tenant is always allowed.

        Args:
            tenant: The tenant's name.
            tokens: Tokens of the request.
            rate_per_s: The tenant's limit, in units per second.
            data_planes: Number of data planes that share the limit.
        """
        queued = self._tokens.get(tenant, 0)
        if queued and queued + tokens > MAX_DEFERRED_S * rate_per_s / max(1, data_planes):
            return False
        self._tokens[tenant] = queued + tokens
        return True

    def remove(self, tenant: str, tokens: int) -> None:
        """Remove a request that acquired its tokens, or ended."""
        self._tokens[tenant] -= tokens
        if not self._tokens[tenant]:
            del self._tokens[tenant]
