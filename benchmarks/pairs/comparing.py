"""Paired comparison of outcomes: means, spread, signs, and where worth and prices differ. Pure."""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from benchmarks.pairs.playing import Outcome

MAX_EVEN_DIFFERENCE = 0.005  # of a score: a difference below it counts as none


@dataclass(frozen=True)
class Pairing:
    """One text beside the first one, over the same days and seeds."""

    mean: float
    first_mean: float
    spread: float  # standard deviation of a single play's score
    difference: float
    error: float  # standard error of the mean difference
    better: int
    worse: int
    count: int
    broken: Mapping[str, int]


def pair(first: Sequence[Outcome], other: Sequence[Outcome]) -> Pairing:
    """
    >>> pairing = pair([Outcome(0.4, 0, 0, 0), Outcome(0.6, 0, 0, 0)], [Outcome(0.5, 0, 0, 0), Outcome(0.6, 0, 0, 0)])
    >>> round(pairing.difference, 2), pairing.better, pairing.worse
    (0.05, 1, 0)
    """
    differences = [b.score - a.score for a, b in zip(first, other, strict=True)]
    count = len(differences)
    return Pairing(
        statistics.fmean(outcome.score for outcome in other),
        statistics.fmean(outcome.score for outcome in first),
        statistics.stdev(outcome.score for outcome in other) if count > 1 else 0.0,
        statistics.fmean(differences),
        statistics.stdev(differences) / count**0.5 if count > 1 else 0.0,
        sum(difference > MAX_EVEN_DIFFERENCE for difference in differences),
        sum(difference < -MAX_EVEN_DIFFERENCE for difference in differences),
        count,
        Counter(rule for outcome in other for rule in outcome.broken),
    )


def mean_parts(outcomes: Sequence[Outcome]) -> dict[str, float]:
    """Mean of each part of the worth and of each price, prices as negative figures."""
    names = dict.fromkeys(name for outcome in outcomes for name in outcome.parts)
    prices = dict.fromkeys(name for outcome in outcomes for name in outcome.prices)
    means = {name: statistics.fmean(outcome.parts.get(name, 0.0) for outcome in outcomes) for name in names}
    return means | {name: -statistics.fmean(outcome.prices.get(name, 0.0) for outcome in outcomes) for name in prices}
