"""How much an owner may grant so that the quota rule holds, whatever happens to grants in transit. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from mulleinhatch.tenants.tenant import QuotaLimit

GRANT_LIFETIME_S = 0.5  # time from just before the query is sent to the last write that a grant allows
FLIGHT_S = 0.3  # bytes written before a grant expired arrive at a backend within this time
RETURNED_FRACTION = 0.25  # fraction reserved for returned grants of what the rule leaves above the burst
MIN_CAPACITY_FRACTION = 1 / 16  # lower bound of a bucket's capacity, as a fraction of what the rule allows in a window


@dataclass(frozen=True)
class QuotaBounds:
    """The deployment's rule on how many units of a tenant all data planes together may use.

    In each window they use at most (`rate` x window + `burst`) x (1 + `overage`) + `slack` units.

    Attributes:
        window_s: Length of the sliding window (`bounds.quota_window_s`).
        overage: Fraction of the limit that may be used beyond it (`bounds.quota_overage`).
        slack: Units that may be used beyond both (`bounds.quota_slack`).
    """

    window_s: float = 8.0
    overage: float = 0.1
    slack: float = 0.0

    def allowed(self, limit: QuotaLimit) -> float:
        """Return the units that may be used within one window."""
        return (limit.rate_per_s * self.window_s + limit.burst) * (1.0 + self.overage) + self.slack


def longest_use_s(lifetime_s: float) -> float:
    """Return how long after the owner deducted a grant its requests may still arrive at a backend."""
    return lifetime_s + FLIGHT_S


def returned_capacity(limit: QuotaLimit, bounds: QuotaBounds, lifetime_s: float) -> float:
    """Return the units that returned grants may add to a bucket within a window and `longest_use_s`.

    They add to what the bucket grants, so capacity is reserved for them: a quarter of what the rule leaves above the burst, and
    at most half of what it leaves above the rate. The quarter does not depend on the rate, so neither the reserve nor the
    bucket's capacity shrinks when a limit is raised: what was granted under the lower limit is within the higher one.
    """
    beyond_burst = bounds.overage * limit.burst + bounds.slack
    return max(0.0, min(RETURNED_FRACTION * beyond_burst, 0.5 * _above_rate(limit, bounds, lifetime_s)))


def bucket_capacity(limit: QuotaLimit, bounds: QuotaBounds, lifetime_s: float) -> float:
    """Return the capacity of a tenant's bucket at its owner.

    What arrives within a window was granted within the window plus `longest_use_s`. In that span a bucket grants at most
    rate x span + capacity + returned units, so the capacity is what the rule leaves above the other two terms. If that is too
    little, the capacity is `MIN_CAPACITY_FRACTION` of the allowance and `refill_rate` is below the limit's rate.

    Args:
        limit: The tenant's limit.
        bounds: The deployment's rule.
        lifetime_s: The lifetime of a grant.
    """
    left = _above_rate(limit, bounds, lifetime_s) - returned_capacity(limit, bounds, lifetime_s)
    return max(left, MIN_CAPACITY_FRACTION * bounds.allowed(limit))


def largest_request(limit: QuotaLimit, bounds: QuotaBounds, lifetime_s: float) -> float:
    """Return the size above which no request is granted: with possible returns, it alone would exceed the rule."""
    return bounds.allowed(limit) - returned_capacity(limit, bounds, lifetime_s)


def refill_rate(limit: QuotaLimit, bounds: QuotaBounds, lifetime_s: float) -> float:
    """Return the refill rate of a tenant's bucket: the limit's rate, or less if the capacity needs the allowance."""
    reserved = bucket_capacity(limit, bounds, lifetime_s) + returned_capacity(limit, bounds, lifetime_s)
    return min(limit.rate_per_s, (bounds.allowed(limit) - reserved) / (bounds.window_s + longest_use_s(lifetime_s)))


def _above_rate(limit: QuotaLimit, bounds: QuotaBounds, lifetime_s: float) -> float:
    """Return the allowance of a window less what the rate uses within the window and the longest use of a grant."""
    return bounds.allowed(limit) - limit.rate_per_s * (bounds.window_s + longest_use_s(lifetime_s))
