"""Leased quotas: exhaustive orders of events, each guard removed separately, and random histories."""

from __future__ import annotations

import pytest

from mulleinhatch.instance.gossip.bounds import BudgetBounds
from mulleinhatch.instance.gossip.budgets import BorrowedQuota, LeasedQuota, LeaseGrant, LeaseRequest, Loan, QuotaMeter
from mulleinhatch.simulation.budget_model_checker import LOAN_IN_PROGRESS, Model, explore, explore_random_walks

TICK3 = (("tick",),) * 3
# Each history ends a few steps before the point where a single guard prevents a violation:
# a grant in flight while all units are returned; a loan with an earlier request in flight; a grant that takes five ticks.
LATE_GRANT = (*LOAN_IN_PROGRESS, ("ask", 1, 0, 2), ("deliver", 0), ("ask", 1, 0, 0), ("deliver", 1))
OLD_REQUEST = (
    ("ask", 1, 0, 0),
    ("ask", 1, 0, 2),
    ("deliver", 1),
    ("lose", 1),
    *TICK3,
    ("ask", 1, 0, 2),
    ("deliver", 1),
    ("deliver", 1),
)
SLOW_GRANT = (*LOAN_IN_PROGRESS[:-1], *TICK3, ("tick",), ("tick",))
DRIFTING = {"rates": (1.5, 0.6, 1.0)}


class GrantsWithoutWaiting(LeasedQuota):
    def _may_grant(self, now: float, loan: Loan) -> bool:
        return True


class AcceptsAnyAnswer(LeasedQuota):
    def _is_latest(self, borrowed: BorrowedQuota, grant: LeaseGrant) -> bool:
        return True


class AcceptsAnyRequest(LeasedQuota):
    def _is_newer(self, loan: Loan, request: LeaseRequest) -> bool:
        return True


class LeaseFromArrival(LeasedQuota):
    def _lease_starts_at(self, borrowed: BorrowedQuota, now: float) -> float:
        return now


class OwnsAtOnce(LeasedQuota):
    def _owns_share(self, now: float) -> bool:
        return not self.has_duplicate_name


class ReusesAtOnce(LeasedQuota):
    def _quarantine(self, now: float, amount: int) -> None:
        pass


@pytest.mark.parametrize(
    "before",
    [(), LOAN_IN_PROGRESS, LATE_GRANT, OLD_REQUEST, SLOW_GRANT],
    ids=["new", "lent", "late grant", "old request", "slow grant"],
)
def test_no_order_of_four_steps_exceeds_a_total(before: tuple) -> None:
    states, history = explore(Model(), 4, before)
    assert not history, history
    assert states > 500


@pytest.mark.parametrize(
    "quota, before, model",
    [
        (GrantsWithoutWaiting, (), {}),
        (AcceptsAnyAnswer, LATE_GRANT, {}),
        (AcceptsAnyRequest, OLD_REQUEST, {}),
        (LeaseFromArrival, SLOW_GRANT, {}),
        (OwnsAtOnce, LOAN_IN_PROGRESS, {}),
        (ReusesAtOnce, LOAN_IN_PROGRESS, {}),
        (LeasedQuota, LOAN_IN_PROGRESS, {**DRIFTING, "drift": 0.0}),
    ],
    ids=["wait before grant", "latest grant", "newer request", "lease from request", "restart", "quarantine", "drift"],
)
def test_model_checker_finds_each_missing_guard(quota: type[LeasedQuota], before: tuple, model: dict) -> None:
    """Without the guard the same search must find an exceeded total; otherwise the guard or the search is useless."""
    _, history = explore(Model(quota, **model), 6, before, most_states=60_000)
    assert "in one window" in history


@pytest.mark.parametrize(
    "model", [Model(), Model(needed=1), Model(**DRIFTING, drift=1.5)], ids=["plain", "reclaim", "clock drift"]
)
def test_long_random_histories(model: Model) -> None:
    assert explore_random_walks(model, seed=3, walks=1200, steps=40) == ""


def test_restarted_owner_waits_until_its_former_loans_expired() -> None:
    bounds = BudgetBounds("q", 20, ("a", "b"), window=1.0, lease=5.0)
    quota = LeasedQuota(bounds, "a", 100.0)
    assert quota.usable(106.1) == 0 and quota.handle_request(106.1, ("b", 1), LeaseRequest(1, 0, 5), spare=10) is None
    assert quota.usable(100.0 + 5.0 * 1.03 + 1.03) == 10


def test_units_are_not_occupied_beyond_their_lease() -> None:
    """A call of two seconds on units whose lease lasts one more second would still run when the lender reuses them."""
    bounds = BudgetBounds("calls", 8, ("a", "b"), window=0.0, lease=5.0)
    lender, borrower = LeasedQuota(bounds, "a", -99.0), LeasedQuota(bounds, "b", -99.0)
    borrower.handle_grant(0.0, "a", lender.handle_request(0.0, ("b", 1), borrower.create_request(0.0, "a", 2), spare=4))
    assert (borrower.usable(4.0, lasts=0.5), borrower.usable(4.0, lasts=2.0)) == (6, 4)


def test_two_instances_of_one_name_use_no_unit_twice() -> None:
    quota = LeasedQuota(BudgetBounds("q", 20, ("a", "b")), "a", -99.0)
    quota.has_duplicate_name = True
    assert quota.usable(0.0) == 0


def test_meter_with_a_changing_quota() -> None:
    meter, used = QuotaMeter(1.0), []
    for step in range(400):
        now, quota = 0.05 * step, (3, 7)[step // 50 % 2]
        if meter.take(now, quota):
            used.append(now)
        assert sum(now - 1.0 < at <= now for at in used) <= 7
    assert meter.demand(19.95) == 20
