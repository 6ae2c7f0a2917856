"""Decides whether a request without quota tokens waits for them here, or is refused early so that its client retries. Pure.

An answer is worth most within the latency target. A refusal costs little only if it is early, and most clients retry only once.
So the decision depends on when tokens are expected:

| request | tokens are expected | decision |
| --- | --- | --- |
| first attempt | within `MAX_WAIT_FRACTION` of its latency target | it waits, and is retried |
| first attempt | later | 429, with `Retry-After` for that time |
| retry after a refusal | before its deadline | it waits: a second refusal would probably be final |
| retry after a refusal | after its deadline | 429 |
| was queued without tokens, or until they expired | either | as for a retry: it is too late for an early refusal |

The queue of waiting requests drains at this data plane's share of the tenant's rate. Each further refusal doubles the time
after which tokens are expected (`backed_off_s`), so that requests of a tenant over its limit do not wait long.

A first attempt that is still without an answer shortly before a refusal would no longer count as early is decided at that time
(`early_at`), with what is known then.
"""

from __future__ import annotations

from dataclasses import dataclass

from mulleinhatch.data_plane.admission_queue import RESPONSE_MARGIN_S
from mulleinhatch.data_plane.client_timeouts import EARLY_ANSWER_FRACTION, EARLY_FRACTION

MAX_WAIT_FRACTION = 0.5  # fraction of the latency target; the rest suffices to execute the request
MAX_RETRY_AFTER_FRACTION = 1 / 3  # fraction of the time until the deadline; clients do not wait longer
MIN_RETRY_AFTER_S = 0.05
RATE_OVERCOMMIT = 2.0  # multiple of an even share of a tenant's rate: clients are not spread evenly over data planes
MAX_DOUBLINGS = 5  # doublings of an owner's retry time while it grants a tenant nothing here


@dataclass(frozen=True, slots=True)
class Patience:
    """How long a request may wait for a permit. Times are loop times in seconds.

    Attributes:
        arrived_at: When the request arrived.
        target_s: Latency target of its route.
        deadline: When its client or route times out.
        is_probable_retry: Whether it was probably refused before.
        was_queued: Whether it was queued before it had tokens, or until its tokens expired.
        rate_per_s: Units per second that its tenant gets here, the rate at which the queue before it drains.
    """

    arrived_at: float
    target_s: float
    deadline: float
    is_probable_retry: bool = False
    rate_per_s: float = 0.0
    was_queued: bool = False

    @property
    def waits_to_deadline(self) -> bool:
        """Whether serving it late is better than refusing it."""
        return self.is_probable_retry or self.was_queued

    @property
    def early_at(self) -> float:
        """The latest time to send a refusal that counts as early, with a margin."""
        return self.arrived_at + EARLY_ANSWER_FRACTION * self.target_s

    def is_early(self, now: float) -> bool:
        """Return whether a refusal sent now counts as early."""
        return now < self.arrived_at + EARLY_FRACTION * self.target_s

    @property
    def latest_at(self) -> float:
        """The latest time until which it waits for tokens."""
        last_at = self.deadline - RESPONSE_MARGIN_S
        return last_at if self.waits_to_deadline else min(last_at, self.arrived_at + MAX_WAIT_FRACTION * self.target_s)

    def refill_s(self, tokens: int) -> float:
        """Return the least time in which the tenant's bucket gains `tokens`."""
        return tokens / self.rate_per_s if self.rate_per_s > 0.0 else 0.0

    def waits(self, expected_s: float, now: float) -> bool:
        """Decide whether the request waits here.

        Args:
            expected_s: Seconds from now until tokens for it are expected.
            now: Loop time.
        """
        return now + expected_s <= self.latest_at

    def retry_after_s(self, expected_s: float, now: float) -> float:
        """Return the seconds after which a client that is refused now should retry."""
        longest_s = MAX_RETRY_AFTER_FRACTION * max(0.0, self.deadline - now)
        return max(MIN_RETRY_AFTER_S, min(expected_s, longest_s))


def backed_off_s(retry_after_s: float, refusals: int) -> float:
    """Return the delay before the next query to an owner that refused a tenant's requests `refusals` times in a row.

    >>> backed_off_s(0.1, 1), backed_off_s(0.1, 3), backed_off_s(0.01, 1)
    (0.1, 0.4, 0.05)
    """
    return max(MIN_RETRY_AFTER_S, retry_after_s) * 2 ** min(MAX_DOUBLINGS, refusals - 1)
