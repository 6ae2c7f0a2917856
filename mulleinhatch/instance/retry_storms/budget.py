"""Rate limit for accepted retries, mostly reserved for callers that waited for the requested delay."""

from __future__ import annotations

import math

BURST_S = 0.5  # burst size in seconds at the rate, since retries arrive in bursts


class TokenBucket:
    """A token bucket that fills at a rate up to `max_tokens` and returns the overflow.

    >>> bucket = TokenBucket(2.0)
    >>> bucket.fill(1.0, 5.0), bucket.try_take(), bucket.try_take(), bucket.try_take()
    (3.0, True, True, False)
    """

    def __init__(self, max_tokens: float) -> None:
        self.max_tokens, self.tokens = max_tokens, 0.0

    def fill(self, span: float, rate: float) -> float:
        """Add `span` seconds of `rate` tokens per second; return the overflow."""
        tokens = self.tokens + span * rate
        self.tokens = min(self.max_tokens, tokens)
        return tokens - self.tokens

    def try_take(self) -> bool:
        """Take one token if available; return whether one was taken."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RetryBudget:
    """Limits retries to a rate, one part of which is reserved for punctual callers while the rest is for all.

    Tokens that punctual callers do not use overflow to the others. An infinite rate accepts every retry.

    Args:
        heeding_part: Part of the rate reserved for punctual callers, 0 to 1.

    >>> budget = RetryBudget(heeding_part=0.5); budget.set_rate(0.0, 4.0)
    >>> [budget.should_accept(1.0, punctual) for punctual in (False, False, False, True, True, True)]
    [True, True, False, True, True, False]
    """

    def __init__(self, heeding_part: float) -> None:
        self.heeding_part, self.rate, self.filled = heeding_part, math.inf, 0.0
        self.punctual, self.others = TokenBucket(1.0), TokenBucket(1.0)
        self.empty_until = 0.0  # no token is available before then, which saves work for thousands of calls in between

    def set_rate(self, now: float, rate: float) -> None:
        """Set the rate in retries per second; accumulated tokens are capped to the new burst size."""
        if self.rate < math.inf:
            self._fill(now)
        self.rate, self.filled, self.empty_until = rate, now, now
        if rate < math.inf:
            for bucket in (self.punctual, self.others):
                bucket.max_tokens = max(1.0, BURST_S * rate)
                bucket.tokens = min(bucket.tokens, bucket.max_tokens)

    def _fill(self, now: float) -> None:
        span, self.filled = max(0.0, now - self.filled), max(now, self.filled)
        surplus = self.punctual.fill(span, self.heeding_part * self.rate)
        self.others.fill(1.0, surplus + span * (1.0 - self.heeding_part) * self.rate)

    def should_accept(self, now: float, punctual: bool) -> bool:
        """Return whether to accept a retry, and take its token if so; `punctual` callers may use the reserved part."""
        if now < self.empty_until:
            return False
        if self.rate == math.inf:
            return True
        self._fill(now)
        if punctual and self.punctual.try_take() or self.others.try_take():
            return True
        if self.rate and self.punctual.tokens < 1.0:
            wait_s = (1.0 - max(self.punctual.tokens, self.others.tokens)) / self.rate
            self.empty_until = now + wait_s
        return False
