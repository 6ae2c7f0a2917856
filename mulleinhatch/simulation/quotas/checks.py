"""Checks of the quota rule, independent of the code under test: arrivals at backends and grants. Time is an argument."""

from __future__ import annotations

from collections import deque

from mulleinhatch.quotas.limits import QuotaBounds, bucket_capacity, longest_use_s, refill_rate, returned_capacity
from mulleinhatch.tenants.tenant import QuotaLimit

TOLERANCE = 1e-6


class LimitHistory:
    """The limits of one tenant over time.

    Args:
        limit: The first limit.
        apply_s: How long after a change grants under the former limit are still allowed.
    """

    def __init__(self, limit: QuotaLimit, apply_s: float) -> None:
        self._apply_s = apply_s
        self._limits: list[tuple[float, QuotaLimit]] = [(-1e9, limit)]

    @property
    def latest(self) -> QuotaLimit:
        """The limit in force."""
        return self._limits[-1][1]

    def change(self, limit: QuotaLimit, now: float) -> None:
        """Put another limit into force."""
        self._limits.append((now, limit))

    def limits_in_force(self, begin: float, end: float) -> list[QuotaLimit]:
        """Return the limits in force between two times, each former one extended by `apply_s`."""
        return [
            limit
            for place, (since, limit) in enumerate(self._limits)
            if since <= end and (place + 1 == len(self._limits) or begin <= self._limits[place + 1][0] + self._apply_s)
        ]

    def loosest(self, begin: float, end: float) -> QuotaLimit:
        """Return the limit that covers all limits in force between two times."""
        limits_in_force = self.limits_in_force(begin, end)
        return QuotaLimit(max(limit.rate_per_s for limit in limits_in_force), max(limit.burst for limit in limits_in_force))


class WindowCheck:
    """Checks the units of one tenant that arrive at backends against the rule, over every window.

    Args:
        limits: The tenant's limits.
        bounds: The deployment's rule.
        lifetime_s: The lifetime of a grant.
    """

    def __init__(self, limits: LimitHistory, bounds: QuotaBounds, lifetime_s: float) -> None:
        self._limits, self._bounds, self._lifetime_s = limits, bounds, lifetime_s
        self._arrivals: deque[tuple[float, int]] = deque()
        self._arrived = 0
        self.highest_fraction = 0.0  # highest fraction of a window's allowance that arrived

    def record_arrival(self, tokens: int, now: float) -> str:
        """Record a request that arrived; return a description of the violation, empty if there is none."""
        self._arrivals.append((now, tokens))
        self._arrived += tokens
        while self._arrivals[0][0] < now - self._bounds.window_s:
            self._arrived -= self._arrivals.popleft()[1]
        begin = now - self._bounds.window_s - longest_use_s(self._lifetime_s)
        allowed = self._bounds.allowed(self._limits.loosest(begin, now))
        self.highest_fraction = max(self.highest_fraction, self._arrived / allowed)
        if self._arrived > allowed * (1 + TOLERANCE):
            return f"{self._arrived} units arrived within a window that allows {allowed:.0f}"
        return ""


class _Meter:
    """Checks that tokens stay within `rate` x time + `depth` over every span: a leaky bucket used as a meter."""

    def __init__(self) -> None:
        self._level = self._updated_at = 0.0

    def add(self, tokens: float, rate_per_s: float, depth: float, now: float) -> float:
        """Add tokens; return the excess over the bound, 0 if there is none."""
        self._level = max(0.0, self._level - rate_per_s * (now - self._updated_at)) + tokens
        self._updated_at = now
        excess = self._level - depth
        return excess if excess > TOLERANCE * (depth + tokens) else 0.0

    def shrink(self, by: float) -> None:
        """Adjust to a depth lowered by a limit change: a bucket keeps its level, so it is closer to its capacity."""
        self._level = max(0.0, self._level - max(0.0, by))


class GrantCheck:
    """Checks the grants of all owners for one tenant, less the credits, against one bucket, and the credits against a bound.

    This bounds the tokens in unexpired grants at any time, over all data planes and epochs.

    Args:
        limits: The tenant's limits.
        bounds: The deployment's rule.
        lifetime_s: The lifetime of a grant.
    """

    def __init__(self, limits: LimitHistory, bounds: QuotaBounds, lifetime_s: float) -> None:
        self._limits, self._bounds, self._lifetime_s = limits, bounds, lifetime_s
        self._granted, self._credited = _Meter(), _Meter()
        self._capacity = self._returned = 0.0

    def record(self, granted: int, credited: int, now: float) -> str:
        """Record the effect of one response; return a description of the violation, empty if there is none."""
        rules = [(limit, self._bounds, self._lifetime_s) for limit in self._limits.limits_in_force(now, now)]
        rate, capacity = max(refill_rate(*rule) for rule in rules), max(bucket_capacity(*rule) for rule in rules)
        returned = max(returned_capacity(*rule) for rule in rules)
        self._granted.shrink(self._capacity - capacity)
        self._credited.shrink(0.5 * (self._returned - returned))
        self._capacity, self._returned = capacity, returned
        span_s = self._bounds.window_s + longest_use_s(self._lifetime_s)
        if excess := self._credited.add(credited, 0.5 * returned / span_s, 0.5 * returned, now):
            return f"{excess:.0f} returned units too many are credited"
        if excess := self._granted.add(granted - credited, rate, capacity, now):
            return f"the owners granted {excess:.0f} units more than one bucket would"
        return ""
