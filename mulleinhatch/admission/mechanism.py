"""The mechanism of the design: ageing priorities, the class bound, the account cap.

Pure functions, shared by the instances' admission controller and the data plane.

Source: Multigrid, "Priority Queues: Free Users Wait, Paying Users Do Not"; deviations are described in `docs/design.md`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

# Points between the base priority of the most important class, 0, and that of the least; lower starts sooner. From the source.
BASE_SPAN = 20.0


def base_priorities(ranks: Iterable[float]) -> dict[float, float]:
    """Return the base priority of each distinct rank, spread evenly from 0 for the highest.

    >>> base_priorities([1.0, 3.0, 2.0, 3.0])
    {3.0: 0.0, 2.0: 10.0, 1.0: 20.0}
    """
    distinct = sorted(set(ranks), reverse=True)
    step = BASE_SPAN / max(1, len(distinct) - 1)
    return {rank: step * position for position, rank in enumerate(distinct)}


def ageing_rate(guarantee: float) -> float:
    """Return the seconds of waiting worth one point, by the longest time that the lowest class may wait behind others."""
    return guarantee / BASE_SPAN


def effective_priority(base: float, waited: float, rate: float) -> float:
    """Return the points of a request that has waited some seconds; the lowest starts first.

    >>> effective_priority(20.0, 60.0, 6.0)
    10.0
    """
    return base - waited / rate


def class_bound(mu: float, longest_wait: float, floor: float) -> float:
    """Return how much may be queued for a class: L_max = mu x W_max, never below `floor`.

    Args:
        mu: Service rate, in work or requests per second.
        longest_wait: Seconds that may pass before the start.
        floor: Amount that may always be queued, in work or requests as in `mu`.
    """
    return max(floor, mu * longest_wait)


def account_cap(limit: float, share: float) -> int:
    """Return how many requests of one account may run while others wait, for its share of the running limit."""
    return max(1, math.floor(limit * share))
