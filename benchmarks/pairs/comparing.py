"""Paired comparison of outcomes: means, spread, signs, and where worth and prices differ. Pure."""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from benchmarks.pairs.playing import Outcome

EVEN = 0.005  # of a score: a difference below it counts as none


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
    >>> told = pair([Outcome(0.4, 0, 0, 0), Outcome(0.6, 0, 0, 0)], [Outcome(0.5, 0, 0, 0), Outcome(0.6, 0, 0, 0)])
    >>> round(told.difference, 2), told.better, told.worse
    (0.05, 1, 0)
    """
    differences = [b.score - a.score for a, b in zip(first, other, strict=True)]
    count = len(differences)
    return Pairing(
        statistics.fmean(one.score for one in other),
        statistics.fmean(one.score for one in first),
        statistics.stdev(one.score for one in other) if count > 1 else 0.0,
        statistics.fmean(differences),
        statistics.stdev(differences) / count**0.5 if count > 1 else 0.0,
        sum(one > EVEN for one in differences),
        sum(one < -EVEN for one in differences),
        count,
        Counter(rule for one in other for rule in one.broken),
    )


def mean_parts(outcomes: Sequence[Outcome]) -> dict[str, float]:
    """Mean of each part of the worth and of each price, prices as negative figures."""
    names = dict.fromkeys(name for one in outcomes for name in one.parts)
    prices = dict.fromkeys(name for one in outcomes for name in one.prices)
    told = {name: statistics.fmean(one.parts.get(name, 0.0) for one in outcomes) for name in names}
    return told | {name: -statistics.fmean(one.prices.get(name, 0.0) for one in outcomes) for name in prices}
