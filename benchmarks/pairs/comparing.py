"""Compare paired outcomes: means, spread, better and worse pairs, parts and prices. Pure functions."""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from benchmarks.pairs.playing import Outcome

MAX_EVEN_DIFFERENCE = 0.005  # score difference up to which two runs count as equal


@dataclass(frozen=True)
class Pairing:
    """Comparison of one source variant with the first one over the same days and seeds.

    Attributes:
        mean: Mean score of this variant.
        first_mean: Mean score of the first variant.
        spread: Standard deviation of the scores of this variant.
        difference: Mean difference of the scores.
        error: Standard error of the mean difference.
        better: Number of pairs in which this variant scored better.
        worse: Number of pairs in which it scored worse.
        count: Number of pairs.
        broken: Number of runs by violated rule.
    """

    mean: float
    first_mean: float
    spread: float
    difference: float
    error: float
    better: int
    worse: int
    count: int
    broken: Mapping[str, int]


def pair(first: Sequence[Outcome], other: Sequence[Outcome]) -> Pairing:
    """Compare two lists of outcomes, pair by pair.

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
    """Return the mean of each part of the value and of each price; prices are negative."""
    names = dict.fromkeys(name for outcome in outcomes for name in outcome.parts)
    prices = dict.fromkeys(name for outcome in outcomes for name in outcome.prices)
    means = {name: statistics.fmean(outcome.parts.get(name, 0.0) for outcome in outcomes) for name in names}
    return means | {name: -statistics.fmean(outcome.prices.get(name, 0.0) for outcome in outcomes) for name in prices}
