"""Budgets: every order of what can happen to a part, each guard taken out by itself, and histories by chance."""

from __future__ import annotations

import pytest

from mulleinhatch.instance.gossip.bounds import BudgetBounds
from mulleinhatch.instance.gossip.budgets import Ask, Borrowed, Give, Loan, Meter, Part
from mulleinhatch.simulation.budget_model_checker import LOAN_IN_PROGRESS, Model, explore, explore_random_walks

TICK3 = (("tick",),) * 3
# Each history stands a few steps before the place where one guard is all that holds.
# A give under way while all is handed back; lent, and an ask of before on its way; a give that takes five ticks.
LATE_GIVE = (*LOAN_IN_PROGRESS, ("ask", 1, 0, 2), ("deliver", 0), ("ask", 1, 0, 0), ("deliver", 1))
OLD_ASK = (
    ("ask", 1, 0, 0),
    ("ask", 1, 0, 2),
    ("deliver", 1),
    ("lose", 1),
    *TICK3,
    ("ask", 1, 0, 2),
    ("deliver", 1),
    ("deliver", 1),
)
SLOW_GIVE = (*LOAN_IN_PROGRESS[:-1], *TICK3, ("tick",), ("tick",))
APART = {"rates": (1.5, 0.6, 1.0)}


class NoRest(Part):
    def _may_give(self, now: float, loan: Loan) -> bool:
        return True


class AnyAnswer(Part):
    def _is_latest(self, have: Borrowed, give: Give) -> bool:
        return True


class AnyAsk(Part):
    def _is_newer(self, loan: Loan, ask: Ask) -> bool:
        return True


class FromArrival(Part):
    def _counted_from(self, have: Borrowed, now: float) -> float:
        return now


class NoQuarantine(Part):
    def _is_ours(self, now: float) -> bool:
        return not self.stripped


class NoCooling(Part):
    def _cools(self, now: float, amount: int) -> None:
        pass


@pytest.mark.parametrize(
    "before", [(), LOAN_IN_PROGRESS, LATE_GIVE, OLD_ASK, SLOW_GIVE], ids=["new", "lent", "late give", "old ask", "slow give"]
)
def test_no_order_of_four_steps_breaks_a_total(before: tuple) -> None:
    states, history = explore(Model(), 4, before)
    assert not history, history
    assert states > 500


@pytest.mark.parametrize(
    "part, before, model",
    [
        (NoRest, (), {}),
        (AnyAnswer, LATE_GIVE, {}),
        (AnyAsk, OLD_ASK, {}),
        (FromArrival, SLOW_GIVE, {}),
        (NoQuarantine, LOAN_IN_PROGRESS, {}),
        (NoCooling, LOAN_IN_PROGRESS, {}),
        (Part, LOAN_IN_PROGRESS, {**APART, "drift": 0.0}),
    ],
    ids=["rest", "latest answer", "newer ask", "lease from the ask", "quarantine", "cooling", "drift"],
)
def test_the_checker_finds_what_each_guard_is_for(part: type[Part], before: tuple, model: dict) -> None:
    """Without it the same search finds a total exceeded: else the guard, or the search, would be for nothing."""
    _, history = explore(Model(part, **model), 6, before, most_states=60_000)
    assert "in one window" in history


@pytest.mark.parametrize(
    "model", [Model(), Model(needed=1), Model(**APART, drift=1.5)], ids=["plain", "takes back", "clocks apart"]
)
def test_long_histories_by_chance(model: Model) -> None:
    assert explore_random_walks(model, seed=3, walks=1200, steps=40) == ""


def test_a_restarted_seat_waits_until_its_former_loans_are_back() -> None:
    bounds = BudgetBounds("q", 20, ("a", "b"), window=1.0, lease=5.0)
    part = Part(bounds, "a", 100.0)
    assert part.usable(106.1) == 0 and part.asked(106.1, ("b", 1), Ask(1, 0, 5), spare=10) is None
    assert part.usable(100.0 + 5.0 * 1.03 + 1.03) == 10


def test_what_is_held_is_not_started_beyond_its_lease() -> None:
    """A call of two seconds on a part that lasts one more would run on when its giver has it back."""
    bounds = BudgetBounds("calls", 8, ("a", "b"), window=0.0, lease=5.0)
    giver, taker = Part(bounds, "a", -99.0), Part(bounds, "b", -99.0)
    taker.given(0.0, "a", giver.asked(0.0, ("b", 1), taker.ask(0.0, "a", 2), spare=4))
    assert (taker.usable(4.0, lasts=0.5), taker.usable(4.0, lasts=2.0)) == (6, 4)


def test_two_of_one_name_use_nothing_twice() -> None:
    part = Part(BudgetBounds("q", 20, ("a", "b")), "a", -99.0)
    part.stripped = True
    assert part.usable(0.0) == 0


def test_a_meter_under_a_changing_part() -> None:
    meter, used = Meter(1.0), []
    for step in range(400):
        now, part = 0.05 * step, (3, 7)[step // 50 % 2]
        if meter.take(now, part):
            used.append(now)
        assert sum(now - 1.0 < at <= now for at in used) <= 7
    assert meter.demand(19.95) == 20
