"""A token bucket with time as an argument: it refills at a rate up to a capacity. Pure.

Between any two times t1 <= t2 the tokens taken are at most `rate` x (t2 - t1) + `capacity` + the tokens put back. If a bucket
starts at level 0 when another one with the same rate and capacity ends, the same bound holds for both together.

Source: J. Turner, "New Directions in Communications (or Which Way to the Information Age?)" (1986), the leaky bucket.
"""

from __future__ import annotations

import math


class TokenBucket:
    """A token bucket; all times are seconds on one monotonic clock.

    Args:
        rate_per_s: Tokens gained per second.
        capacity: Maximum level.
        level: Tokens at `updated_at`.
        updated_at: When refilling starts; may lie in the future.
    """

    def __init__(self, rate_per_s: float, capacity: float, level: float, updated_at: float) -> None:
        self.rate_per_s, self.capacity = rate_per_s, capacity
        self.level = min(level, capacity)
        self._updated_at = updated_at
        self._full_since = updated_at if self.level >= capacity else math.inf

    def refill(self, now: float) -> None:
        """Add the tokens gained since the last call; an earlier time has no effect."""
        if now <= self._updated_at:
            return
        until_full_s = self._seconds_to_gain(self.capacity - self.level)
        if self._updated_at + until_full_s <= now:
            self._full_since = min(self._full_since, self._updated_at + until_full_s)
            self.level = self.capacity
        else:
            self.level = min(self.capacity, self.level + self.rate_per_s * (now - self._updated_at))
        self._updated_at = now

    def try_take(self, tokens: float, now: float) -> bool:
        """Take tokens if the level covers them, and return whether it did.

        More than the capacity may be taken once the bucket has been full for the time that it needs to gain the excess. The
        level is negative afterwards. The bound still holds for any span that is long enough to gain the excess.
        """
        if self.seconds_until(tokens, now) > 0:
            return False
        self.level -= tokens
        if self.level < self.capacity:
            self._full_since = math.inf
        return True

    def put_back(self, tokens: float, now: float) -> None:
        """Put back unused tokens; those above the capacity are lost."""
        self.refill(now)
        self.level = min(self.capacity, self.level + tokens)
        if self.level >= self.capacity:
            self._full_since = min(self._full_since, self._updated_at)

    def set_limit(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Change the rate and the capacity from `now` on. The level stays, but is cut to a lower capacity."""
        self.refill(now)
        self.rate_per_s, self.capacity = rate_per_s, capacity
        self.level = min(self.level, capacity)
        self._full_since = self._updated_at if self.level >= capacity else math.inf

    def seconds_until(self, tokens: float, now: float) -> float:
        """Return the seconds until `try_take` succeeds if nothing else is taken, 0 if it succeeds now."""
        self.refill(now)
        start_s = max(0.0, self._updated_at - now)
        if tokens <= self.level:
            return start_s
        if tokens <= self.capacity:
            return start_s + self._seconds_to_gain(tokens - self.level)
        full_for_s = max(0.0, now - self._full_since)
        to_capacity_s = self._seconds_to_gain(self.capacity - self.level)
        return max(0.0, start_s + to_capacity_s + self._seconds_to_gain(tokens - self.capacity) - full_for_s)

    def _seconds_to_gain(self, tokens: float) -> float:
        if tokens <= 0:
            return 0.0
        return tokens / self.rate_per_s if self.rate_per_s > 0 else math.inf
