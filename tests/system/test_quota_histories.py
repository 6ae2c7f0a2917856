"""Simulated quota histories: the quota rule holds in random ones, and each injected defect is detected by a known one."""

from __future__ import annotations

import unittest

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mulleinhatch.simulation.quotas import Defect, play

SEEDS = range(120)
# A seed that detects each defect; `python -m benchmarks.quota_histories --defect NAME` finds others.
DETECTING_SEEDS = {
    Defect.TAKEOVER_BY_MINORITY: 105,
    Defect.GRANT_AFTER_HANDOVER: 3,
    Defect.KEEP_LEVEL_AFTER_HANDOVER: 3,
    Defect.HANDOVER_OVER_TWO_EPOCHS: 922,
    Defect.GRANT_AT_ONCE: 15,
    Defect.BEGIN_FULL: 58,
    Defect.IGNORE_MISSED_VIEWS: 41,
    Defect.EXPIRY_FROM_ANSWER: 2,
    Defect.CREDIT_WITHOUT_BOUND: 1,
    Defect.RETURNS_BEGIN_FULL: 200,
    Defect.NO_CHECK_AT_WRITE: 98,
    Defect.CAPACITY_WITHOUT_LIFETIME: 1,
    Defect.GRANT_WITHOUT_TAKING: 0,
    Defect.KEEP_LEVEL_OF_HIGHER_LIMIT: 20,
    Defect.CHARGE_REFUSED: 0,
}


class Histories(unittest.TestCase):
    def test_the_rule_holds_and_nothing_is_refused_after_the_faults(self):
        """Guards against more units in a window than the rule allows, grants beyond one bucket, and refusals below the rate."""
        histories = [play(seed) for seed in SEEDS]
        self.assertEqual([(history.seed, history.violations) for history in histories if history.violations], [])
        self.assertGreater(
            max(history.highest_fraction for history in histories), 0.98, "no history comes close to the limit of the rule"
        )
        self.assertGreater(sum(history.asked_in_calm for history in histories), 1000)
        self.assertGreater(sum(history.handovers for history in histories), 20, "too few handovers")
        self.assertGreater(sum(history.shortened for history in histories), 10, "too few shortened waits")

    @settings(deadline=None, max_examples=40)
    @given(st.integers(0, 2**48))
    def test_the_rule_holds_in_random_histories(self, seed):
        """Guards against the same violations, for random seeds."""
        self.assertEqual(play(seed).violations, [])

    def test_a_seed_determines_its_history(self):
        self.assertEqual(play(11), play(11))


@pytest.mark.parametrize("defect", DETECTING_SEEDS, ids=lambda defect: defect.name.lower())
def test_an_injected_defect_is_detected(defect):
    """Guards against ineffective checks: the defect is detected, and the same history passes without it."""
    assert play(DETECTING_SEEDS[defect], defect).violations
    assert play(DETECTING_SEEDS[defect]).violations == []


if __name__ == "__main__":
    unittest.main()
