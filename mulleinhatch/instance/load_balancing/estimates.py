"""Estimates from few requests: an instance's own figure is drawn towards the mean of similar instances.

Three completed runs say little about one instance; three runs each of two hundred instances say well what is usual and how
much instances differ. So each figure is shrunk towards the mean, the more the fewer runs it is based on and the less the
instances differ. An estimate has a range and an age. The pace is in seconds of a slot per second of work, in whatever unit
of work all instances report.

Source: Efron, Morris, "Data Analysis Using Stein's Estimator and its Generalizations" (1975), for empirical Bayes;
DerSimonian, Laird, "Meta-analysis in clinical trials" (1986), for the variance between instances.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import sqrt
from typing import NamedTuple

SCATTER = 0.6  # standard deviation of single runs as a fraction of their mean, until the own runs show it
PRIOR_RUNS = 8.0  # weight of that assumption, in runs
STANDARD_DEVIATIONS = 2.0  # from an estimate to the ends of its range
EULER = 2.718281828459045
MIN_COUNT = 1e-6


class Estimate(NamedTuple):
    """A figure with its range."""

    value: float
    least: float
    most: float
    age: float  # seconds since the newest evidence of the instance itself


class Evidence(NamedTuple):
    """What one instance measured in its window."""

    count: float  # runs
    mean: float
    at: float  # when the newest run completed


class DecayingWindow:
    """Count, mean and scatter of measurements with exponential decay.

    Slots: one is updated with each run.

    Args:
        memory: seconds after which a measurement weighs a third.
    """

    __slots__ = ("memory", "count", "total", "squares", "at", "newest_at")

    def __init__(self, memory: float) -> None:
        self.memory, self.count, self.total, self.squares, self.at, self.newest_at = memory, 0.0, 0.0, 0.0, 0.0, -1e9

    def _decay(self, now: float) -> None:
        elapsed_s = now - self.at
        if elapsed_s <= 0:
            return
        if elapsed_s < 0.1 * self.memory:
            weight = max(0.0, 1.0 - elapsed_s / self.memory)  # close to the exponential, and cheaper
        else:
            weight = EULER ** (-elapsed_s / self.memory)
        self.count, self.total, self.squares, self.at = weight * self.count, weight * self.total, weight * self.squares, now

    def add(self, now: float, value: float) -> None:
        """Add a measurement."""
        self._decay(now)
        self.count, self.total, self.squares = self.count + 1.0, self.total + value, self.squares + value * value
        self.newest_at = now

    def evidence(self, now: float) -> Evidence:
        """Return count and mean."""
        self._decay(now)
        return Evidence(self.count, self.total / self.count if self.count > MIN_COUNT else 0.0, self.newest_at)

    def scatter(self) -> float:
        """Return the standard deviation of single measurements as a fraction of the mean, mixed with the assumed one."""
        if self.count < MIN_COUNT or not self.total:
            return SCATTER
        mean = self.total / self.count
        own = sqrt(max(0.0, self.squares / self.count - mean * mean)) / mean
        return (PRIOR_RUNS * SCATTER + self.count * own) / (PRIOR_RUNS + self.count)


def estimate_population(evidence: Sequence[Evidence], scatter: float) -> tuple[float, float]:
    """Return the mean of similar instances, and the standard deviation between them.

    >>> estimate_population([Evidence(50.0, mean, 0.0) for mean in (1.0, 1.0, 1.0, 1.0)], 0.5)
    (1.0, 0.0)
    >>> mean, deviation = estimate_population([Evidence(500.0, mean, 0.0) for mean in (1.0, 1.0, 2.0, 2.0)], 0.5)
    >>> mean, round(deviation, 2)
    (1.5, 0.58)
    """
    usable = [one for one in evidence if one.count > 0.0 and one.mean > 0.0]
    if not usable:
        return 0.0, 0.0
    runs = sum(one.count for one in usable)
    mean = sum(one.count * one.mean for one in usable) / runs
    run_variance = (scatter * mean) ** 2
    if len(usable) < 2 or run_variance <= 0.0:
        return mean, 0.0
    weights = [one.count / run_variance for one in usable]
    heterogeneity = sum(weight * (one.mean - mean) ** 2 for weight, one in zip(weights, usable))
    total = sum(weights)
    variance = max(0.0, (heterogeneity - (len(usable) - 1)) / (total - sum(weight * weight for weight in weights) / total))
    # With the variance known, instances with many runs no longer outweigh the others: the mean is that of instances.
    weights = [1.0 / (variance + run_variance / one.count) for one in usable]
    mean = sum(weight * one.mean for weight, one in zip(weights, usable)) / sum(weights)
    return mean, sqrt(variance)


def shrink_towards_mean(now: float, own: Evidence, scatter: float, mean: float, deviation: float) -> Estimate | None:
    """Combine an instance's evidence with what is known of similar ones; None where neither says anything.

    Args:
        now: seconds of the caller's clock.
        own: the instance's evidence.
        scatter: standard deviation of single runs as a fraction of their mean.
        mean: of similar instances; 0 where it is unknown.
        deviation: standard deviation between similar instances.

    >>> shrink_towards_mean(1.0, Evidence(0.0, 0.0, -1e9), 0.5, 2.0, 0.5).value     # no evidence: as similar instances
    2.0
    >>> few = shrink_towards_mean(1.0, Evidence(1.0, 6.0, 0.5), 0.5, 2.0, 0.5)
    >>> many = shrink_towards_mean(1.0, Evidence(100.0, 6.0, 0.5), 0.5, 2.0, 0.5)
    >>> round(few.value, 1), round(many.value, 1), few.age
    (2.8, 5.8, 0.5)
    """
    age = now - own.at
    if own.count <= MIN_COUNT or own.mean <= 0.0:
        if not mean:
            return None
        margin = STANDARD_DEVIATIONS * deviation
        return Estimate(mean, max(0.0, mean - margin), mean + margin, age)
    error = (scatter * (mean or own.mean)) ** 2 / own.count
    if not mean:  # no other instance is heard
        value = own.mean
    elif deviation <= 0.0:  # instances do not differ as far as can be seen
        value, error = mean, 0.0
    else:
        weight = deviation * deviation / (deviation * deviation + error)
        value, error = mean + weight * (own.mean - mean), weight * error
    margin = STANDARD_DEVIATIONS * sqrt(error)
    return Estimate(value, max(0.0, value - margin), value + margin, age)
