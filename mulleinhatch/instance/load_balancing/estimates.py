"""The pace of an instance from few ops: its own figure leans on that of its like by the evidence at hand.

An instance that ended three runs in its window knows little by them; two hundred that ended three each know well what is
usual and how far they differ. So each figure is drawn towards the mean of its like, the more the fewer runs it stands on
and the less its like differ (empirical Bayes; the spread between them by DerSimonian and Laird's moments). It has a range and
an age. Seconds of a slot for a second of work, in whatever unit all report.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import sqrt
from typing import NamedTuple

SCATTER = 0.6  # of single runs about their mean, as a share of it, until own runs tell
FEW = 8.0  # runs from which their own scatter is believed
TWO_SIDED = 2.0  # standard deviations to the ends of a range


class Estimate(NamedTuple):
    value: float
    least: float
    most: float
    age: float  # seconds since the newest evidence of its own


class Evidence(NamedTuple):
    """What one instance saw in its window: how many runs, the mean of what was measured, and when the newest ended."""

    count: float
    mean: float
    at: float


class Window:
    """Own runs, faded so that those of `memory` seconds ago count a third."""

    __slots__ = ("memory", "count", "total", "squares", "at", "newest")

    def __init__(self, memory: float) -> None:
        self.memory, self.count, self.total, self.squares, self.at, self.newest = memory, 0.0, 0.0, 0.0, 0.0, -1e9

    def _fade(self, now: float) -> None:
        if now > self.at:
            left = (
                max(0.0, 1.0 - (now - self.at) / self.memory)
                if now - self.at < 0.1 * self.memory
                else (2.718281828459045 ** (-(now - self.at) / self.memory))
            )
            self.count, self.total, self.squares, self.at = left * self.count, left * self.total, left * self.squares, now

    def add(self, now: float, value: float) -> None:
        self._fade(now)
        self.count, self.total, self.squares = self.count + 1.0, self.total + value, self.squares + value * value
        self.newest = now

    def evidence(self, now: float) -> Evidence:
        self._fade(now)
        return Evidence(self.count, self.total / self.count if self.count > 1e-6 else 0.0, self.newest)

    def scatter(self) -> float:
        """Of single runs, as a share of the mean; of few runs the usual one counts as much as `FEW` of them."""
        if self.count < 1e-6 or not self.total:
            return SCATTER
        mean = self.total / self.count
        own = sqrt(max(0.0, self.squares / self.count - mean * mean)) / mean
        return (FEW * SCATTER + self.count * own) / (FEW + self.count)


def usual(of_its_like: Sequence[Evidence], scatter: float) -> tuple[float, float]:
    """Mean of the like and how far they differ from each other, as a standard deviation.

    >>> usual([Evidence(50.0, mean, 0.0) for mean in (1.0, 1.0, 1.0, 1.0)], 0.5)
    (1.0, 0.0)
    >>> mean, differ = usual([Evidence(500.0, mean, 0.0) for mean in (1.0, 1.0, 2.0, 2.0)], 0.5); mean, round(differ, 2)
    (1.5, 0.58)
    """
    seen = [evidence for evidence in of_its_like if evidence.count > 0.0 and evidence.mean > 0.0]
    if not seen:
        return 0.0, 0.0
    whole = sum(evidence.count for evidence in seen)
    mean = sum(evidence.count * evidence.mean for evidence in seen) / whole
    within = (scatter * mean) ** 2
    if len(seen) < 2 or within <= 0.0:
        return mean, 0.0
    weights = [evidence.count / within for evidence in seen]
    heterogeneity = sum(weight * (evidence.mean - mean) ** 2 for weight, evidence in zip(weights, seen))
    total = sum(weights)
    spread = max(0.0, (heterogeneity - (len(seen) - 1)) / (total - sum(weight * weight for weight in weights) / total))
    # With the spread known those of many runs no longer outweigh the rest: the mean of instances, not of runs.
    weights = [1.0 / (spread + within / evidence.count) for evidence in seen]
    mean = sum(weight * evidence.mean for weight, evidence in zip(weights, seen)) / sum(weights)
    return mean, sqrt(spread)


def drawn(now: float, own: Evidence, scatter: float, mean: float, differ: float) -> Estimate | None:
    """Own evidence and that of its like in one figure; None where neither tells anything.

    >>> drawn(1.0, Evidence(0.0, 0.0, -1e9), 0.5, 2.0, 0.5).value     # nothing of its own: as its like
    2.0
    >>> one = drawn(1.0, Evidence(1.0, 6.0, 0.5), 0.5, 2.0, 0.5); many = drawn(1.0, Evidence(100.0, 6.0, 0.5), 0.5, 2.0, 0.5)
    >>> round(one.value, 1), round(many.value, 1), one.age
    (2.8, 5.8, 0.5)
    """
    age = now - own.at
    if own.count <= 1e-6 or own.mean <= 0.0:
        if not mean:
            return None
        return Estimate(mean, max(0.0, mean - TWO_SIDED * differ), mean + TWO_SIDED * differ, age)
    error = (scatter * (mean or own.mean)) ** 2 / own.count
    if not mean or differ <= 0.0:
        # Its like do not differ as far as can be seen, or nobody else is heard: the one or the other alone.
        value, error = (own.mean, error) if not mean else (mean, 0.0)
    else:
        weight = differ * differ / (differ * differ + error)
        value, error = mean + weight * (own.mean - mean), weight * error
    spread = TWO_SIDED * sqrt(error)
    return Estimate(value, max(0.0, value - spread), value + spread, age)
