"""How many retries are heard: a rate, most of it first for callers who come when they were told to."""

from __future__ import annotations

import math

BURST = 0.5  # seconds' worth of the rate that is saved up: retries come in bunches


class Bucket:
    """Tokens at a rate, saved up to a bound; what no longer fits is left over for another.

    >>> bucket = Bucket(2.0)
    >>> bucket.fill(1.0, 5.0), bucket.take(), bucket.take(), bucket.take()
    (3.0, True, True, False)
    """

    def __init__(self, most: float) -> None:
        self.most, self.tokens = most, 0.0

    def fill(self, span: float, rate: float) -> float:
        tokens = self.tokens + span * rate
        self.tokens = min(self.most, tokens)
        return tokens - self.tokens

    def take(self) -> bool:
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RetryBudget:
    """Without a bound (`rate` infinite) all are heard. What the punctual leave, the others get.

    >>> budget = RetryBudget(heeding_part=0.5); budget.limit(0.0, 4.0)
    >>> [budget.hears(1.0, punctual) for punctual in (False, False, False, True, True, True)]
    [True, True, False, True, True, False]
    """

    def __init__(self, heeding_part: float) -> None:
        self.heeding_part, self.rate, self.filled = heeding_part, math.inf, 0.0
        self.punctual, self.others = Bucket(1.0), Bucket(1.0)
        self.none_before = 0.0  # no token of any kind until then: thousands ask in between

    def limit(self, now: float, rate: float) -> None:
        """Retries a second from now on; what was saved up at a higher rate is cut back."""
        if self.rate < math.inf:
            self._fill(now)
        self.rate, self.filled, self.none_before = rate, now, now
        if rate < math.inf:
            for bucket in (self.punctual, self.others):
                bucket.most = max(1.0, BURST * rate)
                bucket.tokens = min(bucket.tokens, bucket.most)

    def _fill(self, now: float) -> None:
        span, self.filled = max(0.0, now - self.filled), max(now, self.filled)
        left = self.punctual.fill(span, self.heeding_part * self.rate)
        self.others.fill(1.0, left + span * (1.0 - self.heeding_part) * self.rate)

    def hears(self, now: float, punctual: bool) -> bool:
        if now < self.none_before:
            return False
        if self.rate == math.inf:
            return True
        self._fill(now)
        if punctual and self.punctual.take() or self.others.take():
            return True
        if self.rate and self.punctual.tokens < 1.0:
            lacks = (1.0 - max(self.punctual.tokens, self.others.tokens)) / self.rate
            self.none_before = now + lacks
        return False
