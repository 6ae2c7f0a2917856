"""Estimates from few requests: an instance's figure is shrunk towards the mean of similar instances.

Three completed runs say little about one instance, but three runs on each of two hundred instances give a good estimate of
the mean and of the variance between instances. So each figure is shrunk towards the mean: more if it is based on fewer runs,
and more if the instances differ less. An estimate has a range and an age. The pace is slot time in seconds per unit of work,
in whatever unit of work all instances report.

Source: Efron, Morris, "Data Analysis Using Stein's Estimator and its Generalizations" (1975), for empirical Bayes;
DerSimonian, Laird, "Meta-analysis in clinical trials" (1986), for the variance between instances.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import sqrt
from typing import NamedTuple

SCATTER = 0.6  # prior for the standard deviation of single runs as a fraction of their mean
PRIOR_RUNS = 8.0  # weight of that prior in runs
STANDARD_DEVIATIONS = 2.0  # from an estimate to either end of its range
EULER = 2.718281828459045
MIN_COUNT = 1e-6


class Estimate(NamedTuple):
    """An estimated figure with its range."""

    value: float
    least: float
    most: float
    age: float  # seconds since the instance's newest measurement


class Evidence(NamedTuple):
    """Measurements of one instance in its window."""

    count: float  # number of runs
    mean: float
    at: float  # completion time of the newest run


class DecayingWindow:
    """Count, mean and scatter of measurements with exponential decay.

    Uses slots because one is updated with each run.

    Args:
        memory: time constant of the decay in seconds, after which a measurement weighs about a third.
    """

    __slots__ = ("memory", "count", "total", "squares", "at", "newest_at")

    def __init__(self, memory: float) -> None:
        self.memory, self.count, self.total, self.squares, self.at, self.newest_at = memory, 0.0, 0.0, 0.0, 0.0, -1e9

    def _decay(self, now: float) -> None:
        elapsed_s = now - self.at
        if elapsed_s <= 0:
            return
        if elapsed_s < 0.1 * self.memory:
            weight = max(0.0, 1.0 - elapsed_s / self.memory)  # approximates the exponential at less cost
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
        """Return the relative standard deviation of single measurements, weighted with the prior."""
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
    # With the variance known, instances with many runs no longer dominate: this is the mean over instances, not runs.
    weights = [1.0 / (variance + run_variance / one.count) for one in usable]
    mean = sum(weight * one.mean for weight, one in zip(weights, usable)) / sum(weights)
    return mean, sqrt(variance)


def shrink_towards_mean(now: float, own: Evidence, scatter: float, mean: float, deviation: float) -> Estimate | None:
    """Combine an instance's evidence with the population of similar ones; return None if there is no evidence at all.

    Args:
        now: seconds of the caller's clock.
        own: the instance's evidence.
        scatter: standard deviation of single runs as a fraction of their mean.
        mean: mean of similar instances; 0 if unknown.
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
    if not mean:  # no reports of other instances
        value = own.mean
    elif deviation <= 0.0:  # no measurable difference between instances
        value, error = mean, 0.0
    else:
        weight = deviation * deviation / (deviation * deviation + error)
        value, error = mean + weight * (own.mean - mean), weight * error
    margin = STANDARD_DEVIATIONS * sqrt(error)
    return Estimate(value, max(0.0, value - margin), value + margin, age)
