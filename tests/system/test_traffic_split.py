"""Smooth weighted round robin: the share of each service follows its weight, on one data plane and over many."""

from __future__ import annotations

import itertools
import unittest
from collections import Counter

from mulleinhatch.data_plane.traffic_split import WeightedRoundRobin

WEIGHTS = ((90.0, 10.0), (1.0, 1.0), (70.0, 20.0, 10.0), (99.0, 1.0), (5.0, 0.0), (3.0, 2.0, 2.0, 0.5))


def services(weights: tuple[float, ...]) -> tuple[tuple[str, float], ...]:
    return tuple((f"s{index}", weight) for index, weight in enumerate(weights))


class WeightedRoundRobins(unittest.TestCase):
    def test_each_service_gets_its_share_after_any_number_of_requests(self):
        for weights in WEIGHTS:
            split, counts = WeightedRoundRobin("front-1"), Counter()
            for number in range(1, 1001):
                counts[split.next("r", services(weights))] += 1
                for service, weight in services(weights):
                    expected = number * weight / sum(weights)
                    self.assertLessEqual(abs(counts[service] - expected), len(weights), (weights, number, service))

    def test_a_service_of_weight_zero_gets_nothing(self):
        for name in range(50):
            split = WeightedRoundRobin(f"front-{name}")
            self.assertEqual({split.next("r", services((5.0, 0.0))) for _ in range(20)}, {"s0"})

    def test_many_data_planes_with_few_requests_each_match_the_weights_together(self):
        """With 5 requests at each of 60 data planes, equal starts would send nearly all to the service of the larger weight."""
        counts = Counter(
            split.next("r", services((80.0, 20.0)))
            for split in (WeightedRoundRobin(f"front-{number}") for number in range(60))
            for _ in range(5)
        )
        self.assertAlmostEqual(counts["s1"] / 300, 0.2, delta=0.05)

    def test_changed_weights_restart_the_sequence_and_removed_routes_are_dropped(self):
        split = WeightedRoundRobin("front-1")
        for _ in range(10):
            split.next("r", services((1.0, 1.0)))
        self.assertEqual({split.next("r", services((0.0, 1.0))) for _ in range(5)}, {"s1"})
        split.keep_only(())
        self.assertEqual(split._sequences, {})

    def test_routes_are_independent(self):
        split = WeightedRoundRobin("front-1")
        both = list(
            itertools.chain.from_iterable(
                (split.next("a", services((1, 1))), split.next("b", services((1, 1)))) for _ in range(8)
            )
        )
        self.assertEqual(Counter(both[::2]), Counter(both[1::2]))


if __name__ == "__main__":
    unittest.main()
