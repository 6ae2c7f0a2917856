"""Smooth weighted round robin: each service gets its weight to within two requests, on one instance and over many."""

from __future__ import annotations

import itertools
import unittest
from collections import Counter

from mulleinhatch.data_plane.traffic_split import WeightedRoundRobin

WEIGHTS = ((90.0, 10.0), (1.0, 1.0), (70.0, 20.0, 10.0), (99.0, 1.0), (5.0, 0.0), (3.0, 2.0, 2.0, 0.5))


def services(weights: tuple[float, ...]) -> tuple[tuple[str, float], ...]:
    return tuple((f"s{index}", weight) for index, weight in enumerate(weights))


class WeightedRoundRobins(unittest.TestCase):
    def test_each_service_gets_its_weight_after_any_number_of_requests(self):
        for weights in WEIGHTS:
            order, counts = WeightedRoundRobin("front-1"), Counter()
            for number in range(1, 1001):
                counts[order.next("r", services(weights))] += 1
                for service, weight in services(weights):
                    due = number * weight / sum(weights)
                    self.assertLessEqual(abs(counts[service] - due), len(weights), (weights, number, service))

    def test_a_service_of_weight_zero_gets_nothing(self):
        for name in range(50):
            order = WeightedRoundRobin(f"front-{name}")
            self.assertEqual({order.next("r", services((5.0, 0.0))) for _ in range(20)}, {"s0"})

    def test_many_instances_with_few_requests_each_keep_to_the_weights_together(self):
        """Each of 60 instances sees 5 requests: beginning alike, all would go to the service of the larger weight."""
        counts = Counter(
            order.next("r", services((80.0, 20.0)))
            for order in (WeightedRoundRobin(f"front-{number}") for number in range(60))
            for _ in range(5)
        )
        self.assertAlmostEqual(counts["s1"] / 300, 0.2, delta=0.05)

    def test_changed_weights_restart_the_order_and_removed_routes_are_forgotten(self):
        order = WeightedRoundRobin("front-1")
        for _ in range(10):
            order.next("r", services((1.0, 1.0)))
        self.assertEqual({order.next("r", services((0.0, 1.0))) for _ in range(5)}, {"s1"})
        order.keep_only(())
        self.assertEqual(order._current_weights, {})

    def test_routes_are_independent(self):
        order = WeightedRoundRobin("front-1")
        both = list(
            itertools.chain.from_iterable(
                (order.next("a", services((1, 1))), order.next("b", services((1, 1)))) for _ in range(8)
            )
        )
        self.assertEqual(Counter(both[::2]), Counter(both[1::2]))


if __name__ == "__main__":
    unittest.main()
