"""The design's mechanism: ageing priorities, the class bound, the account cap. Pure; shared by all admission.

Source: Multigrid, "Priority Queues: Free Users Wait, Paying Users Do Not"; what is ours is told in
`docs/design.md`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

BASE_SPAN = 20.0  # bases run evenly from 0 to this; lower starts sooner


def bases(ranks: Iterable[float]) -> dict[float, float]:
    """The base priority of each distinct rank, evenly from 0 for the highest.

    >>> bases([1.0, 3.0, 2.0, 3.0])
    {3.0: 0.0, 2.0: 10.0, 1.0: 20.0}
    """
    distinct = sorted(set(ranks), reverse=True)
    step = BASE_SPAN / max(1, len(distinct) - 1)
    return {rank: step * place for place, rank in enumerate(distinct)}


def ageing_rate(guarantee: float) -> float:
    """Seconds of waiting worth one point, from the longest wait of the lowest class behind others."""
    return guarantee / BASE_SPAN


def effective_priority(base: float, waited: float, rate: float) -> float:
    """The lowest starts first.

    >>> effective_priority(20.0, 60.0, 6.0)
    10.0
    """
    return base - waited / rate


def class_bound(mu: float, longest_wait: float, floor: float) -> float:
    """L_max = mu x W_max: how much may be held for a class; never below `floor`."""
    return max(floor, mu * longest_wait)


def account_cap(limit: float, share: float) -> int:
    """How many requests of one account may run while others wait."""
    return max(1, math.floor(limit * share))
